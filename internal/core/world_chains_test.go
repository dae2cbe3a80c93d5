package core

import (
	"fmt"
	"time"

	"github.com/barrowbridge/barrowbridge/wire"
)

// Scripted users of job chains. The checker learns the predecessors with each submission.

// newPipeline submits a random pipeline of jobs of several teams, numbered from id: one to three
// first jobs, up to three jobs that depend on some of these, and a last job that depends on all
// jobs that no other job depends on. Only the last job has a raised priority and a deadline.
// Some first jobs depend on an earlier job of any team, some last jobs are submitted only when
// their predecessors have ended, and in some pipelines one job is cancelled. newPipeline returns
// the number of the next job and the ID of the last job.
func (w *world) newPipeline(id int) (next int, last string) {
	var jobs []wire.JobSpec
	open := map[string]bool{} // jobs that no other job depends on yet
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
		a, b := w.rng.IntN(first), w.rng.IntN(len(jobs)) // both may be the same job
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

// earlierBatch lists the accepted batch jobs, on which others may depend.
func (w *world) earlierBatch() (out []string) {
	for _, id := range sortedKeys(w.jobs) {
		if *w.jobs[id].spec.Shape == wire.ShapeBatch && w.check.Accepted(id) {
			out = append(out, id)
		}
	}
	return out
}

// submitAfter submits a job as soon as its predecessors are accepted, or, if over is true, when
// they have ended.
func (w *world) submitAfter(s wire.JobSpec, over bool) {
	for _, p := range s.Predecessors {
		if !w.check.Accepted(p) || over && w.check.Final(p) == "" {
			w.at(200*time.Millisecond, func() { w.submitAfter(s, over) })
			return
		}
	}
	w.submit(s)
}
