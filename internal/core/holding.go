package core

import (
	"maps"
	"time"

	"github.com/barrowbridge/barrowbridge/internal/placement"
	"github.com/barrowbridge/barrowbridge/internal/queue"
	"github.com/barrowbridge/barrowbridge/internal/reservation"
	"github.com/barrowbridge/barrowbridge/internal/supply"
	"github.com/barrowbridge/barrowbridge/internal/trail"
	"github.com/barrowbridge/barrowbridge/internal/tuning"
	"github.com/barrowbridge/barrowbridge/wire"
)

var holdLimits = reservation.Limits{MaxShare: tuning.HoldShare, Horizon: tuning.HoldHorizon, MinGain: tuning.HoldBetter}

// unheld is what others than those it is held for see of a machine's room.
func (c *Core) unheld(m *machine, free placement.Size) placement.Size {
	if b := c.reservations[m.shard]; b != nil {
		if h, is := b.Get(m); is {
			return free.Sub(h.Size)
		}
	}
	return free
}

func (c *Core) freeToAll(m *machine) placement.Size { return c.unheld(m, c.freeCapacity(m)) }

// heldSoon counts the places of a job that are free before a rented machine would be.
func (c *Core) heldSoon(shard int, j *wire.Job) int {
	b := c.reservations[shard]
	if b == nil || b.Len() == 0 {
		return 0
	}
	_, boot := supply.FetchAndBootBounds(c.machineTypes, j.Types)
	return b.CountUntil(j.ID, c.now+seconds(boot*tuning.BootHorizon))
}

// planHolds keeps places for jobs whose tasks fit nowhere (package reservation).
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
			b = reservation.New[*machine](holdLimits)
			c.reservations[i] = b
		}
		if len(asks) == 0 && b.Len() == 0 {
			c.keepLimits(i, nil)
			continue
		}
		var machines []reservation.Machine[*machine]
		for _, m := range c.heldMachines() {
			if m.shard == i {
				machines = c.holdable(m, machines, &least)
			}
		}
		wide := reservation.Oversized(asks, least, tuning.HoldTimes)
		c.keepLimits(i, wide)
		for _, m := range b.Plan(c.now, wide, machines) {
			if h, is := b.Get(m); is {
				c.recordMachineEvent(trail.PlaceHeld, m, wire.TrailEvent{Why: "for " + h.Job + ", whose tasks fit nowhere"})
				c.log(2, "place held", "machine", m.name, "job", h.Job, "free_in", (h.FitsAt - c.now).String())
			}
			c.markDirty(m)
		}
	}
}

// fitNowhere lists the jobs of a shard that have waited for a while and find no machine, in
// the order of service, and the least that any job asks for.
func (c *Core) fitNowhere(shard int) (asks []reservation.Request[*machine], least placement.Size) {
	if c.jobQueue.Len() == 0 {
		return nil, least
	}
	most, used := c.capacity.MaxFree(shard), map[string]placement.Size{}
	least = unlimitedCapacity("")
	accepted := c.wall.Add(-tuning.HoldAfter).UnixMilli()
	c.jobQueue.Walk(func(team string) placement.Size {
		if c.shardOfTeam(team) != shard {
			return placement.Size{CPUs: -1}
		}
		return unlimitedCapacity(team)
	}, func(p *queue.Entry[*jobEntry]) bool {
		e, size := p.Handle, p.Job.TaskSize
		least = smallerSize(least, size)
		if e.priority >= urgentRank || p.Late && !p.Overdue || p.Job.AcceptedMS > accepted || len(asks) >= tuning.HoldJobs || e.record.Shape == wire.ShapeGang || c.placementBlocked(e, shard) || c.taskHealth.Trial(e.record.ID) {
			return true // urgent work makes room for itself
		}
		team := p.Job.Team
		if _, ok := used[team]; !ok {
			used[team] = c.capacity.Used(team, shard)
		}
		n := placement.TasksUnderLimit(c.params.Teams[team].CPUsMax, c.params.Teams[team].GPUsMax, used[team], size, p.Job.Pending)
		used[team] = used[team].Add(placement.Size{CPUs: size.CPUs * float64(n), GPUs: size.GPUs * float64(n)})
		if n == 0 || !placement.Fits(most, size) {
			asks = append(asks, reservation.Request[*machine]{Job: e.record.ID, Team: team, Size: size, Tasks: max(1, n), TeamFull: n == 0, Allows: func(m *machine) bool { return allowsMachine(&e.record, m) && !c.avoids(e, m) }})
		}
		return true
	})
	return asks, least
}

