package membership

import (
	"time"

	"github.com/barrowbridge/barrowbridge/internal/tuning"
)

// LeaseOver is how long after a 200 has left a controller the worker's lease is surely over.
func LeaseExpiredAfter(lease time.Duration) time.Duration {
	return time.Duration(float64(lease)*(1+tuning.Drift)) + tuning.LeaseMargin
}

// Unconfirmed is how long workers may be answered without confirmation: whatever a user was
// told since then, the leases run out in the rest of cancel_s. Not above 0: these settings leave
// no time for that. The margin is a part of what there is, so that settings that bring the two
// times close still keep to it.
func MaxUnconfirmed(lease, cancel time.Duration) time.Duration {
	available := cancel - LeaseExpiredAfter(lease)
	return available - min(tuning.UnconfirmedMargin, available/4)
}
