package weights

import (
	"encoding/json"
	"fmt"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/barrowbridge/barrowbridge/wire"
)

var limitsOf = Limits{MinMachines: 4, MaxServed: 2, MaxSources: 2, MaxZoneRoots: 2, MinMeasurements: 4, StoreBoundShare: 0.5, StoreFetchFactor: 1.25, MinFetchDuration: time.Second, MeasurementTTL: 10 * time.Minute, PlanTTL: 2 * time.Minute, IdleFactor: 3}

func machineAt(i int, zone string) Machine {
	n := fmt.Sprintf("n-%02d", i)
	return Machine{Name: n, Zone: zone, Addr: n + ":1", Shard: 1, FetchGBps: 1}
}

func bookOf(s Switches) *Planner { return NewPlanner(s, limitsOf, NewCacheIndex(time.Minute)) }

// First copies come from the store, one to a zone before any zone has two; all others from machines of their own
// zone, each of which serves at most Degree, and nobody from itself or from one that needs it.
func TestWhoFetchesFromWhom(t *testing.T) {
	b := bookOf(Switches{PeerTransfer: true})
	from, serves := map[string][]string{}, map[string]int{}
	for i := range 40 {
		m := machineAt(i, []string{"n", "s"}[i%2])
		sources, ok := b.PlanFetch(0, m, "w", 6, 40)
		if !ok {
			t.Fatalf("%d waits", i)
		}
		if i < 2 && len(sources) > 0 || i >= 4 && len(sources) == 0 {
			t.Errorf("%d: from %v", i, sources)
		}
		for _, s := range sources {
			var k int
			if _, err := fmt.Sscanf(s, "n-%02d:1", &k); err != nil || k >= i || k%2 != i%2 {
				t.Errorf("%d of zone %s has it from %s", i, m.Zone, s)
			}
			if serves[s]++; serves[s] > limitsOf.MaxServed {
				t.Errorf("%s serves %d", s, serves[s])
			}
		}
		from[m.Name] = sources
	}
	for n, c := range b.copies["w"] {
		if c.depth > 10 { // a tree of two, not a chain
			t.Errorf("%s is %d from a copy that needs nobody", n, c.depth)
		}
	}
	if again, ok := b.PlanFetch(0, machineAt(9, "s"), "w", 6, 40); again != nil || !ok {
		t.Errorf("a second task of a machine that fetches it already: %v, %v", again, ok)
	}
	if few, _ := b.PlanFetch(0, machineAt(50, "n"), "other", 6, 3); few != nil {
		t.Errorf("of a job of three: from %v", few)
	}
}

// A zone's first copy comes from the store however little that gives.
func TestFirstCopyOfAZone(t *testing.T) {
	b := bookOf(Switches{PeerTransfer: true})
	now := fetchAll(b, 0, 8, 6, 0.5)
	if b.storeRate.maxFetches(now) != 1 {
		t.Fatalf("not the meeting: %d may fetch at a time", b.storeRate.maxFetches(now))
	}
	for i, first := range []bool{true, false, true, false} {
		sources, _ := b.PlanFetch(now, machineAt(i, []string{"n", "s"}[i/2]), "w", 6, 40)
		if (len(sources) == 0) != first {
			t.Errorf("%d: from %v", i, sources)
		}
	}
}

// Whatever is seen, told and forgotten, in whatever order: the fetches from the store that are counted are those
// that are under way.
func TestFetchesAreCounted(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		b := bookOf(Switches{PeerTransfer: rapid.Bool().Draw(t, "hand on"), PaceFetches: rapid.Bool().Draw(t, "pace")})
		for now := range rapid.IntRange(0, 80).Draw(t, "n") {
			m, image := machineAt(rapid.IntRange(0, 7).Draw(t, "machine"), "n"), rapid.SampledFrom([]string{"a", "b"}).Draw(t, "image")
			switch rapid.IntRange(0, 3).Draw(t, "what") {
			case 0:
				b.PlanFetch(sec(float64(now)), m, image, 6, 40)
			case 1:
				b.RemoveMachine(m.Name)
			case 2:
				b.UpdateMachine(sec(float64(now)), m, nil)
			default:
				b.UpdateMachine(sec(float64(now)), m, []ImageUse{{Image: image, GB: 6, Present: rapid.Bool().Draw(t, "there")}})
			}
			n := 0
			for _, machines := range b.copies {
				for _, c := range machines {
					if !c.present && len(c.sources) == 0 {
						n++
					}
				}
			}
			if b.storeFetches != n {
				t.Fatalf("%d are counted, %d under way", b.storeFetches, n)
			}
		}
	})
}

