package ledger

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/barrowbridge/barrowbridge/internal/placement"
)

func drawState(t *rapid.T) MachineState {
	state := MachineState{Kind: Kind{
		Shard: rapid.IntRange(0, 1).Draw(t, "shard"),
		Type:  "std",
		Zone:  rapid.SampledFrom([]string{"n", "s"}).Draw(t, "zone"),
		Spot:  rapid.Bool().Draw(t, "spot"), EmptyRental: rapid.Bool().Draw(t, "empty")},
		Usable: rapid.IntRange(0, 3).Draw(t, "usable") > 0,
		Free: placement.Size{
			CPUs:        float64(rapid.IntRange(0, 40).Draw(t, "cpus")) / 10,
			MemGB:       float64(rapid.IntRange(0, 16).Draw(t, "mem")),
			ReportBytes: float64(rapid.IntRange(0, 900).Draw(t, "report")),
		},
		UrgentSlots: rapid.IntRange(0, 4).Draw(t, "slots"),
	}
	if rapid.Bool().Draw(t, "used") {
		state.Usage = []TeamUsage{{rapid.SampledFrom([]string{"red", "blue"}).Draw(t, "team"), placement.Size{CPUs: 0.1}}}
	}
	if rapid.IntRange(0, 4).Draw(t, "unknown") == 0 {
		state.UnknownUse = placement.Size{CPUs: 4, MemGB: 16}
	}
	return state
}

// However machines are put, changed and removed: the sums match a recount, and the machine that the
// heuristic chooses among the proposed ones has the same beta as the one it chooses among all.
func TestFindMatchesFullScan(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		ledger, states := New[int](), map[int]MachineState{}
		for range rapid.IntRange(1, 60).Draw(t, "changes") {
			h := rapid.IntRange(0, 25).Draw(t, "machine")
			if rapid.IntRange(0, 5).Draw(t, "drop") == 0 {
				ledger.Remove(h)
				delete(states, h)
				continue
			}
			state := drawState(t)
			ledger.Put(h, fmt.Sprint(h), state)
			states[h] = state
		}
		size := placement.Size{
			CPUs:        float64(rapid.IntRange(1, 30).Draw(t, "size")) / 10,
			MemGB:       float64(rapid.IntRange(1, 8).Draw(t, "size_mem")),
			ReportBytes: float64(rapid.IntRange(1, 300).Draw(t, "entry")),
		}
		anchor := rapid.Bool().Draw(t, "anchor")
		image := rapid.Map(rapid.IntRange(2, 9), func(n int) func(int) bool { return func(h int) bool { return h%n == 0 } }).Draw(t, "image")
		kinds := func(k Kind) bool { return !k.Spot }
		candidate := func(state MachineState, h int) placement.Candidate {
			c := placement.Candidate{Free: state.Free, EmptyRental: state.EmptyRental}
			if image(h) {
				c.Preference = 1
			}
			return c
		}
		var all []placement.Candidate
		spare, used := 0, placement.Size{}
		for h := range 26 {
			state, ok := states[h]
			if !ok {
				continue
			}
			if state.Shard == 0 && state.Usable && !state.Spot {
				spare += state.UrgentSlots
				if placement.Fits(state.Free, size) {
					all = append(all, candidate(state, h))
				}
			}
			for _, u := range state.Usage {
				if u.Team == "red" {
					used = used.Add(u.Size)
				}
			}
			if state.Shard == 0 {
				used = used.Add(state.UnknownUse)
			}
		}
		if got := ledger.UrgentSlots(0); got != spare {
			t.Fatalf("%d urgent slots, recounted %d", got, spare)
		}
		if got := ledger.Used("red", 0); !placement.Fits(got, used) || !placement.Fits(used, got) {
			t.Fatalf("used %v, recounted %v", got, used)
		}
		var proposed []placement.Candidate
		for _, state := range ledger.Find(0, size, anchor, 64, kinds, func(int) bool { return true }, image, nil) {
			proposed = append(proposed, candidate(MachineState{Kind: state.Kind, Free: state.Free}, state.Handle))
		}
		want, got := placement.Pick(all, size, anchor), placement.Pick(proposed, size, anchor)
		if (want < 0) != (got < 0) {
			t.Fatalf("chose candidate %d, a full scan chooses %d", got, want)
		}
		if want < 0 {
			return
		}
		x, y := all[want], proposed[got]
		if x.Preference != y.Preference || anchor && x.EmptyRental != y.EmptyRental ||
			placement.Beta(x.Free, size) != placement.Beta(y.Free, size) {
			t.Fatalf("chose %+v, a full scan chooses %+v", y, x)
		}
	})
}

func TestSilentMachinesAreReturnedOnce(t *testing.T) {
	ledger := New[string]()
	for i, h := range []string{"a", "b", "c"} {
		if !ledger.RecordReport(h, h, time.Duration(i)*time.Second) {
			t.Fatalf("first report of %s: it counts as known", h)
		}
	}
	if ledger.RecordReport("a", "a", 3*time.Second) {
		t.Error("a has never been silent, but counts as returned")
	}
	if got := fmt.Sprint(ledger.TakeSilent(2 * time.Second)); got != "[b c]" {
		t.Errorf("silent machines: %s, want [b c]", got)
	}
	if got := ledger.TakeSilent(2 * time.Second); got != nil {
		t.Errorf("returned as silent twice: %v", got)
	}
	if !ledger.RecordReport("c", "c", 4*time.Second) {
		t.Error("c reports again, but does not count as returned")
	}
}

// The cost of a choice must not grow with the number of machines.
func BenchmarkFind(b *testing.B) {
	for _, n := range []int{100, 1000, 10000} {
		ledger := New[int]()
		for i := range n {
			ledger.Put(i, fmt.Sprintf("n-%06d", i), MachineState{
				Kind:   Kind{Type: "std", Zone: []string{"n", "s"}[i%2]},
				Usable: true,
				Free:   placement.Size{CPUs: float64(i%40) / 10, MemGB: float64(i % 17)}})
		}
		for _, anchor := range []bool{false, true} {
			b.Run(fmt.Sprintf("anchor-%v-%d", anchor, n), func(b *testing.B) {
				var out []Match[int]
				for range b.N {
					out = ledger.Find(0, placement.Size{CPUs: 1.5, MemGB: 5}, anchor, 64,
						func(Kind) bool { return true },
						func(int) bool { return true },
						func(int) bool { return false },
						out[:0])
				}
			})
		}
		b.Run(fmt.Sprintf("put-%d", n), func(b *testing.B) {
			for i := range b.N {
				f, _ := ledger.Get(i % n)
				f.Free.CPUs = float64(i%37) / 10
				ledger.Put(i%n, fmt.Sprintf("n-%06d", i%n), f)
			}
		})
	}
}
