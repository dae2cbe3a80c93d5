package core

import (
	"fmt"
	"testing"
	"time"

	"github.com/barrowbridge/barrowbridge/wire"
)

// The state service answers all controllers slowly, while users poll live jobs and one job is cancelled.
// A relay through a peer that is as slow does not help, so calls must continue over the direct link, and
// about 19 of 20 polls must be answered within the 2 s that users wait. The test fails without
// `2*l.lastLatency` in reach.Link (503 for half of the polls and more), and without
// PollReadOverlapDelay (up to 49 of 184 polls later than 2 s).
func TestSlowStateAnswersPolls(t *testing.T) {
	t.Parallel()
	for _, slow := range [][2]time.Duration{{300, 500}, {700, 1400}, {500, 1200}} { // milliseconds, minimum and maximum
		t.Run(fmt.Sprintf("%d to %d ms", int64(slow[0]), int64(slow[1])), func(t *testing.T) {
			t.Parallel()
			for seed := uint64(910); seed < 913; seed++ {
				w := staffed(t, seed, 3)
				w.slowState = slow[0] * time.Millisecond
				for k := range 46 { // the latency changes every second
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
				t.Logf("seed %d: answers to polls by status: %v, %d of them after more than 2 s", seed, got, late)
				if got[503] > 9 || late > 4 || !confirmed {
					t.Errorf("seed %d: answers to polls by status: %v, %d late, cancellation confirmed: %v", seed, got, late, confirmed)
				}
				w.backTo(t, 6, 40*sec)
			}
		})
	}
}
