package assignment

import (
	"slices"
	"testing"
	"time"

	"github.com/barrowbridge/barrowbridge/internal/reach"
	"github.com/barrowbridge/barrowbridge/wire"
)

// bookOf is the book of a, with b and c present, and the link to the cloud that it judges by.
func bookOf() (*Book, *reach.Link) {
	cloud := reach.NewLink(reach.LinkLimits{Late: time.Minute, Down: time.Second, Back: time.Second, BackMax: time.Second, Window: time.Minute})
	workers := reach.NewWorkers(reach.WorkerLimits{})
	present := map[string]wire.Node{"a": {Boot: 1, Zone: "n"}, "b": {Boot: 2, Zone: "s"}, "c": {Boot: 3, Zone: "n"}}
	return NewBook("a", zones, present, workers, cloud, rules,
		Limits{Keep: 2 * time.Second, Near: time.Second, Apart: 3 * time.Second, Cloud: 4 * time.Second, Home: 15 * time.Second, Few: 2, Share: 50}), cloud
}

// What a peer has just spoken goes before what it wrote, and what its earlier life wrote is nothing.
func TestTheNewestWordCounts(t *testing.T) {
	b, _ := bookOf()
	b.Wrote("b", wire.Reach{Boot: 2, Lacks: true})
	b.Wrote("c", wire.Reach{Boot: 1, Lacks: true})
	if !b.Of(time.Second, "b").Lacks || b.Of(time.Second, "c").Lacks {
		t.Error("a word of this life counts, an earlier life's does not")
	}
	b.Spoke(time.Second, "b", wire.Reach{Boot: 2, Seeks: []int{1, 4}})
	if w := b.Of(2*time.Second, "b"); w.Lacks || len(w.Seeks) != 2 {
		t.Errorf("spoken a second ago: %+v", w)
	}
	if s := b.Sought(2*time.Second, func(i int) bool { return i == 4 }); len(s) != 1 || !s[1] {
		t.Errorf("sought: %v", s)
	}
	if !b.Of(4*time.Second, "b").Lacks {
		t.Error("it was spoken long ago, the written word counts")
	}
	b.Withdrew("b")
	if b.Of(4*time.Second, "b").Lacks {
		t.Error("withdrawn")
	}
}

func TestWhoIsNearAndWhoApart(t *testing.T) {
	b, _ := bookOf()
	b.Watch(time.Second, nil, nil)
	b.Answered(2*time.Second, "b")
	if !b.Near(3*time.Second, "b") || b.Near(3500*time.Millisecond, "b") || b.Near(time.Second, "c") {
		t.Error("near is who has just answered")
	}
	if w := b.Own(4500*time.Millisecond, Self{Boot: 1}); !slices.Equal(w.Apart, []string{"c"}) || w.Boot != 1 {
		t.Errorf("%+v", w)
	}
}

// Calls to workers go through a peer once none is reached from here: one that is near and reaches some.
func TestToWorkers(t *testing.T) {
	b, _ := bookOf()
	b.workers = reach.NewWorkers(reach.WorkerLimits{Deaf: time.Minute, Crowd: reach.CrowdLimits{Least: 1500 * time.Millisecond}})
	b.Answered(3*time.Second, "b")
	b.Answered(3*time.Second, "c")
	b.Spoke(3*time.Second, "b", wire.Reach{Boot: 2, Lacks: true})
	if to := b.ToWorkers(3 * time.Second); to != "" {
		t.Errorf("workers may be reached, and calls go through %s", to)
	}
	for at := range 3 {
		b.workers.Watch(time.Duration(at)*time.Second, map[int]reach.Crowd{0: {Of: 6}})
	}
	b.workers.Watch(3*time.Second, nil) // all silent, given away
	if to := b.ToWorkers(3 * time.Second); to != "c" {
		t.Errorf("through %q", to)
	}
	if to := b.ToWorkers(9 * time.Second); to != "" {
		t.Errorf("through %s, which has not answered for 6 s", to)
	}
	if !b.Hears(9*time.Second, "a") || b.Hears(9*time.Second, "c") || !b.Hears(3500*time.Millisecond, "c") {
		t.Error("heard is who is near, or oneself")
	}
}

// A shard goes home once that has been there for long, has workers, and few machines are missed.
func TestGoesHome(t *testing.T) {
	b, _ := bookOf()
	rec := &wire.Shard{Holder: "a", Home: "b", Settled: true}
	at := func(now time.Duration) bool { return b.GoesHome(now, Self{Boot: 1}, 0, rec, time.Second, 0) }
	if at(15*time.Second) || !at(17*time.Second) {
		t.Error("after 15 s, and not sooner")
	}
	b.Spoke(18*time.Second, "b", wire.Reach{Lacks: true})
	b.Watch(18*time.Second, map[int]int{0: 2}, func(int) int { return 100 })
	if at(19*time.Second) || at(30*time.Second) || !at(34*time.Second) {
		t.Error("so long after it last lacked workers")
	}
	b.Moved(34*time.Second, &wire.Shard{Holder: "b", Boot: 1, Home: "b"}, rec) // taken from an earlier life
	if !at(34 * time.Second) {
		t.Error("it was dead, and is there for long")
	}
	b.Moved(34*time.Second, &wire.Shard{Holder: "b", Boot: 2, Home: "b"}, rec)
	if at(48*time.Second) || !at(50*time.Second) {
		t.Error("so long after it gave its shard away, whatever its word")
	}
	b.Watch(34*time.Second, map[int]int{0: 3}, func(int) int { return 100 })
	if at(50 * time.Second) {
		t.Error("many of its machines are missed")
	}
	b.Watch(50*time.Second, map[int]int{0: 3}, func(int) int { return 1000 })
	if rec.Settled = false; at(50 * time.Second) {
		t.Error("not settled")
	}
}

// Leadership is left to one that the cloud answers, by its word, once the cloud is not reached.
func TestLeadTo(t *testing.T) {
	b, cloud := bookOf()
	lead := Self{Boot: 1, Leading: true, Leader: "a"}
	b.Spoke(time.Second, "c", wire.Reach{Cloud: true})
	if to := b.LeadTo(time.Second, lead); to != "" {
		t.Errorf("the cloud may be reached, and %s leads", to)
	}
	cloud.Done(time.Second, 1, time.Second, reach.Silent)
	cloud.Done(1500*time.Millisecond, 2, 1500*time.Millisecond, reach.Silent)
	if to := b.LeadTo(2500*time.Millisecond, lead); to != "c" {
		t.Errorf("%q", to)
	}
	turned := b.Turned(2500*time.Millisecond, reach.Up)
	if len(turned) != 3 || turned[1] != (Link{"cloud", reach.Down}) || len(b.Turned(2500*time.Millisecond, reach.Up)) != 0 {
		t.Errorf("%v", turned)
	}
	if v := b.View(2500*time.Millisecond, reach.Judgement{Level: reach.Up}, "", []int{0}); len(v.Links) != 5 || len(v.Words) != 2 || v.Links[1].Level != "down" {
		t.Errorf("%+v", v)
	}
}
