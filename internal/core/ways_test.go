package core

import (
	"maps"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/barrowbridge/barrowbridge/internal/takeover"
	"github.com/barrowbridge/barrowbridge/wire"
)

// A holder that is the only one cut off from the state service continues through a peer: it keeps
// its state lease and its shard, starts and ends work, and answers users.
func TestCutFromTheStateServiceGoesAround(t *testing.T) {
	t.Parallel()
	for _, refused := range []bool{true, false} {
		w := newWorld(t, 31, 3)
		for i := range 4 {
			w.addMachine([]string{"n", "s"}[i%2], false, sec)
		}
		w.run(10 * sec)
		before := w.shardRec("red")
		if refused {
			w.cutFrom[before.Holder] = true
		} else {
			w.hung[before.Holder] = true
		}
		w.run(3 * sec)
		w.submit(spec("job-000001", "red", wire.ShapeBatch, 3))
		w.pollAll()
		w.run(30 * sec)
		if after := w.shardRec("red"); after.Holder != before.Holder || after.Boot != before.Boot {
			t.Errorf("refused %v: the shard went from %s to %s", refused, before.Holder, after.Holder)
		}
		if u := w.unfinished(); u != nil {
			t.Errorf("refused %v: unfinished jobs: %v", refused, u)
		}
		direct := w.reached[before.Holder]
		delete(w.cutFrom, before.Holder)
		delete(w.hung, before.Holder)
		w.run(10 * sec)
		if n := w.reached[before.Holder] - direct; n < 10 {
			t.Errorf("refused %v: %d direct calls in the 10 s after the cut, want at least 10", refused, n)
		}
	}
}

// The route from a controller to the state service may lead through two peers.
func TestWayOverTwoPeers(t *testing.T) {
	t.Parallel()
	w := newWorld(t, 32, 3)
	name := w.addMachine("n", false, sec)
	w.run(10 * sec)
	holder := w.holderOf(name)
	var others []string
	for _, n := range sortedKeys(w.nodes) {
		if n != holder {
			others = append(others, n)
		}
	}
	w.hung[holder], w.hung[others[0]] = true, true
	w.mute[[2]string{holder, others[1]}], w.mute[[2]string{others[1], holder}] = true, true
	w.run(3 * sec)
	w.submit(spec("job-000001", "red", wire.ShapeBatch, 3))
	w.run(40 * sec)
	c := w.nodes[holder].core
	if via := c.stateRoutes.BestPeer(c.now); via != others[0] || c.now-c.lastConfirmed() > 5*sec {
		t.Errorf("%s uses the route through %q, confirmed %v ago", holder, via, c.now-c.lastConfirmed())
	}
	if w.check.Final("job-000001") == "" {
		w.poll(holder, "job-000001")
		w.run(sec)
	}
	if w.check.Final("job-000001") != wire.JobDone {
		t.Error("the job is not done")
	}
}

// A controller that cannot serve users while others can is not ready and refuses requests at once.
// In an outage for all controllers every controller stays ready.
func TestReadyFollowsReach(t *testing.T) {
	t.Parallel()
	w := newWorld(t, 33, 3)
	w.run(10 * sec)
	ready := func(n string) int {
		got := 0
		w.ask(n, func(q uint64) any { return Ready{Req: q} }, func(a Answer) { got = a.Status })
		return got
	}
	w.outage(8 * sec)
	w.run(4 * sec)
	for _, n := range sortedKeys(w.nodes) {
		if s := ready(n); s != 200 {
			t.Errorf("%s is not ready in an outage for all: got %d, want 200", n, s)
		}
	}
	w.run(15 * sec)
	w.hung["c1"] = true
	w.run(3 * sec)
	if s := ready("c1"); s != 200 {
		t.Errorf("c1 with a route through its peers: got %d, want 200", s)
	}
	w.silence("c1", true)
	w.run(3 * sec)
	if s := ready("c1"); s != 503 {
		t.Errorf("c1 with no route left: got %d, want 503", s)
	}
	began, code := w.now, 0
	w.ask("c1", func(q uint64) any { return Poll{Req: q, ID: "job-000001"} }, func(a Answer) { code = a.Status })
	if code != 503 || w.now != began {
		t.Errorf("poll at c1: got %d, want an immediate 503", code)
	}
	w.silence("c1", false)
	delete(w.hung, "c1")
	w.run(5 * sec)
	if s := ready("c1"); s != 200 {
		t.Errorf("c1 after the cut: got %d, want 200", s)
	}
}

