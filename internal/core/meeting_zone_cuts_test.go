package core

import (
	"fmt"
	"testing"
	"time"

	"github.com/barrowbridge/barrowbridge/wire"
)

// zoneCutSeeds is the number of seeds that TestZoneCutsUnderBacklog runs. The environment variable
// BARROWBRIDGE_ZONE_CUTS overrides the default.
var zoneCutSeeds = countFromEnv("BARROWBRIDGE_ZONE_CUTS", 24)

// The zone of a shard's holder is cut off for some seconds, again and again, while arrays wait for machines on
// both sides. Each cut resets connections with writes in flight; attempts to connect hang and get through soon after
// the cut, in any order. Users poll at all controllers and repeat submissions meanwhile. In every second seed the state
// service answers slowly as well. No task may run twice, and all jobs complete.
func TestZoneCutsUnderBacklog(t *testing.T) {
	t.Parallel()
	for seed := uint64(900); seed < 900+zoneCutSeeds; seed++ {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			t.Parallel()
			w := newWorld(t, seed, 3, func(w *world) {
				w.capacity, w.runS, w.connections.slow = 0, 6*sec, 5
				for team := range w.teams {
					w.teams[team] = Team{CPUs: 20, CPUsMax: 80}
				}
				if seed%2 == 1 {
					w.slowState = 150 * time.Millisecond
				}
			})
			for i := range 14 {
				w.addMachine([]string{"n", "s"}[i%2], false, sec)
			}
			w.pollAll()
			w.run(6 * sec)
			w.feed(40)
			w.run(12 * sec)
			for range 4 {
				team := []string{"red", "blue"}[w.rng.IntN(2)]
				w.cutZone(w.params(w.shardRec(team).Holder).Zone, time.Duration(5000+w.rng.IntN(5000))*time.Millisecond)
				w.run(time.Duration(11+w.rng.IntN(5)) * sec)
			}
			w.run(30 * sec)
			w.check.Calm(w.now)
			w.run(200 * sec)
			if b := w.check.FinishDay(w.now); len(b) > 0 {
				t.Fatalf("rules broken at the end of the run: %v", b)
			}
			if u := w.unfinished(); u != nil {
				t.Fatalf("accepted jobs that are not done: %v", u)
			}
		})
	}
}

// feed submits arrays one by one so that about eight are unfinished at any time, until the given number of them
// was submitted. Some submissions are repeated after their jobs were accepted.
func (w *world) feed(count int) {
	submitted := 0
	var next func()
	next = func() {
		if submitted < count && len(w.unfinished()) < 8 {
			s := spec(fmt.Sprintf("job-%06d", submitted), []string{"red", "red", "blue"}[submitted%3], wire.ShapeBatch, 2+submitted*5%9)
			s.CPUs, s.DueS = ptr(2.0), nil
			submitted++
			w.submit(s, func() {
				w.at(time.Duration(1+w.rng.IntN(10))*sec, func() {
					for _, node := range sortedKeys(w.nodes) {
						w.submitAgain(node, s)
					}
				})
			})
		}
		w.at(300*time.Millisecond, next)
	}
	next()
}

// submitAgain repeats the submission of an accepted job at a controller.
func (w *world) submitAgain(node string, s wire.JobSpec) {
	asked := w.now
	w.ask(node, func(id uint64) any { return Submit{Req: id, Spec: s} }, func(a Answer) {
		st, _ := a.Body.(wire.JobStatus)
		w.check.Submitted(w.now, asked, *s.ID, a.Status, st)
	})
}
