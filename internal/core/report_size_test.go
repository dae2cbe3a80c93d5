package core

import (
	"fmt"
	"testing"
	"time"

	"github.com/barrowbridge/barrowbridge/internal/reportsize"
	"github.com/barrowbridge/barrowbridge/wire"
)

// tiny turns a job's tasks into ones so small that thousands of them fit on a machine.
func tiny(s wire.JobSpec) wire.JobSpec {
	s.CPUs, s.MemoryGB, s.ImageGB, s.DueS = ptr(0.0018), ptr(0.0018), ptr(0.2), nil
	return s
}

// checkReport fails the test if a report is, or may become, larger than the protocol allows.
func (w *world) checkReport(r *wire.Report) {
	if !w.oversized {
		w.check.Reported(w.now, r.Machine, r)
	}
	w.largestReport = max(w.largestReport, len(r.Attempts))
	if bound := reportsize.Bound(r); bound > reportsize.Limit && !w.oversized {
		w.t.Fatalf("%v: the report of %s lists %d attempts, and may become as large as %d bytes", w.now, r.Machine, len(r.Attempts), bound)
	}
}

// smallTasksWorld returns a deployment of six owned machines.
func smallTasksWorld(t testing.TB, seed uint64) *world {
	w := newWorld(t, seed, 3, func(w *world) { w.capacity = 0 })
	for i := range 6 {
		w.addMachine([]string{"n", "s"}[i%2], false, sec)
	}
	w.pollAll()
	w.run(8 * sec)
	return w
}

// Guards against machines that are given more tasks than their worker can report: every report was
// refused, the lease ended, and all tasks on the machine with it.
func TestSmallTasksFitIntoReports(t *testing.T) {
	t.Parallel()
	long := "job-%018d"
	for name, jobs := range map[string][]wire.JobSpec{
		"one array": {spec("job-000402", "red", wire.ShapeBatch, 4000)},
		"the longest ids, two teams, services and gangs": {
			spec(fmt.Sprintf(long, uint64(999999999999999990)), "red", wire.ShapeBatch, 1500),
			spec(fmt.Sprintf(long, uint64(999999999999999991)), "red", wire.ShapeGang, 300),
			spec(fmt.Sprintf(long, uint64(999999999999999992)), "red", wire.ShapeService, 300),
			spec(fmt.Sprintf(long, uint64(999999999999999993)), "blue", wire.ShapeBatch, 1500),
		},
	} {
		for _, takeover := range []bool{false, true} {
			t.Run(fmt.Sprint(name, ", takeover ", takeover), func(t *testing.T) {
				t.Parallel()
				w := smallTasksWorld(t, 402)
				replica := spec("job-000401", "red", wire.ShapeService, 1)
				replica.Priority, replica.DueS = ptr("urgent"), nil
				w.submit(replica)
				for _, s := range jobs {
					w.submit(tiny(s))
				}
				w.run(5 * sec)
				if takeover {
					w.bounce(700*time.Millisecond, w.shardRec("red").Holder)
				}
				w.until(150*sec, func() bool { return w.unfinished() == nil })
				if u := w.unfinished(); u != nil {
					t.Errorf("not done: %v", u)
				}
				if w.lostWithLease > 0 {
					t.Errorf("%d tasks were killed with their worker's lease", w.lostWithLease)
				}
				if w.largestReport < 400 {
					t.Errorf("at most %d attempts on a machine: far fewer than fit into a report", w.largestReport)
				}
			})
		}
	}
}

// Guards against a machine that an earlier version has given more than fits into a report: it must
// come below the limit without losing the rest, and above all not the replica that counts most.
func TestAReportBeyondTheLimitShrinks(t *testing.T) {
	t.Parallel()
	w := newWorld(t, 403, 3, func(w *world) { w.capacity, w.runS, w.oversized = 0, 60*sec, true })
	name := w.addMachine("n", false, sec)
	w.pollAll()
	w.run(8 * sec)
	replica := spec("job-000401", "red", wire.ShapeService, 1)
	replica.Priority, replica.DueS = ptr("urgent"), nil
	w.submit(replica)
	array := tiny(spec("job-000402", "red", wire.ShapeBatch, 2000))
	w.submit(array)
	m := w.machines[name]
	w.until(20*sec, func() bool { return len(m.tasks()) > 500 })
	holder := w.nodes[w.shardRec("red").Holder].core
	e := holder.jobs["job-000402"]
	token := holder.answerToken(holder.machines[name], holder.blocks[holder.machines[name].block])
	w.bounce(700*time.Millisecond, sortedKeys(w.nodes)...)
	var runs []wire.Command // as an earlier version would, which knows no limit
	for _, k := range e.run.retryIndexes {
		runs = append(runs, wire.Command{Verb: wire.VerbRun, Task: wire.TaskName("job-000402", k), Attempt: uint64(k + 1)})
	}
	status, report, out := m.Orders(w.now, wire.Orders{Token: token, Session: w.session(m), Commands: runs})
	w.drive(m, out)
	if status != 200 || !reportsize.Exceeds(&report) {
		t.Fatalf("status %d: the report of %d attempts should be too large", status, len(report.Attempts))
	}
	w.until(20*sec, func() bool { r, _ := m.Inspect(w.now); return reportsize.Bound(&r) <= reportsize.Limit })
	if r, _ := m.Inspect(w.now); reportsize.Bound(&r) > reportsize.Limit || len(r.Attempts) < 400 {
		t.Errorf("after 20 s the report lists %d attempts, before %d", len(r.Attempts), len(report.Attempts))
	}
	if w.lostWithLease > 0 || len(w.check.On("job-000401", w.now)) != 1 {
		t.Errorf("%d tasks were killed with their lease; the replica runs on %v", w.lostWithLease, w.check.On("job-000401", w.now))
	}
	w.until(400*sec, func() bool { return w.unfinished() == nil })
	if u := w.unfinished(); u != nil {
		t.Errorf("not done: %v", u)
	}
}
