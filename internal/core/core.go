// Package core implements the scheduler as a deterministic state machine: Step takes one input and
// the current time and returns the messages to send and the requests to answer. The package reads no
// clock, does no I/O and starts no goroutine, so that a test can replay any schedule of events.
package core

import (
	"hash/fnv"
	"maps"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/barrowbridge/barrowbridge/internal/assignment"
	"github.com/barrowbridge/barrowbridge/internal/calendar"
	"github.com/barrowbridge/barrowbridge/internal/callqueue"
	"github.com/barrowbridge/barrowbridge/internal/forecast"
	"github.com/barrowbridge/barrowbridge/internal/limits"
	"github.com/barrowbridge/barrowbridge/internal/membership"
	records "github.com/barrowbridge/barrowbridge/internal/mirror"
	"github.com/barrowbridge/barrowbridge/internal/objectives"
	"github.com/barrowbridge/barrowbridge/internal/placement"
	"github.com/barrowbridge/barrowbridge/internal/progress"
	"github.com/barrowbridge/barrowbridge/internal/reach"
	"github.com/barrowbridge/barrowbridge/internal/reservation"
	"github.com/barrowbridge/barrowbridge/internal/rollout"
	"github.com/barrowbridge/barrowbridge/internal/startlog"
	"github.com/barrowbridge/barrowbridge/internal/supply"
	"github.com/barrowbridge/barrowbridge/internal/takeover"
	"github.com/barrowbridge/barrowbridge/internal/trail"
	"github.com/barrowbridge/barrowbridge/internal/tuning"
	"github.com/barrowbridge/barrowbridge/internal/weights"
	"github.com/barrowbridge/barrowbridge/wire"
)

// Time is the monotonic time since the process started.
type Time = time.Duration

// Params holds the settings that the core uses.
type Params struct {
	Node      string            // the name of this controller
	Zone      string            // the zone of this controller
	NodeZones map[string]string // zone of every controller by name, including this one
	Teams     map[string]Team
	// WorkerLease is the duration of a worker's lease, CancelTimeout the time within which an aborted
	// job has stopped everywhere, ReportInterval the time between two reports of a worker.
	WorkerLease, CancelTimeout, ReportInterval time.Duration
	CloudListLag                               time.Duration // how far the cloud's machine list may be behind
	Objectives                                 objectives.Objectives
	MaxTxnOps                                  int      // operations in a transaction of the state service
	MaxValueBytes                              int      // size of a value in the state service
	Version                                    string   // program version, shown to operators
	Features                                   []string // features that this version supports
	Weights                                    weights.Switches
}

// Team is a team's guaranteed capacity (CPUs, GPUs) and its limit (CPUsMax, GPUsMax; +Inf means no limit).
type Team struct {
	CPUs, CPUsMax, GPUs, GPUsMax float64
}

// Core is the scheduling state of one controller.
type Core struct {
	params      Params
	now         Time      // time of the current step
	wall        time.Time // wall-clock time of the current step
	effects     []any     // what the current step returns
	lastID      uint64    // last call or request ID that was assigned
	incarnation uint64    // identifies this process in peers' results, as call IDs restart with each process

	cloudCallbacks map[uint64]func(CloudReply)

	// Presence in the deployment, and loading of the mirror.
	presence               *membership.Presence
	term                   *membership.Term
	wasAuthorized          bool
	authorizationChangedAt Time             // when wasAuthorized last changed
	loaded                 bool             // the mirror has been read completely at least once
	loading                bool             // the list of keys is being read
	watching               bool             // a watch call is in flight
	listing                *records.Listing // the list of keys that is being read
	mirrorRevision         uint64           // revision that the mirror has reached
	notBefore              map[string]Time  // earliest time of the next run, by name of the action
	catchUps               *records.CatchUp // reads of the changes that the mirror lacks after a write has failed
	jitter                 *rand.Rand       // spreads retries; seeded with the node name to be reproducible in tests

	trail                         *trail.Trail
	trailLoaded, trailCallPending bool // whether the stored trail of earlier incarnations has been read, and whether a call for it is in flight

	mirror
	rollout *rollout.Tracker // features that the controllers support
	holderState
	indexes
	callQueue         *callqueue.Queue[*machine]           // workers to be called for an early report
	pendingMachines   *takeover.PendingMachines[*machine]  // machines that are not accounted for after a takeover
	reservations      map[int]*reservation.Table[*machine] // by shard: machines reserved for tasks that fit on no machine
	limitReservations map[string]reservation.Reservation   // by team: part of its limit reserved for a job that does not fit into the rest
	runTimes          *forecast.Estimator
	calendar          *calendar.Planner // crews and the plans for their departures
	weights           *weights.Planner  // distribution of images that many machines need
	dependencyState
	workerAddresses *takeover.AddressBook // addresses that workers listen on
	listingMachines bool                  // a cloud list is being read to restore worker addresses
	userState
	peerState
	stateRoutes  *reach.Router[StateReply]
	probingState bool // a probe of the direct link to the state service is in flight, while calls go through a peer
	reachability
	leader      leaderState
	writeLimits *limits.WriteBounds // sizes of writes that the state service accepts
}

