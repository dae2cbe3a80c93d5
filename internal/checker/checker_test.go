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

// broken plays a day on which all goes well up to second 10, then f, and tells
// which rules were found broken.
func broken(f func(c *Checker)) map[string]bool {
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

// Each rule is broken on purpose, and nothing but that rule is named.
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
		"two machines": {RanTwice, func(c *Checker) { c.TaskStarted(10*sec, "a2", "job-1/0", 2) }},
		"over the limit": {Quota, func(c *Checker) {
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
		"goes on after its machine hung": {RanCancelled, func(c *Checker) {
			c.TaskStarted(9*sec, "stuck", "job-1/1", 1)
			c.TaskLeft(9*sec, "a1", "job-1/0", wire.CauseDone)
			cancelled(c) // the machine hangs past its lease, and goes on with what it had
			c.Tick(59 * sec)
			c.Tick(61 * sec)
			c.TaskLeft(62*sec, "stuck", "job-1/1", wire.CauseDone)
		}},
		"404":       {Forgotten, func(c *Checker) { c.Polled(10*sec, 9*sec, "job-1", 404, st("")) }},
		"abort 404": {Forgotten, func(c *Checker) { c.Aborting("job-1"); c.Aborted(10*sec, 9*sec, "job-1", 404, st("")) }},
		"again 422": {Forgotten, func(c *Checker) { c.Submitted(10*sec, 9*sec, "job-1", 422, st("")) }},
		"no poll answered": {Forgotten, func(c *Checker) {
			for i := range Time(40) {
				c.Polled((10+3*i)*sec, (9+3*i)*sec, "job-1", 503, st(""))
				for range 3 {
					c.Polled((10+3*i)*sec, (9+3*i)*sec, "job-99", 404, st(""))
				}
			}
		}},
		"200 for nothing": {Invented, func(c *Checker) { c.Polled(10*sec, 9*sec, "job-99", 200, st(wire.JobQueued)) }},
		"task of nothing": {Invented, func(c *Checker) { c.TaskStarted(10*sec, "a2", "job-99/0", 1) }},
		"early": {NotDone, func(c *Checker) {
			c.TaskLeft(8*sec, "a1", "job-1/0", wire.CauseDone)
			c.Polled(10*sec, 9*sec, "job-1", 200, st(wire.JobDone))
		}},
		"aborted, then runs": {WentBack, func(c *Checker) {
			cancelled(c)
			c.TaskLeft(13*sec, "a1", "job-1/0", wire.CauseHalted)
			c.Polled(15*sec, 14*sec, "job-1", 200, st(wire.JobRunning))
		}},
		"unasked abort": {WentBack, func(c *Checker) {
			c.TaskLeft(9*sec, "a1", "job-1/0", wire.CauseHalted)
			c.Polled(10*sec, 9*sec, "job-1", 200, st(wire.JobAborted))
		}},
	} {
		if got := broken(x.f); !got[x.rule] || len(got) != 1 {
			t.Errorf("%s: found %v, want %s alone", name, got, x.rule)
		}
	}
	if got := New(Params{}).Finish(sec); len(got) != 1 || got[0].Rule != NothingRan {
		t.Errorf("a world without tasks: %v", got)
	}
}

// What the protocol allows is not taken for a broken rule.
func TestAllowed(t *testing.T) {
	st := func(s string) wire.JobStatus { return wire.JobStatus{Status: s} }
	for name, f := range map[string]func(c *Checker){
		"nothing": nil,
		"late done": func(c *Checker) {
			c.TaskLeft(8*sec, "a1", "job-1/0", wire.CauseDone)
			c.Polled(10*sec, 9*sec, "job-1", 200, st(wire.JobRunning))
		},
		"a poll sent before the abort": func(c *Checker) {
			c.Aborting("job-1")
			c.Aborted(12*sec, 11*sec, "job-1", 200, st(wire.JobAborted))
			c.TaskLeft(13*sec, "a1", "job-1/0", wire.CauseHalted)
			c.Polled(13*sec, 11*sec, "job-1", 200, st(wire.JobRunning))
		},
		"its machine hangs past its lease": func(c *Checker) {
			c.TaskStarted(20*sec, "hung", "job-1/1", 1)
			c.TaskStarted(31*sec, "a2", "job-1/1", 2)
		},
		"an outage for all": func(c *Checker) {
			for i := range Time(40) {
				c.Polled((10+3*i)*sec, (9+3*i)*sec, "job-1", 0, st(""))
			}
		},
	} {
		if got := broken(f); len(got) != 0 {
			t.Errorf("%s: found %v", name, got)
		}
	}
}

// Once all troubles are over a job is forgotten after 75 s, however others fare; before that
// only if most others are answered.
func TestForgottenInTheCalm(t *testing.T) {
	for _, x := range []struct {
		calm  Time // since when
		until Time
		found bool
	}{{never, 300 * sec, false}, {100 * sec, 170 * sec, false}, {100 * sec, 176 * sec, true}, {0, 86 * sec, true}} {
		got := broken(func(c *Checker) {
			if x.calm != never {
				c.Calm(x.calm)
			}
			for at := 10 * sec; at <= x.until; at += 5 * sec {
				c.Polled(at+sec, at, "job-1", 503, wire.JobStatus{})
			}
		})
		if got[Forgotten] != x.found {
			t.Errorf("calm since %v, no answer until %v: forgotten %v", x.calm, x.until, got[Forgotten])
		}
	}
}

// A day fails if less than half of a class, a team or a class's largest jobs begins in time.
func TestServed(t *testing.T) {
	day := func(begin func(i int) Time) map[string]bool {
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
		"all":               {func(int) Time { return 5 * sec }, nil},
		"the largest late":  {func(i int) Time { return Time(10+i*13) * sec }, []string{"largest of c"}},
		"the largest never": {func(i int) Time { return Time(17-i) * sec }, []string{"largest of c"}},
		"fewer than half":   {func(i int) Time { return Time(i/11) * 100 * sec }, []string{"class any: 9", "team red: 9 ", "largest of c"}},
	} {
		got := day(x.begin)
		for _, w := range x.want {
			if !got[w] {
				t.Errorf("%s: %q is not among %v", name, w, got)
			}
		}
		if len(got) != len(x.want) {
			t.Errorf("%s: found %v", name, got)
		}
	}
}

// A controller that stood still says 503 to a poll of long ago. Polls sent since were answered: what
// counts are those after the last of these.
func TestALateFailureIsNoSilence(t *testing.T) {
	for _, x := range []struct {
		until Time // every poll fails from 120 s until then
		found bool
	}{{180 * sec, false}, {205 * sec, false}, {230 * sec, true}} {
		got := broken(func(c *Checker) {
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
			t.Errorf("silent until %v: broken %v", x.until, got)
		}
	}
}

// Jobs that PROTOCOL has refused are found when they are accepted, and only these.
func TestUnfit(t *testing.T) {
	types := []wire.MachineType{{Name: "std", CPUs: 4, MemoryGB: 16, Zones: []string{"a"}}, {Name: "gpu", CPUs: 8, GPUs: 1, MemoryGB: 32, Zones: []string{"b"}}}
	for name, x := range map[string]struct {
		change func(s *wire.JobSpec)
		unfit  bool
	}{
		"fits":                         {func(*wire.JobSpec) {}, false},
		"of any zone, in one":          {func(s *wire.JobSpec) { s.Zone = ptr("b") }, false},
		"many tasks, each fits":        {func(s *wire.JobSpec) { s.Tasks = ptr(int64(900)) }, false},
		"a service over the limit":     {func(s *wire.JobSpec) { s.Tasks, s.Shape = ptr(int64(11)), ptr(wire.ShapeService) }, true},
		"a task over the limit":        {func(s *wire.JobSpec) { s.GPUs = ptr(3.0) }, true},
		"too large for any":            {func(s *wire.JobSpec) { s.MemoryGB = ptr(33.0) }, true},
		"too large for what it allows": {func(s *wire.JobSpec) { s.CPUs, s.Types = ptr(5.0), []string{"std"} }, true},
		"too large in its zone":        {func(s *wire.JobSpec) { s.CPUs, s.Zone = ptr(5.0), ptr("a") }, true},
		"no such type":                 {func(s *wire.JobSpec) { s.Types = []string{"huge"} }, true},
		"no such team":                 {func(s *wire.JobSpec) { s.Team = ptr("nobody") }, true},
		"lacks its image":              {func(s *wire.JobSpec) { s.Image = nil }, true},
		"lacks its team":               {func(s *wire.JobSpec) { s.Team = nil }, true},
		"lacks its class":              {func(s *wire.JobSpec) { s.Class = nil }, true},
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
			c.TaskStarted(2*sec, "a", "job-2/0", 1) // its team's use is counted beside the other job
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

// Starts after a confirmed cancellation are counted from the moment that it was told.
func TestStartsOfCancelledJobsAreCounted(t *testing.T) {
	c := New(Params{Teams: map[string]Limit{"red": {CPUs: 10}}, Cancel: 40 * sec})
	c.MachineUp(Machine{Name: "a", Type: "std", Zone: "a"})
	c.Submitting(spec("job-1", 3))
	c.Submitted(sec, 0, "job-1", 201, wire.JobStatus{Status: wire.JobQueued})
	c.TaskStarted(2*sec, "a", "job-1/0", 1)
	c.Aborting("job-1")
	c.TaskStarted(3*sec, "a", "job-1/1", 1) // asked for, and not yet told
	c.Aborted(4*sec, 3*sec, "job-1", 200, wire.JobStatus{Status: wire.JobAborted})
	if n := c.StartedCancelled(); n != 0 {
		t.Errorf("%d counted before it was told", n)
	}
	c.TaskStarted(5*sec, "a", "job-1/2", 1)
	if n := c.StartedCancelled(); n != 1 || len(c.Broken()) > 0 {
		t.Errorf("%d counted, broken %v", n, c.Broken())
	}
}

// A job that waits for 90 s once troubles are over, while a machine that fits has room and its
// team is under its limit, is named; one that could not have gone there is not.
func TestWhoIsLeftWaiting(t *testing.T) {
	for name, x := range map[string]struct {
		change func(s *wire.JobSpec)
		room   Room
		until  Time
		calm   Time
		rooms  func(now Time, r Room) []Room // nil: always that one
		want   bool
	}{
		"room all the time":      {room: Room{Machine: "a1", CPUs: 1, MemGB: 1}, until: 150 * sec, calm: 20 * sec, want: true},
		"after another":          {change: func(s *wire.JobSpec) { s.Predecessors = []string{"job-1"} }, room: Room{Machine: "a1", CPUs: 1, MemGB: 1}, until: 150 * sec, calm: 20 * sec, want: true},
		"for another":            {change: func(s *wire.JobSpec) { s.Predecessors = []string{"job-1", "job-9"} }, room: Room{Machine: "a1", CPUs: 1, MemGB: 1}, until: 400 * sec, calm: 20 * sec},
		"not for long enough":    {room: Room{Machine: "a1", CPUs: 1, MemGB: 1}, until: 105 * sec, calm: 20 * sec},
		"troubles":               {room: Room{Machine: "a1", CPUs: 1, MemGB: 1}, until: 150 * sec, calm: 100 * sec},
		"no troubles told of":    {room: Room{Machine: "a1", CPUs: 1, MemGB: 1}, until: 400 * sec, calm: never},
		"too small":              {room: Room{Machine: "a1", CPUs: 0.5, MemGB: 1}, until: 150 * sec, calm: 20 * sec},
		"too little memory":      {room: Room{Machine: "a1", CPUs: 1, MemGB: 0.5}, until: 150 * sec, calm: 20 * sec},
		"a spot machine":         {room: Room{Machine: "spot", CPUs: 1, MemGB: 1}, until: 150 * sec, calm: 20 * sec},
		"a spot machine, wanted": {change: func(s *wire.JobSpec) { s.Spot = ptr(true) }, room: Room{Machine: "spot", CPUs: 1, MemGB: 1}, until: 150 * sec, calm: 20 * sec, want: true},
		"another type":           {change: func(s *wire.JobSpec) { s.Types = []string{"big"} }, room: Room{Machine: "a1", CPUs: 1, MemGB: 1}, until: 150 * sec, calm: 20 * sec},
		"another zone":           {change: func(s *wire.JobSpec) { s.Zone = ptr("b") }, room: Room{Machine: "a1", CPUs: 1, MemGB: 1}, until: 150 * sec, calm: 20 * sec},
		"its zone":               {change: func(s *wire.JobSpec) { s.Zone = ptr("a") }, room: Room{Machine: "a1", CPUs: 1, MemGB: 1}, until: 150 * sec, calm: 20 * sec, want: true},
		"its team at its limit":  {change: func(s *wire.JobSpec) { s.CPUs = ptr(3.0) }, room: Room{Machine: "a1", CPUs: 8, MemGB: 9, Tasks: []string{"job-1/0"}}, until: 150 * sec, calm: 20 * sec},
		"half of it is there":    {room: Room{Machine: "a1", CPUs: 1, MemGB: 1, Tasks: []string{"job-2/1"}}, until: 150 * sec, calm: 20 * sec, want: true},
		"all of it is there":     {room: Room{Machine: "a1", CPUs: 1, MemGB: 1, Tasks: []string{"job-2/0", "job-2/1"}}, until: 150 * sec, calm: 20 * sec},
		"one zone, not that":     {change: func(s *wire.JobSpec) { s.OneZone = ptr(true) }, room: Room{Machine: "b1", CPUs: 0, Tasks: []string{"job-2/0"}}, until: 150 * sec, calm: 20 * sec, rooms: func(_ Time, r Room) []Room { return []Room{r, {Machine: "a1", CPUs: 4, MemGB: 4}} }},
		"spread, not there":      {change: func(s *wire.JobSpec) { s.Spread = ptr(true) }, room: Room{Machine: "a1", CPUs: 4, MemGB: 4, Tasks: []string{"job-2/0"}}, until: 150 * sec, calm: 20 * sec},
		"now and then": {room: Room{Machine: "a1", CPUs: 1, MemGB: 1}, until: 400 * sec, calm: 20 * sec, rooms: func(now Time, r Room) []Room {
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
			if now == x.calm {
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

// A user may ask to cancel a job that is submitted only while his request is on its way: then it is cancelled at his
// wish. A request that was answered before is none.
func TestCancelledBeforeItWasSubmitted(t *testing.T) {
	for _, c := range []struct {
		what     string
		asked    int // before it is submitted
		answered int // of them, with 404
		later    bool
		want     bool // it may be called cancelled
	}{
		{"nobody asks", 0, 0, false, false},
		{"on its way", 1, 0, false, true},
		{"answered before", 1, 1, false, false},
		{"one of two answered before", 2, 1, false, true},
		{"asked again after it", 1, 1, true, true},
	} {
		got := broken(func(x *Checker) {
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
			t.Errorf("%s: broken: %v", c.what, got)
		}
	}
}
