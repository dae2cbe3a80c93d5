// Package trail keeps a controller's decisions and findings, as far as they matter after a
// failure, in bounded memory. Each event links to the event that caused it. The package is a
// state machine: callers add events with their times and query what is kept, and it reports when
// part of it is worth a write to the state service.
package trail

import (
	"strconv"
	"strings"
	"time"

	"github.com/barrowbridge/barrowbridge/wire"
)

// Time is steady time since the start of the controller.
type Time = time.Duration

// Kinds of events. The texts are stored and sent and must not change.
const (
	Began                = "began"       // this incarnation of the controller has read the state
	Confirmed            = "confirmed"   // the state service confirms the authority of this controller again
	Unconfirmed          = "unconfirmed" // its authority is not confirmed; it does not answer workers
	Leading              = "leading"
	NoLongerLeading      = "no_longer_leading"
	ControllerGone       = "node_gone"   // another controller's presence ended
	ShardTaken           = "shard_taken" // a takeover was written; Token is the new token
	ShardHeld            = "shard_held"  // this controller has started to hold the shard; Token is its token
	ShardLost            = "shard_lost"
	ShardYielded         = "shard_yielded"    // a peer holds the shard under a later token
	Reconciled           = "settled"          // all inherited machines are accounted for
	MachineSilent        = "machine_silent"   // its reports are overdue; it is suspected
	MachineReporting     = "machine_back"     // a silent machine reports again
	LeaseExpired         = "lease_over"       // its lease has certainly expired, as the state confirms
	MachineGone          = "machine_gone"     // it has left its block: deleted, or moved while empty
	MachineNotice        = "machine_notice"   // the cloud has announced that it will reclaim it
	MachineFaulty        = "machine_faulty"   // tasks fail on it
	JobMistaken          = "job_mistaken"     // its tasks fail on every machine
	MachineNotReceiving  = "machine_deaf"     // it reports but does not receive the answers
	MachineReceiving     = "machine_hears"    // it receives answers again
	JobReleased          = "job_released"     // every job that it awaits is done; it may start
	JobCancelled         = "job_cancelled"    // cancelled with a job that it awaits, directly or through others; Why names it
	CrewMiss             = "crew_miss"        // some work of a departure will not be done in time, or will be after all
	CrewLeft             = "crew_left"        // result of a departure
	CapacityReserved     = "place_held"       // capacity is reserved for a job whose tasks fit on no machine
	MachineReturned      = "machine_returned" // it is to be given back to the cloud
	AccountedFor         = "accounted"        // the tasks on an inherited machine are known; Why states the source
	TaskWithheld         = "task_held"        // Count started tasks of a job may be on machines that are not accounted for
	TaskLost             = "task_lost"        // the task runs on no machine any more and is to be started again
	TaskFailed           = "task_failed"
	TaskRestarted        = "task_again"   // a lost task has been assigned to a machine again
	TaskRunning          = "task_runs"    // a lost task is running
	TaskStopped          = "task_stopped" // it was ordered to stop; Why states in favor of what
	BlockMoved           = "block_moved"
	BlockEmptied         = "block_emptied" // for another team's guarantee
	Rented               = "rented"        // Count machines were requested; Why names the shard
	RentRefused          = "rent_refused"
	CloudFailed          = "cloud_failed"
	ShardHandedOver      = "shard_given"   // its holder hands it over to Node, which can serve it
	LeadershipHandedOver = "lead_given"    // the leader steps down in favor of Node
	RouteChanged         = "way_changed"   // calls to the state service go through Node, or directly again; Why states the assumed state of the link
	StateRefused         = "state_refused" // a write of the holder was refused
)

// durableKinds are the kinds that are worth a write: they tell which controller believed what
// during a failure, and they are few. Events of single tasks are kept only while the controller
// lives: hundreds come at once, and the event of their machine states the cause.
var durableKinds = map[string]bool{
	Began:                true,
	Confirmed:            true,
	Unconfirmed:          true,
	Leading:              true,
	NoLongerLeading:      true,
	ControllerGone:       true,
	ShardTaken:           true,
	ShardHeld:            true,
	ShardLost:            true,
	ShardYielded:         true,
	ShardHandedOver:      true,
	LeadershipHandedOver: true,
	RouteChanged:         true,
	Reconciled:           true,
	LeaseExpired:         true,
	MachineFaulty:        true,
	JobMistaken:          true,
	MachineReporting:     true,
	BlockEmptied:         true,
}

