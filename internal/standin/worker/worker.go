// Package worker emulates the worker of one machine, as PROTOCOL describes it, as a state machine:
// it reports, keeps its lease and token, fetches images and runs tasks that only take time.
package worker

import (
	"math/rand/v2"
	"sort"
	"time"

	"github.com/barrowbridge/barrowbridge/wire"
)

// Time is monotonic time since the start of the emulated deployment.
type Time = time.Duration

// Durations that PROTOCOL specifies.
const (
	replyWait    = 4 * time.Second        // timeout of a report
	nextNode     = time.Second            // delay before the next node is tried
	redirect     = 250 * time.Millisecond // delay before reporting to the node that a redirect names; PROTOCOL allows up to half a second
	minReportGap = 500 * time.Millisecond // shortest interval between reports
	failAfter    = time.Second            // run time after which a task on a sick machine fails
)

// Params are a worker's settings.
type Params struct {
	Report, Lease time.Duration
	Nodes         []string // controllers by name, in the order they are tried
	First         int      // index of the node tried first
	Type          wire.MachineType
	Speed         float64 // factor on the progress of tasks, about 1
}

// Effects that a step returns.
type (
	// Send asks the caller to post a report to a node. Close reports that the worker changes
	// nodes, so the connection to the previous node is to be closed.
	Send struct {
		ID     uint64
		Node   string
		Report wire.Report
		Close  bool
	}
	// Ordered reports that a start command was accepted; the image may still be missing.
	Ordered struct {
		Task    string
		Attempt uint64
	}
	// Started reports that a task is on the machine from now on: its image is there.
	Started struct {
		Task    string
		Attempt uint64
	}
	// Left reports that a started task is no longer on the machine.
	Left struct {
		Task    string
		Attempt uint64
		Cause   string // empty if the end of the lease or the loss of the machine killed it
	}
)

// Fault describes the faults of the machine.
type Fault struct {
	Hung      bool
	Sick      bool    // every task fails
	SickAbove float64 // sick only while more CPUs than this are in use; 0: always
	Slow      float64 // factor on the run time of tasks; 0: no slowdown
}

type attempt struct {
	key     key
	job     Job
	index   int
	status  string
	cause   string
	saved   bool
	on      bool // the image is there, so the task counts as on the machine
	ran     time.Duration
	saveEnd Time
}

type key struct {
	task string
	try  uint64
}

type image struct {
	gb, left     float64
	used         Time
	sources      []string // addresses of the workers that serve it; none: the store
	lastAnswer   Time     // when one of the sources last answered
	lastProgress Time     // when data last arrived
}

type pendingOutcome struct {
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

	p               Params
	work            *Work
	rng             *rand.Rand
	session         uint64
	seq             uint64
	token           uint64
	node            int
	reported        string // node that the last report was sent to
	leased          Time   // when the last answered report was sent, or the session started
	flight          *flight
	flights         uint64
	lastSend        Time
	nextSend        Time
	changed         bool
	tokenReportedAt Time // when a higher token last caused an early report
	notice          Time // when the machine will be taken back; 0: not known
	attempts        map[key]*attempt
	images          map[string]*image
	pendingOutcomes []pendingOutcome // arrived while the machine hung
	at              Time             // tasks and fetches have been simulated up to this time
	gone            bool             // the machine no longer exists
	out             []any
}

// New returns a worker whose machine has just booted.
func New(now Time, info wire.MachineInfo, p Params, work *Work, rng *rand.Rand) *Worker {
	if p.Speed == 0 {
		p.Speed = 1
	}
	w := &Worker{Info: info, p: p, work: work, rng: rng, session: 1, node: p.First, leased: now, at: now, tokenReportedAt: -p.Lease,
		nextSend: now, lastSend: now - minReportGap, attempts: map[key]*attempt{}, images: map[string]*image{}}
	if work.Depot != nil {
		work.Depot.join(w)
	}
	return w
}

// Notice informs the worker when its machine will be taken back.
func (w *Worker) Notice(at Time) { w.notice, w.changed = at, true }

// Advance simulates the time up to now and returns the effects.
func (w *Worker) Advance(now Time) []any {
	w.out = nil
	w.play(now)
	w.report(now)
	return w.out
}

// play advances tasks, fetches and the lease to now. A machine that hangs does nothing.
func (w *Worker) play(now Time) {
	if w.Fault.Hung {
		w.at = now
		return
	}
	for did := true; did || w.at < now; { // one step per end of a fetch or task
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

// Next returns when Advance has to be called next, and false if there is no such time.
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
		return min(w.nextSend, max(w.lastSend+minReportGap, w.at))
	}
	return w.nextSend
}

// expire ends the session after the lease has run out: all tasks are killed and removed.
func (w *Worker) expire(now Time) {
	for _, a := range w.sorted() {
		w.leave(a, "")
	}
	w.attempts = map[key]*attempt{}
	w.session++
	w.leased, w.changed = now, true
}

