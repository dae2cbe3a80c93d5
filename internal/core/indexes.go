package core

import (
	"maps"
	"math"
	"slices"
	"sort"

	"github.com/barrowbridge/barrowbridge/internal/aims"
	"github.com/barrowbridge/barrowbridge/internal/ladder"
	"github.com/barrowbridge/barrowbridge/internal/ledger"
	"github.com/barrowbridge/barrowbridge/internal/placement"
	"github.com/barrowbridge/barrowbridge/internal/queue"
	"github.com/barrowbridge/barrowbridge/internal/tuning"
	"github.com/barrowbridge/barrowbridge/wire"
)

// books is what placing and writing ask of machines and jobs, kept up change by
// change. Whoever changes a machine or a job says so with touch or touchJob; update
// puts what was touched anew. Nothing here is decided, all of it can be counted afresh.
type indexes struct {
	objectives          aims.Aims
	capacity            *ledger.Book[*machine]
	jobQueue            *queue.Queue[*jobEntry]
	foundMachines       []ledger.Found[*machine] // kept for the next choice, as is cands
	candidates          []placement.Candidate
	dirtyMachines       []*machine
	dirtyJobs           []*jobEntry
	comingMachines      map[*machine]bool      // held and not up, or not accounted for: may have room soon
	pendingWrites       map[*jobEntry]bool     // jobs with starts or their end to write
	pendingProgress     map[*jobEntry]bool     // jobs with progress to write
	urgentProgress      map[*jobEntry]bool     // those of them whose machines will be gone, or are
	idleAttempts        map[*machine]int       // machines with work that gives way to all other, and how many
	unaccountedMachines map[int]int            // by shard: inherited machines not accounted for
	jobsAwaitingMachine map[string][]*jobEntry // machine -> jobs whose tasks may be on it, after a takeover
}

func newIndexes(teams map[string]Team) indexes {
	guarantees := map[string]placement.Size{}
	for n, t := range teams {
		guarantees[n] = placement.Size{CPUs: t.CPUs, GPUs: t.GPUs}
	}
	return indexes{capacity: ledger.New[*machine](), jobQueue: queue.New[*jobEntry](guarantees), comingMachines: map[*machine]bool{}, pendingWrites: map[*jobEntry]bool{},
		pendingProgress: map[*jobEntry]bool{}, urgentProgress: map[*jobEntry]bool{}, idleAttempts: map[*machine]int{}, unaccountedMachines: map[int]int{}, jobsAwaitingMachine: map[string][]*jobEntry{}}
}

// touch has a machine's facts put anew before they are next asked for.
func (c *Core) markDirty(m *machine) {
	c.placementDue = true
	if !m.dirty {
		m.dirty = true
		c.dirtyMachines = append(c.dirtyMachines, m)
	}
}

func (c *Core) markBlockDirty(id string) {
	if b := c.blocks[id]; b != nil {
		for _, bm := range b.rec.Machines {
			if m := c.machines[bm.Name]; m != nil {
				c.markDirty(m)
			}
		}
	}
}

// touchShard does so for all machines of a shard, or of all shards if it is negative.
func (c *Core) markShardDirty(shard int) {
	for _, m := range c.heldMachines() {
		if shard < 0 || m.shard == shard {
			c.markDirty(m)
		}
	}
}

// touchJob has a job's place in the order, and what is to be written of it, made anew.
func (c *Core) markJobDirty(e *jobEntry) {
	c.placementDue = true
	if !e.touched {
		e.touched = true
		c.dirtyJobs = append(c.dirtyJobs, e)
	}
}

// update brings the books up to date.
func (c *Core) refreshIndexes() {
	for _, m := range c.capacity.Silent(c.now - c.reportMaxAge()) {
		c.markDirty(m)
	}
	for len(c.dirtyMachines) > 0 { // a machine that became unusable gives tasks back
		list := c.dirtyMachines
		c.dirtyMachines = nil
		sort.Slice(list, func(i, j int) bool { return list[i].name < list[j].name })
		for _, m := range list {
			m.dirty = false
			c.refreshMachine(m)
		}
	}
	list := c.dirtyJobs
	c.dirtyJobs = nil
	for _, e := range list {
		e.touched = false
		c.refreshJob(e)
	}
}

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
	if m.returning || m.terminationNotice || m.silent {
		for _, a := range m.attempts {
			c.hasten(a)
		}
	}
	usage := c.usageOf(m)
	full, known := c.sizeOf(m.machineType)
	unknown := usage.unknownAttempts
	if m.inherited && !m.accounted {
		unknown++ // anything may run there, for any team
	}
	urgent, _ := c.urgentReserve.Task(m.shard)
	facts := ledger.Facts{Kind: ledger.Kind{Shard: m.shard, Type: m.machineType, Zone: m.zone, Spot: m.spot, Opens: !m.base && len(m.attempts) == 0},
		Usable: usable, Free: c.freeToAll(m), Uses: usage.teams, Spare: c.roomFor(m, urgent)}
	for range unknown {
		facts.Unknown = facts.Unknown.Add(full)
	}
	c.capacity.Put(m, m.name, facts)
	if known && !m.returning && !m.terminationNotice && !m.leaseOver && (!m.reported || !m.accounted) {
		c.comingMachines[m] = true
	} else {
		delete(c.comingMachines, m)
	}
}

