package checker

import (
	"fmt"
	"testing"
	"time"

	"github.com/barrowbridge/barrowbridge/wire"
)

const sec = time.Second

func ptr[T any](v T) *T { return &v }

func spec(id string, tasks int64) wire.JobSpec {
	return wire.JobSpec{ID: &id, Class: ptr("any"), Team: ptr("red"), Shape: ptr(wire.ShapeBatch), Priority: ptr("normal"), Tasks: &tasks,
		CPUs: ptr(1.0), GPUs: ptr(0.0), MemoryGB: ptr(1.0), OneZone: ptr(false), Spread: ptr(false), Spot: ptr(false),
		Image: ptr("img"), ImageGB: ptr(1.0), EstimateS: ptr(5.0), CheckpointEvery: ptr(0.0), SaveS: ptr(0.0)}
}

// violatedRules returns the rules found violated in a run in which job-1 is accepted at 1 s, its first
// task starts on a1 at 2 s, and then the events of f follow. The machine hung loses its lease at 30 s for
// good, the machine stuck from 30 s to 60 s.
func violatedRules(f func(c *Checker)) map[string]bool {
	c := New(Params{Teams: map[string]Limit{"red": {CPUs: 3}}, Cancel: 40 * sec,
		Lapsed: func(m string, now Time) bool {
			return m == "hung" && now > 30*sec || m == "stuck" && now > 30*sec && now < 60*sec
		}})
	for _, m := range []Machine{{"stuck", "std", "a", false}, {"a1", "std", "a", false}, {"a2", "std", "a", false}, {"b1", "std", "b", false}, {"spot", "std", "a", true}, {"big", "big", "a", false}, {"hung", "std", "a", false}} {
		c.MachineUp(m)
	}
	s := spec("job-1", 2)
	c.Submitting(s)
	c.Submitted(sec, 0, "job-1", 201, wire.JobStatus{Status: wire.JobQueued})
	c.TaskStarted(2*sec, "a1", "job-1/0", 1)
	if f != nil {
		f(c)
	}
	out := map[string]bool{}
	for _, v := range c.Finish(200 * sec) {
		out[v.Rule] = true
	}
	return out
}

