package worker

import (
	"strings"
	"time"

	"github.com/barrowbridge/barrowbridge/wire"
)

// Job is what workers know of a job: users upload it. Run is the true run time
// of a task, which the owner's estimate may miss.
type Job struct {
	Shape           string
	Tasks           int
	CPUs, GPUs      float64
	MemoryGB        float64
	Image           string
	ImageGB         float64
	CheckpointEvery time.Duration
	Save            time.Duration
	Fails           bool // submitted with a mistake: fails on every machine
	Run             func(index int) time.Duration
}

func (j *Job) run(index int) time.Duration {
	if j.Run == nil {
		return 0
	}
	return j.Run(index)
}

// FromRecord makes a job of its record; run gives the tasks' true run time.
func FromRecord(r wire.Job, run func(index int) time.Duration) Job {
	seconds := func(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }
	return Job{Shape: r.Shape, Tasks: r.Tasks, CPUs: r.CPUs, GPUs: r.GPUs, MemoryGB: r.MemoryGB, Image: r.Image, ImageGB: r.ImageGB,
		CheckpointEvery: seconds(r.CheckpointEvery), Save: seconds(r.SaveS), Run: run}
}

// Work is what lies outside the machines: descriptions of jobs, results and
// checkpoints. All workers of a world share it.
type Work struct {
	// Find looks up a job that nobody uploaded; nil: there is none.
	Find func(id string) (Job, bool)
	// Depot is where images come from; nil: a store that binds nobody, and sources are not known.
	Depot *Depot

	jobs  map[string]Job
	saved map[string]time.Duration
	done  map[string]bool
	on    map[string]map[string]int // job -> task -> how often it is on a machine
}

// NewWork returns an empty Work.
func NewWork() *Work {
	return &Work{jobs: map[string]Job{}, saved: map[string]time.Duration{}, done: map[string]bool{}, on: map[string]map[string]int{}}
}

// Upload takes a job's description.
func (w *Work) Upload(id string, j Job) { w.jobs[id] = j }

// Job looks a description up.
func (w *Work) Job(id string) (Job, bool) {
	if j, ok := w.jobs[id]; ok {
		return j, true
	}
	if w.Find == nil {
		return Job{}, false
	}
	j, ok := w.Find(id)
	if ok {
		w.jobs[id] = j
	}
	return j, ok
}

// Done counts a job's tasks that have a result.
func (w *Work) Done(id string) int {
	n, j := 0, w.jobs[id]
	for i := range j.Tasks {
		if w.done[wire.TaskName(id, i)] {
			n++
		}
	}
	return n
}

func (w *Work) save(task string, ran time.Duration) {
	if ran > w.saved[task] {
		w.saved[task] = ran
	}
}

func jobOf(task string) string {
	id, _, _ := strings.Cut(task, "/")
	return id
}

func (w *Work) enter(task string) {
	id := jobOf(task)
	if w.on[id] == nil {
		w.on[id] = map[string]int{}
	}
	w.on[id][task]++
}

func (w *Work) exit(task string) {
	id := jobOf(task)
	if w.on[id][task]--; w.on[id][task] <= 0 {
		delete(w.on[id], task)
	}
	if len(w.on[id]) == 0 {
		delete(w.on, id)
	}
}

// together tells whether all tasks of a gang are on machines, or done.
func (w *Work) together(task string, tasks int) bool {
	id := jobOf(task)
	if n := len(w.on[id]); n >= tasks {
		return true
	}
	return len(w.on[id])+w.Done(id) >= tasks
}
