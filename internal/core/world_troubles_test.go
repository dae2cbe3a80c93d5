package core

import (
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/barrowbridge/barrowbridge/internal/checker"
	"github.com/barrowbridge/barrowbridge/internal/reportsize"
	"github.com/barrowbridge/barrowbridge/internal/standin/state"
	"github.com/barrowbridge/barrowbridge/internal/standin/worker"
	"github.com/barrowbridge/barrowbridge/wire"
)

// troubles holds the injected faults between workers, controllers and the state service, and
// what is recorded about them.
type troubles struct {
	deaf       map[string]bool             // machines whose reports arrive, but that receive no answers and no calls
	startsLost int                         // start commands in answers that these machines did not receive
	copies     int                         // percentage of reports of which a copy arrives later, at any controller
	copyLate   time.Duration               // greatest delay of these copies
	markLate   time.Duration               // delay of writes that mark a block idle
	ordered    func(*host, worker.Ordered) // called for each start command that a worker accepts
	marking    *wire.Block                 // the last block of which such a write was delayed
	keep       map[string][]wire.Report    // all reports by machine; nil: not kept
	stale      map[string]int              // number of late copies that arrived, by machine that is gone; nil: not counted

	limitsUnannounced bool // the state service has lower limits than the controllers were given
	malformed         int  // number of calls that it refused as malformed

	refusing func(StateCall) string // returns the error with which a call is refused as malformed, or ""; may be nil

	speechless map[string]bool // machines that can open no connection to a controller; they still receive calls
	slowLinks  time.Duration   // extra delay of each message
	completed  map[string]bool // tasks that completed
	told       map[string]bool // completed tasks that a worker has reported in a report that was answered with 200
	repeated   []string        // tasks that started after they had completed, once per such start
	forgotten  []string        // the starts among these of tasks that had been reported as completed

	taskRuns   func(index int) time.Duration // run time of a task; nil: runS and up to 4 s more
	holdOrders time.Duration                 // greatest time for which calls to workers are delayed before they are delivered
	slowState  time.Duration                 // extra delay of the state service's answers
	moreTypes  []wire.MachineType            // types that the cloud offers besides std

	// noAnswer selects calls to the state service (hit) that are executed after the delay late
	// and never answered. May be nil.
	noAnswer func(node string, v StateCall) (late time.Duration, hit bool)

	connections connections

	repeats    int // percentage of requests that arrive and are carried out once more, late
	repeatRNG  *rand.Rand
	carriedOut map[wire.TaskReport]bool // attempts whose start some worker has carried out

	largestReport int  // most attempts in a report
	oversized     bool // reports may be larger than the protocol allows
	lostWithLease int  // tasks killed as their worker's lease ended

	// peerDelay returns the extra delay of a message between controllers. May be nil.
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
	if cause == "" {
		w.lostWithLease++
	}
	if cause == wire.CauseDone {
		w.completed[task] = true
	}
}

