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
	p    Params
	now  Time
	wall time.Time
	out  []any
	seq  uint64
	life uint64 // tells this life from earlier ones in what peers answer: numbers begin anew

	cloudWait map[uint64]func(CloudReply)

	// Own presence.
	member       *membership.Presence
	term         *membership.Term
	wasConfirmed bool
	sureSince    Time // since when confirmed, or not, without a break
	loaded       bool
	loading      bool
	watching     bool
	listSeen     map[string]bool
	listRev      uint64
	rev          uint64 // revision the mirror has reached
	retryAt      map[string]Time
	jitter       *rand.Rand // seeded by the node's name: spreads retries, repeats in tests

	trail                *trail.Trail
	trailRead, trailBusy bool // the record of earlier lives has been read; a call for it is under way

	mirror
	rollout *rollout.Book // what the controllers understand
	holderState
	indexes
	desk     *callqueue.Queue[*machine]           // workers to call directly
	roll     *takeover.PendingMachines[*machine]  // machines to be accounted for
	places   map[int]*reservation.Table[*machine] // by shard: kept for tasks that fit nowhere
	kept     map[string]reservation.Reservation   // by team: of its limit, for a job that does not fit into the rest
	runs     *forecast.Estimator
	calendar *calendar.Book // the crews, and what is planned for their departures
	weights  *weights.Book  // images that many machines want
	chaining
	addrs   *takeover.AddressBook // where workers listen
	listing bool                  // the cloud's list is being read for that
	users
	peers
	ways    *reach.Router[StateReply]
	probing bool // the link to the state service is being tried, while calls go around it
	reaching
	leader leaderState
	form   *limits.Form // what the state service takes
}

// New returns a core that has yet to read the state.
func New(p Params) *Core {
	c := &Core{p: p,
		cloudWait: map[uint64]func(CloudReply){},
		retryAt:   map[string]Time{},
	}
	seed := fnv.New64a()
	_, _ = seed.Write([]byte(p.Node))
	c.jitter = rand.New(rand.NewPCG(seed.Sum64(), 0))
	c.trail = trail.New(trail.Limits{Events: tuning.TrailEvents, Every: tuning.TrailEvery})
	c.mirror = newMirror()
	c.rollout = rollout.New(rollout.Features(), sortedKeys(p.Nodes), c.nodes)
	c.holderState = newHolderState()
	c.started, c.boots, c.progress = starts.New(starts.Limits{}), newBoots(), progress.New(tuning.DoneSpan)
	c.indexes = newIndexes(p.Teams)
	c.objectives = p.Aims
	c.desk = newCallQueue(p)
	c.calendar, c.chaining, c.weights = newCalendar(), newChaining(), newWeights(p.Weights, c.caches)
	c.kept = map[string]reservation.Reservation{}
	c.places = map[int]*reservation.Table[*machine]{}
	c.runs = forecast.New(forecast.Params{PriorTasks: tuning.ForecastPrior, MaxTasks: tuning.ForecastKeep, PriorSpread: tuning.ForecastSpread})
	c.roll, c.addrs = newPendingMachines(), takeover.NewAddressBook()
	c.users = newUsers()
	c.peers = newPeers(p)
	c.ways = newWays()
	c.reaching = newReaching(p, c.nodes)
	// What may go unconfirmed spans several renewals.
	c.member = membership.NewPresence(membership.PresenceTimes{Retry: tuning.RetryAfter, Extend: min(tuning.ExtendEvery, c.unconfirmedMax()/4)})
	c.term = membership.NewTerm(tuning.RetryAfter)
	c.leader.reset(p.ListLag)
	c.form = limits.NewForm(writeLimitParams, limits.Bounds{ValueBytes: p.ValueBytes, Changes: p.TxnOps})
	c.applyWriteLimits(c.form.Bounds())
	return c
}

// Step takes one input at a steady time (and time of day) and returns effects.
func (c *Core) Step(now Time, wall time.Time, in any) []any {
	c.now, c.wall, c.out = now, wall, nil
	if c.life == 0 {
		c.life = uint64(wall.UnixNano())
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
		c.onAdminLadder(v)
	case AdminCrews:
		c.onAdminCrews(v)
	case AdminCrew:
		c.onAdminCrew(v)
	case AdminOrder:
		c.onAdminOrder(v)
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
		if f := c.cloudWait[v.ID]; f != nil {
			delete(c.cloudWait, v.ID)
			f(v.Reply)
		}
	}
	return c.out
}

func (c *Core) cloud(call CloudCall, f func(CloudReply)) {
	c.seq++
	call.ID = c.seq
	sent := c.now
	c.cloudWait[call.ID] = func(r CloudReply) {
		c.cloudSeen(call, sent, r)
		f(r)
	}
	c.out = append(c.out, call)
}

