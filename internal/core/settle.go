package core

import (
	"fmt"
	"slices"
	"time"

	"github.com/barrowbridge/barrowbridge/internal/trail"
	"github.com/barrowbridge/barrowbridge/internal/tuning"
	"github.com/barrowbridge/barrowbridge/wire"
)

// machineGone frees everything that was on a machine that is surely gone, or
// whose lease is surely over.
func (c *Core) machineGone(m *machine, why string) {
	c.dirty = true
	for _, k := range sortedAttempts(m) {
		c.attemptGone(m.attempts[k], why)
	}
	c.account(m, why)
}

// account takes note that what is on a machine is known from now on.
func (c *Core) account(m *machine, why string) {
	if m.inherited && !m.accounted {
		c.recordMachineEvent(trail.Accounted, m, wire.TrailEvent{Count: len(m.attempts), Why: why})
		c.open[m.shard]--
	}
	m.accounted = true
	c.pendingMachines.Drop(m)
	c.touch(m)
	c.settleOn(m)
	c.settle()
}

// settle lets started tasks go again once every machine inherited with a shard
// is accounted for.
func (c *Core) settle() {
	for _, i := range sortedInts(c.unsettle) {
		if c.open[i] > 0 {
			continue
		}
		delete(c.unsettle, i)
		c.dirty = true
		if len(c.unsettle) == 0 {
			clear(c.waitsOn)
		}
		c.recordShardEvent(trail.Settled, i, wire.TrailEvent{Why: fmt.Sprintf("after %.1f s", (c.now - c.entered[i]).Seconds())})
		c.log(1, "all inherited machines accounted for", "shard", i, "after", (c.now - c.entered[i]).String())
		for _, e := range c.jobsByAge() {
			if e.run != nil && c.shardOfTeam(e.record.Team) == i {
				c.settleJob(e, i, true)
			}
		}
	}
}

// settleOn does the same for jobs of few tasks once a machine of their records is accounted for.
func (c *Core) settleOn(m *machine) {
	if !c.unsettle[m.shard] {
		return
	}
	for _, e := range c.waitsOn[m.name] { // one that has moved here since may be of a job of another shard
		if c.jobs[e.record.ID] == e && e.run != nil && e.run.held > 0 && slices.Contains(e.record.On, m.name) {
			c.settleJob(e, c.shardOfTeam(e.record.Team), true)
		}
	}
	delete(c.waitsOn, m.name)
}

// awaitOn notes which machines a job of few tasks waits for after a takeover.
func (c *Core) awaitOn(e *jobEntry) {
	if e.run.held > 0 {
		for _, name := range e.record.On {
			if name != "" && !slices.Contains(c.waitsOn[name], e) {
				c.waitsOn[name] = append(c.waitsOn[name], e)
				if m := c.machines[name]; m != nil && m.inherited && !m.accounted && e.priority >= urgentRank {
					c.pendingMachines.Add(m, true)
				}
			}
		}
	}
}

// tracked tells whether a job's starts are written down machine by machine.
func tracked(j *wire.Job) bool { return j.Tasks <= tuning.TrackTasks }

// onOf is the machine a tracked job's task was last started on, "" if not known.
func onOf(j *wire.Job, idx int) string {
	if idx < len(j.On) {
		return j.On[idx]
	}
	return ""
}

// mayBeOn tells whether a started task may be on a machine of an earlier holder
// that is not accounted for. A machine that has left the shard was deleted, or
// promised empty.
func (c *Core) mayBeOn(e *jobEntry, idx, shard int) bool {
	if !c.unsettle[shard] {
		return false
	}
	on := onOf(&e.record, idx)
	if on == "" {
		return true
	}
	m := c.machines[on]
	return m != nil && m.shard == shard && m.inherited && !m.accounted
}

// settleJob lets the tasks go again that may have been started and are nowhere. They
// were lost if an earlier holder had them; those we wrote ahead ourselves were not.
func (c *Core) settleJob(e *jobEntry, shard int, lost bool) {
	if e.run.held == 0 || c.unsettle[shard] && !tracked(&e.record) {
		return
	}
	c.touchJob(e)
	queued := map[int]bool{}
	for _, k := range e.run.retry {
		queued[k] = true
	}
	open := false
	for k := 0; k < e.run.held; k++ {
		if e.run.done.Has(k) || e.run.active[k] != nil || queued[k] {
			continue
		}
		if c.mayBeOn(e, k, shard) {
			open = true
			continue
		}
		e.run.retry = append(e.run.retry, k)
		if lost {
			c.recordShardEvent(trail.TaskLost, shard, wire.TrailEvent{Task: wire.TaskName(e.record.ID, k), Machine: onOf(&e.record, k), Why: "on no machine after a change of hands"})
		}
		c.dirty = true
	}
	if !open {
		e.run.held = 0
	}
}

