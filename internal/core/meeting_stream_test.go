package core

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/barrowbridge/barrowbridge/wire"
)

// One-task jobs come four a second for three minutes, a quarter of them cancelled, some at once,
// some as they run, some at their end; with no other trouble, and with one that passes.
// All the others are done, and most soon: nothing of the ones that are over stays behind, on a
// machine, in a record or in a book. It fails without `!live` in front of the clear in commandsFor
// (ended attempts of jobs that are over stay), and without delete(c.counts, id) in remove.
func TestOneTaskJobsFourASecond(t *testing.T) {
	t.Parallel()
	for _, x := range []struct {
		name string
		do   func(w *world)
		p90  time.Duration // of the waits from acceptance to the end, tasks take 4 s
	}{
		{"nothing else", func(*world) {}, 7 * sec},
		{"one holder ends", func(w *world) { w.at(60*sec, func() { w.bounce(6*sec, w.shardRec("red").Holder) }) }, 7 * sec},
		{"an outage", func(w *world) { w.at(60*sec, func() { w.outage(8 * sec) }) }, 7 * sec},
	} {
		t.Run(x.name, func(t *testing.T) {
			t.Parallel()
			w := newWorld(t, 900, 3, func(w *world) { w.runS = 4 * sec })
			for i := range 14 {
				w.addMachine([]string{"n", "s"}[i%2], false, sec)
			}
			w.run(8 * sec)
			x.do(w)
			began, ends, cancelled := map[string]time.Duration{}, map[string]time.Duration{}, map[string]bool{}
			for i := range 720 {
				s := spec(fmt.Sprintf("job-%06d", i), []string{"red", "blue", "green"}[i%3], wire.ShapeBatch, 1)
				s.DueS, s.Image = nil, ptr([]string{"img", "img", "other"}[i%3])
				w.at(time.Duration(i)*250*time.Millisecond, func() { began[*s.ID] = w.now; w.submit(s) })
				if i%4 == 1 {
					after := []time.Duration{5 * time.Millisecond, 1500 * time.Millisecond, 4 * sec, time.Duration(w.rng.IntN(6000)) * time.Millisecond}[i/4%4]
					w.at(time.Duration(i)*250*time.Millisecond+after, func() {
						cancelled[*s.ID] = true
						w.abort(*s.ID)
					})
				}
			}
			var look func()
			look = func() {
				for id := range began {
					if _, over := ends[id]; !over && w.check.DoneTasks(id) == 1 {
						ends[id] = w.now
					}
				}
				w.at(200*time.Millisecond, look)
			}
			look()
			for range 20 {
				w.run(10 * sec)
				w.recount()
			}
			w.calm(t)
			for _, id := range sortedKeys(w.jobs) {
				w.poll(w.anyNode(), id)
			}
			w.run(sec)
			var waits []time.Duration
			for id, at := range began {
				if e, over := ends[id]; over && !cancelled[id] {
					waits = append(waits, e-at)
				}
			}
			slices.Sort(waits)
			aborted := len(w.finals(wire.JobAborted))
			t.Logf("%d done, %d cancelled; from submission to end: median %v, 9 of 10 within %v, last %v; %d started after their cancellation was confirmed",
				len(w.finals(wire.JobDone)), aborted, waits[len(waits)/2], waits[len(waits)*9/10], waits[len(waits)-1], w.check.StartedCancelled())
			if u := w.unfinished(); u != nil || aborted < 90 {
				t.Errorf("not over: %v; %d cancelled", u, aborted)
			}
			if p := waits[len(waits)*9/10]; p > x.p90 {
				t.Errorf("nine of ten end within %v, want %v", p, x.p90)
			}
			w.nothingLeft(t)
		})
	}
}

// nothingLeft looks for what jobs that are over have left behind.
func (w *world) nothingLeft(t *testing.T) {
	t.Helper()
	for _, n := range w.order {
		if a := w.machines[n].tasks(); len(a) > 0 {
			t.Errorf("%s still names %d attempts: %v", n, len(a), a[0])
		}
	}
	w.store.Scan(wire.PrefixJob, func(it wire.Item) { t.Errorf("%s stands among the live jobs", it.Key) })
	for _, n := range sortedKeys(w.nodes) {
		c := w.nodes[n].core
		if len(c.jobs)+len(c.attemptsByTask)+len(c.peerJobCounts)+len(c.pendingWrites)+len(c.pendingProgress)+len(c.pendingReads)+len(c.pendingPolls) > 0 {
			t.Errorf("%s keeps jobs %d, tasks %d, counts %d, owed %d, behind %d, polls %d, %d", n, len(c.jobs), len(c.attemptsByTask), len(c.peerJobCounts), len(c.pendingWrites), len(c.pendingProgress), len(c.pendingReads), len(c.pendingPolls))
		}
	}
}
