package core

import (
	"fmt"
	"slices"
	"time"

	"github.com/barrowbridge/barrowbridge/internal/trail"
	"github.com/barrowbridge/barrowbridge/internal/tuning"
	"github.com/barrowbridge/barrowbridge/wire"
)

// onReport answers a worker. Only the holder of its block says 200.
func (c *Core) onReport(v WorkerReport) {
	r := &v.Report
	c.addrs.Learn(r.Machine, r.Addr, r.Session)
	m := c.machines[r.Machine]
	origin, relayed := c.relays.Through(v.Req)
	switch { // an older report is a copy: it says of no worker that we reach it
	case m != nil && c.isStaleReport(m, r):
	case !relayed:
		c.workers.Heard(c.now, c.heldShardOf(r.Machine), r.Machine)
	case m != nil:
		c.workers.HeardThrough(c.now, m.shard)
	}
	if m == nil {
		c.redirectReport(v.Req, r)
		return
	}
	b := c.blocks[m.block]
	if b == nil || !c.mine(m.shard) || !c.confirmed() {
		// Not sure to be entitled: the worker may find one who is.
		c.answer(v.Req, 503, unavailable("entitlement not confirmed"))
		return
	}
	c.testDelivery(m, relayed)
	token := c.answerToken(m, b)
	if r.Token > token || c.isStaleReport(m, r) {
		// A higher token: someone else is entitled and we have not heard yet.
		// An older report: delayed on its way, its list is history.
		c.answer(v.Req, 503, unavailable("report out of date"))
		return
	}
	if !c.provesCurrent(m, r) {
		c.answerUnproven(v.Req, m, r, token)
		return
	}
	c.trackDelivery(m, r, origin.From)
	c.applyMachineReport(m, r)
	c.applyAttemptReports(m, r)
	if c.cordons[m.name].Drain {
		c.cordonSeen(m.name)
	}
	if !m.accounted && r.Token >= m.takeoverToken {
		c.markAccounted(m, "report")
	}
	if c.placementDue { // a slot that this report frees is refilled in its answer
		c.placementDue = false
		c.placeTasks()
	}
	reply := wire.ReportReply{Token: token, Commands: c.commands(m)}
	m.lastAnswered = c.now
	m.delivery.Answered(r, token, origin.From, reply.Commands)
	c.answer(v.Req, 200, reply)
	c.desk.Forget(m)
	unsent, urgent := false, false
	for _, a := range m.attempts {
		if !a.startSent && a.status == "" {
			unsent, urgent = true, urgent || !a.belowUrgent
		}
	}
	if unsent { // starts that are still being written
		c.requestReport(m, urgent)
	}
	c.flush()
}

// proves tells whether a report is known to be no late copy. Who has held a machine since it
// was rented knows its reports by their numbers. Who has taken it over knows none: there a
// report proves itself by naming a token that was given after that. Where nothing can be from
// before it may lack that, for it cost blocks that had just moved a report each, but only if it
// names no task: a copy that did had the task started anew, which by then was elsewhere.
func (c *Core) provesCurrent(m *machine, r *wire.Report) bool {
	m.currentReportsProven = m.currentReportsProven || r.Token >= m.takeoverToken
	return m.currentReportsProven || !m.inherited && len(r.Attempts) == 0
}

// trust answers a report that proves nothing, so that the next one can: with our token and
// no command. It changes nothing else here, and is done a few times only: copies of the last
// reports of a dead machine would otherwise put off the end of its lease, as we must count
// it, one after the other.
func (c *Core) answerUnproven(req uint64, m *machine, r *wire.Report, token uint64) {
	m.session, m.seq, m.addr = r.Session, r.Seq, r.Addr
	exhausted := m.unprovenAnswers >= tuning.TrustReports || m.unprovenAnswers > 0 && (c.now-m.unprovenAnsweredAt > tuning.TrustAgain || c.roll.Tries(m) > 1)
	if exhausted && m.inherited && !m.accounted {
		c.answer(req, 503, unavailable("report proves nothing"))
		return
	}
	m.unprovenAnswers, m.unprovenAnsweredAt, m.lastAnswered = m.unprovenAnswers+1, c.now, c.now
	c.answer(req, 200, wire.ReportReply{Token: token, Commands: []wire.Command{}})
}

