package core

import (
	"cmp"
	"maps"
	"slices"

	"github.com/barrowbridge/barrowbridge/internal/duty"
	"github.com/barrowbridge/barrowbridge/internal/health"
	"github.com/barrowbridge/barrowbridge/internal/hearing"
	"github.com/barrowbridge/barrowbridge/internal/ledger"
	"github.com/barrowbridge/barrowbridge/internal/placement"
	"github.com/barrowbridge/barrowbridge/internal/ranges"
	"github.com/barrowbridge/barrowbridge/internal/supply"
	"github.com/barrowbridge/barrowbridge/internal/trail"
	"github.com/barrowbridge/barrowbridge/internal/tuning"
	"github.com/barrowbridge/barrowbridge/internal/wants"
	"github.com/barrowbridge/barrowbridge/wire"
)

// holder is what this controller knows as the holder of shards: the machines
// of their blocks, and the tasks on them.
type holderState struct {
	machines                                    map[string]*machine
	heldShards                                  map[int]bool // shards this life holds and has taken up
	grantedShards                               map[int]bool // shards granted, the mirror not there yet
	unreconciledShards                          map[int]bool // shards taken over, not all machines accounted for yet
	placementDue                                bool         // a placement pass is due
	writingJobs, writingProgress, writingImages bool
	lastAttemptNumber                           uint64
	publishedDemand                             map[int]wire.Want
	demandPublishers                            map[int]*wants.Teller // of held shards
	peerDemand                                  *wants.Board          // what other holders lack
	verifyingShard                              bool
	startsInFlight                              map[int]bool // shards whose starts are being written
	startsRetryAt                               map[int]Time // when a shard's starts may be written next
	startsPacedUntil                            map[int]Time // when those that are not urgent may be
	taskHealth                                  *health.Book
	firstUseUnwritten                           map[string]bool // machines that are up, and fresh in the state
	urgentBlocks                                map[string]bool // blocks with fresh machines that are up
	takeovers                                   map[int]taking
	shardHeldSince                              map[int]Time      // when a held shard was taken up
	previousHolderDeadSince                     map[int]Time      // since when the life a shard was taken from is known to be dead
	vacating                                    map[string]bool   // blocks being emptied for another shard's guarantee
	idleMarkVersions                            map[string]uint64 // blocks whose mark as idle has been sent, and at which version
	starvedSince                                map[int]Time      // since when a shard's guaranteed work finds no room
	urgentReserve                               *supply.Reserve   // room kept for urgent tasks

	machinesByName []*machine            // by name; nil: to be made again
	attemptsByTask map[string][]*attempt // task -> its attempts on machines
}

// machine is one machine of a block this controller holds.
type machine struct {
	name, block, machineType, zone string
	shard                          int
	spot, base, returning          bool
	fresh                          bool   // nothing may be started here before the block's record says so
	heldSince                      Time   // held since
	takeoverToken                  uint64 // a report carrying this token or a later one accounts for it
	inherited                      bool   // an earlier holder may have started tasks here
	accounted                      bool
	reported                       bool // has ever reported to us
	session, seq                   uint64
	lastReport                     Time
	lastAnswered                   Time // when our last 200 left
	addr                           string
	reportedToken                  uint64 // the highest its worker has named
	currentReportsProven           bool   // has shown what only we can have told it
	unprovenAnswers                int    // answers given on reports that prove nothing
	unprovenAnsweredAt             Time
	delivery                       hearing.Ear
	raisedToken                    uint64 // token of our last call that was to make it report
	earlyCallAt                    Time
	moving                         bool // its replicas are being moved off
	leaseOver                      bool // its lease is surely over; confirmed by the state
	silentWithMany                 bool // it fell silent with many others
	silent                         bool // its reports stay away
	terminationNotice              bool
	terminatesAt                   Time
	attempts                       map[attemptKey]*attempt
	idleSince                      Time
	images                         map[string]bool
	usage                          machineUsage
	dirty                          bool // see books
}

