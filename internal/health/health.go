// Package health decides who is to blame when tasks fail: a faulty machine, which fails
// whatever it starts, or a mistaken job, which fails wherever it starts. Counting failures
// in a row on a machine took healthy machines for faulty: two mistaken jobs met there.
//
// A failure speaks against a machine as far as the job is known to be sound, and against
// the job as far as the machine is. What completes clears both at once.
//
// Pure: time comes in; not for concurrent use.
package health

import (
	"maps"
	"math"
	"slices"
	"time"
)

// Params weigh the evidence and pace the retries. Weights are shares of certainty.
type Params struct {
	// Weight of a failure against the machine, by what is known of the job.
	ProvenJobWeight, UnprovenJobWeight, FailsElsewhereWeight float64
	SuspectCertainty, FaultyCertainty                        float64 // certainty from which on a machine counts as such
	// Weight of a failure against the job, by what is known of the machine.
	ProvenMachineWeight, UnprovenMachineWeight, TroubledMachineWeight float64
	MistakenThreshold                                                 float64 // sum of these, over machines
	RetryDelay, RetryDelayMax, MistakenRetryDelayMax                  time.Duration
}

// Verdict is what is believed of a machine.
type Verdict int

// Well machines take all work, suspects none that is urgent, sick ones none.
const (
	Healthy Verdict = iota
	Suspect
	Faulty
)

// Book holds the evidence.
type Tracker struct {
	params   Params
	jobs     map[string]*job
	machines map[string]*machine
}

type job struct {
	proven   bool           // a task of it has completed
	failures map[string]int // machine -> failures there
	streak   int            // failures since it was last cleared, those at one moment as one
	retryAt  time.Duration  // not before
	mistaken bool
}

type machine struct {
	proven   bool           // something has ever completed there
	failures map[string]int // job -> failures since the last completion
	faulty   bool           // once found sick it stays so: it is given back
}

// New returns a book without evidence.
func New(p Params) *Tracker {
	return &Tracker{params: p, jobs: map[string]*job{}, machines: map[string]*machine{}}
}

func (b *Tracker) job(name string) *job {
	j := b.jobs[name]
	if j == nil {
		j = &job{failures: map[string]int{}}
		b.jobs[name] = j
	}
	return j
}

func (b *Tracker) machine(name string) *machine {
	m := b.machines[name]
	if m == nil {
		m = &machine{failures: map[string]int{}}
		b.machines[name] = m
	}
	return m
}

// Failed notes that a task of a job failed on a machine. It returns the machines that are
// sick by now and were not before, in order.
func (b *Tracker) RecordFailure(now time.Duration, jobName, machineName string) []string {
	j, m := b.job(jobName), b.machine(machineName)
	j.failures[machineName]++
	m.failures[jobName]++
	if j.streak == 0 || now >= j.retryAt {
		j.streak++ // a wave of tasks that were started together tells one thing
	}
	if !j.proven && !j.mistaken {
		j.mistaken = b.evidenceAgainst(j, jobName) >= b.params.MistakenThreshold && len(j.failures) > 1
	}
	most := b.params.RetryDelayMax
	if j.mistaken {
		most = b.params.MistakenRetryDelayMax
	}
	j.retryAt = now + min(most, b.params.RetryDelay<<min(j.streak-1, 16))
	if j.proven {
		j.retryAt = now + b.params.RetryDelay/2 // the machine's fault: it goes on elsewhere
	}
	return b.newlyFaulty([]string{machineName})
}

// against adds up what speaks against a job.
func (b *Tracker) evidenceAgainst(j *job, name string) (sum float64) {
	for mn := range j.failures {
		m := b.machines[mn]
		switch {
		case m == nil:
			sum += b.params.UnprovenMachineWeight
		case m.faulty:
		case len(m.failures) > 1 || len(m.failures) == 1 && m.failures[name] == 0:
			// Others fail there as well. If those fail elsewhere too, they say nothing
			// of the machine.
			if b.certainty(m, name) < b.params.SuspectCertainty/2 {
				sum += b.params.UnprovenMachineWeight
			} else {
				sum += b.params.TroubledMachineWeight
			}
		case m.proven:
			sum += b.params.ProvenMachineWeight
		default:
			sum += b.params.UnprovenMachineWeight
		}
	}
	return sum
}

// certainty is how sure it is that a machine is faulty, the failures of one job apart.
func (b *Tracker) certainty(m *machine, except string) float64 {
	well := 1.0
	for jn, n := range m.failures {
		j := b.jobs[jn]
		if j == nil || jn == except {
			continue
		}
		switch {
		case j.proven:
			well *= math.Pow(1-b.params.ProvenJobWeight, float64(n))
		case j.mistaken || b.failsElsewhere(j, m):
			well *= 1 - b.params.FailsElsewhereWeight
		default:
			well *= 1 - b.params.UnprovenJobWeight
		}
	}
	return 1 - well
}

