package core

import (
	"fmt"
	"slices"
	"time"

	"github.com/barrowbridge/barrowbridge/internal/trail"
	"github.com/barrowbridge/barrowbridge/internal/tuning"
	"github.com/barrowbridge/barrowbridge/wire"
)

// machineGone frees everything that was on a machine that is certainly gone, or
// whose lease is certainly over.
func (c *Core) machineGone(m *machine, reason string) {
	c.placementDue = true
	for _, k := range sortedAttemptKeys(m) {
		c.attemptLost(m.attempts[k], reason)
	}
	c.markAccounted(m, reason)
}

// markAccounted records that the tasks on a machine are known from now on.
func (c *Core) markAccounted(m *machine, reason string) {
	if m.inherited && !m.accounted {
		c.recordMachineEvent(trail.AccountedFor, m, wire.TrailEvent{Count: len(m.attempts), Why: reason})
		c.unaccountedMachines[m.shard]--
	}
	m.accounted = true
	c.pendingMachines.Remove(m)
	c.markDirty(m)
	c.reconcileJobsOn(m)
	c.reconcileShards()
}

// reconcileShards ends the reconciliation of each shard whose inherited machines are all
// accounted for: its started tasks that are on no machine may start again.
func (c *Core) reconcileShards() {
	for _, shard := range sortedIntKeys(c.unreconciledShards) {
		if c.unaccountedMachines[shard] > 0 {
			continue
		}
		delete(c.unreconciledShards, shard)
		c.placementDue = true
		if len(c.unreconciledShards) == 0 {
			clear(c.jobsAwaitingMachine)
		}
		c.recordShardEvent(trail.Reconciled, shard, wire.TrailEvent{Why: fmt.Sprintf("after %.1f s", (c.now - c.shardHeldSince[shard]).Seconds())})
		c.log(1, "all inherited machines accounted for", "shard", shard, "after", (c.now - c.shardHeldSince[shard]).String())
		for _, e := range c.jobsByAge() {
			if e.run != nil && c.shardOfTeam(e.record.Team) == shard {
				c.reconcileJob(e, shard, true)
			}
		}
	}
}

// reconcileJobsOn does the same for the jobs with few tasks that wait for one machine, once that
// machine is accounted for.
func (c *Core) reconcileJobsOn(m *machine) {
	if !c.unreconciledShards[m.shard] {
		return
	}
	// The machine may have moved between shards held here, so a job may belong to another shard.
	for _, e := range c.jobsAwaitingMachine[m.name] {
		if c.jobs[e.record.ID] == e && e.run != nil && e.run.inheritedBelow > 0 && slices.Contains(e.record.On, m.name) {
			c.reconcileJob(e, c.shardOfTeam(e.record.Team), true)
		}
	}
	delete(c.jobsAwaitingMachine, m.name)
}

// awaitMachines indexes the machines that a job with few tasks waits for after a takeover. Those
// of urgent jobs are queried first.
func (c *Core) awaitMachines(e *jobEntry) {
	if e.run.inheritedBelow > 0 {
		for _, name := range e.record.On {
			if name != "" && !slices.Contains(c.jobsAwaitingMachine[name], e) {
				c.jobsAwaitingMachine[name] = append(c.jobsAwaitingMachine[name], e)
				if m := c.machines[name]; m != nil && m.inherited && !m.accounted && e.priority >= urgentRank {
					c.pendingMachines.Add(m, true)
				}
			}
		}
	}
}

// tracksMachines reports whether the starts of a job are recorded with their machines.
func tracksMachines(j *wire.Job) bool { return j.Tasks <= tuning.MaxTrackedTasks }

// recordedMachine returns the machine that a task was last started on according to its job's
// record, or "" if it is not recorded.
func recordedMachine(j *wire.Job, taskIndex int) string {
	if taskIndex < len(j.On) {
		return j.On[taskIndex]
	}
	return ""
}

// mayRunOnInherited reports whether a started task may be on a machine of an earlier holder
// that is not accounted for. A machine that has left the shard was deleted, or was
// guaranteed to be empty.
func (c *Core) mayRunOnInherited(e *jobEntry, taskIndex, shard int) bool {
	if !c.unreconciledShards[shard] {
		return false
	}
	recorded := recordedMachine(&e.record, taskIndex)
	if recorded == "" {
		return true
	}
	m := c.machines[recorded]
	return m != nil && m.shard == shard && m.inherited && !m.accounted
}

// reconcileJob queues the tasks to start again that may have been started and are on no
// machine. They were lost if an earlier holder had started them; those whose starts this
// controller recorded in advance were not.
func (c *Core) reconcileJob(e *jobEntry, shard int, lost bool) {
	if e.run.inheritedBelow == 0 || c.unreconciledShards[shard] && !tracksMachines(&e.record) {
		return
	}
	c.markJobDirty(e)
	queued := map[int]bool{}
	for _, k := range e.run.retryIndexes {
		queued[k] = true
	}
	unresolved := false
	for k := 0; k < e.run.inheritedBelow; k++ {
		if e.run.done.Contains(k) || e.run.active[k] != nil || queued[k] {
			continue
		}
		if c.mayRunOnInherited(e, k, shard) {
			unresolved = true
			continue
		}
		e.run.retryIndexes = append(e.run.retryIndexes, k)
		if lost {
			c.recordShardEvent(trail.TaskLost, shard, wire.TrailEvent{
				Task:    wire.TaskName(e.record.ID, k),
				Machine: recordedMachine(&e.record, k),
				Why:     "on no machine after a change of hands",
			})
		}
		c.placementDue = true
	}
	if !unresolved {
		e.run.inheritedBelow = 0
	}
}

