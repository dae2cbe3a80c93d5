package core

import (
	"sort"

	"github.com/barrowbridge/barrowbridge/internal/demand"
	"github.com/barrowbridge/barrowbridge/internal/ledger"
	"github.com/barrowbridge/barrowbridge/internal/limits"
	"github.com/barrowbridge/barrowbridge/internal/placement"
	"github.com/barrowbridge/barrowbridge/internal/queue"
	"github.com/barrowbridge/barrowbridge/internal/supply"
	"github.com/barrowbridge/barrowbridge/internal/tuning"
	"github.com/barrowbridge/barrowbridge/wire"
)

var jobSize, needSize, smallerSize = supply.JobSize, supply.NeedSize, placement.Min

// unlimitedCapacity makes a walk of the job queue visit all waiting jobs, whatever they ask for.
func unlimitedCapacity(string) placement.Size {
	return placement.Size{CPUs: inf, GPUs: inf, MemGB: inf, ReportBytes: inf}
}

// supplyPool returns the capacity of a shard that waiting tasks may use: on machines that are
// coming up or are not accounted for yet and, if any of the waiting tasks fits at all, on those
// that have free capacity now.
func (c *Core) supplyPool(shard int, soon []*wire.Job) supply.Pool {
	var machines []*machine
	capacityOf := map[*machine]supply.Capacity{}
	add := func(m *machine, free placement.Size, doubted bool) {
		machines = append(machines, m)
		capacityOf[m] = supply.Capacity{Type: m.machineType, Zone: m.zone, Spot: m.spot, Free: free, BootLate: doubted}
	}
	doubted := c.doubtedMachines(shard)
	for m := range c.comingMachines {
		if m.shard == shard {
			// A machine that is not accounted for may be empty: machines are requested
			// only for tasks that would not fit even then.
			full, _ := c.machineSize(m.machineType)
			add(m, c.withoutReservation(m, full), doubted[m.name])
		}
	}
	sort.Slice(machines, func(i, j int) bool { return machines[i].name < machines[j].name })
	largest := c.capacity.MaxFree(shard)
	var smallest *placement.Size
	c.jobQueue.Walk(func(team string) placement.Size {
		if c.shardOfTeam(team) != shard {
			return placement.Size{CPUs: -1}
		}
		return largest
	}, func(p *queue.Entry[*jobEntry]) bool {
		if s := p.Job.TaskSize; smallest == nil {
			smallest = &s
		} else {
			*smallest = smallerSize(*smallest, s)
		}
		return true
	})
	for _, j := range soon {
		s := jobSize(j)
		if smallest != nil {
			s = smallerSize(*smallest, s)
		}
		smallest = &s
	}
	if smallest != nil {
		c.capacity.EachFitting(shard, *smallest, func(ledger.Kind) bool { return true }, func(m *machine, _ ledger.Kind, free placement.Size) {
			add(m, free, false)
		})
	}
	sorted := len(machines)
	for m := range c.idleAttempts {
		if f, ok := c.capacity.Get(m); ok && f.Usable && m.shard == shard {
			if _, in := capacityOf[m]; !in {
				add(m, f.Free, false)
			}
			r := capacityOf[m]
			r.IdleUse = c.idleUsage(m)
			r.Free = r.Free.Add(r.IdleUse)
			capacityOf[m] = r
		}
	}
	sort.Slice(machines[sorted:], func(i, j int) bool { return machines[sorted+i].name < machines[sorted+j].name })
	pool := make(supply.Pool, 0, len(machines))
	for _, m := range machines {
		pool = append(pool, capacityOf[m])
	}
	return pool
}

// idleUsage returns the capacity that work of idle priority, preemptible by all other work, uses on
// a machine.
func (c *Core) idleUsage(m *machine) (s placement.Size) {
	for _, a := range m.attempts {
		if a.idlePriority && a.status != wire.TaskEnded {
			s = s.Add(a.size)
		}
	}
	return s
}

