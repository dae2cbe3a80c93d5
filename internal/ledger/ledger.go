// Package ledger keeps what is free where: for every machine what is left of it, what
// each team has on it and whether tasks may be placed there now. Sums and indexes are
// kept up machine by machine, so that asking costs the same however large the fleet
// is. The ledger decides nothing; it proposes machines, and the heuristic of package
// placement chooses among them.
//
// Amounts are CPUs, GPUs and gigabytes of memory, as in placement.Size. A ledger is a
// plain structure: no clock, no I/O, not for concurrent use.
package ledger

import (
	"container/list"
	"math"
	"time"

	"github.com/google/btree"

	"github.com/barrowbridge/barrowbridge/internal/placement"
)

// Kind is what a job may demand of a machine, and whether it is empty and paid for.
type Kind struct {
	Shard int
	Type  string
	Zone  string
	Spot  bool
	// Opens: empty and paid for by the second; see placement.Candidate.
	EmptyRental bool
}

// Use is what one team has on a machine.
type TeamUsage struct {
	Team string
	Size placement.Size
}

// Facts is what the owner of a machine says of it.
type MachineState struct {
	Kind
	Usable bool           // tasks may be placed on it now
	Free   placement.Size // what nothing may be using
	Usage  []TeamUsage
	// Unknown counts against every team of the shard: what may run there unseen.
	UnknownUse placement.Size
	// Spare is how many urgent tasks it could take at once, lesser work giving way.
	UrgentSlots int
}

// Book is the ledger of the machines of one controller. H is the owner's handle of a
// machine.
type Ledger[H comparable] struct {
	byHandle map[H]*entry[H]
	groups   map[Kind]*group[H]
	kinds    []Kind // of groups, in the order they came up
	teams    map[string]*teamSum
	unknown  map[int]*shardSum
	heard    *list.List // of *entry[H], the longest silent first
}

type entry[H comparable] struct {
	handle H
	name   string
	facts  MachineState
	known  bool // facts have been put
	at     time.Duration
	elem   *list.Element // in heard; nil: silent for too long, or never heard
}

// teamSum adds and subtracts the same amounts many times; n tells when it is truly
// zero, so that rounding never adds up.
type teamSum struct {
	n    int
	size placement.Size
}

type shardSum struct {
	teamSum
	spare int
}

// group holds the usable machines of a kind, ordered by what each has left of one
// resource after the other.
type group[H comparable] struct {
	by [resources]*btree.BTreeG[*entry[H]]
}

const resources = 3

func amount(s placement.Size, r int) float64 {
	switch r {
	case 0:
		return s.CPUs
	case 1:
		return s.MemGB
	}
	return s.GPUs
}

// New returns an empty book.
func New[H comparable]() *Ledger[H] {
	return &Ledger[H]{byHandle: map[H]*entry[H]{}, groups: map[Kind]*group[H]{}, teams: map[string]*teamSum{},
		unknown: map[int]*shardSum{}, heard: list.New()}
}

func (b *Ledger[H]) entryOf(h H, name string) *entry[H] {
	e := b.byHandle[h]
	if e == nil {
		e = &entry[H]{handle: h, name: name}
		b.byHandle[h] = e
	}
	return e
}

// Put replaces what is known of a machine. Names order machines that are alike.
func (b *Ledger[H]) Put(h H, name string, f MachineState) {
	e := b.entryOf(h, name)
	b.take(e)
	e.facts, e.known = f, true
	for _, u := range f.Usage {
		b.team(u.Team).add(u.Size, 1)
	}
	s := b.shard(f.Shard)
	if f.UnknownUse != (placement.Size{}) {
		s.add(f.UnknownUse, 1)
	}
	if !f.Usable {
		return
	}
	if !f.Spot {
		s.spare += f.UrgentSlots
	}
	g := b.groups[f.Kind]
	if g == nil {
		g = newGroup[H]()
		b.groups[f.Kind] = g
		b.kinds = append(b.kinds, f.Kind)
	}
	for r := range resources {
		g.by[r].ReplaceOrInsert(e)
	}
}

