package rehearse

import (
	"strconv"
	"strings"
	"time"
)

// Facts is the state of the rehearsal that a director reads. Faults are numbered from 1.
type Facts interface {
	AllRunning(job string) bool               // every task that is not done runs on a machine
	DoneTasks(job string) int                 //
	StepDone(fault int, step string) bool     // a step of the fault's recovery
	Lifted(fault int) bool                    // the fault was staged and has been lifted
	Understood(feature string) bool           // by every controller, according to the running ones
	JobOver(job string) bool                  // its user knows that it is done, cancelled or refused
	Judged(now time.Duration) (all, met bool) // whether all expectations are decided, and all are met
}

// Action is an action that is due now.
type Action struct {
	Submit string // ID of the job to submit; empty: none
	Job    int    // the job's index in the scenario
	Stage  int    // number of the fault to stage, from 1; 0: none
}

// Director decides when a scenario's jobs are submitted, when its faults are staged, and
// when the scenario is over. It is a state machine with time and facts as input and actions
// as output.
type Director struct {
	sc      *Scenario
	due     []due
	settled time.Duration // when all became well; -1: not well now
}

type due struct {
	action Action
	at     time.Duration
	when   string
	after  time.Duration
	held   bool // the condition was met; at is then the time of the action
	done   bool
}

// linger is how long everything must stay well before a rehearsal is over.
const linger = 1500 * time.Millisecond

// NewDirector returns a director with the jobs and faults of a scenario.
func NewDirector(sc *Scenario) *Director {
	d := &Director{sc: sc, settled: -1}
	for i, j := range sc.Jobs {
		for n := range j.Count {
			d.due = append(d.due, due{action: Action{Submit: jobID(j.ID, n), Job: i}, at: seconds(j.AtS), when: j.When, after: seconds(j.AfterS + float64(n)*j.EveryS)})
		}
	}
	for i, f := range sc.Faults {
		d.due = append(d.due, due{action: Action{Stage: i + 1}, at: seconds(f.AtS), when: f.When, after: seconds(f.AfterS)})
	}
	return d
}

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }

// Step returns the actions that are due now, and whether the rehearsal is over.
func (d *Director) Step(now time.Duration, f Facts) (out []Action, over bool) {
	open := false
	for i := range d.due {
		x := &d.due[i]
		if x.done {
			continue
		}
		open = true
		if !x.held && now >= x.at && holds(x.when, f) {
			x.held, x.at = true, now+x.after
		}
		if x.held && now >= x.at {
			x.done = true
			out = append(out, x.action)
		}
	}
	if now >= seconds(d.sc.MostS) {
		return out, true
	}
	if open || !d.well(now, f) {
		d.settled = -1
		return out, false
	}
	if d.settled < 0 {
		d.settled = now
	}
	return out, now-d.settled >= linger
}

// Calm reports whether every fault has been staged and lifted.
func (d *Director) Calm(f Facts) bool {
	for _, x := range d.due {
		if x.action.Stage > 0 && (!x.done || !f.Lifted(x.action.Stage)) {
			return false
		}
	}
	return true
}

// well reports whether all faults with a duration are lifted, all services run in full, all batch
// jobs are over and all expectations are decided.
func (d *Director) well(now time.Duration, f Facts) bool {
	for i := range d.sc.Faults {
		if d.sc.Faults[i].ForS > 0 && !f.Lifted(i+1) {
			return false
		}
	}
	for _, j := range d.sc.Jobs {
		for n := range j.Count {
			id := jobID(j.ID, n)
			if j.Shape == "service" && !f.AllRunning(id) || j.Shape == "batch" && !f.JobOver(id) {
				return false
			}
		}
	}
	all, _ := f.Judged(now)
	return all
}

// holds evaluates a condition that the scenario's check has accepted.
func holds(when string, f Facts) bool {
	w := strings.Fields(when)
	if len(w) == 0 {
		return true
	}
	number := func(i int) int { n, _ := strconv.Atoi(w[i]); return n }
	switch w[0] {
	case "running":
		return f.AllRunning(w[1])
	case "done":
		return f.DoneTasks(w[1]) >= number(2)
	case "noticed":
		return f.StepDone(number(1), "noticed")
	case "lifted":
		return f.Lifted(number(1))
	case "understood":
		return f.Understood(w[1])
	case "step":
		return f.StepDone(number(1), w[2])
	}
	return false
}
