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
type Verdict int

const (
	Forget Verdict = iota // nothing is left to call it for
	Wait                  // not yet
	Call
)

// Limits bound the calls.
type Limits struct {
	PerSecond float64       // calls a second, all machines together
	Burst     int           // calls at once
	Look      int           // machines asked about in one turn
	Keep      time.Duration // a machine that was never ready for so long is forgotten
}

// Desk holds the machines to be called, those for urgent work first, each in the order
// in which it was asked for. H is the owner's handle of a machine.
type Desk[H comparable] struct {
	limits Limits
	pace   *rate.Limiter
	lanes  [2]*list.List // of *item[H]; urgent ones first
	items  map[H]*list.Element
}

type item[H comparable] struct {
	handle H
	lane   int
	since  time.Duration
}

// New returns an empty desk.
func New[H comparable](l Limits) *Desk[H] {
	return &Desk[H]{limits: l, pace: rate.NewLimiter(rate.Limit(l.PerSecond), l.Burst), lanes: [2]*list.List{list.New(), list.New()}, items: map[H]*list.Element{}}
}

// Want asks for a call to a machine. One that is asked for already keeps its turn, but
// moves up if the new reason is urgent.
func (d *Desk[H]) Want(now time.Duration, h H, urgent bool) {
	lane := 1
	if urgent {
		lane = 0
	}
	if el := d.items[h]; el != nil {
		it := el.Value.(*item[H])
		if it.lane <= lane {
			return
		}
		d.lanes[it.lane].Remove(el)
	}
	d.items[h] = d.lanes[lane].PushBack(&item[H]{h, lane, now})
}

// Forget drops a machine: it has just reported, or is gone.
func (d *Desk[H]) Forget(h H) {
	if el := d.items[h]; el != nil {
		d.lanes[el.Value.(*item[H]).lane].Remove(el)
		delete(d.items, h)
	}
}

// Len is how many machines are to be called.
func (d *Desk[H]) Len() int { return len(d.items) }

// Take returns the machines to call now. ask tells what is due for one of them.
func (d *Desk[H]) Take(now time.Duration, ask func(H) Verdict) (calls []H) {
	at := time.Unix(0, 0).Add(now)
	left := d.limits.Look
	for _, lane := range d.lanes {
		for el := lane.Front(); el != nil && left > 0; left-- {
			it, next := el.Value.(*item[H]), el.Next()
			v := ask(it.handle)
			switch {
			case v == Call && !d.pace.AllowN(at, 1):
				return calls
			case v == Call:
				calls = append(calls, it.handle)
				d.Forget(it.handle)
			case v == Forget || now-it.since > d.limits.Keep:
				d.Forget(it.handle)
			}
			el = next
		}
	}
	return calls
}
