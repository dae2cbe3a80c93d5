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

// shouldMarkIdle reports whether a block should be marked idle: nothing runs on it, its shard has no use
// for it, and another shard requests machines like it. While a block is marked idle, nothing is started
// on it and the leader may move it.
func (c *Core) shouldMarkIdle(block *blockEntry) bool {
	if c.vacating[block.id] {
		return c.emptyFor(block, 0)
	}
	if c.hasUnmetDemand(block.record.Shard) {
		return false
	}
	requested := false
	for _, i := range c.shardIDs() {
		if i != block.record.Shard {
			for _, need := range c.shardDemand(i).Needs {
				requested = requested || c.blockServes(block, need)
			}
		}
	}
	return requested && c.emptyFor(block, tuning.IdleBlockOfferAfter) && c.hasSpareWithout(block.record.Shard, c.machinesOf(block)...)
}

// emptyFor reports whether nothing has been on any machine of a block for a duration.
func (c *Core) emptyFor(block *blockEntry, duration time.Duration) bool {
	for _, bm := range block.record.Machines {
		m := c.machines[bm.Name]
		if m == nil || m.returning || !m.accounted || len(m.attempts) > 0 || !m.reported || c.now-m.idleSince < duration {
			return false
		}
	}
	return len(block.record.Machines) > 0
}

// machinesOf lists the machines of a block that this controller holds.
func (c *Core) machinesOf(b *blockEntry) (machines []*machine) {
	for _, bm := range b.record.Machines {
		if m := c.machines[bm.Name]; m != nil {
			machines = append(machines, m)
		}
	}
	return machines
}

// spareTarget returns for how many urgent tasks a shard keeps capacity free.
func (c *Core) spareTarget(shard int) int {
	_, boot := supply.FetchAndBootBounds(c.machineTypes, nil)
	return c.urgentReserve.Target(c.now, shard, boot)
}

// urgentCapacity returns how many urgent tasks of the given size a machine could take at once if the less
// urgent work on it were preempted.
func (c *Core) urgentCapacity(m *machine, size placement.Size) int {
	free := c.freeOnceCleared(m)
	for _, a := range m.attempts {
		if a.belowUrgent && a.status != wire.TaskEnded {
			free = free.Add(a.size)
		}
	}
	return placement.Beta(free, size) + 1
}

// hasSpareWithout reports whether a shard keeps its spare capacity for urgent tasks without the given
// machines, because urgent work should not wait for a machine to boot.
func (c *Core) hasSpareWithout(shard int, without ...*machine) bool {
	c.refreshIndexes()
	spare := c.capacity.UrgentSlots(shard)
	for _, m := range without {
		if facts, ok := c.capacity.Get(m); ok && facts.Usable && !facts.Spot {
			spare -= facts.UrgentSlots
		}
	}
	return spare >= c.spareTarget(shard)
}

// consolidate frees rented machines that run only a few replicas, if all of these fit on other machines in
// use that have their image. Anchors spread by design, so each is left alone on a machine once the batch
// work around it has ended. A small share of the shard's machines is freed at a time: when it was one at
// a time, the remaining machines of a fleet were paid for ten minutes longer.
func (c *Core) consolidate(shard int) {
	if c.unreconciledShards[shard] || !c.dueEvery(fmt.Sprintf("move%d", shard), tuning.ReplicaMoveInterval) {
		return
	}
	var inUse []*machine
	moving := 0
	for _, m := range c.heldMachines() {
		switch {
		case m.shard != shard:
		case m.moving:
			moving++
		case c.usable(m) && len(m.attempts) > 0:
			inUse = append(inUse, m)
		}
	}
	var candidates []disruption.Machine[*machine]
	for _, m := range inUse {
		candidate := disruption.Machine[*machine]{Handle: m, Free: c.freeCapacity(m), Pinned: m.base}
		for _, k := range sortedAttemptKeys(m) {
			a := m.attempts[k]
			if !c.movable(a) {
				candidate.Pinned = true
				break
			}
			job := &c.jobs[a.job].record
			candidate.Moves = append(candidate.Moves, disruption.Move[*machine]{
				Size: a.size,
				Allows: func(other *machine) bool {
					return !other.moving && other.images[job.Image] && allowsMachine(job, other)
				},
			})
		}
		candidates = append(candidates, candidate)
	}
	for _, m := range disruption.Consolidate(candidates, max(1, len(inUse)/tuning.MachinesPerReplicaMove)-moving, tuning.ReplicaMoveCandidates) {
		m.moving = true
		c.markDirty(m)
		for _, k := range sortedAttemptKeys(m) {
			c.stopAttempt(m.attempts[k])
		}
		c.log(1, "moving replicas off a machine", "machine", m.name, "replicas", len(m.attempts))
	}
}

// movable reports whether a task is a replica that has run for a while and is not bound to a zone.
func (c *Core) movable(a *attempt) bool {
	e := c.jobs[a.job]
	return e != nil && e.run != nil && e.record.Shape == wire.ShapeService && !e.record.OneZone && !e.record.Spread && !a.stopping &&
		a.status == wire.TaskRunning && c.now-a.runningSince >= tuning.ReplicaMoveAfter
}

// retireMachines marks the machines of a shard that are to be returned: those that are idle, are silent, do
// not receive answers, never came up, were taken by the cloud, or had their replicas moved off. busy
// means that the shard has unmet demand, so no idle machine is returned.
func (c *Core) retireMachines(shard int, busy bool) {
	// Many machines that are silent at the same time indicate a network partition, after which they come
	// back. A controller that lost its workers for half a minute, while another controller was down,
	// returned 163 healthy machines.
	silent := 0
	for _, m := range c.heldMachines() {
		if m.shard == shard && m.reported && !m.returning && (c.now-m.lastReport > c.reportMaxAge() || m.delivery.MissesAnswers()) {
			silent++
		}
	}
	partitioned := assignmentLimits.TooManyMissing(silent, c.machineCount(shard))
	for _, m := range c.heldMachines() {
		if m.shard != shard || m.returning {
			continue
		}
		m.silentWithMany = m.leaseOver && (m.silentWithMany || partitioned)
		why := c.bootFailure(m)
		switch {
		case why != "":
		case m.leaseOver && !m.base && !m.silentWithMany, m.reported && c.now-max(m.lastReport, c.authorizationChangedAt) > seconds(c.settings.SilentDropS):
			// A rented machine whose lease is over is returned at once, since a replacement costs the
			// same. Reports are not accepted while this controller's authority is unconfirmed, so
			// silence counts only from when it was confirmed.
			why = "silent"
		case m.delivery.MissesAnswers() && !m.base && !partitioned:
			why = "deaf" // once it is deleted its tasks run elsewhere, sooner than when its lease expires
		case m.terminationNotice && c.now > m.terminatesAt+2*time.Second && c.now-m.lastReport > 4*c.params.ReportInterval:
			why = "taken"
		case m.moving && len(m.attempts) == 0:
			why = "moved off"
		case !m.base && !busy && !c.awaitsCrew(shard) && m.reported && m.accounted && len(m.attempts) == 0 &&
			c.now-m.idleSince > c.weights.IdleTimeout(m.images, seconds(c.settings.IdleReturnS)) &&
			(m.spot || c.hasSpareWithout(shard, m)):
			why = "idle"
		}
		if why != "" {
			m.returning = true
			c.markDirty(m)
			c.recordMachineEvent(trail.MachineReturned, m, wire.TrailEvent{Why: why})
			c.log(1, "returning a machine", "machine", m.name, "why", why)
		}
	}
}
