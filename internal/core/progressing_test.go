package core

import (
	"fmt"
	"testing"
	"time"

	"github.com/barrowbridge/barrowbridge/wire"
)

// scatteredWorld returns a world with a job whose last tasks complete first, all at once, and whose other
// tasks then complete out of order, so that the completed tasks form more ranges than a record can
// hold. If understood is false the controllers have none of the optional features.
func scatteredWorld(t *testing.T, bytes, tasks int, understood bool) *world {
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

// Tasks that were recorded as done must stay done, whatever the limit of a value, when a job's ranges
// no longer fit in a record and when its holder ends. Before, a quarter of the ranges was dropped
// repeatedly until the record fitted, and the next holder started tasks again that had already
// been cleared from their workers.
func TestDoneTasksStayDoneHoweverScattered(t *testing.T) {
	t.Parallel()
	for _, x := range []struct{ bytes, tasks int }{{2048, 800}, {8192, 2400}} {
		for _, understood := range []bool{false, true} {
			t.Run(fmt.Sprint(x.bytes, understood), func(t *testing.T) {
				t.Parallel()
				w := scatteredWorld(t, x.bytes, x.tasks, understood)
				w.run(60 * sec)
				before := len(w.completed)
				w.kill(w.shardRec("red").Holder)
				w.run(35 * sec)
				if before < x.tasks/2 || before == x.tasks {
					t.Fatalf("%d of %d tasks were done when the holder ended", before, x.tasks)
				}
				if n := len(w.repeated); n > 0 {
					t.Errorf("%d starts of tasks that were already done; %d tasks were done when the holder ended", n, before)
				}
				further := 0
				w.store.Scan(wire.PrefixDone, func(wire.Item) { further++ })
				if understood != (further > 0) {
					t.Errorf("%d additional progress records", further)
				}
				w.pollAll()
				w.run(90 * sec)
				if u := w.unfinished(); u != nil {
					t.Errorf("unfinished jobs: %v", u)
				}
				further = 0
				w.store.Scan(wire.PrefixDone, func(wire.Item) { further++ })
				if further > 0 {
					t.Errorf("%d additional progress records of a finished job are left", further)
				}
			})
		}
	}
}

// Once a machine is gone, only its holder knows the ends of tasks that the machine's worker has
// reported, so they must be written to the state before: a drained machine is returned only after
// that, and for a machine with a termination notice, one that has just gone, or one whose lease has
// ended they are written at once. The holder ends a second later, and no task that was done may
// run again.
func TestEndsOutliveTheirMachineAndItsHolder(t *testing.T) {
	t.Parallel()
	drained := func(w *world, m *host) {
		w.ask("c1", func(q uint64) any {
			return AdminCordon{Req: q, Machine: m.info.Name, Cordon: &wire.Cordon{Drain: true}}
		}, func(Answer) {})
		for end := w.now + 15*sec; !m.gone && w.now < end; {
			w.run(20 * time.Millisecond)
		}
		if !m.gone {
			w.t.Error("the drained machine was not returned to the cloud")
		}
	}
	for what, trouble := range map[string]func(w *world, m *host){
		"drained": drained,
		"drained while progress is not written": func(w *world, m *host) {
			w.lateWrites(100, map[string]int{}, "progress")
			w.at(5*sec, func() { w.noAnswer = nil })
			drained(w, m)
		},
		"to be taken": func(w *world, m *host) {
			m.Notice(w.now + 4*sec)
			w.run(2 * sec)
			w.at(sec, func() { w.vanish(m.info.Name) })
		},
		"lease over": func(w *world, m *host) {
			name, holder := m.info.Name, w.nodes[w.holderOf(m.info.Name)].core
			w.hang(m)
			for end := w.now + 20*sec; !holder.machines[name].leaseOver && w.now < end; {
				w.run(20 * time.Millisecond)
			}
			w.run(800 * time.Millisecond)
			w.at(sec, func() { w.vanish(name) })
		},
	} {
		t.Run(what, func(t *testing.T) {
			t.Parallel()
			for seed := uint64(710); seed < 714; seed++ {
				w := newWorld(t, seed, 3, func(w *world) {
					w.lease, w.reportS = 4*sec, sec // the lease ends before progress is written at the usual interval
					w.taskRuns = func(i int) time.Duration {
						switch {
						case i == 0:
							return sec
						case i%2 == 0:
							return 5 * sec
						}
						return 100 * sec
					}
				})
				for i := range 6 {
					w.addMachine([]string{"n", "s"}[i%2], false, sec)
				}
				w.run(8 * sec)
				s := spec("job-000001", "red", wire.ShapeBatch, 8)
				s.DueS = nil
				w.submit(s)
				for end := w.now + 20*sec; len(w.completed) < 4 && w.now < end; {
					w.run(50 * time.Millisecond)
				}
				w.run(600 * time.Millisecond) // the ends are reported, but not all of them are written
				var m *host
				for _, n := range w.order {
					ended := 0
					for _, a := range w.machines[n].tasks() {
						if a.Status == wire.TaskEnded {
							ended++
						}
					}
					if ended > 0 {
						m = w.machines[n]
					}
				}
				if m == nil {
					t.Fatalf("seed %d: no worker has an ended task; %d tasks are done", seed, len(w.completed))
				}
				holder := w.holderOf(m.info.Name)
				trouble(w, m)
				w.kill(holder)
				w.run(40 * sec)
				if len(w.repeated) > 0 {
					t.Errorf("seed %d: started again after they were done: %v", seed, w.repeated)
				}
			}
		})
	}
}
