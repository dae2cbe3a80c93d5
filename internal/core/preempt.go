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

// preempt stops lesser work for urgent tasks that find no room, and work that is run when
// there is nothing else to do for all that lies within a guarantee. All that wait are
// served together, each on a machine of its own choice where the least running time is
// lost: served one by one, each waited until the one before had its machine.
func (c *Core) preempt() {
	if !c.authorized() || !c.dueEvery("preempt", tuning.PreemptEvery) {
		return
	}
	var list []*jobEntry
	c.jobQueue.Walk(unlimitedCapacity, func(p *queue.Entry[*jobEntry]) bool {
		e := p.Handle
		upper := e.priority >= urgentRank || c.tierOrder.OperatorDefined(e.rank)
		if !upper && (e.priority <= idleRank || len(c.idleAttempts) == 0) {
			return !c.tierOrder.PriorityOnly() // nothing gives way to it; by priority the order begins with urgent jobs
		}
		if !upper && !p.WithinGuarantee || c.taskHealth.Trial(e.record.ID) {
			return true
		}
		// For a part of a gang no work is stopped: the rest may find no room.
		if !c.placementBlocked(e, c.shardOfTeam(e.record.Team)) && e.record.Shape != wire.ShapeGang && c.now-e.run.waitingSince > tuning.PreemptAfter && len(list) < tuning.PreemptJobs {
			list = append(list, e)
		}
		return true
	})
	if len(list) == 0 {
		return
	}
	least := list[0].rank // no work of a higher rung than any of these gives way
	for _, e := range list {
		least = min(least, e.rank)
	}
	by := map[int][]*preemption.Machine[*machine, *attempt]{}
	for _, m := range c.heldMachines() {
		if c.usable(m) {
			by[m.shard] = append(by[m.shard], c.clearingOf(m, least))
		}
	}
	for _, e := range list {
		i := c.shardOfTeam(e.record.Team)
		used := c.capacity.Used(e.record.Team, i)
		for n := e.run.pendingTasks(&e.record); n > 0; n-- {
			if used = used.Add(jobSize(&e.record)); c.params.Teams[e.record.Team].exceededBy(used) || !c.preemptFor(e, by[i]) {
				break
			}
		}
	}
}

func (c *Core) clearingOf(m *machine, least int) *preemption.Machine[*machine, *attempt] {
	x := &preemption.Machine[*machine, *attempt]{Handle: m, Free: c.freeCapacity(m)}
	for _, k := range sortedAttemptKeys(m) {
		a := m.attempts[k]
		switch {
		case a.status == "" && !a.startSent && a.sizeKnown && c.jobs[a.job] != nil && c.jobs[a.job].rank < least && c.jobs[a.job].record.Shape != wire.ShapeGang:
			x.Victims = append(x.Victims, preemption.Victim[*attempt]{Handle: a, Size: a.size, Unsent: true})
		case a.status == wire.TaskEnded || !a.startSent:
		case a.stopping || c.jobs[a.job] == nil:
			x.Free = x.Free.Add(a.size) // already leaving
		case a.sizeKnown && a.belowUrgent && c.jobs[a.job].rank < least:
			x.Victims = append(x.Victims, preemption.Victim[*attempt]{Handle: a, Size: a.size, Runtime: c.now - a.runningSince, Idle: a.idlePriority})
		}
	}
	x.SortVictims()
	return x
}

// preemptFor makes room for one task of a job, unless some is being made. It tells whether
// there will be room.
func (c *Core) preemptFor(e *jobEntry, in []*preemption.Machine[*machine, *attempt]) bool {
	kinds := c.allowedKinds(e, tasksByZone(e))
	stop, ok := preemption.Choose(in, jobSize(&e.record), e.priority >= urgentRank, func(m *machine) bool {
		return kinds(ledger.Kind{Shard: m.shard, Type: m.machineType, Zone: m.zone, Spot: m.spot}) && !c.avoids(e, m)
	})
	for _, v := range stop {
		a := v.Handle
		if v.Unsent { // never told to anybody, so nowhere
			c.attemptLost(a, "its place goes to "+e.record.ID)
			continue
		}
		c.stopAttempt(a)
		c.recordTaskEvent(trail.TaskStopped, a, "for "+e.record.ID+", which goes before it")
		c.log(1, "stopping a task for work that goes before it", "task", a.key.task, "machine", a.machine.name, "for", e.record.ID)
	}
	return ok
}

// stopAttempt has a task stopped, with time to save if it can.
func (c *Core) stopAttempt(a *attempt) {
	a.stopping = true
	c.requestReport(a.machine, true)
	if e := c.jobs[a.job]; e != nil && e.record.CheckpointEvery > 0 {
		a.stopGraceS = e.record.SaveS
	}
}

// vacate empties blocks for other shards' guaranteed work that finds no room.
// The shard that is furthest beyond its guarantee gives way, with the block
// where least is lost.
func (c *Core) vacate() {
	if !c.dueEvery("vacate", 200*time.Millisecond) || !c.authorized() {
		return
	}
	dire := false
	for _, i := range c.shardIDs() {
		for _, n := range c.shardDemand(i).Needs {
			if !n.Dire {
				continue
			}
			dire = true
			k := supply.MostOversupplied(c.richness("", c.shardCPUs()), i)
			if k < 0 || !c.holdsShard(k) {
				continue
			}
			c.vacateFor(k, n)
		}
	}
	if !dire && len(c.vacating) > 0 {
		for id := range c.vacating {
			c.markBlockDirty(id)
		}
		c.vacating = map[string]bool{}
	}
}

// shardCPUs sums up the machines of each shard's blocks.
func (c *Core) shardCPUs() map[int]float64 {
	have := map[int]float64{}
	for i, types := range c.machineCounts {
		for _, t := range sortedKeys(types) {
			full, _ := c.machineSize(t)
			have[i] += full.CPUs * float64(types[t])
		}
	}
	return have
}

func (c *Core) blockCPUs(b *wire.Block) float64 {
	full, _ := c.machineSize(b.Type)
	return full.CPUs * float64(len(b.Machines))
}

// guarantee sums up the guarantees of a shard's teams.
func (c *Core) guarantee(shard int) float64 {
	g := 0.0
	for _, t := range c.shards[shard].record.Teams {
		g += c.params.Teams[t].CPUs
	}
	return g
}

func (c *Core) vacateFor(shard int, n wire.Need) {
	var blocks []disruption.Block
	for _, id := range c.blockIDs() {
		b := c.blocks[id]
		if b.record.Shard != shard || !c.blockServes(b, n) {
			continue
		}
		full, _ := c.machineSize(b.record.Type)
		x := disruption.Block{Name: id, Vacated: c.vacating[id] || b.record.Idle, TaskSlots: len(b.record.Machines) * (placement.Beta(full, needSize(n)) + 1)}
		for _, bm := range b.record.Machines {
			m := c.machines[bm.Name]
			if m == nil || !c.usable(m) {
				x.Pinned = true
				break
			}
			for _, a := range m.attempts {
				if e := c.jobs[a.job]; e != nil && (e.priority >= urgentRank || e.rank > n.Rung) {
					x.Pinned = true
				}
				if a.status != wire.TaskEnded {
					x.LostRuntime += c.now - a.runningSince + time.Second
				}
			}
		}
		blocks = append(blocks, x)
	}
	best, loss := disruption.ChooseBlock(blocks, n.Tasks)
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
