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

func TestTransferTarget(t *testing.T) {
	silent := 3 * time.Second
	for _, c := range []struct {
		what   string
		own    Reach
		silent time.Duration
		others []Member
		want   string
	}{
		{"silent for a short time only", Reach{Total: 9}, 500 * time.Millisecond, []Member{{Node: "b", Reach: allReached}}, ""},
		{"no reports", Reach{Total: 9}, silent, []Member{{Node: "b"}, {Node: "c"}}, ""},
		{"all machines are dead", Reach{Total: 9}, silent, []Member{{Node: "b", Reach: noneReached}, {Node: "c", Reach: noneReached}}, ""},
		{"one member reaches them", Reach{Total: 9}, silent, []Member{{Node: "b", Reach: allReached}, {Node: "c", Reach: noneReached}}, "b"},
		{"the home's zone preferred", Reach{Total: 9}, silent, []Member{{Node: "b", Zone: "s", Reach: allReached}, {Node: "c", Zone: "n", Reach: allReached}}, "c"},
		{"fewer shards preferred", Reach{Total: 9}, silent, []Member{{Node: "b", Reach: allReached}, {Node: "c", Reach: allReached, HeldShards: 1}}, "b"},
		{"member lacks workers itself", Reach{Total: 9}, silent, []Member{{Node: "b", Reach: allReached, LacksWorkers: true}}, ""},
		{"a reachable member relays reports", Reach{Total: 9}, silent, []Member{{Node: "b", Reach: allReached}, {Node: "c", Reach: allReached, Reachable: true}}, ""},
		{"too little gain", Reach{Total: 9, Reached: 6}, silent, []Member{{Node: "b", Reach: allReached}}, ""},
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
		{"the home", []Member{{Node: "a", Zone: "n"}, {Node: "b", Zone: "s"}, {Node: "c", Zone: "n"}}, "a"},
		{"without the home, a member in its zone", []Member{{Node: "b", Zone: "s"}, {Node: "c", Zone: "n"}}, "c"},
		{"not a member that lacks workers", []Member{{Node: "b", Zone: "s"}, {Node: "c", Zone: "n", LacksWorkers: true}}, "b"},
		{"all members lack workers", []Member{{Node: "b", Zone: "s", LacksWorkers: true}, {Node: "c", Zone: "n", LacksWorkers: true}}, "c"},
		{"no members", nil, ""},
	} {
		if got := Successor("a", zones, c.members); got != c.want {
			t.Errorf("%s: %q, want %q", c.what, got, c.want)
		}
	}
	for _, c := range []struct {
		home        Member
		manyMissing bool
		presentFor  time.Duration
		want        bool
	}{
		{Member{Node: "a"}, false, 16 * time.Second, true},
		{Member{Node: "a"}, false, 14 * time.Second, false},
		{Member{Node: "a"}, true, time.Hour, false},
		{Member{Node: "a", LacksWorkers: true}, false, time.Hour, false},
		{Member{Node: "a", HeldShards: 1}, false, time.Hour, false},
	} {
		if got := rules.MayReturnHome(c.home, c.manyMissing, c.presentFor, 15*time.Second); got != c.want {
			t.Errorf("%+v, many missing %v, present for %v: may return home %v", c.home, c.manyMissing, c.presentFor, got)
		}
	}
	if NextLeader([]Member{{Node: "b"}, {Node: "c"}}) != "" || NextLeader([]Member{{Node: "b", ReachesCloud: true, LacksWorkers: true}, {Node: "c", ReachesCloud: true}}) != "c" {
		t.Error("leadership must go to a controller that reaches the cloud, and workers if there is one")
	}
}

// The target is one of the members, reaches more machines than the holder and does not lack workers;
// nothing is transferred if no member reaches the machines.
func TestTransferTargetProperties(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		own := Reach{Total: rapid.IntRange(0, 50).Draw(t, "of")}
		var others []Member
		shared := true
		for _, n := range []string{"b", "c", "d"} {
			m := Member{Node: n, LacksWorkers: rapid.Bool().Draw(t, "lacks"), HeldShards: rapid.IntRange(0, 3).Draw(t, "held"), Reachable: rapid.Bool().Draw(t, "near")}
			if rapid.Bool().Draw(t, "said") {
				total := rapid.IntRange(1, 4).Draw(t, "asked")
				m.Reach = &Reach{Total: total, Reached: rapid.IntRange(0, total).Draw(t, "heard")}
			}
			shared = shared && (m.LacksWorkers || m.Reach == nil || m.Reach.Reached == 0)
			others = append(others, m)
		}
		to := rules.TransferTarget(own, time.Minute, "a", zones, others)
		for _, m := range others {
			if m.Node == to && (m.LacksWorkers || m.Reachable || m.Reach.share() < own.share()+rules.MinGain) {
				t.Fatalf("transferred to %+v", m)
			}
		}
		if shared && to != "" {
			t.Fatalf("no member reaches the machines, and the shard is transferred to %s", to)
		}
	})
}
