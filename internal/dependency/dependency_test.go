package dependency

import (
	"fmt"
	"math"
	"slices"
	"testing"

	"pgregory.net/rapid"
)

func name(i int) string { return fmt.Sprintf("job-%03d", i) }

// A model that knows of every job how it stands: a waiting job is cancelled if any job before it
// is, ready once all are done; the graph, told of ends in any order, says the same or asks for
// ends that it lacks, and never more often than there are jobs.
func TestVerdictsFollowFromEnds(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(2, 12).Draw(t, "jobs")
		preds := make([][]string, n)
		state := make([]string, n) // live, done, aborted; a waiting one has predecessors
		g := New()
		for i := range n {
			for p := range i {
				if rapid.IntRange(0, 3).Draw(t, "edge") == 0 {
					preds[i] = append(preds[i], name(p))
				}
			}
			state[i] = rapid.SampledFrom([]string{"live", "done", "aborted"}).Draw(t, "state")
			if len(preds[i]) > 0 && rapid.IntRange(0, 3).Draw(t, "waits") > 0 {
				state[i] = "waiting"
				g.Put(name(i), preds[i], Requirement{Due: math.Inf(1)})
			}
		}
		at := func(id string) int { var i int; _, _ = fmt.Sscanf(id, "job-%03d", &i); return i }
		var cancelled func(i int) bool
		cancelled = func(i int) bool {
			if state[i] != "waiting" {
				return state[i] == "aborted"
			}
			return slices.ContainsFunc(preds[i], func(p string) bool { return cancelled(at(p)) })
		}
		for i := range n {
			if state[i] != "waiting" {
				continue
			}
			want := Waiting
			switch {
			case cancelled(i):
				want = Cancelled
			case !slices.ContainsFunc(preds[i], func(p string) bool { return state[at(p)] != "done" }):
				want = Ready
			}
			for range n + 1 {
				v := g.Evaluate(name(i), func(id string) bool { return state[at(id)] == "live" })
				if v.Outcome == Unknown {
					if len(v.MissingEnds) == 0 {
						t.Fatal("asks for nothing")
					}
					for _, p := range v.MissingEnds {
						if s := state[at(p)]; s == "live" || s == "waiting" {
							t.Fatalf("asks for the end of %s, which is %s", p, s)
						}
						g.RecordEnd(p, state[at(p)] == "done", "")
					}
					continue
				}
				if v.Outcome != want {
					t.Fatalf("%s: %v, want %v", name(i), v.Outcome, want)
				}
				if v.Outcome == Cancelled && state[at(v.CancelledBy)] != "aborted" {
					t.Fatalf("%s: by %s, which is %s", name(i), v.CancelledBy, state[at(v.CancelledBy)])
				}
				want = -1
				break
			}
			if want != -1 {
				t.Fatalf("%s: no verdict", name(i))
			}
		}
	})
}

