package checker

import (
	"fmt"
	"slices"
	"time"

	"github.com/barrowbridge/barrowbridge/wire"
)

// begins is within what time a job has to begin.
const begins = 4 * time.Minute

// Group is a class, a team, or the largest jobs of a class, and how they were served.
type Group struct {
	Name   string  `json:"name"`
	Jobs   int     `json:"jobs"`    // accepted, and not cancelled while they might still have begun in time
	Served int     `json:"served"`  // begun within four minutes
	WorstS float64 `json:"worst_s"` // the longest that one waited for its first task, seconds
}

// Served tells how each class, each team and the largest tenth of each class was served, by
// tasks and by what one task takes.
func (c *Checker) Served(now Time) []Group {
	by := map[string][]*job{}
	for id, j := range c.jobs {
		from, gone := c.ready(id, j), c.cancelled(id, j)
		if from == never || j.begun == never && (now-from < begins || gone != never && gone-from < begins) {
			continue // it was never asked for, or nobody can say yet
		}
		by["class "+*j.spec.Class] = append(by["class "+*j.spec.Class], j)
		by["team "+*j.spec.Team] = append(by["team "+*j.spec.Team], j)
	}
	for _, name := range sorted(by) {
		if jobs := by[name]; len(jobs) >= 10 && name[0] == 'c' {
			by["largest of "+name+" by tasks"] = largest(jobs, func(s *wire.JobSpec) float64 { return float64(*s.Tasks) })
			by["largest of "+name+" by task"] = largest(jobs, func(s *wire.JobSpec) float64 { return max(*s.CPUs/4, *s.MemoryGB/16, *s.GPUs) })
		}
	}
	var out []Group
	for _, name := range sorted(by) {
		g := Group{Name: name, Jobs: len(by[name])}
		for _, j := range by[name] {
			waited := max(0, min(now, j.begun)-c.ready(*j.spec.ID, j))
			if g.WorstS = max(g.WorstS, waited.Seconds()); waited <= begins && j.begun != never {
				g.Served++
			}
		}
		out = append(out, g)
	}
	return out
}

// largest are the jobs as large as those of the largest tenth.
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

func sorted[V any](m map[string]V) []string {
	names := make([]string, 0, len(m))
	for n := range m {
		names = append(names, n)
	}
	slices.Sort(names)
	return names
}

// FinishDay ends the observation of a day: it fails, too, if less than half of a class, a
// team or a class's largest jobs was served.
func (c *Checker) FinishDay(now Time) []Violation {
	c.Finish(now)
	for _, g := range c.Served(now) {
		if 2*g.Served < g.Jobs {
			c.fail(now, Unserved, "%s: %d of %d jobs begun within %v, the last after %.0f s", g.Name, g.Served, g.Jobs, fmt.Sprint(begins), g.WorstS)
		}
	}
	return c.broken
}
