// Package checker verifies the rules of PROTOCOL from what workers and users observed,
// never from what controllers report about themselves. It receives the events of a run
// in order and collects the violations.
package checker

import (
	"fmt"
	"sort"
	"strings"
	"time"

	"github.com/barrowbridge/barrowbridge/wire"
)

// Time is monotonic time since the observed run began.
type Time = time.Duration

// Rule names, as in PROTOCOL.
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
	// Unserved is not a rule of PROTOCOL: fewer than half of the jobs of a class, of a team or
	// of the largest of a class started in time. It fails the run.
	Unserved = "unserved"
	// Unfit is not a rule of PROTOCOL either: a job was accepted that cannot run or that lacks
	// a required field.
	Unfit = "unfit"
	// TooLarge is not on PROTOCOL's list of rules: a worker has more tasks than its report may
	// list in the 64 KiB of a request body. It breaks the run.
	TooLarge = "too_large"
)

// Rules lists all rules of PROTOCOL that the checker verifies.
var Rules = []string{
	RanTwice,
	Quota,
	WrongPlace,
	RanCancelled,
	Forgotten,
	Invented,
	NotDone,
	WentBack,
	NothingRan,
	TooEarly,
	Orphaned,
}

const (
	// unansweredLimit is how long all polls for a job may fail, while more than half of
	// the polls for any job are answered, before the job counts as forgotten.
	unansweredLimit = 90 * time.Second
	// unansweredLimitAfterFaults is the limit once all injected faults are over. It applies
	// whether or not polls for other jobs are answered.
	unansweredLimitAfterFaults = 75 * time.Second
	// tolerance absorbs rounding in sums of decimal numbers.
	tolerance = 1e-6
)

// Limit is the most CPUs and GPUs that a team may use at once.
type Limit struct{ CPUs, GPUs float64 }

// Params describes the deployment under observation.
type Params struct {
	// Teams holds the limit of each team by name.
	Teams map[string]Limit
	// Cancel is how long tasks may still run or start after a user was told that their job
	// is cancelled.
	Cancel time.Duration
	// Types lists the machine types of the cloud. If it is empty, the checker does not verify
	// that an accepted job fits a machine type.
	Types []wire.MachineType
	// Lapsed reports whether a machine's lease has expired, so that none of the tasks assigned
	// to it run any more, even if the machine hangs and cannot report that. If it is nil, leases
	// never expire.
	Lapsed func(machine string, now Time) bool
	// Rooms lists the machines that accept tasks. If it is nil, the checker does not verify
	// that jobs do not wait while there is free capacity.
	Rooms func(now Time) []Room
}

// Machine is a machine that can run tasks.
type Machine struct {
	Name, Type, Zone string
	Spot             bool
}

// Violation is one violation of a rule.
type Violation struct {
	At   Time   `json:"at_ns"`
	Rule string `json:"rule"`
	What string `json:"what"`
}

func (v Violation) String() string { return fmt.Sprintf("%v: %s: %s", v.At, v.Rule, v.What) }

// job is what workers and users have observed of one job. Times other than finalAt and
// lastAnsweredPoll are never until the event occurs.
type job struct {
	spec               wire.JobSpec
	acceptedAt         Time // when a user was first told that the job is accepted
	startedAt          Time // when its first task started
	finalStatus        string
	finalAt            Time
	cancelRequested    bool // its user has requested cancellation
	cancelledAt        Time // when a user was first told that it is cancelled
	doneTasks          map[string]bool
	doneAt             Time // when the last of its tasks had completed
	refused            bool // its latest submission was permanently refused
	earlyReported      bool // a start before its predecessors were done has been reported
	orphanReported     bool // an unfinished status after the cancellation of a predecessor has been reported
	placements         map[place]bool
	unansweredSince    Time // since when every poll has failed; never if the latest was answered
	lastAnsweredPoll   Time // when the latest answered poll was sent
	unansweredReported bool // the lack of answers has been reported
	overstayReported   map[place]bool
	failed             bool // one of its tasks ended in error
	waitingSince       Time // since when every check found it waiting although it could start a task; never if the latest did not
	waitReported       bool // its waiting has been reported
}

// place is a task on a machine.
type place struct{ task, machine string }

// never is the time of an event that has not occurred.
const never = Time(1<<63 - 1)