// Each case violates one rule; the checker must report that rule and no other.
func TestEachRuleIsFound(t *testing.T) {
	st := func(s string) wire.JobStatus { return wire.JobStatus{Status: s} }
	with := func(change func(*wire.JobSpec), machine string) func(*Checker) {
		return func(c *Checker) {
			s := spec("job-2", 2)
			change(&s)
			c.Submitting(s)
			c.Submitted(3*sec, 2*sec, "job-2", 201, st(wire.JobQueued))
			c.TaskStarted(4*sec, "b1", "job-2/0", 1)
			c.TaskStarted(5*sec, machine, "job-2/1", 1)
		}
	}
	cancelled := func(c *Checker) {
		c.Aborting("job-1")
		c.Aborted(12*sec, 11*sec, "job-1", 200, st(wire.JobAborted))
	}
	for name, x := range map[string]struct {
		rule string
		f    func(c *Checker)
	}{
		"task on two machines": {RanTwice, func(c *Checker) { c.TaskStarted(10*sec, "a2", "job-1/0", 2) }},
		"team over its limit": {Quota, func(c *Checker) {
			s := spec("job-2", 1)
			s.CPUs = ptr(2.5)
			c.Submitting(s)
			c.TaskStarted(10*sec, "a1", "job-2/0", 1)
		}},
		"type":     {WrongPlace, with(func(s *wire.JobSpec) { s.Types = []string{"std"} }, "big")},
		"zone":     {WrongPlace, with(func(s *wire.JobSpec) { s.Zone = ptr("b") }, "a1")},
		"spot":     {WrongPlace, with(func(*wire.JobSpec) {}, "spot")},
		"one zone": {WrongPlace, with(func(s *wire.JobSpec) { s.OneZone = ptr(true) }, "a1")},
		"spread":   {WrongPlace, with(func(s *wire.JobSpec) { s.Spread = ptr(true) }, "b1")},
		"stays":    {RanCancelled, cancelled},
		"starts": {RanCancelled, func(c *Checker) {
			c.TaskLeft(3*sec, "a1", "job-1/0", wire.CauseDone)
			cancelled(c)
			c.TaskStarted(60*sec, "a1", "job-1/1", 1)
			c.TaskLeft(60*sec, "a1", "job-1/1", wire.CauseHalted)
		}},
		"continues after its machine hung": {RanCancelled, func(c *Checker) {
			c.TaskStarted(9*sec, "stuck", "job-1/1", 1)
			c.TaskLeft(9*sec, "a1", "job-1/0", wire.CauseDone)
			cancelled(c) // the machine hangs until after its lease expired, then continues its task
			c.Tick(59 * sec)
			c.Tick(61 * sec)
			c.TaskLeft(62*sec, "stuck", "job-1/1", wire.CauseDone)
		}},
		"404":       {Forgotten, func(c *Checker) { c.Polled(10*sec, 9*sec, "job-1", 404, st("")) }},
		"abort 404": {Forgotten, func(c *Checker) { c.Aborting("job-1"); c.Aborted(10*sec, 9*sec, "job-1", 404, st("")) }},
		"again 422": {Forgotten, func(c *Checker) { c.Submitted(10*sec, 9*sec, "job-1", 422, st("")) }},
		"no poll for the job answered": {Forgotten, func(c *Checker) {
			for i := range Time(40) {
				c.Polled((10+3*i)*sec, (9+3*i)*sec, "job-1", 503, st(""))
				for range 3 {
					c.Polled((10+3*i)*sec, (9+3*i)*sec, "job-99", 404, st(""))
				}
			}
		}},
		"status of an unknown job": {Invented, func(c *Checker) { c.Polled(10*sec, 9*sec, "job-99", 200, st(wire.JobQueued)) }},
		"task of an unknown job":   {Invented, func(c *Checker) { c.TaskStarted(10*sec, "a2", "job-99/0", 1) }},
		"early": {NotDone, func(c *Checker) {
			c.TaskLeft(8*sec, "a1", "job-1/0", wire.CauseDone)
			c.Polled(10*sec, 9*sec, "job-1", 200, st(wire.JobDone))
		}},
		"running after it was cancelled": {WentBack, func(c *Checker) {
			cancelled(c)
			c.TaskLeft(13*sec, "a1", "job-1/0", wire.CauseHalted)
			c.Polled(15*sec, 14*sec, "job-1", 200, st(wire.JobRunning))
		}},
		"cancelled without a request": {WentBack, func(c *Checker) {
			c.TaskLeft(9*sec, "a1", "job-1/0", wire.CauseHalted)
			c.Polled(10*sec, 9*sec, "job-1", 200, st(wire.JobAborted))
		}},
	} {
		if got := violatedRules(x.f); !got[x.rule] || len(got) != 1 {
			t.Errorf("%s: found %v, want %s alone", name, got, x.rule)
		}
	}
	if got := New(Params{}).Finish(sec); len(got) != 1 || got[0].Rule != NothingRan {
		t.Errorf("run without tasks: got %v, want NothingRan alone", got)
	}
}

// Runs that the protocol allows must cause no violation.
func TestAllowed(t *testing.T) {
	st := func(s string) wire.JobStatus { return wire.JobStatus{Status: s} }
	for name, f := range map[string]func(c *Checker){
		"nothing": nil,
		"completion not yet reported": func(c *Checker) {
			c.TaskLeft(8*sec, "a1", "job-1/0", wire.CauseDone)
			c.Polled(10*sec, 9*sec, "job-1", 200, st(wire.JobRunning))
		},
		"answer to a poll sent before the cancellation": func(c *Checker) {
			c.Aborting("job-1")
			c.Aborted(12*sec, 11*sec, "job-1", 200, st(wire.JobAborted))
			c.TaskLeft(13*sec, "a1", "job-1/0", wire.CauseHalted)
			c.Polled(13*sec, 11*sec, "job-1", 200, st(wire.JobRunning))
		},
		"task starts again after the lease of its hung machine expired": func(c *Checker) {
			c.TaskStarted(20*sec, "hung", "job-1/1", 1)
			c.TaskStarted(31*sec, "a2", "job-1/1", 2)
		},
		"no poll for any job answered": func(c *Checker) {
			for i := range Time(40) {
				c.Polled((10+3*i)*sec, (9+3*i)*sec, "job-1", 0, st(""))
			}
		},
	} {
		if got := violatedRules(f); len(got) != 0 {
			t.Errorf("%s: found %v", name, got)
		}
	}
}

