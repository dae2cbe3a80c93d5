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
	SoundJob, NewJob, FailsElsewhere float64
	Suspect, Sick                    float64 // certainty from which on a machine counts as such
	// Weight of a failure against the job, by what is known of the machine.
	SoundMachine, NewMachine, TroubledMachine float64
	Mistaken                                  float64 // sum of these, over machines
	Pause, PauseMax, MistakenMax              time.Duration
}

// Verdict is what is believed of a machine.
type Verdict int

// Well machines take all work, suspects none that is urgent, sick ones none.
const (
	Well Verdict = iota
	Suspect
	Sick
)

// Book holds the evidence.
type Book struct {
	p        Params
	jobs     map[string]*job
	machines map[string]*machine
}

type job struct {
	sound    bool           // a task of it has completed
	failed   map[string]int // machine -> failures there
	streak   int            // failures since it was last cleared, those at one moment as one
	wait     time.Duration  // not before
	mistaken bool
}

type machine struct {
	was    bool           // something has ever completed there
	failed map[string]int // job -> failures since the last completion
	sick   bool           // once found sick it stays so: it is given back
}

// New returns a book without evidence.
func New(p Params) *Book {
	return &Book{p: p, jobs: map[string]*job{}, machines: map[string]*machine{}}
}

func (b *Book) job(name string) *job {
	j := b.jobs[name]
	if j == nil {
		j = &job{failed: map[string]int{}}
		b.jobs[name] = j
	}
	return j
}

func (b *Book) machine(name string) *machine {
	m := b.machines[name]
	if m == nil {
		m = &machine{failed: map[string]int{}}
		b.machines[name] = m
	}
	return m
}

// Failed notes that a task of a job failed on a machine. It returns the machines that are
// sick by now and were not before, in order.
func (b *Book) Failed(now time.Duration, jobName, machineName string) []string {
	j, m := b.job(jobName), b.machine(machineName)
	j.failed[machineName]++
	m.failed[jobName]++
	if j.streak == 0 || now >= j.wait {
		j.streak++ // a wave of tasks that were started together tells one thing
	}
	if !j.sound && !j.mistaken {
		j.mistaken = b.against(j, jobName) >= b.p.Mistaken && len(j.failed) > 1
	}
	most := b.p.PauseMax
	if j.mistaken {
		most = b.p.MistakenMax
	}
	j.wait = now + min(most, b.p.Pause<<min(j.streak-1, 16))
	if j.sound {
		j.wait = now + b.p.Pause/2 // the machine's fault: it goes on elsewhere
	}
	return b.judge([]string{machineName})
}

// against adds up what speaks against a job.
func (b *Book) against(j *job, name string) (sum float64) {
	for mn := range j.failed {
		m := b.machines[mn]
		switch {
		case m == nil:
			sum += b.p.NewMachine
		case m.sick:
		case len(m.failed) > 1 || len(m.failed) == 1 && m.failed[name] == 0:
			// Others fail there as well. If those fail elsewhere too, they say nothing
			// of the machine.
			if b.certainty(m, name) < b.p.Suspect/2 {
				sum += b.p.NewMachine
			} else {
				sum += b.p.TroubledMachine
			}
		case m.was:
			sum += b.p.SoundMachine
		default:
			sum += b.p.NewMachine
		}
	}
	return sum
}

// certainty is how sure it is that a machine is faulty, the failures of one job apart.
func (b *Book) certainty(m *machine, except string) float64 {
	well := 1.0
	for jn, n := range m.failed {
		j := b.jobs[jn]
		if j == nil || jn == except {
			continue
		}
		switch {
		case j.sound:
			well *= math.Pow(1-b.p.SoundJob, float64(n))
		case j.mistaken || b.elsewhere(j, m):
			well *= 1 - b.p.FailsElsewhere
		default:
			well *= 1 - b.p.NewJob
		}
	}
	return 1 - well
}

// elsewhere tells whether a job has failed on another machine that is not sick.
func (b *Book) elsewhere(j *job, here *machine) bool {
	for mn := range j.failed {
		if o := b.machines[mn]; o != nil && o != here && !o.sick {
			return true
		}
	}
	return false
}

