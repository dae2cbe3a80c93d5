package core

import (
	"strings"

	"github.com/barrowbridge/barrowbridge/internal/limits"
	"github.com/barrowbridge/barrowbridge/internal/startlog"
	"github.com/barrowbridge/barrowbridge/internal/tuning"
	"github.com/barrowbridge/barrowbridge/wire"
)

// machineEntryPrefix begins the names of entries of the start log that record the first use of a
// machine. Other entries are named by their job.
const machineEntryPrefix = "m:"

// writeLimitParams configure how the limits of writes are learned from refused writes.
var writeLimitParams = limits.WriteBoundsParams{
	Floor:        limits.Bounds{ValueBytes: tuning.MinLearnedValueBytes, Changes: 2},
	Factor:       tuning.LearnedLimitFactor,
	SkipFor:      tuning.MalformedWriteDelay,
	SkipForMax:   tuning.MalformedWriteDelayMax,
	SinglyFor:    tuning.MalformedIsolationTime,
	StuckAfter:   tuning.StartWriteStuckAfter,
	WarnInterval: tuning.MalformedWarningInterval,
}

// writeRefused lowers the limits of writes after the state service has refused one as malformed.
func (c *Core) writeRefused(conditions []wire.Condition, changes []wire.Change, reason string) {
	if strings.Contains(reason, "lease") {
		return // the state lease has ended: its holder requests another one
	}
	write := limits.DescribeWrite(conditions, changes)
	c.effects = append(c.effects, WriteRefused{Kind: write.Kind})
	if c.writeLimits.RecordRefusal(c.now, write, reason) {
		bounds := c.writeLimits.Bounds()
		c.log(3, "state service refused a write as malformed",
			"kind", write.Kind, "bytes", write.Bytes, "changes", write.Changes, "conditions", write.Conditions, "err", reason,
			"now_bytes", bounds.ValueBytes, "now_changes", bounds.Changes)
	}
	c.applyWriteLimits(c.writeLimits.Bounds())
}

// applyWriteLimits makes all further writes respect the bounds.
func (c *Core) applyWriteLimits(bounds limits.Bounds) {
	c.params.MaxValueBytes, c.params.MaxTxnOps = bounds.ValueBytes, bounds.Changes
	c.startLog.SetLimits(startlog.Limits{Entries: tuning.MaxStartRecordEntries, Bytes: bounds.ValueBytes * 7 / 8})
	c.trail.SetRecordBytes(min(tuning.MaxStoredTrailBytes, bounds.ValueBytes/2))
	c.calendar.SetRecordBytes(bounds.ValueBytes)
}

// overlayStarts updates a job's record with the starts that were recorded separately, in the start log.
func (c *Core) overlayStarts(r *wire.Job) {
	if s, ok := c.startLog.Latest(r.ID); ok {
		r.Started = max(r.Started, s.Started)
		if s.On != nil {
			r.On = s.On
		}
	}
}

// applyStarts applies a new version of a start log record.
func (c *Core) applyStarts(key string, version uint64, r wire.Starts) error {
	changed, err := c.startLog.Put(key, version, r)
	for _, name := range changed {
		if e := c.jobs[name]; e != nil {
			c.overlayStarts(&e.record)
			c.jobChanged(e)
		} else if m := c.machines[strings.TrimPrefix(name, machineEntryPrefix)]; m != nil {
			m.fresh = false
			c.markDirty(m)
		}
		if machine, isMachine := strings.CutPrefix(name, machineEntryPrefix); isMachine {
			c.provisioning.MachineUp(c.now, machine)
		}
	}
	return err
}

// useRecorded reports whether the start log records the first use of a machine.
func (c *Core) useRecorded(machine string) bool {
	_, ok := c.startLog.Latest(machineEntryPrefix + machine)
	return ok
}

// startEntryNeeded reports whether an entry of the start log is still needed: that of a job while
// the job is live, that of a machine while its block records it as never used.
func (c *Core) startEntryNeeded(name string) bool {
	machine, isMachine := strings.CutPrefix(name, machineEntryPrefix)
	if !isMachine {
		return c.jobs[name] != nil
	}
	if b := c.blockOf(machine); b != nil {
		for _, bm := range b.record.Machines {
			if bm.Name == machine {
				return bm.Fresh
			}
		}
	}
	return false
}