// After all faults are over, a job counts as forgotten once its polls have failed for 75 s, whether or not
// polls for other jobs are answered. Before that it counts as forgotten only if most polls are answered.
func TestForgottenInTheCalm(t *testing.T) {
	for _, x := range []struct {
		faultsOver Time // since when; never if they are not over
		until      Time
		found      bool
	}{{never, 300 * sec, false}, {100 * sec, 170 * sec, false}, {100 * sec, 176 * sec, true}, {0, 86 * sec, true}} {
		got := violatedRules(func(c *Checker) {
			if x.faultsOver != never {
				c.Calm(x.faultsOver)
			}
			for at := 10 * sec; at <= x.until; at += 5 * sec {
				c.Polled(at+sec, at, "job-1", 503, wire.JobStatus{})
			}
		})
		if got[Forgotten] != x.found {
			t.Errorf("faults over since %v, no answer until %v: forgotten %v", x.faultsOver, x.until, got[Forgotten])
		}
	}
}

// A run fails if fewer than half of the jobs of a class, of a team or of the largest of a class start in time.
func TestServed(t *testing.T) {
	violationPrefixes := func(begin func(i int) Time) map[string]bool {
		c := New(Params{Teams: map[string]Limit{"red": {CPUs: 100}}})
		c.MachineUp(Machine{Name: "a", Type: "std", Zone: "a"})
		for i := range 20 {
			s := spec(fmt.Sprint("job-", i), int64(1+i))
			c.Submitting(s)
			c.Submitted(sec, 0, *s.ID, 201, wire.JobStatus{Status: wire.JobQueued})
			if at := begin(i); at > 0 {
				c.TaskStarted(at, "a", *s.ID+"/0", 1)
			}
		}
		out := map[string]bool{}
		for _, v := range c.FinishDay(400 * sec) {
			out[v.What[:12]] = true
		}
		return out
	}
	for name, x := range map[string]struct {
		begin func(i int) Time
		want  []string
	}{
		"all":                           {func(int) Time { return 5 * sec }, nil},
		"the largest start late":        {func(i int) Time { return Time(10+i*13) * sec }, []string{"largest of c"}},
		"the largest never start":       {func(i int) Time { return Time(17-i) * sec }, []string{"largest of c"}},
		"fewer than half start in time": {func(i int) Time { return Time(i/11) * 100 * sec }, []string{"class any: 9", "team red: 9 ", "largest of c"}},
	} {
		got := violationPrefixes(x.begin)
		for _, w := range x.want {
			if !got[w] {
				t.Errorf("%s: no violation starts with %q: %v", name, w, got)
			}
		}
		if len(got) != len(x.want) {
			t.Errorf("%s: found %v", name, got)
		}
	}
}

// A controller that was paused may answer an old poll with 503 after polls sent later were answered. The
// checker must count only failures of polls sent after the latest answered one; otherwise the late
// failure would make the job count as forgotten too early.
func TestALateFailureIsNoSilence(t *testing.T) {
	for _, x := range []struct {
		until Time // every poll fails from 120 s until then
		found bool
	}{{180 * sec, false}, {205 * sec, false}, {230 * sec, true}} {
		got := violatedRules(func(c *Checker) {
			c.Polled(119*sec, 118*sec, "job-1", 200, wire.JobStatus{Status: wire.JobQueued})
			c.Polled(120*sec, 40*sec, "job-1", 503, wire.JobStatus{})
			for at := 121 * sec; at <= x.until; at += 3 * sec {
				c.Polled(at, at-sec, "job-1", 503, wire.JobStatus{})
				for range 2 {
					c.Polled(at, at-sec, "job-99", 404, wire.JobStatus{})
				}
			}
		})
		if got[Forgotten] != x.found {
			t.Errorf("no answer until %v: violated rules %v", x.until, got)
		}
	}
}

