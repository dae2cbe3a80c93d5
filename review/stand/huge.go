package stand

import (
	"context"
	"fmt"
	"io"
	"log/slog"
	"net/http"
	"os"
	"strings"
	"sync"
	"time"

	"github.com/barrowbridge/barrowbridge/internal/load"
	"github.com/barrowbridge/barrowbridge/internal/standin/cloud"
	"github.com/barrowbridge/barrowbridge/internal/standin/site"
	"github.com/barrowbridge/barrowbridge/internal/standin/state"
	"github.com/barrowbridge/barrowbridge/internal/standin/worker"
	"github.com/barrowbridge/barrowbridge/wire"
)

// Lease is lease_s of the deployment.
const Lease = 10 * time.Second

const (
	guest   = "tech-school-lifts"
	settle  = 20 * time.Second // until the services run and the huge array comes
	hugeJob = "job-900000"
)

// HugeArray is the one array of a guest team.
type HugeArray struct {
	Tasks       int
	CPUs, MemGB float64       // of each task
	Observe     time.Duration // from its submission on
}

// Seen is what was seen of a deployment with a huge array.
type Seen struct {
	Unready time.Duration // the longest time for which no controller answered a health check with 200
	Killed  int           // tasks of the services that the end of their worker's lease killed
}

// Run runs a small deployment on loopback with a service of each of twelve teams. Then a guest team submits the
// array, unless TROUBLE is 0. No machine, link or service fails. Run ends the process with 1 if broken says so of what
// was seen, with 0 otherwise, and with 2 if the case cannot run.
func (huge HugeArray) Run(broken func(Seen) bool) {
	trouble := os.Getenv("TROUBLE") != "0"
	_, _ = fmt.Sscan(os.Getenv("HUGE"), &huge.Tasks, &huge.CPUs, &huge.MemGB)
	out, program := os.Args[1], os.Args[2]
	f, err := os.Create(out)
	if err != nil {
		Fail(err)
	}
	defer f.Close()
	dir, err := os.MkdirTemp("", "review-huge-")
	if err != nil {
		Fail(err)
	}
	rec := NewRecord(f)
	var mu sync.Mutex
	killed, started := 0, 0 // tasks of the services that the end of a lease killed, and that started
	teams := map[string]site.Team{guest: {}}
	for i := range 12 {
		teams[fmt.Sprintf("service-crew-%d", i)] = site.Team{CPUs: 8, CPUsMax: 16}
	}
	s := site.New(site.Spec{
		Controllers: 3,
		Zones:       []string{"aarhus-harbour", "viby"},
		Machines:    24,
		Rentable:    0,
		Type: wire.MachineType{Name: "kvist-four", CPUs: 4, MemoryGB: 16, CacheGB: 80, FetchGBps: 0.2, Price: 0.17,
			SpotPrice: 0.05, BootS: 15},
		Teams:    teams,
		Report:   1500 * time.Millisecond,
		Lease:    Lease,
		Cancel:   40 * time.Second,
		State:    state.Limits{RPS: 200, WriteRPS: 20, ValueBytes: 8 << 10, TxnOps: 8},
		Cloud:    cloud.Params{RPS: 8, ListLag: 8 * time.Second, Notice: 8 * time.Second},
		Seed:     1,
		Program:  program,
		Dir:      dir,
		LogLevel: os.Getenv("LOG_LEVEL"),
	}, slog.New(slog.NewTextHandler(io.Discard, nil)), func(e site.Event) {
		if strings.HasPrefix(e.Task, hugeJob) {
			return // there are thousands
		}
		rec.Machine(e)
		mu.Lock()
		defer mu.Unlock()
		switch {
		case e.Kind == site.TaskStarted:
			started++
		case e.Kind == site.TaskLeft && e.Cause == "":
			killed++
		}
	})
	ctx, cancel := context.WithTimeout(context.Background(), 115*time.Second)
	defer cancel()
	if err := s.Start(ctx); err != nil {
		Fail(err)
	}
	end := func(code int) {
		s.Stop()
		if d := os.Getenv("KEEP"); d != "" {
			_ = os.CopyFS(d, os.DirFS(dir))
		}
		_ = os.RemoveAll(dir)
		_ = f.Sync()
		os.Exit(code)
	}
	if err := s.WaitReady(ctx); err != nil {
		fmt.Fprintln(os.Stderr, "cannot run:", err)
		end(2)
	}
	rec.Line("three controllers are ready")
	client := load.NewClient(s.Public(), Users{Site: s, Record: rec})
	for i := range 12 {
		submit(ctx, s, client, fmt.Sprintf("job-%06d", i+1), fmt.Sprintf("service-crew-%d", i), "alarm-relay", wire.ShapeService, "urgent", 1, 1, 2.9, 0)
	}
	Sleep(ctx, settle)
	mu.Lock()
	ran, early := started, killed
	mu.Unlock()
	if ran < 12 || early > 0 {
		fmt.Fprintf(os.Stderr, "cannot run: %d of 12 services run, %d were killed\n", ran, early)
		end(2)
	}
	health := &health{ready: map[string]time.Time{}, longest: map[string]time.Duration{}}
	var wg sync.WaitGroup
	watch, stop := context.WithTimeout(ctx, huge.Observe)
	defer stop()
	for _, n := range append(s.Names(), anyController) {
		health.ready[n] = time.Now()
	}
	for _, n := range s.Names() {
		wg.Add(1)
		go func() { defer wg.Done(); health.watch(watch, rec, n, s.Direct(n)) }()
	}
	if trouble {
		submit(ctx, s, client, hugeJob, guest, "sensor-backfill", wire.ShapeBatch, "idle", huge.Tasks, huge.CPUs, huge.MemGB, 4)
	}
	wg.Wait()
	mu.Lock()
	seen := Seen{Killed: killed}
	mu.Unlock()
	for _, n := range append(s.Names(), anyController) {
		seen.Unready = health.longest[n] // the last one is that of all together
		rec.Line("%s: no 200 for GET /ready for %.1f s at most", n, seen.Unready.Seconds())
		fmt.Printf("%s: no 200 for GET /ready for %.1f s at most\n", n, seen.Unready.Seconds())
	}
	rec.Line("%d tasks of the services were killed by the end of their worker's lease", seen.Killed)
	fmt.Printf("%d tasks of the services were killed by the end of their worker's lease\n", seen.Killed)
	if broken(seen) {
		end(1)
	}
	end(0)
}

