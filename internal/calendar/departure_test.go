package calendar

import (
	"testing"
	"time"

	"github.com/barrowbridge/barrowbridge/wire"
)

func TestDeparture(t *testing.T) {
	leaves := time.UnixMilli(1e12)
	live, done := map[string]bool{"a": true, "b": true, "c": true}, map[string]bool{}
	of := func(id string) (bool, bool) { return live[id], done[id] }
	d := NewDeparture(leaves.UnixMilli())
	d.Update(leaves.Add(-time.Minute), leaves, []string{"a", "b", "c"}, of)
	delete(live, "a")
	done["a"] = true
	delete(live, "c") // cancelled
	d.Update(leaves.Add(-time.Second), leaves, []string{"b"}, of)
	if _, over := d.Outcome(leaves.Add(-time.Second), leaves, 1, time.Minute, "why"); over {
		t.Error("over before the departure")
	}
	if _, over := d.Outcome(leaves.Add(time.Second), leaves, 1, time.Minute, "why"); over {
		t.Error("over while a job is open")
	}
	if o, over := d.Outcome(leaves.Add(time.Minute), leaves, 1, time.Minute, "why"); !over || o.LateS != 60 || o.Why != "why" {
		t.Errorf("after the delay: %+v %v", o, over)
	}
	delete(live, "b")
	done["b"] = true
	d.Update(leaves.Add(30*time.Second), leaves, nil, of)
	d.Update(leaves.Add(40*time.Second), leaves, nil, of) // counted once
	if o, over := d.Outcome(leaves.Add(40*time.Second), leaves, 0, time.Minute, "why"); !over || o.Jobs != 2 || o.Met != 1 || o.LateS != 30 || o.Why != "" {
		t.Errorf("%+v %v", o, over)
	}
	if d.SetMisses(0) || !d.SetMisses(2) || d.SetMisses(3) || !d.SetMisses(0) {
		t.Error("SetMisses must report each change to and from zero once")
	}
}

func TestReviseKeepsWhatOperatorsDoNotSet(t *testing.T) {
	yes := func(string) bool { return true }
	now := at("2026-03-02T10:00:00Z")
	want := crew(func(c *wire.Crew) { c.Booked = []wire.CrewBooking{{Request: "mine"}} })
	first, err := Revise(nil, *want, want.Name, now, "c0", 3, yes, yes)
	if err != nil || len(first.Booked) != 0 || len(first.History) != 1 || first.History[0].What != "added" {
		t.Fatalf("%+v %v", first, err)
	}
	first.Past = []wire.CrewOutcome{{Jobs: 7}}
	next, err := Revise(&first, *want, want.Name, now, "c1", 3, yes, yes)
	if err != nil || len(next.Past) != 1 || len(next.History) != 2 || next.History[1].Node != "c1" || len(first.History) != 1 {
		t.Errorf("%+v %v", next, err)
	}
	want.Team = "nobody"
	if _, err := Revise(nil, *want, want.Name, now, "c0", 3, func(string) bool { return false }, yes); err == nil {
		t.Error("an unknown team is accepted")
	}
}

func TestBookingsAreSplit(t *testing.T) {
	c := crew(func(c *wire.Crew) { c.Booked = nil })
	AddBookings(c, 9, wire.CrewBooking{LeavesMS: 5, Count: 70}, 32)
	n, names := 0, map[string]bool{}
	for _, b := range c.Booked {
		n += b.Count
		names[b.Request] = true
		if b.Count > 32 || b.LeavesMS != 5 {
			t.Errorf("%+v", b)
		}
	}
	if n != 70 || len(names) != 3 {
		t.Errorf("%d machines in %d bookings", n, len(names))
	}
}
