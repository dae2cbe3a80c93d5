// Package reach determines what a controller reaches: services, directly or through its peers, and the
// workers. It evaluates the traffic that exists anyway; the owner probes links with too little traffic.
// A link is in doubt before it counts as down. Doubt is a sufficient reason for another route, which
// costs little, but never for transferring a shard or leadership.
//
// Plain structures: no clock, no I/O, not for concurrent use.
package reach

import "time"

// Level is the state of a link.
type Level int

const (
	Unknown Level = iota // no call has been made yet
	Up
	Doubt // an expected answer has not arrived, or a call was refused
	Down  // in doubt for long, with several failures and no answer
)

// String returns the name of a level, as shown to operators.
func (l Level) String() string { return [...]string{"asking", "unknown", "up", "doubt", "down"}[l+1] }

// LinkLimits are the durations by which a link is evaluated.
type LinkLimits struct {
	LateAfter       time.Duration // a call without an answer for this long is a failure
	LateAfterMax    time.Duration // while answers are slow, LateAfter is twice the last latency, up to this
	DownAfter       time.Duration // a link in doubt for this long, with at least two failures, is down
	RecoverAfter    time.Duration // a link that is down is up again after answers over this time
	RecoverAfterMax time.Duration // going down again within FlapWindow doubles RecoverAfter up to this, so that a flapping link stays down
	FlapWindow      time.Duration
}

// Outcome is how a call ended.
type Outcome int

const (
	Answered Outcome = iota
	Refused          // the other side, or something on the route to it, refused; it may be alive
	NoAnswer         // no answer arrived, or the connection broke
)

// Link evaluates one link by the calls over it.
type Link struct {
	limits          LinkLimits
	level           Level
	since           time.Duration            // when the level last changed
	reason          string                   // of the last change
	inFlight        map[uint64]time.Duration // watched calls in flight, by ID, and when they were sent
	countedLate     map[uint64]bool          // calls in flight that have counted as late
	lastLatency     time.Duration            // of the last watched call that was answered
	failures        int                      // since the last answer
	lastAnswered    time.Duration            // when the last answered call was sent
	lastFailed      time.Duration            // when the last failed or late call was sent
	recoveringSince time.Duration            // first answer since the link went down; 0: none yet
	recoverAfter    time.Duration            // present RecoverAfter, see RecoverAfterMax
	wentDownAt      time.Duration
	wentDown        bool // it has been down at least once
}

// NewLink returns a link in the state Unknown.
func NewLink(l LinkLimits) *Link {
	return &Link{
		limits:       l,
		inFlight:     map[uint64]time.Duration{},
		countedLate:  map[uint64]bool{},
		recoverAfter: l.RecoverAfter,
	}
}

// CallSent records a call whose answer is expected soon, so that it counts as a failure while it is late.
func (l *Link) CallSent(now time.Duration, id uint64) { l.inFlight[id] = now }

// CallDone records the outcome of a call and when it was sent. Calls that were not announced by CallSent
// count as well.
func (l *Link) CallDone(now time.Duration, id uint64, sent time.Duration, outcome Outcome) {
	if at, watched := l.inFlight[id]; watched && outcome == Answered {
		l.lastLatency = now - at
	}
	delete(l.inFlight, id)
	delete(l.countedLate, id)
	if outcome != Answered {
		if sent < l.lastAnswered {
			return // sent before an answered call: only this one was lost
		}
		l.recordFailure(now, sent, [...]string{"", "refused", "no answer"}[outcome])
		return
	}
	l.lastAnswered = max(l.lastAnswered, sent)
	if sent < l.lastFailed {
		return // sent before a failed call: a long-held watch says nothing about the present state
	}
	l.failures = 0
	switch l.level {
	case Down:
		if l.recoveringSince == 0 {
			l.recoveringSince = max(now, 1)
		}
		if now-l.recoveringSince >= l.recoverAfter {
			l.setLevel(now, Up, "answers again")
		}
	case Doubt, Unknown:
		l.setLevel(now, Up, "answers")
	}
}

// recordFailure counts a failed or late call, which brings a link that is not down into doubt.
func (l *Link) recordFailure(now, sent time.Duration, reason string) {
	l.failures++
	l.lastFailed = max(l.lastFailed, sent)
	l.recoveringSince = 0
	if l.level != Down && l.level != Doubt {
		l.setLevel(now, Doubt, reason)
	}
}

// setLevel changes the level. A link that goes down again within FlapWindow takes longer to recover.
func (l *Link) setLevel(now time.Duration, level Level, reason string) {
	l.level, l.since, l.reason = level, now, reason
	if level != Down {
		return
	}
	if l.wentDown && now-l.wentDownAt < l.limits.FlapWindow {
		l.recoverAfter = min(2*l.recoverAfter, l.limits.RecoverAfterMax)
	} else {
		l.recoverAfter = l.limits.RecoverAfter
	}
	l.wentDown, l.wentDownAt, l.recoveringSince = true, now, 0
}

// LinkStatus is the level of a link, when it last changed and why.
type LinkStatus struct {
	Level  Level
	Since  time.Duration
	Reason string
}

// Evaluate counts calls in flight that are late, and returns the present status.
func (l *Link) Evaluate(now time.Duration) LinkStatus {
	// A slow service is slow over every route: answers that arrive late do not mean that the link is down.
	lateAfter := max(l.limits.LateAfter, min(2*l.lastLatency, l.limits.LateAfterMax))
	for id, at := range l.inFlight {
		if now-at >= lateAfter && at >= l.lastAnswered && !l.countedLate[id] {
			l.countedLate[id] = true // counts once
			l.recordFailure(now, at, "an answer is late")
		}
	}
	if l.level == Doubt && now-l.since >= l.limits.DownAfter && l.failures >= 2 {
		l.setLevel(now, Down, l.reason)
	}
	return LinkStatus{l.level, l.since, l.reason}
}

// LastAnswered returns when the last answered call was sent.
func (l *Link) LastAnswered() time.Duration { return l.lastAnswered }
