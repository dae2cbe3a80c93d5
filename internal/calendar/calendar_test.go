package calendar

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/barrowbridge/barrowbridge/wire"
)

func crew(change func(*wire.Crew)) *wire.Crew {
	c := &wire.Crew{Name: "viby-early", Team: "red", Classes: []string{"scan"}, Leaves: "2026-12-03T06:30", TimeZone: "Europe/Copenhagen"}
	if change != nil {
		change(c)
	}
	return c
}

func at(s string) time.Time {
	t, err := time.Parse(time.RFC3339, s)
	if err != nil {
		panic(err)
	}
	return t
}

// A crew departs at the local time of its place, also across changes to and from summer time.
func TestNextDeparture(t *testing.T) {
	for _, c := range []struct{ leaves, zone, rule, after, want string }{
		{"2026-12-03T06:30", "Europe/Copenhagen", "", "2026-12-02T00:00:00Z", "2026-12-03T05:30:00Z"},
		{"2026-12-03T06:30", "Europe/Copenhagen", "", "2026-12-03T05:30:00Z", ""},
		{"2026-12-03T06:30", "Africa/Dakar", "", "2026-12-02T00:00:00Z", "2026-12-03T06:30:00Z"},
		{"2026-12-03T06:30", "Europe/Copenhagen", "FREQ=WEEKLY;BYDAY=MO,WE", "2026-12-03T00:00:00Z", "2026-12-07T05:30:00Z"},
		{"2027-03-26T06:30", "Europe/Copenhagen", "FREQ=DAILY", "2027-03-27T12:00:00Z", "2027-03-28T04:30:00Z"}, // summer time has begun
		{"2027-03-27T02:30", "Europe/Copenhagen", "FREQ=DAILY", "2027-03-27T12:00:00Z", "2027-03-28T01:30:00Z"}, // a time that does not exist: 3:30 instead
		{"2026-10-24T02:30", "Europe/Copenhagen", "FREQ=DAILY", "2026-10-24T12:00:00Z", "2026-10-25T01:30:00Z"}, // a time that occurs twice: the second one
		{"2026-12-03T06:30", "UTC", "FREQ=DAILY;COUNT=2", "2026-12-04T07:00:00Z", ""},
	} {
		k := crew(func(k *wire.Crew) { k.Leaves, k.TimeZone, k.Rule = c.leaves, c.zone, c.rule })
		got := ""
		if n, ok := NextDeparture(k, at(c.after)); ok {
			got = n.UTC().Format(time.RFC3339)
		}
		if got != c.want {
			t.Errorf("%s %s %s after %s: %s, want %s", c.leaves, c.zone, c.rule, c.after, got, c.want)
		}
	}
}

func TestValidate(t *testing.T) {
	is := func(want string) func(string) bool { return func(s string) bool { return s == want } }
	for want, change := range map[string]func(*wire.Crew){
		"":                            func(*wire.Crew) {},
		"name: must be":               func(c *wire.Crew) { c.Name = "Viby early" },
		`team: "mauve" is not known`:  func(c *wire.Crew) { c.Team = "mauve" },
		`zone: "moon" is not known`:   func(c *wire.Crew) { c.Zone = "moon" },
		"classes: 1 to 32":            func(c *wire.Crew) { c.Classes = nil },
		`time_zone: "CPH" is not`:     func(c *wire.Crew) { c.TimeZone = "CPH" },
		"leaves: must be like":        func(c *wire.Crew) { c.Leaves = "tomorrow" },
		"rule: not a recurrence":      func(c *wire.Crew) { c.Rule = "FREQ=SOMETIMES" },
		"rule: without DTSTART":       func(c *wire.Crew) { c.Rule = "DTSTART:20261203T063000Z" },
		"less than a minute apart":    func(c *wire.Crew) { c.Rule = "FREQ=SECONDLY" },
		"must not be negative":        func(c *wire.Crew) { c.Expect.Tasks = -1 },
		"tasks need seconds and cpus": func(c *wire.Crew) { c.Expect.Tasks = 5 },
	} {
		err := Validate(crew(change), is("red"), is("viby"))
		if (err == nil) != (want == "") || err != nil && (!strings.Contains(err.Error(), want) || strings.Contains(err.Error(), "\n")) {
			t.Errorf("%v, want %q", err, want)
		}
	}
}