// link names a kind that may have caused an event, and the subject that both must share.
type link struct {
	kind string
	by   func(e *wire.TrailEvent) string
}

func byMachine(e *wire.TrailEvent) string { return e.Machine }
func byTask(e *wire.TrailEvent) string    { return e.Task }
func byNode(e *wire.TrailEvent) string    { return e.Node }
func byBlock(e *wire.TrailEvent) string   { return e.Block }

// anySubject is the subject of causes that do not depend on one.
func anySubject(*wire.TrailEvent) string { return "*" }

func byShard(e *wire.TrailEvent) string {
	if e.Shard == nil {
		return ""
	}
	return strconv.Itoa(*e.Shard)
}

// causes lists the possible causes of each kind. The newest event that shares its subject with
// the caused one is chosen: a lease has expired because of the silence right before, not because
// of one an hour ago that had ended.
var causes = map[string][]link{
	NoLongerLeading:  {{LeadershipHandedOver, anySubject}},
	Unconfirmed:      {{RouteChanged, anySubject}},
	Confirmed:        {{Unconfirmed, anySubject}},
	ShardTaken:       {{ShardHandedOver, byShard}, {ControllerGone, byNode}, {Began, anySubject}},
	ShardHeld:        {{ShardTaken, byShard}},
	ShardYielded:     {{Unconfirmed, anySubject}},
	ShardLost:        {{ShardHandedOver, byShard}, {ShardYielded, byShard}, {Unconfirmed, anySubject}},
	AccountedFor:     {{ShardHeld, byShard}},
	TaskWithheld:     {{ShardHeld, byShard}},
	Reconciled:       {{ShardHeld, byShard}},
	MachineReporting: {{MachineSilent, byMachine}},
	LeaseExpired:     {{MachineSilent, byMachine}, {ShardHeld, byShard}},
	MachineReturned:  {{LeaseExpired, byMachine}, {MachineFaulty, byMachine}, {MachineNotice, byMachine}, {MachineNotReceiving, byMachine}},
	MachineReceiving: {{MachineNotReceiving, byMachine}},
	MachineGone:      {{MachineReturned, byMachine}, {MachineNotice, byMachine}, {LeaseExpired, byMachine}},
	MachineFaulty:    {{TaskFailed, byMachine}},
	JobMistaken:      {{TaskFailed, byTask}},
	TaskLost:         {{LeaseExpired, byMachine}, {MachineGone, byMachine}, {MachineReporting, byMachine}, {TaskStopped, byTask}, {TaskFailed, byTask}},
	TaskStopped:      {{BlockEmptied, byBlock}, {MachineNotice, byMachine}},
	TaskRestarted:    {{TaskLost, byTask}, {Reconciled, byShard}, {AccountedFor, byMachine}},
	TaskRunning:      {{TaskRestarted, byTask}},
	RentRefused:      {{Rented, byShard}},
}

// subjectsByKind lists the kinds that can be causes, with the subjects by which they are looked
// up.
var subjectsByKind = func() map[string][]func(*wire.TrailEvent) string {
	out := map[string][]func(*wire.TrailEvent) string{}
	for _, list := range causes {
		for _, l := range list {
			out[l.kind] = append(out[l.kind], l.by)
		}
	}
	return out
}()

// subject identifies the latest event of a kind about one machine, task, controller, block or
// shard.
type subject struct{ kind, what string }

// Limits bound what is kept.
type Limits struct {
	Events        int           // events in memory
	Bytes         int           // size of the stored record, as the state service counts it
	WriteInterval time.Duration // minimum time between writes of the record
}

// Trail is the event log of one controller.
type Trail struct {
	limits Limits
	ring   []wire.TrailEvent // in order from head, newest last
	head   int
	next   uint64 // Seq of the next event
	latest map[subject]uint64
	lost   map[string]bool // lost tasks that have not been seen running since

	durable      []wire.TrailEvent // content of the record, oldest first
	pendingSince Time              // since when an event waits to be written; -1: none
	lastWrite    Time
}

