// Package reach judges what a controller reaches: services, its peers and through these
// what they reach, and the workers. It goes by the traffic that is there anyway; who is
// asked too little is probed by the owner. Doubt comes before certainty: doubt is reason
// enough for a way around, which costs little, and never for giving a duty away.
//
// Plain structures: no clock, no I/O, not for concurrent use.
package reach

import "time"

// Level is what is believed of a link.
type Level int

const (
	Unknown Level = iota // nothing has been asked yet
	Up
	Doubt // an answer that ought to have come has not, or a call was refused
	Down  // in doubt for long, with nothing to speak for it
)

// String names a level for operators.
func (l Level) String() string { return [...]string{"asking", "unknown", "up", "doubt", "down"}[l+1] }

// LinkLimits are the times of a judgement.
type LinkLimits struct {
	LateAfter       time.Duration // a call without an answer for so long is a reason for doubt
	LateAfterMax    time.Duration // the same while answers come late: twice what the last one took, up to this
	DownAfter       time.Duration // doubt of this age, and two reasons for it, is a judgement
	RecoverAfter    time.Duration // answers over so long bring a link back that was down
	RecoverAfterMax time.Duration // each fall within Window doubles Back, up to this: a flapping link stays down
	FlapWindow      time.Duration
}

// Outcome is how a call ended.
type Outcome int

const (
	Answered Outcome = iota
	Refused          // the other side, or somebody on the way, says no: it may be alive
	NoAnswer         // no answer came, or the connection broke
)

// Link is the judgement of one link.
type Link struct {
	limits          LinkLimits
	level           Level
	since           time.Duration
	reason          string
	inFlight        map[uint64]time.Duration // calls under way by id, and when they were sent
	countedLate     map[uint64]bool          // those of them that have counted as late
	lastLatency     time.Duration            // what the last of them took that was answered
	failures        int                      // for doubt, since the last answer
	lastAnswered    time.Duration            // when the last answered call was sent
	lastFailed      time.Duration            // when the last call was sent that gave a reason for doubt
	recoveringSince time.Duration            // first answer after the link was down; 0: none yet
	recoverAfter    time.Duration
	wentDownAt      time.Duration // when it was last judged down
	wentDown        bool
}

// NewLink returns a link of which nothing is known.
func NewLink(l LinkLimits) *Link {
	return &Link{limits: l, inFlight: map[uint64]time.Duration{}, countedLate: map[uint64]bool{}, recoverAfter: l.RecoverAfter}
}

// Sent notes a call whose answer ought to come within moments.
func (l *Link) CallSent(now time.Duration, id uint64) { l.inFlight[id] = now }

// Done notes how a call ended that was sent at the given time; those that Sent was not
// told of count too.
func (l *Link) CallDone(now time.Duration, id uint64, sent time.Duration, outcome Outcome) {
	if at, watched := l.inFlight[id]; watched && outcome == Answered {
		l.lastLatency = now - at
	}
	delete(l.inFlight, id)
	delete(l.countedLate, id)
	if outcome != Answered {
		if sent < l.lastAnswered {
			return // older than an answer: it was lost on its own
		}
		l.recordFailure(now, sent, [...]string{"", "refused", "no answer"}[outcome])
		return
	}
	l.lastAnswered = max(l.lastAnswered, sent)
	if sent < l.lastFailed {
		return // as old as that: a watch held open from before says nothing of now
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

func (l *Link) recordFailure(now, sent time.Duration, reason string) {
	l.failures++
	l.lastFailed = max(l.lastFailed, sent)
	l.recoveringSince = 0
	if l.level != Down && l.level != Doubt {
		l.setLevel(now, Doubt, reason)
	}
}

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

// Judgement is what is believed of a link, since when and why.
type LinkStatus struct {
	Level  Level
	Since  time.Duration
	Reason string
}

// Judge looks at what is under way, and says what is believed now.
func (l *Link) Evaluate(now time.Duration) LinkStatus {
	// A service that is slow is so by every way: what comes late, and comes, is no cut.
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

// LastOK is when the last call was sent that has been answered.
func (l *Link) LastAnswered() time.Duration { return l.lastAnswered }
