package core

import (
	"time"

	"github.com/barrowbridge/barrowbridge/internal/disruption"
	"github.com/barrowbridge/barrowbridge/internal/ledger"
	"github.com/barrowbridge/barrowbridge/internal/placement"
	"github.com/barrowbridge/barrowbridge/internal/preemption"
	"github.com/barrowbridge/barrowbridge/internal/queue"
	"github.com/barrowbridge/barrowbridge/internal/supply"
	"github.com/barrowbridge/barrowbridge/internal/trail"
	"github.com/barrowbridge/barrowbridge/internal/tuning"
	"github.com/barrowbridge/barrowbridge/wire"
)

// preempt stops work of lower tiers for tasks that are urgent, or in a tier that operators named, and find
// no free capacity, and idle-priority work for all tasks within their team's guarantee. All waiting jobs
// are served in one pass, each on the machine where the least running time is lost. When they were served
// one by one, each waited until the one before it had its machine.
func (c *Core) preempt() {
	if !c.authorized() || !c.dueEvery("preempt", tuning.PreemptionInterval) {
		return
	}
	var jobs []*jobEntry
	c.jobQueue.Walk(unlimitedCapacity, func(p *queue.Entry[*jobEntry]) bool {
		e := p.Handle
		privileged := e.priority >= urgentRank || c.tierOrder.OperatorDefined(e.rank)
		if !privileged && (e.priority <= idleRank || len(c.idleAttempts) == 0) {
			return !c.tierOrder.PriorityOnly() // nothing is preemptible for it; in plain priority order no later job is urgent
		}
		if !privileged && !p.WithinGuarantee || c.taskHealth.OnTrial(e.record.ID) {
			return true
		}
		// Nothing is stopped for a part of a gang, because the rest of the gang may find no capacity.
		if !c.placementBlocked(e, c.shardOfTeam(e.record.Team)) && e.record.Shape != wire.ShapeGang &&
			c.now-e.run.waitingSince > tuning.PreemptionDelay && len(jobs) < tuning.MaxPreemptionJobs {
			jobs = append(jobs, e)
		}
		return true
	})
	if len(jobs) == 0 {
		return
	}
	lowestTier := jobs[0].rank // only work of a lower tier than all of these is preempted
	for _, e := range jobs {
		lowestTier = min(lowestTier, e.rank)
	}
	machinesByShard := map[int][]*preemption.Machine[*machine, *attempt]{}
	for _, m := range c.heldMachines() {
		if c.usable(m) {
			machinesByShard[m.shard] = append(machinesByShard[m.shard], c.preemptionCandidate(m, lowestTier))
		}
	}
	for _, e := range jobs {
		shard := c.shardOfTeam(e.record.Team)
		used := c.capacity.Used(e.record.Team, shard)
		for pending := e.run.pendingTasks(&e.record); pending > 0; pending-- {
			if used = used.Add(jobSize(&e.record)); c.params.Teams[e.record.Team].exceededBy(used) || !c.preemptFor(e, machinesByShard[shard]) {
				break
			}
		}
	}
}

// preemptionCandidate describes a machine for the choice of victims: its free capacity, including that of
// tasks which are already stopping, and the attempts of tiers below lowestTier that may
// be stopped.
func (c *Core) preemptionCandidate(m *machine, lowestTier int) *preemption.Machine[*machine, *attempt] {
	candidate := &preemption.Machine[*machine, *attempt]{Handle: m, Free: c.freeOnceCleared(m)}
	for _, k := range sortedAttemptKeys(m) {
		a := m.attempts[k]
		switch {
		case a.status == "" && !a.startSent && a.sizeKnown && c.jobs[a.job] != nil &&
			c.jobs[a.job].rank < lowestTier && c.jobs[a.job].record.Shape != wire.ShapeGang:
			candidate.Victims = append(candidate.Victims, preemption.Victim[*attempt]{Handle: a, Size: a.size, Unsent: true})
		case a.status == wire.TaskEnded || !a.startSent:
		case a.stopping || c.jobs[a.job] == nil:
			candidate.Free = candidate.Free.Add(a.size) // already being stopped
		case a.sizeKnown && a.belowUrgent && c.jobs[a.job].rank < lowestTier:
			candidate.Victims = append(candidate.Victims, preemption.Victim[*attempt]{
				Handle:  a,
				Size:    a.size,
				Runtime: c.now - a.runningSince,
				Idle:    a.idlePriority,
			})
		}
	}
	candidate.SortVictims()
	return candidate
}

