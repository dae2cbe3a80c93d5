package core

import (
	"fmt"
	"testing"
	"time"

	"github.com/barrowbridge/barrowbridge/wire"
)

// The state service answers slowly, to everybody. Users poll live jobs, and one cancels:
// a way around that is as slow is no way, so calls go on over the link, and polls are answered,
// nineteen of twenty within the 2 s that users wait. It fails without `2*l.lastLatency` in reach.Link (503 to half of
// the polls and more), and without PollReadOverlapDelay (up to 49 of 184 later than 2 s).
func TestSlowStateAnswersPolls(t *testing.T) {
	t.Parallel()
	for _, slow := range [][2]time.Duration{{300, 500}, {700, 1400}, {500, 1200}} { // ms, the least and the most
		t.Run(fmt.Sprintf("%d to %d ms", int64(slow[0]), int64(slow[1])), func(t *testing.T) {
			t.Parallel()
			for seed := uint64(910); seed < 913; seed++ {
				w := staffed(t, seed, 3)
				w.slowState = slow[0] * time.Millisecond
				for k := range 46 { // it varies by the second
					w.at(time.Duration(k)*sec, func() {
						w.slowState = (slow[0] + time.Duration(w.rng.IntN(int(slow[1]-slow[0])))) * time.Millisecond
					})
				}
				got, late := map[int]int{}, 0
				for k := range 46 * 4 {
					w.at(time.Duration(k)*250*time.Millisecond, func() {
						asked := w.now
						w.ask(sortedKeys(w.nodes)[k%3], func(q uint64) any { return Poll{Req: q, ID: fmt.Sprintf("job-%06d", k%2)} }, func(a Answer) {
							st, _ := a.Body.(wire.JobStatus)
							w.check.Polled(w.now, asked, fmt.Sprintf("job-%06d", k%2), a.Status, st)
							if got[a.Status]++; w.now-asked > 2*sec {
								late++
							}
						})
					})
				}
				confirmed := false
				w.at(20*sec, func() { w.cancelSoon("job-000002", func() { confirmed = true }) })
				w.run(46 * sec)
				w.slowState = 0
				w.run(5 * sec)
				t.Logf("seed %d: polls were answered %v, %d of them after more than 2 s", seed, got, late)
				if got[503] > 9 || late > 4 || !confirmed {
					t.Errorf("seed %d: polls were answered %v, %d late, the cancellation is confirmed: %v", seed, got, late, confirmed)
				}
				w.backTo(t, 6, 40*sec)
			}
		})
	}
}
