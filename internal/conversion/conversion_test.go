package conversion

import (
	"math"
	"testing"
	"time"
)

// Guards against numbers beyond the range of the result, which x86-64 and arm64 convert differently.
func TestConversionsAreBounded(t *testing.T) {
	inf, nan := math.Inf(1), math.NaN()
	for in, want := range map[float64]time.Duration{
		1.5: 1500 * time.Millisecond, -2: -2 * time.Second, 1e10: MaxDuration, 1e300: MaxDuration, inf: MaxDuration, -1e300: -MaxDuration, -inf: -MaxDuration, nan: 0,
	} {
		if got := Seconds(in); got != want {
			t.Errorf("%g seconds became %v, want %v", in, got, want)
		}
	}
	for in, want := range map[float64]int{2.9: 2, -2.9: -2, 1e10: MaxInt, inf: MaxInt, -1e300: -MaxInt, nan: 0} {
		if got := Int(in); got != want {
			t.Errorf("%g became %d, want %d", in, got, want)
		}
	}
	if got := Milliseconds(inf); got != math.MaxInt64/2+1 || Milliseconds(1.25) != 1250 {
		t.Errorf("infinitely many seconds became %d ms, 1.25 s became %d", got, Milliseconds(1.25))
	}
	if MaxDuration+MaxDuration < MaxDuration {
		t.Error("the sum of two bounded durations overflows")
	}
}
