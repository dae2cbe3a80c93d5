package site

import (
	"bytes"
	"context"
	"net/http"
	"net/http/httptest"
	"os"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/barrowbridge/barrowbridge/internal/cborhttp"
	"github.com/barrowbridge/barrowbridge/internal/checker"
	"github.com/barrowbridge/barrowbridge/internal/node/nodetest"
	"github.com/barrowbridge/barrowbridge/internal/standin/worker"
	"github.com/barrowbridge/barrowbridge/wire"
)

// TestMain lets the test binary serve as the controller executable that the site starts.
func TestMain(m *testing.M) {
	nodetest.ServeIfAsked()
	os.Exit(m.Run())
}

// start starts a small site with short leases and waits until its controllers are ready.
func start(t *testing.T, observe func(Event)) *Site {
	t.Helper()
	spec := Default()
	spec.Program, spec.Dir, spec.LogLevel = os.Args[0], t.TempDir(), "info"
	spec.Machines, spec.Report, spec.Lease = 4, 500*time.Millisecond, 3*time.Second
	s := New(spec, quiet(), observe)
	ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
	t.Cleanup(func() { s.Stop(); cancel() })
	if err := s.Start(ctx); err != nil {
		t.Fatal(err)
	}
	if err := s.WaitReady(ctx); err != nil {
		t.Fatal(err)
	}
	return s
}

func until(t *testing.T, what string, ok func() bool) {
	t.Helper()
	for end := time.Now().Add(20 * time.Second); !ok(); time.Sleep(20 * time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("condition not met within 20 s: %s", what)
		}
	}
}

// TestEveryFaultIsLifted stages every kind of fault, all overlapping, and lifts them
// in reverse order. It guards against faults that leave something behind: afterwards
// no fault, delay or limit is left, all controllers are ready, the killed one was
// started twice, and only the machine that died is gone.
func TestEveryFaultIsLifted(t *testing.T) {
	s := start(t, nil)
	until(t, "machines are up", func() bool { return len(s.Machines()) == 4 })
	var ids []uint64
	for _, k := range Kinds {
		f := Fault{Kind: k.Name, Value: max(k.Min, min(k.Max, 0.5))}
		switch k.Target {
		case "controllers":
			f.Target = "c1"
		case "machines":
			f.Target = "n-000001"
		case "parties":
			f.Target, f.Peer, f.Mode, f.Value = "c0", "c2", "hold", 0
		}
		if k.Name == "machine_die" || k.Name == "spot_taken" {
			f.Target = "n-000003"
		}
		if k.Name == "spot_taken" { // the machine died before, so the target names no machine
			if _, err := s.Stage(f); err == nil {
				t.Error("a fault on a machine that is gone was staged")
			}
			continue
		}
		a, err := s.Stage(f)
		if err != nil {
			t.Fatalf("%s: %v", k.Name, err)
		}
		ids = append(ids, a.ID)
	}
	if s.Controller("c1").Alive() {
		t.Error("a killed controller is running")
	}
	for i := len(ids) - 1; i >= 0; i-- {
		if !s.Lift(ids[i]) || s.Lift(ids[i]) {
			t.Errorf("fault %d was not lifted exactly once", ids[i])
		}
	}
	if s.limits != s.Spec.State {
		t.Errorf("the state service still has limits %+v after all faults were lifted", s.limits)
	}
	if len(s.Faults()) != 0 || len(s.slow)+len(s.late)+len(s.mute) != 0 || s.store.Trouble.Down || s.cloud.Trouble.Down {
		t.Errorf("effects remain after all faults were lifted: state %+v, cloud %+v", s.store.Trouble, s.cloud.Trouble)
	}
	ctx, cancel := context.WithTimeout(context.Background(), 20*time.Second)
	defer cancel()
	if err := s.WaitReady(ctx); err != nil {
		t.Fatal(err)
	}
	if s.Controller("c1").Lives() != 2 {
		t.Errorf("c1 was started %d times, want 2", s.Controller("c1").Lives())
	}
	if len(s.Machines()) != 3 {
		t.Errorf("%d machines, want 3", len(s.Machines()))
	}
}

