// Package queue keeps the order in which waiting jobs are served: rung (package tiers), the first task
// of a job that has waited too long for it, work within its team's guarantee, the strictest closeness (Pogonip's order), what can
// still be on time, deadline, age. The order is kept up job by job and is never
// sorted anew, and a walk skips what fits nowhere without looking at each.
//
// A queue is a plain structure: no clock, no I/O, not for concurrent use.
package queue

import (
	"container/heap"
	"math"
	"slices"

	"github.com/google/btree"

	"github.com/barrowbridge/barrowbridge/internal/placement"
)

// Job is what the order hangs on.
type Job struct {
	ID            string
	Team          string
	AcceptedMS    int64  // milliseconds of the day's time: its age
	Number        uint64 // its age: orders jobs, and before the time if it is written
	Rank          int    // of its rung, higher first
	ZoneBound     bool   // bound to one zone
	Service       bool
	Due           float64        // seconds of the day's time; +Inf without a deadline
	VirtualFinish float64        // orders those that are due at the same time, or never; lower first
	EstimateS     float64        // seconds of one task
	TaskSize      placement.Size // of one task
	Unfinished    int            // tasks not done
	Pending       int            // tasks to start; 0: it only counts against its team's guarantee
	Pressed       bool           // a departure leaves it no slack: it goes before other work of its rung
	Started       bool           // a task of it has been started, as far as records tell
}

func (j *Job) demand() placement.Size {
	n := float64(j.Unfinished)
	return placement.Size{CPUs: j.TaskSize.CPUs * n, GPUs: j.TaskSize.GPUs * n}
}

// work is the CPU seconds left.
func (j *Job) workLeft() float64 { return float64(j.Unfinished) * j.EstimateS * j.TaskSize.CPUs }

// Place is a job with its place in the order. H is the owner's handle of a job.
type Entry[H any] struct {
	Handle          H
	Job             Job
	WithinGuarantee bool // its team's unfinished jobs up to this one fit into the guarantee
	Late            bool // cannot be on time without making more jobs late
	// Overdue: it has waited too long for its first task, which goes ahead; the others do not.
	Overdue bool
	node    *node[H]
}

// Queue is the order of one controller's jobs.
type Queue[H any] struct {
	guarantees map[string]placement.Size // by team
	jobs       map[string]*Entry[H]
	teams      map[string]*team[H]
	teamNames  []string // of teams, in order
}

// team holds the jobs of one team: all by age, with the boundary of its guarantee, and
// those that wait in the order they are served.
type team[H any] struct {
	guarantee    placement.Size
	byAge        *btree.BTreeG[*Entry[H]]
	lastWithin   *Entry[H] // the youngest within the guarantee; nil: none
	withinDemand placement.Size
	withinCount  int
	serviceCPUs  float64 // CPUs of services
	serviceTasks int     // services
	byDue        *btree.BTreeG[*Entry[H]]
	waiting      tree[H]
}

// New returns an empty queue. Jobs of teams it does not know are never within a guarantee.
func New[H any](guarantees map[string]placement.Size) *Queue[H] {
	return &Queue[H]{guarantees: guarantees, jobs: map[string]*Entry[H]{}, teams: map[string]*team[H]{}}
}

func older[H any](a, b *Entry[H]) bool {
	if a.Job.Number != b.Job.Number {
		return a.Job.Number < b.Job.Number
	}
	if a.Job.AcceptedMS != b.Job.AcceptedMS {
		return a.Job.AcceptedMS < b.Job.AcceptedMS
	}
	return a.Job.ID < b.Job.ID
}

func dueBefore[H any](a, b *Entry[H]) bool {
	if a.Job.Due != b.Job.Due {
		return a.Job.Due < b.Job.Due
	}
	if a.Job.VirtualFinish != b.Job.VirtualFinish {
		return a.Job.VirtualFinish < b.Job.VirtualFinish
	}
	return older(a, b)
}

