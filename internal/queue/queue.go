// Package queue keeps waiting jobs in the order in which they are served. The order is, most
// significant first: tier (package tiers); the first task of a job that has waited too long for it;
// jobs that a departure leaves no slack; work within its team's guarantee; jobs bound to one zone
// before others (Pogonip's order of strictness); jobs that can still be on time; deadline; age. The
// order is updated job by job and never sorted anew, and a walk skips jobs that fit nowhere without
// visiting each of them.
//
// A queue has no clock and no I/O, and is not safe for concurrent use.
package queue

import (
	"container/heap"
	"math"
	"slices"

	"github.com/google/btree"

	"github.com/barrowbridge/barrowbridge/internal/placement"
)

// Job is what the order depends on of a job.
type Job struct {
	ID            string
	Team          string
	AcceptedMS    int64  // its age, in milliseconds of wall-clock time
	Number        uint64 // its age, where one was written; compared before AcceptedMS
	Rank          int    // of its tier, higher first
	ZoneBound     bool   // has to run in one zone
	Service       bool
	Due           float64        // seconds of wall-clock time; +Inf without a deadline
	VirtualFinish float64        // orders jobs that are due at the same time, or never; lower first
	EstimateS     float64        // of one task
	TaskSize      placement.Size // of one task
	Unfinished    int            // tasks not done
	Pending       int            // tasks to start; 0: it only counts against its team's guarantee
	Pressed       bool           // a departure leaves it no slack: it is served before other work of its tier
	Started       bool           // one of its tasks has been started, as far as the records show
}

// demand returns what the unfinished tasks count against the guarantee: CPUs and GPUs.
func (j *Job) demand() placement.Size {
	n := float64(j.Unfinished)
	return placement.Size{CPUs: j.TaskSize.CPUs * n, GPUs: j.TaskSize.GPUs * n}
}

// workLeft returns the CPU seconds of the unfinished tasks.
func (j *Job) workLeft() float64 { return float64(j.Unfinished) * j.EstimateS * j.TaskSize.CPUs }

// Entry is a job with what determines its position in the order. H is the caller's handle of a job.
type Entry[H any] struct {
	Handle          H
	Job             Job
	WithinGuarantee bool // its team's unfinished jobs up to this one, by age, fit into the guarantee
	Late            bool // cannot be on time without making more jobs late
	// Overdue is whether the job has waited too long for its first task. That task goes ahead, the
	// others do not.
	Overdue bool
	node    *node[H]
}

// Queue is the order of one controller's jobs.
type Queue[H any] struct {
	guarantees map[string]placement.Size // by team
	jobs       map[string]*Entry[H]
	teams      map[string]*team[H]
	teamNames  []string // sorted
}

// team holds the jobs of one team: all of them by age, with the boundary of its guarantee, and the
// waiting ones in the order in which they are served.
type team[H any] struct {
	guarantee    placement.Size
	byAge        *btree.BTreeG[*Entry[H]]
	lastWithin   *Entry[H] // the youngest job within the guarantee; nil if there is none
	withinDemand placement.Size
	withinCount  int
	serviceCPUs  float64 // used by unfinished services
	serviceTasks int     // unfinished tasks of services
	byDue        *btree.BTreeG[*Entry[H]]
	waiting      tree[H]
}

// New returns an empty queue. Jobs of teams without a guarantee are never within one.
func New[H any](guarantees map[string]placement.Size) *Queue[H] {
	return &Queue[H]{guarantees: guarantees, jobs: map[string]*Entry[H]{}, teams: map[string]*team[H]{}}
}

// older reports whether a comes before b by age.
func older[H any](a, b *Entry[H]) bool {
	if a.Job.Number != b.Job.Number {
		return a.Job.Number < b.Job.Number
	}
	if a.Job.AcceptedMS != b.Job.AcceptedMS {
		return a.Job.AcceptedMS < b.Job.AcceptedMS
	}
	return a.Job.ID < b.Job.ID
}

// dueBefore reports whether a comes before b by deadline, then by virtual finish and age.
func dueBefore[H any](a, b *Entry[H]) bool {
	if a.Job.Due != b.Job.Due {
		return a.Job.Due < b.Job.Due
	}
	if a.Job.VirtualFinish != b.Job.VirtualFinish {
		return a.Job.VirtualFinish < b.Job.VirtualFinish
	}
	return older(a, b)
}

