package core

import (
	"cmp"
	"maps"
	"math"
	"slices"
	"time"

	"github.com/barrowbridge/barrowbridge/internal/conversion"
	"github.com/barrowbridge/barrowbridge/internal/ledger"
	"github.com/barrowbridge/barrowbridge/internal/placement"
	"github.com/barrowbridge/barrowbridge/internal/queue"
	"github.com/barrowbridge/barrowbridge/internal/reportsize"
	"github.com/barrowbridge/barrowbridge/internal/supply"
	"github.com/barrowbridge/barrowbridge/internal/tuning"
	"github.com/barrowbridge/barrowbridge/wire"
)

// freeCapacity returns the free capacity of a machine, with every attempt that may be on it counted.
func (c *Core) freeCapacity(m *machine) placement.Size { return c.usageOf(m).free }

// usageOf returns the usage of a machine, and recomputes it first if it is out of date.
func (c *Core) usageOf(m *machine) *machineUsage {
	usage := &m.usage
	if usage.valid && usage.sizeGeneration == c.sizeGeneration {
		return usage
	}
	full, _ := c.machineSize(m.machineType)
	full.ReportBytes = reportsize.Available(m.reportHeader)
	*usage = machineUsage{valid: true, sizeGeneration: c.sizeGeneration, free: full}
	for _, k := range sortedAttemptKeys(m) {
		a := m.attempts[k]
		switch {
		case a.status == wire.TaskEnded: // uses nothing but its entry in the report, until it is cleared
			usage.endedReportBytes += a.reportBytes()
			usage.free.ReportBytes -= a.reportBytes()
			continue
		case !a.sizeKnown:
			usage.unknownAttempts++
			continue
		}
		usage.free = usage.free.Sub(a.size)
		i := 0
		for i < len(usage.teams) && usage.teams[i].Team != a.team {
			i++
		}
		if i == len(usage.teams) {
			usage.teams = append(usage.teams, ledger.TeamUsage{Team: a.team})
		}
		usage.teams[i].Size = usage.teams[i].Size.Add(a.size)
	}
	if usage.unknownAttempts > 0 {
		usage.free, usage.endedReportBytes = placement.Size{}, 0 // an attempt of unknown size may need the whole machine
	}
	return usage
}

// allowsMachine reports whether a job's tasks may run on machines of this type and zone, and on
// spot machines if it is one.
func allowsMachine(j *wire.Job, m *machine) bool {
	return supply.Allows(j, ledger.Kind{Type: m.machineType, Zone: m.zone, Spot: m.spot})
}

// exceededBy reports whether usage is over the team's limit.
func (t Team) exceededBy(use placement.Size) bool {
	return use.CPUs > t.CPUsMax+1e-6 || use.GPUs > t.GPUsMax+1e-6
}

// withinLimit returns what a team may use of free capacity, given what it uses already.
func (t Team) withinLimit(free, used placement.Size) placement.Size {
	free.CPUs, free.GPUs = min(free.CPUs, t.CPUsMax-used.CPUs), min(free.GPUs, t.GPUsMax-used.GPUs)
	return free
}

// usable reports whether tasks may be placed on a machine now.
func (c *Core) usable(m *machine) bool {
	b := c.blocks[m.block]
	if _, cordoned := c.cordons[m.name]; cordoned {
		return false
	}
	return m.reported && m.accounted && !m.delivery.MissesAnswers() && !m.returning && !m.terminationNotice && !m.leaseOver && !m.moving &&
		b != nil && !b.record.Idle && !c.idleMarkPending(b) && !c.vacating[m.block] &&
		c.now-m.lastReport < c.reportMaxAge()
}

// reportMaxAge returns how long after its last report a machine is still given tasks. It allows
// for two late reports, or a lost one.
func (c *Core) reportMaxAge() time.Duration {
	return 2*c.params.ReportInterval + tuning.ReportFreshnessMargin
}

// urgentRank is the lowest priority that is served regardless of free capacity and cost.
var urgentRank = wire.PriorityRank("urgent")

// normalRank is the priority of work that waits for free capacity and for nothing else.
var normalRank = wire.PriorityRank("normal")

