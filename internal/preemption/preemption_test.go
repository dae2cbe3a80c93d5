package preemption

import (
	"testing"
	"time"

	"github.com/barrowbridge/barrowbridge/internal/placement"
)

func size(cpus float64) placement.Size { return placement.Size{CPUs: cpus} }

// Idle work is preempted before other work, and is the only work preempted for tasks that are not
// urgent. The least running time is lost, and capacity that has been freed is used once.
func TestVictimSelection(t *testing.T) {
	victim := func(name string, ran time.Duration, idle bool) Victim[string] {
		return Victim[string]{Handle: name, Size: size(1), Runtime: ran, Idle: idle}
	}
	a := &Machine[string, string]{Handle: "a", Victims: []Victim[string]{victim("a1", 5, false), victim("a2", 90, true)}}
	b := &Machine[string, string]{Handle: "b", Free: size(1), Victims: []Victim[string]{victim("b1", 30, false), victim("b2", 40, false)}}
	machines := []*Machine[string, string]{a, b}
	for _, m := range machines {
		m.SortVictims()
	}
	any := func(string) bool { return true }
	for _, test := range []struct {
		size   float64
		urgent bool
		stop   string
		ok     bool
	}{
		{2, false, "", false},
		{1, false, "", true}, // free capacity on b
		{1, false, "a2", true},
		{1, false, "", false},
		{1, true, "a1", true},
		{2, true, "b1b2", true},
		{1, true, "", false},
	} {
		stop, ok := Choose(machines, size(test.size), test.urgent, any)
		names := ""
		for _, s := range stop {
			names += s.Handle
		}
		if names != test.stop || ok != test.ok {
			t.Errorf("%g CPUs, urgent %v: stopped %q, %v; want %q, %v", test.size, test.urgent, names, ok, test.stop, test.ok)
		}
	}
}

// A reserved task that has not been sent is preempted by whatever is served first, urgent or not.
func TestUnsentIsPreemptedFirst(t *testing.T) {
	m := &Machine[string, string]{Handle: "m", Victims: []Victim[string]{
		{Handle: "runs", Size: size(1), Runtime: time.Second},
		{Handle: "unsent", Size: size(1), Unsent: true},
	}}
	m.SortVictims()
	machines, any := []*Machine[string, string]{m}, func(string) bool { return true }
	if stop, ok := Choose(machines, size(1), false, any); !ok || stop[0].Handle != "unsent" {
		t.Errorf("stopped %v, want the unsent task", stop)
	}
	if stop, ok := Choose(machines, size(1), false, any); ok {
		t.Errorf("a running task was stopped for work that is not urgent: %v", stop)
	}
}
