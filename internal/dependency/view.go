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
func View(node, id string, now float64, seen map[string]JobState) wire.Chain {
	v := wire.Chain{Job: id, Node: node}
	when, before := map[string]expectedTimes{}, map[string]string{} // before: the predecessor that ends last
	var add func(id string)
	add = func(id string) {
		if _, done := when[id]; done {
			return
		}
		when[id] = expectedTimes{now, now}
		x := seen[id]
		t := expectedTimes{start: now, end: now}
		if x.Job != nil {
			last := math.Inf(-1)
			for _, p := range x.Job.Predecessors {
				if add(p); seen[p].Job != nil && when[p].end > last {
					last, before[id] = when[p].end, p
				}
			}
			t.start = max(float64(x.Job.ReadySince())/1000, last)
			t.end = max(now, t.start+x.DurationSeconds)
		}
		when[id] = t
		v.Jobs = append(v.Jobs, chainJob(id, x, t))
	}
	ids := make([]string, 0, len(seen))
	for id := range seen {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	last := ""
	for _, id := range ids {
		if add(id); seen[id].Job != nil && (last == "" || when[id].end > when[last].end) {
			last = id
		}
	}
	critical := map[string]bool{}
	for id := last; id != ""; id = before[id] {
		critical[id] = true
	}
	for i := range v.Jobs {
		v.Jobs[i].Critical = critical[v.Jobs[i].ID]
	}
	return v
}

// row tells of one job.
func chainJob(id string, x JobState, t expectedTimes) wire.ChainJob {
	r := wire.ChainJob{ID: id, Status: x.Status.Status, CancelledBy: x.CancelledBy}
	if x.Status.Done != nil && x.Status.Running != nil {
		r.Done, r.Running = *x.Status.Done, *x.Status.Running
	}
	j := x.Job
	if j == nil {
		return r
	}
	ms := func(s float64) int64 {
		if math.IsInf(s, 0) {
			return 0
		}
		return int64(s * 1000)
	}
	r.Class, r.Team, r.Awaits, r.Tasks, r.Priority, r.ReadyMS = j.Class, j.Team, j.Predecessors, j.Tasks, j.Priority, j.ReadyMS
	if x.Inherited.Priority > wire.PriorityRank(j.Priority) {
		r.InheritedPriority = wire.PriorityName(x.Inherited.Priority)
	}
	if x.Waiting {
		r.WaitingSinceMS, r.ExpectedStartMS = j.AcceptedMS, ms(t.start)
	}
	if x.Status.Status == wire.JobAborted || j.Shape == wire.ShapeService {
		return r // it has no end to be foreseen
	}
	r.ExpectedEndMS, r.DueMS, r.InheritedDueMS = ms(t.end), ms(x.Due), ms(x.Inherited.Due)
	if due := min(x.Due, x.Inherited.Due); !math.IsInf(due, 1) {
		slack := due - t.end
		r.SlackS = &slack
	}
	return r
}