// A controller that has just started reads a job for a poll, and the answer is late. Meanwhile the
// job is aborted, and the list of all keys, which no longer has the job, arrives first. Once the
// late answer put the job back into that controller's mirror for good.
func TestAReadOlderThanTheListDoesNotBringAJobBack(t *testing.T) {
	t.Parallel()
	c := New(Params{Node: "a", NodeZones: map[string]string{"a": "n"}, Teams: map[string]Team{"red": {CPUsMax: 9}}, WorkerLease: 10 * sec, CancelTimeout: 40 * sec, ReportInterval: 2 * sec, MaxTxnOps: 8, MaxValueBytes: 8192})
	job := spec("job-000001", "red", wire.ShapeService, 1)
	rec, err := job.Validate()
	if err != nil {
		t.Fatal(err)
	}
	raw, err := wire.Marshal(rec)
	if err != nil {
		t.Fatal(err)
	}
	calls := map[int]uint64{}
	step := func(in any) {
		for _, e := range c.Step(c.now+10*time.Millisecond, time.Unix(1, 0), in) {
			if v, ok := e.(StateCall); ok {
				calls[v.Op] = v.ID
			}
		}
	}
	step(Tick{})
	step(StateDone{ID: calls[OpGrant], Reply: StateReply{Status: 200, Lease: 1}})
	step(Tick{})
	step(Poll{Req: 1, ID: "job-000001"})
	if calls[OpGet] == 0 || calls[OpList] == 0 {
		t.Fatalf("no read or no list was sent: %v", calls)
	}
	step(StateDone{ID: calls[OpList], Reply: StateReply{Status: 200, List: wire.ItemList{Revision: 60}}})
	if !c.loaded {
		t.Fatal("the mirror should be loaded after the list")
	}
	step(StateDone{ID: calls[OpGet], Reply: StateReply{Status: 200, Item: wire.Item{Key: jobKey("job-000001"), Value: raw, Version: 40}}})
	if c.jobs["job-000001"] != nil {
		t.Error("a read from before the list put the job back into the mirror")
	}
}

// A leader that gets no answers from the cloud yields once to a controller that does. When no
// controller gets answers, the leader keeps the leadership.
func TestLeaderWithoutCloudMakesWay(t *testing.T) {
	t.Parallel()
	w := newWorld(t, 34, 3)
	w.run(10 * sec)
	old := w.holders()[0]
	w.noCloud[old] = true
	w.run(25 * sec)
	next := w.holders()[0]
	if next == old {
		t.Fatalf("%s is still the leader, but does not reach the cloud", old)
	}
	w.submit(spec("job-000001", "red", wire.ShapeBatch, 3))
	w.run(30 * sec)
	w.poll(next, "job-000001")
	w.run(sec)
	if w.check.Final("job-000001") != wire.JobDone {
		t.Error("the job is not done: no machine was rented")
	}
	for _, n := range sortedKeys(w.nodes) {
		w.noCloud[n] = true
	}
	w.run(60 * sec)
	if now := w.holders()[0]; now != next {
		t.Errorf("no controller reaches the cloud, but the leadership went from %s to %s", next, now)
	}
}

