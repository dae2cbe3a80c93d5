package reach

import (
	"maps"
	"slices"
	"time"

	"github.com/barrowbridge/barrowbridge/wire"
)

// WorkerLimits are the durations and counts by which the reach of the workers is determined.
type WorkerLimits struct {
	Group         GroupLimits
	ProbeInterval time.Duration // between samples of any machines, while no report shows that workers are reached
	ProbeTimeout  time.Duration // after which a sample has finished
	SampleSize    int           // machines in a sample
	ResampleAfter time.Duration // between samples of one shard
	CutOffFor     time.Duration // how long a controller counts as cut off after it transferred a silent shard; doubles
	CutOffForMax  time.Duration
}

// AnyShard stands for all shards together, in samples and for machines that are not held here.
const AnyShard = -1

// Workers determines which workers one controller reaches: by their reports if it holds machines, else
// by calling samples of them from time to time.
type Workers struct {
	limits                 WorkerLimits
	lastReport             map[int]time.Duration   // held shard -> last report of one of its machines
	lastAnswer             map[int]time.Duration   // held shard -> last report or answer to a call of one of its machines
	silent                 map[int]bool            // held shards whose machines are silent, all or most of them
	fewSince               map[int]time.Duration   // held shards of whose machines none or under half report, and since when
	groups                 map[int]evaluatedGroup  // held shards as last evaluated
	trackedSince           map[int]time.Duration   // held shards, and since when they are evaluated without a pause
	updatedAt              time.Duration           // last Update
	lastContact            time.Duration           // last report or answer of any worker
	lacksWorkers           bool                    // no worker is reached, by samples and reports
	cutOffFor, cutOffUntil time.Duration           // after a silent shard was transferred: for how long, and until when
	partialLoss            bool                    // the shard was transferred although some of its machines reported here
	failedSamples          int                     // in a row without an answer
	answeredSamples        int                     // in a row with an answer
	samples                map[int]*Sample         // in progress, by shard or AnyShard
	sampledAt              map[int]time.Duration   // when the last sample of a shard was started
	sampledShards          map[int]wire.ShardReach // results for shards that other controllers seek
	probing                map[int]bool            // held shards so silent that some of their machines are called
	heldSamples            map[int]sampleResult    // results for held shards
}

// evaluatedGroup is a group of machines and its level.
type evaluatedGroup struct {
	MachineGroup
	level Level
}

// sampleResult is the result of the last sample of a held shard, and when that was started.
type sampleResult struct {
	startedAt        time.Duration
	called, answered int
}

// conclusive reports whether a sample says anything about the time since then. It does not if it was
// started before, or consisted of a single machine.
func (r sampleResult) conclusive(since time.Duration) bool {
	return r.called > 1 && r.startedAt >= since
}

// NewWorkers returns the state of a controller that knows nothing yet.
func NewWorkers(l WorkerLimits) *Workers {
	return &Workers{
		limits:        l,
		lastReport:    map[int]time.Duration{},
		lastAnswer:    map[int]time.Duration{},
		silent:        map[int]bool{},
		fewSince:      map[int]time.Duration{},
		groups:        map[int]evaluatedGroup{},
		trackedSince:  map[int]time.Duration{},
		samples:       map[int]*Sample{},
		sampledAt:     map[int]time.Duration{},
		sampledShards: map[int]wire.ShardReach{},
		probing:       map[int]bool{},
		heldSamples:   map[int]sampleResult{},
	}
}

// RelayedReport records a report that a peer has relayed. It shows that the shard is served, and says
// nothing about what is reached from here.
func (w *Workers) RelayedReport(now time.Duration, shard int) {
	if _, held := w.lastReport[shard]; held {
		w.lastReport[shard] = now
	}
}

// DirectReport records that a worker has reported here. shard is the shard of its machine if that is
// held here, else AnyShard.
func (w *Workers) DirectReport(now time.Duration, shard int, machine string) {
	if !w.partialLoss || now >= w.cutOffUntil { // after a partial loss, reports of the few machines that are reached show nothing new
		w.cutOffUntil, w.cutOffFor, w.partialLoss = 0, 0, false
	}
	w.RelayedReport(now, shard)
	w.CallAnswered(now, shard, machine)
}