// What is gone is no source: a machine that left, an image that no task uses, a fetch given up.
func TestSourcesThatAreGone(t *testing.T) {
	b := bookOf(Switches{PeerTransfer: true})
	names := func() (list []string) {
		for _, c := range b.availableSources("w", machineAt(99, "n")) {
			list = append(list, c.Name)
		}
		return list
	}
	for i := range 4 {
		b.PlanFetch(0, machineAt(i, "n"), "w", 6, 40)
	}
	b.UpdateMachine(sec(7), machineAt(0, "n"), []ImageUse{{Image: "w", GB: 6, Present: true}})
	b.UpdateMachine(sec(7), machineAt(1, "n"), []ImageUse{{Image: "w", GB: 6}})
	if got := names(); !slices.Equal(got, []string{"n-02", "n-03"}) && !slices.Contains(got, "n-02") {
		t.Errorf("%v", got)
	}
	b.RemoveMachine("n-02")
	b.UpdateMachine(sec(8), machineAt(3, "n"), nil)
	for _, n := range names() {
		if n == "n-02" || n == "n-03" {
			t.Errorf("%s is gone, and named", n)
		}
	}
	if len(names()) == 0 {
		t.Error("nobody is left")
	}
	b.RemoveMachine("n-00")
	b.RemoveMachine("n-01")
	if len(b.copies) != 0 || len(b.machineImages) != 0 {
		t.Errorf("left: %v %v", b.copies, b.machineImages)
	}
}

func sec(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }

// fetchAll has so many machines fetch an image at once, each at this rate, or the part of the store's that is
// theirs.
func fetchAll(b *Planner, at time.Duration, n int, gb, store float64) time.Duration {
	rate := 1.0
	if store > 0 {
		rate = min(1, store/float64(n))
	}
	end := at + sec(gb/rate)
	for i := range n {
		b.UpdateMachine(at, machineAt(i, "n"), []ImageUse{{Image: fmt.Sprint(at), GB: gb}})
	}
	for i := range n {
		b.UpdateMachine(end, machineAt(i, "n"), []ImageUse{{Image: fmt.Sprint(at), GB: gb, Present: true}})
	}
	for i := range n {
		b.UpdateMachine(end, machineAt(i, "n"), nil)
	}
	return end
}

// Nothing is held back where a machine's own rate binds, where little is known, or after long.
func TestTheStoreIsMeasured(t *testing.T) {
	b := bookOf(Switches{PaceFetches: true})
	now := fetchAll(b, 0, 30, 6, 0)
	if b.storeRate.gbps(now) != 0 || b.storeRate.maxFetches(now) != 0 {
		t.Errorf("own rates bind: %v, %d", b.storeRate.gbps(now), b.storeRate.maxFetches(now))
	}
	b = bookOf(Switches{PaceFetches: true})
	if now = fetchAll(b, 0, 3, 6, 0.5); b.storeRate.maxFetches(now) != 0 {
		t.Errorf("three fetches: %d", b.storeRate.maxFetches(now))
	}
	now = fetchAll(b, now, 20, 6, 4)
	if r := b.storeRate.gbps(now); r < 2 || r > 4.5 {
		t.Errorf("20 fetches of a store of 4 GB/s: %v", r)
	}
	now = fetchAll(b, now, 20, 6, 4)
	most := b.storeRate.maxFetches(now)
	if most < 4 || most > 6 {
		t.Errorf("four fetches use the store up, and %d are let", most)
	}
	told := 0
	for i := range 20 {
		if _, ok := b.PlanFetch(now, machineAt(i, "n"), "next", 6, 20); ok {
			told++
		}
	}
	if told != most {
		t.Errorf("%d of %d are told to fetch at once", told, most)
	}
	for i := range told { // as many as are let get their own rate: that is no reason to let more
		b.UpdateMachine(now+sec(6), machineAt(i, "n"), []ImageUse{{Image: "next", GB: 6, Present: true}})
	}
	if got := b.storeRate.maxFetches(now + sec(6)); got != most {
		t.Errorf("held back, %d are let", got)
	}
	if got := b.storeRate.maxFetches(now + limitsOf.MeasurementTTL + sec(7)); got != 0 {
		t.Errorf("long after: %d", got)
	}
}

