package core

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/barrowbridge/barrowbridge/internal/tuning"
	"github.com/barrowbridge/barrowbridge/wire"
)

// staffed is a deployment with standing machines in both zones and a service of each team.
func staffed(t *testing.T, seed uint64, replicas int, opts ...func(*world)) *world {
	w := newWorld(t, seed, 3, opts...)
	for i := range 6 {
		w.addMachine([]string{"n", "s"}[i%2], false, sec)
	}
	w.pollAll()
	w.run(8 * sec)
	for i, team := range []string{"red", "blue", "green"} {
		s := spec(fmt.Sprintf("job-%06d", i), team, wire.ShapeService, replicas)
		s.DueS, s.Priority = nil, ptr("urgent")
		w.submit(s)
	}
	w.run(20 * sec)
	return w
}

// up counts the replicas that run on machines that hear.
func (w *world) up() (n int) {
	for _, name := range w.order {
		if m := w.machines[name]; !w.deaf[name] {
			for _, a := range m.tasks() {
				if a.Status == wire.TaskRunning {
					n++
				}
			}
		}
	}
	return n
}

// until runs until a condition holds, at most for so long, and tells how long it took.
func (w *world) until(most time.Duration, ok func() bool) time.Duration {
	began := w.now
	for w.now < began+most && !ok() {
		w.run(100 * time.Millisecond)
	}
	return w.now - began
}

// A worker whose reports arrive, and that hears no answer, is known within two of the
// intervals at which it reports then, is given nothing more, and is used again when it hears.
// Its tasks run elsewhere: a few rented machines are given back for that, many, or standing
// ones, go to their next session.
func TestDeafMachines(t *testing.T) {
	t.Parallel()
	for _, c := range []struct {
		name   string
		hit    func(w *world, rented []string) []string
		within time.Duration // all replicas run on others
		stay   bool          // the machines are not given back
		kill   func(w *world, at []string) string
	}{
		{"a rented one", func(w *world, rented []string) []string { return rented[:1] }, 16 * sec, false, nil},
		{"a rented one, its holder ends", func(w *world, rented []string) []string { return rented[:1] }, 25 * sec, false, func(w *world, at []string) string { return w.holderOf(at[0]) }},
		{"a standing one", func(w *world, _ []string) []string { return w.order[:1] }, 25 * sec, true, nil},
		{"a zone", func(w *world, _ []string) []string { return w.in("n") }, 40 * sec, true, nil},
		{"a zone, the leader ends", func(w *world, _ []string) []string { return w.in("n") }, 45 * sec, true, func(w *world, _ []string) string { return w.leaderNode() }},
	} {
		t.Run(c.name, func(t *testing.T) {
			w := staffed(t, 61, 10)
			var rented []string
			for _, n := range w.order[6:] {
				if m := w.machines[n]; !m.gone && len(m.tasks()) > 0 {
					rented = append(rented, n)
				}
			}
			if w.up() != 30 || len(rented) < 2 {
				t.Fatalf("%d replicas run, %d machines are rented", w.up(), len(rented))
			}
			at := c.hit(w, rented)
			w.deafen(true, at...)
			if c.kill != nil {
				w.bounce(5*sec, c.kill(w, at))
			}
			took := w.until(60*sec, func() bool { return w.up() == 30 })
			if t.Logf("all run elsewhere after %v, %d starts lost", took, w.runsLost); took > c.within {
				t.Errorf("all replicas run elsewhere after %v, want %v", took, c.within)
			}
			lost := w.runsLost
			if lost > 4*len(at) {
				t.Errorf("%d starts were sent to %d deaf machines", lost, len(at))
			}
			w.run(30 * sec)
			if w.runsLost > lost+len(at) {
				t.Errorf("known deaf, and sent %d more starts", w.runsLost-lost)
			}
			w.deafen(false, at...)
			w.run(15 * sec)
			for _, n := range at {
				if gone := w.machines[n].gone; gone && c.stay && slices.Contains(w.order[:6], n) {
					t.Errorf("%s was given back", n)
				} else if m := w.nodes[w.holderOf(n)]; !gone && (m == nil || m.core == nil || !m.core.usable(m.core.machines[n])) {
					t.Errorf("%s hears again and is not used", n)
				}
			}
		})
	}
}

