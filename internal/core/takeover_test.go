package core

import (
	"fmt"
	"testing"
	"time"

	"github.com/barrowbridge/barrowbridge/wire"
)

// Only the holder of a machine's block answers its reports with 200; other controllers redirect
// to the holder.
func TestOnlyTheHolderAnswers(t *testing.T) {
	t.Parallel()
	w := newWorld(t, 3, 3)
	name := w.addMachine("n", false, sec)
	w.run(10 * sec)
	holder := w.holderOf(name)
	if holder == "" {
		t.Fatal("the machine is in no block")
	}
	for _, n := range sortedKeys(w.nodes) {
		var got Answer
		c := w.nodes[n].core
		for p := range w.nodes {
			c.assignments.PingAnswered(c.now-time.Hour, p) // no peer counts as reachable, so the report is not relayed
		}
		w.ask(n, func(q uint64) any {
			return WorkerReport{Req: q, Report: wire.Report{Machine: name, Type: "std", Zone: "n", Session: 9, Seq: 1}}
		}, func(a Answer) { got = a })
		switch {
		case n == holder && got.Status != 200:
			t.Errorf("the holder answers %d, want 200", got.Status)
		case n != holder && (got.Status != 421 || got.Body.(wire.Redirect).Holder != holder):
			t.Errorf("%s answers %d %v, want 421 naming %s", n, got.Status, got.Body, holder)
		}
	}
	// A worker that has seen a higher token belongs to another holder.
	var got Answer
	w.ask(holder, func(q uint64) any {
		return WorkerReport{Req: q, Report: wire.Report{Machine: name, Session: 10, Seq: 1, Token: 1 << 40}}
	}, func(a Answer) { got = a })
	if got.Status != 503 {
		t.Errorf("report with a higher token: got %d, want 503", got.Status)
	}
	// A report of an earlier session is outdated.
	w.ask(holder, func(q uint64) any {
		return WorkerReport{Req: q, Report: wire.Report{Machine: name, Session: 8, Seq: 99}}
	}, func(a Answer) { got = a })
	if got.Status != 503 {
		t.Errorf("report of an earlier session: got %d, want 503", got.Status)
	}
}

// The tasks of a machine that hangs are started elsewhere only once its lease has certainly
// ended. Nothing may run twice when it resumes.
func TestHungMachine(t *testing.T) {
	t.Parallel()
	w := newWorld(t, 4, 3)
	w.run(4 * sec)
	w.submit(spec("job-000001", "red", wire.ShapeService, 3))
	w.run(20 * sec)
	var hung *host
	for _, n := range w.order {
		if m := w.machines[n]; len(m.tasks()) > 0 && !m.gone {
			hung = m
			break
		}
	}
	if hung == nil {
		t.Fatal("no machine has tasks")
	}
	w.hang(hung)
	w.run(8 * sec)
	w.at(7*sec, func() { w.resume(hung) })
	w.run(40 * sec)
	n := 0
	for _, m := range w.machines {
		if !m.gone {
			n += len(m.tasks())
		}
	}
	if n != 3 {
		t.Fatalf("%d replicas run, want 3", n)
	}
}

// When a network cut that had delayed packets ends, reports of ended sessions can arrive. Once
// they named dozens of tasks that already ran elsewhere. Such a report must be refused, and its
// tasks must not count as running.
func TestReportOfASessionThatIsOver(t *testing.T) {
	t.Parallel()
	w, _ := runningServices(t, 21)
	var hung *host
	for _, n := range w.order {
		if m := w.machines[n]; len(m.tasks()) > 0 && !m.gone {
			hung = m
		}
	}
	name := hung.info.Name
	late, _ := hung.Inspect(w.now)
	holder := w.nodes[w.holderOf(name)]
	hung.Fault.Hung, w.cloud.Trouble.Down = true, true // the cloud is down so that the machine is not deleted at once
	w.run(12 * sec)
	if m := holder.core.machines[name]; m == nil || !m.leaseOver {
		t.Fatal("the machine's lease should have ended and the machine still be held")
	}
	var got Answer
	w.ask(holder.name, func(q uint64) any {
		return WorkerReport{Req: q, Report: late}
	}, func(a Answer) { got = a })
	if got.Status != 503 || len(holder.core.machines[name].attempts) > 0 {
		t.Errorf("late report: got status %d, want 503; %d tasks count as running, want 0", got.Status, len(holder.core.machines[name].attempts))
	}
}

