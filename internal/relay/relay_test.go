package relay

import (
	"slices"
	"testing"
	"time"
)

const s = time.Second

func newBook() *Tracker {
	return NewTracker(Limits{Lease: 10 * s, RedirectInterval: 30 * s, MaxReports: 3, AnswerTimeout: s})
}

// A few reports are passed on, then the worker is sent to the holder; one that comes back waits
// longer for the next try.
func TestReportsArePassedOnForAWhile(t *testing.T) {
	b := newBook()
	passes := func(from, n int, lacks bool) (sent []int) {
		for k := from; k < from+n; k++ {
			if !b.ShouldRelay(time.Duration(k)*2*s, "m", false, lacks) {
				sent = append(sent, k)
			}
		}
		return sent
	}
	if sent := passes(1, 40, false); !slices.Equal(sent, []int{4, 20, 36}) {
		t.Errorf("sent to its holder at the reports %v", sent)
	}
	if sent := passes(41, 40, true); sent != nil {
		t.Errorf("sent to a holder that lacks its workers at %v", sent)
	}
	if b.Prune(160 * s); b.Len() != 1 {
		t.Error("forgotten too early")
	}
	if b.Prune(221 * s); b.Len() != 0 {
		t.Error("remembered for ever")
	}
}

// One that has not seen the holder's token is sent there first, each time it comes anew.
func TestSentToItsHolderFirst(t *testing.T) {
	b := newBook()
	if b.ShouldRelay(s, "m", true, false) || !b.ShouldRelay(2*s, "m", true, false) || b.ShouldRelay(13*s, "m", true, false) {
		t.Error("once, and again after a lease")
	}
	if !b.ShouldRelay(s, "other", true, true) {
		t.Error("to a holder that lacks its workers")
	}
}

// Each report that was passed on is answered once: by the holder's answer, or once that is late.
func TestAnsweredOnce(t *testing.T) {
	b := newBook()
	for id := uint64(1); id <= 3; id++ {
		b.Relayed(time.Duration(id)*s, id, 10+id)
	}
	if req, ok := b.AnswerReceived(2); !ok || req != 12 {
		t.Errorf("%d %v", req, ok)
	}
	if _, ok := b.AnswerReceived(2); ok {
		t.Error("answered twice")
	}
	if reqs := b.Expire(3 * s); !slices.Equal(reqs, []uint64{11}) {
		t.Errorf("given up: %v", reqs)
	}
	if _, ok := b.AnswerReceived(1); ok {
		t.Error("answered after it was given up")
	}
	if reqs := b.Expire(5 * s); !slices.Equal(reqs, []uint64{13}) {
		t.Errorf("given up: %v", reqs)
	}
	b.ReceivedFrom(7, Origin{From: "c1", ID: 5})
	if x, ok := b.OriginOf(7); !ok || x.From != "c1" {
		t.Errorf("%+v", x)
	}
	if x, ok := b.TakeOrigin(7); !ok || x.ID != 5 {
		t.Errorf("%+v", x)
	}
	if _, ok := b.TakeOrigin(7); ok {
		t.Error("returned twice")
	}
}
