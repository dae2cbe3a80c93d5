package core

import (
	"github.com/barrowbridge/barrowbridge/internal/prompt"
	"github.com/barrowbridge/barrowbridge/internal/tuning"
	"github.com/barrowbridge/barrowbridge/wire"
)

// callWorker calls a worker, through a peer if we reach none of them and it does. A peer on the
// way is like a slow network: the worker compares token and session of what we sent.
func (c *Core) callWorker(v Order) {
	if n := c.assignments.ToWorkers(c.now); n != "" {
		v.For = c.params.Node
		c.sendToPeer(n, PeerMessage{Order: &v})
		return
	}
	c.effects = append(c.effects, v)
}

func newDesk(p Params) *prompt.Desk[*machine] {
	return prompt.New[*machine](prompt.Limits{PerSecond: tuning.OrdersPerSecond, Burst: tuning.OrdersPerSecond / 2, Look: tuning.OrderLook, Keep: 2 * p.ReportInterval})
}

// tokenOf is the token of answers to a machine: its block's, or a later revision at
// which our copy of the state still showed that we hold it. Whoever is granted it next
// is so by a later write, so has a higher one.
func (c *Core) tokenOf(m *machine, b *blockEntry) uint64 { return max(c.fencingToken(b), m.raised) }

// wantReport asks for a machine's next report soon.
func (c *Core) wantReport(m *machine, urgent bool) { c.callQueue.Want(c.now, m, urgent) }

// promptWorkers calls workers that have something to hear.
func (c *Core) promptWorkers() {
	if c.callQueue.Len() == 0 || !c.authorized() {
		return
	}
	for _, m := range c.callQueue.Take(c.now, c.dueFor) {
		b := c.blocks[m.block]
		if b == nil {
			continue
		}
		stops := c.stops(m)
		if len(stops) == 0 {
			m.raised, m.promptedAt = max(m.raised, c.mirrorRevision), c.now
		}
		c.callWorker(Order{Machine: m.name, Addr: m.addr, Orders: wire.Orders{Token: c.tokenOf(m, b), Session: m.session, Commands: stops}})
	}
}

// dueFor tells whether a machine should be called now.
func (c *Core) dueFor(m *machine) prompt.Verdict {
	switch {
	case c.machines[m.name] != m || m.addr == "" || m.over || m.silent || m.ear.Deaf() || !m.reported || !m.accounted || !c.holdsShard(m.shard):
		return prompt.Forget
	case c.now-m.lastOK < tuning.OrderAfterAnswer:
		return prompt.Wait // what we just answered must not be overtaken
	case len(c.stops(m)) > 0:
		return prompt.Call
	}
	unsent := false
	for _, a := range m.attempts {
		if a.status != "" || a.sent {
			continue
		}
		unsent = true
		// A worker counts a higher token as a change once per half of its lease.
		if c.startable(a) && c.mirrorRevision > max(m.seenToken, m.raised) && (m.promptedAt == 0 || c.now-m.promptedAt > c.params.WorkerLease/2) {
			return prompt.Call
		}
	}
	if unsent {
		return prompt.Wait
	}
	return prompt.Forget
}

// stops lists what is to be stopped on a machine.
func (c *Core) stops(m *machine) []wire.Command {
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
func (c *Core) passOn(m *machine, b *blockEntry) {
	if b != nil && m.addr != "" && m.session > 0 && !m.over && c.authorized() {
		c.callWorker(Order{Machine: m.name, Addr: m.addr, Orders: wire.Orders{Token: c.fencingToken(b), Session: m.session, Commands: []wire.Command{}}})
	}
}
