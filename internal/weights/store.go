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
func (e *storeRateEstimate) advance(now time.Duration, fetches int) {
	e.fetchSeconds += float64(fetches) * (now - e.countedUntil).Seconds()
	e.countedUntil = now
}

// fetched takes the end of a fetch from the store, of a machine that fetched nothing else.
func (e *storeRateEstimate) recordFetch(now time.Duration, copied *imageCopy) {
	took := now - copied.since
	if took < e.limits.MinFetchDuration || copied.FetchGBps <= 0 {
		return
	}
	if now-e.lastMeasured > e.limits.MeasurementTTL {
		e.measurements = 0 // what it was like then is not known to be so now
	}
	rate, concurrent := copied.gb/took.Seconds(), max(1, (e.fetchSeconds-copied.fetchSecondsAtStart)/took.Seconds())
	share, total := rate/copied.FetchGBps, rate*concurrent
	if allowed := e.maxFetches(now); allowed > 0 && share >= e.limits.StoreBoundShare && concurrent <= 1.5*float64(allowed) {
		return // as many as we let at a time get their own rate: that is what holding back is for
	}
	if e.measurements == 0 {
		e.machineGBps, e.rateShare, e.totalGBps = copied.FetchGBps, share, total
	}
	e.machineGBps, e.rateShare, e.totalGBps = historyWeight*e.machineGBps+(1-historyWeight)*copied.FetchGBps, historyWeight*e.rateShare+(1-historyWeight)*share, historyWeight*e.totalGBps+(1-historyWeight)*total
	e.measurements, e.lastMeasured = e.measurements+1, now
}

// rate is what all fetches at once get from the store, GB/s, if it binds; 0: a machine's own rate does,
// or too little is known.
func (e *storeRateEstimate) gbps(now time.Duration) float64 {
	if e.measurements < e.limits.MinMeasurements || now-e.lastMeasured > e.limits.MeasurementTTL || e.rateShare >= e.limits.StoreBoundShare {
		return 0
	}
	return e.totalGBps
}

// most is how many fetches at a time use all that the store gives; more bring no more. 0: no limit is
// known.
func (e *storeRateEstimate) maxFetches(now time.Duration) int {
	return int(math.Ceil(e.limits.StoreFetchFactor * e.gbps(now) / max(e.machineGBps, 1e-9)))
}