func (w *world) in(zone string) (names []string) {
	for _, n := range w.order {
		if m := w.machines[n]; !m.gone && m.info.Zone == zone {
			names = append(names, n)
		}
	}
	return names
}

func (w *world) leaderNode() string {
	var l wire.Leader
	_ = wire.Unmarshal(w.key(wire.KeyLeader).Value, &l)
	return l.Node
}

// Copies of the reports of a machine that is gone come for a minute, to a controller that
// has taken its shard over or has just started. They account for nothing, put off the end
// of its lease by little, and form no block.
func TestLateCopiesProveNothing(t *testing.T) {
	t.Parallel()
	for _, back := range []time.Duration{0, 300 * time.Millisecond, 20 * sec} {
		t.Run(fmt.Sprint("holder back after ", back), func(t *testing.T) {
			w := staffed(t, 62, 6, func(w *world) { w.stale = map[string]int{} })
			w.copies, w.copyLate = 100, 60*sec
			w.run(20 * sec)
			w.copies = 0 // what has been copied is on its way
			name := w.order[0]
			old := w.holderOf(name)
			w.kill(old)
			w.vanish(name)
			if back > 0 {
				w.at(back, func() { w.start(old) })
			}
			// The cloud lists it for a while; then its deletion accounts for it.
			took := w.until(60*sec, func() bool { return w.up() == 18 })
			t.Logf("all run after %v, %d copies came by then", took, w.stale[name])
			if limit := 45 * sec; took > limit {
				t.Errorf("replicas of a machine that is gone run again after %v, want %v", took, limit)
			}
			for range 60 {
				w.run(sec)
				for _, n := range w.nodes {
					if n.core == nil {
						continue
					}
					if m := n.core.machines[name]; m != nil && n.core.usable(m) {
						t.Fatalf("%v: %s, which is gone, takes tasks at %s", w.now, name, n.name)
					}
				}
			}
			if h := w.holderOf(name); h != "" {
				t.Errorf("%s, which is gone, is in a block of %s", name, h)
			}
			if w.stale[name] < 10 {
				t.Errorf("only %d copies came", w.stale[name])
			}
		})
	}
}

// Copies of the last reports of a machine that hangs for good come in their order, one each
// second, to a controller that has just taken it over: they do not keep its lease open.
func TestCopiesInOrderRenewNothing(t *testing.T) {
	t.Parallel()
	w := staffed(t, 64, 6, func(w *world) { w.keep = map[string][]wire.Report{} })
	name := w.order[0]
	w.run(100 * sec)
	old, copies := w.holderOf(name), w.keep[name]
	w.kill(old)
	w.hang(w.machines[name])
	took := w.until(100*sec, func() bool {
		if h := w.holderOf(name); h != "" && h != old && len(copies) > 0 && int(w.now/(100*time.Millisecond))%10 == 0 {
			r := copies[0]
			copies = copies[1:]
			w.ask(h, func(q uint64) any { return WorkerReport{Req: q, Report: r} }, func(Answer) {})
		}
		return w.up() == 18+len(w.machines[name].tasks())
	})
	// What the earlier holder may have answered last, a lease, and two answers that were tried.
	if t.Logf("all run after %v", took); took > 50*sec || len(copies) == 0 {
		t.Errorf("replicas of a machine that hangs run again after %v, %d copies left", took, len(copies))
	}
}

