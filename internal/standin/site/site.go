// Package site runs an emulated deployment on loopback: the state service, the
// cloud and the workers behind HTTP, controllers as separate processes, and a
// network between them that can be interrupted. Every fault that can be staged can
// also be lifted.
package site

import (
	"context"
	"fmt"
	"hash/fnv"
	"log/slog"
	"math/rand/v2"
	"sort"
	"sync"
	"time"

	"github.com/barrowbridge/barrowbridge/internal/checker"
	"github.com/barrowbridge/barrowbridge/internal/config"
	"github.com/barrowbridge/barrowbridge/internal/standin/cloud"
	"github.com/barrowbridge/barrowbridge/internal/standin/link"
	"github.com/barrowbridge/barrowbridge/internal/standin/state"
	"github.com/barrowbridge/barrowbridge/internal/standin/worker"
	"github.com/barrowbridge/barrowbridge/wire"
)

// Names of the parties other than controllers and machines.
const (
	PartyState = "state"
	PartyCloud = "cloud"
	PartyUsers = "users"
)

// clockEvery is the interval at which the emulated parts advance without a call.
const clockEvery = 5 * time.Millisecond

// Team is a team's guaranteed share and maximum usage, in CPUs and GPUs.
type Team struct{ CPUs, CPUsMax, GPUs, GPUsMax float64 }

// Spec describes a deployment.
type Spec struct {
	Controllers int
	Zones       []string
	Machines    int // number of the operator's own machines, spread over the zones
	Type        wire.MachineType
	Rentable    int // maximum number of rented machines of each type and zone
	Teams       map[string]Team
	Report      time.Duration
	Lease       time.Duration
	Cancel      time.Duration
	State       state.Limits
	Cloud       cloud.Params
	Seed        uint64
	Program     string          // controller executable
	Earlier     string          // executable of an earlier version that the controllers start with; "": none
	Dir         string          // directory of the settings files
	StoreGBps   float64         // bandwidth that all image fetches share; workers also pass images on when told to; 0: neither is emulated
	Switches    config.Switches // switches of the controllers
	LogLevel    string

	// Spawned and Ended, if not nil, are called when a controller's process starts and ends.
	Spawned, Ended func(name string, pid int, settings string)
}

// Default returns a small deployment that starts, rents and fails over in seconds.
func Default() Spec {
	return Spec{Controllers: 3, Zones: []string{"a", "b"}, Machines: 8, Rentable: 8,
		Type:   wire.MachineType{Name: "std", CPUs: 4, MemoryGB: 16, CacheGB: 40, FetchGBps: 1, Price: 0.2, SpotPrice: 0.06, BootS: 3},
		Teams:  map[string]Team{"red": {CPUs: 12, CPUsMax: 24}, "blue": {CPUs: 12, CPUsMax: 24}, "green": {CPUs: 8, CPUsMax: 24}},
		Report: 1500 * time.Millisecond, Lease: 8 * time.Second, Cancel: 30 * time.Second,
		State: state.Limits{RPS: 200, WriteRPS: 40, ValueBytes: 16 << 10, TxnOps: 16},
		Cloud: cloud.Params{RPS: 8, ListLag: 2 * time.Second, Notice: 8 * time.Second}, Seed: 1}
}

// Kinds of Event.
const (
	MachineUp   = "machine_up"
	MachineGone = "machine_gone"
	TaskOrdered = "task_ordered"
	TaskStarted = "task_started"
	TaskLeft    = "task_left"
)

// Event is an event on a machine. Cause is the reason why a task left, "" if its
// lease expired or its machine ended.
type Event struct {
	At      time.Duration
	Kind    string
	Machine string
	Task    string
	Attempt uint64
	Cause   string
}

type machine struct {
	*worker.Worker
	up, gone bool
	wake     time.Duration
	post     poster
	close    func()
	resumed  chan struct{} // closed when the machine no longer hangs
	// lapsed is set while the machine resumes after a hang that outlasted its lease. The tasks
	// that it now reports as killed have not run since the lease expired, although the next
	// session has a lease again.
	lapsed bool
}

