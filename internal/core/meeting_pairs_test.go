package core

import (
	"fmt"
	"testing"
	"time"

	"github.com/barrowbridge/barrowbridge/wire"
)

// trouble is one kind; it ends by itself after so long.
type trouble struct {
	name string
	do   func(w *world, d time.Duration)
}

// everyTrouble lists all kinds that a world can have.
var everyTrouble = []trouble{
	{"a controller ends", func(w *world, d time.Duration) { w.bounce(d, w.anyNode()) }},
	{"the leader ends", func(w *world, d time.Duration) { w.bounce(d, w.leaderOr()) }},
	{"all end, one is back at once", func(w *world, d time.Duration) {
		for i, n := range sortedKeys(w.nodes) {
			w.bounce([]time.Duration{200 * time.Millisecond, d, d / 2}[i], n)
		}
	}},
	{"some are back at once", func(w *world, d time.Duration) {
		names := sortedKeys(w.nodes)[:1+w.rng.IntN(3)]
		for k := range 3 {
			again := time.Duration(50+w.rng.IntN(850)) * time.Millisecond
			w.at(time.Duration(k)*d/4, func() { w.bounce(again, names...) })
		}
	}},
	{"a controller stands still", func(w *world, d time.Duration) { w.stand(w.anyNode(), d) }},
	{"the state is down", func(w *world, d time.Duration) { w.outage(d) }},
	{"the state refuses the leader", func(w *world, d time.Duration) { w.refuse(w.leaderOr(), d, false) }},
	{"the state refuses one", func(w *world, d time.Duration) { w.refuse(w.anyNode(), d, w.rng.IntN(2) == 0) }},
	{"one is without state and peers", func(w *world, d time.Duration) {
		n := w.anyNode()
		w.hung[n] = true
		w.silence(n, true)
		w.at(d, func() { delete(w.hung, n); w.silence(n, false) })
	}},
	{"calls of the state are lost, late or not answered", func(w *world, d time.Duration) {
		w.unsure = 5 + w.rng.IntN(30)
		w.at(d, func() { w.unsure = 0 })
	}},
	{"writes are executed late", func(w *world, d time.Duration) {
		w.lateWrites(5+w.rng.IntN(40), map[string]int{})
		w.at(d, func() { w.noAnswer = nil })
	}},
	{"the state is slow", func(w *world, d time.Duration) {
		w.slowState = time.Duration(200+w.rng.IntN(1200)) * time.Millisecond
		w.at(d, func() { w.slowState = 0 })
	}},
	{"zones are apart", func(w *world, d time.Duration) {
		w.apart[[2]string{"n", "s"}] = true
		w.at(d, func() { w.apart = map[[2]string]bool{} })
	}},
	{"no report reaches a controller, or it calls nobody", func(w *world, d time.Duration) {
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
	{"machines hear nothing", func(w *world, d time.Duration) {
		at := w.in([]string{"n", "s"}[w.rng.IntN(2)])
		if w.rng.IntN(2) == 0 {
			at = w.order[:1+w.rng.IntN(len(w.order))]
		}
		w.deafen(true, at...)
		w.at(d, func() { w.deafen(false, at...) })
	}},
	{"calls of workers are held", func(w *world, d time.Duration) {
		w.holdOrders = d
		w.at(d, func() { w.holdOrders = 0 })
	}},
	{"reports come again, late", func(w *world, d time.Duration) {
		w.copies, w.copyLate = 10+w.rng.IntN(90), 3*w.lease
		w.at(d, func() { w.copies = 0 })
	}},
	{"the cloud is down", func(w *world, d time.Duration) {
		w.cloud.Trouble.Down = true
		w.at(d, func() { w.cloud.Trouble.Down = false })
	}},
	{"a machine is taken", func(w *world, _ time.Duration) {
		if n := w.order[w.rng.IntN(len(w.order))]; !w.machines[n].gone {
			w.vanish(n)
		}
	}},
}

func (w *world) anyNode() string { return sortedKeys(w.nodes)[w.rng.IntN(len(w.nodes))] }

// leaderOr is the leader, or any controller if there is none.
func (w *world) leaderOr() string {
	if n := w.leaderNode(); n != "" {
		return n
	}
	return w.anyNode()
}

// refuse has the state service refuse one controller, which its peers may not help.
func (w *world) refuse(n string, d time.Duration, mute bool) {
	w.cutFrom[n] = true
	w.silence(n, mute)
	w.at(d, func() { delete(w.cutFrom, n); w.silence(n, false) })
}

// Two troubles of all kinds that overlap, the second up to a lease after the first, again and
// again, while work comes and is cancelled and users ask everybody. Quiet time at the end.
func TestPairsOfTroubles(t *testing.T) {
	t.Parallel()
	for _, x := range chosenPairs {
		t.Run(x.a+", "+x.b, func(t *testing.T) { playChosenPair(t, x.a, x.b, x.gap) })
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
				a, b := everyTrouble[w.rng.IntN(len(everyTrouble))], everyTrouble[w.rng.IntN(len(everyTrouble))]
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
			w.run(60 * sec) // all is over by then
			w.check.Calm(w.now)
			for _, id := range sortedKeys(w.jobs) {
				if j := w.jobs[id]; *j.spec.Shape == wire.ShapeService {
					w.abort(id)
				}
			}
			w.run(200 * sec)
			if b := w.check.FinishDay(w.now); len(b) > 0 {
				t.Fatalf("the day fails: %v", b)
			}
			if u := w.unfinished(); u != nil {
				t.Fatalf("accepted and not done: %v", u)
			}
			if a := w.absentNodes(); a != nil {
				t.Fatalf("%v are up and not present", a)
			}
		})
	}
}

// newWork submits a job, and has some cancelled later.
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
