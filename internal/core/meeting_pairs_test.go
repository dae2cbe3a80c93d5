package core

import (
	"fmt"
	"testing"
	"time"

	"github.com/barrowbridge/barrowbridge/wire"
)

// trouble is one kind of fault. do injects it and ends it after the duration d.
type trouble struct {
	name string
	do   func(w *world, d time.Duration)
}

// allFaults lists all kinds of faults that the test world can inject.
var allFaults = []trouble{
	{"a controller restarts", func(w *world, d time.Duration) { w.bounce(d, w.anyNode()) }},
	{"the leader restarts", func(w *world, d time.Duration) { w.bounce(d, w.leaderOr()) }},
	{"all controllers restart, one at once", func(w *world, d time.Duration) {
		for i, n := range sortedKeys(w.nodes) {
			w.bounce([]time.Duration{200 * time.Millisecond, d, d / 2}[i], n)
		}
	}},
	{"some controllers restart at once", func(w *world, d time.Duration) {
		names := sortedKeys(w.nodes)[:1+w.rng.IntN(3)]
		for k := range 3 {
			again := time.Duration(50+w.rng.IntN(850)) * time.Millisecond
			w.at(time.Duration(k)*d/4, func() { w.bounce(again, names...) })
		}
	}},
	{"a controller is paused", func(w *world, d time.Duration) { w.stand(w.anyNode(), d) }},
	{"the state service is down", func(w *world, d time.Duration) { w.outage(d) }},
	{"the state service refuses the leader", func(w *world, d time.Duration) { w.refuse(w.leaderOr(), d, false) }},
	{"the state service refuses one controller", func(w *world, d time.Duration) { w.refuse(w.anyNode(), d, w.rng.IntN(2) == 0) }},
	{"one controller loses the state service and its peers", func(w *world, d time.Duration) {
		n := w.anyNode()
		w.hung[n] = true
		w.silence(n, true)
		w.at(d, func() { delete(w.hung, n); w.silence(n, false) })
	}},
	{"calls to the state service are lost, late or unanswered", func(w *world, d time.Duration) {
		w.unsure = 5 + w.rng.IntN(30)
		w.at(d, func() { w.unsure = 0 })
	}},
	{"writes are applied late", func(w *world, d time.Duration) {
		w.lateWrites(5+w.rng.IntN(40), map[string]int{})
		w.at(d, func() { w.noAnswer = nil })
	}},
	{"the state service is slow", func(w *world, d time.Duration) {
		w.slowState = time.Duration(200+w.rng.IntN(1200)) * time.Millisecond
		w.at(d, func() { w.slowState = 0 })
	}},
	{"zones are partitioned", func(w *world, d time.Duration) {
		w.apart[[2]string{"n", "s"}] = true
		w.at(d, func() { w.apart = map[[2]string]bool{} })
	}},
	{"a controller receives no reports or makes no calls", func(w *world, d time.Duration) {
		n := w.anyNode()
		w.oneWay[n] = []string{"reports", "calls"}[w.rng.IntN(2)]
		w.at(d, func() { delete(w.oneWay, n) })
	}},
	{"machines hang", func(w *world, d time.Duration) {
		for range 1 + w.rng.IntN(4) {
			m := w.machines[w.order[w.rng.IntN(len(w.order))]]
			w.hang(m)
			w.at(d, func() { w.resume(m) })
		}
	}},
	{"machines receive nothing", func(w *world, d time.Duration) {
		at := w.in([]string{"n", "s"}[w.rng.IntN(2)])
		if w.rng.IntN(2) == 0 {
			at = w.order[:1+w.rng.IntN(len(w.order))]
		}
		w.deafen(true, at...)
		w.at(d, func() { w.deafen(false, at...) })
	}},
	{"calls to workers are delayed", func(w *world, d time.Duration) {
		w.holdOrders = d
		w.at(d, func() { w.holdOrders = 0 })
	}},
	{"reports are duplicated late", func(w *world, d time.Duration) {
		w.copies, w.copyLate = 10+w.rng.IntN(90), 3*w.lease
		w.at(d, func() { w.copies = 0 })
	}},
	{"the cloud is down", func(w *world, d time.Duration) {
		w.cloud.Trouble.Down = true
		w.at(d, func() { w.cloud.Trouble.Down = false })
	}},
	{"a machine is lost", func(w *world, _ time.Duration) {
		if n := w.order[w.rng.IntN(len(w.order))]; !w.machines[n].gone {
			w.vanish(n)
		}
	}},
}