// Checker collects the violations of one run.
type Checker struct {
	params           Params
	jobs             map[string]*job
	directDependents map[string][]string // IDs of the jobs that name a job as a predecessor, by that job's ID
	pendingCancels   map[string]int      // cancel requests in flight for jobs not yet submitted, by job ID
	machines         map[string]Machine
	started          int
	startedCancelled int // starts of tasks whose job had been confirmed as cancelled
	violations       []Violation
	polls            []poll // those of the last unansweredLimit
	faultsOverAt     Time   // since when all faults are over; never if some are not
	waitsCheckedAt   Time   // when the waiting jobs were last checked
}

// poll is the time at which a poll ended, and whether it was answered.
type poll struct {
	at Time
	ok bool
}

// New returns a checker of a run in which nothing has happened yet.
func New(p Params) *Checker {
	return &Checker{
		params:           p,
		jobs:             map[string]*job{},
		directDependents: map[string][]string{},
		pendingCancels:   map[string]int{},
		machines:         map[string]Machine{},
		faultsOverAt:     never,
	}
}

// Calm records that all faults are over. Only the first call counts.
func (c *Checker) Calm(now Time) { c.faultsOverAt = min(c.faultsOverAt, now) }

// Broken returns the violations found so far.
func (c *Checker) Broken() []Violation { return c.violations }

// Started returns the number of task starts observed.
func (c *Checker) Started() int { return c.started }

// StartedCancelled returns the number of task starts after a user had been told that the job is
// cancelled, including those within the time that Params.Cancel allows.
func (c *Checker) StartedCancelled() int { return c.startedCancelled }

func (c *Checker) fail(now Time, rule, format string, a ...any) {
	c.violations = append(c.violations, Violation{now, rule, fmt.Sprintf(format, a...)})
}

// Submitting records that a user is about to submit a job, for the first time or again.
func (c *Checker) Submitting(spec wire.JobSpec) {
	if j := c.jobs[*spec.ID]; j != nil {
		j.refused = false
	} else {
		c.jobs[*spec.ID] = &job{
			spec:             spec,
			acceptedAt:       never,
			startedAt:        never,
			cancelledAt:      never,
			unansweredSince:  never,
			doneAt:           never,
			waitingSince:     never,
			cancelRequested:  c.pendingCancels[*spec.ID] > 0,
			doneTasks:        map[string]bool{},
			placements:       map[place]bool{},
			overstayReported: map[place]bool{},
		}
		for _, p := range spec.Predecessors {
			c.directDependents[p] = append(c.directDependents[p], *spec.ID)
		}
	}
}

// Submitted records the answer to a submission sent at asked.
func (c *Checker) Submitted(now, asked Time, id string, status int, st wire.JobStatus) {
	j := c.jobs[id]
	switch {
	case status == 201 || status == 200:
		if why := c.refusalReason(&j.spec); why != "" {
			c.fail(now, Unfit, "%s is accepted: %s", id, why)
			return
		}
		c.checkAcceptance(now, id, j)
		j.acceptedAt = min(j.acceptedAt, now)
		c.checkStatus(now, asked, id, j, st.Status)
	case (status == 400 || status == 422) && j.acceptedAt < asked:
		c.fail(now, Forgotten, "%s was accepted, submitted again it got %d", id, status)
	case status == 400 || status == 422:
		j.refused = true
	}
}

// Polled records the answer to a poll sent at asked. Status 0 means that there was no answer.
func (c *Checker) Polled(now, asked Time, id string, status int, st wire.JobStatus) {
	c.polls = append(c.polls, poll{now, status == 200 || status == 404})
	for len(c.polls) > 0 && now-c.polls[0].at > unansweredLimit {
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
		j.unansweredSince, j.lastAnsweredPoll = never, max(j.lastAnsweredPoll, asked)
		c.checkStatus(now, asked, id, j, st.Status)
	case status == 404:
		j.unansweredSince, j.lastAnsweredPoll = never, max(j.lastAnsweredPoll, asked)
		if j.acceptedAt < asked {
			c.fail(now, Forgotten, "%s was accepted and is unknown now", id)
		}
	case asked < j.lastAnsweredPoll: // a late failure of an earlier poll; one sent since was answered
	case j.acceptedAt < asked:
		j.unansweredSince = min(j.unansweredSince, asked)
		lone := now-j.unansweredSince >= unansweredLimit && c.answeredShare() > 0.5
		if !j.unansweredReported && (lone || c.faultsOverAt != never && now-max(j.unansweredSince, c.faultsOverAt) >= unansweredLimitAfterFaults) {
			j.unansweredReported = true
			c.fail(now, Forgotten, "every poll for %s has failed for %v", id, now-j.unansweredSince)
		}
	}
}

