package reach

import "time"

// GroupLimits are the durations of silence after which a group of machines is probed or counts as
// down. A gap is the expected time between two reports of the group: the report interval divided by
// the number of machines.
type GroupLimits struct {
	ReportInterval time.Duration // time between two reports of one machine
	MinSilence     time.Duration // shorter silence is ignored, however many machines there are
	DownGaps       float64       // silence of more gaps than this is not chance
	DownIntervals  float64       // report intervals after which even a single machine counts as down
	ProbeGaps      float64       // silence of more gaps than this is a reason to probe some machines
	ProbeIntervals float64       // report intervals after which even a single machine is probed
}

// MachineGroup is the state of the machines that are expected to report to a controller.
type MachineGroup struct {
	Expected, Reporting int           // all machines, and those that have reported recently
	LastReport          time.Duration // of any of them
}

// Probing is the level of a group that has been silent for so long that some of it should be probed.
const Probing Level = -1

// Evaluate returns the level of a group. If all machines are silent at once, either they are cut off
// from this controller or they have died; only the other controllers can tell which.
func (l GroupLimits) Evaluate(now time.Duration, group MachineGroup) Level {
	if group.Expected == 0 {
		return Unknown
	}
	allowedSilence := func(gaps, intervals float64) time.Duration {
		return max(l.MinSilence, min(time.Duration(gaps*float64(l.ReportInterval)/float64(group.Expected)), time.Duration(intervals*float64(l.ReportInterval))))
	}
	switch {
	case now-group.LastReport > allowedSilence(l.DownGaps, l.DownIntervals):
		return Down
	case now-group.LastReport > allowedSilence(l.ProbeGaps, l.ProbeIntervals):
		return Probing
	}
	if 2*group.Reporting < group.Expected {
		return Doubt
	}
	return Up
}

// Sample counts how many of a few called machines have answered.
type Sample struct {
	startedAt   time.Duration
	hasAnswered map[string]bool // by called machine
	answers     int
}

// NewSample starts a sample of the named machines.
func NewSample(now time.Duration, machines []string) *Sample {
	s := &Sample{startedAt: now, hasAnswered: map[string]bool{}}
	for _, m := range machines {
		s.hasAnswered[m] = false
	}
	return s
}

// RecordAnswer records the answer of a machine; machines that are not in the sample are ignored.
func (s *Sample) RecordAnswer(machine string) {
	if answered, called := s.hasAnswered[machine]; called && !answered {
		s.hasAnswered[machine] = true
		s.answers++
	}
}

// Result returns the number of machines called and of those that have answered. The sample has finished
// once all have answered or the timeout is over.
func (s *Sample) Result(now, timeout time.Duration) (called, answered int, finished bool) {
	called, answered = len(s.hasAnswered), s.answers
	return called, answered, answered == called || now-s.startedAt >= timeout
}

// PickEvenly returns n elements at even distances from a sorted list, or the whole list if it is shorter.
func PickEvenly(sorted []string, n int) []string {
	if len(sorted) <= n {
		return sorted
	}
	picked := make([]string, n)
	for i := range picked {
		picked[i] = sorted[i*len(sorted)/n]
	}
	return picked
}
