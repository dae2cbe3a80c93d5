package core

import (
	"time"

	"github.com/barrowbridge/barrowbridge/internal/standin/worker"
	"github.com/barrowbridge/barrowbridge/wire"
)

func ptr[T any](v T) *T { return &v }

func spec(id, team, shape string, tasks int) wire.JobSpec {
	return wire.JobSpec{ID: &id, Class: ptr("any"), Team: &team, Shape: &shape, Priority: ptr("normal"), Tasks: ptr(int64(tasks)),
		CPUs: ptr(1.0), GPUs: ptr(0.0), MemoryGB: ptr(2.0), OneZone: ptr(false), Spread: ptr(false), Spot: ptr(true),
		Image: ptr("img"), ImageGB: ptr(1.0), EstimateS: ptr(5.0), CheckpointEvery: ptr(0.0), SaveS: ptr(0.0), DueS: ptr(120.0)}
}

// upload makes a job known to the workers and the checker.
func (w *world) upload(s wire.JobSpec) {
	w.jobs[*s.ID] = &userJob{spec: s}
	w.check.Submitting(s)
	rec, err := s.Validate()
	if err != nil {
		w.t.Fatal(err)
	}
	job := worker.FromRecord(rec, func(i int) time.Duration {
		if w.taskRuns != nil {
			return w.taskRuns(i)
		}
		return w.runS + time.Duration(i*977%4000)*time.Millisecond
	})
	job.Fails = w.fails[*s.ID]
	w.work.Upload(*s.ID, job)
}

// submit repeats a submission, at a random node each time, until it gets a final answer. It
// calls then after the job was accepted.
func (w *world) submit(s wire.JobSpec, then ...func()) {
	w.upload(s)
	w.send(func(id uint64) any { return Submit{Req: id, Spec: s} }, func(a Answer, asked time.Duration) bool {
		st, _ := a.Body.(wire.JobStatus)
		w.check.Submitted(w.now, asked, *s.ID, a.Status, st)
		for _, f := range then {
			if a.Status < 300 {
				f()
			}
		}
		if len(s.Predecessors) > 0 && (a.Status == 400 || a.Status == 422) { // its predecessors are accepted jobs, so it is valid
			w.t.Errorf("%v: submission of %s with predecessors %v was refused with %d: %v", w.now, *s.ID, s.Predecessors, a.Status, a.Body)
		}
		return a.Status < 429
	})
}

// send repeats a request, at a random node each time, until ok accepts its answer. It repeats it
// 1 s after another answer and 5 s after no answer. ok also gets the time of the request.
func (w *world) send(in func(uint64) any, ok func(Answer, time.Duration) bool) {
	names := sortedKeys(w.nodes)
	n := names[w.rng.IntN(len(names))]
	settled, asked := false, w.now
	again := func() {
		if !settled {
			settled = true
			w.send(in, ok)
		}
	}
	w.at(5*time.Second, again)
	w.ask(n, in, func(a Answer) {
		if !settled && ok(a, asked) {
			settled = true
			w.repeat(func() { w.ask(n, in, func(Answer) {}) })
		} else {
			w.at(time.Second, again)
		}
	})
}

func (w *world) abort(id string) {
	w.send(func(q uint64) any {
		w.check.Aborting(id) // on each attempt: at the first one the job may not exist yet
		return Abort{Req: q, ID: id}
	}, func(a Answer, asked time.Duration) bool {
		w.aborted(id, a, asked)
		// The answer is 404 also while the job's submission is still being repeated. If that
		// were accepted as final, a service could run forever and use up its team's limit.
		return a.Status == 200 || a.Status == 404 && w.jobs[id] == nil
	})
}

func (w *world) aborted(id string, a Answer, asked time.Duration) {
	st, _ := a.Body.(wire.JobStatus)
	w.check.Aborted(w.now, asked, id, a.Status, st)
}

// poll asks a node for the status of a job and passes the answer to the checker.
func (w *world) poll(node, id string) {
	asked := w.now
	w.ask(node, func(q uint64) any { return Poll{Req: q, ID: id} }, func(a Answer) {
		st, _ := a.Body.(wire.JobStatus)
		w.check.Polled(w.now, asked, id, a.Status, st)
	})
}

// pollAll polls a random third of all pairs of jobs and nodes, now and every 3 s.
func (w *world) pollAll() {
	for _, id := range sortedKeys(w.jobs) {
		for _, n := range sortedKeys(w.nodes) {
			if w.rng.IntN(3) == 0 {
				w.poll(n, id)
			}
		}
	}
	w.at(3*time.Second, w.pollAll)
}

// askAll polls each job at each controller once and waits 1 s for the answers.
func (w *world) askAll() {
	for _, id := range sortedKeys(w.jobs) {
		for _, n := range sortedKeys(w.nodes) {
			w.poll(n, id)
		}
	}
	w.run(sec)
}

// unfinished lists the batch jobs that have no final status yet.
func (w *world) unfinished() (out []string) {
	for _, id := range sortedKeys(w.jobs) {
		if j := w.jobs[id]; *j.spec.Shape == wire.ShapeBatch && w.check.Final(id) == "" {
			out = append(out, id)
		}
	}
	return out
}

// holderOf returns the holder of the shard that a machine's stored block belongs to, or "".
func (w *world) holderOf(machine string) (holder string) {
	w.store.Scan(wire.PrefixBlock, func(it wire.Item) {
		var b wire.Block
		_ = wire.Unmarshal(it.Value, &b)
		for _, m := range b.Machines {
			if m.Name == machine {
				var s wire.Shard
				_ = wire.Unmarshal(w.key(shardKey(b.Shard)).Value, &s)
				holder = s.Holder
			}
		}
	})
	return holder
}
