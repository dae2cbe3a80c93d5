// Package health decides what causes task failures: a faulty machine, on which every task fails,
// or a mistaken job, which fails on every machine. Counting consecutive failures per machine is
// not enough: healthy machines were taken for faulty when two mistaken jobs ran on them.
//
// A failure counts against a machine the more, the surer it is that the job works, and against
// the job the more, the surer it is that the machine works. A completed task clears both.
//
// The package is pure: callers pass the time in. It is not safe for concurrent use.
package health

import (
	"maps"
	"math"
	"slices"
	"time"
)

// Params weighs the evidence and sets the retry delays. Weights are shares of certainty.
type Params struct {
	// Weight of a failure against the machine, by what is known of the job.
	ProvenJobWeight, UnprovenJobWeight, FailsElsewhereWeight float64
	SuspectCertainty, FaultyCertainty                        float64 // certainty from which a machine is suspect or faulty
	// Weight of a failure against the job, by what is known of the machine.
	ProvenMachineWeight, UnprovenMachineWeight, TroubledMachineWeight float64
	MistakenThreshold                                                 float64 // sum of these weights over machines from which a job is mistaken
	RetryDelay, RetryDelayMax, MistakenRetryDelayMax                  time.Duration
}

// Verdict is the assessment of a machine.
type Verdict int

// A healthy machine takes all work, a suspect one no urgent work, and a faulty one no work.
const (
	Healthy Verdict = iota
	Suspect
	Faulty
)

// Tracker holds the evidence about jobs and machines.
type Tracker struct {
	params   Params
	jobs     map[string]*job
	machines map[string]*machine
}

type job struct {
	proven   bool           // a task of the job has completed
	failures map[string]int // failures by machine
	streak   int            // failures since the job was last cleared; simultaneous ones count as one
	retryAt  time.Duration  // no retry before this time
	mistaken bool
}

type machine struct {
	proven   bool           // a task has completed on the machine
	failures map[string]int // failures by job since the last completion
	faulty   bool           // permanent: a faulty machine is given back
}

// New returns a tracker without evidence.
func New(p Params) *Tracker {
	return &Tracker{params: p, jobs: map[string]*job{}, machines: map[string]*machine{}}
}

// job returns the evidence about a job and creates it if there is none.
func (t *Tracker) job(name string) *job {
	j := t.jobs[name]
	if j == nil {
		j = &job{failures: map[string]int{}}
		t.jobs[name] = j
	}
	return j
}

// machine returns the evidence about a machine and creates it if there is none.
func (t *Tracker) machine(name string) *machine {
	m := t.machines[name]
	if m == nil {
		m = &machine{failures: map[string]int{}}
		t.machines[name] = m
	}
	return m
}

// RecordFailure records that a task of a job failed on a machine. It returns the machines that
// have become faulty by it, sorted.
func (t *Tracker) RecordFailure(now time.Duration, jobName, machineName string) []string {
	j, m := t.job(jobName), t.machine(machineName)
	j.failures[machineName]++
	m.failures[jobName]++
	if j.streak == 0 || now >= j.retryAt {
		j.streak++ // tasks that were started together and fail together are one piece of evidence
	}
	if !j.proven && !j.mistaken {
		j.mistaken = t.evidenceAgainst(j, jobName) >= t.params.MistakenThreshold && len(j.failures) > 1
	}
	maxDelay := t.params.RetryDelayMax
	if j.mistaken {
		maxDelay = t.params.MistakenRetryDelayMax
	}
	j.retryAt = now + min(maxDelay, t.params.RetryDelay<<min(j.streak-1, 16))
	if j.proven {
		j.retryAt = now + t.params.RetryDelay/2 // the machine is to blame; the job continues elsewhere
	}
	return t.newlyFaulty([]string{machineName})
}

// evidenceAgainst returns the sum of the evidence against a job.
func (t *Tracker) evidenceAgainst(j *job, name string) (sum float64) {
	for mn := range j.failures {
		m := t.machines[mn]
		switch {
		case m == nil:
			sum += t.params.UnprovenMachineWeight
		case m.faulty:
		case len(m.failures) > 1 || len(m.failures) == 1 && m.failures[name] == 0:
			// Other jobs fail on the machine as well. If those fail elsewhere too, they are
			// no evidence against the machine.
			if t.certainty(m, name) < t.params.SuspectCertainty/2 {
				sum += t.params.UnprovenMachineWeight
			} else {
				sum += t.params.TroubledMachineWeight
			}
		case m.proven:
			sum += t.params.ProvenMachineWeight
		default:
			sum += t.params.UnprovenMachineWeight
		}
	}
	return sum
}

// certainty returns how certain it is that a machine is faulty, from 0 to 1, ignoring the
// failures of the job except.
func (t *Tracker) certainty(m *machine, except string) float64 {
	healthy := 1.0
	for jn, n := range m.failures {
		j := t.jobs[jn]
		if j == nil || jn == except {
			continue
		}
		switch {
		case j.proven:
			healthy *= math.Pow(1-t.params.ProvenJobWeight, float64(n))
		case j.mistaken || t.failsElsewhere(j, m):
			healthy *= 1 - t.params.FailsElsewhereWeight
		default:
			healthy *= 1 - t.params.UnprovenJobWeight
		}
	}
	return 1 - healthy
}