// checkLeases finds silent machines whose leases are over by this controller's clock, and
// frees their tasks once the state service confirms that their shard is still held here.
func (c *Core) checkLeases() {
	for _, shard := range sortedIntKeys(c.unreconciledShards) {
		if _, known := c.previousHolderDeadSince[shard]; !known && c.shards[shard] != nil {
			if r := c.shards[shard].record; r.Known && c.allIncarnationsDead(r.Past) {
				c.previousHolderDeadSince[shard] = c.now
			}
		}
	}
	if c.verifyingShard || !c.dueEvery("watchMachines", 200*time.Millisecond) {
		return
	}
	c.detectSilentMachines()
	c.returnMissing()
	byShard := map[int][]*machine{}
	for _, m := range c.heldMachines() {
		if m.leaseOver || !c.holdsShard(m.shard) {
			continue
		}
		var since Time
		if m.accounted || !m.inherited {
			since = m.lastAnswered
			if !m.reported {
				if !m.accounted && !m.inherited {
					m.accounted = true
					c.markDirty(m)
				}
				continue // never got a 200 from this controller, and was empty
			}
		} else {
			// Inherited: the earlier holder may have answered it for as long as it
			// could go without confirmation, even after the takeover, but not after
			// its process ended, which a later incarnation of its node proves.
			since = m.heldSince + c.maxUnconfirmed()
			if at, dead := c.previousHolderDeadSince[m.shard]; dead {
				since = min(since, max(m.heldSince, at))
			}
			since = max(m.lastAnswered, since)
		}
		if c.now > since+c.leaseBound() {
			byShard[m.shard] = append(byShard[m.shard], m)
		}
	}
	for _, shard := range sortedIntKeys(byShard) {
		// The leases are over by this controller's clock. That no other controller has
		// answered the workers meanwhile is proven by the state service: it confirms
		// that the shard is still held here.
		c.verifyingShard = true
		expired := byShard[shard]
		c.callState(StateCall{Op: OpCommit, Txn: wire.Txn{If: []wire.Condition{c.shardUnchanged(shard)}}}, func(r StateReply) {
			c.verifyingShard = false
			if r.Status == 409 {
				c.catchUp()
			}
			if r.Status != 200 {
				return
			}
			for _, m := range expired {
				if c.machines[m.name] == m && c.now > m.lastAnswered+c.leaseBound() {
					m.leaseOver = true
					c.markDirty(m)
					if m.session > 0 {
						// Its worker kills all tasks and continues with the next session.
						// A report of this session that a network partition has delayed
						// would bring tasks that run elsewhere by now back to the machine.
						m.session, m.seq = m.session+1, 0
					}
					c.recordMachineEvent(trail.LeaseExpired, m, wire.TrailEvent{Count: len(m.attempts)})
					c.log(1, "machine silent and its lease is over", "machine", m.name, "tasks", len(m.attempts))
					c.machineGone(m, "lease over")
				}
			}
			c.runHolder()
		})
		return // one verification at a time
	}
}

// returnMissing gives back the few rented machines that keep a shard from being reconciled
// once all others have reported. Their deletion proves at once what otherwise only the end of
// their lease would prove: of some hundred spot machines the cloud terminates one every few
// seconds, so after nearly every change of a shard's holder the started tasks of all arrays
// waited for half a minute. Many missing machines at a time indicate a network partition or an
// outage, so these are waited for.
func (c *Core) returnMissing() {
	for _, shard := range sortedIntKeys(c.unreconciledShards) {
		if unaccounted := c.unaccountedMachines[shard]; unaccounted == 0 || c.now-c.shardHeldSince[shard] < tuning.UnansweredMachineAfter {
			continue
		} else if total := c.machineCount(shard); unaccounted > max(tuning.FewMissingMachines, total/tuning.MissingMachinesDivisor) {
			continue
		}
		for _, m := range c.heldMachines() {
			// A machine counts as missing after two calls without a usable answer. One whose
			// address is not known gets until its next report is overdue.
			waited := c.pendingMachines.FailedCalls(m) >= 2 || c.now-c.shardHeldSince[shard] > max(tuning.MissingMachineAfter, c.params.ReportInterval*3/2)
			if m.shard == shard && m.inherited && !m.accounted && !m.reported && !m.base && !m.returning && waited &&
				c.now-m.unprovenAnsweredAt > tuning.UnansweredMachineAfter {
				m.returning = true
				c.markDirty(m)
				c.urgentBlocks[m.block] = true // written with the urgent writes
				c.recordMachineEvent(trail.MachineReturned, m, wire.TrailEvent{Why: "missing after a change of hands"})
				c.log(1, "giving a machine back", "machine", m.name, "why", "missing after a change of hands")
			}
		}
	}
}

// machineCount returns the number of held machines of a shard.
func (c *Core) machineCount(shard int) (n int) {
	for _, m := range c.machines {
		if m.shard == shard {
			n++
		}
	}
	return n
}

// allIncarnationsDead reports whether none of these incarnations can be answering a worker now.
// A later incarnation of the same node proves it, and this node itself answers only as its
// current incarnation.
func (c *Core) allIncarnationsDead(incarnations []wire.Incarnation) bool {
	for _, incarnation := range incarnations {
		if n, up := c.nodes[incarnation.Node]; incarnation.Node != c.params.Node && (!up || n.Boot == incarnation.Boot) {
			return false
		}
	}
	return true
}
