package checker

import (
	"strings"
	"testing"

	"github.com/barrowbridge/barrowbridge/wire"
)

// violatedChainRules returns the rules that chainViolations found violated.
func violatedChainRules(unfinished bool, f func(c *Checker)) map[string]bool {
	out := map[string]bool{}
	for _, v := range chainViolations(unfinished, f) {
		out[v.Rule] = true
	}
	return out
}

// chainViolations returns the violations found in a run in which job-1 (one task) is done at 9 s, unless unfinished
// is set, and then the events of f follow. job-2 needs job-1, and job-3 needs job-2.
func chainViolations(unfinished bool, f func(c *Checker)) []Violation {
	c := New(Params{Teams: map[string]Limit{"red": {CPUs: 9}}, Cancel: 40 * sec})
	c.MachineUp(Machine{"a1", "std", "a", false})
	acceptJob(c, 1, "job-1")
	acceptJob(c, 1, "job-2", "job-1")
	acceptJob(c, 1, "job-3", "job-2")
	c.TaskStarted(2*sec, "a1", "job-1/0", 1)
	if !unfinished {
		c.TaskLeft(9*sec, "a1", "job-1/0", wire.CauseDone)
	}
	f(c)
	return c.Finish(200 * sec)
}

// acceptJob submits a job that needs others, and has it accepted at now seconds.
func acceptJob(c *Checker, now Time, id string, needs ...string) {
	s := spec(id, 1)
	s.Predecessors = needs
	c.Submitting(s)
	c.Submitted(now*sec, (now-1)*sec, id, 201, status(wire.JobQueued))
}

func status(s string) wire.JobStatus { return wire.JobStatus{Status: s} }

// cancelJob sends a request to cancel a job, which is answered with a status at now seconds.
func cancelJob(c *Checker, now Time, id, answer string) {
	c.Aborting(id)
	c.Aborted(now*sec, (now-1)*sec, id, 200, status(answer))
}

// runTask starts a task on a1 at from seconds and completes it at to seconds, or not at all if to is 0.
func runTask(c *Checker, from, to Time, task string) {
	c.TaskStarted(from*sec, "a1", task, 1)
	if to > 0 {
		c.TaskLeft(to*sec, "a1", task, wire.CauseDone)
	}
}

