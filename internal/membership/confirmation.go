// Package membership decides how long a controller stays entitled to act without the state
// service: until when the other controllers have vouched that nothing was done against it.
//
// A plain structure: times and messages go in, answers come out. No clock, no I/O, not for
// concurrent use.
package membership

import (
	"cmp"
	"slices"
	"time"
)

// Time is steady time since the process began.
type Time = time.Duration

// Statement is what a controller says of itself in answer to a ping. It speaks of no more than
// what it has itself done or told, so what it has not heard of does not matter.
type Statement struct {
	// News are the grants that it knows of and the ends of jobs that it may have told a user
	// of, by records later than the mirror of the one who asked. It acts for machines by grants
	// that it knows, by no others, and tells users of no other end.
	Entries []Entry `msgpack:"news,omitempty"`
	// Partial: there were more than are kept, so News proves nothing.
	Partial bool `msgpack:"partial,omitempty"`
}

// Entry is a record of a shard or block that was given to a holder, or of a job that is over,
// done or cancelled, and the revision at which that was written.
type Entry struct {
	Key      string `msgpack:"k"`
	Revision uint64 `msgpack:"r"`
}

// Vouching is one controller's part in it: what it can say of itself, and until when each
// other one has vouched for it.
type PeerConfirmation struct {
	pingLimit       int               // that are remembered
	entryLimit      int               // entries that are remembered
	pingSentAt      map[uint64]Time   // ping -> when it was sent
	confirmedUntil  map[string]Time   // peer -> until then it had done nothing against us
	mirrorRevisions map[string]uint64 // peer -> the revision its mirror had with its last ping
	entries         []Entry
	droppedRevision uint64 // the latest revision of an entry that is remembered no more
}

// New returns the vouching of a controller that knows nothing yet, among these others. It
// remembers so many pings and so many entries.
func NewPeerConfirmation(peers []string, pingLimit, entryLimit int) *PeerConfirmation {
	c := &PeerConfirmation{entryLimit: entryLimit, pingLimit: pingLimit, pingSentAt: map[uint64]Time{}, confirmedUntil: map[string]Time{}, mirrorRevisions: map[string]uint64{}}
	for _, p := range peers {
		c.confirmedUntil[p], c.mirrorRevisions[p] = 0, 0 // nothing is known of them: they lack everything
	}
	return c
}

// Pinged notes that ping n has been sent; the numbers rise by one.
func (c *PeerConfirmation) PingSent(now Time, n uint64) {
	c.pingSentAt[n] = now
	delete(c.pingSentAt, n-uint64(c.pingLimit))
}

// Sent tells when a ping was sent, if it is not too old to mean anything.
func (c *PeerConfirmation) PingSentAt(n uint64) (Time, bool) {
	at, ok := c.pingSentAt[n]
	return at, ok
}

// Over notes the record of a job that is known to be over. Whoever tells a user so has noted
// it before.
func (c *PeerConfirmation) JobOver(key string, revision uint64) { c.remember(key, revision) }

// Granted notes the record of a shard or a block that was given to a holder. If we gain by it,
// what peers have said before was said of what we held then, and counts no more.
func (c *PeerConfirmation) HolderAssigned(key string, revision uint64, ours bool) {
	c.remember(key, revision)
	if !ours {
		return // an outage that ends with news of others would have workers turned away
	}
	for p := range c.confirmedUntil {
		c.confirmedUntil[p] = 0
	}
}

func (c *PeerConfirmation) remember(key string, revision uint64) {
	c.entries = append(c.entries, Entry{key, revision})
	if len(c.entries) <= c.entryLimit {
		return
	}
	c.forget(c.seenByAll())
	if len(c.entries) > c.entryLimit { // a peer has been away for long: it is told less than all
		slices.SortFunc(c.entries, func(a, b Entry) int { return cmp.Compare(a.Revision, b.Revision) })
		c.forget(c.entries[c.entryLimit/2].Revision)
	}
}

// seenByAll is the revision that every peer's mirror has reached.
func (c *PeerConfirmation) seenByAll() uint64 {
	seen := uint64(1<<64 - 1)
	for _, revision := range c.mirrorRevisions {
		seen = min(seen, revision)
	}
	return seen
}

// forget drops the entries up to a revision. To a mirror below it News proves nothing then.
func (c *PeerConfirmation) forget(revision uint64) {
	c.entries = slices.DeleteFunc(c.entries, func(e Entry) bool {
		if e.Revision <= revision {
			c.droppedRevision = max(c.droppedRevision, e.Revision)
		}
		return e.Revision <= revision
	})
}

// Answer is what to say to a peer whose mirror stands at a revision.
func (c *PeerConfirmation) StatementFor(peer string, mirror uint64) Statement {
	c.mirrorRevisions[peer] = mirror
	c.forget(c.seenByAll())
	statement := Statement{Partial: c.droppedRevision > mirror}
	for _, e := range c.entries {
		if e.Revision > mirror {
			statement.Entries = append(statement.Entries, e)
		}
	}
	return statement
}

// Peer is what is known of a peer that answers a ping.
type Peer struct {
	Name string
	// Since is when its process began, at the latest.
	StartedAt Time
	// Revision is the newest that it has heard of. Statement is nil from versions that make none.
	Revision  uint64
	Statement *Statement
	// Against: the statement names a grant, later than our mirror, of what we hold.
	Conflict bool
}

// Heard takes a peer's answer to a ping. Our mirror stands at a revision, all ends that the
// answer names applied, and the state service itself has confirmed us up to a time. The peer
// spoke after the ping left. If all that it has done to what we hold, and may have told, is known
// here, and it has lived since that confirmation, then until the ping it had done nothing
// against us. A restarted peer cannot speak for its earlier life.
func (c *PeerConfirmation) AnswerReceived(ping uint64, peer Peer, mirror uint64, confirmed Time) {
	sent, ok := c.pingSentAt[ping]
	if !ok || peer.StartedAt >= confirmed || sent <= c.confirmedUntil[peer.Name] {
		return
	}
	if peer.Revision <= mirror || peer.Statement != nil && !peer.Statement.Partial && !peer.Conflict {
		c.confirmedUntil[peer.Name] = sent
	}
}

// Until is the time up to which every peer has vouched for us; 0 if there is none.
func (c *PeerConfirmation) ConfirmedUntil() Time {
	if len(c.confirmedUntil) == 0 {
		return 0
	}
	earliest := Time(1<<63 - 1)
	for _, at := range c.confirmedUntil {
		earliest = min(earliest, at)
	}
	return earliest
}