// CallAnswered records that a worker has answered a call. That shows that it is alive and reached from
// here, but not that its reports arrive here: a network partition may affect one direction only.
func (w *Workers) CallAnswered(now time.Duration, shard int, machine string) {
	w.lastContact = now
	if _, held := w.lastReport[shard]; held {
		w.lastAnswer[shard] = now
	}
	for _, sample := range w.samples {
		sample.RecordAnswer(machine)
	}
}

// SilentFor returns how long no machine of a held shard, or under half of them, has reported; 0 if the
// shard does not count as silent.
func (w *Workers) SilentFor(now time.Duration, shard int) time.Duration {
	if !w.silent[shard] {
		return 0
	}
	return now - w.fewSince[shard]
}

// fewReport reports whether some machines of a held shard report, but under half of them.
func (w *Workers) fewReport(shard int) bool {
	_, few := w.fewSince[shard]
	return few && w.groups[shard].level != Down && w.groups[shard].Reporting > 0
}

// Reached returns how many machines of a held shard are reached from here, and out of how many. If few
// machines report, it returns these, or those of the sample that answered calls if that is the smaller
// share, because the other controllers call the same machines. Otherwise it returns 0 of all machines.
func (w *Workers) Reached(shard, machines int) (total, reached int) {
	if !w.fewReport(shard) {
		return machines, 0
	}
	group, sample := w.groups[shard], w.heldSamples[shard]
	if sample.conclusive(w.fewSince[shard]) && sample.answered*group.Expected < group.Reporting*sample.called {
		return sample.called, sample.answered
	}
	return group.Expected, group.Reporting
}

// LacksWorkers reports whether no workers are reached, or their reports do not arrive here. A
// controller that holds no shard cannot test the latter, because calls may be answered all the same.
// Therefore only time or a report ends that state.
func (w *Workers) LacksWorkers(now time.Duration) bool { return w.lacksWorkers || now < w.cutOffUntil }

// Update evaluates the held shards, by the numbers of machines of each that are expected and report. A
// shard that is no longer held although its machines were silent makes this controller count as cut off
// for a while.
func (w *Workers) Update(now time.Duration, held map[int]MachineGroup) {
	for shard := range w.lastReport {
		if _, ok := held[shard]; !ok {
			if w.silent[shard] {
				w.cutOffFor = max(w.limits.CutOffFor, min(2*w.cutOffFor, w.limits.CutOffForMax))
				w.cutOffUntil = now + w.cutOffFor
				w.partialLoss = w.partialLoss || w.fewReport(shard)
			}
			delete(w.lastReport, shard)
			delete(w.silent, shard)
			delete(w.fewSince, shard)
			delete(w.groups, shard)
			delete(w.trackedSince, shard)
			delete(w.lastAnswer, shard)
		}
	}
	// If this process was paused, it has received no reports meanwhile, and the silence says nothing
	// about the machines.
	if now-w.updatedAt >= w.limits.Group.MinSilence {
		for shard := range w.lastReport {
			w.lastReport[shard], w.trackedSince[shard] = now, now
		}
		clear(w.fewSince)
	}
	w.updatedAt = now
	reporting := false
	clear(w.probing)
	for _, shard := range slices.Sorted(maps.Keys(held)) { // sorted, because the evaluation of a shard affects the following ones
		group := held[shard]
		if _, known := w.lastReport[shard]; !known {
			w.lastReport[shard], w.trackedSince[shard] = now, now
		}
		group.LastReport = w.lastReport[shard]
		level := w.limits.Group.Evaluate(now, group)
		w.groups[shard] = evaluatedGroup{group, level}
		// Silence alone may be chance; calls without any answer since then prove the loss.
		sample, sampled := w.heldSamples[shard]
		unanswered := sampled && sample.startedAt > group.LastReport && sample.answered == 0
		since, few := w.fewSince[shard]
		switch {
		case level == Up || level == Unknown:
			few = false
			delete(w.fewSince, shard)
		case level == Doubt && !few: // after a start or pause not all machines have had the time to report
			since, few = now, now-w.trackedSince[shard] > time.Duration(w.limits.Group.DownIntervals*float64(w.limits.Group.ReportInterval))
		case level == Down && !few:
			since, few = group.LastReport, true
		}
		if few {
			w.fewSince[shard] = since
		}
		if level == Probing || level == Down || level == Doubt {
			w.probing[shard] = true
		} else {
			delete(w.heldSamples, shard)
		}
		delete(w.silent, shard)
		// Machines that answer calls may still report here, but not after DownIntervals.
		delayed := w.lastAnswer[shard] > group.LastReport && now-group.LastReport <= time.Duration(w.limits.Group.DownIntervals*float64(w.limits.Group.ReportInterval))
		cutOff := w.lacksWorkers && now-group.LastReport > w.limits.Group.MinSilence // calls to other machines have shown it already
		if level == Down && !delayed || level == Probing && unanswered || cutOff {
			w.silent[shard] = true
			w.lacksWorkers = w.lacksWorkers || unanswered
		}
		// Most machines do not report. Either few of those called since have answered, or reports are
		// missing although they did. The machines may have died or be cut off from this controller alone;
		// the other controllers can tell.
		if w.fewReport(shard) && (sample.conclusive(since) && 4*sample.answered <= sample.called || now-since > time.Duration(w.limits.Group.ProbeIntervals*float64(w.limits.Group.ReportInterval))) {
			w.silent[shard] = true
		}
		reporting = reporting || level == Up || level == Doubt
	}
	if reporting && now-w.lastContact <= w.limits.ProbeInterval {
		w.lacksWorkers, w.failedSamples, w.answeredSamples = false, 0, 0
	}
}

