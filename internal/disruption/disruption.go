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
func Consolidate[M comparable](machines []Machine[M], maxMachines, maxConsidered int) (chosen []M) {
	sort.SliceStable(machines, func(i, j int) bool { return machines[i].Free.CPUs > machines[j].Free.CPUs })
	reserved := map[M]placement.Size{} // of the machines that tasks are moved to
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

// fit finds room on the others for all tasks of a machine.
func (machine *Machine[M]) placeMoves(machines []Machine[M], reserved map[M]placement.Size, emptied map[M]bool) (required map[M]placement.Size, ok bool) {
	required = map[M]placement.Size{}
	for _, move := range machine.Moves {
		found := false
		for k := range machines {
			target := &machines[k]
			if target.Handle != machine.Handle && !emptied[target.Handle] && move.Allows(target.Handle) && placement.Fits(target.Free.Sub(reserved[target.Handle]).Sub(required[target.Handle]), move.Size) {
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
	Vacated     bool          // it is being emptied, or stands idle
	TaskSlots   int           // tasks of what is asked for
	LostRuntime time.Duration // running time that would be lost
	Pinned      bool          // work on it may not be stopped for this
}

// Empty is the block where the least is lost, if those that are emptied already do not hold
// all that is asked for; "": none.
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
