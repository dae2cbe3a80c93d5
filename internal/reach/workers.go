package reach

import (
	"maps"
	"slices"
	"time"

	"github.com/barrowbridge/barrowbridge/wire"
)

// WorkerLimits are the times by which reach of the workers is judged.
type WorkerLimits struct {
	Crowd   CrowdLimits
	Probe   time.Duration // between samples, where no report shows that workers are reached
	Wait    time.Duration // a sample is over after this
	Sample  int           // machines in a sample
	Again   time.Duration // a shard that is sought is sampled again after this
	Deaf    time.Duration // who had to give a shard away counts as cut off for so long; doubles
	DeafMax time.Duration
}

// Anywhere stands for all shards together, in a sample of what is not held.
const Anywhere = -1

// Workers is what one controller knows of its reach of the workers: by their reports if
// it holds machines, else by calling a few now and then.
type Workers struct {
	limits         WorkerLimits
	last           map[int]time.Duration // held shard -> when one of its machines last reported
	answered       map[int]time.Duration // and when one last answered a call
	silent         map[int]bool          // held shards whose machines have fallen silent, all or most of them
	few            map[int]time.Duration // held shards under half of whose machines, or none, report: since when
	crowd          map[int]judged        // held shards as last judged
	heeded         map[int]time.Duration // held shards: since when they are judged without a break
	watched        time.Duration         // when the held shards were last judged
	any            time.Duration         // when any worker was last heard
	lacks          bool
	deaf, deafTill time.Duration // after a shard was given away: for how long, and until when
	partly         bool          // it was given away though some of its machines reported here
	misses         int           // samples in a row that nobody answered
	hits           int
	samples        map[int]*Sample
	began          map[int]time.Duration // when a shard was last sampled
	hears          map[int]wire.ShardReach
	asking         map[int]bool // held shards so silent that some of their machines are called
	own            map[int]called
}

// judged is a crowd with what was thought of it.
type judged struct {
	Crowd
	level Level
}

// called is what the last sample of a held shard has shown, and when it began.
type called struct {
	at        time.Duration
	of, heard int
}

// sure tells whether a sample says something of the time since: not if it began before, nor of one
// machine alone.
func (c called) sure(since time.Duration) bool { return c.of > 1 && c.at >= since }

// NewWorkers returns a judgement that knows nothing yet.
func NewWorkers(l WorkerLimits) *Workers {
	return &Workers{limits: l, last: map[int]time.Duration{}, answered: map[int]time.Duration{}, silent: map[int]bool{}, few: map[int]time.Duration{}, crowd: map[int]judged{}, heeded: map[int]time.Duration{}, samples: map[int]*Sample{},
		began: map[int]time.Duration{}, hears: map[int]wire.ShardReach{}, asking: map[int]bool{}, own: map[int]called{}}
}

// HeardThrough notes a report that a peer passed on: the shard is served, and nothing is
// shown of what is reached from here.
func (w *Workers) HeardThrough(now time.Duration, shard int) {
	if _, held := w.last[shard]; held {
		w.last[shard] = now
	}
}

// Heard notes that a worker has reported here. shard is that of its machine if it is held
// here, else Anywhere.
func (w *Workers) Heard(now time.Duration, shard int, machine string) {
	if !w.partly || now >= w.deafTill { // of one of a few it shows nothing new
		w.deafTill, w.deaf, w.partly = 0, 0, false
	}
	w.HeardThrough(now, shard)
	w.Answered(now, shard, machine)
}

// Answered notes that a worker has answered a call. That shows that it lives and is in
// reach, and not that its reports come here: a cut may take one way and leave the other.
func (w *Workers) Answered(now time.Duration, shard int, machine string) {
	w.any = now
	if _, held := w.last[shard]; held {
		w.answered[shard] = now
	}
	for _, s := range w.samples {
		s.Answered(machine)
	}
}

// Silent is for how long no machine of a held shard has been heard, or under half of them; 0 if
// that says nothing yet.
func (w *Workers) Silent(now time.Duration, shard int) time.Duration {
	if !w.silent[shard] {
		return 0
	}
	return now - w.few[shard]
}

// some tells whether machines of a held shard report, and under half of them.
func (w *Workers) some(shard int) bool {
	_, few := w.few[shard]
	return few && w.crowd[shard].level != Down && w.crowd[shard].Heard > 0
}

// Reached is how many of so many machines of a held shard are reached from here. If few report it is
// these, or those of a sample that answer calls, whichever is the smaller part: the others call the
// same machines. Else it is none, as far as is known.
func (w *Workers) Reached(shard, machines int) (of, heard int) {
	if !w.some(shard) {
		return machines, 0
	}
	c, s := w.crowd[shard], w.own[shard]
	if s.sure(w.few[shard]) && s.heard*c.Of < c.Heard*s.of {
		return s.of, s.heard
	}
	return c.Of, c.Heard
}

// Lacks tells whether no workers are reached, or their reports do not come here. The
// latter cannot be tried by who holds nothing: calls may be answered all the while. Only
// time, or a report, tells otherwise.
func (w *Workers) Lacks(now time.Duration) bool { return w.lacks || now < w.deafTill }

