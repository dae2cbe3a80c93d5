// Package placement implements Pogonip's greedy heuristic as pure functions. A machine is scored by
// beta, the number of further copies of a task that it could hold. A job's anchor, its first task,
// takes the machine with the largest beta, its other tasks the first one with the smallest.
package placement

import (
	"math"

	"github.com/barrowbridge/barrowbridge/internal/conversion"
)

// Size is an amount of each resource.
type Size struct {
	CPUs, GPUs, MemGB float64
	ReportBytes       float64 // of the report of the machine's worker (package reportsize)
}

// eps absorbs the rounding of sums of decimal amounts.
const eps = 1e-6

// Sub returns a minus b.
func (a Size) Sub(b Size) Size {
	return Size{a.CPUs - b.CPUs, a.GPUs - b.GPUs, a.MemGB - b.MemGB, a.ReportBytes - b.ReportBytes}
}

// Add returns a plus b.
func (a Size) Add(b Size) Size {
	return Size{a.CPUs + b.CPUs, a.GPUs + b.GPUs, a.MemGB + b.MemGB, a.ReportBytes + b.ReportBytes}
}

// Min returns the minimum of each resource.
func Min(a, b Size) Size {
	return Size{min(a.CPUs, b.CPUs), min(a.GPUs, b.GPUs), min(a.MemGB, b.MemGB), min(a.ReportBytes, b.ReportBytes)}
}

// Fits reports whether a task of the given size fits into the free amount.
func Fits(free, size Size) bool {
	return size.CPUs <= free.CPUs+eps && size.GPUs <= free.GPUs+eps && size.MemGB <= free.MemGB+eps && size.ReportBytes <= free.ReportBytes
}

// Copies returns how many further copies of a task a machine could hold by one resource alone, once the
// task is placed: floor((free-asked)/asked). It is negative if the task does not fit.
func Copies(free, asked float64) float64 { return math.Floor((free-asked)/asked + eps) }

// Beta returns the minimum of Copies over the requested resources. It is negative if the task does not
// fit, and 0 if it asks for nothing.
func Beta(free, size Size) int {
	copies, none := math.Inf(1), true
	bound := func(free, asked float64) {
		if asked > 0 {
			copies, none = min(copies, Copies(free, asked)), false
		}
	}
	bound(free.CPUs, size.CPUs)
	bound(free.GPUs, size.GPUs)
	bound(free.MemGB, size.MemGB)
	bound(free.ReportBytes, size.ReportBytes)
	if none {
		return 0
	}
	return conversion.Int(copies)
}

// Candidate is a machine that a task is allowed on.
type Candidate struct {
	Free Size
	// ServiceTasks is how many tasks of the same service run in the machine's zone; 0 for other
	// jobs.
	ServiceTasks int
	// EmptyRental is whether the machine is empty and paid for by the second. It makes an exception
	// to the paper, where nodes cost nothing while empty: an anchor takes the largest beta among the
	// machines already in use, if it fits on one.
	EmptyRental bool
	// Preference breaks ties of beta, larger first; a machine may be preferred because it has the
	// image, for example. It makes a second exception to the paper: for an anchor it goes before
	// beta, since a fetch takes longer than users wait for a first task.
	Preference int
}

// Pick returns the index of the chosen candidate, or -1. It takes the zone with the fewest tasks of
// the same service, and there the largest beta for an anchor, else the first smallest. Candidate
// documents the two exceptions.
func Pick(candidates []Candidate, size Size, anchor bool) int {
	best, bestBeta := -1, 0
	for i, c := range candidates {
		if !Fits(c.Free, size) {
			continue
		}
		beta := Beta(c.Free, size)
		if best < 0 {
			best, bestBeta = i, beta
			continue
		}
		chosen := candidates[best]
		switch {
		case c.ServiceTasks != chosen.ServiceTasks:
			if c.ServiceTasks < chosen.ServiceTasks {
				best, bestBeta = i, beta
			}
		case anchor && c.Preference != chosen.Preference:
			if c.Preference > chosen.Preference {
				best, bestBeta = i, beta
			}
		case anchor && c.EmptyRental != chosen.EmptyRental:
			if chosen.EmptyRental {
				best, bestBeta = i, beta
			}
		case beta != bestBeta:
			if (beta > bestBeta) == anchor {
				best, bestBeta = i, beta
			}
		case c.Preference > chosen.Preference:
			best = i
		}
	}
	return best
}

// TasksUnderLimit returns how many more tasks of a size may start before a team reaches its limits
// of CPUs and GPUs, and limit at most.
func TasksUnderLimit(cpus, gpus float64, used, size Size, limit int) int {
	tasks := float64(limit)
	if size.CPUs > 0 {
		tasks = min(tasks, math.Floor((cpus-used.CPUs)/size.CPUs+1e-6))
	}
	if size.GPUs > 0 {
		tasks = min(tasks, math.Floor((gpus-used.GPUs)/size.GPUs+1e-6))
	}
	return max(0, conversion.Int(tasks))
}
