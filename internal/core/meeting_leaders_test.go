package core

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/barrowbridge/barrowbridge/wire"
)

// busy returns a deployment with services, small jobs and larger jobs of every team, whose blocks
// move between shards as jobs arrive. A job is submitted every two seconds for the duration d.
func busy(t *testing.T, seed uint64, d time.Duration, opts ...func(*world)) *world {
	w := newWorld(t, seed, 3, append([]func(*world){func(w *world) {
		w.capacity = 3
		w.taskRuns = func(i int) time.Duration { return time.Duration(4+i*13%30) * sec }
		for n := range w.teams {
			w.teams[n] = Team{CPUs: 12, CPUsMax: 24}
		}
	}}, opts...)...)
	for i := range 12 {
		w.addMachine([]string{"n", "s"}[i%2], false, sec)
	}
	w.pollAll()
	w.run(8 * sec)
	for i, team := range []string{"red", "blue", "green"} {
		s := spec(fmt.Sprintf("job-%06d", i), team, wire.ShapeService, 2)
		s.DueS, s.Priority, s.ImageGB = nil, ptr("urgent"), ptr(0.01)
		w.submit(s)
	}
	w.run(5 * sec)
	for i := range int(d / (2 * sec)) {
		s := spec(fmt.Sprintf("job-1%05d", i), []string{"red", "blue", "green"}[w.rng.IntN(3)], wire.ShapeBatch, 1+w.rng.IntN(5))
		if s.DueS, s.ImageGB = nil, ptr(0.01); i%7 == 0 {
			s.Tasks = ptr(int64(12))
		}
		s.CPUs = ptr([]float64{0.5, 1, 2}[w.rng.IntN(3)])
		w.at(time.Duration(2*i)*sec, func() { w.submit(s) })
		if i%6 == 5 {
			w.at(time.Duration(2*i+2+w.rng.IntN(20))*sec, func() { w.abort(*s.ID) })
		}
	}
	return w
}

// hangSome picks n machines at random and lets those that are up hang for the duration d.
func (w *world) hangSome(n int, d time.Duration) {
	for range n {
		if m := w.machines[w.order[w.rng.IntN(len(w.order))]]; !m.gone && m.up && !m.Fault.Hung {
			w.hang(m)
			w.at(d, func() { w.resume(m) })
		}
	}
}

// served checks that within 200 s all jobs are done and all services run. In the last of these seconds all
// users ask, since those who poll at random may not have asked since their job was done.
func (w *world) served(t *testing.T, seed uint64) {
	t.Helper()
	if took := w.until(199*sec, func() bool { return w.unfinished() == nil && w.up() == 6 }); took >= 199*sec {
		w.askAll() // takes a second
	}
	if w.unfinished() != nil || w.up() != 6 {
		t.Errorf("seed %d: %d replicas run, want 6; not done: %v", seed, w.up(), w.unfinished())
	}
	w.calm(t)
	if a := w.absentNodes(); a != nil {
		t.Errorf("seed %d: %v run but are not registered", seed, a)
	}
	if b := w.check.FinishDay(w.now); len(b) > 0 {
		t.Errorf("seed %d: rules broken over the whole run: %v", seed, b)
	}
}

