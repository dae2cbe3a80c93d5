// Package callqueue decides which workers are called directly, and when. A worker reports
// every few seconds; until then a start that is ready for it, or a stop that others
// wait for, lies still. A call makes the worker report at once. Calls are advice: one
// that is lost, late or never made costs time only, so they are few and paced.
//
// A desk is a plain structure: no clock, no I/O, not for concurrent use.
package callqueue

import (
	"container/list"
	"time"

	"golang.org/x/time/rate"
)

// Verdict is what the owner of a machine says when its turn has come.
type Decision int

const (
	Forget Decision = iota // nothing is left to call it for
	Wait                   // not yet
	Call
)

// Limits bound the calls.
type Limits struct {
	PerSecond float64       // calls a second, all machines together
	Burst     int           // calls at once
	ScanLimit int           // machines asked about in one turn
	MaxAge    time.Duration // a machine that was never ready for so long is forgotten
}

// Desk holds the machines to be called, those for urgent work first, each in the order
// in which it was asked for. H is the owner's handle of a machine.
type Queue[H comparable] struct {
	limits   Limits
	limiter  *rate.Limiter
	lanes    [2]*list.List // of *item[H]; urgent ones first
	elements map[H]*list.Element
}

type item[H comparable] struct {
	handle  H
	lane    int
	addedAt time.Duration
}

// New returns an empty desk.
func New[H comparable](l Limits) *Queue[H] {
	return &Queue[H]{limits: l, limiter: rate.NewLimiter(rate.Limit(l.PerSecond), l.Burst), lanes: [2]*list.List{list.New(), list.New()}, elements: map[H]*list.Element{}}
}

// Want asks for a call to a machine. One that is asked for already keeps its turn, but
// moves up if the new reason is urgent.
func (q *Queue[H]) Request(now time.Duration, h H, urgent bool) {
	lane := 1
	if urgent {
		lane = 0
	}
	if el := q.elements[h]; el != nil {
		it := el.Value.(*item[H])
		if it.lane <= lane {
			return
		}
		q.lanes[it.lane].Remove(el)
	}
	q.elements[h] = q.lanes[lane].PushBack(&item[H]{h, lane, now})
}

// Forget drops a machine: it has just reported, or is gone.
func (q *Queue[H]) Remove(h H) {
	if el := q.elements[h]; el != nil {
		q.lanes[el.Value.(*item[H]).lane].Remove(el)
		delete(q.elements, h)
	}
}

// Len is how many machines are to be called.
func (q *Queue[H]) Len() int { return len(q.elements) }

// Take returns the machines to call now. ask tells what is due for one of them.
func (q *Queue[H]) Take(now time.Duration, decide func(H) Decision) (calls []H) {
	at := time.Unix(0, 0).Add(now)
	left := q.limits.ScanLimit
	for _, lane := range q.lanes {
		for el := lane.Front(); el != nil && left > 0; left-- {
			it, next := el.Value.(*item[H]), el.Next()
			decision := decide(it.handle)
			switch {
			case decision == Call && !q.limiter.AllowN(at, 1):
				return calls
			case decision == Call:
				calls = append(calls, it.handle)
				q.Remove(it.handle)
			case decision == Forget || now-it.addedAt > q.limits.MaxAge:
				q.Remove(it.handle)
			}
			el = next
		}
	}
	return calls
}
