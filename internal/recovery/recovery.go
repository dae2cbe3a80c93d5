// Package recovery works out, from what controllers, workers and users saw, how the
// cluster came back from a failure: step by step, each with its time, and beside
// it the least that the protocol's times allow. It is pure: observations go in, in
// any order, steps come out.
package recovery

import (
	"slices"
	"sort"
	"strings"
	"time"
)

// Time is steady time since the observed world began.
type Time = time.Duration

// Steps of a recovery, in the order in which they come.
const (
	Noticed       = "noticed"       // a controller suspects that something is wrong
	LeasesExpired = "lease_over"    // the lost machines' leases are surely over
	TakenOver     = "taken_over"    // another controller was granted the lost one's shards
	TokenRaised   = "token_raised"  // and answers workers under a higher token
	AccountedFor  = "accounted_for" // what runs on the shards' machines is known
	Restarted     = "started_again" // the lost tasks were ordered on a machine again
	ImageReady    = "image_there"   // which has their image
	Running       = "running"       // and runs them
	Confirmed     = "confirmed"     // the controllers are entitled again
	UserInformed  = "user_told"     // their users can see it
)

// Order lists the steps.
var StepOrder = []string{Noticed, LeasesExpired, TakenOver, TokenRaised, AccountedFor, Restarted, ImageReady, Running, Confirmed, UserInformed}

// Params are the protocol's times that bound a recovery from below.
type Params struct {
	ReportInterval, WorkerLease time.Duration
	StateLease                  time.Duration // a silent controller stays entitled so long
	RenewInterval               time.Duration // and renews so often
}

// Machine is a machine that a fault hit, as it was at that moment.
type Machine struct {
	Name      string
	LeaseLeft time.Duration // until its worker gives its tasks up
	Reported  time.Duration // since its last report
	Tasks     []string      // on it
}

// Incident is one fault and whom it hit.
type Incident struct {
	Kind        string
	At          Time
	Until       Time // when it was lifted; 0: not
	Machines    []Machine
	Controllers []string
	Services    bool // state service or cloud: nobody is lost, all are hindered
	Silent      bool // the machines say nothing any more: their leases must run out
	Dead        bool // the controllers answer nobody any more
}

// Sources of observations.
const (
	FromTrail  = "trail"
	FromWorker = "worker"
	FromUser   = "user"
)

// Observation is something seen at a time. Kind is an event's of package trail for
// FromTrail, one of the worker kinds for FromWorker, and Told for FromUser.
type Observation struct {
	At      Time
	From    string
	Kind    string
	Machine string
	Task    string
	Job     string
	Node    string // another controller it is about
	By      string // the controller that believes it
	Shard   int    // -1: none
	Cause   string // of Left: "" if its lease or its machine ended
}

// Kinds of observations of workers and users.
const (
	TaskOrdered = "task_ordered"
	TaskStarted = "task_started"
	TaskLeft    = "task_left"
	UserSawUp   = "told_up"   // a user was told that all of a job's tasks run, or that it is done
	UserSawDown = "told_down" // a user was told less
)

// Step is one step of a recovery.
type Step struct {
	Step    string `json:"step"`
	AfterMS int64  `json:"after_ms"` // since the fault, until the last one concerned
	LeastMS int64  `json:"least_ms"` // the protocol's times allow no less
	Count   int    `json:"count"`    // machines, shards or tasks concerned
}

// notices are the trail's events by which a controller first notices each kind of
// trouble, and what must match.
var noticeKinds = []struct {
	kind  string
	match func(*Incident, *Observation) bool
}{
	{"machine_silent", hitsMachine}, {"lease_over", hitsMachine}, {"machine_notice", hitsMachine}, {"machine_gone", hitsMachine},
	{"task_failed", hitsMachine}, {"machine_faulty", hitsMachine}, {"machine_returned", hitsMachine},
	{"node_gone", hitsController}, {"shard_taken", hitsController}, {"shard_yielded", hitsController},
	{"way_changed", byController}, {"shard_given", byController}, {"lead_given", byController},
	{"unconfirmed", func(i *Incident, o *Observation) bool { return i.Services || slices.Contains(i.Controllers, o.By) }},
	{"cloud_failed", func(i *Incident, _ *Observation) bool { return i.Services }},
	{"rent_refused", func(i *Incident, _ *Observation) bool { return i.Services }},
	{"began", func(i *Incident, o *Observation) bool { return i.Dead && slices.Contains(i.Controllers, o.By) }},
}

