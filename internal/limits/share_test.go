package limits

import (
	"testing"
	"time"

	"golang.org/x/time/rate"
)

// simulate runs callers against a service of 70 units per second with a burst of one second, as
// in the protocol. wants decides whether a caller has work at a time.
func simulate(d time.Duration, shares []*Share, wants func(caller int, at time.Duration) bool) (served []int, refused int) {
	service := rate.NewLimiter(70, 70)
	served = make([]int, len(shares))
	own := make([]float64, len(shares))
	for at := time.Duration(0); at < d; at += 5 * time.Millisecond {
		for i := range shares {
			k := (i + int(at/(5*time.Millisecond))) % len(shares)
			if own[k] = min(own[k]+shares[k].Rate()*0.005, 8); !wants(k, at) {
				continue
			}
			for own[k] >= 1 {
				own[k]--
				if service.AllowN(time.Unix(0, 0).Add(at), 1) {
					shares[k].Served(1)
					served[k]++
				} else {
					shares[k].Refused(at)
					refused++
				}
			}
		}
	}
	return served, refused
}

func threeShares() (s []*Share) {
	for range 3 {
		s = append(s, NewShare(ShareParams{Min: 7, Max: 63, Gain: 7, CutFactor: 0.7, CutInterval: 300 * time.Millisecond}))
	}
	return s
}

func TestBusyCallersUseTheLimitWithFewRefusals(t *testing.T) {
	served, refused := simulate(60*time.Second, threeShares(), func(int, time.Duration) bool { return true })
	sum := served[0] + served[1] + served[2]
	if sum < 60*70*8/10 || refused > sum/8 {
		t.Errorf("%v served, %d refused, of %d", served, refused, 60*70)
	}
	for _, n := range served {
		if n < sum/5 {
			t.Errorf("unequal: %v", served)
		}
	}
}

func TestSingleBusyCallerGetsNearlyTheWholeLimit(t *testing.T) {
	shares := threeShares()
	simulate(30*time.Second, shares, func(int, time.Duration) bool { return true })
	served, _ := simulate(10*time.Second, shares, func(k int, _ time.Duration) bool { return k == 0 })
	if served[0] < 10*63*7/10 {
		t.Errorf("%d served in 10 s", served[0])
	}
	if shares[0].Rate() < 60 {
		t.Errorf("share %.1f after 10 s alone", shares[0].Rate())
	}
}
