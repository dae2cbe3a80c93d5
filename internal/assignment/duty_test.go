package assignment

import (
	"testing"
	"time"

	"pgregory.net/rapid"
)

var (
	rules = Rules{Gain: 0.5, After: time.Second}
	zones = map[string]string{"a": "n", "b": "s", "c": "n"}
	some  = &Reach{Of: 4, Heard: 4}
	none  = &Reach{Of: 4}
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
		{"silent for a moment", Reach{Of: 9}, 500 * time.Millisecond, []Member{{Node: "b", Reaches: some}}, ""},
		{"nobody has said anything", Reach{Of: 9}, silent, []Member{{Node: "b"}, {Node: "c"}}, ""},
		{"all machines are dead", Reach{Of: 9}, silent, []Member{{Node: "b", Reaches: none}, {Node: "c", Reaches: none}}, ""},
		{"one reaches them", Reach{Of: 9}, silent, []Member{{Node: "b", Reaches: some}, {Node: "c", Reaches: none}}, "b"},
		{"in the home's zone", Reach{Of: 9}, silent, []Member{{Node: "b", Zone: "s", Reaches: some}, {Node: "c", Zone: "n", Reaches: some}}, "c"},
		{"with fewer shards", Reach{Of: 9}, silent, []Member{{Node: "b", Reaches: some}, {Node: "c", Reaches: some, Held: 1}}, "b"},
		{"one that is cut off itself", Reach{Of: 9}, silent, []Member{{Node: "b", Reaches: some, Lacks: true}}, ""},
		{"one that passes reports on", Reach{Of: 9}, silent, []Member{{Node: "b", Reaches: some}, {Node: "c", Reaches: some, Near: true}}, ""},
		{"not enough to gain", Reach{Of: 9, Heard: 6}, silent, []Member{{Node: "b", Reaches: some}}, ""},
	} {
		if got := rules.GiveTo(c.own, c.silent, "a", zones, c.others); got != c.want {
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
		{"not one that is cut off from the workers", []Member{{Node: "b", Zone: "s"}, {Node: "c", Zone: "n", Lacks: true}}, "b"},
		{"unless all are", []Member{{Node: "b", Zone: "s", Lacks: true}, {Node: "c", Zone: "n", Lacks: true}}, "c"},
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
		{Member{Node: "a", Lacks: true}, false, time.Hour, false},
		{Member{Node: "a", Held: 1}, false, time.Hour, false},
	} {
		if got := rules.GoesHome(c.home, c.missed, c.up, 15*time.Second); got != c.want {
			t.Errorf("%+v, missed %v, up %v: goes home %v", c.home, c.missed, c.up, got)
		}
	}
	if Leader([]Member{{Node: "b"}, {Node: "c"}}) != "" || Leader([]Member{{Node: "b", Cloud: true, Lacks: true}, {Node: "c", Cloud: true}}) != "c" {
		t.Error("leadership goes to one that the cloud answers, and workers reach if there is one")
	}
}

// Whoever is chosen was offered, reaches more than the holder does and is not cut off; and
// what all share moves nothing.
func TestGiveToProperties(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		own := Reach{Of: rapid.IntRange(0, 50).Draw(t, "of")}
		var others []Member
		shared := true
		for _, n := range []string{"b", "c", "d"} {
			m := Member{Node: n, Lacks: rapid.Bool().Draw(t, "lacks"), Held: rapid.IntRange(0, 3).Draw(t, "held"), Near: rapid.Bool().Draw(t, "near")}
			if rapid.Bool().Draw(t, "said") {
				of := rapid.IntRange(1, 4).Draw(t, "asked")
				m.Reaches = &Reach{Of: of, Heard: rapid.IntRange(0, of).Draw(t, "heard")}
			}
			shared = shared && (m.Lacks || m.Reaches == nil || m.Reaches.Heard == 0)
			others = append(others, m)
		}
		to := rules.GiveTo(own, time.Minute, "a", zones, others)
		for _, m := range others {
			if m.Node == to && (m.Lacks || m.Near || m.Reaches.share() < own.share()+rules.Gain) {
				t.Fatalf("given to %+v", m)
			}
		}
		if shared && to != "" {
			t.Fatalf("nobody reaches them, and %s is given them", to)
		}
	})
}
