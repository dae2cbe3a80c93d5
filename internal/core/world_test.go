package core

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"sort"
	"strings"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"github.com/google/go-cmp/cmp/cmpopts"

	"github.com/barrowbridge/barrowbridge/internal/placement"
	"github.com/barrowbridge/barrowbridge/wire"
)

// world is a scripted deployment around real cores: a state service, a cloud,
// workers and users, all on one fake clock and one seed. It checks the
// protocol's rules itself, whatever a test does.
type world struct {
	t     testing.TB
	now   time.Duration
	rng   *rand.Rand
	queue events
	seq   int

	// state service
	keys      map[string]wire.Item
	rev       uint64
	history   []wire.Event
	grants    map[uint64]time.Duration
	lastID    uint64
	stateUp   bool
	cutState  map[string]bool // nodes alone without the state service
	watches   []*watch
	conflicts int     // transactions whose conditions failed
	writeRPS  float64 // limit on changes; 0: none
	tokens    float64
	refilled  time.Duration
	writes    int  // changes made
	tooOld    bool // the next watch is answered 410

	types    []wire.MachineType
	machines map[string]*worker
	order    []string
	bookings map[string][]string
	cloudUp  bool
	capacity int
	ghosts   map[string]bool // gone, and listed still
	unborn   int             // of the next machines rented, so many never come up

	nodes   map[string]*ctrl
	params  func(node string) Params
	teams   map[string]Team
	jobs    map[string]*userJob
	cancelS time.Duration
	apart   map[[2]string]bool // zone pairs that cannot reach each other
	lost    map[string]bool    // controllers that no worker reaches
	broken  []string
}

type ctrl struct {
	name    string
	core    *Core
	began   time.Duration
	life    int
	reqs    uint64
	waiting map[uint64]func(Answer)
}

type watch struct {
	prefix string
	after  uint64
	until  time.Duration
	reply  func(StateReply)
}

// worker follows the protocol's side of a machine.
type worker struct {
	info     wire.MachineInfo
	up       time.Duration
	session  uint64
	seq      uint64
	token    uint64
	tasks    map[string]*running
	node     int
	lastSent time.Duration // when the last answered report was sent
	hung     bool
	gone     bool
	inFlight bool
	runS     time.Duration
	sick     bool
}

type running struct {
	name   string
	try    uint64
	status string
	cause  string
	until  time.Duration
	job    string
}

type userJob struct {
	spec     wire.JobSpec
	accepted bool
	final    string
	aborted  time.Duration
	done     map[string]bool
}

type event struct {
	at  time.Duration
	seq int
	f   func()
}
type events []event

func (e events) Len() int { return len(e) }
func (e events) Less(i, j int) bool {
	return e[i].at < e[j].at || e[i].at == e[j].at && e[i].seq < e[j].seq
}
func (e events) Swap(i, j int) { e[i], e[j] = e[j], e[i] }
func (e *events) Push(x any)   { *e = append(*e, x.(event)) }
func (e *events) Pop() any {
	o := *e
	x := o[len(o)-1]
	*e = o[:len(o)-1]
	return x
}

func newWorld(t testing.TB, seed uint64, nodes int) *world {
	w := &world{t: t, rng: rand.New(rand.NewPCG(seed, 1)), keys: map[string]wire.Item{}, grants: map[uint64]time.Duration{},
		stateUp: true, cloudUp: true, cutState: map[string]bool{}, machines: map[string]*worker{}, bookings: map[string][]string{}, capacity: 40,
		nodes: map[string]*ctrl{}, jobs: map[string]*userJob{}, apart: map[[2]string]bool{}, lost: map[string]bool{}, cancelS: 40 * time.Second,
		teams: map[string]Team{"red": {CPUs: 8, CPUsMax: 12}, "blue": {CPUs: 8, CPUsMax: 12}, "green": {CPUs: 8, CPUsMax: 12}},
		types: []wire.MachineType{{Name: "std", CPUs: 4, MemoryGB: 16, FetchGBps: 1, Price: 0.2, SpotPrice: 0.05, BootS: 5, Zones: []string{"n", "s"}}},
	}
	all := map[string]string{}
	for i := range nodes {
		all[fmt.Sprintf("c%d", i)] = []string{"n", "s"}[i%2]
	}
	w.params = func(node string) Params {
		return Params{Node: node, Zone: all[node], Nodes: all, Teams: w.teams, Lease: 10 * time.Second, Cancel: w.cancelS,
			Report: 2 * time.Second, ListLag: 4 * time.Second, TxnOps: 8, ValueBytes: 8192}
	}
	for _, n := range sortedKeys(all) {
		w.nodes[n] = &ctrl{name: n}
		w.start(n)
	}
	return w
}

