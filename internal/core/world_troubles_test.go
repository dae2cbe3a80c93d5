package core

import (
	"fmt"
	"time"

	"github.com/barrowbridge/barrowbridge/internal/checker"
	"github.com/barrowbridge/barrowbridge/internal/standin/state"
	"github.com/barrowbridge/barrowbridge/internal/standin/worker"
	"github.com/barrowbridge/barrowbridge/wire"
)

// troubles are those that strike between workers and controllers.
type troubles struct {
	deaf     map[string]bool             // machines whose reports arrive, and that no answer or call reaches
	runsLost int                         // start commands answered to them
	copies   int                         // of a hundred reports, so many come again, to anybody
	copyLate time.Duration               // and at most so late
	markLate time.Duration               // blocks are marked idle so much later
	ordered  func(*host, worker.Ordered) // told of each start that a worker takes
	marking  *wire.Block                 // the last such
	keep     map[string][]wire.Report    // by machine, if not nil
	stale    map[string]int              // machines that are gone: copies of their reports that have come

	untold    bool // the state service has lower limits than anybody was told
	malformed int  // calls that it refused as malformed

	refusing func(StateCall) string // calls that it refuses as malformed whatever its limits; nil: none

	speechless map[string]bool // machines that open connections to no controller; calls reach them
	slowLinks  time.Duration   // each message between any two takes so much longer
	completed  map[string]bool // tasks
	told       map[string]bool // those whose end a worker has told in a report that was answered 200
	repeated   []string        // tasks that started after they had completed, as often as they did
	forgotten  []string        // those of them that had been told before

	taskRuns   func(index int) time.Duration // how long tasks run; nil: runS and a little
	holdOrders time.Duration                 // calls of workers are held for up to so long, then delivered
	slowState  time.Duration                 // the state service answers so much later
	moreTypes  []wire.MachineType            // of the cloud, beside std

	// noAnswer picks calls of the state service that are executed so much later and never
	// answered; peerDelay has messages between controllers come so much later.
	noAnswer  func(node string, v StateCall) (late time.Duration, hit bool)
	peerDelay func(from string, v PeerSend) time.Duration
}

func (w *world) noteStart(task string) {
	if w.completed[task] {
		w.repeated = append(w.repeated, task)
		if w.told[task] {
			w.forgotten = append(w.forgotten, task)
		}
	}
}

func (w *world) noteEnd(task, cause string) {
	if w.completed == nil {
		w.completed = map[string]bool{}
	}
	if cause == wire.CauseDone {
		w.completed[task] = true
	}
}

// noteTold notes the ends that an answered report names.
func (w *world) noteTold(r wire.Report) {
	for _, a := range r.Attempts {
		if a.Status == wire.TaskEnded && a.Cause == wire.CauseDone {
			if w.told == nil {
				w.told = map[string]bool{}
			}
			w.told[a.Task] = true
		}
	}
}

func (w *world) unanswered(node string, v StateCall) (time.Duration, bool) {
	if w.noAnswer == nil {
		return 0, false
	}
	return w.noAnswer(node, v)
}

func (w *world) peerLate(from string, v PeerSend) time.Duration {
	if w.peerDelay == nil {
		return 0
	}
	return w.peerDelay(from, v)
}

// copyOf has copies of a report come late, some of them several times and out of order.
func (w *world) copyOf(s worker.Send) {
	if w.keep != nil {
		w.keep[s.Report.Machine] = append(w.keep[s.Report.Machine], s.Report)
	}
	for range 3 {
		if w.copies == 0 || w.rng.IntN(100) >= w.copies {
			continue
		}
		names := sortedKeys(w.nodes)
		to := names[w.rng.IntN(len(names))]
		w.at(time.Duration(1+w.rng.IntN(int(w.copyLate/time.Millisecond)))*time.Millisecond, func() {
			if m := w.machines[s.Report.Machine]; m.gone && w.stale != nil {
				w.stale[m.info.Name]++
			}
			w.ask(to, func(q uint64) any { return WorkerReport{Req: q, Report: s.Report} }, func(Answer) {})
		})
	}
}

func (w *world) onOrdered(m *host, o worker.Ordered) {
	if w.ordered != nil {
		w.ordered(m, o)
	}
}

// wasted counts starts that a deaf machine is answered with.
func (w *world) wasted(m *host, r wire.ReportReply) {
	for _, c := range r.Commands {
		if w.deaf[m.info.Name] && c.Verb == wire.VerbRun {
			w.runsLost++
		}
	}
}

// deafen has machines hear nothing, or hear again.
func (w *world) deafen(v bool, names ...string) {
	if w.deaf == nil {
		w.deaf = map[string]bool{}
	}
	for _, n := range names {
		w.deaf[n] = v
	}
}

// bounce ends controllers and starts them again within moments.
func (w *world) bounce(after time.Duration, names ...string) {
	for _, n := range names {
		if w.nodes[n].core != nil {
			w.kill(n)
			w.at(after, func() { w.start(n) })
		}
	}
}

