// Package worker is one machine of PROTOCOL as a state machine: it reports,
// keeps its lease and token, fetches images and runs tasks that only take time.
package worker

import (
	"math/rand/v2"
	"sort"
	"time"

	"github.com/barrowbridge/barrowbridge/wire"
)

// Time is steady time since the world began.
type Time = time.Duration

// Times that PROTOCOL gives.
const (
	replyWait = 4 * time.Second        // a report without answer is given up
	nextNode  = time.Second            // before the next node is tried
	redirect  = 250 * time.Millisecond // to move to a named node: up to half a second
	leastGap  = 500 * time.Millisecond // between reports
	failAfter = time.Second            // a task on a sick machine fails after so much run time
)

// Params are a worker's settings.
type Params struct {
	Report, Lease time.Duration
	Nodes         []string // controllers by name, in the order they are tried
	First         int      // index of the node tried first
	Type          wire.MachineType
	Speed         float64 // of tasks, about 1
}

// Effects that a step returns.
type (
	// Send asks to post a report to a node. Close says that the worker changes
	// nodes and the connection to the last one ends.
	Send struct {
		ID     uint64
		Node   string
		Report wire.Report
		Close  bool
	}
	// Ordered tells that a start command was taken; the image may be missing yet.
	Ordered struct {
		Task    string
		Attempt uint64
	}
	// Started tells that a task is on the machine from now: it has its image.
	Started struct {
		Task    string
		Attempt uint64
	}
	// Left tells that a started task is on the machine no longer.
	Left struct {
		Task    string
		Attempt uint64
		Cause   string // "" if the lease killed it
	}
)

// Fault is what is wrong with the machine.
type Fault struct {
	Hung      bool
	Sick      bool    // every task fails
	SickAbove float64 // sick only while more than so many cpus are in use; 0: always
	Slow      float64 // tasks take so many times as long; 0: as usual
}

type attempt struct {
	key     key
	job     Job
	index   int
	status  string
	cause   string
	saved   bool
	on      bool // has its image, counts as on the machine
	ran     time.Duration
	saveEnd Time
}

type key struct {
	task string
	try  uint64
}

type image struct {
	gb, left float64
	used     Time
	sources  []string // addresses of workers that hand it on; none: the store
	heard    Time     // when one of them last answered
	moved    Time     // when anything last came
}

type heldOutcome struct {
	id uint64
	o  Outcome
}

type flight struct {
	id      uint64
	sent    Time
	session uint64
}

// Worker is one machine.
type Worker struct {
	Info  wire.MachineInfo
	Fault Fault

	p        Params
	work     *Work
	rng      *rand.Rand
	session  uint64
	seq      uint64
	token    uint64
	node     int
	reported string // node of the last report
	leased   Time   // when the last answered report was sent, or the session began
	flight   *flight
	flights  uint64
	lastSend Time
	nextSend Time
	changed  bool
	toldAt   Time // when a higher token last counted as a change
	notice   Time // when the machine is taken; 0: not known
	attempts map[key]*attempt
	images   map[string]*image
	held     []heldOutcome // came while the machine hung
	at       Time          // tasks and fetches have been played up to here
	gone     bool          // with its machine
	out      []any
}

// New returns a worker whose machine has just come up.
func New(now Time, info wire.MachineInfo, p Params, work *Work, rng *rand.Rand) *Worker {
	if p.Speed == 0 {
		p.Speed = 1
	}
	w := &Worker{Info: info, p: p, work: work, rng: rng, session: 1, node: p.First, leased: now, at: now, toldAt: -p.Lease,
		nextSend: now, lastSend: now - leastGap, attempts: map[key]*attempt{}, images: map[string]*image{}}
	if work.Depot != nil {
		work.Depot.join(w)
	}
	return w
}

// Notice tells the worker when its machine will be taken.
func (w *Worker) Notice(at Time) { w.notice, w.changed = at, true }

// Advance lets time pass.
func (w *Worker) Advance(now Time) []any {
	w.out = nil
	w.play(now)
	w.report(now)
	return w.out
}

