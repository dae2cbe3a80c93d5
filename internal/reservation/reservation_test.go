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

// Machines are reserved where a task fits first. Each job gets one reservation before any gets two.
// Tasks without a foreseeable end are not waited for, and a reservation that still applies stays on
// its machine.
func TestReservedMachines(t *testing.T) {
	release := func(at int, cpus float64) Release { return Release{time.Duration(at) * sec, size(cpus)} }
	machines := func() []Machine[string] {
		return []Machine[string]{
			{Handle: "a", Name: "a", Up: true, Releases: []Release{release(30, 2), release(10, 2)}},
			{Handle: "b", Name: "b", Up: true, Free: size(1), Releases: []Release{release(20, 3)}},
			{Handle: "c", Name: "c", Up: true, Free: size(3)}, // the other task has no foreseeable end
			{Handle: "d", Name: "d", Up: true, Releases: []Release{release(200, 4)}},
			{Handle: "new", Name: "new", ReadyAt: 25 * sec, Free: size(4)},
			{Handle: "e", Name: "e", Up: true},
			{Handle: "f", Name: "f", Up: true},
			{Handle: "g", Name: "g", Up: true},
			{Handle: "h", Name: "h", Up: true},
		}
	}
	reserved := func(table *Table[string]) (out []string) {
		for _, m := range table.Machines() {
			reservation, _ := table.Get(m)
			out = append(out, fmt.Sprint(reservation.Job, " on ", m, " at ", reservation.FitsAt))
		}
		return out
	}
	x := Request[string]{Job: "x", Size: size(4), Tasks: 3, Allows: anywhere}
	y := Request[string]{Job: "y", Size: size(4), Tasks: 1, Allows: anywhere}
	table := New[string](limits)
	for _, c := range []struct {
		requests []Request[string]
		want     []string
	}{
		// A quarter of the eight machines that are up, and the one that boots.
		{[]Request[string]{x}, []string{"x on b at 20s", "x on new at 25s", "x on a at 30s"}},
		{[]Request[string]{y, x}, []string{"x on b at 20s", "x on new at 25s", "x on a at 30s"}},
		{[]Request[string]{y}, []string{"y on b at 20s"}},
		{[]Request[string]{y, x}, []string{"y on b at 20s", "x on new at 25s", "x on a at 30s"}},
		{nil, nil},
	} {
		table.Plan(0, c.requests, machines())
		if got := reserved(table); !slices.Equal(got, c.want) {
			t.Errorf("reserved %q, want %q", got, c.want)
		}
	}
	table.Plan(0, []Request[string]{y}, machines()[:1])
	if changed := table.Plan(0, []Request[string]{y}, machines()); !slices.Equal(reserved(table), []string{"y on b at 20s"}) ||
		len(changed) != 2 {
		t.Errorf("a machine that is free ten seconds sooner: reserved %q, changed %q", reserved(table), changed)
	}
}

