package core

import (
	"fmt"
	"testing"
	"time"

	"github.com/barrowbridge/barrowbridge/wire"
)

// chosenPairs are played on every run of TestPairsOfTroubles: of each, one trouble alone shows nothing
// where the pair breaks a rule with the line taken out that it names.
var chosenPairs = []struct {
	a, b string
	gap  time.Duration
}{
	// The lone one goes on answering the machines that nobody else reaches, for as long as it may go
	// unconfirmed: their leases end that much later (`+ c.maxUnconfirmed()` in checkLeases).
	{"one is without state and peers", "zones are apart", 200 * time.Millisecond},
	{"zones are apart", "one is without state and peers", 500 * time.Millisecond},
	{"the state refuses one", "zones are apart", time.Second},
}

func playChosenPair(t *testing.T, a, b string, gap time.Duration) {
	t.Parallel()
	do := func(w *world, name string, d time.Duration) {
		for _, x := range everyTrouble {
			if x.name == name {
				x.do(w, d)
				return
			}
		}
		t.Fatalf("no such trouble: %s", name)
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
