// Package ledger keeps the free capacity of machines: what is left of each machine, what each team
// uses on it and whether tasks may be placed on it now. Sums and indexes are updated machine by
// machine, so the cost of a query does not depend on the number of machines. The ledger decides
// nothing: it proposes machines, and the heuristic of package placement chooses among them.
//
// Amounts are CPUs, GPUs and gigabytes of memory, as in placement.Size. A ledger has no clock and no
// I/O, and is not safe for concurrent use.
package ledger

import (
	"container/list"
	"math"
	"time"

	"github.com/google/btree"

	"github.com/barrowbridge/barrowbridge/internal/placement"
)

// Kind is what a job may require of a machine, and whether the machine is an empty rented one.
type Kind struct {
	Shard int
	Type  string
	Zone  string
	Spot  bool
	// EmptyRental is whether the machine is empty and paid for by the second; see
	// placement.Candidate.
	EmptyRental bool
}

// TeamUsage is what one team uses on a machine.
type TeamUsage struct {
	Team string
	Size placement.Size
}

// MachineState is what the caller knows of a machine.
type MachineState struct {
	Kind
	Usable bool           // tasks may be placed on it now
	Full   bool           // no task fits, whatever its size: it is not proposed
	Free   placement.Size // capacity that no task can be using
	Usage  []TeamUsage
	// UnknownUse is what unknown tasks may use on the machine. It counts against every team of the
	// shard.
	UnknownUse placement.Size
	// UrgentSlots is how many urgent tasks the machine could take at once, preempting work of lower
	// priority.
	UrgentSlots int
}

// Ledger is the ledger of the machines of one controller. H is the caller's handle of a machine.
type Ledger[H comparable] struct {
	byHandle map[H]*entry[H]
	groups   map[Kind]*group[H]
	kinds    []Kind // of groups, in the order in which they were added
	teams    map[string]*usageSum
	shards   map[int]*shardSum
	reports  *list.List // of *entry[H], the longest silent machine first
}

type entry[H comparable] struct {
	handle     H
	name       string
	state      MachineState
	known      bool // a state has been put
	reportedAt time.Duration
	elem       *list.Element // in reports; nil: silent for too long, or never reported
}

// usageSum adds and subtracts the same amounts many times. count shows when the sum is exactly zero,
// so that rounding errors do not accumulate.
type usageSum struct {
	count int
	size  placement.Size
}

type shardSum struct {
	usageSum
	urgentSlots int
}

// group holds the usable machines of a kind, in one index for each resource, ordered by what is free
// of it.
type group[H comparable] struct {
	byResource [resources]*btree.BTreeG[*entry[H]]
}

// resources is the number of resources in a placement.Size, and reportBytes the index of the last one.
const (
	resources   = 4
	reportBytes = resources - 1
)

// amount returns the amount of one resource, by its index in group.byResource.
func amount(size placement.Size, resource int) float64 {
	switch resource {
	case 0:
		return size.CPUs
	case 1:
		return size.MemGB
	case 2:
		return size.GPUs
	}
	return size.ReportBytes
}

// New returns an empty ledger.
func New[H comparable]() *Ledger[H] {
	return &Ledger[H]{byHandle: map[H]*entry[H]{}, groups: map[Kind]*group[H]{}, teams: map[string]*usageSum{},
		shards: map[int]*shardSum{}, reports: list.New()}
}

// entryOf returns the entry of a machine, and adds one if there is none.
func (l *Ledger[H]) entryOf(handle H, name string) *entry[H] {
	e := l.byHandle[handle]
	if e == nil {
		e = &entry[H]{handle: handle, name: name}
		l.byHandle[handle] = e
	}
	return e
}

// Put replaces the state of a machine. Machines with equal amounts are ordered by name.
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
	if state.Full {
		return
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

// subtract undoes what Put added.
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
	if state.Full {
		return
	}
	machines := l.groups[state.Kind]
	for r := range resources {
		machines.byResource[r].Delete(e)
	}
}

// Remove removes a machine.
func (l *Ledger[H]) Remove(h H) {
	if e := l.byHandle[h]; e != nil {
		l.subtract(e)
		if e.elem != nil {
			l.reports.Remove(e.elem)
		}
		delete(l.byHandle, h)
	}
}

// RecordReport records a report of a machine. It reports whether the machine had been silent for too
// long, or had never reported, so that its state has to be put anew.
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

// TakeSilent returns the machines whose last report came at or before a time, each once.
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

// add adds a size if sign is 1, and subtracts it if sign is -1.
func (t *usageSum) add(s placement.Size, sign int) {
	if t.count += sign; t.count == 0 {
		t.size = placement.Size{}
	} else if sign > 0 {
		t.size = t.size.Add(s)
	} else {
		t.size = t.size.Sub(s)
	}
}

// Used returns the most that a team's tasks may use, including what unknown tasks may use in its
// shard.
func (l *Ledger[H]) Used(team string, shard int) placement.Size {
	u := l.team(team).size
	if s := l.shards[shard]; s != nil {
		u = u.Add(s.size)
	}
	return u
}

// UrgentSlots returns how many urgent tasks the usable machines of a shard could take at once, not
// counting spot machines.
func (l *Ledger[H]) UrgentSlots(shard int) int { return l.shard(shard).urgentSlots }

// MaxFree returns, for each resource, the most that any usable machine of a shard has free. A task
// that exceeds it fits nowhere.
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
	return placement.Size{CPUs: largest[0], MemGB: largest[1], GPUs: largest[2], ReportBytes: largest[reportBytes]}
}
