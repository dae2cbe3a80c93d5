package tiers

import (
	"fmt"
	"math/rand/v2"
	"strings"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/barrowbridge/barrowbridge/wire"
)

var alarms = []wire.Rung{
	{Name: "alarms", Classes: []string{"alarm"}, Teams: []string{"red"}, Priorities: []string{"urgent"}},
	{Name: "unlocks", Classes: []string{"unlock"}, Teams: []string{"*"}, Shapes: []string{wire.ShapeService}},
}

func job(id, class, team, prio, shape string, number uint64) *wire.Job {
	return &wire.Job{ID: id, Class: class, Team: team, Priority: prio, Shape: shape, Number: number}
}

// Which rung a job stands on: the first that selects it by all that it names; beneath the named
// ones by priority, services first among what is urgent.
func TestRungs(t *testing.T) {
	l, plain := NewOrder(wire.Ladder{Rungs: alarms}), NewOrder(wire.Ladder{})
	for _, c := range []struct {
		j           *wire.Job
		rung, plain string
	}{
		{job("a", "alarm", "red", "urgent", wire.ShapeService, 1), "alarms", "urgent services"},
		{job("b", "alarm", "blue", "urgent", wire.ShapeService, 1), "urgent services", "urgent services"}, // a team does not climb by a class
		{job("c", "alarm", "red", "normal", wire.ShapeBatch, 1), "normal", "normal"},
		{job("d", "unlock", "blue", "normal", wire.ShapeService, 1), "unlocks", "normal"},
		{job("e", "scan", "red", "urgent", wire.ShapeBatch, 1), "urgent", "urgent"},
		{job("f", "scan", "red", "production", wire.ShapeBatch, 1), "production", "production"},
		{job("g", "scan", "red", "idle", wire.ShapeBatch, 1), "idle", "idle"},
	} {
		if got := l.Tiers()[l.TierIndex(c.j)].Name; got != c.rung {
			t.Errorf("%s stands on %q, want %q", c.j.ID, got, c.rung)
		}
		if got := plain.Tiers()[plain.TierIndex(c.j)].Name; got != c.plain {
			t.Errorf("%s without a ladder stands on %q, want %q", c.j.ID, got, c.plain)
		}
	}
	if l.PriorityOnly() || !plain.PriorityOnly() || l.Rank(job("a", "alarm", "red", "urgent", wire.ShapeBatch, 1)) != len(l.Tiers()) || l.OperatorDefined(len(l.Tiers())-2) || !l.OperatorDefined(len(l.Tiers())-1) {
		t.Error("the named rung is not the top one")
	}
}

// The same records give the same order and digest, in whichever order they became known; a
// change of any place changes the digest.
func TestOrderHangsOnRecordsAlone(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		l := NewOrder(wire.Ladder{Rungs: alarms})
		var jobs []*wire.Job
		for i := range rapid.IntRange(1, 20).Draw(t, "jobs") {
			one := func(what string, of ...string) string { return rapid.SampledFrom(of).Draw(t, what) }
			jobs = append(jobs, job(fmt.Sprintf("job-%06d", i), one("class", "alarm", "unlock", "scan"), one("team", "red", "blue"), one("prio", "urgent", "normal", "idle"),
				one("shape", wire.ShapeBatch, wire.ShapeService), uint64(rapid.IntRange(0, 5).Draw(t, "number"))))
		}
		list, digest := l.SortJobs(jobs)
		rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "shuffle"), 1)).Shuffle(len(jobs), func(i, k int) { jobs[i], jobs[k] = jobs[k], jobs[i] })
		again, same := l.SortJobs(jobs)
		if digest != same || fmt.Sprint(list) != fmt.Sprint(again) {
			t.Fatalf("%v and %v", list, again)
		}
		of := map[string]*wire.Job{}
		for _, j := range jobs {
			of[j.ID] = j
		}
		for i := 1; i < len(list); i++ {
			a, b := of[list[i-1].Job], of[list[i].Job]
			if l.TierIndex(a) > l.TierIndex(b) || l.TierIndex(a) == l.TierIndex(b) && !Older(a, b) {
				t.Fatalf("%s before %s", a.ID, b.ID)
			}
		}
		jobs[0].Number += 100
		if _, other := l.SortJobs(jobs); other == digest {
			t.Fatal("a number changed, the digest did not")
		}
	})
}

// What is wrong with a ladder is said in one line.
func TestCheck(t *testing.T) {
	known := func(team string) bool { return team == "red" }
	many := make([]wire.Rung, MaxTiers+1)
	for _, c := range []struct {
		rungs []wire.Rung
		want  string
	}{
		{alarms, ""},
		{many, "at most 32"},
		{[]wire.Rung{{Name: "", Teams: []string{"red"}}}, "name: must have"},
		{[]wire.Rung{{Name: "a", Teams: []string{"red"}}, {Name: "a", Teams: []string{"red"}}}, "stands twice"},
		{[]wire.Rung{{Name: "urgent", Teams: []string{"red"}}}, "from priorities"},
		{[]wire.Rung{{Name: "a"}}, "selects everything"},
		{[]wire.Rung{{Name: "a", Classes: []string{"x"}}}, "name the teams too"},
		{[]wire.Rung{{Name: "a", Teams: []string{"mauve"}}}, `"mauve" is not known`},
		{[]wire.Rung{{Name: "a", Classes: []string{"x"}, Teams: []string{"*"}}, {Name: "b", Classes: []string{"x"}, Teams: []string{"*"}}}, `stands on rung "a" already`},
		{[]wire.Rung{{Name: "a", Priorities: []string{"high"}}}, "priorities: must be"},
		{[]wire.Rung{{Name: "a", Shapes: []string{"heap"}}}, "shapes: must be"},
		{[]wire.Rung{{Name: "a", Teams: make([]string, MaxNames+1)}}, "at most 64"},
	} {
		err := Validate(c.rungs, known)
		if (err == nil) != (c.want == "") || err != nil && (!strings.Contains(err.Error(), c.want) || strings.Contains(err.Error(), "\n")) {
			t.Errorf("%v: %v, want %q", c.rungs[:min(2, len(c.rungs))], err, c.want)
		}
	}
}

// A new ladder keeps the names of the last few before it; where none was written there was none.
func TestRevise(t *testing.T) {
	now := time.UnixMilli(1e12)
	if rec := Revise(wire.Ladder{}, 0, alarms, now, "a", 2); len(rec.History) != 0 || len(rec.Rungs) != len(alarms) {
		t.Errorf("the first: %+v", rec)
	}
	old := wire.Ladder{Rungs: alarms, History: []wire.LadderChange{{Version: 1}, {Version: 2}}}
	rec := Revise(old, 3, nil, now, "b", 2)
	if len(rec.History) != 2 || rec.History[0].Version != 2 || rec.History[1].Version != 3 || rec.History[1].Node != "b" || len(rec.History[1].Rungs) != len(alarms) || len(old.History) != 2 {
		t.Errorf("%+v", rec)
	}
}