var margins = Margins{ClockError: time.Second, Takeover: 10 * time.Second, FailureShare: 0.1, PressLead: 15 * time.Second, Rounds: 2}

// The next departure is after the last change by operators and after the last outcome, however many
// departures there were before.
func TestDeparturesCountFrom(t *testing.T) {
	k := crew(func(k *wire.Crew) { k.Rule = "FREQ=DAILY" })
	for _, c := range []struct{ changed, past, want string }{
		{"2026-12-03T05:00:00Z", "", "2026-12-03T05:30:00Z"},
		{"2026-12-08T12:00:00Z", "", "2026-12-09T05:30:00Z"},
		{"2026-12-03T05:00:00Z", "2026-12-05T05:30:00Z", "2026-12-06T05:30:00Z"},
		{"2026-12-07T12:00:00Z", "2026-12-05T05:30:00Z", "2026-12-08T05:30:00Z"},
	} {
		k.History, k.Past = []wire.CrewChange{{AtMS: 1}, {AtMS: at(c.changed).UnixMilli()}}, nil
		if c.past != "" {
			k.Past = []wire.CrewOutcome{{LeavesMS: at(c.past).UnixMilli()}}
		}
		if n, ok := NextDeparture(k, DeparturesCountFrom(k)); !ok || !n.Equal(at(c.want)) {
			t.Errorf("changed %s, left %s: next %v, want %s", c.changed, c.past, n.UTC(), c.want)
		}
	}
}

// Checks the plan and the sentence about jobs that cannot be done in time.
func TestPlanDeparture(t *testing.T) {
	now, leaves := at("2026-12-03T05:00:00Z"), at("2026-12-03T05:10:00Z")
	jobs := func(n, tasks int, s time.Duration) (out []Job) {
		for i := range n {
			out = append(out, Job{ID: fmt.Sprint(i), Tasks: tasks, TaskDuration: s, CPUs: 1})
		}
		return out
	}
	for _, c := range []struct {
		jobs    []Job
		have    float64
		start   time.Duration // before the departure
		pressed bool
		miss    int
		say     string
	}{
		{nil, 8, 11 * time.Second, false, 0, "nothing is left"},
		{jobs(4, 10, 20*time.Second), 8, 11*time.Second + 110*time.Second, false, 0, "4 jobs will be done"},
		{jobs(1, 1, 300*time.Second), 100, 311 * time.Second, false, 0, "1 jobs will be done"}, // a task is not split
		{jobs(23, 10, 20*time.Second), 8, 11*time.Second + 632500*time.Millisecond, true, 0, "23 jobs will be done"},
		{jobs(30, 10, 20*time.Second), 8, 11*time.Second + 825*time.Second, true, 6, "6 of 30 jobs will miss 05:10 by up to 2m30s: 8 CPUs are there and 12 needed"},
		{jobs(2, 1, time.Second), 0, 1e6 * time.Second, true, 2, "no machines in viby"},
	} {
		p := PlanDeparture(crew(func(k *wire.Crew) { k.Zone = "viby" }), now, leaves, c.jobs, c.have, margins)
		start := leaves.Sub(time.UnixMilli(p.StartMS))
		if c.have > 0 && start != c.start || p.Pressed != c.pressed || p.Miss != c.miss || !strings.Contains(p.Say, c.say) {
			t.Errorf("%d jobs on %g CPUs: starts %v before, pressed %v, %d missed, %q", len(c.jobs), c.have, start, p.Pressed, p.Miss, p.Say)
		}
	}
}

