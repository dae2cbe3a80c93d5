package core

import (
	"sort"

	"github.com/barrowbridge/barrowbridge/internal/ledger"
	"github.com/barrowbridge/barrowbridge/internal/limits"
	"github.com/barrowbridge/barrowbridge/internal/placement"
	"github.com/barrowbridge/barrowbridge/internal/queue"
	"github.com/barrowbridge/barrowbridge/internal/supply"
	"github.com/barrowbridge/barrowbridge/internal/tuning"
	"github.com/barrowbridge/barrowbridge/internal/wants"
	"github.com/barrowbridge/barrowbridge/wire"
)

var jobSize, needSize, smallerSize = supply.JobSize, supply.NeedSize, placement.Min

// anyRoom walks over all waiting jobs, whatever they ask for.
func unlimitedCapacity(string) placement.Size {
	return placement.Size{CPUs: inf, GPUs: inf, MemGB: inf}
}

// supplies is the room of a shard that waiting tasks may find: on machines that come up or
// are not accounted for yet, and, if any of the waiting fits at all, on those that have
// some now.
func (c *Core) supplyPool(shard int, soon []*wire.Job) supply.Pool {
	var machines []*machine
	roomOf := map[*machine]supply.Capacity{}
	add := func(m *machine, free placement.Size, doubted bool) {
		machines = append(machines, m)
		roomOf[m] = supply.Capacity{Type: m.machineType, Zone: m.zone, Spot: m.spot, Free: free, BootLate: doubted}
	}
	doubted := c.doubtedMachines(shard)
	for m := range c.comingMachines {
		if m.shard == shard {
			// What is on a machine not accounted for is not known: it may be empty,
			// so only what finds no room even then is asked for.
			full, _ := c.machineSize(m.machineType)
			add(m, c.withoutReservation(m, full), doubted[m.name])
		}
	}
	sort.Slice(machines, func(i, j int) bool { return machines[i].name < machines[j].name })
	most := c.capacity.MaxFree(shard)
	var least *placement.Size
	c.jobQueue.Walk(func(team string) placement.Size {
		if c.shardOfTeam(team) != shard {
			return placement.Size{CPUs: -1}
		}
		return most
	}, func(p *queue.Entry[*jobEntry]) bool {
		if s := p.Job.TaskSize; least == nil {
			least = &s
		} else {
			*least = smallerSize(*least, s)
		}
		return true
	})
	for _, j := range soon {
		s := jobSize(j)
		if least != nil {
			s = smallerSize(*least, s)
		}
		least = &s
	}
	if least != nil {
		c.capacity.EachFitting(shard, *least, func(ledger.Kind) bool { return true }, func(m *machine, _ ledger.Kind, free placement.Size) { add(m, free, false) })
	}
	sorted := len(machines)
	for m := range c.idleAttempts {
		if f, ok := c.capacity.Get(m); ok && f.Usable && m.shard == shard {
			if _, in := roomOf[m]; !in {
				add(m, f.Free, false)
			}
			r := roomOf[m]
			r.IdleUse = c.idleUsage(m)
			r.Free = r.Free.Add(r.IdleUse)
			roomOf[m] = r
		}
	}
	sort.Slice(machines[sorted:], func(i, j int) bool { return machines[sorted+i].name < machines[sorted+j].name })
	pool := make(supply.Pool, 0, len(machines))
	for _, m := range machines {
		pool = append(pool, roomOf[m])
	}
	return pool
}

// idleOn is what work on a machine that gives way to all other takes.
func (c *Core) idleUsage(m *machine) (s placement.Size) {
	for _, a := range m.attempts {
		if a.idlePriority && a.status != wire.TaskEnded {
			s = s.Add(a.size)
		}
	}
	return s
}

// spareNeed is the room for the next urgent tasks that a shard lacks, so that they do
// not wait for a boot.
func (c *Core) spareNeed(shard int) (wire.Need, bool) {
	missing := c.spareTarget(shard)
	if missing <= 0 {
		return wire.Need{}, false
	}
	missing -= c.capacity.UrgentSlots(shard)
	urgentTask, rank := c.urgentReserve.TaskSize(shard)
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
	return wire.Need{CPUs: urgentTask.CPUs, GPUs: urgentTask.GPUs, MemGB: urgentTask.MemGB, Tasks: missing, Rung: rank}, missing > 0 // joins what such a task asks for itself
}

