package core

import (
	"maps"
	"time"

	"github.com/barrowbridge/barrowbridge/internal/hold"
	"github.com/barrowbridge/barrowbridge/internal/placement"
	"github.com/barrowbridge/barrowbridge/internal/queue"
	"github.com/barrowbridge/barrowbridge/internal/supply"
	"github.com/barrowbridge/barrowbridge/internal/trail"
	"github.com/barrowbridge/barrowbridge/internal/tuning"
	"github.com/barrowbridge/barrowbridge/wire"
)

var holdLimits = hold.Limits{Share: tuning.HoldShare, Horizon: tuning.HoldHorizon, Better: tuning.HoldBetter}

// unheld is what others than those it is held for see of a machine's room.
func (c *Core) unheld(m *machine, free placement.Size) placement.Size {
	if b := c.reservations[m.shard]; b != nil {
		if h, is := b.Of(m); is {
			return free.Sub(h.Size)
		}
	}
	return free
}

func (c *Core) freeToAll(m *machine) placement.Size { return c.unheld(m, c.free(m)) }

// heldSoon counts the places of a job that are free before a rented machine would be.
func (c *Core) heldSoon(shard int, j *wire.Job) int {
	b := c.reservations[shard]
	if b == nil || b.Len() == 0 {
		return 0
	}
	_, boot := supply.Speeds(c.machineTypes, j.Types)
	return b.Within(j.ID, c.now+seconds(boot*tuning.BootHorizon))
}

// planHolds keeps places for jobs whose tasks fit nowhere (package hold).
func (c *Core) planHolds() {
	if !c.authorized() || !c.dueEvery("holds", tuning.HoldEvery) {
		return
	}
	for _, i := range c.shardIDs() {
		if !c.holdsShard(i) {
			continue
		}
		asks, least := c.fitNowhere(i)
		b := c.reservations[i]
		if b == nil {
			b = hold.New[*machine](holdLimits)
			c.reservations[i] = b
		}
		if len(asks) == 0 && b.Len() == 0 {
			c.keepLimits(i, nil)
			continue
		}
		var machines []hold.Machine[*machine]
		for _, m := range c.heldMachines() {
			if m.shard == i {
				machines = c.holdable(m, machines, &least)
			}
		}
		wide := hold.Wide(asks, least, tuning.HoldTimes)
		c.keepLimits(i, wide)
		for _, m := range b.Plan(c.now, wide, machines) {
			if h, is := b.Of(m); is {
				c.recordMachineEvent(trail.PlaceHeld, m, wire.TrailEvent{Why: "for " + h.Job + ", whose tasks fit nowhere"})
				c.log(2, "place held", "machine", m.name, "job", h.Job, "free_in", (h.At - c.now).String())
			}
			c.touch(m)
		}
	}
}

// fitNowhere lists the jobs of a shard that have waited for a while and find no machine, in
// the order of service, and the least that any job asks for.
func (c *Core) fitNowhere(shard int) (asks []hold.Ask[*machine], least placement.Size) {
	if c.order.Len() == 0 {
		return nil, least
	}
	most, used := c.room.Most(shard), map[string]placement.Size{}
	least = anyRoom("")
	accepted := c.wall.Add(-tuning.HoldAfter).UnixMilli()
	c.order.Walk(func(team string) placement.Size {
		if c.shardOfTeam(team) != shard {
			return placement.Size{CPUs: -1}
		}
		return anyRoom(team)
	}, func(p *queue.Place[*jobEntry]) bool {
		e, size := p.Handle, p.Job.Ask
		least = lesser(least, size)
		if e.priority >= urgentRank || p.Late && !p.Overdue || p.Job.Accepted > accepted || len(asks) >= tuning.HoldJobs || e.record.Shape == wire.ShapeGang || c.barred(e, shard) || c.health.Trial(e.record.ID) {
			return true // urgent work makes room for itself
		}
		team := p.Job.Team
		if _, ok := used[team]; !ok {
			used[team] = c.room.Used(team, shard)
		}
		n := placement.Under(c.params.Teams[team].CPUsMax, c.params.Teams[team].GPUsMax, used[team], size, p.Job.Pending)
		used[team] = used[team].Add(placement.Size{CPUs: size.CPUs * float64(n), GPUs: size.GPUs * float64(n)})
		if n == 0 || !placement.Fits(most, size) {
			asks = append(asks, hold.Ask[*machine]{Job: e.record.ID, Team: team, Size: size, Tasks: max(1, n), Full: n == 0, Allows: func(m *machine) bool { return allows(&e.record, m) && !c.avoids(e, m) }})
		}
		return true
	})
	return asks, least
}

// keepLimits keeps parts of the limits of a shard's teams.
func (c *Core) keepLimits(shard int, asks []hold.Ask[*machine]) {
	for _, t := range c.shards[shard].record.Teams {
		delete(c.limitReservations, t)
	}
	maps.Copy(c.limitReservations, hold.Kept(asks))
}

// limitOf is a team's limit as a job of it finds it.
func (c *Core) limitOf(e *jobEntry) Team {
	t := c.params.Teams[e.record.Team]
	if h, is := c.limitReservations[e.record.Team]; is && h.Job != e.record.ID && e.priority < urgentRank {
		t.CPUsMax, t.GPUsMax = t.CPUsMax-h.Size.CPUs, t.GPUsMax-h.Size.GPUs
	}
	return t
}

