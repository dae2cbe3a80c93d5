// Package relay decides which reports a controller passes on to the holder of their machine, for
// workers that may be cut off from it, and knows those that are under way.
//
// A plain structure: no clock, no I/O, not for concurrent use. Times are those of the owner's
// steady clock.
package relay

import (
	"maps"
	"slices"
	"time"
)

// Limits are the times and counts by which reports are passed on.
type Limits struct {
	Lease   time.Duration // a machine that did not come for so long comes anew
	For     time.Duration // one that was sent to its holder is not sent there again for so long
	Reports int           // passed on for a machine before it is sent there
	Wait    time.Duration // a holder's answer is waited for so long
}

// Book has the reports passed on, and those that others have passed on to us.
type Book struct {
	limits   Limits
	machines map[string]*machine
	passed   map[uint64]passed // by the number of the message
	taken    map[uint64]Taken  // by request
}

// machine is one whose reports are passed on.
type machine struct {
	n    int // since it was last sent to its holder
	last time.Duration
	home time.Duration // when it was last sent there
}

type passed struct {
	req uint64
	at  time.Duration
}

// Taken is a report that came through another controller: who it is, and the number of its message.
type Taken struct {
	From string
	ID   uint64
}

// New returns an empty book.
func New(l Limits) *Book {
	return &Book{limits: l, machines: map[string]*machine{}, passed: map[uint64]passed{}, taken: map[uint64]Taken{}}
}

// Passes tells whether a machine's report is passed on, instead of sending the worker to its
// holder: being sent there would cost one that is cut off from it a time-out, and two of them a
// lease. After a few it is sent there once; if it comes back, the holder cannot be reached from
// there and the next try waits longer. A worker that has not seen the holder's token yet (behind)
// is sent there first: after a takeover hundreds come at once, and to pass all their reports on
// took two controllers' time instead of one's. None is sent to a holder that lacks its workers.
func (b *Book) Passes(now time.Duration, name string, behind, lacks bool) bool {
	x := b.machines[name]
	if x == nil || now-x.last > b.limits.Lease {
		x = &machine{home: -b.limits.For}
		b.machines[name] = x
		if behind && !lacks {
			x.last, x.home = now, now
			return false
		}
	}
	x.last = now
	if x.n++; x.n > b.limits.Reports && now-x.home > b.limits.For && !lacks {
		x.n, x.home = 0, now
		return false
	}
	return true
}

// Pass notes that a request's report has been passed on in a message of a number.
func (b *Book) Pass(now time.Duration, id, req uint64) { b.passed[id] = passed{req, now} }

// Answered ends the waiting for the answer to a message; false: it is not waited for.
func (b *Book) Answered(id uint64) (req uint64, waited bool) {
	x, waited := b.passed[id]
	delete(b.passed, id)
	return x.req, waited
}

// GiveUp ends the waiting for holders that keep silent, and lists the requests: a holder may have
// just died, and each second the worker waits is one of its lease.
func (b *Book) GiveUp(now time.Duration) (reqs []uint64) {
	for _, id := range slices.Sorted(maps.Keys(b.passed)) {
		if x := b.passed[id]; now-x.at > b.limits.Wait {
			delete(b.passed, id)
			reqs = append(reqs, x.req)
		}
	}
	return reqs
}

// Take notes a report that came through another controller.
func (b *Book) Take(req uint64, t Taken) { b.taken[req] = t }

// Through is the controller that a request's report came through; false: it came by itself.
func (b *Book) Through(req uint64) (Taken, bool) { t, is := b.taken[req]; return t, is }

// Return is the same, and forgets it: it is answered.
func (b *Book) Return(req uint64) (Taken, bool) {
	t, is := b.taken[req]
	delete(b.taken, req)
	return t, is
}

// Forget forgets machines that have not come for long.
func (b *Book) Forget(now time.Duration) {
	maps.DeleteFunc(b.machines, func(_ string, x *machine) bool { return now-x.last > 2*b.limits.For })
}

// Len is how many machines are remembered.
func (b *Book) Len() int { return len(b.machines) }
