package membership

import "time"

// Life is one process's part in the deployment: its grant, its key in the state service that hangs on
// it, and when the state service last confirmed it. Its first grant names it for good, as the lease of
// which a fencing token is made.
type Life struct {
	t                                  LifeTimes
	boot, grant                        uint64
	granting, refused, here, extending bool
	grantAt, writeAt, extendAt         Time // not before
	renewed, watched                   Time
}

// LifeTimes are the times between tries that failed, and between renewals.
type LifeTimes struct{ Retry, Extend time.Duration }

// NewLife returns a life that holds nothing yet.
func NewLife(t LifeTimes) *Life { return &Life{t: t} }

// Boot names this life: its first grant; 0: it has had none. Grant is the one that it holds; 0: none.
// Here tells whether its key stands on that.
func (l *Life) Boot() uint64  { return l.boot }
func (l *Life) Grant() uint64 { return l.grant }
func (l *Life) Here() bool    { return l.here }

// WantsGrant tells whether to ask for a grant now; Granted has to follow.
func (l *Life) WantsGrant(now Time) bool {
	if l.grant != 0 || l.granting || now < l.grantAt {
		return false
	}
	l.granting, l.grantAt = true, now+l.t.Retry
	return true
}

// Granted takes the answer to a question for a grant that was sent then; 0: there is none. News: it is not as
// the last time; an outage is not news by the attempt.
func (l *Life) Granted(now, sent Time, grant uint64) (news bool) {
	l.granting = false
	news, l.refused = l.refused != (grant == 0), grant == 0
	if grant == 0 {
		return news
	}
	l.grant, l.here = grant, false
	if l.boot == 0 {
		l.boot = grant
	}
	l.renewed, l.extendAt = sent, now+l.t.Extend
	return news
}

// WantsWrite tells whether to write the key now; Wrote has to follow unless nothing was written.
func (l *Life) WantsWrite(now Time) bool {
	if l.grant == 0 || l.here || now < l.writeAt {
		return false
	}
	l.writeAt = now + l.t.Retry
	return true
}

// Wrote takes the answer to a write of the key on a grant, and tells whether it stands now.
func (l *Life) Wrote(now Time, grant uint64, status int) bool {
	switch {
	case l.grant != grant:
	case status == 200:
		l.here = true
		return true
	case status == 400:
		l.grant = 0 // it has ended
	case status == 409:
		l.writeAt = now // an earlier life's, or its end
	}
	return false
}

// WantsExtend names the grant to renew now, if any; Extended has to follow.
func (l *Life) WantsExtend(now Time) (grant uint64, due bool) {
	if l.grant == 0 || l.extending || now < l.extendAt {
		return 0, false
	}
	l.extending = true
	return l.grant, true
}

// Hurry has the grant renewed at once.
func (l *Life) Hurry(now Time) { l.extendAt = min(l.extendAt, now) }

// How a renewal went.
type Renewal int

// Outcomes of a renewal: of a grant that is held no more, done, of a grant that has ended, and neither.
const (
	Stale Renewal = iota
	Renewed
	Ended
	Unanswered
)

// Extended takes the answer to a renewal of a grant that was sent then.
func (l *Life) Extended(now, sent Time, grant uint64, status int) Renewal {
	l.extending = false
	l.extendAt = sent + l.t.Extend
	switch {
	case grant != l.grant:
		return Stale
	case status == 200:
		l.renewed = sent
		return Renewed
	case status == 404:
		l.grant, l.here = 0, false
		return Ended
	}
	l.extendAt = now + l.t.Retry
	return Unanswered
}

// Watched notes that a call that tells of all changes, sent then, was answered.
func (l *Life) Watched(sent Time) { l.watched = sent }

// LastRenewed is when the last renewal that was answered was sent; LastWatched the last watch.
func (l *Life) LastRenewed() Time { return l.renewed }
func (l *Life) LastWatched() Time { return l.watched }

// LastConfirmed is when the state service last confirmed the entitlement: the grant stands, and all that
// was written against it is known.
func (l *Life) LastConfirmed() Time { return min(l.renewed, l.watched) }
