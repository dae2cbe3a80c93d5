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

var reservationLimits = reservation.Limits{MaxShare: tuning.HoldShare, Horizon: tuning.HoldHorizon, MinGain: tuning.HoldBetter}

// withoutReservation returns what is left of a machine's free capacity for jobs other than the one that
// has a reservation on it.
func (c *Core) withoutReservation(m *machine, free placement.Size) placement.Size {
	if b := c.reservations[m.shard]; b != nil {
		if h, is := b.Get(m); is {
			return free.Sub(h.Size)
		}
	}
	return free
}

// unreservedFree returns the free capacity of a machine that is not reserved.
func (c *Core) unreservedFree(m *machine) placement.Size {
	return c.withoutReservation(m, c.freeCapacity(m))
}

// reservedSoon returns the number of a job's reservations that become free before a machine rented now
// would be up.
func (c *Core) reservedSoon(shard int, j *wire.Job) int {
	b := c.reservations[shard]
	if b == nil || b.Len() == 0 {
		return 0
	}
	_, boot := supply.FetchAndBootBounds(c.machineTypes, j.Types)
	return b.CountUntil(j.ID, c.now+seconds(boot*tuning.BootHorizon))
}

// planReservations reserves capacity on the held shards for jobs whose tasks fit on no machine (package
// reservation).
func (c *Core) planReservations() {
	if !c.authorized() || !c.dueEvery("holds", tuning.HoldEvery) {
		return
	}
	for _, i := range c.shardIDs() {
		if !c.holdsShard(i) {
			continue
		}
		requests, least := c.unplaceableJobs(i)
		b := c.reservations[i]
		if b == nil {
			b = reservation.New[*machine](reservationLimits)
			c.reservations[i] = b
		}
		if len(requests) == 0 && b.Len() == 0 {
			c.reserveTeamLimits(i, nil)
			continue
		}
		var machines []reservation.Machine[*machine]
		for _, m := range c.heldMachines() {
			if m.shard == i {
				machines = c.appendReservable(m, machines, &least)
			}
		}
		wide := reservation.Oversized(requests, least, tuning.HoldTimes)
		c.reserveTeamLimits(i, wide)
		for _, m := range b.Plan(c.now, wide, machines) {
			if h, is := b.Get(m); is {
				c.recordMachineEvent(trail.PlaceHeld, m, wire.TrailEvent{Why: "for " + h.Job + ", whose tasks fit nowhere"})
				c.log(2, "capacity reserved", "machine", m.name, "job", h.Job, "free_in", (h.FitsAt - c.now).String())
			}
			c.markDirty(m)
		}
	}
}

// unplaceableJobs lists the jobs of a shard that have waited for a while and fit on no machine, in the
// order of service. least is the smallest size that any waiting job requests, by resource.
func (c *Core) unplaceableJobs(shard int) (requests []reservation.Request[*machine], least placement.Size) {
	if c.jobQueue.Len() == 0 {
		return nil, least
	}
	largestFree, used := c.capacity.MaxFree(shard), map[string]placement.Size{}
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
		if e.priority >= urgentRank || p.Late && !p.Overdue || p.Job.AcceptedMS > accepted || len(requests) >= tuning.HoldJobs || e.record.Shape == wire.ShapeGang || c.placementBlocked(e, shard) || c.taskHealth.Trial(e.record.ID) {
			return true // urgent work preempts other work instead
		}
		team := p.Job.Team
		if _, ok := used[team]; !ok {
			used[team] = c.capacity.Used(team, shard)
		}
		n := placement.TasksUnderLimit(c.params.Teams[team].CPUsMax, c.params.Teams[team].GPUsMax, used[team], size, p.Job.Pending)
		used[team] = used[team].Add(placement.Size{CPUs: size.CPUs * float64(n), GPUs: size.GPUs * float64(n)})
		if n == 0 || !placement.Fits(largestFree, size) {
			requests = append(requests, reservation.Request[*machine]{Job: e.record.ID, Team: team, Size: size, Tasks: max(1, n), TeamFull: n == 0, Allows: func(m *machine) bool { return allowsMachine(&e.record, m) && !c.avoids(e, m) }})
		}
		return true
	})
	return requests, least
}

// reserveTeamLimits reserves parts of the limits of a shard's teams for jobs that do not fit into the rest.
func (c *Core) reserveTeamLimits(shard int, requests []reservation.Request[*machine]) {
	for _, t := range c.shards[shard].record.Teams {
		delete(c.limitReservations, t)
	}
	maps.Copy(c.limitReservations, reservation.TeamReservations(requests))
}

// effectiveLimit returns a job's team with its limit, less what is reserved of the limit for another job
// of the team. Urgent jobs are not bound by such a reservation.
func (c *Core) effectiveLimit(e *jobEntry) Team {
	t := c.params.Teams[e.record.Team]
	if h, is := c.limitReservations[e.record.Team]; is && h.Job != e.record.ID && e.priority < urgentRank {
		t.CPUsMax, t.GPUsMax = t.CPUsMax-h.Size.CPUs, t.GPUsMax-h.Size.GPUs
	}
	return t
}

