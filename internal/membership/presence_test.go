package membership

import (
	"testing"
	"time"

	"pgregory.net/rapid"
)

// An incarnation keeps its first state lease as its ID. A key that was written with an expired lease does
// not count as registered, the renewal of a lease that is no longer held has no effect, and of several
// refusals in a row only the first is reported as a change.
func TestPresence(t *testing.T) {
	presence := NewPresence(PresenceTimes{Retry: time.Second, Extend: 3 * time.Second})
	if !presence.StartLeaseRequest(0) || presence.StartLeaseRequest(5*time.Second) {
		t.Fatal("must request one lease at a time")
	}
	if !presence.LeaseAnswered(time.Second, 0, 0) || presence.StartLeaseRequest(900*time.Millisecond) || !presence.StartLeaseRequest(2*time.Second) || presence.LeaseAnswered(2*time.Second, 2*time.Second, 0) {
		t.Error("a refusal must be reported once and retried after a second")
	}
	if !presence.StartLeaseRequest(4*time.Second) || !presence.LeaseAnswered(4500*time.Millisecond, 4*time.Second, 7) || presence.Boot() != 7 || presence.Registered() {
		t.Error("not granted, or registered too early")
	}
	if !presence.StartWrite(5*time.Second) || presence.StartWrite(5500*time.Millisecond) || presence.WriteAnswered(5*time.Second, 7, 409) || !presence.StartWrite(5*time.Second) {
		t.Error("the key of an earlier incarnation must be replaced at once")
	}
	if !presence.WriteAnswered(5*time.Second, 7, 200) || !presence.Registered() || presence.StartWrite(time.Hour) {
		t.Error("not registered")
	}
	if _, due := presence.StartRenewal(7 * time.Second); due {
		t.Error("renewed too soon")
	}
	presence.RenewNow(7 * time.Second)
	lease, due := presence.StartRenewal(7 * time.Second)
	if _, again := presence.StartRenewal(8 * time.Second); !due || lease != 7 || again {
		t.Error("must renew once at a time")
	}
	if presence.RenewalAnswered(8*time.Second, 7*time.Second, 7, 503) != Unanswered || presence.LastRenewed() != 4*time.Second {
		t.Error("an unanswered renewal counts as done")
	}
	presence.StartRenewal(9 * time.Second)
	if presence.RenewalAnswered(9500*time.Millisecond, 9*time.Second, 7, 200) != Renewed || presence.LastRenewed() != 9*time.Second || presence.LastConfirmed() != 0 {
		t.Error("renewed, and confirmed without a watch")
	}
	if presence.WatchAnswered(8 * time.Second); presence.LastConfirmed() != 8*time.Second {
		t.Error("must be confirmed by renewal and watch")
	}
	presence.StartRenewal(13 * time.Second)
	if presence.RenewalAnswered(13*time.Second, 13*time.Second, 7, 404) != Ended || presence.Registered() || presence.StateLease() != 0 || presence.Boot() != 7 {
		t.Error("the lease must have ended, and the ID must stay")
	}
	presence.StartLeaseRequest(14 * time.Second)
	presence.LeaseAnswered(14*time.Second, 14*time.Second, 9)
	if presence.RenewalAnswered(15*time.Second, 12*time.Second, 7, 200) != Stale || presence.LastRenewed() != 14*time.Second || presence.WriteAnswered(15*time.Second, 7, 200) || presence.Registered() {
		t.Error("answers about the previous lease must have no effect")
	}
	if presence.WriteAnswered(15*time.Second, 9, 400); presence.StateLease() != 0 || presence.Boot() != 7 {
		t.Error("a write with an expired lease must end the lease")
	}
}

// With any answers in any order, the incarnation's ID never changes, a key is registered with the present
// lease only, and there is one request and one renewal in flight at a time.
func TestPresenceProperties(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		presence, now, boot, leases := NewPresence(PresenceTimes{Retry: time.Second, Extend: 2 * time.Second}), Time(0), uint64(0), uint64(0)
		var requests, renewals []Time
		var renewedLeases []uint64
		for range rapid.IntRange(0, 60).Draw(t, "n") {
			now += Time(rapid.IntRange(0, 1500).Draw(t, "ms")) * time.Millisecond
			status := rapid.SampledFrom([]int{0, 200, 400, 404, 409, 503}).Draw(t, "status")
			if presence.StartLeaseRequest(now) {
				requests = append(requests, now)
			}
			if presence.StartWrite(now) && presence.WriteAnswered(now, presence.StateLease(), status) != (status == 200) {
				t.Fatal("the outcome of a write does not match its status")
			}
			if lease, due := presence.StartRenewal(now); due {
				renewals, renewedLeases = append(renewals, now), append(renewedLeases, lease)
			}
			if len(requests) > 1 || len(renewals) > 1 {
				t.Fatal("two requests or two renewals in flight")
			}
			if len(requests) == 1 && rapid.Bool().Draw(t, "granted") {
				lease := uint64(0)
				if status == 200 {
					leases++
					lease = leases
				}
				presence.LeaseAnswered(now, requests[0], lease)
				requests = nil
			}
			if len(renewals) == 1 && rapid.Bool().Draw(t, "extended") {
				presence.RenewalAnswered(now, renewals[0], renewedLeases[0], status)
				renewals, renewedLeases = nil, nil
			}
			if boot != 0 && presence.Boot() != boot || presence.Registered() && presence.StateLease() == 0 || presence.LastConfirmed() > now {
				t.Fatalf("boot %d was %d, registered %v with lease %d", presence.Boot(), boot, presence.Registered(), presence.StateLease())
			}
			boot = presence.Boot()
		}
	})
}
