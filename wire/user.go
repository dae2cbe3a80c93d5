package wire

import (
	"fmt"
	"math"
	"regexp"
	"slices"
)

// Shapes of a job.
const (
	ShapeBatch   = "batch"
	ShapeService = "service"
	// ShapeGang is a batch whose tasks run together; workers delay its tasks until all of them are
	// placed. The platform uses it although its documentation does not describe it.
	ShapeGang = "gang"
)

// States of a job.
const (
	JobQueued  = "queued"
	JobRunning = "running"
	JobDone    = "done"
	JobAborted = "aborted"
)

// MaxTasks is the largest number of tasks of one job.
const MaxTasks = 100000

// JobSpec is a job as a user submits it. Pointers distinguish a missing field from a zero.
type JobSpec struct {
	ID              *string  `cbor:"name_id"`
	Class           *string  `cbor:"jobclass"`
	Team            *string  `cbor:"owner"`
	Shape           *string  `cbor:"shape"`
	Priority        *string  `cbor:"urgency"`
	Tasks           *int64   `cbor:"pieces"`
	CPUs            *float64 `cbor:"cpus"`
	GPUs            *float64 `cbor:"cards"`
	MemoryGB        *float64 `cbor:"memory_gb"`
	Types           []string `cbor:"flavours"`
	Zone            *string  `cbor:"yard"`
	OneZone         *bool    `cbor:"same_place"`
	Spread          *bool    `cbor:"spread"`
	Spot            *bool    `cbor:"lendable"`
	Image           *string  `cbor:"bundle"`
	ImageGB         *float64 `cbor:"pull_gb"`
	EstimateS       *float64 `cbor:"guess_s"`
	CheckpointEvery *float64 `cbor:"snapshot_every_s"`
	SaveS           *float64 `cbor:"snapshot_s"`
	DueS            *float64 `cbor:"due_s"`
	// Predecessors are jobs that have to be done before any task of this one starts.
	Predecessors []string `cbor:"awaits"`
}

var jobID = regexp.MustCompile(`^job-[0-9]{1,18}$`)

// ValidJobID reports whether s has the form of a job id.
func ValidJobID(s string) bool { return jobID.MatchString(s) }

// PriorityRank returns the rank of a priority, -1 for an unknown name. Higher ranks are served first.
func PriorityRank(p string) int {
	switch p {
	case "production":
		return 3
	case "urgent":
		return 2
	case "normal":
		return 1
	case "idle":
		return 0
	}
	return -1
}

// PriorityName returns the priority with this rank, "" if there is none.
func PriorityName(rank int) string {
	for _, p := range []string{"idle", "normal", "urgent", "production"} {
		if PriorityRank(p) == rank {
			return p
		}
	}
	return ""
}

// Validate checks every field and returns the job's record. An error names the field.
func (s *JobSpec) Validate() (Job, error) {
	var j Job
	text := func(name string, p *string, dst *string, max int) error {
		if p == nil {
			return fmt.Errorf("%s: missing", name)
		}
		if *p == "" || len(*p) > max {
			return fmt.Errorf("%s: must be 1 to %d bytes", name, max)
		}
		*dst = *p
		return nil
	}
	num := func(name string, p *float64, dst *float64, min, max float64) error {
		if p == nil {
			return fmt.Errorf("%s: missing", name)
		}
		if math.IsNaN(*p) || *p < min || *p > max {
			return fmt.Errorf("%s: must be from %g to %g", name, min, max)
		}
		*dst = *p
		return nil
	}
	flag := func(name string, p *bool, dst *bool) error {
		if p == nil {
			return fmt.Errorf("%s: missing", name)
		}
		*dst = *p
		return nil
	}
	const big = 1e9
	for _, err := range []error{
		text("name_id", s.ID, &j.ID, 32),
		text("jobclass", s.Class, &j.Class, 128),
		text("owner", s.Team, &j.Team, 128),
		text("shape", s.Shape, &j.Shape, 16),
		text("urgency", s.Priority, &j.Priority, 16),
		num("cpus", s.CPUs, &j.CPUs, 0, big),
		num("cards", s.GPUs, &j.GPUs, 0, big),
		num("memory_gb", s.MemoryGB, &j.MemoryGB, 0, big),
		flag("same_place", s.OneZone, &j.OneZone),
		flag("spread", s.Spread, &j.Spread),
		flag("lendable", s.Spot, &j.Spot),
		text("bundle", s.Image, &j.Image, 256),
		num("pull_gb", s.ImageGB, &j.ImageGB, 0, big),
		num("guess_s", s.EstimateS, &j.EstimateS, 0, big),
		num("snapshot_every_s", s.CheckpointEvery, &j.CheckpointEvery, 0, big),
		num("snapshot_s", s.SaveS, &j.SaveS, 0, big),
	} {
		if err != nil {
			return j, err
		}
	}
	switch {
	case !ValidJobID(j.ID):
		return j, fmt.Errorf("name_id: must look like job-000412")
	case j.Shape != ShapeBatch && j.Shape != ShapeService && j.Shape != ShapeGang:
		return j, fmt.Errorf("shape: must be batch, service or gang")
	case PriorityRank(j.Priority) < 0:
		return j, fmt.Errorf("urgency: must be production, urgent, normal or idle")
	case s.Tasks == nil:
		return j, fmt.Errorf("pieces: missing")
	case *s.Tasks < 1 || *s.Tasks > MaxTasks:
		return j, fmt.Errorf("pieces: must be from 1 to %d", MaxTasks)
	case j.CPUs == 0 && j.MemoryGB == 0:
		return j, fmt.Errorf("cpus: a task must ask for something")
	}
	j.Tasks = int(*s.Tasks)
	if len(s.Types) > 64 {
		return j, fmt.Errorf("flavours: at most 64")
	}
	for _, t := range s.Types {
		if t == "" || len(t) > 128 {
			return j, fmt.Errorf("flavours: must be 1 to 128 bytes each")
		}
	}
	j.Types = s.Types
	if s.Zone != nil {
		if *s.Zone == "" || len(*s.Zone) > 128 {
			return j, fmt.Errorf("yard: must be 1 to 128 bytes")
		}
		j.Zone = *s.Zone
	}
	if s.DueS != nil {
		if err := num("due_s", s.DueS, &j.DueS, 0, big); err != nil {
			return j, err
		}
	}
	for _, id := range s.Predecessors {
		if !ValidJobID(id) {
			return j, fmt.Errorf("awaits: must look like job-000412")
		}
		if !slices.Contains(j.Predecessors, id) {
			j.Predecessors = append(j.Predecessors, id)
		}
	}
	return j, nil
}

// JobStatus is the answer to submissions, polls and aborts.
type JobStatus struct {
	ID      string `cbor:"name_id"`
	Status  string `cbor:"status"`
	Done    *int   `cbor:"done,omitempty"`
	Running *int   `cbor:"running,omitempty"`
}

// Problem is the body of an error answer.
type Problem struct {
	Error string `cbor:"error"`
}
