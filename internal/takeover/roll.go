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
	PerSecond float64       // calls a second
	Burst     int           // calls at once
	Open      int           // calls under way
	Look      int           // machines looked at in one turn
	Lost      time.Duration // a call without an outcome for so long was lost
	Pause     time.Duration // before the second call to a machine; doubles
	PauseMax  time.Duration
}

// Roll holds the machines that are to be accounted for, those of urgent work first. H is
// the owner's handle of a machine.
type Roll[H comparable] struct {
	limits Limits
	pace   *rate.Limiter
	lanes  [2]*list.List // of *entry[H]; urgent ones first; the longest not called in front
	of     map[H]*list.Element
	open   int
}

type entry[H comparable] struct {
	handle H
	lane   int
	tries  int
	due    time.Duration // of the next call, or when the open one counts as lost
	open   bool
}

// NewRoll returns an empty roll.
func NewRoll[H comparable](l Limits) *Roll[H] {
	return &Roll[H]{limits: l, pace: rate.NewLimiter(rate.Limit(l.PerSecond), l.Burst),
		lanes: [2]*list.List{list.New(), list.New()}, of: map[H]*list.Element{}}
}

// Add puts a machine on the roll; one that is on it already may become urgent.
func (r *Roll[H]) Add(h H, urgent bool) {
	lane := 1
	if urgent {
		lane = 0
	}
	e := &entry[H]{handle: h, lane: lane}
	if el := r.of[h]; el != nil {
		old := el.Value.(*entry[H])
		if old.lane <= lane {
			return
		}
		r.lanes[old.lane].Remove(el)
		*e = *old
		e.lane = lane
	}
	r.of[h] = r.lanes[lane].PushBack(e)
}

// Drop takes a machine off: it is accounted for, or no longer ours.
func (r *Roll[H]) Drop(h H) {
	if el := r.of[h]; el != nil {
		e := el.Value.(*entry[H])
		if e.open {
			r.open--
		}
		r.lanes[e.lane].Remove(el)
		delete(r.of, h)
	}
}

// Len is how many machines are still to be accounted for.
func (r *Roll[H]) Len() int { return len(r.of) }

// Tries is how many calls to a machine have ended and not accounted for it.
func (r *Roll[H]) Tries(h H) int {
	if el := r.of[h]; el != nil {
		return el.Value.(*entry[H]).tries
	}
	return 0
}

// Take returns the machines to call now; reach tells whether an address is known.
func (r *Roll[H]) Take(now time.Duration, reach func(H) bool) (calls []H) {
	at, left := time.Unix(0, 0).Add(now), r.limits.Look
	for _, lane := range r.lanes {
		el := lane.Front()
		for n := lane.Len(); n > 0 && left > 0; n-- {
			left--
			e, next := el.Value.(*entry[H]), el.Next()
			if now >= e.due && e.open { // its outcome never came
				e.open = false
				r.open--
			}
			if now >= e.due && reach(e.handle) {
				if r.open >= r.limits.Open || !r.pace.AllowN(at, 1) {
					return calls
				}
				e.open, e.due = true, now+r.limits.Lost
				r.open++
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
func (r *Roll[H]) Failed(now time.Duration, h H, atOnce bool) {
	el := r.of[h]
	if el == nil {
		return
	}
	e := el.Value.(*entry[H])
	if e.open {
		e.open = false
		r.open--
	}
	if atOnce && e.tries == 0 {
		e.due = now
		r.lanes[e.lane].MoveToFront(el)
	} else {
		e.due = now + min(r.limits.Pause<<min(e.tries, 10), r.limits.PauseMax)
	}
	e.tries++
}
