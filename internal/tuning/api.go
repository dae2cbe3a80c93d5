package tuning

import "time"

// Requests and queues.
const (
	// UnavailableRetryAfter (seconds) is the Retry-After of a 503 answer while the state service
	// is unreachable.
	UnavailableRetryAfter = 2
	// UserRequestTimeout (duration) is the time limit of a user's request. It is shorter than
	// the 5 s after which its client gives up.
	UserRequestTimeout = 4 * time.Second
	// PollRequestTimeout (duration) is the time limit of a poll, whose client waits 2 s.
	PollRequestTimeout = 1800 * time.Millisecond
	// PollReadInterval (duration) is the interval between reads of the changes for all polls
	// that wait. Users wait 2 s for an answer and ask again after 5 s.
	PollReadInterval = 50 * time.Millisecond
	// PollReadOverlapDelay (duration) is the delay before another read of the changes is sent
	// while one is in progress. Where answers took over a second, users who came just after a
	// read waited for two of them, which is more than their 2 s.
	PollReadOverlapDelay = 250 * time.Millisecond
	// WorkerReportTimeout (duration) is the time limit of a worker's report; workers wait 4 s.
	WorkerReportTimeout = 3500 * time.Millisecond
	// InboxSize (inputs) is the capacity of the queues into the core for service answers and for
	// workers' reports: more than the machines of a controller that serves all shards.
	InboxSize = 2048
	// UserQueueSize (requests) is the capacity of the queue of users' requests, which wait while
	// reports are served first; further requests are refused at once with a Retry-After. At half
	// a millisecond each, a full queue is served well within the second after which clients
	// would retry.
	UserQueueSize = 256
	// FinalCacheJobs (jobs) is how many final states are kept in memory.
	FinalCacheJobs = 20000
	// TierHistoryChanges (changes) is how many earlier versions the record of the tier order
	// keeps.
	TierHistoryChanges = 20
	// MaxOrderAnswerJobs (jobs) is the most jobs in one answer about the service order; a body
	// has at most 64 KiB.
	MaxOrderAnswerJobs = 500
)

// The trail of decisions.
const (
	// MaxTrailEvents (events) is how much of the trail is kept in memory, at some 250 bytes an
	// event: an hour of failures of 500 machines, within a hundredth of the memory limit.
	MaxTrailEvents = 4096
	// MaxStoredTrailBytes (bytes) is how much of the trail is stored. Only operators read it, so
	// the last few failures are enough.
	MaxStoredTrailBytes = 6 << 10
	// TrailWriteInterval (duration) is the interval between writes of the trail: under a
	// hundredth of the limit on changes, even if something lasting happens all the time.
	TrailWriteInterval = 10 * time.Second
	// MaxTrailAnswerEvents (events) is the most events in one answer; a body has at most 64 KiB.
	MaxTrailAnswerEvents = 200
	// MaxMachineTrailEvents (events) is the most events in the answer about one machine.
	MaxMachineTrailEvents = 40
)
