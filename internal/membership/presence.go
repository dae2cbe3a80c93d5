package membership

import "time"

// Presence is the presence of this controller process in the state service: its state lease, its key,
// which is attached to that lease, and when the state service last confirmed it. The first state lease
// identifies the incarnation for its whole life, because fencing tokens are made of it.
type Presence struct {
	times       PresenceTimes
	boot, lease uint64 // the first state lease, and the present one; 0: none
	// requesting: a request for a state lease is in flight. refused: the last one got no lease.
	// registered: the key is attached to the present lease. renewing: a renewal is in flight.
	requesting, refused, registered, renewing bool
	requestAt, writeAt, renewAt               Time // earliest time of the next attempt
	renewedAt, watchedAt                      Time // when the last answered renewal and watch were sent
}

// PresenceTimes are the delay before a failed call is retried, and the interval between renewals.
type PresenceTimes struct{ Retry, Extend time.Duration }

// NewPresence returns the presence of a process that has no state lease yet.
func NewPresence(times PresenceTimes) *Presence { return &Presence{times: times} }

// Boot returns the ID of this incarnation, which is its first state lease; 0 if it has had none.
func (p *Presence) Boot() uint64 { return p.boot }

// StateLease returns the present state lease, 0 if there is none.
func (p *Presence) StateLease() uint64 { return p.lease }

// Registered reports whether the key is attached to the present state lease.
func (p *Presence) Registered() bool { return p.registered }

// StartLeaseRequest reports whether to request a state lease now. If so, LeaseAnswered has to follow.
func (p *Presence) StartLeaseRequest(now Time) bool {
	if p.lease != 0 || p.requesting || now < p.requestAt {
		return false
	}
	p.requesting, p.requestAt = true, now+p.times.Retry
	return true
}

// LeaseAnswered records the answer to a request for a state lease; lease is 0 if there is none. sent is
// when the request was sent. It reports whether the outcome, granted or refused, differs from that of
// the last request, so that an outage is logged once and not with every attempt.
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

// StartWrite reports whether to write the key now. If so, WriteAnswered has to follow, unless nothing
// was written.
func (p *Presence) StartWrite(now Time) bool {
	if p.lease == 0 || p.registered || now < p.writeAt {
		return false
	}
	p.writeAt = now + p.times.Retry
	return true
}

// WriteAnswered records the answer to a write of the key with a state lease, by its HTTP status. It
// reports whether the key is registered by that answer.
func (p *Presence) WriteAnswered(now Time, lease uint64, status int) bool {
	switch {
	case p.lease != lease:
	case status == 200:
		p.registered = true
		return true
	case status == 400:
		p.lease = 0 // the lease has expired
	case status == 409:
		p.writeAt = now // the key of an earlier incarnation exists, or has just been deleted
	}
	return false
}

// StartRenewal returns the state lease to renew now, if a renewal is due. If so, RenewalAnswered has to
// follow.
func (p *Presence) StartRenewal(now Time) (lease uint64, due bool) {
	if p.lease == 0 || p.renewing || now < p.renewAt {
		return 0, false
	}
	p.renewing = true
	return p.lease, true
}

// RenewNow makes a renewal due at once.
func (p *Presence) RenewNow(now Time) { p.renewAt = min(p.renewAt, now) }

// Renewal is the outcome of a renewal.
type Renewal int

const (
	Stale      Renewal = iota // of a state lease that is no longer the present one
	Renewed                   // done
	Ended                     // the lease has expired
	Unanswered                // none of these; to be retried
)

// RenewalAnswered records the answer to the renewal of a state lease, by its HTTP status. sent is when
// the renewal was sent.
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

// WatchAnswered records that a call which returns all changes was answered; sent is when it was sent.
func (p *Presence) WatchAnswered(sent Time) { p.watchedAt = sent }

// LastRenewed returns when the last answered renewal was sent.
func (p *Presence) LastRenewed() Time { return p.renewedAt }

// LastWatched returns when the last answered watch was sent.
func (p *Presence) LastWatched() Time { return p.watchedAt }

// LastConfirmed returns up to when the state service has confirmed our authority to act: the state
// lease was valid, and everything that was written against it is known here.
func (p *Presence) LastConfirmed() Time { return min(p.renewedAt, p.watchedAt) }
