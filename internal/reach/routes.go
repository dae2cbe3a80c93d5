package reach

import "time"

// Routes finds a way to a service through peers. Each peer says how many of them stand
// between it and the service (0: none); a way is as good as its last word is young.
type Routes struct {
	keep   time.Duration // a word counts for so long
	most   int           // controllers between
	offers map[string]offer
	used   string
}

type offer struct {
	hops int
	at   time.Duration
}

// NewRoutes returns routes without an offer.
func NewRoutes(keep time.Duration, most int) *Routes {
	return &Routes{keep: keep, most: most, offers: map[string]offer{}}
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
		if now-o.at > r.keep || o.hops+1 > r.most {
			continue
		}
		better := peer == "" || o.hops+1 < hops
		if o.hops+1 == hops {
			better = p == r.used || peer != r.used && p < peer
		}
		if better {
			peer, hops = p, o.hops+1
		}
	}
	r.used = peer
	return peer, hops
}
