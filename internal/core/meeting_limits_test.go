package core

import (
	"fmt"
	"testing"
	"time"

	"github.com/barrowbridge/barrowbridge/wire"
)

// Every team is at its limit and has waiting jobs. Jobs are cancelled whose machines are cut off, hang
// or receive nothing, and the leader, a holder or all controllers restart before or after the
// cancellation. A task must count against its team's limit until it is certainly gone, also at a holder
// that never knew the job; the checker verifies the limits. After the faults, the waiting jobs must
// finish. The test fails without `unknown++` in refreshMachine (anything may run on a machine that is not
// accounted for), and if jobRemoved drops all attempts.
func TestAtTheirLimitsWhileCancelled(t *testing.T) {
	t.Parallel()
	faults := []string{"hang", "deaf", "apart", "cut off"}
	restarts := []string{"the leader", "a holder", "all"}
	for i, how := range faults {
		for k, restart := range restarts {
			t.Run(how+", "+restart, func(t *testing.T) {
				t.Parallel()
				for n, d := range []time.Duration{7 * sec, 25 * sec} {
					w := newWorld(t, uint64(880+i*10+k), 3, func(w *world) { w.cancelS = 25 * sec })
					for m := range 12 {
						w.addMachine([]string{"n", "s"}[m%2], false, sec)
					}
					w.pollAll()
					w.run(8 * sec)
					teams := []string{"red", "blue", "green"}
					for j := range 12 {
						s := spec(fmt.Sprintf("job-0011%02d", j), teams[j%3], wire.ShapeService, 3)
						s.DueS, s.Priority = nil, ptr("urgent")
						w.submit(s)
					}
					w.run(20 * sec)
					for j := range 6 {
						s := spec(fmt.Sprintf("job-0012%02d", j), teams[j%3], wire.ShapeBatch, 8)
						s.DueS = nil
						w.submit(s)
					}
					w.run(4 * sec)
					for _, team := range teams {
						if used := w.using(team); used != 12 {
							t.Fatalf("%s uses %g CPUs, want its limit of 12", team, used)
						}
					}
					w.strike(how, d)
					change := time.Duration(500+2000*((i+k+n)%2)) * time.Millisecond // the cancellations start at 1.2 s
					w.at(change, func() {
						switch restart {
						case "the leader":
							w.bounce(6*sec, w.leaderOr())
						case "a holder":
							w.bounce(500*time.Millisecond, w.shardRec("blue").Holder)
						case "all":
							w.bounce(400*time.Millisecond, sortedKeys(w.nodes)...)
						}
					})
					confirmed := 0
					for j := range 6 {
						w.at(1200*time.Millisecond+time.Duration(j)*30*time.Millisecond, func() {
							w.cancelSoon(fmt.Sprintf("job-0011%02d", j), func() { confirmed++ })
						})
					}
					w.run(d + 30*sec)
					if confirmed != 6 {
						t.Errorf("%d of 6 cancellations were confirmed", confirmed)
					}
					w.calm(t)
					if u := w.unfinished(); u != nil {
						t.Errorf("not done: %v", u)
					}
				}
			})
		}
	}
}

// strike makes the machines of zone s hang, receive nothing, or lose the connection to the other zone's
// controllers or to all controllers, for the duration d.
func (w *world) strike(how string, d time.Duration) {
	at := w.in("s")
	switch how {
	case "hang":
		for _, n := range at {
			w.hang(w.machines[n])
			w.at(d, func() { w.resume(w.machines[n]) })
		}
	case "deaf":
		w.deafen(true, at...)
		w.at(d, func() { w.deafen(false, at...) })
	case "apart":
		w.apart[[2]string{"n", "s"}] = true
		w.at(d, func() { w.apart = map[[2]string]bool{} })
	case "cut off":
		w.apart[[2]string{"n", "s"}], w.apart[[2]string{"s", "s"}] = true, true
		w.at(d, func() { w.apart = map[[2]string]bool{} })
	}
}

// cancelSoon cancels a job at the first running controller. If none runs, it retries every 100 ms.
func (w *world) cancelSoon(id string, confirmed func()) {
	for _, n := range sortedKeys(w.nodes) {
		if w.nodes[n].core != nil {
			w.cancelAt(n, id, confirmed)
			return
		}
	}
	w.at(100*time.Millisecond, func() { w.cancelSoon(id, confirmed) })
}
