// Package membership tracks a controller's presence in the state service, its leadership terms, and
// how long it keeps its authority to act without the state service. Every other controller can confirm
// up to when it has done nothing that conflicts with this controller's authority.
//
// Plain structures: times and messages go in, answers come out. No clock, no I/O, not for
// concurrent use.
package membership

import (
	"cmp"
	"slices"
	"time"
)

// Time is monotonic time since the process started.
type Time = time.Duration

// Statement is what a controller states about itself in answer to a ping. It covers only what the
// controller has itself done or told users, so records that it has not received yet do not matter.
type Statement struct {
	// Entries are the assignments of shards and blocks that the controller knows of, and the ends
	// of jobs that it may have told a user of, in records later than the asker's mirror. The
	// controller acts for machines only under assignments that it knows of, and tells users of no
	// other ends of jobs.
	Entries []Entry `msgpack:"news,omitempty"`
	// Partial: later records than the asker's mirror are no longer remembered, so Entries proves
	// nothing.
	Partial bool `msgpack:"partial,omitempty"`
}

// Entry is a record of a shard or block that was assigned to a holder, or of a job that has ended,
// done or cancelled, and the revision at which that was written.
type Entry struct {
	Key      string `msgpack:"k"`
	Revision uint64 `msgpack:"r"`
}

// PeerConfirmation keeps what a controller can state about itself, and up to when each of its peers
// has confirmed its authority to act.
type PeerConfirmation struct {
	pingLimit       int               // pings that are remembered
	entryLimit      int               // entries that are remembered
	pingSentAt      map[uint64]Time   // ping -> when it was sent
	confirmedUntil  map[string]Time   // peer -> up to when it had done nothing that conflicts with our authority
	mirrorRevisions map[string]uint64 // peer -> revision of its mirror at its last ping
	entries         []Entry
	droppedRevision uint64 // the highest revision of an entry that is no longer remembered
}

// NewPeerConfirmation returns the state of a controller with these peers that knows nothing yet. It
// remembers up to pingLimit pings and entryLimit entries.
func NewPeerConfirmation(peers []string, pingLimit, entryLimit int) *PeerConfirmation {
	c := &PeerConfirmation{
		entryLimit:      entryLimit,
		pingLimit:       pingLimit,
		pingSentAt:      map[uint64]Time{},
		confirmedUntil:  map[string]Time{},
		mirrorRevisions: map[string]uint64{},
	}
	for _, p := range peers {
		c.confirmedUntil[p], c.mirrorRevisions[p] = 0, 0 // unknown peers may lack every record
	}
	return c
}

// PingSent records that ping n has been sent to the peers; the numbers rise by one.
func (c *PeerConfirmation) PingSent(now Time, n uint64) {
	c.pingSentAt[n] = now
	delete(c.pingSentAt, n-uint64(c.pingLimit))
}

// PingSentAt returns when a ping was sent; false if it is unknown or no longer remembered.
func (c *PeerConfirmation) PingSentAt(n uint64) (Time, bool) {
	at, ok := c.pingSentAt[n]
	return at, ok
}

// JobOver remembers the record of a job that is known to have ended. It has to be called before a user
// is told of the end.
func (c *PeerConfirmation) JobOver(key string, revision uint64) { c.remember(key, revision) }

// HolderAssigned remembers the record of a shard or a block that was assigned to a holder. ours: we
// gain something by it. Then earlier confirmations no longer count, because the peers made them about
// what we held before.
func (c *PeerConfirmation) HolderAssigned(key string, revision uint64, ours bool) {
	c.remember(key, revision)
	if !ours {
		return // otherwise workers would be rejected when an outage ends with assignments to others
	}
	for p := range c.confirmedUntil {
		c.confirmedUntil[p] = 0
	}
}

// remember adds an entry. Beyond the limit it forgets the entries that every peer has in its mirror
// and, if that is not enough, those of the lowest revisions.
func (c *PeerConfirmation) remember(key string, revision uint64) {
	c.entries = append(c.entries, Entry{key, revision})
	if len(c.entries) <= c.entryLimit {
		return
	}
	c.forget(c.seenByAll())
	if len(c.entries) > c.entryLimit { // a peer has been away for long; its next statement is partial
		slices.SortFunc(c.entries, func(a, b Entry) int { return cmp.Compare(a.Revision, b.Revision) })
		c.forget(c.entries[c.entryLimit/2].Revision)
	}
}

// seenByAll returns the revision that every peer's mirror has reached.
func (c *PeerConfirmation) seenByAll() uint64 {
	seen := uint64(1<<64 - 1)
	for _, revision := range c.mirrorRevisions {
		seen = min(seen, revision)
	}
	return seen
}

// forget drops the entries up to a revision. Statements for mirrors below the dropped entries are
// partial from then on.
func (c *PeerConfirmation) forget(revision uint64) {
	c.entries = slices.DeleteFunc(c.entries, func(e Entry) bool {
		if e.Revision <= revision {
			c.droppedRevision = max(c.droppedRevision, e.Revision)
		}
		return e.Revision <= revision
	})
}

// StatementFor returns the statement for a peer whose mirror is at that revision.
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

// Peer is what is known of a peer that has answered a ping.
type Peer struct {
	Name string
	// StartedAt is the latest time at which its process may have started.
	StartedAt Time
	// Revision is the newest revision that it knows of.
	Revision uint64
	// Statement is nil from versions that make none.
	Statement *Statement
	// Conflict: the statement names an assignment, later than our mirror, of something that we hold.
	Conflict bool
}

// AnswerReceived evaluates a peer's answer to a ping. mirror is the revision of our mirror, with all
// ends of jobs that the answer names applied. confirmed is the time up to which the state service
// itself has confirmed our authority. The peer made its statement after the ping was sent. If
// everything that it has done to what we hold, and may have told users, is known here, and its process
// started before that confirmation, then it had done nothing that conflicts with our authority up to
// the time when the ping was sent. A restarted peer cannot answer for its earlier incarnation.
func (c *PeerConfirmation) AnswerReceived(ping uint64, peer Peer, mirror uint64, confirmed Time) {
	sent, ok := c.pingSentAt[ping]
	if !ok || peer.StartedAt >= confirmed || sent <= c.confirmedUntil[peer.Name] {
		return
	}
	if peer.Revision <= mirror || peer.Statement != nil && !peer.Statement.Partial && !peer.Conflict {
		c.confirmedUntil[peer.Name] = sent
	}
}

// ConfirmedUntil returns the time up to which every peer has confirmed our authority; 0 without peers.
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
