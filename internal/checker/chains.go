package checker

import "github.com/barrowbridge/barrowbridge/wire"

// ancestors returns the IDs of the direct and indirect predecessors of a job, each once, in
// breadth-first order. They include IDs that were never submitted, for which c.jobs has no entry.
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

// dependents returns the IDs of the direct and indirect dependents of a job, each once.
func (c *Checker) dependents(id string) (names []string) {
	seen := map[string]bool{id: true}
	for next := []string{id}; len(next) > 0; next = next[1:] {
		for _, d := range c.directDependents[next[0]] {
			if !seen[d] {
				seen[d] = true
				names, next = append(names, d), append(next, d)
			}
		}
	}
	return names
}

// checkAcceptance checks the first acceptance of a job: its predecessors must be accepted jobs, must not
// be services and must not include the job itself. A predecessor whose submission is in flight is
// not a violation, because it may have been accepted already.
func (c *Checker) checkAcceptance(now Time, id string, j *job) {
	if j.acceptedAt != never {
		return
	}
	for _, p := range j.spec.Predecessors {
		a := c.jobs[p]
		switch {
		case p == id:
			c.fail(now, Invented, "%s, which needs itself, is accepted", id)
		case a == nil || a.acceptedAt == never && a.refused:
			c.fail(now, Invented, "%s is accepted and needs %s, which never was", id, p)
		case *a.spec.Shape == wire.ShapeService:
			c.fail(now, Invented, "%s is accepted and needs %s, which is a service", id, p)
		}
	}
}

// cancelledAt returns when a user was first told that a job or one of its ancestors is cancelled, or
// never. For a job that was accepted after the cancellation of an ancestor, it is the time of the
// job's acceptance.
func (c *Checker) cancelledAt(id string, j *job) Time {
	at := j.cancelledAt
	for _, a := range c.ancestors(id) {
		if b := c.jobs[a]; b != nil && b.cancelledAt != never {
			at = min(at, max(b.cancelledAt, j.acceptedAt))
		}
	}
	return at
}

// cancellable reports whether a job may be reported as cancelled: a user requested cancellation of
// the job, or of an ancestor that no user was told is done.
func (c *Checker) cancellable(id string, j *job) bool {
	if j.cancelRequested {
		return true
	}
	for _, a := range c.ancestors(id) {
		if b := c.jobs[a]; b != nil && b.cancelRequested && b.finalStatus != wire.JobDone {
			return true
		}
	}
	return false
}

// checkOrphaned records a violation, once per job, if a job is reported as queued or running in answer to a
// request sent more than Params.Cancel after the cancellation of an ancestor.
func (c *Checker) checkOrphaned(now, asked Time, id string, j *job, status string) {
	if j.orphanReported || len(j.spec.Predecessors) == 0 {
		return
	}
	if at := c.cancelledAt(id, j); at != never && j.finalStatus == "" && asked > at+c.params.Cancel {
		j.orphanReported = true
		c.fail(now, Orphaned, "%s is %s %v after a job before it was cancelled", id, status, asked-at)
	}
}

// checkDependents checks the dependents of a job when a user is first told its final status: if the job is
// cancelled, none of them may have started; if it is done, none may have been cancelled because of it.
func (c *Checker) checkDependents(now Time, id, status string) {
	for _, name := range c.dependents(id) {
		d := c.jobs[name]
		switch {
		case status == wire.JobAborted && d.startedAt != never:
			c.reportEarlyStart(now, d, "%s has begun and %s, which it needs, is cancelled", name, id)
		case status == wire.JobDone && d.finalStatus == wire.JobAborted && !c.cancellable(name, d):
			c.fail(now, WentBack, "%s was called cancelled and %s, which it needs, is done", name, id)
		}
	}
}

// checkStartOrder checks the start of a task: all ancestors of its job must be done, and no dependent of its
// job may have started, because a job that is done does not start tasks.
func (c *Checker) checkStartOrder(now Time, id string, j *job, task string) {
	for _, a := range c.ancestors(id) {
		if b := c.jobs[a]; b == nil || b.doneAt == never || b.cancelledAt != never || c.mayRun(now, b) {
			c.reportEarlyStart(now, j, "%s starts and %s, which it needs, is not done", task, a)
		}
	}
	for _, name := range c.dependents(id) {
		if d := c.jobs[name]; d.startedAt != never {
			c.reportEarlyStart(now, d, "%s has begun and %s, which it needs, starts", name, task)
		}
	}
}

// mayRun reports whether a task of a job may still be on a machine.
func (c *Checker) mayRun(now Time, j *job) bool {
	for p := range j.placements {
		if c.mayRunOn(p.machine, now) {
			return true
		}
	}
	return false
}

// reportEarlyStart records a violation of TooEarly, once per job.
func (c *Checker) reportEarlyStart(now Time, j *job, format string, a ...any) {
	if !j.earlyReported {
		j.earlyReported = true
		c.fail(now, TooEarly, format, a...)
	}
}

// readyAt returns when a job could first start: when it was accepted or when the last of its ancestors
// was done, whichever is later. It returns never if an ancestor is not done.
func (c *Checker) readyAt(id string, j *job) Time {
	at := j.acceptedAt
	for _, a := range c.ancestors(id) {
		b := c.jobs[a]
		if b == nil || b.doneAt == never {
			return never
		}
		at = max(at, b.doneAt)
	}
	return at
}