func hitsMachine(i *Incident, o *Observation) bool {
	for _, m := range i.Machines {
		if m.Name == o.Machine {
			return true
		}
	}
	return false
}

func hitsController(i *Incident, o *Observation) bool { return slices.Contains(i.Controllers, o.Node) }

func byController(i *Incident, o *Observation) bool { return slices.Contains(i.Controllers, o.By) }

// Analyze derives the steps of one incident. Steps that did not come, or that this
// fault does not need, are left out.
func Analyze(p Params, inc Incident, seen []Observation) []Step {
	x := newAnalysis(p, inc, seen)
	x.detection()
	x.leases()
	x.shards()
	x.tasks()
	x.authority()
	x.users()
	return x.steps
}

// since prepares what was seen from the fault on, in order.
func newAnalysis(p Params, inc Incident, seen []Observation) *analysis {
	obs := make([]Observation, 0, len(seen))
	for _, o := range seen {
		if o.At >= inc.At {
			obs = append(obs, o)
		}
	}
	sort.SliceStable(obs, func(a, b int) bool { return obs[a].At < obs[b].At })
	return &analysis{params: p, incident: inc, observations: obs}
}

type analysis struct {
	params       Params
	incident     Incident
	observations []Observation
	steps        []Step
	lost         map[string]Time // task -> when it was started again, 0: not yet
}

func (x *analysis) add(step string, at Time, least time.Duration, count int) {
	x.steps = append(x.steps, Step{step, (at - x.incident.At).Milliseconds(), max(0, least).Milliseconds(), count})
}

// leastNotice: a machine's next report must be missing; a dead controller is known
// by its grant, which it may have renewed just before.
func (x *analysis) minDetectionTime() time.Duration {
	switch {
	case len(x.incident.Controllers) > 0 && x.incident.Dead:
		return x.params.StateLease - x.params.RenewInterval
	case x.incident.Silent && len(x.incident.Machines) > 0:
		least := time.Duration(1 << 62)
		for _, m := range x.incident.Machines {
			least = min(least, x.params.ReportInterval*3/4-m.Reported)
		}
		return least
	}
	return 0
}

func (x *analysis) detection() {
	for _, o := range x.observations {
		for _, n := range noticeKinds {
			if o.From == FromTrail && o.Kind == n.kind && n.match(&x.incident, &o) {
				x.add(Noticed, o.At, x.minDetectionTime(), 1)
				return
			}
		}
	}
}

// leaseLeft is the longest of the lost machines that had something on them.
func (x *analysis) leaseLeft() (left time.Duration) {
	if !x.incident.Silent {
		return 0
	}
	for _, m := range x.incident.Machines {
		if len(m.Tasks) > 0 {
			left = max(left, m.LeaseLeft)
		}
	}
	return left
}

func (x *analysis) leases() {
	last, over := Time(0), map[string]bool{}
	least := time.Duration(0)
	for _, o := range x.observations {
		if o.From != FromTrail || o.Kind != "lease_over" || !hitsMachine(&x.incident, &o) || over[o.Machine] {
			continue
		}
		over[o.Machine], last = true, o.At
		for _, m := range x.incident.Machines {
			if m.Name == o.Machine {
				least = max(least, m.LeaseLeft)
			}
		}
	}
	if len(over) > 0 {
		x.add(LeasesExpired, last, least, len(over))
	}
}

// atOnce is by how much what follows a write may be seen before it: each controller's trail has the time
// of its own step, and who takes a shard may read the write before its writer has the answer.
const trailSkew = 50 * time.Millisecond

