package core

import (
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/barrowbridge/barrowbridge/internal/membership"
	"github.com/barrowbridge/barrowbridge/wire"
)

// refusalVariant is one variant of this combination of faults: the state service refuses only the
// leader, other controllers confirm cancellations, then the state service is down for all
// controllers for longer than cancel_s.
type refusalVariant struct {
	name          string
	lease, cancel time.Duration // WorkerLease and CancelTimeout; 0 means 10 s and 40 s
	refusedFor    time.Duration // how long only one controller is refused before the outage
	refuseHolder  bool          // refuses a shard holder that does not lead, instead of the leader
	callsHang     bool          // its calls to the state service hang instead of being refused
	noRelay       bool          // no calls are relayed by peers
	firstCancel   time.Duration // time of the first cancellation, relative to the start of the refusal
	cancelEvery   time.Duration // interval between cancellations
	beforeRefusal func(w *world, leader string, others []string)
	afterCancel   func(w *world, leader, by, job string) // called after each confirmed cancellation
	keepsLeases   bool                                   // no worker lease may expire: tasks that are not cancelled keep running
}

// cancelAt asks a controller to cancel a job, repeats that until it answers 200, then calls
// confirmed.
func (w *world) cancelAt(node, id string, confirmed func()) {
	w.check.Aborting(id)
	asked, settled := w.now, false
	again := func() {
		if !settled {
			settled = true
			w.cancelAt(node, id, confirmed)
		}
	}
	w.at(5*sec, again)
	w.ask(node, func(q uint64) any { return Abort{Req: q, ID: id} }, func(a Answer) {
		if settled {
			return
		}
		w.aborted(id, a, asked)
		if a.Status == 200 {
			settled = true
			confirmed()
			return
		}
		w.at(200*time.Millisecond, again)
	})
}

// finals lists the jobs whose users got the given final status.
func (w *world) finals(status string) (out []string) {
	for _, id := range sortedKeys(w.jobs) {
		if w.check.Final(id) == status {
			out = append(out, id)
		}
	}
	return out
}

// play runs the faults of a variant. It returns the world after them, the number of cancellations
// of the leader's jobs that were confirmed before the outage and missing in the leader's mirror,
// and the machines that lost their lease.
func (g refusalVariant) play(t *testing.T, seed uint64) (w *world, unknown int, lapsed []string) {
	w = newWorld(t, seed, 3, func(w *world) {
		if g.lease > 0 {
			w.lease, w.cancelS = g.lease, g.cancel
		}
		w.noWays = g.noRelay
	})
	for i := range 8 {
		w.addMachine([]string{"n", "s"}[i%2], false, sec)
	}
	w.pollAll()
	w.run(8 * sec)
	var all []string
	for i := range 24 {
		s := spec(fmt.Sprintf("job-%06d", i), []string{"red", "blue", "green"}[i%3], wire.ShapeService, 1)
		s.DueS, s.Priority = nil, ptr("urgent")
		if i%4 == 1 { // a task that saves checkpoints
			s.CheckpointEvery, s.SaveS = ptr(2.0), ptr(3.0)
		}
		w.submit(s)
		all = append(all, *s.ID)
	}
	w.run(20 * sec)
	if n := w.up(); n != 24 {
		t.Fatalf("%d of 24 replicas run", n)
	}
	leader := w.leaderNode()
	if g.refuseHolder {
		names := sortedKeys(w.nodes)
		leader = names[(slices.Index(names, leader)+1)%len(names)]
	}
	var others []string
	for _, n := range sortedKeys(w.nodes) {
		if n != leader {
			others = append(others, n)
		}
	}
	if g.beforeRefusal != nil {
		g.beforeRefusal(w, leader, others)
	}
	session := map[string]uint64{}
	for _, n := range w.order {
		if m := w.machines[n]; m.up && !m.gone {
			session[n] = w.session(m)
		}
	}
	cut := func() {
		if g.callsHang {
			w.hung[leader] = true
		} else {
			w.cutFrom[leader] = true
		}
	}
	began := max(0, -g.firstCancel)
	w.at(began, cut)
	// The jobs of the refused controller are cancelled first.
	slices.SortStableFunc(all, func(a, b string) int {
		of := func(id string) int {
			if w.shardRec(*w.jobs[id].spec.Team).Holder == leader {
				return 0
			}
			return 1
		}
		return of(a) - of(b)
	})
	for i, id := range all[:12] {
		by := others[i%2]
		w.at(began+g.firstCancel+time.Duration(i)*g.cancelEvery, func() {
			w.cancelAt(by, id, func() {
				if l := w.nodes[leader].core; w.stateUp() && l.jobs[id] != nil && l.jobs[id].run != nil {
					unknown++
				}
				if g.afterCancel != nil {
					g.afterCancel(w, leader, by, id)
				}
			})
		})
	}
	w.run(began + g.refusedFor)
	w.outage(w.cancelS + 20*sec)
	w.run(12 * sec)
	delete(w.cutFrom, leader)
	delete(w.hung, leader)
	w.run(w.cancelS + 8*sec)
	for _, n := range w.order {
		// A machine that came up meanwhile and was in no block had no lease to lose.
		if m := w.machines[n]; !m.gone && session[n] > 0 && w.session(m) != session[n] {
			lapsed = append(lapsed, n)
		}
	}
	return w, unknown, lapsed
}

