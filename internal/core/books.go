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
type books struct {
	aims      aims.Aims
	room      *ledger.Book[*machine]
	order     *queue.Queue[*jobEntry]
	found     []ledger.Found[*machine] // kept for the next choice, as is cands
	cands     []placement.Candidate
	touched   []*machine
	jobsTouch []*jobEntry
	coming    map[*machine]bool      // held and not up, or not accounted for: may have room soon
	owed      map[*jobEntry]bool     // jobs with starts or their end to write
	behind    map[*jobEntry]bool     // jobs with progress to write
	hasty     map[*jobEntry]bool     // those of them whose machines will be gone, or are
	idlers    map[*machine]int       // machines with work that gives way to all other, and how many
	open      map[int]int            // by shard: inherited machines not accounted for
	waitsOn   map[string][]*jobEntry // machine -> jobs whose tasks may be on it, after a takeover
}

func newBooks(teams map[string]Team) books {
	guarantees := map[string]placement.Size{}
	for n, t := range teams {
		guarantees[n] = placement.Size{CPUs: t.CPUs, GPUs: t.GPUs}
	}
	return books{room: ledger.New[*machine](), order: queue.New[*jobEntry](guarantees), coming: map[*machine]bool{}, owed: map[*jobEntry]bool{},
		behind: map[*jobEntry]bool{}, hasty: map[*jobEntry]bool{}, idlers: map[*machine]int{}, open: map[int]int{}, waitsOn: map[string][]*jobEntry{}}
}

// touch has a machine's facts put anew before they are next asked for.
func (c *Core) touch(m *machine) {
	c.dirty = true
	if !m.touched {
		m.touched = true
		c.touched = append(c.touched, m)
	}
}

func (c *Core) touchBlock(id string) {
	if b := c.blocks[id]; b != nil {
		for _, bm := range b.rec.Machines {
			if m := c.machines[bm.Name]; m != nil {
				c.touch(m)
			}
		}
	}
}

// touchShard does so for all machines of a shard, or of all shards if it is negative.
func (c *Core) touchShard(i int) {
	for _, m := range c.heldMachines() {
		if i < 0 || m.shard == i {
			c.touch(m)
		}
	}
}

// touchJob has a job's place in the order, and what is to be written of it, made anew.
func (c *Core) touchJob(e *jobEntry) {
	c.dirty = true
	if !e.touched {
		e.touched = true
		c.jobsTouch = append(c.jobsTouch, e)
	}
}

// update brings the books up to date.
func (c *Core) update() {
	for _, m := range c.room.Silent(c.now - c.freshFor()) {
		c.touch(m)
	}
	for len(c.touched) > 0 { // a machine that became unusable gives tasks back
		list := c.touched
		c.touched = nil
		sort.Slice(list, func(i, j int) bool { return list[i].name < list[j].name })
		for _, m := range list {
			m.touched = false
			c.refreshMachine(m)
		}
	}
	list := c.jobsTouch
	c.jobsTouch = nil
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
		for _, k := range sortedAttempts(m) {
			if a := m.attempts[k]; !a.sent && a.status == "" {
				c.attemptGone(a, "its machine is not usable")
			}
		}
	}
	if m.drop || m.notice || m.silent {
		for _, a := range m.attempts {
			c.expediteEnd(a)
		}
	}
	x := c.sumOf(m)
	full, known := c.sizeOf(m.typ)
	n := x.unknown
	if m.inherited && !m.accounted {
		n++ // anything may run there, for any team
	}
	urgent, _ := c.reserve.Task(m.shard)
	f := ledger.Facts{Kind: ledger.Kind{Shard: m.shard, Type: m.typ, Zone: m.zone, Spot: m.spot, Opens: !m.base && len(m.attempts) == 0},
		Usable: usable, Free: c.unreservedFree(m), Uses: x.teams, Spare: c.urgentCapacity(m, urgent)}
	for range n {
		f.Unknown = f.Unknown.Add(full)
	}
	c.room.Put(m, m.name, f)
	if known && !m.drop && !m.notice && !m.over && (!m.reported || !m.accounted) {
		c.coming[m] = true
	} else {
		delete(c.coming, m)
	}
}