// The leader ends ten times in two minutes and returns after 0.2 to 7.2 s, while machines hang for
// part of their lease or longer and old reports arrive. In some variants this happens during an
// outage of the state service, in which no leader can be elected and controllers still end.
func TestTenLeadersInTwoMinutes(t *testing.T) {
	t.Parallel()
	for _, c := range []struct {
		name   string
		outage time.Duration
		with   bool // another controller ends with the leader
	}{{"", 0, false}, {"with another controller", 0, true}, {"in an outage", 50 * sec, false}, {"in an outage, with another controller", 25 * sec, true}} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			for seed := uint64(830); seed < 833; seed++ {
				w := busy(t, seed, 110*sec)
				w.copies, w.copyLate = 30, 40*sec
				leaders := map[uint64]bool{}
				if c.outage > 0 {
					w.at(30*sec, func() { w.outage(c.outage) })
				}
				for range 10 {
					w.hangSome(2, time.Duration(2+w.rng.IntN(14))*sec)
					ends := []string{w.leaderOr()}
					if c.with {
						ends = append(ends, w.anyNode())
					}
					w.bounce(time.Duration(200+w.rng.IntN(7000))*time.Millisecond, slices.Compact(ends)...)
					for range 120 {
						w.run(100 * time.Millisecond)
						leaders[w.key(wire.KeyLeader).Version] = true
					}
					w.recount()
				}
				w.copies = 0
				if n := len(leaders); n < 10 && c.outage == 0 {
					t.Errorf("seed %d: only %d leaders were elected, want at least 10", seed, n)
				}
				w.served(t, seed)
			}
		})
	}
}

// All controllers are down for longer than a lease, so every task ends with its worker's session.
// They return together, one by one, or one alone for long. Each task that was not done is started
// exactly once more, whatever old reports say. In the last variant one controller returns within the
// lease.
func TestAllControllersAwayForLongerThanALease(t *testing.T) {
	t.Parallel()
	for _, c := range []struct {
		name string
		back []time.Duration
	}{
		{"slightly longer than a lease", []time.Duration{11 * sec, 11 * sec, 11 * sec}},
		{"one by one", []time.Duration{12 * sec, 15 * sec, 24 * sec}},
		{"one returns long before the others", []time.Duration{60 * sec, 14 * sec, 60 * sec}},
		{"much longer than a lease", []time.Duration{70 * sec, 70 * sec, 71 * sec}},
		{"slightly shorter than a lease, one returns first", []time.Duration{40 * sec, 40 * sec, 7 * sec}},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			for seed := uint64(840); seed < 843; seed++ {
				w := busy(t, seed, 60*sec)
				w.copies, w.copyLate = 40, 60*sec
				w.run(time.Duration(20+w.rng.IntN(10)) * sec)
				w.hangSome(3, time.Duration(4+w.rng.IntN(30))*sec)
				for i, n := range sortedKeys(w.nodes) {
					w.bounce(c.back[i], n)
				}
				w.run(80 * sec)
				w.copies = 0
				w.served(t, seed)
			}
		})
	}
}

// New machines are up within two seconds and get work at once, while writes are slow or executed
// late, and the leader, the holder or both restart at random moments.
func TestNewMachinesWorkAtOnceWhileWritesLag(t *testing.T) {
	t.Parallel()
	for _, c := range []struct {
		name string
		lag  func(w *world)
	}{
		{"slow", func(w *world) { w.slowState = 1200 * time.Millisecond }},
		{"late", func(w *world) { w.lateWrites(35, map[string]int{}) }},
		{"starts late", func(w *world) { w.lateWrites(60, map[string]int{}, "starts slot", "block marked") }},
		{"blocks late", func(w *world) { w.lateWrites(60, map[string]int{}, "block formed") }},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			for seed := uint64(850); seed < 856; seed++ {
				w := busy(t, seed, 90*sec, func(w *world) { w.capacity, w.bootS = 8, 300*time.Millisecond })
				for range 5 {
					w.bootS = time.Duration(300+w.rng.IntN(1500)) * time.Millisecond
					c.lag(w)
					var ends []string
					for _, n := range []string{w.leaderOr(), w.shardRec("red").Holder} {
						if w.rng.IntN(3) > 0 {
							ends = append(ends, n)
						}
					}
					w.run(time.Duration(w.rng.IntN(9000)) * time.Millisecond)
					w.hangSome(1, 7*sec)
					w.bounce(time.Duration(100+w.rng.IntN(6000))*time.Millisecond, slices.Compact(ends)...)
					w.run(8 * sec)
					w.slowState, w.noAnswer = 0, nil
					w.run(4 * sec)
				}
				w.served(t, seed)
			}
		})
	}
}
