package core

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/barrowbridge/barrowbridge/wire"
)

// after returns the job description with the given predecessors.
func after(s wire.JobSpec, predecessors ...string) wire.JobSpec {
	s.Predecessors = predecessors
	return s
}

// statusAt polls a node for a job and returns a pointer to its status, which is empty until the
// node answers 200.
func (w *world) statusAt(node, id string) *string {
	status := ""
	w.ask(node, func(q uint64) any { return Poll{Req: q, ID: id} }, func(a Answer) {
		if st, ok := a.Body.(wire.JobStatus); ok && a.Status == 200 {
			status = st.Status
		}
	})
	return &status
}

// chain submits a pipeline with a fork over three teams and returns the job ids in the order in
// which they run: 10, then 11 and 12, then 13, then 14. Each job is submitted once the ones before
// it are accepted. Only the last has a deadline and a priority above idle.
func (w *world) chain() []string {
	ids := []string{"job-000010", "job-000011", "job-000012", "job-000013", "job-000014"}
	teams := []string{"red", "blue", "green", "red", "blue"}
	preds := [][]string{nil, ids[:1], ids[:1], ids[1:3], ids[3:4]}
	accepted := 0
	var next func(i int)
	next = func(i int) {
		s := after(spec(ids[i], teams[i], wire.ShapeBatch, 2+i%2), preds[i]...)
		s.Priority, s.DueS = ptr("idle"), nil
		if i == len(ids)-1 {
			s.Priority, s.DueS = ptr("urgent"), ptr(200.0)
		}
		w.submit(s, func() {
			if accepted = i + 1; accepted < len(ids) {
				w.at(50*time.Millisecond, func() { next(accepted) })
			}
		})
	}
	next(0)
	w.until(100*sec, func() bool { return accepted == len(ids) })
	return ids
}

// statusesAtAllNodes polls every node and returns the distinct statuses reported for each job.
func (w *world) statusesAtAllNodes(ids []string) map[string][]string {
	var all []*string
	for _, id := range ids {
		for _, n := range sortedKeys(w.nodes) {
			all = append(all, w.statusAt(n, id))
		}
	}
	w.run(3 * sec)
	out, k := map[string][]string{}, 0
	for _, id := range ids {
		for range w.nodes {
			if !slices.Contains(out[id], *all[k]) {
				out[id] = append(out[id], *all[k])
			}
			k++
		}
	}
	return out
}

// A chain of jobs over three teams and shards runs in order and finishes in time, also when all
// controllers restart in the middle of it, at once or one by one.
func TestAChainRunsInOrder(t *testing.T) {
	t.Parallel()
	for what, trouble := range map[string]func(*world){
		"nothing":         func(*world) {},
		"all restart":     func(w *world) { w.at(8*sec, func() { w.bounce(4*sec, sortedKeys(w.nodes)...) }) },
		"leader restarts": func(w *world) { w.at(7*sec, func() { w.bounce(6*sec, w.leaderNode()) }) },
		"outage":          func(w *world) { w.at(6*sec, func() { w.outage(15 * sec) }) },
		"zones partitioned": func(w *world) {
			w.at(6*sec, func() { w.apart[[2]string{"n", "s"}] = true })
			w.at(26*sec, func() { clear(w.apart) })
		},
		"late writes": func(w *world) { w.lateWrites(30, map[string]int{}); w.at(40*sec, func() { w.noAnswer = nil }) },
		"one by one": func(w *world) {
			for i, n := range sortedKeys(w.nodes) {
				w.at(time.Duration(5+7*i)*sec, func() { w.bounce(2*sec, n) })
			}
		},
	} {
		t.Run(what, func(t *testing.T) {
			t.Parallel()
			w := staffed(t, 900, 1)
			trouble(w)
			ids := w.chain()
			w.run(140 * sec)
			w.calm(t)
			for id, got := range w.statusesAtAllNodes(ids) {
				if !slices.Equal(got, []string{wire.JobDone}) {
					t.Errorf("%s: status %v, want done at all nodes", id, got)
				}
			}
			if b := w.check.FinishDay(w.now); len(b) > 0 {
				t.Errorf("rules broken over the whole run: %v", b)
			}
		})
	}
}

