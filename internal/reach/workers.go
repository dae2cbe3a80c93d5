package reach

import (
	"maps"
	"slices"
	"time"

	"github.com/barrowbridge/barrowbridge/wire"
)

// WorkerLimits are the times by which reach of the workers is judged.
type WorkerLimits struct {
	Group         GroupLimits
	ProbeInterval time.Duration // between samples, where no report shows that workers are reached
	ProbeTimeout  time.Duration // a sample is over after this
	SampleSize    int           // machines in a sample
	ResampleAfter time.Duration // a shard that is sought is sampled again after this
	CutOffFor     time.Duration // who had to give a shard away counts as cut off for so long; doubles
	CutOffForMax  time.Duration
}

// Anywhere stands for all shards together, in a sample of what is not held.
const AnyShard = -1

// Workers is what one controller knows of its reach of the workers: by their reports if
// it holds machines, else by calling a few now and then.
type Workers struct {
	limits                 WorkerLimits
	lastReport             map[int]time.Duration  // held shard -> when one of its machines last reported
	lastAnswer             map[int]time.Duration  // and when one last answered a call
	silent                 map[int]bool           // held shards whose machines have fallen silent, all or most of them
	fewSince               map[int]time.Duration  // held shards under half of whose machines, or none, report: since when
	groups                 map[int]evaluatedGroup // held shards as last judged
	trackedSince           map[int]time.Duration  // held shards: since when they are judged without a break
	updatedAt              time.Duration          // when the held shards were last judged
	lastContact            time.Duration          // when any worker was last heard
	lacksWorkers           bool
	cutOffFor, cutOffUntil time.Duration // after a shard was given away: for how long, and until when
	partialLoss            bool          // it was given away though some of its machines reported here
	failedSamples          int           // samples in a row that nobody answered
	answeredSamples        int
	samples                map[int]*Sample
	sampledAt              map[int]time.Duration // when a shard was last sampled
	sampledShards          map[int]wire.ShardReach
	probing                map[int]bool // held shards so silent that some of their machines are called
	heldSamples            map[int]sampleResult
}

// judged is a crowd with what was thought of it.
type evaluatedGroup struct {
	MachineGroup
	level Level
}

// called is what the last sample of a held shard has shown, and when it began.
type sampleResult struct {
	startedAt        time.Duration
	called, answered int
}

// sure tells whether a sample says something of the time since: not if it began before, nor of one
// machine alone.
func (r sampleResult) conclusive(since time.Duration) bool {
	return r.called > 1 && r.startedAt >= since
}

// NewWorkers returns a judgement that knows nothing yet.
func NewWorkers(l WorkerLimits) *Workers {
	return &Workers{limits: l, lastReport: map[int]time.Duration{}, lastAnswer: map[int]time.Duration{}, silent: map[int]bool{}, fewSince: map[int]time.Duration{}, groups: map[int]evaluatedGroup{}, trackedSince: map[int]time.Duration{}, samples: map[int]*Sample{},
		sampledAt: map[int]time.Duration{}, sampledShards: map[int]wire.ShardReach{}, probing: map[int]bool{}, heldSamples: map[int]sampleResult{}}
}

// HeardThrough notes a report that a peer passed on: the shard is served, and nothing is
// shown of what is reached from here.
func (w *Workers) RelayedReport(now time.Duration, shard int) {
	if _, held := w.lastReport[shard]; held {
		w.lastReport[shard] = now
	}
}

// Heard notes that a worker has reported here. shard is that of its machine if it is held
// here, else Anywhere.
func (w *Workers) DirectReport(now time.Duration, shard int, machine string) {
	if !w.partialLoss || now >= w.cutOffUntil { // of one of a few it shows nothing new
		w.cutOffUntil, w.cutOffFor, w.partialLoss = 0, 0, false
	}
	w.RelayedReport(now, shard)
	w.CallAnswered(now, shard, machine)
}

// Answered notes that a worker has answered a call. That shows that it lives and is in
// reach, and not that its reports come here: a cut may take one way and leave the other.
func (w *Workers) CallAnswered(now time.Duration, shard int, machine string) {
	w.lastContact = now
	if _, held := w.lastReport[shard]; held {
		w.lastAnswer[shard] = now
	}
	for _, sample := range w.samples {
		sample.RecordAnswer(machine)
	}
}

// Silent is for how long no machine of a held shard has been heard, or under half of them; 0 if
// that says nothing yet.
func (w *Workers) SilentFor(now time.Duration, shard int) time.Duration {
	if !w.silent[shard] {
		return 0
	}
	return now - w.fewSince[shard]
}

