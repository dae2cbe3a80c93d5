package mirror

import "time"

// CatchUp decides when a controller reads the changes that its mirror lacks, after a write has shown that
// there are some: it met a conflict, or got no answer and may have been executed. One read brings the mirror
// up to date for all such writes that finished before it was sent. Reading the changed keys one by one
// instead would show a successor's records before the grant that they rest on.
type CatchUp struct {
	overlap  time.Duration // an unanswered read delays the next one by at most this time
	needed   bool          // a write has finished after the last read was sent
	inFlight int           // reads in flight
	sentAt   time.Duration // when the last read was sent
}

// NewCatchUp returns a CatchUp that waits for an answer for at most the given time before another read is
// sent.
func NewCatchUp(overlap time.Duration) *CatchUp { return &CatchUp{overlap: overlap} }

// Need records that the mirror lacks a change, or may lack one.
func (u *CatchUp) Need() { u.needed = true }

// Start reports whether a read of the changes has to be sent now. If so, Finished has to follow.
func (u *CatchUp) Start(now time.Duration) bool {
	if !u.needed || u.inFlight > 0 && now-u.sentAt < u.overlap {
		return false
	}
	u.needed, u.inFlight, u.sentAt = false, u.inFlight+1, now
	return true
}

// Finished records that a read was answered or given up. Changes that it did not bring come with the
// watch, which is repeated until it is answered.
func (u *CatchUp) Finished() { u.inFlight-- }