// preemptFor stops tasks to free capacity for one task of a job, unless enough is being freed already.
// It reports whether there will be capacity.
func (c *Core) preemptFor(e *jobEntry, machines []*preemption.Machine[*machine, *attempt]) bool {
	kinds := c.allowedKinds(e, tasksByZone(e))
	victims, ok := preemption.Choose(machines, jobSize(&e.record), e.priority >= urgentRank, func(m *machine) bool {
		return kinds(ledger.Kind{Shard: m.shard, Type: m.machineType, Zone: m.zone, Spot: m.spot}) && !c.avoids(e, m)
	})
	for _, victim := range victims {
		a := victim.Handle
		if victim.Unsent { // never sent to a worker, so it runs nowhere
			c.attemptLost(a, "its place goes to "+e.record.ID)
			continue
		}
		c.stopAttempt(a)
		c.recordTaskEvent(trail.TaskStopped, a, "for "+e.record.ID+", which goes before it")
		c.log(1, "preempting a task", "task", a.key.task, "machine", a.machine.name, "for", e.record.ID)
	}
	return ok
}

// stopAttempt marks an attempt to be stopped, with a grace period to save if its job has checkpoints.
func (c *Core) stopAttempt(a *attempt) {
	a.stopping = true
	c.requestReport(a.machine, true)
	if e := c.jobs[a.job]; e != nil && e.record.CheckpointEvery > 0 {
		a.stopGraceS = e.record.SaveS
	}
}

// reclaimBlocks empties blocks of the held shards for guaranteed work of other shards that is starved of
// capacity. The shard that is furthest above its guarantee gives up the block where the least running
// time is lost.
func (c *Core) reclaimBlocks() {
	if !c.dueEvery("vacate", 200*time.Millisecond) || !c.authorized() {
		return
	}
	starved := false
	for _, i := range c.shardIDs() {
		for _, need := range c.shardDemand(i).Needs {
			if !need.Starved {
				continue
			}
			starved = true
			borrower := supply.MostOversupplied(c.shardCapacities("", c.shardCPUs()), i)
			if borrower < 0 || !c.holdsShard(borrower) {
				continue
			}
			c.reclaimBlockFor(borrower, need)
		}
	}
	if !starved && len(c.vacating) > 0 {
		for id := range c.vacating {
			c.markBlockDirty(id)
		}
		c.vacating = map[string]bool{}
	}
}

// shardCPUs returns the CPUs of the machines in each shard's blocks.
func (c *Core) shardCPUs() map[int]float64 {
	cpus := map[int]float64{}
	for i, types := range c.machineCounts {
		for _, machineType := range sortedKeys(types) {
			size, _ := c.machineSize(machineType)
			cpus[i] += size.CPUs * float64(types[machineType])
		}
	}
	return cpus
}

// blockCPUs returns the CPUs of a block's machines.
func (c *Core) blockCPUs(b *wire.Block) float64 {
	size, _ := c.machineSize(b.Type)
	return size.CPUs * float64(len(b.Machines))
}

// guaranteedCPUs returns the sum of the CPU guarantees of a shard's teams.
func (c *Core) guaranteedCPUs(shard int) float64 {
	cpus := 0.0
	for _, team := range c.shards[shard].record.Teams {
		cpus += c.params.Teams[team].CPUs
	}
	return cpus
}

// reclaimBlockFor empties the block of a shard that serves a need of another shard at the least loss. A
// block with urgent work, work of a higher tier than the need's or an unusable machine is not emptied.
func (c *Core) reclaimBlockFor(shard int, need wire.Need) {
	var blocks []disruption.Block
	for _, id := range c.blockIDs() {
		block := c.blocks[id]
		if block.record.Shard != shard || !c.blockServes(block, need) {
			continue
		}
		size, _ := c.machineSize(block.record.Type)
		candidate := disruption.Block{
			Name:      id,
			Vacated:   c.vacating[id] || block.record.Idle,
			TaskSlots: len(block.record.Machines) * (placement.Beta(size, needSize(need)) + 1),
		}
		for _, bm := range block.record.Machines {
			m := c.machines[bm.Name]
			if m == nil || !c.usable(m) {
				candidate.Pinned = true
				break
			}
			for _, a := range m.attempts {
				if e := c.jobs[a.job]; e != nil && (e.priority >= urgentRank || e.rank > need.Tier) {
					candidate.Pinned = true
				}
				if a.status != wire.TaskEnded {
					candidate.LostRuntime += c.now - a.runningSince + time.Second
				}
			}
		}
		blocks = append(blocks, candidate)
	}
	best, loss := disruption.ChooseBlock(blocks, need.Tasks)
	if best == "" {
		return
	}
	c.vacating[best] = true
	c.markBlockDirty(best)
	c.recordShardEvent(trail.BlockEmptied, shard, wire.TrailEvent{Block: best, Why: "another team's guarantee"})
	c.log(1, "emptying a block for another team's guarantee", "block", best, "shard", shard, "lost", loss.String())
	for _, bm := range c.blocks[best].record.Machines {
		m := c.machines[bm.Name]
		for _, k := range sortedAttemptKeys(m) {
			a := m.attempts[k]
			if a.startSent && a.status != wire.TaskEnded {
				c.stopAttempt(a)
				c.recordTaskEvent(trail.TaskStopped, a, "its block is emptied")
			}
		}
	}
}
