package reservation

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/barrowbridge/barrowbridge/internal/placement"
)

const sec = time.Second

var limits = Limits{MaxShare: 0.25, Horizon: 120 * sec, MinGain: 5 * sec}

func size(cpus float64) placement.Size { return placement.Size{CPUs: cpus} }

func anywhere(string) bool { return true }

// Places are held where a task fits first; each job gets one before any gets two; work that
// stays is not waited for; a hold that serves stays where it is.
func TestWhereAPlaceIsHeld(t *testing.T) {
	leave := func(at int, cpus float64) Release { return Release{time.Duration(at) * sec, size(cpus)} }
	machines := func() []Machine[string] {
		return []Machine[string]{
			{Handle: "a", Name: "a", Up: true, Releases: []Release{leave(30, 2), leave(10, 2)}},
			{Handle: "b", Name: "b", Up: true, Free: size(1), Releases: []Release{leave(20, 3)}},
			{Handle: "c", Name: "c", Up: true, Free: size(3)}, // the rest stays
			{Handle: "d", Name: "d", Up: true, Releases: []Release{leave(200, 4)}},
			{Handle: "new", Name: "new", ReadyAt: 25 * sec, Free: size(4)},
			{Handle: "e", Name: "e", Up: true}, {Handle: "f", Name: "f", Up: true}, {Handle: "g", Name: "g", Up: true}, {Handle: "h", Name: "h", Up: true},
		}
	}
	held := func(b *Table[string]) (out []string) {
		for _, m := range b.Machines() {
			h, _ := b.Get(m)
			out = append(out, fmt.Sprint(h.Job, " on ", m, " at ", h.FitsAt))
		}
		return out
	}
	x := Request[string]{Job: "x", Size: size(4), Tasks: 3, Allows: anywhere}
	y := Request[string]{Job: "y", Size: size(4), Tasks: 1, Allows: anywhere}
	b := New[string](limits)
	for _, c := range []struct {
		asks []Request[string]
		want []string
	}{
		{[]Request[string]{x}, []string{"x on b at 20s", "x on new at 25s", "x on a at 30s"}}, // a quarter of eight, and what boots
		{[]Request[string]{y, x}, []string{"x on b at 20s", "x on new at 25s", "x on a at 30s"}},
		{[]Request[string]{y}, []string{"y on b at 20s"}},
		{[]Request[string]{y, x}, []string{"y on b at 20s", "x on new at 25s", "x on a at 30s"}},
		{nil, nil},
	} {
		b.Plan(0, c.asks, machines())
		if got := held(b); !slices.Equal(got, c.want) {
			t.Errorf("held %q, want %q", got, c.want)
		}
	}
	b.Plan(0, []Request[string]{y}, machines()[:1])
	if changed := b.Plan(0, []Request[string]{y}, machines()); !slices.Equal(held(b), []string{"y on b at 20s"}) || len(changed) != 2 {
		t.Errorf("a place free ten seconds sooner: held %q, changed %q", held(b), changed)
	}
}

