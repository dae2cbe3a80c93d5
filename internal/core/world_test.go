package core

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/barrowbridge/barrowbridge/internal/checker"
	"github.com/barrowbridge/barrowbridge/internal/rollout"
	"github.com/barrowbridge/barrowbridge/internal/standin/cloud"
	"github.com/barrowbridge/barrowbridge/internal/standin/state"
	"github.com/barrowbridge/barrowbridge/internal/standin/worker"
	"github.com/barrowbridge/barrowbridge/internal/tuning"
	"github.com/barrowbridge/barrowbridge/wire"
)

// world is a simulated deployment around real cores: the emulator's state service, cloud and
// workers, and scripted users. Everything runs on one fake clock and one seed. The checker
// verifies the rules.
type world struct {
	t     testing.TB
	now   time.Duration
	rng   *rand.Rand
	queue events
	seq   int

	store    *state.Store
	calls    map[uint64]func(StateReply)
	callID   uint64
	limits   state.Limits
	reached  map[string]int      // calls to the state service that arrived, by node
	tried    map[string]int      // calls to the state service that were made, by node
	spent    func(time.Duration) // receives the real time that a core took for each input; may be nil
	watchLag time.Duration       // extra delay of answers to long-poll watches
	cutFrom  map[string]bool     // nodes whose calls the state service refuses
	unsure   int                 // percentage of state service calls that are lost, not answered, or executed or answered late

	cloud    *cloud.Cloud
	capacity int // machines of a type in a zone that can be rented
	machines map[string]*host
	order    []string
	work     *worker.Work
	reportS  time.Duration // interval of the workers' reports
	lease    time.Duration
	runS     time.Duration   // least run time of a task; up to 4 s are added
	bootS    time.Duration   // boot time of a machine
	absent   int             // percentage of rented machines that never come up
	fails    map[string]bool // jobs whose tasks fail

	nodes   map[string]*ctrl
	params  func(node string) Params
	teams   map[string]Team
	jobs    map[string]*userJob
	cancelS time.Duration
	slow    time.Duration      // when machines and cancelled tasks are checked next
	apart   map[[2]string]bool // zone pairs that cannot reach each other
	lost    map[string]bool    // controllers that no worker can reach
	kept    map[string]bool    // machines whose workers can reach the lost controllers nevertheless
	called  bool               // workers still receive and answer the calls of lost controllers
	oneWay  map[string]string  // controllers that receive no reports ("reports"), or whose calls reach no worker ("calls")
	noCloud map[string]bool    // controllers whose calls to the cloud get lost
	hung    map[string]bool    // controllers whose calls to the state service get lost
	mute    map[[2]string]bool // ordered pairs (from, to) of controllers whose messages get lost
	noWays  bool               // controllers relay no calls for each other, like those of earlier versions
	check   *checker.Checker
	troubles
	asked *effects // effects for the digest; nil if no digest is written
}

type ctrl struct {
	name        string
	core        *Core
	began       time.Duration
	incarnation int
	reqs        uint64
	waiting     map[uint64]func(Answer)
	still       time.Duration // paused until then; inputs that arrive before are queued in held
	held        []any
}

// host is a machine and its worker, which may not have started yet.
type host struct {
	*worker.Worker
	info wire.MachineInfo
	gone bool
	up   bool
	sick bool
	wake time.Duration // time of its next scheduled event
	// lapsed is set while the worker resumes after a hang that outlasted its lease: the tasks
	// that it now reports as killed have not run since the lease ended. Its new session holds
	// a lease again before it reports them.
	lapsed bool
}

type userJob struct{ spec wire.JobSpec }

type events []event

type event struct {
	at  time.Duration
	seq int
	f   func()
}

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

