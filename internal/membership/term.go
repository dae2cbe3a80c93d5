package membership

import "time"

// Term is this controller's part in the election of a leader: the leader's record in the state service, of which
// one life at a time is the owner, is claimed, given up and, as a fence, written anew. One such write is under
// way at a time.
type Term struct {
	retry                    time.Duration
	since                    Time // leading since; 0: not
	claimAt, fenceAt, stands Time // not before
	busy                     bool
	unsure                   bool   // a write that compares the record got no answer, and may be executed yet
	fence                    uint64 // the mirror must have reached this before such a write is made
}

// NewTerm returns the part of one that does not lead; a write that failed is tried again after so long.
func NewTerm(retry time.Duration) *Term { return &Term{retry: retry} }

// Since is when the term began; 0: this controller does not lead. It tells one term from the next.
func (t *Term) Since() Time { return t.since }

// Led takes whether the record names this life, and the revision at which it was written. A term that has begun
// knows nothing of what an earlier leader did; that stands in the state before that revision.
func (t *Term) Led(now Time, leading bool, rev uint64) (began, ended bool) {
	began, ended = leading && t.since == 0, !leading && t.since != 0
	if began || ended {
		t.since, t.busy, t.unsure, t.fence = 0, false, false, 0
	}
	if began {
		t.since, t.fence = now, rev
	}
	return began, ended
}

// Claims tells whether to claim a record that is free now; Answered has to follow.
func (t *Term) Claims(now Time, free bool) bool {
	if !free || t.busy || now < t.stands || now < t.claimAt {
		return false
	}
	t.busy, t.claimAt = true, now+t.retry
	return true
}

// Resigns tells whether to give the record up now, and claims none for so long; Answered has to follow.
func (t *Term) Resigns(now Time, wait time.Duration) bool {
	if t.busy {
		return false
	}
	t.busy, t.stands = true, now+wait
	return true
}

// Answered notes that a claim or a resignation is over, however it went.
func (t *Term) Answered() { t.busy = false }

// Unanswered notes that a write that compares the record got no answer.
func (t *Term) Unanswered() { t.unsure = true }

// Fenced tells whether no write that compares an earlier version of the record can be executed any more, with the
// mirror at a revision: those that were stand in the mirror, and what is still on its way fails. Renew: the record is to be
// written anew for that now; Renewed has to follow.
func (t *Term) Fenced(now Time, mirror uint64, here bool) (ok, renew bool) {
	if !t.unsure {
		return mirror >= t.fence, false
	}
	if t.busy || !here || now < t.fenceAt {
		return false, false
	}
	t.busy, t.fenceAt = true, now+t.retry
	return false, true
}

// Renewed takes how that went, and the revision if it was written.
func (t *Term) Renewed(ok bool, rev uint64) {
	if t.busy = false; ok {
		t.unsure, t.fence = false, rev
	}
}
