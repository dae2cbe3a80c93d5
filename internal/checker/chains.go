package checker

import "github.com/barrowbridge/barrowbridge/wire"

// ancestors lists the jobs that a job needs, directly or through others, each once, in the order
// in which they are named. One that nobody submitted is listed with a nil job.
func (c *Checker) ancestors(id string) (names []string) {
	seen := map[string]bool{id: true}
	for next := []string{id}; len(next) > 0; next = next[1:] {
		j := c.jobs[next[0]]
		if j == nil {
			continue
		}
		for _, p := range j.spec.Predecessors {
			if !seen[p] {
				seen[p] = true
				names, next = append(names, p), append(next, p)
			}
		}
	}
	return names
}

// dependents lists the jobs that need a job, directly or through others, each once.
func (c *Checker) dependents(id string) (names []string) {
	seen := map[string]bool{id: true}
	for next := []string{id}; len(next) > 0; next = next[1:] {
		for _, d := range c.after[next[0]] {
			if !seen[d] {
				seen[d] = true
				names, next = append(names, d), append(next, d)
			}
		}
	}
	return names
}

// acceptable judges the first acceptance of a job: it may name accepted jobs only, no service, not
// itself. Of a job whose submission is under way nobody can say yet that it was never accepted.
func (c *Checker) acceptable(now Time, id string, j *job) {
	if j.accepted != never {
		return
	}
	for _, p := range j.spec.Predecessors {
		a := c.jobs[p]
		switch {
		case p == id:
			c.fail(now, Invented, "%s, which needs itself, is accepted", id)
		case a == nil || a.accepted == never && a.refused:
			c.fail(now, Invented, "%s is accepted and needs %s, which never was", id, p)
		case *a.spec.Shape == wire.ShapeService:
			c.fail(now, Invented, "%s is accepted and needs %s, which is a service", id, p)
		}
	}
}

// cancelled is when a job's user had been told that it, or a job before it, is cancelled; never: not
// told. One that is accepted later counts from its acceptance.
func (c *Checker) cancelled(id string, j *job) Time {
	at := j.aborts
	for _, a := range c.ancestors(id) {
		if b := c.jobs[a]; b != nil && b.aborts != never {
			at = min(at, max(b.aborts, j.accepted))
		}
	}
	return at
}

// cancellable tells whether a job may be called cancelled: a user asked for it, of this job or of one
// before it, and was not told that that one is done.
func (c *Checker) cancellable(id string, j *job) bool {
	if j.aborted {
		return true
	}
	for _, a := range c.ancestors(id) {
		if b := c.jobs[a]; b != nil && b.aborted && b.final != wire.JobDone {
			return true
		}
	}
	return false
}

// outlived reports a job called queued or running, to one who asked more than the time for
// cancellations after a job before it was cancelled.
func (c *Checker) outlived(now, asked Time, id string, j *job, status string) {
	if j.orphaned || len(j.spec.Predecessors) == 0 {
		return
	}
	if at := c.cancelled(id, j); at != never && j.final == "" && asked > at+c.p.Cancel {
		j.orphaned = true
		c.fail(now, Orphaned, "%s is %s %v after a job before it was cancelled", id, status, asked-at)
	}
}

// ended judges the jobs after one of which a user has heard the end for the first time: none of
// them has begun if it is cancelled, none is cancelled on its account if it is done.
func (c *Checker) ended(now Time, id, status string) {
	for _, name := range c.dependents(id) {
		d := c.jobs[name]
		switch {
		case status == wire.JobAborted && d.begun != never:
			c.startedEarly(now, d, "%s has begun and %s, which it needs, is cancelled", name, id)
		case status == wire.JobDone && d.final == wire.JobAborted && !c.cancellable(name, d):
			c.fail(now, WentBack, "%s was called cancelled and %s, which it needs, is done", name, id)
		}
	}
}

// inOrder judges the start of a task: all that its job needs is done, and nothing that needs its
// job has begun, since a job that is done starts no task.
func (c *Checker) inOrder(now Time, id string, j *job, task string) {
	for _, a := range c.ancestors(id) {
		if b := c.jobs[a]; b == nil || b.doneAt == never || b.aborts != never || c.anywhere(now, b) {
			c.startedEarly(now, j, "%s starts and %s, which it needs, is not done", task, a)
		}
	}
	for _, name := range c.dependents(id) {
		if d := c.jobs[name]; d.begun != never {
			c.startedEarly(now, d, "%s has begun and %s, which it needs, starts", name, task)
		}
	}
}

// anywhere tells whether a task of a job may be on a machine.
func (c *Checker) anywhere(now Time, j *job) bool {
	for p := range j.on {
		if c.here(p.machine, now) {
			return true
		}
	}
	return false
}

// startedEarly reports a job's early start once.
func (c *Checker) startedEarly(now Time, j *job, format string, a ...any) {
	if !j.early {
		j.early = true
		c.fail(now, TooEarly, format, a...)
	}
}

// ready is from when on a job is one like any: when it was accepted, or when the last job that it
// needs was done; never: not yet.
func (c *Checker) ready(id string, j *job) Time {
	at := j.accepted
	for _, a := range c.ancestors(id) {
		b := c.jobs[a]
		if b == nil || b.doneAt == never {
			return never
		}
		at = max(at, b.doneAt)
	}
	return at
}