func (w *world) at(d time.Duration, f func()) {
	w.seq++
	heap.Push(&w.queue, event{w.now + d, w.seq, f})
}

func (w *world) run(d time.Duration) {
	end := w.now + d
	for len(w.queue) > 0 && w.queue[0].at <= end {
		e := heap.Pop(&w.queue).(event)
		w.now = e.at
		e.f()
	}
	w.now = end
	if len(w.broken) > 0 {
		w.t.Fatalf("rules broken:\n%s", strings.Join(w.broken, "\n"))
	}
}

func (w *world) fail(format string, a ...any) {
	w.broken = append(w.broken, fmt.Sprintf("%v: ", w.now)+fmt.Sprintf(format, a...))
}

func (w *world) lag() time.Duration {
	return 2*time.Millisecond + time.Duration(w.rng.IntN(8))*time.Millisecond
}

func (w *world) start(name string) {
	n := w.nodes[name]
	n.core, n.began, n.waiting = New(w.params(name)), w.now, map[uint64]func(Answer){}
	n.life++
	w.tick(n, n.life)
}

func (w *world) kill(name string) {
	n := w.nodes[name]
	n.core = nil
	n.life++
}

func (w *world) tick(n *ctrl, life int) {
	if n.life != life || n.core == nil {
		return
	}
	w.step(n, Tick{})
	w.at(50*time.Millisecond, func() { w.tick(n, life) })
}

func (w *world) step(n *ctrl, in any) {
	if n.core == nil {
		return
	}
	life := n.life
	back := func(in any) func() {
		return func() {
			if n.life == life {
				w.step(n, in)
			}
		}
	}
	for _, e := range n.core.Step(w.now-n.began, time.UnixMilli(1e12).Add(w.now), in) {
		switch v := e.(type) {
		case Answer:
			if f := n.waiting[v.Req]; f != nil {
				delete(n.waiting, v.Req)
				f(v)
			}
		case StateCall:
			w.at(w.lag(), func() {
				w.store(n.name, v, func(r StateReply) { w.at(w.lag(), back(StateDone{v.ID, r})) })
			})
		case CloudCall:
			w.at(w.lag(), func() { r := w.cloud(v); w.at(w.lag(), back(CloudDone{v.ID, r})) })
		case PeerSend:
			a, b := w.params(n.name).Zone, w.params(v.To).Zone
			if a != b && (w.apart[[2]string{a, b}] || w.apart[[2]string{b, a}]) {
				continue
			}
			w.at(w.lag(), func() { w.step(w.nodes[v.To], Peer{v.Msg}) })
		case Log:
			if v.Level == 0 || testing.Verbose() {
				w.t.Logf("%v %s: %s %v", w.now, n.name, v.Msg, v.KV)
			}
		}
	}
}

// ask puts a request to a node; f gets its answer unless the node dies.
func (w *world) ask(node string, in func(req uint64) any, f func(Answer)) {
	n := w.nodes[node]
	if n.core == nil {
		return
	}
	n.reqs++
	n.waiting[n.reqs] = f
	w.step(n, in(n.reqs))
}

// ---- state service

func (w *world) setKey(key string, v any, lease uint64) {
	raw, err := wire.Marshal(v)
	if err != nil {
		w.t.Fatal(err)
	}
	w.keys[key] = wire.Item{Key: key, Value: raw, Version: w.rev, Lease: lease}
	w.history = append(w.history, wire.Event{Put: key, Value: raw, Version: w.rev})
}

func (w *world) delKey(key string) {
	if _, ok := w.keys[key]; ok {
		delete(w.keys, key)
		w.history = append(w.history, wire.Event{Delete: key, Version: w.rev})
	}
}