// failsElsewhere reports whether a job has failed on another machine that is not faulty.
func (t *Tracker) failsElsewhere(j *job, here *machine) bool {
	for mn := range j.failures {
		if o := t.machines[mn]; o != nil && o != here && !o.faulty {
			return true
		}
	}
	return false
}

// newlyFaulty marks those of the named machines as faulty that have become so and returns them,
// sorted. A machine needs at least two failures of jobs that do not fail elsewhere too, because a
// single failure on a good machine may be an accident. At least one of them must be of a proven
// job: seven new jobs that fail on one machine may all be mistaken. Each of these is tried on
// another machine next, and a completion there decides.
func (t *Tracker) newlyFaulty(names []string) (faulty []string) {
	for _, n := range names {
		m := t.machines[n]
		if m == nil || m.faulty {
			continue
		}
		failures, sound := 0, false
		for jn, k := range m.failures {
			if j := t.jobs[jn]; j != nil && (j.proven || !j.mistaken && !t.failsElsewhere(j, m)) {
				failures += k
				sound = sound || j.proven
			}
		}
		if sound && failures > 1 && t.certainty(m, "") >= t.params.FaultyCertainty {
			m.faulty = true
			faulty = append(faulty, n)
		}
	}
	slices.Sort(faulty)
	return faulty
}

// RecordCompletion records that a task of a job completed on a machine, or has run there for
// long. It returns the machines that have become faulty because the job is now known to work,
// sorted.
func (t *Tracker) RecordCompletion(jobName, machineName string) []string {
	m := t.machine(machineName)
	m.proven = true
	clear(m.failures)
	j := t.job(jobName)
	first := !j.proven
	j.proven, j.mistaken, j.streak, j.retryAt = true, false, 0, 0
	delete(j.failures, machineName)
	if !first || len(j.failures) == 0 {
		return nil
	}
	return t.newlyFaulty(slices.Sorted(maps.Keys(j.failures)))
}

// MarkMistaken marks a job as mistaken because an earlier holder of its shard found it so.
func (t *Tracker) MarkMistaken(now time.Duration, name string) {
	if j := t.job(name); !j.proven && !j.mistaken {
		j.mistaken, j.streak = true, max(j.streak, 4)
		j.retryAt = now + min(t.params.MistakenRetryDelayMax, t.params.RetryDelay<<j.streak)
	}
}

// OnTrial reports whether a job may run only one task at a time, because it has failed on more
// than one machine and completed on none.
func (t *Tracker) OnTrial(name string) bool {
	j := t.jobs[name]
	return j != nil && !j.proven && (j.mistaken || len(j.failures) > 1)
}

// Mistaken reports whether a job is assumed to fail on every machine.
func (t *Tracker) Mistaken(name string) bool { j := t.jobs[name]; return j != nil && j.mistaken }

// NotBefore returns the earliest time at which a job may be retried, or 0 if there is no delay.
func (t *Tracker) NotBefore(name string) time.Duration {
	if j := t.jobs[name]; j != nil {
		return j.retryAt
	}
	return 0
}

// Avoids reports whether a job must not run on a machine because it has failed there and one of
// the two may be sound. A mistaken job is tried on machines where it is known to fail.
func (t *Tracker) Avoids(jobName, machineName string) bool {
	j := t.jobs[jobName]
	return j != nil && j.failures[machineName] > 0 && !j.mistaken
}

// MachineVerdict returns the verdict on a machine and the number of failures counted against it.
func (t *Tracker) MachineVerdict(name string) (v Verdict, failures int) {
	m := t.machines[name]
	if m == nil {
		return Healthy, 0
	}
	for _, k := range m.failures {
		failures += k
	}
	switch {
	case m.faulty:
		return Faulty, failures
	case failures > 0 && t.certainty(m, "") >= t.params.SuspectCertainty:
		return Suspect, failures
	}
	return Healthy, failures
}

// JobFailures returns on how many machines a job has failed, and how often in total.
func (t *Tracker) JobFailures(name string) (machines, times int) {
	j := t.jobs[name]
	if j == nil {
		return 0, 0
	}
	for _, k := range j.failures {
		times += k
	}
	return len(j.failures), times
}

// ForgetJob drops the evidence about a job that has ended.
func (t *Tracker) ForgetJob(name string) {
	if j := t.jobs[name]; j != nil {
		// The failures of a proven job still count against the machines.
		if !j.proven {
			for mn := range j.failures {
				if m := t.machines[mn]; m != nil {
					delete(m.failures, name)
				}
			}
		}
		delete(t.jobs, name)
	}
}

// ForgetMachine drops the evidence about a machine that no longer exists.
func (t *Tracker) ForgetMachine(name string) { delete(t.machines, name) }