// play moves tasks, fetches and the lease on. A machine that hangs does nothing.
func (w *Worker) play(now Time) {
	if w.Fault.Hung {
		w.at = now
		return
	}
	for did := true; did || w.at < now; { // from one end of a fetch or task to the next
		step := now
		if t, ok := w.nextWork(); ok && t < now && (did || t > w.at) {
			step = max(t, w.at)
		}
		w.progress(step - w.at)
		w.at = step
		did = w.settle(step)
	}
	if now-w.leased > w.p.Lease {
		w.expire(now)
	}
}

// Next is when Advance has something to do.
func (w *Worker) Next() (Time, bool) {
	if w.Fault.Hung {
		return 0, false
	}
	t := w.leased + w.p.Lease + time.Millisecond
	if w.flight != nil {
		t = min(t, w.flight.sent+replyWait)
	} else {
		t = min(t, w.dueAt())
	}
	if n, ok := w.nextWork(); ok {
		t = min(t, n)
	}
	return t, true
}

func (w *Worker) dueAt() Time {
	if w.changed {
		return min(w.nextSend, max(w.lastSend+leastGap, w.at))
	}
	return w.nextSend
}

// expire ends the session: all tasks are killed and forgotten.
func (w *Worker) expire(now Time) {
	for _, a := range w.sorted() {
		w.leave(a, "")
	}
	w.attempts = map[key]*attempt{}
	w.session++
	w.leased, w.changed = now, true
}

// nextWork is when the next fetch, task or saving ends by itself.
func (w *Worker) nextWork() (Time, bool) {
	next, any := Time(0), false
	least := func(t Time) {
		if !any || t < next {
			next, any = t, true
		}
	}
	rate := w.fetchRate()
	for name, im := range w.images {
		if im.left > 0 && w.awaited(name) {
			least(w.fetched(im, rate))
		}
	}
	for _, a := range w.attempts {
		switch a.status {
		case wire.TaskSaving:
			least(a.saveEnd)
		case wire.TaskRunning:
			if left, ok := w.left(a); ok {
				least(w.at + time.Duration(float64(left)/w.speed()) + time.Microsecond)
			}
		}
	}
	return next, any
}

func (w *Worker) speed() float64 {
	s := w.p.Speed
	if w.Fault.Slow > 0 {
		s /= w.Fault.Slow
	}
	return s
}

func (w *Worker) sick() bool {
	return w.Fault.Sick && (w.Fault.SickAbove == 0 || w.usedCPUs() > w.Fault.SickAbove)
}

func (w *Worker) usedCPUs() (sum float64) {
	for _, a := range w.attempts {
		if a.status != wire.TaskEnded {
			sum += a.job.CPUs
		}
	}
	return sum
}

// left is the run time a task still needs; not ok if it does not end by itself.
func (w *Worker) left(a *attempt) (time.Duration, bool) {
	if a.job.Shape == wire.ShapeGang && !w.work.together(a.key.task, a.job.Tasks) {
		return 0, false
	}
	if a.job.Fails || w.sick() {
		return max(0, failAfter-a.ran), true
	}
	if a.job.Shape == wire.ShapeService {
		return 0, false
	}
	return max(0, a.job.run(a.index)-a.ran), true
}

func (w *Worker) progress(d time.Duration) {
	rate := w.fetchRate()
	for name, im := range w.images {
		if im.left > 0 && w.awaited(name) {
			w.fetch(name, im, rate, d)
		}
	}
	for _, a := range w.attempts {
		if a.status != wire.TaskRunning || a.job.Shape == wire.ShapeGang && !w.work.together(a.key.task, a.job.Tasks) {
			continue
		}
		a.ran += time.Duration(float64(d) * w.speed())
		if every := a.job.CheckpointEvery; every > 0 {
			w.work.save(a.key.task, a.ran/every*every)
		}
	}
}

// fetchRate is what each image gets: several at a time share the machine's rate.
func (w *Worker) fetchRate() float64 {
	n := 0
	for name, im := range w.images {
		if im.left > 0 && w.awaited(name) {
			n++
		}
	}
	return max(w.p.Type.FetchGBps, 1e-3) / float64(max(1, n))
}

func (w *Worker) awaited(image string) bool {
	for _, a := range w.attempts {
		if a.status == wire.TaskPulling && a.job.Image == image {
			return true
		}
	}
	return false
}

