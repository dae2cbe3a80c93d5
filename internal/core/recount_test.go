package core

import (
	"fmt"
	"math"
	"slices"
	"sort"

	"github.com/google/go-cmp/cmp"
	"github.com/google/go-cmp/cmp/cmpopts"

	"github.com/barrowbridge/barrowbridge/internal/ledger"
	"github.com/barrowbridge/barrowbridge/internal/placement"
	"github.com/barrowbridge/barrowbridge/internal/queue"
	"github.com/barrowbridge/barrowbridge/internal/ranges"
	"github.com/barrowbridge/barrowbridge/internal/reportsize"
	"github.com/barrowbridge/barrowbridge/internal/tuning"
	"github.com/barrowbridge/barrowbridge/wire"
)

// recount computes from scratch, with a simple implementation, what the cores maintain
// incrementally, and fails the test if the results differ.
func (w *world) recount() {
	for _, name := range sortedKeys(w.nodes) {
		c := w.nodes[name].core
		if c == nil {
			continue
		}
		c.refreshIndexes()
		w.recountCapacity(name, c)
		w.recountOrder(name, c)
		in, toDelete, home := map[string]string{}, map[string]bool{}, map[string]int{}
		for _, id := range sortedKeys(c.blocks) {
			for _, bm := range c.blocks[id].record.Machines {
				in[bm.Name] = id
				if bm.Drop {
					toDelete[bm.Name] = true
				}
			}
		}
		for i := len(c.shards) - 1; i >= 0; i-- {
			for _, t := range c.shards[i].record.Teams {
				home[t] = i
			}
		}
		use, onTask := map[string]placement.Size{}, map[string]int{}
		for _, mn := range sortedKeys(c.machines) {
			m := c.machines[mn]
			free, _ := c.machineSize(m.machineType)
			free.ReportBytes = float64(reportsize.Limit - m.reportHeader)
			unknown := m.inherited && !m.accounted
			for _, k := range sortedAttemptKeys(m) {
				a := m.attempts[k]
				onTask[k.task]++
				if a.status == wire.TaskEnded {
					free.ReportBytes -= a.reportBytes()
					continue
				}
				if !a.sizeKnown {
					free, unknown = placement.Size{CPUs: -100}, true
					continue
				}
				free = free.Sub(a.size)
				use[a.team] = use[a.team].Add(a.size)
			}
			if free.CPUs < -50 {
				free = placement.Size{}
			}
			w.same(name+" free "+mn, free, c.freeCapacity(m), cmpopts.EquateApprox(0, 1e-9))
			if unknown {
				use = nil // the whole machine counts as used; see usageOf
				break
			}
		}
		if use != nil {
			got := c.plainUsage()
			for t := range w.teams {
				w.same(name+" usage of "+t, use[t], got[t], cmpopts.EquateApprox(0, 1e-9))
			}
			tasks := map[string]int{}
			for t, list := range c.attemptsByTask {
				tasks[t] = len(list)
			}
			w.same(name+" attempts by task", onTask, tasks)
		}
		w.same(name+" blocks of machines", in, c.blockOfMachine)
		w.same(name+" machines to delete", toDelete, c.markedForDeletion)
		w.same(name+" shards of teams", home, c.teamShards)
		w.same(name+" blocks", sortedKeys(c.blocks), c.blockIDs(), cmpopts.EquateEmpty())
		w.same(name+" jobs", len(c.jobs), len(c.jobsByAge()))
		w.same(name+" machines", len(c.machines), len(c.heldMachines()))
	}
}

