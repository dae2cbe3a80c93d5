package core

import (
	"strings"

	"github.com/barrowbridge/barrowbridge/internal/limits"
	"github.com/barrowbridge/barrowbridge/internal/starts"
	"github.com/barrowbridge/barrowbridge/internal/tuning"
	"github.com/barrowbridge/barrowbridge/wire"
)

// machineEntry names a machine among the starts.
const machineEntryPrefix = "m:"

var writeLimitParams = limits.FormParams{Least: limits.Bounds{ValueBytes: tuning.FormLeast, Changes: 2}, Factor: tuning.FormFactor,
	Aside: tuning.FormAside, AsideM: tuning.FormAsideMax, Alone: tuning.FormAlone, Stuck: tuning.FormStuck, Again: tuning.FormAgain}

// refusedForm learns from a write that the state service calls malformed.
func (c *Core) writeRefused(when []wire.Condition, then []wire.Change, why string) {
	if strings.Contains(why, "lease") {
		return // it has ended: its holder takes another
	}
	write := limits.Describe(when, then)
	c.out = append(c.out, WriteRefused{Kind: write.Kind})
	if c.form.Refused(c.now, write, why) {
		bounds := c.form.Bounds()
		c.log(3, "a write was refused for its form", "kind", write.Kind, "bytes", write.Bytes, "changes", write.Changes, "conditions", write.Conditions, "err", why, "now_bytes", bounds.ValueBytes, "now_changes", bounds.Changes)
	}
	c.applyWriteLimits(c.form.Bounds())
}

// keepTo has all that is written from now on keep to bounds.
func (c *Core) applyWriteLimits(bounds limits.Bounds) {
	c.p.ValueBytes, c.p.TxnOps = bounds.ValueBytes, bounds.Changes
	c.started.KeepTo(starts.Limits{Entries: tuning.StartEntries, Bytes: bounds.ValueBytes * 7 / 8})
	c.trail.KeepTo(min(tuning.TrailBytes, bounds.ValueBytes/2))
	c.calendar.KeepTo(bounds.ValueBytes)
}

// overlay brings a job's record up to what has been written of its starts apart from it.
func (c *Core) overlayStarts(r *wire.Job) {
	if s, ok := c.started.Of(r.ID); ok {
		r.Started = max(r.Started, s.Started)
		if s.On != nil {
			r.On = s.On
		}
	}
}

// putStarts takes a new record of starts.
func (c *Core) applyStarts(key string, ver uint64, r wire.Starts) error {
	changed, err := c.started.Put(key, ver, r)
	for _, name := range changed {
		if e := c.jobs[name]; e != nil {
			c.overlayStarts(&e.rec)
			c.jobChanged(e)
		} else if m := c.machines[strings.TrimPrefix(name, machineEntryPrefix)]; m != nil {
			m.fresh = false
			c.markDirty(m)
		}
		if machine, isMachine := strings.CutPrefix(name, machineEntryPrefix); isMachine {
			c.boots.Up(c.now, machine)
		}
	}
	return err
}

// everUsed tells whether it has been written that a fresh machine is one no longer.
func (c *Core) useRecorded(machine string) bool {
	_, ok := c.started.Of(machineEntryPrefix + machine)
	return ok
}

// stillCounts tells whether an entry of the starts is still needed.
func (c *Core) startEntryNeeded(name string) bool {
	machine, isMachine := strings.CutPrefix(name, machineEntryPrefix)
	if !isMachine {
		return c.jobs[name] != nil
	}
	if b := c.blockOf(machine); b != nil {
		for _, bm := range b.rec.Machines {
			if bm.Name == machine {
				return bm.Fresh
			}
		}
	}
	return false
}

