package clearing

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
		return Victim[string]{name, size(1), ran, idle}
	}
	a := &Machine[string, string]{Handle: "a", Victims: []Victim[string]{v("a1", 5, false), v("a2", 90, true)}}
	b := &Machine[string, string]{Handle: "b", Free: size(1), Victims: []Victim[string]{v("b1", 30, false), v("b2", 40, false)}}
	in := []*Machine[string, string]{a, b}
	for _, m := range in {
		m.Sort()
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
		stop, ok := Choose(in, size(x.size), x.urgent, any, func(string) time.Duration { return 0 })
		names := ""
		for _, s := range stop {
			names += s.Handle
		}
		if names != x.stop || ok != x.ok {
			t.Errorf("%g cpus, urgent %v: stops %q, %v; want %q, %v", x.size, x.urgent, names, ok, x.stop, x.ok)
		}
	}
}

// A machine with the image is cleared, if what is lost more there is less than the fetch.
func TestAFetchIsWeighed(t *testing.T) {
	for _, x := range []struct {
		ran  time.Duration // of the task beside the image
		stop string
	}{{12 * time.Second, "there"}, {14 * time.Second, "here"}} {
		in := []*Machine[string, string]{
			{Handle: "bare", Victims: []Victim[string]{{"here", size(1), 3 * time.Second, false}}},
			{Handle: "has", Victims: []Victim[string]{{"there", size(1), x.ran, false}}},
		}
		fetch := func(m string) time.Duration { return map[string]time.Duration{"bare": 10 * time.Second}[m] }
		if stop, ok := Choose(in, size(1), true, func(string) bool { return true }, fetch); !ok || stop[0].Handle != x.stop {
			t.Errorf("ran %v: stopped %v", x.ran, stop)
		}
	}
}
