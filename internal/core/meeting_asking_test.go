package core

import (
	"fmt"
	"testing"
	"time"

	"github.com/barrowbridge/barrowbridge/wire"
)

// closeUsers simulates users who query every controller within milliseconds of each significant
// answer: an acceptance, an end, or a confirmed cancellation. They poll, cancel again and repeat the
// submission, also with a body that lacks a field or fits no machine. The checker verifies each
// answer; a repeated submission must never be refused.
type closeUsers struct {
	w       *world
	t       testing.TB
	queried map[string]string // by job: the state for which all controllers were last queried
	got     map[string]int    // counts of answers by request kind and status
	again   []time.Duration   // delays of the queries after a significant answer
	once    bool              // each submission and cancellation must succeed at the first request
}

func newCloseUsers(t testing.TB, w *world) *closeUsers {
	u := &closeUsers{w: w, t: t, queried: map[string]string{}, got: map[string]int{}}
	for _, ms := range []time.Duration{0, 1, 2, 4, 7, 11, 16, 25, 60, 150, 400, 1200} {
		u.again = append(u.again, ms*time.Millisecond)
	}
	return u
}

// oddBodies returns variants of a submission that would be refused if the job were not known.
func oddBodies(s wire.JobSpec) map[string]wire.JobSpec {
	lacks, large, stray, wide, none := s, s, s, s, s
	lacks.CPUs, large.CPUs, stray.Team, wide.Zone, none.Tasks = nil, ptr(99.0), ptr("nobody"), ptr("elsewhere"), ptr(int64(0))
	return map[string]wire.JobSpec{"lacks a field": lacks, "fits no machine": large, "names an unknown team": stray, "names an unknown zone": wide, "has no tasks": none}
}

// heard counts an answer. If it reports a new significant state, heard schedules queries to all
// controllers.
func (u *closeUsers) heard(id, what string, a Answer) {
	u.got[fmt.Sprint(what, " ", a.Status)]++
	st, _ := a.Body.(wire.JobStatus)
	if a.Status != 200 && a.Status != 201 {
		return
	}
	state := "accepted"
	if st.Status == wire.JobDone || st.Status == wire.JobAborted {
		state = st.Status
	}
	if was := u.queried[id]; was != "" && (was != "accepted" || state == was) {
		return // react to a final state once; the checker finds contradictions
	}
	u.queried[id] = state
	for _, d := range u.again {
		u.w.at(d, func() { u.everywhere(id, state) })
	}
}

// everywhere sends each kind of user request for the job to every controller.
func (u *closeUsers) everywhere(id, state string) {
	for _, n := range sortedKeys(u.w.nodes) {
		u.poll(n, id)
		s := u.w.jobs[id].spec
		u.repeat(n, s, "repeat")
		odd := oddBodies(s)
		for _, k := range sortedKeys(odd) {
			u.repeat(n, odd[k], "repeat that "+k)
		}
		if state != "accepted" {
			u.cancel(n, id, "cancelled again")
		}
	}
}

func (u *closeUsers) poll(n, id string) {
	asked := u.w.now
	u.w.ask(n, func(q uint64) any { return Poll{Req: q, ID: id} }, func(a Answer) {
		st, _ := a.Body.(wire.JobStatus)
		u.w.check.Polled(u.w.now, asked, id, a.Status, st)
		u.heard(id, "poll", a)
	})
}

func (u *closeUsers) repeat(n string, s wire.JobSpec, what string) {
	asked := u.w.now
	u.w.ask(n, func(q uint64) any { return Submit{Req: q, Spec: s} }, func(a Answer) {
		st, _ := a.Body.(wire.JobStatus)
		u.w.check.Submitted(u.w.now, asked, *s.ID, a.Status, st)
		if a.Status != 200 && a.Status != 503 {
			u.t.Errorf("%v: a %s at %s of the accepted job %s was answered with %d", u.w.now, what, n, *s.ID, a.Status)
		}
		u.heard(*s.ID, "repeat", a)
	})
}

func (u *closeUsers) cancel(n, id, what string) {
	u.w.check.Aborting(id)
	asked := u.w.now
	u.w.ask(n, func(q uint64) any { return Abort{Req: q, ID: id} }, func(a Answer) {
		u.w.aborted(id, a, asked)
		if a.Status != 200 && (a.Status != 503 || u.once) {
			u.t.Errorf("%v: accepted job %s, %s at %s, was answered with %d", u.w.now, id, what, n, a.Status)
		}
		u.heard(id, what, a)
	})
}