// When a network cut ends, delayed reports can arrive of machines that were deleted half a minute
// before. Once the leader formed blocks of them, and after the next takeover every started task
// waited 52 s for machines that no longer existed.
func TestLateReportOfADeletedMachine(t *testing.T) {
	t.Parallel()
	w := newWorld(t, 35, 3)
	name := w.addMachine("n", false, sec)
	w.addMachine("n", false, sec)
	w.run(10 * sec)
	late, _ := w.machines[name].Inspect(w.now)
	w.vanish(name)
	w.run(90 * sec)
	if !w.machines[name].gone || w.holderOf(name) != "" {
		t.Fatal("the machine should be gone and in no block")
	}
	leader := w.holders()[0]
	for range 2 { // delayed on their way to two addresses, and relayed
		w.ask(leader, func(q uint64) any { return WorkerReport{Req: q, Report: late} }, func(Answer) {})
	}
	for range 30 {
		w.run(sec)
		if h := w.holderOf(name); h != "" {
			t.Fatalf("a deleted machine is held by %s", h)
		}
	}
}

// After a takeover the new holder calls a worker whose reports do not reach it. The worker's answer
// makes the machine accounted for, whatever its session, and the former holder, which still
// answers the worker, starts nothing more there.
func TestCallAccountsForAMachine(t *testing.T) {
	t.Parallel()
	w := newWorld(t, 36, 3, func(w *world) { w.reportS = 8 * sec; w.lease = 26 * sec; w.cancelS = 60 * sec })
	for i := range 6 {
		w.addMachine([]string{"n", "s"}[i%2], false, sec)
	}
	w.run(20 * sec)
	s := spec("job-000001", "red", wire.ShapeService, 2)
	s.DueS = nil
	w.submit(s)
	w.run(15 * sec)
	old := w.shardRec("red").Holder
	w.hung[old] = true
	w.silence(old, true)
	began := w.now
	for w.now < began+10*sec && (w.shardRec("red").Holder == old || !w.shardRec("red").Settled) {
		w.run(50 * time.Millisecond)
	}
	if took := w.now - began; took > 5*sec {
		t.Errorf("reconciled %v after the cut, want at most 5 s (report interval 8 s, state lease 3 s)", took)
	}
	next := w.nodes[w.shardRec("red").Holder].core
	var m *machine
	for _, x := range next.heldMachines() {
		if len(x.attempts) > 0 {
			m = x
		}
	}
	if m == nil || m.lastAnswered == 0 {
		t.Fatalf("%s does not know the replicas", next.params.Node)
	}
	// Answers that are not a current report of the machine with the holder's token must not make it
	// accounted for.
	m.inherited, m.accounted = true, false
	next.unaccountedMachines[m.shard]++
	next.pendingMachines.Add(m, false)
	r, _ := w.machines[m.name].Inspect(w.now)
	for what, d := range map[string]WorkerCallDone{
		"report of another machine": {Machine: m.name, Status: 200, Report: wire.Report{Machine: "other", Session: r.Session, Seq: r.Seq + 9, Token: r.Token}},
		"refused":                   {Machine: m.name, Status: 409, Report: wire.Report{Machine: m.name, Session: r.Session, Seq: r.Seq + 9, Token: r.Token}},
		"with a lower token":        {Machine: m.name, Status: 200, Report: wire.Report{Machine: m.name, Session: r.Session, Seq: r.Seq + 9, Token: m.takeoverToken - 1}},
		"with a later token":        {Machine: m.name, Status: 200, Report: wire.Report{Machine: m.name, Session: r.Session, Seq: r.Seq + 9, Token: 1 << 40}},
		"answer to a probe":         {Machine: m.name, Status: 200, ProbeOnly: true, Report: wire.Report{Machine: m.name, Session: r.Session, Seq: r.Seq + 9, Token: r.Token}},
		"older":                     {Machine: m.name, Status: 200, Report: wire.Report{Machine: m.name, Session: r.Session, Seq: 1, Token: r.Token}},
	} {
		if next.onOrderDone(d); m.accounted {
			t.Fatalf("%s: made the machine accounted for", what)
		}
	}
}

