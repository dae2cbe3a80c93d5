package reach

import "time"

// Routes finds a way to a service through peers. Each peer says how many of them stand
// between it and the service (0: none); a way is as good as its last word is young.
type Routes struct {
	offerTTL time.Duration // a word counts for so long
	maxHops  int           // controllers between
	offers   map[string]offer
	current  string
}

type offer struct {
	hops       int
	receivedAt time.Duration
}

// NewRoutes returns routes without an offer.
func NewRoutes(offerTTL time.Duration, maxHops int) *Routes {
	return &Routes{offerTTL: offerTTL, maxHops: maxHops, offers: map[string]offer{}}
}

// Offer notes a peer's word; a negative number takes an earlier one back.
func (r *Routes) Offer(now time.Duration, peer string, hops int) {
	if hops < 0 {
		delete(r.offers, peer)
		return
	}
	r.offers[peer] = offer{hops, now}
}

// Best is the peer with the shortest way, and how long it is; "" if there is none. Among
// equals the one in use is kept.
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