// spareNeed returns the capacity that a shard is short of for the next urgent tasks, so that they
// do not wait for a machine to boot, and reports whether there is any such shortage.
func (c *Core) spareNeed(shard int) (wire.Need, bool) {
	missing := c.spareTarget(shard)
	if missing <= 0 {
		return wire.Need{}, false
	}
	missing -= c.capacity.UrgentSlots(shard)
	urgentTask, tier := c.urgentReserve.TaskSize(shard)
	doubted := c.doubtedMachines(shard)
	for m := range c.comingMachines {
		if m.shard != shard || m.spot || doubted[m.name] {
			continue
		}
		if m.reported {
			missing -= c.urgentCapacity(m, urgentTask)
		} else if full, ok := c.machineSize(m.machineType); ok {
			missing -= placement.Beta(full, urgentTask) + 1
		}
	}
	return wire.Need{ // MergeNeed joins it with the need of such a task itself
		CPUs:  urgentTask.CPUs,
		GPUs:  urgentTask.GPUs,
		MemGB: urgentTask.MemGB,
		Tasks: missing,
		Tier:  tier,
	}, missing > 0
}

// unmetNeeds returns the needs of a shard's tasks that do not fit on any held machine, machines
// that are still booting included: Pogonip's overflow.
func (c *Core) unmetNeeds(shard int) []wire.Need {
	c.refreshIndexes()
	var out []wire.Need
	if need, short := c.spareNeed(shard); short {
		out = supply.MergeNeed(out, need, tuning.MaxDemandNeeds)
	}
	starved := false
	used := map[string]placement.Size{}
	var pool supply.Pool
	soon := c.startingSoon(shard)
	if c.jobQueue.Len() > 0 || soon != nil {
		pool = c.supplyPool(shard, soon)
	}
	c.jobQueue.Walk(func(team string) placement.Size {
		if c.shardOfTeam(team) != shard {
			return placement.Size{CPUs: -1}
		}
		return unlimitedCapacity(team)
	}, func(p *queue.Entry[*jobEntry]) bool {
		e, j := p.Handle, &p.Handle.record
		if e.run == nil || c.taskHealth.OnTrial(j.ID) || c.writeLimits.ShouldSkip(c.now, limits.KindStart, jobKey(j.ID)) {
			return true
		}
		size, team := jobSize(j), c.params.Teams[j.Team]
		zone := j.Zone
		if j.OneZone {
			for _, a := range e.run.active {
				zone = a.machine.zone
			}
		}
		if _, ok := used[j.Team]; !ok {
			used[j.Team] = c.capacity.Used(j.Team, shard)
		}
		want := placement.TasksUnderLimit(team.CPUsMax, team.GPUsMax, used[j.Team], size, c.requestedTasks(p))
		used[j.Team] = used[j.Team].Add(supply.Multiply(size, want))
		want = max(0, want-c.reservedSoon(shard, j))
		missing := want - pool.Take(supply.Request{
			Types:  j.Types,
			Zone:   zone,
			Spot:   j.Spot,
			Size:   size,
			Urgent: e.priority >= urgentRank,
			Idle:   e.priority <= idleRank,
		}, want)
		overdue := p.WithinGuarantee && e.priority >= urgentRank && c.now-e.run.waitingSince > tuning.StarvedAfter
		if missing == 0 && !overdue {
			return true
		}
		need := supply.NeedOf(j, zone, missing, e.rank)
		if overdue {
			// At best a machine is booting for it; a borrowed machine is available now.
			need.Starved, need.Booting, need.Tasks = true, missing == 0, max(missing, p.Job.Pending)
		}
		if p.WithinGuarantee && missing > 0 {
			starved = true
			if at, ok := c.starvedSince[shard]; ok && c.now-at > tuning.StarvedAfter {
				need.Starved = true
			}
		}
		out = supply.MergeNeed(out, need, tuning.MaxDemandNeeds)
		return true
	})
	for _, j := range soon { // after all jobs that could run now
		size, team := jobSize(j), c.params.Teams[j.Team]
		if _, ok := used[j.Team]; !ok {
			used[j.Team] = c.capacity.Used(j.Team, shard)
		}
		want := placement.TasksUnderLimit(team.CPUsMax, team.GPUsMax, used[j.Team], size, j.Tasks)
		used[j.Team] = used[j.Team].Add(supply.Multiply(size, want))
		if missing := want - pool.Take(supply.Request{Types: j.Types, Zone: j.Zone, Spot: j.Spot, Size: size}, want); missing > 0 {
			out = supply.MergeNeed(out, supply.NeedOf(j, j.Zone, missing, c.tierOrder.Rank(j)), tuning.MaxDemandNeeds)
		}
	}
	if _, was := c.starvedSince[shard]; !starved {
		delete(c.starvedSince, shard)
	} else if !was {
		c.starvedSince[shard] = c.now
	}
	return out
}

