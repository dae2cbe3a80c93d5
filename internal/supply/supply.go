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

func (a *Request) allows(r *Capacity) bool {
	return (len(a.Types) == 0 || slices.Contains(a.Types, r.Type)) && (a.Zone == "" || a.Zone == r.Zone) && (!r.Spot || a.Spot) && !(r.BootLate && a.Urgent)
}

// Pool is room that is used up as it is taken.
type Pool []Capacity

// Take uses up room for at most want tasks, and says for how many there was some.
func (p Pool) Take(a Request, want int) (got int) {
	for k := range p {
		if got == want {
			break
		}
		r := &p[k]
		free := r.Free
		if a.Idle {
			free = free.Sub(r.IdleUse)
		}
		if n := min(want-got, placement.Beta(free, a.Size)+1); n > 0 && a.allows(r) {
			got += n
			r.Free = r.Free.Sub(Multiply(a.Size, n))
		}
	}
	return got
}

// Times is what n tasks take.
func Multiply(s placement.Size, n int) placement.Size {
	return placement.Size{CPUs: float64(n) * s.CPUs, GPUs: float64(n) * s.GPUs, MemGB: float64(n) * s.MemGB}
}

// Join adds a need to others, at most so many kinds. Many jobs of one task each used to be
// as many needs, and got a machine each, one after the other, where one rental or a few of
// another shard's blocks would have held them all.
func MergeNeed(list []wire.Need, n wire.Need, most int) []wire.Need {
	for i := range list {
		if wants.SameKind(list[i], n) {
			list[i].Tasks += n.Tasks
			return list
		}
	}
	if len(list) < most {
		list = append(list, n)
	}
	return list
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
func Offers(types map[string]wire.MachineType, n wire.Need, zone string, spot bool) (out []Offer) {
	ask := RequestOf(n)
	names := make([]string, 0, len(types))
	for name := range types {
		names = append(names, name)
	}
	slices.Sort(names)
	for _, name := range names {
		t := types[name]
		full := placement.Size{CPUs: t.CPUs, GPUs: t.GPUs, MemGB: t.MemoryGB}
		if len(n.Types) > 0 && !slices.Contains(n.Types, name) || !placement.Fits(full, ask.Size) {
			continue
		}
		per := placement.Beta(full, ask.Size) + 1
		for _, z := range t.Zones {
			if n.Zone != "" && z != n.Zone {
				continue
			}
			out = append(out, Offer{name, z, false, t.Price / float64(per), z != zone, per})
			if n.Spot && spot && t.SpotPrice > 0 && t.SpotPrice < t.Price {
				out = append(out, Offer{name, z, true, t.SpotPrice / float64(per), z != zone, per})
			}
		}
	}
	sort.SliceStable(out, func(i, j int) bool {
		if out[i].TaskPrice != out[j].TaskPrice {
			return out[i].TaskPrice < out[j].TaskPrice
		}
		return !out[i].OtherZone && out[j].OtherZone
	})
	return out
}

// Machines is how many of an offer's machines hold so many tasks, at most most.
func (o *Offer) MachineCount(tasks, most int) int {
	return min((tasks+o.TasksPerMachine-1)/o.TasksPerMachine, most)
}
