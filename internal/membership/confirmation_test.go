package membership

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"
)

const sec = time.Second

// A peer vouches only for what it can speak for: no grant and no end of a job that our mirror
// lacks, a process that has lived since our last confirmation, an answer to a ping of ours.
func TestWhoVouches(t *testing.T) {
	for _, c := range []struct {
		name string
		ping uint64
		p    Peer
		want bool
	}{
		{"nothing new", 1, Peer{Revision: 100}, true},
		{"more, of a version that says no more", 1, Peer{Revision: 101}, false},
		{"more, and nothing against us", 1, Peer{Revision: 900, Statement: &Statement{Entries: []Entry{{"live/shard/2", 800}}}}, true},
		{"a grant that we lack", 1, Peer{Revision: 900, Conflict: true, Statement: &Statement{}}, false},
		{"more than it remembers", 1, Peer{Revision: 900, Statement: &Statement{Partial: true}}, false},
		{"ends that we have taken", 1, Peer{Revision: 900, Statement: &Statement{Entries: []Entry{{"job-1", 800}}}}, true},
		{"back since", 1, Peer{StartedAt: 50 * sec, Statement: &Statement{}}, false},
		{"a ping long forgotten", 99, Peer{Statement: &Statement{}}, false},
	} {
		v := NewPeerConfirmation([]string{"b", "c"}, 16, 8)
		v.PingSent(80*sec, 1)
		v.AnswerReceived(1, Peer{Name: "c", Statement: &Statement{}}, 100, 50*sec)
		if v.ConfirmedUntil() != 0 {
			t.Fatal("one of two peers suffices")
		}
		c.p.Name = "b"
		v.AnswerReceived(c.ping, c.p, 100, 50*sec)
		if got := v.ConfirmedUntil() == 80*sec; got != c.want {
			t.Errorf("%s: vouched until %v", c.name, v.ConfirmedUntil())
		}
	}
	v := NewPeerConfirmation([]string{"b"}, 16, 8)
	v.PingSent(80*sec, 1)
	v.AnswerReceived(1, Peer{Name: "b", Statement: &Statement{}}, 100, 50*sec)
	if v.HolderAssigned("live/block/y", 101, false); v.ConfirmedUntil() != 80*sec {
		t.Error("a grant of others takes what was vouched for")
	}
	if v.HolderAssigned("live/block/x", 102, true); v.ConfirmedUntil() != 0 {
		t.Error("what was said before we gained something counts after it")
	}
	if NewPeerConfirmation(nil, 16, 8).ConfirmedUntil() != 0 {
		t.Error("without peers nobody vouches")
	}
}

// Whatever ends and whoever asks, in any order, with answers lost and peers away: an answer
// names every end that the asker's mirror lacks, or says that it does not.
func TestAnswersNameEveryEndOrSaySo(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		v := NewPeerConfirmation([]string{"b", "c"}, 16, rapid.IntRange(2, 12).Draw(t, "kept"))
		over, rev := map[string]uint64{}, uint64(0)
		mirror := map[string]uint64{}
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			switch rapid.IntRange(0, 3).Draw(t, "do") {
			case 0: // a job ends, or an old end is learned of
				rev += uint64(rapid.IntRange(0, 2).Draw(t, "by"))
				at := rev - uint64(rapid.IntRange(0, int(min(rev, 30))).Draw(t, "ago"))
				id := fmt.Sprintf("job-%d-%d", len(over), at)
				over[id] = at
				v.JobOver(id, at)
			case 1: // a watch tells a peer, or a new life of it knows nothing yet
				p := rapid.SampledFrom([]string{"b", "c"}).Draw(t, "peer")
				if rapid.IntRange(0, 9).Draw(t, "new") == 0 {
					mirror[p] = 0
				} else {
					mirror[p] = rev
				}
			default:
				p := rapid.SampledFrom([]string{"b", "c"}).Draw(t, "asks")
				s := v.StatementFor(p, mirror[p])
				named := map[string]bool{}
				for _, e := range s.Entries {
					named[e.Key] = true
				}
				for id, at := range over {
					if at > mirror[p] && !named[id] && !s.Partial {
						t.Fatalf("%s at %d is not told of %s, over at %d", p, mirror[p], id, at)
					}
				}
			}
		}
	})
}

// What is remembered is bounded, and peers that follow are told all of it.
func TestEndsAreForgottenOnceAllHaveThem(t *testing.T) {
	v := NewPeerConfirmation([]string{"b", "c"}, 16, 8)
	for rev := uint64(1); rev < 1000; rev++ {
		v.JobOver(fmt.Sprint("job-", rev), rev)
		if b, c := v.StatementFor("b", rev-1), v.StatementFor("c", rev-1); b.Partial || c.Partial || len(b.Entries) != 1 {
			t.Fatalf("at %d: %+v %+v", rev, b, c)
		}
	}
	for rev := uint64(1000); rev < 2000; rev++ {
		v.JobOver(fmt.Sprint("job-", rev), rev) // c is away
		v.StatementFor("b", rev)
	}
	if len(v.entries) > 8 {
		t.Errorf("%d ends are kept", len(v.entries))
	}
	if !v.StatementFor("c", 999).Partial {
		t.Error("a peer that lacks a thousand is told that it has all")
	}
}

// With any settings that are accepted, the last answer and the lease after it lie in cancel_s.
func TestUnconfirmedAndLeaseLieInCancel(t *testing.T) {
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
			t.Errorf("lease %v, cancel %v: leases run out after cancel_s", c.lease, c.cancel)
		}
	}
}
