package ledger

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/barrowbridge/barrowbridge/internal/placement"
)

func drawFacts(t *rapid.T) MachineState {
	f := MachineState{Kind: Kind{Shard: rapid.IntRange(0, 1).Draw(t, "shard"), Type: "std", Zone: rapid.SampledFrom([]string{"n", "s"}).Draw(t, "zone"),
		Spot: rapid.Bool().Draw(t, "spot"), EmptyRental: rapid.Bool().Draw(t, "opens")},
		Usable:      rapid.IntRange(0, 3).Draw(t, "usable") > 0,
		Free:        placement.Size{CPUs: float64(rapid.IntRange(0, 40).Draw(t, "cpus")) / 10, MemGB: float64(rapid.IntRange(0, 16).Draw(t, "mem"))},
		UrgentSlots: rapid.IntRange(0, 4).Draw(t, "spare")}
	if rapid.Bool().Draw(t, "used") {
		f.Usage = []TeamUsage{{rapid.SampledFrom([]string{"red", "blue"}).Draw(t, "team"), placement.Size{CPUs: 0.1}}}
	}
	if rapid.IntRange(0, 4).Draw(t, "unknown") == 0 {
		f.UnknownUse = placement.Size{CPUs: 4, MemGB: 16}
	}
	return f
}

// However machines come, change and go, the sums are those of the machines, and the
// heuristic chooses among what is proposed a machine of the same beta as among all.
func TestFindMatchesFullScan(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		b, all := New[int](), map[int]MachineState{}
		for range rapid.IntRange(1, 60).Draw(t, "changes") {
			h := rapid.IntRange(0, 25).Draw(t, "machine")
			if rapid.IntRange(0, 5).Draw(t, "drop") == 0 {
				b.Remove(h)
				delete(all, h)
				continue
			}
			f := drawFacts(t)
			b.Put(h, fmt.Sprint(h), f)
			all[h] = f
		}
		ask := placement.Size{CPUs: float64(rapid.IntRange(1, 30).Draw(t, "ask")) / 10, MemGB: float64(rapid.IntRange(1, 8).Draw(t, "askmem"))}
		anchor := rapid.Bool().Draw(t, "anchor")
		image := rapid.Map(rapid.IntRange(2, 9), func(n int) func(int) bool { return func(h int) bool { return h%n == 0 } }).Draw(t, "image")
		kinds := func(k Kind) bool { return !k.Spot }
		candidate := func(f MachineState, h int) placement.Candidate {
			c := placement.Candidate{Free: f.Free, EmptyRental: f.EmptyRental}
			if image(h) {
				c.Preference = 1
			}
			return c
		}
		var plain []placement.Candidate
		spare, used := 0, placement.Size{}
		for h := range 26 {
			f, ok := all[h]
			if !ok {
				continue
			}
			if f.Shard == 0 && f.Usable && !f.Spot {
				spare += f.UrgentSlots
				if placement.Fits(f.Free, ask) {
					plain = append(plain, candidate(f, h))
				}
			}
			for _, u := range f.Usage {
				if u.Team == "red" {
					used = used.Add(u.Size)
				}
			}
			if f.Shard == 0 {
				used = used.Add(f.UnknownUse)
			}
		}
		if got := b.UrgentSlots(0); got != spare {
			t.Fatalf("spare room %d, counted afresh %d", got, spare)
		}
		if got := b.Used("red", 0); !placement.Fits(got, used) || !placement.Fits(used, got) {
			t.Fatalf("used %v, counted afresh %v", got, used)
		}
		var cs []placement.Candidate
		for _, f := range b.Find(0, ask, anchor, 64, kinds, func(int) bool { return true }, image, nil) {
			cs = append(cs, candidate(MachineState{Kind: f.Kind, Free: f.Free}, f.Handle))
		}
		want, got := placement.Pick(plain, ask, anchor), placement.Pick(cs, ask, anchor)
		if (want < 0) != (got < 0) {
			t.Fatalf("found %d, the plain way %d", got, want)
		}
		if want < 0 {
			return
		}
		x, y := plain[want], cs[got]
		if x.Preference != y.Preference || anchor && x.EmptyRental != y.EmptyRental || placement.Beta(x.Free, ask) != placement.Beta(y.Free, ask) {
			t.Fatalf("chosen %+v, the plain way %+v", y, x)
		}
	})
}

func TestSilentMachinesAreReturnedOnce(t *testing.T) {
	b := New[string]()
	for i, h := range []string{"a", "b", "c"} {
		if !b.RecordReport(h, h, time.Duration(i)*time.Second) {
			t.Fatalf("%s was known before", h)
		}
	}
	if b.RecordReport("a", "a", 3*time.Second) {
		t.Error("a was never silent")
	}
	if got := fmt.Sprint(b.TakeSilent(2 * time.Second)); got != "[b c]" {
		t.Errorf("silent: %s", got)
	}
	if got := b.TakeSilent(2 * time.Second); got != nil {
		t.Errorf("told twice: %v", got)
	}
	if !b.RecordReport("c", "c", 4*time.Second) {
		t.Error("c is back, and was not said to be")
	}
}

// What a choice costs must not grow with the fleet.
func BenchmarkFind(b *testing.B) {
	for _, n := range []int{100, 1000, 10000} {
		book := New[int]()
		for i := range n {
			book.Put(i, fmt.Sprintf("n-%06d", i), MachineState{Kind: Kind{Type: "std", Zone: []string{"n", "s"}[i%2]}, Usable: true,
				Free: placement.Size{CPUs: float64(i%40) / 10, MemGB: float64(i % 17)}})
		}
		for _, anchor := range []bool{false, true} {
			b.Run(fmt.Sprintf("anchor-%v-%d", anchor, n), func(b *testing.B) {
				var out []Match[int]
				for range b.N {
					out = book.Find(0, placement.Size{CPUs: 1.5, MemGB: 5}, anchor, 64, func(Kind) bool { return true }, func(int) bool { return true }, func(int) bool { return false }, out[:0])
				}
			})
		}
		b.Run(fmt.Sprintf("put-%d", n), func(b *testing.B) {
			for i := range b.N {
				f, _ := book.Get(i % n)
				f.Free.CPUs = float64(i%37) / 10
				book.Put(i%n, fmt.Sprintf("n-%06d", i%n), f)
			}
		})
	}
}
