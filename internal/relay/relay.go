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
	Lease            time.Duration // a machine that did not come for so long comes anew
	RedirectInterval time.Duration // one that was sent to its holder is not sent there again for so long
	MaxReports       int           // passed on for a machine before it is sent there
	AnswerTimeout    time.Duration // a holder's answer is waited for so long
}

// Book has the reports passed on, and those that others have passed on to us.
type Tracker struct {
	limits   Limits
	machines map[string]*machine
	relayed  map[uint64]relayedReport // by the number of the message
	origins  map[uint64]Origin        // by request
}

// machine is one whose reports are passed on.
type machine struct {
	relayed      int // since it was last sent to its holder
	lastReport   time.Duration
	redirectedAt time.Duration // when it was last sent there
}

type relayedReport struct {
	request uint64
	sentAt  time.Duration
}

// Taken is a report that came through another controller: who it is, and the number of its message.
type Origin struct {
	From string
	ID   uint64
}

// New returns an empty book.
func NewTracker(l Limits) *Tracker {
	return &Tracker{limits: l, machines: map[string]*machine{}, relayed: map[uint64]relayedReport{}, origins: map[uint64]Origin{}}
}

// Passes tells whether a machine's report is passed on, instead of sending the worker to its
// holder: being sent there would cost one that is cut off from it a time-out, and two of them a
// lease. After a few it is sent there once; if it comes back, the holder cannot be reached from
// there and the next try waits longer. A worker that has not seen the holder's token yet (behind)
// is sent there first: after a takeover hundreds come at once, and to pass all their reports on
// took two controllers' time instead of one's. None is sent to a holder that lacks its workers.
func (t *Tracker) ShouldRelay(now time.Duration, machineName string, outdatedToken, holderLacksWorkers bool) bool {
	m := t.machines[machineName]
	if m == nil || now-m.lastReport > t.limits.Lease {
		m = &machine{redirectedAt: -t.limits.RedirectInterval}
		t.machines[machineName] = m
		if outdatedToken && !holderLacksWorkers {
			m.lastReport, m.redirectedAt = now, now
			return false
		}
	}
	m.lastReport = now
	if m.relayed++; m.relayed > t.limits.MaxReports && now-m.redirectedAt > t.limits.RedirectInterval && !holderLacksWorkers {
		m.relayed, m.redirectedAt = 0, now
		return false
	}
	return true
}

// Pass notes that a request's report has been passed on in a message of a number.
func (t *Tracker) Relayed(now time.Duration, id, request uint64) {
	t.relayed[id] = relayedReport{request, now}
}

// Answered ends the waiting for the answer to a message; false: it is not waited for.
func (t *Tracker) AnswerReceived(id uint64) (request uint64, waited bool) {
	x, waited := t.relayed[id]
	delete(t.relayed, id)
	return x.request, waited
}

// GiveUp ends the waiting for holders that keep silent, and lists the requests: a holder may have
// just died, and each second the worker waits is one of its lease.
func (t *Tracker) Expire(now time.Duration) (requests []uint64) {
	for _, id := range slices.Sorted(maps.Keys(t.relayed)) {
		if x := t.relayed[id]; now-x.sentAt > t.limits.AnswerTimeout {
			delete(t.relayed, id)
			requests = append(requests, x.request)
		}
	}
	return requests
}

// Take notes a report that came through another controller.
func (t *Tracker) ReceivedFrom(request uint64, origin Origin) { t.origins[request] = origin }

// Through is the controller that a request's report came through; false: it came by itself.
func (t *Tracker) OriginOf(request uint64) (Origin, bool) {
	origin, relayed := t.origins[request]
	return origin, relayed
}

// Return is the same, and forgets it: it is answered.
func (t *Tracker) TakeOrigin(request uint64) (Origin, bool) {
	origin, relayed := t.origins[request]
	delete(t.origins, request)
	return origin, relayed
}

// Forget forgets machines that have not come for long.
func (t *Tracker) Prune(now time.Duration) {
	maps.DeleteFunc(t.machines, func(_ string, x *machine) bool { return now-x.lastReport > 2*t.limits.RedirectInterval })
}

// Len is how many machines are remembered.
func (t *Tracker) Len() int { return len(t.machines) }