// machineSum is what a machine has left and what each team has on it. It is
// made again when the machine's attempts or its type have changed.
type machineUsage struct {
	valid           bool
	sizesVersion    int // state of the machine types it was made with
	free            placement.Size
	teams           []ledger.Use
	unknownAttempts int // attempts of unknown size
}

type attemptKey struct {
	task   string
	number uint64
}

// attempt is one try of a task on a machine. It counts as possibly there from
// its reservation until a newer report, a deletion or the end of the lease
// says otherwise.
type attempt struct {
	key                     attemptKey
	job                     string
	taskIndex               int
	team                    string
	size                    placement.Size
	sizeKnown               bool // size and team are known
	belowUrgent             bool // gives way to urgent work
	countedSound            bool // a replica that has run for long
	idlePriority            bool // gives way to all other work
	machine                 *machine
	status                  string // "" until reported
	cause                   string
	startSent               bool
	stopping                bool
	stopGraceS              float64
	createdAt, runningSince Time
}

// jobRun is what the holder knows of a job's tasks.
type jobRun struct {
	active            map[int]*attempt
	retryIndexes      []int // started once, nowhere now, to be started again
	nextIndex         int   // first index never reserved
	inheritedBelow    int   // tasks below this may run on inherited machines; 0 once settled
	done              ranges.Set
	notBefore         Time // after failures: nothing is started before this
	failures          int
	zone              string // chosen for a gang that must be in one zone
	waitingSince      Time   // known here, or waiting for room again, since
	progressWrittenAt Time   // when its progress was last written
	writeInFlight     bool   // a write of its record is under way

	passedOverSince Time // since when places without its image have been left to others; 0: not
}

func newHolderState() holderState {
	return holderState{taskHealth: newHealth(), startsInFlight: map[int]bool{}, startsRetryAt: map[int]Time{}, startsPacedUntil: map[int]Time{}, firstUseUnwritten: map[string]bool{}, takeovers: map[int]taking{}, machines: map[string]*machine{}, attemptsByTask: map[string][]*attempt{}, heldShards: map[int]bool{}, grantedShards: map[int]bool{}, unreconciledShards: map[int]bool{}, publishedDemand: map[int]wire.Want{}, demandPublishers: map[int]*wants.Teller{}, peerDemand: wants.NewBoard(demandPace),
		urgentBlocks: map[string]bool{}, shardHeldSince: map[int]Time{}, previousHolderDeadSince: map[int]Time{}, vacating: map[string]bool{}, idleMarkVersions: map[string]uint64{}, starvedSince: map[int]Time{},
		urgentReserve: supply.NewReserve(supply.ReserveLimits{Memory: tuning.UrgentMemory, Window: tuning.ArrivalWindow})}
}

// jobSeen is called for every new version of a live job.
func (c *Core) jobChanged(e *jobEntry) {
	c.markJobDirty(e)
	shard := c.shardOf(e.rec.Team)
	if !c.mine(shard) {
		e.run = nil
		return
	}
	firstSeen := e.run == nil
	if firstSeen {
		e.run = &jobRun{waitingSince: c.now, active: map[int]*attempt{}, nextIndex: e.rec.Started, done: c.known(e).Clone()}
		if e.rec.Started > 0 {
			e.run.inheritedBelow = e.rec.Started
			if s, _ := c.started.Of(e.rec.ID); s.Bad && len(e.run.done) == 0 {
				// Otherwise a whole array that fails everywhere starts anew with each takeover.
				c.taskHealth.Condemn(c.now, e.rec.ID)
				e.run.notBefore = c.taskHealth.NotBefore(e.rec.ID)
			}
			c.reconcileJob(e, shard, true)
			c.awaitMachines(e)
			c.noteHeld(e, shard)
		}
	}
	if e.prio >= urgentRank {
		if c.urgentReserve.Seen(c.now, shard, jobSize(&e.rec), e.rank, firstSeen && e.rec.Started == 0) {
			c.markShardDirty(shard) // room is counted in tasks of this size
		}
	}
	if e.rec.Started > e.run.nextIndex {
		// Someone wrote further starts before we took over: a late write of the
		// earlier holder. Those may have been started.
		e.run.inheritedBelow, e.run.nextIndex = e.rec.Started, e.rec.Started
		c.reconcileJob(e, shard, c.unreconciledShards[shard])
		c.awaitMachines(e)
		c.noteHeld(e, shard)
	}
	e.run.done = e.run.done.Union(c.known(e))
}

