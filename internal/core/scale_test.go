package core

import (
	"fmt"
	"slices"
	"testing"

	"github.com/barrowbridge/barrowbridge/wire"
)

// runningTasks counts the tasks on live machines, including those that wait for their image.
func (w *world) runningTasks() int {
	n := 0
	for _, name := range w.order {
		for _, r := range w.machines[name].tasks() {
			if r.Status != wire.TaskEnded {
				n++
			}
		}
	}
	return n
}

// TestLargeFleet takes 500 machines through a first start, the loss of controllers, a restart of
// all controllers and the loss of machines, with a state service that accepts 20 changes per
// second. The world checks the rules; this test checks the progress by the fake clock and the
// number of changes.
func TestLargeFleet(t *testing.T) {
	t.Parallel()
	const machines, replicas = 500, 150
	w := newWorld(t, 31, 3, func(w *world) {
		w.limits.WriteRPS, w.capacity, w.runS = 20, machines/4, 200*sec
		w.teams = map[string]Team{"red": {CPUs: 900, CPUsMax: 1500}, "blue": {CPUs: 600, CPUsMax: 1500}, "green": {CPUs: 300, CPUsMax: 800}}
	})
	for i := range machines {
		w.addMachine([]string{"n", "s"}[i%2], false, sec)
	}

	// A first start: all machines must be leased within what the write limit allows.
	w.run(15 * sec)
	held := 0
	for _, n := range sortedKeys(w.nodes) {
		held += len(w.nodes[n].core.machines)
	}
	if held != machines || w.store.Written > 150 {
		t.Fatalf("%d of %d machines are held after 15 s and %d changes", held, machines, w.store.Written)
	}

	for _, team := range sortedKeys(w.teams) {
		n := 0
		for _, m := range w.nodes[w.shardRec(team).Holder].core.machines {
			if slices.Contains(w.nodes[w.shardRec(team).Holder].core.shards[m.shard].record.Teams, team) {
				n++
			}
		}
		if want := machines * w.teams[team].CPUs / 1800; float64(n) < want*0.6 || float64(n) > want*1.4 {
			t.Errorf("team %s has %d machines, its guarantee corresponds to %.0f", team, n, want)
		}
	}

	// Submits services first, and then arrays.
	for i := range replicas {
		s := spec(fmt.Sprintf("job-%06d", i), []string{"red", "blue", "green"}[i%3], wire.ShapeService, 1)
		s.Priority, s.DueS = ptr("urgent"), nil
		w.submit(s)
	}
	for i := range 6 {
		s := spec(fmt.Sprintf("job-%06d", 1000+i), []string{"red", "blue", "green"}[i%3], wire.ShapeBatch, 300)
		s.EstimateS, s.DueS = ptr(200.0), ptr(3000.0)
		w.submit(s)
	}
	w.run(60 * sec)
	full := w.runningTasks()
	if full < replicas+1000 {
		t.Fatalf("%d tasks run after 60 s, want at least 1150", full)
	}

	// Two of three controllers are lost. No task may be lost, and the ends of tasks must be written.
	before := w.store.Written
	w.kill("c0")
	w.kill("c1")
	w.run(20 * sec)
	if n := w.runningTasks(); n < full-full/50 {
		t.Errorf("%d of %d tasks run after two controllers were lost", n, full)
	}
	for _, team := range sortedKeys(w.teams) {
		if r := w.shardRec(team); r.Holder != "c2" || !r.Settled {
			t.Errorf("shard of %s: held by %s, want c2; reconciled %v, want true", team, r.Holder, r.Settled)
		}
	}
	if n := w.store.Written - before; n > 200 {
		t.Errorf("%d changes for the takeover of two shards, want at most 200", n)
	}
	w.start("c0")
	w.start("c1")
	w.run(30 * sec)

	// All controllers restart at once, well within a worker lease.
	for _, n := range sortedKeys(w.nodes) {
		w.kill(n)
	}
	w.run(5 * sec)
	for _, n := range sortedKeys(w.nodes) {
		w.start(n)
	}
	w.run(10 * sec)
	if n := w.runningTasks(); n < full-full/50 {
		t.Errorf("%d of %d tasks run after all controllers were restarted", n, full)
	}

	// A tenth of the machines is lost without notice. The replicas on them must run again once the
	// leases have ended.
	for i := 0; i < machines; i += 10 {
		w.vanish(w.order[i])
	}
	w.run(40 * sec)
	up := map[string]bool{}
	for _, n := range w.order {
		for _, r := range w.machines[n].tasks() {
			if id, _, _ := wire.ParseTask(r.Task); *w.jobs[id].spec.Shape == wire.ShapeService && r.Status != wire.TaskEnded {
				up[r.Task] = true
			}
		}
	}
	if len(up) != replicas {
		t.Errorf("%d of %d replicas run after the loss of machines", len(up), replicas)
	}
	for _, n := range sortedKeys(w.nodes) {
		if got := w.nodes[n].core.relays.Len(); got > machines {
			t.Errorf("%s keeps relay records of %d machines, want at most 500", n, got)
		}
	}
}
