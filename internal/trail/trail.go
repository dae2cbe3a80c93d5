// Package trail keeps what a controller decided and learned, as far as it
// matters after a failure, in bounded memory, with links from each event to the
// one that led to it. It is a state machine: events go in with their time,
// questions are answered from what is kept, and it tells when something of it
// is worth a write to the state service.
package trail

import (
	"strconv"
	"strings"
	"time"

	"github.com/barrowbridge/barrowbridge/wire"
)

// Time is steady time since the controller's start.
type Time = time.Duration

// Kinds of events.
const (
	Began                = "began"       // this life of the controller has read the state
	Confirmed            = "confirmed"   // the state service confirms its entitlement again
	Unconfirmed          = "unconfirmed" // its entitlement is not confirmed: it answers no worker
	Leading              = "leading"     //
	NoLongerLeading      = "no_longer_leading"
	ControllerGone       = "node_gone"        // another controller's presence ended
	ShardTaken           = "shard_taken"      // a takeover was written; Token is the new one
	ShardHeld            = "shard_held"       // this controller has taken the shard up; Token is its token
	ShardLost            = "shard_lost"       //
	ShardYielded         = "shard_yielded"    // a peer holds it under a later token
	Reconciled           = "settled"          // all inherited machines are accounted for
	MachineSilent        = "machine_silent"   // its reports stay away: suspected
	MachineReporting     = "machine_back"     // a silent machine reports again
	LeaseExpired         = "lease_over"       // its lease is surely over, confirmed by the state
	MachineGone          = "machine_gone"     // it has left its block: deleted, or moved empty
	MachineNotice        = "machine_notice"   // the cloud will take it
	MachineFaulty        = "machine_faulty"   // it fails what it is given
	JobMistaken          = "job_mistaken"     // it fails wherever it is started
	MachineNotReceiving  = "machine_deaf"     // reports, and hears nothing that it is answered
	MachineReceiving     = "machine_hears"    // hears again
	JobReleased          = "job_released"     // all that it awaits is done: it may start
	JobCancelled         = "job_cancelled"    // with one that it awaits, directly or through others; Why names it
	CrewMiss             = "crew_miss"        // some of a departure's work will not be done in time, or will after all
	CrewLeft             = "crew_left"        // how a departure went
	CapacityReserved     = "place_held"       // kept for a job whose tasks fit nowhere
	MachineReturned      = "machine_returned" // it is to be given back
	AccountedFor         = "accounted"        // what is on an inherited machine is known; Why tells by what
	TaskWithheld         = "task_held"        // Count started tasks of a job may be on machines not accounted for
	TaskLost             = "task_lost"        // a task is nowhere any more and is to be started again
	TaskFailed           = "task_failed"      //
	TaskRestarted        = "task_again"       // a lost task has a machine again
	TaskRunning          = "task_runs"        // a task that had been lost runs
	TaskStopped          = "task_stopped"     // it was told to stop; Why tells for whom
	BlockMoved           = "block_moved"      //
	BlockEmptied         = "block_emptied"    // for another team's guarantee
	Rented               = "rented"           // Count machines were asked for; Why tells for which shard
	RentRefused          = "rent_refused"     //
	CloudFailed          = "cloud_failed"     //
	ShardHandedOver      = "shard_given"      // its holder gives it to Node, which can serve it
	LeadershipHandedOver = "lead_given"       // the leader makes way for Node
	RouteChanged         = "way_changed"      // calls of the state service go through Node, or directly again; Why tells what is believed of the link
	StateRefused         = "state_refused"    // a write of the holder was not taken
)

// lasting kinds answer "who believed what at three in the morning" and are few;
// they are worth a write. Task by task it can be told only while the controller
// lives: hundreds come at once, and the machine's own event says what befell them.
var durableKinds = map[string]bool{Began: true, Confirmed: true, Unconfirmed: true, Leading: true, NoLongerLeading: true, ControllerGone: true,
	ShardTaken: true, ShardHeld: true, ShardLost: true, ShardYielded: true, ShardHandedOver: true, LeadershipHandedOver: true, RouteChanged: true, Reconciled: true, LeaseExpired: true, MachineFaulty: true, JobMistaken: true,
	MachineReporting: true, BlockEmptied: true}

