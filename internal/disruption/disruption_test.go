package disruption

import (
	"fmt"
	"testing"
	"time"

	"github.com/barrowbridge/barrowbridge/internal/placement"
)

func size(cpus float64) placement.Size { return placement.Size{CPUs: cpus} }

// The emptiest machines are emptied, as many as requested, onto machines that are not emptied and
// that allow it. Their capacity is used once.
func TestConsolidate(t *testing.T) {
	onto := func(names ...string) Move[string] {
		return Move[string]{size(1), func(m string) bool { return len(names) == 0 || fmt.Sprint(names) == fmt.Sprint([]string{m}) }}
	}
	machines := func() []Machine[string] {
		return []Machine[string]{
			{Handle: "full", Pinned: true},
			{Handle: "busy", Free: size(2), Pinned: true},
			{Handle: "a", Free: size(3), Moves: []Move[string]{onto()}},
			{Handle: "b", Free: size(3), Moves: []Move[string]{onto("busy")}},
			{Handle: "c", Free: size(3), Moves: []Move[string]{onto("full")}},
			{Handle: "d", Free: size(2), Moves: []Move[string]{onto("busy"), onto("busy")}},
		}
	}
	for _, c := range []struct {
		maxMachines, maxConsidered int
		want                       string
	}{{9, 9, "[a d]"}, {1, 9, "[a]"}, {0, 9, "[]"}, {9, 0, "[]"}} {
		if got := fmt.Sprint(Consolidate(machines(), c.maxMachines, c.maxConsidered)); got != c.want {
			t.Errorf("at most %d of the first %d machines: %s, want %s", c.maxMachines, c.maxConsidered, got, c.want)
		}
	}
	// a moves to b, which then has to stay. Without a, b moves to the busy machine, and d no longer
	// fits.
	if got := fmt.Sprint(Consolidate(append(machines()[:2], machines()[3:]...), 9, 9)); got != "[b]" {
		t.Errorf("without a: emptied %s, want [b]", got)
	}
}

// The block with the least lost running time is chosen, unless the vacated blocks are enough.
func TestChooseBlock(t *testing.T) {
	blocks := []Block{
		{Name: "x", LostRuntime: 9 * time.Second},
		{Name: "y", LostRuntime: 3 * time.Second},
		{Name: "z", LostRuntime: 0, Pinned: true},
		{Name: "w", Vacated: true, TaskSlots: 4},
	}
	if got, _ := ChooseBlock(blocks, 5); got != "y" {
		t.Errorf("chose %q, want y", got)
	}
	if got, _ := ChooseBlock(blocks, 4); got != "" {
		t.Errorf("the vacated blocks are enough, but %q was chosen", got)
	}
}