// Neither a cut from the state service nor its end may cause a burst of calls, whether there is
// another route or not.
func TestNoStormOfCalls(t *testing.T) {
	t.Parallel()
	for _, alone := range []bool{false, true} {
		w := maskedWorld(t, 37)
		most := func(d time.Duration) (n int) {
			for end := w.now + d; w.now < end; {
				before := w.tried["c0"]
				w.run(sec)
				n = max(n, w.tried["c0"]-before)
			}
			return n
		}
		w.pollAll()
		quiet := most(10 * sec)
		w.hung["c0"] = true
		w.silence("c0", alone)
		cut := most(60 * sec)
		if h := w.holders()[1]; !alone && h != "c0" {
			t.Errorf("the shard went to %s, though peers were reachable", h)
		}
		delete(w.hung, "c0")
		w.silence("c0", false)
		if healed := most(20 * sec); cut > quiet+10 || healed > 2*quiet+20 {
			t.Errorf("alone %v: at most %d calls per second without faults, %d in the cut, %d after it", alone, quiet, cut, healed)
		} else {
			t.Logf("alone %v: at most %d calls per second without faults, %d in the cut, %d after it", alone, quiet, cut, healed)
		}
	}
}

// A leader that was paused believes that it still leads until it learns otherwise. Its writes to
// shards must compare the version of the leader record, so that it cannot take shards back when
// it resumes.
func TestAStaleLeaderMovesNoShard(t *testing.T) {
	t.Parallel()
	w := newWorld(t, 52, 3)
	w.run(25 * sec)
	leader := w.nodes["c0"].core.leaderRecord.Node
	c := w.nodes[leader].core
	i := c.shardIDs()[0]
	for _, x := range c.shardIDs() {
		if c.shards[x].record.Home == leader {
			i = x
		}
	}
	// Another controller now leads and holds this one's home shard, but this controller knows only
	// the latter.
	rec := c.shards[i].record
	rec.Holder, rec.Settled = "c0", true
	if leader == "c0" {
		rec.Holder = "c1"
	}
	rec.Boot = c.nodes[rec.Holder].Boot
	c.shards[i] = &shardEntry{rec, c.shards[i].version}
	c.notBefore = map[string]Time{}
	out := c.Step(c.now, time.UnixMilli(1e12), Tick{})
	found := false
	for _, e := range out {
		call, is := e.(StateCall)
		if !is || call.Op != OpCommit || len(call.Txn.Then) != 1 || call.Txn.Then[0].Put != shardKey(i) {
			continue
		}
		found = true
		if !slices.ContainsFunc(call.Txn.If, func(x wire.Condition) bool {
			return x.Key == wire.KeyLeader && x.Version == c.versions.Version(wire.KeyLeader)
		}) {
			t.Errorf("the shard is moved without comparing the leader record: %+v", call.Txn.If)
		}
	}
	if !found {
		t.Error("the leader does not move the shard to its home: nothing was tested")
	}
}

// All controllers are cut off from the workers of rented machines for longer than a lease. No
// machine may be returned to the cloud because of that.
func TestMachinesOutliveACutOfAll(t *testing.T) {
	t.Parallel()
	w := newWorld(t, 51, 2, func(w *world) {
		w.capacity, w.runS = 20, 60*sec
		w.teams = map[string]Team{"red": {CPUs: 40, CPUsMax: 40}, "blue": {CPUs: 40, CPUsMax: 40}}
	})
	w.run(4 * sec)
	w.submit(spec("job-000001", "red", wire.ShapeBatch, 36))
	s := spec("job-000002", "blue", wire.ShapeService, 24)
	s.Priority, s.DueS, s.Spot = ptr("urgent"), nil, ptr(false)
	w.submit(s)
	w.run(25 * sec)
	rented := map[string]bool{}
	for _, name := range w.order {
		if m := w.machines[name]; !m.gone && len(m.tasks()) > 0 {
			rented[name] = true
		}
	}
	w.lost["c0"], w.lost["c1"] = true, true
	w.run(14 * sec)
	w.lost = map[string]bool{}
	w.run(4 * sec)
	gone := 0
	for name := range rented {
		if w.machines[name].gone {
			gone++
		}
	}
	if gone > 0 || len(rented) < 10 {
		t.Errorf("%d of %d machines were returned to the cloud", gone, len(rented))
	}
	w.abort("job-000002")
	w.run(5 * sec)
}

