package reach

import "time"

// CrowdLimits are the times of a judgement over many machines.
type CrowdLimits struct {
	Every time.Duration // each machine reports so often
	Least time.Duration // silence shorter than this says nothing, however many they are
	Gaps  float64       // a silence of so many expected gaps is no accident
	Most  float64       // report intervals after which one machine alone is missed
	Ask   float64       // a silence of so many gaps is reason to call some of them
	Asked float64       // report intervals after which one machine alone is called
}

// Crowd is what a controller has heard of the machines that ought to report to it.
type Crowd struct {
	Of, Heard int           // machines, and those heard lately
	Last      time.Duration // when any of them was last heard
}

// Asking is a crowd so silent that some of it are to be called.
const Asking Level = -1

// Judge tells whether the machines are reached. All of them silent at once is a cut, or
// their end; who of the two it is, only others can tell.
func (l CrowdLimits) Judge(now time.Duration, c Crowd) Level {
	if c.Of == 0 {
		return Unknown
	}
	patience := func(gaps, most float64) time.Duration {
		return max(l.Least, min(time.Duration(gaps*float64(l.Every)/float64(c.Of)), time.Duration(most*float64(l.Every))))
	}
	switch {
	case now-c.Last > patience(l.Gaps, l.Most):
		return Down
	case now-c.Last > patience(l.Ask, l.Asked):
		return Asking
	}
	if 2*c.Heard < c.Of {
		return Doubt
	}
	return Up
}

// Sample counts how many of a few machines that were called have answered.
type Sample struct {
	began    time.Duration
	asked    map[string]bool // -> answered
	answered int
}

// NewSample begins a sample of the named machines.
func NewSample(now time.Duration, machines []string) *Sample {
	s := &Sample{began: now, asked: map[string]bool{}}
	for _, m := range machines {
		s.asked[m] = false
	}
	return s
}

// Answered notes an answer.
func (s *Sample) Answered(machine string) {
	if done, asked := s.asked[machine]; asked && !done {
		s.asked[machine] = true
		s.answered++
	}
}

// Result is what the sample has shown, once all have answered or its time is over.
func (s *Sample) Result(now, wait time.Duration) (of, heard int, ready bool) {
	of, heard = len(s.asked), s.answered
	return of, heard, heard == of || now-s.began >= wait
}

// Spread picks n of a sorted list, evenly.
func Spread(sorted []string, n int) []string {
	if len(sorted) <= n {
		return sorted
	}
	out := make([]string, n)
	for i := range out {
		out[i] = sorted[i*len(sorted)/n]
	}
	return out
}