// some tells whether machines of a held shard report, and under half of them.
func (w *Workers) fewReport(shard int) bool {
	_, few := w.fewSince[shard]
	return few && w.groups[shard].level != Down && w.groups[shard].Reporting > 0
}

// Reached is how many of so many machines of a held shard are reached from here. If few report it is
// these, or those of a sample that answer calls, whichever is the smaller part: the others call the
// same machines. Else it is none, as far as is known.
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

// Lacks tells whether no workers are reached, or their reports do not come here. The
// latter cannot be tried by who holds nothing: calls may be answered all the while. Only
// time, or a report, tells otherwise.
func (w *Workers) LacksWorkers(now time.Duration) bool { return w.lacksWorkers || now < w.cutOffUntil }

// Watch judges the held shards, by how many machines of each are expected and heard.
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
	// Who has stood still has heard nobody meanwhile, and it says nothing of them.
	if now-w.updatedAt >= w.limits.Group.MinSilence {
		for shard := range w.lastReport {
			w.lastReport[shard], w.trackedSince[shard] = now, now
		}
		clear(w.fewSince)
	}
	w.updatedAt = now
	reporting := false
	clear(w.probing)
	for _, shard := range slices.Sorted(maps.Keys(held)) { // what one shard shows bears on the next
		group := held[shard]
		if _, known := w.lastReport[shard]; !known {
			w.lastReport[shard], w.trackedSince[shard] = now, now
		}
		group.LastReport = w.lastReport[shard]
		level := w.limits.Group.Evaluate(now, group)
		w.groups[shard] = evaluatedGroup{group, level}
		// Calls that nobody answers make a silence that may be chance a certainty.
		sample, sampled := w.heldSamples[shard]
		unanswered := sampled && sample.startedAt > group.LastReport && sample.answered == 0
		since, few := w.fewSince[shard]
		switch {
		case level == Up || level == Unknown:
			few = false
			delete(w.fewSince, shard)
		case level == Doubt && !few: // who has just begun has not been heard by all yet
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
		// Those that answer calls may be on their way here, but not for ever.
		delayed := w.lastAnswer[shard] > group.LastReport && now-group.LastReport <= time.Duration(w.limits.Group.DownIntervals*float64(w.limits.Group.ReportInterval))
		cutOff := w.lacksWorkers && now-group.LastReport > w.limits.Group.MinSilence // known from calls to others already
		if level == Down && !delayed || level == Probing && unanswered || cutOff {
			w.silent[shard] = true
			w.lacksWorkers = w.lacksWorkers || unanswered
		}
		// Most do not report. Few of those called since answer, or reports stay away though they do: the
		// machines may be dead, or cut off from here alone. The others know.
		if w.fewReport(shard) && (sample.conclusive(since) && 4*sample.answered <= sample.called || now-since > time.Duration(w.limits.Group.ProbeIntervals*float64(w.limits.Group.ReportInterval))) {
			w.silent[shard] = true
		}
		reporting = reporting || level == Up || level == Doubt
	}
	if reporting && now-w.lastContact <= w.limits.ProbeInterval {
		w.lacksWorkers, w.failedSamples, w.answeredSamples = false, 0, 0
	}
}

// Probe names machines to call now: a few of each shard that another seeks, and a few of
// any where nothing else shows whether workers are reached. pick names up to n machines
// of a shard with known addresses.
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
		if shard == AnyShard && w.failedSamples != 1 { // a first miss is looked into at once
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

// results takes the samples that are over.
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
				continue // some report: it says nothing of whether workers are reached at all
			}
		} else if shard != AnyShard {
			w.sampledShards[shard] = wire.ShardReach{Shard: shard, Of: called, Heard: answered}
		}
		if answered > 0 {
			w.failedSamples = 0
			if w.answeredSamples++; w.answeredSamples >= 2 {
				w.lacksWorkers = false
			}
			continue
		}
		w.answeredSamples = 0
		// One machine may be dead, and one sample unlucky.
		if w.failedSamples++; w.failedSamples >= 2 && called > 1 || w.failedSamples >= 3 {
			w.lacksWorkers = true
		}
	}
}

// Word is what the others should know. A shard that is sought by its holder is named as
// reached only once machines of it have answered.
func (w *Workers) Report(now time.Duration) wire.Reach {
	report := wire.Reach{Lacks: w.LacksWorkers(now), Seeks: slices.Sorted(maps.Keys(w.silent))}
	for _, shard := range slices.Sorted(maps.Keys(w.sampledShards)) {
		report.Hears = append(report.Hears, w.sampledShards[shard])
	}
	return report
}
