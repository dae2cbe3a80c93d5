package core

import (
	"fmt"
	"time"

	"github.com/barrowbridge/barrowbridge/wire"
)

// Users of job chains. The checker hears of the predecessors with each submission.

// newPipeline submits a random pipeline over several teams, numbered from id: one to three jobs
// first, up to three after some of these, and a last one that needs all that nothing else needs
// and alone has priority and deadline. Some first ones need an earlier job of anybody's, some last
// ones are submitted only when the others are over, and of some pipelines one job is cancelled. It
// returns the number of the next job, and the last job's id.
func (w *world) newPipeline(id int) (next int, last string) {
	var jobs []wire.JobSpec
	open := map[string]bool{} // not needed by any job yet
	add := func(tasks int, needs ...string) {
		s := spec(fmt.Sprintf("job-%06d", id+len(jobs)), []string{"red", "blue", "green"}[w.rng.IntN(3)], wire.ShapeBatch, tasks)
		s.Spot, s.DueS, s.Predecessors = ptr(w.rng.IntN(2) == 0), nil, needs
		for _, n := range needs {
			delete(open, n)
		}
		open[*s.ID] = true
		jobs = append(jobs, s)
	}
	earlier := w.earlierBatch()
	for range 1 + w.rng.IntN(3) {
		var needs []string
		if len(earlier) > 0 && w.rng.IntN(4) == 0 {
			needs = []string{earlier[w.rng.IntN(len(earlier))]}
		}
		add(1+w.rng.IntN(6), needs...)
	}
	first := len(jobs)
	for range w.rng.IntN(4) {
		a, b := w.rng.IntN(first), w.rng.IntN(len(jobs)) // the same one, too
		add(1+w.rng.IntN(10), *jobs[a].ID, *jobs[b].ID)
	}
	add(1+w.rng.IntN(3), sortedKeys(open)...)
	end := &jobs[len(jobs)-1]
	end.Priority, end.DueS = ptr("urgent"), ptr(float64(60+w.rng.IntN(120)))
	late := w.rng.IntN(3) == 0
	for i, s := range jobs {
		w.submitAfter(s, late && i == len(jobs)-1)
	}
	if w.rng.IntN(3) == 0 {
		gone := *jobs[w.rng.IntN(len(jobs))].ID
		w.at(time.Duration(1+w.rng.IntN(25))*time.Second, func() {
			if w.jobs[gone] != nil {
				w.abort(gone)
			}
		})
	}
	return id + len(jobs), *end.ID
}

// earlierBatch lists the accepted jobs that others may need.
func (w *world) earlierBatch() (out []string) {
	for _, id := range sortedKeys(w.jobs) {
		if *w.jobs[id].spec.Shape == wire.ShapeBatch && w.check.Accepted(id) {
			out = append(out, id)
		}
	}
	return out
}

// submitAfter submits a job as soon as those that it needs are accepted, or when they are over.
func (w *world) submitAfter(s wire.JobSpec, over bool) {
	for _, p := range s.Predecessors {
		if !w.check.Accepted(p) || over && w.check.Final(p) == "" {
			w.at(200*time.Millisecond, func() { w.submitAfter(s, over) })
			return
		}
	}
	w.submit(s)
}