func newWorld(t testing.TB, seed uint64, nodes int, opts ...func(*world)) *world {
	w := &world{
		t:        t,
		rng:      rand.New(rand.NewPCG(seed, 1)),
		calls:    map[uint64]func(StateReply){},
		capacity: 10,
		runS:     4 * time.Second,
		bootS:    3 * time.Second,
		fails:    map[string]bool{},
		reportS:  2 * time.Second,
		lease:    10 * time.Second,
		limits:   state.Limits{ValueBytes: 8192, TxnOps: 8, PageItems: 20}, // short pages, so that lists take several
		machines: map[string]*host{},
		work:     worker.NewWork(),
		cutFrom:  map[string]bool{},
		reached:  map[string]int{},
		tried:    map[string]int{},
		nodes:    map[string]*ctrl{},
		jobs:     map[string]*userJob{},
		apart:    map[[2]string]bool{},
		lost:     map[string]bool{},
		hung:     map[string]bool{},
		noCloud:  map[string]bool{},
		oneWay:   map[string]string{},
		mute:     map[[2]string]bool{},
		cancelS:  40 * time.Second,
		teams: map[string]Team{
			"red":   {CPUs: 8, CPUsMax: 12},
			"blue":  {CPUs: 8, CPUsMax: 12},
			"green": {CPUs: 8, CPUsMax: 12},
		},
	}
	w.repeatRNG, w.carriedOut = rand.New(rand.NewPCG(seed, 2)), map[wire.TaskReport]bool{}
	for _, o := range opts {
		o(w)
	}
	w.digested()
	w.store = state.New(w.limits, w.rng)
	w.store.Trouble.Refused = w.cutFrom
	types := append([]wire.MachineType{{Name: "std", CPUs: 4, MemoryGB: 16, FetchGBps: 1, Price: 0.2, SpotPrice: 0.05, BootS: 5, Zones: []string{"n", "s"}}}, w.moreTypes...)
	w.cloud = cloud.New(cloud.Params{ListLag: 4 * time.Second, Otherwise: w.capacity, Types: types,
		Boot: func(wire.MachineType, *rand.Rand) time.Duration {
			if w.absent > 0 && w.rng.IntN(100) < w.absent {
				return 24 * time.Hour
			}
			return w.bootS
		}}, w.rng)
	limits := map[string]checker.Limit{}
	for n, t := range w.teams {
		limits[n] = checker.Limit{CPUs: t.CPUsMax, GPUs: t.GPUsMax}
	}
	w.check = checker.New(checker.Params{Teams: limits, Types: types, Rooms: w.rooms, Cancel: w.cancelS,
		Lapsed: func(m string, now time.Duration) bool { return w.machines[m].lapsed || !w.machines[m].Leased(now) }})
	all := map[string]string{}
	for i := range nodes {
		all[fmt.Sprintf("c%d", i)] = []string{"n", "s"}[i%2]
	}
	w.params = func(node string) Params {
		return Params{Node: node, Zone: all[node], NodeZones: all, Teams: w.teams, WorkerLease: w.lease, CancelTimeout: w.cancelS,
			ReportInterval: w.reportS, CloudListLag: 4 * time.Second, MaxTxnOps: w.limits.TxnOps, MaxValueBytes: w.limits.ValueBytes, Version: "new", Features: rollout.Features()}
	}
	for _, n := range sortedKeys(all) {
		w.nodes[n] = &ctrl{name: n}
		w.start(n)
	}
	w.clock()
	return w
}

// clock advances what depends on time alone: state leases, machines and cancelled tasks.
func (w *world) clock() {
	w.answers(w.store.Advance(w.now))
	if w.now >= w.slow {
		w.slow = w.now + 200*time.Millisecond
		w.cloudEvents(w.cloud.Advance(w.now))
		w.check.Tick(w.now)
		w.checkIdle()
	}
	w.at(20*time.Millisecond, w.clock)
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
	if b := w.check.Broken(); len(b) > 0 {
		w.t.Fatalf("rules broken:\n%v", b)
	}
}

func (w *world) lag() time.Duration {
	return 2*time.Millisecond + time.Duration(w.rng.IntN(8))*time.Millisecond + w.slowLinks
}

func (w *world) start(name string) {
	n := w.nodes[name]
	n.core, n.began, n.waiting, n.still, n.held = New(w.params(name)), w.now, map[uint64]func(Answer){}, 0, nil
	n.incarnation++
	w.tick(n, n.incarnation)
}

func (w *world) kill(name string) {
	n := w.nodes[name]
	n.core = nil
	n.incarnation++
}

func (w *world) tick(n *ctrl, incarnation int) {
	if n.incarnation != incarnation || n.core == nil {
		return
	}
	w.step(n, Tick{})
	w.at(50*time.Millisecond, func() { w.tick(n, incarnation) })
}

// stand pauses a controller for the duration d. Inputs that arrive meanwhile are processed in
// order afterwards.
func (w *world) stand(name string, d time.Duration) {
	n := w.nodes[name]
	incarnation := n.incarnation
	n.still = w.now + d
	w.at(d, func() {
		if n.incarnation == incarnation && w.now >= n.still {
			held := n.held
			n.held = nil
			w.step(n, Tick{}) // a process notices the time before the input that waits in its sockets
			for _, in := range held {
				w.step(n, in)
			}
		}
	})
}