// jobGone is called when a job has left the live keys: done or aborted. What
// of it is still on machines is stopped there and counts until it is gone.
func (c *Core) jobRemoved(e *jobEntry) {
	c.markJobDirty(e)
	c.taskHealth.ForgetJob(e.rec.ID)
	if e.run == nil {
		return
	}
	for _, k := range sortedIntKeys(e.run.active) { // machines are called in the order in which they are asked for
		a := e.run.active[k]
		if !a.startSent && a.status == "" {
			c.removeAttempt(a)
		} else {
			c.requestReport(a.machine, false) // what of it still runs is stopped, and its place is free sooner
		}
	}
	e.run = nil
}

// heldMachines lists the machines of the held blocks by name.
func (c *Core) heldMachines() []*machine {
	if c.machinesByName == nil {
		c.machinesByName = slices.AppendSeq(make([]*machine, 0, len(c.machines)), maps.Values(c.machines))
		slices.SortFunc(c.machinesByName, func(a, b *machine) int { return cmp.Compare(a.name, b.name) })
	}
	return c.machinesByName
}

// dropMachine forgets a machine, and the attempts that were on it.
func (c *Core) forgetMachine(m *machine) {
	for _, a := range m.attempts {
		c.removeAttempt(a)
	}
	if m.inherited && !m.accounted {
		c.unaccountedMachines[m.shard]--
	}
	delete(c.machines, m.name)
	delete(c.comingMachines, m)
	if b := c.places[m.shard]; b != nil {
		b.Drop(m)
	}
	c.taskHealth.ForgetMachine(m.name)
	c.weights.Gone(m.name)
	c.capacity.Drop(m)
	c.desk.Forget(m)
	c.roll.Drop(m)
	c.machinesByName = nil
}

// addAttempt and dropAttempt are the only ones to change what is on a machine.
func (c *Core) addAttempt(a *attempt) {
	a.machine.attempts[a.key] = a
	if a.idlePriority {
		c.idleAttempts[a.machine]++
	}
	a.machine.usage.valid = false
	c.markDirty(a.machine)
	c.attemptsByTask[a.key.task] = append(c.attemptsByTask[a.key.task], a)
}

func (c *Core) removeAttempt(a *attempt) {
	if a.machine.attempts[a.key] == a && a.idlePriority {
		if c.idleAttempts[a.machine]--; c.idleAttempts[a.machine] == 0 {
			delete(c.idleAttempts, a.machine)
		}
	}
	delete(a.machine.attempts, a.key)
	a.machine.usage.valid = false
	c.markDirty(a.machine)
	list := c.attemptsByTask[a.key.task]
	for i, other := range list {
		if other == a {
			list = append(list[:i], list[i+1:]...)
			break
		}
	}
	if len(list) == 0 {
		delete(c.attemptsByTask, a.key.task)
	} else {
		c.attemptsByTask[a.key.task] = list
	}
}

// shardSeen is called for every new version of a shard record.
func (c *Core) shardChanged(shard int, old *shardEntry) {
	c.placementDue = true
	delete(c.yielded, shard)
	if old != nil {
		c.words.Moved(c.now, &old.rec, &c.shards[shard].rec)
	}
	namesUs := c.member.Boot() != 0 && c.shards[shard].rec.Holder == c.p.Node && c.shards[shard].rec.Boot == c.member.Boot()
	if current := c.shards[shard]; old == nil || old.rec.Holder != current.rec.Holder || old.rec.Boot != current.rec.Boot || !slices.Equal(old.rec.Teams, current.rec.Teams) {
		c.vouch.Granted(shardKey(shard), current.ver, namesUs)
	}
	if namesUs && c.heldShards[shard] && old != nil && duty.Regained(old.rec, c.shards[shard].rec) {
		c.stopHoldingShard(shard) // another held it, and what it did is not in our mirror yet
	}
	switch {
	case namesUs && !c.heldShards[shard]:
		c.grantedShards[shard] = true
		c.startHoldingShards()
	case namesUs:
		for _, id := range sortedKeys(c.jobs) { // of a team homed here just now
			if e := c.jobs[id]; e.run == nil && c.shardOf(e.rec.Team) == shard {
				c.jobChanged(e)
			}
		}
	default:
		delete(c.grantedShards, shard)
		if c.heldShards[shard] {
			c.stopHoldingShard(shard)
		}
	}
}