// Fetches that other holders have written count for a while, and a plan fits into its record whatever it names.
func TestPlans(t *testing.T) {
	b := bookOf(Switches{PeerTransfer: true, PaceFetches: true})
	b.LoadPlan(0, 2, wire.Weights{Images: []wire.WeightsImage{{Image: "w", Roots: []string{"x", "y"}}}}, false)
	if n := b.storeFetchCount(sec(1)); n != 2 {
		t.Errorf("%d under way by others", n)
	}
	if n := b.storeFetchCount(limitsOf.PlanTTL + sec(1)); n != 0 {
		t.Errorf("%d under way by who has not been heard of since", n)
	}
	for k := range 40 {
		for i := range 6 {
			b.PlanFetch(0, machineAt(100*k+i, "n"), fmt.Sprintf("image-%02d", k), 6, 40)
		}
	}
	for _, bytes := range []int{200, 1000, 8000} {
		rec, due := b.NextPlan(1, bytes)
		raw, err := json.Marshal(map[string]any{"images": rec.Images})
		if !due || err != nil || len(raw) > bytes || len(rec.Images) == 0 {
			t.Errorf("%d bytes: %d, %d images, due %v, %v", bytes, len(raw), len(rec.Images), due, err)
		}
	}
	rec, _ := b.NextPlan(1, 8000)
	b.LoadPlan(sec(1), 1, rec, true)
	if _, due := b.NextPlan(1, 8000); due {
		t.Error("it stands")
	}
	b.UpdateMachine(sec(6), machineAt(0, "n"), []ImageUse{{Image: "image-00", GB: 6, Present: true}})
	if next, due := b.NextPlan(1, 8000); !due || next.Images[slices.IndexFunc(next.Images, func(x wire.WeightsImage) bool { return x.Image == "image-00" })].Stage != StageTree {
		t.Error("another stage")
	}
	off := bookOf(Switches{})
	off.UpdateMachine(0, machineAt(0, "n"), []ImageUse{{Image: "w", GB: 6}})
	if _, due := off.NextPlan(1, 8000); due {
		t.Error("nothing is switched on")
	}
}

// Records of what machines have come in turn, and one that was not written comes again.
func TestCachesInTurn(t *testing.T) {
	c := NewCacheIndex(time.Minute)
	c.MarkDirty(3)
	var has []MachineImages
	for i := range 60 {
		has = append(has, MachineImages{Machine: fmt.Sprintf("n-%06d", i), Images: []string{"a"}})
	}
	mine, of := func(int) bool { return true }, func(int) []MachineImages { return has }
	var keys []string
	now := time.Duration(0)
	for range 100 {
		now += 2 * time.Second
		if i, key, rec := c.NextWrite(now, mine, of, 1000); rec != nil {
			if keys = append(keys, key); len(keys) == 2 {
				c.WriteFailed(i)
			}
		}
	}
	if len(keys) < 3 || keys[0] != "live/cache/3" || keys[1] != "live/cache/3.1" || keys[2] != "live/cache/3.1" {
		t.Errorf("%v", keys)
	}
	if _, _, rec := c.NextWrite(now+time.Hour, mine, of, 1000); rec != nil {
		t.Error("nothing more to write")
	}
}

// A machine is busy with what many want alone, and not for a task of that; one that has it is kept for longer.
// Nothing of that with nothing switched on.
func TestBusyAndKept(t *testing.T) {
	for _, on := range []bool{true, false} {
		b := bookOf(Switches{PaceFetches: on})
		for i := range 4 {
			b.UpdateMachine(0, machineAt(i, "n"), []ImageUse{{Image: "w", GB: 6, Present: i == 3}})
		}
		b.UpdateMachine(0, machineAt(9, "n"), []ImageUse{{Image: "rare", GB: 6}})
		if b.FetchesOtherImage("n-00", "alarm") != on || b.FetchesOtherImage("n-00", "w") || b.FetchesOtherImage("n-03", "alarm") || b.FetchesOtherImage("n-09", "alarm") {
			t.Errorf("on %v: busy", on)
		}
		kept := map[bool]time.Duration{true: 60 * time.Second, false: 20 * time.Second}[on]
		if got := b.IdleTimeout(map[string]bool{"old": true, "w": true}, 20*time.Second); got != kept {
			t.Errorf("on %v: kept for %v", on, got)
		}
		if got := b.IdleTimeout(map[string]bool{"rare": true}, 20*time.Second); got != 20*time.Second {
			t.Errorf("on %v: with what one has, kept for %v", on, got)
		}
	}
}
