package core

import (
	"fmt"
	"maps"
	"slices"
	"testing"
	"time"

	"github.com/barrowbridge/barrowbridge/wire"
)

// Each test here covers one line of design.md, "What is believed", that no other test was found to
// depend on: it fails when the code of that line is removed.

// longWork submits one job of one team with tasks that run for minutes, and returns the world once
// all of them run.
func longWork(t *testing.T, seed uint64, tasks int, cpus float64, opts ...func(*world)) *world {
	w := newWorld(t, seed, 3, append([]func(*world){func(w *world) {
		w.capacity, w.lease, w.runS = 0, 22*sec, 400*sec
		for n := range w.teams {
			w.teams[n] = Team{CPUs: 20, CPUsMax: 40}
		}
	}}, opts...)...)
	for i := range 12 {
		w.addMachine([]string{"n", "s"}[i%2], false, sec)
	}
	w.pollAll()
	w.run(12 * sec)
	s := spec("job-000001", "red", wire.ShapeBatch, tasks)
	s.CPUs, s.DueS, s.ImageGB = &cpus, nil, ptr(0.01)
	w.submit(s)
	if w.until(30*sec, func() bool { return w.running("job-000001") == tasks }); w.running("job-000001") != tasks {
		t.Fatalf("%d of %d tasks run", w.running("job-000001"), tasks)
	}
	w.run(2 * sec)
	return w
}

// sitesOf maps each running task of job-000001 to its machine.
func (w *world) sitesOf() map[string]string {
	at := map[string]string{}
	for _, n := range w.order {
		for _, a := range w.machines[n].tasks() {
			if a.Status == wire.TaskRunning {
				at[a.Task] = n
			}
		}
	}
	return at
}

// A shard is assigned away from a holder that is present in the state, while a partition leaves the
// holder alone with its zone: it may answer its workers until it has gone unconfirmed for too long.
// Only a later incarnation proves the earlier one dead; that it is present in the state does not.
// Fails (ran_twice) without the comparison of incarnations in allIncarnationsDead.
func TestAHolderThatIsPresentIsNotTakenForDead(t *testing.T) {
	t.Parallel()
	for _, tasks := range []int{3, 9} {
		t.Run(fmt.Sprint(tasks, " tasks"), func(t *testing.T) {
			w := longWork(t, 930, tasks, 2, func(w *world) { w.lease = 10 * sec })
			const lone = "c1" // the controller of zone s
			if old := w.shardRec("red").Holder; old != lone {
				w.grantTo("red", lone)
				w.until(30*sec, func() bool { return w.shardRec("red").Settled })
			}
			apart := 0
			for _, n := range w.sitesOf() {
				if w.machines[n].info.Zone == "s" {
					apart++
				}
			}
			if rec := w.shardRec("red"); apart == 0 || rec.Holder != lone || !rec.Settled {
				t.Fatalf("faults did not coincide: %d tasks in the zone, shard held by %s", apart, rec.Holder)
			}
			w.apart[[2]string{"n", "s"}] = true
			w.hung[lone] = true
			w.silence(lone, true)
			w.grantTo("red", "c0")
			w.run(60 * sec)
			w.apart, w.hung[lone] = map[[2]string]bool{}, false
			w.silence(lone, false)
			w.run(20 * sec)
			w.calm(t)
		})
	}
}

// grantTo assigns a team's shard to a controller that is present, as a leader does.
func (w *world) grantTo(team, to string) {
	w.store.Scan(wire.PrefixShard, func(it wire.Item) {
		var rec wire.Shard
		if wire.Unmarshal(it.Value, &rec) != nil || !slices.Contains(rec.Teams, team) {
			return
		}
		var node wire.Node
		if err := wire.Unmarshal(w.key(wire.PrefixNode+to).Value, &node); err != nil {
			w.t.Fatalf("%s is not registered: %v", to, err)
		}
		rec.Past, rec.Known = append(rec.Past, wire.Incarnation{Node: rec.Holder, Boot: rec.Boot}), rec.Known || rec.Settled
		rec.Holder, rec.Boot, rec.Settled = to, node.Boot, false
		w.at(0, func() { w.set(it.Key, rec) })
	})
	w.run(20 * time.Millisecond)
}

// The task of a small job moves to another machine, and its holder ends while that machine cannot
// be queried. The successor waits for the machine of the last start, which was written before the
// start was sent. Fails (ran_twice) if a start is neither written with its machine
// (placementChanged) nor held back until it is (startable); with one of the two alone the start is
// not sent at all.
func TestASmallJobWaitsForTheMachineOfItsLastStart(t *testing.T) {
	t.Parallel()
	for seed := uint64(940); seed < 943; seed++ {
		w := longWork(t, seed, 1, 2)
		const task = "job-000001/0"
		first := w.sitesOf()[task]
		w.hang(w.machines[first])
		w.until(60*sec, func() bool { return w.runsOn(task) != "" })
		w.resume(w.machines[first])
		w.run(4 * sec)
		second := w.runsOn(task)
		if second == "" || second == first || len(w.machines[first].tasks()) > 0 {
			t.Fatalf("faults did not coincide: the task was on %s, is on %q", first, second)
		}
		w.hang(w.machines[second])
		w.bounce(3*sec, w.shardRec("red").Holder)
		w.at(15*sec, func() { w.resume(w.machines[second]) })
		w.run(30 * sec)
		if on := w.runsOn(task); on != second {
			t.Errorf("seed %d: the task runs on %q, it was on %s all the time", seed, on, second)
		}
		w.calm(t)
	}
}