// Site is a running deployment.
type Site struct {
	Spec      Spec
	Net       *link.Net
	log       *slog.Logger
	startedAt time.Time

	mu       sync.Mutex
	rng      *rand.Rand
	store    *state.Store
	limits   state.Limits // current limits of the store
	cloud    *cloud.Cloud
	work     *worker.Work
	check    *checker.Checker
	machines map[string]*machine
	calls    map[uint64]chan state.Answer
	callID   uint64
	slow     map[string]time.Duration // party -> delay of its answers
	mute     map[string]bool          // "state" or "cloud", or either with "/CLIENT": requests are executed but not answered
	copies   map[string]time.Duration // machine -> maximum delay of the copies of its reports
	late     map[string]time.Duration // "state" or "cloud" -> delay before requests are executed

	lateWrites float64 // share of state changes that get no answer and are executed late
	repeats    float64 // share of requests that are carried out once more
	observe    func(Event)
	faults     faults

	controllers map[string]*Controller
	names       []string
	ctx         context.Context
	starter     *starter

	host                 string // loopback address that the controllers' processes listen on
	stateAddr, cloudAddr string
	stalled              time.Duration // longest time that this whole process was suspended
}

// New prepares a deployment; Start starts it. observe, if not nil, is called with
// every event, in order and with the site's lock held.
func New(spec Spec, log *slog.Logger, observe func(Event)) *Site {
	rng := rand.New(rand.NewPCG(spec.Seed, 2))
	spec.Type.Zones = spec.Zones
	spec.Cloud.Types, spec.Cloud.Otherwise = []wire.MachineType{spec.Type}, spec.Rentable
	s := &Site{Spec: spec, Net: link.New(), log: log, startedAt: time.Now(), rng: rng,
		store: state.New(spec.State, rng), limits: spec.State, cloud: cloud.New(spec.Cloud, rng), work: worker.NewWork(),
		host: ownHost(), machines: map[string]*machine{}, calls: map[uint64]chan state.Answer{}, slow: map[string]time.Duration{},
		mute: map[string]bool{}, late: map[string]time.Duration{}, copies: map[string]time.Duration{}, observe: observe, controllers: map[string]*Controller{}}
	s.store.Trouble.Refused = map[string]bool{}
	s.cloud.Trouble.Hidden, s.cloud.Trouble.Ghosts = map[string]bool{}, map[string]bool{}
	s.work.Find = s.findJob
	if spec.StoreGBps > 0 {
		s.work.Depot = &worker.Depot{StoreGBps: spec.StoreGBps, Reach: s.Net.Reach}
	}
	limits := map[string]checker.Limit{}
	for n, t := range spec.Teams {
		cpus, gpus := config.Team{CPUsMax: t.CPUsMax, GPUsMax: t.GPUsMax}.MaxUsage() // as the controllers interpret it
		limits[n] = checker.Limit{CPUs: cpus, GPUs: gpus}
	}
	s.check = checker.New(checker.Params{Teams: limits, Types: spec.Cloud.Types, Cancel: spec.Cancel, Lapsed: func(m string, now time.Duration) bool {
		x := s.machines[m]
		return x == nil || x.gone || x.lapsed || !x.Leased(now)
	}})
	for i := range spec.Controllers {
		s.names = append(s.names, fmt.Sprintf("c%d", i))
	}
	return s
}

// Now returns the monotonic time since the site was created.
func (s *Site) Now() time.Duration { return time.Since(s.startedAt) }

// Names returns the names of the controllers.
func (s *Site) Names() []string { return s.names }

// ZoneOf returns the zone of a controller, "" if there is no such controller.
func (s *Site) ZoneOf(controller string) string {
	for i, n := range s.names {
		if n == controller {
			return s.Spec.Zones[i%len(s.Spec.Zones)]
		}
	}
	return ""
}

// Check calls f with the checker while the site's lock is held.
func (s *Site) Check(f func(now time.Duration, c *checker.Checker)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	f(s.Now(), s.check)
}

// Upload makes a job known to the workers and the checker before its user submits it.
func (s *Site) Upload(spec wire.JobSpec, job worker.Job) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.work.Upload(*spec.ID, job)
	s.check.Submitting(spec)
}