// Of hundreds of rented machines a few never come up. After a takeover every started task once
// waited half a minute for these machines, although nothing had ever been started there.
func TestTakeoverDoesNotWaitForUnusedMachines(t *testing.T) {
	t.Parallel()
	w := newWorld(t, 22, 3)
	w.run(4 * sec)
	w.cloud.Trouble.Unborn = 1
	w.submit(spec("job-000001", "red", wire.ShapeService, 8))
	w.run(15 * sec)
	w.kill(w.shardRec("red").Holder)
	w.run(10 * sec)
	if r := w.shardRec("red"); !r.Settled {
		t.Errorf("the shard, now held by %s, is not reconciled 10 s after its holder ended", r.Holder)
	}
}

// A deleted machine, already removed from its block, can still be in an outdated list of the
// cloud that the next leader reads. Once that leader tried for 40 s to form a block under a name
// that was taken, and rented nothing meanwhile.
func TestDeletedMachineInALateList(t *testing.T) {
	t.Parallel()
	w := newWorld(t, 25, 3)
	first := w.addMachine("n", false, sec)
	w.addMachine("n", false, sec)
	w.run(10 * sec)
	w.ask("c0", func(q uint64) any { return AdminCordon{Req: q, Machine: first, Cordon: &wire.Cordon{Drain: true}} }, func(Answer) {})
	w.run(10 * sec)
	if !w.machines[first].gone || w.key(blockKey(first)).Version == 0 {
		t.Fatal("the first machine should be gone and its block should still exist")
	}
	w.cloud.Trouble.Ghosts = map[string]bool{first: true}
	var l wire.Leader
	if err := wire.Unmarshal(w.key(wire.KeyLeader).Value, &l); err != nil {
		t.Fatal(err)
	}
	w.kill(l.Node)
	w.run(15 * sec)
	w.submit(spec("job-000001", "red", wire.ShapeBatch, 12))
	w.run(30 * sec)
	for _, n := range sortedKeys(w.nodes) {
		w.poll(n, "job-000001")
	}
	w.run(sec)
	if u := w.unfinished(); u != nil {
		t.Errorf("unfinished jobs: %v", u)
	}
	if w.store.Conflicts > 5 { // a failed transaction uses as much of the write rate limit as a successful one
		t.Errorf("%d transactions failed, want at most 5", w.store.Conflicts)
	}
}

// After two crashes of one controller in a row, it could not be proven that the incarnations
// before the last one had ended, so the shard was never reconciled.
func TestTwoCrashesInARow(t *testing.T) {
	t.Parallel()
	w := newWorld(t, 23, 1)
	w.addMachine("n", false, sec)
	w.run(4 * sec)
	w.submit(spec("job-000001", "red", wire.ShapeService, 8))
	w.run(15 * sec)
	for _, n := range w.order { // in a fixed order, so that each run picks the same machine
		if m := w.machines[n]; len(m.tasks()) > 0 {
			w.hang(m)
			break
		}
	}
	for range 2 {
		w.kill("c0")
		w.run(3 * sec)
		w.start("c0")
		w.run(2 * sec)
	}
	w.run(10 * sec)
	if !w.shardRec("red").Settled {
		t.Error("all earlier incarnations and all leases have ended, but the shard is not reconciled")
	}
}

// All controllers are down for longer than a lease while one machine hangs. Once every replica
// waited for that machine. A replica must wait for its own machine only, and must start there
// again.
func TestReplicasGoBackWithoutWaitingForOthers(t *testing.T) {
	t.Parallel()
	w := newWorld(t, 24, 3)
	w.run(4 * sec)
	for i := range 8 {
		s := spec(fmt.Sprintf("job-%06d", i), "red", wire.ShapeService, 1)
		s.Priority, s.DueS = ptr("urgent"), nil
		w.submit(s)
	}
	w.run(20 * sec)
	at := map[string]string{} // task -> machine
	var hung *host
	for _, n := range w.order {
		for _, r := range w.machines[n].tasks() {
			at[r.Task] = n
			hung = w.machines[n]
		}
	}
	if len(at) != 8 {
		t.Fatalf("%d replicas run", len(at))
	}
	w.hang(hung)
	for _, n := range sortedKeys(w.nodes) {
		w.kill(n)
	}
	w.run(13 * sec) // longer than any worker lease
	writes := w.store.Written
	for _, n := range sortedKeys(w.nodes) {
		w.start(n)
	}
	w.run(6 * sec)
	for task, n := range at {
		m := w.machines[n]
		back := false
		for _, r := range m.tasks() {
			back = back || r.Task == task
		}
		if m != hung && !back {
			t.Errorf("%s does not run on %s again", task, n)
		}
	}
	if n := w.store.Written - writes; n > 25 {
		t.Errorf("%d writes to restart the replicas where they were, want at most 25", n)
	}
}