// The acceptance of a job that PROTOCOL requires to be refused is a violation; any other answer is not.
func TestUnfit(t *testing.T) {
	types := []wire.MachineType{{Name: "std", CPUs: 4, MemoryGB: 16, Zones: []string{"a"}}, {Name: "gpu", CPUs: 8, GPUs: 1, MemoryGB: 32, Zones: []string{"b"}}}
	for name, x := range map[string]struct {
		change func(s *wire.JobSpec)
		unfit  bool
	}{
		"fits":                            {func(*wire.JobSpec) {}, false},
		"fits in its zone":                {func(s *wire.JobSpec) { s.Zone = ptr("b") }, false},
		"many tasks, each fits":           {func(s *wire.JobSpec) { s.Tasks = ptr(int64(900)) }, false},
		"a service over the limit":        {func(s *wire.JobSpec) { s.Tasks, s.Shape = ptr(int64(11)), ptr(wire.ShapeService) }, true},
		"a task over the limit":           {func(s *wire.JobSpec) { s.GPUs = ptr(3.0) }, true},
		"too large for any type":          {func(s *wire.JobSpec) { s.MemoryGB = ptr(33.0) }, true},
		"too large for its allowed types": {func(s *wire.JobSpec) { s.CPUs, s.Types = ptr(5.0), []string{"std"} }, true},
		"too large in its zone":           {func(s *wire.JobSpec) { s.CPUs, s.Zone = ptr(5.0), ptr("a") }, true},
		"no such type":                    {func(s *wire.JobSpec) { s.Types = []string{"huge"} }, true},
		"no such team":                    {func(s *wire.JobSpec) { s.Team = ptr("nobody") }, true},
		"no image":                        {func(s *wire.JobSpec) { s.Image = nil }, true},
		"no team":                         {func(s *wire.JobSpec) { s.Team = nil }, true},
		"no class":                        {func(s *wire.JobSpec) { s.Class = nil }, true},
	} {
		for _, status := range []int{200, 201, 400, 422, 503} {
			c := New(Params{Teams: map[string]Limit{"red": {CPUs: 10, GPUs: 2}}, Types: types})
			s := spec("job-1", 2)
			x.change(&s)
			c.Submitting(s)
			c.Submitted(sec, 0, "job-1", status, wire.JobStatus{Status: wire.JobQueued})
			c.MachineUp(Machine{Name: "a", Type: "std", Zone: "a"})
			other := spec("job-2", 1)
			c.Submitting(other)
			c.TaskStarted(2*sec, "a", "job-2/0", 1) // the usage of its team is summed over both jobs
			found := false
			for _, v := range c.FinishDay(200 * sec) {
				found = found || v.Rule == Unfit
			}
			if want := x.unfit && status <= 201; found != want {
				t.Errorf("%s, answered %d: found %v", name, status, found)
			}
		}
	}
}

// StartedCancelled counts starts from the moment that a user was told of the cancellation.
func TestStartsOfCancelledJobsAreCounted(t *testing.T) {
	c := New(Params{Teams: map[string]Limit{"red": {CPUs: 10}}, Cancel: 40 * sec})
	c.MachineUp(Machine{Name: "a", Type: "std", Zone: "a"})
	c.Submitting(spec("job-1", 3))
	c.Submitted(sec, 0, "job-1", 201, wire.JobStatus{Status: wire.JobQueued})
	c.TaskStarted(2*sec, "a", "job-1/0", 1)
	c.Aborting("job-1")
	c.TaskStarted(3*sec, "a", "job-1/1", 1) // requested, but not confirmed yet
	c.Aborted(4*sec, 3*sec, "job-1", 200, wire.JobStatus{Status: wire.JobAborted})
	if n := c.StartedCancelled(); n != 0 {
		t.Errorf("%d starts counted before the cancellation was confirmed", n)
	}
	c.TaskStarted(5*sec, "a", "job-1/2", 1)
	if n := c.StartedCancelled(); n != 1 || len(c.Broken()) > 0 {
		t.Errorf("%d starts counted, violations %v", n, c.Broken())
	}
}