// StartProbes starts samples and returns the machines to call for them: some of each held shard that is
// too silent, some of each shard that another controller seeks, and some of any shard if nothing else
// shows whether workers are reached. pick returns up to n machines of a shard with known addresses.
func (w *Workers) StartProbes(now time.Duration, sought map[int]bool, pick func(shard, n int) []string) (calls []string) {
	w.finishSamples(now)
	due := append(slices.Sorted(maps.Keys(w.probing)), slices.Sorted(maps.Keys(sought))...)
	for shard := range w.sampledShards {
		if !sought[shard] {
			delete(w.sampledShards, shard)
		}
	}
	if now-w.lastContact > w.limits.ProbeInterval || w.lacksWorkers {
		due = append(due, AnyShard)
	}
	for _, shard := range due {
		interval := w.limits.ResampleAfter
		if shard == AnyShard && w.failedSamples != 1 { // after a first failed sample the next one is started at once
			interval = w.limits.ProbeInterval
		} else if shard == AnyShard {
			interval = 0
		}
		if at, ok := w.sampledAt[shard]; w.samples[shard] != nil || ok && now-at < interval {
			continue
		}
		names := pick(shard, w.limits.SampleSize)
		if len(names) == 0 {
			continue
		}
		w.sampledAt[shard], w.samples[shard] = now, NewSample(now, names)
		calls = append(calls, names...)
	}
	return calls
}

// finishSamples evaluates the samples that have finished.
func (w *Workers) finishSamples(now time.Duration) {
	for _, shard := range slices.Sorted(maps.Keys(w.samples)) {
		sample := w.samples[shard]
		called, answered, finished := sample.Result(now, w.limits.ProbeTimeout)
		if !finished {
			continue
		}
		delete(w.samples, shard)
		if _, held := w.lastReport[shard]; held {
			w.heldSamples[shard] = sampleResult{sample.startedAt, called, answered}
			if w.fewReport(shard) {
				continue // some machines report, so the sample does not show whether any workers are reached
			}
		} else if shard != AnyShard {
			w.sampledShards[shard] = wire.ShardReach{Shard: shard, Called: called, Answered: answered}
		}
		if answered > 0 {
			w.failedSamples = 0
			if w.answeredSamples++; w.answeredSamples >= 2 {
				w.lacksWorkers = false
			}
			continue
		}
		w.answeredSamples = 0
		// A single machine may be dead, and a single sample may have failed by chance.
		if w.failedSamples++; w.failedSamples >= 2 && called > 1 || w.failedSamples >= 3 {
			w.lacksWorkers = true
		}
	}
}

// Report returns our reachability report for the other controllers. A shard that is sought by its
// holder is listed only once a sample of its machines has finished.
func (w *Workers) Report(now time.Duration) wire.ReachReport {
	report := wire.ReachReport{NoWorkers: w.LacksWorkers(now), SilentShards: slices.Sorted(maps.Keys(w.silent))}
	for _, shard := range slices.Sorted(maps.Keys(w.sampledShards)) {
		report.SampledShards = append(report.SampledShards, w.sampledShards[shard])
	}
	return report
}
