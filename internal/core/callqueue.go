package core

import (
	"github.com/barrowbridge/barrowbridge/internal/callqueue"
	"github.com/barrowbridge/barrowbridge/internal/tuning"
	"github.com/barrowbridge/barrowbridge/wire"
)

// callWorker calls a worker, through a peer if we reach none of them and it does. A peer on the
// way is like a slow network: the worker compares token and session of what we sent.
func (c *Core) callWorker(v Order) {
	if n := c.assignments.WorkerProxy(c.now); n != "" {
		v.For = c.params.Node
		c.sendToPeer(n, PeerMessage{Order: &v})
		return
	}
	c.effects = append(c.effects, v)
}

func newCallQueue(p Params) *callqueue.Queue[*machine] {
	return callqueue.New[*machine](callqueue.Limits{PerSecond: tuning.OrdersPerSecond, Burst: tuning.OrdersPerSecond / 2, ScanLimit: tuning.OrderLook, MaxAge: 2 * p.ReportInterval})
}

// tokenOf is the token of answers to a machine: its block's, or a later revision at
// which our copy of the state still showed that we hold it. Whoever is granted it next
// is so by a later write, so has a higher one.
func (c *Core) answerToken(m *machine, b *blockEntry) uint64 {
	return max(c.fencingToken(b), m.raisedToken)
}

// wantReport asks for a machine's next report soon.
func (c *Core) requestReport(m *machine, urgent bool) { c.callQueue.Request(c.now, m, urgent) }

// promptWorkers calls workers that have something to hear.
func (c *Core) callQueuedWorkers() {
	if c.callQueue.Len() == 0 || !c.authorized() {
		return
	}
	for _, m := range c.callQueue.Take(c.now, c.callVerdict) {
		b := c.blocks[m.block]
		if b == nil {
			continue
		}
		stops := c.stopCommands(m)
		if len(stops) == 0 {
			m.raisedToken, m.earlyCallAt = max(m.raisedToken, c.mirrorRevision), c.now
		}
		c.callWorker(Order{Machine: m.name, Addr: m.addr, Orders: wire.Orders{Token: c.answerToken(m, b), Session: m.session, Commands: stops}})
	}
}

// dueFor tells whether a machine should be called now.
func (c *Core) callVerdict(m *machine) callqueue.Decision {
	switch {
	case c.machines[m.name] != m || m.addr == "" || m.leaseOver || m.silent || m.delivery.MissesAnswers() || !m.reported || !m.accounted || !c.holdsShard(m.shard):
		return callqueue.Forget
	case c.now-m.lastAnswered < tuning.OrderAfterAnswer:
		return callqueue.Wait // what we just answered must not be overtaken
	case len(c.stopCommands(m)) > 0:
		return callqueue.Call
	}
	unsent := false
	for _, a := range m.attempts {
		if a.status != "" || a.startSent {
			continue
		}
		unsent = true
		// A worker counts a higher token as a change once per half of its lease.
		if c.startable(a) && c.mirrorRevision > max(m.reportedToken, m.raisedToken) && (m.earlyCallAt == 0 || c.now-m.earlyCallAt > c.params.WorkerLease/2) {
			return callqueue.Call
		}
	}
	if unsent {
		return callqueue.Wait
	}
	return callqueue.Forget
}

// stops lists what is to be stopped on a machine.
func (c *Core) stopCommands(m *machine) []wire.Command {
	cmds := []wire.Command{}
	for _, cmd := range c.commandsFor(m, true) {
		if cmd.Verb == wire.VerbStop {
			cmds = append(cmds, cmd)
		}
	}
	return cmds
}

// passOn has the workers of a block that was ours report at once: they are sent on to
// the block's next holder, who has no address to call them at. The token is the one
// that the next holder was granted, so that ours count no more.
func (c *Core) sendToNextHolder(m *machine, b *blockEntry) {
	if b != nil && m.addr != "" && m.session > 0 && !m.leaseOver && c.authorized() {
		c.callWorker(Order{Machine: m.name, Addr: m.addr, Orders: wire.Orders{Token: c.fencingToken(b), Session: m.session, Commands: []wire.Command{}}})
	}
}