func (w *world) expire() {
	for _, id := range sortedU64(w.grants) {
		if w.now <= w.grants[id] || !w.stateUp {
			continue
		}
		delete(w.grants, id)
		w.rev++
		for _, k := range sortedKeys(w.keys) {
			if w.keys[k].Lease == id {
				w.delKey(k)
			}
		}
	}
	w.wake()
}

func sortedU64(m map[uint64]time.Duration) []uint64 {
	var ks []uint64
	for k := range m {
		ks = append(ks, k)
	}
	sort.Slice(ks, func(i, j int) bool { return ks[i] < ks[j] })
	return ks
}

func (w *world) outage(d time.Duration) {
	w.stateUp = false
	w.at(d, func() {
		w.stateUp = true
		for id := range w.grants {
			w.grants[id] = w.now + 3*time.Second
		}
	})
}

func (w *world) wake() {
	var rest []*watch
	for _, x := range w.watches {
		var ev wire.Events
		for _, h := range w.history {
			if h.Version > x.after && strings.HasPrefix(h.Put+h.Delete, x.prefix) {
				ev.Events = append(ev.Events, h)
			}
		}
		if len(ev.Events) > 0 && w.stateUp || w.now >= x.until {
			ev.Revision = w.rev
			if !w.stateUp {
				ev = wire.Events{Revision: x.after}
			}
			x.reply(StateReply{Status: 200, Events: ev})
		} else {
			rest = append(rest, x)
		}
	}
	w.watches = rest
}

func (w *world) store(node string, c StateCall, reply func(StateReply)) {
	w.expire()
	if !w.stateUp || w.cutState[node] {
		reply(StateReply{Status: 503})
		return
	}
	switch c.Op {
	case OpGet:
		if it, ok := w.keys[c.Key]; ok {
			reply(StateReply{Status: 200, Item: it})
		} else {
			reply(StateReply{Status: 404, List: wire.ItemList{Revision: w.rev}})
		}
	case OpList:
		l := wire.ItemList{Revision: w.rev}
		for _, k := range sortedKeys(w.keys) {
			if strings.HasPrefix(k, c.Key) && k > c.After {
				if len(l.Items) == 20 { // short pages, to be crossed
					l.More = true
					break
				}
				l.Items = append(l.Items, w.keys[k])
			}
		}
		reply(StateReply{Status: 200, List: l})
	case OpGrant:
		w.lastID++
		w.grants[w.lastID] = w.now + 3*time.Second
		w.at(3*time.Second+time.Millisecond, w.expire)
		reply(StateReply{Status: 200, Lease: w.lastID})
	case OpExtend:
		if _, ok := w.grants[c.Lease]; !ok {
			reply(StateReply{Status: 404})
			return
		}
		w.grants[c.Lease] = w.now + 3*time.Second
		w.at(3*time.Second+time.Millisecond, w.expire)
		reply(StateReply{Status: 200})
	case OpWatch:
		if w.tooOld {
			w.tooOld = false
			reply(StateReply{Status: 410})
			return
		}
		w.watches = append(w.watches, &watch{c.Key, c.Revision, w.now + c.Hold, reply})
		w.at(c.Hold, w.wake)
		w.wake()
	case OpCommit:
		if len(c.Txn.Then) > 8 || len(c.Txn.If) > 32 {
			w.fail("transaction of %d changes and %d conditions", len(c.Txn.Then), len(c.Txn.If))
		}
		var failed []string
		for _, x := range c.Txn.If {
			if w.keys[x.Key].Version != x.Version {
				failed = append(failed, x.Key)
			}
		}
		if failed != nil {
			w.conflicts++
			reply(StateReply{Status: 409, Txn: wire.TxnReply{Failed: failed, Revision: w.rev}})
			return
		}
		if n := float64(len(c.Txn.Then)); w.writeRPS > 0 && n > 0 {
			w.tokens = min(w.writeRPS, w.tokens+w.writeRPS*(w.now-w.refilled).Seconds())
			w.refilled = w.now
			if w.tokens < n {
				reply(StateReply{Status: 429, Err: "too many writes"})
				return
			}
			w.tokens -= n
		}
		w.writes += len(c.Txn.Then)
		for _, ch := range c.Txn.Then {
			if _, ok := w.grants[ch.Lease]; ch.Lease != 0 && !ok {
				reply(StateReply{Status: 400, Err: "no such lease"})
				return
			}
		}
		if len(c.Txn.Then) > 0 {
			w.rev++
		}
		for _, ch := range c.Txn.Then {
			if ch.Delete != "" {
				w.delKey(ch.Delete)
			} else {
				w.setKey(ch.Put, ch.Value, ch.Lease)
			}
		}
		reply(StateReply{Status: 200, Txn: wire.TxnReply{Revision: w.rev}})
		w.wake()
	}
}

