// Package supply matches the demand of waiting work with free capacity, present or expected, and
// lists what is left to be rented from the cloud and how: Pogonip's overflow.
//
// The package has no clock and no I/O. Amounts are CPUs, GPUs and gigabytes of memory, and prices
// are those of the cloud.
package supply

import (
	"fmt"
	"slices"
	"sort"

	"github.com/barrowbridge/barrowbridge/internal/demand"
	"github.com/barrowbridge/barrowbridge/internal/placement"
	"github.com/barrowbridge/barrowbridge/internal/reportsize"
	"github.com/barrowbridge/barrowbridge/wire"
)

// Capacity is a machine with free capacity, now or soon.
type Capacity struct {
	Type, Zone string
	Spot       bool
	Free       placement.Size
	IdleUse    placement.Size // part of Free that is in use by work preemptible by all other work
	// BootLate is whether the machine boots and is late. For urgent work another machine is rented
	// in its place. For work that can wait, this cost more than it gained (docs/rounds.md).
	BootLate bool
}

// Request is what each task of a job asks for.
type Request struct {
	Types  []string // empty: any
	Zone   string   // "": any
	Spot   bool     // may use spot machines
	Size   placement.Size
	Urgent bool
	Idle   bool // preemptible by all other work
}

// MachineSize returns the capacity of a machine type.
func MachineSize(machineType wire.MachineType) placement.Size {
	return placement.Size{
		CPUs:        machineType.CPUs,
		GPUs:        machineType.GPUs,
		MemGB:       machineType.MemoryGB,
		ReportBytes: reportsize.Available(reportsize.TypicalHeader),
	}
}

// JobSize returns the size of each task of a job.
func JobSize(job *wire.Job) placement.Size {
	return placement.Size{CPUs: job.CPUs, GPUs: job.GPUs, MemGB: job.MemoryGB, ReportBytes: float64(reportsize.JobEntry(job))}
}

// NeedSize returns the size of each task of a need. A need names no job, so its entries in reports may
// be the longest.
func NeedSize(need wire.Need) placement.Size {
	return placement.Size{CPUs: need.CPUs, GPUs: need.GPUs, MemGB: need.MemGB, ReportBytes: float64(reportsize.LongestEntry)}
}

// RequestOf returns what the tasks of a need ask for.
func RequestOf(need wire.Need) Request {
	return Request{Types: need.Types, Zone: need.Zone, Spot: need.Spot, Size: NeedSize(need)}
}

// NeedOf returns a need for some tasks of a job.
func NeedOf(job *wire.Job, zone string, tasks, rank int) wire.Need {
	size := JobSize(job)
	return wire.Need{
		Types: job.Types,
		Zone:  zone,
		Spot:  job.Spot,
		CPUs:  size.CPUs,
		GPUs:  size.GPUs,
		MemGB: size.MemGB,
		Tasks: tasks,
		Tier:  rank,
	}
}

// allows reports whether the tasks may run on a machine.
func (r *Request) allows(machine *Capacity) bool {
	return (len(r.Types) == 0 || slices.Contains(r.Types, machine.Type)) &&
		(r.Zone == "" || r.Zone == machine.Zone) &&
		(!machine.Spot || r.Spot) &&
		!(machine.BootLate && r.Urgent)
}

// Pool is free capacity that is used up as it is taken.
type Pool []Capacity

// Take takes capacity for at most want tasks, and returns for how many there was some.
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

// Multiply returns the size of several tasks together.
func Multiply(size placement.Size, tasks int) placement.Size {
	return placement.Size{
		CPUs:        float64(tasks) * size.CPUs,
		GPUs:        float64(tasks) * size.GPUs,
		MemGB:       float64(tasks) * size.MemGB,
		ReportBytes: float64(tasks) * size.ReportBytes,
	}
}

// MergeNeed adds a need to a list of at most maxNeeds kinds of needs. When needs were not merged,
// many jobs of one task each made as many needs, and got a machine each, one after the other, where
// one rental or a few of another shard's blocks would have held them all.
func MergeNeed(needs []wire.Need, need wire.Need, maxNeeds int) []wire.Need {
	for i := range needs {
		if demand.SameKind(needs[i], need) {
			needs[i].Tasks += need.Tasks
			return needs
		}
	}
	if len(needs) < maxNeeds {
		needs = append(needs, need)
	}
	return needs
}

// Offer is a type, zone and price at which machines can be rented.
type Offer struct {
	Type, Zone      string
	Spot            bool
	TaskPrice       float64 // of the capacity for one task
	OtherZone       bool    // in another zone than the shard's holder
	TasksPerMachine int
}

// Key returns a name that is the same for equal offers.
func (o *Offer) Key() string { return fmt.Sprintf("%s|%s|%v", o.Type, o.Zone, o.Spot) }

// Offers returns the offers for a need, the cheapest per task first. Among equal prices, those in
// the holder's zone come before others. spotAllowed is whether spot machines may be rented at all.
func Offers(types map[string]wire.MachineType, need wire.Need, zone string, spotAllowed bool) (offers []Offer) {
	request := RequestOf(need)
	names := make([]string, 0, len(types))
	for name := range types {
		names = append(names, name)
	}
	slices.Sort(names)
	for _, name := range names {
		machineType := types[name]
		full := MachineSize(machineType)
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

// MachineCount returns how many machines of the offer hold a number of tasks, at most limit.
func (o *Offer) MachineCount(tasks, limit int) int {
	return min((tasks+o.TasksPerMachine-1)/o.TasksPerMachine, limit)
}
