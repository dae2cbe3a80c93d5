// Package limits decides how much a controller asks of others when there is less than it
// could use. It is pure: time comes in, rates go out.
package limits

import "time"

// ShareParams bound a share of a limit.
type ShareParams struct {
	Min, Max    float64       // units a second
	Gain        float64       // units a second gained in each second of full use
	CutFactor   float64       // factor after a refusal
	CutInterval time.Duration // between cuts: refusals that come together tell one thing
}

// Share is one caller's part of a limit that several callers share without asking each
// other. It grows while it is used and is cut when the service refuses, so that callers
// that all have much to do come to equal parts, and one that is alone to nearly all of it:
// additive increase, multiplicative decrease (Chiu and Jain 1989). Fixed shares that sum
// to more than the limit had two thirds of a crowd's calls refused and sent again; ones
// that sum to less leave a lone successor slow.
type Share struct {
	params  ShareParams
	rate    float64
	lastCut time.Duration // when it was cut last
	everCut bool
}

// NewShare begins with all that the bounds allow.
func NewShare(p ShareParams) *Share { return &Share{params: p, rate: p.Max} }

// Rate is the share now, in units a second.
func (s *Share) Rate() float64 { return s.rate }

// Served notes n units that the service took.
func (s *Share) Served(n int) {
	s.rate = min(s.params.Max, s.rate+s.params.Gain*float64(n)/s.rate)
}

// Refused notes that the service refused for its limit.
func (s *Share) Refused(now time.Duration) {
	if s.everCut && now-s.lastCut < s.params.CutInterval {
		return
	}
	s.rate, s.lastCut, s.everCut = max(s.params.Min, s.rate*s.params.CutFactor), now, true
}
