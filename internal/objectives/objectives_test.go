package objectives

import (
	"math"
	"testing"

	"pgregory.net/rapid"
)

var limits = Limits{ReferenceCPUs: 10, HorizonS: 300, MinTimeS: 60, Headroom: 0.5}

func TestDue(t *testing.T) {
	a := Objectives{CompleteWithinS: map[string]float64{"tag": 400}}
	for _, x := range []struct {
		w    Work
		want float64
	}{
		{Work{Class: "tag", AcceptedS: 100, DueS: 30, EstimateS: 4}, 130}, // its own word counts
		{Work{Class: "tag", AcceptedS: 100, EstimateS: 4}, 500},
		{Work{Class: "tag", AcceptedS: 100}, math.Inf(1)}, // a service is never done
		{Work{Class: "other", AcceptedS: 100, EstimateS: 4}, math.Inf(1)},
	} {
		if got := a.Due(x.w); got != x.want {
			t.Errorf("%+v: due %v, want %v", x.w, got, x.want)
		}
	}
}

// A single task goes before an array of an hour that came a minute sooner, and the array
// before a single task that comes long after it.
func TestNobodyWaitsForEver(t *testing.T) {
	array := Work{AcceptedS: 0, Tasks: 900, EstimateS: 40, CPUs: 1}
	if limits.VirtualFinish(Work{AcceptedS: 60, Tasks: 1, EstimateS: 150, CPUs: 0.25}) >= limits.VirtualFinish(array) {
		t.Error("the single task waits behind the array")
	}
	if limits.VirtualFinish(Work{AcceptedS: 3700, Tasks: 1, EstimateS: 150, CPUs: 0.25}) <= limits.VirtualFinish(array) {
		t.Error("the array still waits after an hour")
	}
}

// Never more places than tasks, never none while there is work, and with as many places
// the work is done in the time that is left, if one task is.
func TestPlaces(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		rest, estimate := rapid.IntRange(1, 30000).Draw(t, "rest"), rapid.Float64Range(0.5, 500).Draw(t, "estimate")
		due := rapid.SampledFrom([]float64{math.Inf(1), 100, 400, 10000}).Draw(t, "due")
		n := limits.TargetParallelism(rest, estimate, due, 50)
		if n < 1 || n > rest {
			t.Fatalf("%d places for %d tasks", n, rest)
		}
		left := min(limits.HorizonS, max(limits.MinTimeS, (due-50)*limits.Headroom))
		if took := float64(rest) / float64(n) * estimate; took > max(left, estimate)*1.0001 {
			t.Fatalf("%d places take %v s of %v", n, took, left)
		}
	})
}

// Machines are asked for ahead where a slow boot and a fetch take longer than users wait; nothing is, of a
// class of which nobody has said how long they do.
func TestAhead(t *testing.T) {
	a := Objectives{StartWithinS: map[string]float64{"plan": 40}}
	for _, x := range []struct {
		class       string
		boot, fetch float64
		want        bool
	}{{"plan", 25, 10, true}, {"plan", 15, 10, false}, {"other", 100, 10, false}} {
		if got := a.RequestAhead(x.class, x.boot, x.fetch, 1.5); got != x.want {
			t.Errorf("%+v: %v", x, got)
		}
	}
}
