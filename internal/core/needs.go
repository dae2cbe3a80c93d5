package core

import (
	"math"
	"sort"

	"github.com/barrowbridge/barrowbridge/internal/ledger"
	"github.com/barrowbridge/barrowbridge/internal/placement"
	"github.com/barrowbridge/barrowbridge/internal/queue"
	"github.com/barrowbridge/barrowbridge/internal/tuning"
	"github.com/barrowbridge/barrowbridge/internal/wants"
	"github.com/barrowbridge/barrowbridge/wire"
)

// anyRoom walks over all waiting jobs, whatever they ask for.
func anyRoom(string) placement.Size { return placement.Size{CPUs: inf, GPUs: inf, MemGB: inf} }

// supply is a machine with room to come, or with room that a pass has not used.
type supply struct {
	m    *machine
	free placement.Size
	idle placement.Size // of that, taken by work that gives way to all other
	// doubted: it boots and is late. Urgent work has another rented in its place; for work
	// that can wait that cost more than it brought (docs/rounds.md).
	doubted bool
}

// supplies lists the machines of a shard that may take waiting tasks: those that come
// up or are not accounted for yet, and, if any of the waiting fits at all, those that
// have room now.
func (c *Core) supplies(shard int) []supply {
	var list []supply
	doubted := c.doubted(shard)
	for m := range c.coming {
		if m.shard == shard {
			// What is on a machine not accounted for is not known: it may be empty,
			// so only what finds no room even then is asked for.
			full, _ := c.sizeOf(m.typ)
			list = append(list, supply{m: m, free: full, doubted: doubted[m.name]})
		}
	}
	sort.Slice(list, func(i, j int) bool { return list[i].m.name < list[j].m.name })
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
			*least = placement.Size{CPUs: min(least.CPUs, s.CPUs), GPUs: min(least.GPUs, s.GPUs), MemGB: min(least.MemGB, s.MemGB)}
		}
		return true
	})
	if least != nil {
		c.room.Each(shard, *least, func(ledger.Kind) bool { return true }, func(m *machine, _ ledger.Kind, free placement.Size) {
			if c.idlers[m] == 0 {
				list = append(list, supply{m: m, free: free})
			}
		})
	}
	n := len(list)
	for m := range c.idlers {
		if f, ok := c.room.Of(m); ok && f.Usable && m.shard == shard {
			list = append(list, supply{m: m, free: f.Free}.withIdle())
		}
	}
	sort.Slice(list[n:], func(i, j int) bool { return list[n+i].m.name < list[n+j].m.name })
	return list
}

// withIdle counts what work on a machine that gives way to all other takes as room too.
func (s supply) withIdle() supply {
	for _, a := range s.m.attempts {
		if a.idle && a.status != wire.TaskEnded {
			s.idle = s.idle.Add(a.size)
		}
	}
	s.free = s.free.Add(s.idle)
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
	u := c.urgent[shard].size
	doubted := c.doubted(shard)
	for m := range c.coming {
		if m.shard != shard || m.spot || doubted[m.name] {
			continue
		}
		if m.reported {
			left -= c.roomFor(m, u)
		} else if full, ok := c.sizeOf(m.typ); ok {
			left -= placement.Beta(full, u) + 1
		}
	}
	return wire.Need{CPUs: u.CPUs, GPUs: u.GPUs, MemGB: u.MemGB, Tasks: left}, left > 0
}

// underLimit is how many more tasks of a size a team may start before its limit.
func (t Team) underLimit(used, size placement.Size, most int) int {
	n := float64(most)
	if size.CPUs > 0 {
		n = min(n, math.Floor((t.CPUsMax-used.CPUs)/size.CPUs+1e-6))
	}
	if size.GPUs > 0 {
		n = min(n, math.Floor((t.GPUsMax-used.GPUs)/size.GPUs+1e-6))
	}
	return max(0, int(n))
}