// link names a kind that may have led to an event, by the subject both share.
type link struct {
	kind string
	by   func(e *wire.TrailEvent) string
}

func byMachine(e *wire.TrailEvent) string { return e.Machine }
func byTask(e *wire.TrailEvent) string    { return e.Task }
func byNode(e *wire.TrailEvent) string    { return e.Node }
func byBlock(e *wire.TrailEvent) string   { return e.Block }
func anySubject(*wire.TrailEvent) string  { return "*" }
func byShard(e *wire.TrailEvent) string {
	if e.Shard == nil {
		return ""
	}
	return strconv.Itoa(*e.Shard)
}

// causes lists, per kind, what may have led to it. The newest one that shares its
// subject is taken: a lease is over because of the silence before it, not of one
// an hour ago that had ended.
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

// subjects are the kinds that others look up, by what they share.
var subjectsByKind = func() map[string][]func(*wire.TrailEvent) string {
	out := map[string][]func(*wire.TrailEvent) string{}
	for _, list := range causes {
		for _, l := range list {
			out[l.kind] = append(out[l.kind], l.by)
		}
	}
	return out
}()

type subject struct{ kind, what string }

// Limits bound what is kept.
type Limits struct {
	Events        int           // in memory
	Bytes         int           // of the stored record, in the state service's count
	WriteInterval time.Duration // between writes of it
}

// Trail is one controller's.
type Trail struct {
	limits Limits
	ring   []wire.TrailEvent // newest last, from head
	head   int
	next   uint64 // Seq of the next event
	latest map[subject]uint64
	lost   map[string]bool // tasks lost and not seen running since

	durable      []wire.TrailEvent // lasting ones, oldest first: the record
	pendingSince Time              // since when something waits to be written; -1: nothing
	lastWrite    Time
}

// New returns an empty trail.
func New(l Limits) *Trail {
	return &Trail{limits: l, next: 1, latest: map[subject]uint64{}, lost: map[string]bool{}, pendingSince: -1, lastWrite: -l.WriteInterval}
}

// Add takes an event at a steady time and a time of day, numbers it and links it to
// what led to it. It returns its number.
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

// causeOf finds the newest event that may have led to e.
func (t *Trail) causeOf(e *wire.TrailEvent) (cause uint64) {
	for _, l := range causes[e.Kind] {
		if s := l.by(e); s != "" {
			cause = max(cause, t.latest[subject{l.kind, s}])
		}
	}
	if len(t.ring) == t.limits.Events && cause == t.oldest()+1 {
		return 0 // leaves the ring for e: a link to nowhere helps nobody
	}
	return cause
}

// oldest is the number before the first event kept.
func (t *Trail) oldest() uint64 { return t.next - 1 - uint64(len(t.ring)) }

// forget drops the look-ups of an event that leaves the ring.
func (t *Trail) forget(e *wire.TrailEvent) {
	for _, by := range subjectsByKind[e.Kind] {
		if k := (subject{e.Kind, by(e)}); t.latest[k] == e.Seq {
			delete(t.latest, k)
		}
	}
	if e.Kind == TaskLost {
		delete(t.lost, e.Task) // it never came back, or long ago
	}
}

// WasLost tells whether a task was lost and has not run since: only then is its
// start an event.
func (t *Trail) WasLost(task string) bool { return t.lost[task] }

// Query selects events; empty fields select all.
type Query struct {
	After   uint64
	Most    int
	Machine string
	Job     string
}

// Matches tells whether an event is one that the query asks for.
func (q *Query) Matches(e *wire.TrailEvent) bool {
	if q.Machine != "" && e.Machine != q.Machine {
		return false
	}
	return q.Job == "" || e.Job == q.Job || strings.HasPrefix(e.Task, q.Job+"/")
}

// Events answers a query: the oldest ones first, where to go on, and whether some
// after the number asked for are kept no longer.
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

// Last returns the newest events of a query, oldest first.
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

func (t *Trail) at(seq uint64) *wire.TrailEvent {
	return &t.ring[(t.head+int(seq-t.oldest()-1))%len(t.ring)]
}