func newGroup[H comparable]() *group[H] {
	g := &group[H]{}
	for r := range resources {
		g.by[r] = btree.NewG(16, func(x, y *entry[H]) bool {
			if a, c := amount(x.facts.Free, r), amount(y.facts.Free, r); a != c {
				return a < c
			}
			return x.name < y.name
		})
	}
	return g
}

// take undoes what Put added.
func (b *Ledger[H]) take(e *entry[H]) {
	if !e.known {
		return
	}
	e.known = false
	f := e.facts
	for _, u := range f.Usage {
		b.team(u.Team).add(u.Size, -1)
	}
	s := b.shard(f.Shard)
	if f.UnknownUse != (placement.Size{}) {
		s.add(f.UnknownUse, -1)
	}
	if !f.Usable {
		return
	}
	if !f.Spot {
		s.spare -= f.UrgentSlots
	}
	g := b.groups[f.Kind]
	for r := range resources {
		g.by[r].Delete(e)
	}
}

// Drop forgets a machine.
func (b *Ledger[H]) Remove(h H) {
	if e := b.byHandle[h]; e != nil {
		b.take(e)
		if e.elem != nil {
			b.heard.Remove(e.elem)
		}
		delete(b.byHandle, h)
	}
}

// Heard notes a report of a machine. It tells whether the machine had been silent for
// too long, or was never heard, so that its facts have to be put anew.
func (b *Ledger[H]) RecordReport(h H, name string, now time.Duration) (back bool) {
	e := b.entryOf(h, name)
	e.at = now
	if e.elem != nil {
		b.heard.MoveToBack(e.elem)
		return false
	}
	e.elem = b.heard.PushBack(e)
	return true
}

// Silent returns the machines last heard at or before a time, each once.
func (b *Ledger[H]) TakeSilent(until time.Duration) (hs []H) {
	for el := b.heard.Front(); el != nil; el = b.heard.Front() {
		e := el.Value.(*entry[H])
		if e.at > until {
			break
		}
		b.heard.Remove(el)
		e.elem = nil
		hs = append(hs, e.handle)
	}
	return hs
}

func (b *Ledger[H]) team(name string) *teamSum {
	t := b.teams[name]
	if t == nil {
		t = &teamSum{}
		b.teams[name] = t
	}
	return t
}

func (b *Ledger[H]) shard(i int) *shardSum {
	s := b.unknown[i]
	if s == nil {
		s = &shardSum{}
		b.unknown[i] = s
	}
	return s
}

func (t *teamSum) add(s placement.Size, n int) {
	if t.n += n; t.n == 0 {
		t.size = placement.Size{}
	} else if n > 0 {
		t.size = t.size.Add(s)
	} else {
		t.size = t.size.Sub(s)
	}
}

// Used is what a team's tasks may use at the most, with all that may run unseen in
// its shard.
func (b *Ledger[H]) Used(team string, shard int) placement.Size {
	u := b.team(team).size
	if s := b.unknown[shard]; s != nil {
		u = u.Add(s.size)
	}
	return u
}

// Spare is how many urgent tasks the usable machines of a shard could take at once,
// spot machines apart.
func (b *Ledger[H]) UrgentSlots(shard int) int { return b.shard(shard).spare }

// Most is, resource by resource, the most that any one usable machine of a shard has
// left: what exceeds it fits nowhere.
func (b *Ledger[H]) MaxFree(shard int) placement.Size {
	m := [resources]float64{}
	for _, k := range b.kinds {
		if k.Shard != shard {
			continue
		}
		for r := range resources {
			if e, ok := b.groups[k].by[r].Max(); ok {
				m[r] = math.Max(m[r], amount(e.facts.Free, r))
			}
		}
	}
	return placement.Size{CPUs: m[0], MemGB: m[1], GPUs: m[2]}
}