// needs lists the tasks of a shard that no held machine has room for, those
// still booting included: Pogonip's overflow.
func (c *Core) needs(shard int) []wire.Need {
	c.update()
	var out []wire.Need
	if n, short := c.spareNeed(shard); short {
		out = addNeed(out, n)
	}
	starved := false
	used := map[string]placement.Size{}
	var in []supply
	if c.order.Len() > 0 {
		in = c.supplies(shard)
	}
	c.order.Walk(func(team string) placement.Size {
		if c.shardOf(team) != shard {
			return placement.Size{CPUs: -1}
		}
		return anyRoom(team)
	}, func(p *queue.Place[*jobEntry]) bool {
		e, j := p.Handle, &p.Handle.rec
		if e.run == nil || c.health.Trial(j.ID) {
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
		want := team.underLimit(used[j.Team], size, c.deserves(p))
		used[j.Team] = used[j.Team].Add(placement.Size{CPUs: float64(want) * size.CPUs, GPUs: float64(want) * size.GPUs, MemGB: float64(want) * size.MemGB})
		left := want
		for k := range in {
			if left == 0 {
				break
			}
			x := &in[k]
			free := x.free
			if x.doubted && e.prio >= urgentRank {
				continue
			}
			if e.prio <= idleRank {
				free = free.Sub(x.idle)
			}
			if n := min(left, placement.Beta(free, size)+1); n > 0 && allows(j, x.m) && (zone == "" || x.m.zone == zone) {
				left -= n
				x.free = x.free.Sub(placement.Size{CPUs: float64(n) * size.CPUs, GPUs: float64(n) * size.GPUs, MemGB: float64(n) * size.MemGB})
			}
		}
		waits := p.Within && e.prio >= urgentRank && c.now-e.run.since > tuning.DireAfter
		if left == 0 && !waits {
			return true
		}
		n := wire.Need{Types: j.Types, Zone: zone, Spot: j.Spot, CPUs: size.CPUs, GPUs: size.GPUs, MemGB: size.MemGB, Tasks: left}
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
		out = addNeed(out, n)
		return true
	})
	if _, was := c.dire[shard]; !starved {
		delete(c.dire, shard)
	} else if !was {
		c.dire[shard] = c.now
	}
	return out
}

// deserves is for how many of a job's waiting tasks machines are asked for. Of work that
// is run when there is nothing else to do it is as many as are needed in time.
func (c *Core) deserves(p *queue.Place[*jobEntry]) int {
	if p.Handle.prio > idleRank {
		return p.Job.Pending
	}
	n := aimLimits.Places(p.Job.Rest, p.Job.Estimate, p.Job.Due, float64(c.wall.UnixMilli())/1000)
	return max(0, min(p.Job.Pending, n-len(p.Handle.run.active)))
}

// addNeed joins needs of the same kind. Many jobs of one task each used to be as
// many needs, and got a machine each, one after the other, where one rental or
// a few of another shard's blocks would have held them all.
func addNeed(out []wire.Need, n wire.Need) []wire.Need {
	for i := range out {
		if wants.SameKind(out[i], n) {
			out[i].Tasks += n.Tasks
			return out
		}
	}
	if len(out) < tuning.NeedsMax {
		out = append(out, n)
	}
	return out
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
		w := wire.Want{Needs: c.needs(i), Seen: c.newestBlock(i)}
		c.retire(i, len(w.Needs) > 0)
		if len(w.Needs) == 0 {
			c.moveOff(i)
		}
		if c.tellers[i] == nil {
			c.tellers[i] = wants.NewTeller(wantPace)
		}
		c.wantSent[i] = w
		n, tell, write := c.tellers[i].Next(c.now, w, c.wants[i], c.hears(c.chief.Node))
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

// hears tells whether messages between us and a controller get through.
func (c *Core) hears(node string) bool {
	at, ok := c.heard[node]
	return node == c.p.Node || ok && c.now-at < 3*tuning.PeerEvery
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
