package core

import (
	"testing"
	"time"

	"github.com/barrowbridge/barrowbridge/wire"
)

// countErrors runs the world for the duration d and returns how many attempts of a job failed.
func (w *world) countErrors(id string, d time.Duration) (errors int) {
	seen := map[string]bool{}
	for end := w.now + d; w.now < end; {
		w.run(200 * time.Millisecond)
		for _, name := range w.order {
			for _, t := range w.machines[name].tasks() {
				if job, _, _ := wire.ParseTask(t.Task); job == id && t.Status == wire.TaskEnded && t.Cause == wire.CauseError {
					if k := name + t.Task + time.Duration(t.Attempt).String(); !seen[k] {
						seen[k] = true
						errors++
					}
				}
			}
		}
	}
	return errors
}

// An array of 400 tasks, an urgent service and a gang whose tasks always fail. After the first
// attempts each may be retried only a few times in ten minutes. No machine may be returned or
// rented because of them, other jobs must progress, and the next holder of the shard must not
// start over with the retries.
func TestMistakenJobsAreTriedRarely(t *testing.T) {
	t.Parallel()
	w := newWorld(t, 41, 2, func(w *world) {
		w.teams = map[string]Team{"red": {CPUs: 12, CPUsMax: 40}, "blue": {CPUs: 4, CPUsMax: 8}}
		w.capacity = 20
	})
	for range 6 {
		w.addMachine("n", false, sec)
	}
	w.run(4 * sec)
	w.submit(spec("job-000001", "red", wire.ShapeBatch, 12)) // tasks that succeed, on all machines
	w.pollAll()
	w.run(20 * sec)
	for _, s := range []wire.JobSpec{spec("job-000002", "red", wire.ShapeBatch, 400), spec("job-000003", "red", wire.ShapeService, 1), spec("job-000004", "red", wire.ShapeGang, 3)} {
		w.fails[*s.ID] = true
		s.DueS = nil
		if *s.ID == "job-000003" {
			s.Priority = ptr("urgent")
		}
		w.submit(s)
	}
	w.run(30 * sec) // the first attempts
	w.submit(spec("job-000005", "red", wire.ShapeBatch, 20))
	if n := w.countErrors("job-000002", 60*sec); n > 6 {
		t.Errorf("the array failed %d times in a minute, want at most 6", n)
	}
	if w.check.Final("job-000005") != wire.JobDone {
		t.Error("a job without failures waits for the failing ones")
	}
	before := len(w.order)
	for _, n := range sortedKeys(w.nodes) {
		if c := w.nodes[n].core; c.holdsShard(c.shardOfTeam("red")) {
			w.kill(n)
			break
		}
	}
	if n := w.countErrors("job-000002", 60*sec); n > 4 {
		t.Errorf("after the takeover the array failed %d times in a minute, want at most 4", n)
	}
	if n := w.countErrors("job-000003", 600*sec); n > 8 {
		t.Errorf("the urgent service failed %d times in ten minutes, want at most 8", n)
	}
	if len(w.order) > before {
		t.Errorf("%d machines were rented meanwhile", len(w.order)-before)
	}
	for _, name := range w.order[:6] { // the others were rented for other jobs and are returned when idle
		if w.machines[name].gone {
			t.Errorf("%s was returned to the cloud", name)
		}
	}
	for _, id := range []string{"job-000002", "job-000003", "job-000004"} {
		w.abort(id)
	}
	w.run(10 * sec)
}

// A machine on which every task fails must be detected even if it first ran a job whose tasks fail
// everywhere, once tasks of other jobs have failed on it.
func TestFaultyMachineAmongMistakenJobs(t *testing.T) {
	t.Parallel()
	w := newWorld(t, 42, 1, func(w *world) { w.teams = map[string]Team{"red": {CPUs: 40, CPUsMax: 40}} })
	sick := w.addMachine("n", false, sec)
	w.machines[sick].sick = true
	for range 3 {
		w.addMachine("n", false, sec)
	}
	w.run(4 * sec)
	w.fails["job-000001"] = true
	w.submit(spec("job-000001", "red", wire.ShapeBatch, 4))
	w.submit(spec("job-000002", "red", wire.ShapeBatch, 30))
	w.pollAll()
	w.run(90 * sec)
	if !w.machines[sick].gone || w.check.Final("job-000002") != wire.JobDone {
		t.Errorf("faulty machine gone: %v, want true; status of the other job: %q, want done", w.machines[sick].gone, w.check.Final("job-000002"))
	}
	w.abort("job-000001")
	w.run(5 * sec)
}
