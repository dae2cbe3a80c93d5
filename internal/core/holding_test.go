package core

import (
	"fmt"
	"testing"
	"time"

	"github.com/barrowbridge/barrowbridge/wire"
)

// crowded returns a deployment without rentable machines in which small tasks take all capacity.
func crowded(t *testing.T, seed uint64) *world {
	w := newWorld(t, seed, 3, func(w *world) {
		w.capacity, w.runS = 0, 6*time.Second
		for n := range w.teams {
			w.teams[n] = Team{CPUs: 8, CPUsMax: 40}
		}
	})
	for i := range 12 {
		w.addMachine([]string{"n", "s"}[i%2], false, sec)
	}
	w.pollAll()
	w.run(8 * sec)
	for i := range 60 { // 100 s of work, submitted over a minute
		s := spec(fmt.Sprintf("job-%06d", i), []string{"red", "blue", "green"}[i%3], wire.ShapeBatch, 8)
		s.DueS = nil
		w.at(time.Duration(i)*sec, func() { w.submit(s) })
	}
	w.run(10 * sec)
	return w
}

// begun reports whether a job's first task has started, according to the status that users get.
func (w *world) begun(id string) bool {
	return len(w.check.On(id, w.now)) > 0 || w.check.DoneTasks(id) > 0
}

// Tasks that each take a whole machine must start soon although small tasks take all capacity that
// becomes free, whichever controllers end meanwhile. Few machines may be reserved for them, and the
// reservations must be released when the job is done.
func TestWholeMachinesAmongSmallTasks(t *testing.T) {
	t.Parallel()
	for _, c := range []struct {
		name string
		kill func(w *world) []string
		most time.Duration
	}{
		{"nothing fails", func(*world) []string { return nil }, 25 * sec},
		{"the holder ends, again and again", func(w *world) []string { return []string{w.shardRec("red").Holder} }, 45 * sec},
		{"holder and leader", func(w *world) []string { return []string{w.shardRec("red").Holder, w.leaderNode()} }, 45 * sec},
	} {
		t.Run(c.name, func(t *testing.T) {
			w := crowded(t, 81)
			for i := range 2 {
				s := spec(fmt.Sprintf("job-1%05d", i), "red", wire.ShapeBatch, 2)
				s.CPUs, s.DueS = ptr(4.0), nil
				w.submit(s)
			}
			held := 0
			took := w.until(90*sec, func() bool {
				if int(w.now/(100*time.Millisecond))%120 == 0 {
					w.bounce(400*time.Millisecond, c.kill(w)...)
				}
				for _, n := range w.nodes {
					if n.core != nil {
						for _, b := range n.core.reservations {
							held = max(held, b.Len())
						}
					}
				}
				return w.begun("job-100000") && w.begun("job-100001")
			})
			if t.Logf("started after %v, at most %d machines reserved in a shard", took, held); took > c.most || held == 0 || held > 4 {
				t.Errorf("started after %v, want at most %v; %d machines reserved, want 1 to 4", took, c.most, held)
			}
			w.calm(t)
			w.run(60 * sec)
			for _, n := range w.nodes {
				for i, b := range n.core.reservations {
					if b.Len() > 0 {
						t.Errorf("%s still has %d reservations in shard %d", n.name, b.Len(), i)
					}
				}
			}
			if u := w.unfinished(); u != nil {
				t.Errorf("unfinished jobs: %v", u)
			}
		})
	}
}

// Urgent work must at once get capacity that is reserved for other work.
func TestHeldPlacesDoNotKeepUrgentWorkOut(t *testing.T) {
	t.Parallel()
	w := crowded(t, 82)
	s := spec("job-100000", "red", wire.ShapeBatch, 4)
	s.CPUs, s.DueS = ptr(4.0), nil
	w.submit(s)
	at := ""
	held := func() bool {
		n := w.nodes[w.shardRec("red").Holder]
		b := n.core.reservations[n.core.shardOfTeam("red")]
		for _, m := range b.Machines() {
			if n.core.freeCapacity(m).CPUs >= 2 {
				at = m.name
				return true
			}
		}
		return false
	}
	if w.until(30*sec, held) >= 30*sec {
		t.Fatal("no machine with free capacity is reserved")
	}
	u := spec("job-200000", "red", wire.ShapeService, 1)
	u.Priority, u.DueS, u.CPUs = ptr("urgent"), nil, ptr(2.0)
	w.submit(u)
	took := w.until(10*sec, func() bool { return w.begun("job-200000") })
	if on := fmt.Sprint(w.check.On("job-200000", w.now)); took > 3*sec || on != "[job-200000/0 on "+at+"]" {
		t.Errorf("the urgent replica started after %v on %s, want at most 3 s and on the reserved machine %s", took, on, at)
	}
}

// A task may need more of its team's limit than small tasks ever leave free. That part of the limit
// must be reserved for it.
func TestLimitKeptForAWideTask(t *testing.T) {
	t.Parallel()
	w := crowded(t, 83)
	w.teams["red"] = Team{CPUs: 8, CPUsMax: 6} // cores read the limits when they start
	w.bounce(200*time.Millisecond, sortedKeys(w.nodes)...)
	w.run(12 * sec)
	s := spec("job-100000", "red", wire.ShapeBatch, 1)
	s.CPUs, s.DueS = ptr(4.0), nil
	w.submit(s)
	if took := w.until(90*sec, func() bool { return w.begun("job-100000") }); took > 40*sec {
		t.Errorf("started after %v, want at most 40 s", took)
	}
}