// enterShards takes up shards granted to us, each once the mirror has reached
// the granting write. Our own commits enter the mirror ahead of the watch; to
// act on the grant before all that the earlier holder wrote has been seen
// would mean to start what its last writes say it has started.
func (c *Core) startHoldingShards() {
	for _, shard := range c.shardIDs() {
		if !c.grantedShards[shard] || c.rev < c.shards[shard].ver {
			continue
		}
		delete(c.grantedShards, shard)
		c.heldShards[shard], c.unreconciledShards[shard], c.shardHeldSince[shard] = true, true, c.now
		delete(c.previousHolderDeadSince, shard)
		for _, id := range c.blockIDs() {
			if b := c.blocks[id]; b.rec.Shard == shard {
				c.holdMachines(b, !b.rec.Idle)
			}
		}
		c.relook = true
		c.runs.Import(c.biases[biasKey(shard)].Classes)
		c.noteShard(trail.ShardHeld, shard, wire.TrailEvent{Token: c.shards[shard].ver})
		c.log(1, "holding shard", "shard", shard, "token", c.shards[shard].ver, "teams", len(c.shards[shard].rec.Teams))
		for _, id := range sortedKeys(c.jobs) {
			if e := c.jobs[id]; c.shardOf(e.rec.Team) == shard {
				c.jobChanged(e)
			}
		}
		c.reconcileShards()
	}
}

func (c *Core) stopHoldingShard(shard int) {
	delete(c.heldShards, shard)
	delete(c.unreconciledShards, shard)
	delete(c.demandPublishers, shard)
	delete(c.places, shard)
	c.weights.Left(shard)
	for _, m := range c.heldMachines() {
		if m.shard == shard {
			c.forgetMachine(m)
		}
	}
	for _, e := range c.jobsByAge() {
		if c.shardOf(e.rec.Team) == shard && e.run != nil {
			e.run = nil
			c.markJobDirty(e)
		}
	}
	newHolder := c.shards[shard].rec.Holder
	if y, ok := c.yielded[shard]; ok { // its record here is older than what a peer has told
		newHolder = y
	}
	c.noteShard(trail.ShardLost, shard, wire.TrailEvent{Node: newHolder, Token: c.shards[shard].ver})
	c.log(1, "shard lost", "shard", shard, "to", newHolder)
}

// blockSeen is called for every new version of a block, or its removal.
func (c *Core) blockChanged(id string, old *blockEntry) {
	c.placementDue = true
	b := c.blocks[id]
	if b != nil && (old == nil || old.rec.Shard != b.rec.Shard) {
		c.vouch.Granted(blockKey(id), b.ver, c.heldShards[b.rec.Shard] || c.grantedShards[b.rec.Shard])
	}
	listed := map[string]bool{}
	if b != nil && c.mine(b.rec.Shard) {
		// Gained while holding: rented just now, or promised empty by another
		// shard. Nothing of ours can be on it.
		c.holdMachines(b, false)
		for _, bm := range b.rec.Machines {
			listed[bm.Name] = true
		}
	}
	if old == nil {
		return
	}
	if _, sent := c.idleMarkVersions[id]; sent || b != nil && b.rec.Idle != old.rec.Idle {
		delete(c.idleMarkVersions, id)
		c.markBlockDirty(id)
	}
	for _, bm := range old.rec.Machines {
		if m := c.machines[bm.Name]; m != nil && m.block == id && !listed[bm.Name] {
			// The leader takes a name out only once the cloud has deleted it, or
			// the block moved, which only an empty one does.
			if b != nil && b.rec.Shard != m.shard {
				c.sendToNextHolder(m, b)
			}
			c.noteMachine(trail.MachineGone, m, wire.TrailEvent{Count: len(m.attempts), Why: "left its block"})
			c.machineGone(m, "deleted")
			c.forgetMachine(m)
			delete(c.vacating, id)
		}
	}
}