// A job that waits for 90 s after all faults are over, although a suitable machine has free capacity and its
// team is under its limit, must be reported; a job that could not have started there must not.
func TestWhoIsLeftWaiting(t *testing.T) {
	for name, x := range map[string]struct {
		change     func(s *wire.JobSpec)
		room       Room
		until      Time
		faultsOver Time
		rooms      func(now Time, r Room) []Room // nil: always that one
		want       bool
	}{
		"free capacity all the time":    {room: Room{Machine: "a1", CPUs: 1, MemGB: 1}, until: 150 * sec, faultsOver: 20 * sec, want: true},
		"after its predecessor is done": {change: func(s *wire.JobSpec) { s.Predecessors = []string{"job-1"} }, room: Room{Machine: "a1", CPUs: 1, MemGB: 1}, until: 150 * sec, faultsOver: 20 * sec, want: true},
		"predecessor not done":          {change: func(s *wire.JobSpec) { s.Predecessors = []string{"job-1", "job-9"} }, room: Room{Machine: "a1", CPUs: 1, MemGB: 1}, until: 400 * sec, faultsOver: 20 * sec},
		"not for long enough":           {room: Room{Machine: "a1", CPUs: 1, MemGB: 1}, until: 105 * sec, faultsOver: 20 * sec},
		"troubles":                      {room: Room{Machine: "a1", CPUs: 1, MemGB: 1}, until: 150 * sec, faultsOver: 100 * sec},
		"end of faults not recorded":    {room: Room{Machine: "a1", CPUs: 1, MemGB: 1}, until: 400 * sec, faultsOver: never},
		"too few CPUs":                  {room: Room{Machine: "a1", CPUs: 0.5, MemGB: 1}, until: 150 * sec, faultsOver: 20 * sec},
		"too little memory":             {room: Room{Machine: "a1", CPUs: 1, MemGB: 0.5}, until: 150 * sec, faultsOver: 20 * sec},
		"a spot machine, not allowed":   {room: Room{Machine: "spot", CPUs: 1, MemGB: 1}, until: 150 * sec, faultsOver: 20 * sec},
		"a spot machine, allowed":       {change: func(s *wire.JobSpec) { s.Spot = ptr(true) }, room: Room{Machine: "spot", CPUs: 1, MemGB: 1}, until: 150 * sec, faultsOver: 20 * sec, want: true},
		"another type":                  {change: func(s *wire.JobSpec) { s.Types = []string{"big"} }, room: Room{Machine: "a1", CPUs: 1, MemGB: 1}, until: 150 * sec, faultsOver: 20 * sec},
		"another zone":                  {change: func(s *wire.JobSpec) { s.Zone = ptr("b") }, room: Room{Machine: "a1", CPUs: 1, MemGB: 1}, until: 150 * sec, faultsOver: 20 * sec},
		"its zone":                      {change: func(s *wire.JobSpec) { s.Zone = ptr("a") }, room: Room{Machine: "a1", CPUs: 1, MemGB: 1}, until: 150 * sec, faultsOver: 20 * sec, want: true},
		"team at its limit":             {change: func(s *wire.JobSpec) { s.CPUs = ptr(3.0) }, room: Room{Machine: "a1", CPUs: 8, MemGB: 9, Tasks: []string{"job-1/0"}}, until: 150 * sec, faultsOver: 20 * sec},
		"half of its tasks placed":      {room: Room{Machine: "a1", CPUs: 1, MemGB: 1, Tasks: []string{"job-2/1"}}, until: 150 * sec, faultsOver: 20 * sec, want: true},
		"all of its tasks placed":       {room: Room{Machine: "a1", CPUs: 1, MemGB: 1, Tasks: []string{"job-2/0", "job-2/1"}}, until: 150 * sec, faultsOver: 20 * sec},
		"one zone, capacity in another": {change: func(s *wire.JobSpec) { s.OneZone = ptr(true) }, room: Room{Machine: "b1", CPUs: 0, Tasks: []string{"job-2/0"}}, until: 150 * sec, faultsOver: 20 * sec, rooms: func(_ Time, r Room) []Room { return []Room{r, {Machine: "a1", CPUs: 4, MemGB: 4}} }},
		"spread, zone has its share":    {change: func(s *wire.JobSpec) { s.Spread = ptr(true) }, room: Room{Machine: "a1", CPUs: 4, MemGB: 4, Tasks: []string{"job-2/0"}}, until: 150 * sec, faultsOver: 20 * sec},
		"free capacity interrupted every minute": {room: Room{Machine: "a1", CPUs: 1, MemGB: 1}, until: 400 * sec, faultsOver: 20 * sec, rooms: func(now Time, r Room) []Room {
			if now%(60*sec) == 0 {
				return nil
			}
			return []Room{r}
		}},
	} {
		c := New(Params{Teams: map[string]Limit{"red": {CPUs: 3}}, Cancel: 40 * sec, Rooms: func(now Time) []Room {
			if x.rooms != nil {
				return x.rooms(now, x.room)
			}
			return []Room{x.room}
		}})
		for _, m := range []Machine{{"a1", "std", "a", false}, {"b1", "std", "b", false}, {"spot", "std", "a", true}} {
			c.MachineUp(m)
		}
		one, s := spec("job-1", 1), spec("job-2", 2)
		if x.change != nil {
			x.change(&s)
		}
		for _, s := range []wire.JobSpec{one, s} {
			c.Submitting(s)
			c.Submitted(5*sec, 0, *s.ID, 201, wire.JobStatus{Status: wire.JobQueued})
		}
		c.TaskLeft(6*sec, "a1", "job-1/0", wire.CauseDone)
		for now := 10 * sec; now <= x.until; now += sec {
			if now == x.faultsOver {
				c.Calm(now)
			}
			c.Tick(now)
		}
		got := false
		for _, v := range c.Broken() {
			got = got || v.Rule == LeftWaiting
		}
		if got != x.want {
			t.Errorf("%s: left waiting %v, want %v", name, got, x.want)
		}
	}
}

