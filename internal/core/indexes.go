package core

import (
	"maps"
	"math"
	"slices"
	"sort"

	"github.com/barrowbridge/barrowbridge/internal/ledger"
	"github.com/barrowbridge/barrowbridge/internal/objectives"
	"github.com/barrowbridge/barrowbridge/internal/placement"
	"github.com/barrowbridge/barrowbridge/internal/queue"
	"github.com/barrowbridge/barrowbridge/internal/reportsize"
	"github.com/barrowbridge/barrowbridge/internal/tiers"
	"github.com/barrowbridge/barrowbridge/internal/tuning"
	"github.com/barrowbridge/barrowbridge/wire"
)

// indexes holds what placement and writing need to know of machines and jobs, updated
// incrementally. Code that changes a machine or a job calls markDirty or markJobDirty;
// refreshIndexes recomputes the entries marked so. Nothing is decided here: all of it can
// be recomputed from scratch.
type indexes struct {
	objectives     objectives.Objectives
	capacity       *ledger.Ledger[*machine]
	jobQueue       *queue.Queue[*jobEntry]
	foundMachines  []ledger.Match[*machine] // buffer reused between choices, as is candidates
	candidates     []placement.Candidate
	dirtyMachines  []*machine
	dirtyJobs      []*jobEntry
	comingMachines map[*machine]bool  // held and not up, or not accounted for: may have free capacity soon
	pendingWrites  map[*jobEntry]bool // jobs whose starts or end must be written

	pendingProgress map[*jobEntry]bool // jobs with progress to write
	urgentProgress  map[*jobEntry]bool // those of them whose machines are gone, or soon will be

	idleAttempts        map[*machine]int       // machines with attempts of idle priority, and their number
	unaccountedMachines map[int]int            // by shard: inherited machines not accounted for
	jobsAwaitingMachine map[string][]*jobEntry // machine -> jobs whose tasks may be on it after a takeover
}

// newIndexes returns empty indexes. teams gives the guarantees that order the job queue.
func newIndexes(teams map[string]Team) indexes {
	guarantees := map[string]placement.Size{}
	for n, t := range teams {
		guarantees[n] = placement.Size{CPUs: t.CPUs, GPUs: t.GPUs}
	}
	return indexes{
		capacity:       ledger.New[*machine](),
		jobQueue:       queue.New[*jobEntry](guarantees),
		comingMachines: map[*machine]bool{},

		pendingWrites:   map[*jobEntry]bool{},
		pendingProgress: map[*jobEntry]bool{},
		urgentProgress:  map[*jobEntry]bool{},

		idleAttempts:        map[*machine]int{},
		unaccountedMachines: map[int]int{},
		jobsAwaitingMachine: map[string][]*jobEntry{},
	}
}

// markDirty marks a machine whose index entries must be recomputed before their next use.
func (c *Core) markDirty(m *machine) {
	c.placementDue = true
	if !m.dirty {
		m.dirty = true
		c.dirtyMachines = append(c.dirtyMachines, m)
	}
}

// markBlockDirty marks all machines of a block.
func (c *Core) markBlockDirty(id string) {
	if b := c.blocks[id]; b != nil {
		for _, bm := range b.record.Machines {
			if m := c.machines[bm.Name]; m != nil {
				c.markDirty(m)
			}
		}
	}
}

// markShardDirty marks all machines of a shard, or of all shards if shard is negative.
func (c *Core) markShardDirty(shard int) {
	for _, m := range c.heldMachines() {
		if shard < 0 || m.shard == shard {
			c.markDirty(m)
		}
	}
}

// markJobDirty marks a job whose position in the queue and pending writes must be recomputed.
func (c *Core) markJobDirty(e *jobEntry) {
	c.placementDue = true
	if !e.dirty {
		e.dirty = true
		c.dirtyJobs = append(c.dirtyJobs, e)
	}
}

// refreshIndexes recomputes the index entries of all dirty machines and jobs.
func (c *Core) refreshIndexes() {
	for _, m := range c.capacity.TakeSilent(c.now - c.reportMaxAge()) {
		c.markDirty(m)
	}
	// A machine that became unusable loses its unsent attempts, which marks it dirty again.
	for len(c.dirtyMachines) > 0 {
		dirty := c.dirtyMachines
		c.dirtyMachines = nil
		sort.Slice(dirty, func(i, j int) bool { return dirty[i].name < dirty[j].name })
		for _, m := range dirty {
			m.dirty = false
			c.refreshMachine(m)
		}
	}
	dirty := c.dirtyJobs
	c.dirtyJobs = nil
	for _, e := range dirty {
		e.dirty = false
		c.refreshJob(e)
	}
}

// refreshMachine recomputes the index entries of a machine. If it is no longer usable, its
// attempts whose start was never sent are removed.
func (c *Core) refreshMachine(m *machine) {
	if c.machines[m.name] != m {
		return
	}
	usable := c.usable(m)
	if !usable {
		for _, k := range sortedAttemptKeys(m) {
			if a := m.attempts[k]; !a.startSent && a.status == "" {
				c.attemptLost(a, "its machine is not usable")
			}
		}
	}
	usage := c.usageOf(m)
	if m.returning || m.terminationNotice || m.silent || reportsize.Full(usage.free) && usage.endedReportBytes > 0 {
		for _, a := range m.attempts {
			c.expediteEnd(a)
		}
	}
	full, known := c.machineSize(m.machineType)
	unknown := usage.unknownAttempts
	if m.inherited && !m.accounted {
		unknown++ // anything may run there, for any team
	}
	urgent, _ := c.urgentReserve.TaskSize(m.shard)
	facts := ledger.MachineState{
		Kind: ledger.Kind{
			Shard:       m.shard,
			Type:        m.machineType,
			Zone:        m.zone,
			Spot:        m.spot,
			EmptyRental: !m.base && len(m.attempts) == 0,
		},
		Usable:      usable,
		Full:        reportsize.Full(usage.free),
		Free:        c.unreservedFree(m),
		Usage:       usage.teams,
		UrgentSlots: c.urgentCapacity(m, urgent),
	}
	for range unknown {
		facts.UnknownUse = facts.UnknownUse.Add(full)
	}
	c.capacity.Put(m, m.name, facts)
	if known && !m.returning && !m.terminationNotice && !m.leaseOver && (!m.reported || !m.accounted) {
		c.comingMachines[m] = true
	} else {
		delete(c.comingMachines, m)
	}
}

