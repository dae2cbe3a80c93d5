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
	teams    map[string]*usageSum
	shards   map[int]*shardSum
	reports  *list.List // of *entry[H], the longest silent first
}

type entry[H comparable] struct {
	handle     H
	name       string
	state      MachineState
	known      bool // facts have been put
	reportedAt time.Duration
	elem       *list.Element // in heard; nil: silent for too long, or never heard
}

// teamSum adds and subtracts the same amounts many times; n tells when it is truly
// zero, so that rounding never adds up.
type usageSum struct {
	count int
	size  placement.Size
}

type shardSum struct {
	usageSum
	urgentSlots int
}

// group holds the usable machines of a kind, ordered by what each has left of one
// resource after the other.
type group[H comparable] struct {
	byResource [resources]*btree.BTreeG[*entry[H]]
}

const resources = 3

func amount(size placement.Size, resource int) float64 {
	switch resource {
	case 0:
		return size.CPUs
	case 1:
		return size.MemGB
	}
	return size.GPUs
}

// New returns an empty book.
func New[H comparable]() *Ledger[H] {
	return &Ledger[H]{byHandle: map[H]*entry[H]{}, groups: map[Kind]*group[H]{}, teams: map[string]*usageSum{},
		shards: map[int]*shardSum{}, reports: list.New()}
}

func (l *Ledger[H]) entryOf(handle H, name string) *entry[H] {
	e := l.byHandle[handle]
	if e == nil {
		e = &entry[H]{handle: handle, name: name}
		l.byHandle[handle] = e
	}
	return e
}

// Put replaces what is known of a machine. Names order machines that are alike.
func (l *Ledger[H]) Put(handle H, name string, state MachineState) {
	e := l.entryOf(handle, name)
	l.subtract(e)
	e.state, e.known = state, true
	for _, usage := range state.Usage {
		l.team(usage.Team).add(usage.Size, 1)
	}
	shard := l.shard(state.Shard)
	if state.UnknownUse != (placement.Size{}) {
		shard.add(state.UnknownUse, 1)
	}
	if !state.Usable {
		return
	}
	if !state.Spot {
		shard.urgentSlots += state.UrgentSlots
	}
	machines := l.groups[state.Kind]
	if machines == nil {
		machines = newGroup[H]()
		l.groups[state.Kind] = machines
		l.kinds = append(l.kinds, state.Kind)
	}
	for r := range resources {
		machines.byResource[r].ReplaceOrInsert(e)
	}
}

func newGroup[H comparable]() *group[H] {
	g := &group[H]{}
	for r := range resources {
		g.byResource[r] = btree.NewG(16, func(x, y *entry[H]) bool {
			if a, c := amount(x.state.Free, r), amount(y.state.Free, r); a != c {
				return a < c
			}
			return x.name < y.name
		})
	}
	return g
}

// take undoes what Put added.
func (l *Ledger[H]) subtract(e *entry[H]) {
	if !e.known {
		return
	}
	e.known = false
	state := e.state
	for _, usage := range state.Usage {
		l.team(usage.Team).add(usage.Size, -1)
	}
	shard := l.shard(state.Shard)
	if state.UnknownUse != (placement.Size{}) {
		shard.add(state.UnknownUse, -1)
	}
	if !state.Usable {
		return
	}
	if !state.Spot {
		shard.urgentSlots -= state.UrgentSlots
	}
	machines := l.groups[state.Kind]
	for r := range resources {
		machines.byResource[r].Delete(e)
	}
}

// Drop forgets a machine.
func (l *Ledger[H]) Remove(h H) {
	if e := l.byHandle[h]; e != nil {
		l.subtract(e)
		if e.elem != nil {
			l.reports.Remove(e.elem)
		}
		delete(l.byHandle, h)
	}
}

// Heard notes a report of a machine. It tells whether the machine had been silent for
// too long, or was never heard, so that its facts have to be put anew.
func (l *Ledger[H]) RecordReport(handle H, name string, now time.Duration) (returned bool) {
	e := l.entryOf(handle, name)
	e.reportedAt = now
	if e.elem != nil {
		l.reports.MoveToBack(e.elem)
		return false
	}
	e.elem = l.reports.PushBack(e)
	return true
}

// Silent returns the machines last heard at or before a time, each once.
func (l *Ledger[H]) TakeSilent(until time.Duration) (handles []H) {
	for el := l.reports.Front(); el != nil; el = l.reports.Front() {
		e := el.Value.(*entry[H])
		if e.reportedAt > until {
			break
		}
		l.reports.Remove(el)
		e.elem = nil
		handles = append(handles, e.handle)
	}
	return handles
}

func (l *Ledger[H]) team(name string) *usageSum {
	t := l.teams[name]
	if t == nil {
		t = &usageSum{}
		l.teams[name] = t
	}
	return t
}

func (l *Ledger[H]) shard(i int) *shardSum {
	s := l.shards[i]
	if s == nil {
		s = &shardSum{}
		l.shards[i] = s
	}
	return s
}

func (t *usageSum) add(s placement.Size, sign int) {
	if t.count += sign; t.count == 0 {
		t.size = placement.Size{}
	} else if sign > 0 {
		t.size = t.size.Add(s)
	} else {
		t.size = t.size.Sub(s)
	}
}

// Used is what a team's tasks may use at the most, with all that may run unseen in
// its shard.
func (l *Ledger[H]) Used(team string, shard int) placement.Size {
	u := l.team(team).size
	if s := l.shards[shard]; s != nil {
		u = u.Add(s.size)
	}
	return u
}

// Spare is how many urgent tasks the usable machines of a shard could take at once,
// spot machines apart.
func (l *Ledger[H]) UrgentSlots(shard int) int { return l.shard(shard).urgentSlots }

// Most is, resource by resource, the most that any one usable machine of a shard has
// left: what exceeds it fits nowhere.
func (l *Ledger[H]) MaxFree(shard int) placement.Size {
	largest := [resources]float64{}
	for _, k := range l.kinds {
		if k.Shard != shard {
			continue
		}
		for r := range resources {
			if e, ok := l.groups[k].byResource[r].Max(); ok {
				largest[r] = math.Max(largest[r], amount(e.state.Free, r))
			}
		}
	}
	return placement.Size{CPUs: largest[0], MemGB: largest[1], GPUs: largest[2]}
}
