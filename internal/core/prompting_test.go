package core

import (
	"testing"

	"github.com/barrowbridge/barrowbridge/internal/callqueue"
	"github.com/barrowbridge/barrowbridge/wire"
)

// A written start must not wait for its worker's next report: the holder calls the worker, which
// then reports early and gets the start in the answer. The token of the call is higher than before,
// and lower than any that another holder can be granted.
func TestStartDoesNotWaitForTheNextReport(t *testing.T) {
	t.Parallel()
	w := newWorld(t, 5, 3, func(w *world) { w.reportS = 8 * sec })
	for i := range 6 {
		w.addMachine([]string{"n", "s"}[i%2], false, sec)
	}
	w.run(30 * sec)
	began := w.now
	s := spec("job-000001", "red", wire.ShapeService, 1)
	s.Priority, s.DueS = ptr("urgent"), nil
	w.submit(s)
	for w.runningTasks() == 0 && w.now < began+20*sec {
		w.run(50 * 1e6)
	}
	if took := w.now - began; took > 2*sec {
		t.Errorf("the task was on its machine after %v, want at most 2 s", took)
	}
	// The same for a stop: an aborted service must release its capacity at once.
	w.run(6 * sec)
	began = w.now
	w.abort("job-000001")
	for w.runningTasks() > 0 && w.now < began+20*sec {
		w.run(50 * 1e6)
	}
	if took := w.now - began; took > 2*sec {
		t.Errorf("the aborted task was gone after %v, want at most 2 s", took)
	}
}

// A call to a machine has the urgency of the most urgent start that could not be sent in the answer
// to its report. Once the urgency depended on the order of a map, so that a seed did not reproduce
// the same run.
func TestTheMostUrgentUnsentStartCounts(t *testing.T) {
	t.Parallel()
	w := newWorld(t, 7, 1, func(w *world) { w.reportS = 8 * sec })
	a, b := w.addMachine("n", false, sec), w.addMachine("n", false, sec)
	w.run(30 * sec)
	c := w.nodes["c0"].core
	m, other := c.machines[a], c.machines[b]
	for i, lesser := range []bool{true, false, true} {
		c.addAttempt(&attempt{key: attemptKey{wire.TaskName("job-000001", i), uint64(i)}, job: "job-000001", taskIndex: i, belowUrgent: lesser, sizeKnown: true, machine: m, createdAt: c.now, runningSince: c.now})
	}
	for k := range 12 {
		c.callQueue.Remove(m)
		c.callQueue.Remove(other)
		c.callQueue.Request(c.now, other, false)
		r, _ := w.machines[a].Inspect(w.now)
		r.Seq += uint64(50 + k)
		c.Step(c.now+sec, c.wall, WorkerReport{Req: uint64(1000 + k), Report: r})
		if calls := c.callQueue.Take(c.now, func(*machine) callqueue.Decision { return callqueue.Call }); len(calls) != 2 || calls[0] != m {
			t.Fatalf("%d machines are called, want 2 with the machine with the urgent start first", len(calls))
		}
	}
}

// The workers of a block that moves to another shard must be redirected to its next holder at once.
func TestMovedBlockReportsToItsNextHolder(t *testing.T) {
	t.Parallel()
	w := newWorld(t, 6, 3, func(w *world) { w.reportS = 8 * sec })
	for i := range 12 {
		w.addMachine([]string{"n", "s"}[i%2], false, sec)
	}
	w.run(30 * sec)
	var id string
	for _, n := range sortedKeys(w.nodes) {
		if c := w.nodes[n].core; len(c.machines) > 0 && id == "" {
			id = c.heldMachines()[0].block
		}
	}
	it := w.key(blockKey(id))
	var b wire.Block
	if err := wire.Unmarshal(it.Value, &b); err != nil {
		t.Fatal(err)
	}
	b.Shard = (b.Shard + 1) % 3
	w.run(9 * sec)
	it = w.key(blockKey(id))
	w.callStore("c0", StateCall{Op: OpCommit, Txn: wire.Txn{If: []wire.Condition{{Key: blockKey(id), Version: it.Version}},
		Then: []wire.Change{{Put: blockKey(id), Value: b}}}}, func(r StateReply) {
		if r.Status != 200 {
			t.Fatalf("moving the block failed: %+v", r)
		}
	})
	w.run(2500 * 1e6)
	for _, bm := range b.Machines {
		for _, n := range sortedKeys(w.nodes) {
			if m := w.nodes[n].core.machines[bm.Name]; m != nil && (m.shard != b.Shard || !m.reported) {
				t.Errorf("%s at %s: shard %d, reported %v", bm.Name, n, m.shard, m.reported)
			}
		}
	}
}
