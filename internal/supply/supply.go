// Package supply matches what waiting work asks for with room that is there or to come,
// and lists what is left to be asked of the cloud, and how: Pogonip's overflow.
//
// Pure. Amounts are CPUs, GPUs and gigabytes of memory, prices those of the cloud.
package supply

import (
	"fmt"
	"slices"
	"sort"

	"github.com/barrowbridge/barrowbridge/internal/placement"
	"github.com/barrowbridge/barrowbridge/internal/wants"
	"github.com/barrowbridge/barrowbridge/wire"
)

// Room is a machine with room, now or soon.
type Capacity struct {
	Type, Zone string
	Spot       bool
	Free       placement.Size
	IdleUse    placement.Size // of that, taken by work that gives way to all other
	// Doubted: it boots and is late. Urgent work has another rented in its place; for work
	// that can wait that cost more than it brought (docs/rounds.md).
	BootLate bool
}

// Ask is what the tasks of a job ask for, each.
type Request struct {
	Types  []string // empty: any
	Zone   string   // "": any
	Spot   bool     // may use spot machines
	Size   placement.Size
	Urgent bool
	Idle   bool // gives way to all other work
}

// JobSize is what each task of a job takes.
func JobSize(j *wire.Job) placement.Size {
	return placement.Size{CPUs: j.CPUs, GPUs: j.GPUs, MemGB: j.MemoryGB}
}

// NeedSize is what each task of a need takes.
func NeedSize(n wire.Need) placement.Size {
	return placement.Size{CPUs: n.CPUs, GPUs: n.GPUs, MemGB: n.MemGB}
}

// AskOf is what a need asks for.
func RequestOf(n wire.Need) Request {
	return Request{Types: n.Types, Zone: n.Zone, Spot: n.Spot, Size: NeedSize(n)}
}

// NeedOf is a need of so many tasks of a job.
func NeedOf(j *wire.Job, zone string, tasks, rung int) wire.Need {
	s := JobSize(j)
	return wire.Need{Types: j.Types, Zone: zone, Spot: j.Spot, CPUs: s.CPUs, GPUs: s.GPUs, MemGB: s.MemGB, Tasks: tasks, Rung: rung}
}

func (request *Request) allows(machine *Capacity) bool {
	return (len(request.Types) == 0 || slices.Contains(request.Types, machine.Type)) && (request.Zone == "" || request.Zone == machine.Zone) && (!machine.Spot || request.Spot) && !(machine.BootLate && request.Urgent)
}

// Pool is room that is used up as it is taken.
type Pool []Capacity

// Take uses up room for at most want tasks, and says for how many there was some.
func (p Pool) Take(request Request, want int) (taken int) {
	for k := range p {
		if taken == want {
			break
		}
		machine := &p[k]
		free := machine.Free
		if request.Idle {
			free = free.Sub(machine.IdleUse)
		}
		if tasks := min(want-taken, placement.Beta(free, request.Size)+1); tasks > 0 && request.allows(machine) {
			taken += tasks
			machine.Free = machine.Free.Sub(Multiply(request.Size, tasks))
		}
	}
	return taken
}

// Times is what n tasks take.
func Multiply(size placement.Size, tasks int) placement.Size {
	return placement.Size{CPUs: float64(tasks) * size.CPUs, GPUs: float64(tasks) * size.GPUs, MemGB: float64(tasks) * size.MemGB}
}

// Join adds a need to others, at most so many kinds. Many jobs of one task each used to be
// as many needs, and got a machine each, one after the other, where one rental or a few of
// another shard's blocks would have held them all.
func MergeNeed(needs []wire.Need, need wire.Need, maxNeeds int) []wire.Need {
	for i := range needs {
		if wants.SameKind(needs[i], need) {
			needs[i].Tasks += need.Tasks
			return needs
		}
	}
	if len(needs) < maxNeeds {
		needs = append(needs, need)
	}
	return needs
}

// Offer is one way to rent.
type Offer struct {
	Type, Zone      string
	Spot            bool
	TaskPrice       float64 // of a task's room
	OtherZone       bool    // in another zone than the holder
	TasksPerMachine int     // tasks
}

// Key names what is offered.
func (o *Offer) Key() string { return fmt.Sprintf("%s|%s|%v", o.Type, o.Zone, o.Spot) }

// Offers lists the ways to rent for a need, the cheapest for a task first, in the holder's
// zone before elsewhere. spot: such machines may be rented at all.
func Offers(types map[string]wire.MachineType, need wire.Need, zone string, spotAllowed bool) (offers []Offer) {
	request := RequestOf(need)
	names := make([]string, 0, len(types))
	for name := range types {
		names = append(names, name)
	}
	slices.Sort(names)
	for _, name := range names {
		machineType := types[name]
		full := placement.Size{CPUs: machineType.CPUs, GPUs: machineType.GPUs, MemGB: machineType.MemoryGB}
		if len(need.Types) > 0 && !slices.Contains(need.Types, name) || !placement.Fits(full, request.Size) {
			continue
		}
		perMachine := placement.Beta(full, request.Size) + 1
		for _, offerZone := range machineType.Zones {
			if need.Zone != "" && offerZone != need.Zone {
				continue
			}
			offers = append(offers, Offer{name, offerZone, false, machineType.Price / float64(perMachine), offerZone != zone, perMachine})
			if need.Spot && spotAllowed && machineType.SpotPrice > 0 && machineType.SpotPrice < machineType.Price {
				offers = append(offers, Offer{name, offerZone, true, machineType.SpotPrice / float64(perMachine), offerZone != zone, perMachine})
			}
		}
	}
	sort.SliceStable(offers, func(i, j int) bool {
		if offers[i].TaskPrice != offers[j].TaskPrice {
			return offers[i].TaskPrice < offers[j].TaskPrice
		}
		return !offers[i].OtherZone && offers[j].OtherZone
	})
	return offers
}

// Machines is how many of an offer's machines hold so many tasks, at most most.
func (o *Offer) MachineCount(tasks, limit int) int {
	return min((tasks+o.TasksPerMachine-1)/o.TasksPerMachine, limit)
}