// A controller that no worker could reach, but that worked otherwise, once lost all its tasks.
// Now other controllers relay its workers' reports, and no worker may lose its lease.
func TestWorkersCutFromTheirHolder(t *testing.T) {
	t.Parallel()
	w, kept := runningServices(t, 9)
	for n := range w.machines {
		w.lost[w.holderOf(n)] = true
	}
	w.run(60 * sec)
	kept()
}

// A worker whose holder has just ended reports to another controller. Once, in a rolling
// restart, that controller relayed the report to the ended holder and let the worker wait for
// 3.5 s, which together with the pauses around it took a whole lease.
func TestAReportToADeadHolderIsAnsweredSoon(t *testing.T) {
	t.Parallel()
	w, _ := runningServices(t, 19)
	var m *host
	for _, n := range w.order {
		if len(w.machines[n].tasks()) > 0 {
			m = w.machines[n]
		}
	}
	holder := w.holderOf(m.info.Name)
	r, _ := m.Inspect(w.now)
	r.Seq += 100
	w.kill(holder)
	for _, n := range sortedKeys(w.nodes) {
		if n == holder {
			continue
		}
		answered := false
		w.ask(n, func(q uint64) any { return WorkerReport{Req: q, Report: r} }, func(a Answer) {
			if answered = true; a.Status != 503 && a.Status != 421 {
				t.Errorf("%s answers %d for a holder that has ended, want 503 or 421", n, a.Status)
			}
		})
		w.run(1100 * time.Millisecond)
		if !answered {
			t.Errorf("%s has not answered after 1.1 s", n)
		}
	}
}

// The read for a poll is executed before another controller writes the job's abort, but its
// answer arrives after the watch has reported the abort. Once it put the job back into the
// mirror, and the job's replica was never stopped. This happened in one of a hundred random runs.
func TestALateReadDoesNotBringAJobBack(t *testing.T) {
	t.Parallel()
	c := New(Params{Node: "a", NodeZones: map[string]string{"a": "n"}, Teams: map[string]Team{"red": {CPUsMax: 9}}, WorkerLease: 10 * sec, CancelTimeout: 40 * sec, ReportInterval: 2 * sec, MaxTxnOps: 8, MaxValueBytes: 8192})
	c.born(7)
	c.loaded, c.mirrorRevision = true, 50
	s := spec("job-000001", "red", wire.ShapeService, 1)
	rec, err := s.Validate()
	if err != nil {
		t.Fatal(err)
	}
	raw, err := wire.Marshal(rec)
	if err != nil {
		t.Fatal(err)
	}
	calls, open := map[int]uint64{}, map[uint64]bool{}
	step := func(in any) {
		if d, ok := in.(StateDone); ok {
			delete(open, d.ID)
		}
		for _, e := range c.Step(c.now+10*time.Millisecond, time.Unix(1, 0), in) {
			if v, ok := e.(StateCall); ok {
				calls[v.Op], open[v.ID] = v.ID, true
			}
		}
	}
	c.applyPut(jobKey("job-000001"), raw, 40)
	step(Tick{}) // opens a watch
	watch := calls[OpWatch]
	step(Poll{Req: 1, ID: "job-000001"})
	read := calls[OpGet]
	if watch == 0 || read == 0 {
		t.Fatalf("no watch or no read was sent: %v", calls)
	}
	step(StateDone{ID: watch, Reply: StateReply{Status: 200, Events: wire.Events{Revision: 60, Events: []wire.Event{{Delete: jobKey("job-000001"), Version: 60}}}}})
	if c.jobs["job-000001"] != nil {
		t.Fatal("the aborted job is still in the mirror")
	}
	step(StateDone{ID: read, Reply: StateReply{Status: 200, Item: wire.Item{Key: jobKey("job-000001"), Value: raw, Version: 40}}})
	if c.jobs["job-000001"] != nil {
		t.Error("a read from before the abort put the job back into the mirror")
	}
	step(Tick{})
	watch = calls[OpWatch]
	for id := range open {
		if id != watch {
			step(StateDone{ID: id, Reply: StateReply{}})
		}
	}
	step(StateDone{ID: watch, Reply: StateReply{Status: 200, Events: wire.Events{Revision: 70}}})
	if c.versions.TombstoneCount() > 0 {
		t.Errorf("no older answer can arrive any more, but %d tombstones are kept", c.versions.TombstoneCount())
	}
}

