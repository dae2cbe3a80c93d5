package membership

import (
	"testing"
	"time"

	"pgregory.net/rapid"
)

// A life keeps its first grant's name; a key that was written on a grant that has ended does not stand, a renewal
// of one that is held no more says nothing, and refusals are news once.
func TestLife(t *testing.T) {
	l := NewPresence(PresenceTimes{Retry: time.Second, Extend: 3 * time.Second})
	if !l.StartLeaseRequest(0) || l.StartLeaseRequest(5*time.Second) {
		t.Fatal("one question at a time")
	}
	if !l.LeaseAnswered(time.Second, 0, 0) || l.StartLeaseRequest(900*time.Millisecond) || !l.StartLeaseRequest(2*time.Second) || l.LeaseAnswered(2*time.Second, 2*time.Second, 0) {
		t.Error("a refusal is news once, and tried again after a second")
	}
	if !l.StartLeaseRequest(4*time.Second) || !l.LeaseAnswered(4500*time.Millisecond, 4*time.Second, 7) || l.Boot() != 7 || l.Registered() {
		t.Error("granted")
	}
	if !l.StartWrite(5*time.Second) || l.StartWrite(5500*time.Millisecond) || l.WriteAnswered(5*time.Second, 7, 409) || !l.StartWrite(5*time.Second) {
		t.Error("what an earlier life left is replaced at once")
	}
	if !l.WriteAnswered(5*time.Second, 7, 200) || !l.Registered() || l.StartWrite(time.Hour) {
		t.Error("here")
	}
	if _, due := l.StartRenewal(7 * time.Second); due {
		t.Error("renewed too soon")
	}
	l.RenewNow(7 * time.Second)
	g, due := l.StartRenewal(7 * time.Second)
	if _, again := l.StartRenewal(8 * time.Second); !due || g != 7 || again {
		t.Error("one renewal at a time")
	}
	if l.RenewalAnswered(8*time.Second, 7*time.Second, 7, 503) != Unanswered || l.LastRenewed() != 4*time.Second {
		t.Error("not renewed")
	}
	l.StartRenewal(9 * time.Second)
	if l.RenewalAnswered(9500*time.Millisecond, 9*time.Second, 7, 200) != Renewed || l.LastRenewed() != 9*time.Second || l.LastConfirmed() != 0 {
		t.Error("renewed, and not watched")
	}
	if l.WatchAnswered(8 * time.Second); l.LastConfirmed() != 8*time.Second {
		t.Error("confirmed by both")
	}
	l.StartRenewal(13 * time.Second)
	if l.RenewalAnswered(13*time.Second, 13*time.Second, 7, 404) != Ended || l.Registered() || l.StateLease() != 0 || l.Boot() != 7 {
		t.Error("the grant has ended, the life has not")
	}
	l.StartLeaseRequest(14 * time.Second)
	l.LeaseAnswered(14*time.Second, 14*time.Second, 9)
	if l.RenewalAnswered(15*time.Second, 12*time.Second, 7, 200) != Stale || l.LastRenewed() != 14*time.Second || l.WriteAnswered(15*time.Second, 7, 200) || l.Registered() {
		t.Error("answers about the grant before")
	}
	if l.WriteAnswered(15*time.Second, 9, 400); l.StateLease() != 0 || l.Boot() != 7 {
		t.Error("a write on a grant that has ended")
	}
}

// Whatever is answered in whatever order: the boot never changes, a key stands on the grant that is held alone, and
// nothing is asked twice at a time.
func TestLifeWhateverComes(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		l, now, boot, grants := NewPresence(PresenceTimes{Retry: time.Second, Extend: 2 * time.Second}), Time(0), uint64(0), uint64(0)
		var asked, extends []Time
		var on []uint64
		for range rapid.IntRange(0, 60).Draw(t, "n") {
			now += Time(rapid.IntRange(0, 1500).Draw(t, "ms")) * time.Millisecond
			status := rapid.SampledFrom([]int{0, 200, 400, 404, 409, 503}).Draw(t, "status")
			if l.StartLeaseRequest(now) {
				asked = append(asked, now)
			}
			if l.StartWrite(now) && l.WriteAnswered(now, l.StateLease(), status) != (status == 200) {
				t.Fatal("written or not")
			}
			if g, due := l.StartRenewal(now); due {
				extends, on = append(extends, now), append(on, g)
			}
			if len(asked) > 1 || len(extends) > 1 {
				t.Fatal("asked twice")
			}
			if len(asked) == 1 && rapid.Bool().Draw(t, "granted") {
				g := uint64(0)
				if status == 200 {
					grants++
					g = grants
				}
				l.LeaseAnswered(now, asked[0], g)
				asked = nil
			}
			if len(extends) == 1 && rapid.Bool().Draw(t, "extended") {
				l.RenewalAnswered(now, extends[0], on[0], status)
				extends, on = nil, nil
			}
			if boot != 0 && l.Boot() != boot || l.Registered() && l.StateLease() == 0 || l.LastConfirmed() > now {
				t.Fatalf("boot %d was %d, here %v on %d", l.Boot(), boot, l.Registered(), l.StateLease())
			}
			boot = l.Boot()
		}
	})
}
