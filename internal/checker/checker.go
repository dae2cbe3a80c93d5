// Package checker judges the rules of PROTOCOL from what workers and users saw,
// never from what controllers say. It is told what happened, in order, and
// collects what broke a rule.
package checker

import (
	"fmt"
	"sort"
	"strings"
	"time"

	"github.com/barrowbridge/barrowbridge/wire"
)

// Time is steady time since the observed world began.
type Time = time.Duration

// Rules, by the names that PROTOCOL gives them.
const (
	RanTwice     = "ran_twice"
	Quota        = "quota"
	WrongPlace   = "wrong_place"
	RanCancelled = "ran_cancelled"
	Forgotten    = "forgotten"
	Invented     = "invented"
	NotDone      = "not_done"
	WentBack     = "went_back"
	NothingRan   = "nothing_ran"
	TooEarly     = "too_early"
	Orphaned     = "orphaned"
	// Unserved is no rule of PROTOCOL's: less than half of a class, a team or a class's
	// largest jobs was served, and the day fails.
	Unserved = "unserved"
	// Unfit is none either: a job was accepted that can't run or lacks a field.
	Unfit = "unfit"
)

// Rules lists them all.
var Rules = []string{RanTwice, Quota, WrongPlace, RanCancelled, Forgotten, Invented, NotDone, WentBack, NothingRan, TooEarly, Orphaned}

const (
	// unheard: a job whose polls all fail for so long, while most others are
	// answered, is forgotten.
	unheard = 90 * time.Second
	// calmly: the same once all troubles are over, however others fare.
	calmly = 75 * time.Second
	slack  = 1e-6 // sums of decimal numbers
)

// Limit is the most a team may use.
type Limit struct{ CPUs, GPUs float64 }

// Params describe the deployment.
type Params struct {
	Teams  map[string]Limit
	Cancel time.Duration
	// Types are the machine types of the cloud; none: whether a job fits one is not judged.
	Types []wire.MachineType
	// Lapsed tells whether a machine's lease is over, so that nothing it was given
	// runs on, even if it hangs and cannot say so. nil: never.
	Lapsed func(machine string, now Time) bool
	// Rooms lists the machines that take tasks. nil: who waits is not judged.
	Rooms func(now Time) []Room
}

// Machine is where a task may be.
type Machine struct {
	Name, Type, Zone string
	Spot             bool
}

// Violation is one broken rule.
type Violation struct {
	At   Time   `json:"at_ns"`
	Rule string `json:"rule"`
	What string `json:"what"`
}

func (v Violation) String() string { return fmt.Sprintf("%v: %s: %s", v.At, v.Rule, v.What) }

type job struct {
	spec      wire.JobSpec
	accepted  Time // when a user was first told; never: not yet
	begun     Time // when its first task started; never: not yet
	final     string
	finalAt   Time
	aborted   bool // its user has asked to cancel it
	aborts    Time // when the user was told that it is cancelled; never: not
	done      map[string]bool
	doneAt    Time // when the last of its tasks had completed; never: not yet
	refused   bool // its latest submission was refused for good
	early     bool // a start before its predecessors were done has been reported
	orphaned  bool // its being called alive after a cancellation before it has been reported
	on        map[place]bool
	unheard   Time // since when every poll has failed; never: the last was answered
	heard     Time // when the latest poll that was answered had been sent
	told      bool // its being unheard has been reported
	cancelled map[place]bool
	failed    bool // a task of it has ended in error
	waitsFrom Time // since when each look found it waiting in vain; never: not
	waitTold  bool // its waiting has been reported
}

type place struct{ task, machine string }

const never = Time(1<<63 - 1)

// Checker collects what broke.
type Checker struct {
	p        Params
	jobs     map[string]*job
	after    map[string][]string // jobs that name a job, by that job
	asks     map[string]int      // jobs that nobody has submitted yet: requests to cancel them that are on their way
	machines map[string]Machine
	started  int
	late     int // starts of tasks whose job had been confirmed as cancelled
	broken   []Violation
	polls    []poll // of the last unheard
	calm     Time   // since when no trouble is left; never: not yet
	looked   Time   // when it was last looked who waits
}

