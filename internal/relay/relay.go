// Package relay decides which workers' reports a controller relays to the holder of their machine,
// because the worker may be cut off from the holder, and tracks the relayed reports in flight.
//
// A plain structure: no clock, no I/O, not for concurrent use. Times are those of the owner's
// monotonic clock.
package relay

import (
	"maps"
	"slices"
	"time"
)

// Limits are the times and counts by which reports are relayed.
type Limits struct {
	Lease            time.Duration // a machine without a report for longer than this is treated as new
	RedirectInterval time.Duration // minimum time between redirects of a machine to its holder
	MaxReports       int           // reports relayed for a machine before it is redirected
	AnswerTimeout    time.Duration // how long to wait for a holder's answer
}

// Tracker tracks the reports that we relay, and those that others have relayed to us.
type Tracker struct {
	limits   Limits
	machines map[string]*machine
	relayed  map[uint64]relayedReport // reports in flight, by message ID
	origins  map[uint64]Origin        // origins of reports relayed to us, by request
}

// machine is a machine whose reports we relay.
type machine struct {
	relayed      int // reports since it was last redirected to its holder
	lastReport   time.Duration
	redirectedAt time.Duration
}

// relayedReport is a report in flight: the worker's request, and when the report was sent.
type relayedReport struct {
	request uint64
	sentAt  time.Duration
}

// Origin is the controller that relayed a report to us, and the ID of its message.
type Origin struct {
	From string
	ID   uint64
}

// NewTracker returns an empty tracker.
func NewTracker(l Limits) *Tracker {
	return &Tracker{
		limits:   l,
		machines: map[string]*machine{},
		relayed:  map[uint64]relayedReport{},
		origins:  map[uint64]Origin{},
	}
}

// ShouldRelay reports whether to relay a machine's report; otherwise its worker is redirected to the
// holder. A redirect costs a worker that is cut off from the holder a time-out, and two of them its
// lease. After some relayed reports the worker is redirected once. If it comes back, it cannot reach
// the holder, and the next redirect waits longer. A worker that has not seen the holder's token yet
// (outdatedToken) is redirected first: after a takeover hundreds of them report at once, and relaying
// all their reports took the time of two controllers instead of one. No worker is redirected to a
// holder that lacks workers.
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

// Relayed records that the report of a request has been relayed in the message with that ID.
func (t *Tracker) Relayed(now time.Duration, id, request uint64) {
	t.relayed[id] = relayedReport{request, now}
}

// AnswerReceived returns the request whose report was relayed in that message, and forgets it; false if
// no answer to the message is awaited.
func (t *Tracker) AnswerReceived(id uint64) (request uint64, waited bool) {
	report, waited := t.relayed[id]
	delete(t.relayed, id)
	return report.request, waited
}

// Expire returns the requests whose holders have not answered in time, and forgets them. A holder may
// just have died, and every second that the worker waits is a second of its lease.
func (t *Tracker) Expire(now time.Duration) (requests []uint64) {
	for _, id := range slices.Sorted(maps.Keys(t.relayed)) {
		if report := t.relayed[id]; now-report.sentAt > t.limits.AnswerTimeout {
			delete(t.relayed, id)
			requests = append(requests, report.request)
		}
	}
	return requests
}

// ReceivedFrom records the origin of a report that another controller has relayed to us.
func (t *Tracker) ReceivedFrom(request uint64, origin Origin) { t.origins[request] = origin }

// OriginOf returns the origin of a request's report; false if it was not relayed.
func (t *Tracker) OriginOf(request uint64) (Origin, bool) {
	origin, relayed := t.origins[request]
	return origin, relayed
}

// TakeOrigin returns the origin like OriginOf, and forgets it because the request is answered.
func (t *Tracker) TakeOrigin(request uint64) (Origin, bool) {
	origin, relayed := t.origins[request]
	delete(t.origins, request)
	return origin, relayed
}

// Prune forgets machines that have not reported for twice the RedirectInterval.
func (t *Tracker) Prune(now time.Duration) {
	maps.DeleteFunc(t.machines, func(_ string, x *machine) bool { return now-x.lastReport > 2*t.limits.RedirectInterval })
}

// Len returns the number of remembered machines.
func (t *Tracker) Len() int { return len(t.machines) }