// New returns a core that has not read the state yet.
func New(params Params) *Core {
	c := &Core{
		params:         params,
		cloudCallbacks: map[uint64]func(CloudReply){},
		notBefore:      map[string]Time{},
	}
	hash := fnv.New64a()
	_, _ = hash.Write([]byte(params.Node))
	c.jitter = rand.New(rand.NewPCG(hash.Sum64(), 0))
	c.trail = trail.New(trail.Limits{Events: tuning.MaxTrailEvents, WriteInterval: tuning.TrailWriteInterval})
	c.mirror = newMirror()
	c.catchUps = records.NewCatchUp(tuning.CatchUpOverlapDelay)
	c.rollout = rollout.New(rollout.Features(), sortedKeys(params.NodeZones), c.nodes)
	c.holderState = newHolderState()
	c.startLog, c.provisioning, c.progress = startlog.New(startlog.Limits{}), newProvisioning(), progress.New(tuning.ProgressRecordTasks)
	c.indexes = newIndexes(params.Teams)
	c.objectives = params.Objectives
	c.callQueue = newCallQueue(params)
	c.calendar, c.dependencyState, c.weights = newCalendar(), newDependencyState(), newWeights(params.Weights, c.imageCaches)
	c.limitReservations = map[string]reservation.Reservation{}
	c.reservations = map[int]*reservation.Table[*machine]{}
	c.runTimes = forecast.New(forecast.Params{
		PriorTasks:  tuning.ForecastPriorTasks,
		MaxTasks:    tuning.ForecastMaxTasks,
		PriorSpread: tuning.ForecastPriorSpread,
	})
	c.pendingMachines, c.workerAddresses = newPendingMachines(), takeover.NewAddressBook()
	c.userState = newUserState()
	c.peerState = newPeerState(params)
	c.stateRoutes = newStateRouter()
	c.reachability = newReachability(params, c.nodes)
	// The longest time without confirmation has to span several renewals.
	c.presence = membership.NewPresence(membership.PresenceTimes{
		Retry:  tuning.BackgroundRetryDelay,
		Extend: min(tuning.StateLeaseRenewInterval, c.maxUnconfirmed()/4),
	})
	c.term = membership.NewTerm(tuning.BackgroundRetryDelay)
	c.leader.reset(params.CloudListLag)
	c.writeLimits = limits.NewWriteBounds(writeLimitParams, limits.Bounds{ValueBytes: params.MaxValueBytes, Changes: params.MaxTxnOps})
	c.applyWriteLimits(c.writeLimits.Bounds())
	return c
}

// Step processes one input at a monotonic time and the matching wall-clock time. It returns the effects:
// calls, messages, answers, log lines and metrics.
func (c *Core) Step(now Time, wall time.Time, in any) []any {
	c.now, c.wall, c.effects = now, wall, nil
	if c.incarnation == 0 {
		c.incarnation = uint64(wall.UnixNano())
	}
	switch v := in.(type) {
	case Tick:
		c.tick()
	case Submit:
		c.onSubmit(v)
	case Poll:
		c.onPoll(v)
	case Abort:
		c.onAbort(v)
	case Ready:
		c.onReady(v)
	case WorkerReport:
		c.onReport(v)
	case WorkerCallDone:
		c.onOrderDone(v)
	case Peer:
		c.onPeer(v.Msg)
	case AdminSettings:
		c.onAdminSettings(v)
	case AdminOverview:
		c.onAdminOverview(v)
	case AdminCordon:
		c.onAdminCordon(v)
	case AdminTierOrder:
		c.onAdminTiers(v)
	case AdminCrews:
		c.onAdminCrews(v)
	case AdminCrew:
		c.onAdminCrew(v)
	case AdminServiceOrder:
		c.onAdminJobOrder(v)
	case AdminWhy:
		c.onAdminWhy(v)
	case AdminTrail:
		c.onAdminTrail(v)
	case AdminVersion:
		c.onAdminVersion(v)
	case AdminChain:
		c.onAdminChain(v)
	case AdminReach:
		c.onAdminReach(v)
	case AdminWeights:
		c.onAdminWeights(v)
	case AdminMachine:
		c.onAdminMachine(v)
	case StateDone:
		c.onStateDone(v)
	case CloudDone:
		if done := c.cloudCallbacks[v.ID]; done != nil {
			delete(c.cloudCallbacks, v.ID)
			done(v.Reply)
		}
	}
	return c.effects
}