type poll struct {
	at Time
	ok bool
}

// New returns a checker of a world in which nothing has happened.
func New(p Params) *Checker {
	return &Checker{p: p, jobs: map[string]*job{}, after: map[string][]string{}, asks: map[string]int{}, machines: map[string]Machine{}, calm: never}
}

// Calm tells that all troubles are over.
func (c *Checker) Calm(now Time) { c.calm = min(c.calm, now) }

// Broken lists what broke a rule so far.
func (c *Checker) Broken() []Violation { return c.broken }

// Started counts the tasks that were started.
func (c *Checker) Started() int { return c.started }

// StartedCancelled counts the tasks that were started after their user had been told that the
// job is cancelled, soon after or not.
func (c *Checker) StartedCancelled() int { return c.late }

func (c *Checker) fail(now Time, rule, format string, a ...any) {
	c.broken = append(c.broken, Violation{now, rule, fmt.Sprintf(format, a...)})
}

// Submitting tells that a user is about to submit a job, for the first time or again.
func (c *Checker) Submitting(spec wire.JobSpec) {
	if j := c.jobs[*spec.ID]; j != nil {
		j.refused = false
	} else {
		c.jobs[*spec.ID] = &job{spec: spec, accepted: never, begun: never, aborts: never, unheard: never, doneAt: never, waitsFrom: never, aborted: c.asks[*spec.ID] > 0,
			done: map[string]bool{}, on: map[place]bool{}, cancelled: map[place]bool{}}
		for _, p := range spec.Predecessors {
			c.after[p] = append(c.after[p], *spec.ID)
		}
	}
}

// Submitted tells how a submission sent at asked was answered.
func (c *Checker) Submitted(now, asked Time, id string, status int, st wire.JobStatus) {
	j := c.jobs[id]
	switch {
	case status == 201 || status == 200:
		if why := c.unfit(&j.spec); why != "" {
			c.fail(now, Unfit, "%s is accepted: %s", id, why)
			return
		}
		c.acceptable(now, id, j)
		j.accepted = min(j.accepted, now)
		c.told(now, asked, id, j, st.Status)
	case (status == 400 || status == 422) && j.accepted < asked:
		c.fail(now, Forgotten, "%s was accepted, submitted again it got %d", id, status)
	case status == 400 || status == 422:
		j.refused = true
	}
}

// Polled tells how a poll sent at asked was answered; status 0: not at all.
func (c *Checker) Polled(now, asked Time, id string, status int, st wire.JobStatus) {
	c.polls = append(c.polls, poll{now, status == 200 || status == 404})
	for len(c.polls) > 0 && now-c.polls[0].at > unheard {
		c.polls = c.polls[1:]
	}
	j := c.jobs[id]
	if j == nil {
		if status == 200 {
			c.fail(now, Invented, "%s, which nobody submitted, is %s", id, st.Status)
		}
		return
	}
	switch {
	case status == 200:
		j.unheard, j.heard = never, max(j.heard, asked)
		c.told(now, asked, id, j, st.Status)
	case status == 404:
		j.unheard, j.heard = never, max(j.heard, asked)
		if j.accepted < asked {
			c.fail(now, Forgotten, "%s was accepted and is unknown now", id)
		}
	case asked < j.heard: // the failure of an earlier poll, told late: one sent since was answered
	case j.accepted < asked:
		j.unheard = min(j.unheard, asked)
		lone := now-j.unheard >= unheard && c.answered() > 0.5
		if !j.told && (lone || c.calm != never && now-max(j.unheard, c.calm) >= calmly) {
			j.told = true
			c.fail(now, Forgotten, "every poll for %s has failed for %v", id, now-j.unheard)
		}
	}
}

func (c *Checker) answered() float64 {
	ok := 0
	for _, p := range c.polls {
		if p.ok {
			ok++
		}
	}
	return float64(ok) / float64(max(1, len(c.polls)))
}

// Aborting tells that a job's user is about to cancel it, each time that he asks. The job may be submitted while
// the request is on its way.
func (c *Checker) Aborting(id string) {
	if j := c.jobs[id]; j != nil {
		j.aborted = true
	} else {
		c.asks[id]++
	}
}

