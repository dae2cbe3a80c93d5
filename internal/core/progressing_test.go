package core

import (
	"fmt"
	"testing"
	"time"

	"github.com/barrowbridge/barrowbridge/wire"
)

// scattered plays a job whose late tasks end first, all at once, and whose early ones end far
// out of order after them: more ranges than a record holds.
func scattered(t *testing.T, bytes, tasks int, understood bool) *world {
	w := newWorld(t, 700, 3, func(w *world) {
		w.limits.ValueBytes = bytes
		w.teams = map[string]Team{"red": {CPUs: 90, CPUsMax: 90}}
		w.taskRuns = func(i int) time.Duration {
			switch {
			case i >= tasks*3/4:
				return 3 * sec
			case i%2 == 0:
				return 25 * sec
			}
			return 100 * sec
		}
	})
	params := w.params
	w.params = func(node string) Params {
		p := params(node)
		if !understood {
			p.Features = nil
		}
		return p
	}
	for _, n := range sortedKeys(w.nodes) {
		w.start(n)
	}
	for i := range 8 {
		w.addMachine([]string{"n", "s"}[i%2], false, sec)
	}
	w.run(8 * sec)
	s := spec("job-000001", "red", wire.ShapeBatch, tasks)
	s.CPUs, s.MemoryGB, s.DueS = ptr(0.005), ptr(0.005), nil
	w.submit(s)
	return w
}

// What has been written as done is never taken back, at no limit of a value: neither when a
// job's ranges no longer fit nor when its holder ends. Before, a quarter of the ranges was left
// out of the record again and again until it fitted: tasks that had been cleared from their
// workers were started again by whoever took the job over.
func TestDoneTasksStayDoneHoweverScattered(t *testing.T) {
	for _, x := range []struct{ bytes, tasks int }{{2048, 800}, {8192, 2400}} {
		for _, understood := range []bool{false, true} {
			t.Run(fmt.Sprint(x.bytes, understood), func(t *testing.T) {
				t.Parallel()
				w := scattered(t, x.bytes, x.tasks, understood)
				w.run(60 * sec)
				before := len(w.completed)
				w.kill(w.shardRec("red").Holder)
				w.run(35 * sec)
				if before < x.tasks/2 || before == x.tasks {
					t.Fatalf("%d of %d tasks were done when the holder ended", before, x.tasks)
				}
				if n := len(w.repeated); n > 0 {
					t.Errorf("%d of %d tasks that were done were started again", n, before)
				}
				further := 0
				w.store.Scan(wire.PrefixDone, func(wire.Item) { further++ })
				if understood != (further > 0) {
					t.Errorf("%d further records", further)
				}
				w.pollAll()
				w.run(90 * sec)
				if u := w.unfinished(); u != nil {
					t.Errorf("not done: %v", u)
				}
				further = 0
				w.store.Scan(wire.PrefixDone, func(wire.Item) { further++ })
				if further > 0 {
					t.Errorf("%d further records of a job that is over", further)
				}
			})
		}
	}
}