// The predecessors of an urgent job with a deadline inherit a due time from it, across teams.
// Every controller computes the same due time, also after a restart. While there is slack they are
// served at normal priority; once little slack is left they get the urgent job's own tier, and
// neither they nor their running tasks are preemptible for work of lower priority.
func TestPredecessorsInheritAcrossTeams(t *testing.T) {
	t.Parallel()
	w := staffed(t, 901, 1)
	w.runS = 400 * sec
	ids := w.chain()
	w.run(5 * sec)
	look := func(when, priority string) (out []string) {
		t.Helper()
		for _, n := range sortedKeys(w.nodes) {
			c := w.nodes[n].core
			e := c.jobs[ids[0]]
			if e == nil {
				t.Fatalf("%s: %s does not know %s", when, n, ids[0])
			}
			as := wire.Job{Class: "any", Team: "red", Shape: wire.ShapeBatch, Priority: priority}
			if e.priority != wire.PriorityRank(priority) || e.rank != c.tierOrder.Rank(&as) {
				t.Errorf("%s: %s: priority %d, tier rank %d, want those of an %s job", when, n, e.priority, e.rank, priority)
			}
			if last := float64(c.waitingJobs[ids[4]].record.AcceptedMS)/1000 + 200; e.inheritedDue >= last-4*sec.Seconds() || e.inheritedDue < last-120 {
				t.Errorf("%s: %s: inherited due time %.1f, the last job is due at %.1f", when, n, e.inheritedDue, last)
			}
			out = append(out, fmt.Sprintf("%.3f", e.inheritedDue))
			for _, a := range e.runActive() {
				if a.idlePriority || a.belowUrgent != (e.priority < urgentRank) {
					t.Errorf("%s: %s: a running task is preemptible: for normal work %v, for urgent work %v", when, n, a.idlePriority, a.belowUrgent)
				}
			}
		}
		return out
	}
	before := look("with slack", "normal")
	for id, got := range w.statusesAtAllNodes(ids[1:]) {
		if !slices.Equal(got, []string{wire.JobQueued}) {
			t.Errorf("%s: status %v, want queued at all nodes", id, got)
		}
	}
	w.bounce(3*sec, sortedKeys(w.nodes)...)
	w.run(20 * sec)
	if after := look("after the restart", "normal"); !slices.Equal(before, after) {
		t.Errorf("inherited due times %v before the restart, %v after it", before, after)
	}
	if !slices.Equal(slices.Compact(slices.Clone(before)), before[:1]) {
		t.Errorf("the controllers computed different due times: %v", before)
	}
	w.run(140 * sec)
	look("with little slack", "urgent")
}

// runActive returns the active attempts of a job's run, ordered by task.
func (e *jobEntry) runActive() (list []*attempt) {
	if e.run != nil {
		for _, k := range sortedIntKeys(e.run.active) {
			list = append(list, e.run.active[k])
		}
	}
	return list
}