// anyController stands for all controllers together: it is ready when any of them is.
const anyController = "any controller"

// health is how long controllers were not ready.
type health struct {
	mu      sync.Mutex
	ready   map[string]time.Time // when the last check that was answered with 200 was sent
	longest map[string]time.Duration
}

// watch asks a controller GET /ready each half second and waits 1 s for the answer, as the load balancer does.
func (h *health) watch(ctx context.Context, rec *Record, name, addr string) {
	client := http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	for ctx.Err() == nil {
		sent := time.Now()
		resp, err := client.Get("http://" + addr + "/ready")
		ok := err == nil && resp.StatusCode == http.StatusOK
		if err == nil {
			_ = resp.Body.Close()
		}
		h.mu.Lock()
		for _, n := range []string{name, anyController} {
			h.longest[n] = max(h.longest[n], sent.Sub(h.ready[n]))
			if ok && sent.After(h.ready[n]) {
				h.ready[n] = sent
			}
		}
		h.mu.Unlock()
		if !ok {
			rec.Line("%s does not answer GET /ready with 200 within 1 s", name)
		}
		Sleep(ctx, 500*time.Millisecond)
	}
}

func submit(ctx context.Context, s *site.Site, client *load.Client, id, team, class, shape, priority string, tasks int, cpus, memGB, estimateS float64) {
	spec := wire.JobSpec{ID: &id, Class: &class, Team: &team, Shape: &shape, Priority: &priority, Tasks: Ptr(int64(tasks)),
		CPUs: &cpus, GPUs: Ptr(0.0), MemoryGB: &memGB, OneZone: Ptr(false), Spread: Ptr(false),
		Spot: Ptr(shape == wire.ShapeBatch), Image: Ptr("img-" + class), ImageGB: Ptr(0.5), EstimateS: &estimateS,
		CheckpointEvery: Ptr(0.0), SaveS: Ptr(0.0)}
	job, err := spec.Validate()
	if err != nil {
		Fail(err)
	}
	s.Upload(spec, worker.FromRecord(job, func(int) time.Duration { return 4 * time.Second }))
	go func() { _, _ = client.Submit(ctx, spec) }()
}
