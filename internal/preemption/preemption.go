// Package preemption chooses what work is stopped so that other work that goes before it
// finds room: on the machine where the least running time is lost. Pure.
package preemption

import (
	"math"
	"sort"
	"time"

	"github.com/barrowbridge/barrowbridge/internal/placement"
)

// Victim is a task that may have to give way.
type Victim[T any] struct {
	Handle  T
	Size    placement.Size
	Runtime time.Duration
	Idle    bool // gives way to all other work, else to urgent work only
	// Unsent: its place is reserved, and nobody has been told to start it. It gives way to
	// whatever is served first, and nothing is lost.
	Unsent bool
}

// Machine is one that could take a task once work on it has been stopped: what is free or
// leaving already, and the tasks that would give way.
type Machine[M, T any] struct {
	Handle  M
	Free    placement.Size
	Victims []Victim[T]
}

// Sort puts the victims in the order in which they give way: what has not been sent, idle
// work, then what has run the least.
func (m *Machine[M, T]) SortVictims() {
	sort.SliceStable(m.Victims, func(i, j int) bool {
		if a, b := &m.Victims[i], &m.Victims[j]; a.Unsent != b.Unsent {
			return a.Unsent
		} else if a.Idle != b.Idle {
			return a.Idle
		}
		return m.Victims[i].Runtime < m.Victims[j].Runtime
	})
}

// Choose finds the machine where the least is lost by making room for a task, takes that
// room out of it and returns who is to be stopped there; ok false: there is none. Urgent
// tasks have all victims stopped, others idle and unsent ones only. A fetch of the image is not weighed: it was
// tried, and urgent tasks waited longer (docs/rounds.md).
func Choose[M, T any](in []*Machine[M, T], size placement.Size, urgent bool, allowed func(M) bool) (stop []Victim[T], ok bool) {
	var best *Machine[M, T]
	n, loss := 0, time.Duration(math.MaxInt64)
	for _, x := range in {
		if !allowed(x.Handle) {
			continue
		}
		f, lost, k := x.Free, time.Duration(0), 0
		for ; k < len(x.Victims) && !placement.Fits(f, size) && lost < loss && (urgent || x.Victims[k].Idle || x.Victims[k].Unsent); k++ {
			f = f.Add(x.Victims[k].Size)
			lost += x.Victims[k].Runtime
		}
		if placement.Fits(f, size) && lost < loss {
			best, n, loss = x, k, lost
		}
		if loss == 0 {
			break // room that is free or being made
		}
	}
	if best == nil {
		return nil, false
	}
	stop = best.Victims[:n:n]
	for _, v := range stop {
		best.Free = best.Free.Add(v.Size)
	}
	best.Victims = best.Victims[n:]
	best.Free = best.Free.Sub(size)
	return stop, true
}
