// Command stand2 runs the cases of the review in review/4 to review/7. Each case starts three
// controllers as processes of their own against the project's stand-ins for the state service, the
// cloud and the workers, acts as their users, stages one disruption, and judges one rule by what
// users and workers saw.
//
// Exit codes: 0 the rule held, 1 it was broken, 2 the case could not run.
package main

import (
	"context"
	"fmt"
	"log/slog"
	"net/http"
	"os"
	"path/filepath"
	"sync"
	"time"

	"github.com/barrowbridge/barrowbridge/internal/cborhttp"
	"github.com/barrowbridge/barrowbridge/internal/standin/cloud"
	"github.com/barrowbridge/barrowbridge/internal/standin/site"
	"github.com/barrowbridge/barrowbridge/internal/standin/worker"
	"github.com/barrowbridge/barrowbridge/wire"
)

// deployment is a running site with its users and the record of what was sent, answered and run.
type deployment struct {
	*site.Site
	ctx  context.Context
	http *http.Client

	mu     sync.Mutex
	record *os.File
	events []site.Event
	on     map[string]map[string]bool // task -> machines that it is on
	begun  time.Time
}

// dakar returns the settings of the site dakar-scoot-ops: 19 machines up at the start, and what the site's
// capacity leaves to be rented beside them. In plateau that is spot machines only.
func dakar() site.Spec {
	s := site.Default()
	s.Zones = []string{"almadies", "medina", "yoff", "plateau"}
	s.Machines, s.Rentable = 19, 0
	s.Type = wire.MachineType{Name: "baobab-quad", CPUs: 4, MemoryGB: 16, CacheGB: 40, FetchGBps: 0.15, Price: 0.16, SpotPrice: 0.07, BootS: 25}
	s.Teams = map[string]site.Team{"fleet-ops": {CPUs: 40, CPUsMax: 128}, "rider-app": {CPUs: 64, CPUsMax: 184}}
	s.Report, s.Lease, s.Cancel = 2*time.Second, 10*time.Second, 40*time.Second
	s.State.RPS, s.State.WriteRPS, s.State.ValueBytes, s.State.TxnOps = 80, 20, 16<<10, 16
	s.Cloud.RPS, s.Cloud.ListLag, s.Cloud.Notice = 4, 6*time.Second, 8*time.Second
	s.Cloud.Capacity = map[cloud.Place]int{}
	for zone, places := range map[string][2]int{"almadies": {0, 2}, "medina": {1, 3}, "yoff": {2, 3}, "plateau": {0, 2}} {
		s.Cloud.Capacity[cloud.Place{Type: s.Type.Name, Zone: zone}] = places[0]
		s.Cloud.Capacity[cloud.Place{Type: s.Type.Name, Zone: zone, Spot: true}] = places[1]
	}
	return s
}

// aarhus returns the settings of the site aarhus-lift-coop, with six machines up from the start.
func aarhus() site.Spec {
	s := site.Default()
	s.Zones = []string{"aarhus-harbour", "viby"}
	s.Machines, s.Rentable = 6, 12
	s.Type = wire.MachineType{Name: "kvist-four", CPUs: 4, MemoryGB: 16, CacheGB: 80, FetchGBps: 0.2, Price: 0.17, SpotPrice: 0.05, BootS: 15}
	s.Teams = map[string]site.Team{}
	for i := range 12 {
		s.Teams[fmt.Sprintf("service-crew-%02d", i+1)] = site.Team{CPUs: 8, CPUsMax: 16}
	}
	s.Report, s.Lease, s.Cancel = 1500*time.Millisecond, 10*time.Second, 40*time.Second
	s.State.RPS, s.State.WriteRPS, s.State.ValueBytes, s.State.TxnOps = 200, 20, 8<<10, 8
	s.Cloud.RPS, s.Cloud.ListLag, s.Cloud.Notice = 8, 8*time.Second, 8*time.Second
	return s
}

// start starts a deployment and waits until its controllers are ready. stop ends all its processes.
func start(spec site.Spec, program, recordPath string) (d *deployment, stop func(), err error) {
	dir, err := os.MkdirTemp("", "review-")
	if err != nil {
		return nil, nil, err
	}
	record, err := os.Create(recordPath)
	if err != nil {
		return nil, nil, err
	}
	if program, err = filepath.Abs(program); err != nil {
		return nil, nil, err
	}
	spec.Program, spec.Dir, spec.LogLevel = program, dir, "info"
	if keep := os.Getenv("REVIEW_LOGS"); keep != "" {
		spec.Dir, spec.LogLevel = keep, "debug"
	}
	ctx, cancel := context.WithCancel(context.Background())
	d = &deployment{ctx: ctx, http: cborhttp.NewClient(500*time.Millisecond, 64), record: record, on: map[string]map[string]bool{}, begun: time.Now()}
	d.Site = site.New(spec, slog.New(slog.DiscardHandler), d.event)
	stop = func() {
		d.Stop()
		cancel()
		_ = record.Close()
		_ = os.RemoveAll(dir)
	}
	if err := d.Start(ctx); err != nil {
		stop()
		return nil, nil, err
	}
	up, done := context.WithTimeout(ctx, 15*time.Second)
	defer done()
	if err := d.WaitReady(up); err != nil {
		stop()
		return nil, nil, err
	}
	d.say("controllers ready")
	return d, stop, nil
}

// say writes a line to the record.
func (d *deployment) say(format string, a ...any) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.sayLocked(format, a...)
}

