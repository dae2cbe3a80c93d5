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

var testLimits = Limits{MinMachines: 4, MaxServed: 2, MaxSources: 2, MaxZoneRoots: 2, MinMeasurements: 4, StoreBoundShare: 0.5, StoreFetchFactor: 1.25, MinFetchDuration: time.Second, MeasurementTTL: 10 * time.Minute, PlanTTL: 2 * time.Minute, IdleFactor: 3}

func machineAt(i int, zone string) Machine {
	n := fmt.Sprintf("n-%02d", i)
	return Machine{Name: n, Zone: zone, Addr: n + ":1", Shard: 1, FetchGBps: 1}
}

func newTestPlanner(s Switches) *Planner {
	return NewPlanner(s, testLimits, NewCacheIndex(time.Minute))
}

// The first copies come from the store, one in each zone before any zone has two. All others come
// from machines of the same zone, each of which serves at most MaxServed, and never from the
// machine itself or from one that depends on it.
func TestAssignedSources(t *testing.T) {
	planner := newTestPlanner(Switches{PeerTransfer: true})
	from, serves := map[string][]string{}, map[string]int{}
	for i := range 40 {
		m := machineAt(i, []string{"n", "s"}[i%2])
		sources, ok := planner.PlanFetch(0, m, "w", 6, 40)
		if !ok {
			t.Fatalf("%d waits", i)
		}
		if i < 2 && len(sources) > 0 || i >= 4 && len(sources) == 0 {
			t.Errorf("%d: from %v", i, sources)
		}
		for _, s := range sources {
			var k int
			if _, err := fmt.Sscanf(s, "n-%02d:1", &k); err != nil || k >= i || k%2 != i%2 {
				t.Errorf("%d of zone %s fetches it from %s", i, m.Zone, s)
			}
			if serves[s]++; serves[s] > testLimits.MaxServed {
				t.Errorf("%s serves %d", s, serves[s])
			}
		}
		from[m.Name] = sources
	}
	for n, c := range planner.copies["w"] {
		if c.depth > 10 { // a binary tree, not a chain
			t.Errorf("%s is %d steps from a copy that depends on no other", n, c.depth)
		}
	}
	if again, ok := planner.PlanFetch(0, machineAt(9, "s"), "w", 6, 40); again != nil || !ok {
		t.Errorf("a second task on a machine that fetches it already: %v, %v", again, ok)
	}
	if few, _ := planner.PlanFetch(0, machineAt(50, "n"), "other", 6, 3); few != nil {
		t.Errorf("job of three tasks: from %v", few)
	}
}

// The first copy in a zone comes from the store however low its rate is.
func TestFirstCopyOfAZone(t *testing.T) {
	planner := newTestPlanner(Switches{PeerTransfer: true})
	now := fetchAll(planner, 0, 8, 6, 0.5)
	if planner.storeRate.maxFetches(now) != 1 {
		t.Fatalf("precondition: %d may fetch at a time, want 1", planner.storeRate.maxFetches(now))
	}
	for i, first := range []bool{true, false, true, false} {
		sources, _ := planner.PlanFetch(now, machineAt(i, []string{"n", "s"}[i/2]), "w", 6, 40)
		if (len(sources) == 0) != first {
			t.Errorf("%d: from %v", i, sources)
		}
	}
}

// Whichever machines are updated, planned for and removed, in any order, the counted fetches from
// the store are those in progress.
func TestFetchesAreCounted(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		planner := newTestPlanner(Switches{PeerTransfer: rapid.Bool().Draw(t, "hand on"), PaceFetches: rapid.Bool().Draw(t, "pace")})
		for now := range rapid.IntRange(0, 80).Draw(t, "n") {
			m, image := machineAt(rapid.IntRange(0, 7).Draw(t, "machine"), "n"), rapid.SampledFrom([]string{"a", "b"}).Draw(t, "image")
			switch rapid.IntRange(0, 3).Draw(t, "what") {
			case 0:
				planner.PlanFetch(sec(float64(now)), m, image, 6, 40)
			case 1:
				planner.RemoveMachine(m.Name)
			case 2:
				planner.UpdateMachine(sec(float64(now)), m, nil)
			default:
				planner.UpdateMachine(sec(float64(now)), m, []ImageUse{{Image: image, GB: 6, Present: rapid.Bool().Draw(t, "there")}})
			}
			n := 0
			for _, machines := range planner.copies {
				for _, c := range machines {
					if !c.present && len(c.sources) == 0 {
						n++
					}
				}
			}
			if planner.storeFetches != n {
				t.Fatalf("%d are counted, %d in progress", planner.storeFetches, n)
			}
		}
	})
}

