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

// Machines go where the fewest are for what is guaranteed, near before far; they are asked back
// of who has the most beyond that.
func TestPoorestAndBorrower(t *testing.T) {
	even := []Shard{{0, 10, 20, false}, {1, 10, 20, true}, {2, 12, 20, true}}
	if got := LeastSupplied(even); got != 1 {
		t.Errorf("among equals the near one: %d", got)
	}
	if got := LeastSupplied([]Shard{{0, 5, 20, false}, {1, 10, 20, true}}); got != 0 {
		t.Errorf("the poorest, though far: %d", got)
	}
	rich := []Shard{{0, 30, 20, false}, {1, 25, 10, false}, {2, 10, 20, false}}
	if LeastSupplied(nil) != -1 || MostOversupplied(rich, 0) != 1 || MostOversupplied(rich, 1) != 0 || MostOversupplied(even, 9) != -1 {
		t.Error("who is beyond its guarantee the most gives way, nobody if nobody is")
	}
}

// What is rented already is not rented again, and upper rungs come first.
func TestLacking(t *testing.T) {
	n := func(tasks, rung int, booting bool) wire.Need {
		return wire.Need{CPUs: 1, MemGB: 1, Tasks: tasks, Rung: rung, Booting: booting}
	}
	pool := Pool{{Type: "std", Zone: "n", Free: one.Add(one).Add(one)}} // three
	open := Shortages(4, []wire.Need{n(2, 1, false), n(2, 2, false), n(5, 1, true)}, pool)
	if len(open) != 2 || open[0].Need.Tasks != 1 || open[1].Need.Tasks != 5 || open[0].Shard != 4 {
		t.Fatalf("%+v", open)
	}
	open = append(open, Shortage{5, n(1, 3, false)})
	if SortByTier(open); open[0].Shard != 5 || open[1].Need.Rung != 2 {
		t.Errorf("%+v", open)
	}
}