// A controller that was cut off from the state service once kept its workers from the
// controller that had been granted its shard for 25 s.
func TestYieldsToLaterToken(t *testing.T) {
	t.Parallel()
	w := newWorld(t, 10, 3)
	w.noWays = true
	name := w.addMachine("n", false, sec)
	w.run(10 * sec)
	old := w.holderOf(name)
	w.cutFrom[old] = true
	w.run(9 * sec)
	next := w.holderOf(name)
	if next == old || w.nodes[next].core.machines[name] == nil || !w.nodes[next].core.machines[name].accounted {
		t.Fatalf("9 s after %s lost the state, %s has not accounted for its machine", old, next)
	}
}

// An outage of the state service for all controllers must not end any worker's lease, whether it
// is shorter than a controller may go on by itself, or longer: then peers confirm each other.
func TestSharedOutageKeepsTasks(t *testing.T) {
	t.Parallel()
	for _, d := range []time.Duration{20 * sec, 60 * sec} {
		w, kept := runningServices(t, 5)
		w.outage(d)
		w.run(d + 10*sec)
		kept()
	}
}

// runningServices returns a world in which four replicas run, and a function that checks that no
// worker has lost its session since.
func runningServices(t *testing.T, seed uint64) (*world, func()) {
	w := newWorld(t, seed, 3)
	w.run(4 * sec)
	w.submit(spec("job-000001", "red", wire.ShapeService, 4))
	w.run(20 * sec)
	sessions := map[string]uint64{}
	for n, m := range w.machines {
		sessions[n] = w.session(m)
	}
	return w, func() {
		t.Helper()
		for n, m := range w.machines {
			if w.session(m) != sessions[n] {
				t.Errorf("%s lost its session", n)
			}
		}
	}
}

// A peer that has restarted cannot confirm on behalf of its earlier incarnation, and a peer that
// knows of newer revisions confirms nobody.
func TestPeersVouchOnlyForWhatTheyKnow(t *testing.T) {
	t.Parallel()
	c := New(Params{Node: "a", NodeZones: map[string]string{"a": "n", "b": "n"}, WorkerLease: 10 * sec, CancelTimeout: 40 * sec})
	c.born(1)
	c.loaded, c.mirrorRevision = true, 100
	c.sure(50 * sec)
	at := func(now Time, up time.Duration, rev uint64) bool {
		c.now = now
		c.notBefore["peers"] = 0
		c.pingPeers()
		c.onPeer(PeerMessage{From: "b", Nonce: c.pingNonce, Reply: true, UpMS: up.Milliseconds(), Revision: rev})
		return c.authorized()
	}
	if !at(80*sec, 500*sec, 100) {
		t.Error("a peer with no newer revision should confirm")
	}
	if at(115*sec, 500*sec, 101) {
		t.Error("a peer with a newer revision must not confirm")
	}
	if at(116*sec, 20*sec, 90) {
		t.Error("a restarted peer must not confirm")
	}
	c.onPeer(PeerMessage{From: "b", Nonce: c.pingNonce - 40, Reply: true, UpMS: 1 << 30})
	if c.authorized() {
		t.Error("an answer to a long outdated ping must not confirm")
	}
}

// A holder that is the only one to lose the state service must stop answering its workers early
// enough that a cancelled job's tasks have ended within cancel_s.
func TestLoneOutageAndAbort(t *testing.T) {
	t.Parallel()
	w := newWorld(t, 6, 3)
	w.run(4 * sec)
	w.submit(spec("job-000001", "red", wire.ShapeService, 3))
	w.run(20 * sec)
	var holder string
	for _, n := range w.order {
		if len(w.machines[n].tasks()) > 0 {
			holder = w.holderOf(n)
		}
	}
	w.noWays = true
	w.cutFrom[holder] = true
	w.run(200 * time.Millisecond)
	for _, n := range sortedKeys(w.nodes) {
		if n != holder {
			w.check.Aborting("job-000001")
			w.ask(n, func(q uint64) any { return Abort{Req: q, ID: "job-000001"} }, func(a Answer) { w.aborted("job-000001", a, w.now) })
			break
		}
	}
	w.run(60 * sec)
	if w.check.Final("job-000001") != wire.JobAborted {
		t.Fatal("a controller that reaches the state service did not accept the abort")
	}
	for n, m := range w.machines {
		if len(m.tasks()) > 0 && !m.gone {
			t.Errorf("%s still has tasks", n)
		}
	}
}

