package weights

import (
	"math"
	"time"
)

// store is what fetches have shown of the store's rate. Reports tell when a fetch begins and ends; how
// many were under way meanwhile is counted here.
type store struct {
	l     Limits
	at    time.Duration // counted up to here
	sum   float64       // fetches under way, summed over time: fetch seconds
	own   float64       // GB/s that a machine fetches by itself, lately
	share float64       // of that which fetches get, lately
	total float64       // GB/s that all at once get, lately
	n     int           // fetches measured
	last  time.Duration // when the last was that counted
}

// keep is the weight of what was known before a new measure.
const keep = 0.8

// pass lets time pass with so many fetches under way.
func (s *store) pass(now time.Duration, fetches int) {
	s.sum += float64(fetches) * (now - s.at).Seconds()
	s.at = now
}

// fetched takes the end of a fetch from the store, of a machine that fetched nothing else.
func (s *store) fetched(now time.Duration, c *copied) {
	took := now - c.since
	if took < s.l.Least || c.Rate <= 0 {
		return
	}
	if now-s.last > s.l.Memory {
		s.n = 0 // what it was like then is not known to be so now
	}
	rate, at := c.gb/took.Seconds(), max(1, (s.sum-c.began)/took.Seconds())
	share, total := rate/c.Rate, rate*at
	if most := s.most(now); most > 0 && share >= s.l.Bound && at <= 1.5*float64(most) {
		return // as many as we let at a time get their own rate: that is what holding back is for
	}
	if s.n == 0 {
		s.own, s.share, s.total = c.Rate, share, total
	}
	s.own, s.share, s.total = keep*s.own+(1-keep)*c.Rate, keep*s.share+(1-keep)*share, keep*s.total+(1-keep)*total
	s.n, s.last = s.n+1, now
}

// rate is what all fetches at once get from the store, GB/s, if it binds; 0: a machine's own rate does,
// or too little is known.
func (s *store) rate(now time.Duration) float64 {
	if s.n < s.l.Fetches || now-s.last > s.l.Memory || s.share >= s.l.Bound {
		return 0
	}
	return s.total
}

// most is how many fetches at a time use all that the store gives; more bring no more. 0: no limit is
// known.
func (s *store) most(now time.Duration) int {
	return int(math.Ceil(s.l.Spare * s.rate(now) / max(s.own, 1e-9)))
}
