package core

import (
	"fmt"
	"testing"

	"github.com/barrowbridge/barrowbridge/internal/tuning"
	"github.com/barrowbridge/barrowbridge/wire"
)

// After one controller has confirmed an abort to a user, another controller whose watch lags behind
// must also report the job as aborted: a poll is never answered from an outdated mirror.
func TestPollIsAsFreshAsWhatAnotherControllerHasTold(t *testing.T) {
	t.Parallel()
	w := newWorld(t, 9, 3)
	for i := range 4 {
		w.addMachine([]string{"n", "s"}[i%2], false, sec)
	}
	w.run(20 * sec)
	s := spec("job-000001", "red", wire.ShapeService, 1)
	s.Priority, s.DueS = ptr("urgent"), nil
	w.submit(s)
	w.run(5 * sec)
	w.watchLag = 1200 * 1e6
	w.run(2 * sec)
	answers := map[string]string{}
	for _, n := range []string{"c1", "c2"} {
		w.ask("c0", func(id uint64) any { return Abort{Req: id, ID: "job-000001"} }, func(a Answer) {
			if a.Status != 200 {
				t.Fatalf("abort: %+v", a)
			}
			w.ask(n, func(id uint64) any { return Poll{Req: id, ID: "job-000001"} }, func(a Answer) { answers[n] = fmt.Sprint(a.Status, " ", a.Body.(wire.JobStatus).Status) })
		})
	}
	w.run(2 * sec)
	for _, n := range []string{"c1", "c2"} {
		if answers[n] != "200 aborted" {
			t.Errorf("%s answers %q, want 200 aborted", n, answers[n])
		}
	}
}

// Concurrent polls of any number of jobs must share one read of the state service.
func TestPollsShareOneLookAtTheState(t *testing.T) {
	t.Parallel()
	w := newWorld(t, 10, 3)
	w.addMachine("n", false, sec)
	w.run(20 * sec)
	const jobs = 60
	for i := range jobs {
		w.submit(spec(fmt.Sprintf("job-%06d", i), "red", wire.ShapeBatch, 50))
	}
	w.run(5 * sec)
	before, answered := w.reached["c1"], 0
	for i := range jobs {
		w.ask("c1", func(id uint64) any { return Poll{Req: id, ID: fmt.Sprintf("job-%06d", i)} }, func(a Answer) {
			if answered++; a.Status != 200 {
				t.Errorf("poll: %+v", a)
			}
		})
	}
	w.run(4 * tuning.PollReadInterval)
	calls := w.reached["c1"] - before // includes the controller's other calls
	if answered != jobs || calls > 20 {
		t.Errorf("%d of %d polls answered with %d state calls, want at most 20 calls", answered, jobs, calls)
	}
}
