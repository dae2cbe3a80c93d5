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
	from, passed := c.relays.Through(v.Req)
	switch { // an older report is a copy: it says of no worker that we reach it
	case m != nil && c.older(m, r):
	case !passed:
		c.workers.Heard(c.now, c.shardHeld(r.Machine), r.Machine)
	case m != nil:
		c.workers.HeardThrough(c.now, m.shard)
	}
	if m == nil {
		c.redirect(v.Req, r)
		return
	}
	b := c.blocks[m.block]
	if b == nil || !c.mine(m.shard) || !c.confirmed() {
		// Not sure to be entitled: the worker may find one who is.
		c.answer(v.Req, 503, unavailable("entitlement not confirmed"))
		return
	}
	c.test(m, passed)
	token := c.tokenOf(m, b)
	if r.Token > token || c.older(m, r) {
		// A higher token: someone else is entitled and we have not heard yet.
		// An older report: delayed on its way, its list is history.
		c.answer(v.Req, 503, unavailable("report out of date"))
		return
	}
	if !c.proves(m, r) {
		c.trust(v.Req, m, r, token)
		return
	}
	c.listen(m, r, from.From)
	c.heardFrom(m, r)
	c.takeStock(m, r)
	if c.cordons[m.name].Drain {
		c.cordonSeen(m.name)
	}
	if !m.accounted && r.Token >= m.takenToken {
		c.account(m, "report")
	}
	if c.dirty { // a slot that this report frees is refilled in its answer
		c.dirty = false
		c.place()
	}
	reply := wire.ReportReply{Token: token, Commands: c.commands(m)}
	m.lastOK = c.now
	m.ear.Answered(r, token, from.From, reply.Commands)
	c.answer(v.Req, 200, reply)
	c.desk.Forget(m)
	unsent, urgent := false, false
	for _, a := range m.attempts {
		if !a.sent && a.status == "" {
			unsent, urgent = true, urgent || !a.lesser
		}
	}
	if unsent { // starts that are still being written
		c.wantReport(m, urgent)
	}
	c.flush()
}

// proves tells whether a report is known to be no late copy. Who has held a machine since it
// was rented knows its reports by their numbers. Who has taken it over knows none: there a
// report proves itself by naming a token that was given after that. Where nothing can be from
// before it may lack that, for it cost blocks that had just moved a report each, but only if it
// names no task: a copy that did had the task started anew, which by then was elsewhere.
func (c *Core) proves(m *machine, r *wire.Report) bool {
	m.proven = m.proven || r.Token >= m.takenToken
	return m.proven || !m.inherited && len(r.Attempts) == 0
}

// trust answers a report that proves nothing, so that the next one can: with our token and
// no command. It changes nothing else here, and is done a few times only: copies of the last
// reports of a dead machine would otherwise put off the end of its lease, as we must count
// it, one after the other.
func (c *Core) trust(req uint64, m *machine, r *wire.Report, token uint64) {
	m.session, m.seq, m.addr = r.Session, r.Seq, r.Addr
	spent := m.trusted >= tuning.TrustReports || m.trusted > 0 && (c.now-m.trustedAt > tuning.TrustAgain || c.roll.Tries(m) > 1)
	if spent && m.inherited && !m.accounted {
		c.answer(req, 503, unavailable("report proves nothing"))
		return
	}
	m.trusted, m.trustedAt, m.lastOK = m.trusted+1, c.now, c.now
	c.answer(req, 200, wire.ReportReply{Token: token, Commands: []wire.Command{}})
}

// test has the next answer to a machine carry a higher token if it is in doubt whether the
// machine hears: it came by another way, or as late as one that waited in vain.
func (c *Core) test(m *machine, passed bool) {
	gap := c.now - m.lastReport
	odd := m.reported && c.now-m.lastOK < c.p.Lease && (passed || gap > max(tuning.DeafGap, c.p.Report*5/4+time.Second))
	if m.ear.Test(c.now, odd, c.p.Lease/2) {
		m.raised = max(m.raised, c.rev)
	}
}

// listen judges by a new report whether its worker hears what it is answered.
func (c *Core) listen(m *machine, r *wire.Report, via string) {
	lapsed := m.session > 0 && r.Session > m.session && c.now-m.lastOK < c.p.Lease && m.reported && !m.over
	changed := m.ear.Report(r, via, lapsed)
	if m.ear.Missed() && r.Addr != "" && !c.workers.Lacks(c.now) {
		c.out = append(c.out, Order{Machine: m.name, Addr: r.Addr, Look: true})
	}
	if changed {
		c.hearingChanged(m)
	}
}

func (c *Core) hearingChanged(m *machine) {
	c.touch(m)
	c.dirty = true
	kind := trail.MachineHears
	if m.ear.Deaf() {
		kind = trail.MachineDeaf
	}
	c.noteMachine(kind, m, wire.TrailEvent{Count: len(m.attempts)})
	c.log(1, "worker hears what it is answered", "machine", m.name, "now", !m.ear.Deaf())
}