// newTrouble does one thing that a random day of the first kind has not.
func (w *world) newTrouble() {
	some := time.Duration(1+w.rng.IntN(25)) * sec
	c := fmt.Sprintf("c%d", w.rng.IntN(3))
	w.markLate = time.Duration(w.rng.IntN(3)) * 400 * time.Millisecond
	switch w.rng.IntN(5) {
	case 0: // a machine, or a whole zone, hears nothing
		var at []string
		if n := w.rng.IntN(len(w.order)); w.rng.IntN(3) > 0 {
			at = w.order[n : n+1]
		} else {
			at = w.in([]string{"n", "s"}[n%2])
		}
		w.deafen(true, at...)
		w.at(some, func() { w.deafen(false, at...) })
	case 1:
		w.copies, w.copyLate = 10+w.rng.IntN(90), some*3
		w.at(some, func() { w.copies = 0 })
	case 2: // without the state service and the others, not without its workers
		w.hung[c] = true
		w.silence(c, true)
		w.at(some, func() { w.hung[c] = false; w.silence(c, false) })
	default: // back at once, some together
		names := sortedKeys(w.nodes)[:1+w.rng.IntN(3)]
		for k := range 1 + w.rng.IntN(3) {
			again := time.Duration(50+w.rng.IntN(850)) * time.Millisecond
			w.at(time.Duration(k)*time.Duration(300+w.rng.IntN(2500))*time.Millisecond, func() { w.bounce(again, names...) })
		}
	}
}

// lateMark is by how much a write comes late that marks a block idle. As it is executed its
// holder keeps the promise: it has reserved nothing there.
func (w *world) lateMark(node string, v StateCall, lag time.Duration) time.Duration {
	for _, ch := range v.Txn.Then {
		b, ok := ch.Value.(wire.Block)
		if !ok || !b.Idle {
			continue
		}
		if w.markLate > 0 {
			w.marking = &b
		}
		w.at(lag+w.markLate+time.Microsecond, func() { // just after
			var now wire.Block
			_ = wire.Unmarshal(w.key(ch.Put).Value, &now)
			for _, bm := range now.Machines {
				if c := w.nodes[node].core; c != nil && now.Idle && c.machines[bm.Name] != nil && len(c.machines[bm.Name].attempts) > 0 {
					w.t.Fatalf("%v: %s has work on %s, whose block is marked idle", w.now, node, bm.Name)
				}
			}
		})
		return w.markLate
	}
	return 0
}

// checkIdle judges the promise of a block that is marked idle: nothing is on it. No machine
// is in two blocks.
func (w *world) checkIdle() {
	in := map[string]string{}
	w.store.Scan(wire.PrefixBlock, func(it wire.Item) {
		var b wire.Block
		_ = wire.Unmarshal(it.Value, &b)
		for _, bm := range b.Machines {
			if o := in[bm.Name]; o != "" {
				w.t.Fatalf("%v: %s is in two blocks, %s and %s", w.now, bm.Name, o, it.Key)
			}
			in[bm.Name] = it.Key
		}
		for _, bm := range b.Machines {
			m := w.machines[bm.Name]
			if !b.Idle || m == nil || m.gone || !m.up || m.Fault.Hung {
				continue
			}
			for _, a := range m.tasks() {
				if a.Status != wire.TaskEnded {
					w.t.Fatalf("%v: %s is on %s, whose block is marked idle", w.now, a.Task, bm.Name)
				}
			}
		}
	})
}

// outOfReach tells whether a controller and a machine cannot speak to each other.
func (w *world) outOfReach(node, machine string) bool {
	a, b := w.params(node).Zone, w.machines[machine].info.Zone
	return w.lost[node] && !w.kept[machine] || w.apart[[2]string{a, b}] || w.apart[[2]string{b, a}]
}

func (w *world) hang(m *host) { m.Fault.Hung = true }
func (w *world) resume(m *host) {
	if !m.gone && m.up { // while it boots there is no worker
		m.lapsed = m.Fault.Hung && !m.Leased(w.now)
		w.drive(m, m.Resume(w.now))
		m.lapsed = false
	}
}

// lower gives the state service lower limits from now on. If they were told, no write may be
// refused for its form any more.
func (w *world) lower(l state.Limits, told bool) {
	l.PageItems, w.untold = w.limits.PageItems, !told
	w.store.Limit(w.now, l)
}

// rooms lists the machines that take tasks, and what their workers say is left on them.
func (w *world) rooms(now time.Duration) (list []checker.Room) {
	for _, n := range w.order {
		m := w.machines[n]
		if m.gone || !m.up || m.Fault.Hung || m.Fault.Sick || w.deaf[n] || w.speechless[n] || !m.Leased(now) {
			continue
		}
		r := checker.Room{Machine: n, CPUs: 4, MemGB: 16}
		for _, a := range m.tasks() {
			if id, _, err := wire.ParseTask(a.Task); err == nil && a.Status != wire.TaskEnded {
				r.Tasks = append(r.Tasks, a.Task)
				r.CPUs, r.MemGB = r.CPUs-*w.jobs[id].spec.CPUs, r.MemGB-*w.jobs[id].spec.MemoryGB
			}
		}
		list = append(list, r)
	}
	return list
}

// outage takes the state service from everybody.
func (w *world) outage(d time.Duration) {
	w.store.Trouble.Down = true
	w.at(d, func() { w.store.Trouble.Down = false })
}

func (w *world) stateUp() bool { return !w.store.Trouble.Down }