// test has the next answer to a machine carry a higher token if it is in doubt whether the
// machine hears: it came by another way, or as late as one that waited in vain.
func (c *Core) testDelivery(m *machine, relayed bool) {
	gap := c.now - m.lastReport
	suspicious := m.reported && c.now-m.lastAnswered < c.p.Lease && (relayed || gap > max(tuning.DeafGap, c.p.Report*5/4+time.Second))
	if m.delivery.Test(c.now, suspicious, c.p.Lease/2) {
		m.raisedToken = max(m.raisedToken, c.rev)
	}
}

// listen judges by a new report whether its worker hears what it is answered.
func (c *Core) trackDelivery(m *machine, r *wire.Report, via string) {
	lapsed := m.session > 0 && r.Session > m.session && c.now-m.lastAnswered < c.p.Lease && m.reported && !m.leaseOver
	verdictChanged := m.delivery.Report(r, via, lapsed)
	if m.delivery.Missed() && r.Addr != "" && !c.workers.Lacks(c.now) {
		c.out = append(c.out, Order{Machine: m.name, Addr: r.Addr, Look: true})
	}
	if verdictChanged {
		c.deliveryChanged(m)
	}
}

func (c *Core) deliveryChanged(m *machine) {
	c.markDirty(m)
	c.placementDue = true
	kind := trail.MachineHears
	if m.delivery.Deaf() {
		kind = trail.MachineDeaf
	}
	c.noteMachine(kind, m, wire.TrailEvent{Count: len(m.attempts)})
	c.log(1, "worker hears what it is answered", "machine", m.name, "now", !m.delivery.Deaf())
}

// older tells whether a report is history: a later one of its worker is known.
func (c *Core) isStaleReport(m *machine, r *wire.Report) bool {
	return r.Session < m.session || r.Session == m.session && r.Seq <= m.seq
}

// heardFrom takes what a machine's newest report says of the machine itself.
func (c *Core) applyMachineReport(m *machine, r *wire.Report) {
	if m.silent {
		m.silent = false
		c.noteMachine(trail.MachineBack, m, wire.TrailEvent{Count: len(r.Attempts), Why: fmt.Sprintf("silent for %.1f s", (c.now - m.lastReport).Seconds())})
	}
	if m.leaseOver {
		c.markDirty(m)
	}
	m.session, m.seq, m.lastReport, m.leaseOver = r.Session, r.Seq, c.now, false
	m.addr, m.reportedToken = r.Addr, r.Token
	if c.capacity.Heard(m, m.name, c.now) {
		c.markDirty(m)
	}
	if !m.reported {
		m.reported = true
		if len(c.p.Nodes) > 1 { // told with the next pings, and forgotten then
			c.addrs.CameUp(c.now, m.name)
		}
		c.boots.Up(c.now, m.name)
		if m.fresh {
			c.firstUseUnwritten[m.name] = true
		}
		m.idleSince = c.now
		c.markDirty(m)
		c.log(2, "machine reports", "machine", m.name, "block", m.block)
	}
	if r.NoticeS != nil && !m.terminationNotice {
		m.terminationNotice, m.terminatesAt = true, c.now+seconds(*r.NoticeS)
		c.markDirty(m)
		c.noteMachine(trail.MachineNotice, m, wire.TrailEvent{Count: len(m.attempts), Why: fmt.Sprintf("in %.1f s", *r.NoticeS)})
		c.log(1, "machine will be taken", "machine", m.name, "in_s", *r.NoticeS)
	}
}