// elsewhere tells whether a job has failed on another machine that is not sick.
func (b *Tracker) failsElsewhere(j *job, here *machine) bool {
	for mn := range j.failures {
		if o := b.machines[mn]; o != nil && o != here && !o.faulty {
			return true
		}
	}
	return false
}

// judge finds those of some machines that have become sick. Two failures at least that are
// not those of jobs that fail elsewhere too: of a good machine one may be an accident. And
// one of a sound job: seven new jobs that fail on a machine may all be mistaken; each is
// tried elsewhere next, and if one completes there, that decides.
func (b *Tracker) newlyFaulty(names []string) (sick []string) {
	for _, n := range names {
		m := b.machines[n]
		if m == nil || m.faulty {
			continue
		}
		failures, sound := 0, false
		for jn, k := range m.failures {
			if j := b.jobs[jn]; j != nil && (j.proven || !j.mistaken && !b.failsElsewhere(j, m)) {
				failures += k
				sound = sound || j.proven
			}
		}
		if sound && failures > 1 && b.certainty(m, "") >= b.params.FaultyCertainty {
			m.faulty = true
			sick = append(sick, n)
		}
	}
	slices.Sort(sick)
	return sick
}

// Completed notes that a task of a job completed on a machine, or has run there for long.
// It returns machines that are sick by what is now known of the job.
func (b *Tracker) RecordCompletion(jobName, machineName string) []string {
	m := b.machine(machineName)
	m.proven = true
	clear(m.failures)
	j := b.job(jobName)
	first := !j.proven
	j.proven, j.mistaken, j.streak, j.retryAt = true, false, 0, 0
	delete(j.failures, machineName)
	if !first || len(j.failures) == 0 {
		return nil
	}
	return b.newlyFaulty(slices.Sorted(maps.Keys(j.failures)))
}

// Condemn takes over what an earlier holder knew: a job is mistaken.
func (b *Tracker) MarkMistaken(now time.Duration, name string) {
	if j := b.job(name); !j.proven && !j.mistaken {
		j.mistaken, j.streak = true, max(j.streak, 4)
		j.retryAt = now + min(b.params.MistakenRetryDelayMax, b.params.RetryDelay<<j.streak)
	}
}

// Trial tells whether a job is tried by one task at a time: it has failed on more than one
// machine and completed nowhere.
func (b *Tracker) OnTrial(name string) bool {
	j := b.jobs[name]
	return j != nil && !j.proven && (j.mistaken || len(j.failures) > 1)
}

// Mistaken tells whether a job is believed to fail everywhere.
func (b *Tracker) Mistaken(name string) bool { j := b.jobs[name]; return j != nil && j.mistaken }

// NotBefore is when a job may be tried next; 0: at any time.
func (b *Tracker) NotBefore(name string) time.Duration {
	if j := b.jobs[name]; j != nil {
		return j.retryAt
	}
	return 0
}

// Avoids tells whether a job keeps off a machine: it has failed there, and one of the two
// may be sound. A job that fails everywhere is tried where it is known to fail.
func (b *Tracker) Avoids(jobName, machineName string) bool {
	j := b.jobs[jobName]
	return j != nil && j.failures[machineName] > 0 && !j.mistaken
}

// Machine is what is believed of a machine, and how many failures stand against it.
func (b *Tracker) MachineVerdict(name string) (v Verdict, failures int) {
	m := b.machines[name]
	if m == nil {
		return Healthy, 0
	}
	for _, k := range m.failures {
		failures += k
	}
	switch {
	case m.faulty:
		return Faulty, failures
	case failures > 0 && b.certainty(m, "") >= b.params.SuspectCertainty:
		return Suspect, failures
	}
	return Healthy, failures
}

// Failures tells on how many machines a job has failed, and how often in all.
func (b *Tracker) JobFailures(name string) (machines, times int) {
	j := b.jobs[name]
	if j == nil {
		return 0, 0
	}
	for _, k := range j.failures {
		times += k
	}
	return len(j.failures), times
}

// ForgetJob drops what is known of a job that is over.
func (b *Tracker) ForgetJob(name string) {
	if j := b.jobs[name]; j != nil {
		// What it says of machines stays said: a sound job's failures there count on.
		if !j.proven {
			for mn := range j.failures {
				if m := b.machines[mn]; m != nil {
					delete(m.failures, name)
				}
			}
		}
		delete(b.jobs, name)
	}
}

// ForgetMachine drops what is known of a machine that is gone.
func (b *Tracker) ForgetMachine(name string) { delete(b.machines, name) }
