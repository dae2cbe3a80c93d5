// Command case2 runs a small deployment on loopback, in which a machine fails every task that it starts for a few
// seconds. It exits with 1 if an accepted job is left waiting for more than 90 s after that, while that machine has
// room for it and its team is under its limit; with 0 if not; and with 2 if the case cannot run.
package main

import (
	"context"
	"fmt"
	"io"
	"log/slog"
	"math/rand/v2"
	"os"
	"time"

	"github.com/barrowbridge/barrowbridge/internal/load"
	"github.com/barrowbridge/barrowbridge/internal/standin/cloud"
	"github.com/barrowbridge/barrowbridge/internal/standin/site"
	"github.com/barrowbridge/barrowbridge/internal/standin/state"
	"github.com/barrowbridge/barrowbridge/internal/standin/worker"
	"github.com/barrowbridge/barrowbridge/review/stand"
	"github.com/barrowbridge/barrowbridge/wire"
)

const (
	team      = "service-crew-0"
	relay     = "job-000001"
	sickFor   = 10 * time.Second
	waitLimit = 90 * time.Second
	until     = 112 * time.Second
)

func main() {
	trouble := os.Getenv("TROUBLE") != "0"
	out, program := os.Args[1], os.Args[2]
	f, err := os.Create(out)
	if err != nil {
		stand.Fail(err)
	}
	dir, err := os.MkdirTemp("", "review-2-")
	if err != nil {
		stand.Fail(err)
	}
	rec := stand.NewRecord(f)
	teams := map[string]site.Team{}
	for i := range 12 {
		teams[fmt.Sprintf("service-crew-%d", i)] = site.Team{CPUs: 8, CPUsMax: 16}
	}
	s := site.New(site.Spec{
		Controllers: 3,
		Zones:       []string{"aarhus-harbour", "viby"},
		Rentable:    18,
		Type: wire.MachineType{Name: "kvist-four", CPUs: 4, MemoryGB: 16, CacheGB: 80, FetchGBps: 0.2, Price: 0.17,
			SpotPrice: 0.05, BootS: 15},
		Teams:  teams,
		Report: 1500 * time.Millisecond,
		Lease:  10 * time.Second,
		Cancel: 40 * time.Second,
		State:  state.Limits{RPS: 200, WriteRPS: 20, ValueBytes: 8 << 10, TxnOps: 8},
		Cloud: cloud.Params{RPS: 8, ListLag: 8 * time.Second, Notice: 8 * time.Second,
			Boot: func(wire.MachineType, *rand.Rand) time.Duration { return 2 * time.Second }},
		Seed:     1,
		Program:  program,
		Dir:      dir,
		LogLevel: os.Getenv("LOG_LEVEL"),
	}, slog.New(slog.NewTextHandler(io.Discard, nil)), rec.Machine)
	ctx, cancel := context.WithTimeout(context.Background(), 117*time.Second)
	defer cancel()
	if err := s.Start(ctx); err != nil {
		stand.Fail(err)
	}
	end := func(code int, format string, a ...any) {
		rec.Line(format, a...)
		fmt.Printf(format+"\n", a...)
		s.Stop()
		if d := os.Getenv("KEEP"); d != "" {
			_ = os.CopyFS(d, os.DirFS(dir))
		}
		_ = os.RemoveAll(dir)
		_ = f.Close()
		os.Exit(code)
	}
	if err := s.WaitReady(ctx); err != nil {
		end(2, "cannot run: %v", err)
	}
	rec.Line("three controllers are ready")
	client := load.NewClient(s.Public(), stand.Users{Site: s, Record: rec})
	submit := func(id, class, shape, priority string, tasks int, memGB, estimateS float64, runs time.Duration) {
		spec := wire.JobSpec{ID: &id, Class: &class, Team: stand.Ptr(team), Shape: &shape, Priority: &priority,
			Tasks: stand.Ptr(int64(tasks)), CPUs: stand.Ptr(1.0), GPUs: stand.Ptr(0.0), MemoryGB: &memGB,
			OneZone: stand.Ptr(false), Spread: stand.Ptr(false), Spot: stand.Ptr(shape == wire.ShapeBatch),
			Image: stand.Ptr("img-" + class), ImageGB: stand.Ptr(0.4), EstimateS: &estimateS,
			CheckpointEvery: stand.Ptr(0.0), SaveS: stand.Ptr(0.0)}
		job, err := spec.Validate()
		if err != nil {
			stand.Fail(err)
		}
		s.Upload(spec, worker.FromRecord(job, func(int) time.Duration { return runs }))
		if _, err := client.Submit(ctx, spec); err != nil {
			end(2, "cannot run: %v", err)
		}
	}
	submit(relay, "alarm-relay", wire.ShapeService, "urgent", 1, 2.9, 0, 0)
	for len(s.Machines()) == 0 {
		if rec.Since() > 10*time.Second {
			end(2, "cannot run: no machine is up after 10 s")
		}
		stand.Sleep(ctx, 50*time.Millisecond)
	}
	if trouble { // nothing runs yet: the machine fetches the image
		for name := range s.Machines() {
			if _, err := s.Stage(site.Fault{Kind: "machine_sick", Target: name, ForS: sickFor.Seconds()}); err != nil {
				end(2, "cannot run: %v", err)
			}
			rec.Line("%s fails every task that it starts, for %v", name, sickFor)
		}
	}
	stand.Sleep(ctx, sickFor)
	rec.Line("no machine fails tasks from now on")
	longest := time.Duration(0) // for which the job has waited without a break
	for begun := rec.Since(); ctx.Err() == nil && rec.Since() < until; stand.Sleep(ctx, 500*time.Millisecond) {
		_, status := client.Poll(ctx, relay)
		room := ""
		for name, tasks := range s.Machines() {
			if len(tasks) == 0 { // four CPUs and 16 GB are free, and nothing of the team runs
				room = name
			}
		}
		if len(s.Running(relay)) > 0 || room == "" {
			begun = rec.Since()
		}
		longest = max(longest, rec.Since()-begun)
		if longest > waitLimit {
			end(1, "left waiting: %s is %s for %.0f s, and %s is empty", relay, status.Status, longest.Seconds(), room)
		}
	}
	end(0, "held: %s waited for %.0f s at most", relay, longest.Seconds())
}
