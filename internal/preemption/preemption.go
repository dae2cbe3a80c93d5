// Package preemption chooses the tasks to stop so that work served before them finds free capacity,
// on the machine where the least running time is lost. The package has no clock and no I/O.
package preemption

import (
	"math"
	"sort"
	"time"

	"github.com/barrowbridge/barrowbridge/internal/placement"
)

// Victim is a task that may be preempted.
type Victim[T any] struct {
	Handle  T
	Size    placement.Size
	Runtime time.Duration
	Idle    bool // preemptible by all other work; otherwise by urgent work only
	// Unsent is whether the task is only reserved: no worker has been sent its start. It is
	// preempted by whatever is served first, and no running time is lost.
	Unsent bool
}

// Machine is a machine that could take a task once some of its own have been stopped: its free
// capacity, including that of tasks already being stopped, and its preemptible tasks.
type Machine[M, T any] struct {
	Handle  M
	Free    placement.Size
	Victims []Victim[T]
}

// SortVictims puts the victims in the order of preemption: unsent tasks, then idle work, then the
// tasks that have run for the shortest time.
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

// Choose finds the machine where making capacity for a task loses the least running time, subtracts
// the task from the machine's free capacity and returns the victims to stop there. It returns false
// if there is no such machine. All victims are preempted for urgent tasks, and only idle and unsent
// ones for others. The time to fetch the image is not taken into account: when it was, urgent tasks
// waited longer (docs/rounds.md).
func Choose[M, T any](machines []*Machine[M, T], size placement.Size, urgent bool, allowed func(M) bool) (stop []Victim[T], ok bool) {
	var best *Machine[M, T]
	bestCount, bestLost := 0, time.Duration(math.MaxInt64)
	for _, machine := range machines {
		if !allowed(machine.Handle) {
			continue
		}
		free, lost, count := machine.Free, time.Duration(0), 0
		for ; count < len(machine.Victims) && !placement.Fits(free, size) && lost < bestLost &&
			(urgent || machine.Victims[count].Idle || machine.Victims[count].Unsent); count++ {
			free = free.Add(machine.Victims[count].Size)
			lost += machine.Victims[count].Runtime
		}
		if placement.Fits(free, size) && lost < bestLost {
			best, bestCount, bestLost = machine, count, lost
		}
		if bestLost == 0 {
			break // the capacity is free or already being made
		}
	}
	if best == nil {
		return nil, false
	}
	stop = best.Victims[:bestCount:bestCount]
	for _, v := range stop {
		best.Free = best.Free.Add(v.Size)
	}
	best.Victims = best.Victims[bestCount:]
	best.Free = best.Free.Sub(size)
	return stop, true
}
