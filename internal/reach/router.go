package reach

import (
	"maps"
	"net/http"
	"slices"
	"time"
)

// WayLimits are the times by which ways are judged.
type RouterLimits struct {
	Link          LinkLimits
	OfferTTL      time.Duration // a peer's word of its way counts for so long
	MaxHops       int           // peers that a call may pass
	OfferFreshFor time.Duration // a link is offered to peers while its last answer is no older
	CutOffAfter   time.Duration // for so long before it counts as a cut
	RerouteGrace  time.Duration // a call by a way that is one no more is waited for so long
	CallTimeout   time.Duration // a call through a peer is given up after this, and its hold
}

// Ways are those to a service: the link, and around it through peers. They know the calls that
// are under way, each with what is to be done with its reply.
type Router[R any] struct {
	limits       RouterLimits
	link         *Link
	routes       *Routes
	withoutRoute map[string]time.Duration // peers heard without a way of their own, and when
	currentPeer  string                   // the peer that calls go through
	calls        map[uint64]*call[R]
}

// call is one whose reply has not come.
type call[R any] struct {
	onReply  func(R) // nil: given up, its reply changes nothing any more
	sentAt   time.Duration
	via      string        // the peer it went through
	deadline time.Duration // of those: given up then
}

// NewWays returns ways of which nothing is known.
func NewRouter[R any](l RouterLimits) *Router[R] {
	return &Router[R]{limits: l, link: NewLink(l.Link), routes: NewRoutes(l.OfferTTL, l.MaxHops), withoutRoute: map[string]time.Duration{}, calls: map[uint64]*call[R]{}}
}

// Judge says what is believed of the link.
func (r *Router[R]) EvaluateLink(now time.Duration) LinkStatus { return r.link.Evaluate(now) }

// Offered takes a peer's word of its way: one more than the peers between it and the service; 0:
// it has none that does not lead through us.
func (r *Router[R]) OfferReceived(now time.Duration, peer string, distance int) {
	r.routes.Offer(now, peer, distance-1)
	if delete(r.withoutRoute, peer); distance == 0 {
		r.withoutRoute[peer] = now
	}
}

// Withdrawn takes a peer's word back, until its next one.
func (r *Router[R]) WithdrawOffer(now time.Duration, peer string) { r.routes.Offer(now, peer, -1) }

// Around is the peer through whom calls go at present, or "".
func (r *Router[R]) BestPeer(now time.Duration) string {
	if level := r.link.Evaluate(now).Level; level == Up || level == Unknown {
		return ""
	}
	peer, _ := r.routes.Best(now)
	return peer
}

// Offer is what we offer to a peer: one more than the controllers between us and the service, 0
// if there is no way that does not lead through the peer itself.
func (r *Router[R]) OfferFor(now time.Duration, to string) int {
	if status := r.link.Evaluate(now); status.Level == Up && now-r.link.LastAnswered() < r.limits.OfferFreshFor {
		return 1
	}
	if peer, hops := r.routes.Best(now); peer != "" && peer != to && r.currentPeer != "" {
		return hops + 1
	}
	return 0
}

// CutOff tells whether the service is out of our reach while others may have it: a peer says so,
// or no peer can be heard either. In an outage that all share it is false.
func (r *Router[R]) CutOff(now time.Duration) bool {
	status := r.link.Evaluate(now)
	if status.Level == Up || status.Level == Unknown || r.BestPeer(now) != "" || now-status.Since < r.limits.CutOffAfter {
		return false
	}
	for _, at := range r.withoutRoute {
		if now-at < r.limits.OfferTTL {
			return false
		}
	}
	return true
}

