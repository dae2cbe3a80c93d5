package dependency

import (
	"math"
	"slices"

	"github.com/barrowbridge/barrowbridge/internal/conversion"
	"github.com/barrowbridge/barrowbridge/wire"
)

// JobState is a job of a chain as one controller knows it. The record of a job that is over may
// have been deleted.
type JobState struct {
	Job             *wire.Job // nil if the job is over
	Waiting         bool      // for predecessors
	Status          wire.JobStatus
	CancelledBy     string  // job whose cancellation ended it
	DurationSeconds float64 // expected time from when it can run to its end
	Due             float64 // its own deadline (Unix seconds); +Inf if it has none
	Inherited       Requirement
}

// expectedTimes is when a job is expected to run, in Unix seconds.
type expectedTimes struct{ start, end float64 }

// View returns the chain of a job: each job after its predecessors, with its expected start and end
// and its deadline, and whether it is on the critical path, which determines when the chain ends.
// now is in Unix seconds.
func View(node, id string, now float64, states map[string]JobState) wire.Chain {
	chain := wire.Chain{Job: id, Node: node}
	times, lastPredecessor := map[string]expectedTimes{}, map[string]string{} // lastPredecessor: the predecessor that ends last
	var add func(id string)
	add = func(id string) {
		if _, done := times[id]; done {
			return
		}
		times[id] = expectedTimes{now, now}
		state := states[id]
		t := expectedTimes{start: now, end: now}
		if state.Job != nil {
			last := math.Inf(-1)
			for _, p := range state.Job.Predecessors {
				if add(p); states[p].Job != nil && times[p].end > last {
					last, lastPredecessor[id] = times[p].end, p
				}
			}
			t.start = max(float64(state.Job.ReadySince())/1000, last)
			t.end = max(now, t.start+state.DurationSeconds)
		}
		times[id] = t
		chain.Jobs = append(chain.Jobs, chainJob(id, state, t))
	}
	ids := make([]string, 0, len(states))
	for id := range states {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	last := ""
	for _, id := range ids {
		if add(id); states[id].Job != nil && (last == "" || times[id].end > times[last].end) {
			last = id
		}
	}
	critical := map[string]bool{}
	for id := last; id != ""; id = lastPredecessor[id] {
		critical[id] = true
	}
	for i := range chain.Jobs {
		chain.Jobs[i].Critical = critical[chain.Jobs[i].ID]
	}
	return chain
}

// chainJob returns a job of a chain as it is shown to operators.
func chainJob(id string, state JobState, times expectedTimes) wire.ChainJob {
	row := wire.ChainJob{ID: id, Status: state.Status.Status, CancelledBy: state.CancelledBy}
	if state.Status.Done != nil && state.Status.Running != nil {
		row.Done, row.Running = *state.Status.Done, *state.Status.Running
	}
	job := state.Job
	if job == nil {
		return row
	}
	ms := func(seconds float64) int64 {
		if math.IsInf(seconds, 0) {
			return 0
		}
		return conversion.Milliseconds(seconds)
	}
	row.Class, row.Team, row.Awaits, row.Tasks, row.Priority, row.ReadyMS = job.Class, job.Team, job.Predecessors, job.Tasks, job.Priority, job.ReadyMS
	if state.Inherited.Priority > wire.PriorityRank(job.Priority) {
		row.InheritedPriority = wire.PriorityName(state.Inherited.Priority)
	}
	if state.Waiting {
		row.WaitingSinceMS, row.ExpectedStartMS = job.AcceptedMS, ms(times.start)
	}
	if state.Status.Status == wire.JobAborted || job.Shape == wire.ShapeService {
		return row // its end cannot be predicted
	}
	row.ExpectedEndMS, row.DueMS, row.InheritedDueMS = ms(times.end), ms(state.Due), ms(state.Inherited.Due)
	if due := min(state.Due, state.Inherited.Due); !math.IsInf(due, 1) {
		slack := due - times.end
		row.SlackS = &slack
	}
	return row
}