// Any job of a chain may be cancelled. Once the cancellation is confirmed to the user, no node
// reports another status for that job or its dependents at any later moment, no dependent ever
// starts, and jobs that do not depend on it continue.
func TestACancellationTakesThoseAfterIt(t *testing.T) {
	t.Parallel()
	troubles := map[string]func(w *world, confirmed time.Duration){
		"nothing": func(*world, time.Duration) {},
		"watches delayed": func(w *world, confirmed time.Duration) { // the lag is set before the cancellation, below
			w.at(20*sec, func() { w.watchLag = 0 })
		},
		"all restart at once": func(w *world, confirmed time.Duration) {
			w.bounce(4*sec, sortedKeys(w.nodes)...)
		},
		"an outage one second later": func(w *world, confirmed time.Duration) {
			w.at(sec, func() { w.outage(50 * sec) })
		},
		"the leader is refused, then an outage": func(w *world, confirmed time.Duration) {
			n := w.leaderNode()
			w.cutFrom[n] = true
			w.at(sec, func() { w.outage(50 * sec) })
			w.at(51*sec, func() { delete(w.cutFrom, n) })
		},
		"leaders restart": func(w *world, confirmed time.Duration) {
			w.bounce(300*time.Millisecond, w.leaderNode())
			w.at(2*sec, func() { w.bounce(sec, w.leaderOr()) })
		},
		"writes executed late": func(w *world, confirmed time.Duration) {
			w.lateWrites(40, map[string]int{})
			w.at(40*sec, func() { w.noAnswer = nil })
		},
	}
	for _, what := range sortedKeys(troubles) {
		for k := range 4 {
			t.Run(fmt.Sprint(what, ", job ", k), func(t *testing.T) {
				t.Parallel()
				w := staffed(t, 910+uint64(k), 1)
				w.runS = 30 * sec
				ids := w.chain()
				if what == "watches delayed" {
					w.watchLag = 1500 * time.Millisecond
				}
				needs := [][]string{ids, {ids[1], ids[3], ids[4]}, {ids[2], ids[3], ids[4]}, {ids[3], ids[4]}}[k]
				confirmed := false
				older := func(when string) {
					if what == "watches delayed" && when != "repeated" {
						return // a poll would make the controller read what its watch has not delivered yet
					}
					for _, n := range sortedKeys(w.nodes) {
						for _, id := range needs {
							w.ask(n, func(q uint64) any { return Poll{Req: q, ID: id} }, func(a Answer) {
								if st, _ := a.Body.(wire.JobStatus); a.Status != 503 && (a.Status != 200 || st.Status != wire.JobAborted) {
									t.Errorf("%s, %v: %s answers %d %s for %s", when, w.now, n, a.Status, st.Status, id)
								}
							})
							if when == "repeated" && (id != ids[k] || what != "watches delayed") {
								s := w.jobs[id].spec
								w.ask(n, func(q uint64) any { return Submit{Req: q, Spec: s} }, func(a Answer) {
									if st, _ := a.Body.(wire.JobStatus); a.Status != 503 && (a.Status != 200 || st.Status != wire.JobAborted) {
										t.Errorf("repeated submission, %v: %s answers %d %s for %s", w.now, n, a.Status, st.Status, id)
									}
								})
							}
						}
					}
				}
				w.cancelAt(sortedKeys(w.nodes)[k%3], ids[k], func() {
					confirmed = true
					older("at once")
					for _, ms := range []int{1, 7, 40, 300, 900} {
						w.at(time.Duration(ms)*time.Millisecond, func() { older("soon") })
					}
					w.at(time.Millisecond, func() { older("repeated") })
					w.at(150*time.Millisecond, func() { older("repeated") })
					troubles[what](w, w.now)
				})
				w.run(130 * sec)
				if !confirmed {
					t.Fatal("the cancellation was not confirmed")
				}
				w.calm(t)
				for id, got := range w.statusesAtAllNodes(ids) {
					want := wire.JobDone
					if slices.Contains(needs, id) {
						want = wire.JobAborted
					}
					if !slices.Equal(got, []string{want}) {
						t.Errorf("%s: status %v, want %s at all nodes", id, got, want)
					}
					if slices.Contains(needs, id) && id != ids[k] && w.startWritten(id) {
						t.Errorf("%s: a start was written for a cancelled dependent", id)
					}
				}
				for _, n := range sortedKeys(w.nodes) {
					if c := w.nodes[n].core; len(c.waitingJobs) > 0 {
						t.Errorf("%s: jobs still waiting: %v", n, sortedKeys(c.waitingJobs))
					}
				}
				if b := w.check.FinishDay(w.now); len(b) > 0 {
					t.Errorf("rules broken over the whole run: %v", b)
				}
			})
		}
	}
}