// A job may be submitted while a request to cancel it is in flight; that request then allows the job to be
// cancelled. A request that was answered before the submission does not.
func TestCancelledBeforeItWasSubmitted(t *testing.T) {
	for _, c := range []struct {
		what     string
		asked    int // cancel requests sent before the submission
		answered int // of them, answered with 404 before the submission
		later    bool
		want     bool // the job may be reported as cancelled
	}{
		{"no request", 0, 0, false, false},
		{"request in flight", 1, 0, false, true},
		{"request answered before", 1, 1, false, false},
		{"one of two requests answered before", 2, 1, false, true},
		{"requested again after the submission", 1, 1, true, true},
	} {
		got := violatedRules(func(x *Checker) {
			for range c.asked {
				x.Aborting("job-2")
			}
			for range c.answered {
				x.Aborted(9*sec, 8*sec, "job-2", 404, wire.JobStatus{})
			}
			x.Submitting(spec("job-2", 1))
			x.Submitted(10*sec, 9*sec, "job-2", 201, wire.JobStatus{Status: wire.JobQueued})
			if c.later {
				x.Aborting("job-2")
			}
			x.Polled(12*sec, 11*sec, "job-2", 200, wire.JobStatus{Status: wire.JobAborted})
		})
		if got[WentBack] == c.want {
			t.Errorf("%s: violated rules %v", c.what, got)
		}
	}
}
