package dependency

import (
	"fmt"
	"math"
	"slices"
	"testing"

	"pgregory.net/rapid"
)

func name(i int) string { return fmt.Sprintf("job-%03d", i) }

// Compares the graph with a model that knows the state of every job: a waiting job is cancelled if
// any of its direct or indirect predecessors is, and ready once all are done. The graph, given the
// ends in any order, returns the same or asks for ends that it does not know, at most once for each
// job.
func TestEvaluationsFollowFromEnds(t *testing.T) {
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
				evaluation := g.Evaluate(name(i), func(id string) bool { return state[at(id)] == "live" })
				if evaluation.Outcome == Unknown {
					if len(evaluation.MissingEnds) == 0 {
						t.Fatal("the outcome is unknown, but no ends are missing")
					}
					for _, p := range evaluation.MissingEnds {
						if s := state[at(p)]; s == "live" || s == "waiting" {
							t.Fatalf("asks for the end of %s, which is %s", p, s)
						}
						g.RecordEnd(p, state[at(p)] == "done", "")
					}
					continue
				}
				if evaluation.Outcome != want {
					t.Fatalf("%s: %v, want %v", name(i), evaluation.Outcome, want)
				}
				if evaluation.Outcome == Cancelled && state[at(evaluation.CancelledBy)] != "aborted" {
					t.Fatalf("%s: cancelled by %s, which is %s", name(i), evaluation.CancelledBy, state[at(evaluation.CancelledBy)])
				}
				want = -1
				break
			}
			if want != -1 {
				t.Fatalf("%s: no final outcome", name(i))
			}
		}
	})
}

// Only the last job has a deadline and a priority. Its predecessors inherit them in a diamond and
// along a path of thirty jobs.
func TestPredecessorsInherit(t *testing.T) {
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
		t.Errorf("the longest path after a takes %v, want 35", d.DurationSeconds)
	}
	if got := g.Descendants("a"); !slices.Equal(got, []string{"b", "c", "d"}) {
		t.Errorf("after a: %v", got)
	}
	if got := g.Ancestors("d"); !slices.Equal(got, []string{"b", "c", "a"}) {
		t.Errorf("before d: %v", got)
	}
	g.Remove("d")
	if d := g.Inherited("a"); !math.IsInf(d.Due, 1) || d.Priority != 0 {
		t.Errorf("a inherits %+v from a removed job", d)
	}
	path := New()
	for i := 1; i < 30; i++ {
		path.Put(name(i), []string{name(i - 1)}, with(2))
	}
	path.Put(name(30), []string{name(29)}, last)
	if d := path.Inherited(name(0)); d.Due != 1000-5-29*2 || d.TierRank != 3 {
		t.Errorf("the first of thirty inherits %+v", d)
	}
	// Twenty layers of two jobs: 2 to the 20th paths, but each job is evaluated once.
	wide := New()
	for i := 1; i <= 20; i++ {
		p := []string{fmt.Sprintf("%da", i-1), fmt.Sprintf("%db", i-1)}
		wide.Put(fmt.Sprintf("%da", i), p, with(1))
		wide.Put(fmt.Sprintf("%db", i), p, with(1))
	}
	if d := wide.Inherited("0a"); d.DurationSeconds != 20 {
		t.Errorf("the longest path takes %v, want 20", d.DurationSeconds)
	}
	if v := wide.Evaluate("20a", func(string) bool { return true }); v.Outcome != Waiting {
		t.Errorf("evaluated as %v", v)
	}
}

// Ends of jobs that no waiting job names are removed, and a recorded end never changes.
func TestEndsAreFinal(t *testing.T) {
	g := New()
	g.RecordEnd("a", true, "")
	g.Put("b", []string{"a", "x"}, Requirement{})
	live := func(id string) bool { return id == "x" }
	if v := g.Evaluate("b", live); v.Outcome != Unknown || !slices.Equal(v.MissingEnds, []string{"a"}) {
		t.Fatalf("an end recorded before any job waits for it: %+v", v)
	}
	g.RecordEnd("a", false, "root")
	g.RecordEnd("a", true, "")
	if v := g.Evaluate("b", live); v.Outcome != Cancelled || v.CancelledBy != "root" {
		t.Fatalf("evaluated as %+v", v)
	}
	g.Remove("b")
	if len(g.ends)+len(g.dependents) > 0 {
		t.Fatalf("not removed: %v %v", g.ends, g.dependents)
	}
}

// A job can start when the last of its predecessors ends, but not while one of them waits itself,
// and never if one is cancelled.
func TestStartDelay(t *testing.T) {
	g := New()
	g.Put("c", []string{"a", "b"}, Requirement{})
	g.Put("d", []string{"c"}, Requirement{})
	left := map[string]float64{"a": 7, "b": 3}
	remaining := func(id string) float64 { return left[id] }
	if got := g.StartDelay("c", remaining); got != 7 {
		t.Errorf("c starts in %v s, want 7", got)
	}
	if got := g.StartDelay("d", remaining); !math.IsInf(got, 1) {
		t.Errorf("d has a waiting predecessor, but starts in %v s", got)
	}
	g.RecordEnd("a", true, "")
	if got := g.StartDelay("c", remaining); got != 3 {
		t.Errorf("c starts in %v s, want 3", got)
	}
	g.RecordEnd("b", false, "b")
	if got := g.StartDelay("c", remaining); !math.IsInf(got, 1) {
		t.Errorf("c is cancelled, but starts in %v s", got)
	}
	s := JobEstimate{Tasks: 1, TaskSeconds: 20}
	if a, b := s.RemainingSeconds(5), s.RemainingSeconds(50); a != 15 || b != 0 {
		t.Errorf("%v and %v s remain of 20 after 5 and 50", a, b)
	}
}
