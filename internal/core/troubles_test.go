package core

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/barrowbridge/barrowbridge/internal/tuning"
	"github.com/barrowbridge/barrowbridge/wire"
)

// staffed returns a deployment with six owned machines in two zones and one running service
// per team.
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

// up counts the running replicas on machines that receive answers.
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

// until runs the world until a condition holds, at most for the given time, and returns the
// time that passed.
func (w *world) until(most time.Duration, ok func() bool) time.Duration {
	began := w.now
	for w.now < began+most && !ok() {
		w.run(100 * time.Millisecond)
	}
	return w.now - began
}

// A worker whose reports arrive but that receives no answers must be detected within two of
// the intervals at which it then reports. It is assigned nothing more until it receives
// answers again, and its tasks run elsewhere: a few rented machines are returned to the cloud
// for that; if there are many, or they are owned, their workers start a new session.
func TestDeafMachines(t *testing.T) {
	t.Parallel()
	for _, c := range []struct {
		name   string
		hit    func(w *world, rented []string) []string
		within time.Duration // by then all replicas run on other machines
		stay   bool          // the machines must not be returned to the cloud
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
				t.Fatalf("%d replicas run, want 30; %d machines are rented, want at least 2", w.up(), len(rented))
			}
			at := c.hit(w, rented)
			w.deafen(true, at...)
			if c.kill != nil {
				w.bounce(5*sec, c.kill(w, at))
			}
			took := w.until(60*sec, func() bool { return w.up() == 30 })
			if t.Logf("all replicas run elsewhere after %v; %d start commands were lost", took, w.startsLost); took > c.within {
				t.Errorf("all replicas run elsewhere after %v, want at most %v", took, c.within)
			}
			lost := w.startsLost
			if lost > 4*len(at) {
				t.Errorf("%d start commands were sent to %d machines that receive no answers", lost, len(at))
			}
			w.run(30 * sec)
			if w.startsLost > lost+len(at) {
				t.Errorf("%d more start commands were sent after the machines were detected", w.startsLost-lost)
			}
			w.deafen(false, at...)
			w.run(15 * sec)
			for _, n := range at {
				if gone := w.machines[n].gone; gone && c.stay && slices.Contains(w.order[:6], n) {
					t.Errorf("%s was returned to the cloud", n)
				} else if m := w.nodes[w.holderOf(n)]; !gone && (m == nil || m.core == nil || !m.core.usable(m.core.machines[n])) {
					t.Errorf("%s receives answers again and is not used", n)
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

// Late copies of the reports of a machine that is gone arrive for a minute at a controller
// that has taken over its shard or has just started. They must not make the machine accounted
// for, may delay the end of its lease only a little, and must not form a block.
func TestLateCopiesProveNothing(t *testing.T) {
	t.Parallel()
	for _, back := range []time.Duration{0, 300 * time.Millisecond, 20 * sec} {
		t.Run(fmt.Sprint("holder back after ", back), func(t *testing.T) {
			w := staffed(t, 62, 6, func(w *world) { w.stale = map[string]int{} })
			w.copies, w.copyLate = 100, 60*sec
			w.run(20 * sec)
			w.copies = 0 // copies made so far are still in transit
			name := w.order[0]
			old := w.holderOf(name)
			w.kill(old)
			w.vanish(name)
			if back > 0 {
				w.at(back, func() { w.start(old) })
			}
			// The cloud still lists it for a while. Its deletion then makes it accounted for.
			took := w.until(60*sec, func() bool { return w.up() == 18 })
			t.Logf("all replicas run after %v; %d late copies had arrived by then", took, w.stale[name])
			if limit := 45 * sec; took > limit {
				t.Errorf("replicas of a machine that is gone run again after %v, want at most %v", took, limit)
			}
			for range 60 {
				w.run(sec)
				for _, n := range w.nodes {
					if n.core == nil {
						continue
					}
					if m := n.core.machines[name]; m != nil && n.core.usable(m) {
						t.Fatalf("%v: %s is gone, but usable for tasks at %s", w.now, name, n.name)
					}
				}
			}
			if h := w.holderOf(name); h != "" {
				t.Errorf("%s is gone, but in a block of %s", name, h)
			}
			if w.stale[name] < 10 {
				t.Errorf("only %d late copies arrived", w.stale[name])
			}
		})
	}
}

// A machine hangs for good, and copies of its last reports arrive in their order, one each
// second, at the controller that has just taken it over. They must not extend its lease.
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
	// The limit covers the last answer that the previous holder may have given, one worker lease,
	// and two attempted answers.
	if t.Logf("all replicas run after %v", took); took > 50*sec || len(copies) == 0 {
		t.Errorf("replicas of a machine that hangs run again after %v, %d copies left", took, len(copies))
	}
}

// A controller loses the state service and the other controllers, but not its workers, at
// different moments of a takeover, for a short or a long time. It cannot learn what users
// cancel at the other controllers, so it must stop answering its workers in time. No rule may
// break, and all replicas must run again.
func TestAloneWithItsWorkers(t *testing.T) {
	t.Parallel()
	for _, c := range []struct {
		lone, at time.Duration
		only     bool // its workers reach no other controller: their tasks end only because it stops answering
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
				t.Fatal("the lone controller holds no shard")
			}
			// Cancels only after its open watch has ended. The watch would report the cancellation at
			// once, and then the test passed even with a lone controller that never stops answering.
			w.at(min(c.lone/2, tuning.WatchMaxWait+sec), func() { w.abort(gone) })
			w.run(c.lone)
			w.hung[lone] = false
			w.silence(lone, false)
			clear(w.lost)
			if took := w.until(60*sec, func() bool { return w.up() == 12 && w.check.Final(gone) == wire.JobAborted }); took > 30*sec {
				t.Errorf("the other replicas run only %v after the controller is reconnected", took)
			}
			w.calm(t)
		})
	}
}

