package core

import (
	"fmt"
	"testing"
	"time"

	"github.com/barrowbridge/barrowbridge/internal/standin/worker"
	"github.com/barrowbridge/barrowbridge/wire"
)

// startsOf records in late, by task, each start that a worker accepts after the cancellation of the
// task's job was confirmed, and how long after.
func (w *world) startsOf(late map[string]time.Duration, confirmed map[string]time.Duration) {
	w.ordered = func(_ *host, o worker.Ordered) {
		id, _, _ := wire.ParseTask(o.Task)
		if at, ok := confirmed[id]; ok && w.now > at {
			late[o.Task] = w.now - at
		}
	}
}

// Jobs are cancelled at any controller while one controller's shards change their holder, from 1 s
// before to 9 s after. They are services and arrays whose tasks run, are written but not started, or
// wait. cancel_s is 18 s, 8 s more than the lease. Cancelled tasks must be gone in time (the checker
// verifies this), also if the next holder first learns of them from a machine's report, and no worker
// may accept a start more than half a second after the confirmation (a mirror may lag by that much).
// The test fails without `!live` in commandsFor, and if applyAttemptReports leaves out tasks of unknown
// jobs.
func TestCancelledWhileHandsChange(t *testing.T) {
	t.Parallel()
	for _, x := range []struct {
		name string
		do   func(w *world, holder string)
	}{
		{"the holder restarts after 0.3 s", func(w *world, h string) { w.bounce(300*time.Millisecond, h) }},
		{"the holder restarts after 8 s", func(w *world, h string) { w.bounce(8*sec, h) }},
		{"the holder restarts twice", func(w *world, h string) {
			w.bounce(300*time.Millisecond, h)
			w.at(1200*time.Millisecond, func() { w.bounce(300*time.Millisecond, h) })
		}},
		{"the holder receives no reports for 6 s", func(w *world, h string) { w.oneWay[h] = "reports"; w.at(6*sec, func() { delete(w.oneWay, h) }) }},
		{"the holder is refused for 6 s", func(w *world, h string) { w.refuse(h, 6*sec, true) }},
		{"the holder is paused for 5 s", func(w *world, h string) { w.stand(h, 5*sec) }},
		{"watches lag and the holder restarts", func(w *world, h string) {
			w.watchLag = 1500 * time.Millisecond
			w.bounce(8*sec, h)
		}},
	} {
		t.Run(x.name, func(t *testing.T) {
			t.Parallel()
			for seed := uint64(870); seed < 873; seed++ {
				w := staffed(t, seed, 2, func(w *world) {
					w.cancelS, w.runS = 18*sec, 8*sec
					w.teams = map[string]Team{"red": {CPUs: 20, CPUsMax: 40}, "blue": {CPUs: 8, CPUsMax: 20}, "green": {CPUs: 8, CPUsMax: 12}}
				})
				late, confirmed := map[string]time.Duration{}, map[string]time.Duration{}
				w.startsOf(late, confirmed)
				holder := w.shardRec("red").Holder
				for i := range 40 {
					s := spec(fmt.Sprintf("job-0010%02d", i), []string{"red", "red", "blue"}[i%3], wire.ShapeBatch, 1+i%7)
					s.DueS = nil
					if i%4 == 0 { // runs until it is cancelled
						s.Shape, s.Tasks, s.Priority = ptr(wire.ShapeService), ptr(int64(1+i%3)), ptr("urgent")
					}
					w.at(time.Duration(i)*250*time.Millisecond, func() { w.submit(s) })
					if i%2 == 0 {
						w.at(time.Duration(i)*250*time.Millisecond+time.Duration(w.rng.IntN(5000))*time.Millisecond, func() {
							w.cancelAt(w.anyRunning(), *s.ID, func() { confirmed[*s.ID] = w.now })
						})
					}
				}
				w.at(2*sec, func() { x.do(w, holder) })
				w.run(30 * sec)
				w.watchLag = 0
				w.run(30 * sec)
				w.calm(t)
				if n := len(confirmed); n != 20 || w.unfinished() != nil {
					t.Errorf("seed %d: %d of 20 cancellations were confirmed, not ended: %v", seed, n, w.unfinished())
				}
				t.Logf("seed %d: starts after the confirmed cancellation: %v; seen on machines later: %d", seed, late, w.check.StartedCancelled())
				for task, d := range late {
					if d > sec/2 {
						t.Errorf("seed %d: %s was started %v after its cancellation was confirmed", seed, task, d)
					}
				}
			}
		})
	}
}

// anyRunning returns the name of a random running controller.
func (w *world) anyRunning() string {
	for {
		if n := w.anyNode(); w.nodes[n].core != nil {
			return n
		}
	}
}