// shards follows what became of the shards of the controllers that were hit.
func (x *analysis) shards() {
	taken, held, settled := map[int]Time{}, map[int]Time{}, map[int]Time{}
	for _, o := range x.observations {
		if _, known := taken[o.Shard]; o.From == FromTrail && o.Shard >= 0 && o.Kind == "shard_taken" && !known && slices.Contains(x.incident.Controllers, o.Node) {
			taken[o.Shard] = o.At
		}
	}
	for _, o := range x.observations {
		at, mine := taken[o.Shard]
		if o.From != FromTrail || !mine || o.At < at-trailSkew || o.At < at && slices.Contains(x.incident.Controllers, o.By) {
			continue
		}
		switch o.Kind {
		case "shard_held":
			if _, known := held[o.Shard]; !known {
				held[o.Shard] = max(at, o.At)
			}
		case "settled":
			if _, known := settled[o.Shard]; !known {
				settled[o.Shard] = max(at, o.At)
			}
		}
	}
	for _, s := range []struct {
		step  string
		times map[int]Time
	}{{TakenOver, taken}, {TokenRaised, held}, {AccountedFor, settled}} {
		last := Time(0)
		for _, at := range s.times {
			last = max(last, at)
		}
		if len(s.times) > 0 {
			x.add(s.step, last, x.minDetectionTime(), len(s.times))
		}
	}
}

// tasks follows what the fault took: tasks on the machines it hit, and tasks whose
// lease ran out elsewhere while it lasted.
func (x *analysis) tasks() {
	x.lost = map[string]Time{}
	for _, m := range x.incident.Machines {
		if x.incident.Silent {
			for _, t := range m.Tasks {
				x.lost[t] = 0
			}
		}
	}
	end := x.incident.Until
	if end == 0 {
		end = x.incident.At + 2*x.params.WorkerLease
	}
	var ordered, started Time
	orders, runs := map[string]bool{}, map[string]bool{}
	for _, o := range x.observations {
		if o.From != FromWorker {
			continue
		}
		_, lost := x.lost[o.Task]
		switch {
		case o.Kind == TaskLeft && o.At <= end+x.params.WorkerLease && x.isLoss(&o):
			if !lost {
				x.lost[o.Task] = 0
			}
			if !runs[o.Task] {
				delete(orders, o.Task)
			}
		case o.Kind == TaskOrdered && lost && !orders[o.Task]:
			orders[o.Task], ordered = true, max(ordered, o.At)
		case o.Kind == TaskStarted && lost && !runs[o.Task]:
			runs[o.Task], started = true, max(started, o.At)
			x.lost[o.Task] = o.At
		}
	}
	least := x.leaseLeft()
	if len(orders) > 0 {
		x.add(Restarted, ordered, least, len(orders))
	}
	if len(runs) > 0 {
		x.add(ImageReady, started, least, len(runs))
		x.add(Running, started, least, len(runs))
	}
}

// takes tells whether a task that left was lost to the fault: it was not stopped by
// command and did not complete.
func (x *analysis) isLoss(o *Observation) bool {
	near := hitsMachine(&x.incident, o) || x.incident.Services || len(x.incident.Controllers) > 0
	return near && (o.Cause == "" || o.Cause == "error")
}

// entitlement tells when the last controller that was not confirmed is again.
func (x *analysis) authority() {
	open, last := map[string]bool{}, Time(0)
	for _, o := range x.observations {
		switch {
		case o.From != FromTrail:
		case o.Kind == "unconfirmed":
			open[o.By] = true
		case o.Kind == "confirmed" && open[o.By]:
			delete(open, o.By)
			last = o.At
		}
	}
	if last > 0 && (x.incident.Services || len(x.incident.Controllers) > 0) && len(open) == 0 {
		least := time.Duration(0)
		if x.incident.Until > 0 {
			least = x.incident.Until - x.incident.At
		}
		x.add(Confirmed, last, min(least, last-x.incident.At), 1)
	}
}

// users tells when the users of all lost tasks could see them run again, or done.
func (x *analysis) users() {
	jobs := map[string]Time{}
	for task, again := range x.lost {
		id, _, _ := strings.Cut(task, "/")
		jobs[id] = max(jobs[id], again)
	}
	told, last := map[string]bool{}, Time(0)
	for _, o := range x.observations {
		again, mine := jobs[o.Job]
		if o.From == FromUser && o.Kind == UserSawUp && mine && again > 0 && !told[o.Job] && o.At >= again {
			told[o.Job], last = true, max(last, o.At)
		}
	}
	if len(told) > 0 {
		x.add(UserInformed, last, x.leaseLeft(), len(told))
	}
}

// Lost counts the tasks that an incident took, and those of them that ran again.
func LostTasks(p Params, inc Incident, seen []Observation) (lost, back int) {
	x := newAnalysis(p, inc, seen)
	x.tasks()
	for _, s := range x.steps {
		if s.Step == Running {
			back = s.Count
		}
	}
	return len(x.lost), back
}