// Each case violates one rule on predecessors; the checker must report that rule and no other.
func TestEachRuleOfChainsIsFound(t *testing.T) {
	halt := func(c *Checker) { c.TaskLeft(3*sec, "a1", "job-1/0", wire.CauseHalted) }
	for name, x := range map[string]struct {
		rule       string
		unfinished bool
		f          func(c *Checker)
	}{
		"starts before its predecessor is done":                        {TooEarly, true, func(c *Checker) { runTask(c, 8, 9, "job-2/0") }},
		"starts before its direct predecessor, after the indirect one": {TooEarly, false, func(c *Checker) { runTask(c, 11, 12, "job-3/0") }},
		"starts although refused for an unknown predecessor": {TooEarly, false, func(c *Checker) {
			s := spec("job-4", 1)
			s.Predecessors = []string{"job-98"}
			c.Submitting(s)
			c.Submitted(2*sec, sec, "job-4", 422, status(""))
			runTask(c, 11, 12, "job-4/0")
		}},
		"predecessor starts again because its report was lost": {TooEarly, false, func(c *Checker) { runTask(c, 11, 12, "job-2/0"); runTask(c, 14, 15, "job-1/0") }},
		"starts while its predecessor runs again":              {TooEarly, false, func(c *Checker) { runTask(c, 11, 0, "job-1/0"); runTask(c, 12, 13, "job-2/0") }},
		"predecessor is cancelled after the start":             {TooEarly, false, func(c *Checker) { runTask(c, 11, 12, "job-2/0"); cancelJob(c, 14, "job-1", wire.JobAborted) }},
		"queued too long after the cancellation of its predecessor": {Orphaned, true, func(c *Checker) {
			halt(c)
			cancelJob(c, 5, "job-1", wire.JobAborted)
			c.Polled(47*sec, 46*sec, "job-2", 200, status(wire.JobQueued))
		}},
		"running too long after the cancellation of an indirect predecessor": {Orphaned, true, func(c *Checker) {
			halt(c)
			cancelJob(c, 5, "job-1", wire.JobAborted)
			c.Polled(47*sec, 46*sec, "job-3", 200, status(wire.JobRunning))
		}},
		"accepted after the cancellation of an indirect predecessor": {Orphaned, true, func(c *Checker) {
			halt(c)
			cancelJob(c, 5, "job-1", wire.JobAborted)
			acceptJob(c, 100, "job-4", "job-3")
			c.Polled(142*sec, 141*sec, "job-4", 200, status(wire.JobQueued))
		}},
		"queued again after being cancelled with its predecessor": {WentBack, true, func(c *Checker) {
			halt(c)
			cancelJob(c, 5, "job-1", wire.JobAborted)
			c.Polled(7*sec, 6*sec, "job-2", 200, status(wire.JobAborted))
			c.Polled(9*sec, 8*sec, "job-2", 200, status(wire.JobQueued))
		}},
		"cancelled without a request":              {WentBack, false, func(c *Checker) { c.Polled(12*sec, 11*sec, "job-2", 200, status(wire.JobAborted)) }},
		"cancelled on the request for a dependent": {WentBack, false, func(c *Checker) { c.Aborting("job-3"); c.Polled(12*sec, 11*sec, "job-2", 200, status(wire.JobAborted)) }},
		"cancelled after its predecessor was reported done": {WentBack, false, func(c *Checker) {
			cancelJob(c, 12, "job-1", wire.JobDone)
			c.Polled(14*sec, 13*sec, "job-3", 200, status(wire.JobAborted))
		}},
		"cancelled before its predecessor was reported done": {WentBack, false, func(c *Checker) {
			c.Aborting("job-1")
			c.Polled(14*sec, 13*sec, "job-3", 200, status(wire.JobAborted))
			c.Aborted(15*sec, 11*sec, "job-1", 200, status(wire.JobDone))
		}},
		"needs an unknown job": {Invented, false, func(c *Checker) { acceptJob(c, 10, "job-4", "job-1", "job-98") }},
		"needs itself":         {Invented, false, func(c *Checker) { acceptJob(c, 10, "job-4", "job-4") }},
		"needs a refused job": {Invented, false, func(c *Checker) {
			c.Submitting(spec("job-5", 1))
			c.Submitted(2*sec, sec, "job-5", 422, status(""))
			acceptJob(c, 10, "job-4", "job-5")
		}},
		"needs a service": {Invented, false, func(c *Checker) {
			s := spec("job-5", 1)
			s.Shape = ptr(wire.ShapeService)
			c.Submitting(s)
			c.Submitted(2*sec, sec, "job-5", 201, status(wire.JobQueued))
			acceptJob(c, 10, "job-4", "job-5")
		}},
	} {
		if got := violatedChainRules(x.unfinished, x.f); !got[x.rule] || len(got) != 1 {
			t.Errorf("%s: found %v, want %s alone", name, got, x.rule)
		}
	}
}

// A task of a job whose predecessor is cancelled must not keep running and must not start. In both cases
// the task also started too early, which is reported first.
func TestTasksAfterACancellationBeforeThem(t *testing.T) {
	for name, x := range map[string]struct {
		f    func(c *Checker)
		want []string
	}{
		"stays": {func(c *Checker) { runTask(c, 11, 0, "job-2/0"); cancelJob(c, 12, "job-1", wire.JobAborted) },
			[]string{"job-2 has begun and job-1", "job-2/0 is on a1 3m8s"}},
		"starts": {func(c *Checker) { cancelJob(c, 12, "job-1", wire.JobAborted); runTask(c, 60, 61, "job-2/0") },
			[]string{"job-2/0 starts and job-1", "job-2/0 starts on a1 48s", "job-2/0 is on a1 49s"}},
		"accepted after the cancellation, starts": {func(c *Checker) {
			cancelJob(c, 12, "job-1", wire.JobAborted)
			acceptJob(c, 50, "job-4", "job-1")
			runTask(c, 91, 92, "job-4/0")
		}, []string{"job-4/0 starts and job-1", "job-4/0 starts on a1 41s", "job-4/0 is on a1 42s"}},
	} {
		got := chainViolations(false, x.f)
		for i, w := range x.want {
			if i >= len(got) || !strings.HasPrefix(got[i].What, w) || got[i].Rule != map[bool]string{true: TooEarly, false: RanCancelled}[i == 0] {
				t.Errorf("%s: found %v, want %q", name, got, w)
			}
		}
		if len(got) != len(x.want) {
			t.Errorf("%s: found %v", name, got)
		}
	}
}

