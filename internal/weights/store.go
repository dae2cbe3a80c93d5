package weights

import (
	"math"
	"time"

	"github.com/barrowbridge/barrowbridge/internal/conversion"
)

// storeRateEstimate estimates the rate of the store from the fetches of machines. Reports show when
// a fetch begins and ends; the fetches in progress meanwhile are counted here.
type storeRateEstimate struct {
	limits       Limits
	countedUntil time.Duration // fetchSeconds includes the time until then
	fetchSeconds float64       // number of fetches in progress, integrated over time
	machineGBps  float64       // moving average of the rate of a machine that fetches alone, GB/s
	rateShare    float64       // moving average of the share of that rate that fetches get
	totalGBps    float64       // moving average of the total rate of all concurrent fetches, GB/s
	measurements int           // number of fetches measured
	lastMeasured time.Duration // when the last measured fetch ended
}

// historyWeight is the weight of earlier measurements in the moving averages.
const historyWeight = 0.8

// advance counts the fetches in progress since the last call.
func (e *storeRateEstimate) advance(now time.Duration, fetches int) {
	e.fetchSeconds += float64(fetches) * (now - e.countedUntil).Seconds()
	e.countedUntil = now
}

// recordFetch measures a fetch from the store that has ended, on a machine that fetched nothing
// else.
func (e *storeRateEstimate) recordFetch(now time.Duration, copied *imageCopy) {
	took := now - copied.since
	if took < e.limits.MinFetchDuration || copied.FetchGBps <= 0 {
		return
	}
	if now-e.lastMeasured > e.limits.MeasurementTTL {
		e.measurements = 0 // the earlier measurements may no longer apply
	}
	rate, concurrent := copied.gb/took.Seconds(), max(1, (e.fetchSeconds-copied.fetchSecondsAtStart)/took.Seconds())
	share, total := rate/copied.FetchGBps, rate*concurrent
	if allowed := e.maxFetches(now); allowed > 0 && share >= e.limits.StoreBoundShare && concurrent <= 1.5*float64(allowed) {
		return // paced fetches are meant to get their machines' own rates, so this says nothing about the store
	}
	if e.measurements == 0 {
		e.machineGBps, e.rateShare, e.totalGBps = copied.FetchGBps, share, total
	}
	e.machineGBps, e.rateShare, e.totalGBps = historyWeight*e.machineGBps+(1-historyWeight)*copied.FetchGBps, historyWeight*e.rateShare+(1-historyWeight)*share, historyWeight*e.totalGBps+(1-historyWeight)*total
	e.measurements, e.lastMeasured = e.measurements+1, now
}

// gbps returns the total rate that the store gives all concurrent fetches, in GB/s, if the store is
// the bottleneck. It returns 0 if the machines' own rates are, or if too little is known.
func (e *storeRateEstimate) gbps(now time.Duration) float64 {
	if e.measurements < e.limits.MinMeasurements || now-e.lastMeasured > e.limits.MeasurementTTL || e.rateShare >= e.limits.StoreBoundShare {
		return 0
	}
	return e.totalGBps
}

// maxFetches returns how many fetches at a time are allowed because they use up the store's rate;
// more would not increase the total. It returns 0 if no limit is known.
func (e *storeRateEstimate) maxFetches(now time.Duration) int {
	return conversion.Int(math.Ceil(e.limits.StoreFetchFactor * e.gbps(now) / max(e.machineGBps, 1e-9)))
}
