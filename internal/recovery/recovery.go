// Package recovery derives from the observations of controllers, workers and users how the
// cluster recovered from a failure: the steps, the time of each, and the least time that the
// intervals and leases of the protocol allow for it. The package is pure: it takes observations
// in any order and returns steps.
package recovery

import (
	"slices"
	"sort"
	"strings"
	"time"
)

// Time is steady time since the observed cluster started.
type Time = time.Duration

// Steps of a recovery, in the order in which they happen.
const (
	Noticed       = "noticed"       // a controller suspects a failure
	LeasesExpired = "lease_over"    // the leases of the lost machines have certainly expired
	TakenOver     = "taken_over"    // another controller was granted the lost controller's shards
	TokenRaised   = "token_raised"  // the new holder answers workers under a higher token
	AccountedFor  = "accounted_for" // the tasks on the shards' machines are known
	Restarted     = "started_again" // the lost tasks were assigned to a machine again
	ImageReady    = "image_there"   // the machine has the image
	Running       = "running"       // the machine runs the tasks
	Confirmed     = "confirmed"     // the controllers have authority to act again
	UserInformed  = "user_told"     // the users can see it
)

// StepOrder lists the steps in the order in which they happen.
var StepOrder = []string{
	Noticed,
	LeasesExpired,
	TakenOver,
	TokenRaised,
	AccountedFor,
	Restarted,
	ImageReady,
	Running,
	Confirmed,
	UserInformed,
}

// Params are the times of the protocol that bound a recovery from below.
type Params struct {
	ReportInterval, WorkerLease time.Duration
	StateLease                  time.Duration // how long a controller without contact keeps its authority
	RenewInterval               time.Duration // how often it renews its state lease
}

// Machine is a machine that a fault affected, as of the moment of the fault.
type Machine struct {
	Name      string
	LeaseLeft time.Duration // until its worker stops its tasks
	Reported  time.Duration // since its last report
	Tasks     []string      // tasks on the machine
}

// Incident is one fault and the parties that it affected.
type Incident struct {
	Kind        string
	At          Time
	Until       Time // when the fault ended; 0: not yet
	Machines    []Machine
	Controllers []string
	Services    bool // the state service or the cloud is affected: nothing is lost, but all controllers are impeded
	Silent      bool // the machines no longer report: their leases must expire
	Dead        bool // the controllers no longer answer
}

// Sources of observations.
const (
	FromTrail  = "trail"
	FromWorker = "worker"
	FromUser   = "user"
)

// Observation is an event observed at a time. Kind is a kind of package trail for FromTrail, one
// of the worker kinds below for FromWorker, and UserSawUp or UserSawDown for FromUser.
type Observation struct {
	At      Time
	From    string
	Kind    string
	Machine string
	Task    string
	Job     string
	Node    string // the other controller that the event is about
	By      string // the controller that reports it
	Shard   int    // -1: none
	Cause   string // of TaskLeft: "" if the lease or the machine ended
}

// Kinds of observations of workers and users.
const (
	TaskOrdered = "task_ordered"
	TaskStarted = "task_started"
	TaskLeft    = "task_left"
	UserSawUp   = "told_up"   // a user was told that all of a job's tasks run, or that it is done
	UserSawDown = "told_down" // a user was told that fewer run
)

// Step is one step of a recovery.
type Step struct {
	Step    string `json:"step"`
	AfterMS int64  `json:"after_ms"` // from the fault until the last machine, shard or task has completed the step
	LeastMS int64  `json:"least_ms"` // least time that the protocol allows
	Count   int    `json:"count"`    // machines, shards or tasks affected
}

// noticeKinds lists the kinds of trail events by which a controller first notices a failure, and
// the condition under which an event belongs to an incident.
var noticeKinds = []struct {
	kind  string
	match func(*Incident, *Observation) bool
}{
	{"machine_silent", hitsMachine},
	{"lease_over", hitsMachine},
	{"machine_notice", hitsMachine},
	{"machine_gone", hitsMachine},
	{"task_failed", hitsMachine},
	{"machine_faulty", hitsMachine},
	{"machine_returned", hitsMachine},
	{"node_gone", hitsController},
	{"shard_taken", hitsController},
	{"shard_yielded", hitsController},
	{"way_changed", byController},
	{"shard_given", byController},
	{"lead_given", byController},
	{"unconfirmed", func(i *Incident, o *Observation) bool { return i.Services || slices.Contains(i.Controllers, o.By) }},
	{"cloud_failed", func(i *Incident, _ *Observation) bool { return i.Services }},
	{"rent_refused", func(i *Incident, _ *Observation) bool { return i.Services }},
	{"began", func(i *Incident, o *Observation) bool { return i.Dead && slices.Contains(i.Controllers, o.By) }},
}

