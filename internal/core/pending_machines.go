package core

import (
	"github.com/barrowbridge/barrowbridge/internal/reach"
	"github.com/barrowbridge/barrowbridge/internal/takeover"
	"github.com/barrowbridge/barrowbridge/internal/tuning"
	"github.com/barrowbridge/barrowbridge/wire"
)

func newPendingMachines() *takeover.PendingMachines[*machine] {
	return takeover.NewPendingMachines[*machine](takeover.Limits{PerSecond: tuning.RollPerSecond, Burst: tuning.RollBurst, MaxInFlight: tuning.RollOpen, ScanLimit: tuning.RollLook,
		LostAfter: 2 * tuning.OrderTimeout, RetryDelay: tuning.RollPause, RetryDelayMax: tuning.RollPauseMax})
}

// callRoll calls the workers of machines that are not accounted for, with our token and
// no command. After a cut they may be answered by a former holder for as long as it may
// go unconfirmed, and by nobody who can reach us: the roll does not wait for them to come.
func (c *Core) queryPendingMachines() {
	if c.roll.Len() == 0 || !c.confirmed() {
		return
	}
	known := func(m *machine) bool { _, ok := c.addrs.Lookup(m.name); return ok }
	for _, m := range c.roll.Take(c.now, known) {
		block := c.blocks[m.block]
		if c.machines[m.name] != m || m.accounted || block == nil || !c.mine(m.shard) {
			c.roll.Remove(m)
			continue
		}
		at, _ := c.addrs.Lookup(m.name)
		c.callWorker(Order{Machine: m.name, Addr: at.Addr, Roll: true,
			Orders: wire.Orders{Token: c.token(block), Session: max(at.Session, m.session), Commands: []wire.Command{}}})
	}
}

// onOrderDone takes the report that a called worker answered with. It accounts for the
// machine as its own report would: it names our token, so every lower one is refused from
// then on, and nothing that we have answered it with can still be on its way, since a
// machine that is not accounted for is sent no command.
func (c *Core) onOrderDone(v OrderDone) {
	r := &v.Report
	if v.Status != 0 && r.Machine == v.Machine {
		c.addrs.Learn(r.Machine, r.Addr, r.Session)
		if !v.Through {
			c.workers.CallAnswered(c.now, c.heldShardOf(v.Machine), v.Machine)
		}
	}
	if v.For != "" && v.For != c.p.Node {
		to := v.For
		v.For, v.Through = "", true
		c.tell(to, PeerMessage{Ordered: &v})
		return
	}
	m := c.machines[v.Machine]
	if v.Look && v.Status == 200 && r.Machine == v.Machine {
		c.lives(r) // an answer to our own call is no copy
	}
	if v.Look && v.Status == 0 && m != nil && v.For == "" && m.delivery.CallUnanswered() {
		c.deliveryChanged(m)
	}
	if v.Look || m == nil || m.accounted || !c.mine(m.shard) {
		return // it has reported by itself meanwhile, or is no longer ours
	}
	b := c.blocks[m.block]
	if v.Status != 200 || r.Machine != v.Machine || b == nil || !c.confirmed() || r.Token < m.takeoverToken || c.isStaleReport(m, r) || r.Token > c.answerToken(m, b) {
		c.roll.CallFailed(c.now, m, v.Status == 409 && r.Session != v.Session && r.Token <= v.Token)
		return
	}
	m.currentReportsProven = true
	c.applyMachineReport(m, r)
	// The last report that anybody answered left its worker before the call came there,
	// so its lease is over no later than one that began now.
	m.lastAnswered = max(m.lastAnswered, c.now)
	c.applyAttemptReports(m, r)
	c.markAccounted(m, "call")
	c.runHolder()
}

// shardHeld is the shard of a machine that is held here.
func (c *Core) heldShardOf(name string) int {
	if m := c.machines[name]; m != nil {
		return m.shard
	}
	return reach.AnyShard
}

// learnAddrs takes note of where a list says that workers listen.
func (c *Core) learnAddresses(list map[string]wire.MachineInfo) {
	for n, i := range list {
		if c.blockIn[n] != "" || c.leader.known.Stranger(n) {
			c.addrs.Learn(n, i.Addr, 0)
		}
	}
	c.addrs.Prune(func(n string) bool { _, listed := list[n]; return listed || c.blockIn[n] != "" })
}

// followAddrs has the addresses at hand before they are needed. Only the leader reads the
// list for what it decides; the others read it for the addresses that they lack.
func (c *Core) refreshAddresses() {
	if c.leading() || c.listing || c.now < c.retryAt["addrs"] {
		return
	}
	missing := 0
	for n := range c.blockIn {
		if _, ok := c.addrs.Lookup(n); !ok {
			missing++
		}
	}
	c.retryAt["addrs"] = c.now + tuning.AddrsEvery
	if missing > 0 {
		c.listing = true
		c.readAddressPage("", map[string]wire.MachineInfo{})
	}
}

func (c *Core) readAddressPage(after string, machines map[string]wire.MachineInfo) {
	c.cloud(CloudCall{Op: OpMachines, After: after}, func(r CloudReply) {
		for _, m := range r.List.Machines {
			machines[m.Name] = m
			after = m.Name
		}
		if r.Status == 200 && r.List.More && len(r.List.Machines) > 0 {
			c.readAddressPage(after, machines)
			return
		}
		if c.listing = false; r.Status == 200 {
			c.learnAddresses(machines)
		}
	})
}