// Tasks of cancelled jobs are gone within cancel_s of the confirmation, whichever controller
// confirmed it and whatever the old leader has received. The checker verifies this.
func TestCancelledBesideALoneLeaderThenAnOutage(t *testing.T) {
	t.Parallel()
	ms := time.Millisecond
	bounce := func(w *world, _, by, _ string) { w.at(ms, func() { w.bounce(200*ms, by) }) }
	for _, g := range []refusalVariant{
		{name: "cancelled during the refusal", refusedFor: 2 * sec, firstCancel: 100 * ms, cancelEvery: 140 * ms, keepsLeases: true},
		{name: "no relay by peers", noRelay: true, refusedFor: 2 * sec, firstCancel: 100 * ms, cancelEvery: 140 * ms, keepsLeases: true},
		{name: "calls hang", callsHang: true, refusedFor: 2 * sec, firstCancel: 100 * ms, cancelEvery: 140 * ms, keepsLeases: true},
		{name: "calls hang, no relay by peers", callsHang: true, noRelay: true, refusedFor: 2 * sec, firstCancel: 50 * ms, cancelEvery: 150 * ms, keepsLeases: true},
		{name: "cancelled before, during and after the refusal", noRelay: true, refusedFor: 900 * ms, firstCancel: -500 * ms, cancelEvery: 150 * ms, keepsLeases: true},
		{name: "a long refusal", noRelay: true, refusedFor: 14 * sec, firstCancel: 11 * sec, cancelEvery: 240 * ms},
		{name: "confirming controller restarts in 0.2 s", noRelay: true, refusedFor: 2 * sec, firstCancel: 900 * ms, cancelEvery: 40 * ms, afterCancel: bounce},
		{name: "confirming controller returns in the outage", noRelay: true, refusedFor: sec, firstCancel: 960 * ms, cancelEvery: 5 * ms, afterCancel: bounce},
		{name: "confirming controller restarts, with relay by peers", refusedFor: 2 * sec, firstCancel: 900 * ms, cancelEvery: 40 * ms, afterCancel: bounce},
		{name: "no answer to the write, read back", noRelay: true, refusedFor: 5 * sec, firstCancel: 100 * ms, cancelEvery: 100 * ms, keepsLeases: true, beforeRefusal: func(w *world, _ string, _ []string) {
			w.noAnswer = func(_ string, v StateCall) (time.Duration, bool) {
				return 0, len(v.Txn.Then) == 2 && strings.HasPrefix(v.Txn.Then[1].Put, "final/")
			}
		}},
		{name: "status repeated from memory in the outage", noRelay: true, refusedFor: 2 * sec, firstCancel: 100 * ms, cancelEvery: 140 * ms, keepsLeases: true, afterCancel: func(w *world, _, by, job string) {
			w.at(20*sec, func() { w.poll(by, job) })
		}},
		{name: "a holder that does not lead is refused", refuseHolder: true, noRelay: true, refusedFor: 2 * sec, firstCancel: 100 * ms, cancelEvery: 140 * ms, keepsLeases: true},
		{name: "a holder that does not lead, calls hang, with relay by peers", refuseHolder: true, callsHang: true, refusedFor: 2 * sec, firstCancel: 100 * ms, cancelEvery: 140 * ms, keepsLeases: true},
		// The machines' reports have to be verified first, and the answers to that renew leases too.
		{name: "a shard has just been taken over", noRelay: true, refusedFor: 2 * sec, firstCancel: 100 * ms, cancelEvery: 140 * ms, beforeRefusal: func(w *world, _ string, others []string) {
			w.bounce(6*sec, others[0])
			w.until(8*sec, func() bool { return w.nodes[others[0]].core != nil && w.nodes[others[0]].core.loaded })
		}},
		{name: "peers cannot reach each other", noRelay: true, refusedFor: 2 * sec, firstCancel: 100 * ms, cancelEvery: 140 * ms, beforeRefusal: func(w *world, leader string, others []string) {
			w.mute[[2]string{others[0], leader}] = true
			w.at(30*sec, func() { w.silence(leader, false) })
		}},
		{name: "answers to pings are late", noRelay: true, refusedFor: 2 * sec, firstCancel: 100 * ms, cancelEvery: 140 * ms, beforeRefusal: func(w *world, _ string, _ []string) {
			w.peerDelay = func(_ string, v PeerSend) time.Duration {
				if v.Msg.Reply {
					return 1500 * ms
				}
				return 0
			}
		}},
		{name: "workers receive nothing", noRelay: true, refusedFor: 2 * sec, firstCancel: 100 * ms, cancelEvery: 140 * ms, beforeRefusal: func(w *world, _ string, _ []string) {
			w.at(2*sec, func() { w.deafen(true, w.order...) })
			w.at(50*sec, func() { w.deafen(false, w.order...) })
		}},
		{name: "machines hang and resume within their lease", noRelay: true, refusedFor: 2 * sec, firstCancel: 100 * ms, cancelEvery: 140 * ms, beforeRefusal: func(w *world, _ string, _ []string) {
			for i := range 6 {
				w.at(time.Duration(i)*8*sec, func() {
					for _, n := range w.order {
						if m := w.machines[n]; !m.gone && m.up {
							w.hang(m)
							w.at(7*sec, func() { w.resume(m) })
						}
					}
				})
			}
		}},
		{name: "stops are lost or late", noRelay: true, refusedFor: 2 * sec, firstCancel: 100 * ms, cancelEvery: 140 * ms, beforeRefusal: func(w *world, _ string, _ []string) { w.unsure = 60 }},
		{name: "cancel_s close to the lease", lease: 10 * sec, cancel: 14 * sec, noRelay: true, refusedFor: 2 * sec, firstCancel: 100 * ms, cancelEvery: 140 * ms},
		{name: "cancel_s close to the lease, with relay by peers", lease: 10 * sec, cancel: 13 * sec, refusedFor: 2 * sec, firstCancel: 100 * ms, cancelEvery: 140 * ms},
		{name: "cancel_s close to the lease, confirming controller restarts", lease: 10 * sec, cancel: 14 * sec, noRelay: true, refusedFor: 2 * sec, firstCancel: 900 * ms, cancelEvery: 40 * ms, afterCancel: bounce},
	} {
		t.Run(g.name, func(t *testing.T) {
			t.Parallel()
			for seed := uint64(300); seed < 302; seed++ {
				w, unknown, lapsed := g.play(t, seed)
				if g.noRelay && unknown == 0 && g.refusedFor < 10*sec {
					t.Errorf("seed %d: the leader had received all cancellations", seed)
				}
				if g.keepsLeases && len(lapsed) > 0 {
					t.Errorf("seed %d: leases of %v have expired", seed, lapsed)
				}
				t.Logf("seed %d: %d cancellations confirmed before the outage and missing at the leader", seed, unknown)
				w.unsure, w.noAnswer, w.peerDelay = 0, nil, nil
				if took := w.until(60*sec, func() bool { return w.up() == 12 }); took > 50*sec {
					t.Errorf("seed %d: %d replicas run %v after the outage, want 12", seed, w.up(), took)
				}
				w.calm(t)
				if len(w.finals(wire.JobAborted)) != 12 {
					t.Errorf("seed %d: only %v were cancelled, want 12 jobs", seed, w.finals(wire.JobAborted))
				}
			}
		})
	}
}