// ---- cloud

func (w *world) cloud(c CloudCall) CloudReply {
	if !w.cloudUp {
		return CloudReply{Status: 503, Err: "trouble"}
	}
	switch c.Op {
	case OpTypes:
		return CloudReply{Status: 200, Types: w.types}
	case OpMachines:
		r := CloudReply{Status: 200}
		for _, n := range w.order {
			if m := w.machines[n]; !m.gone || w.ghosts[n] {
				i := m.info
				i.Status = wire.MachineRunning
				r.List.Machines = append(r.List.Machines, i)
			}
		}
		return r
	case OpRent:
		if names, ok := w.bookings[c.Rent.Request]; ok {
			return CloudReply{Status: 200, Names: names}
		}
		var names []string
		for range c.Rent.Count {
			live := 0
			for _, m := range w.machines {
				if !m.gone {
					live++
				}
			}
			if live < w.capacity {
				names = append(names, w.addMachine(c.Rent.Zone, c.Rent.Spot, 3*time.Second))
			}
		}
		if names == nil {
			return CloudReply{Status: 503, Err: "no capacity"}
		}
		w.bookings[c.Rent.Request] = names
		return CloudReply{Status: 200, Names: names}
	case OpDelete:
		for _, n := range c.Names {
			if m := w.machines[n]; m != nil {
				m.gone = true
				m.tasks = nil
			}
		}
		return CloudReply{Status: 200}
	}
	return CloudReply{Status: 400}
}

func (w *world) addMachine(zone string, spot bool, boot time.Duration) string {
	name := fmt.Sprintf("n-%06d", len(w.order))
	w.order = append(w.order, name)
	m := &worker{info: wire.MachineInfo{Name: name, Type: "std", Zone: zone, Spot: spot}, session: 1, tasks: map[string]*running{}, runS: 4 * time.Second}
	w.machines[name] = m
	if w.unborn > 0 {
		w.unborn--
		return name
	}
	w.at(boot, func() { m.up = w.now; m.lastSent = w.now; w.report(m) })
	return name
}

// ---- workers

func (m *worker) listing() []wire.TaskReport {
	var out []wire.TaskReport
	for _, k := range sortedKeys(m.tasks) {
		r := m.tasks[k]
		out = append(out, wire.TaskReport{Task: r.name, Attempt: r.try, Status: r.status, Cause: r.cause})
	}
	return out
}

// alive tells whether what a machine's list names is on it: the lease kills
// tasks by itself, hung or cut off or not.
func (w *world) alive(m *worker) bool {
	return !m.gone && w.now-m.lastSent <= 10*time.Second
}

