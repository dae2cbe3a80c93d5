package reach

import "time"

// CrowdLimits are the times of a judgement over many machines.
type GroupLimits struct {
	ReportInterval time.Duration // each machine reports so often
	MinSilence     time.Duration // silence shorter than this says nothing, however many they are
	DownGaps       float64       // a silence of so many expected gaps is no accident
	DownIntervals  float64       // report intervals after which one machine alone is missed
	ProbeGaps      float64       // a silence of so many gaps is reason to call some of them
	ProbeIntervals float64       // report intervals after which one machine alone is called
}

// Crowd is what a controller has heard of the machines that ought to report to it.
type MachineGroup struct {
	Expected, Reporting int           // machines, and those heard lately
	LastReport          time.Duration // when any of them was last heard
}

// Asking is a crowd so silent that some of it are to be called.
const Probing Level = -1

// Judge tells whether the machines are reached. All of them silent at once is a cut, or
// their end; who of the two it is, only others can tell.
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

// Sample counts how many of a few machines that were called have answered.
type Sample struct {
	startedAt   time.Duration
	hasAnswered map[string]bool // -> answered
	answers     int
}

// NewSample begins a sample of the named machines.
func NewSample(now time.Duration, machines []string) *Sample {
	s := &Sample{startedAt: now, hasAnswered: map[string]bool{}}
	for _, m := range machines {
		s.hasAnswered[m] = false
	}
	return s
}

// Answered notes an answer.
func (s *Sample) RecordAnswer(machine string) {
	if answered, called := s.hasAnswered[machine]; called && !answered {
		s.hasAnswered[machine] = true
		s.answers++
	}
}

// Result is what the sample has shown, once all have answered or its time is over.
func (s *Sample) Result(now, timeout time.Duration) (called, answered int, finished bool) {
	called, answered = len(s.hasAnswered), s.answers
	return called, answered, answered == called || now-s.startedAt >= timeout
}

// Spread picks n of a sorted list, evenly.
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
