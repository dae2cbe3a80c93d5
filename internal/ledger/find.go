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
func (b *Ledger[H]) Find(shard int, ask placement.Size, anchor bool, look int, kind func(Kind) bool, allowed, better func(H) bool, out []Match[H]) []Match[H] {
	for _, k := range b.kinds {
		if k.Shard != shard || !kind(k) {
			continue
		}
		g := b.groups[k]
		if anchor {
			out = g.largest(k, ask, look, allowed, better, out)
			continue
		}
		for r := range resources {
			if amount(ask, r) > 0 {
				out = g.smallest(k, r, ask, look, allowed, better, out)
			}
		}
	}
	return out
}

// pivot is an entry to start a walk at: what has this much left of every resource.
func pivot[H comparable](ask placement.Size) *entry[H] {
	return &entry[H]{facts: MachineState{Free: placement.Size{CPUs: ask.CPUs - eps, GPUs: ask.GPUs - eps, MemGB: ask.MemGB - eps}}}
}

// only leaves one resource of an ask.
func only(ask placement.Size, r int) placement.Size {
	switch r {
	case 0:
		return placement.Size{CPUs: ask.CPUs}
	case 1:
		return placement.Size{MemGB: ask.MemGB}
	}
	return placement.Size{GPUs: ask.GPUs}
}

func (g *group[H]) smallest(k Kind, r int, ask placement.Size, look int, allowed, better func(H) bool, out []Match[H]) []Match[H] {
	least, one := -1, only(ask, r)
	g.by[r].AscendGreaterOrEqual(pivot[H](ask), func(e *entry[H]) bool {
		if !placement.Fits(e.facts.Free, ask) || !allowed(e.handle) {
			return true
		}
		n := placement.Beta(e.facts.Free, one)
		if least >= 0 && n > least {
			return false
		}
		least = n
		out = append(out, Match[H]{e.handle, k, e.facts.Free})
		look--
		return look > 0 && !better(e.handle)
	})
	return out
}

func (g *group[H]) largest(k Kind, ask placement.Size, look int, allowed, better func(H) bool, out []Match[H]) []Match[H] {
	r := 0
	for r < resources-1 && amount(ask, r) <= 0 {
		r++
	}
	most, seen, one := -1, 0, only(ask, r)
	g.by[r].Descend(func(e *entry[H]) bool {
		if amount(e.facts.Free, r) < amount(ask, r)-eps || seen >= look {
			return false
		}
		if !placement.Fits(e.facts.Free, ask) || !allowed(e.handle) {
			return true
		}
		seen++
		if better(e.handle) { // the first that is better has the largest beta of these, nearly always
			out = append(out, Match[H]{e.handle, k, e.facts.Free})
			return false
		}
		if n := placement.Beta(e.facts.Free, one); n < most {
			return true // only a better one counts from here on
		}
		if n := placement.Beta(e.facts.Free, ask); n > most {
			most = n
			out = append(out, Match[H]{e.handle, k, e.facts.Free})
		}
		return true
	})
	return out
}

// Each calls f with every usable machine of a shard that has room for a task. It
// costs as much as there are such machines.
func (b *Ledger[H]) EachFitting(shard int, ask placement.Size, kind func(Kind) bool, f func(H, Kind, placement.Size)) {
	for _, k := range b.kinds {
		if k.Shard != shard || !kind(k) {
			continue
		}
		b.groups[k].by[0].AscendGreaterOrEqual(pivot[H](ask), func(e *entry[H]) bool {
			if placement.Fits(e.facts.Free, ask) {
				f(e.handle, k, e.facts.Free)
			}
			return true
		})
	}
}

// Of returns what is known of a machine.
func (b *Ledger[H]) Get(h H) (MachineState, bool) {
	e := b.byHandle[h]
	if e == nil || !e.known {
		return MachineState{}, false
	}
	return e.facts, true
}
