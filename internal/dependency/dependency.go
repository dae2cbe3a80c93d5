// Package dependency decides about jobs that wait for others: whether one still waits, is ready,
// or is cancelled because a job before it was; and what those before it inherit of its priority
// and its deadline.
//
// Nothing is written for a cancellation beyond the one end of the job that was cancelled. That a
// job after it is cancelled too follows from that end: ends never change, and no task of a job
// starts before all of its predecessors are durably done. So everybody who can read the ends
// comes to the same answer, however many jobs depend on the cancelled one.
//
// A plain structure: no clock, no I/O, not for concurrent use.
package dependency

import (
	"math"
	"slices"
)

// Outcome is what is known of a job that waits.
type Outcome int

const (
	// Waits: a predecessor, or one before it, is not over.
	Waiting Outcome = iota
	// Ready: all predecessors are done.
	Ready
	// Cancelled: a job before it was cancelled.
	Cancelled
	// Unknown: ends have to be looked up first.
	Unknown
)

// Verdict is an outcome and what it rests on.
type Evaluation struct {
	Outcome     Outcome
	CancelledBy string   // Cancelled: the job whose cancellation it follows from
	MissingEnds []string // Unknown: jobs that are over, and whose ends are to be read
}

// Demand is what a job asks of those before it.
type Requirement struct {
	Priority        int     // as package wire ranks them
	TierRank        int     // of its rung
	Due             float64 // seconds of the day's time by when it should be done; +Inf: nobody has said
	DurationSeconds float64 // seconds from its last predecessor's end to its own, as expected
}

// end is how a job that others name is known to be over.
type jobEnd struct {
	done        bool
	cancelledBy string // whose cancellation
}

type job struct {
	predecessors []string
	own          Requirement
}

// Graph holds the jobs that wait, and the ends of those before them.
type Graph struct {
	waiting    map[string]*job
	dependents map[string]map[string]bool // job -> jobs that wait for it directly
	ends       map[string]jobEnd          // of jobs that some waiting one names
	inherited  map[string]Requirement     // what each job inherits; emptied by every change
}

// New returns an empty graph.
func New() *Graph {
	return &Graph{waiting: map[string]*job{}, dependents: map[string]map[string]bool{}, ends: map[string]jobEnd{}, inherited: map[string]Requirement{}}
}

// Put adds a job that waits, or replaces what is known of it.
func (g *Graph) Put(id string, predecessors []string, own Requirement) {
	if old := g.waiting[id]; old == nil || !slices.Equal(old.predecessors, predecessors) {
		g.Remove(id)
		for _, p := range predecessors {
			if g.dependents[p] == nil {
				g.dependents[p] = map[string]bool{}
			}
			g.dependents[p][id] = true
		}
	}
	g.waiting[id] = &job{predecessors, own}
	clear(g.inherited)
}

// Remove takes out a job that waits no longer. Ends that nobody names any more are forgotten.
func (g *Graph) Remove(id string) {
	j := g.waiting[id]
	if j == nil {
		return
	}
	delete(g.waiting, id)
	clear(g.inherited)
	for _, p := range j.predecessors {
		delete(g.dependents[p], id)
		if len(g.dependents[p]) == 0 {
			delete(g.dependents, p)
			delete(g.ends, p)
		}
	}
}

// End notes how a job is over: done, or cancelled by a user's word on the job by, which may be
// itself. It counts only while a waiting job names it, and never changes.
func (g *Graph) RecordEnd(id string, done bool, by string) {
	if _, known := g.ends[id]; known || g.dependents[id] == nil {
		return
	}
	if by == "" {
		by = id
	}
	g.ends[id] = jobEnd{done, by}
}

// Awaits tells whether a job waits, and for which.
func (g *Graph) Predecessors(id string) (predecessors []string, waits bool) {
	if j := g.waiting[id]; j != nil {
		return j.predecessors, true
	}
	return nil, false
}

// Own is what a job that waits asks of those before it, as it was put.
func (g *Graph) OwnRequirement(id string) Requirement { return g.waiting[id].own }

// Dependents lists the jobs that wait for one directly, in order.
func (g *Graph) Dependents(id string) []string {
	list := make([]string, 0, len(g.dependents[id]))
	for d := range g.dependents[id] {
		list = append(list, d)
	}
	slices.Sort(list)
	return list
}

// Waiting lists all that wait, in order.
func (g *Graph) Waiting() []string {
	list := make([]string, 0, len(g.waiting))
	for id := range g.waiting {
		list = append(list, id)
	}
	slices.Sort(list)
	return list
}

