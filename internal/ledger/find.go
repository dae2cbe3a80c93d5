package ledger

import "github.com/barrowbridge/barrowbridge/internal/placement"

// Found is a machine that has room.
type Match[H comparable] struct {
	Handle H
	Kind   Kind
	Free   placement.Size
}

// eps absorbs the rounding of sums of decimal amounts.
const eps = 1e-6

// Find proposes machines with room for a task: of every kind those among which the
// heuristic's choice is, at most `look` of a kind and walk. For an anchor that is the
// largest beta, for others the smallest; better machines go before (for an anchor) or
// break ties. A machine that is found twice stands twice.
//
// Beta is a minimum over resources, so its smallest value is the smallest of one
// resource alone: each order is walked upwards from what is asked, as long as that
// resource allows no more copies than the first that fits. The largest is found by
// walking one order downwards until it allows fewer copies than what was found.
func (l *Ledger[H]) Find(shard int, size placement.Size, anchor bool, limit int, kindAllowed func(Kind) bool, allowed, preferred func(H) bool, matches []Match[H]) []Match[H] {
	for _, kind := range l.kinds {
		if kind.Shard != shard || !kindAllowed(kind) {
			continue
		}
		machines := l.groups[kind]
		if anchor {
			matches = machines.largestBeta(kind, size, limit, allowed, preferred, matches)
			continue
		}
		for r := range resources {
			if amount(size, r) > 0 {
				matches = machines.smallestBeta(kind, r, size, limit, allowed, preferred, matches)
			}
		}
	}
	return matches
}

// pivot is an entry to start a walk at: what has this much left of every resource.
func lowerBound[H comparable](size placement.Size) *entry[H] {
	return &entry[H]{state: MachineState{Free: placement.Size{CPUs: size.CPUs - eps, GPUs: size.GPUs - eps, MemGB: size.MemGB - eps}}}
}

// only leaves one resource of an ask.
func onlyResource(size placement.Size, resource int) placement.Size {
	switch resource {
	case 0:
		return placement.Size{CPUs: size.CPUs}
	case 1:
		return placement.Size{MemGB: size.MemGB}
	}
	return placement.Size{GPUs: size.GPUs}
}

func (g *group[H]) smallestBeta(kind Kind, resource int, size placement.Size, limit int, allowed, preferred func(H) bool, matches []Match[H]) []Match[H] {
	minCopies, single := -1, onlyResource(size, resource)
	g.byResource[resource].AscendGreaterOrEqual(lowerBound[H](size), func(e *entry[H]) bool {
		if !placement.Fits(e.state.Free, size) || !allowed(e.handle) {
			return true
		}
		copies := placement.Beta(e.state.Free, single)
		if minCopies >= 0 && copies > minCopies {
			return false
		}
		minCopies = copies
		matches = append(matches, Match[H]{e.handle, kind, e.state.Free})
		limit--
		return limit > 0 && !preferred(e.handle)
	})
	return matches
}

func (g *group[H]) largestBeta(kind Kind, size placement.Size, limit int, allowed, preferred func(H) bool, matches []Match[H]) []Match[H] {
	resource := 0
	for resource < resources-1 && amount(size, resource) <= 0 {
		resource++
	}
	maxCopies, seen, single := -1, 0, onlyResource(size, resource)
	g.byResource[resource].Descend(func(e *entry[H]) bool {
		if amount(e.state.Free, resource) < amount(size, resource)-eps || seen >= limit {
			return false
		}
		if !placement.Fits(e.state.Free, size) || !allowed(e.handle) {
			return true
		}
		seen++
		if preferred(e.handle) { // the first that is better has the largest beta of these, nearly always
			matches = append(matches, Match[H]{e.handle, kind, e.state.Free})
			return false
		}
		if copies := placement.Beta(e.state.Free, single); copies < maxCopies {
			return true // only a better one counts from here on
		}
		if copies := placement.Beta(e.state.Free, size); copies > maxCopies {
			maxCopies = copies
			matches = append(matches, Match[H]{e.handle, kind, e.state.Free})
		}
		return true
	})
	return matches
}

// Each calls f with every usable machine of a shard that has room for a task. It
// costs as much as there are such machines.
func (l *Ledger[H]) EachFitting(shard int, size placement.Size, kindAllowed func(Kind) bool, visit func(H, Kind, placement.Size)) {
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

// Of returns what is known of a machine.
func (l *Ledger[H]) Get(h H) (MachineState, bool) {
	e := l.byHandle[h]
	if e == nil || !e.known {
		return MachineState{}, false
	}
	return e.state, true
}
