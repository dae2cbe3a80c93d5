package tuning

import "time"

// Messages between controllers.
const (
	// PeerPingInterval (duration) is the interval between messages to the other controllers.
	PeerPingInterval = 500 * time.Millisecond
	// PeerTimeout (duration) is the timeout for connecting to a peer or writing to it. It is
	// shorter than a typical network cut, so that a new connection is tried soon after it.
	PeerTimeout = 2 * time.Second
	// PeerIdleTimeout (duration) is the silence after which an incoming peer connection is closed.
	PeerIdleTimeout = 30 * time.Second
	// AcceptRetryDelay (duration) is the delay after a connection could not be accepted, mostly
	// for lack of sockets; one is released within moments.
	AcceptRetryDelay = 100 * time.Millisecond
	// PeerQueueSize (messages) is how many messages may wait for one peer; further ones are
	// dropped. A controller that is cut off from its workers and from the state service has all
	// its traffic in these queues.
	PeerQueueSize = 512
	// MaxPeerFrameBytes (bytes) is the largest message between controllers.
	MaxPeerFrameBytes = 1 << 20
	// MaxRelayedReplyBytes (bytes) is the largest answer of the state service that is relayed to
	// a peer: a page of a list and its envelope.
	MaxRelayedReplyBytes = 768 << 10
	// MaxOpenPings (messages) is how many unanswered pings are remembered.
	MaxOpenPings = 16
	// MaxPeerUpdates (records) is how many ends of jobs and state leases are remembered for a
	// peer whose mirror lacks them, at 30 bytes each: those of ten seconds of a cluster at its
	// limit of writes.
	MaxPeerUpdates = 1024
	// MaxPeerJobCounts (jobs) is the most progress counts in one message; they are only
	// displayed.
	MaxPeerJobCounts = 300
	// WorkerAddrAnnounceTime (duration) is how long the addresses of workers that have come up
	// are sent with each ping: three pings. MaxWorkerAddrs (addresses) is the most in one message.
	WorkerAddrAnnounceTime = 1600 * time.Millisecond
	MaxWorkerAddrs         = 200
	// WorkerAddrCheckInterval (duration) is the interval between checks for missing addresses of
	// workers. The cloud's list lags by seconds anyway, and its calls are few.
	WorkerAddrCheckInterval = 10 * time.Second
)

// Reports that are relayed to the holder of a worker's shard.
const (
	// MaxRelayedReports (reports) is how many reports are relayed for a worker before it is
	// redirected to its holder; one may be all that a worker needs after a takeover.
	MaxRelayedReports = 3
	// RedirectInterval (duration) is how long reports are relayed for a worker that came back from
	// its holder, before the next redirect, which costs the worker half a lease.
	RedirectInterval = 20 * time.Second
	// RelayTimeout (duration) is how long a relayed report may go unanswered before it is
	// returned to its worker. Holders answer in milliseconds, a busy one in tenths of
	// a second.
	RelayTimeout = 800 * time.Millisecond
)

// Links to the state service, to the cloud and to other controllers.
const (
	// LinkLateAfter (duration) is when an answer of the state service to a renewal, which waits
	// for none of our own limits, counts as late. Answers usually take 10 ms and occasionally a
	// few hundred. A renewal that is found late leaves half of StateLeaseTTL for a route through
	// a peer.
	LinkLateAfter = 600 * time.Millisecond
	// LinkLateMax (duration) is the largest value of that limit while renewals are answered and
	// late: as long as a call is waited for. A route through a peer is as slow then.
	LinkLateMax = StateCallTimeout
	// LinkDownAfter (duration) is how long a link is in doubt before it counts as down.
	LinkDownAfter = 1500 * time.Millisecond
	// LinkRecovery (duration) is how long a link that was down has to answer before it counts as
	// up. It doubles with each failure within LinkFlapWindow, up to LinkRecoveryMax.
	LinkRecovery    = 1 * time.Second
	LinkRecoveryMax = 16 * time.Second
	LinkFlapWindow  = 60 * time.Second
	// CloudLinkDownAfter, CloudLinkRecovery, CloudLinkRecoveryMax and CloudLinkFlapWindow
	// (duration) are the same for the cloud, whose calls take seconds and which has outages.
	CloudLinkDownAfter   = 4 * time.Second
	CloudLinkRecovery    = 3 * time.Second
	CloudLinkRecoveryMax = 60 * time.Second
	CloudLinkFlapWindow  = 5 * time.Minute
)