// nextWork returns when the next fetch, task or checkpoint save ends by itself, and false if none does.
func (w *Worker) nextWork() (Time, bool) {
	next, any := Time(0), false
	earliest := func(t Time) {
		if !any || t < next {
			next, any = t, true
		}
	}
	rate := w.fetchRate()
	for name, im := range w.images {
		if im.left > 0 && w.awaited(name) {
			earliest(w.fetched(im, rate))
		}
	}
	for _, a := range w.attempts {
		switch a.status {
		case wire.TaskSaving:
			earliest(a.saveEnd)
		case wire.TaskRunning:
			if left, ok := w.left(a); ok {
				earliest(w.at + time.Duration(float64(left)/w.speed()) + time.Microsecond)
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

// left returns the remaining run time of a task, and false if it does not end by itself.
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

// fetchRate returns the rate of each fetch in GB/s; concurrent fetches share the machine's rate.
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

// settle advances the state of tasks whose fetch, run or checkpoint save has ended, and reports whether any changed.
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
			if w.work.done[a.key.task] { // the result already exists
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

// evict drops fetches that no task waits for and, while the cache is over its size, the least recently used
// images that no task uses.
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

// report sends a report if one is due, and abandons a report that has timed out.
func (w *Worker) report(now Time) {
	if w.Fault.Hung {
		return
	}
	if w.flight != nil && now-w.flight.sent >= replyWait {
		w.flight = nil
		w.tryNextNode(now)
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

func (w *Worker) tryNextNode(now Time) {
	w.node++
	w.nextSend = now + nextNode
	w.lastSend = w.nextSend - minReportGap
}

// message returns the worker's report with the next sequence number.
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

// Outcome is the result of sending a report. Status is 0 if there was no answer.
type Outcome struct {
	Status int
	Holder string // of a 421
	Reply  wire.ReportReply
}

// Answered processes the outcome of report id. The outcome of a report that the worker no longer
// waits for is dropped, as is the answer to a report of an earlier session.
func (w *Worker) Answered(now Time, id uint64, o Outcome) []any {
	w.out = nil
	w.play(now)
	if w.Fault.Hung {
		w.pendingOutcomes = append(w.pendingOutcomes, pendingOutcome{id, o})
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
		w.tryNextNode(now)
	case o.Status == 200:
		// An answer with a lower token is dropped: no command is executed and the lease is not renewed.
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
		w.lastSend = w.nextSend - minReportGap
	default:
		w.tryNextNode(now)
	}
}

// known reports whether the holder that a redirect names is a configured node other than the current one.
func (w *Worker) known(holder string) bool {
	for _, n := range w.p.Nodes {
		if n == holder {
			return n != w.p.Nodes[w.node%len(w.p.Nodes)]
		}
	}
	return false
}

// seen records a token. A higher one causes an early report, at most once per half a lease.
func (w *Worker) seen(now Time, token uint64) {
	if token > w.token && now-w.tokenReportedAt >= w.p.Lease/2 {
		w.tokenReportedAt, w.changed = now, true
	}
	w.token = max(w.token, token)
}

// Resume ends a hang: outcomes that arrived meanwhile are processed first, and then a report that
// has timed out is abandoned.
func (w *Worker) Resume(now Time) []any {
	w.Fault.Hung = false
	w.out, w.at = nil, now
	w.play(now)
	for _, h := range w.pendingOutcomes {
		w.take(now, h.id, h.o)
	}
	w.pendingOutcomes = nil
	w.report(now)
	return w.out
}

// Leased reports whether the worker's lease is valid. Once the lease has run out, none of the tasks
// that the worker lists is running any more, even if the machine hangs.
func (w *Worker) Leased(now Time) bool { return now-w.leased <= w.p.Lease }

// Lease returns the remaining time of the worker's lease and the time since its last report.
func (w *Worker) Lease(now Time) (left, reported time.Duration) {
	return w.leased + w.p.Lease - now, now - w.lastSend
}

// Running returns the names of the tasks that are on the machine.
func (w *Worker) Running() (out []string) {
	for _, a := range w.sorted() {
		if a.on {
			out = append(out, a.key.task)
		}
	}
	return out
}

// Attempts returns the task attempts as the worker would report them, without the saved flag.
func (w *Worker) Attempts() (out []wire.TaskReport) {
	for _, a := range w.sorted() {
		out = append(out, wire.TaskReport{Task: a.key.task, Attempt: a.key.try, Status: a.status, Cause: a.cause})
	}
	return out
}

// Vanish removes the machine with everything on it and returns the effects.
func (w *Worker) Vanish() []any {
	w.out = nil
	for _, a := range w.sorted() {
		w.leave(a, "")
	}
	w.attempts, w.gone = map[key]*attempt{}, true
	return w.out
}