// refreshJob recomputes a job's position in the queue and its pending writes.
func (c *Core) refreshJob(e *jobEntry) {
	delete(c.pendingWrites, e)
	delete(c.pendingProgress, e)
	if e.run == nil || c.jobs[e.record.ID] != e {
		c.jobQueue.Remove(e.record.ID)
		return
	}
	j, run := &e.record, e.run
	queued := queue.Job{
		ID:            j.ID,
		Team:          j.Team,
		AcceptedMS:    j.ReadySince(),
		Number:        j.Number,
		Rank:          e.rank,
		ZoneBound:     j.Zone != "" || j.OneZone,
		Service:       j.Shape == wire.ShapeService,
		Due:           min(c.objectives.Due(objectiveWork(j)), c.crewDue(j.ID), e.inheritedDue),
		Pressed:       c.crewPressed(j.ID),
		VirtualFinish: objectiveLimits.VirtualFinish(objectiveWork(j)),
		EstimateS:     j.EstimateS,
		TaskSize:      jobSize(j),
		Unfinished:    j.Tasks - run.done.Count(),
		Pending:       c.startableTasks(e),
		Started:       j.Started > 0 || run.nextIndex > 0,
	}
	if c.taskHealth.OnTrial(j.ID) {
		queued.Unfinished = min(queued.Unfinished, 1) // it reserves no capacity that other jobs could use
	}
	c.jobQueue.Put(e, queued)
	_, ended, due := c.unwrittenStarts(e)
	if due {
		c.pendingWrites[e] = true
	}
	if !ended && run.done.Count() > c.durableDone(e).Count() {
		c.pendingProgress[e] = true
	}
}

// objectiveLimits bound the machines that are rented for work that is not urgent.
var objectiveLimits = objectives.Limits{
	ReferenceCPUs: tuning.ReferenceCPUs,
	HorizonS:      tuning.IdleWorkHorizon.Seconds(),
	MinTimeS:      tuning.MinIdleWorkTime.Seconds(),
	Headroom:      tuning.IdleWorkHeadroom,
}

// objectiveWork returns a job as the objectives see it. Times are in seconds.
func objectiveWork(j *wire.Job) objectives.Work {
	due, ready := j.DueS, float64(j.ReadySince())/1000
	if due > 0 && j.ReadyMS > 0 { // the deadline counts from the submission, all else from when the job could run
		due = max(math.SmallestNonzeroFloat64, due-ready+float64(j.AcceptedMS)/1000)
	}
	return objectives.Work{Class: j.Class, AcceptedS: ready, DueS: due, CPUs: j.CPUs, Tasks: j.Tasks, EstimateS: j.EstimateS}
}

// pendingTasks returns the number of tasks that are still to be started.
func (r *jobRun) pendingTasks(j *wire.Job) int { return len(r.retryIndexes) + j.Tasks - r.nextIndex }

// unwrittenStarts returns the number of starts that a job's record should cover, and reports
// whether the job has ended and whether its starts or its end are due to be written.
func (c *Core) unwrittenStarts(e *jobEntry) (started int, ended, due bool) {
	run := e.run
	if run.done.Count() >= e.record.Tasks {
		return 0, true, true
	}
	started = max(e.record.Started, run.nextIndex)
	if startsAhead := max(tuning.MinStartsAhead, tuning.StartsAheadFactor*len(run.active)); e.record.Started-run.nextIndex < startsAhead/2 && run.nextIndex > 0 {
		started = max(started, min(e.record.Tasks, run.nextIndex+startsAhead))
	}
	return started, false, started > e.record.Started || c.placementChanged(e) || c.failureUnrecorded(e)
}

// refreshLateness periodically decides again which jobs are late.
func (c *Core) refreshLateness() {
	if !c.dueEvery("judge", tuning.LatenessCheckInterval) {
		return
	}
	shardCPUs := c.shardCPUs()
	c.jobQueue.UpdateDeadlines(float64(c.wall.UnixMilli())/1000, tuning.FirstTaskWait.Seconds(), func(team string) float64 {
		t := c.params.Teams[team]
		return min(t.CPUsMax, max(shardCPUs[c.shardOfTeam(team)], t.CPUs))
	})
}

// sortedJobs returns the jobs of a set by tier, then by age.
func sortedJobs(set map[*jobEntry]bool) []*jobEntry {
	list := slices.AppendSeq(make([]*jobEntry, 0, len(set)), maps.Keys(set))
	sort.Slice(list, func(i, j int) bool {
		a, b := list[i], list[j]
		return a.rank > b.rank || a.rank == b.rank && isOlderJob(a, b)
	})
	return list
}

// isOlderJob reports whether a is served before b within the same tier.
func isOlderJob(a, b *jobEntry) bool { return tiers.Older(&a.record, &b.record) }
