package supply

import (
	"testing"
	"time"

	"github.com/barrowbridge/barrowbridge/internal/placement"
)

// Capacity is kept for the largest urgent task seen lately, and for as many more as arrive while a
// machine boots.
func TestReserve(t *testing.T) {
	r := NewReserve(ReserveLimits{Retention: 10 * time.Minute, Window: time.Minute})
	const boot = 20.0
	if r.Target(0, 1, boot) != 0 {
		t.Error("capacity is reserved although no urgent work has arrived")
	}
	big := placement.Size{CPUs: 2}
	if !r.Observe(time.Second, 1, oneTask, 5, true) ||
		r.Observe(time.Second, 1, oneTask, 5, false) ||
		!r.Observe(2*time.Second, 1, big, 6, true) ||
		r.Observe(3*time.Second, 1, oneTask, 5, true) {
		t.Error("the size does not change to that of a larger task, or changes to that of a smaller one")
	}
	if size, rank := r.TaskSize(1); size != big || rank != 6 {
		t.Errorf("%+v %d", size, rank)
	}
	for _, c := range []struct {
		at   time.Duration
		want int
	}{{4 * time.Second, 2}, {62500 * time.Millisecond, 2}, {2 * time.Minute, 1}, {10 * time.Minute, 1}, {11 * time.Minute, 0}} {
		if got := r.Target(c.at, 1, boot); got != c.want {
			t.Errorf("at %v: target %d, want %d", c.at, got, c.want)
		}
	}
	if r.Observe(20*time.Minute, 1, oneTask, 5, false); r.Target(20*time.Minute, 1, boot) != 1 {
		t.Error("the target is not one after urgent work has returned")
	}
	if size, _ := r.TaskSize(1); size != oneTask {
		t.Errorf("size %+v, but the large task was too long ago", size)
	}
	for range 7 {
		r.Observe(21*time.Minute, 1, oneTask, 5, true)
	}
	if got := r.Target(21*time.Minute, 1, boot); got != 4 {
		t.Errorf("seven arrivals in a minute and a boot of 20 s: target %d, want 4", got)
	}
}