func (c *Core) holdMachines(b *blockEntry, inherited bool) {
	for _, bm := range b.rec.Machines {
		m := c.machines[bm.Name]
		if m == nil {
			m = &machine{name: bm.Name, block: b.id, machineType: b.rec.Type, zone: b.rec.Zone, spot: b.rec.Spot,
				shard: b.rec.Shard, heldSince: c.now, takeoverToken: c.token(b), inherited: inherited && !bm.Empty && (!bm.Fresh || c.useRecorded(bm.Name)),
				attempts: map[attemptKey]*attempt{}, images: map[string]bool{},
				idleSince: c.now, lastReport: c.now}
			for _, image := range c.caches.Of(bm.Name) {
				m.images[image] = true
			}
			c.machines[bm.Name] = m
			c.machinesByName = nil
			if m.inherited {
				c.unaccountedMachines[m.shard]++
				c.roll.Add(m, false)
			}
		} else if m.shard != b.rec.Shard && m.inherited && !m.accounted {
			c.unaccountedMachines[m.shard]--
			c.unaccountedMachines[b.rec.Shard]++
		}
		m.fresh = bm.Fresh && !c.useRecorded(bm.Name)
		// A block may move between two shards of one holder: a machine left in
		// its old shard would take that shard's tasks, and lose them from sight
		// with the next change of hands.
		m.shard, m.base, m.returning = b.rec.Shard, b.rec.Base, m.returning || bm.Drop || c.cordons[bm.Name].Drain
		c.markDirty(m)
	}
}

func sortedAttemptKeys(m *machine) []attemptKey {
	return slices.SortedFunc(maps.Keys(m.attempts), func(a, b attemptKey) int {
		return cmp.Or(cmp.Compare(a.task, b.task), cmp.Compare(a.number, b.number))
	})
}

// attemptGone takes an attempt off its machine; its task is started again
// unless it is done.
func (c *Core) attemptLost(a *attempt, why string) {
	c.hasten(a)
	c.removeAttempt(a)
	c.placementDue = true
	e := c.jobs[a.job]
	if e == nil || e.run == nil || e.run.active[a.taskIndex] != a {
		return
	}
	c.deactivateAttempt(e, a)
	c.noteTask(trail.TaskLost, a, why)
	c.log(2, "task to be started again", "task", a.key.task, "try", a.key.number, "machine", a.machine.name, "why", why)
}

// endActive marks that a's task is nowhere now.
func (c *Core) deactivateAttempt(e *jobEntry, a *attempt) {
	c.markJobDirty(e)
	delete(e.run.active, a.taskIndex)
	if other := c.otherAttempt(a); other != nil {
		// A delayed report named it on one machine while it was on another:
		// only when the last of them is gone may it start again.
		e.run.active[a.taskIndex] = other
		return
	}
	if !e.run.done.Has(a.taskIndex) {
		e.run.retryIndexes = append(e.run.retryIndexes, a.taskIndex)
		e.run.waitingSince = c.now
	}
}

// elsewhere finds another attempt of a's task that may be on a machine.
func (c *Core) otherAttempt(a *attempt) *attempt {
	var found *attempt
	for _, other := range c.attemptsByTask[a.key.task] {
		if other != a && other.status != wire.TaskEnded && (found == nil || other.machine.name < found.machine.name || other.machine == found.machine && other.key.number < found.key.number) {
			found = other
		}
	}
	return found
}

// hold does the holder's duties.
func (c *Core) runHolder() {
	c.checkLeases()
	c.vacate()
	c.keepChains()
	c.planCrews()
	c.planHolds()
	if c.placementDue {
		c.placementDue = false
		c.placeTasks()
	}
	c.preempt()
	c.flush()
	c.queryPendingMachines()
	c.callQueuedWorkers()
	c.publishDemand()
}