// answeredShare returns the share of the recent polls, of any job, that were answered.
func (c *Checker) answeredShare() float64 {
	ok := 0
	for _, p := range c.polls {
		if p.ok {
			ok++
		}
	}
	return float64(ok) / float64(max(1, len(c.polls)))
}

// Aborting records that a user is about to send a request to cancel a job. It is called for each
// request. The job may be submitted while the request is in flight.
func (c *Checker) Aborting(id string) {
	if j := c.jobs[id]; j != nil {
		j.cancelRequested = true
	} else {
		c.pendingCancels[id]++
	}
}

// Aborted records the answer to a cancel request sent at asked.
func (c *Checker) Aborted(now, asked Time, id string, status int, st wire.JobStatus) {
	j := c.jobs[id]
	if j == nil && c.pendingCancels[id] > 0 {
		c.pendingCancels[id]-- // answered before the job existed, so only a later request can cancel it
	}
	switch {
	case j == nil && status == 200:
		c.fail(now, Invented, "%s, which nobody submitted, is %s", id, st.Status)
	case j == nil:
	case status == 200:
		c.checkStatus(now, asked, id, j, st.Status)
	case status == 404 && j.acceptedAt < asked:
		c.fail(now, Forgotten, "%s was accepted and is unknown now", id)
	}
}

// checkStatus checks a status in an answer against everything that users had been told before asked,
// when the request was sent.
func (c *Checker) checkStatus(now, asked Time, id string, j *job, status string) {
	if j.finalStatus != "" && j.finalAt < asked && status != j.finalStatus {
		c.fail(now, WentBack, "%s was %s and is %s now", id, j.finalStatus, status)
	}
	switch status {
	case wire.JobDone:
		if len(j.doneTasks) < int(*j.spec.Tasks) {
			c.fail(now, NotDone, "%s is called done with %d of %d tasks", id, len(j.doneTasks), *j.spec.Tasks)
		}
	case wire.JobAborted:
		if !c.cancellable(id, j) {
			c.fail(now, WentBack, "%s is called cancelled, which no user asked for, of it or of a job before it", id)
		}
		j.cancelledAt = min(j.cancelledAt, now)
	default:
		c.checkOrphaned(now, asked, id, j, status)
		return
	}
	if j.finalStatus != "" && j.finalStatus != status && j.finalAt >= asked {
		c.fail(now, WentBack, "%s is called %s and %s", id, j.finalStatus, status)
	}
	if j.finalStatus == "" {
		j.finalStatus, j.finalAt = status, now
		c.checkDependents(now, id, status)
	}
}

// MachineUp records a machine that came up.
func (c *Checker) MachineUp(m Machine) { c.machines[m.Name] = m }

// mayRunOn reports whether tasks that were started on a machine may still run there.
func (c *Checker) mayRunOn(machine string, now Time) bool {
	return c.params.Lapsed == nil || !c.params.Lapsed(machine, now)
}

// TaskStarted records that a task started on a machine.
func (c *Checker) TaskStarted(now Time, machine, task string, attempt uint64) {
	c.started++
	id, _, _ := strings.Cut(task, "/")
	j, m := c.jobs[id], c.machines[machine]
	if j == nil {
		c.fail(now, Invented, "%s of a job that nobody submitted runs on %s", task, machine)
		return
	}
	c.checkStartOrder(now, id, j, task)
	j.startedAt = min(j.startedAt, now)
	sameZone, total := 0, 0
	for _, p := range j.places() {
		if !c.mayRunOn(p.machine, now) {
			continue
		}
		if p.task == task && p.machine != machine {
			c.fail(now, RanTwice, "%s starts on %s while on %s", task, machine, p.machine)
		}
		total++
		if c.machines[p.machine].Zone == m.Zone {
			sameZone++
		}
	}
	at := c.cancelledAt(id, j)
	if at != never && now > at {
		c.startedCancelled++
	}
	if at != never && now > at+c.params.Cancel {
		c.fail(now, RanCancelled, "%s starts on %s %v after its job was cancelled", task, machine, now-at)
	}
	c.checkPlace(now, j, m, task, sameZone, total)
	j.placements[place{task, machine}] = true
	c.checkQuota(now, *j.spec.Team)
}

