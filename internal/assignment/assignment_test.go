package assignment

import (
	"testing"
	"time"

	"pgregory.net/rapid"
)

var (
	rules       = Rules{MinGain: 0.5, SilentAfter: time.Second}
	zones       = map[string]string{"a": "n", "b": "s", "c": "n"}
	allReached  = &Reach{Total: 4, Reached: 4}
	noneReached = &Reach{Total: 4}
)

func TestGiveTo(t *testing.T) {
	silent := 3 * time.Second
	for _, c := range []struct {
		what   string
		own    Reach
		silent time.Duration
		others []Member
		want   string
	}{
		{"silent for a moment", Reach{Total: 9}, 500 * time.Millisecond, []Member{{Node: "b", Reach: allReached}}, ""},
		{"nobody has said anything", Reach{Total: 9}, silent, []Member{{Node: "b"}, {Node: "c"}}, ""},
		{"all machines are dead", Reach{Total: 9}, silent, []Member{{Node: "b", Reach: noneReached}, {Node: "c", Reach: noneReached}}, ""},
		{"one reaches them", Reach{Total: 9}, silent, []Member{{Node: "b", Reach: allReached}, {Node: "c", Reach: noneReached}}, "b"},
		{"in the home's zone", Reach{Total: 9}, silent, []Member{{Node: "b", Zone: "s", Reach: allReached}, {Node: "c", Zone: "n", Reach: allReached}}, "c"},
		{"with fewer shards", Reach{Total: 9}, silent, []Member{{Node: "b", Reach: allReached}, {Node: "c", Reach: allReached, HeldShards: 1}}, "b"},
		{"one that is cut off itself", Reach{Total: 9}, silent, []Member{{Node: "b", Reach: allReached, LacksWorkers: true}}, ""},
		{"one that passes reports on", Reach{Total: 9}, silent, []Member{{Node: "b", Reach: allReached}, {Node: "c", Reach: allReached, Reachable: true}}, ""},
		{"not enough to gain", Reach{Total: 9, Reached: 6}, silent, []Member{{Node: "b", Reach: allReached}}, ""},
	} {
		if got := rules.TransferTarget(c.own, c.silent, "a", zones, c.others); got != c.want {
			t.Errorf("%s: %q, want %q", c.what, got, c.want)
		}
	}
}

func TestSuccessorAndHome(t *testing.T) {
	for _, c := range []struct {
		what    string
		members []Member
		want    string
	}{
		{"home first", []Member{{Node: "a", Zone: "n"}, {Node: "b", Zone: "s"}, {Node: "c", Zone: "n"}}, "a"},
		{"then its zone", []Member{{Node: "b", Zone: "s"}, {Node: "c", Zone: "n"}}, "c"},
		{"not one that is cut off from the workers", []Member{{Node: "b", Zone: "s"}, {Node: "c", Zone: "n", LacksWorkers: true}}, "b"},
		{"unless all are", []Member{{Node: "b", Zone: "s", LacksWorkers: true}, {Node: "c", Zone: "n", LacksWorkers: true}}, "c"},
		{"nobody is there", nil, ""},
	} {
		if got := Successor("a", zones, c.members); got != c.want {
			t.Errorf("%s: %q, want %q", c.what, got, c.want)
		}
	}
	for _, c := range []struct {
		home   Member
		missed bool
		up     time.Duration
		want   bool
	}{
		{Member{Node: "a"}, false, 16 * time.Second, true},
		{Member{Node: "a"}, false, 14 * time.Second, false},
		{Member{Node: "a"}, true, time.Hour, false},
		{Member{Node: "a", LacksWorkers: true}, false, time.Hour, false},
		{Member{Node: "a", HeldShards: 1}, false, time.Hour, false},
	} {
		if got := rules.MayReturnHome(c.home, c.missed, c.up, 15*time.Second); got != c.want {
			t.Errorf("%+v, missed %v, up %v: goes home %v", c.home, c.missed, c.up, got)
		}
	}
	if NextLeader([]Member{{Node: "b"}, {Node: "c"}}) != "" || NextLeader([]Member{{Node: "b", ReachesCloud: true, LacksWorkers: true}, {Node: "c", ReachesCloud: true}}) != "c" {
		t.Error("leadership goes to one that the cloud answers, and workers reach if there is one")
	}
}

// Whoever is chosen was offered, reaches more than the holder does and is not cut off; and
// what all share moves nothing.
func TestGiveToProperties(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		own := Reach{Total: rapid.IntRange(0, 50).Draw(t, "of")}
		var others []Member
		shared := true
		for _, n := range []string{"b", "c", "d"} {
			m := Member{Node: n, LacksWorkers: rapid.Bool().Draw(t, "lacks"), HeldShards: rapid.IntRange(0, 3).Draw(t, "held"), Reachable: rapid.Bool().Draw(t, "near")}
			if rapid.Bool().Draw(t, "said") {
				of := rapid.IntRange(1, 4).Draw(t, "asked")
				m.Reach = &Reach{Total: of, Reached: rapid.IntRange(0, of).Draw(t, "heard")}
			}
			shared = shared && (m.LacksWorkers || m.Reach == nil || m.Reach.Reached == 0)
			others = append(others, m)
		}
		to := rules.TransferTarget(own, time.Minute, "a", zones, others)
		for _, m := range others {
			if m.Node == to && (m.LacksWorkers || m.Reachable || m.Reach.share() < own.share()+rules.MinGain) {
				t.Fatalf("given to %+v", m)
			}
		}
		if shared && to != "" {
			t.Fatalf("nobody reaches them, and %s is given them", to)
		}
	})
}
