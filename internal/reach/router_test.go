package reach

import (
	"net/http"
	"slices"
	"testing"
	"time"
)

var routerLimits = RouterLimits{
	OfferTTL:      2 * time.Second,
	MaxHops:       2,
	OfferFreshFor: time.Second,
	CutOffAfter:   time.Second,
	RerouteGrace:  200 * ms,
	CallTimeout:   4 * time.Second,
	Link: LinkLimits{
		LateAfter:       400 * ms,
		DownAfter:       300 * ms,
		RecoverAfter:    time.Second,
		RecoverAfterMax: 4 * time.Second,
		FlapWindow:      time.Minute,
	},
}

// newDownRouter returns a router whose link is down from one second on.
func newDownRouter() *Router[string] {
	router := NewRouter[string](routerLimits)
	for id := range uint64(2) {
		router.SendDirect(500*ms, id, nil)
		router.CallDone(600*ms, id, 0, false)
	}
	router.EvaluateLink(time.Second)
	return router
}

// While the link is down, calls go through the peer with the shortest route, but not back to the peer
// that they came from, and not past more peers than allowed.
func TestCallsGoThroughPeers(t *testing.T) {
	router := newDownRouter()
	if router.EvaluateLink(time.Second).Level != Down || router.BestPeer(time.Second) != "" {
		t.Fatalf("%+v", router.EvaluateLink(time.Second))
	}
	router.OfferReceived(time.Second, "b", 1)
	for _, c := range []struct {
		from string
		hops int
		want string
	}{{"", 0, "b"}, {"b", 1, ""}, {"c", 1, "b"}, {"c", 2, ""}} {
		if via := router.Send(time.Second, 10, c.from, c.hops, 0, false, nil); via != c.want {
			t.Errorf("from %q after %d hops: through %q, want %q", c.from, c.hops, via, c.want)
		}
	}
	if router.OfferFor(time.Second, "c") != 0 {
		t.Error("a route through a peer is offered before calls go through it")
	}
	router.SetCurrentPeer("b")
	if router.OfferFor(time.Second, "c") != 2 || router.OfferFor(time.Second, "b") != 0 {
		t.Errorf("offered %d to c, %d to b", router.OfferFor(time.Second, "c"), router.OfferFor(time.Second, "b"))
	}
	if router.BestPeer(4*time.Second) != "" {
		t.Error("an expired offer is used")
	}
}

// A call through a peer is given up once it is past its deadline or its route is no longer used; its
// reply is handled once.
func TestCallsAreGivenUp(t *testing.T) {
	router := newDownRouter()
	router.OfferReceived(time.Second, "b", 1)
	got := ""
	onReply := func(s string) { got += s }
	router.Send(time.Second, 5, "", 0, time.Second, false, onReply)
	router.OfferReceived(1100*ms, "b", 1)
	if late := router.Overdue(1300 * ms); late != nil || router.OldestID(9) != 5 {
		t.Errorf("overdue %v, oldest %d", late, router.OldestID(9))
	}
	router.WithdrawOffer(1300*ms, "b")
	if late := router.Overdue(1300 * ms); !slices.Equal(late, []uint64{5}) {
		t.Fatalf("overdue %v", late)
	}
	handler, reason := router.GiveUp(1300*ms, 5)
	handler(reason)
	if router.CallDone(1400*ms, 5, 200, false) != nil || got != "no answer through b" || router.OldestID(9) != 9 {
		t.Errorf("%q", got)
	}
	router.SendDirect(2*time.Second, 6, onReply)
	if ids := router.Stalled(2100 * ms); ids != nil {
		t.Errorf("%v stalled after 0.1 s", ids)
	}
	if ids := router.Stalled(2300 * ms); !slices.Equal(ids, []uint64{6}) || router.Abandon(6) == nil || router.Abandon(6) != nil {
		t.Errorf("%v stalled; call 6 must be abandoned once", ids)
	}
	if via, known := router.Via(6); !known || via != "" || router.CallDone(2400*ms, 6, 200, false) != nil {
		t.Error("the reply to an abandoned call must be ignored")
	}
}

// A controller without a route is cut off, unless a peer has none either: then the outage affects all.
func TestCutOff(t *testing.T) {
	router := newDownRouter()
	if router.CutOff(1500*ms) || !router.CutOff(2*time.Second) {
		t.Error("must be cut off one second after the link went down")
	}
	router.OfferReceived(2*time.Second, "b", 0)
	if router.CutOff(2100*ms) || !router.CutOff(5*time.Second) {
		t.Error("must not be cut off while b has recently reported that it has no route either")
	}
	router.OfferReceived(5*time.Second, "b", 1)
	if router.CutOff(5 * time.Second) {
		t.Error("cut off though there is a route through b")
	}
	router.SendDirect(5*time.Second, 7, nil)
	router.CallDone(5*time.Second, 7, http.StatusOK, true)
	if router.EvaluateLink(5*time.Second).Level != Down {
		t.Error("a local answer must not change the status of the link")
	}
}