// The holder publishes the worker addresses of machines that have just come up to the other
// controllers at once; the cloud's list would have them only seconds later. Without that, a
// holder that was cut off from such machines kept them, because no other controller could call
// them.
func TestAddressesOfMachinesThatHaveJustComeUp(t *testing.T) {
	t.Parallel()
	w := newWorld(t, 53, 3, func(w *world) { w.capacity = 20 })
	w.run(4 * sec)
	s := spec("job-000001", "red", wire.ShapeService, 8)
	s.Priority, s.DueS, s.Spot = ptr("urgent"), nil, ptr(false)
	w.submit(s)
	holder := w.nodes[w.shardRec("red").Holder].core
	up := func() (names []string) {
		for _, m := range holder.heldMachines() {
			if m.reported && !m.base {
				names = append(names, m.name)
			}
		}
		return names
	}
	for len(up()) == 0 && w.now < 15*sec {
		w.run(20 * time.Millisecond)
	}
	names := up()
	// Forgets addresses that were learned from relayed reports, which are not tested here.
	for _, n := range w.nodes {
		if n.core != holder {
			n.core.workerAddresses = takeover.NewAddressBook()
		}
	}
	w.run(700 * time.Millisecond) // long enough for a ping, but not for a list
	for _, name := range names {
		for _, n := range sortedKeys(w.nodes) {
			if _, known := w.nodes[n].core.workerAddresses.Lookup(name); !known {
				t.Errorf("%s does not know the address of %s", n, name)
			}
		}
	}
	if len(names) == 0 {
		t.Error("no machine came up")
	}
	w.abort("job-000001")
	w.run(5 * sec)
}

// A holder that is cut off from its peers receives the reports of only one of its machines, whether
// or not the workers of the others answer its calls. Once, the leases of those others ended because
// their workers were redirected to that holder.
func TestHolderThatReachesFewMachines(t *testing.T) {
	t.Parallel()
	for seed := uint64(41); seed < 47; seed++ {
		w := newWorld(t, seed, 3, func(w *world) {
			w.lease, w.cancelS, w.reportS = 12*sec, 40*sec, sec
			w.teams = map[string]Team{"red": {CPUs: 32, CPUsMax: 40}, "blue": {CPUs: 8, CPUsMax: 12}}
		})
		for i := range 8 {
			w.addMachine([]string{"n", "s"}[i%2], false, sec)
		}
		w.run(8 * sec)
		s := spec("job-000001", "red", wire.ShapeService, 5)
		s.DueS, s.Priority, s.CPUs = nil, ptr("urgent"), ptr(4.0)
		w.submit(s)
		w.run(20 * sec)
		holder, list := w.shardRec("red").Holder, []string{}
		for _, n := range w.order {
			if !w.machines[n].gone && w.holderOf(n) == holder {
				list = append(list, n)
			}
		}
		before := w.where("job-000001")
		if len(list) < 4 || len(before) < 3 {
			t.Fatalf("seed %d: unsuitable initial state: %d machines, tasks on %v", seed, len(list), before)
		}
		w.lost[holder], w.kept, w.called = true, map[string]bool{list[0]: true}, seed%2 == 0
		w.silence(holder, true)
		for range 40 {
			w.run(sec)
			for n := range before {
				if len(w.machines[n].tasks()) == 0 {
					t.Fatalf("seed %d: %v: the replica on %s is lost; %s receives reports of one of %d machines, and %s holds the shard", seed, w.now, n, holder, len(list), w.shardRec("red").Holder)
				}
			}
		}
		clear(w.lost)
		w.silence(holder, false)
		w.run(40 * sec)
		if after := w.where("job-000001"); !maps.Equal(before, after) {
			t.Errorf("seed %d: replicas were on %v, and are on %v", seed, before, after)
		}
	}
}

// where counts the running tasks of a job by machine.
func (w *world) where(job string) map[string]int {
	on := map[string]int{}
	for _, n := range w.order {
		for _, a := range w.machines[n].tasks() {
			if strings.HasPrefix(a.Task, job+"/") && a.Status == wire.TaskRunning {
				on[n]++
			}
		}
	}
	return on
}