// A controller's statement lists the newest revision of the shards and blocks whose assignment it
// knows. A write that only sets a mark assigns nothing to anyone, so it does not count.
func TestStatementsNameGrants(t *testing.T) {
	t.Parallel()
	c := New(Params{Node: "a", NodeZones: map[string]string{"a": "n", "b": "n"}, WorkerLease: 10 * sec, CancelTimeout: 40 * sec})
	c.born(1)
	c.loaded, c.mirrorRevision = true, 10
	said := func() (at uint64) {
		c.effects = nil
		c.onPeer(PeerMessage{From: "b", Nonce: 1})
		for _, e := range c.effects {
			if v, ok := e.(PeerSend); ok && v.Msg.Reply {
				for _, n := range v.Msg.Statement.Entries {
					at = max(at, n.Revision)
				}
			}
		}
		return at
	}
	put := func(key string, v any, ver uint64) {
		raw, err := wire.Marshal(v)
		if err != nil {
			t.Fatal(err)
		}
		c.applyPut(key, raw, ver)
	}
	shard := wire.Shard{Holder: "b", Boot: 5, Teams: []string{"red"}}
	block := wire.Block{Shard: 0, Type: "std", Zone: "n", Machines: []wire.BlockMachine{{Name: "n-1"}}}
	for _, s := range []struct {
		what string
		do   func(ver uint64)
		new  bool
	}{
		{"a shard is created", func(ver uint64) { put(shardKey(0), shard, ver) }, true},
		{"a block is formed", func(ver uint64) { put(blockKey("x"), block, ver) }, true},
		{"a shard is reconciled", func(ver uint64) { shard.Settled = true; put(shardKey(0), shard, ver) }, false},
		{"a block is marked idle", func(ver uint64) { block.Idle = true; put(blockKey("x"), block, ver) }, false},
		{"a block moves", func(ver uint64) { block.Shard = 1; put(blockKey("x"), block, ver) }, true},
		{"a shard goes to another incarnation", func(ver uint64) { shard.Boot = 6; put(shardKey(0), shard, ver) }, true},
		{"a shard gains a team", func(ver uint64) { shard.Teams = []string{"red", "blue"}; put(shardKey(0), shard, ver) }, true},
		{"a shard goes to another controller", func(ver uint64) { shard.Holder = "a"; put(shardKey(0), shard, ver) }, true},
	} {
		before := said()
		ver := c.mirrorRevision + 10
		c.mirrorRevision = ver
		s.do(ver)
		if got := said(); s.new && got != ver || !s.new && got != before {
			t.Errorf("%s at revision %d: the statement names %d, before it named %d", s.what, ver, got, before)
		}
	}
}

