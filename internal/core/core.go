// Package core is the scheduler as a state machine: Step takes one input with
// the time and returns what to send and answer. It holds no clock, does no I/O
// and starts no goroutine, so that every schedule can be replayed in a test.
package core

import (
	"hash/fnv"
	"maps"
	"math/rand/v2"
	"slices"
	"strings"
	"time"

	"github.com/barrowbridge/barrowbridge/internal/assignment"
	"github.com/barrowbridge/barrowbridge/internal/calendar"
	"github.com/barrowbridge/barrowbridge/internal/callqueue"
	"github.com/barrowbridge/barrowbridge/internal/forecast"
	"github.com/barrowbridge/barrowbridge/internal/limits"
	"github.com/barrowbridge/barrowbridge/internal/membership"
	"github.com/barrowbridge/barrowbridge/internal/objectives"
	"github.com/barrowbridge/barrowbridge/internal/placement"
	"github.com/barrowbridge/barrowbridge/internal/progress"
	"github.com/barrowbridge/barrowbridge/internal/reach"
	"github.com/barrowbridge/barrowbridge/internal/reservation"
	"github.com/barrowbridge/barrowbridge/internal/rollout"
	"github.com/barrowbridge/barrowbridge/internal/starts"
	"github.com/barrowbridge/barrowbridge/internal/takeover"
	"github.com/barrowbridge/barrowbridge/internal/trail"
	"github.com/barrowbridge/barrowbridge/internal/tuning"
	"github.com/barrowbridge/barrowbridge/internal/weights"
	"github.com/barrowbridge/barrowbridge/wire"
)

// Time is steady time since the process began.
type Time = time.Duration

// Params is what the core needs of the settings.
type Params struct {
	Node  string
	Zone  string
	Nodes map[string]string // every controller's zone, this one's included
	Teams map[string]Team
	// Lease, Cancel and Report are the workers' times.
	Lease, Cancel, Report time.Duration
	ListLag               time.Duration
	Aims                  objectives.Objectives
	TxnOps                int
	ValueBytes            int
	Version               string   // of the program, for operators
	Features              []string // that this version understands
	Weights               weights.Switches
}

// Team is a team's guarantee and limit; +Inf: no limit.
type Team struct {
	CPUs, CPUsMax, GPUs, GPUsMax float64
}

// Core is one controller's mind.
type Core struct {
	params      Params
	now         Time
	wall        time.Time
	effects     []any
	lastID      uint64
	incarnation uint64 // tells this life from earlier ones in what peers answer: numbers begin anew

	cloudCallbacks map[uint64]func(CloudReply)

	// Own presence.
	presence              *membership.Presence
	term                  *membership.Term
	wasAuthorized         bool
	confirmationChangedAt Time // since when confirmed, or not, without a break
	loaded                bool
	loading               bool
	watching              bool
	listedKeys            map[string]bool
	listRevision          uint64
	mirrorRevision        uint64 // revision the mirror has reached
	notBefore             map[string]Time
	jitter                *rand.Rand // seeded by the node's name: spreads retries, repeats in tests

	trail                         *trail.Trail
	trailLoaded, trailCallPending bool // the record of earlier lives has been read; a call for it is under way

	mirror
	rollout *rollout.Book // what the controllers understand
	holderState
	indexes
	callQueue         *callqueue.Queue[*machine]           // workers to call directly
	pendingMachines   *takeover.PendingMachines[*machine]  // machines to be accounted for
	reservations      map[int]*reservation.Table[*machine] // by shard: kept for tasks that fit nowhere
	limitReservations map[string]reservation.Reservation   // by team: of its limit, for a job that does not fit into the rest
	runTimes          *forecast.Estimator
	calendar          *calendar.Book // the crews, and what is planned for their departures
	weights           *weights.Book  // images that many machines want
	dependencyState
	workerAddresses *takeover.AddressBook // where workers listen
	listingMachines bool                  // the cloud's list is being read for that
	userState
	peerState
	stateRoutes  *reach.Router[StateReply]
	probingState bool // the link to the state service is being tried, while calls go around it
	reachability
	leader      leaderState
	writeLimits *limits.Form // what the state service takes
}

