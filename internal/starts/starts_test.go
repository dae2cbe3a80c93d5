package starts

import (
	"fmt"
	"maps"
	"slices"
	"testing"

	"pgregory.net/rapid"

	"github.com/barrowbridge/barrowbridge/wire"
)

// Whatever is written, superseded, ended and pruned: a book that reads the slots from the
// beginning knows the last start of every live job, and no record grows beyond its limits.
func TestNothingLiveIsLost(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		limits := Limits{Entries: 6, Bytes: rapid.SampledFrom([]int{160, 220, 1 << 12}).Draw(t, "bytes")}
		b := New(limits)
		stored := map[string]wire.Starts{}
		last := map[string]wire.Start{} // by live job
		live := func(name string) bool { _, ok := last[name]; return ok }
		for step := range rapid.IntRange(1, 60).Draw(t, "steps") {
			if names := keysOf(last); len(names) > 0 && rapid.IntRange(0, 3).Draw(t, "what") == 0 {
				name := rapid.SampledFrom(names).Draw(t, "ended")
				delete(last, name)
				continue
			}
			var entries []Entry
			seen := map[string]bool{}
			for range rapid.IntRange(1, 8).Draw(t, "entries") {
				name := fmt.Sprintf("job-%06d", rapid.IntRange(0, 30).Draw(t, "job"))
				if seen[name] {
					continue
				}
				seen[name] = true
				entries = append(entries, Entry{name, wire.Start{Started: step + 1, On: []string{fmt.Sprint("n-", step)}}})
			}
			for _, e := range entries {
				if !live(e.Name) {
					last[e.Name] = wire.Start{}
				}
			}
			w := b.Plan(1, entries, live)
			if w.Taken == 0 || len(w.Record.Entries) > limits.Entries {
				t.Fatalf("took %d, record of %d", w.Taken, len(w.Record.Entries))
			}
			if raw, err := wire.Marshal(w.Record); err != nil || !wire.FitsIn(raw, limits.Bytes) {
				t.Fatalf("record of %d entries is over %d bytes (%v)", len(w.Record.Entries), limits.Bytes, err)
			}
			if rapid.IntRange(0, 4).Draw(t, "lost") == 0 {
				continue // not written
			}
			for _, e := range entries[:w.Taken] {
				last[e.Name] = e.Start
			}
			stored[w.Key] = w.Record
			if _, err := b.Put(w.Key, uint64(step+1), w.Record); err != nil {
				t.Fatal(err)
			}
		}
		fresh := New(limits)
		for _, key := range keysOf(stored) {
			if _, err := fresh.Put(key, 1, stored[key]); err != nil {
				t.Fatal(err)
			}
		}
		for name, want := range last {
			if got, _ := fresh.Of(name); want.Started > 0 && got.Started != want.Started {
				t.Fatalf("%s: started %d, written %d", name, got.Started, want.Started)
			}
		}
	})
}

func keysOf[V any](m map[string]V) []string { return slices.Sorted(maps.Keys(m)) }

func TestBadKey(t *testing.T) {
	if _, err := New(Limits{}).Put(wire.PrefixStart+"1", 1, wire.Starts{}); err == nil {
		t.Fatal("a key without a slot is taken")
	}
}
