package weights

import (
	"math"
	"time"
)

// store is what fetches have shown of the store's rate. Reports tell when a fetch begins and ends; how
// many were under way meanwhile is counted here.
type storeRateEstimate struct {
	limits       Limits
	countedUntil time.Duration // counted up to here
	fetchSeconds float64       // fetches under way, summed over time: fetch seconds
	machineGBps  float64       // GB/s that a machine fetches by itself, lately
	rateShare    float64       // of that which fetches get, lately
	totalGBps    float64       // GB/s that all at once get, lately
	measurements int           // fetches measured
	lastMeasured time.Duration // when the last was that counted
}

// keep is the weight of what was known before a new measure.
const historyWeight = 0.8

// pass lets time pass with so many fetches under way.
func (s *storeRateEstimate) advance(now time.Duration, fetches int) {
	s.fetchSeconds += float64(fetches) * (now - s.countedUntil).Seconds()
	s.countedUntil = now
}

// fetched takes the end of a fetch from the store, of a machine that fetched nothing else.
func (s *storeRateEstimate) recordFetch(now time.Duration, c *imageCopy) {
	took := now - c.since
	if took < s.limits.MinFetchDuration || c.FetchGBps <= 0 {
		return
	}
	if now-s.lastMeasured > s.limits.MeasurementTTL {
		s.measurements = 0 // what it was like then is not known to be so now
	}
	rate, at := c.gb/took.Seconds(), max(1, (s.fetchSeconds-c.fetchSecondsAtStart)/took.Seconds())
	share, total := rate/c.FetchGBps, rate*at
	if most := s.maxFetches(now); most > 0 && share >= s.limits.StoreBoundShare && at <= 1.5*float64(most) {
		return // as many as we let at a time get their own rate: that is what holding back is for
	}
	if s.measurements == 0 {
		s.machineGBps, s.rateShare, s.totalGBps = c.FetchGBps, share, total
	}
	s.machineGBps, s.rateShare, s.totalGBps = historyWeight*s.machineGBps+(1-historyWeight)*c.FetchGBps, historyWeight*s.rateShare+(1-historyWeight)*share, historyWeight*s.totalGBps+(1-historyWeight)*total
	s.measurements, s.lastMeasured = s.measurements+1, now
}

// rate is what all fetches at once get from the store, GB/s, if it binds; 0: a machine's own rate does,
// or too little is known.
func (s *storeRateEstimate) gbps(now time.Duration) float64 {
	if s.measurements < s.limits.MinMeasurements || now-s.lastMeasured > s.limits.MeasurementTTL || s.rateShare >= s.limits.StoreBoundShare {
		return 0
	}
	return s.totalGBps
}

// most is how many fetches at a time use all that the store gives; more bring no more. 0: no limit is
// known.
func (s *storeRateEstimate) maxFetches(now time.Duration) int {
	return int(math.Ceil(s.limits.StoreFetchFactor * s.gbps(now) / max(s.machineGBps, 1e-9)))
}