// flushStarts writes starts before they are made: for each shard one record with the
// starts of many jobs, urgent ones first, compared with the shard, the record and each
// job, so that nothing is started of a job that has ended or been aborted.
func (c *Core) flushStarts() {
	if len(c.pendingWrites) == 0 && len(c.firstUseUnwritten) == 0 {
		return
	}
	c.refreshIndexes()
	jobs := sortedJobs(c.pendingWrites)
	for _, shard := range c.shardIDs() {
		// Urgent ones, which come first in the list, wait for no others to come along.
		paced := c.now < c.startsPacedUntil[shard] && !(len(jobs) > 0 && jobs[0].prio >= urgentRank)
		if !c.mine(shard) || c.startsInFlight[shard] || c.now < c.startsRetryAt[shard] || paced {
			continue
		}
		var entries []starts.Entry
		for _, name := range sortedKeys(c.firstUseUnwritten) {
			if m := c.machines[name]; m == nil || !m.fresh {
				delete(c.firstUseUnwritten, name)
			} else if m.shard == shard {
				entries = append(entries, starts.Entry{Name: machineEntryPrefix + name, Start: wire.Start{}})
			}
		}
		jobsByID := map[string]*jobEntry{}
		for _, e := range jobs {
			if len(jobsByID) >= 4*c.p.TxnOps-2 {
				break // conditions in one call
			}
			started, ended, due := c.unwrittenStarts(e)
			if e.run == nil || e.run.writeInFlight || ended || !due || c.shardOf(e.rec.Team) != shard || c.form.Aside(c.now, limits.Start, jobKey(e.rec.ID)) {
				continue
			}
			jobsByID[e.rec.ID] = e
			entries = append(entries, starts.Entry{Name: e.rec.ID, Start: c.startRecord(e, started)})
		}
		if c.form.Alone(c.now) && len(jobsByID) > 0 {
			entries = entries[len(entries)-len(jobsByID):][:1] // one by one, to find the one that is refused
		}
		if len(entries) > 0 {
			c.writeStarts(shard, entries, jobsByID)
		}
	}
}

// startOf is what is to be written of a job's starts.
func (c *Core) startRecord(e *jobEntry, started int) wire.Start {
	s := wire.Start{Started: max(started, e.rec.Started), Bad: c.taskHealth.Mistaken(e.rec.ID)}
	if tracksMachines(&e.rec) {
		s.On = make([]string, e.rec.Tasks)
		copy(s.On, e.rec.On)
		for k, a := range e.run.active {
			s.On[k] = a.machine.name
		}
	}
	return s
}

// badNews tells whether it is still to be written that a job fails everywhere.
func (c *Core) failureUnrecorded(e *jobEntry) bool {
	if !c.taskHealth.Mistaken(e.rec.ID) {
		return false
	}
	s, _ := c.started.Of(e.rec.ID)
	return !s.Bad
}

func (c *Core) writeStarts(shard int, entries []starts.Entry, jobsByID map[string]*jobEntry) {
	plan := c.started.Plan(shard, entries, c.startEntryNeeded)
	conditions := []wire.Condition{c.shardCond(shard), {Key: plan.Key, Version: plan.Ver}}
	var busy []*jobEntry
	for _, x := range entries[:plan.Taken] {
		if e := jobsByID[x.Name]; e != nil {
			conditions = append(conditions, wire.Condition{Key: jobKey(x.Name), Version: e.ver})
			e.run.writeInFlight = true
			busy = append(busy, e)
		}
	}
	c.startsInFlight[shard] = true
	c.startsPacedUntil[shard] = c.now + tuning.StartsEvery
	c.commit(LaneUser, conditions, []wire.Change{{Put: plan.Key, Value: plan.Record}}, func(r StateReply) {
		delete(c.startsInFlight, shard)
		for _, e := range busy {
			if e.run != nil {
				e.run.writeInFlight = false
			}
		}
		if r.Status != 200 {
			c.startsRetryAt[shard] = c.now + tuning.StartsAgain
			c.log(2, "not written", "starts", plan.Taken, "status", r.Status, "err", r.Err, "failed", strings.Join(r.Txn.Failed, " "))
		}
		c.placementDue = true
		c.runHolder()
	})
}