func (w *world) step(n *ctrl, in any) {
	if n.core == nil {
		return
	}
	if w.now < n.still {
		if _, tick := in.(Tick); !tick {
			n.held = append(n.held, in)
		}
		return
	}
	incarnation := n.incarnation
	back := func(in any) func() {
		return func() {
			if n.incarnation == incarnation {
				w.step(n, in)
			}
		}
	}
	began := time.Now()
	out := n.core.Step(w.now-n.began, time.UnixMilli(1e12).Add(w.now), in)
	if w.spent != nil {
		w.spent(time.Since(began))
	}
	w.digest(n.name, out)
	for _, e := range out {
		switch v := e.(type) {
		case Answer:
			if f := n.waiting[v.Req]; f != nil {
				delete(n.waiting, v.Req)
				f(v)
			}
		case StateCall:
			w.reach(n.name, v, func(r StateReply) { w.at(w.lag(), back(StateDone{ID: v.ID, Reply: r})) })
		case CloudCall:
			if w.noCloud[n.name] {
				w.at(tuning.CloudCallTimeout, back(CloudDone{ID: v.ID}))
				continue
			}
			w.at(w.lag(), func() {
				r := w.callCloud(v)
				w.at(w.lag(), back(CloudDone{ID: v.ID, Reply: r}))
				w.repeatCloud(v, r.Status)
			})
		case WorkerCall:
			if v.RequestedBy == "" {
				w.checkOrder(n, v)
			}
			w.deliver(n, v, w.lag())
		case PeerSend:
			a, b := w.params(n.name).Zone, w.params(v.To).Zone
			if a != b && (w.apart[[2]string{a, b}] || w.apart[[2]string{b, a}]) || w.mute[[2]string{n.name, v.To}] {
				continue
			}
			if o := v.Msg.WorkerCall; o != nil {
				w.checkOrder(n, *o)
			}
			if w.noWays {
				v.Msg.RouteHops = 0
			}
			w.at(w.lag()+w.peerLate(n.name, v), func() { w.step(w.nodes[v.To], Peer{Msg: v.Msg}) })
			w.repeat(func() { w.step(w.nodes[v.To], Peer{Msg: v.Msg}) })
		case Log:
			if v.Level == 0 || testing.Verbose() {
				w.t.Logf("%v %s: %s %v", w.now, n.name, v.Msg, v.KV)
			}
		}
	}
}

// silence cuts a controller off from its peers, or reconnects it.
func (w *world) silence(name string, cut bool) {
	for n := range w.nodes {
		w.mute[[2]string{name, n}], w.mute[[2]string{n, name}] = cut, cut
	}
}

// ask sends a request to a node and calls f with the answer, unless the node ends before.
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

// storeOps maps the core's operations to those of the state service.
var storeOps = map[int]state.Op{OpGet: state.Get, OpList: state.List, OpCommit: state.Commit, OpGrant: state.Grant, OpExtend: state.Extend, OpWatch: state.Watch}

// reach delivers a call to the state service. The percentage unsure of the calls fails in one
// of four ways, equally often: the call is lost, it is executed and its answer is lost, it is
// executed up to 8 s late (possibly long after the caller timed out) and never answered, or
// its answer arrives so late that the watch has already reported later changes.
func (w *world) reach(node string, v StateCall, reply func(StateReply)) {
	lag := w.lag() + w.slowState/2
	if slow, answer := w.slowState/2, reply; slow > 0 {
		reply = func(r StateReply) { w.at(slow, func() { answer(r) }) }
	}
	w.tried[node]++
	reply = w.connections.opened(node, reply)
	if w.connections.hang && w.hung[node] {
		w.connect(node, v, reply)
		return
	}
	lag += w.unevenLag()
	if w.hung[node] {
		w.at(tuning.StateCallTimeout+v.Hold, func() { reply(StateReply{}) })
		return
	}
	w.reached[node]++
	lag += w.lateMark(node, v, lag)
	if late, hit := w.unanswered(node, v); hit { // executed late and never answered
		w.at(lag+late, func() { w.callStore(node, v, func(StateReply) {}) })
		w.at(tuning.StateCallTimeout, func() { reply(StateReply{}) })
		return
	}
	if v.Op == OpWatch && v.Hold > 0 && w.watchLag > 0 {
		late := w.watchLag
		w.at(lag, func() { w.callStore(node, v, func(r StateReply) { w.at(late, func() { reply(r) }) }) })
		return
	}
	if v.Op == OpWatch || w.unsure == 0 || w.rng.IntN(100) >= w.unsure {
		w.at(lag, func() { w.callStore(node, v, reply) })
		return
	}
	fate := w.rng.IntN(4)
	if fate == 3 {
		late := time.Duration(w.rng.IntN(1400)) * time.Millisecond
		w.at(lag, func() { w.callStore(node, v, func(r StateReply) { w.at(late, func() { reply(r) }) }) })
		return
	}
	if fate == 2 {
		lag += time.Duration(w.rng.IntN(8000)) * time.Millisecond
	}
	if fate > 0 {
		w.at(lag, func() { w.callStore(node, v, func(StateReply) {}) })
	}
	w.at(tuning.StateCallTimeout, func() { reply(StateReply{}) })
}

