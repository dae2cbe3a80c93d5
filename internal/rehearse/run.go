package rehearse

import (
	"context"
	"fmt"
	"log/slog"
	"math/rand/v2"
	"net/http"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/barrowbridge/barrowbridge/internal/calendar"
	"github.com/barrowbridge/barrowbridge/internal/cborhttp"
	"github.com/barrowbridge/barrowbridge/internal/checker"
	"github.com/barrowbridge/barrowbridge/internal/config"
	"github.com/barrowbridge/barrowbridge/internal/load"
	"github.com/barrowbridge/barrowbridge/internal/recovery"
	"github.com/barrowbridge/barrowbridge/internal/standin/site"
	"github.com/barrowbridge/barrowbridge/internal/standin/worker"
	"github.com/barrowbridge/barrowbridge/internal/tuning"
	"github.com/barrowbridge/barrowbridge/wire"
)

const (
	directorInterval = 40 * time.Millisecond  // between steps of the director
	trailInterval    = 150 * time.Millisecond // a killed controller loses at most the events of its last interval
	pollInterval     = 400 * time.Millisecond // between polls of a user
	readyTimeout     = 20 * time.Second       // time limit for the deployment to become ready
	maxStall         = 2 * time.Second        // a run is not valid if the process was stalled for longer
)

// rehearsal is one run of a scenario.
type rehearsal struct {
	served []checker.Group
	sc     *Scenario
	seed   uint64
	rng    *rand.Rand
	site   *site.Site
	users  *load.Client
	http   *http.Client
	note   func(Entry)

	mu           sync.Mutex
	zero         time.Duration // the site's time at which the scenario begins
	over         time.Duration // when the scenario ended; 0: not yet
	seen         []recovery.Observation
	jobs         map[string]*job
	staged       []*staged
	line         Timeline
	open         map[string]int // index of the open span by key
	after        map[string]uint64
	boots        map[string]uint64
	cost         Cost
	tooEarly     []Broken               // features that were enabled while a controller ran the earlier version
	incarnations []incarnation          // incarnations of controllers, in order
	rolled       map[string]heldVersion // last answer of each responding controller about versions
	wg           sync.WaitGroup
}

// job is a submitted job as its user observes it.
type job struct {
	spec              wire.JobSpec
	plan              Job
	begun             time.Duration // first attempt to submit
	accepted, running time.Duration // 0: not yet
	done, cancelled   time.Duration // when the user received the report
	refused           error
	up, watched       time.Duration // time with all replicas running, and total time since they first did
	last              int
}

type staged struct {
	id  uint64
	inc recovery.Incident
	f   FaultResult
}

// play runs a scenario once. note records the entries that must survive an interruption.
func play(ctx context.Context, sc *Scenario, seed uint64, dir string, p programs, note func(Entry)) *Result {
	began := time.Now()
	r := &rehearsal{sc: sc, seed: seed, rng: rand.New(rand.NewPCG(seed, 11)), note: note, jobs: map[string]*job{},
		open: map[string]int{}, after: map[string]uint64{}, boots: map[string]uint64{}, rolled: map[string]heldVersion{}, http: cborhttp.NewClient(500*time.Millisecond, 4),
		line: Timeline{Up: map[string][]Seen{}}}
	res := &Result{Scenario: sc.Name, Seed: seed, Result: Failed, Faults: []FaultResult{}, Objectives: []Objective{}, Waits: []Wait{}, Rules: Rules{Broken: []Broken{}}}
	defer func() { res.TookS = time.Since(began).Seconds() }()
	if err := os.MkdirAll(dir, 0o755); err != nil {
		res.Why = err.Error()
		return res
	}
	r.site = site.New(r.spec(dir, p), slog.New(slog.DiscardHandler), r.event)
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	defer r.site.Stop()
	up, done := context.WithTimeout(ctx, readyTimeout)
	defer done()
	err := r.site.Start(ctx)
	if err == nil {
		err = r.site.WaitReady(up)
	}
	if err == nil {
		r.users = load.NewClient(r.site.Public(), &countedUsers{load.SiteUsers{Site: r.site}, r})
		r.direct(ctx)
		r.close()
		r.clear(ctx)
	}
	interrupted := ctx.Err() != nil
	cancel()
	r.wg.Wait()
	r.fill(res)
	switch {
	case err != nil:
		res.Why = err.Error()
	case interrupted:
		res.Result, res.Why = Interrupted, "ended before it was over"
	case r.site.Stalled() > maxStall:
		res.Result, res.Why = Interrupted, fmt.Sprintf("this machine or process stood still for %.1f s", r.site.Stalled().Seconds())
	case len(res.Rules.Broken) > 0:
		res.Why = "a rule was broken"
	default:
		res.Result = Passed
		for _, o := range res.Objectives {
			if !o.Met {
				res.Result, res.Why = Failed, "an objective was missed"
			}
		}
	}
	return res
}

