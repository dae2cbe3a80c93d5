package provisioning

import (
	"fmt"
	"math"
	"testing"
	"time"

	"pgregory.net/rapid"
)

var params = Params{Prior: []Sample{{Ratio: 0.6, Weight: 2}, {Ratio: 0.9, Weight: 3}, {Ratio: 1.2, Weight: 3}, {Ratio: 1.5, Weight: 1.3}, {Ratio: 2.5, Weight: 0.25}, {Ratio: 4, Weight: 0.25}, {Ratio: math.Inf(1), Weight: 0.2}},
	SamplesPerKind: 24, SampleMaxAge: 10 * time.Minute, HorizonRatio: 1.6, FullCountChance: 0.8, GiveUpChance: 0.15, TrustChance: 0.5, MaxDoubtfulShare: 0.5}

var (
	kind  = Kind{Type: "std", Zone: "n", Spot: true}
	other = Kind{Type: "std", Zone: "s", Spot: true}
	ready = 20 * time.Second
)

// Without evidence a machine counts until its usual boot time is over, is then replaced, and is
// given up after the longest boot time in the prior.
func TestWithoutEvidence(t *testing.T) {
	tracker := New(params)
	tracker.MachineRented(0, "m", kind, ready)
	for _, x := range []struct {
		ratio            float64
		doubted, givenUp bool
	}{{0, false, false}, {1, false, false}, {1.4, false, false}, {1.7, true, false}, {3, true, false}, {4.1, true, true}} {
		now := time.Duration(x.ratio * float64(ready))
		if d, h := tracker.Doubtful(now, []string{"m"})["m"], tracker.ShouldGiveUp(now, "m"); d != x.doubted || h != x.givenUp {
			t.Errorf("after %v: doubted %v, given up %v", x.ratio, d, h)
		}
	}
}

// A kind whose machines do not come up is rented one at a time while other kinds are not limited;
// once its machines come up again, the limit ends.
func TestAKindThatFails(t *testing.T) {
	tracker := New(params)
	now := time.Duration(0)
	if n := tracker.RentLimit(now, kind, 10); n != 10 {
		t.Fatalf("%d of 10 may be rented without evidence", n)
	}
	for i := range 12 {
		tracker.MachineRented(now, fmt.Sprint("m", i), kind, ready)
	}
	now += 35 * time.Second // all have been booting for longer than the horizon
	if n := tracker.RentLimit(now, kind, 10); n != 1 {
		t.Errorf("%d of a failing kind may be rented", n)
	}
	if n := tracker.RentLimit(now, other, 10); n != 10 {
		t.Errorf("%d of another kind may be rented", n)
	}
	tracker.MachineRented(now, "probe", kind, ready)
	if n := tracker.RentLimit(now, kind, 10); n != 0 {
		t.Errorf("%d may be rented while a probe is booting", n)
	}
	for i := range 12 {
		tracker.MachineGone(now, fmt.Sprint("m", i))
	}
	tracker.MachineUp(now+ready, "probe")
	for i := range 8 {
		tracker.MachineRented(now, fmt.Sprint("p", i), kind, ready)
		tracker.MachineUp(now+ready, fmt.Sprint("p", i))
	}
	if n := tracker.RentLimit(now+ready, kind, 10); n != 10 {
		t.Errorf("%d may be rented after boots succeed again", n)
	}
	if n := tracker.RentLimit(now+20*time.Minute, kind, 10); n != 10 {
		t.Errorf("%d may be rented long after", n)
	}
}

