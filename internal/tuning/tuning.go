// Package tuning holds every constant of barrowbridge in one place, each with
// its unit and reason. None belongs to one deployment.
package tuning

import "time"

const (
	// GrantTTL (duration): how long a silent controller stays entitled in the
	// state service. Well under a worker lease, so that a successor answers the
	// workers in time; well over a slow state answer.
	GrantTTL = 3 * time.Second
	// ExtendEvery (duration): a third of GrantTTL, so two renewals may fail.
	ExtendEvery = 1 * time.Second
	// StateTimeout (duration): an ordinary state call. Answers take 10 ms, now
	// and then a few hundred.
	StateTimeout = 1500 * time.Millisecond
	// WatchHold (duration): longest silent watch. Bounds how stale the mirror
	// can be behind a dead connection, and must stay well below the time that
	// entitlement may go unconfirmed: a node took itself for cut off while a
	// quiet watch was open.
	WatchHold = 2 * time.Second
	// RetryAfter (duration): pause before a failed background call is repeated.
	RetryAfter = 500 * time.Millisecond
	// UnconfirmedMargin (duration): slack kept between the last moment workers
	// are answered without confirmation and cancel_s - lease_s; a quarter of what is
	// between these if that is less.
	UnconfirmedMargin = 4 * time.Second
	// UnconfirmedLeast (duration): settings that leave less time to go unconfirmed are
	// refused: a renewal and a look at the changes take up to a second each.
	UnconfirmedLeast = 1500 * time.Millisecond
	// Drift (share): added to durations measured against another steady clock;
	// twice the bound of 0.05%.
	Drift = 0.001
	// LeaseMargin (duration): added to a worker lease before it counts as over:
	// timers fire late by some milliseconds, packets take time.
	LeaseMargin = 300 * time.Millisecond
	// Tick (duration): the core's clock pulse; delays of deferred work stay below.
	Tick = 50 * time.Millisecond
	// LazyFlush (duration): completed tasks of a job may wait this long to be
	// written together; nothing is lost meanwhile since workers keep reporting them.
	LazyFlush = 10 * time.Second
	// ProgressEach (duration): progress is written once in so long, job after job, as long as that
	// lets none wait for more than LazyFlush: a fifth of the least limit on changes for three controllers.
	ProgressEach = 1 * time.Second
	// HastyFlush (duration): ends on a machine that will be gone, or is, are written at once,
	// but so often at most of a job: in a wave of notices they share the limit on changes with starts.
	HastyFlush = 1 * time.Second
	// DoneSpan (tasks): how many each further record of a job's progress tells of. Its 64 words
	// take at most 0.8 KiB in JSON form, which fits any value limit that fits a job.
	DoneSpan = 2048
	// TidyEvery (duration): between removals of what tells of jobs that are over; nothing waits
	// for it.
	TidyEvery = 2 * time.Second
	// LaterEvery (duration): between writes of progress and of marks on blocks.
	LaterEvery = 200 * time.Millisecond
	// TxnBytes (bytes): a transaction is closed at this size; the state service
	// takes 64 KiB.
	TxnBytes = 40 << 10
	// ShortOps (changes): least of a short write, if a transaction holds as many. Half of a
	// limit of 4 or 5 would be one block or one end of a job a write.
	ShortOps = 4
	// FormLeast (bytes of a value): nothing lower is believed of the state service, and
	// FormFactor (share) of what it refused for its form is tried next: from 16 KiB to 2 in
	// six writes.
	FormLeast  = 512
	FormFactor = 0.67
	// FormAside and FormAsideMax (duration): what is refused for its form even alone and at
	// its smallest is passed by for so long, twice as long each time. FormAlone (duration):
	// what shares writes goes one by one for so long, to find it.
	FormAside    = 10 * time.Second
	FormAsideMax = 5 * time.Minute
	FormAlone    = 5 * time.Second
	// FormStuck (duration): starts that are refused for their form for so long are stuck;
	// lower limits are learned within a second.
	FormStuck = 3 * time.Second
	// FormAgain (duration): between warnings of such writes of one kind.
	FormAgain = 30 * time.Second
	// StateShare (share): part of the state service's request limit that one
	// controller allows itself, since a burst rarely comes from all at once.
	StateShare = 0.5
	// WriteShare (share): the same of the limit on changes. After a takeover one
	// controller has nearly all the writes to make; at half, starts waited ten
	// seconds while the service was half idle.
	WriteShare = 0.9
	// ShareLeast (share of the limit): what a controller keeps however often it is
	// refused; ten of them would still fit. ShareGain (share a second): regained in each
	// second of full use. ShareCut (factor) and SharePause (duration): a refusal costs so
	// much, once in so long, since refusals come in bunches.
	ShareLeast = 0.1
	ShareGain  = 0.1
	ShareCut   = 0.7
	SharePause = 300 * time.Millisecond
	// LaterShare (share): what progress and marks may take of the limit on
	// changes; three controllers together then leave room for what users wait for.
	LaterShare = 0.25
	// LimitRetries (tries) and LimitPause (duration): a write that users wait for
	// and the service refused for its limit is sent again so often, after so long.
	LimitRetries = 3
	LimitPause   = 120 * time.Millisecond
	// LimitWait (duration): a call that would wait longer for our own limits is
	// given up at once, and its user told so.
	LimitWait = 1 * time.Second
	// CloudShare (share): part of the cloud's limit; only the leader calls.
	CloudShare = 0.8
	// CloudTimeout (duration): a cloud call; some take seconds.
	CloudTimeout = 5 * time.Second
	// CloudBackoffMax (duration): longest pause after failed cloud calls.
	CloudBackoffMax = 4 * time.Second
	// Jitter (share): a pause is shortened by up to this share at random, so that
	// retries of several callers fall apart.
	Jitter = 0.3
	// ListEvery (duration): how often the leader reads the machine list.
	ListEvery = 3 * time.Second
	// TypesEvery (duration): how often prices are read again.
	TypesEvery = 60 * time.Second
	// BlockSize (machines): least of a block; few enough to move without hoarding.
	BlockSize = 2
	// BlockSizeMax (machines): most of a block. Each block costs writes when it is
	// formed, moved and dissolved.
	BlockSizeMax = 8
	// BlocksAtOnce (blocks): machines of one type, zone and kind that come together
	// are split into about so many blocks.
	BlocksAtOnce = 8
	// RentMax (machines): most in one rental request, given by the cloud.
	RentMax = 50
	// DeleteMax (machines): most in one deletion.
	DeleteMax = 50
	// NoCapacityPause (duration): before a refused type, zone and kind is tried again.
	NoCapacityPause = 8 * time.Second
	// IdleReturn (duration): an empty rented machine is given back after this.
	// Short of a boot, since a machine costs as much while it boots.
	IdleReturn = 20 * time.Second
	// MoveAfter (duration): a replica that has run so long may be moved to free
	// its machine; a move costs it some seconds, a machine costs until it ends.
	MoveAfter = 60 * time.Second
	// MoveEvery (duration): between moves in one shard, so that few replicas are
	// away at a time. MoveShare (one in so many machines of the shard): moved off at once;
	// a move takes a replica away for a second or two. MoveLook (machines): emptiest first,
	// looked at in one round.
	MoveEvery = 12 * time.Second
	MoveShare = 16
	MoveLook  = 128
	// IdleOffer (duration): an empty block is offered to other shards after this.
	IdleOffer = 3 * time.Second
	// CachesEvery (duration): between records of which images a shard's machines
	// have; each is one change of several KB.
	CachesEvery = 15 * time.Second
	// WantEvery (duration): between looks at what a shard lacks. WantAgain: a standing want is
	// told again after this; WantKeep: it counts for so long, three messages. WantWrite:
	// between writes of its record, which only counts where messages do not get through.
	WantEvery = 300 * time.Millisecond
	WantAgain = 1 * time.Second
	WantKeep  = 3 * time.Second
	WantWrite = 3 * time.Second
	// TurnCPUs (CPUs): among jobs that nobody has said anything of, one lets later ones go
	// first for as long as so many CPUs take for the difference of their work.
	TurnCPUs = 10
	// IdleHorizon, IdleLeast (duration), IdleHeadroom (share): machines for work of the lowest
	// priority are asked for as if all of it had so long, or that share of the time until it
	// is due. A rented machine costs a minute at least, and a boot before that.
	IdleHorizon  = 300 * time.Second
	IdleLeast    = 60 * time.Second
	IdleHeadroom = 0.5
	// DueHeadroom (share): the same for arrays of normal priority that have a deadline, of the time
	// until then. For each waiting task a machine was rented that ran one or two: boots, fetches and
	// empty minutes took as much as a third of the money.
	DueHeadroom = 0.75
	// NeedsMax (needs): kinds of machines a shard asks for at a time; those beyond
	// come once the first are served.
	NeedsMax = 24
	// DireAfter (duration): work within a guarantee that has found no machine
	// for this long makes borrowing shards give way; a rental is answered sooner.
	DireAfter = 2 * time.Second
	// UrgentMemory (duration): how long the size of an urgent task is remembered,
	// for which one machine's room is kept.
	UrgentMemory = 10 * time.Minute
	// ArrivalWindow (duration): over which arrivals of urgent work are counted,
	// to foresee how many come during a boot.
	ArrivalWindow = 2 * time.Minute
	// OrdersPerSecond (calls a second): direct calls of one controller to workers. Each
	// costs a connection and a third of a millisecond; services start and end at a few
	// a second, and a block that is emptied has eight machines.
	OrdersPerSecond = 60
	// OrderLook (machines): looked at in one turn for whether a call is due.
	OrderLook = 200
	// OrderAfterAnswer (duration): a worker is not called sooner after an answer: the
	// call would overtake it, and a worker reports twice a second at the most.
	OrderAfterAnswer = 300 * time.Millisecond
	// OrderTimeout (duration): a direct call; workers answer in milliseconds, and report
	// by themselves within seconds.
	OrderTimeout = 1500 * time.Millisecond
	// OrderQueue and OrderCalls (calls): waiting and under way.
	OrderQueue = 256
	OrderCalls = 96
	// RollPerSecond and RollBurst (calls a second, calls at once): to workers of machines
	// that are not accounted for after a change of hands. Some hundred are to be heard of
	// within three seconds; each call costs a third of a millisecond.
	RollPerSecond = 300
	RollBurst     = 60
	// RollOpen (calls): under way at a time, fewer than are queued and made: those to dead
	// machines take OrderTimeout each.
	RollOpen = 128
	// RollLook (machines): looked at in one turn.
	RollLook = 1024
	// RollPause and RollPauseMax (duration): before a machine is called again.
	RollPause    = 500 * time.Millisecond
	RollPauseMax = 4 * time.Second
	// AddrsFor (duration): addresses of workers that have come up are told with each ping for
	// so long, three pings; AddrsMost (addresses): in one message.
	AddrsFor  = 1600 * time.Millisecond
	AddrsMost = 200
	// AddrsEvery (duration): between looks whether addresses of workers are lacking. The
	// cloud's list lags by seconds anyway, and its calls are few.
	AddrsEvery = 10 * time.Second
	// PreemptEvery (duration): between looks for lesser work to stop; each looks at all
	// machines once, for all urgent tasks that wait.
	PreemptEvery = 100 * time.Millisecond
	// PreemptJobs (jobs): served in one such look.
	PreemptJobs = 500
	// JudgeEvery (duration): between decisions which jobs are late; deadlines are tens of
	// seconds away.
	JudgeEvery = 250 * time.Millisecond
	// LookAt (machines): of one kind that a choice looks at among equals, for one with
	// the image. Without a bound a choice would cost as much as the fleet is large.
	LookAt = 24
	// LocalWait (duration): for how long a job may be passed over on machines without its
	// image; a fetch takes about three times as long. LocalLook (jobs): next in the order
	// that are looked at for one whose image is there. LocalTries (machines): left so in
	// one choice.
	LocalWait  = 4 * time.Second
	LocalLook  = 24
	LocalTries = 4
	// FreshMargin (duration): beyond two report intervals that a machine may be silent
	// and still be given tasks.
	FreshMargin = 500 * time.Millisecond
	// PreemptAfter (duration): urgent work that finds no room stops lesser work
	// after this; often a task ends by itself sooner.
	PreemptAfter = 1 * time.Second
	// ChainRank (duration): between looks at what the jobs of a chain are expected to take;
	// what is known of run times changes slowly.
	ChainRank = 5 * time.Second
	// ChainBegin (duration): from the end of a job's last predecessor until its tasks have
	// machines and start to fetch: two writes, and the workers' next reports.
	ChainBegin = 4 * time.Second
	// BootSlow (times the usual): how long a boot may take, by the protocol.
	BootSlow = 1.5
	// ChainSpread (of the logarithm): how far run times of one job's tasks lie apart.
	ChainSpread = 0.1
	// ChainSlack (duration): with less to spare a job of a chain is served as those that need it
	// would be; it then has others stopped, and machines rented at any price.
	ChainSlack = 15 * time.Second
	// TrackTasks (tasks): jobs of at most so many have the machine of each start
	// written down, so that after a takeover they wait for that one machine
	// only. A start elsewhere costs such a job a write, so it is not for arrays.
	TrackTasks = 4
	// StartAhead (tasks): at least so many starts are written ahead, so that a
	// freed slot is refilled in the very answer that reports it free, and one
	// write serves many starts: at 4, starts were half of all writes. What is
	// written and not started waits, after a takeover, until that is known.
	StartAhead = 16
	// StartEntries (jobs and machines): in one record of starts. A record is written whole
	// with each start in it, and read by every controller.
	StartEntries = 96
	// StartsEvery (duration): between writes of one shard's starts; those that come meanwhile
	// go together. The first waits for nothing, and fetching an image takes seconds.
	StartsEvery = 200 * time.Millisecond
	// StartsAgain (duration): before starts that could not be written are tried again.
	StartsAgain = 100 * time.Millisecond
	// AheadTimes (multiple of the running tasks): starts written ahead, if that is more.
	// While the state service is away none can be written; at one time the running
	// tasks, half of a fleet's slots stood empty by the end of 25 s.
	AheadTimes = 2
	// BootKeep (boots) and BootMemory (duration): remembered of a type, zone and kind.
	BootKeep   = 24
	BootMemory = 10 * time.Minute
	// BootHorizon (multiple of ready_s): nearly all boots take less; a machine counts as room
	// to come for its chance to come within so long from now.
	BootHorizon = 1.6
	// BootEnough (share): of a new machine's chance; a machine with more counts in full.
	BootEnough = 0.8
	// BootHopeless (chance): a machine with less to come ever is given back.
	BootHopeless = 0.15
	// BootTrust (chance): kinds whose new machines have less to come in time are asked for
	// one at a time.
	BootTrust = 0.5
	// BootAhead (share): of the booting machines that may be doubted at a time: what is
	// rented in place of those that are late is never more than half of what is needed.
	BootAhead = 0.5
	// BootGiveUp (multiple of ready_s): a machine that has not reported is
	// replaced; most need 0.6 to 1.5 times.
	BootGiveUp = 4
	// BootGiveUpMin (duration): and never sooner than this.
	BootGiveUpMin = 60 * time.Second
	// SilentDrop (duration): a silent machine is deleted after this; a shorter
	// network loss is cheaper to wait out than a boot.
	SilentDrop = 25 * time.Second
	// ShardGrace (duration): at first start, how long the leader waits for all
	// controllers before it shares out the shards.
	ShardGrace = 3 * time.Second
	// MissingAfter (duration): after a change of hands, and not before one and a half
	// report intervals; by then every worker that can has found its holder.
	MissingAfter = 4 * time.Second
	// MissingCalled (duration): the same of those that were called twice in vain; two calls
	// that nobody answers take so long.
	MissingCalled = 2500 * time.Millisecond
	// MissingFew (machines) and MissingShare (one in so many of the shard): missing ones
	// that are given back at once; more of them are no accident.
	MissingFew   = 2
	MissingShare = 50
	// PastLives (lives): most that a shard's record names; more crashes than that
	// within one settling, and it waits for the full time.
	PastLives = 8
	// HomeAfter (duration): a controller that is back gets its shard again once
	// it has been up this long.
	HomeAfter = 15 * time.Second
	// ErrorBackoff (duration): first pause of a task that failed; doubles.
	ErrorBackoff = 1 * time.Second
	// ErrorBackoffMax (duration): the longest such pause.
	ErrorBackoffMax = 30 * time.Second
	// MistakenMax (duration): the longest pause of a job that fails everywhere: some twenty
	// tries in an hour, until its user cancels it.
	MistakenMax = 4 * time.Minute
	// MistakenFetch (duration): such a job waits so long for a machine with its image.
	MistakenFetch = 60 * time.Second
	// ProvedAfter (duration): a replica that has run so long speaks for its machine and job.
	ProvedAfter = 20 * time.Second
	// BlameSoundJob, BlameNewJob, BlameElsewhere (certainty): how sure a failure makes that
	// the machine is faulty, by whether its job has completed tasks, is new, or fails on
	// other machines too. BlameSuspect and BlameSick (certainty): a machine gets no urgent
	// work, is given back: two failures, one of a sound job, make it so.
	BlameSoundJob  = 0.9
	BlameNewJob    = 0.3
	BlameElsewhere = 0.05
	BlameSuspect   = 0.5
	BlameSick      = 0.85
	// BlameSoundMachine, BlameNewMachine, BlameTroubled (weight): of a machine where a job
	// fails, against the job, by whether other work has completed there, none has yet, or
	// sound work fails there too. BlameMistaken (sum of these): the job fails everywhere.
	BlameSoundMachine = 1.0
	BlameNewMachine   = 0.6
	BlameTroubled     = 0.3
	BlameMistaken     = 1.5
	// SurpriseGrace (duration): a listed machine in no block is adopted after
	// this; the block of a fresh rental may still be on its way.
	SurpriseGrace = 4 * time.Second
	// GoneAfter (duration): a machine that was listed once and has left the list is gone after
	// this and three times what lists lag.
	GoneAfter = 2 * time.Second
	// SurpriseAgain (duration): between calls to a machine in no block that seems to report;
	// it is believed in once it answers one.
	SurpriseAgain = 1500 * time.Millisecond
	// TrustReports (answers): given to a machine that was taken over before a report of its
	// proves itself; each puts off the time when its lease is surely over. One is enough
	// where no answer is lost. TrustAgain (duration): a worker that missed one reports again
	// within that; what comes later without our token is no answer to it.
	TrustReports = 2
	TrustAgain   = 6 * time.Second
	// DeafGap (duration): a worker that waits for an answer in vain reports again after 5 s.
	DeafGap = 4800 * time.Millisecond
	// RetryHint (seconds): Retry-After on a 503 while the state is unreachable.
	RetryHint = 2
	// UserTimeout (duration): a user's request is given up before its client
	// does at 5 s; a poll's client waits 2 s.
	UserTimeout = 4 * time.Second
	// AskEvery (duration): between looks at the changes for all polls that wait; users
	// wait 2 s for an answer and ask again after 5.
	AskEvery = 50 * time.Millisecond
	// AskAgain (duration): with a look under way, before the next is sent. Where answers take
	// over a second, users who came just after a look waited for two of them, over their 2 s.
	AskAgain = 250 * time.Millisecond
	// PollTimeout (duration): see UserTimeout.
	PollTimeout = 1800 * time.Millisecond
	// ReportTimeout (duration): workers wait 4 s.
	ReportTimeout = 3500 * time.Millisecond
	// InboxSize (inputs): the bounded queues into the core, of service answers and
	// of workers' reports: more than the machines of a controller that serves all.
	InboxSize = 2048
	// UserQueue (requests): users' requests that wait while reports go first; more
	// are told at once to come back. At half a millisecond each it is served
	// well within the second after which they would.
	UserQueue = 256
	// PeerEvery (duration): between messages to the other controllers.
	PeerEvery = 500 * time.Millisecond
	// PeerTimeout (duration): to connect to a peer or write to it; shorter than
	// a cut, so that a new connection is tried soon after it.
	PeerTimeout = 2 * time.Second
	// PeerIdle (duration): a silent incoming peer connection is closed.
	PeerIdle = 30 * time.Second
	// AcceptPause (duration): after a connection could not be accepted, mostly for want
	// of sockets; one frees up within moments.
	AcceptPause = 100 * time.Millisecond
	// PeerQueue (messages): waiting for one peer; more are dropped. A controller that is
	// cut off from its workers and the state service has all its traffic there.
	PeerQueue = 512
	// PeerFrame (bytes): the largest message between controllers. PeerCarry (bytes): of an
	// answer of the state service that is passed on: a page of a list and what is around it.
	PeerFrame = 1 << 20
	PeerCarry = 768 << 10
	// LinkLate (duration): an answer of the state service that is late, though renewals
	// wait for none of our limits; answers take 10 ms, now and then a few hundred. A
	// renewal that is found late so still leaves half of GrantTTL for the way around.
	LinkLate = 600 * time.Millisecond
	// LinkSlowest (duration): the same, at most, while renewals are answered and late: as long
	// as a call is waited for. A way around is as slow then.
	LinkSlowest = StateTimeout
	// LinkDown (duration): a link in doubt for so long is taken for down.
	LinkDown = 1500 * time.Millisecond
	// LinkBack, LinkBackMax and LinkWindow (duration): a link that was down counts as up
	// after answers for LinkBack, twice as long with each fall within LinkWindow.
	LinkBack    = 1 * time.Second
	LinkBackMax = 16 * time.Second
	LinkWindow  = 60 * time.Second
	// WayKeep (duration): a peer's word that it has a way to the state service counts for
	// so long; it comes with every message. WayFresh (duration): since the last answer, for
	// us to give that word. WayHops (controllers): most on a way.
	WayKeep  = 1300 * time.Millisecond
	WayFresh = 2500 * time.Millisecond
	WayHops  = 2
	// WayGrace (duration): after which a call through a peer that is no way any more is given
	// up; its answer may be on its way.
	WayGrace = 200 * time.Millisecond
	// ReachEvery (duration): between judgements of what is reached.
	ReachEvery = 200 * time.Millisecond
	// SilenceLeast (duration) and SilenceGaps (expected gaps): all machines of a shard
	// silent for longer are out of reach. Reports come at random: fifteen gaps without one
	// are an accident once in three million.
	SilenceLeast = 1 * time.Second
	SilenceGaps  = 15
	// AskGaps (expected gaps) and AskReports (report intervals): silence after which some
	// of the machines are called. Intervals spread by a quarter.
	AskGaps    = 5
	AskReports = 1.3
	// ProbeEvery, ProbeWait (duration), ProbeSample (machines), ProbeAgain (duration): a
	// controller to whom no worker reports calls a few so often, to know whether it could
	// serve them: three calls a second, a tenth of a percent of a core. A shard whose holder
	// seeks it is sampled at once, and again after ProbeAgain.
	ProbeEvery  = 1200 * time.Millisecond
	ProbeWait   = 500 * time.Millisecond
	ProbeSample = 4
	ProbeAgain  = 3 * time.Second
	// GiveAfter (duration): a shard's machines are silent for so long before it is given
	// away; MoveGain (share): by how much more of them another must reach.
	GiveAfter = 1200 * time.Millisecond
	MoveGain  = 0.5
	// ApartAfter (duration): a present controller that has not answered for so long is said
	// to be out of reach; over GrantTTL, so that one that has died is not.
	ApartAfter = 3500 * time.Millisecond
	// CloudDown, CloudBack, CloudBackMax, CloudWindow (duration): the same of the cloud as
	// LinkDown and the others; its calls take seconds, and it has outages.
	CloudDown    = 4 * time.Second
	CloudBack    = 3 * time.Second
	CloudBackMax = 60 * time.Second
	CloudWindow  = 5 * time.Minute
	// AskCloud (duration): between questions whether the cloud answers us, for a leader whom
	// it does not. StandDown (duration): who gave leadership away leaves it to the others for
	// so long; a claim takes moments.
	AskCloud  = 2 * time.Second
	StandDown = 5 * time.Second
	// DeafFor and DeafMax (duration): who gave a shard away because its machines were
	// silent is given none for so long, twice as long each time.
	DeafFor = 30 * time.Second
	DeafMax = 10 * time.Minute
	// TellReach (duration): between writes of a controller's word on what it reaches.
	TellReach = 500 * time.Millisecond
	// CutAfter (duration): without any way to the state service, before users are told.
	CutAfter = 500 * time.Millisecond
	// PeerPings (messages): unanswered pings remembered.
	PeerPings = 16
	// PeerNews (records): ends of jobs and grants that are remembered for a peer whose mirror
	// lacks them, 30 bytes each: those of ten seconds of a fleet at its limit of writes.
	PeerNews = 1024
	// RelayReports (reports): passed on for a worker before it is sent to its
	// holder itself; one may be all it takes after a change of hands.
	RelayReports = 3
	// RelayFor (duration): a worker that came back from its holder is passed on
	// for so long before the next try, which costs it half a lease.
	RelayFor = 20 * time.Second
	// RelayWait (duration): a report passed on that is not answered for so long is given
	// back to its worker; holders answer in milliseconds, a busy one in tenths.
	RelayWait = 800 * time.Millisecond
	// PeerJobs (jobs): counts in one message, for display.
	PeerJobs = 300
	// TrailEvents (events): of the trail kept in memory, some 250 bytes each: an hour
	// of troubles of 500 machines, within a hundredth of the memory limit.
	TrailEvents = 4096
	// TrailBytes (bytes): what of the trail is stored; read by nobody but
	// operators, so it need not be more than the last few failures.
	TrailBytes = 6 << 10
	// TrailEvery (duration): between writes of it: under a hundredth of the limit
	// on changes, even if something lasting happens all the time.
	TrailEvery = 10 * time.Second
	// TrailAnswer (events): most in one answer; a body has 64 KiB.
	TrailAnswer = 200
	// TrailOfMachine (events): in the answer about one machine.
	TrailOfMachine = 40
	// SuspectReports (report intervals): a machine that has not reported for so long
	// is suspected. Intervals spread by a quarter, one report may be lost.
	SuspectReports = 2.5
	// FinalCache (jobs): final states kept in memory.
	FinalCache = 20000
	// BeginAfter (duration): a job that has waited so long for its first task gets it ahead of
	// its turn. The largest jobs have to begin within four minutes; half of that leaves time
	// for a boot, a fetch and a change of hands.
	BeginAfter = 90 * time.Second
	// HoldAfter (duration): a job whose tasks fit nowhere, accepted so long ago, has places
	// held. A rental is on its way by then. HoldEvery: between plans of what is held; each
	// looks at all machines of a shard once.
	HoldAfter = 5 * time.Second
	HoldEvery = 500 * time.Millisecond
	// HoldTimes (multiple): tasks that ask for so much more than the least that waits or runs
	// beside them are passed by for ever; those of a like size are served in turn.
	HoldTimes = 2
	// HoldShare (share): of a shard's machines that are up, held at most. HoldHorizon
	// (duration): none is held that is free later than this. HoldBetter (duration): a hold
	// moves for no less. HoldJobs (jobs): that have places held at a time.
	HoldShare   = 0.25
	HoldHorizon = 120 * time.Second
	HoldBetter  = 5 * time.Second
	HoldJobs    = 64
	// HoldFill (duration): a held place that stays unused for longer is lent to tasks that
	// surely end before. HoldLook (jobs): looked at for that.
	HoldFill = 4 * time.Second
	HoldLook = 32
	// ForecastPrior, ForecastKeep (tasks), ForecastSpread (of the logarithm): what estimates
	// are trusted with before run times of their class are known. Owners err by half.
	ForecastPrior  = 4
	ForecastKeep   = 200
	ForecastSpread = 0.4
	// LadderHistory (changes): of the ladder that its record remembers. OrderAnswer (jobs): in
	// one answer about the order; a body has 64 KiB.
	LadderHistory = 20
	OrderAnswer   = 500
	// CrewEvery (duration): between plans of departures. CrewClock, CrewTakeover (duration) and
	// CrewFailures (share): kept free before the hour: the bound of the times of day, a change of
	// hands with all machines accounted for, work that is done again. CrewPress (duration):
	// before the latest start, calendar work goes ahead of other routine work.
	CrewEvery    = 1 * time.Second
	CrewClock    = 1 * time.Second
	CrewTakeover = 10 * time.Second
	CrewFailures = 0.1
	CrewPress    = 15 * time.Second
	// CrewRounds (rounds): of expected tasks on one place; two need half the machines of one, for
	// one task's time more.
	CrewRounds = 2
	// CrewSettle (duration): after the hour, before what is still not done counts as missed by
	// at least so much. CrewKeep (entries): of past departures and changes in a record.
	CrewSettle = 10 * time.Minute
	CrewKeep   = 20
	// CrewsMost (crews): each costs a plan a second.
	CrewsMost = 200
	// BiasEvery (duration): between writes of how far estimates are off; BiasLeast (tasks): of a
	// class, before it is written; BiasMoved (of the logarithm): by how much it has changed.
	BiasEvery = 60 * time.Second
	BiasLeast = 20
	BiasMoved = 0.15
	// WeightsMany (machines): that want an image at a time before it counts as wanted by many: fewer are
	// served by the store as soon. WeightsEvery (duration): between looks at what is planned for them; a plan
	// is one change an image and stage. WeightsKeep (times): so many times as long an idle machine is
	// kept that has such an image.
	// WeightsStale (duration): what other holders have written of fetches counts for so long.
	WeightsMany  = 4
	WeightsEvery = 1500 * time.Millisecond
	WeightsStale = 2 * time.Minute
	WeightsKeep  = 3
	// HandDegree (machines): that one hands an image on to at a time; HandSources (machines): that one is
	// named. Two and two: each gets half of its rate from either of two, and gives half of it to either of two,
	// so that all fetch at their own rate. HandRoots (machines): of a zone that fetch from the store while its
	// rate is not known; two, for one may die.
	HandDegree  = 2
	HandSources = 2
	HandRoots   = 2
	// StoreFetches (fetches): that a measure of the store rests on. StoreBound (share): of its own rate that a
	// machine gets at the most where the store binds; rates of one type differ by a third. StoreSpare (times): the
	// fetches that would use up the store, for the same reason. StoreLeast (duration): a shorter fetch is not measured,
	// for reports tell of its end up to half a second late. StoreMemory (duration): for so long a measure counts.
	StoreFetches = 8
	StoreBound   = 0.5
	StoreSpare   = 1.25
	StoreLeast   = 3 * time.Second
	StoreMemory  = 10 * time.Minute
)