// The last job alone has a deadline and a priority; a diamond, and a way of thirty.
func TestThoseBeforeInherit(t *testing.T) {
	g := New()
	none := Requirement{Priority: 0, TierRank: 1, Due: math.Inf(1)}
	with := func(length float64) Requirement { d := none; d.DurationSeconds = length; return d }
	g.Put("b", []string{"a"}, with(10))
	g.Put("c", []string{"a"}, with(30))
	last := Requirement{Priority: 2, TierRank: 3, Due: 1000, DurationSeconds: 5}
	g.Put("d", []string{"b", "c"}, last)
	for id, due := range map[string]float64{"d": math.Inf(1), "c": 995, "b": 995, "a": 965} {
		if d := g.Inherited(id); d.Due != due || id != "d" && (d.Priority != 2 || d.TierRank != 3) {
			t.Errorf("%s inherits %+v, want due %v", id, d, due)
		}
	}
	if d := g.Inherited("a"); d.DurationSeconds != 35 {
		t.Errorf("the longest way after a takes %v, want 35", d.DurationSeconds)
	}
	if got := g.Descendants("a"); !slices.Equal(got, []string{"b", "c", "d"}) {
		t.Errorf("after a: %v", got)
	}
	if got := g.Ancestors("d"); !slices.Equal(got, []string{"b", "c", "a"}) {
		t.Errorf("before d: %v", got)
	}
	g.Remove("d")
	if d := g.Inherited("a"); !math.IsInf(d.Due, 1) || d.Priority != 0 {
		t.Errorf("a inherits %+v of a job that is gone", d)
	}
	way := New()
	for i := 1; i < 30; i++ {
		way.Put(name(i), []string{name(i - 1)}, with(2))
	}
	way.Put(name(30), []string{name(29)}, last)
	if d := way.Inherited(name(0)); d.Due != 1000-5-29*2 || d.TierRank != 3 {
		t.Errorf("the first of thirty inherits %+v", d)
	}
	// Two layers of each width: as many ways as 2 to the 20th, each looked at once.
	wide := New()
	for i := 1; i <= 20; i++ {
		p := []string{fmt.Sprintf("%da", i-1), fmt.Sprintf("%db", i-1)}
		wide.Put(fmt.Sprintf("%da", i), p, with(1))
		wide.Put(fmt.Sprintf("%db", i), p, with(1))
	}
	if d := wide.Inherited("0a"); d.DurationSeconds != 20 {
		t.Errorf("the longest way takes %v, want 20", d.DurationSeconds)
	}
	if v := wide.Evaluate("20a", func(string) bool { return true }); v.Outcome != Waiting {
		t.Errorf("judged %v", v)
	}
}

// Ends that nobody waits for are forgotten, and one that is known never changes.
func TestEndsAreFinal(t *testing.T) {
	g := New()
	g.RecordEnd("a", true, "")
	g.Put("b", []string{"a", "x"}, Requirement{})
	live := func(id string) bool { return id == "x" }
	if v := g.Evaluate("b", live); v.Outcome != Unknown || !slices.Equal(v.MissingEnds, []string{"a"}) {
		t.Fatalf("an end told before anybody waits: %+v", v)
	}
	g.RecordEnd("a", false, "root")
	g.RecordEnd("a", true, "")
	if v := g.Evaluate("b", live); v.Outcome != Cancelled || v.CancelledBy != "root" {
		t.Fatalf("judged %+v", v)
	}
	g.Remove("b")
	if len(g.ends)+len(g.dependents) > 0 {
		t.Fatalf("kept: %v %v", g.ends, g.dependents)
	}
}

// A job begins when the last of those that it names ends; not as long as one of them waits itself, never if
// one is cancelled.
func TestBegins(t *testing.T) {
	g := New()
	g.Put("c", []string{"a", "b"}, Requirement{})
	g.Put("d", []string{"c"}, Requirement{})
	left := map[string]float64{"a": 7, "b": 3}
	ends := func(id string) float64 { return left[id] }
	if got := g.StartDelay("c", ends); got != 7 {
		t.Errorf("c begins in %v s, want 7", got)
	}
	if got := g.StartDelay("d", ends); !math.IsInf(got, 1) {
		t.Errorf("d awaits one that waits, and begins in %v s", got)
	}
	g.RecordEnd("a", true, "")
	if got := g.StartDelay("c", ends); got != 3 {
		t.Errorf("c begins in %v s, want 3", got)
	}
	g.RecordEnd("b", false, "b")
	if got := g.StartDelay("c", ends); !math.IsInf(got, 1) {
		t.Errorf("c is cancelled, and begins in %v s", got)
	}
	s := JobEstimate{Tasks: 1, TaskSeconds: 20}
	if a, b := s.RemainingSeconds(5), s.RemainingSeconds(50); a != 15 || b != 0 {
		t.Errorf("%v and %v s are left of 20 after 5 and 50", a, b)
	}
}
