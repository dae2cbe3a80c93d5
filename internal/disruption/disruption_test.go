package disruption

import (
	"fmt"
	"testing"
	"time"

	"github.com/barrowbridge/barrowbridge/internal/placement"
)

func size(cpus float64) placement.Size { return placement.Size{CPUs: cpus} }

// The emptiest machines are emptied, as many as are asked for, onto machines that stay and
// that allow it; room is given once.
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
		most, look int
		want       string
	}{{9, 9, "[a d]"}, {1, 9, "[a]"}, {0, 9, "[]"}, {9, 0, "[]"}} {
		if got := fmt.Sprint(Consolidate(machines(), c.most, c.look)); got != c.want {
			t.Errorf("at most %d of %d: %s, want %s", c.most, c.look, got, c.want)
		}
	}
	// a goes to b, which then stays; without a, b goes to the busy one, and d no longer fits.
	if got := fmt.Sprint(Consolidate(append(machines()[:2], machines()[3:]...), 9, 9)); got != "[b]" {
		t.Errorf("without a: %s", got)
	}
}

// The block where least is lost is emptied, unless those emptied already are enough.
func TestEmpty(t *testing.T) {
	blocks := []Block{{Name: "x", LostRuntime: 9 * time.Second}, {Name: "y", LostRuntime: 3 * time.Second}, {Name: "z", LostRuntime: 0, Pinned: true}, {Name: "w", Vacated: true, TaskSlots: 4}}
	if got, _ := ChooseBlock(blocks, 5); got != "y" {
		t.Errorf("emptied %q", got)
	}
	if got, _ := ChooseBlock(blocks, 4); got != "" {
		t.Errorf("enough is being emptied, and %q too", got)
	}
}