// older tells whether a report is history: a later one of its worker is known.
func (c *Core) older(m *machine, r *wire.Report) bool {
	return r.Session < m.session || r.Session == m.session && r.Seq <= m.seq
}

// heardFrom takes what a machine's newest report says of the machine itself.
func (c *Core) heardFrom(m *machine, r *wire.Report) {
	if m.silent {
		m.silent = false
		c.noteMachine(trail.MachineBack, m, wire.TrailEvent{Count: len(r.Attempts), Why: fmt.Sprintf("silent for %.1f s", (c.now - m.lastReport).Seconds())})
	}
	if m.over {
		c.touch(m)
	}
	m.session, m.seq, m.lastReport, m.over = r.Session, r.Seq, c.now, false
	m.addr, m.seenToken = r.Addr, r.Token
	if c.room.Heard(m, m.name, c.now) {
		c.touch(m)
	}
	if !m.reported {
		m.reported = true
		if len(c.p.Nodes) > 1 { // told with the next pings, and forgotten then
			c.addrs.CameUp(c.now, m.name)
		}
		c.boots.Up(c.now, m.name)
		if m.fresh {
			c.warm[m.name] = true
		}
		m.idleSince = c.now
		c.touch(m)
		c.log(2, "machine reports", "machine", m.name, "block", m.block)
	}
	if r.NoticeS != nil && !m.notice {
		m.notice, m.noticeAt = true, c.now+seconds(*r.NoticeS)
		c.touch(m)
		c.noteMachine(trail.MachineNotice, m, wire.TrailEvent{Count: len(m.attempts), Why: fmt.Sprintf("in %.1f s", *r.NoticeS)})
		c.log(1, "machine will be taken", "machine", m.name, "in_s", *r.NoticeS)
	}
}

// redirect answers a worker of a block this controller does not hold.
func (c *Core) redirect(req uint64, r *wire.Report) {
	if c.loaded {
		if b := c.blockOf(r.Machine); b != nil && c.shards[b.rec.Shard] != nil {
			s := c.shards[b.rec.Shard]
			holder := s.rec.Holder
			if n, up := c.nodes[holder]; !up || n.Boot != s.rec.Boot {
				holder = ""
			}
			if to, ok := c.yielded[b.rec.Shard]; ok {
				holder = to
			}
			// What we know of the holder is old: two controllers that a cut had left
			// without news sent workers to each other until their leases were over.
			if r.Token > c.rev || c.cutOff() {
				holder = ""
			}
			if _, ours := c.relays.Through(req); holder != "" && holder != c.p.Node && !ours {
				switch {
				case c.relay(req, r, holder, s.ver):
				case c.deaf(holder, b.rec.Shard): // it would wait there in vain
					c.sendBeside(req, holder)
				default:
					c.answer(req, 421, wire.Redirect{Holder: holder})
				}
				return
			}
			c.answer(req, 503, unavailable("holder not known"))
			return
		}
		c.onUnassignedReport(r)
		if c.chief.Node != "" && c.chief.Node != c.p.Node {
			c.answer(req, 421, wire.Redirect{Holder: c.chief.Node})
			return
		}
	}
	c.answer(req, 503, unavailable("machine not known"))
}

// deaf tells whether a holder has said that workers do not reach it.
func (c *Core) deaf(holder string, shard int) bool {
	w := c.wordOf(holder)
	return w.Lacks || slices.Contains(w.Seeks, shard)
}

// sendBeside sends a worker to a controller that passes its reports on to a holder whom
// neither it nor we can reach, if there is one.
func (c *Core) sendBeside(req uint64, holder string) {
	for _, n := range sortedKeys(c.nodes) {
		if n != c.p.Node && n != holder && !c.wordOf(n).Lacks && !slices.Contains(c.wordOf(n).Apart, holder) {
			c.answer(req, 421, wire.Redirect{Holder: n})
			return
		}
	}
	c.answer(req, 503, unavailable("holder does not hear its workers"))
}

