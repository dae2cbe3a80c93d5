package load

import (
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/barrowbridge/barrowbridge/internal/checker"
	"github.com/barrowbridge/barrowbridge/wire"
)

const piped = `name = "x"
for_s = 3.0
drain_s = 12.0
[[class]]
name = "scan"
team = "red"
rate = 3.0
tasks = { kind = "fixed", mean = 1.0 }
cpus = 1.0
run_s = { kind = "fixed", mean = 1.0 }
[[class]]
name = "clean"
team = "red"
priority = "idle"
tasks = { kind = "fixed", mean = 2.0 }
cpus = 1.0
run_s = { kind = "fixed", mean = 1.0 }
[[class]]
name = "join"
team = "blue"
tasks = { kind = "fixed", mean = 1.0 }
cpus = 1.0
run_s = { kind = "fixed", mean = 1.0 }
[[pipeline]]
name = "night"
rate = 4.0
priority = "urgent"
due_s = 60.0
late = 0.5
late_s = 0.2
cancel = 0.4
cancel_s = 1.5
stage = [
  { class = "clean", jobs = [1, 3] },
  { class = "clean", needs = ["clean"], earlier = "scan" },
  { class = "join", jobs = [1, 2], needs = ["clean"] },
]
`

// TestPipelineSchedule checks that each job comes after its predecessors, that only the last stage
// has the pipeline's priority and deadline, and that the same seed draws the same pipelines.
func TestPipelineSchedule(t *testing.T) {
	p := plan(t, strings.Replace(piped, "for_s = 3.0", "for_s = 200.0", 1))
	a, _ := p.Schedule(7, 100)
	b, _ := p.Schedule(7, 100)
	var specs [2][]wire.JobSpec
	late, cancelled, pipes, numbers := map[*pipelineRun]bool{}, map[*pipelineRun]bool{}, map[*pipelineRun]int{}, map[string]int{}
	for i := range a {
		specs[0], specs[1] = append(specs[0], a[i].Spec), append(specs[1], b[i].Spec)
		numbers[*a[i].Spec.ID] = i
		if a[i].pipeline == nil {
			continue
		}
		pipes[a[i].pipeline]++
		if a[i].late > 0 {
			late[a[i].pipeline] = true
		}
		if a[i].Lasts > 0 {
			cancelled[a[i].pipeline] = true
		}
	}
	if d := cmp.Diff(specs[0], specs[1]); d != "" {
		t.Fatal(d)
	}
	for i := range a {
		x := &a[i]
		last := *x.Spec.Class == "join"
		if got := x.Spec.DueS != nil; got != last || (*x.Spec.Priority == "urgent") != last {
			t.Fatalf("%s of class %s: deadline %v, %s", *x.Spec.ID, *x.Spec.Class, got, *x.Spec.Priority)
		}
		if x.late > 0 && !last {
			t.Fatalf("%s of class %s is late", *x.Spec.ID, *x.Spec.Class)
		}
		for _, n := range x.Spec.Predecessors {
			if numbers[n] >= i || a[numbers[n]].pipeline != x.pipeline {
				t.Fatalf("%s needs %s", *x.Spec.ID, n)
			}
		}
		if n := len(x.Spec.Predecessors); last && (n < 2 || !slices.Equal(x.Spec.Predecessors, x.pipeline.ids[:n])) {
			t.Fatalf("%s needs %v of %v", *x.Spec.ID, x.Spec.Predecessors, x.pipeline.ids)
		}
	}
	n := float64(len(pipes))
	if n < 700 || n > 900 || float64(len(late)) < 0.4*n || float64(len(late)) > 0.6*n || float64(len(cancelled)) < 0.3*n || float64(len(cancelled)) > 0.5*n {
		t.Errorf("%g pipelines, %d late, %d cancelled", n, len(late), len(cancelled))
	}
}

// service accepts jobs and reports each as done 700 ms after its predecessors.
type service struct {
	mu    sync.Mutex
	t     *testing.T
	specs map[string]wire.JobSpec
	done  map[string]time.Time // job -> when it is done; zero: cancelled
	late  int                  // last-stage jobs submitted after all their predecessors were over
	gone  int                  // number of cancelled jobs
}

func (s *service) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	id, abort := strings.CutSuffix(strings.TrimPrefix(r.URL.Path, "/v1/jobs/"), "/abort")
	code := 200
	switch {
	case abort:
		if s.done[id].IsZero() || time.Now().Before(s.done[id]) {
			s.gone++
			s.done[id] = time.Time{}
		}
	case r.Method == http.MethodPost:
		var spec wire.JobSpec
		b, _ := io.ReadAll(r.Body)
		if err := wire.Unmarshal(b, &spec); err != nil {
			s.t.Error(err)
		}
		id, code = *spec.ID, 201
		at, over := time.Now(), len(spec.Predecessors) > 0
		for _, n := range spec.Predecessors {
			d, known := s.done[n]
			if !known {
				s.t.Errorf("%s needs %s, which was not accepted yet", id, n)
			}
			if d.After(at) {
				at, over = d, false
			}
			if d.IsZero() {
				at = d
				break
			}
		}
		if over && *spec.Class == "join" {
			s.late++
		}
		s.specs[id] = spec
		s.done[id] = time.Time{}
		if !at.IsZero() {
			s.done[id] = at.Add(700 * time.Millisecond)
		}
	}
	st := wire.JobStatus{ID: id, Status: wire.JobQueued}
	if d := s.done[id]; d.IsZero() {
		st.Status = wire.JobAborted
	} else if time.Now().After(d) {
		st.Status = wire.JobDone
	}
	b, err := wire.Marshal(st)
	if err != nil {
		s.t.Error(err)
	}
	w.WriteHeader(code)
	_, _ = w.Write(b)
}