// appendReservable appends a machine that may take a reservation, with the tasks that are expected to end
// on it. It lowers least to the sizes of the machine's tasks.
func (c *Core) appendReservable(m *machine, list []reservation.Machine[*machine], least *placement.Size) []reservation.Machine[*machine] {
	candidate := reservation.Machine[*machine]{Handle: m, Name: m.name, Up: c.usable(m), Free: c.freeCapacity(m)}
	if !candidate.Up {
		full, known := c.machineSize(m.machineType)
		if !known || m.reported || m.inherited || !c.comingMachines[m] {
			return list
		}
		candidate.Free, candidate.ReadyAt = full, m.heldSince+seconds(c.machineTypes[m.machineType].BootS*1.2)
	}
	for _, k := range sortedAttemptKeys(m) {
		a := m.attempts[k]
		if a.status == wire.TaskEnded || !a.sizeKnown {
			continue
		}
		*least = smallerSize(*least, a.size)
		if at, leaves := c.expectedEnd(a); leaves {
			candidate.Releases = append(candidate.Releases, reservation.Release{At: at, Size: a.size})
		}
	}
	return append(list, candidate)
}

// expectedEnd returns when a task is expected to leave its machine, or false if that cannot be predicted.
func (c *Core) expectedEnd(a *attempt) (time.Duration, bool) {
	e := c.jobs[a.job]
	if e == nil || a.stopping {
		return c.now + seconds(a.stopGraceS), true
	}
	if e.record.EstimateS <= 0 {
		return 0, false
	}
	runs := c.runTimes.Typical(e.record.Class, e.record.EstimateS)
	if a.status == wire.TaskRunning || a.status == wire.TaskSaving {
		return max(a.runningSince+runs, c.now+runs/8), true // an overdue task is expected to end a little later
	}
	return max(a.createdAt+c.fetchTime(e, a.machine), c.now) + runs, true
}

// fetchTime returns how long a machine takes to fetch a job's image if it fetches nothing else.
func (c *Core) fetchTime(e *jobEntry, m *machine) time.Duration {
	if rate := c.machineTypes[m.machineType].FetchGBps; rate > 0 && !m.images[e.record.Image] {
		return seconds(e.record.ImageGB / rate)
	}
	return 0
}

// placeReserved places tasks on the reservations of their jobs, after all other jobs have been served.
// Urgent tasks that found no other machine take any reservation. Until the task of its job fits, reserved
// capacity is backfilled with tasks that certainly end before.
func (c *Core) placeReserved() {
	for _, i := range sortedIntKeys(c.reservations) {
		b := c.reservations[i]
		if b.Len() == 0 || !c.holdsShard(i) {
			continue
		}
		c.refreshIndexes()
		c.placeUrgentOnReserved(i, b)
		for _, m := range b.Machines() {
			h, _ := b.Get(m)
			p := c.jobQueue.Get(h.Job)
			if !c.usable(m) || p == nil || c.startableTasks(p.Handle) == 0 || c.placementBlocked(p.Handle, i) {
				continue
			}
			if e := p.Handle; c.canPlace(e, m, i) {
				b.Remove(m)
				c.placeOn(e, m, true)
				c.log(2, "task placed on its reservation", "job", h.Job, "machine", m.name)
			} else if h.FitsAt-c.now > tuning.HoldFill {
				c.backfill(m, i, h)
			}
		}
	}
}

// canPlace reports whether a job's next task may be placed on a machine now, regardless of reservations.
func (c *Core) canPlace(e *jobEntry, m *machine, shard int) bool {
	size, j := jobSize(&e.record), &e.record
	f, ok := c.capacity.Get(m)
	n := float64(e.run.possiblyInherited() + 1)
	return ok && f.Usable && placement.Fits(c.freeCapacity(m), size) && c.allowedKinds(e, tasksByZone(e))(f.Kind) && !c.avoids(e, m) &&
		!c.effectiveLimit(e).exceededBy(c.capacity.Used(j.Team, shard).Add(placement.Size{CPUs: size.CPUs * n, GPUs: size.GPUs * n}))
}

// placeUrgentOnReserved places waiting urgent tasks on reserved machines, whatever job they are reserved for.
func (c *Core) placeUrgentOnReserved(shard int, b *reservation.Table[*machine]) {
	c.jobQueue.Walk(func(team string) placement.Size {
		if c.shardOfTeam(team) != shard {
			return placement.Size{CPUs: -1}
		}
		return unlimitedCapacity(team)
	}, func(p *queue.Entry[*jobEntry]) bool {
		e := p.Handle
		if e.priority < urgentRank || b.Len() == 0 {
			return b.Len() > 0 && !c.tierOrder.PriorityOnly() // in plain priority order no later job is urgent
		}
		for _, m := range b.Machines() {
			if c.startableTasks(e) == 0 || e.record.Shape == wire.ShapeGang || c.placementBlocked(e, shard) {
				break
			}
			if c.usable(m) && c.canPlace(e, m, shard) {
				b.Remove(m)
				c.placeOn(e, m, true)
			}
		}
		return true
	})
}

// backfill places tasks on a reserved machine that certainly end before the reservation is needed.
func (c *Core) backfill(m *machine, shard int, h reservation.Reservation) {
	examined := 0
	c.jobQueue.Walk(func(team string) placement.Size {
		if c.shardOfTeam(team) != shard {
			return placement.Size{CPUs: -1}
		}
		return c.freeCapacity(m)
	}, func(p *queue.Entry[*jobEntry]) bool {
		e := p.Handle
		if examined++; examined > tuning.HoldLook {
			return false
		}
		if e.record.EstimateS <= 0 || !m.images[e.record.Image] || e.record.Shape != wire.ShapeBatch || c.placementBlocked(e, shard) ||
			c.now+c.runTimes.UpperBound(e.record.Class, e.record.EstimateS) > h.FitsAt {
			return true
		}
		for c.startableTasks(e) > 0 && c.canPlace(e, m, shard) {
			c.placeOn(e, m, true)
		}
		return true
	})
}