// Submissions with predecessors get the expected status and error message, at the first node and
// when repeated at the others. Each table entry is one submission.
func TestSubmissionsThatNameOthers(t *testing.T) {
	t.Parallel()
	w := staffed(t, 920, 1)
	done := spec("job-000020", "red", wire.ShapeBatch, 1)
	w.submit(done)
	over := spec("job-000021", "red", wire.ShapeBatch, 1)
	w.submit(over)
	w.run(500 * time.Millisecond)
	w.abort("job-000021")
	w.run(20 * sec)
	hundreds := []string{}
	for i := range 600 {
		hundreds = append(hundreds, fmt.Sprintf("job-%06d", 5000+i))
	}
	long := spec("job-000022", "blue", wire.ShapeBatch, 1)
	w.submit(long)
	w.run(sec)
	for i, x := range []struct {
		names  []string
		status int
		said   string // the job's status, or the error message
	}{
		{[]string{"job-000020"}, 201, wire.JobQueued},
		{[]string{"job-000020", "job-000020"}, 201, wire.JobQueued},
		{[]string{"job-000020", "job-000021"}, 201, wire.JobAborted},
		{[]string{"job-000022", "job-000020"}, 201, wire.JobQueued},
		{[]string{"job-000020", "job-999999"}, 422, "awaits: job-999999 was never accepted"},
		{[]string{"job-000035"}, 422, "awaits: job-000035 is the job itself"},
		{[]string{"job-000000"}, 422, "awaits: job-000000 is a service, which is never done"},
		{[]string{"the first"}, 400, "awaits: must look like job-000412"},
		{hundreds, 422, "job description too large to keep"},
	} {
		s := after(spec(fmt.Sprintf("job-%06d", 30+i), "green", wire.ShapeBatch, 1), x.names...)
		for _, n := range sortedKeys(w.nodes) { // submitted to the first node and repeated at the others
			if x.status < 300 && n == "c0" {
				w.upload(s)
			}
			w.ask(n, func(q uint64) any { return Submit{Req: q, Spec: s} }, func(a Answer) {
				want := x.status
				if n != "c0" && want == 201 {
					want = 200
				}
				st, _ := a.Body.(wire.JobStatus)
				p, _ := a.Body.(wire.Problem)
				if a.Status != want || st.Status+p.Error != x.said {
					t.Errorf("%v at %s: %d %q, want %d %q", x.names[:1], n, a.Status, st.Status+p.Error, want, x.said)
				}
				if a.Status < 300 {
					w.check.Submitted(w.now, w.now, *s.ID, a.Status, st)
				}
			})
			w.run(200 * time.Millisecond)
		}
	}
	w.run(40 * sec)
	for _, id := range []string{"job-000030", "job-000031", "job-000033"} {
		if got := w.statusesAtAllNodes([]string{id})[id]; !slices.Equal(got, []string{wire.JobDone}) {
			t.Errorf("%s: %v", id, got)
		}
	}
}

// The first job of a chain is cancelled around the moment when its last task ends, tried at many
// moments. The status that the user gets stays valid, and the dependents run only if it is done.
func TestCancelledAsThePredecessorEnds(t *testing.T) {
	t.Parallel()
	confirmed := make([]string, 24)
	t.Run("moments", func(t *testing.T) {
		for k := range confirmed {
			t.Run(fmt.Sprint(k), func(t *testing.T) {
				t.Parallel()
				confirmed[k] = cancelledAtTheEnd(t, k)
			})
		}
	})
	t.Logf("statuses confirmed: %v", confirmed)
	if !slices.Contains(confirmed, wire.JobDone) || !slices.Contains(confirmed, wire.JobAborted) {
		t.Errorf("the moments do not cover both done and aborted: %v", confirmed)
	}
}

// cancelledAtTheEnd runs one of these moments and returns the status that the user got.
func cancelledAtTheEnd(t *testing.T, k int) string {
	w := staffed(t, 930+uint64(k), 1)
	ids := w.chain()
	w.until(60*sec, func() bool { return w.nodes["c0"].core.jobs[ids[0]] != nil && w.begun(ids[0]) })
	// Its tasks run for 4 to 8 s; the moments lie around the end of the last task.
	var at time.Duration
	w.until(30*sec, func() bool {
		e := w.nodes["c1"].core
		at = w.now
		return e.finalStates[ids[0]].Status != "" || e.jobs[ids[0]] == nil
	})
	w2 := staffed(t, 930+uint64(k), 1)
	w2.chain()
	w2.run(at - w2.now + time.Duration(k*10-160)*time.Millisecond)
	got := ""
	w2.ask("c2", func(q uint64) any { w2.check.Aborting(ids[0]); return Abort{Req: q, ID: ids[0]} }, func(a Answer) {
		st, _ := a.Body.(wire.JobStatus)
		w2.aborted(ids[0], a, w2.now)
		got = st.Status
	})
	w2.run(100 * sec)
	want := map[string]string{wire.JobDone: wire.JobDone, wire.JobAborted: wire.JobAborted}[got]
	for id, all := range w2.statusesAtAllNodes(ids) {
		if want == "" || !slices.Equal(all, []string{want}) {
			t.Errorf("moment %d: the user got %q, but %s is %v", k, got, id, all)
		}
	}
	return got
}