// findJob builds a job that was not uploaded, for instance one submitted on the
// command line, from its record in the state service. Its tasks take between 0.5
// and 1.5 times their estimate.
func (s *Site) findJob(id string) (worker.Job, bool) {
	it, ok := s.store.Peek(wire.PrefixJob + id)
	var r wire.Job
	if !ok || wire.Unmarshal(it.Value, &r) != nil {
		return worker.Job{}, false
	}
	s.check.Submitting(SpecOf(r))
	return worker.FromRecord(r, func(i int) time.Duration {
		h := fnv.New32a()
		_, _ = h.Write([]byte(wire.TaskName(id, i)))
		return time.Duration((0.5 + float64(h.Sum32()%1000)/1000) * r.EstimateS * float64(time.Second))
	}), true
}

// SpecOf returns the description of a job as its user submitted it.
func SpecOf(r wire.Job) wire.JobSpec {
	tasks := int64(r.Tasks)
	s := wire.JobSpec{ID: &r.ID, Class: &r.Class, Team: &r.Team, Shape: &r.Shape, Priority: &r.Priority, Tasks: &tasks,
		CPUs: &r.CPUs, GPUs: &r.GPUs, MemoryGB: &r.MemoryGB, Types: r.Types, OneZone: &r.OneZone, Spread: &r.Spread, Spot: &r.Spot,
		Image: &r.Image, ImageGB: &r.ImageGB, EstimateS: &r.EstimateS, CheckpointEvery: &r.CheckpointEvery, SaveS: &r.SaveS,
		Predecessors: r.Predecessors}
	if r.Zone != "" {
		s.Zone = &r.Zone
	}
	if r.DueS > 0 {
		s.DueS = &r.DueS
	}
	return s
}

// clock advances the emulated parts every clockEvery until the context ends.
func (s *Site) clock(ctx context.Context) {
	t := time.NewTicker(clockEvery)
	defer t.Stop()
	last := time.Now()
	for {
		select {
		case <-ctx.Done():
			return
		case <-t.C:
		}
		s.mu.Lock()
		now := s.Now()
		// A suspended machine shows as a jump of the wall clock, a stopped process as a
		// jump of the monotonic clock.
		this := time.Now()
		s.stalled = max(s.stalled, this.Sub(last), this.Round(0).Sub(last.Round(0)))
		last = this
		s.answer(s.store.Advance(now))
		s.cloudEvents(now, s.cloud.Advance(now))
		for _, name := range s.machineNames() {
			if m := s.machines[name]; m.up && !m.gone && now >= m.wake {
				s.drive(now, name, m, m.Advance(now))
			}
		}
		s.check.Tick(now)
		s.mu.Unlock()
	}
}

func (s *Site) machineNames() []string {
	out := make([]string, 0, len(s.machines))
	for n := range s.machines {
		out = append(out, n)
	}
	sort.Strings(out)
	return out
}

// cloudEvents starts machines, delivers reclaim notices to them and removes them.
func (s *Site) cloudEvents(now time.Duration, list []cloud.Event) {
	for _, e := range list {
		switch e.Kind {
		case cloud.Up:
			s.machineUp(now, e.Machine)
		case cloud.Noticed:
			if m := s.machines[e.Machine]; m != nil {
				m.Notice(now + e.Notice)
				s.drive(now, e.Machine, m, m.Advance(now))
			}
		case cloud.Gone:
			s.machineGone(now, e.Machine)
		}
	}
}

func (s *Site) machineUp(now time.Duration, name string) {
	h := s.cloud.Host(name)
	m := &machine{up: true, post: newPoster(s, name)}
	addr, stop, err := s.listenWorker(name)
	if err != nil {
		s.log.Error("worker could not open its listener", "machine", name, "err", err.Error())
		return
	}
	m.close = stop
	s.cloud.SetAddr(name, addr)
	first := 0
	for i, n := range s.names { // workers try a controller of their own zone first
		if s.ZoneOf(n) == h.Zone {
			first = i
			break
		}
	}
	m.Worker = worker.New(now, h.MachineInfo, worker.Params{Report: s.Spec.Report, Lease: s.Spec.Lease, Nodes: s.names, First: first,
		Type: s.Spec.Type, Speed: 0.95 + 0.1*s.rng.Float64()}, s.work, s.rng)
	s.machines[name] = m
	s.check.MachineUp(checker.Machine{Name: name, Type: h.Type, Zone: h.Zone, Spot: h.Spot})
	s.publish(Event{At: now, Kind: MachineUp, Machine: name})
	s.drive(now, name, m, m.Advance(now))
}

