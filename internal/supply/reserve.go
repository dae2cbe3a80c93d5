package supply

import (
	"math"
	"time"

	"github.com/barrowbridge/barrowbridge/internal/conversion"
	"github.com/barrowbridge/barrowbridge/internal/placement"
)

// ReserveLimits are the periods over which urgent work counts.
type ReserveLimits struct {
	Retention time.Duration // a shard that has seen no urgent job for this long reserves nothing
	Window    time.Duration // period over which arrivals are counted
}

// Reserve is the capacity that shards keep free for the next urgent tasks, so that these do not wait
// for a boot: for one task, and for as many more as arrive while a machine boots. Times are those of
// the caller's monotonic clock.
type Reserve struct {
	limits      ReserveLimits
	urgentTasks map[int]urgentTask      // by shard
	arrivals    map[int][]time.Duration // of urgent jobs, by shard
}

// urgentTask is the largest urgent task that a shard has seen lately.
type urgentTask struct {
	size   placement.Size
	rank   int // of its tier
	seenAt time.Duration
}

// NewReserve returns an empty reserve.
func NewReserve(limits ReserveLimits) *Reserve {
	return &Reserve{limits: limits, urgentTasks: map[int]urgentTask{}, arrivals: map[int][]time.Duration{}}
}

// Observe records an urgent job of a shard, with the size of its tasks and the rank of its tier.
// isNew is whether the job has just arrived. Observe reports whether the task size that is reserved
// has changed.
func (r *Reserve) Observe(now time.Duration, shard int, size placement.Size, rank int, isNew bool) (changed bool) {
	task := r.urgentTasks[shard]
	if size.CPUs >= task.size.CPUs || now-task.seenAt > r.limits.Retention {
		changed = task.size != size
		task.size, task.rank = size, rank
	}
	task.seenAt = now
	r.urgentTasks[shard] = task
	if isNew {
		r.arrivals[shard] = append(r.arrivals[shard], now)
	}
	return changed
}

// TaskSize returns the size and rank of the tasks that a shard reserves capacity for.
func (r *Reserve) TaskSize(shard int) (placement.Size, int) {
	task := r.urgentTasks[shard]
	return task.size, task.rank
}

// Target returns for how many urgent tasks a shard keeps capacity free, if a machine boots in bootS
// seconds.
func (r *Reserve) Target(now time.Duration, shard int, bootS float64) int {
	task, ok := r.urgentTasks[shard]
	if !ok || now-task.seenAt > r.limits.Retention {
		return 0
	}
	arrivals := r.arrivals[shard]
	for len(arrivals) > 0 && now-arrivals[0] > r.limits.Window {
		arrivals = arrivals[1:]
	}
	r.arrivals[shard] = arrivals
	return 1 + conversion.Int(math.Ceil(float64(len(arrivals))*bootS/r.limits.Window.Seconds()))
}