// recountCapacity compares the capacity ledger, and other data derived from the machines, with the
// machines.
func (w *world) recountCapacity(name string, c *Core) {
	used, spare, open, most, coming := c.plainUsage(), map[int]int{}, map[int]int{}, map[int]placement.Size{}, map[string]bool{}
	for _, m := range c.heldMachines() {
		f, ok := c.capacity.Get(m)
		if !ok {
			w.t.Fatalf("%v: %s: %s is not in the ledger", w.now, name, m.name)
		}
		w.same(name+" usable "+m.name, c.usable(m), f.Usable)
		w.same(name+" free capacity of "+m.name, c.unreservedFree(m), f.Free, cmpopts.EquateApprox(0, 1e-9))
		w.same(name+" kind of "+m.name, ledger.Kind{Shard: m.shard, Type: m.machineType, Zone: m.zone, Spot: m.spot, EmptyRental: !m.base && len(m.attempts) == 0}, f.Kind)
		if c.usable(m) {
			if s := most[m.shard]; !reportsize.Full(c.freeCapacity(m)) {
				most[m.shard] = placement.Size{CPUs: max(s.CPUs, f.Free.CPUs), GPUs: max(s.GPUs, f.Free.GPUs), MemGB: max(s.MemGB, f.Free.MemGB),
					ReportBytes: max(s.ReportBytes, f.Free.ReportBytes)}
			}
			if !m.spot {
				urgent, _ := c.urgentReserve.TaskSize(m.shard)
				spare[m.shard] += c.urgentCapacity(m, urgent)
			}
		}
		if m.inherited && !m.accounted {
			open[m.shard]++
		}
		if !m.returning && !m.terminationNotice && !m.leaseOver && (!m.reported || !m.accounted) {
			coming[m.name] = true
		}
	}
	for t := range w.teams {
		w.same(name+" used by "+t, used[t], c.capacity.Used(t, c.shardOfTeam(t)), cmpopts.EquateApprox(0, 1e-6))
	}
	for _, i := range c.shardIDs() {
		w.same(name+" urgent slots", spare[i], c.capacity.UrgentSlots(i))
		w.same(name+" largest free capacity", most[i], c.capacity.MaxFree(i))
		w.same(name+" machines not accounted for", open[i], c.unaccountedMachines[i])
		newest, cpus := uint64(0), 0.0
		for _, b := range c.blocks {
			if b.record.Shard == i {
				newest, cpus = max(newest, b.version), cpus+c.blockCPUs(&b.record)
			}
		}
		w.same(name+" newest block", newest, c.latestBlockRevision(i))
		w.same(name+" CPUs of a shard", cpus, c.shardCPUs()[i], cmpopts.EquateApprox(0, 1e-9))
	}
	got := map[string]bool{}
	for m := range c.comingMachines {
		got[m.name] = true
	}
	w.same(name+" coming machines", coming, got)
}

// recountOrder compares the job queue with a newly sorted one, and the sets of jobs with pending
// writes with the jobs.
func (w *world) recountOrder(name string, c *Core) {
	delete(c.notBefore, "judge")
	c.refreshLateness()
	var want, got []string
	for _, p := range c.plainQueue() {
		want = append(want, fmt.Sprint(p.e.record.ID, " ", p.pending, " ", p.within, " ", p.late, " ", p.overdue))
	}
	c.jobQueue.Walk(unlimitedCapacity, func(p *queue.Entry[*jobEntry]) bool {
		got = append(got, fmt.Sprint(p.Job.ID, " ", p.Job.Pending, " ", p.WithinGuarantee, " ", p.Late, " ", p.Overdue))
		return true
	})
	w.same(name+" job queue", want, got)
	pendingWrites, pendingProgress := map[string]bool{}, map[string]bool{}
	for _, e := range c.jobsByAge() {
		if e.run == nil {
			continue
		}
		_, ended, pending := c.unwrittenStarts(e)
		if pending {
			pendingWrites[e.record.ID] = true
		}
		if !ended && e.run.done.Count() > ranges.Count(e.record.Done) {
			pendingProgress[e.record.ID] = true
		}
	}
	ids := func(set map[*jobEntry]bool) map[string]bool {
		out := map[string]bool{}
		for e := range set {
			out[e.record.ID] = true
		}
		return out
	}
	w.same(name+" jobs with starts or ends to write", pendingWrites, ids(c.pendingWrites))
	w.same(name+" jobs with progress to write", pendingProgress, ids(c.pendingProgress))
}

func (w *world) same(what string, want, got any, opts ...cmp.Option) {
	if diff := cmp.Diff(want, got, opts...); diff != "" {
		w.t.Fatalf("%v: %s: computed from scratch (-), maintained (+):\n%s", w.now, what, diff)
	}
}