func (w *world) report(m *worker) {
	if m.gone {
		return
	}
	if m.hung {
		w.at(200*time.Millisecond, func() { w.report(m) })
		return
	}
	if w.now-m.lastSent > 10*time.Second {
		m.session++
		m.tasks, m.lastSent = map[string]*running{}, w.now
	}
	for _, k := range sortedKeys(m.tasks) {
		r := m.tasks[k]
		if r.status == wire.TaskRunning && r.until > 0 && w.now >= r.until {
			r.status, r.cause = wire.TaskEnded, wire.CauseDone
			if m.sick {
				r.cause = wire.CauseError
			} else {
				w.jobs[r.job].done[r.name] = true
			}
		}
	}
	names := sortedKeys(w.nodes)
	to := names[m.node%len(names)]
	m.seq++
	sent, session := w.now, m.session
	rep := wire.Report{Machine: m.info.Name, Type: "std", Zone: m.info.Zone, Spot: m.info.Spot, Session: m.session, Seq: m.seq, Token: m.token, Attempts: m.listing()}
	answered := false
	next := func(d time.Duration) { w.at(d, func() { w.report(m) }) }
	give := func() {
		if !answered {
			answered = true
			m.node++
			next(time.Second)
		}
	}
	if w.nodes[to].core == nil {
		give() // refused
		return
	}
	w.at(4*time.Second, give)
	zone := w.params(to).Zone
	if w.lost[to] || w.apart[[2]string{m.info.Zone, zone}] || w.apart[[2]string{zone, m.info.Zone}] {
		return
	}
	w.at(w.lag(), func() {
		w.ask(to, func(id uint64) any { return WorkerReport{id, rep} }, func(a Answer) {
			w.at(w.lag(), func() {
				if answered || m.gone || m.hung || session != m.session {
					return // dropped, the worker has given up on it
				}
				answered = true
				switch a.Status {
				case 200:
					r := a.Body.(wire.ReportReply)
					if r.Token >= m.token {
						higher := r.Token > m.token
						m.token, m.lastSent = r.Token, sent
						if w.execute(m, r.Commands) || higher {
							next(500 * time.Millisecond)
							return
						}
					}
					next(1500 * time.Millisecond)
				case 421:
					h := a.Body.(wire.Redirect).Holder
					for i, n := range names {
						if n == h && i != m.node%len(names) {
							m.node = i
							next(100 * time.Millisecond)
							return
						}
					}
					m.node++
					next(time.Second)
				default:
					m.node++
					next(time.Second)
				}
			})
		})
	})
}

func (w *world) execute(m *worker, cmds []wire.Command) bool {
	for _, c := range cmds {
		key := fmt.Sprintf("%s#%d", c.Task, c.Attempt)
		switch c.Verb {
		case wire.VerbRun:
			if m.tasks[key] != nil {
				continue
			}
			id, _, _ := wire.ParseTask(c.Task)
			j := w.jobs[id]
			for _, o := range w.order {
				for _, r := range w.machines[o].tasks {
					if w.alive(w.machines[o]) && r.name == c.Task && r.status != wire.TaskEnded {
						w.fail("ran_twice: %s on %s while on %s", c.Task, m.info.Name, o)
					}
				}
			}
			if j.aborted > 0 && w.now > j.aborted+w.cancelS {
				w.fail("ran_cancelled: %s started", c.Task)
			}
			if m.info.Spot && !*j.spec.Spot || j.spec.Zone != nil && *j.spec.Zone != m.info.Zone {
				w.fail("wrong_place: %s on %s", c.Task, m.info.Name)
			}
			w.checkPlace(j, id, c.Task, m.info.Zone)
			r := &running{name: c.Task, try: c.Attempt, status: wire.TaskRunning, job: id}
			if *j.spec.Shape == wire.ShapeBatch {
				r.until = w.now + m.runS + time.Duration(w.rng.IntN(4000))*time.Millisecond
			}
			m.tasks[key] = r
			w.checkQuota(*j.spec.Team)
		case wire.VerbStop:
			if r := m.tasks[key]; r != nil && r.status != wire.TaskEnded {
				r.status, r.cause = wire.TaskEnded, wire.CauseHalted
			}
		case wire.VerbClear:
			if r := m.tasks[key]; r != nil && r.status == wire.TaskEnded {
				delete(m.tasks, key)
			}
		}
	}
	return len(cmds) > 0
}

// checkPlace: one zone for all tasks, or at most half of them in one, as asked.
func (w *world) checkPlace(j *userJob, id, task, zone string) {
	here, total := 1, 1
	for _, m := range w.machines {
		for _, r := range m.tasks {
			if w.alive(m) && r.job == id && r.status != wire.TaskEnded {
				total++
				if m.info.Zone == zone {
					here++
				}
			}
		}
	}
	if *j.spec.OneZone && here < total {
		w.fail("wrong_place: %s in %s, others elsewhere", task, zone)
	}
	if *j.spec.Spread && here > (int(*j.spec.Tasks)+1)/2 {
		w.fail("wrong_place: %d tasks of %s in %s", here, id, zone)
	}
}

