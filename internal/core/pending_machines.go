package core

import (
	"github.com/barrowbridge/barrowbridge/internal/reach"
	"github.com/barrowbridge/barrowbridge/internal/takeover"
	"github.com/barrowbridge/barrowbridge/internal/tuning"
	"github.com/barrowbridge/barrowbridge/wire"
)

// newPendingMachines returns an empty set of machines to be accounted for.
func newPendingMachines() *takeover.PendingMachines[*machine] {
	return takeover.NewPendingMachines[*machine](takeover.Limits{
		PerSecond:     tuning.PendingQueryRate,
		Burst:         tuning.PendingQueryBurst,
		MaxInFlight:   tuning.MaxPendingQueries,
		ScanLimit:     tuning.PendingQueryCandidates,
		LostAfter:     2 * tuning.WorkerCallTimeout,
		RetryDelay:    tuning.PendingQueryRetryDelay,
		RetryDelayMax: tuning.PendingQueryRetryDelayMax,
	})
}

// queryPendingMachines calls the workers of machines that are not accounted for, with the token
// of this controller and no command. It does not wait for their own reports: after a network
// partition a former holder may answer these for as long as it may go without confirmation, and
// they may reach no controller that can reach this one.
func (c *Core) queryPendingMachines() {
	if c.pendingMachines.Len() == 0 || !c.authorized() {
		return
	}
	addressKnown := func(m *machine) bool { _, ok := c.workerAddresses.Lookup(m.name); return ok }
	for _, m := range c.pendingMachines.Take(c.now, addressKnown) {
		block := c.blocks[m.block]
		if c.machines[m.name] != m || m.accounted || block == nil || !c.holdsShard(m.shard) {
			c.pendingMachines.Remove(m)
			continue
		}
		address, _ := c.workerAddresses.Lookup(m.name)
		c.callWorker(WorkerCall{Machine: m.name, Addr: address.Addr, ReturnOutcome: true,
			Orders: wire.Orders{Token: c.fencingToken(block), Session: max(address.Session, m.session), Commands: []wire.Command{}}})
	}
}

// onOrderDone handles the outcome of a call to a worker. A report in the answer accounts for the
// machine as a report that the worker sends by itself: it names the token of this controller, so
// the worker refuses every lower one from then on, and no command of this controller can still be
// in transit, since a machine that is not accounted for is sent none.
func (c *Core) onOrderDone(v WorkerCallDone) {
	r := &v.Report
	if v.Status != 0 && r.Machine == v.Machine {
		c.workerAddresses.Learn(r.Machine, r.Addr, r.Session)
		if !v.Relayed {
			c.workerReach.CallAnswered(c.now, c.heldShardOf(v.Machine), v.Machine)
		}
	}
	if v.RequestedBy != "" && v.RequestedBy != c.params.Node {
		caller := v.RequestedBy
		v.RequestedBy, v.Relayed = "", true
		c.sendToPeer(caller, PeerMessage{WorkerCallDone: &v})
		return
	}
	m := c.machines[v.Machine]
	if v.ProbeOnly && v.Status == 200 && r.Machine == v.Machine {
		c.noteAnswered(r) // an answer to this controller's own call is no late copy
	}
	if v.ProbeOnly && v.Status == 0 && m != nil && v.RequestedBy == "" && m.delivery.CallUnanswered() {
		c.deliveryChanged(m)
	}
	if v.ProbeOnly || m == nil || m.accounted || !c.holdsShard(m.shard) {
		return // it has reported by itself meanwhile, or is no longer held here
	}
	b := c.blocks[m.block]
	if v.Status != 200 || r.Machine != v.Machine || b == nil || !c.authorized() ||
		r.Token < m.takeoverToken || c.isStaleReport(m, r) || r.Token > c.answerToken(m, b) {
		c.pendingMachines.CallFailed(c.now, m, v.Status == 409 && r.Session != v.Session && r.Token <= v.Token)
		return
	}
	m.currentReportsProven = true
	c.applyMachineReport(m, r)
	// The last report that any controller answered left the worker before the call arrived
	// there, so its lease ends no later than one that begins now.
	m.lastAnswered = max(m.lastAnswered, c.now)
	c.applyAttemptReports(m, r)
	c.markAccounted(m, "call")
	c.runHolder()
}

// heldShardOf returns the shard of a machine that is held here, or reach.AnyShard.
func (c *Core) heldShardOf(name string) int {
	if m := c.machines[name]; m != nil {
		return m.shard
	}
	return reach.AnyShard
}

// learnAddresses stores the addresses of workers from the cloud's list of machines.
func (c *Core) learnAddresses(list map[string]wire.MachineInfo) {
	for name, info := range list {
		if c.blockOfMachine[name] != "" || c.leader.cloudMachines.IsUnassigned(name) {
			c.workerAddresses.Learn(name, info.Addr, 0)
		}
	}
	c.workerAddresses.Prune(func(name string) bool { _, listed := list[name]; return listed || c.blockOfMachine[name] != "" })
}

// refreshAddresses reads the addresses of workers before they are needed. The leader reads the
// cloud's list anyway for its own decisions; the other controllers read it only if addresses are
// missing.
func (c *Core) refreshAddresses() {
	if c.isLeader() || c.listingMachines || c.now < c.notBefore["addrs"] {
		return
	}
	missing := 0
	for n := range c.blockOfMachine {
		if _, ok := c.workerAddresses.Lookup(n); !ok {
			missing++
		}
	}
	c.notBefore["addrs"] = c.now + tuning.WorkerAddrCheckInterval
	if missing > 0 {
		c.listingMachines = true
		c.readAddressPage("", map[string]wire.MachineInfo{})
	}
}

// readAddressPage reads the pages of the cloud's list after a machine, adds them to machines and
// stores the addresses once the list is complete.
func (c *Core) readAddressPage(after string, machines map[string]wire.MachineInfo) {
	c.callCloud(CloudCall{Op: OpMachines, After: after}, func(reply CloudReply) {
		for _, m := range reply.List.Machines {
			machines[m.Name] = m
			after = m.Name
		}
		if reply.Status == 200 && reply.List.More && len(reply.List.Machines) > 0 {
			c.readAddressPage(after, machines)
			return
		}
		if c.listingMachines = false; reply.Status == 200 {
			c.learnAddresses(machines)
		}
	})
}
