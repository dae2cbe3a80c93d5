package core

import (
	"strings"

	"github.com/barrowbridge/barrowbridge/internal/dependency"
	"github.com/barrowbridge/barrowbridge/wire"
)

// onAdminChain draws the chain of a job.
func (c *Core) onAdminChain(v AdminChain) {
	if !c.loaded || !wire.ValidJobID(v.ID) {
		c.answerLookup(v.Req, v.ID, jobLookup{ok: c.loaded})
		return
	}
	if c.jobs[v.ID] != nil || c.waitsForOthers(v.ID) {
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

// whyWaits tells what a job waits for.
func (c *Core) whyWaits(id string) []string {
	if v := c.chain.Judge(id, c.accepted); v.Outcome == dependency.Cancelled {
		return []string{"cancelled with " + v.By}
	}
	var left []string
	predecessors, _ := c.chain.Awaits(id)
	for _, p := range predecessors {
		if c.accepted(p) || c.waitsForOthers(p) {
			left = append(left, p)
		}
	}
	return []string{"waits until these are done: " + strings.Join(left, ", ")}
}

// chainOf is all that a job awaits and all that awaits it, as far as this controller sees it.
func (c *Core) chainOf(id string) map[string]dependency.Seen {
	seen, todo := map[string]dependency.Seen{}, append([]string{id}, c.chain.After(id)...)
	for ; len(todo) > 0; todo = todo[1:] {
		id := todo[0]
		if _, is := seen[id]; is {
			continue
		}
		e, x := c.jobs[id], dependency.Seen{}
		if w := c.waitingAt[id]; w != nil {
			e, x.Waits, x.Status = w, true, c.jobStatus(&w.record)
			if v := c.chain.Judge(id, c.accepted); v.Outcome == dependency.Cancelled {
				x.Status.Status, x.By = wire.JobAborted, v.By
			}
		} else if e != nil {
			x.Status = c.jobStatus(&e.record)
		} else if f, known := c.finalStates[id]; known {
			x.Status, x.By = finalStatus(id, f), f.By
		}
		if e != nil {
			own := c.demandOf(&e.record)
			x.Job, x.Length, x.Due, x.Inherited = &e.record, own.Length, own.Due, c.chain.Inherited(id)
			todo = append(todo, e.record.Predecessors...)
		}
		seen[id] = x
	}
	return seen
}