// checkPlace verifies that the job allows the machine of a new task. Of the job's other tasks,
// total are running, and sameZone of them in the machine's zone.
func (c *Checker) checkPlace(now Time, j *job, m Machine, task string, sameZone, total int) {
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
	if *s.OneZone && sameZone < total {
		wrong("its job's other tasks are in another zone")
	}
	if *s.Spread && sameZone+1 > (int(*s.Tasks)+1)/2 {
		wrong(fmt.Sprintf("%d of its job's %d tasks are in this zone", sameZone+1, *s.Tasks))
	}
}

// checkQuota verifies that the running tasks of a team are within its limit.
func (c *Checker) checkQuota(now Time, team string) {
	var cpus, gpus float64
	for _, j := range c.jobs {
		if len(j.placements) == 0 || *j.spec.Team != team {
			continue
		}
		for p := range j.placements {
			if c.mayRunOn(p.machine, now) {
				cpus, gpus = cpus+*j.spec.CPUs, gpus+*j.spec.GPUs
			}
		}
	}
	if l := c.params.Teams[team]; cpus > l.CPUs+tolerance || gpus > l.GPUs+tolerance {
		c.fail(now, Quota, "team %s uses %g cpus and %g gpus of %g and %g", team, cpus, gpus, l.CPUs, l.GPUs)
	}
}

// places lists the placements of a job's tasks in sorted order, so that reports are reproducible.
func (j *job) places() []place {
	out := make([]place, 0, len(j.placements))
	for p := range j.placements {
		out = append(out, p)
	}
	sort.Slice(out, func(a, b int) bool {
		return out[a].task < out[b].task || out[a].task == out[b].task && out[a].machine < out[b].machine
	})
	return out
}

// TaskLeft records that a task is no longer on a machine. The cause is the one in the worker's report.
func (c *Checker) TaskLeft(now Time, machine, task, cause string) {
	id, _, _ := strings.Cut(task, "/")
	j := c.jobs[id]
	if j == nil {
		return
	}
	c.checkOverstay(now, id, j, place{task, machine})
	delete(j.placements, place{task, machine})
	if cause == wire.CauseDone {
		j.doneTasks[task] = true
		if len(j.doneTasks) >= int(*j.spec.Tasks) {
			j.doneAt = min(j.doneAt, now)
		}
	}
	j.failed = j.failed || cause == wire.CauseError
}

// checkOverstay records a violation, once per placement, if a task is still on a machine more than
// Params.Cancel after its job was cancelled.
func (c *Checker) checkOverstay(now Time, id string, j *job, p place) {
	if at := c.cancelledAt(id, j); at != never && now > at+c.params.Cancel && !j.overstayReported[p] && c.mayRunOn(p.machine, now) {
		j.overstayReported[p] = true
		c.fail(now, RanCancelled, "%s is on %s %v after its job was cancelled", p.task, p.machine, now-at)
	}
}

// Tick checks for tasks of cancelled jobs that still run, and for jobs that wait although they could
// start a task.
func (c *Checker) Tick(now Time) {
	c.checkWaiting(now)
	ids := make([]string, 0, len(c.jobs))
	for id, j := range c.jobs {
		if len(j.placements) > 0 {
			ids = append(ids, id)
		}
	}
	sort.Strings(ids)
	for _, id := range ids {
		for _, p := range c.jobs[id].places() {
			c.checkOverstay(now, id, c.jobs[id], p)
		}
	}
}

// Finish ends the observation and returns all violations.
func (c *Checker) Finish(now Time) []Violation {
	c.Tick(now)
	if c.started == 0 {
		c.fail(now, NothingRan, "no task was started")
	}
	return c.violations
}

// Final returns the final status that users were told of a job, or "" if there is none yet.
func (c *Checker) Final(id string) string {
	if j := c.jobs[id]; j != nil {
		return j.finalStatus
	}
	return ""
}

// Accepted reports whether a user was told that the job is accepted.
func (c *Checker) Accepted(id string) bool { j := c.jobs[id]; return j != nil && j.acceptedAt != never }

// DoneTasks returns the number of tasks of a job that have completed.
func (c *Checker) DoneTasks(id string) int {
	if j := c.jobs[id]; j != nil {
		return len(j.doneTasks)
	}
	return 0
}

// On lists the tasks of a job that may be running at now, each as "TASK on MACHINE".
func (c *Checker) On(id string, now Time) (out []string) {
	j := c.jobs[id]
	if j == nil {
		return nil
	}
	for _, p := range j.places() {
		if c.mayRunOn(p.machine, now) {
			out = append(out, p.task+" on "+p.machine)
		}
	}
	return out
}