// If boots never succeed for a while, machines are given up sooner; if all take four times as
// long as usual, they are not given up before that.
func TestEvidenceMovesGivingUp(t *testing.T) {
	never, slow := New(params), New(params)
	for i := range 10 {
		n := fmt.Sprint("m", i)
		never.MachineRented(0, n, kind, ready)
		never.MachineGone(5*ready, n)
		slow.MachineRented(0, n, kind, ready)
		slow.MachineUp(4*ready, n)
	}
	never.MachineRented(5*ready, "x", kind, ready)
	slow.MachineRented(4*ready, "x", kind, ready)
	if !never.ShouldGiveUp(7*ready, "x") {
		t.Error("not given up although no machine has come up")
	}
	if slow.ShouldGiveUp(4*ready+3*ready, "x") {
		t.Error("given up although all machines came up, late")
	}
}

// A machine that is given back early does not count as one that never comes up.
func TestGivenBackTooSoonToTell(t *testing.T) {
	tracker := New(params)
	for i := range 20 {
		n := fmt.Sprint("m", i)
		tracker.MachineRented(0, n, kind, ready)
		tracker.MachineGone(2*ready, n)
	}
	tracker.MachineRented(2*ready, "x", kind, ready)
	if tracker.ShouldGiveUp(5*ready, "x") {
		t.Error("given up after three usual boot times, although no sample covers that time")
	}
}

// For any history, at most the configured share of booting machines is doubtful, probabilities
// lie between 0 and 1, and a machine that is up is not given up.
func TestBounds(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		tracker, now, names := New(params), time.Duration(0), []string{}
		for i := range rapid.IntRange(1, 80).Draw(t, "steps") {
			now += time.Duration(rapid.IntRange(0, 30).Draw(t, "wait")) * time.Second
			k := []Kind{kind, other}[rapid.IntRange(0, 1).Draw(t, "kind")]
			switch rapid.IntRange(0, 3).Draw(t, "what") {
			case 0, 1:
				n := fmt.Sprint("m", i)
				tracker.MachineRented(now, n, k, ready)
				names = append(names, n)
			case 2:
				if len(names) > 0 {
					n := rapid.SampledFrom(names).Draw(t, "up")
					tracker.MachineUp(now, n)
					if tracker.ShouldGiveUp(now, n) {
						t.Fatal("a machine that is up is given up")
					}
				}
			case 3:
				if len(names) > 0 {
					tracker.MachineGone(now, rapid.SampledFrom(names).Draw(t, "gone"))
				}
			}
			if p := tracker.NewMachineChance(now, k); !(p >= 0 && p <= 1) {
				t.Fatalf("chance %v", p)
			}
			if n := len(tracker.Doubtful(now, names)); n > max(1, len(names)/2) {
				t.Fatalf("%d of %d machines are doubtful", n, len(names))
			}
		}
	})
}

// The first kind that may be rented is chosen. If no kind is trusted and one machine of each is
// booting, half of the count is rented of the most likely kind.
func TestChoose(t *testing.T) {
	tracker := New(params)
	requests := []Request{{kind, 5}, {other, 7}}
	if k, n := tracker.Choose(0, requests); k != 0 || n != 5 {
		t.Errorf("the first kind has no failures: index %d, count %d", n, k)
	}
	if k, _ := tracker.Choose(0, nil); k != -1 {
		t.Error("a choice without requests")
	}
	for i := range 60 { // no machine comes up; the first kind fails more often
		k := []Kind{kind, kind, other}[i%3]
		n := fmt.Sprint(k, i)
		tracker.MachineRented(0, n, k, ready)
		tracker.MachineGone(10*ready, n)
	}
	now := 10 * ready
	if k, n := tracker.Choose(now, requests); k != 0 || n != 1 {
		t.Fatalf("probe of the first kind: index %d, count %d", n, k)
	}
	tracker.MachineRented(now, "x", kind, ready)
	if k, n := tracker.Choose(now, requests); k != 1 || n != 1 {
		t.Fatalf("probe of the other kind: index %d, count %d", n, k)
	}
	tracker.MachineRented(now, "y", other, ready)
	if k, n := tracker.Choose(now, requests); k != 1 || n != 4 {
		t.Errorf("half of the most likely kind: index %d, count %d", n, k)
	}
}
