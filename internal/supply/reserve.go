package supply

import (
	"math"
	"time"

	"github.com/barrowbridge/barrowbridge/internal/placement"
)

// ReserveLimits are the times by which urgent work counts.
type ReserveLimits struct {
	Retention time.Duration // a shard that has seen no urgent job for so long reserves nothing
	Window    time.Duration // arrivals are counted over so long
}

// Reserve is the room that shards keep for the next urgent tasks, so that they do not wait for a
// boot: for one, and as many as come while a machine boots. Times are those of the owner's steady
// clock.
type Reserve struct {
	limits      ReserveLimits
	urgentTasks map[int]urgentTask      // by shard
	arrivals    map[int][]time.Duration // arrivals of urgent jobs, by shard
}

// urgent is the largest urgent task a shard has seen lately.
type urgentTask struct {
	size   placement.Size
	rank   int // of its rung
	seenAt time.Duration
}

// NewReserve returns a reserve of nothing.
func NewReserve(l ReserveLimits) *Reserve {
	return &Reserve{limits: l, urgentTasks: map[int]urgentTask{}, arrivals: map[int][]time.Duration{}}
}

// Seen notes an urgent job of a shard, its task's size and its rung's rank; came: it is new. It
// tells whether the size that room is counted in has changed.
func (r *Reserve) Observe(now time.Duration, shard int, size placement.Size, rank int, isNew bool) (changed bool) {
	u := r.urgentTasks[shard]
	if size.CPUs >= u.size.CPUs || now-u.seenAt > r.limits.Retention {
		changed = u.size != size
		u.size, u.rank = size, rank
	}
	u.seenAt = now
	r.urgentTasks[shard] = u
	if isNew {
		r.arrivals[shard] = append(r.arrivals[shard], now)
	}
	return changed
}

// Task is the size and rank of the tasks that a shard reserves room for.
func (r *Reserve) TaskSize(shard int) (placement.Size, int) {
	u := r.urgentTasks[shard]
	return u.size, u.rank
}

// Target is for how many urgent tasks a shard keeps room, if a machine boots in so many seconds.
func (r *Reserve) Target(now time.Duration, shard int, bootS float64) int {
	u, ok := r.urgentTasks[shard]
	if !ok || now-u.seenAt > r.limits.Retention {
		return 0
	}
	arrivals := r.arrivals[shard]
	for len(arrivals) > 0 && now-arrivals[0] > r.limits.Window {
		arrivals = arrivals[1:]
	}
	r.arrivals[shard] = arrivals
	return 1 + int(math.Ceil(float64(len(arrivals))*bootS/r.limits.Window.Seconds()))
}
