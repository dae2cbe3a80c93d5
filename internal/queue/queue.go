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
func (j *Job) work() float64 { return float64(j.Unfinished) * j.EstimateS * j.TaskSize.CPUs }

// Place is a job with its place in the order. H is the owner's handle of a job.
type Entry[H any] struct {
	Handle          H
	Job             Job
	WithinGuarantee bool // its team's unfinished jobs up to this one fit into the guarantee
	Late            bool // cannot be on time without making more jobs late
	// Overdue: it has waited too long for its first task, which goes ahead; the others do not.
	Overdue bool
	n       *node[H]
}

// Queue is the order of one controller's jobs.
type Queue[H any] struct {
	guarantees map[string]placement.Size // by team
	jobs       map[string]*Entry[H]
	teams      map[string]*team[H]
	names      []string // of teams, in order
}

// team holds the jobs of one team: all by age, with the boundary of its guarantee, and
// those that wait in the order they are served.
type team[H any] struct {
	guarantee placement.Size
	byAge     *btree.BTreeG[*Entry[H]]
	last      *Entry[H] // the youngest within the guarantee; nil: none
	inside    placement.Size
	within    int
	services  float64 // CPUs of services
	serving   int     // services
	byDue     *btree.BTreeG[*Entry[H]]
	waiting   tree[H]
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

func sooner[H any](a, b *Entry[H]) bool {
	if a.Job.Due != b.Job.Due {
		return a.Job.Due < b.Job.Due
	}
	if a.Job.VirtualFinish != b.Job.VirtualFinish {
		return a.Job.VirtualFinish < b.Job.VirtualFinish
	}
	return older(a, b)
}

// before is the order in which jobs are served.
func before[H any](a, b *Entry[H]) bool {
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
	case a.Late && a.Job.work() != b.Job.work():
		return a.Job.work() < b.Job.work()
	}
	return sooner(a, b)
}

func (q *Queue[H]) team(name string) *team[H] {
	t := q.teams[name]
	if t == nil {
		t = &team[H]{guarantee: q.guarantees[name], byAge: btree.NewG(16, older[H]), byDue: btree.NewG(16, sooner[H])}
		q.teams[name] = t
		i, _ := slices.BinarySearch(q.names, name)
		q.names = slices.Insert(q.names, i, name)
	}
	return t
}

// Put adds a job or replaces what is known of it.
func (q *Queue[H]) Put(h H, j Job) {
	if p := q.jobs[j.ID]; p != nil {
		if p.Job == j {
			return
		}
		if p.Job.Team == j.Team && p.Job.AcceptedMS == j.AcceptedMS && p.Job.Number == j.Number && p.Job.Due == j.Due && p.Job.VirtualFinish == j.VirtualFinish && p.Job.Service == j.Service {
			q.amend(p, j)
			return
		}
		q.Remove(j.ID)
	}
	t := q.team(j.Team)
	p := &Entry[H]{Handle: h, Job: j}
	q.jobs[j.ID] = p
	t.byAge.ReplaceOrInsert(p)
	t.byDueChanged(p, true)
	t.serve(&j, 1)
	if t.last != nil && older(p, t.last) {
		p.WithinGuarantee = true
		t.inside, t.within = t.inside.Add(j.demand()), t.within+1
	}
	t.settle()
	t.wait(p)
}

// amend changes how much is left and waits; a job's place by age and deadline stays.
func (q *Queue[H]) amend(p *Entry[H], j Job) {
	t := q.team(j.Team)
	t.leave(p)
	t.serve(&p.Job, -1)
	if p.WithinGuarantee {
		t.inside = t.inside.Sub(p.Job.demand()).Add(j.demand())
	}
	p.Job = j
	p.Overdue = p.Overdue && !j.Started
	t.serve(&j, 1)
	t.settle()
	t.wait(p)
}

// Drop forgets a job.
func (q *Queue[H]) Remove(id string) {
	p := q.jobs[id]
	if p == nil {
		return
	}
	delete(q.jobs, id)
	t := q.team(p.Job.Team)
	t.leave(p)
	t.serve(&p.Job, -1)
	if p.WithinGuarantee {
		t.inside, t.within = t.inside.Sub(p.Job.demand()), t.within-1
		if p == t.last {
			t.last = t.next(p, false)
		}
		if t.within == 0 {
			t.inside, t.last = placement.Size{}, nil // rounding ends here
		}
	}
	t.byAge.Delete(p)
	t.byDueChanged(p, false)
	t.settle()
}

func (t *team[H]) serve(j *Job, n int) {
	if !j.Service {
		return
	}
	if t.serving += n * j.Unfinished; t.serving == 0 {
		t.services = 0
	} else {
		t.services += float64(n*j.Unfinished) * j.TaskSize.CPUs
	}
}

func (t *team[H]) byDueChanged(p *Entry[H], in bool) {
	if math.IsInf(p.Job.Due, 1) {
		return
	}
	if in {
		t.byDue.ReplaceOrInsert(p)
	} else {
		t.byDue.Delete(p)
	}
}

// wait puts a job among those that wait, leave takes it out; its place in the order
// must not change in between.
func (t *team[H]) wait(p *Entry[H]) {
	if p.Job.Pending > 0 && p.n == nil {
		p.n = t.waiting.insert(p)
	}
}

func (t *team[H]) leave(p *Entry[H]) {
	if p.n != nil {
		t.waiting.remove(p)
		p.n = nil
	}
}

