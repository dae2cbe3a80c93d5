package limits

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/barrowbridge/barrowbridge/wire"
)

var formParams = WriteBoundsParams{Floor: Bounds{512, 2}, Factor: 0.67, SkipFor: 10 * time.Second, SkipForMax: time.Minute, SinglyFor: 5 * time.Second, StuckAfter: 3 * time.Second, WarnInterval: 30 * time.Second}

// Whatever a service allows, and however little it says of why it refuses, a few writes at
// the bounds find out, and what is smaller than all it ever refused is still written.
func TestFormFindsTheLimits(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		real := Bounds{rapid.IntRange(512, 20000).Draw(t, "bytes"), rapid.IntRange(2, 20).Draw(t, "changes")}
		says := rapid.Bool().Draw(t, "says")
		f := NewWriteBounds(formParams, Bounds{16384, 16})
		refused := 0
		for step := 0; step < 40; step++ {
			b := f.Bounds()
			w := Write{Kind: "job", Bytes: b.ValueBytes, Changes: b.Changes, Conditions: 4 * b.Changes}
			why := ""
			switch {
			case w.Bytes > real.ValueBytes:
				why = "the value is too large"
			case w.Changes > real.Changes:
				why = "too many operations"
			default:
				if refused > 20 {
					t.Fatalf("%d refusals until %+v, real %+v", refused, b, real)
				}
				if b.ValueBytes < 512 || b.Changes < 2 {
					t.Fatalf("bounds %+v", b)
				}
				return
			}
			if !says {
				why = "bad request"
			}
			refused++
			f.RecordRefusal(0, w, why)
		}
		t.Fatalf("still refused: %+v, real %+v", f.Bounds(), real)
	})
}

// One that can't be written in any form is found and passed by; the others go on.
func TestFormSetsOneAside(t *testing.T) {
	f := NewWriteBounds(formParams, Bounds{2048, 4})
	job := func(k int) string { return wire.PrefixJob + fmt.Sprint("job-", k) }
	w := Write{Kind: "start", Bytes: 300, Changes: 1, Conditions: 5, Subjects: []string{job(1), job(2), job(3)}}
	if warn := f.RecordRefusal(time.Second, w, "what is this value?"); !warn || !f.WriteSingly(2*time.Second) || f.Bounds().ValueBytes != 2048 {
		t.Fatalf("three together refused: %+v", f)
	}
	w.Subjects = w.Subjects[1:2]
	if warn := f.RecordRefusal(2*time.Second, w, "what is this value?"); warn {
		t.Error("warned twice of the same")
	}
	if f.WriteSingly(3*time.Second) || !f.ShouldSkip(3*time.Second, KindStart, job(2)) || f.ShouldSkip(3*time.Second, KindStart, job(1)) {
		t.Fatalf("one alone refused: %+v", f)
	}
	if f.ShouldSkip(3*time.Second, KindFinal, job(2)) {
		t.Error("its end is passed by as well")
	}
	if f.StartsStuck(5 * time.Second) {
		t.Error("stuck for one that is passed by")
	}
	if f.ShouldSkip(12*time.Second+1, KindStart, job(2)) {
		t.Error("passed by for ever")
	}
	f.RecordRefusal(13*time.Second, w, "what is this value?")
	if !f.ShouldSkip(32*time.Second, KindStart, job(2)) || f.ShouldSkip(34*time.Second, KindStart, job(2)) {
		t.Error("the second pause is not twice the first")
	}
	if got := f.RefusedWrites(); len(got) != 1 || got[0].Kind != "start" || got[0].Count != 3 || got[0].Bytes != 300 {
		t.Errorf("told: %+v", got)
	}
}

// Starts that are refused again and again, and none written, are stuck.
func TestFormIsStuck(t *testing.T) {
	f := NewWriteBounds(formParams, Bounds{2048, 4})
	at := time.Second
	for ; at < 6*time.Second; at += 200 * time.Millisecond {
		if got, want := f.StartsStuck(at), at > 4*time.Second; got != want {
			t.Fatalf("after %v: %v", at, got)
		}
		f.RecordRefusal(at, Write{Kind: "start", Bytes: 300, Changes: 1}, "what is this value?")
	}
	if f.RecordSuccess("job"); !f.StartsStuck(at) {
		t.Error("other writes are no starts")
	}
	if f.StartsStuck(at + 4*time.Second) {
		t.Error("stuck though nothing is tried: nothing waits to be written")
	}
	if f.RecordSuccess("start"); f.StartsStuck(at) {
		t.Error("stuck after a start was written")
	}
}

func TestDescribe(t *testing.T) {
	final := wire.Final{Status: wire.JobDone, Done: 12}
	w := DescribeWrite([]wire.Condition{{Key: wire.PrefixShard + "0", Version: 3}, {Key: wire.PrefixJob + "job-1", Version: 4}},
		[]wire.Change{{Delete: wire.PrefixJob + "job-1"}, {Put: wire.PrefixFinal + "job-1", Value: final}})
	if w.Kind != KindFinal || w.Changes != 2 || w.Conditions != 2 || w.Bytes != len(`{"status":"done","done":12}`) || len(w.Subjects) != 1 || w.Subjects[0] != wire.PrefixJob+"job-1" {
		t.Errorf("an end of a job: %+v", w)
	}
	if w := DescribeWrite(nil, []wire.Change{{Delete: wire.KeyLeader}}); w.Kind != "leader" || w.Bytes != 0 {
		t.Errorf("leadership given away: %+v", w)
	}
}

func TestFit(t *testing.T) {
	w := wire.Demand{}
	for k := range 24 {
		w.Needs = append(w.Needs, wire.Need{CPUs: 1.5, MemGB: 3.25, Tasks: k, Zone: "a-zone-of-a-long-name"})
	}
	shorter := func(w *wire.Demand) bool {
		if len(w.Needs) == 0 {
			return false
		}
		w.Needs = w.Needs[:len(w.Needs)-1]
		return true
	}
	got := Fit(w, 1024, shorter)
	if raw, err := wire.Marshal(got); err != nil || !wire.FitsIn(raw, 1024) || len(got.Needs) == 0 || len(w.Needs) != 24 {
		t.Fatalf("%d of %d needs are left (%v)", len(got.Needs), len(w.Needs), err)
	}
	if got := Fit(w, 1, shorter); len(got.Needs) != 0 {
		t.Fatal("what can't fit is not returned at its shortest")
	}
}