// A removed machine, an image that no task uses and an abandoned fetch are no sources.
func TestRemovedSources(t *testing.T) {
	planner := newTestPlanner(Switches{PeerTransfer: true})
	names := func() (list []string) {
		for _, c := range planner.availableSources("w", machineAt(99, "n")) {
			list = append(list, c.Name)
		}
		return list
	}
	for i := range 4 {
		planner.PlanFetch(0, machineAt(i, "n"), "w", 6, 40)
	}
	planner.UpdateMachine(sec(7), machineAt(0, "n"), []ImageUse{{Image: "w", GB: 6, Present: true}})
	planner.UpdateMachine(sec(7), machineAt(1, "n"), []ImageUse{{Image: "w", GB: 6}})
	if got := names(); !slices.Equal(got, []string{"n-02", "n-03"}) && !slices.Contains(got, "n-02") {
		t.Errorf("%v", got)
	}
	planner.RemoveMachine("n-02")
	planner.UpdateMachine(sec(8), machineAt(3, "n"), nil)
	for _, n := range names() {
		if n == "n-02" || n == "n-03" {
			t.Errorf("%s is removed, but listed as a source", n)
		}
	}
	if len(names()) == 0 {
		t.Error("no sources remain")
	}
	planner.RemoveMachine("n-00")
	planner.RemoveMachine("n-01")
	if len(planner.copies) != 0 || len(planner.machineImages) != 0 {
		t.Errorf("not removed: %v %v", planner.copies, planner.machineImages)
	}
}

func sec(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }

// fetchAll has n machines fetch an image at once, each at its own rate or at its share of the
// store's rate, and returns when they end.
func fetchAll(planner *Planner, at time.Duration, n int, gb, store float64) time.Duration {
	rate := 1.0
	if store > 0 {
		rate = min(1, store/float64(n))
	}
	end := at + sec(gb/rate)
	for i := range n {
		planner.UpdateMachine(at, machineAt(i, "n"), []ImageUse{{Image: fmt.Sprint(at), GB: gb}})
	}
	for i := range n {
		planner.UpdateMachine(end, machineAt(i, "n"), []ImageUse{{Image: fmt.Sprint(at), GB: gb, Present: true}})
	}
	for i := range n {
		planner.UpdateMachine(end, machineAt(i, "n"), nil)
	}
	return end
}

// No fetch waits where a machine's own rate is the bottleneck, where too little is known, or once
// the measurements are too old.
func TestStoreRateEstimate(t *testing.T) {
	planner := newTestPlanner(Switches{PaceFetches: true})
	now := fetchAll(planner, 0, 30, 6, 0)
	if planner.storeRate.gbps(now) != 0 || planner.storeRate.maxFetches(now) != 0 {
		t.Errorf("own rates are the bottleneck: %v, %d", planner.storeRate.gbps(now), planner.storeRate.maxFetches(now))
	}
	planner = newTestPlanner(Switches{PaceFetches: true})
	if now = fetchAll(planner, 0, 3, 6, 0.5); planner.storeRate.maxFetches(now) != 0 {
		t.Errorf("three fetches: %d", planner.storeRate.maxFetches(now))
	}
	now = fetchAll(planner, now, 20, 6, 4)
	if r := planner.storeRate.gbps(now); r < 2 || r > 4.5 {
		t.Errorf("20 fetches of a store of 4 GB/s: %v", r)
	}
	now = fetchAll(planner, now, 20, 6, 4)
	allowed := planner.storeRate.maxFetches(now)
	if allowed < 4 || allowed > 6 {
		t.Errorf("four fetches use up the store, but %d are allowed", allowed)
	}
	started := 0
	for i := range 20 {
		if _, ok := planner.PlanFetch(now, machineAt(i, "n"), "next", 6, 20); ok {
			started++
		}
	}
	if started != allowed {
		t.Errorf("%d fetches are started at once, %d are allowed", started, allowed)
	}
	for i := range started { // the allowed fetches get their own rate, which is no reason to allow more
		planner.UpdateMachine(now+sec(6), machineAt(i, "n"), []ImageUse{{Image: "next", GB: 6, Present: true}})
	}
	if got := planner.storeRate.maxFetches(now + sec(6)); got != allowed {
		t.Errorf("while paced, %d are allowed", got)
	}
	if got := planner.storeRate.maxFetches(now + testLimits.MeasurementTTL + sec(7)); got != 0 {
		t.Errorf("after the measurements expired: %d are allowed", got)
	}
}