// A controller loses the state service and the other controllers, not its workers, at any
// moment of a takeover, for a short or a long time. What its users cancel with the others, it
// cannot hear of: it stops answering its workers in time. No rule breaks, and all runs again.
func TestAloneWithItsWorkers(t *testing.T) {
	t.Parallel()
	for _, c := range []struct {
		lone, at time.Duration
		only     bool // its workers reach nobody else: nothing but its own silence ends what they run
	}{
		{5 * sec, 0, false}, {20 * sec, 400 * time.Millisecond, false}, {20 * sec, 2 * sec, false}, {45 * sec, 3500 * time.Millisecond, false}, {45 * sec, 5 * sec, false}, {120 * sec, sec, false},
		{60 * sec, 0, true}, {60 * sec, 2 * sec, true}, {120 * sec, sec, true},
	} {
		t.Run(fmt.Sprintf("%v, %v after another ends, only %v", c.lone, c.at, c.only), func(t *testing.T) {
			w := staffed(t, 63, 6)
			leader := w.leaderNode()
			lone := "c0"
			if leader == lone {
				lone = "c1"
			}
			w.bounce(8*sec, leader)
			w.run(c.at)
			w.hung[lone] = true
			w.silence(lone, true)
			for _, n := range sortedKeys(w.nodes) {
				w.lost[n] = c.only && n != lone
			}
			gone := ""
			for i, team := range []string{"red", "blue", "green"} {
				if w.shardRec(team).Holder == lone {
					gone = fmt.Sprintf("job-%06d", i)
				}
			}
			if gone == "" {
				t.Fatal("the lone controller holds nothing")
			}
			// Its open watch would tell it of what is cancelled at once: with that, this passed with a
			// lone controller that never stops.
			w.at(min(c.lone/2, tuning.WatchMaxWait+sec), func() { w.abort(gone) })
			w.run(c.lone)
			w.hung[lone] = false
			w.silence(lone, false)
			clear(w.lost)
			if took := w.until(60*sec, func() bool { return w.up() == 12 && w.check.Final(gone) == wire.JobAborted }); took > 30*sec {
				t.Errorf("the others run %v after it is back", took)
			}
			w.calm(t)
		})
	}
}

// Controllers are back within a fraction of a second, one, two or three at once, again and
// again, at any moment of an election. It costs no worker its lease.
func TestBackAtOnce(t *testing.T) {
	t.Parallel()
	for i, after := range []time.Duration{50, 200, 450, 900} {
		for n := 1; n <= 3; n++ {
			t.Run(fmt.Sprintf("%d after %v ms", n, int64(after)), func(t *testing.T) {
				w := staffed(t, uint64(70+i), 6)
				at := []string{w.leaderNode()}
				for _, o := range sortedKeys(w.nodes) {
					if len(at) < n && o != at[0] {
						at = append(at, o)
					}
				}
				for k := range 6 {
					w.bounce(after*time.Millisecond, at...)
					w.run(time.Duration(700+k*530) * time.Millisecond) // before, amid and after what follows
				}
				w.run(15 * sec)
				if w.up() != 18 {
					t.Errorf("%d of 18 replicas run", w.up())
				}
				for _, m := range w.order {
					if s := w.session(w.machines[m]); s != 1 {
						t.Errorf("%s has lost its lease, session %d", m, s)
					}
				}
				w.calm(t)
			})
		}
	}
}

// calm runs on with no trouble left: each job is known to everybody then.
func (w *world) calm(t *testing.T) {
	w.check.Calm(w.now)
	w.run(90 * sec)
	for _, id := range sortedKeys(w.jobs) {
		for _, n := range sortedKeys(w.nodes) {
			w.ask(n, func(q uint64) any { return Poll{Req: q, ID: id} }, func(a Answer) {
				if a.Status != 200 {
					t.Errorf("%s at %s: %d", id, n, a.Status)
				}
			})
		}
	}
	w.run(3 * sec)
}

// A block is offered to another shard, and the write that marks it is on its way while work
// for it comes: nothing is placed there until the outcome is known.
func TestNothingIsPlacedOnABlockBeingOffered(t *testing.T) {
	t.Parallel()
	for _, late := range []time.Duration{300 * time.Millisecond, 900 * time.Millisecond, 6 * sec} {
		w := newWorld(t, 90, 3, func(w *world) { w.capacity, w.runS = 0, 20*sec })
		for i := range 6 {
			w.addMachine([]string{"n", "s"}[i%2], false, sec)
		}
		w.pollAll()
		w.run(12 * sec)
		w.markLate = late
		job := func(id, team string, tasks int) {
			s := spec(id, team, wire.ShapeBatch, tasks)
			s.DueS, s.ImageGB = nil, ptr(0.01)
			w.submit(s)
		}
		job("job-000000", "red", 12) // more than its shard has: the others' empty blocks are offered
		for range 500 {
			if w.run(10 * time.Millisecond); w.marking != nil {
				break
			}
		}
		if w.marking == nil {
			t.Fatal("no block is offered")
		}
		for _, team := range []string{"blue", "green"} { // one of them has just offered its block
			job("job-0001"+fmt.Sprintf("%02d", len(team)), team, 8)
		}
		w.run(120 * sec)
		if u := w.unfinished(); u != nil {
			t.Errorf("marks %v late: not done: %v", late, u)
		}
	}
}