// A machine with work on it is drained while its worker receives nothing and the cloud cannot be
// reached. Its name stays in its block until the cloud has confirmed that it is gone, and it is not
// marked empty, also under a successor of its holder. Fails (ran_twice) if a name leaves its block
// when its deletion is requested, and if a machine is marked empty with work on it.
func TestAMachineThatIsToBeReturnedMayStillRun(t *testing.T) {
	t.Parallel()
	for _, c := range []struct {
		tasks int
		ends  bool
	}{{2, false}, {2, true}, {8, false}, {8, true}} {
		t.Run(fmt.Sprintf("%d tasks, holder ends: %v", c.tasks, c.ends), func(t *testing.T) {
			w := longWork(t, 950, c.tasks, 2, func(w *world) { w.lease = 30 * sec })
			x := slices.Min(slices.Collect(maps.Values(w.sitesOf())))
			w.ask("c0", func(q uint64) any { return AdminCordon{Req: q, Machine: x, Cordon: &wire.Cordon{Drain: true}} }, func(Answer) {})
			w.cloud.Trouble.Down = true
			w.deafen(true, x)
			w.run(3 * sec)
			if c.ends {
				w.bounce(2*sec, w.shardRec("red").Holder)
			}
			w.run(14 * sec)
			_, rec := w.blockRec(x)
			if i := slices.IndexFunc(rec.Machines, func(m wire.BlockMachine) bool { return m.Name == x }); i < 0 {
				t.Errorf("%s has left its block, but the cloud has not deleted it", x)
			} else if m := rec.Machines[i]; m.Empty {
				t.Errorf("%s is marked empty: %+v", x, m)
			} else if len(w.machines[x].tasks()) == 0 {
				t.Fatal("faults did not coincide: no task is on the machine")
			}
			w.run(30 * sec)
			w.deafen(false, x)
			w.cloud.Trouble.Down = false
			w.run(20 * sec)
			w.calm(t)
		})
	}
}

// A holder's write that marks a block idle gets no answer, the holder ends, and the write is executed
// once the successor has work there: the write fails its condition on the shard. The test fails
// (work on an idle block) without the comparison of the shard in the holder's writes.
func TestAMarkOfAnEarlierHolderArrivesLate(t *testing.T) {
	t.Parallel()
	for seed := uint64(960); seed < 963; seed++ {
		w := longWork(t, seed, 2, 1)
		var marked wire.Block
		w.noAnswer = func(node string, v StateCall) (time.Duration, bool) {
			for _, ch := range v.Txn.Then {
				if b, ok := ch.Value.(wire.Block); ok && b.Idle && marked.Machines == nil && kindOfWrite(v) == "block marked" {
					marked = b
					w.at(0, func() { w.bounce(20*sec, node) })
					return 14 * sec, true
				}
			}
			return 0, false
		}
		s := spec("job-000002", "blue", wire.ShapeBatch, 8) // more than its shard has: empty blocks of others are offered
		s.CPUs, s.DueS, s.ImageGB = ptr(4.0), nil, ptr(0.01)
		w.submit(s)
		w.until(10*sec, func() bool { return marked.Machines != nil })
		var rec wire.Shard
		if err := wire.Unmarshal(w.key(shardKey(marked.Shard)).Value, &rec); err != nil || marked.Machines == nil {
			t.Fatalf("no block was marked: %v", err)
		}
		s = spec("job-000003", rec.Teams[0], wire.ShapeBatch, 40) // fills all capacity of its shard
		s.CPUs, s.DueS, s.ImageGB = ptr(1.0), nil, ptr(0.01)
		w.submit(s)
		at := marked.Machines[0].Name
		w.run(13 * sec)
		if _, now := w.blockRec(at); len(w.machines[at].tasks()) == 0 || now.Idle {
			t.Fatalf("faults did not coincide: no task is on %s, or the mark was written: %+v", at, now)
		}
		w.run(20 * sec)
		w.abort("job-000002") // there is more work than capacity, and its tasks run for minutes
		w.abort("job-000003")
		w.run(20 * sec)
		w.calm(t)
	}
}

// Blocks that a shard has beyond its guarantees are emptied for another shard, and the tasks stopped
// there save checkpoints for seconds. No block is marked idle before the last task has gone. Fails
// (work on an idle block) if blocks are marked with work on them.
func TestABlockThatIsEmptiedIsNotIdleWhileTasksSave(t *testing.T) {
	t.Parallel()
	w := newWorld(t, 970, 3, func(w *world) {
		w.capacity, w.runS = 0, 100*sec
		for n := range w.teams {
			w.teams[n] = Team{CPUs: 16, CPUsMax: 48}
		}
	})
	for i := range 12 {
		w.addMachine([]string{"n", "s"}[i%2], false, sec)
	}
	w.pollAll()
	w.run(12 * sec)
	s := spec("job-000001", "red", wire.ShapeBatch, 44)
	s.DueS, s.ImageGB, s.CheckpointEvery, s.SaveS = nil, ptr(0.01), ptr(2.0), ptr(6.0)
	w.submit(s)
	w.until(40*sec, func() bool { return w.running("job-000001") > 36 })
	s = spec("job-000002", "blue", wire.ShapeBatch, 4)
	s.CPUs, s.DueS, s.ImageGB = ptr(4.0), nil, ptr(0.01)
	w.submit(s)
	saving := 0
	for range 400 {
		w.run(50 * time.Millisecond)
		for _, n := range w.order {
			for _, a := range w.machines[n].tasks() {
				if a.Status == wire.TaskSaving {
					saving++
				}
			}
		}
	}
	if saving == 0 {
		t.Fatal("faults did not coincide: no task saved a checkpoint")
	}
	w.until(60*sec, func() bool { return w.running("job-000002") == 4 })
	if n := w.running("job-000002"); n != 4 {
		t.Errorf("%d of 4 tasks within the guarantee run", n)
	}
}
