package membership

import "time"

// Life is one process's part in the deployment: its grant, its key in the state service that hangs on
// it, and when the state service last confirmed it. Its first grant names it for good, as the lease of
// which a fencing token is made.
type Presence struct {
	times                                     PresenceTimes
	boot, lease                               uint64
	requesting, refused, registered, renewing bool
	requestAt, writeAt, renewAt               Time // not before
	renewedAt, watchedAt                      Time
}

// LifeTimes are the times between tries that failed, and between renewals.
type PresenceTimes struct{ Retry, Extend time.Duration }

// NewLife returns a life that holds nothing yet.
func NewPresence(times PresenceTimes) *Presence { return &Presence{times: times} }

// Boot names this life: its first grant; 0: it has had none. Grant is the one that it holds; 0: none.
// Here tells whether its key stands on that.
func (p *Presence) Boot() uint64       { return p.boot }
func (p *Presence) StateLease() uint64 { return p.lease }
func (p *Presence) Registered() bool   { return p.registered }

// WantsGrant tells whether to ask for a grant now; Granted has to follow.
func (p *Presence) StartLeaseRequest(now Time) bool {
	if p.lease != 0 || p.requesting || now < p.requestAt {
		return false
	}
	p.requesting, p.requestAt = true, now+p.times.Retry
	return true
}

// Granted takes the answer to a question for a grant that was sent then; 0: there is none. News: it is not as
// the last time; an outage is not news by the attempt.
func (p *Presence) LeaseAnswered(now, sent Time, lease uint64) (changed bool) {
	p.requesting = false
	changed, p.refused = p.refused != (lease == 0), lease == 0
	if lease == 0 {
		return changed
	}
	p.lease, p.registered = lease, false
	if p.boot == 0 {
		p.boot = lease
	}
	p.renewedAt, p.renewAt = sent, now+p.times.Extend
	return changed
}

// WantsWrite tells whether to write the key now; Wrote has to follow unless nothing was written.
func (p *Presence) StartWrite(now Time) bool {
	if p.lease == 0 || p.registered || now < p.writeAt {
		return false
	}
	p.writeAt = now + p.times.Retry
	return true
}

// Wrote takes the answer to a write of the key on a grant, and tells whether it stands now.
func (p *Presence) WriteAnswered(now Time, lease uint64, status int) bool {
	switch {
	case p.lease != lease:
	case status == 200:
		p.registered = true
		return true
	case status == 400:
		p.lease = 0 // it has ended
	case status == 409:
		p.writeAt = now // an earlier life's, or its end
	}
	return false
}

// WantsExtend names the grant to renew now, if any; Extended has to follow.
func (p *Presence) StartRenewal(now Time) (lease uint64, due bool) {
	if p.lease == 0 || p.renewing || now < p.renewAt {
		return 0, false
	}
	p.renewing = true
	return p.lease, true
}

// Hurry has the grant renewed at once.
func (p *Presence) RenewNow(now Time) { p.renewAt = min(p.renewAt, now) }

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
func (p *Presence) RenewalAnswered(now, sent Time, lease uint64, status int) Renewal {
	p.renewing = false
	p.renewAt = sent + p.times.Extend
	switch {
	case lease != p.lease:
		return Stale
	case status == 200:
		p.renewedAt = sent
		return Renewed
	case status == 404:
		p.lease, p.registered = 0, false
		return Ended
	}
	p.renewAt = now + p.times.Retry
	return Unanswered
}

// Watched notes that a call that tells of all changes, sent then, was answered.
func (p *Presence) WatchAnswered(sent Time) { p.watchedAt = sent }

// LastRenewed is when the last renewal that was answered was sent; LastWatched the last watch.
func (p *Presence) LastRenewed() Time { return p.renewedAt }
func (p *Presence) LastWatched() Time { return p.watchedAt }

// LastConfirmed is when the state service last confirmed the entitlement: the grant stands, and all that
// was written against it is known.
func (p *Presence) LastConfirmed() Time { return min(p.renewedAt, p.watchedAt) }
