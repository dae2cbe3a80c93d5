package core

import (
	"cmp"
	"maps"
	"math"
	"slices"
	"time"

	"github.com/barrowbridge/barrowbridge/internal/ledger"
	"github.com/barrowbridge/barrowbridge/internal/placement"
	"github.com/barrowbridge/barrowbridge/internal/queue"
	"github.com/barrowbridge/barrowbridge/internal/supply"
	"github.com/barrowbridge/barrowbridge/internal/tuning"
	"github.com/barrowbridge/barrowbridge/wire"
)

// free is what a machine has left, counting every attempt that may be on it.
func (c *Core) freeCapacity(m *machine) placement.Size { return c.usageOf(m).free }

// sumOf adds up what is on a machine, if that has changed since.
func (c *Core) usageOf(m *machine) *machineUsage {
	usage := &m.usage
	if usage.valid && usage.sizesVersion == c.sizeGeneration {
		return usage
	}
	full, _ := c.machineSize(m.machineType)
	*usage = machineUsage{valid: true, sizesVersion: c.sizeGeneration, free: full}
	for _, k := range sortedAttemptKeys(m) {
		a := m.attempts[k]
		switch {
		case a.status == wire.TaskEnded:
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
		usage.free = placement.Size{} // a stranger of unknown size: leave room for it all
	}
	return usage
}

// allows tells whether a job's tasks may run on machines of this type, zone and kind.
func allowsMachine(j *wire.Job, m *machine) bool {
	return supply.Allows(j, ledger.Kind{Type: m.machineType, Zone: m.zone, Spot: m.spot})
}

// exceeds tells whether a use is over the team's limit.
func (t Team) exceededBy(use placement.Size) bool {
	return use.CPUs > t.CPUsMax+1e-6 || use.GPUs > t.GPUsMax+1e-6
}

// usable tells whether tasks may be placed on a machine now.
func (c *Core) usable(m *machine) bool {
	b := c.blocks[m.block]
	if _, cordoned := c.cordons[m.name]; cordoned {
		return false
	}
	return m.reported && m.accounted && !m.delivery.MissesAnswers() && !m.returning && !m.terminationNotice && !m.leaseOver && !m.moving && b != nil && !b.record.Idle && !c.idleMarkPending(b) && !c.vacating[m.block] &&
		c.now-m.lastReport < c.reportMaxAge()
}

// freshFor is how long after its last report a machine is given tasks: two reports
// may be late, or one lost.
func (c *Core) reportMaxAge() time.Duration { return 2*c.params.ReportInterval + tuning.FreshMargin }

// urgentRank is the lowest priority that is served ahead of room and cost.
var urgentRank = wire.PriorityRank("urgent")

// normalRank is the priority of work that can wait for room, and for nothing else.
var normalRank = wire.PriorityRank("normal")

// idleRank is the priority of work that is run when there is nothing else to do.
var idleRank = wire.PriorityRank("idle")

// inf is the deadline of a job without one.
var inf = math.Inf(1)

// place is one Pogonip pass over the waiting jobs.
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
		return placement.Size{CPUs: min(m.CPUs, t.CPUsMax-u.CPUs), GPUs: min(m.GPUs, t.GPUsMax-u.GPUs), MemGB: m.MemGB}
	}, func(p *queue.Entry[*jobEntry]) bool {
		if c.placeJob(p) > 0 {
			delete(largestFree, c.shardOfTeam(p.Job.Team))
		}
		return true
	})
	c.placeReserved()
}

// zonesOf counts a job's tasks by zone, where its placement hangs on that.
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

// kinds tells which kinds of machines a job's next task may be placed on.
func (c *Core) allowedKinds(e *jobEntry, zones map[string]int) func(ledger.Kind) bool {
	return supply.KindFilter(&e.record, e.run.zone, zones)
}

// unseen counts a job's tasks that may run on machines of an earlier holder: they count
// against the team's limit.
func (r *jobRun) possiblyInherited() int {
	n := r.inheritedBelow - r.done.Below(r.inheritedBelow)
	for k := range r.active {
		if k < r.inheritedBelow && !r.done.Has(k) {
			n--
		}
	}
	return n
}

