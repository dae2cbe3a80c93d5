package assignment

import (
	"slices"
	"testing"
	"time"

	"github.com/barrowbridge/barrowbridge/internal/reach"
	"github.com/barrowbridge/barrowbridge/wire"
)

// bookOf is the book of a, with b and c present, and the link to the cloud that it judges by.
func newTestTracker() (*Tracker, *reach.Link) {
	cloud := reach.NewLink(reach.LinkLimits{LateAfter: time.Minute, DownAfter: time.Second, RecoverAfter: time.Second, RecoverAfterMax: time.Second, FlapWindow: time.Minute})
	workers := reach.NewWorkers(reach.WorkerLimits{})
	present := map[string]wire.Node{"a": {Boot: 1, Zone: "n"}, "b": {Boot: 2, Zone: "s"}, "c": {Boot: 3, Zone: "n"}}
	return NewTracker("a", zones, present, workers, cloud, rules,
		Limits{ReportTTL: 2 * time.Second, ReachableFor: time.Second, UnreachableAfter: 3 * time.Second, CloudAnswerTTL: 4 * time.Second, ReturnHomeAfter: 15 * time.Second, AllowedMissing: 2, AllowedMissingShare: 50}), cloud
}

// What a peer has just spoken goes before what it wrote, and what its earlier life wrote is nothing.
func TestTheNewestWordCounts(t *testing.T) {
	b, _ := newTestTracker()
	b.SetStored("b", wire.Reach{Boot: 2, Lacks: true})
	b.SetStored("c", wire.Reach{Boot: 1, Lacks: true})
	if !b.Latest(time.Second, "b").Lacks || b.Latest(time.Second, "c").Lacks {
		t.Error("a word of this life counts, an earlier life's does not")
	}
	b.ReportReceived(time.Second, "b", wire.Reach{Boot: 2, Seeks: []int{1, 4}})
	if w := b.Latest(2*time.Second, "b"); w.Lacks || len(w.Seeks) != 2 {
		t.Errorf("spoken a second ago: %+v", w)
	}
	if s := b.SoughtShards(2*time.Second, func(i int) bool { return i == 4 }); len(s) != 1 || !s[1] {
		t.Errorf("sought: %v", s)
	}
	if !b.Latest(4*time.Second, "b").Lacks {
		t.Error("it was spoken long ago, the written word counts")
	}
	b.RemoveStored("b")
	if b.Latest(4*time.Second, "b").Lacks {
		t.Error("withdrawn")
	}
}

func TestWhoIsNearAndWhoApart(t *testing.T) {
	b, _ := newTestTracker()
	b.Update(time.Second, nil, nil)
	b.PingAnswered(2*time.Second, "b")
	if !b.Reachable(3*time.Second, "b") || b.Reachable(3500*time.Millisecond, "b") || b.Reachable(time.Second, "c") {
		t.Error("near is who has just answered")
	}
	if w := b.OwnReport(4500*time.Millisecond, Self{Boot: 1}); !slices.Equal(w.Apart, []string{"c"}) || w.Boot != 1 {
		t.Errorf("%+v", w)
	}
}

// Calls to workers go through a peer once none is reached from here: one that is near and reaches some.
func TestToWorkers(t *testing.T) {
	b, _ := newTestTracker()
	b.workers = reach.NewWorkers(reach.WorkerLimits{CutOffFor: time.Minute, Group: reach.GroupLimits{MinSilence: 1500 * time.Millisecond}})
	b.PingAnswered(3*time.Second, "b")
	b.PingAnswered(3*time.Second, "c")
	b.ReportReceived(3*time.Second, "b", wire.Reach{Boot: 2, Lacks: true})
	if to := b.WorkerProxy(3 * time.Second); to != "" {
		t.Errorf("workers may be reached, and calls go through %s", to)
	}
	for at := range 3 {
		b.workers.Update(time.Duration(at)*time.Second, map[int]reach.MachineGroup{0: {Expected: 6}})
	}
	b.workers.Update(3*time.Second, nil) // all silent, given away
	if to := b.WorkerProxy(3 * time.Second); to != "c" {
		t.Errorf("through %q", to)
	}
	if to := b.WorkerProxy(9 * time.Second); to != "" {
		t.Errorf("through %s, which has not answered for 6 s", to)
	}
	if !b.ReachableOrSelf(9*time.Second, "a") || b.ReachableOrSelf(9*time.Second, "c") || !b.ReachableOrSelf(3500*time.Millisecond, "c") {
		t.Error("heard is who is near, or oneself")
	}
}

// A shard goes home once that has been there for long, has workers, and few machines are missed.
func TestGoesHome(t *testing.T) {
	b, _ := newTestTracker()
	rec := &wire.Shard{Holder: "a", Home: "b", Settled: true}
	at := func(now time.Duration) bool { return b.MayReturnHome(now, Self{Boot: 1}, 0, rec, time.Second, 0) }
	if at(15*time.Second) || !at(17*time.Second) {
		t.Error("after 15 s, and not sooner")
	}
	b.ReportReceived(18*time.Second, "b", wire.Reach{Lacks: true})
	b.Update(18*time.Second, map[int]int{0: 2}, func(int) int { return 100 })
	if at(19*time.Second) || at(30*time.Second) || !at(34*time.Second) {
		t.Error("so long after it last lacked workers")
	}
	b.HolderChanged(34*time.Second, &wire.Shard{Holder: "b", Boot: 1, Home: "b"}, rec) // taken from an earlier life
	if !at(34 * time.Second) {
		t.Error("it was dead, and is there for long")
	}
	b.HolderChanged(34*time.Second, &wire.Shard{Holder: "b", Boot: 2, Home: "b"}, rec)
	if at(48*time.Second) || !at(50*time.Second) {
		t.Error("so long after it gave its shard away, whatever its word")
	}
	b.Update(34*time.Second, map[int]int{0: 3}, func(int) int { return 100 })
	if at(50 * time.Second) {
		t.Error("many of its machines are missed")
	}
	b.Update(50*time.Second, map[int]int{0: 3}, func(int) int { return 1000 })
	if rec.Settled = false; at(50 * time.Second) {
		t.Error("not settled")
	}
}

// Leadership is left to one that the cloud answers, by its word, once the cloud is not reached.
func TestLeadTo(t *testing.T) {
	b, cloud := newTestTracker()
	lead := Self{Boot: 1, Leading: true, Leader: "a"}
	b.ReportReceived(time.Second, "c", wire.Reach{Cloud: true})
	if to := b.LeadershipTarget(time.Second, lead); to != "" {
		t.Errorf("the cloud may be reached, and %s leads", to)
	}
	cloud.CallDone(time.Second, 1, time.Second, reach.NoAnswer)
	cloud.CallDone(1500*time.Millisecond, 2, 1500*time.Millisecond, reach.NoAnswer)
	if to := b.LeadershipTarget(2500*time.Millisecond, lead); to != "c" {
		t.Errorf("%q", to)
	}
	turned := b.ChangedLinks(2500*time.Millisecond, reach.Up)
	if len(turned) != 3 || turned[1] != (Link{"cloud", reach.Down}) || len(b.ChangedLinks(2500*time.Millisecond, reach.Up)) != 0 {
		t.Errorf("%v", turned)
	}
	if v := b.View(2500*time.Millisecond, reach.LinkStatus{Level: reach.Up}, "", []int{0}); len(v.Links) != 5 || len(v.Words) != 2 || v.Links[1].Level != "down" {
		t.Errorf("%+v", v)
	}
}