// plainUsage returns an upper bound of what each team's tasks use now. Each team belongs to one
// shard and runs on that shard's machines only, so that a takeover of a shard leaves no tasks
// uncounted.
func (c *Core) plainUsage() map[string]placement.Size {
	u := map[string]placement.Size{}
	unknownUsage := map[int]placement.Size{}
	for _, m := range c.heldMachines() {
		x := c.usageOf(m)
		n := x.unknownAttempts
		if m.inherited && !m.accounted {
			n++ // unknown tasks of any team may run there
		}
		if n > 0 {
			full, _ := c.machineSize(m.machineType)
			for range n {
				unknownUsage[m.shard] = unknownUsage[m.shard].Add(full)
			}
		}
		for _, t := range x.teams {
			u[t.Team] = u[t.Team].Add(t.Size)
		}
	}
	if len(unknownUsage) > 0 {
		for team := range c.params.Teams {
			u[team] = u[team].Add(unknownUsage[c.shardOfTeam(team)])
		}
	}
	return u
}

// plainInherited returns the priority, tier rank and due time that a job inherits from the jobs
// that depend on it, directly or indirectly.
func (c *Core) plainInherited(id string) (prio, rank int, due float64) {
	prio, rank, due = -1, -1, math.Inf(1)
	for _, e := range c.waitingJobs {
		if slices.Contains(e.record.Predecessors, id) {
			p, r, d := c.plainInherited(e.record.ID)
			own := c.dependencies.OwnRequirement(e.record.ID)
			prio, rank, due = max(prio, own.Priority, p), max(rank, own.TierRank, r), min(due, min(own.Due, d)-own.DurationSeconds)
		}
	}
	return prio, rank, due
}

// plainlyRanked reports whether a job has the priority and tier rank that follow from the jobs
// that depend on it: their tier if the slack is small, and at most that of normal work before.
// The slack is estimated only every few seconds, so near the limit both are correct.
func (c *Core) plainlyRanked(e *jobEntry, prio, rank int, due float64) bool {
	as := e.record
	as.Priority = "normal"
	own, base := wire.PriorityRank(e.record.Priority), c.tierOrder.Rank(&e.record)
	little := e.priority == max(own, prio) && e.rank == max(base, rank)
	much := e.priority == max(own, min(prio, 1)) && e.rank == max(base, min(rank, c.tierOrder.Rank(&as)))
	if prio <= own {
		much = little
	}
	late := tuning.ChainEstimateInterval.Seconds() + 1
	switch slack := due - c.demandOf(&e.record).DurationSeconds - float64(c.wall.UnixMilli())/1000 - tuning.MinChainSlack.Seconds(); {
	case slack > late:
		return much
	case slack < -late:
		return little
	}
	return little || much
}

// placing is one job of the queue.
type placing struct {
	e       *jobEntry
	within  bool
	due     float64 // wall time in seconds; +Inf without a deadline
	work    float64 // CPU seconds left
	strict  int
	pending int
	late    bool // given up: it could be on time only if more other jobs were late
	overdue bool // has waited too long for its first task
}

