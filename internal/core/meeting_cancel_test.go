package core

import (
	"fmt"
	"testing"
	"time"

	"github.com/barrowbridge/barrowbridge/internal/standin/worker"
	"github.com/barrowbridge/barrowbridge/wire"
)

// startsOf notes each start that a worker takes of a job whose cancellation has been confirmed,
// and how much later.
func (w *world) startsOf(late map[string]time.Duration, told map[string]time.Duration) {
	w.ordered = func(_ *host, o worker.Ordered) {
		id, _, _ := wire.ParseTask(o.Task)
		if at, ok := told[id]; ok && w.now > at {
			late[o.Task] = w.now - at
		}
	}
}

// Jobs are cancelled in the seconds in which one controller's work changes hands, from 1 s before
// to 9 s after, by any controller: services and arrays whose tasks run, are written and not begun,
// or wait. cancel_s is 18 s, 8 s over the lease. What is cancelled is gone in time, which the checker
// judges, also where the next holder hears of it first from a machine; and no start is taken more
// than half a second after the confirmation (a mirror may lag by so much). It fails without `!live`
// in commandsFor, and with tasks of unknown jobs left out in applyAttemptReports.
func TestCancelledWhileHandsChange(t *testing.T) {
	t.Parallel()
	for _, x := range []struct {
		name string
		do   func(w *world, holder string)
	}{
		{"ends, back in 0.3 s", func(w *world, h string) { w.bounce(300*time.Millisecond, h) }},
		{"ends, back in 8 s", func(w *world, h string) { w.bounce(8*sec, h) }},
		{"ends twice", func(w *world, h string) {
			w.bounce(300*time.Millisecond, h)
			w.at(1200*time.Millisecond, func() { w.bounce(300*time.Millisecond, h) })
		}},
		{"hears nobody for 6 s", func(w *world, h string) { w.oneWay[h] = "reports"; w.at(6*sec, func() { delete(w.oneWay, h) }) }},
		{"is refused for 6 s", func(w *world, h string) { w.refuse(h, 6*sec, true) }},
		{"stands still for 5 s", func(w *world, h string) { w.stand(h, 5*sec) }},
		{"watches come late, ends", func(w *world, h string) {
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
				late, told := map[string]time.Duration{}, map[string]time.Duration{}
				w.startsOf(late, told)
				holder := w.shardRec("red").Holder
				for i := range 40 {
					s := spec(fmt.Sprintf("job-0010%02d", i), []string{"red", "red", "blue"}[i%3], wire.ShapeBatch, 1+i%7)
					s.DueS = nil
					if i%4 == 0 { // it would run for ever
						s.Shape, s.Tasks, s.Priority = ptr(wire.ShapeService), ptr(int64(1+i%3)), ptr("urgent")
					}
					w.at(time.Duration(i)*250*time.Millisecond, func() { w.submit(s) })
					if i%2 == 0 {
						w.at(time.Duration(i)*250*time.Millisecond+time.Duration(w.rng.IntN(5000))*time.Millisecond, func() {
							w.cancelAt(w.anyRunning(), *s.ID, func() { told[*s.ID] = w.now })
						})
					}
				}
				w.at(2*sec, func() { x.do(w, holder) })
				w.run(30 * sec)
				w.watchLag = 0
				w.run(30 * sec)
				w.calm(t)
				if n := len(told); n != 20 || w.unfinished() != nil {
					t.Errorf("seed %d: %d of 20 cancellations are confirmed, not over: %v", seed, n, w.unfinished())
				}
				t.Logf("seed %d: started after its confirmation: %v; %d on machines later", seed, late, w.check.StartedCancelled())
				for task, d := range late {
					if d > sec/2 {
						t.Errorf("seed %d: %s is started %v after its cancellation was confirmed", seed, task, d)
					}
				}
			}
		})
	}
}

// anyRunning names a controller that runs.
func (w *world) anyRunning() string {
	for {
		if n := w.anyNode(); w.nodes[n].core != nil {
			return n
		}
	}
}
