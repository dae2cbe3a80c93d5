// Package disruption chooses machines to be emptied, so that few tasks are away at a time and
// all of them find room elsewhere. Pure.
package disruption

import (
	"sort"
	"time"

	"github.com/barrowbridge/barrowbridge/internal/placement"
)

// Machine is one in use.
type Machine[M comparable] struct {
	Handle M
	Free   placement.Size
	// Moves are its tasks, if all of them may be moved and the machine is worth emptying;
	// Stays: it is not.
	Moves  []Move[M]
	Pinned bool
}

// Move is a task that would go to another machine.
type Move[M comparable] struct {
	Size   placement.Size
	Allows func(M) bool // its image is there, and it may run there
}

// Consolidate chooses up to most machines, the emptiest first, whose tasks all fit on others
// in use that are not emptied themselves; only the first look are considered. Anchors spread by
// design; once the batches around them have ended, each holds a machine alone.
func Consolidate[M comparable](in []Machine[M], most, look int) (out []M) {
	sort.SliceStable(in, func(i, j int) bool { return in[i].Free.CPUs > in[j].Free.CPUs })
	taken := map[M]placement.Size{} // of the machines that tasks are moved to
	leaving := map[M]bool{}
	for i := range in {
		m := &in[i]
		if len(out) >= most || i >= look {
			break
		}
		if _, target := taken[m.Handle]; target || m.Pinned {
			continue
		}
		if more, ok := m.fit(in, taken, leaving); ok {
			for o, s := range more {
				taken[o] = taken[o].Add(s)
			}
			leaving[m.Handle] = true
			out = append(out, m.Handle)
		}
	}
	return out
}

// fit finds room on the others for all tasks of a machine.
func (m *Machine[M]) fit(in []Machine[M], taken map[M]placement.Size, leaving map[M]bool) (more map[M]placement.Size, ok bool) {
	more = map[M]placement.Size{}
	for _, t := range m.Moves {
		found := false
		for k := range in {
			o := &in[k]
			if o.Handle != m.Handle && !leaving[o.Handle] && t.Allows(o.Handle) && placement.Fits(o.Free.Sub(taken[o.Handle]).Sub(more[o.Handle]), t.Size) {
				more[o.Handle] = more[o.Handle].Add(t.Size)
				found = true
				break
			}
		}
		if !found {
			return nil, false
		}
	}
	return more, true
}

// Block is a block that might be emptied for another shard.
type Block struct {
	Name        string
	Vacated     bool          // it is being emptied, or stands idle
	TaskSlots   int           // tasks of what is asked for
	LostRuntime time.Duration // running time that would be lost
	Pinned      bool          // work on it may not be stopped for this
}

// Empty is the block where the least is lost, if those that are emptied already do not hold
// all that is asked for; "": none.
func ChooseBlock(blocks []Block, tasks int) (best string, lost time.Duration) {
	for _, b := range blocks {
		switch {
		case b.Vacated:
			tasks -= b.TaskSlots
		case !b.Pinned && (best == "" || b.LostRuntime < lost):
			best, lost = b.Name, b.LostRuntime
		}
	}
	if tasks <= 0 {
		return "", 0
	}
	return best, lost
}
