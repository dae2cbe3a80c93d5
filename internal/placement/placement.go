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
func Fits(free, ask Size) bool {
	return ask.CPUs <= free.CPUs+eps && ask.GPUs <= free.GPUs+eps && ask.MemGB <= free.MemGB+eps
}

// Beta is the minimum over the asked resources of floor((free-ask)/ask): the
// copies a machine could still hold once this one is placed. Negative: does
// not fit.
func Beta(free, ask Size) int {
	b := math.Inf(1)
	for _, r := range [3][2]float64{{free.CPUs, ask.CPUs}, {free.GPUs, ask.GPUs}, {free.MemGB, ask.MemGB}} {
		if r[1] > 0 {
			b = math.Min(b, math.Floor((r[0]-r[1])/r[1]+eps))
		}
	}
	if math.IsInf(b, 1) {
		return 0
	}
	return int(b)
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
func Pick(cs []Candidate, ask Size, anchor bool) int {
	best, bestBeta := -1, 0
	for i, c := range cs {
		if !Fits(c.Free, ask) {
			continue
		}
		b := Beta(c.Free, ask)
		if best < 0 {
			best, bestBeta = i, b
			continue
		}
		o := cs[best]
		switch {
		case c.ServiceTasks != o.ServiceTasks:
			if c.ServiceTasks < o.ServiceTasks {
				best, bestBeta = i, b
			}
		case anchor && c.Preference != o.Preference:
			if c.Preference > o.Preference {
				best, bestBeta = i, b
			}
		case anchor && c.EmptyRental != o.EmptyRental:
			if o.EmptyRental {
				best, bestBeta = i, b
			}
		case b != bestBeta:
			if (b > bestBeta) == anchor {
				best, bestBeta = i, b
			}
		case c.Preference > o.Preference:
			best = i
		}
	}
	return best
}

// Under is how many more tasks of a size may start before a limit in CPUs and GPUs, at most
// so many.
func TasksUnderLimit(cpus, gpus float64, used, size Size, most int) int {
	n := float64(most)
	if size.CPUs > 0 {
		n = min(n, math.Floor((cpus-used.CPUs)/size.CPUs+1e-6))
	}
	if size.GPUs > 0 {
		n = min(n, math.Floor((gpus-used.GPUs)/size.GPUs+1e-6))
	}
	return max(0, int(n))
}