func (w *world) checkQuota(team string) {
	sum := 0.0
	for _, m := range w.machines {
		for _, r := range m.tasks {
			if j := w.jobs[r.job]; w.alive(m) && r.status != wire.TaskEnded && *j.spec.Team == team {
				sum += *j.spec.CPUs
			}
		}
	}
	if sum > w.teams[team].CPUsMax {
		w.fail("quota: team %s uses %g cpus", team, sum)
	}
}

// checkAborted: nothing of an aborted job is on a machine past cancel_s.
func (w *world) checkAborted() {
	for _, n := range w.order {
		m := w.machines[n]
		for _, r := range m.tasks {
			if j := w.jobs[r.job]; w.alive(m) && r.status != wire.TaskEnded && j.aborted > 0 && w.now > j.aborted+w.cancelS {
				w.fail("ran_cancelled: %s still on %s", r.name, n)
			}
		}
	}
	w.at(time.Second, w.checkAborted)
}

// ---- users

func ptr[T any](v T) *T { return &v }

func spec(id, team, shape string, tasks int) wire.JobSpec {
	return wire.JobSpec{ID: &id, Class: ptr("any"), Team: &team, Shape: &shape, Priority: ptr("normal"), Tasks: ptr(int64(tasks)),
		CPUs: ptr(1.0), GPUs: ptr(0.0), MemoryGB: ptr(2.0), OneZone: ptr(false), Spread: ptr(false), Spot: ptr(true),
		Image: ptr("img"), ImageGB: ptr(1.0), EstimateS: ptr(5.0), CheckpointEvery: ptr(0.0), SaveS: ptr(0.0), DueS: ptr(120.0)}
}

// submit repeats a submission, from node to node, until it is answered.
func (w *world) submit(s wire.JobSpec) {
	w.jobs[*s.ID] = &userJob{spec: s, done: map[string]bool{}}
	w.send(func(id uint64) any { return Submit{id, s} }, func(a Answer) bool {
		if a.Status == 200 || a.Status == 201 {
			w.jobs[*s.ID].accepted = true
		}
		return a.Status < 429
	})
}

func (w *world) send(in func(uint64) any, ok func(Answer) bool) {
	names := sortedKeys(w.nodes)
	n := names[w.rng.IntN(len(names))]
	settled := false
	again := func() {
		if !settled {
			settled = true
			w.send(in, ok)
		}
	}
	w.at(5*time.Second, again)
	w.ask(n, in, func(a Answer) {
		if !settled && ok(a) {
			settled = true
		} else {
			w.at(time.Second, again)
		}
	})
}

func (w *world) abort(id string) {
	w.send(func(q uint64) any { return Abort{q, id} }, func(a Answer) bool {
		if a.Status == 200 {
			w.told(id, a.Body.(wire.JobStatus).Status)
			if a.Body.(wire.JobStatus).Status == wire.JobAborted && w.jobs[id].aborted == 0 {
				w.jobs[id].aborted = w.now
			}
			return true
		}
		return a.Status == 404
	})
}

// told checks an answer against what users were told before.
func (w *world) told(id, status string) {
	j := w.jobs[id]
	if j.final != "" && status != j.final {
		w.fail("went_back: %s was %s, now %s", id, j.final, status)
	}
	if status == wire.JobDone && len(j.done) < int(*j.spec.Tasks) {
		w.fail("not_done: %s has %d of %d tasks", id, len(j.done), *j.spec.Tasks)
	}
	if status == wire.JobDone || status == wire.JobAborted {
		j.final = status
	}
}

func (w *world) poll(node, id string) {
	// Only what users had been told before asking binds the answer.
	known, before := w.jobs[id] != nil && w.jobs[id].accepted, ""
	if known {
		before = w.jobs[id].final
	}
	w.ask(node, func(q uint64) any { return Poll{q, id} }, func(a Answer) {
		j := w.jobs[id]
		switch {
		case a.Status == 200 && j == nil:
			w.fail("invented: %s", id)
		case a.Status == 200:
			if st := a.Body.(wire.JobStatus).Status; before != "" || st == wire.JobDone || st == wire.JobAborted {
				w.told(id, st)
			}
		case a.Status == 404 && known:
			w.fail("forgotten: %s", id)
		}
	})
}