func (d *deployment) sayLocked(format string, a ...any) {
	fmt.Fprintf(d.record, "%8.3f  %s\n", time.Since(d.begun).Seconds(), fmt.Sprintf(format, a...))
}

// event records what the workers saw. The site calls it in order, with its lock held.
func (d *deployment) event(e site.Event) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.events = append(d.events, e)
	switch e.Kind {
	case site.TaskStarted:
		if d.on[e.Task] == nil {
			d.on[e.Task] = map[string]bool{}
		}
		d.on[e.Task][e.Machine] = true
	case site.TaskLeft:
		delete(d.on[e.Task], e.Machine)
	}
	d.sayLocked("worker %s: %s %s try %d %s", e.Machine, e.Kind, e.Task, e.Attempt, e.Cause)
}

// place returns a machine that the task is on, "" if there is none.
func (d *deployment) place(task string) string {
	d.mu.Lock()
	defer d.mu.Unlock()
	for machine := range d.on[task] {
		return machine
	}
	return ""
}

// count returns how many events of a kind and, if it is not "-", with a cause were seen of a job's tasks, by
// machine, and the number of all.
func (d *deployment) count(job, kind, cause string) (byMachine map[string]int, all int) {
	d.mu.Lock()
	defer d.mu.Unlock()
	byMachine = map[string]int{}
	for _, e := range d.events {
		if e.Kind == kind && len(e.Task) > len(job) && e.Task[:len(job)+1] == job+"/" && (cause == "-" || e.Cause == cause) {
			byMachine[e.Machine]++
			all++
		}
	}
	return byMachine, all
}

// request sends a user's request to one controller and records the answer; status 0: no answer.
func (d *deployment) request(node int, method, path string, body any, wait time.Duration) (status int, st wire.JobStatus) {
	ctx, cancel := context.WithTimeout(d.ctx, wait)
	defer cancel()
	addrs := d.Public()
	sent := time.Since(d.begun).Seconds()
	status, _, raw, err := cborhttp.Exchange(ctx, d.http, method, "http://"+addrs[node%len(addrs)]+path, body)
	if err == nil {
		_ = wire.Unmarshal(raw, &st)
	}
	done, running := -1, -1
	if st.Done != nil && st.Running != nil {
		done, running = *st.Done, *st.Running
	}
	d.say("user: %s %s sent at %.3f to %s: %d %s done %d running %d", method, path, sent, d.Names()[node%len(addrs)], status, st.Status, done, running)
	return status, st
}

// work describes a job that a user submits. Amounts are those of one task.
type work struct {
	id, class, team, shape, urgency, zone string
	tasks                                 int
	cpus, memoryGB, imageGB               float64
	run                                   time.Duration                 // of each task
	runOf                                 func(index int) time.Duration // if the tasks differ
}

func (w work) spec() wire.JobSpec {
	tasks, no, zero, est := int64(w.tasks), false, 0.0, w.run.Seconds()
	s := wire.JobSpec{ID: &w.id, Class: &w.class, Team: &w.team, Shape: &w.shape, Priority: &w.urgency, Tasks: &tasks,
		CPUs: &w.cpus, GPUs: &zero, MemoryGB: &w.memoryGB, OneZone: &no, Spread: &no, Spot: &no, Image: &w.class, ImageGB: &w.imageGB,
		EstimateS: &est, CheckpointEvery: &zero, SaveS: &zero}
	if w.zone != "" {
		s.Zone = &w.zone
	}
	if w.shape == wire.ShapeService {
		s.EstimateS = &zero
	}
	return s
}

// submit uploads a job and submits it as a user does, until it is accepted.
func (d *deployment) submit(w work) error {
	spec := w.spec()
	job, err := spec.Validate()
	if err != nil {
		return err
	}
	d.Upload(spec, worker.FromRecord(job, func(index int) time.Duration {
		if w.runOf != nil {
			return w.runOf(index)
		}
		return w.run
	}))
	for try := range 15 {
		status, _ := d.request(try, http.MethodPost, "/v1/jobs", spec, 5*time.Second)
		switch status {
		case 200, 201:
			return nil
		case 400, 422:
			return fmt.Errorf("%s was refused with %d", w.id, status)
		}
		time.Sleep(time.Second)
	}
	return fmt.Errorf("%s was not accepted", w.id)
}

// poll asks for a job as a user does, at one controller after the other.
func (d *deployment) poll(try int, id string) (int, wire.JobStatus) {
	return d.request(try, http.MethodGet, "/v1/jobs/"+id, nil, 2*time.Second)
}

// stage stages a fault and records it.
func (d *deployment) stage(f site.Fault) (site.Active, error) {
	a, err := d.Stage(f)
	d.say("trouble: %s %s %s value %g for %g s hits %v", f.Kind, f.Target, f.Mode, f.Value, f.ForS, a.Hits)
	return a, err
}

// idle returns the machines of a zone that exist and have no task on them.
func (d *deployment) idle(zone string) (names []string) {
	all, err := d.Resolve("machine_hang", "machines:"+zone)
	if err != nil {
		return nil
	}
	tasks := d.Machines()
	for _, name := range all {
		if len(tasks[name]) == 0 {
			names = append(names, name)
		}
	}
	return names
}

// until calls f every 100 ms until it returns true, and reports whether it did within the limit.
func until(limit time.Duration, f func() bool) bool {
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(100 * time.Millisecond) {
		if f() {
			return true
		}
	}
	return false
}