// Routes to the state service through other controllers.
const (
	// RouteTTL (duration) is how long a peer's announcement of a route to the state service
	// counts; it comes with every message.
	RouteTTL = 1300 * time.Millisecond
	// RouteFreshness (duration) is the greatest age of the last answer of the state service with
	// which a controller announces a route.
	RouteFreshness = 2500 * time.Millisecond
	// MaxRouteHops (controllers) is the most controllers on a route.
	MaxRouteHops = 2
	// RouteLossGrace (duration) is how long a call through a peer that no longer has a route
	// waits for its answer, which may be on its way, before it fails.
	RouteLossGrace = 200 * time.Millisecond
	// NoRouteGrace (duration) is how long there has to be no route to the state service before
	// users are answered accordingly.
	NoRouteGrace = 500 * time.Millisecond
)

// Reachability of workers, the cloud and other controllers.
const (
	// ReachabilityInterval (duration) is the interval between evaluations of what is reachable.
	ReachabilityInterval = 200 * time.Millisecond
	// MinSilence (duration) and SilenceGaps (expected gaps between reports) are the silence of
	// all machines of a shard after which they count as unreachable. Reports come at random:
	// fifteen gaps without one happen by chance once in three million.
	MinSilence  = 1 * time.Second
	SilenceGaps = 15
	// ProbeSilenceGaps (expected gaps) and ProbeSilenceIntervals (report intervals) are the
	// silence after which some of the machines are called. Intervals vary by a quarter.
	ProbeSilenceGaps      = 5
	ProbeSilenceIntervals = 1.3
	// ProbeInterval (duration) is how often a controller that receives no reports calls a few
	// workers, to know whether it could serve them, ProbeTimeout (duration) how long it waits and
	// ProbeSampleSize (machines) how many it calls: three calls a second, a tenth of a percent of
	// a core.
	ProbeInterval   = 1200 * time.Millisecond
	ProbeTimeout    = 500 * time.Millisecond
	ProbeSampleSize = 4
	// ProbeRepeatDelay (duration) is the delay before a shard whose holder does not reach it is
	// sampled again; the first sample is taken at once.
	ProbeRepeatDelay = 3 * time.Second
	// ShardTransferAfter (duration) is how long a shard's machines are silent before the shard is
	// transferred to another controller.
	ShardTransferAfter = 1200 * time.Millisecond
	// ShardTransferGain (share) is how much more of the machines the other controller has to reach.
	ShardTransferGain = 0.5
	// PeerUnreachableAfter (duration) is how long a present controller has not answered before it
	// is reported as unreachable. It is longer than StateLeaseTTL, so that a controller that has
	// died is not.
	PeerUnreachableAfter = 3500 * time.Millisecond
	// CloudQueryInterval (duration) is the interval at which a leader that the cloud does not
	// answer asks the other controllers whether it answers them.
	CloudQueryInterval = 2 * time.Second
	// LeadershipPause (duration) is how long a controller that gave up leadership leaves it to
	// the others; claiming it takes moments.
	LeadershipPause = 5 * time.Second
	// CutOffPause (duration) is how long a controller that gave a shard away because its machines
	// were silent is assigned none; it doubles each time up to CutOffPauseMax.
	CutOffPause    = 30 * time.Second
	CutOffPauseMax = 10 * time.Minute
	// ReachabilityWriteInterval (duration) is the interval between writes of a controller's
	// reachability report.
	ReachabilityWriteInterval = 500 * time.Millisecond
)

// Assignment of shards.
const (
	// InitialShardGrace (duration) is how long the leader waits for all controllers at the first
	// start before it assigns the shards.
	InitialShardGrace = 3 * time.Second
	// HomeShardReturnAfter (duration) is how long a restarted controller has been up before it
	// gets its shard again.
	HomeShardReturnAfter = 15 * time.Second
)