// Runs with predecessors that the protocol allows must cause no violation.
func TestAllowedOfChains(t *testing.T) {
	for name, f := range map[string]func(c *Checker){
		"starts in order":                   func(c *Checker) { runTask(c, 11, 13, "job-2/0"); runTask(c, 14, 16, "job-3/0") },
		"cancel request answered with done": func(c *Checker) { cancelJob(c, 12, "job-1", wire.JobDone); runTask(c, 14, 16, "job-2/0") },
		"cancelled with its predecessor": func(c *Checker) {
			cancelJob(c, 12, "job-2", wire.JobAborted)
			c.Polled(20*sec, 19*sec, "job-3", 200, status(wire.JobAborted))
		},
		"reported cancelled before the cancel request is answered": func(c *Checker) {
			c.Aborting("job-2")
			c.Polled(12*sec, 11*sec, "job-3", 200, status(wire.JobAborted))
			c.Aborted(14*sec, 11*sec, "job-2", 200, status(wire.JobAborted))
		},
		"queued within the time for cancellations": func(c *Checker) {
			cancelJob(c, 12, "job-2", wire.JobAborted)
			c.Polled(51*sec, 50*sec, "job-3", 200, status(wire.JobQueued))
		},
		"late answer to a poll sent in time": func(c *Checker) {
			cancelJob(c, 12, "job-2", wire.JobAborted)
			c.Polled(99*sec, 50*sec, "job-3", 200, status(wire.JobQueued))
		},
		"needs a job that is cancelled already": func(c *Checker) {
			cancelJob(c, 12, "job-2", wire.JobAborted)
			acceptJob(c, 100, "job-4", "job-2")
			c.Polled(139*sec, 138*sec, "job-4", 200, status(wire.JobQueued))
			c.Polled(150*sec, 149*sec, "job-4", 200, status(wire.JobAborted))
		},
		"needs a job that was refused and is submitted again": func(c *Checker) {
			c.Submitting(spec("job-5", 1))
			c.Submitted(2*sec, sec, "job-5", 422, status(""))
			c.Submitting(spec("job-5", 1))
			acceptJob(c, 10, "job-4", "job-5")
			acceptJob(c, 12, "job-5")
		},
		"needs a job whose submission is in flight": func(c *Checker) {
			c.Submitting(spec("job-5", 1))
			acceptJob(c, 10, "job-4", "job-5")
			acceptJob(c, 12, "job-5")
		},
	} {
		if got := violatedChainRules(false, f); len(got) != 0 {
			t.Errorf("%s: found %v", name, got)
		}
	}
}

// The wait of a job for its predecessors does not count against Served; its wait after they are done does.
func TestServedAfterItsPredecessors(t *testing.T) {
	for _, x := range []struct {
		done, begun Time
		worst       float64
		served      int
	}{{500, 510, 10, 1}, {500, 800, 300, 0}, {500, 0, 400, 0}, {0, 0, 0, -1}} {
		c := New(Params{Teams: map[string]Limit{"red": {CPUs: 9}}})
		c.MachineUp(Machine{"a1", "std", "a", false})
		acceptJob(c, 1, "job-1")
		acceptJob(c, 1, "job-2", "job-1")
		*c.jobs["job-2"].spec.Class = "late"
		if x.done > 0 {
			runTask(c, 2, x.done, "job-1/0")
		}
		if x.begun > 0 {
			runTask(c, x.begun, 0, "job-2/0")
		}
		got := -1
		for _, g := range c.Served(900 * sec) {
			if g.Name == "class late" {
				if got = g.Served; g.WorstS != x.worst {
					t.Errorf("%+v: worst wait %g s", x, g.WorstS)
				}
			}
		}
		if got != x.served {
			t.Errorf("%+v: %d jobs served", x, got)
		}
	}
}