// settle changes the state of tasks whose fetch, run or saving is over.
func (w *Worker) settle(now Time) (did bool) {
	for _, a := range w.sorted() {
		switch a.status {
		case wire.TaskPulling:
			if im := w.images[a.job.Image]; im == nil || im.left > 0 {
				continue
			}
			w.images[a.job.Image].used = now
			a.on, a.ran = true, w.work.saved[a.key.task]
			a.status = wire.TaskRunning
			w.work.enter(a.key.task)
			w.out = append(w.out, Started{a.key.task, a.key.try})
			if w.work.done[a.key.task] { // its result is kept
				w.end(a, wire.CauseDone)
			}
		case wire.TaskSaving:
			if now < a.saveEnd {
				continue
			}
			w.work.save(a.key.task, a.ran)
			a.saved = true
			w.end(a, wire.CauseHalted)
		case wire.TaskRunning:
			left, ok := w.left(a)
			if !ok || left > 0 {
				continue
			}
			if a.job.Fails || w.sick() {
				w.end(a, wire.CauseError)
			} else {
				w.work.done[a.key.task] = true
				w.end(a, wire.CauseDone)
			}
		default:
			continue
		}
		did, w.changed = true, true
	}
	w.evict()
	return did
}

func (w *Worker) end(a *attempt, cause string) {
	w.leave(a, cause)
	a.status, a.cause, w.changed = wire.TaskEnded, cause, true
}

func (w *Worker) leave(a *attempt, cause string) {
	if a.on {
		a.on = false
		w.work.exit(a.key.task)
		w.out = append(w.out, Left{a.key.task, a.key.try, cause})
	}
}

// evict gives up fetches that no task waits for, and the images longest unused.
func (w *Worker) evict() {
	total := 0.0
	var idle []string
	for name, im := range w.images {
		total += im.gb
		busy := w.awaited(name)
		for _, a := range w.attempts {
			busy = busy || a.job.Image == name && a.status != wire.TaskEnded
		}
		if im.left > 0 && !busy {
			delete(w.images, name)
			total -= im.gb
		} else if !busy {
			idle = append(idle, name)
		}
	}
	sort.Slice(idle, func(i, j int) bool {
		a, b := w.images[idle[i]], w.images[idle[j]]
		return a.used < b.used || a.used == b.used && idle[i] < idle[j]
	})
	for _, name := range idle {
		if total <= w.p.Type.CacheGB || w.p.Type.CacheGB <= 0 {
			return
		}
		total -= w.images[name].gb
		delete(w.images, name)
	}
}

func (w *Worker) sorted() []*attempt {
	out := make([]*attempt, 0, len(w.attempts))
	for _, a := range w.attempts {
		out = append(out, a)
	}
	sort.Slice(out, func(i, j int) bool {
		x, y := out[i].key, out[j].key
		return x.task < y.task || x.task == y.task && x.try < y.try
	})
	return out
}

// report sends a report if one is due, and gives up one that has no answer.
func (w *Worker) report(now Time) {
	if w.Fault.Hung {
		return
	}
	if w.flight != nil && now-w.flight.sent >= replyWait {
		w.flight = nil
		w.moveOn(now)
	}
	if w.flight != nil || now < w.dueAt() {
		return
	}
	w.flights++
	w.flight = &flight{w.flights, now, w.session}
	w.lastSend, w.changed = now, false
	spread := 0.75 + 0.5*w.rng.Float64()
	w.nextSend = now + time.Duration(spread*float64(w.p.Report))
	node := w.p.Nodes[w.node%len(w.p.Nodes)]
	w.out = append(w.out, Send{w.flights, node, w.message(now), w.reported != "" && w.reported != node})
	w.reported = node
}

func (w *Worker) moveOn(now Time) {
	w.node++
	w.nextSend = now + nextNode
	w.lastSend = w.nextSend - leastGap
}

