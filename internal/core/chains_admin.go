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
		seen := map[string]dependency.Seen{v.ID: {Status: finalStatus(v.ID, *f), By: f.By}}
		c.answer(v.Req, 200, dependency.View(c.params.Node, v.ID, float64(c.wall.UnixMilli())/1000, seen))
	})
}

// waitReason returns what a waiting job waits for, in words for its user.
func (c *Core) waitReason(id string) []string {
	if v := c.dependencies.Judge(id, c.isLive); v.Outcome == dependency.Cancelled {
		return []string{"cancelled with " + v.By}
	}
	var left []string
	predecessors, _ := c.dependencies.Awaits(id)
	for _, p := range predecessors {
		if c.isLive(p) || c.isWaiting(p) {
			left = append(left, p)
		}
	}
	return []string{"waits until these are done: " + strings.Join(left, ", ")}
}

// chainOf returns what this controller knows of a job, of all its predecessors and of all jobs that depend
// on it, by job ID.
func (c *Core) chainOf(id string) map[string]dependency.Seen {
	seen, unvisited := map[string]dependency.Seen{}, append([]string{id}, c.dependencies.After(id)...)
	for ; len(unvisited) > 0; unvisited = unvisited[1:] {
		id := unvisited[0]
		if _, is := seen[id]; is {
			continue
		}
		e, view := c.jobs[id], dependency.Seen{}
		if waiting := c.waitingJobs[id]; waiting != nil {
			e, view.Waits, view.Status = waiting, true, c.jobStatus(&waiting.record)
			if v := c.dependencies.Judge(id, c.isLive); v.Outcome == dependency.Cancelled {
				view.Status.Status, view.By = wire.JobAborted, v.By
			}
		} else if e != nil {
			view.Status = c.jobStatus(&e.record)
		} else if f, known := c.finalStates[id]; known {
			view.Status, view.By = finalStatus(id, f), f.By
		}
		if e != nil {
			own := c.demandOf(&e.record)
			view.Job, view.Length, view.Due, view.Inherited = &e.record, own.Length, own.Due, c.dependencies.Inherited(id)
			unvisited = append(unvisited, e.record.Predecessors...)
		}
		seen[id] = view
	}
	return seen
}
