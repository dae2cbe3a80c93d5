package dependency

import (
	"math"
	"slices"

	"github.com/barrowbridge/barrowbridge/wire"
)

// Seen is a job of a chain as one controller sees it. Of one that is over the record may be gone.
type JobState struct {
	Job             *wire.Job // nil: it is over
	Waiting         bool      // for others
	Status          wire.JobStatus
	CancelledBy     string  // whose cancellation ended it
	DurationSeconds float64 // seconds from when it can run to its end, as expected
	Due             float64 // its own, seconds of the day's time; +Inf: none
	Inherited       Requirement
}

// times are when a job is expected to run, in seconds of the day's time.
type expectedTimes struct{ start, end float64 }

// View draws the chain of a job: each job after those that it awaits, with when it is expected to
// run, by when it has to be done, and which of them the end of the chain hangs on. now is in
// seconds of the day's time.
func View(node, id string, now float64, states map[string]JobState) wire.Chain {
	chain := wire.Chain{Job: id, Node: node}
	times, lastPredecessor := map[string]expectedTimes{}, map[string]string{} // before: the predecessor that ends last
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

// row tells of one job.
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
		return int64(seconds * 1000)
	}
	row.Class, row.Team, row.Awaits, row.Tasks, row.Priority, row.ReadyMS = job.Class, job.Team, job.Predecessors, job.Tasks, job.Priority, job.ReadyMS
	if state.Inherited.Priority > wire.PriorityRank(job.Priority) {
		row.InheritedPriority = wire.PriorityName(state.Inherited.Priority)
	}
	if state.Waiting {
		row.WaitingSinceMS, row.ExpectedStartMS = job.AcceptedMS, ms(times.start)
	}
	if state.Status.Status == wire.JobAborted || job.Shape == wire.ShapeService {
		return row // it has no end to be foreseen
	}
	row.ExpectedEndMS, row.DueMS, row.InheritedDueMS = ms(times.end), ms(state.Due), ms(state.Inherited.Due)
	if due := min(state.Due, state.Inherited.Due); !math.IsInf(due, 1) {
		slack := due - times.end
		row.SlackS = &slack
	}
	return row
}