// Fetches in the plans of other holders count for a while, and a plan fits into its record whatever
// it names.
func TestPlans(t *testing.T) {
	planner := newTestPlanner(Switches{PeerTransfer: true, PaceFetches: true})
	planner.LoadPlan(0, 2, wire.Weights{Images: []wire.WeightsImage{{Image: "w", Roots: []string{"x", "y"}}}}, false)
	if n := planner.storeFetchCount(sec(1)); n != 2 {
		t.Errorf("%d in progress in other shards", n)
	}
	if n := planner.storeFetchCount(testLimits.PlanTTL + sec(1)); n != 0 {
		t.Errorf("%d in progress according to an expired plan", n)
	}
	for k := range 40 {
		for i := range 6 {
			planner.PlanFetch(0, machineAt(100*k+i, "n"), fmt.Sprintf("image-%02d", k), 6, 40)
		}
	}
	for _, bytes := range []int{200, 1000, 8000} {
		rec, due := planner.NextPlan(1, bytes)
		raw, err := json.Marshal(map[string]any{"images": rec.Images})
		if !due || err != nil || len(raw) > bytes || len(rec.Images) == 0 {
			t.Errorf("%d bytes: %d, %d images, due %v, %v", bytes, len(raw), len(rec.Images), due, err)
		}
	}
	rec, _ := planner.NextPlan(1, 8000)
	planner.LoadPlan(sec(1), 1, rec, true)
	if _, due := planner.NextPlan(1, 8000); due {
		t.Error("an unchanged plan is due")
	}
	planner.UpdateMachine(sec(6), machineAt(0, "n"), []ImageUse{{Image: "image-00", GB: 6, Present: true}})
	if next, due := planner.NextPlan(1, 8000); !due || next.Images[slices.IndexFunc(next.Images, func(x wire.WeightsImage) bool { return x.Image == "image-00" })].Stage != StageTree {
		t.Error("the new stage is not due")
	}
	off := newTestPlanner(Switches{})
	off.UpdateMachine(0, machineAt(0, "n"), []ImageUse{{Image: "w", GB: 6}})
	if _, due := off.NextPlan(1, 8000); due {
		t.Error("a plan is due although no feature is enabled")
	}
}

// The records of a shard's images are written in turn, and one that was not written is returned
// again.
func TestCacheRecordsAreWrittenInTurn(t *testing.T) {
	caches := NewCacheIndex(time.Minute)
	caches.MarkDirty(3)
	var has []MachineImages
	for i := range 60 {
		has = append(has, MachineImages{Machine: fmt.Sprintf("n-%06d", i), Images: []string{"a"}})
	}
	holdsShard, imagesOf := func(int) bool { return true }, func(int) []MachineImages { return has }
	var keys []string
	now := time.Duration(0)
	for range 100 {
		now += 2 * time.Second
		if i, key, rec := caches.NextWrite(now, holdsShard, imagesOf, 1000); rec != nil {
			if keys = append(keys, key); len(keys) == 2 {
				caches.WriteFailed(i)
			}
		}
	}
	if len(keys) < 3 || keys[0] != "live/cache/3" || keys[1] != "live/cache/3.1" || keys[2] != "live/cache/3.1" {
		t.Errorf("%v", keys)
	}
	if _, _, rec := caches.NextWrite(now+time.Hour, holdsShard, imagesOf, 1000); rec != nil {
		t.Error("nothing more to write")
	}
}

// Only an image that many machines need makes its machines busy, and not for tasks of this image. A
// machine that has such an image is kept idle for longer. Neither applies if no feature is enabled.
func TestFetchesOtherImageAndIdleTimeout(t *testing.T) {
	for _, on := range []bool{true, false} {
		planner := newTestPlanner(Switches{PaceFetches: on})
		for i := range 4 {
			planner.UpdateMachine(0, machineAt(i, "n"), []ImageUse{{Image: "w", GB: 6, Present: i == 3}})
		}
		planner.UpdateMachine(0, machineAt(9, "n"), []ImageUse{{Image: "rare", GB: 6}})
		if planner.FetchesOtherImage("n-00", "alarm") != on || planner.FetchesOtherImage("n-00", "w") || planner.FetchesOtherImage("n-03", "alarm") || planner.FetchesOtherImage("n-09", "alarm") {
			t.Errorf("on %v: busy", on)
		}
		kept := map[bool]time.Duration{true: 60 * time.Second, false: 20 * time.Second}[on]
		if got := planner.IdleTimeout(map[string]bool{"old": true, "w": true}, 20*time.Second); got != kept {
			t.Errorf("on %v: kept for %v", on, got)
		}
		if got := planner.IdleTimeout(map[string]bool{"rare": true}, 20*time.Second); got != 20*time.Second {
			t.Errorf("on %v: with an image of one machine, kept for %v", on, got)
		}
	}
}
