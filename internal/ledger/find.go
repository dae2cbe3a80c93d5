package ledger

import (
	"github.com/barrowbridge/barrowbridge/internal/conversion"
	"github.com/barrowbridge/barrowbridge/internal/placement"
)

// Match is a machine with enough free capacity.
type Match[H comparable] struct {
	Handle H
	Kind   Kind
	Free   placement.Size
}

// eps absorbs the rounding of sums of decimal amounts.
const eps = 1e-6

// Find appends to matches machines of a shard with free capacity for a task. Of every kind it
// proposes those among which the heuristic's choice is: the machines with the largest beta for an
// anchor, else those with the smallest. Preferred machines go first for an anchor, and break ties of
// beta otherwise. limit bounds the machines of one kind that are examined in each search. A machine
// that is found twice is listed twice.
//
// Beta is a minimum over resources, so the smallest beta is the smallest of one resource alone. For
// each resource, the index is searched upwards from the requested amount, as long as that resource
// allows no more copies than on the first machine that fits. For the largest beta one index is
// searched downwards until its resource allows fewer copies than the best machine so far.
func (l *Ledger[H]) Find(shard int, size placement.Size, anchor bool, limit int,
	kindAllowed func(Kind) bool, allowed, preferred func(H) bool, matches []Match[H]) []Match[H] {
	for _, kind := range l.kinds {
		if kind.Shard != shard || !kindAllowed(kind) {
			continue
		}
		machines := l.groups[kind]
		if anchor {
			matches = machines.largestBeta(kind, size, limit, allowed, preferred, matches)
			continue
		}
		matches = machines.smallestOfEach(kind, size, limit, allowed, preferred, matches)
	}
	return matches
}

// lowerBound returns an entry to start a search at: a machine that has exactly this much free of
// every resource.
func lowerBound[H comparable](size placement.Size) *entry[H] {
	return &entry[H]{state: MachineState{Free: placement.Size{
		CPUs:        size.CPUs - eps,
		GPUs:        size.GPUs - eps,
		MemGB:       size.MemGB - eps,
		ReportBytes: size.ReportBytes,
	}}}
}

// smallestOfEach appends the machines with the smallest beta by the index of each resource. What is
// left of a report rarely is what there is least of, so that index is searched last, and no further
// than the smallest beta that the others have found. Where they have found nothing, nothing fits.
func (g *group[H]) smallestOfEach(kind Kind, size placement.Size, limit int,
	allowed, preferred func(H) bool, matches []Match[H]) []Match[H] {
	first := len(matches)
	for r := range reportBytes {
		if amount(size, r) > 0 {
			matches = g.smallestBeta(kind, r, size, -1, limit, allowed, preferred, matches)
		}
	}
	if len(matches) == first || size.ReportBytes <= 0 {
		return matches
	}
	smallest := placement.Beta(matches[first].Free, size)
	for _, match := range matches[first:] {
		smallest = min(smallest, placement.Beta(match.Free, size))
	}
	return g.smallestBeta(kind, reportBytes, size, smallest, limit, allowed, preferred, matches)
}

// smallestBeta appends the machines with the smallest beta, by the index of one resource, of which
// they allow at most maxCopies further copies if that is not negative. It stops at the first preferred
// machine.
func (g *group[H]) smallestBeta(kind Kind, resource int, size placement.Size, maxCopies, limit int,
	allowed, preferred func(H) bool, matches []Match[H]) []Match[H] {
	asked := amount(size, resource)
	g.byResource[resource].AscendGreaterOrEqual(lowerBound[H](size), func(e *entry[H]) bool {
		copies := placement.Copies(amount(e.state.Free, resource), asked)
		if maxCopies >= 0 && copies > float64(maxCopies) {
			return false
		}
		if !placement.Fits(e.state.Free, size) || !allowed(e.handle) {
			return true
		}
		maxCopies = conversion.Int(copies)
		matches = append(matches, Match[H]{e.handle, kind, e.state.Free})
		limit--
		return limit > 0 && !preferred(e.handle)
	})
	return matches
}

// largestBeta appends machines of growing beta up to the largest, and the first preferred machine, by
// the index of the first resource that the task asks for.
func (g *group[H]) largestBeta(kind Kind, size placement.Size, limit int,
	allowed, preferred func(H) bool, matches []Match[H]) []Match[H] {
	resource := 0
	for resource < reportBytes && amount(size, resource) <= 0 {
		resource++
	}
	maxCopies, seen, asked := -1, 0, amount(size, resource)
	g.byResource[resource].Descend(func(e *entry[H]) bool {
		if amount(e.state.Free, resource) < amount(size, resource)-eps || seen >= limit {
			return false
		}
		if !placement.Fits(e.state.Free, size) || !allowed(e.handle) {
			return true
		}
		seen++
		if preferred(e.handle) { // the first preferred machine nearly always has the largest beta of them
			matches = append(matches, Match[H]{e.handle, kind, e.state.Free})
			return false
		}
		if placement.Copies(amount(e.state.Free, resource), asked) < float64(maxCopies) {
			return true // its beta is smaller too; from here on only preferred machines count
		}
		if copies := placement.Beta(e.state.Free, size); copies > maxCopies {
			maxCopies = copies
			matches = append(matches, Match[H]{e.handle, kind, e.state.Free})
		}
		return true
	})
	return matches
}

// EachFitting calls visit with every usable machine of a shard that has free capacity for a task.
// Its cost grows with the number of such machines.
func (l *Ledger[H]) EachFitting(shard int, size placement.Size, kindAllowed func(Kind) bool,
	visit func(H, Kind, placement.Size)) {
	for _, kind := range l.kinds {
		if kind.Shard != shard || !kindAllowed(kind) {
			continue
		}
		l.groups[kind].byResource[0].AscendGreaterOrEqual(lowerBound[H](size), func(e *entry[H]) bool {
			if placement.Fits(e.state.Free, size) {
				visit(e.handle, kind, e.state.Free)
			}
			return true
		})
	}
}

// Get returns the state of a machine, and false if none has been put.
func (l *Ledger[H]) Get(h H) (MachineState, bool) {
	e := l.byHandle[h]
	if e == nil || !e.known {
		return MachineState{}, false
	}
	return e.state, true
}
