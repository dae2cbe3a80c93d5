package reach

import (
	"maps"
	"net/http"
	"slices"
	"time"
)

// RouterLimits are the durations and counts by which calls are routed.
type RouterLimits struct {
	Link          LinkLimits
	OfferTTL      time.Duration // how long a peer's offer of a route is valid
	MaxHops       int           // peers that a call may pass
	OfferFreshFor time.Duration // the link is offered to peers while its last answered call was sent no longer ago
	CutOffAfter   time.Duration // how long the link must be in doubt or down before this controller counts as cut off
	RerouteGrace  time.Duration // how long to wait for a call whose route is no longer used
	CallTimeout   time.Duration // a call through a peer is given up after this time plus its hold
}

// Router routes calls to a service over the link or, around it, through peers. It tracks the calls in
// flight, each with the function that handles its reply of type R.
type Router[R any] struct {
	limits       RouterLimits
	link         *Link
	routes       *Routes
	withoutRoute map[string]time.Duration // peers that last reported to have no route, and when
	currentPeer  string                   // the peer through which calls go, as last set; "": the link
	calls        map[uint64]*call[R]
}

// call is a call whose reply has not arrived.
type call[R any] struct {
	onReply  func(R) // nil: abandoned, its reply is ignored
	sentAt   time.Duration
	via      string        // the peer that it goes through; "": the link
	deadline time.Duration // when it is given up, if it goes through a peer
}

// NewRouter returns a router without calls and offers.
func NewRouter[R any](l RouterLimits) *Router[R] {
	return &Router[R]{
		limits:       l,
		link:         NewLink(l.Link),
		routes:       NewRoutes(l.OfferTTL, l.MaxHops),
		withoutRoute: map[string]time.Duration{},
		calls:        map[uint64]*call[R]{},
	}
}

// EvaluateLink returns the present status of the link.
func (r *Router[R]) EvaluateLink(now time.Duration) LinkStatus { return r.link.Evaluate(now) }

// OfferReceived records a peer's offer: one more than the number of controllers between the peer and
// the service, or 0 if the peer has no route that does not pass through us.
func (r *Router[R]) OfferReceived(now time.Duration, peer string, distance int) {
	r.routes.Offer(now, peer, distance-1)
	if delete(r.withoutRoute, peer); distance == 0 {
		r.withoutRoute[peer] = now
	}
}

// WithdrawOffer discards a peer's offer, until its next one.
func (r *Router[R]) WithdrawOffer(now time.Duration, peer string) { r.routes.Offer(now, peer, -1) }

// BestPeer returns the peer through which calls should go at present. It returns "" if they should go
// over the link, because that is not in doubt or there is no other route.
func (r *Router[R]) BestPeer(now time.Duration) string {
	if level := r.link.Evaluate(now).Level; level == Up || level == Unknown {
		return ""
	}
	peer, _ := r.routes.Best(now)
	return peer
}

// OfferFor returns our offer to a peer: one more than the number of controllers between us and the
// service, or 0 if we have no route that does not pass through the peer itself.
func (r *Router[R]) OfferFor(now time.Duration, to string) int {
	if status := r.link.Evaluate(now); status.Level == Up && now-r.link.LastAnswered() < r.limits.OfferFreshFor {
		return 1
	}
	if peer, hops := r.routes.Best(now); peer != "" && peer != to && r.currentPeer != "" {
		return hops + 1
	}
	return 0
}

// CutOff reports whether we have no route to the service while other controllers may have one. It is
// false if a peer has recently reported that it has no route either, as in an outage that affects all
// controllers, and true if we receive nothing from any peer.
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

// Send records a call that is sent now, and returns the peer that it goes through, or "" for the link.
// hops is the number of peers that the call has passed, from the last of them; it is not sent back to
// that one. hold is how long the service may delay the answer. If watched is set and the call goes over
// the link, a late answer counts as a failure of the link.
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

// SendDirect records a call that is sent over the link whatever its status.
func (r *Router[R]) SendDirect(now time.Duration, id uint64, onReply func(R)) {
	r.calls[id] = &call[R]{onReply: onReply, sentAt: now}
}

// CallDone records the end of a call and returns the function that handles its reply, nil if nothing
// is to be done. status is the HTTP status, 0 without an answer. local: the call never left this
// controller, so its end says nothing about the link.
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

// Via returns the peer that a call in flight goes through, "" for the link; false if there is no such
// call.
func (r *Router[R]) Via(id uint64) (string, bool) {
	if c := r.calls[id]; c != nil {
		return c.via, true
	}
	return "", false
}

// OldestID returns the lowest ID of a call in flight, or next if there is none.
func (r *Router[R]) OldestID(next uint64) uint64 {
	for id := range r.calls {
		next = min(next, id)
	}
	return next
}

// Overdue returns the calls through peers that should be given up: those past their deadline, and those
// through a peer that is no longer the best one, because its offer has expired or was replaced.
func (r *Router[R]) Overdue(now time.Duration) (ids []uint64) {
	via := r.BestPeer(now)
	for _, id := range slices.Sorted(maps.Keys(r.calls)) {
		if c := r.calls[id]; c.via != "" && (now > c.deadline || c.via != via && now-c.sentAt > r.limits.RerouteGrace) {
			ids = append(ids, id)
		}
	}
	return ids
}

// GiveUp ends an overdue call and withdraws the offer of its peer. It returns the function that handles
// the reply, and the reason for giving up.
func (r *Router[R]) GiveUp(now time.Duration, id uint64) (onReply func(R), reason string) {
	c := r.calls[id]
	delete(r.calls, id)
	r.routes.Offer(now, c.via, -1)
	return c.onReply, "no answer through " + c.via
}

// Stalled returns the calls that were sent over the link some time ago and still await their replies,
// for when calls start to go through a peer.
func (r *Router[R]) Stalled(now time.Duration) (ids []uint64) {
	for _, id := range slices.Sorted(maps.Keys(r.calls)) {
		if c := r.calls[id]; c.via == "" && c.onReply != nil && c.sentAt < now-r.limits.Link.LateAfter/2 {
			ids = append(ids, id)
		}
	}
	return ids
}

// Abandon stops waiting for the reply to a call. The call may still be executed, like any call without
// an answer; its answer is ignored if it arrives. Abandon returns the function that would have handled
// the reply, nil if there is none.
func (r *Router[R]) Abandon(id uint64) (onReply func(R)) {
	if c := r.calls[id]; c != nil {
		onReply, c.onReply = c.onReply, nil
	}
	return onReply
}

// CurrentPeer returns the peer through which calls go, as last set by SetCurrentPeer; "" for the link.
func (r *Router[R]) CurrentPeer() string { return r.currentPeer }

// SetCurrentPeer records that calls go through a peer from now on; "" for the link.
func (r *Router[R]) SetCurrentPeer(peer string) { r.currentPeer = peer }

// ShouldProbe reports whether the link should be probed because calls go around it.
func (r *Router[R]) ShouldProbe(status LinkStatus) bool {
	return (status.Level == Doubt || status.Level == Down) && r.currentPeer != ""
}