// redirect answers a worker of a block this controller does not hold.
func (c *Core) redirectReport(req uint64, r *wire.Report) {
	if c.loaded {
		if b := c.blockOf(r.Machine); b != nil && c.shards[b.rec.Shard] != nil {
			s := c.shards[b.rec.Shard]
			holder := s.rec.Holder
			if n, up := c.nodes[holder]; !up || n.Boot != s.rec.Boot {
				holder = ""
			}
			if successor, ok := c.yielded[b.rec.Shard]; ok {
				holder = successor
			}
			// What we know of the holder is old: two controllers that a cut had left
			// without news sent workers to each other until their leases were over.
			if r.Token > c.rev || c.cutOff() {
				holder = ""
			}
			if _, relayed := c.relays.Through(req); holder != "" && holder != c.p.Node && !relayed {
				switch {
				case c.relay(req, r, holder, s.ver):
				case c.holderUnreachable(holder, b.rec.Shard): // it would wait there in vain
					c.redirectToRelay(req, holder)
				default:
					c.answer(req, 421, wire.Redirect{Holder: holder})
				}
				return
			}
			c.answer(req, 503, unavailable("holder not known"))
			return
		}
		c.surprise(r)
		if c.chief.Node != "" && c.chief.Node != c.p.Node {
			c.answer(req, 421, wire.Redirect{Holder: c.chief.Node})
			return
		}
	}
	c.answer(req, 503, unavailable("machine not known"))
}

// deaf tells whether a holder has said that workers do not reach it.
func (c *Core) holderUnreachable(holder string, shard int) bool {
	w := c.wordOf(holder)
	return w.Lacks || slices.Contains(w.Seeks, shard)
}

// sendBeside sends a worker to a controller that passes its reports on to a holder whom
// neither it nor we can reach, if there is one.
func (c *Core) redirectToRelay(req uint64, holder string) {
	for _, n := range sortedKeys(c.nodes) {
		if n != c.p.Node && n != holder && !c.wordOf(n).Lacks && !slices.Contains(c.wordOf(n).Apart, holder) {
			c.answer(req, 421, wire.Redirect{Holder: n})
			return
		}
	}
	c.answer(req, 503, unavailable("holder does not hear its workers"))
}

// takeStock brings the attempts of a machine in line with its newest report.
func (c *Core) applyAttemptReports(m *machine, r *wire.Report) {
	present := map[attemptKey]bool{}
	for _, t := range r.Attempts {
		k := attemptKey{t.Task, t.Attempt}
		present[k] = true
		a := m.attempts[k]
		if a == nil {
			job, idx, err := wire.ParseTask(t.Task)
			if err != nil {
				c.log(0, "report names no task", "machine", m.name, "task", t.Task)
				continue
			}
			a = &attempt{key: k, job: job, taskIndex: idx, machine: m, startSent: true, createdAt: c.now, runningSince: c.now}
			if e := c.jobs[job]; e != nil {
				a.size, a.team, a.sizeKnown, a.belowUrgent, a.idlePriority = jobSize(&e.rec), e.rec.Team, true, e.prio < urgentRank, e.prio <= idleRank
				c.markJobDirty(e)
				if e.run != nil && t.Status != wire.TaskEnded {
					if other := e.run.active[idx]; other != nil {
						// One of the two is history, told by a delayed report; the
						// next reports settle which.
						c.log(0, "task named on two machines", "task", t.Task, "on", other.machine.name, "and", m.name)
						a.stopping = other.machine.accounted && m.accounted && other.machine != m
					} else {
						e.run.active[idx] = a
						e.run.retryIndexes = slices.DeleteFunc(e.run.retryIndexes, func(k int) bool { return k == idx })
					}
				}
			}
			c.addAttempt(a)
		}
		if a.status == t.Status {
			c.countLongRunning(a)
			continue
		}
		was := a.status
		a.status, a.cause = t.Status, t.Cause
		if t.Status == wire.TaskRunning || t.Status == wire.TaskSaving || t.Status == wire.TaskEnded && t.Cause == wire.CauseDone {
			// After a takeover, what ended meanwhile tells it too: without that, tasks
			// went where their image was not, and fetched it again.
			c.noteImage(m, a.job)
		}
		switch t.Status {
		case wire.TaskRunning:
			a.runningSince = c.now
			c.noteBack(trail.TaskRuns, a)
			c.log(2, "task runs", "task", a.key.task, "machine", m.name, "after", (c.now - a.createdAt).String())
		case wire.TaskEnded:
			m.usage.valid = false
			c.markDirty(m)
			c.attemptEnded(a, was)
		}
	}
	for _, k := range sortedAttemptKeys(m) {
		a := m.attempts[k]
		if present[k] || (!a.startSent && a.status == "") {
			continue
		}
		// A newer report without it: the answer that carried the start was
		// dropped, the session is over, or it was cleared.
		c.attemptLost(a, "not on its machine")
	}
	if len(m.attempts) > 0 {
		m.idleSince = c.now
	}
	c.weigh(m)
}

