package tuning

import "time"

// Leases and reports of workers.
const (
	// MaxReplyCommands (commands) is how many commands an answer to a worker or a direct call
	// carries; with the longest names and all sources they fit into the limit of a body.
	MaxReplyCommands = 200
	// WorkerLeaseMargin (duration) is added to a worker lease before it counts as expired:
	// timers fire some milliseconds late, and packets take time.
	WorkerLeaseMargin = 300 * time.Millisecond
	// ReportFreshnessMargin (duration), in addition to two report intervals, is how long a
	// machine may be silent and still be given tasks.
	ReportFreshnessMargin = 500 * time.Millisecond
	// SuspectReportIntervals (report intervals) is the silence after which a machine is
	// suspected. Intervals vary by a quarter, and one report may be lost.
	SuspectReportIntervals = 2.5
	// SilentMachineDeleteAfter (duration) is the silence after which a machine is deleted;
	// waiting out a shorter loss of the network is cheaper than a boot.
	SilentMachineDeleteAfter = 25 * time.Second
	// UnprovenReportAnswers (answers) is how many answers a machine that was taken over is given
	// before one of its reports proves that it received the token. Each answer postpones the
	// time at which its lease has certainly expired; one is enough where no answer is lost.
	UnprovenReportAnswers = 2
	// UnprovenReportWindow (duration) is the time within which a worker that missed an answer
	// reports again. A later report without our token is not a reaction to that answer.
	UnprovenReportWindow = 6 * time.Second
	// UnansweredReportGap (duration) is the gap between reports that suggests that a worker did
	// not receive an answer; it then reports again after 5 s.
	UnansweredReportGap = 4800 * time.Millisecond
)

// Direct calls to workers.
const (
	// WorkerCallRate (calls per second) limits one controller's direct calls to workers. Each
	// costs a connection and a third of a millisecond. Services start and end at a few a
	// second, and a block that is emptied has eight machines.
	WorkerCallRate = 60
	// WorkerCallCandidates (machines) is how many machines one turn checks for a due call.
	WorkerCallCandidates = 200
	// WorkerCallDelay (duration) is the least time between an answer to a worker and a call to
	// it: an earlier call would overtake the answer, and a worker reports at most twice a second.
	WorkerCallDelay = 300 * time.Millisecond
	// WorkerCallTimeout (duration) is the timeout of a direct call. Workers answer within
	// milliseconds, and report by themselves within seconds.
	WorkerCallTimeout = 1500 * time.Millisecond
	// WorkerCallQueueSize (calls) is how many calls may wait, MaxWorkerCalls (calls) how many may
	// be in progress.
	WorkerCallQueueSize = 256
	MaxWorkerCalls      = 96
)

// Machines that are not accounted for after a takeover.
const (
	// PendingQueryRate (calls per second) and PendingQueryBurst (calls) limit the calls to the
	// workers of these machines. Some hundred machines have to answer within three seconds; each
	// call costs a third of a millisecond.
	PendingQueryRate  = 300
	PendingQueryBurst = 60
	// MaxPendingQueries (calls) is how many of these calls may be in progress. It is fewer than
	// may be queued and made in all, because calls to dead machines take WorkerCallTimeout each.
	MaxPendingQueries = 128
	// PendingQueryCandidates (machines) is how many machines one turn checks.
	PendingQueryCandidates = 1024
	// PendingQueryRetryDelay and PendingQueryRetryDelayMax (duration) are the first and the
	// longest delay before a machine is called again.
	PendingQueryRetryDelay    = 500 * time.Millisecond
	PendingQueryRetryDelayMax = 4 * time.Second
	// MissingMachineAfter (duration) is the time after a takeover, and not before one and a half
	// report intervals, after which a machine that has not reported is missing; by then every
	// worker that can has found its holder.
	MissingMachineAfter = 4 * time.Second
	// UnansweredMachineAfter (duration) is the same for machines that did not answer two calls;
	// two calls without an answer take this long.
	UnansweredMachineAfter = 2500 * time.Millisecond
	// FewMissingMachines (machines) and MissingMachinesDivisor (one in this many of the shard)
	// bound how many missing machines are returned at once; more than that are no coincidence.
	FewMissingMachines     = 2
	MissingMachinesDivisor = 50
	// MaxPastIncarnations (incarnations) is the most that a shard's record names. If more
	// controllers crash while one shard is being reconciled, it waits for the full lease time.
	MaxPastIncarnations = 8
)

// Failures of tasks, and the machine or the job to which they are attributed.
const (
	// TaskErrorBackoff (duration) is the first delay of a task that failed; it doubles with each
	// failure up to TaskErrorBackoffMax (duration).
	TaskErrorBackoff    = 1 * time.Second
	TaskErrorBackoffMax = 30 * time.Second
	// FaultyJobBackoffMax (duration) is the longest delay of a job that fails on all machines:
	// some twenty attempts in an hour, until its user cancels it.
	FaultyJobBackoffMax = 4 * time.Minute
	// FaultyJobImageWait (duration) is how long such a job waits for a machine with its image.
	FaultyJobImageWait = 60 * time.Second
	// ReplicaProvenAfter (duration) is the run time of a replica that is evidence that its
	// machine and its job are sound.
	ReplicaProvenAfter = 20 * time.Second
	// BlameSoundJob, BlameNewJob and BlameElsewhere (probability) are how certain a failure makes
	// it that the machine is faulty, when its job has completed tasks, is new, or also fails on
	// other machines.
	BlameSoundJob  = 0.9
	BlameNewJob    = 0.3
	BlameElsewhere = 0.05
	// BlameSuspectMachine and BlameFaultyMachine (probability) are the thresholds from which a
	// machine gets no urgent work, and from which it is returned; two failures, one of them of a
	// sound job, reach the latter.
	BlameSuspectMachine = 0.5
	BlameFaultyMachine  = 0.85
	// BlameSoundMachine, BlameNewMachine and BlameTroubledMachine (weight) are what a failure on
	// a machine counts against the job, when other work has completed on the machine, none has
	// yet, or sound work fails there too.
	BlameSoundMachine    = 1.0
	BlameNewMachine      = 0.6
	BlameTroubledMachine = 0.3
	// BlameFaultyJob (sum of these weights) is the threshold from which the job fails everywhere.
	BlameFaultyJob = 1.5
)