// Aborted tells how a request to cancel was answered.
func (c *Checker) Aborted(now, asked Time, id string, status int, st wire.JobStatus) {
	j := c.jobs[id]
	if j == nil && c.asks[id] > 0 {
		c.asks[id]-- // answered before there was such a job: it is cancelled by no other request than a later one
	}
	switch {
	case j == nil && status == 200:
		c.fail(now, Invented, "%s, which nobody submitted, is %s", id, st.Status)
	case j == nil:
	case status == 200:
		c.told(now, asked, id, j, st.Status)
	case status == 404 && j.accepted < asked:
		c.fail(now, Forgotten, "%s was accepted and is unknown now", id)
	}
}

// told checks an answer against all that users had been told before they asked.
func (c *Checker) told(now, asked Time, id string, j *job, status string) {
	if j.final != "" && j.finalAt < asked && status != j.final {
		c.fail(now, WentBack, "%s was %s and is %s now", id, j.final, status)
	}
	switch status {
	case wire.JobDone:
		if len(j.done) < int(*j.spec.Tasks) {
			c.fail(now, NotDone, "%s is called done with %d of %d tasks", id, len(j.done), *j.spec.Tasks)
		}
	case wire.JobAborted:
		if !c.cancellable(id, j) {
			c.fail(now, WentBack, "%s is called cancelled, which no user asked for, of it or of a job before it", id)
		}
		j.aborts = min(j.aborts, now)
	default:
		c.outlived(now, asked, id, j, status)
		return
	}
	if j.final != "" && j.final != status && j.finalAt >= asked {
		c.fail(now, WentBack, "%s is called %s and %s", id, j.final, status)
	}
	if j.final == "" {
		j.final, j.finalAt = status, now
		c.ended(now, id, status)
	}
}

// MachineUp tells of a machine.
func (c *Checker) MachineUp(m Machine) { c.machines[m.Name] = m }

// here tells whether what was started on a machine may still run there.
func (c *Checker) here(machine string, now Time) bool {
	return c.p.Lapsed == nil || !c.p.Lapsed(machine, now)
}

// TaskStarted tells that a task is on a machine from now.
func (c *Checker) TaskStarted(now Time, machine, task string, attempt uint64) {
	c.started++
	id, _, _ := strings.Cut(task, "/")
	j, m := c.jobs[id], c.machines[machine]
	if j == nil {
		c.fail(now, Invented, "%s of a job that nobody submitted runs on %s", task, machine)
		return
	}
	c.inOrder(now, id, j, task)
	j.begun = min(j.begun, now)
	here, total := 0, 0
	for _, p := range j.places() {
		if !c.here(p.machine, now) {
			continue
		}
		if p.task == task && p.machine != machine {
			c.fail(now, RanTwice, "%s starts on %s while on %s", task, machine, p.machine)
		}
		total++
		if c.machines[p.machine].Zone == m.Zone {
			here++
		}
	}
	at := c.cancelled(id, j)
	if at != never && now > at {
		c.late++
	}
	if at != never && now > at+c.p.Cancel {
		c.fail(now, RanCancelled, "%s starts on %s %v after its job was cancelled", task, machine, now-at)
	}
	c.checkPlace(now, j, m, task, here, total)
	j.on[place{task, machine}] = true
	c.checkQuota(now, *j.spec.Team)
}

func (c *Checker) checkPlace(now Time, j *job, m Machine, task string, here, total int) {
	s := j.spec
	wrong := func(why string) {
		c.fail(now, WrongPlace, "%s on %s (%s in %s): %s", task, m.Name, m.Type, m.Zone, why)
	}
	if s.Types != nil {
		ok := false
		for _, t := range s.Types {
			ok = ok || t == m.Type
		}
		if !ok {
			wrong("a type its job does not allow")
		}
	}
	if s.Zone != nil && *s.Zone != m.Zone {
		wrong("its job allows one zone only: " + *s.Zone)
	}
	if m.Spot && !*s.Spot {
		wrong("its job does not allow spot machines")
	}
	if *s.OneZone && here < total {
		wrong("its job's other tasks are in another zone")
	}
	if *s.Spread && here+1 > (int(*s.Tasks)+1)/2 {
		wrong(fmt.Sprintf("%d of its job's %d tasks are in this zone", here+1, *s.Tasks))
	}
}