// holdable adds a machine that a place may be held on, with what is expected to leave it.
func (c *Core) holdable(m *machine, list []hold.Machine[*machine], least *placement.Size) []hold.Machine[*machine] {
	x := hold.Machine[*machine]{Handle: m, Name: m.name, Up: c.usable(m), Free: c.free(m)}
	if !x.Up {
		full, known := c.machineSize(m.typ)
		if !known || m.reported || m.inherited || !c.coming[m] {
			return list
		}
		x.Free, x.Ready = full, m.since+seconds(c.machineTypes[m.typ].BootS*1.2)
	}
	for _, k := range sortedAttempts(m) {
		a := m.attempts[k]
		if a.status == wire.TaskEnded || !a.known {
			continue
		}
		*least = lesser(*least, a.size)
		if at, leaves := c.leaves(a); leaves {
			x.Leaves = append(x.Leaves, hold.Leave{At: at, Size: a.size})
		}
	}
	return append(list, x)
}

// leaves is when a task is expected to leave its machine; false: not foreseen.
func (c *Core) leaves(a *attempt) (time.Duration, bool) {
	e := c.jobs[a.job]
	if e == nil || a.stop {
		return c.now + seconds(a.graceS), true
	}
	if e.record.EstimateS <= 0 {
		return 0, false
	}
	runs := c.runTimes.Typical(e.record.Class, e.record.EstimateS)
	if a.status == wire.TaskRunning || a.status == wire.TaskSaving {
		return max(a.running+runs, c.now+runs/8), true // one that should be over ends some time
	}
	return max(a.created+c.fetches(e, a.m), c.now) + runs, true
}

// fetches is how long a machine fetches a job's image, alone.
func (c *Core) fetches(e *jobEntry, m *machine) time.Duration {
	if rate := c.machineTypes[m.typ].FetchGBps; rate > 0 && !m.images[e.record.Image] {
		return seconds(e.record.ImageGB / rate)
	}
	return 0
}

// placeHeld gives held places to those they are held for, after all others have been
// served. Urgent tasks that found nothing else take any of them; until its task fits a place
// is lent to tasks that surely end before.
func (c *Core) placeHeld() {
	for _, i := range sortedInts(c.reservations) {
		b := c.reservations[i]
		if b.Len() == 0 || !c.holdsShard(i) {
			continue
		}
		c.update()
		c.urgentFirst(i, b)
		for _, m := range b.Held() {
			h, _ := b.Of(m)
			p := c.order.Of(h.Job)
			if !c.usable(m) || p == nil || c.trials(p.Handle) == 0 || c.barred(p.Handle, i) {
				continue
			}
			if e := p.Handle; c.takes(e, m, i) {
				b.Drop(m)
				c.placeOn(e, m, true)
				c.log(2, "task placed on a held place", "job", h.Job, "machine", m.name)
			} else if h.At-c.now > tuning.HoldFill {
				c.lend(m, i, h)
			}
		}
	}
}

// takes tells whether a job's next task may be placed on a machine now, holds apart.
func (c *Core) takes(e *jobEntry, m *machine, shard int) bool {
	size, j := jobSize(&e.record), &e.record
	f, ok := c.room.Of(m)
	n := float64(e.run.unseen() + 1)
	return ok && f.Usable && placement.Fits(c.free(m), size) && c.kinds(e, zonesOf(e))(f.Kind) && !c.avoids(e, m) &&
		!c.limitOf(e).exceeds(c.room.Used(j.Team, shard).Add(placement.Size{CPUs: size.CPUs * n, GPUs: size.GPUs * n}))
}

// urgentFirst has urgent tasks that wait take held places.
func (c *Core) urgentFirst(shard int, b *hold.Book[*machine]) {
	c.order.Walk(func(team string) placement.Size {
		if c.shardOfTeam(team) != shard {
			return placement.Size{CPUs: -1}
		}
		return anyRoom(team)
	}, func(p *queue.Place[*jobEntry]) bool {
		e := p.Handle
		if e.priority < urgentRank || b.Len() == 0 {
			return b.Len() > 0 && !c.tierOrder.Plain() // by priority the order begins with them
		}
		for _, m := range b.Held() {
			if c.trials(e) == 0 || e.record.Shape == wire.ShapeGang || c.barred(e, shard) {
				break
			}
			if c.usable(m) && c.takes(e, m, shard) {
				b.Drop(m)
				c.placeOn(e, m, true)
			}
		}
		return true
	})
}

// lend places tasks on a held machine that surely leave before it is needed.
func (c *Core) lend(m *machine, shard int, h hold.Hold) {
	looked := 0
	c.order.Walk(func(team string) placement.Size {
		if c.shardOfTeam(team) != shard {
			return placement.Size{CPUs: -1}
		}
		return c.free(m)
	}, func(p *queue.Place[*jobEntry]) bool {
		e := p.Handle
		if looked++; looked > tuning.HoldLook {
			return false
		}
		if e.record.EstimateS <= 0 || !m.images[e.record.Image] || e.record.Shape != wire.ShapeBatch || c.barred(e, shard) ||
			c.now+c.runTimes.Surely(e.record.Class, e.record.EstimateS) > h.At {
			return true
		}
		for c.trials(e) > 0 && c.takes(e, m, shard) {
			c.placeOn(e, m, true)
		}
		return true
	})
}
