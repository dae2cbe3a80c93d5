package supply

import (
	"cmp"
	"fmt"
	"slices"

	"github.com/barrowbridge/barrowbridge/wire"
)

// NewBlockID names a block after its first machine. A block outlives that machine
// if others are in it, and a late list may bring the machine's name back: with
// the same id twice, the leader once tried for minutes to form a block in vain.
func NewBlockID(machine string, taken func(id string) bool) string {
	id := machine
	for i := 2; taken(id); i++ {
		id = fmt.Sprintf("%s.%d", machine, i)
	}
	return id
}

// Shard is one that machines may go to.
type Shard struct {
	Index          int
	HaveCPUs       float64 // CPUs
	GuaranteedCPUs float64 // of its teams, in CPUs
	SameZone       bool    // it is held in the machines' zone
}

// Poorest is the shard with the fewest CPUs for its teams' guarantees, one that is held near
// before others; -1: there is none.
func LeastSupplied(shards []Shard) int {
	best, score := -1, 0.0
	for _, x := range shards {
		s := (x.HaveCPUs + 0.001) / (x.GuaranteedCPUs + 0.001)
		if x.SameZone {
			s *= 0.7
		}
		if best < 0 || s < score {
			best, score = x.Index, s
		}
	}
	return best
}

// Borrower is the shard with the most CPUs beyond its teams' guarantees, another than one; -1:
// there is none.
func MostOversupplied(shards []Shard, except int) int {
	best, most := -1, 0.0
	for _, x := range shards {
		if over := x.HaveCPUs - x.GuaranteedCPUs; x.Index != except && over > most {
			best, most = x.Index, over
		}
	}
	return best
}

// Open is what a shard lacks that is not on its way.
type Shortage struct {
	Shard int
	Need  wire.Need
}

// Lacking is what is left of a shard's needs once what is rented and stands in no block yet has
// come; a need that waits for a boot at best stays whole.
func Shortages(shard int, needs []wire.Need, coming Pool) (open []Shortage) {
	for _, n := range needs {
		if !n.Booting {
			n.Tasks -= coming.Take(RequestOf(n), n.Tasks)
		}
		if n.Tasks > 0 {
			open = append(open, Shortage{shard, n})
		}
	}
	return open
}

// ByRung puts in front what is lacked for an upper rung: it goes before what another shard lacks
// for routine work.
func SortByTier(open []Shortage) {
	slices.SortStableFunc(open, func(a, b Shortage) int { return cmp.Compare(b.Need.Rung, a.Need.Rung) })
}

// Machines is what the machines of a rental are, by the names that the cloud gave them.
func RentedMachines(r wire.RentRequest, names []string) (infos []wire.MachineInfo) {
	for _, n := range names {
		infos = append(infos, wire.MachineInfo{Name: n, Type: r.Type, Zone: r.Zone, Spot: r.Spot})
	}
	return infos
}