// Send notes a call that is sent now, and is the peer that it goes through, "": over the link.
// One that has passed so many peers, the last being from, is not sent back to that. hold is for
// how long the service may hold its answer; watched calls over the link give reason for doubt
// while their answers are late.
func (r *Router[R]) Send(now time.Duration, id uint64, from string, hops int, hold time.Duration, watched bool, onReply func(R)) (via string) {
	c := &call[R]{onReply: onReply, sentAt: now}
	r.calls[id] = c
	if via = r.BestPeer(now); via != "" && via != from && hops < r.limits.MaxHops {
		c.via, c.deadline = via, now+r.limits.CallTimeout+hold
		return via
	}
	if watched {
		r.link.CallSent(now, id)
	}
	return ""
}

// Try notes a call that is sent over the link whatever is believed of it.
func (r *Router[R]) SendDirect(now time.Duration, id uint64, onReply func(R)) {
	r.calls[id] = &call[R]{onReply: onReply, sentAt: now}
}

// Done takes the end of a call with a status of HTTP, 0 if no answer came, and returns what is to
// be done with the reply: nil: nothing. own: it never left this controller, so says nothing of
// the link.
func (r *Router[R]) CallDone(now time.Duration, id uint64, status int, local bool) (onReply func(R)) {
	c := r.calls[id]
	if c == nil {
		return nil
	}
	delete(r.calls, id)
	if c.via == "" && !local {
		outcome := Answered
		switch status {
		case 0:
			outcome = NoAnswer
		case http.StatusServiceUnavailable:
			outcome = Refused
		}
		r.link.CallDone(now, id, c.sentAt, outcome)
	}
	return c.onReply
}

// Via is the peer that a call under way went through; false: there is no such call.
func (r *Router[R]) Via(id uint64) (string, bool) {
	if c := r.calls[id]; c != nil {
		return c.via, true
	}
	return "", false
}

// Oldest is the lowest id of a call under way, or next if there is none.
func (r *Router[R]) OldestID(next uint64) uint64 {
	for id := range r.calls {
		next = min(next, id)
	}
	return next
}

// Late lists the calls through peers that are to be given up: too old, or by a way that is one no
// more, by its peer's silence or word.
func (r *Router[R]) Overdue(now time.Duration) (ids []uint64) {
	via := r.BestPeer(now)
	for _, id := range slices.Sorted(maps.Keys(r.calls)) {
		if c := r.calls[id]; c.via != "" && (now > c.deadline || c.via != via && now-c.sentAt > r.limits.RerouteGrace) {
			ids = append(ids, id)
		}
	}
	return ids
}

// GiveUp ends a late call, withdraws its way, and says why it is given up.
func (r *Router[R]) GiveUp(now time.Duration, id uint64) (onReply func(R), reason string) {
	c := r.calls[id]
	delete(r.calls, id)
	r.routes.Offer(now, c.via, -1)
	return c.onReply, "no answer through " + c.via
}

// Hanging lists the calls that hang in a cut of the link and wait for their replies.
func (r *Router[R]) Stalled(now time.Duration) (ids []uint64) {
	for _, id := range slices.Sorted(maps.Keys(r.calls)) {
		if c := r.calls[id]; c.via == "" && c.onReply != nil && c.sentAt < now-r.limits.Link.LateAfter/2 {
			ids = append(ids, id)
		}
	}
	return ids
}

// Abandon ends the waiting for a call, which may still be executed, like any without an answer;
// its answer, should it come, changes nothing. It returns what waited, nil if nothing does.
func (r *Router[R]) Abandon(id uint64) (onReply func(R)) {
	if c := r.calls[id]; c != nil {
		onReply, c.onReply = c.onReply, nil
	}
	return onReply
}

// Through is the peer that calls were last turned to, "": the link.
func (r *Router[R]) CurrentPeer() string { return r.currentPeer }

// Turn notes that calls go through a peer from now on.
func (r *Router[R]) SetCurrentPeer(peer string) { r.currentPeer = peer }

// Doubted tells whether the link is to be tried while calls go around it.
func (r *Router[R]) ShouldProbe(status LinkStatus) bool {
	return (status.Level == Doubt || status.Level == Down) && r.currentPeer != ""
}
