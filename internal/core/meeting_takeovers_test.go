package core

import (
	"testing"
	"time"

	"github.com/barrowbridge/barrowbridge/internal/standin/worker"
	"github.com/barrowbridge/barrowbridge/wire"
)

// One controller takes over two shards. A job with two tasks in one shard waits for the machine of its
// second task, which cannot be queried. The machine on which the first task ended belongs to the other
// shard by then, and reports. Its report must not be taken as information about the second task.
func TestTwoShardsTakenOverByOne(t *testing.T) {
	t.Parallel()
	w := newWorld(t, 810, 3, func(w *world) {
		w.capacity, w.lease = 0, 22*sec
		w.taskRuns = func(i int) time.Duration { return []time.Duration{6 * sec, 300 * sec}[i%2] }
		for n := range w.teams {
			w.teams[n] = Team{CPUs: 20, CPUsMax: 80}
		}
	})
	for i := range 18 {
		w.addMachine([]string{"n", "s"}[i%2], false, sec)
	}
	w.pollAll()
	w.run(12 * sec)
	on := map[string]string{}
	w.ordered = func(m *host, o worker.Ordered) { on[o.Task] = m.info.Name }
	s := spec("job-000001", "red", wire.ShapeBatch, 2)
	s.CPUs, s.Spread, s.DueS = ptr(4.0), ptr(true), nil
	w.submit(s)
	w.run(14 * sec)
	x, y := on["job-000001/0"], on["job-000001/1"]
	from := w.holderOf(x)
	b := spec("job-000002", "blue", wire.ShapeBatch, 16) // more than its shard has, so that empty blocks of other shards move to it
	b.CPUs, b.DueS = ptr(4.0), nil
	w.submit(b)
	w.until(20*sec, func() bool { return w.holderOf(x) != from })
	w.run(3 * sec)
	next := ""
	for _, n := range sortedKeys(w.nodes) {
		if n != w.holderOf(x) && n != w.holderOf(y) {
			next = n
		}
	}
	if w.holderOf(x) == w.holderOf(y) || w.runsOn("job-000001/1") != y || w.check.DoneTasks("job-000001") != 1 {
		t.Fatalf("setup failed: %s is held by %s, %s by %s", x, w.holderOf(x), y, w.holderOf(y))
	}
	w.hang(w.machines[y])
	for _, n := range sortedKeys(w.nodes) {
		if n != next {
			w.bounce(12*sec, n)
		}
	}
	w.at(13*sec, func() { w.resume(w.machines[y]) })
	w.run(20 * sec)
	if at := w.runsOn("job-000001/1"); at != y {
		t.Errorf("the task runs on %q, but it was on %s the whole time", at, y)
	}
	w.calm(t)
}

// A shard moves to another controller and back to the same incarnation of its holder, which learns of
// both changes at once: a read returns the later assignment, and the watch's event of the earlier one is
// out of date by then. The holder does not know what the other controller started, so the shard's
// machines must be accounted for again.
func TestAShardThatWasAwayInBetween(t *testing.T) {
	t.Parallel()
	b, a7 := wire.Incarnation{Node: "b", Boot: 5}, wire.Incarnation{Node: "a", Boot: 7}
	for _, x := range []struct {
		name      string
		old, now  wire.Shard
		inherited bool
	}{
		{"reconciled before", wire.Shard{Settled: true, Known: true}, wire.Shard{Past: []wire.Incarnation{a7, b}, Known: true}, true},
		{"taken over from the same controller before", wire.Shard{Settled: true, Past: []wire.Incarnation{b}, Known: true}, wire.Shard{Past: []wire.Incarnation{b}, Known: true}, true},
		{"not reconciled before", wire.Shard{Past: []wire.Incarnation{b}, Known: true}, wire.Shard{Past: []wire.Incarnation{b, a7, b}, Known: true}, true},
		{"reconciled by this holder", wire.Shard{Past: []wire.Incarnation{b}, Known: true}, wire.Shard{Past: []wire.Incarnation{b}, Known: true, Settled: true}, false},
		{"one more team", wire.Shard{Settled: true, Past: []wire.Incarnation{b}, Known: true}, wire.Shard{Settled: true, Past: []wire.Incarnation{b}, Known: true, Teams: []string{"red", "blue"}}, false},
	} {
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
		shard := func(s wire.Shard) wire.Shard {
			if s.Holder, s.Boot = "a", 7; s.Teams == nil {
				s.Teams = []string{"red"}
			}
			return s
		}
		put(shardKey(0), shard(x.old), 50)
		put(blockKey("x"), wire.Block{Type: "std", Zone: "n", Machines: []wire.BlockMachine{{Name: "n-1"}}}, 60)
		m := c.machines["n-1"]
		if m == nil || m.inherited {
			t.Fatalf("%s: the machine should not count as inherited: %+v", x.name, m)
		}
		put(shardKey(0), shard(x.now), 90)
		if away := !c.holdsShard(0); away != x.inherited {
			t.Errorf("%s: held before the mirror reached the assignment: %v", x.name, !away)
		}
		c.applyEvents(&wire.Events{Revision: 95})
		if m := c.machines["n-1"]; !c.holdsShard(0) || m == nil || m.inherited != x.inherited {
			t.Errorf("%s: want the machine inherited %v: %+v", x.name, x.inherited, m)
		}
	}
}