// anyNode returns the name of a random controller.
func (w *world) anyNode() string { return sortedKeys(w.nodes)[w.rng.IntN(len(w.nodes))] }

// leaderOr returns the leader, or a random controller if there is none.
func (w *world) leaderOr() string {
	if n := w.leaderNode(); n != "" {
		return n
	}
	return w.anyNode()
}

// refuse makes the state service refuse one controller for the duration d. If mute is set, the
// controller also loses its peers, so they cannot relay for it.
func (w *world) refuse(n string, d time.Duration, mute bool) {
	w.cutFrom[n] = true
	w.silence(n, mute)
	w.at(d, func() { delete(w.cutFrom, n); w.silence(n, false) })
}

// Random pairs of overlapping faults of all kinds are injected repeatedly, the second up to one lease
// after the first, while jobs are submitted and cancelled and users query all controllers. The test
// ends with a period without faults, in which all work must finish.
func TestPairsOfTroubles(t *testing.T) {
	t.Parallel()
	for _, x := range chosenPairs {
		t.Run(x.a+", "+x.b, func(t *testing.T) { runChosenPair(t, x.a, x.b, x.gap) })
	}
	for seed := uint64(30000); seed < 30000+schedules; seed++ {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			t.Parallel()
			w := newWorld(t, seed, 3)
			for i := range 6 {
				w.addMachine([]string{"n", "s"}[i%2], false, sec)
			}
			w.pollAll()
			w.run(5 * sec)
			id := 0
			for range 8 {
				for k := range 5 {
					w.at(time.Duration(k)*3*sec+time.Duration(w.rng.IntN(2000))*time.Millisecond, func() { id = w.newWork(id) })
				}
				a, b := allFaults[w.rng.IntN(len(allFaults))], allFaults[w.rng.IntN(len(allFaults))]
				gap := time.Duration(w.rng.IntN(int(w.lease)))
				long := func() time.Duration {
					return time.Duration(500+w.rng.IntN(int(w.cancelS/time.Millisecond)*5/4)) * time.Millisecond
				}
				forA, forB := max(gap+sec, long()), long()
				t.Logf("%v: %s for %v, after %v %s for %v", w.now, a.name, forA, gap, b.name, forB)
				a.do(w, forA)
				w.at(gap, func() { b.do(w, forB) })
				w.run(gap + time.Duration(w.rng.IntN(int(max(forA-gap, forB)))))
				w.recount()
			}
			w.run(60 * sec) // all faults have ended by then
			w.check.Calm(w.now)
			for _, id := range sortedKeys(w.jobs) {
				if j := w.jobs[id]; *j.spec.Shape == wire.ShapeService {
					w.abort(id)
				}
			}
			w.run(200 * sec)
			if b := w.check.FinishDay(w.now); len(b) > 0 {
				t.Fatalf("the checker found failures: %v", b)
			}
			if u := w.unfinished(); u != nil {
				t.Fatalf("accepted but not done: %v", u)
			}
			if a := w.absentNodes(); a != nil {
				t.Fatalf("controllers %v are running but not present", a)
			}
		})
	}
}

// newWork submits a random job, cancels a third of them later, and returns the next id.
func (w *world) newWork(id int) int {
	s := spec(fmt.Sprintf("job-%06d", id), []string{"red", "blue", "green"}[w.rng.IntN(3)], wire.ShapeBatch, 1+w.rng.IntN(6))
	s.Spot, s.DueS = ptr(w.rng.IntN(2) == 0), nil
	if w.rng.IntN(3) == 0 {
		s.Shape, s.Priority = ptr(wire.ShapeService), ptr("urgent")
	}
	w.submit(s)
	if w.rng.IntN(3) == 0 {
		w.at(time.Duration(1+w.rng.IntN(25))*sec, func() { w.abort(*s.ID) })
	}
	return id + 1
}