// New returns a core that has yet to read the state.
func New(p Params) *Core {
	c := &Core{params: p,
		cloudCallbacks: map[uint64]func(CloudReply){},
		notBefore:      map[string]Time{},
	}
	seed := fnv.New64a()
	_, _ = seed.Write([]byte(p.Node))
	c.jitter = rand.New(rand.NewPCG(seed.Sum64(), 0))
	c.trail = trail.New(trail.Limits{Events: tuning.TrailEvents, Every: tuning.TrailEvery})
	c.mirror = newMirror()
	c.rollout = rollout.New(rollout.Features(), sortedKeys(p.Nodes), c.nodes)
	c.holderState = newHolderState()
	c.startLog, c.provisioning, c.progress = starts.New(starts.Limits{}), newProvisioning(), progress.New(tuning.DoneSpan)
	c.indexes = newIndexes(p.Teams)
	c.objectives = p.Aims
	c.callQueue = newCallQueue(p)
	c.calendar, c.dependencyState, c.weights = newCalendar(), newDependencyState(), newWeights(p.Weights, c.imageCaches)
	c.limitReservations = map[string]reservation.Reservation{}
	c.reservations = map[int]*reservation.Table[*machine]{}
	c.runTimes = forecast.New(forecast.Params{PriorTasks: tuning.ForecastPrior, MaxTasks: tuning.ForecastKeep, PriorSpread: tuning.ForecastSpread})
	c.pendingMachines, c.workerAddresses = newPendingMachines(), takeover.NewAddressBook()
	c.userState = newUserState()
	c.peerState = newPeerState(p)
	c.stateRoutes = newStateRouter()
	c.reachability = newReachability(p, c.nodes)
	// What may go unconfirmed spans several renewals.
	c.presence = membership.NewPresence(membership.PresenceTimes{Retry: tuning.RetryAfter, Extend: min(tuning.ExtendEvery, c.maxUnconfirmed()/4)})
	c.term = membership.NewTerm(tuning.RetryAfter)
	c.leader.reset(p.ListLag)
	c.writeLimits = limits.NewForm(writeLimitParams, limits.Bounds{ValueBytes: p.ValueBytes, Changes: p.TxnOps})
	c.applyWriteLimits(c.writeLimits.Bounds())
	return c
}

// Step takes one input at a steady time (and time of day) and returns effects.
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
	case OrderDone:
		c.onOrderDone(v)
	case Peer:
		c.onPeer(v.Msg)
	case AdminSettings:
		c.onAdminSettings(v)
	case AdminOverview:
		c.onAdminOverview(v)
	case AdminCordon:
		c.onAdminCordon(v)
	case AdminLadder:
		c.onAdminTiers(v)
	case AdminCrews:
		c.onAdminCrews(v)
	case AdminCrew:
		c.onAdminCrew(v)
	case AdminOrder:
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
		if f := c.cloudCallbacks[v.ID]; f != nil {
			delete(c.cloudCallbacks, v.ID)
			f(v.Reply)
		}
	}
	return c.effects
}

func (c *Core) callCloud(call CloudCall, f func(CloudReply)) {
	c.lastID++
	call.ID = c.lastID
	sent := c.now
	c.cloudCallbacks[call.ID] = func(r CloudReply) {
		c.recordCloudOutcome(call, sent, r)
		f(r)
	}
	c.effects = append(c.effects, call)
}

func (c *Core) answer(req uint64, status int, body any) {
	if x, ok := c.relays.TakeOrigin(req); ok { // the report came through a peer, so does its answer
		ans := &RelayAnswer{ID: x.ID, Status: status}
		if r, ok := body.(wire.ReportReply); ok {
			ans.Token, ans.Commands = r.Token, r.Commands
		}
		c.sendToPeer(x.From, PeerMessage{Answer: ans})
		return
	}
	a := Answer{Req: req, Status: status, Body: body}
	if status == 503 || status == 429 {
		a.RetryAfter = tuning.RetryHint
	}
	c.effects = append(c.effects, a)
}

func (c *Core) log(level int, msg string, kv ...any) {
	c.effects = append(c.effects, Log{Level: level, Msg: msg, KV: kv})
}

// every tells whether a repeated duty is due, and if so sets its next time.
func (c *Core) dueEvery(name string, d time.Duration) bool {
	if c.now < c.notBefore[name] {
		return false
	}
	c.notBefore[name] = c.now + d
	return true
}

func (c *Core) tick() {
	c.maintainStateRoute()
	c.maintainPresence()
	c.maintainMirror()
	c.publishVersions()
	c.pingPeers()
	c.expireRelays()
	c.answerPolls()
	if !c.loaded {
		return
	}
	if ok := c.authorized(); ok != c.wasAuthorized {
		c.wasAuthorized, c.confirmationChangedAt = ok, c.now
		kind := trail.Unconfirmed
		if ok {
			kind = trail.Confirmed
		}
		c.recordEvent(wire.TrailEvent{Kind: kind})
		c.log(1, "entitlement confirmed", "now", ok, "renewed_ago", (c.now - c.presence.LastRenewed()).String(), "watched_ago", (c.now - c.presence.LastWatched()).String())
	}
	c.runLeader()
	c.refreshAddresses()
	c.updateReachability()
	c.runHolder()
	c.persistTrail()
}

