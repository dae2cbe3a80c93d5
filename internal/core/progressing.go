package core

import (
	"github.com/barrowbridge/barrowbridge/internal/ranges"
	"github.com/barrowbridge/barrowbridge/internal/rollout"
	"github.com/barrowbridge/barrowbridge/internal/tuning"
	"github.com/barrowbridge/barrowbridge/wire"
)

// known is which of a job's tasks stand as done in the state, as far as this version reads it.
func (c *Core) known(e *jobEntry) ranges.Set {
	return ranges.Set(e.record.Done).Union(c.progress.Of(e.record.ID))
}

// durable is which of a job's tasks whoever takes it over knows as done.
func (c *Core) durable(e *jobEntry) ranges.Set {
	if !c.featureEnabled(rollout.ProgressRecords) {
		return e.record.Done
	}
	return c.known(e)
}

// addProgress adds a job's progress as it stands now. Its starts are written apart. What has
// been written before stays: the tasks are cleared from their workers, and whoever took the
// job over would start them again.
func (b *batch) addProgress(e *jobEntry) {
	c, rec, further := b.c, e.record, b.max-len(b.then)
	if !c.featureEnabled(rollout.ProgressRecords) {
		further = 0
	}
	p := c.progress.Plan(rec.ID, rec.Done, e.run.done, func(done ranges.Set) bool {
		rec.Done = done
		raw, err := wire.Marshal(rec)
		return err == nil && wire.FitsIn(raw, c.params.MaxValueBytes)
	}, further)
	var changes []wire.Change
	if rec.Done = p.Record.Clone(); p.Put {
		changes = append(changes, wire.Change{Put: jobKey(rec.ID), Value: rec})
		raw, _ := wire.Marshal(rec)
		b.bytes += len(raw)
	}
	for _, x := range p.Parts {
		b.when = append(b.when, wire.Condition{Key: x.Key, Version: x.Ver})
		changes = append(changes, wire.Change{Put: x.Key, Value: x.Record})
	}
	if len(changes) > 0 {
		b.addJob(e, changes...)
	}
}

// owesEnd tells whether an attempt has completed its task, and that does not stand in the state.
func (c *Core) owesEnd(a *attempt) bool {
	e := c.jobs[a.job]
	return e != nil && e.run != nil && a.status == wire.TaskEnded && a.cause == wire.CauseDone && !c.durable(e).Has(a.taskIndex)
}

// keepsEnds tells whether a machine's worker has told ends that do not stand in the state:
// until they do it is not returned. If we ended then, nobody would know of them. One that is
// drained and has not told us anything since a change of hands may keep some as well.
func (c *Core) keepsEnds(m *machine) bool {
	if m.inherited && !m.accounted && c.cordons[m.name].Drain {
		return true
	}
	for _, a := range m.attempts {
		if c.owesEnd(a) {
			return true
		}
	}
	return false
}

// hasten has an end written at once that its worker will not tell for long, or no more.
func (c *Core) hasten(a *attempt) {
	if c.owesEnd(a) {
		c.urgentProgress[c.jobs[a.job]] = true
	}
}

// addHasty adds the progress of jobs that cannot wait for others to end.
func (c *Core) addHasty(b *batch) {
	for _, e := range sortedJobs(c.urgentProgress) {
		switch {
		case !c.pendingProgress[e]:
			delete(c.urgentProgress, e) // written, or ended as a whole, or no longer ours
		case !b.full() && !e.run.writeInFlight && c.now-e.run.progressWrittenAt >= tuning.HastyFlush:
			e.run.progressWrittenAt = c.now
			b.addProgress(e)
		}
	}
}

// tidyDone removes what tells of done tasks of a job that is over: its own record is gone for
// good, which the write compares.
func (c *Core) tidyDone() {
	if c.leader.tidying || !c.dueEvery("tidyDone", tuning.TidyEvery) {
		return
	}
	id, keys := c.progress.Over(func(id string) bool { return c.jobs[id] != nil }, c.params.MaxTxnOps/2)
	if id == "" {
		return
	}
	var then []wire.Change
	for _, k := range keys {
		then = append(then, wire.Change{Delete: k})
	}
	c.leader.tidying = true
	c.commit(LaneLater, []wire.Condition{c.leaderCond(), {Key: jobKey(id)}}, then, func(StateReply) { c.leader.tidying = false })
}