// watchMachines notices machines that have gone silent.
func (c *Core) watchMachines() {
	for _, i := range sortedInts(c.unsettle) {
		if _, known := c.prevDead[i]; !known && c.shards[i] != nil {
			if r := c.shards[i].record; r.Known && c.allDead(r.Past) {
				c.prevDead[i] = c.now
			}
		}
	}
	if c.checking || !c.dueEvery("watchMachines", 200*time.Millisecond) {
		return
	}
	c.detectSilentMachines()
	c.missing()
	byShard := map[int][]*machine{}
	for _, m := range c.heldMachines() {
		if m.over || !c.holdsShard(m.shard) {
			continue
		}
		var since Time
		if m.accounted || !m.inherited {
			since = m.lastOK
			if !m.reported {
				if !m.accounted && !m.inherited {
					m.accounted = true
					c.touch(m)
				}
				continue // never had a 200 from us, and was empty
			}
		} else {
			// Inherited: the earlier holder may have answered it for as long as
			// it could go unconfirmed, even after we took over; but not beyond
			// its death, which its next life proves.
			since = m.since + c.maxUnconfirmed()
			if at, dead := c.prevDead[m.shard]; dead {
				since = min(since, max(m.since, at))
			}
			since = max(m.lastOK, since)
		}
		if c.now > since+c.leaseBound() {
			byShard[m.shard] = append(byShard[m.shard], m)
		}
	}
	for _, i := range sortedInts(byShard) {
		// The lease is over by our count. That nobody else answered meanwhile is
		// proven by still holding the shard now, in the state itself.
		c.checking = true
		names := byShard[i]
		c.callState(StateCall{Op: OpCommit, Txn: wire.Txn{If: []wire.Condition{c.shardUnchanged(i)}}}, func(r StateReply) {
			c.checking = false
			if r.Status == 409 {
				c.rereadKey(shardKey(i))
			}
			if r.Status != 200 {
				return
			}
			for _, m := range names {
				if c.machines[m.name] == m && c.now > m.lastOK+c.leaseBound() {
					m.over = true
					c.touch(m)
					if m.session > 0 {
						// Its worker kills all and goes on with the next session. A
						// report of this one that a cut has held back would bring
						// tasks that run elsewhere by now back to the machine.
						m.session, m.seq = m.session+1, 0
					}
					c.recordMachineEvent(trail.LeaseOver, m, wire.TrailEvent{Count: len(m.attempts)})
					c.log(1, "machine silent, its lease is over", "machine", m.name, "tasks", len(m.attempts))
					c.machineGone(m, "lease over")
				}
			}
			c.hold()
		})
		return // one at a time
	}
}

// missing gives back the few rented machines that alone keep a shard from being settled,
// once all others have reported. Their deletion proves at once what else only the end of
// a lease would: of some hundred spot machines one is taken every few seconds, so nearly
// each change of hands had started tasks of every array wait for half a minute. Many
// missing at a time are a cut or an outage, and are waited for.
func (c *Core) missing() {
	for _, i := range sortedInts(c.unsettle) {
		if n := c.open[i]; n == 0 || c.now-c.entered[i] < tuning.MissingCalled {
			continue
		} else if total := c.machinesIn(i); n > max(tuning.MissingFew, total/tuning.MissingShare) {
			continue
		}
		for _, m := range c.heldMachines() {
			// One that was called twice in vain has had its chance; one that we do not know
			// how to call has it with its next report.
			waited := c.pendingMachines.Tries(m) >= 2 || c.now-c.entered[i] > max(tuning.MissingAfter, c.params.ReportInterval*3/2)
			if m.shard == i && m.inherited && !m.accounted && !m.reported && !m.base && !m.drop && waited && c.now-m.trustedAt > tuning.MissingCalled {
				m.drop = true
				c.touch(m)
				c.used[m.block] = true // written with what users wait for
				c.recordMachineEvent(trail.MachineReturned, m, wire.TrailEvent{Why: "missing after a change of hands"})
				c.log(1, "giving a machine back", "machine", m.name, "why", "missing after a change of hands")
			}
		}
	}
}

// machinesIn counts a shard's machines.
func (c *Core) machinesIn(shard int) (n int) {
	for _, m := range c.machines {
		if m.shard == shard {
			n++
		}
	}
	return n
}

// allDead tells whether none of these lives can be answering a worker now: a
// later life of the same node proves it, and this node answers as itself only.
func (c *Core) allDead(lives []wire.Life) bool {
	for _, l := range lives {
		if n, up := c.nodes[l.Node]; l.Node != c.params.Node && (!up || n.Boot == l.Boot) {
			return false
		}
	}
	return true
}
