package core

import (
	"fmt"
	"slices"
	"testing"

	"github.com/barrowbridge/barrowbridge/wire"
)

// runningTasks counts the tasks that are on live machines, those that wait for
// their image included.
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

// TestLargeFleet plays 500 machines through a first start and what befalls them,
// with a state service that takes 20 changes a second. The world checks the
// rules; here stand progress by the fake clock, and what it may cost.
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

	// A first start: all machines leased within what the write limit allows.
	w.run(15 * sec)
	held := 0
	for _, n := range sortedKeys(w.nodes) {
		held += len(w.nodes[n].core.machines)
	}
	if held != machines || w.store.Written > 150 {
		t.Fatalf("%d of %d machines held after 15 s and %d changes", held, machines, w.store.Written)
	}

	for _, team := range sortedKeys(w.teams) {
		n := 0
		for _, m := range w.nodes[w.shardRec(team).Holder].core.machines {
			if slices.Contains(w.nodes[w.shardRec(team).Holder].core.shards[m.shard].record.Teams, team) {
				n++
			}
		}
		if want := machines * w.teams[team].CPUs / 1800; float64(n) < want*0.6 || float64(n) > want*1.4 {
			t.Errorf("team %s has %d machines, its guarantee is worth %.0f", team, n, want)
		}
	}

	// Services first, arrays beside them.
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
		t.Fatalf("%d tasks run after 60 s", full)
	}

	// Two of three controllers are lost: no task is, and what ends is written.
	before := w.store.Written
	w.kill("c0")
	w.kill("c1")
	w.run(20 * sec)
	if n := w.runningTasks(); n < full-full/50 {
		t.Errorf("%d of %d tasks run after two controllers were lost", n, full)
	}
	for _, team := range sortedKeys(w.teams) {
		if r := w.shardRec(team); r.Holder != "c2" || !r.Settled {
			t.Errorf("%s: held by %s, settled %v", team, r.Holder, r.Settled)
		}
	}
	if n := w.store.Written - before; n > 200 {
		t.Errorf("%d changes for the takeover of two shards", n)
	}
	w.start("c0")
	w.start("c1")
	w.run(30 * sec)

	// All restart at once, well within a lease.
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

	// A wave takes a tenth of the machines without notice: the replicas on them
	// run again once the leases are over.
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
		t.Errorf("%d of %d replicas run after the wave", len(up), replicas)
	}
	for _, n := range sortedKeys(w.nodes) {
		if got := w.nodes[n].core.relays.Len(); got > machines {
			t.Errorf("%s remembers %d relayed machines", n, got)
		}
	}
}