func (c *Core) answer(req uint64, status int, body any) {
	if x, ok := c.relays.TakeOrigin(req); ok { // the report came through a peer, so does its answer
		ans := &RelayAnswer{ID: x.ID, Status: status}
		if r, ok := body.(wire.ReportReply); ok {
			ans.Token, ans.Commands = r.Token, r.Commands
		}
		c.tell(x.From, PeerMessage{Answer: ans})
		return
	}
	a := Answer{Req: req, Status: status, Body: body}
	if status == 503 || status == 429 {
		a.RetryAfter = tuning.RetryHint
	}
	c.out = append(c.out, a)
}

func (c *Core) log(level int, msg string, kv ...any) {
	c.out = append(c.out, Log{Level: level, Msg: msg, KV: kv})
}

// every tells whether a repeated duty is due, and if so sets its next time.
func (c *Core) every(name string, d time.Duration) bool {
	if c.now < c.retryAt[name] {
		return false
	}
	c.retryAt[name] = c.now + d
	return true
}

func (c *Core) tick() {
	c.keepWays()
	c.keepPresence()
	c.keepMirror()
	c.keepVersions()
	c.tellPeers()
	c.giveUpRelays()
	c.askAll()
	if !c.loaded {
		return
	}
	if ok := c.confirmed(); ok != c.wasConfirmed {
		c.wasConfirmed, c.sureSince = ok, c.now
		kind := trail.Unconfirmed
		if ok {
			kind = trail.Confirmed
		}
		c.note(wire.TrailEvent{Kind: kind})
		c.log(1, "entitlement confirmed", "now", ok, "renewed_ago", (c.now - c.member.LastRenewed()).String(), "watched_ago", (c.now - c.member.LastWatched()).String())
	}
	c.lead()
	c.refreshAddresses()
	c.watchReach()
	c.runHolder()
	c.keepTrail()
}

