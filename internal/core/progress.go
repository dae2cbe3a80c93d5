package core

import (
	"github.com/barrowbridge/barrowbridge/internal/ranges"
	"github.com/barrowbridge/barrowbridge/internal/rollout"
	"github.com/barrowbridge/barrowbridge/internal/tuning"
	"github.com/barrowbridge/barrowbridge/wire"
)

// knownDone returns the tasks of a job that are stored as done, as far as this version reads the records.
func (c *Core) knownDone(e *jobEntry) ranges.Set {
	return ranges.Set(e.record.Done).Union(c.progress.Done(e.record.ID))
}

// durableDone returns the tasks of a job that any controller that takes it over knows as done. Until all
// controllers understand progress records, only the job's own record counts.
func (c *Core) durableDone(e *jobEntry) ranges.Set {
	if !c.featureEnabled(rollout.ProgressRecords) {
		return e.record.Done
	}
	return c.knownDone(e)
}

// addProgress adds a job's current progress to the batch. Its starts are written separately. Tasks that
// were written as done stay so: they have been cleared from their workers, so a controller that took the
// job over would start them again.
func (b *batch) addProgress(e *jobEntry) {
	c, rec, maxParts := b.c, e.record, b.maxChanges-len(b.changes)
	if !c.featureEnabled(rollout.ProgressRecords) {
		maxParts = 0
	}
	plan := c.progress.Plan(rec.ID, rec.Done, e.run.done, func(done ranges.Set) bool {
		rec.Done = done
		raw, err := wire.Marshal(rec)
		return err == nil && wire.FitsIn(raw, c.params.MaxValueBytes)
	}, maxParts)
	var changes []wire.Change
	if rec.Done = plan.Record.Clone(); plan.PutRecord {
		changes = append(changes, wire.Change{Put: jobKey(rec.ID), Value: rec})
		raw, _ := wire.Marshal(rec)
		b.bytes += len(raw)
	}
	for _, part := range plan.Parts {
		b.conditions = append(b.conditions, wire.Condition{Key: part.Key, Version: part.Version})
		changes = append(changes, wire.Change{Put: part.Key, Value: part.Record})
	}
	if len(changes) > 0 {
		b.addJob(e, changes...)
	}
}

// hasUnwrittenEnd reports whether an attempt has completed its task and that is not stored yet.
func (c *Core) hasUnwrittenEnd(a *attempt) bool {
	e := c.jobs[a.job]
	return e != nil && e.run != nil && a.status == wire.TaskEnded && a.cause == wire.CauseDone && !c.durableDone(e).Contains(a.taskIndex)
}

// keepsUnwrittenEnds reports whether a machine's worker has reported ends that are not stored yet. Until
// they are, the machine is not returned: if this controller stopped then, the ends would be lost. A
// drained machine that has not reported since a takeover may have such ends as well.
func (c *Core) keepsUnwrittenEnds(m *machine) bool {
	if m.inherited && !m.accounted && c.cordons[m.name].Drain {
		return true
	}
	for _, a := range m.attempts {
		if c.hasUnwrittenEnd(a) {
			return true
		}
	}
	return false
}

// expediteEnd has the end of an attempt written urgently because its worker may soon be unable to report
// it again, or is already.
func (c *Core) expediteEnd(a *attempt) {
	if c.hasUnwrittenEnd(a) {
		c.urgentProgress[c.jobs[a.job]] = true
	}
}

// addUrgentProgress adds the progress of jobs whose ended tasks have to be written urgently.
func (c *Core) addUrgentProgress(b *batch) {
	for _, e := range sortedJobs(c.urgentProgress) {
		switch {
		case !c.pendingProgress[e]:
			delete(c.urgentProgress, e) // written, or the job is over or no longer held
		case !b.full() && !e.run.writeInFlight && c.now-e.run.progressWrittenAt >= tuning.UrgentProgressInterval:
			e.run.progressWrittenAt = c.now
			b.addProgress(e)
		}
	}
}

// deleteStaleProgress deletes the progress records of a job that is over. The write requires that the
// job's own record does not exist, and a job that is over never gets one again.
func (c *Core) deleteStaleProgress() {
	if c.leader.deletingProgress || !c.dueEvery("tidyDone", tuning.CleanupInterval) {
		return
	}
	id, keys := c.progress.Obsolete(func(id string) bool { return c.jobs[id] != nil }, c.params.MaxTxnOps/2)
	if id == "" {
		return
	}
	var changes []wire.Change
	for _, key := range keys {
		changes = append(changes, wire.Change{Delete: key})
	}
	c.leader.deletingProgress = true
	c.commit(LaneDeferred, []wire.Condition{c.leaderCondition(), {Key: jobKey(id)}}, changes, func(StateReply) { c.leader.deletingProgress = false })
}
