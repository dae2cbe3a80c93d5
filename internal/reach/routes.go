package reach

import "time"

// Routes finds a route to a service through peers. Each peer offers a route with the number of
// controllers between itself and the service (0 for a direct link). An offer is valid for a limited
// time.
type Routes struct {
	offerTTL time.Duration // how long an offer is valid
	maxHops  int           // controllers that a route may pass
	offers   map[string]offer
	current  string // the peer last returned by Best
}

// offer is a peer's route, and when it was offered.
type offer struct {
	hops       int
	receivedAt time.Duration
}

// NewRoutes returns routes without offers.
func NewRoutes(offerTTL time.Duration, maxHops int) *Routes {
	return &Routes{offerTTL: offerTTL, maxHops: maxHops, offers: map[string]offer{}}
}

// Offer records a peer's offer; a negative number of hops withdraws the earlier one.
func (r *Routes) Offer(now time.Duration, peer string, hops int) {
	if hops < 0 {
		delete(r.offers, peer)
		return
	}
	r.offers[peer] = offer{hops, now}
}

// Best returns the peer with the shortest route and the number of controllers on it, or "" if there is
// no route. Among equally short routes the one in use is kept.
func (r *Routes) Best(now time.Duration) (peer string, hops int) {
	for p, o := range r.offers {
		if now-o.receivedAt > r.offerTTL || o.hops+1 > r.maxHops {
			continue
		}
		better := peer == "" || o.hops+1 < hops
		if o.hops+1 == hops {
			better = p == r.current || peer != r.current && p < peer
		}
		if better {
			peer, hops = p, o.hops+1
		}
	}
	r.current = peer
	return peer, hops
}