// hasImage notes that a machine has the image of a job whose task ran there.
func (c *Core) noteImage(m *machine, job string) {
	if e := c.jobs[job]; e != nil && !m.images[e.rec.Image] {
		m.images[e.rec.Image] = true
		c.caches.Learned(m.shard)
	}
}

// attemptEnded handles an attempt's end as its worker reports it.
func (c *Core) attemptEnded(a *attempt, was string) {
	e := c.jobs[a.job]
	if e == nil || e.run == nil {
		return
	}
	c.markJobDirty(e)
	if a.cause == wire.CauseDone {
		if was == wire.TaskRunning {
			c.runs.Ran(e.rec.Class, e.rec.EstimateS, c.now-a.runningSince)
		}
		e.run.done = e.run.done.Add(a.taskIndex)
		e.run.failures = 0
		c.returnFaulty(c.taskHealth.Completed(a.job, a.machine.name))
		if current := e.run.active[a.taskIndex]; current == a {
			delete(e.run.active, a.taskIndex)
		}
		e.run.retryIndexes = slices.DeleteFunc(e.run.retryIndexes, func(k int) bool { return k == a.taskIndex })
		c.log(2, "task done", "task", a.key.task, "machine", a.machine.name)
		return
	}
	if e.run.active[a.taskIndex] == a {
		c.deactivateAttempt(e, a)
		if a.cause == wire.CauseHalted {
			c.noteTask(trail.TaskLost, a, "stopped")
		}
	}
	if a.cause == wire.CauseHalted {
		return
	}
	c.noteTask(trail.TaskFailed, a, a.cause)
	c.log(1, "task ended", "task", a.key.task, "machine", a.machine.name, "cause", a.cause, "was", was)
	if a.cause == wire.CauseError {
		c.taskFailed(e, a)
		return
	}
	e.run.failures++
	e.run.notBefore = c.now + min(tuning.ErrorBackoff<<min(e.run.failures-1, 10), tuning.ErrorBackoffMax)
}

// commands for a machine, in answer to its report.
func (c *Core) commands(m *machine) []wire.Command { return c.commandsFor(m, false) }

// startable tells whether a reserved attempt's start is written, so that it may be made.
func (c *Core) startable(a *attempt) bool {
	e := c.jobs[a.job]
	return e != nil && e.run != nil && !a.stopping && !a.machine.fresh && e.rec.Started > a.taskIndex && (!tracksMachines(&e.rec) || recordedMachine(&e.rec, a.taskIndex) == a.machine.name)
}

// commandsFor lists commands for a machine; a look changes nothing.
func (c *Core) commandsFor(m *machine, preview bool) []wire.Command {
	cmds := []wire.Command{}
	if !m.accounted {
		return cmds
	}
	for _, k := range sortedAttemptKeys(m) {
		if len(cmds) >= 200 {
			break // the rest comes with the next report; a reply has its limit
		}
		a := m.attempts[k]
		e := c.jobs[a.job]
		live := e != nil && e.run != nil
		switch {
		case a.status == wire.TaskEnded:
			// Cleared only once the outcome is written, or has no bearing.
			if !live || a.cause != wire.CauseDone || c.durable(e).Has(a.taskIndex) {
				cmds = append(cmds, wire.Command{Verb: wire.VerbClear, Task: k.task, Attempt: k.number})
			}
		case !live || a.stopping:
			if a.startSent {
				graceS := a.stopGraceS
				if !live {
					graceS = 0
				}
				cmds = append(cmds, wire.Command{Verb: wire.VerbStop, Task: k.task, Attempt: k.number, GraceS: &graceS})
			}
		case a.status == "" && c.startable(a) && !preview:
			if run, now := c.run(a); now {
				a.startSent = true
				c.noteBack(trail.TaskAgain, a)
				cmds = append(cmds, run)
			}
		}
	}
	return cmds
}
