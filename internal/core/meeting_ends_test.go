package core

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/barrowbridge/barrowbridge/internal/standin/worker"
	"github.com/barrowbridge/barrowbridge/wire"
)

// A cancellation, a poll or a repeated submission coincides with the end of a job's last task, with
// no other fault: it is sent from 400 ms before the end to 1.6 s after it, at each controller. All
// controllers agree that the job is done or cancelled, and the first request for cancellation is
// answered with the final status. The test fails without the conditions of the abort's write on the
// job's two records (one of them is enough), and without the condition of the end's write (addJob).
func TestCancelledAtTheLastEnd(t *testing.T) {
	t.Parallel()
	for _, tasks := range []int{1, 2} {
		t.Run(fmt.Sprint(tasks, " tasks"), func(t *testing.T) {
			t.Parallel()
			outcomes := map[string]int{}
			for seed := uint64(820); seed < 824; seed++ {
				w := staffed(t, seed, 2)
				const runs = 3 * sec
				w.taskRuns = func(int) time.Duration { return runs }
				u := newCloseUsers(t, w)
				for i := range 40 {
					s := spec(fmt.Sprintf("job-0008%02d", i), []string{"red", "blue", "green"}[i%3], wire.ShapeBatch, tasks)
					s.DueS = nil
					by := fmt.Sprintf("c%d", i/3%3)
					off := time.Duration(w.rng.IntN(2000)-400) * time.Millisecond
					w.at(time.Duration(i)*600*time.Millisecond, func() {
						u.submit(s, func() {
							u.atEnd(*s.ID, tasks, runs+off, func() {
								switch i % 4 {
								case 0, 1:
									u.cancelOnce(by, *s.ID, outcomes)
								case 2:
									u.poll(by, *s.ID)
								case 3:
									u.repeat(by, s, "repeat")
								}
							})
						})
					})
				}
				w.run(60 * sec)
				w.calm(t)
				if u := w.unfinished(); u != nil {
					t.Errorf("seed %d: not finished: %v", seed, u)
				}
			}
			if outcomes[wire.JobDone] < 5 || outcomes[wire.JobAborted] < 5 {
				t.Errorf("cancellations did not coincide with ends: %v, want 5 done and 5 aborted at least", outcomes)
			}
			t.Logf("cancellations at the end were answered: %v", outcomes)
		})
	}
}

// atEnd calls f the given time after the last of a job's tasks has started to run.
func (u *closeUsers) atEnd(id string, tasks int, after time.Duration, f func()) {
	if len(u.w.check.On(id, u.w.now))+u.w.check.DoneTasks(id) < tasks {
		u.w.at(5*time.Millisecond, func() { u.atEnd(id, tasks, after, f) })
		return
	}
	u.w.at(after, f)
}

// cancelOnce cancels a job by a single request, which must be answered with status 200, and counts
// the job statuses in outcomes.
func (u *closeUsers) cancelOnce(n, id string, outcomes map[string]int) {
	u.w.check.Aborting(id)
	asked := u.w.now
	u.w.ask(n, func(q uint64) any { return Abort{Req: q, ID: id} }, func(a Answer) {
		u.w.aborted(id, a, asked)
		st, _ := a.Body.(wire.JobStatus)
		if outcomes[st.Status]++; a.Status != 200 {
			u.t.Errorf("%v: a cancellation of %s at its end got status %d, want 200", u.w.now, id, a.Status)
		}
		u.heard(id, "cancelled at the end", a)
	})
}