// idleRank is the priority of work that runs only when no other work needs the capacity.
var idleRank = wire.PriorityRank("idle")

// inf is the deadline of a job without a deadline, and an unlimited amount of a resource.
var inf = math.Inf(1)

// placeTasks makes one Pogonip pass over the waiting jobs.
func (c *Core) placeTasks() {
	if !c.authorized() || len(c.machines) == 0 {
		return
	}
	c.refreshIndexes()
	if c.jobQueue.Len() == 0 {
		return
	}
	c.refreshLateness()
	largestFree := map[int]placement.Size{}
	c.jobQueue.Walk(func(team string) placement.Size {
		shard := c.shardOfTeam(team)
		m, ok := largestFree[shard]
		if !ok {
			m = c.capacity.MaxFree(shard)
			largestFree[shard] = m
		}
		t, u := c.params.Teams[team], c.capacity.Used(team, shard)
		return t.withinLimit(m, u)
	}, func(p *queue.Entry[*jobEntry]) bool {
		if c.placeJob(p) > 0 {
			delete(largestFree, c.shardOfTeam(p.Job.Team))
		}
		return true
	})
	c.placeReserved()
}

// tasksByZone counts a job's active tasks by zone if its placement depends on that; otherwise
// it returns nil.
func tasksByZone(e *jobEntry) map[string]int {
	if j := &e.record; !j.OneZone && !j.Spread && j.Shape != wire.ShapeService {
		return nil
	}
	zones := map[string]int{}
	for _, a := range e.run.active {
		zones[a.machine.zone]++
	}
	return zones
}

// allowedKinds returns a predicate for the kinds of machines that a job's next task may be placed on.
func (c *Core) allowedKinds(e *jobEntry, zones map[string]int) func(ledger.Kind) bool {
	return supply.KindFilter(&e.record, e.run.zone, zones)
}

// possiblyInherited returns the number of tasks that may run on machines of an earlier holder.
// They count against the team's limit.
func (r *jobRun) possiblyInherited() int {
	n := r.inheritedBelow - r.done.CountBelow(r.inheritedBelow)
	for k := range r.active {
		if k < r.inheritedBelow && !r.done.Contains(k) {
			n--
		}
	}
	return n
}

// placementBlocked reports whether no task of a job may be placed now: it backs off after
// failures, or its placement depends on the zones of its other tasks and they are not known yet.
func (c *Core) placementBlocked(e *jobEntry, shard int) bool {
	j, run := &e.record, e.run
	return run == nil || c.now < run.notBefore ||
		c.unreconciledShards[shard] && run.inheritedBelow > 0 && j.Tasks > 1 && (j.OneZone || j.Spread || j.Shape == wire.ShapeService)
}

// placeJob places as many of a job's waiting tasks as fit, and returns their number.
func (c *Core) placeJob(p *queue.Entry[*jobEntry]) (placed int) {
	e := p.Handle
	j, run := &e.record, e.run
	shard := c.shardOfTeam(j.Team)
	if c.placementBlocked(e, shard) {
		return 0
	}
	size, team, zones := jobSize(j), c.effectiveLimit(e), tasksByZone(e)
	// The next task and those that may run on inherited machines count against the limit.
	tasksCounted := float64(run.possiblyInherited() + 1)
	anchor := len(run.active) == 0 && run.done.Count() == 0
	gang := j.Shape == wire.ShapeGang
	if gang {
		if len(run.active) > 0 || !c.gangFits(e, shard) {
			return 0
		}
		c.lastAttemptNumber++ // workers run a gang once all its tasks are present with the same attempt number
	}
	for c.startableTasks(e) > 0 {
		if p.Overdue && placed > 0 {
			return placed // the remaining tasks wait for their turn in the queue
		}
		if team.exceededBy(c.capacity.Used(j.Team, shard).Add(placement.Size{CPUs: size.CPUs * tasksCounted, GPUs: size.GPUs * tasksCounted})) {
			return placed
		}
		m, beta := c.chooseMachine(p, shard, size, anchor, zones)
		if m == nil {
			return placed
		}
		c.placeOn(e, m, !gang)
		if zones != nil {
			zones[m.zone]++
		}
		placed++
		c.log(2, "task placed", "job", j.ID, "machine", m.name, "zone", m.zone, "anchor", anchor, "beta", beta)
		anchor = false
	}
	return placed
}