// The opposite case: the state service is down for all controllers while work arrives, and the last
// changes before the outage have not reached every mirror. No worker lease expires, so no task is
// lost.
func TestSharedOutageAmidWorkCostsNoLease(t *testing.T) {
	t.Parallel()
	for seed := uint64(310); seed < 314; seed++ {
		w := staffed(t, seed, 6)
		session := map[string]uint64{}
		for _, n := range w.order {
			session[n] = w.session(w.machines[n])
		}
		w.noAnswer = func(_ string, v StateCall) (time.Duration, bool) { return 0, v.Op == OpWatch }
		for i := range 12 {
			s := spec(fmt.Sprintf("job-0001%02d", i), []string{"red", "blue", "green"}[i%3], wire.ShapeBatch, 2)
			w.at(time.Duration(i)*80*time.Millisecond, func() { w.submit(s) })
		}
		w.run(sec)
		lags := 0
		for _, n := range sortedKeys(w.nodes) {
			if c := w.nodes[n].core; c.mirrorRevision < w.nodes["c0"].core.newestRevision || c.mirrorRevision < w.nodes["c1"].core.newestRevision {
				lags++
			}
		}
		w.outage(60 * sec)
		w.run(sec)
		w.noAnswer = nil
		w.run(59 * sec)
		if lags == 0 {
			t.Errorf("seed %d: every mirror has all changes", seed)
		}
		for _, n := range w.order {
			if m := w.machines[n]; session[n] > 0 && !m.gone && w.session(m) != session[n] {
				t.Errorf("seed %d: %s lost its lease", seed, n)
			}
		}
		if w.up() < 18 {
			t.Errorf("seed %d: %d of 18 replicas run", seed, w.up())
		}
		w.calm(t)
	}
}