// keepPresence holds a grant, and this node's key on it.
func (c *Core) keepPresence() {
	sent := c.now
	if c.member.StartLeaseRequest(c.now) {
		c.state(StateCall{Op: OpGrant}, func(r StateReply) {
			if r.Status != 200 {
				r.Lease = 0
			}
			news := c.member.LeaseAnswered(c.now, sent, r.Lease)
			switch {
			case r.Lease == 0 && news:
				c.log(0, "no grant from the state service", "status", r.Status, "err", r.Err)
			case news:
				c.log(1, "grants again from the state service")
			}
			if r.Lease != 0 {
				c.keepPresence()
			}
		})
	} else if c.member.StartWrite(c.now) {
		c.writePresence()
	}
	if g, due := c.member.StartRenewal(c.now); due {
		c.state(StateCall{Op: OpExtend, Lease: g}, func(r StateReply) {
			switch c.member.RenewalAnswered(c.now, sent, g, r.Status) {
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
	g, key := c.member.StateLease(), wire.PrefixNode+c.p.Node
	c.state(StateCall{Op: OpGet, Key: key}, func(r StateReply) {
		if r.Status != 200 && r.Status != 404 || c.member.StateLease() != g {
			return
		}
		c.learn(key, r)
		c.commit(LaneFirst, []wire.Condition{{Key: key, Version: r.Item.Version}}, []wire.Change{{Put: key, Value: wire.Node{Boot: c.member.Boot(), Zone: c.p.Zone, Features: c.p.Features}, Lease: g}}, func(r StateReply) {
			if c.member.WriteAnswered(c.now, g, r.Status) {
				c.retake()
				c.log(1, "present", "node", c.p.Node, "boot", c.member.Boot(), "grant", g)
			}
		})
	})
}

// keepMirror reads all live keys once and then follows their changes.
func (c *Core) keepMirror() {
	if c.member.Boot() == 0 {
		return
	}
	if !c.loaded && !c.loading && c.every("load", tuning.RetryAfter) {
		c.loading, c.listSeen, c.listRev = true, map[string]bool{}, 0
		c.loadPage("", c.now)
	}
	if c.loaded && !c.watching && c.now >= c.retryAt["watch"] {
		c.watching = true
		sent := c.now
		c.state(StateCall{Op: OpWatch, Key: wire.LivePrefix, Revision: c.rev, Hold: min(tuning.WatchHold, c.unconfirmedMax()/4)}, func(r StateReply) {
			c.watching = false
			switch r.Status {
			case 200:
				c.member.WatchAnswered(sent)
				c.follow(&r.Events)
				c.keepMirror()
				c.changed()
			case 410:
				c.log(1, "watch too old, reading all keys again")
				c.loading, c.listSeen, c.listRev = true, map[string]bool{}, 0
				c.watching = true // until the list is read
				c.loadPage("", c.now)
			default:
				c.log(2, "watch failed", "status", r.Status, "err", r.Err)
				c.retryAt["watch"] = c.now + tuning.RetryAfter
			}
		})
	}
}

// follow applies changes. Two calls may tell of them, and the later answer of the one may
// come before the earlier one of the other: each event counts with its own revision.
func (c *Core) follow(ev *wire.Events) {
	for _, e := range ev.Events {
		if e.Put != "" {
			c.put(e.Put, e.Value, e.Version)
		} else {
			c.remove(e.Delete, e.Version)
		}
	}
	c.rev = max(c.rev, ev.Revision)
	c.ver.Forget(c.rev, c.oldestCall)
	c.startHoldingShards()
}

func (c *Core) loadPage(after string, began Time) {
	c.state(StateCall{Op: OpList, Key: wire.LivePrefix, After: after}, func(r StateReply) {
		if r.Status != 200 {
			c.loading, c.watching = false, false
			if c.loaded {
				c.retryAt["watch"] = c.now + tuning.RetryAfter
			}
			c.log(0, "state not readable", "status", r.Status, "err", r.Err)
			return
		}
		if c.listRev == 0 {
			c.listRev = r.List.Revision
		}
		last := after
		for _, it := range r.List.Items {
			c.listSeen[it.Key] = true
			c.put(it.Key, it.Value, it.Version)
			last = it.Key
		}
		if r.List.More && len(r.List.Items) > 0 {
			c.loadPage(last, began)
			return
		}
		for _, k := range c.ver.Keys() {
			if !c.listSeen[k] {
				c.remove(k, c.listRev)
			}
		}
		// Changes made while the pages were read come again with the watch.
		c.ver.Read(c.listRev)
		c.rev, c.loading, c.watching, c.listSeen = c.listRev, false, false, nil
		c.member.WatchAnswered(began)
		c.startHoldingShards()
		if !c.loaded {
			c.loaded = true
			for _, id := range c.blockIDs() {
				c.followBoots(nil, c.blocks[id])
			}
			c.note(wire.TrailEvent{Kind: trail.Began, Count: len(c.jobs)})
			c.log(1, "state read", "jobs", len(c.jobs), "blocks", len(c.blocks), "revision", c.rev)
			c.retake()
		}
		c.keepMirror()
		c.changed()
	})
}

// retake claims what this node's earlier life held. That life is dead, so no
// one else can act for it, and its workers' leases are running out. It is present first: a
// record of an earlier life in its place would prove to others that this one is dead.
func (c *Core) retake() {
	if !c.loaded || !c.member.Registered() {
		return
	}
	for _, i := range c.shardIDs() {
		if e := c.shards[i]; e.rec.Holder == c.p.Node && e.rec.Boot != c.member.Boot() {
			c.takeShard(i, c.p.Node, c.member.Boot())
		}
	}
	c.lead()
}

// takeShard writes a new holder; the write's revision is the shard's token.
func (c *Core) takeShard(i int, node string, boot uint64, when ...wire.Condition) {
	e := c.shards[i]
	rec := assignment.WithNewHolder(e.rec, node, boot, tuning.PastLives, c.p.ValueBytes)
	key := shardKey(i)
	if !c.every("take:"+key, tuning.RetryAfter) {
		return
	}
	from := e.rec.Holder
	c.takeovers[i] = taking{rec, from}
	c.commit(LaneFirst, append(when, wire.Condition{Key: key, Version: e.ver}), []wire.Change{{Put: key, Value: rec}}, func(r StateReply) {
		if r.Status == 200 {
			c.noteTaken(i)
		}
		c.log(1, "shard taken", "shard", i, "holder", node, "from", from, "status", r.Status)
		c.changed()
	})
}

// commit writes a transaction; on success the mirror is brought up at once, on
// a conflict the failed keys are read again.
func (c *Core) commit(lane int, when []wire.Condition, then []wire.Change, f func(StateReply)) {
	c.state(StateCall{Op: OpCommit, Lane: lane, Txn: wire.Txn{If: when, Then: then}}, func(r StateReply) {
		switch r.Status {
		case 400:
			c.writeRefused(when, then, r.Err)
		case 200:
			for _, ch := range then {
				c.form.Taken(limits.KindOf(ch.Put))
				if ch.Delete != "" {
					c.remove(ch.Delete, r.Txn.Revision)
				} else if raw, err := wire.Marshal(ch.Value); err == nil {
					c.put(ch.Put, raw, r.Txn.Revision)
				}
			}
		case 409:
			for _, k := range r.Txn.Failed {
				c.refresh(k)
			}
		case 0:
			// The write may have happened: learn what stands there now.
			for _, ch := range then {
				if k := ch.Put + ch.Delete; strings.HasPrefix(k, wire.LivePrefix) {
					c.refresh(k)
				}
			}
		}
		f(r)
	})
}

func (c *Core) sizeOf(typ string) (placement.Size, bool) {
	t, ok := c.types[typ]
	return placement.Size{CPUs: t.CPUs, GPUs: t.GPUs, MemGB: t.MemoryGB}, ok
}

func sortedKeys[V any](m map[string]V) []string {
	return slices.Sorted(maps.Keys(m))
}
