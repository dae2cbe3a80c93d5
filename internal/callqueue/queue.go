// Package callqueue decides which workers are called directly, and when. A worker reports every few
// seconds; until then a start that is ready for it, or a stop that others wait for, is delayed. A call
// makes the worker report at once. Calls are an optimization: a call that is lost, late or never made
// costs time only, so their number and rate are limited.
//
// A queue is a plain structure: no clock, no I/O, not for concurrent use.
package callqueue

import (
	"container/list"
	"time"

	"golang.org/x/time/rate"
)

// Decision is the owner's decision about a machine whose turn has come.
type Decision int

const (
	Forget Decision = iota // there is no longer a reason to call it
	Wait                   // not ready for a call yet
	Call                   // call it now
)

// Limits bound the calls.
type Limits struct {
	PerSecond float64       // calls per second to all machines together
	Burst     int           // calls at once
	ScanLimit int           // machines examined in one Take
	MaxAge    time.Duration // a machine that has not become ready for longer than this is forgotten
}

// Queue holds the machines to be called, those with urgent work first, otherwise in the order of the
// requests. H is the owner's handle of a machine.
type Queue[H comparable] struct {
	limits   Limits
	limiter  *rate.Limiter
	lanes    [2]*list.List // of *item[H]: urgent, others
	elements map[H]*list.Element
}

// item is one machine to be called.
type item[H comparable] struct {
	handle  H
	lane    int
	addedAt time.Duration
}

// New returns an empty queue.
func New[H comparable](l Limits) *Queue[H] {
	return &Queue[H]{
		limits:   l,
		limiter:  rate.NewLimiter(rate.Limit(l.PerSecond), l.Burst),
		lanes:    [2]*list.List{list.New(), list.New()},
		elements: map[H]*list.Element{},
	}
}

// Request requests a call to a machine. A machine that is queued already keeps its place, but moves to
// the urgent lane if the new reason is urgent.
func (q *Queue[H]) Request(now time.Duration, h H, urgent bool) {
	lane := 1
	if urgent {
		lane = 0
	}
	if element := q.elements[h]; element != nil {
		entry := element.Value.(*item[H])
		if entry.lane <= lane {
			return
		}
		q.lanes[entry.lane].Remove(element)
	}
	q.elements[h] = q.lanes[lane].PushBack(&item[H]{h, lane, now})
}

// Remove removes a machine that has just reported, or is gone.
func (q *Queue[H]) Remove(h H) {
	if element := q.elements[h]; element != nil {
		q.lanes[element.Value.(*item[H]).lane].Remove(element)
		delete(q.elements, h)
	}
}

// Len returns the number of queued machines.
func (q *Queue[H]) Len() int { return len(q.elements) }

// Take returns the machines to call now, and removes them from the queue. decide returns the decision
// about a machine.
func (q *Queue[H]) Take(now time.Duration, decide func(H) Decision) (calls []H) {
	at := time.Unix(0, 0).Add(now)
	left := q.limits.ScanLimit
	for _, lane := range q.lanes {
		for element := lane.Front(); element != nil && left > 0; left-- {
			entry, next := element.Value.(*item[H]), element.Next()
			decision := decide(entry.handle)
			switch {
			case decision == Call && !q.limiter.AllowN(at, 1):
				return calls
			case decision == Call:
				calls = append(calls, entry.handle)
				q.Remove(entry.handle)
			case decision == Forget || now-entry.addedAt > q.limits.MaxAge:
				q.Remove(entry.handle)
			}
			element = next
		}
	}
	return calls
}