func (c *Checker) checkQuota(now Time, team string) {
	var cpus, gpus float64
	for _, j := range c.jobs {
		if len(j.on) == 0 || *j.spec.Team != team {
			continue
		}
		for p := range j.on {
			if c.here(p.machine, now) {
				cpus, gpus = cpus+*j.spec.CPUs, gpus+*j.spec.GPUs
			}
		}
	}
	if l := c.p.Teams[team]; cpus > l.CPUs+slack || gpus > l.GPUs+slack {
		c.fail(now, Quota, "team %s uses %g cpus and %g gpus of %g and %g", team, cpus, gpus, l.CPUs, l.GPUs)
	}
}

// places lists where a job's tasks are, in order, so that verdicts repeat.
func (j *job) places() []place {
	out := make([]place, 0, len(j.on))
	for p := range j.on {
		out = append(out, p)
	}
	sort.Slice(out, func(a, b int) bool {
		return out[a].task < out[b].task || out[a].task == out[b].task && out[a].machine < out[b].machine
	})
	return out
}

// TaskLeft tells that a task is on a machine no longer; cause is that of its report.
func (c *Checker) TaskLeft(now Time, machine, task, cause string) {
	id, _, _ := strings.Cut(task, "/")
	j := c.jobs[id]
	if j == nil {
		return
	}
	c.overstayed(now, id, j, place{task, machine})
	delete(j.on, place{task, machine})
	if cause == wire.CauseDone {
		j.done[task] = true
		if len(j.done) >= int(*j.spec.Tasks) {
			j.doneAt = min(j.doneAt, now)
		}
	}
	j.failed = j.failed || cause == wire.CauseError
}

// overstayed reports a task that is there longer than its cancelled job allows.
func (c *Checker) overstayed(now Time, id string, j *job, p place) {
	if at := c.cancelled(id, j); at != never && now > at+c.p.Cancel && !j.cancelled[p] && c.here(p.machine, now) {
		j.cancelled[p] = true
		c.fail(now, RanCancelled, "%s is on %s %v after its job was cancelled", p.task, p.machine, now-at)
	}
}

// Tick looks for tasks of cancelled jobs that are still somewhere, and for jobs that wait in vain.
func (c *Checker) Tick(now Time) {
	c.lookForWaits(now)
	ids := make([]string, 0, len(c.jobs))
	for id, j := range c.jobs {
		if len(j.on) > 0 {
			ids = append(ids, id)
		}
	}
	sort.Strings(ids)
	for _, id := range ids {
		for _, p := range c.jobs[id].places() {
			c.overstayed(now, id, c.jobs[id], p)
		}
	}
}

// Finish ends the observation.
func (c *Checker) Finish(now Time) []Violation {
	c.Tick(now)
	if c.started == 0 {
		c.fail(now, NothingRan, "no task was started")
	}
	return c.broken
}

// Final is what a job's users were told at last, "" if it is not over.
func (c *Checker) Final(id string) string {
	if j := c.jobs[id]; j != nil {
		return j.final
	}
	return ""
}

// Accepted tells whether a user was told that the job is accepted.
func (c *Checker) Accepted(id string) bool { j := c.jobs[id]; return j != nil && j.accepted != never }

// DoneTasks counts the tasks of a job that have completed.
func (c *Checker) DoneTasks(id string) int {
	if j := c.jobs[id]; j != nil {
		return len(j.done)
	}
	return 0
}

// On lists the machines that a job's tasks are on, task by task.
func (c *Checker) On(id string, now Time) (out []string) {
	j := c.jobs[id]
	if j == nil {
		return nil
	}
	for _, p := range j.places() {
		if c.here(p.machine, now) {
			out = append(out, p.task+" on "+p.machine)
		}
	}
	return out
}
