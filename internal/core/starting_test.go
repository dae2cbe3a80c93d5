package core

import (
	"fmt"
	"testing"
	"time"

	"github.com/barrowbridge/barrowbridge/internal/provisioning"
	"github.com/barrowbridge/barrowbridge/internal/startlog"
	"github.com/barrowbridge/barrowbridge/wire"
)

// startWritten reports whether a start of the job is recorded in the state.
func (w *world) startWritten(id string) bool {
	for slot := 0; ; slot++ {
		it, ok := w.store.Peek(startlog.Key(0, slot))
		if !ok {
			return false
		}
		var r wire.Starts
		if err := wire.Unmarshal(it.Value, &r); err != nil {
			w.t.Fatal(err)
		}
		if r.Entries[id].Started > 0 {
			return true
		}
	}
}

// Services that are submitted together must be started with few changes of the state. The next
// holder must know on which machine each of them may run, wait for that machine only, and start
// none twice.
func TestStartsOfManyJobsInOneChange(t *testing.T) {
	t.Parallel()
	w := newWorld(t, 21, 2, func(w *world) {
		w.teams = map[string]Team{"red": {CPUs: 80, CPUsMax: 80}, "blue": {CPUs: 8, CPUsMax: 8}}
		w.capacity = 40
	})
	for range 12 {
		w.addMachine("n", false, sec)
	}
	w.run(4 * sec)
	before := w.changes()
	for i := range 20 {
		s := spec(fmt.Sprintf("job-%06d", i), "red", wire.ShapeService, 1)
		s.Priority, s.DueS = ptr("urgent"), nil
		w.submit(s)
	}
	w.run(10 * sec)
	if n := w.changes() - before; n > 20+15 { // 20 acceptances and a few more; with one change per start there would be 40
		t.Errorf("%d changes for 20 services, want at most 35", n)
	}
	holder := ""
	for _, n := range sortedKeys(w.nodes) {
		if w.nodes[n].core.holdsShard(w.nodes[n].core.shardOfTeam("red")) {
			holder = n
		}
	}
	w.kill(holder)
	var hung *host
	for _, name := range w.order {
		if m := w.machines[name]; len(m.tasks()) > 0 && hung == nil {
			hung = m
			w.hang(m)
		}
	}
	w.run(6 * sec) // the shard is taken over, and all machines but one have reported, whose lease has not ended
	for _, n := range sortedKeys(w.nodes) {
		c := w.nodes[n].core
		if c == nil || !c.holdsShard(c.shardOfTeam("red")) {
			continue
		}
		for _, id := range sortedKeys(c.jobs) {
			if e := c.jobs[id]; recordedMachine(&e.record, 0) == "" {
				t.Errorf("%s: the next holder does not know the machine on which it was started", id)
			} else if recordedMachine(&e.record, 0) != hung.info.Name && e.run.inheritedBelow > 0 {
				t.Errorf("%s still waits, although %s has reported", id, recordedMachine(&e.record, 0))
			}
		}
	}
	w.resume(hung)
	w.run(30 * sec)
	running := 0
	for _, name := range w.order {
		running += len(w.machines[name].tasks())
	}
	if running != 20 {
		t.Errorf("%d of 20 services run", running)
	}
}

// changes returns the revision of the state, which counts its changes.
func (w *world) changes() uint64 {
	rev := uint64(0)
	for _, n := range w.nodes {
		if n.core != nil {
			rev = max(rev, n.core.mirrorRevision)
		}
	}
	return rev
}

// After a takeover the holder must wait for a machine that has been used, although its block's
// record still marks it as fresh: that it has been used is recorded in the start log.
func TestAUsedMachineIsNotFresh(t *testing.T) {
	t.Parallel()
	c := New(Params{Node: "a", NodeZones: map[string]string{"a": "n"}, Teams: map[string]Team{"red": {CPUs: 8, CPUsMax: 8}}, WorkerLease: 10 * sec, CancelTimeout: 40 * sec, MaxTxnOps: 8, MaxValueBytes: 8192})
	c.Step(0, time.UnixMilli(1e12), Tick{})
	c.born(7)
	c.loaded = true
	put := func(key string, v any, ver uint64) {
		raw, err := wire.Marshal(v)
		if err != nil {
			t.Fatal(err)
		}
		c.applyPut(key, raw, ver)
	}
	put(blockKey("x"), wire.Block{Shard: 0, Type: "std", Zone: "n", Machines: []wire.BlockMachine{{Name: "n-1", Fresh: true}, {Name: "n-2", Fresh: true}}}, 60)
	put(startlog.Key(0, 0), wire.Starts{Entries: map[string]wire.Start{machineEntryPrefix + "n-1": {N: 1}}}, 70)
	put(shardKey(0), wire.Shard{Holder: "a", Boot: 7, Teams: []string{"red"}}, 100)
	c.mirrorRevision = 100
	c.startHoldingShards()
	if !c.machines["n-1"].inherited || c.machines["n-1"].fresh || c.machines["n-2"].inherited || !c.machines["n-2"].fresh {
		t.Fatalf("n-1 %+v, n-2 %+v", c.machines["n-1"], c.machines["n-2"])
	}
}

// A controller that has just started must evaluate the machines that boot then, and must not count
// machines that are already up as boots that it has observed.
func TestBootsAreJudgedAfterAStart(t *testing.T) {
	t.Parallel()
	w := newWorld(t, 22, 2, func(w *world) { w.capacity = 40 })
	w.run(4 * sec)
	w.submit(spec("job-000001", "red", wire.ShapeBatch, 20))
	w.run(10 * sec)
	w.kill("c1")
	w.start("c1")
	w.run(2 * sec)
	kind, without := provisioning.Kind{Type: "std", Zone: "n", Spot: true}, newProvisioning()
	c := w.nodes["c1"].core
	if !c.loaded || c.provisioning.NewMachineChance(c.now, kind) != without.NewMachineChance(0, kind) {
		t.Errorf("loaded %v; chance of a new machine %v, want %v as without observations", c.loaded, c.provisioning.NewMachineChance(c.now, kind), without.NewMachineChance(0, kind))
	}
	w.absent = 100 // machines that are rented from now on never come up
	for i := range 3 {
		w.submit(spec(fmt.Sprintf("job-%06d", 10+i), []string{"red", "blue", "green"}[i], wire.ShapeBatch, 100))
	}
	w.run(3 * sec)
	w.kill("c1")
	w.start("c1")
	w.run(12 * sec) // longer than twice the usual boot time
	if c := w.nodes["c1"].core; c.provisioning.NewMachineChance(c.now, kind) >= without.NewMachineChance(0, kind) {
		t.Errorf("machines that do not come up have not lowered the chance of a new machine: %v", c.provisioning.NewMachineChance(c.now, kind))
	}
}