// before is the order in which jobs are served.
func servedBefore[H any](a, b *Entry[H]) bool {
	switch {
	case a.Job.Rank != b.Job.Rank:
		return a.Job.Rank > b.Job.Rank
	case a.Overdue != b.Overdue:
		return a.Overdue
	case a.Job.Pressed != b.Job.Pressed:
		return a.Job.Pressed
	case a.WithinGuarantee != b.WithinGuarantee:
		return a.WithinGuarantee
	case a.Job.ZoneBound != b.Job.ZoneBound:
		return a.Job.ZoneBound
	case a.Late != b.Late:
		return !a.Late
	case a.Late && a.Job.workLeft() != b.Job.workLeft():
		return a.Job.workLeft() < b.Job.workLeft()
	}
	return dueBefore(a, b)
}

func (q *Queue[H]) team(name string) *team[H] {
	t := q.teams[name]
	if t == nil {
		t = &team[H]{guarantee: q.guarantees[name], byAge: btree.NewG(16, older[H]), byDue: btree.NewG(16, dueBefore[H])}
		q.teams[name] = t
		i, _ := slices.BinarySearch(q.teamNames, name)
		q.teamNames = slices.Insert(q.teamNames, i, name)
	}
	return t
}

// Put adds a job or replaces what is known of it.
func (q *Queue[H]) Put(handle H, job Job) {
	if entry := q.jobs[job.ID]; entry != nil {
		if entry.Job == job {
			return
		}
		if entry.Job.Team == job.Team && entry.Job.AcceptedMS == job.AcceptedMS && entry.Job.Number == job.Number && entry.Job.Due == job.Due && entry.Job.VirtualFinish == job.VirtualFinish && entry.Job.Service == job.Service {
			q.updateRemaining(entry, job)
			return
		}
		q.Remove(job.ID)
	}
	t := q.team(job.Team)
	entry := &Entry[H]{Handle: handle, Job: job}
	q.jobs[job.ID] = entry
	t.byAge.ReplaceOrInsert(entry)
	t.setByDue(entry, true)
	t.addService(&job, 1)
	if t.lastWithin != nil && older(entry, t.lastWithin) {
		entry.WithinGuarantee = true
		t.withinDemand, t.withinCount = t.withinDemand.Add(job.demand()), t.withinCount+1
	}
	t.moveBoundary()
	t.enqueue(entry)
}

// amend changes how much is left and waits; a job's place by age and deadline stays.
func (q *Queue[H]) updateRemaining(entry *Entry[H], job Job) {
	t := q.team(job.Team)
	t.dequeue(entry)
	t.addService(&entry.Job, -1)
	if entry.WithinGuarantee {
		t.withinDemand = t.withinDemand.Sub(entry.Job.demand()).Add(job.demand())
	}
	entry.Job = job
	entry.Overdue = entry.Overdue && !job.Started
	t.addService(&job, 1)
	t.moveBoundary()
	t.enqueue(entry)
}

// Drop forgets a job.
func (q *Queue[H]) Remove(id string) {
	entry := q.jobs[id]
	if entry == nil {
		return
	}
	delete(q.jobs, id)
	t := q.team(entry.Job.Team)
	t.dequeue(entry)
	t.addService(&entry.Job, -1)
	if entry.WithinGuarantee {
		t.withinDemand, t.withinCount = t.withinDemand.Sub(entry.Job.demand()), t.withinCount-1
		if entry == t.lastWithin {
			t.lastWithin = t.neighbor(entry, false)
		}
		if t.withinCount == 0 {
			t.withinDemand, t.lastWithin = placement.Size{}, nil // rounding ends here
		}
	}
	t.byAge.Delete(entry)
	t.setByDue(entry, false)
	t.moveBoundary()
}

func (t *team[H]) addService(job *Job, sign int) {
	if !job.Service {
		return
	}
	if t.serviceTasks += sign * job.Unfinished; t.serviceTasks == 0 {
		t.serviceCPUs = 0
	} else {
		t.serviceCPUs += float64(sign*job.Unfinished) * job.TaskSize.CPUs
	}
}