// spec returns the deployment for the scenario's fleet.
func (r *rehearsal) spec(dir string, p programs) site.Spec {
	f := r.sc.Fleet
	s := site.Default()
	s.Controllers, s.Machines, s.Rentable, s.Seed = f.Controllers, f.Machines, f.Rentable, r.seed
	s.Program, s.Dir, s.LogLevel = p.this, dir, "info"
	if r.sc.From == FromProduction {
		s.Earlier = p.earlier
	}
	s.Zones = nil
	for i := range f.Zones {
		s.Zones = append(s.Zones, string(rune('a'+i)))
	}
	s.Type.CPUs, s.Type.MemoryGB, s.Type.BootS, s.Type.FetchGBps = f.CPUs, f.MemoryGB, f.BootS, f.FetchGBps
	s.StoreGBps, s.Switches.Weights = f.StoreGBps, config.WeightsSwitches{HandOn: f.HandOn, Pace: f.Pace}
	s.Report, s.Lease, s.Cancel = seconds(f.ReportS), seconds(f.LeaseS), seconds(f.CancelS)
	s.State.RPS, s.State.WriteRPS = f.StateRPS, f.WriteRPS
	s.Cloud.ListLag, s.Cloud.Notice = seconds(f.ListLagS), seconds(f.NoticeS)
	s.Teams = map[string]site.Team{}
	for _, t := range r.sc.Teams {
		s.Teams[t.Name] = site.Team{CPUs: t.CPUs, CPUsMax: t.CPUsMax}
	}
	record := func(what string) func(string, int, string) {
		return func(name string, pid int, settings string) { r.process(what, name, pid, settings) }
	}
	s.Spawned, s.Ended = record("process"), record("ended")
	return s
}

// process records a process's start or end. The identity of an ended process can no longer be
// read, so the identity is remembered at the start.
func (r *rehearsal) process(what, name string, pid int, settings string) {
	key := fmt.Sprint(pid, " ", settings)
	r.mu.Lock()
	defer r.mu.Unlock()
	at := 0.0
	if r.zero > 0 {
		at = r.now().Seconds()
	}
	if what == "process" {
		r.begin("life "+name, &r.line.Lives, Span{Who: name, What: "process", FromS: at})
		r.incarnations = append(r.incarnations, incarnation{name, at, r.site.Controller(name).Earlier()})
		if p, err := Identify(pid, settings); err == nil {
			known.Store(key, p)
			r.note(Entry{What: what, Scenario: r.sc.Name, Seed: r.seed, Process: &p})
		}
		return
	}
	r.end("life "+name, &r.line.Lives, at, "ended")
	for k, i := range r.open { // end the spans of what the controller held
		switch {
		case strings.HasPrefix(k, "shard ") && r.line.Shards[i].Who == name:
			r.end(k, &r.line.Shards, at, "ended")
		case k == "leader" && r.line.Leaders[i].Who == name:
			r.end(k, &r.line.Leaders, at, "ended")
		}
	}
	if p, ok := known.LoadAndDelete(key); ok {
		p := p.(Process)
		r.note(Entry{What: what, Scenario: r.sc.Name, Seed: r.seed, Process: &p})
	}
}

// known holds the identities of the running processes.
var known sync.Map

// putCrews writes the scenario's crews to the calendar.
func (r *rehearsal) putCrews(ctx context.Context) {
	for _, c := range r.sc.Crews {
		k := wire.Crew{Team: c.Team, Classes: c.Classes, TimeZone: "UTC", Leaves: time.Now().Add(seconds(c.LeavesS)).UTC().Format(calendar.SecondLayout),
			Expect: wire.CrewWork{Tasks: c.Tasks, Seconds: c.RunS, CPUs: c.CPUs}}
		_, _, err := cborhttp.RoundTrip(ctx, r.http, http.MethodPut, fmt.Sprintf("http://%s/admin/v1/crews/%s", r.site.Direct(r.site.Names()[0]), c.Name), wire.CrewPatch{Crew: k})
		if err != nil {
			r.note(Entry{What: "crew", Scenario: r.sc.Name, Seed: r.seed, Detail: err.Error()})
		}
	}
}

