package core

import (
	"strings"

	"github.com/barrowbridge/barrowbridge/internal/dependency"
	"github.com/barrowbridge/barrowbridge/wire"
)

// onAdminChain answers with the chain of a job: all jobs that it depends on and that depend on it.
func (c *Core) onAdminChain(v AdminChain) {
	if !c.loaded || !wire.ValidJobID(v.ID) {
		c.answerLookup(v.Req, v.ID, jobLookup{ok: c.loaded})
		return
	}
	if c.jobs[v.ID] != nil || c.isWaiting(v.ID) {
		c.answer(v.Req, 200, dependency.View(c.params.Node, v.ID, float64(c.wall.UnixMilli())/1000, c.chainOf(v.ID)))
		return
	}
	c.lookUpJob(v.ID, func(at jobLookup) {
		if !at.ok || at.final == nil {
			c.answerLookup(v.Req, v.ID, at)
			return
		}
		f := at.final
		seen := map[string]dependency.JobState{v.ID: {Status: finalStatus(v.ID, *f), CancelledBy: f.By}}
		c.answer(v.Req, 200, dependency.View(c.params.Node, v.ID, float64(c.wall.UnixMilli())/1000, seen))
	})
}

// waitReason returns what a waiting job waits for, in words for its user.
func (c *Core) waitReason(id string) []string {
	if v := c.dependencies.Evaluate(id, c.isLive); v.Outcome == dependency.Cancelled {
		return []string{"cancelled with " + v.CancelledBy}
	}
	var left []string
	predecessors, _ := c.dependencies.Predecessors(id)
	for _, p := range predecessors {
		if c.isLive(p) || c.isWaiting(p) {
			left = append(left, p)
		}
	}
	return []string{"waits until these are done: " + strings.Join(left, ", ")}
}

// chainOf returns what this controller knows of a job, of all its predecessors and of all jobs that depend
// on it, by job ID.
func (c *Core) chainOf(id string) map[string]dependency.JobState {
	seen, unvisited := map[string]dependency.JobState{}, append([]string{id}, c.dependencies.Descendants(id)...)
	for ; len(unvisited) > 0; unvisited = unvisited[1:] {
		id := unvisited[0]
		if _, is := seen[id]; is {
			continue
		}
		e, view := c.jobs[id], dependency.JobState{}
		if waiting := c.waitingJobs[id]; waiting != nil {
			e, view.Waiting, view.Status = waiting, true, c.jobStatus(&waiting.record)
			if v := c.dependencies.Evaluate(id, c.isLive); v.Outcome == dependency.Cancelled {
				view.Status.Status, view.CancelledBy = wire.JobAborted, v.CancelledBy
			}
		} else if e != nil {
			view.Status = c.jobStatus(&e.record)
		} else if f, known := c.finalStates[id]; known {
			view.Status, view.CancelledBy = finalStatus(id, f), f.By
		}
		if e != nil {
			own := c.demandOf(&e.record)
			view.Job, view.DurationSeconds, view.Due, view.Inherited = &e.record, own.DurationSeconds, own.Due, c.dependencies.Inherited(id)
			unvisited = append(unvisited, e.record.Predecessors...)
		}
		seen[id] = view
	}
	return seen
}