func (w *world) pollAll() {
	for _, id := range sortedKeys(w.jobs) {
		for _, n := range sortedKeys(w.nodes) {
			if w.rng.IntN(3) == 0 {
				w.poll(n, id)
			}
		}
	}
	w.at(3*time.Second, w.pollAll)
}

func (w *world) unfinished() (out []string) {
	for _, id := range sortedKeys(w.jobs) {
		if j := w.jobs[id]; *j.spec.Shape == wire.ShapeBatch && j.final == "" {
			out = append(out, id)
		}
	}
	return out
}

// recount counts afresh, the plain way, what the cores keep up as they go: the
// fast way must never choose otherwise than the plain one would.
func (w *world) recount() {
	for _, name := range sortedKeys(w.nodes) {
		c := w.nodes[name].core
		if c == nil {
			continue
		}
		in, dropping, home := map[string]string{}, map[string]bool{}, map[string]int{}
		for _, id := range sortedKeys(c.blocks) {
			for _, bm := range c.blocks[id].rec.Machines {
				in[bm.Name] = id
				if bm.Drop {
					dropping[bm.Name] = true
				}
			}
		}
		for i := len(c.shards) - 1; i >= 0; i-- {
			for _, t := range c.shards[i].rec.Teams {
				home[t] = i
			}
		}
		use, onTask := map[string]placement.Size{}, map[string]int{}
		for _, mn := range sortedKeys(c.machines) {
			m := c.machines[mn]
			free, _ := c.sizeOf(m.typ)
			unknown := m.inherited && !m.accounted
			for _, k := range sortedAttempts(m) {
				a := m.attempts[k]
				onTask[k.task]++
				if a.status == wire.TaskEnded {
					continue
				}
				if !a.known {
					free, unknown = placement.Size{CPUs: -100}, true
					continue
				}
				free = free.Sub(a.size)
				use[a.team] = use[a.team].Add(a.size)
			}
			if free.CPUs < -50 {
				free = placement.Size{}
			}
			w.same(name+" free "+mn, free, c.free(m), cmpopts.EquateApprox(0, 1e-9))
			if unknown {
				use = nil // counted as all of the machine; see usage
				break
			}
		}
		if use != nil {
			got := c.usage()
			for t := range w.teams {
				w.same(name+" usage of "+t, use[t], got[t], cmpopts.EquateApprox(0, 1e-9))
			}
			tasks := map[string]int{}
			for t, list := range c.onTask {
				tasks[t] = len(list)
			}
			w.same(name+" attempts by task", onTask, tasks)
		}
		w.same(name+" blocks of machines", in, c.blockIn)
		w.same(name+" machines to delete", dropping, c.dropping)
		w.same(name+" shards of teams", home, c.teamHome)
		w.same(name+" blocks", sortedKeys(c.blocks), c.blockIDs(), cmpopts.EquateEmpty())
		w.same(name+" jobs", len(c.jobs), len(c.jobsByAge()))
		w.same(name+" machines", len(c.machines), len(c.heldMachines()))
	}
}

func (w *world) same(what string, want, got any, opts ...cmp.Option) {
	if diff := cmp.Diff(want, got, opts...); diff != "" {
		w.t.Fatalf("%v: %s: counted afresh (-), kept up (+):\n%s", w.now, what, diff)
	}
}

// shardRec is a team's shard as the state has it.
func (w *world) shardRec(team string) (r wire.Shard) {
	for _, k := range sortedKeys(w.keys) {
		if strings.HasPrefix(k, wire.PrefixShard) {
			if r = (wire.Shard{}); wire.Unmarshal(w.keys[k].Value, &r) == nil && contains(r.Teams, team) {
				return r
			}
		}
	}
	w.t.Fatalf("team %s has no shard", team)
	return r
}

// holderOf names the holder of a machine's block as the state has it.
func (w *world) holderOf(machine string) string {
	for _, k := range sortedKeys(w.keys) {
		if !strings.HasPrefix(k, wire.PrefixBlock) {
			continue
		}
		var b wire.Block
		_ = wire.Unmarshal(w.keys[k].Value, &b)
		for _, m := range b.Machines {
			if m.Name == machine {
				var s wire.Shard
				_ = wire.Unmarshal(w.keys[shardKey(b.Shard)].Value, &s)
				return s.Holder
			}
		}
	}
	return ""
}