// hitsMachine reports whether an observation is about a machine of the incident.
func hitsMachine(i *Incident, o *Observation) bool {
	for _, m := range i.Machines {
		if m.Name == o.Machine {
			return true
		}
	}
	return false
}

// hitsController reports whether an observation is about a controller of the incident.
func hitsController(i *Incident, o *Observation) bool { return slices.Contains(i.Controllers, o.Node) }

// byController reports whether a controller of the incident made an observation.
func byController(i *Incident, o *Observation) bool { return slices.Contains(i.Controllers, o.By) }

// Analyze returns the steps of one incident. Steps that did not happen, or that the fault does
// not require, are left out.
func Analyze(p Params, incident Incident, all []Observation) []Step {
	a := newAnalysis(p, incident, all)
	a.detection()
	a.leases()
	a.shards()
	a.tasks()
	a.authority()
	a.users()
	return a.steps
}

// newAnalysis returns an analysis of the observations since the fault, sorted by time.
func newAnalysis(p Params, incident Incident, all []Observation) *analysis {
	observations := make([]Observation, 0, len(all))
	for _, o := range all {
		if o.At >= incident.At {
			observations = append(observations, o)
		}
	}
	sort.SliceStable(observations, func(a, b int) bool { return observations[a].At < observations[b].At })
	return &analysis{params: p, incident: incident, observations: observations}
}

// analysis derives the steps of one incident.
type analysis struct {
	params       Params
	incident     Incident
	observations []Observation
	steps        []Step
	lost         map[string]Time // task -> when it was started again, 0: not yet
}

// add adds a step that ended at the given time, and that takes at least the given duration.
func (a *analysis) add(step string, at Time, least time.Duration, count int) {
	a.steps = append(a.steps, Step{step, (at - a.incident.At).Milliseconds(), max(0, least).Milliseconds(), count})
}

// minDetectionTime returns the least time in which the failure can be noticed. For a machine, its
// next report must be overdue. A dead controller is detected when its state lease ends, which it
// may have renewed just before.
func (a *analysis) minDetectionTime() time.Duration {
	switch {
	case len(a.incident.Controllers) > 0 && a.incident.Dead:
		return a.params.StateLease - a.params.RenewInterval
	case a.incident.Silent && len(a.incident.Machines) > 0:
		least := time.Duration(1 << 62)
		for _, m := range a.incident.Machines {
			least = min(least, a.params.ReportInterval*3/4-m.Reported)
		}
		return least
	}
	return 0
}

// detection adds the time at which a controller first noticed the failure.
func (a *analysis) detection() {
	for _, o := range a.observations {
		for _, n := range noticeKinds {
			if o.From == FromTrail && o.Kind == n.kind && n.match(&a.incident, &o) {
				a.add(Noticed, o.At, a.minDetectionTime(), 1)
				return
			}
		}
	}
}

// leaseLeft returns the longest remaining lease of the lost machines that had tasks.
func (a *analysis) leaseLeft() (left time.Duration) {
	if !a.incident.Silent {
		return 0
	}
	for _, m := range a.incident.Machines {
		if len(m.Tasks) > 0 {
			left = max(left, m.LeaseLeft)
		}
	}
	return left
}

// leases adds the time at which the last lease of the lost machines expired.
func (a *analysis) leases() {
	last, over := Time(0), map[string]bool{}
	least := time.Duration(0)
	for _, o := range a.observations {
		if o.From != FromTrail || o.Kind != "lease_over" || !hitsMachine(&a.incident, &o) || over[o.Machine] {
			continue
		}
		over[o.Machine], last = true, o.At
		for _, m := range a.incident.Machines {
			if m.Name == o.Machine {
				least = max(least, m.LeaseLeft)
			}
		}
	}
	if len(over) > 0 {
		a.add(LeasesExpired, last, least, len(over))
	}
}

// trailSkew is how much earlier than a write its consequences may be recorded. Each controller's
// trail has the time of its own step, and the controller that takes over a shard may read the
// write before its writer has the answer.
const trailSkew = 50 * time.Millisecond