func (t *team[H]) setByDue(entry *Entry[H], in bool) {
	if math.IsInf(entry.Job.Due, 1) {
		return
	}
	if in {
		t.byDue.ReplaceOrInsert(entry)
	} else {
		t.byDue.Delete(entry)
	}
}

// wait puts a job among those that wait, leave takes it out; its place in the order
// must not change in between.
func (t *team[H]) enqueue(entry *Entry[H]) {
	if entry.Job.Pending > 0 && entry.node == nil {
		entry.node = t.waiting.insert(entry)
	}
}

func (t *team[H]) dequeue(entry *Entry[H]) {
	if entry.node != nil {
		t.waiting.remove(entry)
		entry.node = nil
	}
}

// next is the neighbour by age, younger or older; nil: none.
func (t *team[H]) neighbor(entry *Entry[H], younger bool) (found *Entry[H]) {
	visit := func(other *Entry[H]) bool {
		if other == entry {
			return true
		}
		found = other
		return false
	}
	if younger {
		t.byAge.AscendGreaterOrEqual(entry, visit)
	} else {
		t.byAge.DescendLessOrEqual(entry, visit)
	}
	return found
}

const eps = 1e-6

func fits(size, limit placement.Size) bool {
	return size.CPUs <= limit.CPUs+eps && size.GPUs <= limit.GPUs+eps
}

// settle moves the boundary of the guarantee. Sums over jobs by age only grow, so what
// is within is always the oldest jobs up to some one.
func (t *team[H]) moveBoundary() {
	for t.lastWithin != nil && !fits(t.withinDemand, t.guarantee) {
		entry := t.lastWithin
		t.lastWithin = t.neighbor(entry, false)
		t.withinDemand, t.withinCount = t.withinDemand.Sub(entry.Job.demand()), t.withinCount-1
		t.setWithin(entry, false)
	}
	if t.lastWithin == nil {
		t.withinDemand, t.withinCount = placement.Size{}, 0
	}
	for {
		var entry *Entry[H]
		if t.lastWithin != nil {
			entry = t.neighbor(t.lastWithin, true)
		} else if oldest, ok := t.byAge.Min(); ok {
			entry = oldest
		}
		if entry == nil || !fits(t.withinDemand.Add(entry.Job.demand()), t.guarantee) {
			return
		}
		t.lastWithin = entry
		t.withinDemand, t.withinCount = t.withinDemand.Add(entry.Job.demand()), t.withinCount+1
		t.setWithin(entry, true)
	}
}

func (t *team[H]) setWithin(entry *Entry[H], within bool) {
	t.dequeue(entry)
	entry.WithinGuarantee = within
	t.enqueue(entry)
}

// Judge decides anew which jobs of each team are late, where anything has changed, and
// which are overdue: accepted more than begin seconds ago, and not begun. now is in seconds
// of the day's time, cpus what a team can use for its batches.
func (q *Queue[H]) UpdateDeadlines(nowS, startWithinS float64, cpus func(team string) float64) {
	for _, name := range q.teamNames {
		t := q.teams[name]
		t.updateOverdue(nowS - startWithinS)
		if t.byDue.Len() == 0 {
			continue
		}
		t.updateLate(nowS, max(1, cpus(name)-t.serviceCPUs))
	}
}

// overdue marks the jobs accepted before a time that have not begun. Those that cannot be on
// time go last, the largest of them after all others; without a bound one waited for seven
// minutes while younger work kept coming. One task each goes ahead, so the others lose little.
func (t *team[H]) updateOverdue(acceptedUntilS float64) {
	var changed []*Entry[H]
	t.byAge.Ascend(func(entry *Entry[H]) bool {
		if float64(entry.Job.AcceptedMS)/1000 <= acceptedUntilS && !entry.Job.Started && !entry.Overdue && entry.Job.Pending > 0 {
			changed = append(changed, entry)
		}
		return true
	})
	for _, entry := range changed {
		t.dequeue(entry)
		entry.Overdue = true
		t.enqueue(entry)
	}
}

