// Package conversion converts floating-point numbers to durations and integers. The conversions of
// the language are not defined for numbers beyond the range of the result: kinds of machines differ
// in what they return. Here such numbers become the nearest bound, and NaN becomes 0.
package conversion

import (
	"math"
	"time"
)

// MaxDuration is the longest duration that a conversion returns. The sum of two such durations is
// still in the range of time.Duration.
const MaxDuration = 100 * 365 * 24 * time.Hour

// MaxInt is the largest integer that a conversion returns. The product of two such integers is still
// in the range of int.
const MaxInt = math.MaxInt32

// Seconds converts a number of seconds to a duration from -MaxDuration to MaxDuration.
func Seconds(seconds float64) time.Duration {
	return time.Duration(bounded(seconds*float64(time.Second), float64(MaxDuration)))
}

// Int converts a number to an integer from -MaxInt to MaxInt, rounded towards zero.
func Int(x float64) int { return int(bounded(x, MaxInt)) }

// Milliseconds converts a number of seconds, such as a time since 1970, to whole milliseconds.
func Milliseconds(seconds float64) int64 { return int64(bounded(seconds*1000, math.MaxInt64/2)) }

// bounded returns the number nearest to x from -limit to limit, and 0 for NaN.
func bounded(x, limit float64) float64 {
	if math.IsNaN(x) {
		return 0
	}
	return max(-limit, min(x, limit))
}