// placeOn reserves a machine for a job's next task, with an attempt number of its own or, for a
// gang, with the number that all its tasks share.
func (c *Core) placeOn(e *jobEntry, m *machine, ownNumber bool) {
	j, run := &e.record, e.run
	run.passedOverSince = 0
	taskIndex := run.nextIndex
	if len(run.retryIndexes) > 0 {
		taskIndex, run.retryIndexes = run.retryIndexes[0], run.retryIndexes[1:]
	} else {
		run.nextIndex++
	}
	if ownNumber {
		c.lastAttemptNumber++
	}
	a := &attempt{
		key:          attemptKey{wire.TaskName(j.ID, taskIndex), c.attemptNumber()},
		job:          j.ID,
		taskIndex:    taskIndex,
		team:         j.Team,
		size:         jobSize(j),
		sizeKnown:    true,
		belowUrgent:  e.priority < urgentRank,
		idlePriority: e.priority <= idleRank,
		machine:      m,
		createdAt:    c.now,
		runningSince: c.now,
	}
	c.addAttempt(a)
	c.markJobDirty(e)
	run.active[taskIndex] = a
	m.idleSince = c.now
	c.refreshMachine(m)
	c.requestReport(m, e.priority >= urgentRank)
}

// chooseMachine returns the machine for a job's next task and its beta, or nil if none has
// enough free capacity.
func (c *Core) chooseMachine(p *queue.Entry[*jobEntry], shard int, size placement.Size, anchor bool, zones map[string]int) (*machine, int) {
	e := p.Handle
	j, run := &e.record, e.run
	allowed := c.allowedKinds(e, zones)
	if len(run.retryIndexes) > 0 && tracksMachines(j) {
		// The machine that ran the task before has its image, and the start there is
		// recorded already. After an outage hundreds of tasks start again at once.
		if m := c.machines[recordedMachine(j, run.retryIndexes[0])]; m != nil {
			facts, ok := c.capacity.Get(m)
			if ok && facts.Usable && facts.Shard == shard && allowed(facts.Kind) && placement.Fits(facts.Free, size) && !c.avoids(e, m) {
				return m, placement.Beta(facts.Free, size)
			}
		}
	}
	leftToOthers := []*machine{}
	for range tuning.LocalImageMachines {
		m, beta := c.pickMachine(e, shard, size, anchor, zones, allowed, leftToOthers)
		// gangFits has counted capacity for the whole gang, so it may not pass over any of it.
		if m == nil || m.images[j.Image] || anchor || e.priority >= urgentRank || j.Shape == wire.ShapeGang || !c.leaveToLocalJob(p, m) {
			return m, beta
		}
		leftToOthers = append(leftToOthers, m)
	}
	return nil, 0
}

// leaveToLocalJob reports whether a machine without a job's image is better left to another job
// that is served equally early and has its image there. A fetch takes as long as many tasks do,
// and where tasks end all the time a machine with the image soon has free capacity. After
// tuning.LocalImageWait of this, the job takes any machine.
func (c *Core) leaveToLocalJob(p *queue.Entry[*jobEntry], m *machine) bool {
	run, examined, found := p.Handle.run, 0, false
	if run.passedOverSince > 0 && c.now-run.passedOverSince > tuning.LocalImageWait {
		return false
	}
	free := c.freeCapacity(m)
	c.jobQueue.Walk(func(team string) placement.Size {
		if c.shardOfTeam(team) != m.shard {
			return placement.Size{CPUs: -1}
		}
		t, u := c.params.Teams[team], c.capacity.Used(team, m.shard)
		return t.withinLimit(free, u)
	}, func(other *queue.Entry[*jobEntry]) bool {
		e := other.Handle
		if examined++; examined > tuning.LocalImageJobs || e.rank < p.Handle.rank {
			return false
		}
		found = other != p && e.rank == p.Handle.rank && other.WithinGuarantee == p.WithinGuarantee && other.Late == p.Late && other.Overdue == p.Overdue &&
			!c.placementBlocked(e, m.shard) && e.record.Shape != wire.ShapeGang &&
			e.run.pendingTasks(&e.record) > 0 && m.images[e.record.Image] && c.canPlace(e, m, m.shard) && tasksByZone(e) == nil
		return !found
	})
	if found && run.passedOverSince == 0 {
		run.passedOverSince = c.now
	}
	return found
}

