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

var alarmTiers = []wire.Tier{
	{Name: "alarms", Classes: []string{"alarm"}, Teams: []string{"red"}, Priorities: []string{"urgent"}},
	{Name: "unlocks", Classes: []string{"unlock"}, Teams: []string{"*"}, Shapes: []string{wire.ShapeService}},
}

func job(id, class, team, prio, shape string, number uint64) *wire.Job {
	return &wire.Job{ID: id, Class: class, Team: team, Priority: prio, Shape: shape, Number: number}
}

// A job is on the first tier that matches it by everything that the tier names. Below the operators'
// tiers it is placed by priority, services first among urgent work.
func TestTiers(t *testing.T) {
	order, plain := NewOrder(wire.TierOrder{Tiers: alarmTiers}), NewOrder(wire.TierOrder{})
	for _, c := range []struct {
		j           *wire.Job
		tier, plain string
	}{
		{job("a", "alarm", "red", "urgent", wire.ShapeService, 1), "alarms", "urgent services"},
		// Naming a class does not move a job of another team up.
		{job("b", "alarm", "blue", "urgent", wire.ShapeService, 1), "urgent services", "urgent services"},
		{job("c", "alarm", "red", "normal", wire.ShapeBatch, 1), "normal", "normal"},
		{job("d", "unlock", "blue", "normal", wire.ShapeService, 1), "unlocks", "normal"},
		{job("e", "scan", "red", "urgent", wire.ShapeBatch, 1), "urgent", "urgent"},
		{job("f", "scan", "red", "production", wire.ShapeBatch, 1), "production", "production"},
		{job("g", "scan", "red", "idle", wire.ShapeBatch, 1), "idle", "idle"},
	} {
		if got := order.Tiers()[order.TierIndex(c.j)].Name; got != c.tier {
			t.Errorf("%s is on tier %q, want %q", c.j.ID, got, c.tier)
		}
		if got := plain.Tiers()[plain.TierIndex(c.j)].Name; got != c.plain {
			t.Errorf("%s without operators' tiers is on tier %q, want %q", c.j.ID, got, c.plain)
		}
	}
	if order.PriorityOnly() || !plain.PriorityOnly() ||
		order.Rank(job("a", "alarm", "red", "urgent", wire.ShapeBatch, 1)) != len(order.Tiers()) ||
		order.OperatorDefined(len(order.Tiers())-2) || !order.OperatorDefined(len(order.Tiers())-1) {
		t.Error("the operators' tiers are not the top ones")
	}
}

// The same records give the same order and digest, in whichever order they became known. A change of
// a job's position changes the digest.
func TestOrderDependsOnRecordsOnly(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		order := NewOrder(wire.TierOrder{Tiers: alarmTiers})
		var jobs []*wire.Job
		for i := range rapid.IntRange(1, 20).Draw(t, "jobs") {
			one := func(what string, of ...string) string { return rapid.SampledFrom(of).Draw(t, what) }
			jobs = append(jobs, job(fmt.Sprintf("job-%06d", i),
				one("class", "alarm", "unlock", "scan"),
				one("team", "red", "blue"),
				one("prio", "urgent", "normal", "idle"),
				one("shape", wire.ShapeBatch, wire.ShapeService),
				uint64(rapid.IntRange(0, 5).Draw(t, "number"))))
		}
		list, digest := order.SortJobs(jobs)
		rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "shuffle"), 1)).Shuffle(len(jobs), func(i, k int) { jobs[i], jobs[k] = jobs[k], jobs[i] })
		again, same := order.SortJobs(jobs)
		if digest != same || fmt.Sprint(list) != fmt.Sprint(again) {
			t.Fatalf("the order depends on that of the input: %v and %v", list, again)
		}
		of := map[string]*wire.Job{}
		for _, j := range jobs {
			of[j.ID] = j
		}
		for i := 1; i < len(list); i++ {
			a, b := of[list[i-1].Job], of[list[i].Job]
			if order.TierIndex(a) > order.TierIndex(b) || order.TierIndex(a) == order.TierIndex(b) && !Older(a, b) {
				t.Fatalf("%s is listed before %s", a.ID, b.ID)
			}
		}
		jobs[0].Number += 100
		if _, other := order.SortJobs(jobs); other == digest {
			t.Fatal("a job's number changed, but the digest did not")
		}
	})
}

// Each fault of a tier order is reported in one line.
func TestValidate(t *testing.T) {
	known := func(team string) bool { return team == "red" }
	many := make([]wire.Tier, MaxTiers+1)
	for _, c := range []struct {
		tiers []wire.Tier
		want  string
	}{
		{alarmTiers, ""},
		{many, "at most 32"},
		{[]wire.Tier{{Name: "", Teams: []string{"red"}}}, "name: must have"},
		{[]wire.Tier{{Name: "a", Teams: []string{"red"}}, {Name: "a", Teams: []string{"red"}}}, "stands twice"},
		{[]wire.Tier{{Name: "urgent", Teams: []string{"red"}}}, "from priorities"},
		{[]wire.Tier{{Name: "a"}}, "selects everything"},
		{[]wire.Tier{{Name: "a", Classes: []string{"x"}}}, "name the teams too"},
		{[]wire.Tier{{Name: "a", Teams: []string{"mauve"}}}, `"mauve" is not known`},
		{[]wire.Tier{{Name: "a", Classes: []string{"x"}, Teams: []string{"*"}}, {Name: "b", Classes: []string{"x"}, Teams: []string{"*"}}}, `stands on rung "a" already`},
		{[]wire.Tier{{Name: "a", Priorities: []string{"high"}}}, "priorities: must be"},
		{[]wire.Tier{{Name: "a", Shapes: []string{"heap"}}}, "shapes: must be"},
		{[]wire.Tier{{Name: "a", Teams: make([]string, MaxNames+1)}}, "at most 64"},
	} {
		err := Validate(c.tiers, known)
		if (err == nil) != (c.want == "") || err != nil && (!strings.Contains(err.Error(), c.want) || strings.Contains(err.Error(), "\n")) {
			t.Errorf("tiers %v: error %v, want %q", c.tiers[:min(2, len(c.tiers))], err, c.want)
		}
	}
}

// A changed tier order keeps the names of the last few tiers before it. If there was no record, the
// history stays empty.
func TestRevise(t *testing.T) {
	now := time.UnixMilli(1e12)
	if record := Revise(wire.TierOrder{}, 0, alarmTiers, now, "a", 2); len(record.History) != 0 || len(record.Tiers) != len(alarmTiers) {
		t.Errorf("the first record: %+v", record)
	}
	old := wire.TierOrder{Tiers: alarmTiers, History: []wire.TierOrderChange{{Version: 1}, {Version: 2}}}
	record := Revise(old, 3, nil, now, "b", 2)
	if len(record.History) != 2 || record.History[0].Version != 2 || record.History[1].Version != 3 ||
		record.History[1].Node != "b" || len(record.History[1].Tiers) != len(alarmTiers) || len(old.History) != 2 {
		t.Errorf("%+v", record)
	}
}