// New returns an empty trail.
func New(l Limits) *Trail {
	return &Trail{
		limits:       l,
		next:         1,
		latest:       map[subject]uint64{},
		lost:         map[string]bool{},
		pendingSince: -1,
		lastWrite:    -l.WriteInterval,
	}
}

// Add stores an event with its steady time and wall-clock time, numbers it, links it to its cause
// and returns its number.
func (t *Trail) Add(now Time, wall time.Time, e wire.TrailEvent) uint64 {
	e.Seq, e.AtMS, e.WallMS = t.next, now.Milliseconds(), wall.UnixMilli()
	e.Cause = t.causeOf(&e)
	t.next++
	switch e.Kind {
	case TaskLost:
		t.lost[e.Task] = true
	case TaskRunning:
		delete(t.lost, e.Task)
	}
	if len(t.ring) < t.limits.Events {
		t.ring = append(t.ring, e)
	} else {
		t.forget(&t.ring[t.head])
		t.ring[t.head] = e
		t.head = (t.head + 1) % len(t.ring)
	}
	for _, by := range subjectsByKind[e.Kind] {
		if s := by(&e); s != "" {
			t.latest[subject{e.Kind, s}] = e.Seq
		}
	}
	if durableKinds[e.Kind] {
		t.durable = append(t.durable, e)
		if t.pendingSince < 0 {
			t.pendingSince = now
		}
		t.trim()
	}
	return e.Seq
}

// causeOf returns the number of the newest event that may have caused e, or 0 if there is none.
func (t *Trail) causeOf(e *wire.TrailEvent) (cause uint64) {
	for _, l := range causes[e.Kind] {
		if s := l.by(e); s != "" {
			cause = max(cause, t.latest[subject{l.kind, s}])
		}
	}
	if len(t.ring) == t.limits.Events && cause == t.oldest()+1 {
		return 0 // the cause is dropped from the ring to make space for e, so the link would be dangling
	}
	return cause
}

// oldest returns the number before that of the first event kept.
func (t *Trail) oldest() uint64 { return t.next - 1 - uint64(len(t.ring)) }

// forget drops the lookup entries of an event that leaves the ring.
func (t *Trail) forget(e *wire.TrailEvent) {
	for _, by := range subjectsByKind[e.Kind] {
		if k := (subject{e.Kind, by(e)}); t.latest[k] == e.Seq {
			delete(t.latest, k)
		}
	}
	if e.Kind == TaskLost {
		delete(t.lost, e.Task) // it has not run again, or did so long ago
	}
}

// WasLost reports whether a task was lost and has not run since. Only the start of such a task is
// recorded as an event.
func (t *Trail) WasLost(task string) bool { return t.lost[task] }

// Query selects events. An empty field selects all.
type Query struct {
	After   uint64
	Most    int
	Machine string
	Job     string
}

// Matches reports whether the query selects an event.
func (q *Query) Matches(e *wire.TrailEvent) bool {
	if q.Machine != "" && e.Machine != q.Machine {
		return false
	}
	return q.Job == "" || e.Job == q.Job || strings.HasPrefix(e.Task, q.Job+"/")
}

// Events returns the oldest events that a query selects, the number after which to continue, and
// whether events after the requested number have already been dropped.
func (t *Trail) Events(q Query) (out []wire.TrailEvent, next uint64, missed bool) {
	next, missed = max(q.After, t.oldest()), q.After < t.oldest()
	out = []wire.TrailEvent{}
	for seq := next + 1; seq < t.next; seq++ {
		if len(out) >= q.Most {
			return out, next, missed
		}
		next = seq
		if e := t.at(seq); q.Matches(e) {
			out = append(out, *e)
		}
	}
	return out, next, missed
}

// Last returns the newest events that a query selects, oldest first.
func (t *Trail) Last(q Query) []wire.TrailEvent {
	out := []wire.TrailEvent{}
	for seq := t.next - 1; seq > t.oldest() && len(out) < q.Most; seq-- {
		if e := t.at(seq); q.Matches(e) {
			out = append(out, *e)
		}
	}
	for i, j := 0, len(out)-1; i < j; i, j = i+1, j-1 {
		out[i], out[j] = out[j], out[i]
	}
	return out
}

// at returns the event with a number, which must still be in the ring.
func (t *Trail) at(seq uint64) *wire.TrailEvent {
	return &t.ring[(t.head+int(seq-t.oldest()-1))%len(t.ring)]
}