// A transaction is executed at once and only its answer is lost, while other controllers read what it
// wrote: acceptances, ends, aborts, starts, changes of holder. No answer meanwhile is older than what
// was written, nothing starts twice, and the request behind the write still gets its answer. The
// test fails if an acceptance or an abort is not read back (`case 409, 0` in acceptJob and abortJob).
func TestOnlyTheAnswerIsLost(t *testing.T) {
	t.Parallel()
	for _, kinds := range [][]string{{"acceptance"}, {"abort"}, {"end"}, {"starts slot"}, {"progress"}, {"block formed", "block marked", "machines out of blocks, or a block moved"},
		{"shard given", "shard retaken or settled"}, {"leader", "presence"}, nil} {
		t.Run(fmt.Sprint(kinds), func(t *testing.T) {
			t.Parallel()
			lost := 0
			for seed := uint64(840); seed < 842; seed++ {
				w := staffed(t, seed, 2, func(w *world) { w.runS = sec })
				w.noAnswer = func(_ string, v StateCall) (time.Duration, bool) {
					k := kindOfWrite(v)
					hit := k != "" && w.rng.IntN(100) < 60 && (kinds == nil || slices.Contains(kinds, k))
					if hit {
						lost++
					}
					return 0, hit
				}
				u := newCloseUsers(t, w)
				u.once = kinds != nil && (kinds[0] == "acceptance" || kinds[0] == "abort")
				starts := map[string]int{}
				if kinds != nil && kinds[0] == "starts slot" {
					w.ordered = startsOnce(t, w, starts)
				}
				if kinds == nil || kinds[0] == "shard given" || kinds[0] == "leader" {
					for i := range 4 {
						w.at(time.Duration(4+i*5)*sec, func() { w.bounce([]time.Duration{300 * time.Millisecond, 4 * sec}[i%2], w.anyNode()) })
					}
				}
				if kinds != nil && kinds[0] == "block formed" {
					wide := spec("job-000799", "red", wire.ShapeBatch, 40) // machines are rented for it
					wide.DueS = nil
					u.submit(wide, func() {})
				}
				u.day()
				w.run(45 * sec)
				w.noAnswer = nil
				w.run(15 * sec)
				w.calm(t)
				if n := len(w.finals(wire.JobAborted)); n < 2 || w.unfinished() != nil {
					t.Errorf("seed %d: %d jobs are cancelled, not finished: %v", seed, n, w.unfinished())
				}
			}
			if t.Logf("%d answers lost", lost); lost == 0 {
				t.Error("no such write was made")
			}
		})
	}
}

// startsOnce counts the starts of each task that workers accept. No fault stops a task here, so each
// is started once.
func startsOnce(t *testing.T, w *world, starts map[string]int) func(*host, worker.Ordered) {
	return func(_ *host, o worker.Ordered) {
		if starts[o.Task]++; starts[o.Task] > 1 {
			t.Errorf("%v: %s was started more than once", w.now, o.Task)
		}
	}
}

// A machine falls silent while many jobs have ends to write, so that each write waits for up to ten
// seconds. The ends that this machine has reported must be in the state seconds before its lease
// expires. Fails without silent in refreshMachine.
func TestEndsOfASilentMachineAreWritten(t *testing.T) {
	t.Parallel()
	kept := 0
	for seed := uint64(990); seed < 996; seed++ {
		w := newWorld(t, seed, 1, func(w *world) {
			w.capacity, w.lease = 0, 22*sec
			w.taskRuns = func(i int) time.Duration { return time.Duration(6+i*2) * sec }
			w.teams = map[string]Team{"red": {CPUs: 200, CPUsMax: 200}}
		})
		for i := range 8 {
			w.addMachine([]string{"n", "s"}[i%2], false, sec)
		}
		w.run(8 * sec)
		for i := range 16 {
			s := spec(fmt.Sprintf("job-%06d", i), "red", wire.ShapeBatch, 12)
			s.CPUs, s.MemoryGB, s.DueS, s.ImageGB = ptr(0.125), ptr(0.1), nil, ptr(0.01)
			w.submit(s)
		}
		w.run(18 * sec)
		c := w.nodes["c0"].core
		for _, m := range c.heldMachines()[:4] {
			w.hang(w.machines[m.name])
		}
		unwritten := map[*attempt]bool{}
		for _, m := range c.heldMachines()[:4] {
			for _, a := range m.attempts {
				unwritten[a] = c.hasUnwrittenEnd(a)
			}
		}
		w.run(6500 * time.Millisecond) // a machine counts as silent after 5 s
		for a, wasUnwritten := range unwritten {
			if wasUnwritten {
				kept++
			}
			if wasUnwritten && c.hasUnwrittenEnd(a) {
				t.Errorf("seed %d: the end of %s, reported before its machine fell silent, is not written", seed, a.key.task)
			}
		}
	}
	if kept == 0 {
		t.Error("faults did not coincide: no reported end was still unwritten")
	}
}