// keepPresence holds a grant, and this node's key on it.
func (c *Core) maintainPresence() {
	sent := c.now
	if c.presence.StartLeaseRequest(c.now) {
		c.callState(StateCall{Op: OpGrant}, func(r StateReply) {
			if r.Status != 200 {
				r.Lease = 0
			}
			news := c.presence.LeaseAnswered(c.now, sent, r.Lease)
			switch {
			case r.Lease == 0 && news:
				c.log(0, "no grant from the state service", "status", r.Status, "err", r.Err)
			case news:
				c.log(1, "grants again from the state service")
			}
			if r.Lease != 0 {
				c.maintainPresence()
			}
		})
	} else if c.presence.StartWrite(c.now) {
		c.writePresence()
	}
	if g, due := c.presence.StartRenewal(c.now); due {
		c.callState(StateCall{Op: OpExtend, Lease: g}, func(r StateReply) {
			switch c.presence.RenewalAnswered(c.now, sent, g, r.Status) {
			case membership.Ended:
				c.log(0, "grant ended, taking another", "grant", g)
			case membership.Unanswered:
				c.log(2, "grant not renewed", "status", r.Status, "err", r.Err)
			}
		})
	}
}

// writePresence puts this life into this node's key, which it reads first: compared with what
// stands there, the write of an earlier life that is executed late fails. It once replaced the
// key and took it along when its own grant ended, and a controller that ran was taken for gone.
func (c *Core) writePresence() {
	g, key := c.presence.StateLease(), wire.PrefixNode+c.params.Node
	c.callState(StateCall{Op: OpGet, Key: key}, func(r StateReply) {
		if r.Status != 200 && r.Status != 404 || c.presence.StateLease() != g {
			return
		}
		c.applyRead(key, r)
		c.commit(LaneFirst, []wire.Condition{{Key: key, Version: r.Item.Version}}, []wire.Change{{Put: key, Value: wire.Node{Boot: c.presence.Boot(), Zone: c.params.Zone, Features: c.params.Features}, Lease: g}}, func(r StateReply) {
			if c.presence.WriteAnswered(c.now, g, r.Status) {
				c.reclaimShards()
				c.log(1, "present", "node", c.params.Node, "boot", c.presence.Boot(), "grant", g)
			}
		})
	})
}

// keepMirror reads all live keys once and then follows their changes.
func (c *Core) maintainMirror() {
	if c.presence.Boot() == 0 {
		return
	}
	if !c.loaded && !c.loading && c.dueEvery("load", tuning.RetryAfter) {
		c.loading, c.listedKeys, c.listRevision = true, map[string]bool{}, 0
		c.loadPage("", c.now)
	}
	if c.loaded && !c.watching && c.now >= c.notBefore["watch"] {
		c.watching = true
		sent := c.now
		c.callState(StateCall{Op: OpWatch, Key: wire.LivePrefix, Revision: c.mirrorRevision, Hold: min(tuning.WatchHold, c.maxUnconfirmed()/4)}, func(r StateReply) {
			c.watching = false
			switch r.Status {
			case 200:
				c.presence.WatchAnswered(sent)
				c.applyEvents(&r.Events)
				c.maintainMirror()
				c.mirrorChanged()
			case 410:
				c.log(1, "watch too old, reading all keys again")
				c.loading, c.listedKeys, c.listRevision = true, map[string]bool{}, 0
				c.watching = true // until the list is read
				c.loadPage("", c.now)
			default:
				c.log(2, "watch failed", "status", r.Status, "err", r.Err)
				c.notBefore["watch"] = c.now + tuning.RetryAfter
			}
		})
	}
}

// follow applies changes. Two calls may tell of them, and the later answer of the one may
// come before the earlier one of the other: each event counts with its own revision.
func (c *Core) applyEvents(ev *wire.Events) {
	for _, e := range ev.Events {
		if e.Put != "" {
			c.applyPut(e.Put, e.Value, e.Version)
		} else {
			c.applyDelete(e.Delete, e.Version)
		}
	}
	c.mirrorRevision = max(c.mirrorRevision, ev.Revision)
	c.versions.Forget(c.mirrorRevision, c.oldestCall)
	c.startHoldingShards()
}