// servedBefore reports whether a is served before b.
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

// team returns the jobs of a team, and adds the team if it is not known yet.
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

// Put adds a job or replaces its data.
func (q *Queue[H]) Put(handle H, job Job) {
	if entry := q.jobs[job.ID]; entry != nil {
		if entry.Job == job {
			return
		}
		if entry.Job.Team == job.Team &&
			entry.Job.AcceptedMS == job.AcceptedMS &&
			entry.Job.Number == job.Number &&
			entry.Job.Due == job.Due &&
			entry.Job.VirtualFinish == job.VirtualFinish &&
			entry.Job.Service == job.Service {
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

// updateRemaining changes what is unfinished and pending of a job. Its position by age and by
// deadline stays the same.
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

// Remove removes a job.
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
			t.withinDemand, t.lastWithin = placement.Size{}, nil // drops accumulated rounding errors
		}
	}
	t.byAge.Delete(entry)
	t.setByDue(entry, false)
	t.moveBoundary()
}

// addService adds the unfinished tasks of a service to the sums of the team if sign is 1, and subtracts
// them if sign is -1. The sum of CPUs is reset at zero tasks, so that rounding errors do not accumulate.
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

// setByDue adds a job to the index by deadline, or removes it. Jobs without a deadline are not in it.
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

// enqueue adds a job to the waiting ones, and dequeue removes it. What its position depends on must
// not change in between.
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

// neighbor returns the next younger or next older job of the team, or nil.
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

// eps absorbs the rounding of sums of decimal amounts.
const eps = 1e-6

// fits reports whether demand is within a limit; a guarantee has no limit of memory.
func fits(size, limit placement.Size) bool {
	return size.CPUs <= limit.CPUs+eps && size.GPUs <= limit.GPUs+eps
}

// moveBoundary moves the boundary of the guarantee. The sum of demand only grows with each younger
// job, so the jobs within the guarantee are always the oldest ones up to some job.
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

// setWithin sets WithinGuarantee, which changes the position of a waiting job.
func (t *team[H]) setWithin(entry *Entry[H], within bool) {
	t.dequeue(entry)
	entry.WithinGuarantee = within
	t.enqueue(entry)
}

// UpdateDeadlines recomputes which jobs of each team are late, and which are overdue: accepted more
// than startWithinS seconds ago and not started. nowS is in seconds of wall-clock time. cpus returns
// the CPUs that a team can use, its services included.
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

// updateOverdue marks the jobs accepted until a time that have not started. Jobs that cannot be on
// time are served last, and the largest of them after all others. Without this limit, one of them
// waited for seven minutes while younger work kept coming. Only one task of each goes ahead, so the
// other jobs lose little.
func (t *team[H]) updateOverdue(acceptedUntilS float64) {
	var changed []*Entry[H]
	t.byAge.Ascend(func(entry *Entry[H]) bool {
		if float64(entry.Job.AcceptedMS)/1000 <= acceptedUntilS &&
			!entry.Job.Started && !entry.Overdue && entry.Job.Pending > 0 {
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

// updateLate chooses as few jobs as possible to be late, by the Moore-Hodgson algorithm: it adds
// jobs in order of deadline, and whenever one would be late, it leaves out the largest so far. In
// plain order of deadline, a single job that cannot be on time would make all jobs after it late.
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

// Len returns the number of waiting jobs.
func (q *Queue[H]) Len() int {
	n := 0
	for _, t := range q.teams {
		n += t.waiting.len
	}
	return n
}

// Get returns the entry of a job, or nil if it is not known.
func (q *Queue[H]) Get(id string) *Entry[H] { return q.jobs[id] }

// Walk calls visit with the waiting jobs in the order in which they are served, until visit returns
// false. freeFor returns the most capacity that a task of the team may find; it is called again for
// each step. Jobs whose tasks are larger are skipped without visiting each of them. visit may place
// tasks, but must not put or remove jobs.
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
		// There is less free capacity than when this head was found.
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

// workHeap is a heap of jobs with the one with the most work on top.
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