// direct carries out the scenario.
func (r *rehearsal) direct(ctx context.Context) {
	r.zero = r.site.Now()
	r.putCrews(ctx)
	d := NewDirector(r.sc)
	t := time.NewTicker(directorInterval)
	defer t.Stop()
	last, trails, versions := r.now(), time.Duration(-trailInterval), time.Duration(-versionsInterval)
	for {
		now := r.now()
		if now-trails >= trailInterval {
			trails = now
			r.readTrails(ctx)
		}
		if r.sc.From != "" && now-versions >= versionsInterval {
			versions = now
			r.readVersions(ctx)
		}
		r.watch(now, now-last)
		last = now
		actions, over := d.Step(now, facts{r})
		if d.Calm(facts{r}) {
			r.site.Check(func(now time.Duration, c *checker.Checker) { c.Calm(now) })
		}
		for _, a := range actions {
			if a.Stage > 0 {
				r.stage(a.Stage)
			} else {
				r.submit(ctx, a)
			}
		}
		if over {
			return
		}
		select {
		case <-ctx.Done():
			return
		case <-t.C:
		}
	}
}

// close ends the measurement: events during the cleanup do not count as recovery.
func (r *rehearsal) close() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.over = r.now()
}

func (r *rehearsal) now() time.Duration { return r.site.Now() - r.zero }

// submit submits a job as a user and polls it.
func (r *rehearsal) submit(ctx context.Context, a Action) {
	plan := r.sc.Jobs[a.Job]
	spec := plan.spec(a.Submit)
	rec, err := spec.Validate()
	if err != nil {
		r.mu.Lock()
		r.jobs[a.Submit] = &job{spec: spec, plan: plan, refused: err}
		r.mu.Unlock()
		return
	}
	spread := r.rng.Float64()
	r.site.Upload(spec, worker.FromRecord(rec, func(i int) time.Duration {
		k := (spread + float64(i)*0.618034)
		return seconds(plan.RunS * (2.0/3 + 2.0/3*(k-float64(int(k)))))
	}))
	j := &job{spec: spec, plan: plan, begun: r.now()}
	r.mu.Lock()
	r.jobs[a.Submit] = j
	r.mu.Unlock()
	r.wg.Go(func() {
		r.awaitAccepted(ctx, plan.Awaits)
		r.mu.Lock()
		j.begun = r.now()
		r.mu.Unlock()
		_, err := r.users.Submit(ctx, spec)
		r.mu.Lock()
		if j.refused = err; err == nil {
			j.accepted = r.now()
		}
		r.mu.Unlock()
		if err == nil && plan.CancelS > 0 {
			r.wg.Go(func() { r.cancel(ctx, a.Submit, seconds(plan.CancelS)) })
		}
		for err == nil && ctx.Err() == nil && !r.poll(ctx, a.Submit, j) {
			select {
			case <-ctx.Done():
			case <-time.After(pollInterval):
			}
		}
	})
}

// awaitAccepted waits until the jobs have been accepted.
func (r *rehearsal) awaitAccepted(ctx context.Context, ids []string) {
	for ctx.Err() == nil && slices.ContainsFunc(ids, func(id string) bool {
		r.mu.Lock()
		defer r.mu.Unlock()
		return r.jobs[id] == nil || r.jobs[id].accepted == 0
	}) {
		time.Sleep(directorInterval)
	}
}

// cancel cancels a job as its user after a delay.
func (r *rehearsal) cancel(ctx context.Context, id string, after time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(after):
		_, _ = r.users.Abort(ctx, id) // the client passes the answer to the checker
	}
}