// shards adds the steps of the shards of the affected controllers.
func (a *analysis) shards() {
	taken, held, reconciled := map[int]Time{}, map[int]Time{}, map[int]Time{}
	for _, o := range a.observations {
		if _, known := taken[o.Shard]; o.From == FromTrail && o.Shard >= 0 && o.Kind == "shard_taken" && !known && slices.Contains(a.incident.Controllers, o.Node) {
			taken[o.Shard] = o.At
		}
	}
	for _, o := range a.observations {
		at, relevant := taken[o.Shard]
		if o.From != FromTrail || !relevant || o.At < at-trailSkew || o.At < at && slices.Contains(a.incident.Controllers, o.By) {
			continue
		}
		switch o.Kind {
		case "shard_held":
			if _, known := held[o.Shard]; !known {
				held[o.Shard] = max(at, o.At)
			}
		case "settled":
			if _, known := reconciled[o.Shard]; !known {
				reconciled[o.Shard] = max(at, o.At)
			}
		}
	}
	for _, s := range []struct {
		step  string
		times map[int]Time
	}{{TakenOver, taken}, {TokenRaised, held}, {AccountedFor, reconciled}} {
		last := Time(0)
		for _, at := range s.times {
			last = max(last, at)
		}
		if len(s.times) > 0 {
			a.add(s.step, last, a.minDetectionTime(), len(s.times))
		}
	}
}

// tasks adds the steps of the lost tasks: those on the affected machines, and those whose lease
// ended elsewhere during the fault.
func (a *analysis) tasks() {
	a.lost = map[string]Time{}
	for _, m := range a.incident.Machines {
		if a.incident.Silent {
			for _, t := range m.Tasks {
				a.lost[t] = 0
			}
		}
	}
	end := a.incident.Until
	if end == 0 {
		end = a.incident.At + 2*a.params.WorkerLease
	}
	var ordered, started Time
	orders, runs := map[string]bool{}, map[string]bool{}
	for _, o := range a.observations {
		if o.From != FromWorker {
			continue
		}
		_, lost := a.lost[o.Task]
		switch {
		case o.Kind == TaskLeft && o.At <= end+a.params.WorkerLease && a.isLoss(&o):
			if !lost {
				a.lost[o.Task] = 0
			}
			if !runs[o.Task] {
				delete(orders, o.Task)
			}
		case o.Kind == TaskOrdered && lost && !orders[o.Task]:
			orders[o.Task], ordered = true, max(ordered, o.At)
		case o.Kind == TaskStarted && lost && !runs[o.Task]:
			runs[o.Task], started = true, max(started, o.At)
			a.lost[o.Task] = o.At
		}
	}
	least := a.leaseLeft()
	if len(orders) > 0 {
		a.add(Restarted, ordered, least, len(orders))
	}
	if len(runs) > 0 {
		a.add(ImageReady, started, least, len(runs))
		a.add(Running, started, least, len(runs))
	}
}

// isLoss reports whether a task that left its machine was lost to the fault: it was neither
// stopped by an order nor completed.
func (a *analysis) isLoss(o *Observation) bool {
	near := hitsMachine(&a.incident, o) || a.incident.Services || len(a.incident.Controllers) > 0
	return near && (o.Cause == "" || o.Cause == "error")
}

// authority adds the time at which the last unconfirmed controller was confirmed again.
func (a *analysis) authority() {
	unconfirmed, last := map[string]bool{}, Time(0)
	for _, o := range a.observations {
		switch {
		case o.From != FromTrail:
		case o.Kind == "unconfirmed":
			unconfirmed[o.By] = true
		case o.Kind == "confirmed" && unconfirmed[o.By]:
			delete(unconfirmed, o.By)
			last = o.At
		}
	}
	if last > 0 && (a.incident.Services || len(a.incident.Controllers) > 0) && len(unconfirmed) == 0 {
		least := time.Duration(0)
		if a.incident.Until > 0 {
			least = a.incident.Until - a.incident.At
		}
		a.add(Confirmed, last, min(least, last-a.incident.At), 1)
	}
}

// users adds the time at which the users of all lost tasks could see them running again, or done.
func (a *analysis) users() {
	jobs := map[string]Time{}
	for task, again := range a.lost {
		id, _, _ := strings.Cut(task, "/")
		jobs[id] = max(jobs[id], again)
	}
	informed, last := map[string]bool{}, Time(0)
	for _, o := range a.observations {
		again, affected := jobs[o.Job]
		if o.From == FromUser && o.Kind == UserSawUp && affected && again > 0 && !informed[o.Job] && o.At >= again {
			informed[o.Job], last = true, max(last, o.At)
		}
	}
	if len(informed) > 0 {
		a.add(UserInformed, last, a.leaseLeft(), len(informed))
	}
}

// LostTasks returns the number of tasks that an incident took, and how many of them ran again.
func LostTasks(p Params, incident Incident, all []Observation) (lost, recovered int) {
	a := newAnalysis(p, incident, all)
	a.tasks()
	for _, s := range a.steps {
		if s.Step == Running {
			recovered = s.Count
		}
	}
	return len(a.lost), recovered
}
