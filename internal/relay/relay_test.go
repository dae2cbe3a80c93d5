package relay

import (
	"slices"
	"testing"
	"time"
)

const sec = time.Second

func newTestTracker() *Tracker {
	return NewTracker(Limits{Lease: 10 * sec, RedirectInterval: 30 * sec, MaxReports: 3, AnswerTimeout: sec})
}

// After some relayed reports a worker is redirected to the holder. If it comes back, the next redirect
// waits longer.
func TestRedirectAfterSomeReports(t *testing.T) {
	tracker := newTestTracker()
	redirects := func(from, n int, lacks bool) (redirected []int) {
		for k := from; k < from+n; k++ {
			if !tracker.ShouldRelay(time.Duration(k)*2*sec, "m", false, lacks) {
				redirected = append(redirected, k)
			}
		}
		return redirected
	}
	if redirected := redirects(1, 40, false); !slices.Equal(redirected, []int{4, 20, 36}) {
		t.Errorf("redirected to its holder at reports %v", redirected)
	}
	if redirected := redirects(41, 40, true); redirected != nil {
		t.Errorf("redirected to a holder that lacks workers at %v", redirected)
	}
	if tracker.Prune(160 * sec); tracker.Len() != 1 {
		t.Error("forgotten too early")
	}
	if tracker.Prune(221 * sec); tracker.Len() != 0 {
		t.Error("never forgotten")
	}
}

// A worker that has not seen the holder's token is redirected first, whenever it counts as new.
func TestOutdatedTokenIsRedirectedFirst(t *testing.T) {
	tracker := newTestTracker()
	if tracker.ShouldRelay(sec, "m", true, false) || !tracker.ShouldRelay(2*sec, "m", true, false) || tracker.ShouldRelay(13*sec, "m", true, false) {
		t.Error("must be redirected once, and again after a lease")
	}
	if !tracker.ShouldRelay(sec, "other", true, true) {
		t.Error("redirected to a holder that lacks workers")
	}
}

// Every relayed report is answered once: with the holder's answer, or after the time-out.
func TestAnsweredOnce(t *testing.T) {
	tracker := newTestTracker()
	for id := uint64(1); id <= 3; id++ {
		tracker.Relayed(time.Duration(id)*sec, id, 10+id)
	}
	if req, ok := tracker.AnswerReceived(2); !ok || req != 12 {
		t.Errorf("%d %v", req, ok)
	}
	if _, ok := tracker.AnswerReceived(2); ok {
		t.Error("answered twice")
	}
	if reqs := tracker.Expire(3 * sec); !slices.Equal(reqs, []uint64{11}) {
		t.Errorf("expired: %v", reqs)
	}
	if _, ok := tracker.AnswerReceived(1); ok {
		t.Error("answered after it had expired")
	}
	if reqs := tracker.Expire(5 * sec); !slices.Equal(reqs, []uint64{13}) {
		t.Errorf("expired: %v", reqs)
	}
	tracker.ReceivedFrom(7, Origin{From: "c1", ID: 5})
	if x, ok := tracker.OriginOf(7); !ok || x.From != "c1" {
		t.Errorf("%+v", x)
	}
	if x, ok := tracker.TakeOrigin(7); !ok || x.ID != 5 {
		t.Errorf("%+v", x)
	}
	if _, ok := tracker.TakeOrigin(7); ok {
		t.Error("returned twice")
	}
}
