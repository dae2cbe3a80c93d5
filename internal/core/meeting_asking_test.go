package core

import (
	"fmt"
	"testing"
	"time"

	"github.com/barrowbridge/barrowbridge/wire"
)

// closeUsers are users who ask every controller within milliseconds of each answer that counts:
// an acceptance, an end, a confirmed cancellation. They poll, cancel again and repeat the
// submission, also with a body that lacks a field or fits no machine. What each is told
// the checker judges; a repeat is never refused.
type closeUsers struct {
	w     *world
	t     testing.TB
	told  map[string]string // the state that a job's burst was last made for
	got   map[string]int    // answers, by what was asked and status
	again []time.Duration   // after an answer that counts
	once  bool              // each submission and cancellation is to be answered by the request that asked
}

func newCloseUsers(t testing.TB, w *world) *closeUsers {
	u := &closeUsers{w: w, t: t, told: map[string]string{}, got: map[string]int{}}
	for _, ms := range []time.Duration{0, 1, 2, 4, 7, 11, 16, 25, 60, 150, 400, 1200} {
		u.again = append(u.again, ms*time.Millisecond)
	}
	return u
}

// oddBodies are repeats of a submission that would be refused were the job not known.
func oddBodies(s wire.JobSpec) map[string]wire.JobSpec {
	lacks, large, stray, wide, none := s, s, s, s, s
	lacks.CPUs, large.CPUs, stray.Team, wide.Zone, none.Tasks = nil, ptr(99.0), ptr("nobody"), ptr("elsewhere"), ptr(int64(0))
	return map[string]wire.JobSpec{"lacks a field": lacks, "fits no machine": large, "names a team that is not": stray, "names a zone that is not": wide, "has no tasks": none}
}

// heard takes an answer: if it says something that counts, everybody is asked.
func (u *closeUsers) heard(id, what string, a Answer) {
	u.got[fmt.Sprint(what, " ", a.Status)]++
	st, _ := a.Body.(wire.JobStatus)
	if a.Status != 200 && a.Status != 201 {
		return
	}
	say := "accepted"
	if st.Status == wire.JobDone || st.Status == wire.JobAborted {
		say = st.Status
	}
	if was := u.told[id]; was != "" && (was != "accepted" || say == was) {
		return // a final state is told once; what contradicts it the checker finds
	}
	u.told[id] = say
	for _, d := range u.again {
		u.w.at(d, func() { u.everywhere(id, say) })
	}
}

// everywhere asks each controller all that a user may ask.
func (u *closeUsers) everywhere(id, say string) {
	for _, n := range sortedKeys(u.w.nodes) {
		u.poll(n, id)
		s := u.w.jobs[id].spec
		u.repeat(n, s, "repeat")
		odd := oddBodies(s)
		for _, k := range sortedKeys(odd) {
			u.repeat(n, odd[k], "repeat that "+k)
		}
		if say != "accepted" {
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
			u.t.Errorf("%v: a %s at %s of %s, which was accepted, is answered %d", u.w.now, what, n, *s.ID, a.Status)
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
			u.t.Errorf("%v: %s, which was accepted, %s at %s is answered %d", u.w.now, id, what, n, a.Status)
		}
		u.heard(id, what, a)
	})
}

// submit brings a job in, at any controller, until it is accepted; then is called at once.
func (u *closeUsers) submit(s wire.JobSpec, then func()) {
	u.w.upload(s)
	u.w.send(func(id uint64) any { return Submit{Req: id, Spec: s} }, func(a Answer, asked time.Duration) bool {
		st, _ := a.Body.(wire.JobStatus)
		u.w.check.Submitted(u.w.now, asked, *s.ID, a.Status, st)
		u.heard(*s.ID, "submission", a)
		if a.Status > 201 && (a.Status < 429 || u.once) {
			u.t.Errorf("%v: the submission of %s is answered %d", u.w.now, *s.ID, a.Status)
		}
		if a.Status <= 201 {
			then()
		}
		return a.Status < 429
	})
}

// watch polls a job at any controller, again and again, until it is over.
func (u *closeUsers) watch(id string, every time.Duration) {
	if u.w.check.Final(id) != "" {
		return
	}
	u.poll(u.w.anyNode(), id)
	u.w.at(every, func() { u.watch(id, every) })
}

// day brings 24 jobs of one or two short tasks, four a second at most; every third is cancelled,
// some of them at once, some at about their end.
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
					w.at(sec, func() { u.watchCancel(*s.ID) }) // again, as long as nobody has said so
				case 3:
					w.at(time.Duration(w.rng.IntN(9000))*time.Millisecond, func() { u.watchCancel(*s.ID) })
				}
			})
		})
	}
}

func (u *closeUsers) watchCancel(id string) {
	if u.w.check.Final(id) == "" {
		u.cancel(u.w.anyNode(), id, "cancelled")
		u.w.at(time.Second, func() { u.watchCancel(id) })
	}
}

// Users ask all controllers again and again within milliseconds, and repeat the submission, also
// as one that would get 400 or 422, right after a job was accepted, ended or confirmed as
// cancelled. No answer is older than one given before. It fails without the read behind a refusal
// (`unlessKnown` in onSubmit), without the call in front of an answer (onPoll, from the mirror alone), and
// without the read of what has left the mirror (`readJobForPoll` in answerPolls); with one refused also with
// polls answered from the mirror where the look at the changes fails (`default` in answerPolls).
func TestAskedEverywhereWithinMilliseconds(t *testing.T) {
	t.Parallel()
	for _, x := range []struct {
		name string
		do   func(w *world)
	}{
		{"nothing else", func(*world) {}},
		{"mirrors lag", func(w *world) { w.watchLag = 1500 * time.Millisecond }},
		{"the state is slow", func(w *world) { w.slowState = 300 * time.Millisecond }},
		{"one goes through a peer", func(w *world) { w.cutFrom["c2"] = true; w.at(14*sec, func() { delete(w.cutFrom, "c2") }) }},
		{"one is refused, nobody helps", func(w *world) {
			w.noWays = true
			for i := range 5 { // it knows the jobs that end meanwhile
				w.at(time.Duration(3+i*4)*sec, func() { w.cutFrom["c2"] = true })
				w.at(time.Duration(5+i*4)*sec, func() { delete(w.cutFrom, "c2") })
			}
		}},
		{"calls are lost or late", func(w *world) { w.unsure = 15; w.at(25*sec, func() { w.unsure = 0 }) }},
		{"controllers end and are back", func(w *world) {
			for i := range 5 {
				w.at(time.Duration(3+i*4)*sec, func() { w.bounce(300*time.Millisecond, w.anyNode()) })
			}
		}},
		{"one stands still", func(w *world) {
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
					t.Errorf("seed %d: %d jobs are cancelled, not over: %v", seed, n, w.unfinished())
				}
				if u.got["repeat 200"] < 1000 || u.got["cancelled again 200"] < 500 {
					t.Errorf("seed %d: too little was answered: %v", seed, u.got)
				}
				t.Logf("seed %d: %v", seed, u.got)
			}
		})
	}
}