// Whatever waits and whatever machines do, no more is held than the share, none twice, none
// for nobody, none where its task will not fit; and two books with the same past agree.
func TestHoldsAreBounded(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		one, two := New[int](limits), New[int](limits)
		for range rapid.IntRange(1, 6).Draw(t, "plans") {
			var machines []Machine[int]
			up := 0
			for i := range rapid.IntRange(0, 12).Draw(t, "machines") {
				m := Machine[int]{Handle: i, Name: fmt.Sprint(i), Up: rapid.Bool().Draw(t, "up"), Free: size(float64(rapid.IntRange(0, 3).Draw(t, "free"))), ReadyAt: 10 * sec}
				for range rapid.IntRange(0, 3).Draw(t, "leaves") {
					m.Releases = append(m.Releases, Release{time.Duration(rapid.IntRange(0, 150).Draw(t, "at")) * sec, size(1)})
				}
				if m.Up {
					up++
				}
				machines = append(machines, m)
			}
			var asks []Request[int]
			of := map[string]*Request[int]{}
			for i := range rapid.IntRange(0, 4).Draw(t, "asks") {
				least := rapid.IntRange(0, 3).Draw(t, "allowed from")
				asks = append(asks, Request[int]{Job: fmt.Sprint("j", i), Size: size(float64(rapid.IntRange(2, 4).Draw(t, "size"))), Tasks: rapid.IntRange(1, 4).Draw(t, "tasks"),
					Allows: func(m int) bool { return m >= least }})
			}
			for i := range asks {
				of[asks[i].Job] = &asks[i]
			}
			one.Plan(0, asks, slices.Clone(machines))
			slices.Reverse(machines)
			two.Plan(0, asks, machines)
			if !slices.Equal(one.Machines(), two.Machines()) {
				t.Fatalf("the same asked of two: %v and %v", one.Machines(), two.Machines())
			}
			n, by := 0, map[string]int{}
			for _, h := range one.Machines() {
				x, _ := one.Get(h)
				k := slices.IndexFunc(machines, func(m Machine[int]) bool { return m.Handle == h })
				if k < 0 || of[x.Job] == nil || !of[x.Job].Allows(h) {
					t.Fatalf("machine %d is held for %s", h, x.Job)
				}
				if at, ok := machines[k].FitTime(0, x.Size); !ok || at != x.FitsAt || at > limits.Horizon {
					t.Fatalf("machine %d held, free at %v %v", h, at, ok)
				}
				if by[x.Job]++; by[x.Job] > of[x.Job].Tasks {
					t.Fatalf("%d places for %s", by[x.Job], x.Job)
				}
				if machines[k].Up {
					n++
				}
			}
			if n > max(1, up/4) {
				t.Fatalf("%d of %d machines held", n, up)
			}
		}
	})
}

// Only what is much larger than the rest has places held; of a team's limit the first that
// does not fit has its size kept.
func TestWideAndKept(t *testing.T) {
	ask := func(job, team string, cpus, mem float64, full bool) Request[int] {
		return Request[int]{Job: job, Team: team, TeamFull: full, Size: placement.Size{CPUs: cpus, MemGB: mem}}
	}
	asks := []Request[int]{ask("a", "red", 1, 2, true), ask("b", "red", 4, 2, true), ask("c", "red", 4, 2, true), ask("d", "blue", 1, 8, false), ask("e", "blue", 2, 2, true)}
	for least, want := range map[placement.Size]string{{CPUs: 1, MemGB: 2}: "bcde", {CPUs: 2, MemGB: 4}: "bcd", {CPUs: 1}: "bce", {}: ""} {
		got := ""
		for _, a := range Oversized(asks, least, 2) {
			got += a.Job
		}
		if got != want {
			t.Errorf("beside %+v: %q, want %q", least, got, want)
		}
	}
	if k := TeamReservations(asks[1:]); len(k) != 2 || k["red"].Job != "b" || k["blue"].Job != "e" {
		t.Errorf("kept %v", k)
	}
}

// Places held on machines that boot count once these are up: no more than the share stays held.
func TestHoldsOfBootingMachinesCountOnceUp(t *testing.T) {
	b := New[int](limits)
	machines := func(up bool) (list []Machine[int]) {
		for i := range 2 {
			list = append(list, Machine[int]{Handle: i, Name: fmt.Sprint(i), Up: up, ReadyAt: 10 * sec, Free: size(0), Releases: []Release{{5 * sec, size(4)}}})
		}
		return list
	}
	asks := []Request[int]{{Job: "wide", Size: size(4), Tasks: 2, Allows: func(int) bool { return true }}}
	b.Plan(0, asks, machines(false))
	if len(b.Machines()) != 2 {
		t.Fatalf("%v are held while they boot", b.Machines())
	}
	if changed := b.Plan(0, asks, machines(true)); !slices.Equal(b.Machines(), []int{0}) || !slices.Equal(changed, []int{1}) {
		t.Errorf("%v of two machines are held once they are up, changed %v", b.Machines(), changed)
	}
}
