// Package objectives decides when a job should be done, and for how many of its tasks at a time
// machines should be rented. The deadline is the job's own, or follows from the operators' objective
// for its class. Jobs without either are ordered by size. The package has no clock and no I/O.
package objectives

import (
	"math"

	"github.com/barrowbridge/barrowbridge/internal/conversion"
)

// Objectives are the operators' settings, by class.
type Objectives struct {
	// CompleteWithinS is within how many seconds after its acceptance a job of the class should be
	// done.
	CompleteWithinS map[string]float64
	// StartWithinS is within how many seconds after a job of the class became ready to run its tasks
	// should have started.
	StartWithinS map[string]float64
}

// RequestAhead reports whether machines for jobs of a class have to be requested before the jobs are
// ready to run. That is so if their tasks would start late on a machine that was requested only
// then, had a slow boot and fetched an image. bootS is the usual duration of a boot and fetchS that
// of what follows it, in seconds. A slow boot takes slowFactor times as long as usual.
func (o Objectives) RequestAhead(class string, bootS, fetchS, slowFactor float64) bool {
	limit := o.StartWithinS[class]
	return limit > 0 && bootS*slowFactor+fetchS > limit
}

// Limits bound the machines that are rented for work that is not urgent.
type Limits struct {
	ReferenceCPUs float64 // see VirtualFinish
	HorizonS      float64 // work without an objective is to be done within this time
	MinTimeS      float64 // the time to plan with is never less than this, however late the work is
	// Headroom is the share of the remaining time that the tasks may take. The rest is for boots,
	// fetches and failures.
	Headroom float64
}

// Work is what the decisions depend on of a job. Times are in seconds of wall-clock time.
type Work struct {
	Class     string
	AcceptedS float64
	DueS      float64 // after acceptance; 0: no deadline of its own
	CPUs      float64 // of one task
	Tasks     int
	EstimateS float64 // of one task; 0: a service
}

// Due returns when a job should be done, +Inf if neither the job nor an objective says so.
func (o Objectives) Due(w Work) float64 {
	if w.DueS > 0 {
		return w.AcceptedS + w.DueS
	}
	if limit := o.CompleteWithinS[w.Class]; limit > 0 && w.EstimateS > 0 {
		return w.AcceptedS + limit
	}
	return math.Inf(1)
}

// VirtualFinish returns the sort key of jobs without a deadline: when the job would be done if it
// ran on ReferenceCPUs CPUs from its acceptance. Ordered by age alone, hundreds of single tasks
// waited for minutes behind arrays that were not needed soon. Ordered by work alone, a large job
// might wait forever.
func (l Limits) VirtualFinish(w Work) float64 {
	return w.AcceptedS + float64(w.Tasks)*w.EstimateS*w.CPUs/l.ReferenceCPUs
}

// TargetParallelism returns for how many tasks at a time machines should be paid, so that the
// unfinished tasks, of estimateS seconds each, are done by their due time. Renting for every task at
// once would be wasteful: an array of fifteen thousand tasks of four seconds would rent all
// available machines for a minute, most of which they would spend booting.
func (l Limits) TargetParallelism(unfinished int, estimateS, due, now float64) int {
	if estimateS <= 0 {
		return unfinished
	}
	leftS := l.HorizonS
	if !math.IsInf(due, 1) {
		leftS = min(leftS, max(l.MinTimeS, (due-now)*l.Headroom))
	}
	return min(unfinished, conversion.Int(math.Ceil(float64(unfinished)*estimateS/max(leftS, estimateS))))
}