// An update from a peer counts against this controller only if it may assign away a shard or block
// that it holds. An update that a job is over is applied like any other.
func TestNewsAgainstUs(t *testing.T) {
	t.Parallel()
	c := New(Params{Node: "a", NodeZones: map[string]string{"a": "n", "b": "n"}, Teams: map[string]Team{"red": {CPUsMax: 9}}, WorkerLease: 10 * sec, CancelTimeout: 40 * sec, ReportInterval: 2 * sec, MaxTxnOps: 8, MaxValueBytes: 8192})
	c.born(7)
	c.loaded, c.mirrorRevision = true, 70
	put := func(key string, v any, ver uint64) {
		raw, err := wire.Marshal(v)
		if err != nil {
			t.Fatal(err)
		}
		c.applyPut(key, raw, ver)
	}
	block := func(shard int, m string) wire.Block {
		return wire.Block{Shard: shard, Type: "std", Zone: "n", Machines: []wire.BlockMachine{{Name: m}}}
	}
	put(shardKey(0), wire.Shard{Holder: "a", Boot: 7, Teams: []string{"red"}}, 50)
	put(shardKey(1), wire.Shard{Holder: "b", Boot: 5}, 51)
	put(blockKey("x"), block(0, "n-1"), 60)
	put(blockKey("y"), block(1, "n-2"), 61)
	s := spec("job-000001", "red", wire.ShapeService, 1)
	rec, err := s.Validate()
	if err != nil {
		t.Fatal(err)
	}
	put(jobKey("job-000001"), rec, 65)
	if !c.holdsShard(0) || c.jobs["job-000001"] == nil {
		t.Fatal("the shard is not held, or the job is missing")
	}
	for _, n := range []struct {
		what string
		e    membership.Entry
		want bool
	}{
		{"a held block, moved", membership.Entry{Key: blockKey("x"), Revision: 90}, true},
		{"a held shard, reassigned", membership.Entry{Key: shardKey(0), Revision: 90}, true},
		{"a held shard, unchanged", membership.Entry{Key: shardKey(0), Revision: 50}, false},
		{"a held block, older than the mirror", membership.Entry{Key: blockKey("x"), Revision: 69}, false},
		{"a block of another holder", membership.Entry{Key: blockKey("y"), Revision: 90}, false},
		{"an unknown block", membership.Entry{Key: blockKey("z"), Revision: 90}, false},
		{"a shard of another holder", membership.Entry{Key: shardKey(1), Revision: 90}, false},
		{"a key that is neither shard nor block", membership.Entry{Key: "live/other", Revision: 90}, true},
		{"a job that is over", membership.Entry{Key: jobKey("job-000001"), Revision: 90}, false},
	} {
		if got := c.applyPeerUpdates([]membership.Entry{n.e}); got != n.want {
			t.Errorf("%s: counts against this controller: %v", n.what, got)
		}
	}
	if c.jobs["job-000001"] != nil {
		t.Error("a job that is over was not removed")
	}
	// A confirmation from before this controller gained a block does not cover that block.
	c.pingNonce++
	c.confirmation.PingSent(90*sec, c.pingNonce)
	c.sure(80 * sec)
	c.now = 91 * sec
	c.onPeer(PeerMessage{From: "b", Nonce: c.pingNonce, Reply: true, UpMS: 91000, Revision: 500, Statement: &membership.Statement{}})
	before := c.confirmation.ConfirmedUntil()
	put(blockKey("y"), block(0, "n-2"), 71)
	if before != 90*sec || c.confirmation.ConfirmedUntil() != 0 {
		t.Errorf("confirmed until %v, and until %v after gaining another block; want 90 s, then 0", before, c.confirmation.ConfirmedUntil())
	}
}
