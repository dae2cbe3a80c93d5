package core

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/barrowbridge/barrowbridge/internal/standin/worker"
	"github.com/barrowbridge/barrowbridge/internal/tuning"
	"github.com/barrowbridge/barrowbridge/wire"
)

// The answer to a call that was made under an earlier grant comes when the machine has gone to
// another holder and back. It accounts for nothing: what was started since is not in it.
func TestALateAnswerAccountsForNothing(t *testing.T) {
	t.Parallel()
	w := staffed(t, 730, 4)
	name := w.order[0]
	m := w.machines[name]
	before, _ := m.Inspect(w.now)
	w.hang(m)
	w.kill(w.holderOf(name))
	w.run(6 * sec)
	c := w.nodes[w.holderOf(name)].core
	x := c.machines[name]
	if x == nil || x.accounted || before.Token >= x.takeoverToken {
		t.Fatalf("the machine should have been taken over and not be accounted for: %+v", x)
	}
	before.Seq += 50 // it is newer than all that has been heard here
	done := WorkerCallDone{Machine: name, Token: before.Token, Session: before.Session, Status: 200, Report: before}
	if w.step(w.nodes[c.params.Node], done); x.accounted {
		t.Error("an answer given under an earlier grant accounts for the machine")
	}
	before.Token, done.Token = x.takeoverToken, x.takeoverToken
	done.Report = before
	if w.step(w.nodes[c.params.Node], done); !x.accounted {
		t.Error("an answer that names our grant does not account for the machine")
	}
}

// A leader is without the state service and its peers, in a zone that nobody else reaches:
// its workers and users have it alone. What is cancelled with the others is gone in time, users
// that ask it are told 503, and nothing goes back when it is heard again.
func TestLeaderAloneInItsZone(t *testing.T) {
	t.Parallel()
	for _, cut := range []time.Duration{5 * sec, 45 * sec, 120 * sec} {
		for _, hold := range []bool{false, true} {
			t.Run(fmt.Sprint(cut, " held ", hold), func(t *testing.T) {
				w := staffed(t, 740, 6)
				const lone = "c1" // alone in zone s
				for w.leaderNode() != lone {
					w.bounce(8*sec, w.leaderNode())
					w.run(30 * sec)
				}
				w.hung[lone] = true
				w.silence(lone, true)
				w.apart[[2]string{"n", "s"}] = true
				if hold {
					w.holdOrders = cut
				}
				for i, team := range []string{"red", "blue", "green"} {
					if w.shardRec(team).Holder == lone {
						id := fmt.Sprintf("job-%06d", i)
						w.at(tuning.WatchMaxWait+sec, func() { w.cancelAt("c0", id, func() {}) }) // its open watch has ended
					}
				}
				asked, refused := 0, 0
				for i := range int(cut / (500 * time.Millisecond)) {
					w.at(4*sec+time.Duration(i)*500*time.Millisecond, func() {
						if asked++; !w.hung[lone] {
							refused++ // it is over: any fresh answer will do
							return
						}
						w.ask(lone, func(q uint64) any { return Poll{Req: q, ID: "job-000000"} }, func(a Answer) {
							if a.Status == 503 {
								refused++
							}
						})
					})
				}
				w.run(cut)
				delete(w.hung, lone)
				w.silence(lone, false)
				w.apart = map[[2]string]bool{}
				w.run(8 * sec)
				if refused < asked {
					t.Errorf("%d of %d polls of the lone one were answered otherwise than 503", asked-refused, asked)
				}
				if n := len(w.finals(wire.JobAborted)); n != 1 {
					t.Errorf("%d jobs are cancelled, want 1", n)
				}
				w.backTo(t, 12, 60*sec)
			})
		}
	}
}

// Jobs of three tasks that end after 2, 20 and 45 s. Their holder ends when the first end is
// only at its worker, on its way to the state, written, or cleared; it is back at once or later;
// the first one's machine goes, or not. Each end counts once, nothing runs again but what ran on that
// machine, and the job is done within 3 s of the last end.
func TestEndsFarApart(t *testing.T) {
	t.Parallel()
	for _, at := range []time.Duration{5, 30, 60, 400, 1500, 4000, 12000} { // ms after the first end
		for _, gone := range []bool{false, true} {
			t.Run(fmt.Sprintf("%d ms after, machine gone %v", int64(at), gone), func(t *testing.T) {
				for n, back := range []time.Duration{200, 6000} {
					w := newWorld(t, uint64(750+n), 3)
					for i := range 4 {
						w.addMachine([]string{"n", "s"}[i%2], false, sec)
					}
					w.taskRuns = func(i int) time.Duration { return []time.Duration{2 * sec, 20 * sec, 45 * sec}[i%3] }
					w.pollAll()
					w.run(8 * sec)
					starts, on := map[string]int{}, map[string]string{}
					w.ordered = func(m *host, o worker.Ordered) { starts[o.Task]++; on[o.Task] = m.info.Name }
					ids := []string{"job-000001", "job-000002"}
					for _, id := range ids {
						s := spec(id, "red", wire.ShapeBatch, 3)
						s.DueS = nil
						w.submit(s)
					}
					w.until(20*sec, func() bool { return w.check.DoneTasks(ids[0])+w.check.DoneTasks(ids[1]) > 0 })
					w.run(at * time.Millisecond)
					lost := on["job-000001/0"]
					was := map[string]string{}
					for k, v := range on {
						was[k] = v
					}
					w.bounce(back*time.Millisecond, w.shardRec("red").Holder)
					if gone {
						w.vanish(lost)
					}
					w.until(150*sec, func() bool { return w.check.DoneTasks(ids[0]) == 3 && w.check.DoneTasks(ids[1]) == 3 })
					w.run(3 * sec)
					for _, n := range sortedKeys(w.nodes) {
						for _, id := range ids {
							w.poll(n, id)
						}
					}
					w.run(200 * time.Millisecond)
					if d := w.finals(wire.JobDone); len(d) != 2 {
						t.Errorf("3 s after the last end only %v are done", d)
					}
					for task, k := range starts {
						if most := 1; k > most && !(gone && was[task] == lost) {
							t.Errorf("%s was started %d times", task, k)
						}
					}
				}
			})
		}
	}
}

