// Package placement is Pogonip's greedy heuristic as pure functions:
// a machine is scored by beta, the further copies of a task it could hold; a
// job's anchor takes the largest beta, its other tasks the first smallest.
package placement

import "math"

// Size is an amount of each resource.
type Size struct {
	CPUs, GPUs, MemGB float64
}

// eps absorbs the rounding of sums of decimal amounts.
const eps = 1e-6

// Sub returns a minus b.
func (a Size) Sub(b Size) Size { return Size{a.CPUs - b.CPUs, a.GPUs - b.GPUs, a.MemGB - b.MemGB} }

// Add returns a plus b.
func (a Size) Add(b Size) Size { return Size{a.CPUs + b.CPUs, a.GPUs + b.GPUs, a.MemGB + b.MemGB} }

// Lesser is what two amounts both hold.
func Min(a, b Size) Size {
	return Size{min(a.CPUs, b.CPUs), min(a.GPUs, b.GPUs), min(a.MemGB, b.MemGB)}
}

// Fits tells whether an asked amount fits into the free one.
func Fits(free, size Size) bool {
	return size.CPUs <= free.CPUs+eps && size.GPUs <= free.GPUs+eps && size.MemGB <= free.MemGB+eps
}

// Beta is the minimum over the asked resources of floor((free-ask)/ask): the
// copies a machine could still hold once this one is placed. Negative: does
// not fit.
func Beta(free, size Size) int {
	copies := math.Inf(1)
	for _, resource := range [3][2]float64{{free.CPUs, size.CPUs}, {free.GPUs, size.GPUs}, {free.MemGB, size.MemGB}} {
		if resource[1] > 0 {
			copies = math.Min(copies, math.Floor((resource[0]-resource[1])/resource[1]+eps))
		}
	}
	if math.IsInf(copies, 1) {
		return 0
	}
	return int(copies)
}

// Candidate is a machine that a task is allowed on.
type Candidate struct {
	Free Size
	// Load is how many tasks of the same service its zone holds; 0 elsewhere.
	ServiceTasks int
	// Opens: the machine is empty and paid for by the second. Exception to the
	// paper, where nodes cost nothing while empty: an anchor takes the largest
	// beta among the machines already in use, if one fits.
	EmptyRental bool
	// Better, larger first, breaks ties of beta (an image at hand, say). Second
	// exception: for an anchor it goes before beta, since a fetch takes longer
	// than users wait for a first task.
	Preference int
}

// Pick returns the chosen candidate's index, or -1: the zone with the least
// load; for the anchor then the largest beta, for others the first smallest.
// The two exceptions stand with Candidate.
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

// Under is how many more tasks of a size may start before a limit in CPUs and GPUs, at most
// so many.
func TasksUnderLimit(cpus, gpus float64, used, size Size, limit int) int {
	tasks := float64(limit)
	if size.CPUs > 0 {
		tasks = min(tasks, math.Floor((cpus-used.CPUs)/size.CPUs+1e-6))
	}
	if size.GPUs > 0 {
		tasks = min(tasks, math.Floor((gpus-used.GPUs)/size.GPUs+1e-6))
	}
	return max(0, int(tasks))
}