// barred tells whether nothing of a job may be placed now: it pauses after failures, or
// where its other tasks are, on which its places hang, is not known yet.
func (c *Core) placementBlocked(e *jobEntry, shard int) bool {
	j, run := &e.record, e.run
	return run == nil || c.now < run.notBefore ||
		c.unreconciledShards[shard] && run.inheritedBelow > 0 && j.Tasks > 1 && (j.OneZone || j.Spread || j.Shape == wire.ShapeService)
}

// placeJob starts as many of a job's waiting tasks as fit, and says how many.
func (c *Core) placeJob(p *queue.Entry[*jobEntry]) (placed int) {
	e := p.Handle
	j, run := &e.record, e.run
	shard := c.shardOfTeam(j.Team)
	if c.placementBlocked(e, shard) {
		return 0
	}
	size, team, zones := jobSize(j), c.effectiveLimit(e), tasksByZone(e)
	tasksCounted := float64(run.possiblyInherited() + 1)
	anchor := len(run.active) == 0 && run.done.Count() == 0
	gang := j.Shape == wire.ShapeGang
	if gang {
		if len(run.active) > 0 || !c.gangFits(e, shard) {
			return 0
		}
		c.lastAttemptNumber++ // workers let a gang run when all of it is there under one attempt number
	}
	for c.startableTasks(e) > 0 {
		if p.Overdue && placed > 0 {
			return placed // the others wait for their turn
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

// placeOn reserves a machine for a job's next task, under a try of its own or, a gang's,
// under that of the others.
func (c *Core) placeOn(e *jobEntry, m *machine, own bool) {
	j, run := &e.record, e.run
	run.passedOverSince = 0
	idx := run.nextIndex
	if len(run.retryIndexes) > 0 {
		idx, run.retryIndexes = run.retryIndexes[0], run.retryIndexes[1:]
	} else {
		run.nextIndex++
	}
	if own {
		c.lastAttemptNumber++
	}
	a := &attempt{key: attemptKey{wire.TaskName(j.ID, idx), c.presence.Boot()<<24 | c.lastAttemptNumber}, job: j.ID, taskIndex: idx, team: j.Team,
		size: jobSize(j), sizeKnown: true, belowUrgent: e.priority < urgentRank, idlePriority: e.priority <= idleRank, machine: m, createdAt: c.now, runningSince: c.now}
	c.addAttempt(a)
	c.markJobDirty(e)
	run.active[idx] = a
	m.idleSince = c.now
	c.refreshMachine(m)
	c.requestReport(m, e.priority >= urgentRank)
}

// choose picks the machine of a job's next task among those the ledger proposes, nil if
// none has room, and tells its beta.
func (c *Core) chooseMachine(p *queue.Entry[*jobEntry], shard int, size placement.Size, anchor bool, zones map[string]int) (*machine, int) {
	e := p.Handle
	j, run := &e.record, e.run
	kinds := c.allowedKinds(e, zones)
	if len(run.retryIndexes) > 0 && tracksMachines(j) {
		// Back to where it was: its image is there, and that start is written
		// already. After an outage hundreds start again at once.
		if m := c.machines[recordedMachine(j, run.retryIndexes[0])]; m != nil {
			facts, ok := c.capacity.Get(m)
			if ok && facts.Usable && facts.Shard == shard && kinds(facts.Kind) && placement.Fits(facts.Free, size) && !c.avoids(e, m) {
				return m, placement.Beta(facts.Free, size)
			}
		}
	}
	leftToOthers := []*machine{}
	for range tuning.LocalTries {
		m, beta := c.pickMachine(e, shard, size, anchor, zones, kinds, leftToOthers)
		// A gang has been found room for as a whole: it leaves none of it.
		if m == nil || m.images[j.Image] || anchor || e.priority >= urgentRank || j.Shape == wire.ShapeGang || !c.leaveToLocalJob(p, m) {
			return m, beta
		}
		leftToOthers = append(leftToOthers, m)
	}
	return nil, 0
}

// leaveToLocal tells whether a machine without a job's image is better left to a job
// that is served as early and has its image there: the fetch takes as long as many a
// task, and where tasks end all the time a place with the image comes soon. For a while
// only: a job that has been passed over for long takes what there is.
func (c *Core) leaveToLocalJob(p *queue.Entry[*jobEntry], m *machine) bool {
	run, examined, found := p.Handle.run, 0, false
	if run.passedOverSince > 0 && c.now-run.passedOverSince > tuning.LocalWait {
		return false
	}
	free := c.freeCapacity(m)
	c.jobQueue.Walk(func(team string) placement.Size {
		if c.shardOfTeam(team) != m.shard {
			return placement.Size{CPUs: -1}
		}
		t, u := c.params.Teams[team], c.capacity.Used(team, m.shard)
		return placement.Size{CPUs: min(free.CPUs, t.CPUsMax-u.CPUs), GPUs: min(free.GPUs, t.GPUsMax-u.GPUs), MemGB: free.MemGB}
	}, func(other *queue.Entry[*jobEntry]) bool {
		e := other.Handle
		if examined++; examined > tuning.LocalLook || e.rank < p.Handle.rank {
			return false
		}
		found = other != p && e.rank == p.Handle.rank && other.WithinGuarantee == p.WithinGuarantee && other.Late == p.Late && other.Overdue == p.Overdue && !c.placementBlocked(e, m.shard) && e.record.Shape != wire.ShapeGang &&
			e.run.pendingTasks(&e.record) > 0 && m.images[e.record.Image] && c.canPlace(e, m, m.shard) && tasksByZone(e) == nil
		return !found
	})
	if found && run.passedOverSince == 0 {
		run.passedOverSince = c.now
	}
	return found
}

// pick is the heuristic's choice among the machines that the ledger proposes, some apart.
func (c *Core) pickMachine(e *jobEntry, shard int, size placement.Size, anchor bool, zones map[string]int, kinds func(ledger.Kind) bool, excluded []*machine) (*machine, int) {
	j := &e.record
	c.foundMachines = c.capacity.Find(shard, size, anchor, tuning.LookAt, kinds, func(m *machine) bool { return !c.avoids(e, m) && !slices.Contains(excluded, m) },
		func(m *machine) bool { return m.images[j.Image] }, c.foundMachines[:0])
	c.candidates = c.candidates[:0]
	for _, found := range c.foundMachines {
		candidate := placement.Candidate{Free: found.Free, EmptyRental: found.Kind.EmptyRental}
		if j.Shape == wire.ShapeService {
			candidate.ServiceTasks = zones[found.Kind.Zone]
		}
		if found.Handle.images[j.Image] {
			candidate.Preference = 1
		} else if e.priority >= urgentRank && c.weights.Busy(found.Handle.name, j.Image) {
			candidate.Preference = -1 // they would share its rate
		}
		c.candidates = append(c.candidates, candidate)
	}
	k := placement.Pick(c.candidates, size, anchor)
	if k < 0 {
		return nil, 0
	}
	return c.foundMachines[k].Handle, placement.Beta(c.candidates[k].Free, size)
}

// gangFits tells whether all waiting tasks of a gang, none of which is placed,
// find room at once; a part
// of a gang would only wait on its machines. On a yes for a gang bound to one
// zone, the anchor's choice binds the rest, so each zone is tried alone.
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

func sortedIntKeys[V any](m map[int]V) []int {
	return slices.Sorted(maps.Keys(m))
}

// serves tells whether a block's machines could hold a task of a need.
func (c *Core) blockServes(b *blockEntry, n wire.Need) bool {
	full, ok := c.machineSize(b.record.Type)
	return ok && supply.AllowsType(n.Types, b.record.Type) && (n.Zone == "" || n.Zone == b.record.Zone) && (!b.record.Spot || n.Spot) &&
		placement.Fits(full, needSize(n))
}

func (c *Core) hasUnmetDemand(shard int) bool {
	return len(c.publishedDemand[shard].Needs) > 0
}

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }
