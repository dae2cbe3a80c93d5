package checker

import (
	"strings"
	"testing"

	"github.com/barrowbridge/barrowbridge/wire"
)

// chain plays a day on which job-1 (one task) is done by 10 s unless undone; job-2 needs it and
// job-3 needs job-2.
func chain(undone bool, f func(c *Checker)) map[string]bool {
	out := map[string]bool{}
	for _, v := range chainDay(undone, f) {
		out[v.Rule] = true
	}
	return out
}

func chainDay(undone bool, f func(c *Checker)) []Violation {
	c := New(Params{Teams: map[string]Limit{"red": {CPUs: 9}}, Cancel: 40 * sec})
	c.MachineUp(Machine{"a1", "std", "a", false})
	accept(c, 1, "job-1")
	accept(c, 1, "job-2", "job-1")
	accept(c, 1, "job-3", "job-2")
	c.TaskStarted(2*sec, "a1", "job-1/0", 1)
	if !undone {
		c.TaskLeft(9*sec, "a1", "job-1/0", wire.CauseDone)
	}
	f(c)
	return c.Finish(200 * sec)
}

func accept(c *Checker, now Time, id string, needs ...string) {
	s := spec(id, 1)
	s.Predecessors = needs
	c.Submitting(s)
	c.Submitted(now*sec, (now-1)*sec, id, 201, status(wire.JobQueued))
}

func status(s string) wire.JobStatus { return wire.JobStatus{Status: s} }

func cancel(c *Checker, now Time, id, answer string) {
	c.Aborting(id)
	c.Aborted(now*sec, (now-1)*sec, id, 200, status(answer))
}

func runs(c *Checker, from, to Time, task string) {
	c.TaskStarted(from*sec, "a1", task, 1)
	if to > 0 {
		c.TaskLeft(to*sec, "a1", task, wire.CauseDone)
	}
}

// Each rule of chains is broken on purpose, and nothing but that rule is named.
func TestEachRuleOfChainsIsFound(t *testing.T) {
	halt := func(c *Checker) { c.TaskLeft(3*sec, "a1", "job-1/0", wire.CauseHalted) }
	for name, x := range map[string]struct {
		rule   string
		undone bool
		f      func(c *Checker)
	}{
		"before its predecessor": {TooEarly, true, func(c *Checker) { runs(c, 8, 9, "job-2/0") }},
		"before one before it":   {TooEarly, false, func(c *Checker) { runs(c, 11, 12, "job-3/0") }},
		"of a refused one": {TooEarly, false, func(c *Checker) {
			s := spec("job-4", 1)
			s.Predecessors = []string{"job-98"}
			c.Submitting(s)
			c.Submitted(2*sec, sec, "job-4", 422, status(""))
			runs(c, 11, 12, "job-4/0")
		}},
		"on a report that was lost": {TooEarly, false, func(c *Checker) { runs(c, 11, 12, "job-2/0"); runs(c, 14, 15, "job-1/0") }},
		"while one runs again":      {TooEarly, false, func(c *Checker) { runs(c, 11, 0, "job-1/0"); runs(c, 12, 13, "job-2/0") }},
		"and then it is cancelled":  {TooEarly, false, func(c *Checker) { runs(c, 11, 12, "job-2/0"); cancel(c, 14, "job-1", wire.JobAborted) }},
		"queued too long": {Orphaned, true, func(c *Checker) {
			halt(c)
			cancel(c, 5, "job-1", wire.JobAborted)
			c.Polled(47*sec, 46*sec, "job-2", 200, status(wire.JobQueued))
		}},
		"through another": {Orphaned, true, func(c *Checker) {
			halt(c)
			cancel(c, 5, "job-1", wire.JobAborted)
			c.Polled(47*sec, 46*sec, "job-3", 200, status(wire.JobRunning))
		}},
		"named when cancelled": {Orphaned, true, func(c *Checker) {
			halt(c)
			cancel(c, 5, "job-1", wire.JobAborted)
			accept(c, 100, "job-4", "job-3")
			c.Polled(142*sec, 141*sec, "job-4", 200, status(wire.JobQueued))
		}},
		"queued again": {WentBack, true, func(c *Checker) {
			halt(c)
			cancel(c, 5, "job-1", wire.JobAborted)
			c.Polled(7*sec, 6*sec, "job-2", 200, status(wire.JobAborted))
			c.Polled(9*sec, 8*sec, "job-2", 200, status(wire.JobQueued))
		}},
		"cancelled for nothing":    {WentBack, false, func(c *Checker) { c.Polled(12*sec, 11*sec, "job-2", 200, status(wire.JobAborted)) }},
		"cancelled by a dependent": {WentBack, false, func(c *Checker) { c.Aborting("job-3"); c.Polled(12*sec, 11*sec, "job-2", 200, status(wire.JobAborted)) }},
		"cancelled after done": {WentBack, false, func(c *Checker) {
			cancel(c, 12, "job-1", wire.JobDone)
			c.Polled(14*sec, 13*sec, "job-3", 200, status(wire.JobAborted))
		}},
		"cancelled before done": {WentBack, false, func(c *Checker) {
			c.Aborting("job-1")
			c.Polled(14*sec, 13*sec, "job-3", 200, status(wire.JobAborted))
			c.Aborted(15*sec, 11*sec, "job-1", 200, status(wire.JobDone))
		}},
		"names nothing": {Invented, false, func(c *Checker) { accept(c, 10, "job-4", "job-1", "job-98") }},
		"names itself":  {Invented, false, func(c *Checker) { accept(c, 10, "job-4", "job-4") }},
		"names a refused one": {Invented, false, func(c *Checker) {
			c.Submitting(spec("job-5", 1))
			c.Submitted(2*sec, sec, "job-5", 422, status(""))
			accept(c, 10, "job-4", "job-5")
		}},
		"names a service": {Invented, false, func(c *Checker) {
			s := spec("job-5", 1)
			s.Shape = ptr(wire.ShapeService)
			c.Submitting(s)
			c.Submitted(2*sec, sec, "job-5", 201, status(wire.JobQueued))
			accept(c, 10, "job-4", "job-5")
		}},
	} {
		if got := chain(x.undone, x.f); !got[x.rule] || len(got) != 1 {
			t.Errorf("%s: found %v, want %s alone", name, got, x.rule)
		}
	}
}

