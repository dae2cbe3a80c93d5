package reach

import (
	"net/http"
	"slices"
	"testing"
	"time"
)

var wayLimits = RouterLimits{OfferTTL: 2 * time.Second, MaxHops: 2, OfferFreshFor: time.Second, CutOffAfter: time.Second, RerouteGrace: 200 * ms, CallTimeout: 4 * time.Second,
	Link: LinkLimits{LateAfter: 400 * ms, DownAfter: 300 * ms, RecoverAfter: time.Second, RecoverAfterMax: 4 * time.Second, FlapWindow: time.Minute}}

// waysDown are ways whose link is judged down at a second.
func waysDown() *Router[string] {
	w := NewRouter[string](wayLimits)
	for id := range uint64(2) {
		w.SendDirect(500*ms, id, nil)
		w.CallDone(600*ms, id, 0, false)
	}
	w.EvaluateLink(time.Second)
	return w
}

// A call goes over the link while that may be up, and around it through the peer with the shortest
// way: not back to the one that it came from, and past no more peers than it may pass.
func TestCallsGoAroundACut(t *testing.T) {
	w := waysDown()
	if w.EvaluateLink(time.Second).Level != Down || w.BestPeer(time.Second) != "" {
		t.Fatalf("%+v", w.EvaluateLink(time.Second))
	}
	w.OfferReceived(time.Second, "b", 1)
	for _, c := range []struct {
		from string
		hops int
		want string
	}{{"", 0, "b"}, {"b", 1, ""}, {"c", 1, "b"}, {"c", 2, ""}} {
		if via := w.Send(time.Second, 10, c.from, c.hops, 0, false, nil); via != c.want {
			t.Errorf("from %q past %d: through %q, want %q", c.from, c.hops, via, c.want)
		}
	}
	if w.OfferFor(time.Second, "c") != 0 {
		t.Error("offered before calls go that way")
	}
	w.SetCurrentPeer("b")
	if w.OfferFor(time.Second, "c") != 2 || w.OfferFor(time.Second, "b") != 0 {
		t.Errorf("offered %d to c, %d to b", w.OfferFor(time.Second, "c"), w.OfferFor(time.Second, "b"))
	}
	if w.BestPeer(4*time.Second) != "" {
		t.Error("its word is old")
	}
}

// A call is waited for until it is too old, or its way is one no more; its reply comes once.
func TestCallsAreGivenUp(t *testing.T) {
	w := waysDown()
	w.OfferReceived(time.Second, "b", 1)
	got := ""
	then := func(s string) { got += s }
	w.Send(time.Second, 5, "", 0, time.Second, false, then)
	w.OfferReceived(1100*ms, "b", 1)
	if late := w.Overdue(1300 * ms); late != nil || w.OldestID(9) != 5 {
		t.Errorf("late %v, oldest %d", late, w.OldestID(9))
	}
	w.WithdrawOffer(1300*ms, "b")
	if late := w.Overdue(1300 * ms); !slices.Equal(late, []uint64{5}) {
		t.Fatalf("late %v", late)
	}
	f, why := w.GiveUp(1300*ms, 5)
	f(why)
	if w.CallDone(1400*ms, 5, 200, false) != nil || got != "no answer through b" || w.OldestID(9) != 9 {
		t.Errorf("%q", got)
	}
	w.SendDirect(2*time.Second, 6, then)
	if ids := w.Stalled(2100 * ms); ids != nil {
		t.Errorf("%v hang after 0.1 s", ids)
	}
	if ids := w.Stalled(2300 * ms); !slices.Equal(ids, []uint64{6}) || w.Abandon(6) == nil || w.Abandon(6) != nil {
		t.Errorf("%v hang, to be abandoned once", ids)
	}
	if via, known := w.Via(6); !known || via != "" || w.CallDone(2400*ms, 6, 200, false) != nil {
		t.Error("an abandoned call ends without a word")
	}
}

// Who has no way is cut off, unless a peer has none either: then all share the outage.
func TestCutOff(t *testing.T) {
	w := waysDown()
	if w.CutOff(1500*ms) || !w.CutOff(2*time.Second) {
		t.Error("a second after it fell")
	}
	w.OfferReceived(2*time.Second, "b", 0)
	if w.CutOff(2100*ms) || !w.CutOff(5*time.Second) {
		t.Error("b has just said that it has no way either")
	}
	w.OfferReceived(5*time.Second, "b", 1)
	if w.CutOff(5 * time.Second) {
		t.Error("there is a way through b")
	}
	w.SendDirect(5*time.Second, 7, nil)
	w.CallDone(5*time.Second, 7, http.StatusOK, true)
	if w.EvaluateLink(5*time.Second).Level != Down {
		t.Error("an answer of our own says nothing of the link")
	}
}
