// Package takeover decides which workers a controller queries, and at which addresses, after it has
// been assigned machines that others held before. Until such a machine is accounted for, every task
// that was ever started may be running on it. Its own next report may be seconds away, or go to a
// controller that is unreachable.
//
// Plain structures: no clock, no I/O, not for concurrent use.
package takeover

import (
	"container/list"
	"time"

	"golang.org/x/time/rate"
)

// Limits bound the calls to pending machines.
type Limits struct {
	PerSecond     float64       // calls per second
	Burst         int           // calls at once
	MaxInFlight   int           // calls in flight
	ScanLimit     int           // machines examined in one Take
	LostAfter     time.Duration // a call without an outcome for this long counts as lost
	RetryDelay    time.Duration // before the second call to a machine; doubles with each failed call
	RetryDelayMax time.Duration
}

// PendingMachines holds the machines that have yet to be accounted for, those with urgent work first.
// H is the owner's handle of a machine.
type PendingMachines[H comparable] struct {
	limits   Limits
	limiter  *rate.Limiter
	lanes    [2]*list.List // of *pendingMachine[H]: urgent, others; the least recently called in front
	elements map[H]*list.Element
	inFlight int // calls in flight
}

// pendingMachine is one machine that has yet to be accounted for.
type pendingMachine[H comparable] struct {
	handle      H
	lane        int
	failedCalls int
	due         time.Duration // time of the next call, or when the call in flight counts as lost
	inFlight    bool
}

// NewPendingMachines returns an empty collection.
func NewPendingMachines[H comparable](l Limits) *PendingMachines[H] {
	return &PendingMachines[H]{
		limits:   l,
		limiter:  rate.NewLimiter(rate.Limit(l.PerSecond), l.Burst),
		lanes:    [2]*list.List{list.New(), list.New()},
		elements: map[H]*list.Element{},
	}
}

// Add adds a machine. One that is pending already becomes urgent if urgent is set.
func (p *PendingMachines[H]) Add(h H, urgent bool) {
	lane := 1
	if urgent {
		lane = 0
	}
	entry := &pendingMachine[H]{handle: h, lane: lane}
	if element := p.elements[h]; element != nil {
		old := element.Value.(*pendingMachine[H])
		if old.lane <= lane {
			return
		}
		p.lanes[old.lane].Remove(element)
		*entry = *old
		entry.lane = lane
	}
	p.elements[h] = p.lanes[lane].PushBack(entry)
}

// Remove removes a machine that is accounted for, or no longer ours.
func (p *PendingMachines[H]) Remove(h H) {
	if element := p.elements[h]; element != nil {
		entry := element.Value.(*pendingMachine[H])
		if entry.inFlight {
			p.inFlight--
		}
		p.lanes[entry.lane].Remove(element)
		delete(p.elements, h)
	}
}

// Len returns the number of machines that have yet to be accounted for.
func (p *PendingMachines[H]) Len() int { return len(p.elements) }

// FailedCalls returns the number of finished calls to a machine that did not account for it.
func (p *PendingMachines[H]) FailedCalls(h H) int {
	if element := p.elements[h]; element != nil {
		return element.Value.(*pendingMachine[H]).failedCalls
	}
	return 0
}

// Take returns the machines to call now. hasAddress reports whether the address of a machine is known.
func (p *PendingMachines[H]) Take(now time.Duration, hasAddress func(H) bool) (calls []H) {
	at, left := time.Unix(0, 0).Add(now), p.limits.ScanLimit
	for _, lane := range p.lanes {
		element := lane.Front()
		for n := lane.Len(); n > 0 && left > 0; n-- {
			left--
			entry, next := element.Value.(*pendingMachine[H]), element.Next()
			if now >= entry.due && entry.inFlight { // the call was lost
				entry.inFlight = false
				p.inFlight--
			}
			if now >= entry.due && hasAddress(entry.handle) {
				if p.inFlight >= p.limits.MaxInFlight || !p.limiter.AllowN(at, 1) {
					return calls
				}
				entry.inFlight, entry.due = true, now+p.limits.LostAfter
				p.inFlight++
				lane.MoveToBack(element)
				calls = append(calls, entry.handle)
			}
			element = next
		}
	}
	return calls
}

// CallFailed records that a call did not account for the machine. The machine is called again after a
// delay, or at once after the first call if atOnce is set, because the answer told how to call it.
func (p *PendingMachines[H]) CallFailed(now time.Duration, h H, atOnce bool) {
	element := p.elements[h]
	if element == nil {
		return
	}
	entry := element.Value.(*pendingMachine[H])
	if entry.inFlight {
		entry.inFlight = false
		p.inFlight--
	}
	if atOnce && entry.failedCalls == 0 {
		entry.due = now
		p.lanes[entry.lane].MoveToFront(element)
	} else {
		entry.due = now + min(p.limits.RetryDelay<<min(entry.failedCalls, 10), p.limits.RetryDelayMax)
	}
	entry.failedCalls++
}
