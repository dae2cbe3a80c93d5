package supply

import (
	"testing"

	"github.com/barrowbridge/barrowbridge/wire"
)

func TestNewBlockID(t *testing.T) {
	taken := map[string]bool{"m": true, "m.2": true}
	if id := NewBlockID("m", func(id string) bool { return taken[id] }); id != "m.3" {
		t.Error(id)
	}
}

// Machines go to the shard with the fewest CPUs in relation to its guarantees, in the same zone
// before others. They are taken back from the shard with the most CPUs beyond its guarantees.
func TestLeastSuppliedAndMostOversupplied(t *testing.T) {
	even := []Shard{{0, 10, 20, false}, {1, 10, 20, true}, {2, 12, 20, true}}
	if got := LeastSupplied(even); got != 1 {
		t.Errorf("equal shards: got %d, want the one in the same zone", got)
	}
	if got := LeastSupplied([]Shard{{0, 5, 20, false}, {1, 10, 20, true}}); got != 0 {
		t.Errorf("got %d, want the least supplied shard, although in another zone", got)
	}
	rich := []Shard{{0, 30, 20, false}, {1, 25, 10, false}, {2, 10, 20, false}}
	if LeastSupplied(nil) != -1 ||
		MostOversupplied(rich, 0) != 1 ||
		MostOversupplied(rich, 1) != 0 ||
		MostOversupplied(even, 9) != -1 {
		t.Error("the shard with the most CPUs beyond its guarantees is not chosen, or one without a surplus is")
	}
}

// Machines that are rented already are not rented again, and upper tiers come first.
func TestShortages(t *testing.T) {
	need := func(tasks, rank int, booting bool) wire.Need {
		return wire.Need{CPUs: 1, MemGB: 1, Tasks: tasks, Tier: rank, Booting: booting}
	}
	pool := Pool{{Type: "std", Zone: "n", Free: oneTask.Add(oneTask).Add(oneTask)}} // capacity for three tasks
	shortages := Shortages(4, []wire.Need{need(2, 1, false), need(2, 2, false), need(5, 1, true)}, pool)
	if len(shortages) != 2 || shortages[0].Need.Tasks != 1 || shortages[1].Need.Tasks != 5 || shortages[0].Shard != 4 {
		t.Fatalf("%+v", shortages)
	}
	shortages = append(shortages, Shortage{5, need(1, 3, false)})
	if SortByTier(shortages); shortages[0].Shard != 5 || shortages[1].Need.Tier != 2 {
		t.Errorf("%+v", shortages)
	}
}
