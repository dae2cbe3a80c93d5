package tuning

import "time"

// Demand for machines.
const (
	// DemandInterval (duration) is the interval between evaluations of a shard's unmet demand.
	DemandInterval = 300 * time.Millisecond
	// DemandRepeatInterval (duration) is the interval at which unchanged demand is announced
	// again, and DemandTTL (duration) how long an announcement counts: three messages.
	DemandRepeatInterval = 1 * time.Second
	DemandTTL            = 3 * time.Second
	// DemandWriteInterval (duration) is the interval between writes of the record of a shard's
	// demand, which only counts where messages do not get through.
	DemandWriteInterval = 3 * time.Second
	// MaxDemandNeeds (needs) is how many kinds of machines a shard requests at a time; further
	// ones follow once the first are served.
	MaxDemandNeeds = 24
	// StarvedAfter (duration) is how long work within a guarantee has found no machine before
	// borrowing shards have to release theirs; a rental is answered sooner.
	StarvedAfter = 2 * time.Second
	// ReferenceCPUs (CPUs) is the capacity that determines how long a job without a stated
	// objective lets later ones go first: for the time that this many CPUs take for the
	// difference of their work.
	ReferenceCPUs = 10
	// IdleWorkHorizon (duration) is the time in which all work of the lowest priority is to be
	// done when machines are requested for it, or IdleWorkHeadroom (share) of the time until it
	// is due, and at least MinIdleWorkTime (duration). A rented machine costs at least a minute,
	// and a boot before that.
	IdleWorkHorizon  = 300 * time.Second
	MinIdleWorkTime  = 60 * time.Second
	IdleWorkHeadroom = 0.5
	// DeadlineHeadroom (share of the time until then) is the same for arrays of normal priority
	// that have a deadline. When a machine was rented for each waiting task, it ran one or two:
	// boots, fetches and empty minutes took as much as a third of the money.
	DeadlineHeadroom = 0.75
	// UrgentSizeMemory (duration) is how long the size of an urgent task is remembered, for which
	// one machine's capacity is kept free.
	UrgentSizeMemory = 10 * time.Minute
	// UrgentArrivalWindow (duration) is the time over which arrivals of urgent work are counted,
	// to predict how many come during a boot.
	UrgentArrivalWindow = 2 * time.Minute
)

// Placement and starts of tasks.
const (
	// PlacementCandidates (machines) is how many equal machines of one kind a choice considers to
	// find one with the image. Without a bound the cost of a choice would grow with the fleet.
	PlacementCandidates = 24
	// FirstTaskWait (duration) is how long a job waits for its first task before it gets it out
	// of order. The largest jobs have to begin within four minutes; half of that leaves time for
	// a boot, a fetch and a takeover.
	FirstTaskWait = 90 * time.Second
	// MaxTrackedTasks (tasks) is the size of the largest jobs whose record names the machine of
	// each start, so that after a takeover they wait for that one machine only. A start on
	// another machine costs such a job a write, so arrays are not tracked.
	MaxTrackedTasks = 4
	// MinStartsAhead (tasks) is the least number of starts that are written ahead, so that a
	// freed slot is refilled in the answer to the report that frees it, and one write serves many
	// starts: with 4, starts were half of all writes. A start that is written and not made has to
	// wait, after a takeover, until that is known.
	MinStartsAhead = 16
	// StartsAheadFactor (multiple of the running tasks) is the number of starts written ahead, if
	// that is more. While the state service is unavailable none can be written; with a factor of
	// 1, half of a fleet's slots were empty at the end of 25 s.
	StartsAheadFactor = 2
	// LatenessCheckInterval (duration) is the interval between decisions which jobs are late;
	// deadlines are tens of seconds away.
	LatenessCheckInterval = 250 * time.Millisecond
)

// Preemption.
const (
	// PreemptionInterval (duration) is the interval between searches for work of lower priority
	// to stop; each search goes through all machines once, for all urgent tasks that wait.
	PreemptionInterval = 100 * time.Millisecond
	// MaxPreemptionJobs (jobs) is how many jobs one search serves.
	MaxPreemptionJobs = 500
	// PreemptionDelay (duration) is how long urgent work waits for free capacity before it stops
	// work of lower priority; often a task ends by itself sooner.
	PreemptionDelay = 1 * time.Second
)

// Chains of jobs.
const (
	// ChainEstimateInterval (duration) is the interval between estimates of how long the jobs of
	// a chain take; what is known of run times changes slowly.
	ChainEstimateInterval = 5 * time.Second
	// ChainStartDelay (duration) is the time from the end of a job's last predecessor until its
	// tasks have machines and start to fetch: two writes, and the workers' next reports.
	ChainStartDelay = 4 * time.Second
	// ChainRunTimeSpread (of the logarithm) is the spread of the run times of one job's tasks.
	ChainRunTimeSpread = 0.1
	// MinChainSlack (duration) is the slack below which a job of a chain is served as the jobs
	// that depend on it would be: it has other work stopped, and machines rented at any price.
	MinChainSlack = 15 * time.Second
)

// Reservations.
const (
	// ReservationDelay (duration) is the time after its acceptance at which a job whose tasks fit
	// nowhere gets reservations. A rental is on its way by then.
	ReservationDelay = 5 * time.Second
	// ReservationInterval (duration) is the interval between plans of reservations; each plan
	// goes through all machines of a shard once.
	ReservationInterval = 500 * time.Millisecond
	// OversizedFactor (multiple) is how much more than the smallest waiting or running task
	// beside it a task has to request to get reservations. Such tasks would be passed over for
	// ever; those of a similar size are served in turn.
	OversizedFactor = 2
	// MaxReservationShare (share) is the most of a shard's running machines that is reserved.
	MaxReservationShare = 0.25
	// ReservationHorizon (duration): no place is reserved that becomes free later than this.
	ReservationHorizon = 120 * time.Second
	// ReservationMoveGain (duration) is the least gain for which a reservation moves.
	ReservationMoveGain = 5 * time.Second
	// MaxReservationJobs (jobs) is how many jobs have reservations at a time.
	MaxReservationJobs = 64
	// ReservationLendAfter (duration): a reservation that stays unused for longer is lent to
	// tasks that certainly end before it is needed.
	ReservationLendAfter = 4 * time.Second
	// ReservationLendCandidates (jobs) is how many jobs are considered for that.
	ReservationLendCandidates = 32
)

// Forecasts of run times.
const (
	// ForecastPriorTasks (tasks) is the weight of a user's estimate before the run times of its
	// class are known, ForecastMaxTasks (tasks) how many tasks of a class are remembered, and
	// ForecastPriorSpread (of the logarithm) the spread that is assumed until then; users' estimates
	// are off by half.
	ForecastPriorTasks  = 4
	ForecastMaxTasks    = 200
	ForecastPriorSpread = 0.4
	// BiasWriteInterval (duration) is the interval between writes of how far estimates are off.
	BiasWriteInterval = 60 * time.Second
	// MinBiasTasks (tasks) is how many tasks of a class have to end before its bias is written,
	// and MinBiasChange (of the logarithm) by how much it has to change to be written again.
	MinBiasTasks  = 20
	MinBiasChange = 0.15
)
