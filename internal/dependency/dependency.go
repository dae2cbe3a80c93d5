// Package dependency evaluates jobs that depend on others: whether a job still waits, is ready, or
// is cancelled because a predecessor was. It also computes the priority and the deadline that
// predecessors inherit from the jobs that depend on them.
//
// A cancellation writes only the end of the cancelled job itself. That the jobs depending on it are
// cancelled too follows from this end: ends never change, and no task of a job starts before all of
// its predecessors are durably done. Every controller that can read the ends therefore reaches the
// same result, however many jobs depend on the cancelled one.
//
// The package has no clock and no I/O, and its structures are not safe for concurrent use.
package dependency

import (
	"math"
	"slices"
)

// Outcome is the result of evaluating a job that may wait for predecessors.
type Outcome int

const (
	// Waiting means that a direct or indirect predecessor is not over.
	Waiting Outcome = iota
	// Ready means that all predecessors are done.
	Ready
	// Cancelled means that a direct or indirect predecessor was cancelled.
	Cancelled
	// Unknown means that the ends of some predecessors must be read first.
	Unknown
)

// Evaluation is an outcome and what it is based on.
type Evaluation struct {
	Outcome     Outcome
	CancelledBy string   // with Cancelled: the job whose cancellation causes it
	MissingEnds []string // with Unknown: jobs that are over and whose ends must be read
}

// Requirement is what a job requires of its predecessors.
type Requirement struct {
	Priority        int     // rank of the priority, as in package wire
	TierRank        int     // rank of the tier
	Due             float64 // time (Unix seconds) by which the job should be done; +Inf if there is none
	DurationSeconds float64 // expected time from the end of the job's last predecessor to its own end
}

// jobEnd is how a predecessor ended.
type jobEnd struct {
	done        bool
	cancelledBy string // job whose cancellation ended it, if it is not done
}

// job is a waiting job.
type job struct {
	predecessors []string
	own          Requirement
}

// Graph holds the waiting jobs and the known ends of their predecessors.
type Graph struct {
	waiting    map[string]*job
	dependents map[string]map[string]bool // job -> jobs that name it as a predecessor
	ends       map[string]jobEnd          // of jobs that some waiting job names as predecessors
	inherited  map[string]Requirement     // cache of what each job inherits; cleared by every change
}

// New returns an empty graph.
func New() *Graph {
	return &Graph{
		waiting:    map[string]*job{},
		dependents: map[string]map[string]bool{},
		ends:       map[string]jobEnd{},
		inherited:  map[string]Requirement{},
	}
}