// keepLimits keeps parts of the limits of a shard's teams.
func (c *Core) keepLimits(shard int, asks []reservation.Request[*machine]) {
	for _, t := range c.shards[shard].record.Teams {
		delete(c.limitReservations, t)
	}
	maps.Copy(c.limitReservations, reservation.TeamReservations(asks))
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
func (c *Core) holdable(m *machine, list []reservation.Machine[*machine], least *placement.Size) []reservation.Machine[*machine] {
	x := reservation.Machine[*machine]{Handle: m, Name: m.name, Up: c.usable(m), Free: c.freeCapacity(m)}
	if !x.Up {
		full, known := c.machineSize(m.machineType)
		if !known || m.reported || m.inherited || !c.comingMachines[m] {
			return list
		}
		x.Free, x.ReadyAt = full, m.heldSince+seconds(c.machineTypes[m.machineType].BootS*1.2)
	}
	for _, k := range sortedAttemptKeys(m) {
		a := m.attempts[k]
		if a.status == wire.TaskEnded || !a.sizeKnown {
			continue
		}
		*least = smallerSize(*least, a.size)
		if at, leaves := c.leaves(a); leaves {
			x.Releases = append(x.Releases, reservation.Release{At: at, Size: a.size})
		}
	}
	return append(list, x)
}

// leaves is when a task is expected to leave its machine; false: not foreseen.
func (c *Core) leaves(a *attempt) (time.Duration, bool) {
	e := c.jobs[a.job]
	if e == nil || a.stopping {
		return c.now + seconds(a.stopGraceS), true
	}
	if e.record.EstimateS <= 0 {
		return 0, false
	}
	runs := c.runTimes.Typical(e.record.Class, e.record.EstimateS)
	if a.status == wire.TaskRunning || a.status == wire.TaskSaving {
		return max(a.runningSince+runs, c.now+runs/8), true // one that should be over ends some time
	}
	return max(a.createdAt+c.fetches(e, a.machine), c.now) + runs, true
}

// fetches is how long a machine fetches a job's image, alone.
func (c *Core) fetches(e *jobEntry, m *machine) time.Duration {
	if rate := c.machineTypes[m.machineType].FetchGBps; rate > 0 && !m.images[e.record.Image] {
		return seconds(e.record.ImageGB / rate)
	}
	return 0
}

// placeHeld gives held places to those they are held for, after all others have been
// served. Urgent tasks that found nothing else take any of them; until its task fits a place
// is lent to tasks that surely end before.
func (c *Core) placeHeld() {
	for _, i := range sortedIntKeys(c.reservations) {
		b := c.reservations[i]
		if b.Len() == 0 || !c.holdsShard(i) {
			continue
		}
		c.refreshIndexes()
		c.urgentFirst(i, b)
		for _, m := range b.Machines() {
			h, _ := b.Get(m)
			p := c.jobQueue.Get(h.Job)
			if !c.usable(m) || p == nil || c.startableTasks(p.Handle) == 0 || c.placementBlocked(p.Handle, i) {
				continue
			}
			if e := p.Handle; c.takes(e, m, i) {
				b.Remove(m)
				c.placeOn(e, m, true)
				c.log(2, "task placed on a held place", "job", h.Job, "machine", m.name)
			} else if h.FitsAt-c.now > tuning.HoldFill {
				c.lend(m, i, h)
			}
		}
	}
}

// takes tells whether a job's next task may be placed on a machine now, holds apart.
func (c *Core) takes(e *jobEntry, m *machine, shard int) bool {
	size, j := jobSize(&e.record), &e.record
	f, ok := c.capacity.Get(m)
	n := float64(e.run.possiblyInherited() + 1)
	return ok && f.Usable && placement.Fits(c.freeCapacity(m), size) && c.allowedKinds(e, tasksByZone(e))(f.Kind) && !c.avoids(e, m) &&
		!c.limitOf(e).exceededBy(c.capacity.Used(j.Team, shard).Add(placement.Size{CPUs: size.CPUs * n, GPUs: size.GPUs * n}))
}

// urgentFirst has urgent tasks that wait take held places.
func (c *Core) urgentFirst(shard int, b *reservation.Table[*machine]) {
	c.jobQueue.Walk(func(team string) placement.Size {
		if c.shardOfTeam(team) != shard {
			return placement.Size{CPUs: -1}
		}
		return unlimitedCapacity(team)
	}, func(p *queue.Entry[*jobEntry]) bool {
		e := p.Handle
		if e.priority < urgentRank || b.Len() == 0 {
			return b.Len() > 0 && !c.tierOrder.PriorityOnly() // by priority the order begins with them
		}
		for _, m := range b.Machines() {
			if c.startableTasks(e) == 0 || e.record.Shape == wire.ShapeGang || c.placementBlocked(e, shard) {
				break
			}
			if c.usable(m) && c.takes(e, m, shard) {
				b.Remove(m)
				c.placeOn(e, m, true)
			}
		}
		return true
	})
}

// lend places tasks on a held machine that surely leave before it is needed.
func (c *Core) lend(m *machine, shard int, h reservation.Reservation) {
	looked := 0
	c.jobQueue.Walk(func(team string) placement.Size {
		if c.shardOfTeam(team) != shard {
			return placement.Size{CPUs: -1}
		}
		return c.freeCapacity(m)
	}, func(p *queue.Entry[*jobEntry]) bool {
		e := p.Handle
		if looked++; looked > tuning.HoldLook {
			return false
		}
		if e.record.EstimateS <= 0 || !m.images[e.record.Image] || e.record.Shape != wire.ShapeBatch || c.placementBlocked(e, shard) ||
			c.now+c.runTimes.UpperBound(e.record.Class, e.record.EstimateS) > h.FitsAt {
			return true
		}
		for c.startableTasks(e) > 0 && c.takes(e, m, shard) {
			c.placeOn(e, m, true)
		}
		return true
	})
}
