package core

import (
	"testing"
	"time"

	"github.com/barrowbridge/barrowbridge/internal/standin/worker"
	"github.com/barrowbridge/barrowbridge/wire"
)

// One controller takes two shards over. A job of two tasks in the one waits for the machine of
// its second task, which can't be asked; the machine on which its first has ended stands in
// the other shard by now, and is heard of. That says nothing of the second task.
func TestTwoShardsTakenOverByOne(t *testing.T) {
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
	b := spec("job-000002", "blue", wire.ShapeBatch, 16) // more than its shard has: empty blocks of others move
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
		t.Fatalf("not the meeting: %s of %s, %s of %s", x, w.holderOf(x), y, w.holderOf(y))
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
		t.Errorf("the task runs on %q, it was on %s all the time", at, y)
	}
	w.calm(t)
}
