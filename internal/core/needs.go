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

var jobSize, needSize, lesser = supply.JobSize, supply.NeedSize, placement.Lesser

// anyRoom walks over all waiting jobs, whatever they ask for.
func anyRoom(string) placement.Size { return placement.Size{CPUs: inf, GPUs: inf, MemGB: inf} }

// supplies is the room of a shard that waiting tasks may find: on machines that come up or
// are not accounted for yet, and, if any of the waiting fits at all, on those that have
// some now.
func (c *Core) supplies(shard int, soon []*wire.Job) supply.Pool {
	var list []*machine
	rooms := map[*machine]supply.Room{}
	add := func(m *machine, free placement.Size, doubted bool) {
		list = append(list, m)
		rooms[m] = supply.Room{Type: m.typ, Zone: m.zone, Spot: m.spot, Free: free, Doubted: doubted}
	}
	doubted := c.doubtedMachines(shard)
	for m := range c.coming {
		if m.shard == shard {
			// What is on a machine not accounted for is not known: it may be empty,
			// so only what finds no room even then is asked for.
			full, _ := c.sizeOf(m.typ)
			add(m, c.withoutReservation(m, full), doubted[m.name])
		}
	}
	sort.Slice(list, func(i, j int) bool { return list[i].name < list[j].name })
	most := c.room.Most(shard)
	var least *placement.Size
	c.order.Walk(func(team string) placement.Size {
		if c.shardOf(team) != shard {
			return placement.Size{CPUs: -1}
		}
		return most
	}, func(p *queue.Place[*jobEntry]) bool {
		if s := p.Job.Ask; least == nil {
			least = &s
		} else {
			*least = lesser(*least, s)
		}
		return true
	})
	for _, j := range soon {
		s := jobSize(j)
		if least != nil {
			s = lesser(*least, s)
		}
		least = &s
	}
	if least != nil {
		c.room.Each(shard, *least, func(ledger.Kind) bool { return true }, func(m *machine, _ ledger.Kind, free placement.Size) { add(m, free, false) })
	}
	n := len(list)
	for m := range c.idlers {
		if f, ok := c.room.Of(m); ok && f.Usable && m.shard == shard {
			if _, in := rooms[m]; !in {
				add(m, f.Free, false)
			}
			r := rooms[m]
			r.Idle = c.idleOn(m)
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
func (c *Core) idleOn(m *machine) (s placement.Size) {
	for _, a := range m.attempts {
		if a.idle && a.status != wire.TaskEnded {
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
	left -= c.room.Spare(shard)
	u, rank := c.reserve.Task(shard)
	doubted := c.doubtedMachines(shard)
	for m := range c.coming {
		if m.shard != shard || m.spot || doubted[m.name] {
			continue
		}
		if m.reported {
			left -= c.urgentCapacity(m, u)
		} else if full, ok := c.sizeOf(m.typ); ok {
			left -= placement.Beta(full, u) + 1
		}
	}
	return wire.Need{CPUs: u.CPUs, GPUs: u.GPUs, MemGB: u.MemGB, Tasks: left, Rung: rank}, left > 0 // joins what such a task asks for itself
}

// needs lists the tasks of a shard that no held machine has room for, those
// still booting included: Pogonip's overflow.
func (c *Core) needs(shard int) []wire.Need {
	c.update()
	var out []wire.Need
	if n, short := c.spareNeed(shard); short {
		out = supply.Join(out, n, tuning.NeedsMax)
	}
	starved := false
	used := map[string]placement.Size{}
	var in supply.Pool
	soon := c.startingSoon(shard)
	if c.order.Len() > 0 || soon != nil {
		in = c.supplies(shard, soon)
	}
	c.order.Walk(func(team string) placement.Size {
		if c.shardOf(team) != shard {
			return placement.Size{CPUs: -1}
		}
		return anyRoom(team)
	}, func(p *queue.Place[*jobEntry]) bool {
		e, j := p.Handle, &p.Handle.rec
		if e.run == nil || c.health.Trial(j.ID) || c.form.Aside(c.now, limits.Start, jobKey(j.ID)) {
			return true
		}
		size, team := jobSize(j), c.p.Teams[j.Team]
		zone := j.Zone
		if j.OneZone {
			for _, a := range e.run.active {
				zone = a.m.zone
			}
		}
		if _, ok := used[j.Team]; !ok {
			used[j.Team] = c.room.Used(j.Team, shard)
		}
		want := placement.Under(team.CPUsMax, team.GPUsMax, used[j.Team], size, c.deserves(p))
		used[j.Team] = used[j.Team].Add(supply.Times(size, want))
		want = max(0, want-c.reservedSoon(shard, j))
		left := want - in.Take(supply.Ask{Types: j.Types, Zone: zone, Spot: j.Spot, Size: size, Urgent: e.prio >= urgentRank, Idle: e.prio <= idleRank}, want)
		waits := p.Within && e.prio >= urgentRank && c.now-e.run.since > tuning.DireAfter
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
			if at, ok := c.dire[shard]; ok && c.now-at > tuning.DireAfter {
				n.Dire = true
			}
		}
		out = supply.Join(out, n, tuning.NeedsMax)
		return true
	})
	for _, j := range soon { // after all that could run now
		size, team := jobSize(j), c.p.Teams[j.Team]
		if _, ok := used[j.Team]; !ok {
			used[j.Team] = c.room.Used(j.Team, shard)
		}
		want := placement.Under(team.CPUsMax, team.GPUsMax, used[j.Team], size, j.Tasks)
		used[j.Team] = used[j.Team].Add(supply.Times(size, want))
		if left := want - in.Take(supply.Ask{Types: j.Types, Zone: j.Zone, Spot: j.Spot, Size: size}, want); left > 0 {
			out = supply.Join(out, supply.NeedOf(j, j.Zone, left, c.ladder.Rank(j)), tuning.NeedsMax)
		}
	}
	if _, was := c.dire[shard]; !starved {
		delete(c.dire, shard)
	} else if !was {
		c.dire[shard] = c.now
	}
	return out
}

// deserves is for how many of a job's waiting tasks machines are asked for. Of work that
// is run when there is nothing else to do, and of arrays with a deadline beyond a guarantee, it
// is as many as are needed in time.
func (c *Core) deserves(p *queue.Place[*jobEntry]) int {
	e, pace, run := p.Handle, aimLimits, p.Job.Estimate
	if e.prio > idleRank {
		if e.prio >= urgentRank || p.Within || p.Job.Service || e.rec.DueS <= 0 {
			return p.Job.Pending
		}
		pace.Headroom, run = tuning.DueHeadroom, c.runs.Typical(e.rec.Class, e.rec.EstimateS).Seconds()
	}
	n := pace.Places(p.Job.Rest, run, p.Job.Due, float64(c.wall.UnixMilli())/1000)
	return max(0, min(p.Job.Pending, n-len(e.run.active)))
}

var wantPace = wants.Pace{Again: tuning.WantAgain, Write: tuning.WantWrite, Keep: tuning.WantKeep}

// tellWants tells what each held shard lacks, for the leader and the other holders.
func (c *Core) tellWants() {
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
			w.Needs = c.needs(i)
			c.retireMachines(i, len(w.Needs) > 0)
			if len(w.Needs) == 0 {
				c.consolidate(i)
			}
		}
		w = limits.Fit(w, c.p.ValueBytes, wants.Shorter)
		if c.tellers[i] == nil {
			c.tellers[i] = wants.NewTeller(wantPace)
		}
		c.wantSent[i] = w
		n, tell, write := c.tellers[i].Next(c.now, w, c.wants[i], c.words.Hears(c.now, c.chief.Node))
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
func (c *Core) wantOf(i int) wire.Want {
	s := c.shards[i]
	switch {
	case s == nil:
		return wire.Want{}
	case c.mine(i):
		return c.wantSent[i]
	}
	return c.lacks.Of(c.now, i, s.ver, c.wants[i])
}
