// Package disruption chooses machines to be emptied, so that few tasks are moved at a time and all
// of them fit on other machines. The package has no clock and no I/O.
package disruption

import (
	"sort"
	"time"

	"github.com/barrowbridge/barrowbridge/internal/placement"
)

// Machine is a machine in use.
type Machine[M comparable] struct {
	Handle M
	Free   placement.Size
	// Moves are the machine's tasks, if Pinned is false.
	Moves []Move[M]
	// Pinned is whether the machine is not to be emptied, because a task may not be moved or because
	// emptying it would gain nothing.
	Pinned bool
}

// Move is a task that would move to another machine.
type Move[M comparable] struct {
	Size   placement.Size
	Allows func(M) bool // the machine has its image, and the task may run there
}

// Consolidate chooses at most maxMachines machines, the emptiest first, whose tasks all fit on other
// machines in use that are not emptied themselves. Only the first maxConsidered machines are
// considered. Anchors are spread by design; once the batches around them have ended, each occupies a
// machine alone.
func Consolidate[M comparable](machines []Machine[M], maxMachines, maxConsidered int) (chosen []M) {
	sort.SliceStable(machines, func(i, j int) bool { return machines[i].Free.CPUs > machines[j].Free.CPUs })
	reserved := map[M]placement.Size{} // on the machines that tasks are moved to
	emptied := map[M]bool{}
	for i := range machines {
		machine := &machines[i]
		if len(chosen) >= maxMachines || i >= maxConsidered {
			break
		}
		if _, target := reserved[machine.Handle]; target || machine.Pinned {
			continue
		}
		if required, ok := machine.placeMoves(machines, reserved, emptied); ok {
			for other, size := range required {
				reserved[other] = reserved[other].Add(size)
			}
			emptied[machine.Handle] = true
			chosen = append(chosen, machine.Handle)
		}
	}
	return chosen
}

// placeMoves finds capacity on the other machines for all tasks of a machine.
func (m *Machine[M]) placeMoves(machines []Machine[M], reserved map[M]placement.Size, emptied map[M]bool,
) (required map[M]placement.Size, ok bool) {
	required = map[M]placement.Size{}
	for _, move := range m.Moves {
		found := false
		for k := range machines {
			target := &machines[k]
			if target.Handle != m.Handle && !emptied[target.Handle] && move.Allows(target.Handle) &&
				placement.Fits(target.Free.Sub(reserved[target.Handle]).Sub(required[target.Handle]), move.Size) {
				required[target.Handle] = required[target.Handle].Add(move.Size)
				found = true
				break
			}
		}
		if !found {
			return nil, false
		}
	}
	return required, true
}

// Block is a block that might be emptied for another shard.
type Block struct {
	Name        string
	Vacated     bool          // it is being emptied, or idle
	TaskSlots   int           // number of the requested tasks that it can hold
	LostRuntime time.Duration // running time that would be lost
	Pinned      bool          // has work that may not be stopped for this
}

// ChooseBlock returns the block where the least running time is lost, and that time. It returns ""
// if the blocks that are already vacated hold all requested tasks, or if there is no other block.
func ChooseBlock(blocks []Block, tasks int) (best string, lost time.Duration) {
	for _, block := range blocks {
		switch {
		case block.Vacated:
			tasks -= block.TaskSlots
		case !block.Pinned && (best == "" || block.LostRuntime < lost):
			best, lost = block.Name, block.LostRuntime
		}
	}
	if tasks <= 0 {
		return "", 0
	}
	return best, lost
}