// submit sends a job to any controller and retries until it is accepted, then calls then at once.
func (u *closeUsers) submit(s wire.JobSpec, then func()) {
	u.w.upload(s)
	u.w.send(func(id uint64) any { return Submit{Req: id, Spec: s} }, func(a Answer, asked time.Duration) bool {
		st, _ := a.Body.(wire.JobStatus)
		u.w.check.Submitted(u.w.now, asked, *s.ID, a.Status, st)
		u.heard(*s.ID, "submission", a)
		if a.Status > 201 && (a.Status < 429 || u.once) {
			u.t.Errorf("%v: the submission of %s was answered with %d", u.w.now, *s.ID, a.Status)
		}
		if a.Status <= 201 {
			then()
		}
		return a.Status < 429
	})
}

// watch polls a job at random controllers at the given interval until the job has ended.
func (u *closeUsers) watch(id string, every time.Duration) {
	if u.w.check.Final(id) != "" {
		return
	}
	u.poll(u.w.anyNode(), id)
	u.w.at(every, func() { u.watch(id, every) })
}

// day submits 24 jobs of one or two short tasks, at 700 ms intervals. Every third job is cancelled,
// some at once and some at about their end.
func (u *closeUsers) day() {
	w := u.w
	for i := range 24 {
		s := spec(fmt.Sprintf("job-0007%02d", i), []string{"red", "blue", "green"}[i%3], wire.ShapeBatch, 1+i%2)
		s.DueS = nil
		w.at(time.Duration(i)*700*time.Millisecond, func() {
			u.submit(s, func() {
				u.watch(*s.ID, 40*time.Millisecond)
				switch i % 6 {
				case 0:
					u.cancel(w.anyNode(), *s.ID, "cancelled at once")
					w.at(sec, func() { u.watchCancel(*s.ID) }) // retry until an answer reports a final state
				case 3:
					w.at(time.Duration(w.rng.IntN(9000))*time.Millisecond, func() { u.watchCancel(*s.ID) })
				}
			})
		})
	}
}

// watchCancel cancels a job once a second until it has ended.
func (u *closeUsers) watchCancel(id string) {
	if u.w.check.Final(id) == "" {
		u.cancel(u.w.anyNode(), id, "cancelled")
		u.w.at(time.Second, func() { u.watchCancel(id) })
	}
}

// Users query all controllers repeatedly within milliseconds after a job was accepted, ended or
// confirmed as cancelled, and repeat the submission, also with bodies that would get 400 or 422. No
// answer may be older than an earlier one. The test fails without the read before a refusal
// (`unlessKnown` in onSubmit), without the call before an answer (onPoll answering from the mirror
// alone), and without the read of jobs that have left the mirror (`readJobForPoll` in answerPolls).
// With one controller refused, it also fails if polls are answered from the mirror when the read of
// the changes fails (`default` in answerPolls).
func TestAskedEverywhereWithinMilliseconds(t *testing.T) {
	t.Parallel()
	for _, x := range []struct {
		name string
		do   func(w *world)
	}{
		{"no other fault", func(*world) {}},
		{"mirrors lag", func(w *world) { w.watchLag = 1500 * time.Millisecond }},
		{"the state is slow", func(w *world) { w.slowState = 300 * time.Millisecond }},
		{"one controller uses a peer's relay", func(w *world) { w.cutFrom["c2"] = true; w.at(14*sec, func() { delete(w.cutFrom, "c2") }) }},
		{"one controller is refused and not relayed", func(w *world) {
			w.noWays = true
			for i := range 5 { // it knows the jobs that end in the meantime
				w.at(time.Duration(3+i*4)*sec, func() { w.cutFrom["c2"] = true })
				w.at(time.Duration(5+i*4)*sec, func() { delete(w.cutFrom, "c2") })
			}
		}},
		{"calls are lost or late", func(w *world) { w.unsure = 15; w.at(25*sec, func() { w.unsure = 0 }) }},
		{"controllers restart", func(w *world) {
			for i := range 5 {
				w.at(time.Duration(3+i*4)*sec, func() { w.bounce(300*time.Millisecond, w.anyNode()) })
			}
		}},
		{"one controller is paused", func(w *world) {
			for i := range 4 {
				w.at(time.Duration(3+i*5)*sec, func() { w.stand(w.anyNode(), 1500*time.Millisecond) })
			}
		}},
	} {
		t.Run(x.name, func(t *testing.T) {
			t.Parallel()
			for seed := uint64(800); seed < 802; seed++ {
				w := staffed(t, seed, 2, func(w *world) { w.runS = sec })
				u := newCloseUsers(t, w)
				x.do(w)
				u.day()
				w.run(50 * sec)
				w.watchLag, w.slowState = 0, 0
				w.calm(t)
				if n := len(w.finals(wire.JobAborted)); n < 4 || w.unfinished() != nil {
					t.Errorf("seed %d: %d jobs were cancelled, not ended: %v", seed, n, w.unfinished())
				}
				if u.got["repeat 200"] < 1000 || u.got["cancelled again 200"] < 500 {
					t.Errorf("seed %d: too few requests were answered: %v", seed, u.got)
				}
				t.Logf("seed %d: %v", seed, u.got)
			}
		})
	}
}
