package takeover

import (
	"slices"
	"testing"
	"time"
)

const ms = time.Millisecond

var limits = Limits{PerSecond: 10, Burst: 2, MaxInFlight: 3, ScanLimit: 100, LostAfter: 500 * ms, RetryDelay: 100 * ms, RetryDelayMax: 300 * ms}

func always(string) bool { return true }

func TestUrgentMachinesFirstWithinRateLimit(t *testing.T) {
	pending := NewPendingMachines[string](limits)
	for _, h := range []string{"a", "b", "c"} {
		pending.Add(h, false)
	}
	pending.Add("c", true)
	pending.Add("c", false) // remains urgent
	if got := pending.Take(0, func(h string) bool { return h != "a" }); !slices.Equal(got, []string{"c", "b"}) {
		t.Fatalf("first %v, want the urgent one and then the one with an address", got)
	}
	if got := pending.Take(50*ms, always); got != nil {
		t.Fatalf("%v called beyond the rate limit", got)
	}
	if got := pending.Take(100*ms, always); !slices.Equal(got, []string{"a"}) {
		t.Fatalf("then called %v", got)
	}
	pending.Add("d", false)
	if got := pending.Take(400*ms, always); got != nil {
		t.Fatalf("%v called with three calls in flight", got)
	}
	pending.Remove("c")
	if got := pending.Take(400*ms, always); !slices.Equal(got, []string{"d"}) || pending.Len() != 3 {
		t.Fatalf("after one was accounted for: %v, %d left", got, pending.Len())
	}
	// The calls to a and b were lost: both machines are called again.
	if got := pending.Take(time.Second, always); !slices.Equal(got, []string{"b", "a"}) {
		t.Fatalf("after the lost calls: %v", got)
	}
}

func TestRetryDelayGrows(t *testing.T) {
	pending := NewPendingMachines[string](limits)
	pending.Add("a", false)
	var at []time.Duration
	for now := time.Duration(0); now < 1200*ms; now += 10 * ms {
		for _, h := range pending.Take(now, always) {
			at = append(at, now)
			pending.CallFailed(now, h, len(at) == 1) // the first answer names another session, so the call is repeated at once
		}
	}
	if n := pending.FailedCalls("a"); n != len(at) || pending.FailedCalls("b") != 0 {
		t.Errorf("%d failed calls of %d", n, len(at))
	}
	if want := []time.Duration{0, 10 * ms, 210 * ms, 510 * ms, 810 * ms, 1110 * ms}; !slices.Equal(at, want) {
		t.Fatalf("called at %v, want %v", at, want)
	}
}

func TestAddressBook(t *testing.T) {
	addresses := NewAddressBook()
	addresses.Learn("m", "1:1", 4)
	addresses.Learn("m", "1:2", 0) // the cloud's list has no sessions
	addresses.Learn("n", "", 3)
	if e, ok := addresses.Lookup("m"); !ok || e != (Endpoint{"1:2", 4}) {
		t.Errorf("m: %+v", e)
	}
	addresses.Learn("o", "1:3", 0)
	if e, _ := addresses.Lookup("o"); e.Session != 1 || addresses.Len() != 2 {
		t.Errorf("o: %+v of %d", e, addresses.Len())
	}
	addresses.Prune(func(n string) bool { return n == "o" })
	if _, ok := addresses.Lookup("m"); ok || addresses.Len() != 1 {
		t.Error("m has no holder and is still known")
	}
}

func TestRecentlyUp(t *testing.T) {
	addresses := NewAddressBook()
	for k, m := range []string{"a", "b", "c"} {
		addresses.MachineUp(time.Duration(k)*time.Second, m)
	}
	if got := addresses.RecentlyUp(2*time.Second, 2*time.Second, 2); len(got) != 2 || got[0] != "b" || got[1] != "c" {
		t.Errorf("the last two: %v", got)
	}
	if got := addresses.RecentlyUp(4*time.Second, 2*time.Second, 2); len(got) != 1 || got[0] != "c" {
		t.Errorf("within two seconds: %v", got)
	}
}