// judge gives up being on time for as few jobs as possible (Moore and Hodgson): in
// order of deadline, and whenever one would be late, the largest so far is left out.
// Plain order of deadline lets one hopeless job make all after it late.
func (t *team[H]) updateLate(nowS, cpus float64) {
	var onTime workHeap[H]
	late := map[*Entry[H]]bool{}
	finishS := nowS
	t.byDue.Ascend(func(entry *Entry[H]) bool {
		if nowS+entry.Job.EstimateS > entry.Job.Due && entry.Job.Pending > 0 {
			late[entry] = true
			return true
		}
		heap.Push(&onTime, entry)
		if finishS += entry.Job.workLeft() / cpus; finishS > entry.Job.Due {
			largest := heap.Pop(&onTime).(*Entry[H])
			late[largest] = true
			finishS -= largest.Job.workLeft() / cpus
		}
		return true
	})
	var changed []*Entry[H]
	t.byDue.Ascend(func(entry *Entry[H]) bool {
		if entry.Late != late[entry] {
			changed = append(changed, entry)
		}
		return true
	})
	for _, entry := range changed {
		t.dequeue(entry)
		entry.Late = !entry.Late
		t.enqueue(entry)
	}
}

// Len is how many jobs wait.
func (q *Queue[H]) Len() int {
	n := 0
	for _, t := range q.teams {
		n += t.waiting.len
	}
	return n
}

// Of returns a job's place; nil: not known.
func (q *Queue[H]) Get(id string) *Entry[H] { return q.jobs[id] }

// Walk calls f with the waiting jobs in the order they are served. room is asked anew
// for each step what a job of the team may find at the most; jobs that ask for more
// are skipped without a look at each. f may place tasks, but must not put or drop
// jobs; it says whether to go on.
func (q *Queue[H]) Walk(freeFor func(team string) placement.Size, visit func(*Entry[H]) bool) {
	heads := make([]*Entry[H], 0, len(q.teamNames))
	for _, name := range q.teamNames {
		if entry := q.teams[name].waiting.first(freeFor(name)); entry != nil {
			heads = append(heads, entry)
		}
	}
	for len(heads) > 0 {
		next := 0
		for i := range heads {
			if servedBefore(heads[i], heads[next]) {
				next = i
			}
		}
		entry := heads[next]
		// Room has shrunk since this head was found.
		if free := freeFor(entry.Job.Team); !placement.Fits(free, entry.Job.TaskSize) {
			if following := q.teams[entry.Job.Team].waiting.after(entry, free); following != nil {
				heads[next] = following
			} else {
				heads = slices.Delete(heads, next, next+1)
			}
			continue
		}
		if !visit(entry) {
			return
		}
		if following := q.teams[entry.Job.Team].waiting.after(entry, freeFor(entry.Job.Team)); following != nil {
			heads[next] = following
		} else {
			heads = slices.Delete(heads, next, next+1)
		}
	}
}

// largest is a heap of jobs, the most work on top.
type workHeap[H any] []*Entry[H]

func (h workHeap[H]) Len() int { return len(h) }
func (h workHeap[H]) Less(i, j int) bool {
	if a, b := h[i].Job.workLeft(), h[j].Job.workLeft(); a != b {
		return a > b
	}
	return dueBefore(h[i], h[j])
}
func (h workHeap[H]) Swap(i, j int) { h[i], h[j] = h[j], h[i] }
func (h *workHeap[H]) Push(x any)   { *h = append(*h, x.(*Entry[H])) }
func (h *workHeap[H]) Pop() any {
	old := *h
	x := old[len(old)-1]
	*h = old[:len(old)-1]
	return x
}