func (w *world) callStore(node string, c StateCall, reply func(StateReply)) {
	call := state.Call{Client: node, Op: storeOps[c.Op], Key: c.Key, After: c.After, Lease: c.Lease, Life: tuning.StateLeaseTTL, Revision: c.Revision, Hold: c.Hold}
	call.Txn.If = c.Txn.If
	for _, ch := range c.Txn.Then {
		x := state.Change{Put: ch.Put, Lease: ch.Lease, Delete: ch.Delete}
		if ch.Put != "" {
			raw, err := wire.Marshal(ch.Value)
			if err != nil {
				w.t.Fatal(err)
			}
			x.Value = raw
		}
		call.Txn.Then = append(call.Txn.Then, x)
	}
	if w.refusing != nil {
		if why := w.refusing(c); why != "" {
			reply(StateReply{Status: 400, Err: why})
			return
		}
	}
	w.callID++
	w.calls[w.callID] = func(r StateReply) {
		if r.Status == 200 && (c.Op == OpCommit || c.Op == OpGrant || c.Op == OpExtend) {
			w.repeat(func() { w.repeatStore(call) })
		}
		reply(r)
	}
	w.answers(w.store.Do(w.now, w.callID, call))
}

// repeatStore carries out a call of the state service once more, of which nobody awaits the answer.
func (w *world) repeatStore(call state.Call) {
	w.callID++
	w.calls[w.callID] = func(StateReply) {}
	w.answers(w.store.Do(w.now, w.callID, call))
}

// answers passes the state service's answers to the callers that wait for them.
func (w *world) answers(list []state.Answer) {
	for _, a := range list {
		f := w.calls[a.ID]
		delete(w.calls, a.ID)
		r := StateReply{Status: a.Status}
		switch b := a.Body.(type) {
		case wire.Item:
			r.Item = b
		case wire.Absent:
			r.List.Revision = b.Revision
		case wire.ItemList:
			r.List = b
		case wire.TxnReply:
			r.Txn = b
		case wire.LeaseReply:
			r.Lease = b.Lease
		case wire.Events:
			r.Events = b
		case wire.Problem:
			if r.Err = b.Error; a.Status == 400 && b.Error != "no such lease" {
				if w.malformed++; w.limitsUnannounced {
					break // the controllers do not know the service's lowered limits
				}
				w.t.Fatalf("%v: the state service refused a call as malformed: %s", w.now, b.Error)
			}
		}
		f(r)
	}
}

func (w *world) key(k string) wire.Item { it, _ := w.store.Peek(k); return it }

func (w *world) callCloud(c CloudCall) CloudReply {
	var r cloud.Reply
	switch c.Op {
	case OpTypes:
		r = w.cloud.Types(w.now)
	case OpMachines:
		r = w.cloud.List(w.now, c.After, 0)
	case OpRent:
		r = w.cloud.Rent(w.now, c.Rent)
	case OpDelete:
		var ev []cloud.Event
		r, ev = w.cloud.Delete(w.now, c.Names)
		w.cloudEvents(ev)
	}
	out := CloudReply{Status: r.Status}
	switch b := r.Body.(type) {
	case wire.MachineTypes:
		out.Types = b.Types
	case wire.MachineNames:
		for _, n := range b.Machines {
			w.newHost(w.cloud.Host(n).MachineInfo)
		}
		out.Names = b.Machines
	case wire.MachineList:
		out.List = b
	case wire.Problem:
		out.Err = b.Error
	}
	return out
}

// repeatCloud carries out a call of the cloud once more, of which nobody awaits the answer.
func (w *world) repeatCloud(call CloudCall, status int) {
	if status == 200 && (call.Op == OpRent || call.Op == OpDelete) {
		w.repeat(func() { w.callCloud(call) })
	}
}

func (w *world) cloudEvents(list []cloud.Event) {
	for _, e := range list {
		m := w.machines[e.Machine]
		switch e.Kind {
		case cloud.Up:
			m.up = true
			i := m.info
			w.check.MachineUp(checker.Machine{Name: i.Name, Type: i.Type, Zone: i.Zone, Spot: i.Spot})
			h := w.cloud.Host(e.Machine)
			sick := m.sick
			m.Worker = w.newWorker(h.MachineInfo)
			m.Fault.Sick = sick
			w.drive(m, m.Advance(w.now))
		case cloud.Gone:
			m.gone = true
			w.effects(m, m.Vanish())
		}
	}
}

// shardRec returns the stored record of a team's shard.
func (w *world) shardRec(team string) (r wire.Shard) {
	found := false
	w.store.Scan(wire.PrefixShard, func(it wire.Item) {
		var s wire.Shard
		if wire.Unmarshal(it.Value, &s) == nil && slices.Contains(s.Teams, team) {
			r, found = s, true
		}
	})
	if !found {
		w.t.Fatalf("team %s has no shard", team)
	}
	return r
}