// Three hundred jobs of three teams depend on one job, some of them indirectly, and thirty jobs
// form a chain, under small limits of value size, transaction size and write rate. The one job is
// cancelled and all controllers restart: its dependents are cancelled at once and their entries
// are eventually removed, and the thirty jobs run one after the other.
func TestManyDependentsAndALongChain(t *testing.T) {
	t.Parallel()
	w := staffed(t, 940, 1, func(w *world) {
		w.limits.ValueBytes, w.limits.TxnOps, w.limits.WriteRPS = 2048, 4, 15
		w.runS = 2 * sec
	})
	teams := []string{"red", "blue", "green"}
	w.submit(spec("job-001000", "red", wire.ShapeBatch, 500)) // still runs when it is cancelled
	w.run(2 * sec)
	var needs []string
	for i := 1; i <= 300; i++ {
		id, on := fmt.Sprintf("job-%06d", 1000+i), "job-001000"
		if i%10 == 0 {
			on = fmt.Sprintf("job-%06d", 1000+i-1)
		}
		w.submit(after(spec(id, teams[i%3], wire.ShapeBatch, 1), on))
		needs = append(needs, id)
		w.run(300 * time.Millisecond)
	}
	w.submit(spec("job-002000", "red", wire.ShapeBatch, 1))
	w.run(sec)
	last := ""
	for i := 1; i < 30; i++ {
		last = fmt.Sprintf("job-%06d", 2000+i)
		w.submit(after(spec(last, teams[i%3], wire.ShapeBatch, 1), fmt.Sprintf("job-%06d", 2000+i-1)))
		w.run(300 * time.Millisecond)
	}
	if n := len(w.nodes["c1"].core.waitingJobs); n < 300 {
		t.Fatalf("%d jobs wait, want at least 300", n)
	}
	confirmed := false
	w.cancelAt("c1", "job-001000", func() {
		confirmed = true
		w.at(time.Millisecond, func() {
			for i := 0; i < 300; i += 7 {
				for _, n := range sortedKeys(w.nodes) {
					w.ask(n, func(q uint64) any { return Poll{Req: q, ID: needs[i]} }, func(a Answer) {
						if st, _ := a.Body.(wire.JobStatus); a.Status != 503 && st.Status != wire.JobAborted {
							t.Errorf("%s answers %d %s for %s", n, a.Status, st.Status, needs[i])
						}
					})
				}
			}
			w.at(200*time.Millisecond, func() { w.bounce(4*sec, sortedKeys(w.nodes)...) })
		})
	})
	w.run(w.cancelS)
	if !confirmed {
		t.Fatal("the cancellation was not confirmed")
	}
	for id, got := range w.statusesAtAllNodes(needs) {
		if !slices.Equal(got, []string{wire.JobAborted}) {
			t.Errorf("%s: status %v after cancel_s, want aborted", id, got)
		}
	}
	w.until(400*sec, func() bool { return w.check.Final(last) != "" && len(w.nodes["c0"].core.waitingJobs) == 0 })
	if got := w.check.Final(last); got != wire.JobDone {
		t.Errorf("the last of the thirty jobs is %q, want done", got)
	}
	for _, n := range sortedKeys(w.nodes) {
		if left := w.nodes[n].core.waitingJobs; len(left) > 0 {
			t.Errorf("%s: %d jobs are still listed as waiting", n, len(left))
		}
	}
}
