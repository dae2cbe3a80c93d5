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
		{Work{Class: "tag", AcceptedS: 100, DueS: 30, EstimateS: 4}, 130}, // its own deadline takes precedence
		{Work{Class: "tag", AcceptedS: 100, EstimateS: 4}, 500},
		{Work{Class: "tag", AcceptedS: 100}, math.Inf(1)}, // a service never completes
		{Work{Class: "other", AcceptedS: 100, EstimateS: 4}, math.Inf(1)},
	} {
		if got := a.Due(x.w); got != x.want {
			t.Errorf("%+v: due %v, want %v", x.w, got, x.want)
		}
	}
}

// A single task goes before an array that takes an hour and was accepted a minute earlier. The array
// goes before a single task that is accepted long after it.
func TestNoJobStarves(t *testing.T) {
	array := Work{AcceptedS: 0, Tasks: 900, EstimateS: 40, CPUs: 1}
	if limits.VirtualFinish(Work{AcceptedS: 60, Tasks: 1, EstimateS: 150, CPUs: 0.25}) >= limits.VirtualFinish(array) {
		t.Error("the single task goes after the array")
	}
	if limits.VirtualFinish(Work{AcceptedS: 3700, Tasks: 1, EstimateS: 150, CPUs: 0.25}) <= limits.VirtualFinish(array) {
		t.Error("after an hour the array still goes after new single tasks")
	}
}

// There are never more places than tasks, and never none while there is work. With the returned
// number the work is done in the time that is left, unless one task alone takes longer.
func TestTargetParallelism(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		unfinished, estimate := rapid.IntRange(1, 30000).Draw(t, "unfinished"), rapid.Float64Range(0.5, 500).Draw(t, "estimate")
		due := rapid.SampledFrom([]float64{math.Inf(1), 100, 400, 10000}).Draw(t, "due")
		n := limits.TargetParallelism(unfinished, estimate, due, 50)
		if n < 1 || n > unfinished {
			t.Fatalf("%d tasks at a time of %d", n, unfinished)
		}
		left := min(limits.HorizonS, max(limits.MinTimeS, (due-50)*limits.Headroom))
		if took := float64(unfinished) / float64(n) * estimate; took > max(left, estimate)*1.0001 {
			t.Fatalf("%d tasks at a time take %v s of %v s", n, took, left)
		}
	})
}

// Machines are requested ahead where a slow boot and a fetch take longer than the objective of the
// class. For a class without an objective nothing is.
func TestRequestAhead(t *testing.T) {
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
