package limits

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/barrowbridge/barrowbridge/wire"
)

var testParams = WriteBoundsParams{Floor: Bounds{512, 2}, Factor: 0.67, SkipFor: 10 * time.Second, SkipForMax: time.Minute, SinglyFor: 5 * time.Second, StuckAfter: 3 * time.Second, WarnInterval: 30 * time.Second}

// Whatever limits a service has, and however vague its refusals are, a few writes at the bounds
// find the limits, and the bounds never fall below the floor.
func TestWriteBoundsFindTheLimits(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		real := Bounds{rapid.IntRange(512, 20000).Draw(t, "bytes"), rapid.IntRange(2, 20).Draw(t, "changes")}
		namesLimit := rapid.Bool().Draw(t, "says")
		bounds := NewWriteBounds(testParams, Bounds{16384, 16})
		refused := 0
		for step := 0; step < 40; step++ {
			b := bounds.Bounds()
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
			if !namesLimit {
				why = "bad request"
			}
			refused++
			bounds.RecordRefusal(0, w, why)
		}
		t.Fatalf("still refused: %+v, real %+v", bounds.Bounds(), real)
	})
}

// A subject that cannot be written in any form is found and skipped; the others are still
// written.
func TestWriteBoundsSkipOneSubject(t *testing.T) {
	bounds := NewWriteBounds(testParams, Bounds{2048, 4})
	job := func(k int) string { return wire.PrefixJob + fmt.Sprint("job-", k) }
	w := Write{Kind: "start", Bytes: 300, Changes: 1, Conditions: 5, Subjects: []string{job(1), job(2), job(3)}}
	if warn := bounds.RecordRefusal(time.Second, w, "what is this value?"); !warn || !bounds.WriteSingly(2*time.Second) || bounds.Bounds().ValueBytes != 2048 {
		t.Fatalf("three together refused: %+v", bounds)
	}
	w.Subjects = w.Subjects[1:2]
	if warn := bounds.RecordRefusal(2*time.Second, w, "what is this value?"); warn {
		t.Error("warned twice about the same write")
	}
	if bounds.WriteSingly(3*time.Second) || !bounds.ShouldSkip(3*time.Second, KindStart, job(2)) || bounds.ShouldSkip(3*time.Second, KindStart, job(1)) {
		t.Fatalf("one alone refused: %+v", bounds)
	}
	if bounds.ShouldSkip(3*time.Second, KindFinal, job(2)) {
		t.Error("the end of the job is skipped as well")
	}
	if bounds.StartsStuck(5 * time.Second) {
		t.Error("stuck because of one skipped subject")
	}
	if bounds.ShouldSkip(12*time.Second+1, KindStart, job(2)) {
		t.Error("skipped for ever")
	}
	bounds.RecordRefusal(13*time.Second, w, "what is this value?")
	if !bounds.ShouldSkip(32*time.Second, KindStart, job(2)) || bounds.ShouldSkip(34*time.Second, KindStart, job(2)) {
		t.Error("the second skip is not twice as long as the first")
	}
	if got := bounds.RefusedWrites(); len(got) != 1 || got[0].Kind != "start" || got[0].Count != 3 || got[0].Bytes != 300 {
		t.Errorf("refused writes: %+v", got)
	}
}

// Starts that are refused for long without a successful one are stuck.
func TestStartsStuck(t *testing.T) {
	bounds := NewWriteBounds(testParams, Bounds{2048, 4})
	at := time.Second
	for ; at < 6*time.Second; at += 200 * time.Millisecond {
		if got, want := bounds.StartsStuck(at), at > 4*time.Second; got != want {
			t.Fatalf("after %v: %v", at, got)
		}
		bounds.RecordRefusal(at, Write{Kind: "start", Bytes: 300, Changes: 1}, "what is this value?")
	}
	if bounds.RecordSuccess("job"); !bounds.StartsStuck(at) {
		t.Error("a write of another kind counted as a start")
	}
	if bounds.StartsStuck(at + 4*time.Second) {
		t.Error("stuck although no start has been tried recently")
	}
	if bounds.RecordSuccess("start"); bounds.StartsStuck(at) {
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
		t.Errorf("leadership released: %+v", w)
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
		t.Fatal("a value that cannot fit is not returned at its shortest")
	}
}