// next is the neighbour by age, younger or older; nil: none.
func (t *team[H]) next(p *Entry[H], younger bool) (found *Entry[H]) {
	look := func(o *Entry[H]) bool {
		if o == p {
			return true
		}
		found = o
		return false
	}
	if younger {
		t.byAge.AscendGreaterOrEqual(p, look)
	} else {
		t.byAge.DescendLessOrEqual(p, look)
	}
	return found
}

const eps = 1e-6

func fits(s, most placement.Size) bool { return s.CPUs <= most.CPUs+eps && s.GPUs <= most.GPUs+eps }

// settle moves the boundary of the guarantee. Sums over jobs by age only grow, so what
// is within is always the oldest jobs up to some one.
func (t *team[H]) settle() {
	for t.last != nil && !fits(t.inside, t.guarantee) {
		p := t.last
		t.last = t.next(p, false)
		t.inside, t.within = t.inside.Sub(p.Job.demand()), t.within-1
		t.setWithin(p, false)
	}
	if t.last == nil {
		t.inside, t.within = placement.Size{}, 0
	}
	for {
		var p *Entry[H]
		if t.last != nil {
			p = t.next(t.last, true)
		} else if o, ok := t.byAge.Min(); ok {
			p = o
		}
		if p == nil || !fits(t.inside.Add(p.Job.demand()), t.guarantee) {
			return
		}
		t.last = p
		t.inside, t.within = t.inside.Add(p.Job.demand()), t.within+1
		t.setWithin(p, true)
	}
}

func (t *team[H]) setWithin(p *Entry[H], v bool) {
	t.leave(p)
	p.WithinGuarantee = v
	t.wait(p)
}

// Judge decides anew which jobs of each team are late, where anything has changed, and
// which are overdue: accepted more than begin seconds ago, and not begun. now is in seconds
// of the day's time, cpus what a team can use for its batches.
func (q *Queue[H]) UpdateDeadlines(now, begin float64, cpus func(team string) float64) {
	for _, name := range q.names {
		t := q.teams[name]
		t.overdue(now - begin)
		if t.byDue.Len() == 0 {
			continue
		}
		t.judge(now, max(1, cpus(name)-t.services))
	}
}

// overdue marks the jobs accepted before a time that have not begun. Those that cannot be on
// time go last, the largest of them after all others; without a bound one waited for seven
// minutes while younger work kept coming. One task each goes ahead, so the others lose little.
func (t *team[H]) overdue(before float64) {
	var turned []*Entry[H]
	t.byAge.Ascend(func(p *Entry[H]) bool {
		if float64(p.Job.AcceptedMS)/1000 <= before && !p.Job.Started && !p.Overdue && p.Job.Pending > 0 {
			turned = append(turned, p)
		}
		return true
	})
	for _, p := range turned {
		t.leave(p)
		p.Overdue = true
		t.wait(p)
	}
}

// judge gives up being on time for as few jobs as possible (Moore and Hodgson): in
// order of deadline, and whenever one would be late, the largest so far is left out.
// Plain order of deadline lets one hopeless job make all after it late.
func (t *team[H]) judge(now, cpus float64) {
	var kept largest[H]
	late := map[*Entry[H]]bool{}
	at := now
	t.byDue.Ascend(func(p *Entry[H]) bool {
		if now+p.Job.EstimateS > p.Job.Due && p.Job.Pending > 0 {
			late[p] = true
			return true
		}
		heap.Push(&kept, p)
		if at += p.Job.work() / cpus; at > p.Job.Due {
			o := heap.Pop(&kept).(*Entry[H])
			late[o] = true
			at -= o.Job.work() / cpus
		}
		return true
	})
	var turned []*Entry[H]
	t.byDue.Ascend(func(p *Entry[H]) bool {
		if p.Late != late[p] {
			turned = append(turned, p)
		}
		return true
	})
	for _, p := range turned {
		t.leave(p)
		p.Late = !p.Late
		t.wait(p)
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
func (q *Queue[H]) Walk(room func(team string) placement.Size, f func(*Entry[H]) bool) {
	heads := make([]*Entry[H], 0, len(q.names))
	for _, name := range q.names {
		if p := q.teams[name].waiting.first(room(name)); p != nil {
			heads = append(heads, p)
		}
	}
	for len(heads) > 0 {
		k := 0
		for i := range heads {
			if before(heads[i], heads[k]) {
				k = i
			}
		}
		p := heads[k]
		// Room has shrunk since this head was found.
		if most := room(p.Job.Team); !placement.Fits(most, p.Job.TaskSize) {
			if n := q.teams[p.Job.Team].waiting.after(p, most); n != nil {
				heads[k] = n
			} else {
				heads = slices.Delete(heads, k, k+1)
			}
			continue
		}
		if !f(p) {
			return
		}
		if n := q.teams[p.Job.Team].waiting.after(p, room(p.Job.Team)); n != nil {
			heads[k] = n
		} else {
			heads = slices.Delete(heads, k, k+1)
		}
	}
}

// largest is a heap of jobs, the most work on top.
type largest[H any] []*Entry[H]

func (h largest[H]) Len() int { return len(h) }
func (h largest[H]) Less(i, j int) bool {
	if a, b := h[i].Job.work(), h[j].Job.work(); a != b {
		return a > b
	}
	return sooner(h[i], h[j])
}
func (h largest[H]) Swap(i, j int) { h[i], h[j] = h[j], h[i] }
func (h *largest[H]) Push(x any)   { *h = append(*h, x.(*Entry[H])) }
func (h *largest[H]) Pop() any {
	old := *h
	x := old[len(old)-1]
	*h = old[:len(old)-1]
	return x
}
