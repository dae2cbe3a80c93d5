package core

import (
	"fmt"
	"testing"
	"time"

	"github.com/barrowbridge/barrowbridge/wire"
)

// chosenPairs are run by every TestPairsOfTroubles. With the line named in the comment removed, the
// pair breaks a rule, while either fault alone breaks none.
var chosenPairs = []struct {
	a, b string
	gap  time.Duration
}{
	// The isolated controller continues to answer the machines that no other controller reaches for as
	// long as it may act unconfirmed, so their leases end that much later (`+ c.maxUnconfirmed()` in
	// checkLeases).
	{"one controller loses the state service and its peers", "zones are partitioned", 200 * time.Millisecond},
	{"zones are partitioned", "one controller loses the state service and its peers", 500 * time.Millisecond},
	{"the state service refuses one controller", "zones are partitioned", time.Second},
}

// runChosenPair injects the fault a, and the fault b after the gap, while jobs are submitted.
func runChosenPair(t *testing.T, a, b string, gap time.Duration) {
	t.Parallel()
	do := func(w *world, name string, d time.Duration) {
		for _, x := range allFaults {
			if x.name == name {
				x.do(w, d)
				return
			}
		}
		t.Fatalf("unknown fault: %s", name)
	}
	for seed := uint64(940); seed < 946; seed++ {
		w := staffed(t, seed, 3, func(w *world) { w.runS = 15 * sec })
		for i := range 30 {
			s := spec(fmt.Sprintf("job-%06d", 100+i), []string{"red", "blue", "green"}[i%3], wire.ShapeBatch, 1+i%3)
			s.DueS = nil
			w.at(time.Duration(i)*sec, func() { w.submit(s) })
		}
		do(w, a, 38*sec)
		w.at(gap, func() { do(w, b, 36*sec) })
		w.run(70 * sec)
		w.until(90*sec, func() bool { return len(w.unfinished()) == 0 })
		w.backTo(t, 9, 60*sec)
	}
}
