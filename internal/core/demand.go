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

var jobSize, needSize, smallerSize = supply.JobSize, supply.NeedSize, placement.Lesser

// anyRoom walks over all waiting jobs, whatever they ask for.
func unlimitedCapacity(string) placement.Size {
	return placement.Size{CPUs: inf, GPUs: inf, MemGB: inf}
}

// supplies is the room of a shard that waiting tasks may find: on machines that come up or
// are not accounted for yet, and, if any of the waiting fits at all, on those that have
// some now.
func (c *Core) supplyPool(shard int, soon []*wire.Job) supply.Pool {
	var list []*machine
	rooms := map[*machine]supply.Room{}
	add := func(m *machine, free placement.Size, doubted bool) {
		list = append(list, m)
		rooms[m] = supply.Room{Type: m.machineType, Zone: m.zone, Spot: m.spot, Free: free, Doubted: doubted}
	}
	doubted := c.doubted(shard)
	for m := range c.comingMachines {
		if m.shard == shard {
			// What is on a machine not accounted for is not known: it may be empty,
			// so only what finds no room even then is asked for.
			full, _ := c.sizeOf(m.machineType)
			add(m, c.unheld(m, full), doubted[m.name])
		}
	}
	sort.Slice(list, func(i, j int) bool { return list[i].name < list[j].name })
	most := c.capacity.Most(shard)
	var least *placement.Size
	c.jobQueue.Walk(func(team string) placement.Size {
		if c.shardOf(team) != shard {
			return placement.Size{CPUs: -1}
		}
		return most
	}, func(p *queue.Place[*jobEntry]) bool {
		if s := p.Job.Ask; least == nil {
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
		c.capacity.Each(shard, *least, func(ledger.Kind) bool { return true }, func(m *machine, _ ledger.Kind, free placement.Size) { add(m, free, false) })
	}
	n := len(list)
	for m := range c.idleAttempts {
		if f, ok := c.capacity.Of(m); ok && f.Usable && m.shard == shard {
			if _, in := rooms[m]; !in {
				add(m, f.Free, false)
			}
			r := rooms[m]
			r.Idle = c.idleUsage(m)
			r.Free = r.Free.Add(r.Idle)
			rooms[m] = r
		}
	}
	sort.Slice(list[n:], func(i, j int) bool { return list[n+i].name < list[n+j].name })
	pool := make(supply.Pool, 0, len(list))
	for _, m := range list {
		pool = append(pool, rooms[m])
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
	left := c.spareTarget(shard)
	if left <= 0 {
		return wire.Need{}, false
	}
	left -= c.capacity.Spare(shard)
	u, rank := c.urgentReserve.Task(shard)
	doubted := c.doubted(shard)
	for m := range c.comingMachines {
		if m.shard != shard || m.spot || doubted[m.name] {
			continue
		}
		if m.reported {
			left -= c.roomFor(m, u)
		} else if full, ok := c.sizeOf(m.machineType); ok {
			left -= placement.Beta(full, u) + 1
		}
	}
	return wire.Need{CPUs: u.CPUs, GPUs: u.GPUs, MemGB: u.MemGB, Tasks: left, Rung: rank}, left > 0 // joins what such a task asks for itself
}

// needs lists the tasks of a shard that no held machine has room for, those
// still booting included: Pogonip's overflow.
func (c *Core) unmetNeeds(shard int) []wire.Need {
	c.refreshIndexes()
	var out []wire.Need
	if n, short := c.spareNeed(shard); short {
		out = supply.Join(out, n, tuning.NeedsMax)
	}
	starved := false
	used := map[string]placement.Size{}
	var in supply.Pool
	soon := c.soon(shard)
	if c.jobQueue.Len() > 0 || soon != nil {
		in = c.supplyPool(shard, soon)
	}
	c.jobQueue.Walk(func(team string) placement.Size {
		if c.shardOf(team) != shard {
			return placement.Size{CPUs: -1}
		}
		return unlimitedCapacity(team)
	}, func(p *queue.Place[*jobEntry]) bool {
		e, j := p.Handle, &p.Handle.rec
		if e.run == nil || c.taskHealth.Trial(j.ID) || c.form.Aside(c.now, limits.Start, jobKey(j.ID)) {
			return true
		}
		size, team := jobSize(j), c.p.Teams[j.Team]
		zone := j.Zone
		if j.OneZone {
			for _, a := range e.run.active {
				zone = a.machine.zone
			}
		}
		if _, ok := used[j.Team]; !ok {
			used[j.Team] = c.capacity.Used(j.Team, shard)
		}
		want := placement.Under(team.CPUsMax, team.GPUsMax, used[j.Team], size, c.requestedTasks(p))
		used[j.Team] = used[j.Team].Add(supply.Times(size, want))
		want = max(0, want-c.heldSoon(shard, j))
		left := want - in.Take(supply.Ask{Types: j.Types, Zone: zone, Spot: j.Spot, Size: size, Urgent: e.prio >= urgentRank, Idle: e.prio <= idleRank}, want)
		waits := p.Within && e.prio >= urgentRank && c.now-e.run.waitingSince > tuning.DireAfter
		if left == 0 && !waits {
			return true
		}
		n := supply.NeedOf(j, zone, left, e.rank)
		if waits {
			// A boot is on its way at best; a borrowed machine is there now.
			n.Dire, n.Booting, n.Tasks = true, left == 0, max(left, p.Job.Pending)
		}
		if p.Within && left > 0 {
			starved = true
			if at, ok := c.starvedSince[shard]; ok && c.now-at > tuning.DireAfter {
				n.Dire = true
			}
		}
		out = supply.Join(out, n, tuning.NeedsMax)
		return true
	})
	for _, j := range soon { // after all that could run now
		size, team := jobSize(j), c.p.Teams[j.Team]
		if _, ok := used[j.Team]; !ok {
			used[j.Team] = c.capacity.Used(j.Team, shard)
		}
		want := placement.Under(team.CPUsMax, team.GPUsMax, used[j.Team], size, j.Tasks)
		used[j.Team] = used[j.Team].Add(supply.Times(size, want))
		if left := want - in.Take(supply.Ask{Types: j.Types, Zone: j.Zone, Spot: j.Spot, Size: size}, want); left > 0 {
			out = supply.Join(out, supply.NeedOf(j, j.Zone, left, c.ladder.Rank(j)), tuning.NeedsMax)
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
func (c *Core) requestedTasks(p *queue.Place[*jobEntry]) int {
	e, pace, run := p.Handle, objectiveLimits, p.Job.Estimate
	if e.prio > idleRank {
		if e.prio >= urgentRank || p.Within || p.Job.Service || e.rec.DueS <= 0 {
			return p.Job.Pending
		}
		pace.Headroom, run = tuning.DueHeadroom, c.runs.Typical(e.rec.Class, e.rec.EstimateS).Seconds()
	}
	n := pace.Places(p.Job.Rest, run, p.Job.Due, float64(c.wall.UnixMilli())/1000)
	return max(0, min(p.Job.Pending, n-len(e.run.active)))
}

var demandPace = wants.Pace{Again: tuning.WantAgain, Write: tuning.WantWrite, Keep: tuning.WantKeep}

// tellWants tells what each held shard lacks, for the leader and the other holders.
func (c *Core) publishDemand() {
	if !c.confirmed() || !c.every("want", tuning.WantEvery) {
		return
	}
	var told []wants.Told
	for _, i := range c.shardIDs() {
		if !c.mine(i) {
			continue
		}
		w := wire.Want{Seen: c.newestBlock(i)}
		if !c.form.Stuck(c.now) { // nothing is rented for what can't start, nor given back for want of it
			w.Needs = c.unmetNeeds(i)
			c.retire(i, len(w.Needs) > 0)
			if len(w.Needs) == 0 {
				c.moveOff(i)
			}
		}
		w = limits.Fit(w, c.p.ValueBytes, wants.Shorter)
		if c.demandPublishers[i] == nil {
			c.demandPublishers[i] = wants.NewTeller(demandPace)
		}
		c.publishedDemand[i] = w
		n, tell, write := c.demandPublishers[i].Next(c.now, w, c.wants[i], c.words.Hears(c.now, c.chief.Node))
		if tell {
			told = append(told, wants.Told{Shard: i, Token: c.shards[i].ver, N: n, Want: w})
		}
		if write {
			c.log(2, "asking the leader for machines", "shard", i, "needs", len(w.Needs))
			c.commit(LaneLater, []wire.Condition{c.shardCond(i)}, []wire.Change{{Put: wantKey(i), Value: w}}, func(StateReply) { c.changed() })
		}
	}
	if told != nil {
		for _, n := range sortedKeys(c.p.Nodes) {
			if n != c.p.Node {
				c.tell(n, PeerMessage{Wants: told})
			}
		}
	}
}

// wantOf is what a shard lacks, as far as we know.
func (c *Core) shardDemand(i int) wire.Want {
	s := c.shards[i]
	switch {
	case s == nil:
		return wire.Want{}
	case c.mine(i):
		return c.publishedDemand[i]
	}
	return c.peerDemand.Of(c.now, i, s.ver, c.wants[i])
}