// callCloud sends a call to the cloud; done is called with its reply.
func (c *Core) callCloud(call CloudCall, done func(CloudReply)) {
	c.lastID++
	call.ID = c.lastID
	sent := c.now
	c.cloudCallbacks[call.ID] = func(reply CloudReply) {
		c.recordCloudOutcome(call, sent, reply)
		done(reply)
	}
	c.effects = append(c.effects, call)
}

// answer answers a request with an HTTP status and a body.
func (c *Core) answer(request uint64, status int, body any) {
	if origin, ok := c.relays.TakeOrigin(request); ok { // the report was relayed by a peer, and so is its answer
		relayed := &RelayAnswer{ID: origin.ID, Status: status}
		if report, ok := body.(wire.ReportReply); ok {
			relayed.Token, relayed.Commands = report.Token, report.Commands
		}
		c.sendToPeer(origin.From, PeerMessage{Answer: relayed})
		return
	}
	response := Answer{Req: request, Status: status, Body: body}
	if status == 503 || status == 429 {
		response.RetryAfter = tuning.UnavailableRetryAfter
	}
	c.effects = append(c.effects, response)
}

// log emits a log line at a level: 0 error, 1 info, 2 debug, 3 warning.
func (c *Core) log(level int, message string, attributes ...any) {
	c.effects = append(c.effects, Log{Level: level, Msg: message, KV: attributes})
}

// dueEvery reports whether the periodic action of this name is due. If so, it schedules the next run
// after the interval.
func (c *Core) dueEvery(name string, interval time.Duration) bool {
	if c.now < c.notBefore[name] {
		return false
	}
	c.notBefore[name] = c.now + interval
	return true
}

// tick runs the periodic actions.
func (c *Core) tick() {
	c.maintainStateRoute()
	c.maintainPresence()
	c.maintainMirror()
	c.sendCatchUp()
	c.publishVersions()
	c.pingPeers()
	c.expireRelays()
	c.answerPolls()
	if !c.loaded {
		return
	}
	if authorized := c.authorized(); authorized != c.wasAuthorized {
		c.wasAuthorized, c.authorizationChangedAt = authorized, c.now
		kind := trail.Unconfirmed
		if authorized {
			kind = trail.Confirmed
		}
		c.recordEvent(wire.TrailEvent{Kind: kind})
		c.log(1, "authority to act changed", "now", authorized,
			"renewed_ago", (c.now - c.presence.LastRenewed()).String(),
			"watched_ago", (c.now - c.presence.LastWatched()).String())
	}
	c.runLeader()
	c.refreshAddresses()
	c.updateReachability()
	c.runHolder()
	c.persistTrail()
}

// maintainPresence acquires and renews this node's state lease, and writes this node's key under it.
func (c *Core) maintainPresence() {
	sent := c.now
	if c.presence.StartLeaseRequest(c.now) {
		c.callState(StateCall{Op: OpGrant}, func(reply StateReply) {
			if reply.Status != 200 {
				reply.Lease = 0
			}
			changed := c.presence.LeaseAnswered(c.now, sent, reply.Lease)
			switch {
			case reply.Lease == 0 && changed:
				c.log(0, "state service did not issue a lease", "status", reply.Status, "err", reply.Err)
			case changed:
				c.log(1, "state service issues leases again")
			}
			if reply.Lease != 0 {
				c.maintainPresence()
			}
		})
	} else if c.presence.StartWrite(c.now) {
		c.writePresence()
	}
	if lease, due := c.presence.StartRenewal(c.now); due {
		c.callState(StateCall{Op: OpExtend, Lease: lease}, func(reply StateReply) {
			switch c.presence.RenewalAnswered(c.now, sent, lease, reply.Status) {
			case membership.Ended:
				c.log(0, "state lease expired, requesting another", "grant", lease)
			case membership.Unanswered:
				c.log(2, "grant not renewed", "status", reply.Status, "err", reply.Err)
			}
		})
	}
}

