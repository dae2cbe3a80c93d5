package trail

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/barrowbridge/barrowbridge/wire"
)

var wall = time.UnixMilli(1e12)

func ptr[T any](v T) *T { return &v }

// The cause is the newest event that shares a subject, and never an event of another machine.
func TestCauses(t *testing.T) {
	x := New(Limits{Events: 100, Bytes: 4096, WriteInterval: time.Second})
	add := func(e wire.TrailEvent) uint64 { return x.Add(0, wall, e) }
	old := add(wire.TrailEvent{Kind: MachineSilent, Machine: "a"})
	add(wire.TrailEvent{Kind: MachineReporting, Machine: "a"})
	silent := add(wire.TrailEvent{Kind: MachineSilent, Machine: "a"})
	add(wire.TrailEvent{Kind: MachineSilent, Machine: "b"})
	over := add(wire.TrailEvent{Kind: LeaseExpired, Machine: "a", Shard: ptr(2)})
	lost := add(wire.TrailEvent{Kind: TaskLost, Machine: "a", Task: "job-1/0"})
	if !x.WasLost("job-1/0") || x.WasLost("job-1/1") {
		t.Error("a lost task is not known as lost, or another task is")
	}
	again := add(wire.TrailEvent{Kind: TaskRestarted, Machine: "b", Task: "job-1/0"})
	add(wire.TrailEvent{Kind: TaskRunning, Machine: "b", Task: "job-1/0"})
	if x.WasLost("job-1/0") {
		t.Error("a task that runs again still counts as lost")
	}
	got, _, _ := x.Events(Query{Most: 100})
	for i, want := range []uint64{0, old, 0, 0, silent, over, lost, again} {
		if got[i].Cause != want {
			t.Errorf("event %d (%s) is caused by %d, want %d", got[i].Seq, got[i].Kind, got[i].Cause, want)
		}
	}
	if q, _, _ := x.Events(Query{Most: 100, Job: "job-1"}); len(q) != 3 {
		t.Errorf("%d events of the job, want 3", len(q))
	}
}

// For any sequence of events, memory and record stay within their bounds, event numbers increase
// by one, causes precede the events that they caused and are still kept, and a reader that
// follows the trail sees every event once or is told that it missed some.
func TestBounds(t *testing.T) {
	kinds := []string{MachineSilent, LeaseExpired, TaskLost, TaskRestarted, TaskRunning, ShardTaken, ShardHeld, Reconciled, ControllerGone, AccountedFor, TaskFailed}
	rapid.Check(t, func(t *rapid.T) {
		lim := Limits{Events: rapid.IntRange(1, 40).Draw(t, "events"), Bytes: rapid.IntRange(200, 2000).Draw(t, "bytes"), WriteInterval: 10 * time.Second}
		x := New(lim)
		now, read, writes := Time(0), uint64(0), []Time{}
		for range rapid.IntRange(1, 120).Draw(t, "steps") {
			now += time.Duration(rapid.IntRange(0, 3000).Draw(t, "ms")) * time.Millisecond
			m := rapid.IntRange(0, 4).Draw(t, "subject")
			seq := x.Add(now, wall, wire.TrailEvent{Kind: rapid.SampledFrom(kinds).Draw(t, "kind"), Machine: fmt.Sprint("n-", m), Task: fmt.Sprint("job-1/", m), Node: fmt.Sprint("c", m), Shard: &m})
			if rec, due := x.NextRecord(now, 7); due {
				raw, err := wire.Marshal(rec)
				if err != nil {
					t.Fatal(err)
				}
				if n, err := wire.JSONSize(raw); err != nil || n > lim.Bytes+64 {
					t.Fatalf("a record of %d bytes, at most %d: %v", n, lim.Bytes, err)
				}
				writes = append(writes, now)
			}
			if rapid.Bool().Draw(t, "read") {
				list, next, missed := x.Events(Query{After: read, Most: 1000})
				if !missed && uint64(len(list)) != seq-read || missed && len(list) != lim.Events || next != seq {
					t.Fatalf("read %d events after %d up to %d, missed %v, the newest is %d", len(list), read, next, missed, seq)
				}
				for i, e := range list {
					if i > 0 && e.Seq != list[i-1].Seq+1 || e.Cause >= e.Seq || i == len(list)-1 && e.Cause > 0 && e.Cause <= x.oldest() {
						t.Fatalf("event %d after %v, cause %d", e.Seq, list[max(0, i-1)].Seq, e.Cause)
					}
				}
				read = next
			}
			if len(x.ring) > lim.Events || len(x.lost) > lim.Events || len(x.latest) > 3*lim.Events {
				t.Fatalf("kept %d events, %d lost tasks, %d look-ups, at most %d events", len(x.ring), len(x.lost), len(x.latest), lim.Events)
			}
		}
		for i := 1; i < len(writes); i++ {
			if writes[i]-writes[i-1] < lim.WriteInterval {
				t.Fatalf("written at %v and %v", writes[i-1], writes[i])
			}
		}
	})
}

// The next incarnation keeps what the one before had stored, with the incarnation that it came
// from.
func TestEarlierIncarnations(t *testing.T) {
	lim := Limits{Events: 10, Bytes: 4096, WriteInterval: time.Second}
	a := New(lim)
	a.Add(time.Second, wall, wire.TrailEvent{Kind: LeaseExpired, Machine: "n-1"})
	rec, due := a.NextRecord(10*time.Second, 5)
	if !due {
		t.Fatal("a durable event is not written")
	}
	if _, again := a.NextRecord(20*time.Second, 5); again {
		t.Error("written again without a new event")
	}
	b := New(lim)
	b.Add(0, wall, wire.TrailEvent{Kind: Began})
	b.LoadEarlier(rec, 9)
	rec, _ = b.NextRecord(10*time.Second, 9)
	if len(rec.Events) != 2 || rec.Events[0].Machine != "n-1" || rec.Events[0].Boot != 5 || rec.Events[1].Kind != Began {
		t.Errorf("the record has %+v", rec.Events)
	}
	b.Add(time.Minute, wall, wire.TrailEvent{Kind: Reconciled})
	b.NextRecord(time.Minute+time.Second, 9)
	b.WriteFailed(time.Minute + time.Second)
	if _, due := b.NextRecord(3*time.Minute, 9); !due {
		t.Error("a failed write is not retried")
	}
}
