package checker

import (
	"fmt"
	"slices"
	"time"

	"github.com/barrowbridge/barrowbridge/wire"
)

// startDeadline is the time within which a job has to start its first task to count as served.
const startDeadline = 4 * time.Minute

// Group counts how many jobs of a class, of a team, or of the largest of a class were served.
type Group struct {
	Name   string  `json:"name"`
	Jobs   int     `json:"jobs"`    // accepted, and not cancelled while they could still have started in time
	Served int     `json:"served"`  // started within startDeadline
	WorstS float64 `json:"worst_s"` // the longest wait of a job for its first task, seconds
}

// Served returns how each class, each team and, for classes of at least ten jobs, the largest tenth
// of each class was served. The largest are selected twice: by number of tasks and by resources per
// task. Jobs that may still start in time, or were cancelled while they could, are not counted.
func (c *Checker) Served(now Time) []Group {
	by := map[string][]*job{}
	for id, j := range c.jobs {
		from, cancelled := c.readyAt(id, j), c.cancelledAt(id, j)
		if from == never || j.startedAt == never && (now-from < startDeadline || cancelled != never && cancelled-from < startDeadline) {
			continue // not ready to start, cancelled before its deadline, or its deadline has not passed yet
		}
		by["class "+*j.spec.Class] = append(by["class "+*j.spec.Class], j)
		by["team "+*j.spec.Team] = append(by["team "+*j.spec.Team], j)
	}
	for _, name := range sortedKeys(by) {
		if jobs := by[name]; len(jobs) >= 10 && name[0] == 'c' {
			by["largest of "+name+" by tasks"] = largest(jobs, func(s *wire.JobSpec) float64 { return float64(*s.Tasks) })
			by["largest of "+name+" by task"] = largest(jobs, func(s *wire.JobSpec) float64 { return max(*s.CPUs/4, *s.MemoryGB/16, *s.GPUs) })
		}
	}
	var out []Group
	for _, name := range sortedKeys(by) {
		g := Group{Name: name, Jobs: len(by[name])}
		for _, j := range by[name] {
			waited := max(0, min(now, j.startedAt)-c.readyAt(*j.spec.ID, j))
			if g.WorstS = max(g.WorstS, waited.Seconds()); waited <= startDeadline && j.startedAt != never {
				g.Served++
			}
		}
		out = append(out, g)
	}
	return out
}

// largest returns the jobs that are at least as large as the smallest job of the largest tenth.
func largest(jobs []*job, size func(*wire.JobSpec) float64) (out []*job) {
	sizes := make([]float64, 0, len(jobs))
	for _, j := range jobs {
		sizes = append(sizes, size(&j.spec))
	}
	slices.Sort(sizes)
	least := sizes[len(sizes)-max(1, len(sizes)/10)]
	for _, j := range jobs {
		if size(&j.spec) >= least {
			out = append(out, j)
		}
	}
	return out
}

// sortedKeys returns the keys of a map in ascending order.
func sortedKeys[V any](m map[string]V) []string {
	names := make([]string, 0, len(m))
	for n := range m {
		names = append(names, n)
	}
	slices.Sort(names)
	return names
}

// FinishDay ends the observation like Finish and returns all violations. It also records a violation
// of Unserved for each group of which fewer than half of the jobs were served.
func (c *Checker) FinishDay(now Time) []Violation {
	c.Finish(now)
	for _, g := range c.Served(now) {
		if 2*g.Served < g.Jobs {
			c.fail(now, Unserved, "%s: %d of %d jobs begun within %v, the last after %.0f s", g.Name, g.Served, g.Jobs, fmt.Sprint(startDeadline), g.WorstS)
		}
	}
	return c.violations
}
