package core

import (
	"fmt"
	"time"

	"github.com/barrowbridge/barrowbridge/internal/disruption"
	"github.com/barrowbridge/barrowbridge/internal/placement"
	"github.com/barrowbridge/barrowbridge/internal/supply"
	"github.com/barrowbridge/barrowbridge/internal/trail"
	"github.com/barrowbridge/barrowbridge/internal/tuning"
	"github.com/barrowbridge/barrowbridge/wire"
)

// offer tells whether a block should stand as idle: nothing runs on it, this
// shard has no use for it, and another asks. While it stands so, nothing is
// started on it, and the leader may move it.
func (c *Core) offer(b *blockEntry) bool {
	if c.vacating[b.id] {
		return c.empty(b, 0)
	}
	if c.hasUnmetDemand(b.record.Shard) {
		return false
	}
	asked := false
	for _, i := range c.shardIDs() {
		if i != b.record.Shard {
			for _, n := range c.shardDemand(i).Needs {
				asked = asked || c.blockServes(b, n)
			}
		}
	}
	return asked && c.empty(b, tuning.IdleOffer) && c.spareBeyond(b.record.Shard, c.machinesOf(b)...)
}

// empty tells whether nothing has been on a block for a while.
func (c *Core) empty(b *blockEntry, since time.Duration) bool {
	for _, bm := range b.record.Machines {
		m := c.machines[bm.Name]
		if m == nil || m.returning || !m.accounted || len(m.attempts) > 0 || !m.reported || c.now-m.idleSince < since {
			return false
		}
	}
	return len(b.record.Machines) > 0
}

// machinesOf lists the held machines of a block.
func (c *Core) machinesOf(b *blockEntry) (ms []*machine) {
	for _, bm := range b.record.Machines {
		if m := c.machines[bm.Name]; m != nil {
			ms = append(ms, m)
		}
	}
	return ms
}

// spareTarget is for how many urgent tasks a shard keeps room.
func (c *Core) spareTarget(shard int) int {
	_, boot := supply.FetchAndBootBounds(c.machineTypes, nil)
	return c.urgentReserve.Target(c.now, shard, boot)
}

// roomFor counts the urgent tasks that a machine could take at once, lesser
// work on it giving way.
func (c *Core) roomFor(m *machine, u placement.Size) int {
	f := c.freeCapacity(m)
	for _, a := range m.attempts {
		if a.belowUrgent && a.status != wire.TaskEnded {
			f = f.Add(a.size)
		}
	}
	return placement.Beta(f, u) + 1
}

// spareBeyond tells whether a shard keeps room for urgent tasks without the
// given machines: such work should not wait for a boot.
func (c *Core) spareBeyond(shard int, without ...*machine) bool {
	c.refreshIndexes()
	n := c.capacity.UrgentSlots(shard)
	for _, m := range without {
		if f, ok := c.capacity.Get(m); ok && f.Usable && !f.Spot {
			n -= f.UrgentSlots
		}
	}
	return n >= c.spareTarget(shard)
}

// moveOff frees rented machines that run nothing but a few replicas, if all of them find
// room, and their image, on machines in use. Anchors spread by design; once the batches
// around them have ended, each holds a machine alone. So many at a time as are a small
// share of the shard: one at a time, a fleet's tail was paid for ten minutes.
func (c *Core) moveOff(shard int) {
	if c.unreconciledShards[shard] || !c.dueEvery(fmt.Sprintf("move%d", shard), tuning.MoveEvery) {
		return
	}
	var in []*machine
	moving := 0
	for _, m := range c.heldMachines() {
		switch {
		case m.shard != shard:
		case m.moving:
			moving++
		case c.usable(m) && len(m.attempts) > 0:
			in = append(in, m)
		}
	}
	var list []disruption.Machine[*machine]
	for _, m := range in {
		x := disruption.Machine[*machine]{Handle: m, Free: c.freeCapacity(m), Pinned: m.base}
		for _, k := range sortedAttemptKeys(m) {
			a := m.attempts[k]
			if !c.movable(a) {
				x.Pinned = true
				break
			}
			j := &c.jobs[a.job].record
			x.Moves = append(x.Moves, disruption.Move[*machine]{Size: a.size, Allows: func(o *machine) bool { return !o.moving && o.images[j.Image] && allowsMachine(j, o) }})
		}
		list = append(list, x)
	}
	for _, m := range disruption.Consolidate(list, max(1, len(in)/tuning.MoveShare)-moving, tuning.MoveLook) {
		m.moving = true
		c.markDirty(m)
		for _, k := range sortedAttemptKeys(m) {
			c.stopAttempt(m.attempts[k])
		}
		c.log(1, "moving replicas off a machine", "machine", m.name, "replicas", len(m.attempts))
	}
}

// movable tells whether a task is a replica that has run for a while and is bound to no zone.
func (c *Core) movable(a *attempt) bool {
	e := c.jobs[a.job]
	return e != nil && e.run != nil && e.record.Shape == wire.ShapeService && !e.record.OneZone && !e.record.Spread && !a.stopping &&
		a.status == wire.TaskRunning && c.now-a.runningSince >= tuning.MoveAfter
}

// retire marks machines to be given back: idle, silent, never up, or taken.
func (c *Core) retire(shard int, busy bool) {
	// Many that are silent at a time are a cut, and come back: a controller that lost its
	// workers for half a minute, while another was down, gave 163 healthy machines away.
	silent := 0
	for _, m := range c.heldMachines() {
		if m.shard == shard && m.reported && !m.returning && (c.now-m.lastReport > c.reportMaxAge() || m.delivery.MissesAnswers()) {
			silent++
		}
	}
	cut := assignmentLimits.TooManyMissing(silent, c.machineCount(shard))
	for _, m := range c.heldMachines() {
		if m.shard != shard || m.returning {
			continue
		}
		m.silentWithMany = m.leaseOver && (m.silentWithMany || cut)
		why := c.neverComes(m)
		switch {
		case why != "":
		case m.leaseOver && !m.base && !m.silentWithMany, m.reported && c.now-max(m.lastReport, c.authorizationChangedAt) > seconds(c.settings.SilentDropS):
			// A rented one costs as much as another; while not sure to be entitled we take no report.
			why = "silent"
		case m.delivery.MissesAnswers() && !m.base && !cut:
			why = "deaf" // its tasks run elsewhere once it is deleted, sooner than when its lease is over
		case m.terminationNotice && c.now > m.terminatesAt+2*time.Second && c.now-m.lastReport > 4*c.params.ReportInterval:
			why = "taken"
		case m.moving && len(m.attempts) == 0:
			why = "moved off"
		case !m.base && !busy && !c.awaitsCrew(shard) && m.reported && m.accounted && len(m.attempts) == 0 && c.now-m.idleSince > c.weights.Keep(m.images, seconds(c.settings.IdleReturnS)) &&
			(m.spot || c.spareBeyond(shard, m)):
			why = "idle"
		}
		if why != "" {
			m.returning = true
			c.markDirty(m)
			c.recordMachineEvent(trail.MachineReturned, m, wire.TrailEvent{Why: why})
			c.log(1, "giving a machine back", "machine", m.name, "why", why)
		}
	}
}