// Judge says how a job that waits stands. live tells whether a job is known to be accepted and
// neither waiting nor over. A job before it that is neither live nor waiting is over.
func (g *Graph) Evaluate(id string, live func(string) bool) Evaluation {
	seen := map[string]bool{}
	var lookUp []string
	by, waits := "", false
	var visit func(id string) bool // false: cancelled
	visit = func(id string) bool {
		for _, p := range g.waiting[id].predecessors {
			e, over := g.ends[p]
			switch _, more := g.waiting[p]; {
			case over && !e.done:
				by = e.cancelledBy
				return false
			case over || seen[p]:
			case more:
				seen[p], waits = true, true
				if !visit(p) {
					return false
				}
			case live(p):
				waits = true
			default:
				seen[p] = true
				lookUp = append(lookUp, p)
			}
		}
		return true
	}
	switch {
	case g.waiting[id] == nil:
		return Evaluation{Outcome: Ready}
	case !visit(id):
		return Evaluation{Outcome: Cancelled, CancelledBy: by}
	case len(lookUp) > 0:
		return Evaluation{Outcome: Unknown, MissingEnds: lookUp}
	case waits:
		return Evaluation{Outcome: Waiting}
	}
	return Evaluation{Outcome: Ready}
}

// Begins is in how many seconds a job that waits can begin at the soonest: when the last of those that
// it names ends, which ends tells of one that is live. +Inf: one is cancelled, or waits itself.
func (g *Graph) StartDelay(id string, ends func(string) float64) float64 {
	in := 0.0
	for _, p := range g.waiting[id].predecessors {
		e, over := g.ends[p]
		switch _, waits := g.waiting[p]; {
		case over && e.done:
		case over || waits:
			return math.Inf(1)
		default:
			in = max(in, ends(p))
		}
	}
	return in
}

// Left is how many seconds of a stage of which all tasks are on machines are left, the last of them
// since so many seconds.
func (s JobEstimate) RemainingSeconds(since float64) float64 {
	return max(0, s.TaskSeconds*s.slowestTaskFactor()-since)
}

// Before lists a job's predecessors and all before them, as far as those still wait, nearest first.
func (g *Graph) Ancestors(id string) []string { return g.transitive(id, g.predecessorsOf) }

// After lists all jobs that wait for a job, directly or through others, nearest first.
func (g *Graph) Descendants(id string) []string { return g.transitive(id, g.Dependents) }

func (g *Graph) predecessorsOf(id string) []string {
	if j := g.waiting[id]; j != nil {
		return j.predecessors
	}
	return nil
}

func (g *Graph) transitive(id string, next func(string) []string) []string {
	seen, list := map[string]bool{id: true}, []string{id}
	for i := 0; i < len(list); i++ {
		for _, n := range next(list[i]) {
			if !seen[n] {
				seen[n] = true
				list = append(list, n)
			}
		}
	}
	return list[1:]
}

// nothing is what a job inherits that nobody waits for.
var noRequirement = Requirement{Priority: -1, TierRank: -1, Due: math.Inf(1)}

// Inherited is what a job is asked for by those after it: the highest priority and rung of any of
// them, and by when it has to be done so that each can be in time: the deadline of each less what
// the longest way there takes. Length is that of the longest way to the last of them.
func (g *Graph) Inherited(id string) Requirement {
	if d, known := g.inherited[id]; known {
		return d
	}
	g.inherited[id] = noRequirement // a graph that is no graph ends here
	d := noRequirement
	for _, n := range g.Dependents(id) {
		own, after := g.waiting[n].own, g.Inherited(n)
		d.Priority = max(d.Priority, own.Priority, after.Priority)
		d.TierRank = max(d.TierRank, own.TierRank, after.TierRank)
		d.Due = min(d.Due, min(own.Due, after.Due)-own.DurationSeconds)
		d.DurationSeconds = max(d.DurationSeconds, own.DurationSeconds+after.DurationSeconds)
	}
	g.inherited[id] = d
	return d
}

// Slack is how many seconds a job that takes so long from now on has to spare before those after
// it are late; +Inf: none of them has to be done by any time.
func (d Requirement) Slack(now, length float64) float64 { return d.Due - length - now }

// Stage is what the expected length of a job hangs on.
type JobEstimate struct {
	Tasks             int
	TaskSeconds       float64 // seconds of a typical task
	LogSpread         float64 // of the logarithm of that, among the tasks of a job
	FetchSeconds      float64 // seconds of its image
	StartDelaySeconds float64 // seconds until its tasks have their machines
}

// Length is how many seconds a job takes from when it could run to its end, if all of its tasks
// find room at once: the slowest of many tasks takes longer than a typical one.
func ExpectedSeconds(s JobEstimate) float64 {
	return s.StartDelaySeconds + s.FetchSeconds + s.TaskSeconds*s.slowestTaskFactor()
}

func (s JobEstimate) slowestTaskFactor() float64 {
	return math.Exp(s.LogSpread * math.Sqrt(2*math.Log(float64(max(1, s.Tasks)))))
}