func (c *Core) refreshJob(e *jobEntry) {
	delete(c.owed, e)
	delete(c.behind, e)
	if e.run == nil || c.jobs[e.rec.ID] != e {
		c.order.Drop(e.rec.ID)
		return
	}
	j, run := &e.rec, e.run
	q := queue.Job{ID: j.ID, Team: j.Team, Accepted: j.ReadySince(), Number: j.Number, Rank: e.rank, Strict: j.Zone != "" || j.OneZone, Service: j.Shape == wire.ShapeService,
		Due: min(c.aims.Due(workOf(j)), c.crewDue(j.ID), e.due), Pressed: c.crewPressed(j.ID), Turn: aimLimits.Turn(workOf(j)), Estimate: j.EstimateS, Ask: jobSize(j), Rest: j.Tasks - run.done.Count(), Pending: c.trials(e),
		Begun: j.Started > 0 || run.next > 0}
	if c.health.Trial(j.ID) {
		q.Rest = min(q.Rest, 1) // it keeps no place of others
	}
	c.order.Put(e, q)
	_, ended, owes := c.owes(e)
	if owes {
		c.owed[e] = true
	}
	if !ended && run.done.Count() > c.durableDone(e).Count() {
		c.behind[e] = true
	}
}

var aimLimits = aims.Limits{CPUs: tuning.TurnCPUs, Horizon: tuning.IdleHorizon.Seconds(), Least: tuning.IdleLeast.Seconds(), Headroom: tuning.IdleHeadroom}

func workOf(j *wire.Job) aims.Work {
	due, ready := j.DueS, float64(j.ReadySince())/1000
	if due > 0 && j.ReadyMS > 0 { // it counts from the submission, all else from when the job could run
		due = max(math.SmallestNonzeroFloat64, due-ready+float64(j.AcceptedMS)/1000)
	}
	return aims.Work{Class: j.Class, Accepted: ready, DueS: due, CPUs: j.CPUs, Tasks: j.Tasks, Estimate: j.EstimateS}
}

// pending is how many tasks are to be started.
func (r *jobRun) pending(j *wire.Job) int { return len(r.retry) + j.Tasks - r.next }

// owes tells what of a job's starts and its end is to be written.
func (c *Core) owes(e *jobEntry) (started int, ended, owes bool) {
	run := e.run
	if run.done.Count() >= e.rec.Tasks {
		return 0, true, true
	}
	started = max(e.rec.Started, run.next)
	if ahead := max(tuning.StartAhead, tuning.AheadTimes*len(run.active)); e.rec.Started-run.next < ahead/2 && run.next > 0 {
		started = max(started, min(e.rec.Tasks, run.next+ahead))
	}
	return started, false, started > e.rec.Started || c.placementChanged(e) || c.badNews(e)
}

// judge decides anew, now and then, which jobs are late.
func (c *Core) judge() {
	if !c.every("judge", tuning.JudgeEvery) {
		return
	}
	have := c.shardCPUs()
	c.order.Judge(float64(c.wall.UnixMilli())/1000, tuning.BeginAfter.Seconds(), func(team string) float64 {
		t := c.p.Teams[team]
		return min(t.CPUsMax, max(have[c.shardOf(team)], t.CPUs))
	})
}

// sortedJobs lists jobs of a set by rung, then by age.
func sortedJobs(set map[*jobEntry]bool) []*jobEntry {
	list := slices.AppendSeq(make([]*jobEntry, 0, len(set)), maps.Keys(set))
	sort.Slice(list, func(i, j int) bool {
		a, b := list[i], list[j]
		return a.rank > b.rank || a.rank == b.rank && olderJob(a, b)
	})
	return list
}

func olderJob(a, b *jobEntry) bool { return ladder.Older(&a.rec, &b.rec) }
