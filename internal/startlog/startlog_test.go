package startlog

import (
	"fmt"
	"maps"
	"slices"
	"testing"

	"pgregory.net/rapid"

	"github.com/barrowbridge/barrowbridge/wire"
)

// Whichever entries are written, superseded, ended and pruned, a log that reads all slots from
// scratch knows the last start of every live job, and no record exceeds its limits.
func TestNothingLiveIsLost(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		limits := Limits{Entries: 6, Bytes: rapid.SampledFrom([]int{160, 220, 1 << 12}).Draw(t, "bytes")}
		log := New(limits)
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
			w := log.Plan(1, entries, live)
			if w.Included == 0 || len(w.Record.Entries) > limits.Entries {
				t.Fatalf("%d entries taken, record of %d", w.Included, len(w.Record.Entries))
			}
			if raw, err := wire.Marshal(w.Record); err != nil || !wire.FitsIn(raw, limits.Bytes) {
				t.Fatalf("record of %d entries is over %d bytes (%v)", len(w.Record.Entries), limits.Bytes, err)
			}
			if rapid.IntRange(0, 4).Draw(t, "lost") == 0 {
				continue // not written
			}
			for _, e := range entries[:w.Included] {
				last[e.Name] = e.Start
			}
			stored[w.Key] = w.Record
			if _, err := log.Put(w.Key, uint64(step+1), w.Record); err != nil {
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
			if got, _ := fresh.Latest(name); want.Started > 0 && got.Started != want.Started {
				t.Fatalf("%s: started %d, written %d", name, got.Started, want.Started)
			}
		}
	})
}

func keysOf[V any](m map[string]V) []string { return slices.Sorted(maps.Keys(m)) }

// A slot filled by a version with larger limits is read, but not rewritten while it is too large. A
// new start of a job that is in it goes to another slot and counts there.
func TestOversizedSlotIsNotRewritten(t *testing.T) {
	const jobs = 90
	log := New(Limits{Entries: 96, Bytes: 2048 * 7 / 8})
	old := wire.Starts{Entries: map[string]wire.Start{}}
	name := func(k int) string { return fmt.Sprintf("job-%06d", k) }
	for k := range jobs {
		old.Entries[name(k)] = wire.Start{N: 7, Started: 1, On: []string{fmt.Sprintf("n-%06d", k), "n-000001", "n-000002", "n-000003"}}
	}
	stored := map[string]wire.Starts{Key(1, 0): old}
	if _, err := log.Put(Key(1, 0), 1, old); err != nil {
		t.Fatal(err)
	}
	ended := map[string]bool{}
	live := func(n string) bool { return !ended[n] }
	for k := range jobs {
		w := log.Plan(1, []Entry{{name(k), wire.Start{Started: 2, On: []string{"n-000009"}}}}, live)
		raw, err := wire.Marshal(w.Record)
		if err != nil || !wire.FitsIn(raw, 2048) {
			t.Fatalf("start %d: %s would have %d entries, more than 2 KiB (%v)", k, w.Key, len(w.Record.Entries), err)
		}
		stored[w.Key] = w.Record
		if _, err := log.Put(w.Key, uint64(k+2), w.Record); err != nil {
			t.Fatal(err)
		}
		if s, _ := log.Latest(name(k)); s.Started != 2 || s.N != 8 {
			t.Fatalf("start %d: latest is %+v", k, s)
		}
	}
	again := New(Limits{Entries: 96, Bytes: 14 << 10}) // a log with larger limits reads the same starts
	for _, key := range keysOf(stored) {
		if _, err := again.Put(key, 1, stored[key]); err != nil {
			t.Fatal(err)
		}
	}
	for k := range jobs {
		if s, _ := again.Latest(name(k)); s.Started != 2 {
			t.Fatalf("%s is read as %+v", name(k), s)
		}
	}
	// Once the jobs in it have ended, the slot is used again.
	for k := range jobs {
		ended[name(k)] = true
	}
	if w := log.Plan(1, []Entry{{"job-000500", wire.Start{Started: 1}}}, live); w.Key != Key(1, 0) || len(w.Record.Entries) != 1 {
		t.Fatalf("written to %s with %d entries", w.Key, len(w.Record.Entries))
	}
}

// A slot that has few entries may still be too full for one long entry.
func TestLongEntry(t *testing.T) {
	log := New(Limits{Entries: 96, Bytes: 1024 * 7 / 8})
	part := wire.Starts{Entries: map[string]wire.Start{}}
	machine := func(k int) string {
		return fmt.Sprintf("machine-of-a-very-long-name-in-a-zone-of-a-long-name-as-well-and-of-a-type-of-a-long-name-%09d", k)
	}
	for k := range 4 {
		part.Entries[fmt.Sprintf("job-%06d", k)] = wire.Start{N: 100, Started: 100, On: []string{machine(k)}}
	}
	if _, err := log.Put(Key(1, 0), 1, part); err != nil {
		t.Fatal(err)
	}
	long := wire.Start{Started: 4}
	for k := range 4 {
		long.On = append(long.On, machine(k))
	}
	w := log.Plan(1, []Entry{{"job-000500", long}}, func(string) bool { return true })
	if raw, err := wire.Marshal(w.Record); err != nil || !wire.FitsIn(raw, 1024*7/8) {
		n, _ := wire.JSONSize(raw)
		t.Fatalf("%s: %d bytes (%v)", w.Key, n, err)
	}
}

func TestBadKey(t *testing.T) {
	if _, err := New(Limits{}).Put(wire.PrefixStart+"1", 1, wire.Starts{}); err == nil {
		t.Fatal("a key without a slot number is accepted")
	}
}