// plainQueue lists this controller's jobs with tasks to start, in the order in which they are
// placed: tier rank, jobs that have waited too long for their first task, work within the team's
// guarantee, the strictest placement constraint (Pogonip's order), jobs that can be on time,
// deadline, age.
func (c *Core) plainQueue() []placing {
	var q []placing
	demand := map[string]placement.Size{}
	jobs := c.jobsByAge()
	byTeam := map[string][]*placing{}
	services := map[string]float64{}
	all := make([]placing, 0, len(jobs))
	waiting := 0
	for _, e := range jobs {
		if e.run == nil {
			continue
		}
		rest := e.record.Tasks - e.run.done.Count()
		pending := len(e.run.retryIndexes) + e.record.Tasks - e.run.nextIndex
		if c.taskHealth.OnTrial(e.record.ID) { // counts as one task, and only one runs at a time
			rest = min(rest, 1)
			if e.record.Shape != wire.ShapeGang {
				pending = min(pending, max(0, 1-len(e.run.active)))
			}
		}
		team := c.params.Teams[e.record.Team]
		d := demand[e.record.Team]
		s := jobSize(&e.record)
		d = d.Add(placement.Size{CPUs: s.CPUs * float64(rest), GPUs: s.GPUs * float64(rest)})
		demand[e.record.Team] = d
		p := placing{e: e, pending: pending, due: math.Inf(1)}
		p.within = d.CPUs <= team.CPUs+1e-6 && d.GPUs <= team.GPUs+1e-6
		p.work = float64(rest) * e.record.EstimateS * s.CPUs
		if e.record.DueS > 0 {
			p.due = float64(e.record.AcceptedMS)/1000 + e.record.DueS
			if ready := float64(e.record.ReadyMS) / 1000; ready > 0 { // the same operations as in objectiveWork, so that rounding is identical
				p.due = ready + max(math.SmallestNonzeroFloat64, e.record.DueS-ready+float64(e.record.AcceptedMS)/1000)
			}
		}
		prio, rank, due := c.plainInherited(e.record.ID)
		p.due = min(p.due, due)
		if !c.plainlyRanked(e, prio, rank, due) {
			p.strict = -1 // makes the comparison fail
		}
		if e.record.Zone != "" || e.record.OneZone {
			p.strict = 1
		}
		if e.record.Shape == wire.ShapeService {
			services[e.record.Team] += s.CPUs * float64(rest)
		}
		if p.pending > 0 {
			waiting++
		}
		all = append(all, p)
	}
	if waiting == 0 {
		return nil
	}
	for i := range all {
		if p := &all[i]; !math.IsInf(p.due, 1) {
			byTeam[p.e.record.Team] = append(byTeam[p.e.record.Team], p)
		}
	}
	have := c.shardCPUs()
	now := float64(c.wall.UnixMilli()) / 1000
	for _, team := range sortedKeys(byTeam) {
		t := c.params.Teams[team]
		markLate(byTeam[team], now, max(1, min(t.CPUsMax, max(have[c.shardOfTeam(team)], t.CPUs))-services[team]))
	}
	for _, p := range all {
		if p.pending > 0 {
			p.overdue = p.e.record.Started == 0 && p.e.run.nextIndex == 0 && float64(p.e.record.ReadySince())/1000 <= now-tuning.FirstTaskWait.Seconds()
			q = append(q, p)
		}
	}
	sort.SliceStable(q, func(i, j int) bool {
		a, b := q[i], q[j]
		switch {
		case a.e.rank != b.e.rank:
			return a.e.rank > b.e.rank
		case a.overdue != b.overdue:
			return a.overdue
		case a.within != b.within:
			return a.within
		case a.strict != b.strict:
			return a.strict > b.strict
		case a.late != b.late:
			return !a.late
		case a.late && a.work != b.work:
			return a.work < b.work
		case a.due != b.due:
			return a.due < b.due
		case turn(a.e) != turn(b.e):
			return turn(a.e) < turn(b.e)
		}
		return false // already sorted by age
	})
	return q
}

// turn returns the sort key of jobs that are due at the same time: smaller jobs go before larger
// ones that are not much older.
func turn(e *jobEntry) float64 {
	return float64(e.record.ReadySince())/1000 + float64(e.record.Tasks)*e.record.EstimateS*e.record.CPUs/tuning.ReferenceCPUs
}

// markLate marks the jobs of one team that are given up, so that as many others as possible are
// on time (the algorithm of Moore and Hodgson): it goes through the jobs in order of their
// deadlines, and whenever one would be late, it drops the largest so far. If jobs simply ran in
// order of their deadlines, one hopeless job would make all later ones late.
func markLate(ps []*placing, now, cpus float64) {
	sort.SliceStable(ps, func(i, j int) bool {
		if ps[i].due != ps[j].due {
			return ps[i].due < ps[j].due
		}
		return turn(ps[i].e) < turn(ps[j].e)
	})
	var kept []*placing
	t := now
	for _, p := range ps {
		if now+p.e.record.EstimateS > p.due && p.pending > 0 {
			p.late = true
			continue
		}
		kept = append(kept, p)
		t += p.work / cpus
		if t <= p.due {
			continue
		}
		k := 0
		for i, o := range kept {
			if o.work > kept[k].work {
				k = i
			}
		}
		kept[k].late = true
		t -= kept[k].work / cpus
		kept = append(kept[:k], kept[k+1:]...)
	}
}
