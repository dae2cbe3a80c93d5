package membership

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"
)

const sec = time.Second

// A peer's answer confirms our authority only if the peer knows of no assignment and no end of a job
// that our mirror lacks, its process started before our last confirmation, and we sent the ping.
func TestAnswerReceived(t *testing.T) {
	for _, c := range []struct {
		name string
		ping uint64
		peer Peer
		want bool
	}{
		{"nothing new", 1, Peer{Revision: 100}, true},
		{"newer revision, a version without statements", 1, Peer{Revision: 101}, false},
		{"newer revision, no conflict", 1, Peer{Revision: 900, Statement: &Statement{Entries: []Entry{{"live/shard/2", 800}}}}, true},
		{"conflicting assignment", 1, Peer{Revision: 900, Conflict: true, Statement: &Statement{}}, false},
		{"partial statement", 1, Peer{Revision: 900, Statement: &Statement{Partial: true}}, false},
		{"ends of jobs, applied here", 1, Peer{Revision: 900, Statement: &Statement{Entries: []Entry{{"job-1", 800}}}}, true},
		{"restarted since", 1, Peer{StartedAt: 50 * sec, Statement: &Statement{}}, false},
		{"forgotten ping", 99, Peer{Statement: &Statement{}}, false},
	} {
		confirmation := NewPeerConfirmation([]string{"b", "c"}, 16, 8)
		confirmation.PingSent(80*sec, 1)
		confirmation.AnswerReceived(1, Peer{Name: "c", Statement: &Statement{}}, 100, 50*sec)
		if confirmation.ConfirmedUntil() != 0 {
			t.Fatal("one of two peers must not suffice")
		}
		c.peer.Name = "b"
		confirmation.AnswerReceived(c.ping, c.peer, 100, 50*sec)
		if got := confirmation.ConfirmedUntil() == 80*sec; got != c.want {
			t.Errorf("%s: confirmed until %v", c.name, confirmation.ConfirmedUntil())
		}
	}
	confirmation := NewPeerConfirmation([]string{"b"}, 16, 8)
	confirmation.PingSent(80*sec, 1)
	confirmation.AnswerReceived(1, Peer{Name: "b", Statement: &Statement{}}, 100, 50*sec)
	if confirmation.HolderAssigned("live/block/y", 101, false); confirmation.ConfirmedUntil() != 80*sec {
		t.Error("an assignment to another controller must not void confirmations")
	}
	if confirmation.HolderAssigned("live/block/x", 102, true); confirmation.ConfirmedUntil() != 0 {
		t.Error("an assignment to us must void earlier confirmations")
	}
	if NewPeerConfirmation(nil, 16, 8).ConfirmedUntil() != 0 {
		t.Error("without peers there must be no confirmation")
	}
}

// With ends of jobs and requests in any order, lost answers and absent peers, a statement names every
// end that the asker's mirror lacks, or is marked as partial.
func TestStatementIsCompleteOrPartial(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		confirmation := NewPeerConfirmation([]string{"b", "c"}, 16, rapid.IntRange(2, 12).Draw(t, "kept"))
		endedAt, revision := map[string]uint64{}, uint64(0)
		mirror := map[string]uint64{}
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			switch rapid.IntRange(0, 3).Draw(t, "do") {
			case 0: // a job ends, or the controller learns of an old end
				revision += uint64(rapid.IntRange(0, 2).Draw(t, "by"))
				at := revision - uint64(rapid.IntRange(0, int(min(revision, 30))).Draw(t, "ago"))
				id := fmt.Sprintf("job-%d-%d", len(endedAt), at)
				endedAt[id] = at
				confirmation.JobOver(id, at)
			case 1: // a watch updates a peer's mirror, or a new incarnation has an empty one
				peer := rapid.SampledFrom([]string{"b", "c"}).Draw(t, "peer")
				if rapid.IntRange(0, 9).Draw(t, "new") == 0 {
					mirror[peer] = 0
				} else {
					mirror[peer] = revision
				}
			default:
				peer := rapid.SampledFrom([]string{"b", "c"}).Draw(t, "asks")
				statement := confirmation.StatementFor(peer, mirror[peer])
				named := map[string]bool{}
				for _, e := range statement.Entries {
					named[e.Key] = true
				}
				for id, at := range endedAt {
					if at > mirror[peer] && !named[id] && !statement.Partial {
						t.Fatalf("the statement for %s at %d lacks %s, which ended at %d", peer, mirror[peer], id, at)
					}
				}
			}
		}
	})
}

// The number of remembered entries is bounded, and peers with a recent mirror get complete statements.
func TestEntriesAreBounded(t *testing.T) {
	confirmation := NewPeerConfirmation([]string{"b", "c"}, 16, 8)
	for revision := uint64(1); revision < 1000; revision++ {
		confirmation.JobOver(fmt.Sprint("job-", revision), revision)
		if b, c := confirmation.StatementFor("b", revision-1), confirmation.StatementFor("c", revision-1); b.Partial || c.Partial || len(b.Entries) != 1 {
			t.Fatalf("at %d: %+v %+v", revision, b, c)
		}
	}
	for revision := uint64(1000); revision < 2000; revision++ {
		confirmation.JobOver(fmt.Sprint("job-", revision), revision) // c is away
		confirmation.StatementFor("b", revision)
	}
	if len(confirmation.entries) > 8 {
		t.Errorf("%d entries are kept", len(confirmation.entries))
	}
	if !confirmation.StatementFor("c", 999).Partial {
		t.Error("a peer that lacks a thousand entries gets a statement that claims to be complete")
	}
}

// With any accepted settings, the lease after the last unconfirmed answer expires within cancel_s.
func TestMaxUnconfirmed(t *testing.T) {
	for _, c := range []struct{ lease, cancel, want time.Duration }{
		{10 * sec, 40 * sec, 25690 * time.Millisecond},
		{26500 * time.Millisecond, 56500 * time.Millisecond, 25673500 * time.Microsecond},
		{10 * sec, 14 * sec, 2767500 * time.Microsecond},
		{10 * sec, 10 * sec, -232500 * time.Microsecond},
	} {
		if got := MaxUnconfirmed(c.lease, c.cancel).Round(time.Microsecond); got != c.want {
			t.Errorf("lease %v, cancel %v: %v, want %v", c.lease, c.cancel, got, c.want)
		}
		if got := MaxUnconfirmed(c.lease, c.cancel); got > 0 && got+LeaseExpiredAfter(c.lease) >= c.cancel {
			t.Errorf("lease %v, cancel %v: leases expire after cancel_s", c.lease, c.cancel)
		}
	}
}