// Whatever jobs wait and whatever machines do: no more machines are reserved than the share allows,
// none for a job that does not wait, and none where the task will not fit. Two tables with the same
// history agree.
func TestReservationsAreBounded(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		first, second := New[int](limits), New[int](limits)
		for range rapid.IntRange(1, 6).Draw(t, "plans") {
			var machines []Machine[int]
			up := 0
			for i := range rapid.IntRange(0, 12).Draw(t, "machines") {
				m := Machine[int]{
					Handle:  i,
					Name:    fmt.Sprint(i),
					Up:      rapid.Bool().Draw(t, "up"),
					Free:    size(float64(rapid.IntRange(0, 3).Draw(t, "free"))),
					ReadyAt: 10 * sec,
				}
				for range rapid.IntRange(0, 3).Draw(t, "releases") {
					m.Releases = append(m.Releases, Release{time.Duration(rapid.IntRange(0, 150).Draw(t, "at")) * sec, size(1)})
				}
				if m.Up {
					up++
				}
				machines = append(machines, m)
			}
			var requests []Request[int]
			requestOf := map[string]*Request[int]{}
			for i := range rapid.IntRange(0, 4).Draw(t, "requests") {
				firstAllowed := rapid.IntRange(0, 3).Draw(t, "allowed from")
				requests = append(requests, Request[int]{
					Job:    fmt.Sprint("j", i),
					Size:   size(float64(rapid.IntRange(2, 4).Draw(t, "size"))),
					Tasks:  rapid.IntRange(1, 4).Draw(t, "tasks"),
					Allows: func(m int) bool { return m >= firstAllowed },
				})
			}
			for i := range requests {
				requestOf[requests[i].Job] = &requests[i]
			}
			first.Plan(0, requests, slices.Clone(machines))
			slices.Reverse(machines)
			second.Plan(0, requests, machines)
			if !slices.Equal(first.Machines(), second.Machines()) {
				t.Fatalf("two tables with the same history differ: %v and %v", first.Machines(), second.Machines())
			}
			reserved, perJob := 0, map[string]int{}
			for _, h := range first.Machines() {
				x, _ := first.Get(h)
				k := slices.IndexFunc(machines, func(m Machine[int]) bool { return m.Handle == h })
				if k < 0 || requestOf[x.Job] == nil || !requestOf[x.Job].Allows(h) {
					t.Fatalf("machine %d is reserved for %s", h, x.Job)
				}
				if at, ok := machines[k].FitTime(0, x.Size); !ok || at != x.FitsAt || at > limits.Horizon {
					t.Fatalf("machine %d is reserved, free at %v %v", h, at, ok)
				}
				if perJob[x.Job]++; perJob[x.Job] > requestOf[x.Job].Tasks {
					t.Fatalf("%d reservations for %s", perJob[x.Job], x.Job)
				}
				if machines[k].Up {
					reserved++
				}
			}
			if reserved > max(1, up/4) {
				t.Fatalf("%d of %d machines are reserved", reserved, up)
			}
		}
	})
}

// Only requests that are much larger than the rest get reservations. Of a team's limit, the size of
// the first request that does not fit is reserved.
func TestOversizedAndTeamReservations(t *testing.T) {
	request := func(job, team string, cpus, mem float64, full bool) Request[int] {
		return Request[int]{Job: job, Team: team, TeamFull: full, Size: placement.Size{CPUs: cpus, MemGB: mem}}
	}
	requests := []Request[int]{
		request("a", "red", 1, 2, true),
		request("b", "red", 4, 2, true),
		request("c", "red", 4, 2, true),
		request("d", "blue", 1, 8, false),
		request("e", "blue", 2, 2, true),
	}
	for smallest, want := range map[placement.Size]string{{CPUs: 1, MemGB: 2}: "bcde", {CPUs: 2, MemGB: 4}: "bcd", {CPUs: 1}: "bce", {}: ""} {
		got := ""
		for _, a := range Oversized(requests, smallest, 2) {
			got += a.Job
		}
		if got != want {
			t.Errorf("smallest other task %+v: oversized %q, want %q", smallest, got, want)
		}
	}
	if k := TeamReservations(requests[1:]); len(k) != 2 || k["red"].Job != "b" || k["blue"].Job != "e" {
		t.Errorf("reservations by team: %v", k)
	}
}

// Reservations on booting machines count against the limit once the machines are up.
func TestReservationsOfBootingMachinesCountOnceUp(t *testing.T) {
	table := New[int](limits)
	machines := func(up bool) (list []Machine[int]) {
		for i := range 2 {
			list = append(list, Machine[int]{
				Handle:   i,
				Name:     fmt.Sprint(i),
				Up:       up,
				ReadyAt:  10 * sec,
				Free:     size(0),
				Releases: []Release{{5 * sec, size(4)}},
			})
		}
		return list
	}
	requests := []Request[int]{{Job: "wide", Size: size(4), Tasks: 2, Allows: func(int) bool { return true }}}
	table.Plan(0, requests, machines(false))
	if len(table.Machines()) != 2 {
		t.Fatalf("reserved while they boot: %v", table.Machines())
	}
	if changed := table.Plan(0, requests, machines(true)); !slices.Equal(table.Machines(), []int{0}) || !slices.Equal(changed, []int{1}) {
		t.Errorf("%v of two machines are reserved once they are up, changed %v", table.Machines(), changed)
	}
}