// One user asks all controllers in turn, and cancels, again and again, while the state service
// is slow, or refuses the leader and then all. No answer is older than one given before,
// which the checker judges, and a repeated cancellation is answered alike or with 503. It fails
// without cacheFinal in finishJob (ran_cancelled).
func TestOneUserAsksEverybody(t *testing.T) {
	t.Parallel()
	for _, slow := range []time.Duration{0, 200 * time.Millisecond, sec, 3 * sec} {
		t.Run(fmt.Sprint("slow by ", slow), func(t *testing.T) {
			for seed := uint64(760); seed < 764; seed++ {
				w := staffed(t, seed, 4)
				w.slowState, w.noWays = slow, seed > 761 // in two of them nobody helps who is refused
				answers := map[int]int{}
				names := sortedKeys(w.nodes)
				for i := range 9 {
					s := spec(fmt.Sprintf("job-0001%02d", i), []string{"red", "blue", "green"}[i%3], wire.ShapeService, 1)
					s.DueS = nil
					w.at(time.Duration(i)*2*sec, func() { w.submit(s) })
					w.at(time.Duration(i)*2*sec+9*sec, func() { w.abort(*s.ID) })
				}
				w.at(10500*time.Millisecond, func() { w.abort("job-000100"); w.abort("job-000102"); w.abort("job-000103") })
				w.at(10*sec, func() { w.cutFrom[w.leaderOr()] = true })
				w.at(13*sec, func() { w.outage(w.cancelS + 5*sec) })
				w.at(24*sec, func() { clear(w.cutFrom) })
				for k := range 400 {
					w.at(time.Duration(k)*200*time.Millisecond, func() {
						id := fmt.Sprintf("job-0001%02d", k%9)
						if w.jobs[id] == nil {
							return
						}
						if w.poll(names[(k+k/9)%3], id); w.check.Final(id) != wire.JobAborted {
							return
						}
						asked := w.now
						w.ask(names[(k+k/9+1)%3], func(q uint64) any { return Abort{Req: q, ID: id} }, func(a Answer) {
							answers[a.Status]++
							w.aborted(id, a, asked)
							if a.Status != 200 && a.Status != 503 {
								t.Errorf("a repeated cancellation is answered %d", a.Status)
							}
						})
					})
				}
				w.run(80 * sec)
				w.slowState = 0
				w.run(20 * sec)
				if len(w.finals(wire.JobAborted)) != 9 || answers[200] == 0 {
					t.Errorf("seed %d: %v are cancelled, repeated cancellations were answered %v", seed, w.finals(wire.JobAborted), answers)
				}
				w.backTo(t, 12, 60*sec)
			}
		})
	}
}

// Reports of an earlier session, of an earlier attempt, and older ones of this session come
// after newer ones, through any controller, before and after a change of hands: no task is
// lost or found by them, nothing ends, and no lease is counted longer.
func TestOldReportsAfterNewerOnes(t *testing.T) {
	t.Parallel()
	for _, taken := range []bool{false, true} {
		w := staffed(t, 770, 4, func(w *world) { w.keep = map[string][]wire.Report{} })
		name := w.order[0]
		m := w.machines[name]
		w.hang(m) // its lease ends, its tasks are started anew, with new numbers
		w.run(14 * sec)
		w.resume(m)
		w.until(40*sec, func() bool { return w.up() == 12 })
		if taken {
			w.bounce(5*sec, w.holderOf(name))
			w.run(15 * sec)
		}
		old := w.keep[name]
		if s := w.session(m); s < 2 || len(old) < 6 {
			t.Fatalf("session %d, %d reports", s, len(old))
		}
		c := w.nodes[w.holderOf(name)].core
		x := c.machines[name]
		state := func() string {
			var b strings.Builder
			for _, k := range sortedAttemptKeys(x) {
				fmt.Fprint(&b, k, x.attempts[k].status, " ")
			}
			for _, id := range sortedKeys(c.jobs) {
				if r := c.jobs[id].run; r != nil {
					fmt.Fprint(&b, id, len(r.active), len(r.retryIndexes), r.done.Count(), " ")
				}
			}
			return fmt.Sprint(x.session, x.seq, x.lastAnswered, x.leaseOver, x.accounted, b.String())
		}
		for _, r := range old[:len(old)-1] {
			if x.session == r.Session && x.seq < r.Seq {
				continue // it is newer than what is known here
			}
			was := state()
			for _, n := range sortedKeys(w.nodes) {
				at := w.now
				w.ask(n, func(q uint64) any { return WorkerReport{Req: q, Report: r} }, func(a Answer) {
					if a.Status == 200 && w.now == at {
						t.Errorf("%s answers an old report with 200", n)
					}
				})
			}
			if now := state(); now != was {
				t.Fatalf("taken over %v: a report of session %d, number %d, changes what is known:\n%s\n%s", taken, r.Session, r.Seq, was, now)
			}
		}
		w.run(tuning.RelayTimeout + sec)
		w.backTo(t, 12, 40*sec)
	}
}
