package core

import (
	"fmt"
	"slices"
	"time"

	"github.com/barrowbridge/barrowbridge/internal/reportsize"
	"github.com/barrowbridge/barrowbridge/internal/trail"
	"github.com/barrowbridge/barrowbridge/internal/tuning"
	"github.com/barrowbridge/barrowbridge/wire"
)

// onReport answers a worker's report. Only the holder of the machine's block answers 200.
func (c *Core) onReport(v WorkerReport) {
	r := &v.Report
	c.workerAddresses.Learn(r.Machine, r.Addr, r.Session)
	m := c.machines[r.Machine]
	origin, relayed := c.relays.OriginOf(v.Req)
	switch { // an older report is a late copy: it does not prove that the worker reaches this controller
	case m != nil && c.isStaleReport(m, r):
	case !relayed:
		c.workerReach.DirectReport(c.now, c.heldShardOf(r.Machine), r.Machine)
	case m != nil:
		c.workerReach.RelayedReport(c.now, m.shard)
	}
	if m == nil {
		c.redirectReport(v.Req, r)
		return
	}
	b := c.blocks[m.block]
	if b == nil || !c.holdsShard(m.shard) || !c.authorized() {
		// The authority to act is not confirmed: the worker may find a controller with it.
		c.answer(v.Req, 503, unavailable("entitlement not confirmed"))
		return
	}
	if b.assignedAt > c.mirrorRevision {
		// As the leader, this controller has just formed or moved the block. Its shard may have
		// been granted to another controller before that, which then holds it under the same token.
		c.answer(v.Req, 503, unavailable("assignment of the machine not confirmed"))
		return
	}
	c.testDelivery(m, relayed)
	token := c.answerToken(m, b)
	if r.Token > token || c.isStaleReport(m, r) {
		// A higher token means that another controller has the authority to act and the
		// mirror does not show it yet. An older report was delayed in transit, and its
		// list of attempts is outdated.
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
	c.shrinkReport(m, r)
	if c.cordons[m.name].Drain {
		c.cordonChanged(m.name)
	}
	if !m.accounted && r.Token >= m.takeoverToken {
		c.markAccounted(m, "report")
	}
	if c.placementDue { // capacity that this report frees is used again in its answer
		c.placementDue = false
		c.placeTasks()
	}
	reply := wire.ReportReply{Token: token, Commands: c.commands(m)}
	m.lastAnswered = c.now
	m.delivery.Answered(r, token, origin.From, reply.Commands)
	c.answer(v.Req, 200, reply)
	c.callQueue.Remove(m)
	unsent, urgent := false, false
	for _, a := range m.attempts {
		if !a.startSent && a.status == "" {
			unsent, urgent = true, urgent || !a.belowUrgent
		}
	}
	if unsent { // their starts are still being written
		c.requestReport(m, urgent)
	}
	c.flush()
}

// provesCurrent reports whether a report is known not to be a late copy. A controller that has
// held a machine since it was rented recognizes copies by their report numbers. One that has
// taken it over knows no earlier numbers: there a report must name a token that was granted with
// the takeover or later. On a machine that no earlier holder can have used, a report may lack
// such a token, because requiring it cost one extra report for each machine of a block that had
// just moved, but only if it lists no attempt: a late copy that listed one caused its task to be
// started again although it was running elsewhere by then.
func (c *Core) provesCurrent(m *machine, r *wire.Report) bool {
	m.currentReportsProven = m.currentReportsProven || r.Token >= m.takeoverToken
	return m.currentReportsProven || !m.inherited && len(r.Attempts) == 0
}

// answerUnproven answers a report that does not prove that it is current with the token and no
// command, so that the next report can prove it. It accepts nothing else from the report, and
// does so only a few times: each answer moves the time at which the machine's lease is certainly
// over, and copies of the last reports of a dead machine would otherwise postpone it again and again.
func (c *Core) answerUnproven(req uint64, m *machine, r *wire.Report, token uint64) {
	m.session, m.seq, m.addr = r.Session, r.Seq, r.Addr
	exhausted := m.unprovenAnswers >= tuning.UnprovenReportAnswers || m.unprovenAnswers > 0 &&
		(c.now-m.unprovenAnsweredAt > tuning.UnprovenReportWindow || c.pendingMachines.FailedCalls(m) > 1)
	if exhausted && m.inherited && !m.accounted {
		c.answer(req, 503, unavailable("report proves nothing"))
		return
	}
	m.unprovenAnswers, m.unprovenAnsweredAt, m.lastAnswered = m.unprovenAnswers+1, c.now, c.now
	c.answer(req, 200, wire.ReportReply{Token: token, Commands: []wire.Command{}})
}

// testDelivery makes the next answer to a machine carry a higher token if it is doubtful whether
// the worker receives its answers: the report came by another route, or as late as the report of
// a worker that timed out waiting for an answer.
func (c *Core) testDelivery(m *machine, relayed bool) {
	gap := c.now - m.lastReport
	suspicious := m.reported && c.now-m.lastAnswered < c.params.WorkerLease && (relayed || gap > max(tuning.UnansweredReportGap, c.params.ReportInterval*5/4+time.Second))
	if m.delivery.StartTest(c.now, suspicious, c.params.WorkerLease/2) {
		m.raisedToken = max(m.raisedToken, c.mirrorRevision)
	}
}

// trackDelivery infers from a new report whether its worker receives the answers sent to it.
func (c *Core) trackDelivery(m *machine, r *wire.Report, via string) {
	lapsed := m.session > 0 && r.Session > m.session && c.now-m.lastAnswered < c.params.WorkerLease && m.reported && !m.leaseOver
	verdictChanged := m.delivery.ObserveReport(r, via, lapsed)
	if m.delivery.Suspected() && r.Addr != "" && !c.workerReach.LacksWorkers(c.now) {
		c.effects = append(c.effects, WorkerCall{Machine: m.name, Addr: r.Addr, ProbeOnly: true})
	}
	if verdictChanged {
		c.deliveryChanged(m)
	}
}

// deliveryChanged records that the verdict on whether a worker receives its answers has changed.
func (c *Core) deliveryChanged(m *machine) {
	c.markDirty(m)
	c.placementDue = true
	kind := trail.MachineReceiving
	if m.delivery.MissesAnswers() {
		kind = trail.MachineNotReceiving
	}
	c.recordMachineEvent(kind, m, wire.TrailEvent{Count: len(m.attempts)})
	c.log(1, "verdict on whether the worker receives answers changed", "machine", m.name, "now", !m.delivery.MissesAnswers())
}

// isStaleReport reports whether this report or a later one of the same worker is already known.
func (c *Core) isStaleReport(m *machine, r *wire.Report) bool {
	return r.Session < m.session || r.Session == m.session && r.Seq <= m.seq
}

// applyMachineReport applies what a machine's newest report says about the machine itself.
func (c *Core) applyMachineReport(m *machine, r *wire.Report) {
	if m.silent {
		m.silent = false
		c.recordMachineEvent(trail.MachineReporting, m, wire.TrailEvent{
			Count: len(r.Attempts),
			Why:   fmt.Sprintf("silent for %.1f s", (c.now - m.lastReport).Seconds()),
		})
	}
	if m.leaseOver {
		c.markDirty(m)
	}
	m.session, m.seq, m.lastReport, m.leaseOver = r.Session, r.Seq, c.now, false
	m.addr, m.reportedToken = r.Addr, r.Token
	c.measureHeader(m, r)
	if c.capacity.RecordReport(m, m.name, c.now) {
		c.markDirty(m)
	}
	if !m.reported {
		m.reported = true
		if len(c.params.NodeZones) > 1 { // sent to the peers with the next pings, and forgotten then
			c.workerAddresses.MachineUp(c.now, m.name)
		}
		c.provisioning.MachineUp(c.now, m.name)
		if m.fresh {
			c.firstUseUnwritten[m.name] = true
		}
		m.idleSince = c.now
		c.markDirty(m)
		c.log(2, "machine has reported for the first time", "machine", m.name, "block", m.block)
	}
	if r.NoticeS != nil && !m.terminationNotice {
		m.terminationNotice, m.terminatesAt = true, c.now+seconds(*r.NoticeS)
		c.markDirty(m)
		c.recordMachineEvent(trail.MachineNotice, m, wire.TrailEvent{Count: len(m.attempts), Why: fmt.Sprintf("in %.1f s", *r.NoticeS)})
		c.log(1, "machine will be terminated by the cloud", "machine", m.name, "in_s", *r.NoticeS)
	}
}

// redirectReport answers a worker of a block that this controller does not hold.
func (c *Core) redirectReport(req uint64, r *wire.Report) {
	if c.loaded {
		if b := c.blockOf(r.Machine); b != nil && c.shards[b.record.Shard] != nil {
			s := c.shards[b.record.Shard]
			holder := s.record.Holder
			if n, up := c.nodes[holder]; !up || n.Boot != s.record.Boot {
				holder = ""
			}
			if successor, ok := c.yieldedTo[b.record.Shard]; ok {
				holder = successor
			}
			// The mirror may be out of date: two controllers that a network partition had cut
			// off from updates redirected workers to each other until their leases were over.
			if r.Token > c.mirrorRevision || c.stateUnreachable() {
				holder = ""
			}
			if _, relayed := c.relays.OriginOf(req); holder != "" && holder != c.params.Node && !relayed {
				switch {
				case c.relayReport(req, r, holder, s.version):
				case c.holderUnreachable(holder, b.record.Shard): // it would get no answer there
					c.redirectToRelay(req, holder)
				default:
					c.answer(req, 421, wire.Redirect{Holder: holder})
				}
				return
			}
			c.answer(req, 503, unavailable("holder not known"))
			return
		}
		c.onUnassignedReport(r)
		if c.leaderRecord.Node != "" && c.leaderRecord.Node != c.params.Node {
			c.answer(req, 421, wire.Redirect{Holder: c.leaderRecord.Node})
			return
		}
	}
	c.answer(req, 503, unavailable("machine not known"))
}

// holderUnreachable reports whether a holder has announced that workers do not reach it, either
// none at all or not those of this shard.
func (c *Core) holderUnreachable(holder string, shard int) bool {
	w := c.reachOf(holder)
	return w.NoWorkers || slices.Contains(w.SilentShards, shard)
}

// redirectToRelay redirects a worker to a controller that can relay its reports to a holder
// that neither the worker nor this controller can reach, if there is one.
func (c *Core) redirectToRelay(req uint64, holder string) {
	for _, node := range sortedKeys(c.nodes) {
		if node != c.params.Node && node != holder && !c.reachOf(node).NoWorkers && !slices.Contains(c.reachOf(node).UnreachableNodes, holder) {
			c.answer(req, 421, wire.Redirect{Holder: node})
			return
		}
	}
	c.answer(req, 503, unavailable("holder does not hear its workers"))
}

// applyAttemptReports updates the attempts of a machine from its newest report.
func (c *Core) applyAttemptReports(m *machine, r *wire.Report) {
	present := map[attemptKey]bool{}
	for _, t := range r.Attempts {
		k := attemptKey{t.Task, t.Attempt}
		present[k] = true
		a := m.attempts[k]
		if a == nil {
			job, taskIndex, err := wire.ParseTask(t.Task)
			if err != nil {
				c.log(0, "report contains an invalid task name", "machine", m.name, "task", t.Task)
				m.reportHeader += reportsize.Entry(t.Task)
				continue
			}
			a = &attempt{key: k, job: job, taskIndex: taskIndex, machine: m, startSent: true, createdAt: c.now, runningSince: c.now}
			if e := c.jobs[job]; e != nil {
				a.size, a.team, a.sizeKnown, a.belowUrgent, a.idlePriority = jobSize(&e.record), e.record.Team, true, e.priority < urgentRank, e.priority <= idleRank
				c.markJobDirty(e)
				if e.run != nil && t.Status != wire.TaskEnded {
					if other := e.run.active[taskIndex]; other != nil {
						// One of the two is outdated and comes from a delayed report; the
						// next reports show which.
						c.log(0, "task reported by two machines", "task", t.Task, "on", other.machine.name, "and", m.name)
						a.stopping = other.machine.accounted && m.accounted && other.machine != m
					} else {
						e.run.active[taskIndex] = a
						e.run.retryIndexes = slices.DeleteFunc(e.run.retryIndexes, func(k int) bool { return k == taskIndex })
					}
				}
			}
			c.addAttempt(a)
		}
		if a.status == t.Status {
			c.countLongRunning(a)
			continue
		}
		previousStatus := a.status
		a.status, a.cause = t.Status, t.Cause
		if t.Status == wire.TaskRunning || t.Status == wire.TaskSaving || t.Status == wire.TaskEnded && t.Cause == wire.CauseDone {
			// After a takeover, a task that has ended meanwhile shows it as well: without
			// that, tasks were placed on machines without their image and fetched it again.
			c.noteImage(m, a.job)
		}
		switch t.Status {
		case wire.TaskRunning:
			a.runningSince = c.now
			c.recordTaskRecovery(trail.TaskRunning, a)
			c.log(2, "task running", "task", a.key.task, "machine", m.name, "after", (c.now - a.createdAt).String())
		case wire.TaskEnded:
			m.usage.valid = false
			c.markDirty(m)
			c.attemptEnded(a, previousStatus)
		}
	}
	for _, k := range sortedAttemptKeys(m) {
		a := m.attempts[k]
		if present[k] || (!a.startSent && a.status == "") {
			continue
		}
		// A newer report does not list it: the answer that carried its start was
		// lost, the session has ended, or the attempt was cleared.
		c.attemptLost(a, "not on its machine")
	}
	if len(m.attempts) > 0 {
		m.idleSince = c.now
	}
	c.updateImageUse(m)
}

// noteImage records that a machine has the image of a job, because a task of it ran there.
func (c *Core) noteImage(m *machine, job string) {
	if e := c.jobs[job]; e != nil && !m.images[e.record.Image] {
		m.images[e.record.Image] = true
		c.imageCaches.MarkDirty(m.shard)
	}
}

// attemptEnded handles the end of an attempt that its worker has reported. previousStatus is
// the status last reported before.
func (c *Core) attemptEnded(a *attempt, previousStatus string) {
	e := c.jobs[a.job]
	if e == nil || e.run == nil {
		return
	}
	c.markJobDirty(e)
	if a.cause == wire.CauseDone {
		if previousStatus == wire.TaskRunning {
			c.runTimes.Record(e.record.Class, e.record.EstimateS, c.now-a.runningSince)
		}
		e.run.done = e.run.done.Add(a.taskIndex)
		e.run.failures = 0
		c.returnFaulty(c.taskHealth.RecordCompletion(a.job, a.machine.name))
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
			c.recordTaskEvent(trail.TaskLost, a, "stopped")
		}
	}
	if a.cause == wire.CauseHalted {
		return
	}
	c.recordTaskEvent(trail.TaskFailed, a, a.cause)
	c.log(1, "task ended", "task", a.key.task, "machine", a.machine.name, "cause", a.cause, "was", previousStatus)
	if a.cause == wire.CauseError {
		c.taskFailed(e, a)
		return
	}
	e.run.failures++
	e.run.notBefore = c.now + min(tuning.TaskErrorBackoff<<min(e.run.failures-1, 10), tuning.TaskErrorBackoffMax)
}
