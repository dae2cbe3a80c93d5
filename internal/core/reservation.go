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

var reservationLimits = hold.Limits{Share: tuning.HoldShare, Horizon: tuning.HoldHorizon, Better: tuning.HoldBetter}

// withoutReservation is what others than those it is held for see of a machine's room.
func (c *Core) withoutReservation(m *machine, free placement.Size) placement.Size {
	if b := c.places[m.shard]; b != nil {
		if h, is := b.Of(m); is {
			return free.Sub(h.Size)
		}
	}
	return free
}

func (c *Core) unreservedFree(m *machine) placement.Size { return c.withoutReservation(m, c.free(m)) }

// reservedSoon counts the places of a job that are free before a rented machine would be.
func (c *Core) reservedSoon(shard int, j *wire.Job) int {
	b := c.places[shard]
	if b == nil || b.Len() == 0 {
		return 0
	}
	_, boot := supply.Speeds(c.types, j.Types)
	return b.Within(j.ID, c.now+seconds(boot*tuning.BootHorizon))
}

// planReservations keeps places for jobs whose tasks fit nowhere (package hold).
func (c *Core) planReservations() {
	if !c.confirmed() || !c.every("holds", tuning.HoldEvery) {
		return
	}
	for _, i := range c.shardIDs() {
		if !c.mine(i) {
			continue
		}
		asks, least := c.unplaceableJobs(i)
		b := c.places[i]
		if b == nil {
			b = hold.New[*machine](reservationLimits)
			c.places[i] = b
		}
		if len(asks) == 0 && b.Len() == 0 {
			c.reserveTeamLimits(i, nil)
			continue
		}
		var machines []hold.Machine[*machine]
		for _, m := range c.heldMachines() {
			if m.shard == i {
				machines = c.appendReservable(m, machines, &least)
			}
		}
		wide := hold.Wide(asks, least, tuning.HoldTimes)
		c.reserveTeamLimits(i, wide)
		for _, m := range b.Plan(c.now, wide, machines) {
			if h, is := b.Of(m); is {
				c.noteMachine(trail.PlaceHeld, m, wire.TrailEvent{Why: "for " + h.Job + ", whose tasks fit nowhere"})
				c.log(2, "place held", "machine", m.name, "job", h.Job, "free_in", (h.At - c.now).String())
			}
			c.touch(m)
		}
	}
}

// unplaceableJobs lists the jobs of a shard that have waited for a while and find no machine, in
// the order of service, and the least that any job asks for.
func (c *Core) unplaceableJobs(shard int) (asks []hold.Ask[*machine], least placement.Size) {
	if c.order.Len() == 0 {
		return nil, least
	}
	most, used := c.room.Most(shard), map[string]placement.Size{}
	least = anyRoom("")
	accepted := c.wall.Add(-tuning.HoldAfter).UnixMilli()
	c.order.Walk(func(team string) placement.Size {
		if c.shardOf(team) != shard {
			return placement.Size{CPUs: -1}
		}
		return anyRoom(team)
	}, func(p *queue.Place[*jobEntry]) bool {
		e, size := p.Handle, p.Job.Ask
		least = lesser(least, size)
		if e.prio >= urgentRank || p.Late && !p.Overdue || p.Job.Accepted > accepted || len(asks) >= tuning.HoldJobs || e.rec.Shape == wire.ShapeGang || c.barred(e, shard) || c.health.Trial(e.rec.ID) {
			return true // urgent work makes room for itself
		}
		team := p.Job.Team
		if _, ok := used[team]; !ok {
			used[team] = c.room.Used(team, shard)
		}
		n := placement.Under(c.p.Teams[team].CPUsMax, c.p.Teams[team].GPUsMax, used[team], size, p.Job.Pending)
		used[team] = used[team].Add(placement.Size{CPUs: size.CPUs * float64(n), GPUs: size.GPUs * float64(n)})
		if n == 0 || !placement.Fits(most, size) {
			asks = append(asks, hold.Ask[*machine]{Job: e.rec.ID, Team: team, Size: size, Tasks: max(1, n), Full: n == 0, Allows: func(m *machine) bool { return allows(&e.rec, m) && !c.avoids(e, m) }})
		}
		return true
	})
	return asks, least
}

// reserveTeamLimits keeps parts of the limits of a shard's teams.
func (c *Core) reserveTeamLimits(shard int, asks []hold.Ask[*machine]) {
	for _, t := range c.shards[shard].rec.Teams {
		delete(c.kept, t)
	}
	maps.Copy(c.kept, hold.Kept(asks))
}

// effectiveLimit is a team's limit as a job of it finds it.
func (c *Core) effectiveLimit(e *jobEntry) Team {
	t := c.p.Teams[e.rec.Team]
	if h, is := c.kept[e.rec.Team]; is && h.Job != e.rec.ID && e.prio < urgentRank {
		t.CPUsMax, t.GPUsMax = t.CPUsMax-h.Size.CPUs, t.GPUsMax-h.Size.GPUs
	}
	return t
}