// requestedTasks returns for how many of a job's waiting tasks machines are requested. For work of
// idle priority, and for arrays with a deadline beyond their team's guarantee, these are only as
// many as are needed to finish in time.
func (c *Core) requestedTasks(p *queue.Entry[*jobEntry]) int {
	e, bounds, runtimeS := p.Handle, objectiveLimits, p.Job.EstimateS
	if e.priority > idleRank {
		if e.priority >= urgentRank || p.WithinGuarantee || p.Job.Service || e.record.DueS <= 0 {
			return p.Job.Pending
		}
		bounds.Headroom, runtimeS = tuning.DeadlineHeadroom, c.runTimes.Typical(e.record.Class, e.record.EstimateS).Seconds()
	}
	places := bounds.TargetParallelism(p.Job.Unfinished, runtimeS, p.Job.Due, float64(c.wall.UnixMilli())/1000)
	return max(0, min(p.Job.Pending, places-len(e.run.active)))
}

// demandPace bounds how often unmet demand is published and written.
var demandPace = demand.Pace{RepeatInterval: tuning.DemandRepeatInterval, WriteInterval: tuning.DemandWriteInterval, MaxAge: tuning.DemandTTL}

// publishDemand publishes the unmet demand of each held shard to the leader and the other holders.
func (c *Core) publishDemand() {
	if !c.authorized() || !c.dueEvery("want", tuning.DemandInterval) {
		return
	}
	var announcements []demand.Announcement
	for _, shard := range c.shardIDs() {
		if !c.holdsShard(shard) {
			continue
		}
		unmet := wire.Demand{Seen: c.latestBlockRevision(shard)}
		// While starts are stuck, nothing is rented for tasks that cannot start, and no machine is
		// given back for lack of tasks.
		if !c.writeLimits.StartsStuck(c.now) {
			unmet.Needs = c.unmetNeeds(shard)
			c.retireMachines(shard, len(unmet.Needs) > 0)
			if len(unmet.Needs) == 0 {
				c.consolidate(shard)
			}
		}
		unmet = limits.Fit(unmet, c.params.MaxValueBytes, demand.DropLastNeed)
		if c.demandPublishers[shard] == nil {
			c.demandPublishers[shard] = demand.NewPublisher(demandPace)
		}
		c.publishedDemand[shard] = unmet
		number, announce, writeRecord := c.demandPublishers[shard].Next(c.now, unmet, c.demands[shard], c.assignments.ReachableOrSelf(c.now, c.leaderRecord.Node))
		if announce {
			announcements = append(announcements, demand.Announcement{Shard: shard, Token: c.shards[shard].version, Number: number, Want: unmet})
		}
		if writeRecord {
			c.log(2, "requesting machines from the leader", "shard", shard, "needs", len(unmet.Needs))
			c.commit(LaneDeferred, []wire.Condition{c.shardUnchanged(shard)}, []wire.Change{{Put: demandKey(shard), Value: unmet}}, func(StateReply) { c.mirrorChanged() })
		}
	}
	if announcements != nil {
		for _, node := range sortedKeys(c.params.NodeZones) {
			if node != c.params.Node {
				c.sendToPeer(node, PeerMessage{Demand: announcements})
			}
		}
	}
}

// shardDemand returns the unmet demand of a shard, as far as it is known here.
func (c *Core) shardDemand(shard int) wire.Demand {
	entry := c.shards[shard]
	switch {
	case entry == nil:
		return wire.Demand{}
	case c.holdsShard(shard):
		return c.publishedDemand[shard]
	}
	return c.peerDemand.Current(c.now, shard, entry.version, c.demands[shard])
}