// writePresence writes this incarnation into this node's key. It reads the key first and makes the write
// conditional on the version read, so that a write of an earlier incarnation that is executed late
// fails. Without the condition, such a write replaced the key, the key was deleted when the earlier
// incarnation's state lease expired, and the others took a running controller for gone.
func (c *Core) writePresence() {
	lease, key := c.presence.StateLease(), wire.PrefixNode+c.params.Node
	c.callState(StateCall{Op: OpGet, Key: key}, func(reply StateReply) {
		if reply.Status != 200 && reply.Status != 404 || c.presence.StateLease() != lease {
			return
		}
		c.commit(LaneAuthority, []wire.Condition{{Key: key, Version: reply.Item.Version}}, []wire.Change{{
			Put:   key,
			Value: wire.Node{Boot: c.presence.Boot(), Zone: c.params.Zone, Features: c.params.Features},
			Lease: lease,
		}}, func(reply StateReply) {
			if c.presence.WriteAnswered(c.now, lease, reply.Status) {
				c.reclaimShards()
				c.log(1, "presence key written", "node", c.params.Node, "boot", c.presence.Boot(), "grant", lease)
			}
		})
	})
}

// reclaimShards takes over the shards that this node's earlier incarnation held. That incarnation has
// ended, so nobody else acts for it, and the leases of its workers are running out. The key of this
// incarnation has to be written first: as long as the key names an earlier incarnation, it proves to
// the others that this one is dead.
func (c *Core) reclaimShards() {
	if !c.loaded || !c.presence.Registered() {
		return
	}
	for _, shard := range c.shardIDs() {
		if entry := c.shards[shard]; entry.record.Holder == c.params.Node && entry.record.Boot != c.presence.Boot() {
			c.assignShard(shard, c.params.Node, c.presence.Boot())
		}
	}
	c.runLeader()
}

// assignShard writes a new holder into a shard's record, under further conditions if any are given. The
// revision of the write is the shard's fencing token.
func (c *Core) assignShard(shard int, node string, boot uint64, conditions ...wire.Condition) {
	entry := c.shards[shard]
	record := assignment.WithNewHolder(entry.record, node, boot, tuning.MaxPastIncarnations, c.params.MaxValueBytes)
	key := shardKey(shard)
	if !c.dueEvery("take:"+key, tuning.BackgroundRetryDelay) {
		return
	}
	from := entry.record.Holder
	c.pendingTransfers[shard] = pendingTransfer{record, from}
	c.commit(LaneAuthority,
		append(conditions, wire.Condition{Key: key, Version: entry.version}),
		[]wire.Change{{Put: key, Value: record}},
		func(reply StateReply) {
			if reply.Status == 200 {
				c.recordShardTaken(shard)
			}
			c.log(1, "shard assigned", "shard", shard, "holder", node, "from", from, "status", reply.Status)
			c.mirrorChanged()
		})
}

// commit writes a transaction and calls done with the reply. On success it applies the changes to the
// mirror at once. After a conflict, or without an answer, the mirror lacks changes or may lack some.
func (c *Core) commit(lane int, conditions []wire.Condition, changes []wire.Change, done func(StateReply)) {
	c.callState(StateCall{Op: OpCommit, Lane: lane, Txn: wire.Txn{If: conditions, Then: changes}}, func(reply StateReply) {
		switch reply.Status {
		case 400:
			c.writeRefused(conditions, changes, reply.Err)
		case 200:
			for _, change := range changes {
				c.writeLimits.RecordSuccess(limits.KindOf(change.Put))
				if change.Delete != "" {
					c.applyDelete(change.Delete, reply.Txn.Revision)
				} else if raw, err := wire.Marshal(change.Value); err == nil {
					c.applyPut(change.Put, raw, reply.Txn.Revision)
				}
			}
		case 409, 0:
			c.catchUp()
		}
		done(reply)
	})
}

// machineSize returns the capacity of a machine type, false if the type is not known.
func (c *Core) machineSize(name string) (placement.Size, bool) {
	machineType, ok := c.machineTypes[name]
	return supply.MachineSize(machineType), ok
}

// sortedKeys returns a map's keys in ascending order, so that every run visits them in the same order.
func sortedKeys[V any](m map[string]V) []string {
	return slices.Sorted(maps.Keys(m))
}
