// Package takeover decides which workers a controller calls after it has been granted
// machines that others held before, and at which addresses. Until such a machine is
// accounted for, every task that was ever started may be on it; its own next report may
// be seconds away, or go to a controller that cannot be spoken to.
//
// Plain structures: no clock, no I/O, not for concurrent use.
package takeover

import (
	"container/list"
	"time"

	"golang.org/x/time/rate"
)

// Limits bound the calls of a roll.
type Limits struct {
	PerSecond     float64       // calls a second
	Burst         int           // calls at once
	MaxInFlight   int           // calls under way
	ScanLimit     int           // machines looked at in one turn
	LostAfter     time.Duration // a call without an outcome for so long was lost
	RetryDelay    time.Duration // before the second call to a machine; doubles
	RetryDelayMax time.Duration
}

// Roll holds the machines that are to be accounted for, those of urgent work first. H is
// the owner's handle of a machine.
type PendingMachines[H comparable] struct {
	limits   Limits
	limiter  *rate.Limiter
	lanes    [2]*list.List // of *entry[H]; urgent ones first; the longest not called in front
	elements map[H]*list.Element
	inFlight int
}

type pendingMachine[H comparable] struct {
	handle      H
	lane        int
	failedCalls int
	due         time.Duration // of the next call, or when the open one counts as lost
	inFlight    bool
}

// NewRoll returns an empty roll.
func NewPendingMachines[H comparable](l Limits) *PendingMachines[H] {
	return &PendingMachines[H]{limits: l, limiter: rate.NewLimiter(rate.Limit(l.PerSecond), l.Burst),
		lanes: [2]*list.List{list.New(), list.New()}, elements: map[H]*list.Element{}}
}

// Add puts a machine on the roll; one that is on it already may become urgent.
func (p *PendingMachines[H]) Add(h H, urgent bool) {
	lane := 1
	if urgent {
		lane = 0
	}
	e := &pendingMachine[H]{handle: h, lane: lane}
	if el := p.elements[h]; el != nil {
		old := el.Value.(*pendingMachine[H])
		if old.lane <= lane {
			return
		}
		p.lanes[old.lane].Remove(el)
		*e = *old
		e.lane = lane
	}
	p.elements[h] = p.lanes[lane].PushBack(e)
}

// Drop takes a machine off: it is accounted for, or no longer ours.
func (p *PendingMachines[H]) Remove(h H) {
	if el := p.elements[h]; el != nil {
		e := el.Value.(*pendingMachine[H])
		if e.inFlight {
			p.inFlight--
		}
		p.lanes[e.lane].Remove(el)
		delete(p.elements, h)
	}
}

// Len is how many machines are still to be accounted for.
func (p *PendingMachines[H]) Len() int { return len(p.elements) }

// Tries is how many calls to a machine have ended and not accounted for it.
func (p *PendingMachines[H]) FailedCalls(h H) int {
	if el := p.elements[h]; el != nil {
		return el.Value.(*pendingMachine[H]).failedCalls
	}
	return 0
}

// Take returns the machines to call now; reach tells whether an address is known.
func (p *PendingMachines[H]) Take(now time.Duration, hasAddress func(H) bool) (calls []H) {
	at, left := time.Unix(0, 0).Add(now), p.limits.ScanLimit
	for _, lane := range p.lanes {
		el := lane.Front()
		for n := lane.Len(); n > 0 && left > 0; n-- {
			left--
			e, next := el.Value.(*pendingMachine[H]), el.Next()
			if now >= e.due && e.inFlight { // its outcome never came
				e.inFlight = false
				p.inFlight--
			}
			if now >= e.due && hasAddress(e.handle) {
				if p.inFlight >= p.limits.MaxInFlight || !p.limiter.AllowN(at, 1) {
					return calls
				}
				e.inFlight, e.due = true, now+p.limits.LostAfter
				p.inFlight++
				lane.MoveToBack(el)
				calls = append(calls, e.handle)
			}
			el = next
		}
	}
	return calls
}

// Failed notes that a call brought nothing that accounts for the machine. It is called
// again after a pause, or at once if the answer told how.
func (p *PendingMachines[H]) CallFailed(now time.Duration, h H, atOnce bool) {
	el := p.elements[h]
	if el == nil {
		return
	}
	e := el.Value.(*pendingMachine[H])
	if e.inFlight {
		e.inFlight = false
		p.inFlight--
	}
	if atOnce && e.failedCalls == 0 {
		e.due = now
		p.lanes[e.lane].MoveToFront(el)
	} else {
		e.due = now + min(p.limits.RetryDelay<<min(e.failedCalls, 10), p.limits.RetryDelayMax)
	}
	e.failedCalls++
}