// pickMachine returns the heuristic's choice among the machines that the ledger proposes, except
// the excluded ones, and its beta; nil if there is none.
func (c *Core) pickMachine(e *jobEntry, shard int, size placement.Size, anchor bool, zones map[string]int, allowed func(ledger.Kind) bool, excluded []*machine) (*machine, int) {
	j := &e.record
	c.foundMachines = c.capacity.Find(shard, size, anchor, tuning.PlacementCandidates, allowed,
		func(m *machine) bool { return !c.avoids(e, m) && !slices.Contains(excluded, m) },
		func(m *machine) bool { return m.images[j.Image] }, c.foundMachines[:0])
	c.candidates = c.candidates[:0]
	for _, found := range c.foundMachines {
		candidate := placement.Candidate{Free: found.Free, EmptyRental: found.Kind.EmptyRental}
		if j.Shape == wire.ShapeService {
			candidate.ServiceTasks = zones[found.Kind.Zone]
		}
		if found.Handle.images[j.Image] {
			candidate.Preference = 1
		} else if e.priority >= urgentRank && c.weights.FetchesOtherImage(found.Handle.name, j.Image) {
			candidate.Preference = -1 // fetches there would share its bandwidth
		}
		c.candidates = append(c.candidates, candidate)
	}
	k := placement.Pick(c.candidates, size, anchor)
	if k < 0 {
		return nil, 0
	}
	return c.foundMachines[k].Handle, placement.Beta(c.candidates[k].Free, size)
}

// gangFits reports whether all waiting tasks of a gang, none of which is placed, fit at once; a
// part of a gang would only occupy its machines and wait. In a gang bound to one zone the
// placement of the anchor determines the zone of the rest, so each zone is tried on its own and
// the zone found is stored in the job's run.
func (c *Core) gangFits(e *jobEntry, shard int) bool {
	j, run := &e.record, e.run
	size, team := jobSize(j), c.params.Teams[j.Team]
	waiting := len(run.retryIndexes) + j.Tasks - run.nextIndex
	n := float64(waiting)
	if team.exceededBy(c.capacity.Used(j.Team, shard).Add(placement.Size{CPUs: n * size.CPUs, GPUs: n * size.GPUs})) {
		return false
	}
	placesByZone := map[string]int{}
	c.capacity.EachFitting(shard, size, func(k ledger.Kind) bool { return supply.Allows(j, k) }, func(_ *machine, k ledger.Kind, free placement.Size) {
		placesByZone[k.Zone] += placement.Beta(free, size) + 1
	})
	zone, fits := supply.GangFits(j, waiting, placesByZone)
	run.zone = cmp.Or(zone, run.zone)
	return fits
}

// sortedIntKeys returns the keys of a map in ascending order.
func sortedIntKeys[V any](m map[int]V) []int {
	return slices.Sorted(maps.Keys(m))
}

// blockServes reports whether an empty machine of a block could run a task of the need.
func (c *Core) blockServes(b *blockEntry, n wire.Need) bool {
	full, ok := c.machineSize(b.record.Type)
	return ok && supply.AllowsType(n.Types, b.record.Type) && (n.Zone == "" || n.Zone == b.record.Zone) && (!b.record.Spot || n.Spot) &&
		placement.Fits(full, needSize(n))
}

// hasUnmetDemand reports whether the demand last published for a held shard asks for machines.
func (c *Core) hasUnmetDemand(shard int) bool {
	return len(c.publishedDemand[shard].Needs) > 0
}

// seconds converts a number of seconds to a duration.
func seconds(s float64) time.Duration { return conversion.Seconds(s) }
