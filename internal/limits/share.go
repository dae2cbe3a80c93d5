// Package limits decides how much a controller requests from other services when their capacity
// is limited. The package is pure: callers pass the time in and read rates.
package limits

import "time"

// ShareParams configures a share of a limit.
type ShareParams struct {
	Min, Max    float64       // units per second
	Gain        float64       // units per second gained in each second of full use
	CutFactor   float64       // factor applied to the rate after a refusal
	CutInterval time.Duration // minimum time between cuts, because refusals that come together have one cause
}

// Share is one caller's part of a limit that several callers share without coordination. It grows
// while it is used and is cut when the service refuses, so that busy callers converge to equal
// parts and a single busy caller gets nearly all of it: additive increase, multiplicative
// decrease (Chiu and Jain 1989). Fixed shares that sum to more than the limit caused two thirds
// of the calls of several busy callers to be refused and sent again; fixed shares that sum to
// less leave a single remaining controller slow.
type Share struct {
	params  ShareParams
	rate    float64
	lastCut time.Duration
	everCut bool
}

// NewShare returns a share at its maximum rate.
func NewShare(p ShareParams) *Share { return &Share{params: p, rate: p.Max} }

// Rate returns the current share in units per second.
func (s *Share) Rate() float64 { return s.rate }

// Served records n units that the service has accepted.
func (s *Share) Served(n int) {
	s.rate = min(s.params.Max, s.rate+s.params.Gain*float64(n)/s.rate)
}

// Refused records that the service has refused a call because of its limit.
func (s *Share) Refused(now time.Duration) {
	if s.everCut && now-s.lastCut < s.params.CutInterval {
		return
	}
	s.rate, s.lastCut, s.everCut = max(s.params.Min, s.rate*s.params.CutFactor), now, true
}
