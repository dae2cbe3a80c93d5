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
	Late    time.Duration // a call without an answer for so long is a reason for doubt
	Slowest time.Duration // the same while answers come late: twice what the last one took, up to this
	Down    time.Duration // doubt of this age, and two reasons for it, is a judgement
	Back    time.Duration // answers over so long bring a link back that was down
	BackMax time.Duration // each fall within Window doubles Back, up to this: a flapping link stays down
	Window  time.Duration
}

// Outcome is how a call ended.
type Outcome int

const (
	Answered Outcome = iota
	Refused          // the other side, or somebody on the way, says no: it may be alive
	Silent           // no answer came, or the connection broke
)

// Link is the judgement of one link.
type Link struct {
	limits  LinkLimits
	level   Level
	since   time.Duration
	why     string
	open    map[uint64]time.Duration // calls under way by id, and when they were sent
	late    map[uint64]bool          // those of them that have counted as late
	took    time.Duration            // what the last of them took that was answered
	reasons int                      // for doubt, since the last answer
	lastOK  time.Duration            // when the last answered call was sent
	badSent time.Duration            // when the last call was sent that gave a reason for doubt
	backAt  time.Duration            // first answer after the link was down; 0: none yet
	back    time.Duration
	fellAt  time.Duration // when it was last judged down
	fell    bool
}

// NewLink returns a link of which nothing is known.
func NewLink(l LinkLimits) *Link {
	return &Link{limits: l, open: map[uint64]time.Duration{}, late: map[uint64]bool{}, back: l.Back}
}

// Sent notes a call whose answer ought to come within moments.
func (l *Link) Sent(now time.Duration, id uint64) { l.open[id] = now }

// Done notes how a call ended that was sent at the given time; those that Sent was not
// told of count too.
func (l *Link) Done(now time.Duration, id uint64, sent time.Duration, o Outcome) {
	if at, ours := l.open[id]; ours && o == Answered {
		l.took = now - at
	}
	delete(l.open, id)
	delete(l.late, id)
	if o != Answered {
		if sent < l.lastOK {
			return // older than an answer: it was lost on its own
		}
		l.doubt(now, sent, [...]string{"", "refused", "no answer"}[o])
		return
	}
	l.lastOK = max(l.lastOK, sent)
	if sent < l.badSent {
		return // as old as that: a watch held open from before says nothing of now
	}
	l.reasons = 0
	switch l.level {
	case Down:
		if l.backAt == 0 {
			l.backAt = max(now, 1)
		}
		if now-l.backAt >= l.back {
			l.set(now, Up, "answers again")
		}
	case Doubt, Unknown:
		l.set(now, Up, "answers")
	}
}

func (l *Link) doubt(now, sent time.Duration, why string) {
	l.reasons++
	l.badSent = max(l.badSent, sent)
	l.backAt = 0
	if l.level != Down && l.level != Doubt {
		l.set(now, Doubt, why)
	}
}

func (l *Link) set(now time.Duration, to Level, why string) {
	l.level, l.since, l.why = to, now, why
	if to != Down {
		return
	}
	if l.fell && now-l.fellAt < l.limits.Window {
		l.back = min(2*l.back, l.limits.BackMax)
	} else {
		l.back = l.limits.Back
	}
	l.fell, l.fellAt, l.backAt = true, now, 0
}

// Judgement is what is believed of a link, since when and why.
type Judgement struct {
	Level Level
	Since time.Duration
	Why   string
}

// Judge looks at what is under way, and says what is believed now.
func (l *Link) Judge(now time.Duration) Judgement {
	// A service that is slow is so by every way: what comes late, and comes, is no cut.
	late := max(l.limits.Late, min(2*l.took, l.limits.Slowest))
	for id, at := range l.open {
		if now-at >= late && at >= l.lastOK && !l.late[id] {
			l.late[id] = true // counts once
			l.doubt(now, at, "an answer is late")
		}
	}
	if l.level == Doubt && now-l.since >= l.limits.Down && l.reasons >= 2 {
		l.set(now, Down, l.why)
	}
	return Judgement{l.level, l.since, l.why}
}

// LastOK is when the last call was sent that has been answered.
func (l *Link) LastOK() time.Duration { return l.lastOK }