func (c *Core) refreshJob(e *jobEntry) {
	delete(c.pendingWrites, e)
	delete(c.pendingProgress, e)
	if e.run == nil || c.jobs[e.rec.ID] != e {
		c.jobQueue.Drop(e.rec.ID)
		return
	}
	j, run := &e.rec, e.run
	queued := queue.Job{ID: j.ID, Team: j.Team, Accepted: j.ReadySince(), Number: j.Number, Rank: e.rank, Strict: j.Zone != "" || j.OneZone, Service: j.Shape == wire.ShapeService,
		Due: min(c.objectives.Due(objectiveWork(j)), c.crewDue(j.ID), e.due), Pressed: c.crewPressed(j.ID), Turn: objectiveLimits.Turn(objectiveWork(j)), Estimate: j.EstimateS, Ask: jobSize(j), Rest: j.Tasks - run.done.Count(), Pending: c.startableTasks(e),
		Begun: j.Started > 0 || run.nextIndex > 0}
	if c.taskHealth.Trial(j.ID) {
		queued.Rest = min(queued.Rest, 1) // it keeps no place of others
	}
	c.jobQueue.Put(e, queued)
	_, ended, due := c.unwrittenStarts(e)
	if due {
		c.pendingWrites[e] = true
	}
	if !ended && run.done.Count() > c.durable(e).Count() {
		c.pendingProgress[e] = true
	}
}

var objectiveLimits = aims.Limits{CPUs: tuning.TurnCPUs, Horizon: tuning.IdleHorizon.Seconds(), Least: tuning.IdleLeast.Seconds(), Headroom: tuning.IdleHeadroom}

func objectiveWork(j *wire.Job) aims.Work {
	due, ready := j.DueS, float64(j.ReadySince())/1000
	if due > 0 && j.ReadyMS > 0 { // it counts from the submission, all else from when the job could run
		due = max(math.SmallestNonzeroFloat64, due-ready+float64(j.AcceptedMS)/1000)
	}
	return aims.Work{Class: j.Class, Accepted: ready, DueS: due, CPUs: j.CPUs, Tasks: j.Tasks, Estimate: j.EstimateS}
}

// pending is how many tasks are to be started.
func (r *jobRun) pendingTasks(j *wire.Job) int { return len(r.retryIndexes) + j.Tasks - r.nextIndex }

// owes tells what of a job's starts and its end is to be written.
func (c *Core) unwrittenStarts(e *jobEntry) (started int, ended, due bool) {
	run := e.run
	if run.done.Count() >= e.rec.Tasks {
		return 0, true, true
	}
	started = max(e.rec.Started, run.nextIndex)
	if ahead := max(tuning.StartAhead, tuning.AheadTimes*len(run.active)); e.rec.Started-run.nextIndex < ahead/2 && run.nextIndex > 0 {
		started = max(started, min(e.rec.Tasks, run.nextIndex+ahead))
	}
	return started, false, started > e.rec.Started || c.movedOn(e) || c.failureUnrecorded(e)
}

// judge decides anew, now and then, which jobs are late.
func (c *Core) refreshLateness() {
	if !c.every("judge", tuning.JudgeEvery) {
		return
	}
	have := c.shardCPUs()
	c.jobQueue.Judge(float64(c.wall.UnixMilli())/1000, tuning.BeginAfter.Seconds(), func(team string) float64 {
		t := c.p.Teams[team]
		return min(t.CPUsMax, max(have[c.shardOf(team)], t.CPUs))
	})
}

// sortedJobs lists jobs of a set by rung, then by age.
func sortedJobs(set map[*jobEntry]bool) []*jobEntry {
	list := slices.AppendSeq(make([]*jobEntry, 0, len(set)), maps.Keys(set))
	sort.Slice(list, func(i, j int) bool {
		a, b := list[i], list[j]
		return a.rank > b.rank || a.rank == b.rank && isOlderJob(a, b)
	})
	return list
}

func isOlderJob(a, b *jobEntry) bool { return ladder.Older(&a.rec, &b.rec) }
