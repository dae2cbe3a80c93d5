package worker

import "github.com/barrowbridge/barrowbridge/wire"

// Orders executes direct commands and returns status 200 if the token is not lower than the
// worker's and the session matches, else 409 without executing them. The returned report is
// taken after the commands. Direct commands do not renew the lease.
func (w *Worker) Orders(now Time, o wire.Orders) (int, wire.Report, []any) {
	w.out = nil
	w.play(now)
	status := 409
	if o.Token >= w.token && o.Session == w.session {
		status = 200
		w.seen(now, o.Token)
		w.execute(now, o.Commands)
	}
	return status, w.message(now), w.out
}

// Inspect returns the worker's current report and the effects of the time that has passed.
func (w *Worker) Inspect(now Time) (wire.Report, []any) {
	w.out = nil
	w.play(now)
	return w.message(now), w.out
}

func (w *Worker) execute(now Time, cmds []wire.Command) {
	for _, c := range cmds {
		k := key{c.Task, c.Attempt}
		a := w.attempts[k]
		switch c.Verb {
		case wire.VerbRun:
			if a == nil {
				w.start(now, k, c)
			}
		case wire.VerbStop:
			if a != nil && a.status != wire.TaskEnded {
				w.stop(now, a, c.GraceS)
			}
		case wire.VerbClear:
			if a != nil && a.status == wire.TaskEnded {
				delete(w.attempts, k)
				w.changed = true
			}
		}
	}
	w.settle(now)
}

func (w *Worker) start(now Time, k key, c wire.Command) {
	a := &attempt{key: k, status: wire.TaskPulling}
	w.attempts[k], w.changed = a, true
	refuse := func(cause string) { a.status, a.cause = wire.TaskEnded, cause }
	id, index, err := wire.ParseTask(k.task)
	job, ok := w.work.Job(id)
	if err != nil || !ok || index >= job.Tasks {
		refuse(wire.CauseNoSuch)
		return
	}
	cpus, gpus, mem := job.CPUs, job.GPUs, job.MemoryGB
	for _, o := range w.attempts {
		if o == a || o.status == wire.TaskEnded {
			continue
		}
		if o.key.task == k.task {
			refuse(wire.CauseInUse)
			return
		}
		cpus, gpus, mem = cpus+o.job.CPUs, gpus+o.job.GPUs, mem+o.job.MemoryGB
	}
	const slack = 1e-9 // tolerates rounding errors in sums of decimal numbers
	if t := w.p.Type; cpus > t.CPUs+slack || gpus > t.GPUs+slack || mem > t.MemoryGB+slack {
		refuse(wire.CauseFull)
		return
	}
	a.job, a.index = job, index
	w.out = append(w.out, Ordered{k.task, k.try})
	w.begin(now, &job, c)
}

// stop lets a running task with checkpoints save first if the grace period is long enough. Any
// other task, and a saving task that is stopped again without a grace period, exits at once.
func (w *Worker) stop(now Time, a *attempt, grace *float64) {
	g := 0.0
	if grace != nil {
		g = *grace
	}
	switch {
	case a.status == wire.TaskSaving && g > 0:
	case a.status == wire.TaskRunning && a.job.CheckpointEvery > 0 && g >= a.job.Save.Seconds():
		a.status, a.saveEnd, w.changed = wire.TaskSaving, now+a.job.Save, true
	default:
		w.end(a, wire.CauseHalted)
	}
}