// judge finds those of some machines that have become sick. Two failures at least that are
// not those of jobs that fail elsewhere too: of a good machine one may be an accident. And
// one of a sound job: seven new jobs that fail on a machine may all be mistaken; each is
// tried elsewhere next, and if one completes there, that decides.
func (b *Book) judge(names []string) (sick []string) {
	for _, n := range names {
		m := b.machines[n]
		if m == nil || m.sick {
			continue
		}
		failures, sound := 0, false
		for jn, k := range m.failed {
			if j := b.jobs[jn]; j != nil && (j.sound || !j.mistaken && !b.elsewhere(j, m)) {
				failures += k
				sound = sound || j.sound
			}
		}
		if sound && failures > 1 && b.certainty(m, "") >= b.p.Sick {
			m.sick = true
			sick = append(sick, n)
		}
	}
	slices.Sort(sick)
	return sick
}

// Completed notes that a task of a job completed on a machine, or has run there for long.
// It returns machines that are sick by what is now known of the job.
func (b *Book) Completed(jobName, machineName string) []string {
	m := b.machine(machineName)
	m.was = true
	clear(m.failed)
	j := b.job(jobName)
	first := !j.sound
	j.sound, j.mistaken, j.streak, j.wait = true, false, 0, 0
	delete(j.failed, machineName)
	if !first || len(j.failed) == 0 {
		return nil
	}
	return b.judge(slices.Sorted(maps.Keys(j.failed)))
}

// Condemn takes over what an earlier holder knew: a job is mistaken.
func (b *Book) Condemn(now time.Duration, name string) {
	if j := b.job(name); !j.sound && !j.mistaken {
		j.mistaken, j.streak = true, max(j.streak, 4)
		j.wait = now + min(b.p.MistakenMax, b.p.Pause<<j.streak)
	}
}

// Trial tells whether a job is tried by one task at a time: it has failed on more than one
// machine and completed nowhere.
func (b *Book) Trial(name string) bool {
	j := b.jobs[name]
	return j != nil && !j.sound && (j.mistaken || len(j.failed) > 1)
}

// Mistaken tells whether a job is believed to fail everywhere.
func (b *Book) Mistaken(name string) bool { j := b.jobs[name]; return j != nil && j.mistaken }

// NotBefore is when a job may be tried next; 0: at any time.
func (b *Book) NotBefore(name string) time.Duration {
	if j := b.jobs[name]; j != nil {
		return j.wait
	}
	return 0
}

// Avoids tells whether a job keeps off a machine: it has failed there, and one of the two
// may be sound. A job that fails everywhere is tried where it is known to fail.
func (b *Book) Avoids(jobName, machineName string) bool {
	j := b.jobs[jobName]
	return j != nil && j.failed[machineName] > 0 && !j.mistaken
}

// Machine is what is believed of a machine, and how many failures stand against it.
func (b *Book) Machine(name string) (v Verdict, failures int) {
	m := b.machines[name]
	if m == nil {
		return Well, 0
	}
	for _, k := range m.failed {
		failures += k
	}
	switch {
	case m.sick:
		return Sick, failures
	case failures > 0 && b.certainty(m, "") >= b.p.Suspect:
		return Suspect, failures
	}
	return Well, failures
}

// Failures tells on how many machines a job has failed, and how often in all.
func (b *Book) Failures(name string) (machines, times int) {
	j := b.jobs[name]
	if j == nil {
		return 0, 0
	}
	for _, k := range j.failed {
		times += k
	}
	return len(j.failed), times
}

// ForgetJob drops what is known of a job that is over.
func (b *Book) ForgetJob(name string) {
	if j := b.jobs[name]; j != nil {
		// What it says of machines stays said: a sound job's failures there count on.
		if !j.sound {
			for mn := range j.failed {
				if m := b.machines[mn]; m != nil {
					delete(m.failed, name)
				}
			}
		}
		delete(b.jobs, name)
	}
}

// ForgetMachine drops what is known of a machine that is gone.
func (b *Book) ForgetMachine(name string) { delete(b.machines, name) }
