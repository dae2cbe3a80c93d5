package tuning

import "time"

// Leases and calls of the state service.
const (
	// StateLeaseTTL (duration) is how long a silent controller keeps its authority to act in
	// the state service. It is well under a worker lease, so that a successor answers the
	// workers in time, and well over the time of a slow answer of the state service.
	StateLeaseTTL = 3 * time.Second
	// StateLeaseRenewInterval (duration) is a third of StateLeaseTTL, so that two renewals
	// may fail.
	StateLeaseRenewInterval = 1 * time.Second
	// StateCallTimeout (duration) is the timeout of an ordinary call of the state service.
	// Answers usually take 10 ms and occasionally a few hundred.
	StateCallTimeout = 1500 * time.Millisecond
	// WatchMaxWait (duration) is how long a watch without changes may stay open. It bounds how
	// stale the mirror can be behind a dead connection. It must stay well below the time that
	// the authority to act may go unconfirmed: with a longer wait a controller considered
	// itself cut off while a quiet watch was open.
	WatchMaxWait = 2 * time.Second
	// BackgroundRetryDelay (duration) is the delay before a failed background call is repeated.
	BackgroundRetryDelay = 500 * time.Millisecond
	// UnconfirmedMargin (duration) is the margin between the last moment at which workers are
	// answered without confirmation and cancel_s - lease_s; a quarter of the time between these
	// if that is less.
	UnconfirmedMargin = 4 * time.Second
	// MinUnconfirmed (duration) is the least time that a controller must be able to go
	// unconfirmed; settings that leave less are refused. A renewal and a read of the changes
	// take up to a second each.
	MinUnconfirmed = 1500 * time.Millisecond
	// ClockDrift (share) is added to durations that are compared with those of another
	// monotonic clock; it is twice the bound of 0.05% between two clocks.
	ClockDrift = 0.001
	// CatchUpOverlapDelay (duration) is the delay before another read of the changes is sent after a
	// failed write while one is in progress.
	CatchUpOverlapDelay = 250 * time.Millisecond
	// TickInterval (duration) is the interval between clock ticks of the core; deferred work
	// is delayed by less than this.
	TickInterval = 50 * time.Millisecond
)

// Writes to the state service.
const (
	// ProgressMaxDelay (duration) is how long completed tasks of a job may wait in order to be
	// written together. Nothing is lost meanwhile, since workers keep reporting them.
	ProgressMaxDelay = 10 * time.Second
	// ProgressWriteInterval (duration) is the interval between writes of progress, one job
	// after another, as long as no job then waits for more than ProgressMaxDelay. At this
	// interval three controllers use a fifth of the smallest limit on changes.
	ProgressWriteInterval = 1 * time.Second
	// UrgentProgressInterval (duration) is the least interval between writes of a job's task
	// ends on machines that are gone or will be, which are otherwise written at once. During a
	// wave of notices they share the limit on changes with starts.
	UrgentProgressInterval = 1 * time.Second
	// ProgressRecordTasks (tasks) is how many tasks each additional record of a job's progress
	// covers. Its 64 words take at most 0.8 KiB in JSON form, which fits any limit on values
	// that a job's own record fits.
	ProgressRecordTasks = 2048
	// CleanupInterval (duration) is the interval between removals of the records of jobs that
	// are over; nothing waits for these removals.
	CleanupInterval = 2 * time.Second
	// DeferredWriteInterval (duration) is the interval between writes of progress and of marks
	// on blocks.
	DeferredWriteInterval = 200 * time.Millisecond
	// MaxTxnBytes (bytes) is the size at which a transaction is closed; the state service
	// takes 64 KiB.
	MaxTxnBytes = 40 << 10
	// MinShortTxnChanges (changes) is the least size of a short transaction, if a transaction
	// may hold as many. Half of a limit of 4 or 5 would be a single block or a single end of a
	// job in each write.
	MinShortTxnChanges = 4
	// StartWriteInterval (duration) is the interval between writes of one shard's starts; those
	// that come meanwhile are written together. The first start does not wait, and fetching an
	// image takes seconds.
	StartWriteInterval = 200 * time.Millisecond
	// StartWriteRetryDelay (duration) is the delay before starts that could not be written are
	// tried again.
	StartWriteRetryDelay = 100 * time.Millisecond
	// MaxStartRecordEntries (jobs and machines) is the size of one record of starts. A record
	// is written whole with each start in it, and read by every controller.
	MaxStartRecordEntries = 96
	// CacheRecordInterval (duration) is the interval between records of which images a shard's
	// machines have; each is one change of several KB.
	CacheRecordInterval = 15 * time.Second
)

// Writes that the state service refuses as malformed, mostly for their size.
const (
	// MinLearnedValueBytes (bytes) is the smallest limit on values that is learned from
	// refusals of the state service.
	MinLearnedValueBytes = 512
	// LearnedLimitFactor (share) times a refused size is the limit that is tried next: six
	// writes lead from 16 KiB to 2 KiB.
	LearnedLimitFactor = 0.67
	// MalformedWriteDelay (duration) is how long a write is left out after it was refused as
	// malformed even alone and at its smallest. The delay doubles with each refusal up to
	// MalformedWriteDelayMax.
	MalformedWriteDelay    = 10 * time.Second
	MalformedWriteDelayMax = 5 * time.Minute
	// MalformedIsolationTime (duration) is how long the writes that share transactions are
	// written one at a time after such a refusal, to find the malformed one.
	MalformedIsolationTime = 5 * time.Second
	// StartWriteStuckAfter (duration) is how long starts have to be refused as malformed before
	// they are reported as stuck; lower limits are learned within a second.
	StartWriteStuckAfter = 3 * time.Second
	// MalformedWarningInterval (duration) is the interval between warnings of malformed writes
	// of one kind.
	MalformedWarningInterval = 30 * time.Second
)

// Shares of the state service's rate limits.
const (
	// StateCallShare (share) is the part of the state service's limit on requests that one
	// controller uses at most; bursts of all controllers rarely coincide.
	StateCallShare = 0.5
	// StateWriteShare (share) is the same of the limit on changes. After a takeover one
	// controller has nearly all the writes to make: with a share of 0.5, starts waited ten
	// seconds while the service was half idle.
	StateWriteShare = 0.9
	// MinRateShare (share of the limit) is what a controller keeps however often it is refused;
	// ten controllers with this share still fit the limit.
	MinRateShare = 0.1
	// RateShareGain (share per second) is regained in each second of full use.
	RateShareGain = 0.1
	// RateShareCut (factor) is applied to the rate after a refusal, at most once in
	// RateShareCutInterval (duration), since refusals come in bunches.
	RateShareCut         = 0.7
	RateShareCutInterval = 300 * time.Millisecond
	// DeferredWriteShare (share) is what progress and marks may use of the limit on changes;
	// three controllers together then leave capacity for the writes that users wait for.
	DeferredWriteShare = 0.25
	// RateLimitRetries (attempts) is how often a write that users wait for is repeated after
	// the service refused it for its rate limit, after RateLimitRetryDelay (duration) each.
	RateLimitRetries    = 3
	RateLimitRetryDelay = 120 * time.Millisecond
	// RateLimitMaxWait (duration) is how long a call may wait for the controller's own rate
	// limits. A call that would wait longer fails at once, and so does its user's request.
	RateLimitMaxWait = 1 * time.Second
	// RetryJitter (share) is the largest share by which a delay is shortened at random, so that
	// retries of several callers do not coincide.
	RetryJitter = 0.3
)
