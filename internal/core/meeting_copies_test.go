package core

import (
	"fmt"
	"testing"
	"time"

	"github.com/barrowbridge/barrowbridge/internal/assignment"
	"github.com/barrowbridge/barrowbridge/wire"
)

// set writes a record directly to the state service, without a controller.
func (w *world) set(key string, v any) {
	w.t.Helper()
	w.callStore("hand", StateCall{Op: OpCommit, Txn: wire.Txn{Then: []wire.Change{{Put: key, Value: v}}}}, func(r StateReply) {
		if r.Status != 200 {
			w.t.Errorf("%s was not written: status %d", key, r.Status)
		}
	})
}

// A task has moved from one machine to another. The holder marks the now empty block of the first
// machine as idle, and ends. The second machine hangs for a while within its lease. A copy of an old
// report of the first machine, which names the task, reaches the successor before any other report.
// That the next report does not name the task proves nothing about where it runs, so the successor
// waits for the machine that hangs.
func TestCopyOfAnOldReportNamesATaskOnAnIdleMachine(t *testing.T) {
	t.Parallel()
	for _, tasks := range []int{1, 6} { // the machine of each task is written for a small job, but not for a larger one
		t.Run(fmt.Sprint(tasks, " tasks"), func(t *testing.T) {
			t.Parallel()
			w := newWorld(t, 730, 3, func(w *world) {
				w.teams, w.capacity = map[string]Team{"red": {CPUs: 80, CPUsMax: 80}}, 0
				w.keep, w.runS = map[string][]wire.Report{}, 300*sec
			})
			a, b := w.addMachine("n", false, sec), w.addMachine("s", false, sec)
			w.run(8 * sec)
			s := spec("job-000001", "red", wire.ShapeBatch, tasks)
			s.DueS, s.CPUs = nil, ptr(0.6)
			w.submit(s)
			w.run(8 * sec)
			named := func(name string) (n int) {
				for _, x := range w.machines[name].tasks() {
					if x.Status == wire.TaskRunning {
						n++
					}
				}
				return n
			}
			if named(a) == 0 {
				a, b = b, a
			}
			old := w.keep[a][len(w.keep[a])-1]
			if len(old.Attempts) == 0 {
				t.Fatal("no task runs")
			}
			w.hang(w.machines[a])
			w.run(16 * sec) // its lease has expired, all tasks are on the other machine
			w.resume(w.machines[a])
			w.run(3 * sec)
			if named(a) != 0 || named(b) != tasks {
				t.Fatalf("%d tasks on the first machine, %d on the second", named(a), named(b))
			}
			w.kill(w.holderOf(a))
			var rec wire.Block
			if err := wire.Unmarshal(w.key(blockKey(a)).Value, &rec); err != nil {
				t.Fatal(err)
			}
			rec.Idle = true
			w.set(blockKey(a), rec)
			w.hang(w.machines[b])
			w.at(8*sec, func() { w.resume(w.machines[b]) })
			copied := false
			for range 160 {
				w.run(sec / 20)
				n := w.nodes[w.shardRec("red").Holder]
				if n.core == nil || copied {
					continue
				}
				if m := n.core.machines[a]; m != nil && !m.reported {
					copied = true
					w.ask(n.name, func(q uint64) any { return WorkerReport{Req: q, Report: old} }, func(Answer) {})
				}
			}
			if !copied {
				t.Fatal("the copy reached no successor")
			}
			w.run(20 * sec)
			if n := named(a) + named(b); n != tasks {
				t.Errorf("%d of %d tasks run", n, tasks)
			}
		})
	}
}

