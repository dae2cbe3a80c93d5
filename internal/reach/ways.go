package reach

import (
	"maps"
	"net/http"
	"slices"
	"time"
)

// WayLimits are the times by which ways are judged.
type WayLimits struct {
	Link    LinkLimits
	Keep    time.Duration // a peer's word of its way counts for so long
	Hops    int           // peers that a call may pass
	Fresh   time.Duration // a link is offered to peers while its last answer is no older
	Cut     time.Duration // for so long before it counts as a cut
	Grace   time.Duration // a call by a way that is one no more is waited for so long
	Timeout time.Duration // a call through a peer is given up after this, and its hold
}

// Ways are those to a service: the link, and around it through peers. They know the calls that
// are under way, each with what is to be done with its reply.
type Ways[R any] struct {
	limits  WayLimits
	link    *Link
	routes  *Routes
	wayless map[string]time.Duration // peers heard without a way of their own, and when
	through string                   // the peer that calls go through
	calls   map[uint64]*call[R]
}

// call is one whose reply has not come.
type call[R any] struct {
	then  func(R) // nil: given up, its reply changes nothing any more
	sent  time.Duration
	via   string        // the peer it went through
	until time.Duration // of those: given up then
}

// NewWays returns ways of which nothing is known.
func NewWays[R any](l WayLimits) *Ways[R] {
	return &Ways[R]{limits: l, link: NewLink(l.Link), routes: NewRoutes(l.Keep, l.Hops), wayless: map[string]time.Duration{}, calls: map[uint64]*call[R]{}}
}

// Judge says what is believed of the link.
func (w *Ways[R]) Judge(now time.Duration) Judgement { return w.link.Judge(now) }

// Offered takes a peer's word of its way: one more than the peers between it and the service; 0:
// it has none that does not lead through us.
func (w *Ways[R]) Offered(now time.Duration, peer string, way int) {
	w.routes.Offer(now, peer, way-1)
	if delete(w.wayless, peer); way == 0 {
		w.wayless[peer] = now
	}
}

// Withdrawn takes a peer's word back, until its next one.
func (w *Ways[R]) Withdrawn(now time.Duration, peer string) { w.routes.Offer(now, peer, -1) }

// Around is the peer through whom calls go at present, or "".
func (w *Ways[R]) Around(now time.Duration) string {
	if l := w.link.Judge(now).Level; l == Up || l == Unknown {
		return ""
	}
	peer, _ := w.routes.Best(now)
	return peer
}

// Offer is what we offer to a peer: one more than the controllers between us and the service, 0
// if there is no way that does not lead through the peer itself.
func (w *Ways[R]) Offer(now time.Duration, to string) int {
	if j := w.link.Judge(now); j.Level == Up && now-w.link.LastOK() < w.limits.Fresh {
		return 1
	}
	if peer, hops := w.routes.Best(now); peer != "" && peer != to && w.through != "" {
		return hops + 1
	}
	return 0
}

// CutOff tells whether the service is out of our reach while others may have it: a peer says so,
// or no peer can be heard either. In an outage that all share it is false.
func (w *Ways[R]) CutOff(now time.Duration) bool {
	j := w.link.Judge(now)
	if j.Level == Up || j.Level == Unknown || w.Around(now) != "" || now-j.Since < w.limits.Cut {
		return false
	}
	for _, at := range w.wayless {
		if now-at < w.limits.Keep {
			return false
		}
	}
	return true
}

// Send notes a call that is sent now, and is the peer that it goes through, "": over the link.
// One that has passed so many peers, the last being from, is not sent back to that. hold is for
// how long the service may hold its answer; watched calls over the link give reason for doubt
// while their answers are late.
func (w *Ways[R]) Send(now time.Duration, id uint64, from string, hops int, hold time.Duration, watched bool, then func(R)) (via string) {
	c := &call[R]{then: then, sent: now}
	w.calls[id] = c
	if via = w.Around(now); via != "" && via != from && hops < w.limits.Hops {
		c.via, c.until = via, now+w.limits.Timeout+hold
		return via
	}
	if watched {
		w.link.Sent(now, id)
	}
	return ""
}

// Try notes a call that is sent over the link whatever is believed of it.
func (w *Ways[R]) Try(now time.Duration, id uint64, then func(R)) {
	w.calls[id] = &call[R]{then: then, sent: now}
}

// Done takes the end of a call with a status of HTTP, 0 if no answer came, and returns what is to
// be done with the reply: nil: nothing. own: it never left this controller, so says nothing of
// the link.
func (w *Ways[R]) Done(now time.Duration, id uint64, status int, own bool) (then func(R)) {
	c := w.calls[id]
	if c == nil {
		return nil
	}
	delete(w.calls, id)
	if c.via == "" && !own {
		o := Answered
		switch status {
		case 0:
			o = Silent
		case http.StatusServiceUnavailable:
			o = Refused
		}
		w.link.Done(now, id, c.sent, o)
	}
	return c.then
}

// Via is the peer that a call under way went through; false: there is no such call.
func (w *Ways[R]) Via(id uint64) (string, bool) {
	if c := w.calls[id]; c != nil {
		return c.via, true
	}
	return "", false
}

// Oldest is the lowest id of a call under way, or next if there is none.
func (w *Ways[R]) Oldest(next uint64) uint64 {
	for id := range w.calls {
		next = min(next, id)
	}
	return next
}

// Late lists the calls through peers that are to be given up: too old, or by a way that is one no
// more, by its peer's silence or word.
func (w *Ways[R]) Late(now time.Duration) (ids []uint64) {
	via := w.Around(now)
	for _, id := range slices.Sorted(maps.Keys(w.calls)) {
		if c := w.calls[id]; c.via != "" && (now > c.until || c.via != via && now-c.sent > w.limits.Grace) {
			ids = append(ids, id)
		}
	}
	return ids
}

// GiveUp ends a late call, withdraws its way, and says why it is given up.
func (w *Ways[R]) GiveUp(now time.Duration, id uint64) (then func(R), why string) {
	c := w.calls[id]
	delete(w.calls, id)
	w.routes.Offer(now, c.via, -1)
	return c.then, "no answer through " + c.via
}

// Hanging lists the calls that hang in a cut of the link and wait for their replies.
func (w *Ways[R]) Hanging(now time.Duration) (ids []uint64) {
	for _, id := range slices.Sorted(maps.Keys(w.calls)) {
		if c := w.calls[id]; c.via == "" && c.then != nil && c.sent < now-w.limits.Link.Late/2 {
			ids = append(ids, id)
		}
	}
	return ids
}

// Abandon ends the waiting for a call, which may still be executed, like any without an answer;
// its answer, should it come, changes nothing. It returns what waited, nil if nothing does.
func (w *Ways[R]) Abandon(id uint64) (then func(R)) {
	if c := w.calls[id]; c != nil {
		then, c.then = c.then, nil
	}
	return then
}

// Through is the peer that calls were last turned to, "": the link.
func (w *Ways[R]) Through() string { return w.through }

// Turn notes that calls go through a peer from now on.
func (w *Ways[R]) Turn(via string) { w.through = via }

// Doubted tells whether the link is to be tried while calls go around it.
func (w *Ways[R]) Doubted(j Judgement) bool {
	return (j.Level == Doubt || j.Level == Down) && w.through != ""
}
