// Package delivery judges whether a worker hears what it is answered. Its reports may arrive
// while answers and commands do not: it looks alive, takes no order, and its lease runs out.
//
// What an answer carried shows in the next report: an order is carried out, a higher token is
// named, and it comes the way that was answered, since a worker stays with a node that answers
// 200 unless a report of its was lost, which leaves a gap in their numbers. It has one in flight, so a newer report that shows none of it proves that the
// answer before it did not arrive in time. Once that may happen to anybody; twice in
// a row is deafness. A session that ended though it had just been answered counts as one.
//
// Plain structures: no clock, no I/O, not for concurrent use.
package delivery

import (
	"time"

	"github.com/barrowbridge/barrowbridge/wire"
)

// misses in a row that make a worker deaf.
const misses = 2

// Ear is what is known of one worker. The zero Ear hears.
type Ear struct {
	told   []wire.Command // by the last answer
	token  uint64         // that it carried
	seen   uint64         // what the worker named when it was answered
	via    string         // the controller that passed the report on; "": none
	next   uint64         // number of the report after the one that was answered; 0: judged already
	missed int
	asked  time.Duration // when a doubt was last put to the test
}

// Answered notes what a report, which came through a controller, is answered with.
func (e *Ear) Answered(r *wire.Report, token uint64, via string, told []wire.Command) {
	e.seen, e.token, e.via, e.told, e.next = r.Token, token, via, told, r.Seq+1
}

// Report judges by the next newer report. lapsed: its session is a later one, though the one
// before had been answered within its lease. It tells whether that has changed the verdict.
func (e *Ear) Report(r *wire.Report, via string, lapsed bool) (changed bool) {
	was := e.Deaf()
	heard, missed := e.shows(r)
	missed = missed || r.Seq == e.next && via != e.via
	switch {
	case missed, lapsed:
		e.missed++
	case heard:
		e.missed = 0
	}
	e.told, e.token, e.next = nil, 0, 0
	return e.Deaf() != was
}

// shows tells whether a report proves that the last answer was heard, or that it was not.
func (e *Ear) shows(r *wire.Report) (heard, missed bool) {
	if e.token > e.seen {
		heard, missed = r.Token >= e.token, r.Token < e.token
	}
	if len(e.told) == 0 || missed {
		return heard, missed
	}
	type key struct {
		task string
		try  uint64
	}
	status := map[key]string{}
	for _, t := range r.Attempts {
		status[key{t.Task, t.Attempt}] = t.Status
	}
	for _, c := range e.told {
		st, there := status[key{c.Task, c.Attempt}]
		switch {
		case c.Verb == wire.VerbRun && !there, c.Verb == wire.VerbClear && there, c.Verb == wire.VerbStop && there && (st == wire.TaskRunning || st == wire.TaskPulling):
			return false, true
		}
	}
	return true, false
}

// Deaf tells whether the worker does not hear us.
func (e *Ear) Deaf() bool { return e.missed >= misses }

// Unanswered notes that a call to a worker that has missed an answer was not answered either.
// It tells whether that has changed the verdict.
func (e *Ear) Unanswered() (changed bool) {
	if e.missed != misses-1 {
		return false
	}
	e.missed++
	return true
}

// Missed tells whether the last answer was missed, and the worker may be called to see.
func (e *Ear) Missed() bool { return e.missed == misses-1 }

// Test tells whether the next answer should carry a higher token, so that the report after it
// shows whether it was heard: after a miss, and where something looks odd, at most once in so
// long, since a worker reports at once when it sees one.
func (e *Ear) Test(now time.Duration, odd bool, every time.Duration) bool {
	if e.missed == 0 && (!odd || e.asked > 0 && now-e.asked < every) {
		return false
	}
	e.asked = now
	return true
}
