package membership

import "time"

// Term is this controller's part in the election of a leader: the leader's record in the state service, of which
// one life at a time is the owner, is claimed, given up and, as a fence, written anew. One such write is under
// way at a time.
type Term struct {
	retry                              time.Duration
	since                              Time // leading since; 0: not
	claimAt, fenceAt, claimPausedUntil Time // not before
	writing                            bool
	uncertain                          bool   // a write that compares the record got no answer, and may be executed yet
	fenceRevision                      uint64 // the mirror must have reached this before such a write is made
}

// NewTerm returns the part of one that does not lead; a write that failed is tried again after so long.
func NewTerm(retry time.Duration) *Term { return &Term{retry: retry} }

// Since is when the term began; 0: this controller does not lead. It tells one term from the next.
func (t *Term) Since() Time { return t.since }

// Led takes whether the record names this life, and the revision at which it was written. A term that has begun
// knows nothing of what an earlier leader did; that stands in the state before that revision.
func (t *Term) ObserveLeader(now Time, leading bool, revision uint64) (began, ended bool) {
	began, ended = leading && t.since == 0, !leading && t.since != 0
	if began || ended {
		t.since, t.writing, t.uncertain, t.fenceRevision = 0, false, false, 0
	}
	if began {
		t.since, t.fenceRevision = now, revision
	}
	return began, ended
}

// Claims tells whether to claim a record that is free now; Answered has to follow.
func (t *Term) StartClaim(now Time, free bool) bool {
	if !free || t.writing || now < t.claimPausedUntil || now < t.claimAt {
		return false
	}
	t.writing, t.claimAt = true, now+t.retry
	return true
}

// Resigns tells whether to give the record up now, and claims none for so long; Answered has to follow.
func (t *Term) StartResignation(now Time, pause time.Duration) bool {
	if t.writing {
		return false
	}
	t.writing, t.claimPausedUntil = true, now+pause
	return true
}

// Answered notes that a claim or a resignation is over, however it went.
func (t *Term) WriteFinished() { t.writing = false }

// Unanswered notes that a write that compares the record got no answer.
func (t *Term) WriteUncertain() { t.uncertain = true }

// Fenced tells whether no write that compares an earlier version of the record can be executed any more, with the
// mirror at a revision: those that were stand in the mirror, and what is still on its way fails. Renew: the record is to be
// written anew for that now; Renewed has to follow.
func (t *Term) Fenced(now Time, mirror uint64, registered bool) (fenced, rewrite bool) {
	if !t.uncertain {
		return mirror >= t.fenceRevision, false
	}
	if t.writing || !registered || now < t.fenceAt {
		return false, false
	}
	t.writing, t.fenceAt = true, now+t.retry
	return false, true
}

// Renewed takes how that went, and the revision if it was written.
func (t *Term) FenceWritten(ok bool, revision uint64) {
	if t.writing = false; ok {
		t.uncertain, t.fenceRevision = false, revision
	}
}
