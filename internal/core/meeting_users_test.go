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

// An answer to a call that was made under an earlier takeover token arrives after the machine has
// moved to another holder and back. It must not account for the machine, because it does not include
// what has been started since.
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
	before.Seq += 50 // newer than every report received here
	done := WorkerCallDone{Machine: name, Token: before.Token, Session: before.Session, Status: 200, Report: before}
	if w.step(w.nodes[c.params.Node], done); x.accounted {
		t.Error("an answer with an earlier takeover token accounts for the machine")
	}
	before.Token, done.Token = x.takeoverToken, x.takeoverToken
	done.Report = before
	if w.step(w.nodes[c.params.Node], done); !x.accounted {
		t.Error("an answer with the current takeover token does not account for the machine")
	}
}

// The leader loses the state service and its peers in a zone that no other controller reaches, so
// it is the only controller for the workers and users there. Jobs cancelled at the other controllers
// must stop in time, users that ask the isolated leader must get 503, and no state may go backwards
// when it is reachable again.
func TestLeaderAloneInItsZone(t *testing.T) {
	t.Parallel()
	for _, cut := range []time.Duration{5 * sec, 45 * sec, 120 * sec} {
		for _, hold := range []bool{false, true} {
			t.Run(fmt.Sprint(cut, " held ", hold), func(t *testing.T) {
				w := staffed(t, 740, 6)
				const lone = "c1" // the only controller in zone s
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
						w.at(tuning.WatchMaxWait+sec, func() { w.cancelAt("c0", id, func() {}) }) // the leader's open watch has ended by then
					}
				}
				asked, refused := 0, 0
				for i := range int(cut / (500 * time.Millisecond)) {
					w.at(4*sec+time.Duration(i)*500*time.Millisecond, func() {
						if asked++; !w.hung[lone] {
							refused++ // the fault is over: any up-to-date answer counts
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
					t.Errorf("%d of %d polls at the isolated leader were not answered with 503", asked-refused, asked)
				}
				if n := len(w.finals(wire.JobAborted)); n != 1 {
					t.Errorf("%d jobs were cancelled, want 1", n)
				}
				w.backTo(t, 12, 60*sec)
			})
		}
	}
}

// Jobs have three tasks that end after 2, 20 and 45 s. Their holder is killed when the first end is
// known only to its worker, is being written to the state service, has been written, or has been
// cleared. The holder restarts at once or later, and the machine of the first task is lost or not.
// Each end must count once, only tasks that ran on the lost machine may run again, and the job must
// be done within 3 s of the last end.
func TestEndsFarApart(t *testing.T) {
	t.Parallel()
	for _, at := range []time.Duration{5, 30, 60, 400, 1500, 4000, 12000} { // milliseconds after the first end
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
						t.Errorf("only %v are done 3 s after the last end", d)
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

// One user polls and cancels repeatedly at all controllers in turn while the state service is slow,
// refuses the leader, and then refuses every controller. No answer may be older than an earlier one
// (the checker verifies this), and a repeated cancellation must get the same answer or 503. The test
// fails without cacheFinal in finishJob (ran_cancelled).
func TestOneUserAsksEverybody(t *testing.T) {
	t.Parallel()
	for _, slow := range []time.Duration{0, 200 * time.Millisecond, sec, 3 * sec} {
		t.Run(fmt.Sprint("slow by ", slow), func(t *testing.T) {
			for seed := uint64(760); seed < 764; seed++ {
				w := staffed(t, seed, 4)
				w.slowState, w.noWays = slow, seed > 761 // with two of the seeds, peers do not relay for a refused controller
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
								t.Errorf("a repeated cancellation was answered with %d", a.Status)
							}
						})
					})
				}
				w.run(80 * sec)
				w.slowState = 0
				w.run(20 * sec)
				if len(w.finals(wire.JobAborted)) != 9 || answers[200] == 0 {
					t.Errorf("seed %d: cancelled jobs: %v; answers to repeated cancellations by status: %v", seed, w.finals(wire.JobAborted), answers)
				}
				w.backTo(t, 12, 60*sec)
			}
		})
	}
}

// Reports from an earlier session, from an earlier attempt, and older ones from the current session
// arrive after newer ones, through any controller, before and after a change of the holder. They must
// not lose or add a task, end anything, or extend a lease.
func TestOldReportsAfterNewerOnes(t *testing.T) {
	t.Parallel()
	for _, taken := range []bool{false, true} {
		w := staffed(t, 770, 4, func(w *world) { w.keep = map[string][]wire.Report{} })
		name := w.order[0]
		m := w.machines[name]
		w.hang(m) // its lease expires and its tasks restart as new attempts
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
				continue // newer than the last report known here
			}
			was := state()
			for _, n := range sortedKeys(w.nodes) {
				at := w.now
				w.ask(n, func(q uint64) any { return WorkerReport{Req: q, Report: r} }, func(a Answer) {
					if a.Status == 200 && w.now == at {
						t.Errorf("%s answered an old report with 200", n)
					}
				})
			}
			if now := state(); now != was {
				t.Fatalf("taken over %v: the report of session %d with sequence number %d changed the known state:\n%s\n%s", taken, r.Session, r.Seq, was, now)
			}
		}
		w.run(tuning.RelayTimeout + sec)
		w.backTo(t, 12, 40*sec)
	}
}
