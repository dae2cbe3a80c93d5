package core

import (
	"strings"

	"github.com/barrowbridge/barrowbridge/internal/limits"
	"github.com/barrowbridge/barrowbridge/internal/starts"
	"github.com/barrowbridge/barrowbridge/internal/tuning"
	"github.com/barrowbridge/barrowbridge/wire"
)

// machineEntry names a machine among the starts.
const machineEntry = "m:"

var formParams = limits.FormParams{Least: limits.Bounds{ValueBytes: tuning.FormLeast, Changes: 2}, Factor: tuning.FormFactor,
	Aside: tuning.FormAside, AsideM: tuning.FormAsideMax, Alone: tuning.FormAlone, Stuck: tuning.FormStuck, Again: tuning.FormAgain}

// refusedForm learns from a write that the state service calls malformed.
func (c *Core) refusedForm(when []wire.Condition, then []wire.Change, why string) {
	if strings.Contains(why, "lease") {
		return // it has ended: its holder takes another
	}
	w := limits.Describe(when, then)
	c.effects = append(c.effects, WriteRefused{Kind: w.Kind})
	if c.writeLimits.Refused(c.now, w, why) {
		b := c.writeLimits.Bounds()
		c.log(3, "a write was refused for its form", "kind", w.Kind, "bytes", w.Bytes, "changes", w.Changes, "conditions", w.Conditions, "err", why, "now_bytes", b.ValueBytes, "now_changes", b.Changes)
	}
	c.keepTo(c.writeLimits.Bounds())
}

// keepTo has all that is written from now on keep to bounds.
func (c *Core) keepTo(b limits.Bounds) {
	c.params.MaxValueBytes, c.params.MaxTxnOps = b.ValueBytes, b.Changes
	c.startLog.KeepTo(starts.Limits{Entries: tuning.StartEntries, Bytes: b.ValueBytes * 7 / 8})
	c.trail.KeepTo(min(tuning.TrailBytes, b.ValueBytes/2))
	c.calendar.KeepTo(b.ValueBytes)
}

// overlay brings a job's record up to what has been written of its starts apart from it.
func (c *Core) overlay(r *wire.Job) {
	if s, ok := c.startLog.Of(r.ID); ok {
		r.Started = max(r.Started, s.Started)
		if s.On != nil {
			r.On = s.On
		}
	}
}

// putStarts takes a new record of starts.
func (c *Core) putStarts(key string, ver uint64, r wire.Starts) error {
	changed, err := c.startLog.Put(key, ver, r)
	for _, name := range changed {
		if e := c.jobs[name]; e != nil {
			c.overlay(&e.record)
			c.jobSeen(e)
		} else if m := c.machines[strings.TrimPrefix(name, machineEntry)]; m != nil {
			m.fresh = false
			c.touch(m)
		}
		if machine, is := strings.CutPrefix(name, machineEntry); is {
			c.provisioning.Up(c.now, machine)
		}
	}
	return err
}

// everUsed tells whether it has been written that a fresh machine is one no longer.
func (c *Core) everUsed(machine string) bool {
	_, ok := c.startLog.Of(machineEntry + machine)
	return ok
}

// stillCounts tells whether an entry of the starts is still needed.
func (c *Core) stillCounts(name string) bool {
	machine, is := strings.CutPrefix(name, machineEntry)
	if !is {
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

// flushStarts writes starts before they are made: for each shard one record with the
// starts of many jobs, urgent ones first, compared with the shard, the record and each
// job, so that nothing is started of a job that has ended or been aborted.
func (c *Core) flushStarts() {
	if len(c.owed) == 0 && len(c.warm) == 0 {
		return
	}
	c.update()
	jobs := sortedJobs(c.owed)
	for _, i := range c.shardIDs() {
		// Urgent ones, which come first in the list, wait for no others to come along.
		paced := c.now < c.startsNext[i] && !(len(jobs) > 0 && jobs[0].priority >= urgentRank)
		if !c.holdsShard(i) || c.startsBusy[i] || c.now < c.startsAt[i] || paced {
			continue
		}
		var entries []starts.Entry
		for _, name := range sortedKeys(c.warm) {
			if m := c.machines[name]; m == nil || !m.fresh {
				delete(c.warm, name)
			} else if m.shard == i {
				entries = append(entries, starts.Entry{Name: machineEntry + name, Start: wire.Start{}})
			}
		}
		of := map[string]*jobEntry{}
		for _, e := range jobs {
			if len(of) >= 4*c.params.MaxTxnOps-2 {
				break // conditions in one call
			}
			started, ended, owes := c.owes(e)
			if e.run == nil || e.run.writing || ended || !owes || c.shardOfTeam(e.record.Team) != i || c.writeLimits.Aside(c.now, limits.Start, jobKey(e.record.ID)) {
				continue
			}
			of[e.record.ID] = e
			entries = append(entries, starts.Entry{Name: e.record.ID, Start: c.startOf(e, started)})
		}
		if c.writeLimits.Alone(c.now) && len(of) > 0 {
			entries = entries[len(entries)-len(of):][:1] // one by one, to find the one that is refused
		}
		if len(entries) > 0 {
			c.writeStarts(i, entries, of)
		}
	}
}

// startOf is what is to be written of a job's starts.
func (c *Core) startOf(e *jobEntry, started int) wire.Start {
	s := wire.Start{Started: max(started, e.record.Started), Bad: c.health.Mistaken(e.record.ID)}
	if tracked(&e.record) {
		s.On = make([]string, e.record.Tasks)
		copy(s.On, e.record.On)
		for k, a := range e.run.active {
			s.On[k] = a.m.name
		}
	}
	return s
}

// badNews tells whether it is still to be written that a job fails everywhere.
func (c *Core) badNews(e *jobEntry) bool {
	if !c.health.Mistaken(e.record.ID) {
		return false
	}
	s, _ := c.startLog.Of(e.record.ID)
	return !s.Bad
}

func (c *Core) writeStarts(i int, entries []starts.Entry, of map[string]*jobEntry) {
	w := c.startLog.Plan(i, entries, c.stillCounts)
	when := []wire.Condition{c.shardUnchanged(i), {Key: w.Key, Version: w.Ver}}
	var busy []*jobEntry
	for _, x := range entries[:w.Taken] {
		if e := of[x.Name]; e != nil {
			when = append(when, wire.Condition{Key: jobKey(x.Name), Version: e.version})
			e.run.writing = true
			busy = append(busy, e)
		}
	}
	c.startsBusy[i] = true
	c.startsNext[i] = c.now + tuning.StartsEvery
	c.commit(LaneUser, when, []wire.Change{{Put: w.Key, Value: w.Record}}, func(r StateReply) {
		delete(c.startsBusy, i)
		for _, e := range busy {
			if e.run != nil {
				e.run.writing = false
			}
		}
		if r.Status != 200 {
			c.startsAt[i] = c.now + tuning.StartsAgain
			c.log(2, "not written", "starts", w.Taken, "status", r.Status, "err", r.Err, "failed", strings.Join(r.Txn.Failed, " "))
		}
		c.dirty = true
		c.hold()
	})
}