// appendReservable adds a machine that a place may be held on, with what is expected to leave it.
func (c *Core) appendReservable(m *machine, list []hold.Machine[*machine], least *placement.Size) []hold.Machine[*machine] {
	x := hold.Machine[*machine]{Handle: m, Name: m.name, Up: c.usable(m), Free: c.free(m)}
	if !x.Up {
		full, known := c.sizeOf(m.typ)
		if !known || m.reported || m.inherited || !c.coming[m] {
			return list
		}
		x.Free, x.Ready = full, m.since+seconds(c.types[m.typ].BootS*1.2)
	}
	for _, k := range sortedAttempts(m) {
		a := m.attempts[k]
		if a.status == wire.TaskEnded || !a.known {
			continue
		}
		*least = lesser(*least, a.size)
		if at, leaves := c.expectedEnd(a); leaves {
			x.Leaves = append(x.Leaves, hold.Leave{At: at, Size: a.size})
		}
	}
	return append(list, x)
}

// expectedEnd is when a task is expected to leave its machine; false: not foreseen.
func (c *Core) expectedEnd(a *attempt) (time.Duration, bool) {
	e := c.jobs[a.job]
	if e == nil || a.stop {
		return c.now + seconds(a.graceS), true
	}
	if e.rec.EstimateS <= 0 {
		return 0, false
	}
	runs := c.runs.Typical(e.rec.Class, e.rec.EstimateS)
	if a.status == wire.TaskRunning || a.status == wire.TaskSaving {
		return max(a.running+runs, c.now+runs/8), true // one that should be over ends some time
	}
	return max(a.created+c.fetchTime(e, a.m), c.now) + runs, true
}

// fetchTime is how long a machine fetches a job's image, alone.
func (c *Core) fetchTime(e *jobEntry, m *machine) time.Duration {
	if rate := c.types[m.typ].FetchGBps; rate > 0 && !m.images[e.rec.Image] {
		return seconds(e.rec.ImageGB / rate)
	}
	return 0
}

// placeReserved gives held places to those they are held for, after all others have been
// served. Urgent tasks that found nothing else take any of them; until its task fits a place
// is lent to tasks that surely end before.
func (c *Core) placeReserved() {
	for _, i := range sortedInts(c.places) {
		b := c.places[i]
		if b.Len() == 0 || !c.mine(i) {
			continue
		}
		c.update()
		c.placeUrgentOnReserved(i, b)
		for _, m := range b.Held() {
			h, _ := b.Of(m)
			p := c.order.Of(h.Job)
			if !c.usable(m) || p == nil || c.trials(p.Handle) == 0 || c.barred(p.Handle, i) {
				continue
			}
			if e := p.Handle; c.canPlace(e, m, i) {
				b.Drop(m)
				c.placeOn(e, m, true)
				c.log(2, "task placed on a held place", "job", h.Job, "machine", m.name)
			} else if h.At-c.now > tuning.HoldFill {
				c.backfill(m, i, h)
			}
		}
	}
}

// canPlace tells whether a job's next task may be placed on a machine now, holds apart.
func (c *Core) canPlace(e *jobEntry, m *machine, shard int) bool {
	size, j := jobSize(&e.rec), &e.rec
	f, ok := c.room.Of(m)
	n := float64(e.run.unseen() + 1)
	return ok && f.Usable && placement.Fits(c.free(m), size) && c.kinds(e, zonesOf(e))(f.Kind) && !c.avoids(e, m) &&
		!c.effectiveLimit(e).exceeds(c.room.Used(j.Team, shard).Add(placement.Size{CPUs: size.CPUs * n, GPUs: size.GPUs * n}))
}

// placeUrgentOnReserved has urgent tasks that wait take held places.
func (c *Core) placeUrgentOnReserved(shard int, b *hold.Book[*machine]) {
	c.order.Walk(func(team string) placement.Size {
		if c.shardOf(team) != shard {
			return placement.Size{CPUs: -1}
		}
		return anyRoom(team)
	}, func(p *queue.Place[*jobEntry]) bool {
		e := p.Handle
		if e.prio < urgentRank || b.Len() == 0 {
			return b.Len() > 0 && !c.ladder.Plain() // by priority the order begins with them
		}
		for _, m := range b.Held() {
			if c.trials(e) == 0 || e.rec.Shape == wire.ShapeGang || c.barred(e, shard) {
				break
			}
			if c.usable(m) && c.canPlace(e, m, shard) {
				b.Drop(m)
				c.placeOn(e, m, true)
			}
		}
		return true
	})
}

// backfill places tasks on a held machine that surely leave before it is needed.
func (c *Core) backfill(m *machine, shard int, h hold.Hold) {
	looked := 0
	c.order.Walk(func(team string) placement.Size {
		if c.shardOf(team) != shard {
			return placement.Size{CPUs: -1}
		}
		return c.free(m)
	}, func(p *queue.Place[*jobEntry]) bool {
		e := p.Handle
		if looked++; looked > tuning.HoldLook {
			return false
		}
		if e.rec.EstimateS <= 0 || !m.images[e.rec.Image] || e.rec.Shape != wire.ShapeBatch || c.barred(e, shard) ||
			c.now+c.runs.Surely(e.rec.Class, e.rec.EstimateS) > h.At {
			return true
		}
		for c.trials(e) > 0 && c.canPlace(e, m, shard) {
			c.placeOn(e, m, true)
		}
		return true
	})
}