func (s *Site) machineGone(now time.Duration, name string) {
	m := s.machines[name]
	if m == nil || m.gone {
		return
	}
	s.effects(now, name, m, m.Vanish())
	m.gone = true
	m.close()
	s.publish(Event{At: now, Kind: MachineGone, Machine: name})
}

func (s *Site) publish(e Event) {
	if s.observe != nil {
		s.observe(e)
	}
}

// drive carries out the effects of a worker and records when it has to be advanced next.
func (s *Site) drive(now time.Duration, name string, m *machine, list []any) {
	s.effects(now, name, m, list)
	m.wake = now + time.Hour
	if at, ok := m.Next(); ok {
		m.wake = max(at, now+time.Millisecond)
	}
}

func (s *Site) effects(now time.Duration, name string, m *machine, list []any) {
	for _, e := range list {
		switch v := e.(type) {
		case worker.Send:
			s.check.Reported(now, name, &v.Report)
			m.post.send(v)
		case worker.Ordered:
			s.publish(Event{At: now, Kind: TaskOrdered, Machine: name, Task: v.Task, Attempt: v.Attempt})
		case worker.Started:
			s.check.TaskStarted(now, name, v.Task, v.Attempt)
			s.publish(Event{At: now, Kind: TaskStarted, Machine: name, Task: v.Task, Attempt: v.Attempt})
		case worker.Left:
			s.check.TaskLeft(now, name, v.Task, v.Cause)
			s.publish(Event{At: now, Kind: TaskLeft, Machine: name, Task: v.Task, Attempt: v.Attempt, Cause: v.Cause})
		}
	}
}

// Machines returns the machines that are up, with the tasks that run on each.
func (s *Site) Machines() map[string][]string {
	s.mu.Lock()
	defer s.mu.Unlock()
	out := map[string][]string{}
	for n, m := range s.machines {
		if !m.gone {
			out[n] = m.Running()
		}
	}
	return out
}

// Running returns the machines that tasks of a job run on now, one entry per task, sorted.
func (s *Site) Running(job string) (out []string) {
	for m, tasks := range s.Machines() {
		for _, t := range tasks {
			if id, _, _ := wire.ParseTask(t); id == job {
				out = append(out, m)
			}
		}
	}
	sort.Strings(out)
	return out
}

// Leader returns the leading controller according to the state service, "" if there is none.
func (s *Site) Leader() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	it, ok := s.store.Peek(wire.KeyLeader)
	var l wire.Leader
	if !ok || wire.Unmarshal(it.Value, &l) != nil {
		return ""
	}
	return l.Node
}

// HolderOf returns the controller that holds the shard of a team, "" if there is none.
func (s *Site) HolderOf(team string) (holder string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.store.Scan(wire.PrefixShard, func(it wire.Item) {
		var r wire.Shard
		if wire.Unmarshal(it.Value, &r) == nil {
			for _, t := range r.Teams {
				if t == team {
					holder = r.Holder
				}
			}
		}
	})
	return holder
}

// Stalled returns the longest time for which this process was suspended, including
// because the machine was: what is observed then says nothing about the cluster.
func (s *Site) Stalled() time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.stalled
}

// State is a snapshot of a machine.
type State struct {
	Name      string
	LeaseLeft time.Duration // time until its worker gives up its tasks
	Reported  time.Duration // time since it sent its last report
	Tasks     []string      // tasks on the machine
}

// States returns snapshots of the named machines; machines that are unknown or gone are omitted.
func (s *Site) States(names []string) (out []State) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, n := range names {
		if m := s.machines[n]; m != nil && !m.gone {
			x := State{Name: n, Tasks: m.Running()}
			x.LeaseLeft, x.Reported = m.Lease(s.Now())
			out = append(out, x)
		}
	}
	return out
}

// Begun returns the wall-clock time at which the site's time starts.
func (s *Site) Begun() time.Time { return s.startedAt }

// Direct returns the address that a controller's process itself listens on, unaffected by link faults.
func (s *Site) Direct(controller string) string { return s.addrOf(controller) }