// A task of a job that needs a cancelled one may not stay, nor start: both began too early, too.
func TestTasksAfterACancellationBeforeThem(t *testing.T) {
	for name, x := range map[string]struct {
		f    func(c *Checker)
		want []string
	}{
		"stays": {func(c *Checker) { runs(c, 11, 0, "job-2/0"); cancel(c, 12, "job-1", wire.JobAborted) },
			[]string{"job-2 has begun and job-1", "job-2/0 is on a1 3m8s"}},
		"starts": {func(c *Checker) { cancel(c, 12, "job-1", wire.JobAborted); runs(c, 60, 61, "job-2/0") },
			[]string{"job-2/0 starts and job-1", "job-2/0 starts on a1 48s", "job-2/0 is on a1 49s"}},
		"named, starts": {func(c *Checker) {
			cancel(c, 12, "job-1", wire.JobAborted)
			accept(c, 50, "job-4", "job-1")
			runs(c, 91, 92, "job-4/0")
		}, []string{"job-4/0 starts and job-1", "job-4/0 starts on a1 41s", "job-4/0 is on a1 42s"}},
	} {
		got := chainDay(false, x.f)
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

// What the protocol allows of chains is not taken for a broken rule.
func TestAllowedOfChains(t *testing.T) {
	for name, f := range map[string]func(c *Checker){
		"in order":      func(c *Checker) { runs(c, 11, 13, "job-2/0"); runs(c, 14, 16, "job-3/0") },
		"answered done": func(c *Checker) { cancel(c, 12, "job-1", wire.JobDone); runs(c, 14, 16, "job-2/0") },
		"cancelled with": func(c *Checker) {
			cancel(c, 12, "job-2", wire.JobAborted)
			c.Polled(20*sec, 19*sec, "job-3", 200, status(wire.JobAborted))
		},
		"told before its user": func(c *Checker) {
			c.Aborting("job-2")
			c.Polled(12*sec, 11*sec, "job-3", 200, status(wire.JobAborted))
			c.Aborted(14*sec, 11*sec, "job-2", 200, status(wire.JobAborted))
		},
		"queued in time": func(c *Checker) {
			cancel(c, 12, "job-2", wire.JobAborted)
			c.Polled(51*sec, 50*sec, "job-3", 200, status(wire.JobQueued))
		},
		"an old answer": func(c *Checker) {
			cancel(c, 12, "job-2", wire.JobAborted)
			c.Polled(99*sec, 50*sec, "job-3", 200, status(wire.JobQueued))
		},
		"names a cancelled one": func(c *Checker) {
			cancel(c, 12, "job-2", wire.JobAborted)
			accept(c, 100, "job-4", "job-2")
			c.Polled(139*sec, 138*sec, "job-4", 200, status(wire.JobQueued))
			c.Polled(150*sec, 149*sec, "job-4", 200, status(wire.JobAborted))
		},
		"names one sent again": func(c *Checker) {
			c.Submitting(spec("job-5", 1))
			c.Submitted(2*sec, sec, "job-5", 422, status(""))
			c.Submitting(spec("job-5", 1))
			accept(c, 10, "job-4", "job-5")
			accept(c, 12, "job-5")
		},
		"names one on its way": func(c *Checker) {
			c.Submitting(spec("job-5", 1))
			accept(c, 10, "job-4", "job-5")
			accept(c, 12, "job-5")
		},
	} {
		if got := chain(false, f); len(got) != 0 {
			t.Errorf("%s: found %v", name, got)
		}
	}
}

// Waiting for others is not counted against how a job was served; waiting after them is.
func TestServedAfterItsPredecessors(t *testing.T) {
	for _, x := range []struct {
		done, begun Time
		worst       float64
		served      int
	}{{500, 510, 10, 1}, {500, 800, 300, 0}, {500, 0, 400, 0}, {0, 0, 0, -1}} {
		c := New(Params{Teams: map[string]Limit{"red": {CPUs: 9}}})
		c.MachineUp(Machine{"a1", "std", "a", false})
		accept(c, 1, "job-1")
		accept(c, 1, "job-2", "job-1")
		*c.jobs["job-2"].spec.Class = "late"
		if x.done > 0 {
			runs(c, 2, x.done, "job-1/0")
		}
		if x.begun > 0 {
			runs(c, x.begun, 0, "job-2/0")
		}
		got := -1
		for _, g := range c.Served(900 * sec) {
			if g.Name == "class late" {
				if got = g.Served; g.WorstS != x.worst {
					t.Errorf("%+v: waited %g s", x, g.WorstS)
				}
			}
		}
		if got != x.served {
			t.Errorf("%+v: served %d", x, got)
		}
	}
}