// flushStarts records starts before they are made: for each shard one record with the starts
// of many jobs, urgent ones first. The write is conditional on the versions of the shard, of the
// record and of each job, so that no task is started of a job that has ended or been aborted.
func (c *Core) flushStarts() {
	if len(c.pendingWrites) == 0 && len(c.firstUseUnwritten) == 0 {
		return
	}
	c.refreshIndexes()
	jobs := sortedJobs(c.pendingWrites)
	for _, shard := range c.shardIDs() {
		// Urgent jobs come first in the list; their starts do not wait to share a write with others.
		paced := c.now < c.startsPacedUntil[shard] && !(len(jobs) > 0 && jobs[0].priority >= urgentRank)
		if !c.holdsShard(shard) || c.startsInFlight[shard] || c.now < c.startsRetryAt[shard] || paced {
			continue
		}
		var entries []startlog.Entry
		for _, name := range sortedKeys(c.firstUseUnwritten) {
			if m := c.machines[name]; m == nil || !m.fresh {
				delete(c.firstUseUnwritten, name)
			} else if m.shard == shard {
				entries = append(entries, startlog.Entry{Name: machineEntryPrefix + name, Start: wire.Start{}})
			}
		}
		jobsByID := map[string]*jobEntry{}
		for _, e := range jobs {
			if len(jobsByID) >= 4*c.params.MaxTxnOps-2 {
				break // the number of conditions in one call is limited
			}
			started, ended, due := c.unwrittenStarts(e)
			if e.run == nil || e.run.writeInFlight || ended || !due || c.shardOfTeam(e.record.Team) != shard || c.writeLimits.ShouldSkip(c.now, limits.KindStart, jobKey(e.record.ID)) {
				continue
			}
			jobsByID[e.record.ID] = e
			entries = append(entries, startlog.Entry{Name: e.record.ID, Start: c.startRecord(e, started)})
		}
		if c.writeLimits.WriteSingly(c.now) && len(jobsByID) > 0 {
			entries = entries[len(entries)-len(jobsByID):][:1] // one by one, to find the entry that is refused
		}
		if len(entries) > 0 {
			c.writeStarts(shard, entries, jobsByID)
		}
	}
}

// startRecord returns the entry to be written for a job's starts.
func (c *Core) startRecord(e *jobEntry, started int) wire.Start {
	s := wire.Start{Started: max(started, e.record.Started), Bad: c.taskHealth.Mistaken(e.record.ID)}
	if tracksMachines(&e.record) {
		s.On = make([]string, e.record.Tasks)
		copy(s.On, e.record.On)
		for k, a := range e.run.active {
			s.On[k] = a.machine.name
		}
	}
	return s
}

// failureUnrecorded reports whether a job fails on all machines and the start log does not record
// that yet.
func (c *Core) failureUnrecorded(e *jobEntry) bool {
	if !c.taskHealth.Mistaken(e.record.ID) {
		return false
	}
	s, _ := c.startLog.Latest(e.record.ID)
	return !s.Bad
}

// writeStarts writes as many of the entries as one record takes, and retries after a pause if that fails.
func (c *Core) writeStarts(shard int, entries []startlog.Entry, jobsByID map[string]*jobEntry) {
	plan := c.startLog.Plan(shard, entries, c.startEntryNeeded)
	conditions := []wire.Condition{c.shardUnchanged(shard), {Key: plan.Key, Version: plan.Version}}
	var busy []*jobEntry
	for _, x := range entries[:plan.Included] {
		if e := jobsByID[x.Name]; e != nil {
			conditions = append(conditions, wire.Condition{Key: jobKey(x.Name), Version: e.version})
			e.run.writeInFlight = true
			busy = append(busy, e)
		}
	}
	c.startsInFlight[shard] = true
	c.startsPacedUntil[shard] = c.now + tuning.StartWriteInterval
	c.commit(LaneUser, conditions, []wire.Change{{Put: plan.Key, Value: plan.Record}}, func(r StateReply) {
		delete(c.startsInFlight, shard)
		for _, e := range busy {
			if e.run != nil {
				e.run.writeInFlight = false
			}
		}
		if r.Status != 200 {
			c.startsRetryAt[shard] = c.now + tuning.StartWriteRetryDelay
			c.log(2, "starts not written", "starts", plan.Included, "status", r.Status, "err", r.Err, "failed", strings.Join(r.Txn.Failed, " "))
		}
		c.placementDue = true
		c.runHolder()
	})
}
