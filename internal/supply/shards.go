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
	for _, shard := range shards {
		ratio := (shard.HaveCPUs + 0.001) / (shard.GuaranteedCPUs + 0.001)
		if shard.SameZone {
			ratio *= 0.7
		}
		if best < 0 || ratio < score {
			best, score = shard.Index, ratio
		}
	}
	return best
}

// Borrower is the shard with the most CPUs beyond its teams' guarantees, another than one; -1:
// there is none.
func MostOversupplied(shards []Shard, except int) int {
	best, most := -1, 0.0
	for _, shard := range shards {
		if surplus := shard.HaveCPUs - shard.GuaranteedCPUs; shard.Index != except && surplus > most {
			best, most = shard.Index, surplus
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
func Shortages(shard int, needs []wire.Need, incoming Pool) (shortages []Shortage) {
	for _, need := range needs {
		if !need.Booting {
			need.Tasks -= incoming.Take(RequestOf(need), need.Tasks)
		}
		if need.Tasks > 0 {
			shortages = append(shortages, Shortage{shard, need})
		}
	}
	return shortages
}

// ByRung puts in front what is lacked for an upper rung: it goes before what another shard lacks
// for routine work.
func SortByTier(shortages []Shortage) {
	slices.SortStableFunc(shortages, func(a, b Shortage) int { return cmp.Compare(b.Need.Rung, a.Need.Rung) })
}

// Machines is what the machines of a rental are, by the names that the cloud gave them.
func RentedMachines(r wire.RentRequest, names []string) (infos []wire.MachineInfo) {
	for _, n := range names {
		infos = append(infos, wire.MachineInfo{Name: n, Type: r.Type, Zone: r.Zone, Spot: r.Spot})
	}
	return infos
}
