package rehearse

import (
	"strconv"
	"strings"
	"time"
)

// Facts are what a director knows of the rehearsal. Faults are counted from 1.
type Facts interface {
	AllRunning(job string) bool               // every task that is not done is on a machine
	DoneTasks(job string) int                 //
	StepDone(fault int, step string) bool     // of the fault's recovery
	Lifted(fault int) bool                    // staged, and lifted since
	Understood(feature string) bool           // by every controller, as those that run say
	JobOver(job string) bool                  // its user was told that it is done
	Judged(now time.Duration) (all, met bool) // the expectations
}

// Action is what a director wants done now.
type Action struct {
	Submit string // id of a job
	Job    int    // its index
	Stage  int    // index of a fault, from 1; 0: none
}

// Director decides when a scenario's jobs are submitted and its faults staged, and
// when it is over. It is a state machine: time and facts go in, actions come out.
type Director struct {
	sc      *Scenario
	due     []due
	settled time.Duration // since when all is well; -1: not
}

type due struct {
	action Action
	at     time.Duration
	when   string
	after  time.Duration
	held   bool // the condition has held
	done   bool
}

// linger is how long all must stay well before a rehearsal is over.
const linger = 1500 * time.Millisecond

// NewDirector plans a scenario.
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

// Step returns what is due now, and whether the rehearsal is over.
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

// Calm tells whether no trouble is left or to come.
func (d *Director) Calm(f Facts) bool {
	for _, x := range d.due {
		if x.action.Stage > 0 && (!x.done || !f.Lifted(x.action.Stage)) {
			return false
		}
	}
	return true
}

// well tells whether nothing is wrong any more and all work is where it should be.
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

// holds evaluates a condition that check has accepted.
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
