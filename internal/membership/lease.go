package membership

import (
	"time"

	"github.com/barrowbridge/barrowbridge/internal/tuning"
)

// LeaseExpiredAfter returns how long after a controller has sent a 200 the worker's lease has certainly
// expired.
func LeaseExpiredAfter(lease time.Duration) time.Duration {
	return time.Duration(float64(lease)*(1+tuning.ClockDrift)) + tuning.WorkerLeaseMargin
}

// MaxUnconfirmed returns how long a controller may answer workers without confirmation of its
// authority. Whatever another controller has told a user since the last confirmation, the workers'
// leases expire within the rest of cancel_s. A result of 0 or less means that the settings leave no
// time for that. The margin is limited to a quarter of the available time, so that settings with a
// cancel_s close to the lease still leave some.
func MaxUnconfirmed(lease, cancel time.Duration) time.Duration {
	available := cancel - LeaseExpiredAfter(lease)
	return available - min(tuning.UnconfirmedMargin, available/4)
}