// checkerObserver passes submissions and their answers to a checker.
type checkerObserver struct {
	discardObserver
	mu sync.Mutex
	c  *checker.Checker
}

func (o *checkerObserver) Submitting(s wire.JobSpec) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.c.Submitting(s)
}

func (o *checkerObserver) Submitted(sentAt time.Duration, id string, status int, st wire.JobStatus) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.c.Submitted(o.Now(), sentAt, id, status, st)
}

// TestPipelinesAreOffered checks that jobs are submitted after their predecessors are accepted, late
// ones after these are over, that jobs are cancelled as planned, and that the checker receives each
// job before it is submitted.
func TestPipelinesAreOffered(t *testing.T) {
	s := &service{t: t, specs: map[string]wire.JobSpec{}, done: map[string]time.Time{}}
	srv := httptest.NewServer(s)
	t.Cleanup(srv.Close)
	o := &checkerObserver{discardObserver: discardObserver(time.Now()), c: checker.New(checker.Params{Teams: map[string]checker.Limit{"red": {CPUs: 1000}, "blue": {CPUs: 1000}}})}
	out := Run(context.Background(), plan(t, piped), 3, 1, NewClient([]string{strings.TrimPrefix(srv.URL, "http://")}, o), nil)
	s.mu.Lock()
	defer s.mu.Unlock()
	if out.Sent != out.Planned || out.NotSent+out.Lost+out.Refused+out.Open > 0 || len(s.specs) != out.Sent {
		t.Errorf("%+v", out)
	}
	var counted, done int64
	for _, l := range out.Classes {
		counted += l.Done.TotalCount()
	}
	for _, d := range s.done {
		if !d.IsZero() {
			done++
		}
	}
	if counted != done { // a cancellation that came too late is answered with done, too
		t.Errorf("%d done, %d counted", done, counted)
	}
	earlier := 0
	for id, x := range s.specs {
		if !o.c.Accepted(id) {
			t.Errorf("the checker did not receive the acceptance of %s", id)
		}
		if *x.Class == "clean" && len(x.Predecessors) > 0 && *s.specs[x.Predecessors[len(x.Predecessors)-1]].Class == "scan" {
			earlier++
		}
	}
	if s.late == 0 || s.gone == 0 || earlier == 0 || out.Due == 0 || out.Met != out.Due {
		t.Errorf("%d late, %d cancelled, %d need an earlier one, %d of %d by their deadline", s.late, s.gone, earlier, out.Met, out.Due)
	}
}

// TestWhatNeedsARefusedJob checks that a job is not sent if a predecessor was refused.
func TestWhatNeedsARefusedJob(t *testing.T) {
	p := plan(t, strings.Replace(piped, "rate = 3.0", "rate = 0.0001", 1))
	o := Run(context.Background(), p, 3, 1, startFakeController(t, 0, func(int64) int { return 422 }), nil)
	first := 0
	list, _ := p.Schedule(3, 1)
	for _, a := range list {
		if len(a.Spec.Predecessors) == 0 {
			first++
		}
	}
	if o.Refused != first || o.NotSent != o.Planned-first || first == 0 || first == o.Planned {
		t.Errorf("%d refused, %d not sent of %d, %d need nothing", o.Refused, o.NotSent, o.Planned, first)
	}
}

// TestPipelineErrors checks that errors in a pipeline are reported in one line and that the shipped
// examples are valid.
func TestPipelineErrors(t *testing.T) {
	for from, to := range map[string]string{`needs = ["clean"] }`: `needs = ["join"] }`, `earlier = "scan"`: `earlier = "scam"`, `jobs = [1, 3]`: "jobs = [3, 1]",
		`class = "join", jobs`: `class = "jion", jobs`, `due_s = 60.0`: "due_s = -1.0", `late = 0.5`: "late = 1.5", `rate = 4.0`: "rate = 0.0", `name = "night"`: `name = ""`,
		`priority = "urgent"`: `priority = "high"`, `name = "join"`: `name = "mend"`, "team = \"blue\"": "team = \"blue\"\nshape = \"service\""} {
		_, err := ParsePlan("f.toml", []byte(strings.Replace(piped, from, to, 1)))
		if err == nil || strings.Contains(err.Error(), "\n") || !strings.HasPrefix(err.Error(), "f.toml") {
			t.Errorf("%s: %v", to, err)
		}
	}
	files, _ := filepath.Glob("../../examples/load*.toml")
	if len(files) < 2 {
		t.Errorf("examples: %v", files)
	}
	for _, f := range files {
		b, err := os.ReadFile(f)
		if err != nil {
			t.Fatal(err)
		}
		p, err := ParsePlan(f, b)
		if err != nil {
			t.Fatal(err)
		}
		list, _ := p.Schedule(1, 1)
		for _, a := range list {
			if _, err := a.Spec.Validate(); err != nil {
				t.Errorf("%s: %v", f, err)
			}
		}
	}
}
