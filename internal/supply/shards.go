package supply

import (
	"cmp"
	"fmt"
	"slices"

	"github.com/barrowbridge/barrowbridge/wire"
)

// NewBlockID returns an ID for a block, after its first machine. A block outlives that machine if it
// has others, and an outdated list may bring the machine's name back. When the same ID was used
// twice, the leader tried for minutes to form a block and could not.
func NewBlockID(machine string, taken func(id string) bool) string {
	id := machine
	for i := 2; taken(id); i++ {
		id = fmt.Sprintf("%s.%d", machine, i)
	}
	return id
}

// Shard is a shard that machines may be assigned to.
type Shard struct {
	Index          int
	HaveCPUs       float64
	GuaranteedCPUs float64 // sum of its teams' guarantees
	SameZone       bool    // its holder is in the machines' zone
}

// LeastSupplied returns the shard with the fewest CPUs in relation to its teams' guarantees, with a
// preference for shards whose holder is in the machines' zone. It returns -1 if there is none.
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

// MostOversupplied returns the shard with the most CPUs beyond its teams' guarantees, other than
// except. It returns -1 if there is none.
func MostOversupplied(shards []Shard, except int) int {
	best, most := -1, 0.0
	for _, shard := range shards {
		if surplus := shard.HaveCPUs - shard.GuaranteedCPUs; shard.Index != except && surplus > most {
			best, most = shard.Index, surplus
		}
	}
	return best
}

// Shortage is demand of a shard that is not met by machines on their way.
type Shortage struct {
	Shard int
	Need  wire.Need
}

// Shortages returns what is left of a shard's needs once the rented machines that are in no block
// yet have arrived. A need whose machines already boot stays whole: only blocks that are up would
// help it.
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

// SortByTier puts shortages of upper tiers first, before what another shard needs for routine work.
func SortByTier(shortages []Shortage) {
	slices.SortStableFunc(shortages, func(a, b Shortage) int { return cmp.Compare(b.Need.Tier, a.Need.Tier) })
}

// RentedMachines returns the machines of a rental, with the names that the cloud gave them.
func RentedMachines(request wire.RentRequest, names []string) (infos []wire.MachineInfo) {
	for _, n := range names {
		infos = append(infos, wire.MachineInfo{Name: n, Type: request.Type, Zone: request.Zone, Spot: request.Spot})
	}
	return infos
}
