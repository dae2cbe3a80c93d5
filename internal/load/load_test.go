package load

import (
	"context"
	"math"
	"net/http"
	"net/http/httptest"
	"os"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/barrowbridge/barrowbridge/wire"
)

func plan(t *testing.T, text string) *Plan {
	t.Helper()
	p, err := ParsePlan("f.toml", []byte(text))
	if err != nil {
		t.Fatal(err)
	}
	return p
}

const simple = `name = "x"
for_s = 1.0
drain_s = 3.0
in_flight = 4
[[class]]
name = "a"
team = "red"
rate = 40.0
tasks = { kind = "fixed", mean = 1.0 }
cpus = 1.0
run_s = { kind = "fixed", mean = 1.0 }
`

// startFakeController starts a server that answers like a controller, each submission after
// wait, and returns a client of it.
func startFakeController(t *testing.T, wait time.Duration, status func(n int64) int) *Client {
	var n atomic.Int64
	srv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		st := wire.JobStatus{ID: "job-1", Status: wire.JobDone}
		code := 200
		if r.Method == http.MethodPost {
			time.Sleep(wait)
			if code = status(n.Add(1)); code == 503 {
				w.Header().Set("Retry-After", "2")
			}
		}
		b, err := wire.Marshal(st)
		if err != nil {
			t.Error(err)
		}
		w.WriteHeader(code)
		_, _ = w.Write(b)
	}))
	t.Cleanup(srv.Close)
	return NewClient([]string{strings.TrimPrefix(srv.URL, "http://")}, nil)
}

// TestHonestAboutASlowService guards against load results that hide an overloaded service: one
// that takes 400 ms for each submission, four at a time, cannot accept 40 a second. Submissions
// that were not sent must be counted, and latencies must be measured from the intended time of
// submission, not from when a slot was free.
func TestHonestAboutASlowService(t *testing.T) {
	p := plan(t, simple)
	o := Run(context.Background(), p, 1, 1, startFakeController(t, 400*time.Millisecond, func(int64) int { return 201 }), nil)
	if o.Sent+o.NotSent != o.Planned || o.NotSent == 0 || o.Sent > 16 {
		t.Errorf("%d planned, %d sent, %d not sent", o.Planned, o.Sent, o.NotSent)
	}
	if h := o.Classes[0].Accepted; h.TotalCount() != int64(o.Sent) || h.Min() < 399 {
		t.Errorf("%d accepted, the first after %d ms", h.TotalCount(), h.Min())
	}
	if o.Open != 0 || o.Classes[0].Done.TotalCount() != int64(o.Sent) {
		t.Errorf("%d open, %d done", o.Open, o.Classes[0].Done.TotalCount())
	}
}

// TestRefusedAndRepeated checks that a permanently refused job is not retried and is counted with
// its reason, and that a submission with Retry-After of 2 s is retried no sooner, with its latency
// measured from the first attempt.
func TestRefusedAndRepeated(t *testing.T) {
	p := plan(t, strings.Replace(simple, "rate = 40.0", "rate = 8.0", 1))
	o := Run(context.Background(), p, 1, 1, startFakeController(t, 0, func(int64) int { return 422 }), nil)
	if o.Refused != o.Sent || o.Sent == 0 || len(o.Why) != 1 {
		t.Errorf("%d of %d refused: %v", o.Refused, o.Sent, o.Why)
	}
	o = Run(context.Background(), p, 1, 1, startFakeController(t, 0, func(n int64) int {
		if n == 1 {
			return 503
		}
		return 201
	}), nil)
	if h := o.Classes[0].Accepted; h.TotalCount() != int64(o.Sent) || h.Max() < 2000 {
		t.Errorf("%d of %d accepted, the last after %d ms", h.TotalCount(), o.Sent, h.Max())
	}
}

// TestSchedule checks for random plans that the same seed gives the same arrivals, in order, within
// their time and bounds, and that their number fits the rates.
func TestSchedule(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		rate := rapid.Float64Range(5, 50).Draw(t, "rate")
		factor := rapid.Float64Range(0, 6).Draw(t, "factor")
		p := &Plan{Name: "x", ForS: 60, Most: 100000, InFlight: 1, Classes: []Class{{Name: "a", Team: "red", Rate: rate, CPUs: 1, Images: 3,
			Tasks: Dist{Kind: "lognormal", Median: 5, P95: 40, Max: 60}, RunS: Dist{Kind: "uniform", Min: 1, Max: 9},
			Bursts: []Burst{{AtS: 20, ForS: 20, Factor: factor}}}}}
		if err := p.check(); err != nil {
			t.Fatal(err)
		}
		seed := rapid.Uint64().Draw(t, "seed")
		a, left := p.Schedule(seed, 10)
		b, _ := p.Schedule(seed, 10)
		if left != 0 || len(a) != len(b) {
			t.Fatalf("%d and %d arrivals, %d left", len(a), len(b), left)
		}
		want := rate*40 + rate*20*factor
		if n := float64(len(a)); n < want-6*max(6, math.Sqrt(want)) || n > want+6*max(6, math.Sqrt(want)) {
			t.Fatalf("%g arrivals, want about %g", n, want)
		}
		last := time.Duration(0)
		for i, x := range a {
			if x.At < last || x.At >= time.Minute || x.At != b[i].At || *x.Spec.Tasks != *b[i].Spec.Tasks || *x.Spec.Tasks < 1 || *x.Spec.Tasks > 60 || *x.Spec.EstimateS < 1 || *x.Spec.EstimateS > 9 {
				t.Fatalf("arrival %d: %v, %d tasks of %g s", i, x.At, *x.Spec.Tasks, *x.Spec.EstimateS)
			}
			if _, err := x.Spec.Validate(); err != nil {
				t.Fatal(err)
			}
			last = x.At
		}
		p.Most = 7
		if few, left := p.Schedule(seed, 10); len(few) != min(7, len(a)) || left != len(a)-len(few) {
			t.Fatalf("%d and %d beyond the most of %d", len(few), left, len(a))
		}
	})
}

// TestPlanErrors checks that errors in a load file are reported in one line and that the shipped
// examples are valid.
func TestPlanErrors(t *testing.T) {
	for from, to := range map[string]string{`rate = 40.0`: "rate = -1.0", `kind = "fixed", mean = 1.0 }` + "\ncpus": `kind = "gauss" }` + "\ncpus",
		`team = "red"`: `taem = "red"`, `for_s = 1.0`: "for_s = nan", `in_flight = 4`: "in_flight = 0"} {
		_, err := ParsePlan("f.toml", []byte(strings.Replace(simple, from, to, 1)))
		if err == nil || strings.Contains(err.Error(), "\n") || !strings.HasPrefix(err.Error(), "f.toml") {
			t.Errorf("%s: %v", to, err)
		}
	}
	for _, name := range []string{"load.toml", "load-small-tasks.toml"} {
		b, err := os.ReadFile("../../examples/" + name)
		if err != nil {
			t.Fatal(err)
		}
		if _, err := ParsePlan(name, b); err != nil {
			t.Error(err)
		}
	}
}