// Watch judges the held shards, by how many machines of each are expected and heard.
func (w *Workers) Watch(now time.Duration, held map[int]Crowd) {
	for i := range w.last {
		if _, ok := held[i]; !ok {
			if w.silent[i] {
				w.deaf = max(w.limits.Deaf, min(2*w.deaf, w.limits.DeafMax))
				w.deafTill = now + w.deaf
				w.partly = w.partly || w.some(i)
			}
			delete(w.last, i)
			delete(w.silent, i)
			delete(w.few, i)
			delete(w.crowd, i)
			delete(w.heeded, i)
			delete(w.answered, i)
		}
	}
	// Who has stood still has heard nobody meanwhile, and it says nothing of them.
	if now-w.watched >= w.limits.Crowd.Least {
		for i := range w.last {
			w.last[i], w.heeded[i] = now, now
		}
		clear(w.few)
	}
	w.watched = now
	speaking := false
	clear(w.asking)
	for _, i := range slices.Sorted(maps.Keys(held)) { // what one shard shows bears on the next
		c := held[i]
		if _, known := w.last[i]; !known {
			w.last[i], w.heeded[i] = now, now
		}
		c.Last = w.last[i]
		level := w.limits.Crowd.Judge(now, c)
		w.crowd[i] = judged{c, level}
		// Calls that nobody answers make a silence that may be chance a certainty.
		asked, called := w.own[i]
		unanswered := called && asked.at > c.Last && asked.heard == 0
		since, few := w.few[i]
		switch {
		case level == Up || level == Unknown:
			few = false
			delete(w.few, i)
		case level == Doubt && !few: // who has just begun has not been heard by all yet
			since, few = now, now-w.heeded[i] > time.Duration(w.limits.Crowd.Most*float64(w.limits.Crowd.Every))
		case level == Down && !few:
			since, few = c.Last, true
		}
		if few {
			w.few[i] = since
		}
		if level == Asking || level == Down || level == Doubt {
			w.asking[i] = true
		} else {
			delete(w.own, i)
		}
		delete(w.silent, i)
		// Those that answer calls may be on their way here, but not for ever.
		coming := w.answered[i] > c.Last && now-c.Last <= time.Duration(w.limits.Crowd.Most*float64(w.limits.Crowd.Every))
		cutOff := w.lacks && now-c.Last > w.limits.Crowd.Least // known from calls to others already
		if level == Down && !coming || level == Asking && unanswered || cutOff {
			w.silent[i] = true
			w.lacks = w.lacks || unanswered
		}
		// Most do not report. Few of those called since answer, or reports stay away though they do: the
		// machines may be dead, or cut off from here alone. The others know.
		if w.some(i) && (asked.sure(since) && 4*asked.heard <= asked.of || now-since > time.Duration(w.limits.Crowd.Asked*float64(w.limits.Crowd.Every))) {
			w.silent[i] = true
		}
		speaking = speaking || level == Up || level == Doubt
	}
	if speaking && now-w.any <= w.limits.Probe {
		w.lacks, w.misses, w.hits = false, 0, 0
	}
}

// Probe names machines to call now: a few of each shard that another seeks, and a few of
// any where nothing else shows whether workers are reached. pick names up to n machines
// of a shard with known addresses.
func (w *Workers) Probe(now time.Duration, sought map[int]bool, pick func(shard, n int) []string) (calls []string) {
	w.results(now)
	due := append(slices.Sorted(maps.Keys(w.asking)), slices.Sorted(maps.Keys(sought))...)
	for i := range w.hears {
		if !sought[i] {
			delete(w.hears, i)
		}
	}
	if now-w.any > w.limits.Probe || w.lacks {
		due = append(due, Anywhere)
	}
	for _, i := range due {
		every := w.limits.Again
		if i == Anywhere && w.misses != 1 { // a first miss is looked into at once
			every = w.limits.Probe
		} else if i == Anywhere {
			every = 0
		}
		if at, ok := w.began[i]; w.samples[i] != nil || ok && now-at < every {
			continue
		}
		names := pick(i, w.limits.Sample)
		if len(names) == 0 {
			continue
		}
		w.began[i], w.samples[i] = now, NewSample(now, names)
		calls = append(calls, names...)
	}
	return calls
}

// results takes the samples that are over.
func (w *Workers) results(now time.Duration) {
	for _, i := range slices.Sorted(maps.Keys(w.samples)) {
		s := w.samples[i]
		of, heard, ready := s.Result(now, w.limits.Wait)
		if !ready {
			continue
		}
		delete(w.samples, i)
		if _, held := w.last[i]; held {
			w.own[i] = called{s.began, of, heard}
			if w.some(i) {
				continue // some report: it says nothing of whether workers are reached at all
			}
		} else if i != Anywhere {
			w.hears[i] = wire.ShardReach{Shard: i, Of: of, Heard: heard}
		}
		if heard > 0 {
			w.misses = 0
			if w.hits++; w.hits >= 2 {
				w.lacks = false
			}
			continue
		}
		w.hits = 0
		// One machine may be dead, and one sample unlucky.
		if w.misses++; w.misses >= 2 && of > 1 || w.misses >= 3 {
			w.lacks = true
		}
	}
}

// Word is what the others should know. A shard that is sought by its holder is named as
// reached only once machines of it have answered.
func (w *Workers) Word(now time.Duration) wire.Reach {
	r := wire.Reach{Lacks: w.Lacks(now), Seeks: slices.Sorted(maps.Keys(w.silent))}
	for _, i := range slices.Sorted(maps.Keys(w.hears)) {
		r.Hears = append(r.Hears, w.hears[i])
	}
	return r
}
