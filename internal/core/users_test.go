package core

import (
	"fmt"
	"testing"

	"github.com/barrowbridge/barrowbridge/internal/tuning"
	"github.com/barrowbridge/barrowbridge/wire"
)

// A user who has been told of an abort by one controller is told the same by another,
// whose own watch lags behind: a poll is never answered from an old mirror.
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
	told := map[string]string{}
	for _, n := range []string{"c1", "c2"} {
		w.ask("c0", func(id uint64) any { return Abort{Req: id, ID: "job-000001"} }, func(a Answer) {
			if a.Status != 200 {
				t.Fatalf("abort: %+v", a)
			}
			w.ask(n, func(id uint64) any { return Poll{Req: id, ID: "job-000001"} }, func(a Answer) { told[n] = fmt.Sprint(a.Status, " ", a.Body.(wire.JobStatus).Status) })
		})
	}
	w.run(2 * sec)
	for _, n := range []string{"c1", "c2"} {
		if told[n] != "200 aborted" {
			t.Errorf("%s says %q", n, told[n])
		}
	}
}

// However many jobs are asked for, the state service is asked once.
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
	calls := w.reached["c1"] - before // what goes on beside it included
	if answered != jobs || calls > 20 {
		t.Errorf("%d of %d answered by %d calls", answered, jobs, calls)
	}
}
