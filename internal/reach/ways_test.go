package reach

import (
	"net/http"
	"slices"
	"testing"
	"time"
)

var wayLimits = WayLimits{Keep: 2 * time.Second, Hops: 2, Fresh: time.Second, Cut: time.Second, Grace: 200 * ms, Timeout: 4 * time.Second,
	Link: LinkLimits{Late: 400 * ms, Down: 300 * ms, Back: time.Second, BackMax: 4 * time.Second, Window: time.Minute}}

// waysDown are ways whose link is judged down at a second.
func waysDown() *Ways[string] {
	w := NewWays[string](wayLimits)
	for id := range uint64(2) {
		w.Try(500*ms, id, nil)
		w.Done(600*ms, id, 0, false)
	}
	w.Judge(time.Second)
	return w
}

// A call goes over the link while that may be up, and around it through the peer with the shortest
// way: not back to the one that it came from, and past no more peers than it may pass.
func TestCallsGoAroundACut(t *testing.T) {
	w := waysDown()
	if w.Judge(time.Second).Level != Down || w.Around(time.Second) != "" {
		t.Fatalf("%+v", w.Judge(time.Second))
	}
	w.Offered(time.Second, "b", 1)
	for _, c := range []struct {
		from string
		hops int
		want string
	}{{"", 0, "b"}, {"b", 1, ""}, {"c", 1, "b"}, {"c", 2, ""}} {
		if via := w.Send(time.Second, 10, c.from, c.hops, 0, false, nil); via != c.want {
			t.Errorf("from %q past %d: through %q, want %q", c.from, c.hops, via, c.want)
		}
	}
	if w.Offer(time.Second, "c") != 0 {
		t.Error("offered before calls go that way")
	}
	w.Turn("b")
	if w.Offer(time.Second, "c") != 2 || w.Offer(time.Second, "b") != 0 {
		t.Errorf("offered %d to c, %d to b", w.Offer(time.Second, "c"), w.Offer(time.Second, "b"))
	}
	if w.Around(4*time.Second) != "" {
		t.Error("its word is old")
	}
}

// A call is waited for until it is too old, or its way is one no more; its reply comes once.
func TestCallsAreGivenUp(t *testing.T) {
	w := waysDown()
	w.Offered(time.Second, "b", 1)
	got := ""
	then := func(s string) { got += s }
	w.Send(time.Second, 5, "", 0, time.Second, false, then)
	w.Offered(1100*ms, "b", 1)
	if late := w.Late(1300 * ms); late != nil || w.Oldest(9) != 5 {
		t.Errorf("late %v, oldest %d", late, w.Oldest(9))
	}
	w.Withdrawn(1300*ms, "b")
	if late := w.Late(1300 * ms); !slices.Equal(late, []uint64{5}) {
		t.Fatalf("late %v", late)
	}
	f, why := w.GiveUp(1300*ms, 5)
	f(why)
	if w.Done(1400*ms, 5, 200, false) != nil || got != "no answer through b" || w.Oldest(9) != 9 {
		t.Errorf("%q", got)
	}
	w.Try(2*time.Second, 6, then)
	if ids := w.Hanging(2100 * ms); ids != nil {
		t.Errorf("%v hang after 0.1 s", ids)
	}
	if ids := w.Hanging(2300 * ms); !slices.Equal(ids, []uint64{6}) || w.Abandon(6) == nil || w.Abandon(6) != nil {
		t.Errorf("%v hang, to be abandoned once", ids)
	}
	if via, known := w.Via(6); !known || via != "" || w.Done(2400*ms, 6, 200, false) != nil {
		t.Error("an abandoned call ends without a word")
	}
}

// Who has no way is cut off, unless a peer has none either: then all share the outage.
func TestCutOff(t *testing.T) {
	w := waysDown()
	if w.CutOff(1500*ms) || !w.CutOff(2*time.Second) {
		t.Error("a second after it fell")
	}
	w.Offered(2*time.Second, "b", 0)
	if w.CutOff(2100*ms) || !w.CutOff(5*time.Second) {
		t.Error("b has just said that it has no way either")
	}
	w.Offered(5*time.Second, "b", 1)
	if w.CutOff(5 * time.Second) {
		t.Error("there is a way through b")
	}
	w.Try(5*time.Second, 7, nil)
	w.Done(5*time.Second, 7, http.StatusOK, true)
	if w.Judge(5*time.Second).Level != Down {
		t.Error("an answer of our own says nothing of the link")
	}
}
