package membership

import "time"

// Term is this controller's part in leader election. The leader record in the state service belongs to
// one incarnation of a controller at a time. Its owner claims it, resigns from it and rewrites it as a
// fence. One such write is in flight at a time.
type Term struct {
	retry                              time.Duration // delay before a failed write is retried
	since                              Time          // when the term began; 0: not leading
	claimAt, fenceAt, claimPausedUntil Time          // earliest time of the next claim or fence
	writing                            bool          // a write of the record is in flight
	uncertain                          bool          // a write that compares the record got no answer, and may still be executed
	fenceRevision                      uint64        // the mirror must reach this before a write that compares the record is made
}

// NewTerm returns the term of a controller that does not lead. Failed writes are retried after retry.
func NewTerm(retry time.Duration) *Term { return &Term{retry: retry} }

// Since returns when the present term began, 0 if this controller does not lead. It identifies a term.
func (t *Term) Since() Time { return t.since }

// ObserveLeader records whether the leader record names this incarnation, and the revision at which it
// was written. It reports whether a term has begun or ended. A new term knows nothing of what an
// earlier leader did; those writes are in the state service at revisions before the record's.
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

// StartClaim reports whether to claim the leader record now; free: it has no other owner. If so,
// WriteFinished has to follow.
func (t *Term) StartClaim(now Time, free bool) bool {
	if !free || t.writing || now < t.claimPausedUntil || now < t.claimAt {
		return false
	}
	t.writing, t.claimAt = true, now+t.retry
	return true
}

// StartResignation reports whether to give up the leader record now. If so, WriteFinished has to follow,
// and the record is not claimed again during the pause.
func (t *Term) StartResignation(now Time, pause time.Duration) bool {
	if t.writing {
		return false
	}
	t.writing, t.claimPausedUntil = true, now+pause
	return true
}

// WriteFinished records that a claim or a resignation has finished, whatever its outcome.
func (t *Term) WriteFinished() { t.writing = false }

// WriteUncertain records that a write that compares the leader record got no answer.
func (t *Term) WriteUncertain() { t.uncertain = true }

// Fenced reports whether no write that compares an earlier version of the leader record can be executed
// any more, with the mirror at that revision: writes that were executed are in the mirror, and those
// still on their way will fail. rewrite: the record has to be rewritten now to achieve that, and
// FenceWritten has to follow. registered: this controller's key is in the state service.
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

// FenceWritten records whether the leader record was rewritten, and at which revision.
func (t *Term) FenceWritten(ok bool, revision uint64) {
	if t.writing = false; ok {
		t.uncertain, t.fenceRevision = false, revision
	}
}