// More machines never make more jobs late, nor does a later departure. Pressed work stays pressed
// as time passes without progress.
func TestPlanProperties(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		now := at("2026-12-03T05:00:00Z")
		leaves := now.Add(time.Duration(rapid.IntRange(1, 2000).Draw(t, "until")) * time.Second)
		var jobs []Job
		for i := range rapid.IntRange(1, 12).Draw(t, "jobs") {
			jobs = append(jobs, Job{ID: fmt.Sprint(i), Tasks: rapid.IntRange(1, 30).Draw(t, "tasks"), TaskDuration: time.Duration(rapid.IntRange(1, 200).Draw(t, "s")) * time.Second, CPUs: float64(rapid.IntRange(1, 4).Draw(t, "cpus"))})
		}
		have := float64(rapid.IntRange(1, 40).Draw(t, "have"))
		c := crew(nil)
		p := PlanDeparture(c, now, leaves, jobs, have, margins)
		if q := PlanDeparture(c, now, leaves, jobs, have+4, margins); q.Miss > p.Miss || q.Pressed && !p.Pressed {
			t.Fatalf("more machines: %+v, before %+v", q, p)
		}
		if q := PlanDeparture(c, now, leaves.Add(time.Minute), jobs, have, margins); q.Miss > p.Miss {
			t.Fatalf("a later departure: %+v, before %+v", q, p)
		}
		if q := PlanDeparture(c, now.Add(5*time.Second), leaves, jobs, have, margins); p.Pressed && !q.Pressed || q.Miss < p.Miss {
			t.Fatalf("later: %+v, before %+v", q, p)
		}
	})
}

// Guards against work whose duration is beyond the range of time.Duration, which was not pressed at
// all on x86-64, and machines rented ahead from after the departure on both kinds of machine.
func TestPlansOfWorkThatNeverEndsAreBounded(t *testing.T) {
	now, leaves := at("2026-12-03T05:00:00Z"), at("2026-12-03T05:40:00Z")
	for _, cpus := range []float64{0, 0.001, 1} {
		endless := []Job{{ID: "a", Tasks: 100000, TaskDuration: time.Hour, CPUs: 64}}
		p := PlanDeparture(crew(nil), now, leaves, endless, cpus, margins)
		if start := leaves.Sub(time.UnixMilli(p.StartMS)); start != 1e6*time.Second+11*time.Second || !p.Pressed || p.Miss != 1 {
			t.Errorf("endless work on %g CPUs: starts %v before, pressed %v, %d missed", cpus, start, p.Pressed, p.Miss)
		}
	}
	k := crew(func(k *wire.Crew) { k.Expect = wire.CrewWork{Tasks: 100000, Seconds: 1e12, CPUs: 1} })
	if n, from := MachinesAhead(k, leaves, 0, 100, 4, 1, 25*time.Second, margins); n != 25 || leaves.Sub(from) != 1e6*time.Second+36*time.Second {
		t.Errorf("endless expected work: %d machines from %v before", n, leaves.Sub(from))
	}
}

// Machines are rented ahead so that expected work is done in time, including their boot time,
// within the team's limit. Accepted work is no longer expected.
func TestMachinesAhead(t *testing.T) {
	leaves := at("2026-12-03T05:30:00Z")
	k := crew(func(k *wire.Crew) { k.Expect = wire.CrewWork{Tasks: 40, Seconds: 30, CPUs: 1} })
	for _, c := range []struct {
		accepted int
		limit    float64
		factor   float64
		machines int
		before   time.Duration
	}{
		{0, 100, 1, 5, 11*time.Second + 66*time.Second + 25*time.Second}, // 20 slots, two rounds
		{0, 8, 1, 2, 11*time.Second + 165*time.Second + 25*time.Second},  // the limit: five rounds
		{0, 100, 3, 5, 11*time.Second + 198*time.Second + 25*time.Second},
		{36, 100, 1, 1, 11*time.Second + 66*time.Second + 25*time.Second},
		{40, 100, 1, 0, 0},
	} {
		n, from := MachinesAhead(k, leaves, c.accepted, c.limit, 4, c.factor, 25*time.Second, margins)
		if n != c.machines || n > 0 && leaves.Sub(from) != c.before {
			t.Errorf("%d accepted, limit %g, factor %g: %d machines %v before", c.accepted, c.limit, c.factor, n, leaves.Sub(from))
		}
	}
	if a, b := BookingName(k, 7, 0), BookingName(k, 8, 0); a == b {
		t.Error("two versions of a record give the same name")
	}
}