// Put adds a waiting job or replaces its predecessors and its own requirement.
func (g *Graph) Put(id string, predecessors []string, own Requirement) {
	if previous := g.waiting[id]; previous == nil || !slices.Equal(previous.predecessors, predecessors) {
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

// Remove removes a job that no longer waits. Ends of jobs that no waiting job names any more are
// removed too.
func (g *Graph) Remove(id string) {
	waiting := g.waiting[id]
	if waiting == nil {
		return
	}
	delete(g.waiting, id)
	clear(g.inherited)
	for _, p := range waiting.predecessors {
		delete(g.dependents[p], id)
		if len(g.dependents[p]) == 0 {
			delete(g.dependents, p)
			delete(g.ends, p)
		}
	}
}

// RecordEnd records how a job ended: done, or cancelled because a user cancelled the job
// cancelledBy, which may be the job itself (also if it is empty). Ends of jobs that no waiting job
// names are ignored, and a recorded end never changes.
func (g *Graph) RecordEnd(id string, done bool, cancelledBy string) {
	if _, known := g.ends[id]; known || g.dependents[id] == nil {
		return
	}
	if cancelledBy == "" {
		cancelledBy = id
	}
	g.ends[id] = jobEnd{done, cancelledBy}
}

// Predecessors returns the predecessors of a job, and whether it waits.
func (g *Graph) Predecessors(id string) (predecessors []string, waits bool) {
	if j := g.waiting[id]; j != nil {
		return j.predecessors, true
	}
	return nil, false
}

// OwnRequirement returns the requirement with which a waiting job was last put. The job must be
// waiting.
func (g *Graph) OwnRequirement(id string) Requirement { return g.waiting[id].own }

// Dependents lists the jobs that directly depend on a job, sorted.
func (g *Graph) Dependents(id string) []string {
	list := make([]string, 0, len(g.dependents[id]))
	for d := range g.dependents[id] {
		list = append(list, d)
	}
	slices.Sort(list)
	return list
}

// Waiting lists all waiting jobs, sorted.
func (g *Graph) Waiting() []string {
	list := make([]string, 0, len(g.waiting))
	for id := range g.waiting {
		list = append(list, id)
	}
	slices.Sort(list)
	return list
}

// Evaluate returns whether a job still waits, is ready or is cancelled. live reports whether a job
// is known to be accepted and neither waiting nor over; a predecessor that is neither live nor
// waiting is over.
func (g *Graph) Evaluate(id string, live func(string) bool) Evaluation {
	seen := map[string]bool{}
	var missingEnds []string
	cancelledBy, waits := "", false
	var visit func(id string) bool // reports false if a predecessor was cancelled
	visit = func(id string) bool {
		for _, p := range g.waiting[id].predecessors {
			end, over := g.ends[p]
			switch _, alsoWaits := g.waiting[p]; {
			case over && !end.done:
				cancelledBy = end.cancelledBy
				return false
			case over || seen[p]:
			case alsoWaits:
				seen[p], waits = true, true
				if !visit(p) {
					return false
				}
			case live(p):
				waits = true
			default:
				seen[p] = true
				missingEnds = append(missingEnds, p)
			}
		}
		return true
	}
	switch {
	case g.waiting[id] == nil:
		return Evaluation{Outcome: Ready}
	case !visit(id):
		return Evaluation{Outcome: Cancelled, CancelledBy: cancelledBy}
	case len(missingEnds) > 0:
		return Evaluation{Outcome: Unknown, MissingEnds: missingEnds}
	case waits:
		return Evaluation{Outcome: Waiting}
	}
	return Evaluation{Outcome: Ready}
}

// StartDelay returns the number of seconds until a waiting job can start at the earliest, which is
// when the last of its predecessors ends. remaining returns the seconds until a live job ends. The
// result is +Inf if a predecessor was cancelled or waits itself.
func (g *Graph) StartDelay(id string, remaining func(string) float64) float64 {
	delay := 0.0
	for _, p := range g.waiting[id].predecessors {
		end, over := g.ends[p]
		switch _, waits := g.waiting[p]; {
		case over && end.done:
		case over || waits:
			return math.Inf(1)
		default:
			delay = max(delay, remaining(p))
		}
	}
	return delay
}

// RemainingSeconds returns how many seconds remain of a job whose tasks are all on machines, given
// the seconds since the last of them started.
func (e JobEstimate) RemainingSeconds(sinceLastStart float64) float64 {
	return max(0, e.TaskSeconds*e.slowestTaskFactor()-sinceLastStart)
}

// Ancestors lists the direct and indirect predecessors of a job, nearest first. Only waiting jobs
// are followed to their own predecessors.
func (g *Graph) Ancestors(id string) []string { return g.transitive(id, g.predecessorsOf) }

// Descendants lists all jobs that depend on a job, directly or indirectly, nearest first.
func (g *Graph) Descendants(id string) []string { return g.transitive(id, g.Dependents) }

func (g *Graph) predecessorsOf(id string) []string {
	if waiting := g.waiting[id]; waiting != nil {
		return waiting.predecessors
	}
	return nil
}

// transitive lists the jobs reachable from a job through next, without the job itself, in
// breadth-first order.
func (g *Graph) transitive(id string, next func(string) []string) []string {
	seen, list := map[string]bool{id: true}, []string{id}
	for i := 0; i < len(list); i++ {
		for _, neighbor := range next(list[i]) {
			if !seen[neighbor] {
				seen[neighbor] = true
				list = append(list, neighbor)
			}
		}
	}
	return list[1:]
}

// noRequirement is what a job inherits that no other job depends on.
var noRequirement = Requirement{Priority: -1, TierRank: -1, Due: math.Inf(1)}

// Inherited returns what the jobs that depend on a job require of it: the highest priority and tier
// rank of any of them, and the time by which it must be done so that each of them can meet its
// deadline. That time is the earliest of their deadlines, each less the duration of the longest
// path to that job's end. DurationSeconds is the duration of the longest path of dependent jobs.
func (g *Graph) Inherited(id string) Requirement {
	if requirement, known := g.inherited[id]; known {
		return requirement
	}
	g.inherited[id] = noRequirement // ends the recursion if the dependencies contain a cycle
	requirement := noRequirement
	for _, dependent := range g.Dependents(id) {
		own, inherited := g.waiting[dependent].own, g.Inherited(dependent)
		requirement.Priority = max(requirement.Priority, own.Priority, inherited.Priority)
		requirement.TierRank = max(requirement.TierRank, own.TierRank, inherited.TierRank)
		requirement.Due = min(requirement.Due, min(own.Due, inherited.Due)-own.DurationSeconds)
		requirement.DurationSeconds = max(requirement.DurationSeconds, own.DurationSeconds+inherited.DurationSeconds)
	}
	g.inherited[id] = requirement
	return requirement
}

// Slack returns how many seconds later than now a job that takes durationSeconds may start before
// the jobs that depend on it are late. It is +Inf if none of them has a deadline.
func (r Requirement) Slack(now, durationSeconds float64) float64 {
	return r.Due - durationSeconds - now
}

// JobEstimate is what the expected duration of a job is computed from.
type JobEstimate struct {
	Tasks             int
	TaskSeconds       float64 // run time of a typical task
	LogSpread         float64 // standard deviation of the logarithm of the run times of a job's tasks
	FetchSeconds      float64 // time to fetch the image
	StartDelaySeconds float64 // time until the tasks have their machines
}

// ExpectedSeconds returns how long a job takes from when it becomes ready to its end, if all of its
// tasks find free capacity at once. It accounts for the slowest of many tasks taking longer than a
// typical one.
func ExpectedSeconds(estimate JobEstimate) float64 {
	return estimate.StartDelaySeconds + estimate.FetchSeconds + estimate.TaskSeconds*estimate.slowestTaskFactor()
}

// slowestTaskFactor returns how many times as long as a typical task the slowest task is expected
// to run.
func (e JobEstimate) slowestTaskFactor() float64 {
	return math.Exp(e.LogSpread * math.Sqrt(2*math.Log(float64(max(1, e.Tasks)))))
}
