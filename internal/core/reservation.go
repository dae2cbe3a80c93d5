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

var reservationLimits = hold.Limits{
	Share:   tuning.HoldShare,
	Horizon: tuning.HoldHorizon,
	Better:  tuning.HoldBetter,
}

// withoutReservation returns what is left of a machine's free capacity for jobs other than the one that
// has a reservation on it.
func (c *Core) withoutReservation(m *machine, free placement.Size) placement.Size {
	if table := c.places[m.shard]; table != nil {
		if held, ok := table.Of(m); ok {
			return free.Sub(held.Size)
		}
	}
	return free
}

// unreservedFree returns the free capacity of a machine that is not reserved.
func (c *Core) unreservedFree(m *machine) placement.Size { return c.withoutReservation(m, c.free(m)) }

// reservedSoon returns the number of a job's reservations that become free before a machine rented now
// would be up.
func (c *Core) reservedSoon(shard int, j *wire.Job) int {
	table := c.places[shard]
	if table == nil || table.Len() == 0 {
		return 0
	}
	_, boot := supply.Speeds(c.types, j.Types)
	return table.Within(j.ID, c.now+seconds(boot*tuning.BootHorizon))
}

// planReservations reserves capacity on the held shards for jobs whose tasks fit on no machine (package
// hold).
func (c *Core) planReservations() {
	if !c.confirmed() || !c.every("holds", tuning.HoldEvery) {
		return
	}
	for _, shard := range c.shardIDs() {
		if !c.mine(shard) {
			continue
		}
		requests, least := c.unplaceableJobs(shard)
		table := c.places[shard]
		if table == nil {
			table = hold.New[*machine](reservationLimits)
			c.places[shard] = table
		}
		if len(requests) == 0 && table.Len() == 0 {
			c.reserveTeamLimits(shard, nil)
			continue
		}
		var machines []hold.Machine[*machine]
		for _, m := range c.heldMachines() {
			if m.shard == shard {
				machines = c.appendReservable(m, machines, &least)
			}
		}
		wide := hold.Wide(requests, least, tuning.HoldTimes)
		c.reserveTeamLimits(shard, wide)
		for _, m := range table.Plan(c.now, wide, machines) {
			if held, ok := table.Of(m); ok {
				c.noteMachine(trail.PlaceHeld, m, wire.TrailEvent{Why: "for " + held.Job + ", whose tasks fit nowhere"})
				c.log(2, "capacity reserved", "machine", m.name, "job", held.Job, "free_in", (held.At - c.now).String())
			}
			c.touch(m)
		}
	}
}

// unplaceableJobs lists the jobs of a shard that have waited for a while and fit on no machine, in the
// order of service. least is the least that any waiting job requests of each resource.
func (c *Core) unplaceableJobs(shard int) (requests []hold.Ask[*machine], least placement.Size) {
	if c.order.Len() == 0 {
		return nil, least
	}
	largestFree, used := c.room.Most(shard), map[string]placement.Size{}
	least = anyRoom("")
	acceptedBefore := c.wall.Add(-tuning.HoldAfter).UnixMilli()
	c.order.Walk(func(team string) placement.Size {
		if c.shardOf(team) != shard {
			return placement.Size{CPUs: -1}
		}
		return anyRoom(team)
	}, func(p *queue.Place[*jobEntry]) bool {
		e, size := p.Handle, p.Job.Ask
		least = lesser(least, size)
		if e.prio >= urgentRank || p.Late && !p.Overdue || p.Job.Accepted > acceptedBefore || len(requests) >= tuning.HoldJobs || e.rec.Shape == wire.ShapeGang || c.barred(e, shard) || c.health.Trial(e.rec.ID) {
			return true // urgent work preempts other work instead
		}
		team := p.Job.Team
		if _, ok := used[team]; !ok {
			used[team] = c.room.Used(team, shard)
		}
		startable := placement.Under(c.p.Teams[team].CPUsMax, c.p.Teams[team].GPUsMax, used[team], size, p.Job.Pending)
		used[team] = used[team].Add(placement.Size{CPUs: size.CPUs * float64(startable), GPUs: size.GPUs * float64(startable)})
		if startable == 0 || !placement.Fits(largestFree, size) {
			requests = append(requests, hold.Ask[*machine]{
				Job:    e.rec.ID,
				Team:   team,
				Size:   size,
				Tasks:  max(1, startable),
				Full:   startable == 0,
				Allows: func(m *machine) bool { return allows(&e.rec, m) && !c.avoids(e, m) },
			})
		}
		return true
	})
	return requests, least
}

// reserveTeamLimits reserves parts of the limits of a shard's teams for jobs that do not fit into the rest.
func (c *Core) reserveTeamLimits(shard int, requests []hold.Ask[*machine]) {
	for _, team := range c.shards[shard].rec.Teams {
		delete(c.kept, team)
	}
	maps.Copy(c.kept, hold.Kept(requests))
}

// effectiveLimit returns a job's team with its limit, less what is reserved of the limit for another job
// of the team. Urgent jobs are not bound by such a reservation.
func (c *Core) effectiveLimit(e *jobEntry) Team {
	team := c.p.Teams[e.rec.Team]
	if held, ok := c.kept[e.rec.Team]; ok && held.Job != e.rec.ID && e.prio < urgentRank {
		team.CPUsMax, team.GPUsMax = team.CPUsMax-held.Size.CPUs, team.GPUsMax-held.Size.GPUs
	}
	return team
}

