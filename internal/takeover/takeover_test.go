package takeover

import (
	"slices"
	"testing"
	"time"
)

const ms = time.Millisecond

var limits = Limits{PerSecond: 10, Burst: 2, MaxInFlight: 3, ScanLimit: 100, LostAfter: 500 * ms, RetryDelay: 100 * ms, RetryDelayMax: 300 * ms}

func anywhere(string) bool { return true }

func TestRollCallsUrgentFirstWithinItsPace(t *testing.T) {
	r := NewPendingMachines[string](limits)
	for _, h := range []string{"a", "b", "c"} {
		r.Add(h, false)
	}
	r.Add("c", true)
	r.Add("c", false) // stays urgent
	if got := r.Take(0, func(h string) bool { return h != "a" }); !slices.Equal(got, []string{"c", "b"}) {
		t.Fatalf("first %v, want the urgent one and then the one with an address", got)
	}
	if got := r.Take(50*ms, anywhere); got != nil {
		t.Fatalf("%v called beyond the pace", got)
	}
	if got := r.Take(100*ms, anywhere); !slices.Equal(got, []string{"a"}) {
		t.Fatalf("then %v", got)
	}
	r.Add("d", false)
	if got := r.Take(400*ms, anywhere); got != nil {
		t.Fatalf("%v called with three under way", got)
	}
	r.Remove("c")
	if got := r.Take(400*ms, anywhere); !slices.Equal(got, []string{"d"}) || r.Len() != 3 {
		t.Fatalf("after one was accounted for: %v, %d left", got, r.Len())
	}
	// The outcomes of a and b never came: they are called anew, not forgotten.
	if got := r.Take(time.Second, anywhere); !slices.Equal(got, []string{"b", "a"}) {
		t.Fatalf("after the loss: %v", got)
	}
}

func TestRollPausesLongerAfterEachFailure(t *testing.T) {
	r := NewPendingMachines[string](limits)
	r.Add("a", false)
	var at []time.Duration
	for now := time.Duration(0); now < 1200*ms; now += 10 * ms {
		for _, h := range r.Take(now, anywhere) {
			at = append(at, now)
			r.CallFailed(now, h, len(at) == 1) // the first answer names another session
		}
	}
	if n := r.FailedCalls("a"); n != len(at) || r.FailedCalls("b") != 0 {
		t.Errorf("%d tries of %d", n, len(at))
	}
	if want := []time.Duration{0, 10 * ms, 210 * ms, 510 * ms, 810 * ms, 1110 * ms}; !slices.Equal(at, want) {
		t.Fatalf("called at %v, want %v", at, want)
	}
}

func TestBook(t *testing.T) {
	b := NewAddressBook()
	b.Learn("m", "1:1", 4)
	b.Learn("m", "1:2", 0) // the cloud's list knows no session
	b.Learn("n", "", 3)
	if e, ok := b.Lookup("m"); !ok || e != (Endpoint{"1:2", 4}) {
		t.Errorf("m: %+v", e)
	}
	b.Learn("o", "1:3", 0)
	if e, _ := b.Lookup("o"); e.Session != 1 || b.Len() != 2 {
		t.Errorf("o: %+v of %d", e, b.Len())
	}
	b.Prune(func(n string) bool { return n == "o" })
	if _, ok := b.Lookup("m"); ok || b.Len() != 1 {
		t.Error("m is held by nobody and still known")
	}
}

func TestNewsOfWorkersThatCameUp(t *testing.T) {
	b := NewAddressBook()
	for k, m := range []string{"a", "b", "c"} {
		b.MachineUp(time.Duration(k)*time.Second, m)
	}
	if got := b.RecentlyUp(2*time.Second, 2*time.Second, 2); len(got) != 2 || got[0] != "b" || got[1] != "c" {
		t.Errorf("the last two: %v", got)
	}
	if got := b.RecentlyUp(4*time.Second, 2*time.Second, 2); len(got) != 1 || got[0] != "c" {
		t.Errorf("the lately: %v", got)
	}
}
