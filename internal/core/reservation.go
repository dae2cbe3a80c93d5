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

var reservationLimits = reservation.Limits{MaxShare: tuning.MaxReservationShare,
	Horizon: tuning.ReservationHorizon, MinGain: tuning.ReservationMoveGain,
}

// withoutReservation returns what is left of a machine's free capacity for jobs other than the one that
// has a reservation on it.
func (c *Core) withoutReservation(m *machine, free placement.Size) placement.Size {
	if table := c.reservations[m.shard]; table != nil {
		if held, ok := table.Get(m); ok {
			return free.Sub(held.Size)
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
	table := c.reservations[shard]
	if table == nil || table.Len() == 0 {
		return 0
	}
	_, boot := supply.FetchAndBootBounds(c.machineTypes, j.Types)
	return table.CountUntil(j.ID, c.now+seconds(boot*tuning.BootHorizonFactor))
}

// planReservations reserves capacity on the held shards for jobs whose tasks fit on no machine (package
// reservation).
func (c *Core) planReservations() {
	if !c.authorized() || !c.dueEvery("holds", tuning.ReservationInterval) {
		return
	}
	for _, shard := range c.shardIDs() {
		if !c.holdsShard(shard) {
			continue
		}
		requests, least := c.unplaceableJobs(shard)
		table := c.reservations[shard]
		if table == nil {
			table = reservation.New[*machine](reservationLimits)
			c.reservations[shard] = table
		}
		if len(requests) == 0 && table.Len() == 0 {
			c.reserveTeamLimits(shard, nil)
			continue
		}
		var machines []reservation.Machine[*machine]
		for _, m := range c.heldMachines() {
			if m.shard == shard {
				machines = c.appendReservable(m, machines, &least)
			}
		}
		wide := reservation.Oversized(requests, least, tuning.OversizedFactor)
		c.reserveTeamLimits(shard, wide)
		for _, m := range table.Plan(c.now, wide, machines) {
			if held, ok := table.Get(m); ok {
				c.recordMachineEvent(trail.CapacityReserved, m, wire.TrailEvent{Why: "for " + held.Job + ", whose tasks fit nowhere"})
				c.log(2, "capacity reserved", "machine", m.name, "job", held.Job, "free_in", (held.FitsAt - c.now).String())
			}
			c.markDirty(m)
		}
	}
}

// unplaceableJobs lists the jobs of a shard that have waited for a while and fit on no machine, in the
// order of service. least is the least that any waiting job requests of each resource.
func (c *Core) unplaceableJobs(shard int) (requests []reservation.Request[*machine], least placement.Size) {
	if c.jobQueue.Len() == 0 {
		return nil, least
	}
	largestFree, used := c.capacity.MaxFree(shard), map[string]placement.Size{}
	least = unlimitedCapacity("")
	acceptedBefore := c.wall.Add(-tuning.ReservationDelay).UnixMilli()
	c.jobQueue.Walk(func(team string) placement.Size {
		if c.shardOfTeam(team) != shard {
			return placement.Size{CPUs: -1}
		}
		return unlimitedCapacity(team)
	}, func(p *queue.Entry[*jobEntry]) bool {
		e, size := p.Handle, p.Job.TaskSize
		least = smallerSize(least, size)
		if e.priority >= urgentRank || p.Late && !p.Overdue ||
			p.Job.AcceptedMS > acceptedBefore || len(requests) >= tuning.MaxReservationJobs ||
			e.record.Shape == wire.ShapeGang || c.placementBlocked(e, shard) || c.taskHealth.OnTrial(e.record.ID) {
			return true // urgent work preempts other work instead
		}
		team := p.Job.Team
		if _, ok := used[team]; !ok {
			used[team] = c.capacity.Used(team, shard)
		}
		startable := placement.TasksUnderLimit(c.params.Teams[team].CPUsMax, c.params.Teams[team].GPUsMax, used[team], size, p.Job.Pending)
		used[team] = used[team].Add(placement.Size{CPUs: size.CPUs * float64(startable), GPUs: size.GPUs * float64(startable)})
		if startable == 0 || !placement.Fits(largestFree, size) {
			requests = append(requests, reservation.Request[*machine]{
				Job:   e.record.ID,
				Team:  team,
				Size:  size,
				Tasks: max(1, startable), TeamFull: startable == 0,
				Allows: func(m *machine) bool { return allowsMachine(&e.record, m) && !c.avoids(e, m) },
			})
		}
		return true
	})
	return requests, least
}

// reserveTeamLimits reserves parts of the limits of a shard's teams for jobs that do not fit into the rest.
func (c *Core) reserveTeamLimits(shard int, requests []reservation.Request[*machine]) {
	for _, team := range c.shards[shard].record.Teams {
		delete(c.limitReservations, team)
	}
	maps.Copy(c.limitReservations, reservation.TeamReservations(requests))
}

// effectiveLimit returns a job's team with its limit, less what is reserved of the limit for another job
// of the team. Urgent jobs are not bound by such a reservation.
func (c *Core) effectiveLimit(e *jobEntry) Team {
	team := c.params.Teams[e.record.Team]
	if held, ok := c.limitReservations[e.record.Team]; ok && held.Job != e.record.ID && e.priority < urgentRank {
		team.CPUsMax, team.GPUsMax = team.CPUsMax-held.Size.CPUs, team.GPUsMax-held.Size.GPUs
	}
	return team
}

// appendReservable appends a machine that may take a reservation, with the tasks that are expected to end
// on it. It lowers least to what the machine's tasks use, if that is less.
func (c *Core) appendReservable(m *machine, list []reservation.Machine[*machine], least *placement.Size) []reservation.Machine[*machine] {
	candidate := reservation.Machine[*machine]{Handle: m, Name: m.name, Up: c.usable(m), Free: c.freeOnceCleared(m)}
	if !candidate.Up {
		size, known := c.machineSize(m.machineType)
		if !known || m.reported || m.inherited || !c.comingMachines[m] {
			return list
		}
		candidate.Free, candidate.ReadyAt = size, m.heldSince+seconds(c.machineTypes[m.machineType].BootS*1.2)
	}
	for _, k := range sortedAttemptKeys(m) {
		a := m.attempts[k]
		if a.status == wire.TaskEnded || !a.sizeKnown {
			continue
		}
		*least = smallerSize(*least, a.size)
		if end, predictable := c.expectedEnd(a); predictable {
			candidate.Releases = append(candidate.Releases, reservation.Release{At: end, Size: a.size})
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
	runTime := c.runTimes.Typical(e.record.Class, e.record.EstimateS)
	if a.status == wire.TaskRunning || a.status == wire.TaskSaving {
		return max(a.runningSince+runTime, c.now+runTime/8), true // an overdue task is expected to end a little later
	}
	return max(a.createdAt+c.fetchTime(e, a.machine), c.now) + runTime, true
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
	for _, shard := range sortedIntKeys(c.reservations) {
		table := c.reservations[shard]
		if table.Len() == 0 || !c.holdsShard(shard) {
			continue
		}
		c.refreshIndexes()
		c.placeUrgentOnReserved(shard, table)
		for _, m := range table.Machines() {
			held, _ := table.Get(m)
			p := c.jobQueue.Get(held.Job)
			if !c.usable(m) || p == nil || c.startableTasks(p.Handle) == 0 || c.placementBlocked(p.Handle, shard) {
				continue
			}
			if e := p.Handle; c.canPlace(e, m, shard) {
				table.Remove(m)
				c.placeOn(e, m, true)
				c.log(2, "task placed on its reservation", "job", held.Job, "machine", m.name)
			} else if held.FitsAt-c.now > tuning.ReservationLendAfter {
				c.backfill(m, shard, held)
			}
		}
	}
}

// canPlace reports whether a job's next task may be placed on a machine now, regardless of reservations.
func (c *Core) canPlace(e *jobEntry, m *machine, shard int) bool {
	size, job := jobSize(&e.record), &e.record
	facts, ok := c.capacity.Get(m)
	inheritedAndNext := float64(e.run.possiblyInherited() + 1)
	return ok && facts.Usable && placement.Fits(c.freeCapacity(m), size) &&
		c.allowedKinds(e, tasksByZone(e))(facts.Kind) && !c.avoids(e, m) &&
		!c.effectiveLimit(e).exceededBy(c.capacity.Used(job.Team, shard).Add(placement.Size{
			CPUs: size.CPUs * inheritedAndNext,
			GPUs: size.GPUs * inheritedAndNext,
		}))
}

// placeUrgentOnReserved places waiting urgent tasks on reserved machines, whatever job they are reserved for.
func (c *Core) placeUrgentOnReserved(shard int, table *reservation.Table[*machine]) {
	c.jobQueue.Walk(func(team string) placement.Size {
		if c.shardOfTeam(team) != shard {
			return placement.Size{CPUs: -1}
		}
		return unlimitedCapacity(team)
	}, func(p *queue.Entry[*jobEntry]) bool {
		e := p.Handle
		if e.priority < urgentRank || table.Len() == 0 {
			return table.Len() > 0 && !c.tierOrder.PriorityOnly() // in plain priority order no later job is urgent
		}
		for _, m := range table.Machines() {
			if c.startableTasks(e) == 0 || e.record.Shape == wire.ShapeGang || c.placementBlocked(e, shard) {
				break
			}
			if c.usable(m) && c.canPlace(e, m, shard) {
				table.Remove(m)
				c.placeOn(e, m, true)
			}
		}
		return true
	})
}

// backfill places tasks on a reserved machine that certainly end before the reservation is needed.
func (c *Core) backfill(m *machine, shard int, held reservation.Reservation) {
	examined := 0
	c.jobQueue.Walk(func(team string) placement.Size {
		if c.shardOfTeam(team) != shard {
			return placement.Size{CPUs: -1}
		}
		return c.freeCapacity(m)
	}, func(p *queue.Entry[*jobEntry]) bool {
		e := p.Handle
		if examined++; examined > tuning.ReservationLendCandidates {
			return false
		}
		if e.record.EstimateS <= 0 || !m.images[e.record.Image] || e.record.Shape != wire.ShapeBatch || c.placementBlocked(e, shard) ||
			c.now+c.runTimes.UpperBound(e.record.Class, e.record.EstimateS) > held.FitsAt {
			return true
		}
		for c.startableTasks(e) > 0 && c.canPlace(e, m, shard) {
			c.placeOn(e, m, true)
		}
		return true
	})
}