// appendReservable appends a machine that may take a reservation, with the tasks that are expected to end
// on it. It lowers least to what the machine's tasks use, if that is less.
func (c *Core) appendReservable(m *machine, list []hold.Machine[*machine], least *placement.Size) []hold.Machine[*machine] {
	candidate := hold.Machine[*machine]{Handle: m, Name: m.name, Up: c.usable(m), Free: c.free(m)}
	if !candidate.Up {
		size, known := c.sizeOf(m.typ)
		if !known || m.reported || m.inherited || !c.coming[m] {
			return list
		}
		candidate.Free, candidate.Ready = size, m.since+seconds(c.types[m.typ].BootS*1.2)
	}
	for _, k := range sortedAttempts(m) {
		a := m.attempts[k]
		if a.status == wire.TaskEnded || !a.known {
			continue
		}
		*least = lesser(*least, a.size)
		if end, predictable := c.expectedEnd(a); predictable {
			candidate.Leaves = append(candidate.Leaves, hold.Leave{At: end, Size: a.size})
		}
	}
	return append(list, candidate)
}

// expectedEnd returns when a task is expected to leave its machine, or false if that cannot be predicted.
func (c *Core) expectedEnd(a *attempt) (time.Duration, bool) {
	e := c.jobs[a.job]
	if e == nil || a.stop {
		return c.now + seconds(a.graceS), true
	}
	if e.rec.EstimateS <= 0 {
		return 0, false
	}
	runTime := c.runs.Typical(e.rec.Class, e.rec.EstimateS)
	if a.status == wire.TaskRunning || a.status == wire.TaskSaving {
		return max(a.running+runTime, c.now+runTime/8), true // an overdue task is expected to end a little later
	}
	return max(a.created+c.fetchTime(e, a.m), c.now) + runTime, true
}

// fetchTime returns how long a machine takes to fetch a job's image if it fetches nothing else.
func (c *Core) fetchTime(e *jobEntry, m *machine) time.Duration {
	if rate := c.types[m.typ].FetchGBps; rate > 0 && !m.images[e.rec.Image] {
		return seconds(e.rec.ImageGB / rate)
	}
	return 0
}

// placeReserved places tasks on the reservations of their jobs, after all other jobs have been served.
// Urgent tasks that found no other machine take any reservation. Until the task of its job fits, reserved
// capacity is backfilled with tasks that certainly end before.
func (c *Core) placeReserved() {
	for _, shard := range sortedInts(c.places) {
		table := c.places[shard]
		if table.Len() == 0 || !c.mine(shard) {
			continue
		}
		c.update()
		c.placeUrgentOnReserved(shard, table)
		for _, m := range table.Held() {
			held, _ := table.Of(m)
			p := c.order.Of(held.Job)
			if !c.usable(m) || p == nil || c.trials(p.Handle) == 0 || c.barred(p.Handle, shard) {
				continue
			}
			if e := p.Handle; c.canPlace(e, m, shard) {
				table.Drop(m)
				c.placeOn(e, m, true)
				c.log(2, "task placed on its reservation", "job", held.Job, "machine", m.name)
			} else if held.At-c.now > tuning.HoldFill {
				c.backfill(m, shard, held)
			}
		}
	}
}

// canPlace reports whether a job's next task may be placed on a machine now, regardless of reservations.
func (c *Core) canPlace(e *jobEntry, m *machine, shard int) bool {
	size, job := jobSize(&e.rec), &e.rec
	facts, ok := c.room.Of(m)
	unseenAndNext := float64(e.run.unseen() + 1)
	return ok && facts.Usable && placement.Fits(c.free(m), size) && c.kinds(e, zonesOf(e))(facts.Kind) && !c.avoids(e, m) &&
		!c.effectiveLimit(e).exceeds(c.room.Used(job.Team, shard).Add(placement.Size{CPUs: size.CPUs * unseenAndNext, GPUs: size.GPUs * unseenAndNext}))
}

// placeUrgentOnReserved places waiting urgent tasks on reserved machines, whatever job they are reserved for.
func (c *Core) placeUrgentOnReserved(shard int, table *hold.Book[*machine]) {
	c.order.Walk(func(team string) placement.Size {
		if c.shardOf(team) != shard {
			return placement.Size{CPUs: -1}
		}
		return anyRoom(team)
	}, func(p *queue.Place[*jobEntry]) bool {
		e := p.Handle
		if e.prio < urgentRank || table.Len() == 0 {
			return table.Len() > 0 && !c.ladder.Plain() // in plain priority order no later job is urgent
		}
		for _, m := range table.Held() {
			if c.trials(e) == 0 || e.rec.Shape == wire.ShapeGang || c.barred(e, shard) {
				break
			}
			if c.usable(m) && c.canPlace(e, m, shard) {
				table.Drop(m)
				c.placeOn(e, m, true)
			}
		}
		return true
	})
}

// backfill places tasks on a reserved machine that certainly end before the reservation is needed.
func (c *Core) backfill(m *machine, shard int, held hold.Hold) {
	examined := 0
	c.order.Walk(func(team string) placement.Size {
		if c.shardOf(team) != shard {
			return placement.Size{CPUs: -1}
		}
		return c.free(m)
	}, func(p *queue.Place[*jobEntry]) bool {
		e := p.Handle
		if examined++; examined > tuning.HoldLook {
			return false
		}
		if e.rec.EstimateS <= 0 || !m.images[e.rec.Image] || e.rec.Shape != wire.ShapeBatch || c.barred(e, shard) ||
			c.now+c.runs.Surely(e.rec.Class, e.rec.EstimateS) > held.At {
			return true
		}
		for c.trials(e) > 0 && c.canPlace(e, m, shard) {
			c.placeOn(e, m, true)
		}
		return true
	})
}