// A leader's own commit once put a takeover into its mirror before the earlier holder's last
// writes, and tasks that those writes had started were started again. A granted shard may be
// taken up only once the watch has reached the revision of the grant.
func TestShardTakenUpOnlyWhenMirrorHasCaughtUp(t *testing.T) {
	t.Parallel()
	c := New(Params{Node: "a", NodeZones: map[string]string{"a": "n"}, Teams: map[string]Team{"red": {CPUsMax: 9}}, WorkerLease: 10 * sec, CancelTimeout: 40 * sec, ReportInterval: 2 * sec, MaxTxnOps: 8, MaxValueBytes: 8192})
	c.born(7)
	c.loaded, c.mirrorRevision = true, 90
	put := func(key string, v any, ver uint64) {
		raw, err := wire.Marshal(v)
		if err != nil {
			t.Fatal(err)
		}
		c.applyPut(key, raw, ver)
	}
	put(shardKey(0), wire.Shard{Holder: "b", Boot: 5, Teams: []string{"red"}}, 50)
	put(blockKey("x"), wire.Block{Shard: 0, Type: "std", Zone: "n", Idle: true, Machines: []wire.BlockMachine{{Name: "n-1"}}}, 60)
	put(shardKey(0), wire.Shard{Holder: "a", Boot: 7, Teams: []string{"red"}}, 100) // the controller's own commit
	if c.holdsShard(0) {
		t.Fatal("the shard was taken up before the watch reached revision 100")
	}
	put(blockKey("x"), wire.Block{Shard: 0, Type: "std", Zone: "n", Machines: []wire.BlockMachine{{Name: "n-1"}}}, 95)
	c.mirrorRevision = 100
	c.startHoldingShards()
	if !c.holdsShard(0) || !c.unreconciledShards[0] || !c.machines["n-1"].inherited {
		t.Fatal("the machine whose idle mark was removed at revision 95 must be accounted for")
	}
}

// A task's start must be written before it is sent, and its end before the worker is told to
// clear it.
func TestWriteBeforeStartAndClear(t *testing.T) {
	t.Parallel()
	w := newWorld(t, 7, 1)
	w.run(4 * sec)
	w.submit(spec("job-000001", "red", wire.ShapeBatch, 1))
	for range 400 {
		w.run(50 * time.Millisecond)
		var j wire.Job
		if it, ok := w.store.Peek(jobKey("job-000001")); ok {
			_ = wire.Unmarshal(it.Value, &j)
		}
		for _, m := range w.machines {
			if len(m.tasks()) > 0 && j.ID != "" && !w.startWritten(j.ID) {
				t.Fatal("a task was started before its start was written")
			}
			if w.check.DoneTasks("job-000001") == 1 && len(m.tasks()) == 0 && !m.gone && m.up && j.ID != "" {
				if _, ok := w.store.Peek(finalKey("job-000001")); !ok {
					t.Fatal("a task was cleared before its end was written")
				}
			}
		}
	}
	if _, ok := w.store.Peek(finalKey("job-000001")); !ok {
		t.Fatal("the job is not done")
	}
}

// A machine on which every task fails is returned to the cloud, and the jobs complete elsewhere.
func TestSickMachine(t *testing.T) {
	t.Parallel()
	w := newWorld(t, 8, 1)
	sick := w.addMachine("n", false, sec)
	w.machines[sick].sick = true
	w.run(6 * sec)
	for i := range 3 {
		w.submit(spec(fmt.Sprintf("job-%06d", i), "red", wire.ShapeBatch, 6))
	}
	w.pollAll()
	w.run(120 * sec)
	if u := w.unfinished(); u != nil {
		t.Fatalf("unfinished jobs: %v", u)
	}
	if !w.machines[sick].gone {
		t.Error("the faulty machine was not returned to the cloud")
	}
}

// A rented machine that vanished together with the holder must not delay the started tasks of
// its shard for a whole lease. It is returned to the cloud, and its deletion proves that its
// tasks have ended.
func TestMissingRentedMachineIsGivenBackAfterATakeover(t *testing.T) {
	t.Parallel()
	w := newWorld(t, 21, 3, func(w *world) {
		w.runS, w.teams = 300*sec, map[string]Team{"red": {CPUs: 40, CPUsMax: 60}}
	})
	w.run(5 * sec)
	w.submit(spec("job-000001", "red", wire.ShapeBatch, 30))
	w.run(40 * sec)
	holder := w.shardRec("red").Holder
	w.vanish(w.nodes[holder].core.heldMachines()[0].name)
	w.kill(holder)
	taken := time.Duration(0)
	for end := w.now + 40*sec; w.now < end; {
		w.run(100 * time.Millisecond)
		r := w.shardRec("red")
		if taken == 0 && r.Holder != holder {
			taken = w.now
		}
		if taken > 0 && r.Settled {
			break
		}
	}
	if took := w.now - taken; taken == 0 || took > 8*sec {
		t.Errorf("reconciled %v after the shard was taken over at %v, want at most 8 s", took, taken)
	}
}
