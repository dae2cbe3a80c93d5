package progress

import (
	"testing"

	"pgregory.net/rapid"

	"github.com/barrowbridge/barrowbridge/internal/ranges"
	"github.com/barrowbridge/barrowbridge/wire"
)

// For any order of completed tasks, however small the records are and whichever writes are lost,
// an index built from the records contains everything that was ever written, and in the end every
// task that is done.
func TestNothingWrittenIsTakenBack(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const span, tasks, id = 64, 500, "job-000001"
		stored, ver := map[string]wire.Done{}, map[string]uint64{}
		var record, done, written ranges.Set
		rev := uint64(0)
		read := func() (*Index, ranges.Set) {
			index := New(span)
			for k, r := range stored {
				if got, err := index.Put(k, ver[k], r); err != nil || got != id {
					t.Fatalf("%s: %s, %v", k, got, err)
				}
			}
			return index, record.Union(index.Done(id))
		}
		write := func(maxRanges, most int, lost bool) {
			index, _ := read()
			fits := func(s ranges.Set) bool { return len(s) <= maxRanges }
			p := index.Plan(id, record, done, fits, most)
			if n := len(p.Parts); n > most || p.PutRecord && n > max(0, most-1) {
				t.Fatalf("%d additional records, own record %v, at most %d changes", n, p.PutRecord, most)
			}
			if lost {
				return
			}
			rev++
			if p.PutRecord {
				if !fits(p.Record) {
					t.Fatalf("%d ranges, at most %d fit", len(p.Record), maxRanges)
				}
				record = p.Record.Clone()
			}
			for _, x := range p.Parts {
				if x.Version != ver[x.Key] {
					t.Fatalf("%s is compared with version %d, want %d", x.Key, x.Version, ver[x.Key])
				}
				stored[x.Key], ver[x.Key] = x.Record, rev
			}
		}
		for range rapid.IntRange(1, 20).Draw(t, "writes") {
			for range rapid.IntRange(0, 30).Draw(t, "ends") {
				done = done.Add(rapid.IntRange(0, tasks-1).Draw(t, "task"))
			}
			// The limit may be lowered, and additional records may be understood only later.
			write(rapid.SampledFrom([]int{2, 5, 40}).Draw(t, "room"), rapid.IntRange(0, 3).Draw(t, "most"), rapid.IntRange(0, 3).Draw(t, "fate") == 0)
			_, now := read()
			if lost := written.Minus(now); len(lost) > 0 {
				t.Fatalf("tasks are no longer recorded: %v", lost)
			}
			if never := now.Minus(done); len(never) > 0 {
				t.Fatalf("recorded but not done: %v", never)
			}
			written = now
		}
		for range 20 {
			write(3, 2, false)
		}
		if _, now := read(); len(done.Minus(now)) > 0 {
			t.Fatalf("never written: %v", done.Minus(now))
		}
	})
}

// Records of jobs that have ended are found, a few at a time.
func TestRecordsOfJobsThatAreOver(t *testing.T) {
	index := New(64)
	for _, k := range []string{Key("job-000002", 0), Key("job-000001", 1), Key("job-000001", 0), Key("job-000003", 0)} {
		if _, err := index.Put(k, 1, wire.Done{Bits: []uint32{5}}); err != nil {
			t.Fatal(err)
		}
	}
	live := func(id string) bool { return id == "job-000003" }
	if id, keys := index.Obsolete(live, 1); id != "job-000001" || len(keys) != 1 || keys[0] != Key("job-000001", 0) {
		t.Fatalf("%s: %v", id, keys)
	}
	index.Remove(Key("job-000001", 0))
	index.Remove(Key("job-000001", 1))
	index.Remove(Key("job-000002", 0))
	if id, _ := index.Obsolete(live, 9); id != "" || index.Done("job-000001") != nil || !index.Done("job-000003").Contains(2) {
		t.Fatalf("%q, %v", id, index.Done("job-000003"))
	}
	if _, err := index.Put(wire.PrefixDone+"job-000001", 1, wire.Done{}); err == nil {
		t.Fatal("a key without a number was accepted")
	}
}