// message is the worker's report.
func (w *Worker) message(now Time) wire.Report {
	w.seq++
	r := wire.Report{Machine: w.Info.Name, Addr: w.Info.Addr, Type: w.Info.Type, Zone: w.Info.Zone, Spot: w.Info.Spot,
		Session: w.session, Seq: w.seq, Token: w.token, Attempts: []wire.TaskReport{}}
	if w.notice > 0 {
		left := max(0, (w.notice - now).Seconds())
		r.NoticeS = &left
	}
	for _, a := range w.sorted() {
		r.Attempts = append(r.Attempts, wire.TaskReport{Task: a.key.task, Attempt: a.key.try, Status: a.status, Cause: a.cause, Saved: a.saved})
	}
	return r
}

// Outcome is what became of a report: Status 0 if there was no answer.
type Outcome struct {
	Status int
	Holder string // of a 421
	Reply  wire.ReportReply
}

// Answered takes the outcome of report id. One that the worker no longer waits
// for is dropped, as is one to a report of an earlier session.
func (w *Worker) Answered(now Time, id uint64, o Outcome) []any {
	w.out = nil
	w.play(now)
	if w.Fault.Hung {
		w.held = append(w.held, heldOutcome{id, o})
		return w.out
	}
	w.take(now, id, o)
	w.report(now)
	return w.out
}

func (w *Worker) take(now Time, id uint64, o Outcome) {
	if w.flight == nil || w.flight.id != id {
		return
	}
	f := w.flight
	w.flight = nil
	switch {
	case now-f.sent >= replyWait:
		w.moveOn(now)
	case o.Status == 200:
		// One with a lower token is dropped: nothing is executed, the lease runs on.
		if o.Reply.Token >= w.token && o.Reply.Token > 0 && f.session == w.session {
			w.seen(now, o.Reply.Token)
			w.leased = max(w.leased, f.sent)
			w.execute(now, o.Reply.Commands)
		}
	case o.Status == 421 && w.known(o.Holder):
		for i, n := range w.p.Nodes {
			if n == o.Holder {
				w.node = i
			}
		}
		w.nextSend = now + redirect
		w.lastSend = w.nextSend - leastGap
	default:
		w.moveOn(now)
	}
}

// known tells whether a redirect leads to another node that the worker knows.
func (w *Worker) known(holder string) bool {
	for _, n := range w.p.Nodes {
		if n == holder {
			return n != w.p.Nodes[w.node%len(w.p.Nodes)]
		}
	}
	return false
}

// seen notes a token; a higher one is a change, at most once per half a lease.
func (w *Worker) seen(now Time, token uint64) {
	if token > w.token && now-w.toldAt >= w.p.Lease/2 {
		w.toldAt, w.changed = now, true
	}
	w.token = max(w.token, token)
}

// Resume ends a hang: what had come meanwhile is read first, and a report that has
// waited too long for its answer is given up.
func (w *Worker) Resume(now Time) []any {
	w.Fault.Hung = false
	w.out, w.at = nil, now
	w.play(now)
	for _, h := range w.held {
		w.take(now, h.id, h.o)
	}
	w.held = nil
	w.report(now)
	return w.out
}

// Leased tells whether the worker's lease runs: once it is over, nothing of what
// it names runs on, even if the machine hangs.
func (w *Worker) Leased(now Time) bool { return now-w.leased <= w.p.Lease }

// Lease tells how long the worker's lease still runs, and how long ago it sent its
// last report.
func (w *Worker) Lease(now Time) (left, reported time.Duration) {
	return w.leased + w.p.Lease - now, now - w.lastSend
}

// Running lists the tasks that are on the machine.
func (w *Worker) Running() (out []string) {
	for _, a := range w.sorted() {
		if a.on {
			out = append(out, a.key.task)
		}
	}
	return out
}

// Attempts lists what the worker would report.
func (w *Worker) Attempts() (out []wire.TaskReport) {
	for _, a := range w.sorted() {
		out = append(out, wire.TaskReport{Task: a.key.task, Attempt: a.key.try, Status: a.status, Cause: a.cause})
	}
	return out
}

// Vanish takes the machine away with all that is on it.
func (w *Worker) Vanish() []any {
	w.out = nil
	for _, a := range w.sorted() {
		w.leave(a, "")
	}
	w.attempts, w.gone = map[key]*attempt{}, true
	return w.out
}