// takeStock brings the attempts of a machine in line with its newest report.
func (c *Core) takeStock(m *machine, r *wire.Report) {
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
			a = &attempt{key: k, job: job, idx: idx, m: m, sent: true, created: c.now, running: c.now}
			if e := c.jobs[job]; e != nil {
				a.size, a.team, a.known, a.lesser, a.idle = jobSize(&e.rec), e.rec.Team, true, e.prio < urgentRank, e.prio <= idleRank
				c.touchJob(e)
				if e.run != nil && t.Status != wire.TaskEnded {
					if o := e.run.active[idx]; o != nil {
						// One of the two is history, told by a delayed report; the
						// next reports settle which.
						c.log(0, "task named on two machines", "task", t.Task, "on", o.m.name, "and", m.name)
						a.stop = o.m.accounted && m.accounted && o.m != m
					} else {
						e.run.active[idx] = a
						e.run.retry = slices.DeleteFunc(e.run.retry, func(k int) bool { return k == idx })
					}
				}
			}
			c.addAttempt(a)
		}
		if a.status == t.Status {
			c.hasProved(a)
			continue
		}
		was := a.status
		a.status, a.cause = t.Status, t.Cause
		if t.Status == wire.TaskRunning || t.Status == wire.TaskSaving || t.Status == wire.TaskEnded && t.Cause == wire.CauseDone {
			// After a takeover, what ended meanwhile tells it too: without that, tasks
			// went where their image was not, and fetched it again.
			c.hasImage(m, a.job)
		}
		switch t.Status {
		case wire.TaskRunning:
			a.running = c.now
			c.noteBack(trail.TaskRuns, a)
			c.log(2, "task runs", "task", a.key.task, "machine", m.name, "after", (c.now - a.created).String())
		case wire.TaskEnded:
			m.sum.ok = false
			c.touch(m)
			c.attemptEnded(a, was)
		}
	}
	for _, k := range sortedAttempts(m) {
		a := m.attempts[k]
		if present[k] || (!a.sent && a.status == "") {
			continue
		}
		// A newer report without it: the answer that carried the start was
		// dropped, the session is over, or it was cleared.
		c.attemptGone(a, "not on its machine")
	}
	if len(m.attempts) > 0 {
		m.idleSince = c.now
	}
	c.updateImageUse(m)
}

// hasImage notes that a machine has the image of a job whose task ran there.
func (c *Core) hasImage(m *machine, job string) {
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
	c.touchJob(e)
	if a.cause == wire.CauseDone {
		if was == wire.TaskRunning {
			c.runs.Ran(e.rec.Class, e.rec.EstimateS, c.now-a.running)
		}
		e.run.done = e.run.done.Add(a.idx)
		e.run.fails = 0
		c.sicken(c.health.Completed(a.job, a.m.name))
		if o := e.run.active[a.idx]; o == a {
			delete(e.run.active, a.idx)
		}
		e.run.retry = slices.DeleteFunc(e.run.retry, func(k int) bool { return k == a.idx })
		c.log(2, "task done", "task", a.key.task, "machine", a.m.name)
		return
	}
	if e.run.active[a.idx] == a {
		c.endActive(e, a)
		if a.cause == wire.CauseHalted {
			c.noteTask(trail.TaskLost, a, "stopped")
		}
	}
	if a.cause == wire.CauseHalted {
		return
	}
	c.noteTask(trail.TaskFailed, a, a.cause)
	c.log(1, "task ended", "task", a.key.task, "machine", a.m.name, "cause", a.cause, "was", was)
	if a.cause == wire.CauseError {
		c.taskFailed(e, a)
		return
	}
	e.run.fails++
	e.run.notYet = c.now + min(tuning.ErrorBackoff<<min(e.run.fails-1, 10), tuning.ErrorBackoffMax)
}

// commands for a machine, in answer to its report.
func (c *Core) commands(m *machine) []wire.Command { return c.commandsFor(m, false) }

// startable tells whether a reserved attempt's start is written, so that it may be made.
func (c *Core) startable(a *attempt) bool {
	e := c.jobs[a.job]
	return e != nil && e.run != nil && !a.stop && !a.m.fresh && e.rec.Started > a.idx && (!tracked(&e.rec) || onOf(&e.rec, a.idx) == a.m.name)
}

// commandsFor lists commands for a machine; a look changes nothing.
func (c *Core) commandsFor(m *machine, look bool) []wire.Command {
	cmds := []wire.Command{}
	if !m.accounted {
		return cmds
	}
	for _, k := range sortedAttempts(m) {
		if len(cmds) >= 200 {
			break // the rest comes with the next report; a reply has its limit
		}
		a := m.attempts[k]
		e := c.jobs[a.job]
		live := e != nil && e.run != nil
		switch {
		case a.status == wire.TaskEnded:
			// Cleared only once the outcome is written, or has no bearing.
			if !live || a.cause != wire.CauseDone || c.durableDone(e).Has(a.idx) {
				cmds = append(cmds, wire.Command{Verb: wire.VerbClear, Task: k.task, Attempt: k.try})
			}
		case !live || a.stop:
			if a.sent {
				g := a.graceS
				if !live {
					g = 0
				}
				cmds = append(cmds, wire.Command{Verb: wire.VerbStop, Task: k.task, Attempt: k.try, GraceS: &g})
			}
		case a.status == "" && c.startable(a) && !look:
			if run, now := c.runCommand(a); now {
				a.sent = true
				c.noteBack(trail.TaskAgain, a)
				cmds = append(cmds, run)
			}
		}
	}
	return cmds
}
