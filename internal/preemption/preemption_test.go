package preemption

import (
	"testing"
	"time"

	"github.com/barrowbridge/barrowbridge/internal/placement"
)

func size(cpus float64) placement.Size { return placement.Size{CPUs: cpus} }

// Idle work gives way before other work, and alone to what is not urgent; the least
// running time is lost, and room that has been made is not made twice.
func TestWhoGivesWay(t *testing.T) {
	v := func(name string, ran time.Duration, idle bool) Victim[string] {
		return Victim[string]{Handle: name, Size: size(1), Runtime: ran, Idle: idle}
	}
	a := &Machine[string, string]{Handle: "a", Victims: []Victim[string]{v("a1", 5, false), v("a2", 90, true)}}
	b := &Machine[string, string]{Handle: "b", Free: size(1), Victims: []Victim[string]{v("b1", 30, false), v("b2", 40, false)}}
	in := []*Machine[string, string]{a, b}
	for _, m := range in {
		m.SortVictims()
	}
	any := func(string) bool { return true }
	for _, x := range []struct {
		size   float64
		urgent bool
		stop   string
		ok     bool
	}{
		{2, false, "", false},
		{1, false, "", true}, // what is free on b
		{1, false, "a2", true},
		{1, false, "", false},
		{1, true, "a1", true},
		{2, true, "b1b2", true},
		{1, true, "", false},
	} {
		stop, ok := Choose(in, size(x.size), x.urgent, any)
		names := ""
		for _, s := range stop {
			names += s.Handle
		}
		if names != x.stop || ok != x.ok {
			t.Errorf("%g cpus, urgent %v: stops %q, %v; want %q, %v", x.size, x.urgent, names, ok, x.stop, x.ok)
		}
	}
}

// A place that is reserved and not told is given up to what is served first, urgent or not.
func TestUnsentGivesWayFirst(t *testing.T) {
	m := &Machine[string, string]{Handle: "m", Victims: []Victim[string]{{Handle: "runs", Size: size(1), Runtime: time.Second}, {Handle: "unsent", Size: size(1), Unsent: true}}}
	m.SortVictims()
	in, any := []*Machine[string, string]{m}, func(string) bool { return true }
	if stop, ok := Choose(in, size(1), false, any); !ok || stop[0].Handle != "unsent" {
		t.Errorf("stopped %v", stop)
	}
	if stop, ok := Choose(in, size(1), false, any); ok {
		t.Errorf("what runs was stopped for work that is not urgent: %v", stop)
	}
}