// poll requests the job's state once and reports whether the job is over.
func (r *rehearsal) poll(ctx context.Context, id string, j *job) bool {
	status, st := r.users.Poll(ctx, id)
	if status != http.StatusOK {
		return false
	}
	over := st.Status == wire.JobDone || st.Status == wire.JobAborted
	kind := recovery.UserSawDown
	if over || st.Running != nil && *st.Running >= int(*j.spec.Tasks) {
		kind = recovery.UserSawUp
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.seen = append(r.seen, recovery.Observation{At: r.now(), From: recovery.FromUser, Kind: kind, Job: id, Shard: -1})
	if st.Status == wire.JobDone && j.done == 0 {
		j.done = r.now()
	}
	if st.Status == wire.JobAborted && j.cancelled == 0 {
		j.cancelled = r.now()
	}
	return over
}

// spec returns the job specification that the user submits.
func (j Job) spec(id string) wire.JobSpec {
	tasks, no, gpus, save, due := int64(j.Tasks), false, 0.0, 0.0, j.RunS*20
	est := j.RunS
	s := wire.JobSpec{ID: &id, Class: &j.Class, Team: &j.Team, Shape: &j.Shape, Priority: &j.Priority, Tasks: &tasks, CPUs: &j.CPUs, GPUs: &gpus,
		MemoryGB: &j.MemoryGB, OneZone: &no, Spread: &j.Spread, Spot: &j.Spot, Image: &j.Class, ImageGB: &j.ImageGB, EstimateS: &est,
		CheckpointEvery: &j.SaveS, SaveS: &save, DueS: &due, Predecessors: j.Awaits}
	if j.Shape == wire.ShapeService {
		est, s.DueS = 0, nil
	}
	return s
}

// kindsSilent lists the faults whose machines stop reporting.
func silent(f Fault) bool {
	switch f.Kind {
	case "machine_hang", "machine_die":
		return true
	case "spot_taken":
		return f.Value == 0
	case "link":
		return f.Peer == "all" && !f.OneWay && f.Mode != "delay"
	}
	return false
}

// dead reports whether the controllers hit by a fault of this kind can no longer act.
func dead(kind string) bool {
	return kind == "controller_kill" || kind == "controller_pause" || kind == "state_refuses" || kind == "state_mute"
}

// stage injects fault number n and records which machines and controllers it hit, with the machines' state before it.
func (r *rehearsal) stage(n int) {
	f := r.sc.Faults[n-1]
	var hit []string
	if f.Target != "" {
		hit, _ = r.site.Resolve(f.Kind, f.Target)
	}
	states := r.site.States(hit)
	at := r.now()
	a, err := r.site.Stage(f.staged())
	s := &staged{id: a.ID, f: FaultResult{Kind: f.Kind, Hits: a.Hits, AtS: at.Seconds(), Steps: []recovery.Step{}, WallTime: time.Now().UTC()}}
	if err != nil {
		s.f.Kind += " (not staged: " + err.Error() + ")"
	}
	s.inc = recovery.Incident{Kind: f.Kind, At: at, Silent: silent(f), Dead: dead(f.Kind)}
	for _, m := range states {
		s.inc.Machines = append(s.inc.Machines, recovery.Machine{Name: m.Name, LeaseLeft: m.LeaseLeft, Reported: m.Reported, Tasks: m.Tasks})
	}
	for _, h := range a.Hits {
		if r.site.Controller(h) != nil {
			s.inc.Controllers = append(s.inc.Controllers, h)
		}
	}
	s.inc.Services = f.Target == ""
	r.mu.Lock()
	r.staged = append(r.staged, s)
	r.mu.Unlock()
	r.note(Entry{What: "fault", Scenario: r.sc.Name, Seed: r.seed, Detail: f.Kind + " " + short(a.Hits)})
}

// clear cancels all running jobs as their users would and waits until they are gone.
func (r *rehearsal) clear(ctx context.Context) {
	r.site.LiftAll()
	if ctx.Err() != nil {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, seconds(r.sc.Fleet.CancelS)+10*time.Second)
	defer cancel()
	var wg sync.WaitGroup
	for id, j := range r.jobs {
		if j.plan.Shape == wire.ShapeService && j.accepted > 0 {
			wg.Go(func() { _, _ = r.users.Abort(ctx, id) })
		}
	}
	wg.Wait()
	for end := time.Now().Add(seconds(r.sc.Fleet.CancelS)); ctx.Err() == nil && time.Now().Before(end); time.Sleep(directorInterval) {
		gone := true
		for id, j := range r.jobs {
			gone = gone && (j.plan.Shape != wire.ShapeService || len(r.site.Running(id)) == 0)
		}
		if gone {
			break
		}
	}
	r.site.Check(func(now time.Duration, c *checker.Checker) {
		c.FinishDay(now)
		r.served = c.Served(now)
	})
}

// Program returns the path of this program, which the emulated controllers run.
func Program() (string, error) {
	p, err := os.Executable()
	if err != nil {
		return "", err
	}
	return filepath.EvalSymlinks(p)
}

// params returns the durations that bound recoveries.
func (r *rehearsal) params() recovery.Params {
	return recovery.Params{ReportInterval: seconds(r.sc.Fleet.ReportS), WorkerLease: seconds(r.sc.Fleet.LeaseS), StateLease: tuning.StateLeaseTTL, RenewInterval: tuning.StateLeaseRenewInterval}
}