// TestHungMachineGoesOn guards against tasks that run twice after a hang: a machine
// that hangs past its lease resumes without its tasks, they run elsewhere and are
// started at most once more, and the checker finds no violation.
func TestHungMachineGoesOn(t *testing.T) {
	var mu sync.Mutex
	starts := map[string]int{}
	s := start(t, func(e Event) {
		mu.Lock()
		defer mu.Unlock()
		if e.Kind == TaskStarted {
			starts[e.Task]++
		}
	})
	id, team, shape, prio, image := "job-000001", "red", wire.ShapeService, "urgent", "img"
	tasks, one, zero, no := int64(2), 1.0, 0.0, false
	spec := wire.JobSpec{ID: &id, Class: &image, Team: &team, Shape: &shape, Priority: &prio, Tasks: &tasks, CPUs: &one, GPUs: &zero, MemoryGB: &one,
		OneZone: &no, Spread: &no, Spot: &no, Image: &image, ImageGB: &zero, EstimateS: &zero, CheckpointEvery: &zero, SaveS: &zero}
	rec, err := spec.Validate()
	if err != nil {
		t.Fatal(err)
	}
	s.Upload(spec, worker.FromRecord(rec, nil))
	submit(t, s, spec)
	until(t, "both replicas run", func() bool { return len(s.Running(id)) == 2 })
	victim := s.Running(id)[0]
	if _, err := s.Stage(Fault{Kind: "machine_hang", Target: victim, ForS: 5}); err != nil {
		t.Fatal(err)
	}
	until(t, "the replicas run elsewhere", func() bool {
		r := s.Running(id)
		return len(r) >= 2 && !strings.Contains(strings.Join(r, " "), victim)
	})
	until(t, "the machine resumes", func() bool { return len(s.Faults()) == 0 })
	time.Sleep(time.Second)
	mu.Lock()
	defer mu.Unlock()
	for task, n := range starts {
		if n > 2 {
			t.Errorf("%s was started %d times", task, n)
		}
	}
	s.Check(func(now time.Duration, c *checker.Checker) {
		for _, v := range c.Finish(now) {
			t.Error(v)
		}
	})
}

// TestFaultChecks checks that an invalid fault is refused with a one-line error that
// begins with the invalid field.
func TestFaultChecks(t *testing.T) {
	for want, f := range map[string]Fault{
		"kind: ":                     {Kind: "state_dwon"},
		"target: machine_hang needs": {Kind: "machine_hang"},
		"target: state_down has":     {Kind: "state_down", Target: "c0"},
		"value: seconds":             {Kind: "state_slow", Value: -1},
		"value: state_down has":      {Kind: "state_down", Value: 1},
		"for_s: ":                    {Kind: "state_down", ForS: -1},
		"mode: ":                     {Kind: "link", Target: "c0", Peer: "c1", Mode: "bend"},
		"peer: ":                     {Kind: "link", Target: "c0", Mode: "hold"},
		"mode, peer":                 {Kind: "state_down", Mode: "hold"},
	} {
		if err := f.Check(); err == nil || !strings.HasPrefix(err.Error(), want) || strings.Contains(err.Error(), "\n") {
			t.Errorf("%+v: %v, want %q", f, err, want)
		}
	}
}

// submit sends a job to a controller until it is accepted.
func submit(t *testing.T, s *Site, spec wire.JobSpec) {
	t.Helper()
	until(t, "the job is accepted", func() bool { return post(s, spec) == 201 || post(s, spec) == 200 })
}

func post(s *Site, spec wire.JobSpec) int {
	sentAt := s.Now()
	status, raw, err := cborhttp.RoundTrip(context.Background(), http.DefaultClient, http.MethodPost, "http://"+s.Public()[0]+"/v1/jobs", spec)
	if err != nil {
		return 0
	}
	var st wire.JobStatus
	_ = wire.Unmarshal(raw, &st)
	s.Check(func(now time.Duration, c *checker.Checker) { c.Submitted(now, sentAt, *spec.ID, status, st) })
	return status
}

// TestLateWrites checks that a change under state_late_writes gets no answer and is
// executed seconds later, after a newer change.
func TestLateWrites(t *testing.T) {
	s := start(t, nil)
	e := s.stateServer("c0")
	commit := func(key string, wait time.Duration) int {
		body, err := wire.Marshal(wire.Txn{Then: []wire.Change{{Put: key, Value: "v"}}})
		if err != nil {
			t.Fatal(err)
		}
		ctx, cancel := context.WithTimeout(context.Background(), wait)
		defer cancel()
		rec := httptest.NewRecorder()
		req := httptest.NewRequestWithContext(ctx, http.MethodPost, "/commit", bytes.NewReader(body))
		req.Header.Set("Content-Type", "application/cbor")
		done := make(chan struct{})
		go func() { e.ServeHTTP(rec, req); close(done) }()
		select {
		case <-done:
			return rec.Code
		case <-ctx.Done():
			return 0 // like a client that has given up
		}
	}
	versionOf := func(key string) uint64 {
		s.mu.Lock()
		defer s.mu.Unlock()
		it, _ := s.store.Peek(key)
		return it.Version
	}
	a, err := s.Stage(Fault{Kind: "state_late_writes", Value: 1})
	if err != nil {
		t.Fatal(err)
	}
	began := time.Now()
	if code := commit("test/late", 300*time.Millisecond); code != 0 || versionOf("test/late") != 0 {
		t.Errorf("the delayed change was answered %d and has version %d, want neither yet", code, versionOf("test/late"))
	}
	s.Lift(a.ID)
	if code := commit("test/newer", 5*time.Second); code != 200 {
		t.Fatalf("a change after the fault was answered %d, want 200", code)
	}
	newer := versionOf("test/newer")
	until(t, "the change is executed", func() bool { return versionOf("test/late") != 0 })
	if took := time.Since(began); took < lateWriteLeast || took > lateWriteMost+time.Second || versionOf("test/late") < newer {
		t.Errorf("the delayed change was executed after %v with version %d, the newer one has version %d", took, versionOf("test/late"), newer)
	}
}