// One, two or three controllers at once restart within a fraction of a second, several times,
// at different moments of an election. No worker may lose its lease.
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
					w.run(time.Duration(700+k*530) * time.Millisecond) // before, during and after the election that follows
				}
				w.run(15 * sec)
				if w.up() != 18 {
					t.Errorf("%d of 18 replicas run", w.up())
				}
				for _, m := range w.order {
					if s := w.session(w.machines[m]); s != 1 {
						t.Errorf("%s has lost its lease: session %d, want 1", m, s)
					}
				}
				w.calm(t)
			})
		}
	}
}

// calm runs the world without faults, after which each controller must know each job.
func (w *world) calm(t *testing.T) {
	w.check.Calm(w.now)
	w.run(90 * sec)
	for _, id := range sortedKeys(w.jobs) {
		for _, n := range sortedKeys(w.nodes) {
			w.ask(n, func(q uint64) any { return Poll{Req: q, ID: id} }, func(a Answer) {
				if a.Status != 200 {
					t.Errorf("status of %s at %s: got %d, want 200", id, n, a.Status)
				}
			})
		}
	}
	w.run(3 * sec)
}

// A block is offered to another shard, and work for its own shard arrives while the write that
// marks the block idle is still in progress. Nothing may be placed there until the outcome of
// the write is known.
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
		job("job-000000", "red", 12) // more than its shard has, so the others offer their empty blocks
		for range 500 {
			if w.run(10 * time.Millisecond); w.marking != nil {
				break
			}
		}
		if w.marking == nil {
			t.Fatal("no block was offered")
		}
		for _, team := range []string{"blue", "green"} { // one of these teams has just offered its block
			job("job-0001"+fmt.Sprintf("%02d", len(team)), team, 8)
		}
		w.run(120 * sec)
		if u := w.unfinished(); u != nil {
			t.Errorf("marks %v late: unfinished jobs: %v", late, u)
		}
	}
}