// needs lists the tasks of a shard that no held machine has room for, those
// still booting included: Pogonip's overflow.
func (c *Core) unmetNeeds(shard int) []wire.Need {
	c.refreshIndexes()
	var out []wire.Need
	if need, short := c.spareNeed(shard); short {
		out = supply.MergeNeed(out, need, tuning.NeedsMax)
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
		if e.run == nil || c.taskHealth.Trial(j.ID) || c.writeLimits.Aside(c.now, limits.Start, jobKey(j.ID)) {
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
		missing := want - pool.Take(supply.Request{Types: j.Types, Zone: zone, Spot: j.Spot, Size: size, Urgent: e.priority >= urgentRank, Idle: e.priority <= idleRank}, want)
		overdue := p.WithinGuarantee && e.priority >= urgentRank && c.now-e.run.waitingSince > tuning.DireAfter
		if missing == 0 && !overdue {
			return true
		}
		need := supply.NeedOf(j, zone, missing, e.rank)
		if overdue {
			// A boot is on its way at best; a borrowed machine is there now.
			need.Dire, need.Booting, need.Tasks = true, missing == 0, max(missing, p.Job.Pending)
		}
		if p.WithinGuarantee && missing > 0 {
			starved = true
			if at, ok := c.starvedSince[shard]; ok && c.now-at > tuning.DireAfter {
				need.Dire = true
			}
		}
		out = supply.MergeNeed(out, need, tuning.NeedsMax)
		return true
	})
	for _, j := range soon { // after all that could run now
		size, team := jobSize(j), c.params.Teams[j.Team]
		if _, ok := used[j.Team]; !ok {
			used[j.Team] = c.capacity.Used(j.Team, shard)
		}
		want := placement.TasksUnderLimit(team.CPUsMax, team.GPUsMax, used[j.Team], size, j.Tasks)
		used[j.Team] = used[j.Team].Add(supply.Multiply(size, want))
		if missing := want - pool.Take(supply.Request{Types: j.Types, Zone: j.Zone, Spot: j.Spot, Size: size}, want); missing > 0 {
			out = supply.MergeNeed(out, supply.NeedOf(j, j.Zone, missing, c.tierOrder.Rank(j)), tuning.NeedsMax)
		}
	}
	if _, was := c.starvedSince[shard]; !starved {
		delete(c.starvedSince, shard)
	} else if !was {
		c.starvedSince[shard] = c.now
	}
	return out
}

// deserves is for how many of a job's waiting tasks machines are asked for. Of work that
// is run when there is nothing else to do, and of arrays with a deadline beyond a guarantee, it
// is as many as are needed in time.
func (c *Core) requestedTasks(p *queue.Entry[*jobEntry]) int {
	e, pace, run := p.Handle, objectiveLimits, p.Job.EstimateS
	if e.priority > idleRank {
		if e.priority >= urgentRank || p.WithinGuarantee || p.Job.Service || e.record.DueS <= 0 {
			return p.Job.Pending
		}
		pace.Headroom, run = tuning.DueHeadroom, c.runTimes.Typical(e.record.Class, e.record.EstimateS).Seconds()
	}
	places := pace.TargetParallelism(p.Job.Unfinished, run, p.Job.Due, float64(c.wall.UnixMilli())/1000)
	return max(0, min(p.Job.Pending, places-len(e.run.active)))
}

var demandPace = wants.Pace{Again: tuning.WantAgain, Write: tuning.WantWrite, Keep: tuning.WantKeep}

// tellWants tells what each held shard lacks, for the leader and the other holders.
func (c *Core) publishDemand() {
	if !c.authorized() || !c.dueEvery("want", tuning.WantEvery) {
		return
	}
	var announcements []wants.Told
	for _, shard := range c.shardIDs() {
		if !c.holdsShard(shard) {
			continue
		}
		unmet := wire.Want{Seen: c.latestBlockRevision(shard)}
		if !c.writeLimits.Stuck(c.now) { // nothing is rented for what can't start, nor given back for want of it
			unmet.Needs = c.unmetNeeds(shard)
			c.retireMachines(shard, len(unmet.Needs) > 0)
			if len(unmet.Needs) == 0 {
				c.consolidate(shard)
			}
		}
		unmet = limits.Fit(unmet, c.params.MaxValueBytes, wants.Shorter)
		if c.demandPublishers[shard] == nil {
			c.demandPublishers[shard] = wants.NewTeller(demandPace)
		}
		c.publishedDemand[shard] = unmet
		number, announce, write := c.demandPublishers[shard].Next(c.now, unmet, c.demands[shard], c.assignments.ReachableOrSelf(c.now, c.leaderRecord.Node))
		if announce {
			announcements = append(announcements, wants.Told{Shard: shard, Token: c.shards[shard].version, N: number, Want: unmet})
		}
		if write {
			c.log(2, "asking the leader for machines", "shard", shard, "needs", len(unmet.Needs))
			c.commit(LaneLater, []wire.Condition{c.shardUnchanged(shard)}, []wire.Change{{Put: demandKey(shard), Value: unmet}}, func(StateReply) { c.mirrorChanged() })
		}
	}
	if announcements != nil {
		for _, number := range sortedKeys(c.params.NodeZones) {
			if number != c.params.Node {
				c.sendToPeer(number, PeerMessage{Wants: announcements})
			}
		}
	}
}

// wantOf is what a shard lacks, as far as we know.
func (c *Core) shardDemand(shard int) wire.Want {
	entry := c.shards[shard]
	switch {
	case entry == nil:
		return wire.Want{}
	case c.holdsShard(shard):
		return c.publishedDemand[shard]
	}
	return c.peerDemand.Of(c.now, shard, entry.version, c.demands[shard])
}