func (c *Core) loadPage(after string, began Time) {
	c.callState(StateCall{Op: OpList, Key: wire.LivePrefix, After: after}, func(r StateReply) {
		if r.Status != 200 {
			c.loading, c.watching = false, false
			if c.loaded {
				c.notBefore["watch"] = c.now + tuning.RetryAfter
			}
			c.log(0, "state not readable", "status", r.Status, "err", r.Err)
			return
		}
		if c.listRevision == 0 {
			c.listRevision = r.List.Revision
		}
		last := after
		for _, it := range r.List.Items {
			c.listedKeys[it.Key] = true
			c.applyPut(it.Key, it.Value, it.Version)
			last = it.Key
		}
		if r.List.More && len(r.List.Items) > 0 {
			c.loadPage(last, began)
			return
		}
		for _, k := range c.versions.Keys() {
			if !c.listedKeys[k] {
				c.applyDelete(k, c.listRevision)
			}
		}
		// Changes made while the pages were read come again with the watch.
		c.versions.Read(c.listRevision)
		c.mirrorRevision, c.loading, c.watching, c.listedKeys = c.listRevision, false, false, nil
		c.presence.WatchAnswered(began)
		c.startHoldingShards()
		if !c.loaded {
			c.loaded = true
			for _, id := range c.blockIDs() {
				c.trackProvisioning(nil, c.blocks[id])
			}
			c.recordEvent(wire.TrailEvent{Kind: trail.Began, Count: len(c.jobs)})
			c.log(1, "state read", "jobs", len(c.jobs), "blocks", len(c.blocks), "revision", c.mirrorRevision)
			c.reclaimShards()
		}
		c.maintainMirror()
		c.mirrorChanged()
	})
}

// retake claims what this node's earlier life held. That life is dead, so no
// one else can act for it, and its workers' leases are running out. It is present first: a
// record of an earlier life in its place would prove to others that this one is dead.
func (c *Core) reclaimShards() {
	if !c.loaded || !c.presence.Registered() {
		return
	}
	for _, i := range c.shardIDs() {
		if e := c.shards[i]; e.record.Holder == c.params.Node && e.record.Boot != c.presence.Boot() {
			c.assignShard(i, c.params.Node, c.presence.Boot())
		}
	}
	c.runLeader()
}

// takeShard writes a new holder; the write's revision is the shard's token.
func (c *Core) assignShard(i int, node string, boot uint64, when ...wire.Condition) {
	e := c.shards[i]
	rec := assignment.WithNewHolder(e.record, node, boot, tuning.PastLives, c.params.ValueBytes)
	key := shardKey(i)
	if !c.dueEvery("take:"+key, tuning.RetryAfter) {
		return
	}
	from := e.record.Holder
	c.takeovers[i] = pendingTransfer{rec, from}
	c.commit(LaneFirst, append(when, wire.Condition{Key: key, Version: e.version}), []wire.Change{{Put: key, Value: rec}}, func(r StateReply) {
		if r.Status == 200 {
			c.recordShardTaken(i)
		}
		c.log(1, "shard taken", "shard", i, "holder", node, "from", from, "status", r.Status)
		c.mirrorChanged()
	})
}

// commit writes a transaction; on success the mirror is brought up at once, on
// a conflict the failed keys are read again.
func (c *Core) commit(lane int, when []wire.Condition, then []wire.Change, f func(StateReply)) {
	c.callState(StateCall{Op: OpCommit, Lane: lane, Txn: wire.Txn{If: when, Then: then}}, func(r StateReply) {
		switch r.Status {
		case 400:
			c.writeRefused(when, then, r.Err)
		case 200:
			for _, ch := range then {
				c.writeLimits.Taken(limits.KindOf(ch.Put))
				if ch.Delete != "" {
					c.applyDelete(ch.Delete, r.Txn.Revision)
				} else if raw, err := wire.Marshal(ch.Value); err == nil {
					c.applyPut(ch.Put, raw, r.Txn.Revision)
				}
			}
		case 409:
			for _, k := range r.Txn.Failed {
				c.rereadKey(k)
			}
		case 0:
			// The write may have happened: learn what stands there now.
			for _, ch := range then {
				if k := ch.Put + ch.Delete; strings.HasPrefix(k, wire.LivePrefix) {
					c.rereadKey(k)
				}
			}
		}
		f(r)
	})
}

func (c *Core) machineSize(typ string) (placement.Size, bool) {
	t, ok := c.machineTypes[typ]
	return placement.Size{CPUs: t.CPUs, GPUs: t.GPUs, MemGB: t.MemoryGB}, ok
}

func sortedKeys[V any](m map[string]V) []string {
	return slices.Sorted(maps.Keys(m))
}