// noteReportedEnds records the completed tasks in a report that was answered with 200.
func (w *world) noteReportedEnds(r wire.Report) {
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

// copyOf schedules up to three late copies of a report, each to a random controller and after
// a random delay, so that they may arrive out of order.
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

// repeat carries out a request that has been carried out, and was not refused, once more, after the times for which a machine or a
// controller may be away and longer, for the percentage of repeats.
func (w *world) repeat(request func()) {
	if w.repeats > 0 && w.repeatRNG.IntN(100) < w.repeats {
		late := []time.Duration{900 * time.Millisecond, 4 * sec, 20 * sec}[w.repeatRNG.IntN(3)]
		w.at(time.Duration(1+w.repeatRNG.Int64N(int64(late))), request)
	}
}

// noteOrdered fails the test if a start is carried out a second time, whatever has become of the attempt.
func (w *world) noteOrdered(m *host, o worker.Ordered) {
	attempt := wire.TaskReport{Task: o.Task, Attempt: o.Attempt}
	if w.carriedOut[attempt] {
		w.t.Fatalf("%v: the start of attempt %d of %s was carried out again, on %s", w.now, o.Attempt, o.Task, m.info.Name)
	}
	w.carriedOut[attempt] = true
}

func (w *world) onOrdered(m *host, o worker.Ordered) {
	w.noteOrdered(m, o)
	if w.ordered != nil {
		w.ordered(m, o)
	}
}

// countLostStarts counts the start commands in an answer to a machine that does not receive it.
func (w *world) countLostStarts(m *host, r wire.ReportReply) {
	for _, c := range r.Commands {
		if w.deaf[m.info.Name] && c.Verb == wire.VerbRun {
			w.startsLost++
		}
	}
}

// deafen sets whether machines receive no answers and calls.
func (w *world) deafen(v bool, names ...string) {
	if w.deaf == nil {
		w.deaf = map[string]bool{}
	}
	for _, n := range names {
		w.deaf[n] = v
	}
}

// bounce ends controllers and restarts each after the given time.
func (w *world) bounce(after time.Duration, names ...string) {
	for _, n := range names {
		if w.nodes[n].core != nil {
			w.kill(n)
			w.at(after, func() { w.start(n) })
		}
	}
}

// newTrouble injects one random fault of the kinds that mishap does not have.
func (w *world) newTrouble() {
	some := time.Duration(1+w.rng.IntN(25)) * sec
	c := fmt.Sprintf("c%d", w.rng.IntN(3))
	w.markLate = time.Duration(w.rng.IntN(3)) * 400 * time.Millisecond
	switch w.rng.IntN(5) {
	case 0: // a machine or a whole zone receives no answers and calls
		var at []string
		if n := w.rng.IntN(len(w.order)); w.rng.IntN(3) > 0 {
			at = w.order[n : n+1]
		} else {
			at = w.in([]string{"n", "s"}[n%2])
		}
		w.deafen(true, at...)
		w.at(some, func() { w.deafen(false, at...) })
	case 1: // late copies of reports
		w.copies, w.copyLate = 10+w.rng.IntN(90), some*3
		w.at(some, func() { w.copies = 0 })
	case 2: // a controller loses the state service and its peers, but not its workers
		w.hung[c] = true
		w.silence(c, true)
		w.at(some, func() { w.hung[c] = false; w.silence(c, false) })
	default: // controllers restart at once, some of them together
		names := sortedKeys(w.nodes)[:1+w.rng.IntN(3)]
		for k := range 1 + w.rng.IntN(3) {
			again := time.Duration(50+w.rng.IntN(850)) * time.Millisecond
			w.at(time.Duration(k)*time.Duration(300+w.rng.IntN(2500))*time.Millisecond, func() { w.bounce(again, names...) })
		}
	}
}

// lateMark returns the delay of a write that marks a block idle, and zero for other writes. It
// verifies just after the execution of the write that the holder has assigned nothing to the
// block's machines, as the mark promises.
func (w *world) lateMark(node string, v StateCall, lag time.Duration) time.Duration {
	for _, ch := range v.Txn.Then {
		b, ok := ch.Value.(wire.Block)
		if !ok || !b.Idle {
			continue
		}
		if w.markLate > 0 {
			w.marking = &b
		}
		w.at(lag+w.markLate+time.Microsecond, func() { // just after its execution
			var now wire.Block
			_ = wire.Unmarshal(w.key(ch.Put).Value, &now)
			for _, bm := range now.Machines {
				if c := w.nodes[node].core; c != nil && now.Idle && c.machines[bm.Name] != nil && len(c.machines[bm.Name].attempts) > 0 {
					w.t.Fatalf("%v: %s has attempts on %s, whose block is marked idle", w.now, node, bm.Name)
				}
			}
		})
		return w.markLate
	}
	return 0
}

// checkIdle verifies that no task is on the machines of a block that is marked idle, and that
// no machine is in two blocks.
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

// outOfReach reports whether a controller and a machine cannot reach each other.
func (w *world) outOfReach(node, machine string) bool {
	a, b := w.params(node).Zone, w.machines[machine].info.Zone
	return w.lost[node] && !w.kept[machine] || w.apart[[2]string{a, b}] || w.apart[[2]string{b, a}]
}

func (w *world) hang(m *host) { m.Fault.Hung = true }
func (w *world) resume(m *host) {
	if !m.gone && m.up { // a machine that boots has no worker yet
		m.lapsed = m.Fault.Hung && !m.Leased(w.now)
		w.drive(m, m.Resume(w.now))
		m.lapsed = false
	}
}

// lower sets lower limits of the state service from now on. If told is true the controllers
// know them, so no write may be refused as malformed.
func (w *world) lower(l state.Limits, told bool) {
	l.PageItems, w.limitsUnannounced = w.limits.PageItems, !told
	w.store.Limit(w.now, l)
}

// rooms lists the machines that can take tasks, with the free capacity and the tasks that
// follow from their workers' attempts.
func (w *world) rooms(now time.Duration) (list []checker.Room) {
	for _, n := range w.order {
		m := w.machines[n]
		if m.gone || !m.up || m.Fault.Hung || m.Fault.Sick || w.deaf[n] || w.speechless[n] || !m.Leased(now) {
			continue
		}
		r := checker.Room{Machine: n, CPUs: 4, MemGB: 16}
		if report, _ := m.Inspect(now); reportsize.Bound(&report)+reportsize.LongestEntry > reportsize.Limit {
			r.CPUs, r.MemGB = 0, 0 // the worker could not report another task
		}
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

// outage makes the state service unavailable to all controllers for the duration d.
func (w *world) outage(d time.Duration) {
	w.store.Trouble.Down = true
	w.at(d, func() { w.store.Trouble.Down = false })
}

func (w *world) stateUp() bool { return !w.store.Trouble.Down }