// A shard goes to another controller and back, and its holder reads the last record before its watch
// delivers the one in between: after a write without an answer it reads the key, and a slow watch
// delivers both records later. The holder must take the shard over anew, because it does not know
// what the other controller has started meanwhile.
func TestShardGoneAndBackBetweenTwoReads(t *testing.T) {
	t.Parallel()
	w, _ := runningServices(t, 740)
	rec := w.shardRec("red")
	holder := w.nodes[rec.Holder].core
	i := holder.shardOfTeam("red")
	if !holder.heldShards[i] || holder.unreconciledShards[i] {
		t.Fatal("the shard is not held, or not reconciled")
	}
	entered := holder.shardHeldSince[i]
	other := rec
	other.Holder, other.Boot, other.Settled, other.Past = "c9", 1, false, []wire.Incarnation{{Node: rec.Holder, Boot: rec.Boot}}
	w.set(shardKey(i), other)
	back := other
	back.Holder, back.Boot, back.Past = rec.Holder, rec.Boot, append(other.Past, wire.Incarnation{Node: "c9", Boot: 1})
	w.set(shardKey(i), back)
	it := w.key(shardKey(i))
	holder.applyPut(it.Key, it.Value, it.Version)
	if holder.heldShards[i] {
		t.Error("acts for the shard as if no other controller had held it")
	}
	w.run(sec / 2)
	if !holder.heldShards[i] || holder.shardHeldSince[i] == entered {
		t.Errorf("held: %v, since %v; before the change since %v", holder.heldShards[i], holder.shardHeldSince[i], entered)
	}
	w.run(20 * sec) // the test world checks what runs where

	us, them := wire.Incarnation{Node: "c0", Boot: 1}, wire.Incarnation{Node: "c1", Boot: 2}
	held := wire.Shard{Holder: "c0", Boot: 1, Teams: []string{"red"}, Past: []wire.Incarnation{them}, Known: true}
	for what, x := range map[string]struct {
		old, now func(*wire.Shard)
		grant    bool
	}{
		"reconciled by us":              {func(*wire.Shard) {}, func(s *wire.Shard) { s.Settled = true }, false},
		"another team":                  {func(*wire.Shard) {}, func(s *wire.Shard) { s.Teams = []string{"red", "blue"} }, false},
		"another team, reconciled":      {func(s *wire.Shard) { s.Settled = true }, func(s *wire.Shard) { s.Settled, s.Teams = true, []string{"red", "blue"} }, false},
		"gone and back":                 {func(*wire.Shard) {}, func(s *wire.Shard) { s.Past = []wire.Incarnation{them, us, them} }, true},
		"gone and back when reconciled": {func(s *wire.Shard) { s.Settled = true }, func(s *wire.Shard) { s.Past = []wire.Incarnation{us, them} }, true},
		"too many incarnations to list": {func(*wire.Shard) {}, func(s *wire.Shard) { s.Known = false }, true},
		"too many incarnations before":  {func(s *wire.Shard) { s.Known = false }, func(s *wire.Shard) { s.Known = false }, true},
	} {
		old, now := held, held
		x.old(&old)
		x.now(&now)
		if assignment.Reacquired(old, now) != x.grant {
			t.Errorf("%s: treated as reacquired: %v", what, !x.grant)
		}
	}
}

// A controller takes its shards back only once its current incarnation is registered. Until then the
// state has the record of an earlier incarnation, and a controller that takes the shard over then
// would conclude from a record of another incarnation that this one is dead and no longer answers
// any worker.
func TestPresentBeforeItsShardsAreTakenBack(t *testing.T) {
	t.Parallel()
	w := staffed(t, 745, 2)
	taken := 0
	w.noAnswer = func(node string, v StateCall) (time.Duration, bool) {
		for _, ch := range v.Txn.Then {
			rec, ok := ch.Value.(wire.Shard)
			if !ok || rec.Holder != node || w.nodes[node].core.presence.Boot() != rec.Boot {
				continue
			}
			var there wire.Node
			if err := wire.Unmarshal(w.key(wire.PrefixNode+node).Value, &there); err != nil || there.Boot != rec.Boot {
				t.Errorf("%v: %s takes a shard as incarnation %d, registered is %d", w.now, node, rec.Boot, there.Boot)
			}
			taken++
		}
		return 4 * sec, kindOfWrite(v) == "presence" && w.now < 35*sec && w.rng.IntN(2) == 0
	}
	for i := range 3 {
		w.bounce(sec/5, fmt.Sprintf("c%d", i))
		w.run(700 * time.Millisecond)
		w.bounce(sec/5, fmt.Sprintf("c%d", i))
		w.run(5 * sec)
	}
	w.run(20 * sec)
	if taken == 0 {
		t.Error("no shard was taken back")
	}
}
