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
type holder struct {
	machines                         map[string]*machine
	held                             map[int]bool // shards this life holds and has taken up
	pending                          map[int]bool // shards granted, the mirror not there yet
	unsettle                         map[int]bool // shards taken over, not all machines accounted for yet
	dirty                            bool         // a placement pass is due
	flushing, flushingLater, telling bool
	tryNo                            uint64
	wantSent                         map[int]wire.Want
	tellers                          map[int]*wants.Teller // of held shards
	lacks                            *wants.Board          // what other holders lack
	checking                         bool
	startsBusy                       map[int]bool // shards whose starts are being written
	startsAt                         map[int]Time // when a shard's starts may be written next
	startsNext                       map[int]Time // when those that are not urgent may be
	health                           *health.Book
	warm                             map[string]bool // machines that are up, and fresh in the state
	used                             map[string]bool // blocks with fresh machines that are up
	taking                           map[int]taking
	entered                          map[int]Time      // when a held shard was taken up
	prevDead                         map[int]Time      // since when the life a shard was taken from is known to be dead
	vacating                         map[string]bool   // blocks being emptied for another shard's guarantee
	offered                          map[string]uint64 // blocks whose mark as idle has been sent, and at which version
	dire                             map[int]Time      // since when a shard's guaranteed work finds no room
	reserve                          *supply.Reserve   // room kept for urgent tasks

	machineList []*machine            // by name; nil: to be made again
	onTask      map[string][]*attempt // task -> its attempts on machines
}

// machine is one machine of a block this controller holds.
type machine struct {
	name, block, typ, zone string
	shard                  int
	spot, base, drop       bool
	fresh                  bool   // nothing may be started here before the block's record says so
	since                  Time   // held since
	takenToken             uint64 // a report carrying this token or a later one accounts for it
	inherited              bool   // an earlier holder may have started tasks here
	accounted              bool
	reported               bool // has ever reported to us
	session, seq           uint64
	lastReport             Time
	lastOK                 Time // when our last 200 left
	addr                   string
	seenToken              uint64 // the highest its worker has named
	proven                 bool   // has shown what only we can have told it
	trusted                int    // answers given on reports that prove nothing
	trustedAt              Time
	ear                    hearing.Ear
	raised                 uint64 // token of our last call that was to make it report
	promptedAt             Time
	moving                 bool // its replicas are being moved off
	over                   bool // its lease is surely over; confirmed by the state
	cut                    bool // it fell silent with many others
	silent                 bool // its reports stay away
	notice                 bool
	noticeAt               Time
	attempts               map[attemptKey]*attempt
	idleSince              Time
	images                 map[string]bool
	sum                    machineSum
	touched                bool // see books
}

// machineSum is what a machine has left and what each team has on it. It is
// made again when the machine's attempts or its type have changed.
type machineSum struct {
	ok      bool
	sizes   int // state of the machine types it was made with
	free    placement.Size
	teams   []ledger.Use
	unknown int // attempts of unknown size
}

type attemptKey struct {
	task string
	try  uint64
}

// attempt is one try of a task on a machine. It counts as possibly there from
// its reservation until a newer report, a deletion or the end of the lease
// says otherwise.
type attempt struct {
	key              attemptKey
	job              string
	idx              int
	team             string
	size             placement.Size
	known            bool // size and team are known
	lesser           bool // gives way to urgent work
	proved           bool // a replica that has run for long
	idle             bool // gives way to all other work
	m                *machine
	status           string // "" until reported
	cause            string
	sent             bool
	stop             bool
	graceS           float64
	created, running Time
}

// jobRun is what the holder knows of a job's tasks.
type jobRun struct {
	active  map[int]*attempt
	retry   []int // started once, nowhere now, to be started again
	next    int   // first index never reserved
	held    int   // tasks below this may run on inherited machines; 0 once settled
	done    ranges.Set
	notYet  Time // after failures: nothing is started before this
	fails   int
	zone    string // chosen for a gang that must be in one zone
	since   Time   // known here, or waiting for room again, since
	wrote   Time   // when its progress was last written
	writing bool   // a write of its record is under way

	passedOver Time // since when places without its image have been left to others; 0: not
}

func newHolder() holder {
	return holder{health: newHealth(), startsBusy: map[int]bool{}, startsAt: map[int]Time{}, startsNext: map[int]Time{}, warm: map[string]bool{}, taking: map[int]taking{}, machines: map[string]*machine{}, onTask: map[string][]*attempt{}, held: map[int]bool{}, pending: map[int]bool{}, unsettle: map[int]bool{}, wantSent: map[int]wire.Want{}, tellers: map[int]*wants.Teller{}, lacks: wants.NewBoard(wantPace),
		used: map[string]bool{}, entered: map[int]Time{}, prevDead: map[int]Time{}, vacating: map[string]bool{}, offered: map[string]uint64{}, dire: map[int]Time{},
		reserve: supply.NewReserve(supply.ReserveLimits{Memory: tuning.UrgentMemory, Window: tuning.ArrivalWindow})}
}

// jobSeen is called for every new version of a live job.
func (c *Core) jobSeen(e *jobEntry) {
	c.touchJob(e)
	i := c.shardOf(e.rec.Team)
	if !c.mine(i) {
		e.run = nil
		return
	}
	fresh := e.run == nil
	if fresh {
		e.run = &jobRun{since: c.now, active: map[int]*attempt{}, next: e.rec.Started, done: c.knownDone(e).Clone()}
		if e.rec.Started > 0 {
			e.run.held = e.rec.Started
			if s, _ := c.started.Of(e.rec.ID); s.Bad && len(e.run.done) == 0 {
				// Otherwise a whole array that fails everywhere starts anew with each takeover.
				c.health.Condemn(c.now, e.rec.ID)
				e.run.notYet = c.health.NotBefore(e.rec.ID)
			}
			c.settleJob(e, i, true)
			c.awaitOn(e)
			c.noteHeld(e, i)
		}
	}
	if e.prio >= urgentRank {
		if c.reserve.Seen(c.now, i, jobSize(&e.rec), e.rank, fresh && e.rec.Started == 0) {
			c.touchShard(i) // room is counted in tasks of this size
		}
	}
	if e.rec.Started > e.run.next {
		// Someone wrote further starts before we took over: a late write of the
		// earlier holder. Those may have been started.
		e.run.held, e.run.next = e.rec.Started, e.rec.Started
		c.settleJob(e, i, c.unsettle[i])
		c.awaitOn(e)
		c.noteHeld(e, i)
	}
	e.run.done = e.run.done.Union(c.knownDone(e))
}

// jobGone is called when a job has left the live keys: done or aborted. What
// of it is still on machines is stopped there and counts until it is gone.
func (c *Core) jobGone(e *jobEntry) {
	c.touchJob(e)
	c.health.ForgetJob(e.rec.ID)
	if e.run == nil {
		return
	}
	for _, k := range sortedInts(e.run.active) { // machines are called in the order in which they are asked for
		a := e.run.active[k]
		if !a.sent && a.status == "" {
			c.dropAttempt(a)
		} else {
			c.wantReport(a.m, false) // what of it still runs is stopped, and its place is free sooner
		}
	}
	e.run = nil
}

// heldMachines lists the machines of the held blocks by name.
func (c *Core) heldMachines() []*machine {
	if c.machineList == nil {
		c.machineList = slices.AppendSeq(make([]*machine, 0, len(c.machines)), maps.Values(c.machines))
		slices.SortFunc(c.machineList, func(a, b *machine) int { return cmp.Compare(a.name, b.name) })
	}
	return c.machineList
}

// dropMachine forgets a machine, and the attempts that were on it.
func (c *Core) dropMachine(m *machine) {
	for _, a := range m.attempts {
		c.dropAttempt(a)
	}
	if m.inherited && !m.accounted {
		c.open[m.shard]--
	}
	delete(c.machines, m.name)
	delete(c.coming, m)
	if b := c.places[m.shard]; b != nil {
		b.Drop(m)
	}
	c.health.ForgetMachine(m.name)
	c.weights.Gone(m.name)
	c.room.Drop(m)
	c.desk.Forget(m)
	c.roll.Drop(m)
	c.machineList = nil
}

// addAttempt and dropAttempt are the only ones to change what is on a machine.
func (c *Core) addAttempt(a *attempt) {
	a.m.attempts[a.key] = a
	if a.idle {
		c.idlers[a.m]++
	}
	a.m.sum.ok = false
	c.touch(a.m)
	c.onTask[a.key.task] = append(c.onTask[a.key.task], a)
}

func (c *Core) dropAttempt(a *attempt) {
	if a.m.attempts[a.key] == a && a.idle {
		if c.idlers[a.m]--; c.idlers[a.m] == 0 {
			delete(c.idlers, a.m)
		}
	}
	delete(a.m.attempts, a.key)
	a.m.sum.ok = false
	c.touch(a.m)
	list := c.onTask[a.key.task]
	for i, o := range list {
		if o == a {
			list = append(list[:i], list[i+1:]...)
			break
		}
	}
	if len(list) == 0 {
		delete(c.onTask, a.key.task)
	} else {
		c.onTask[a.key.task] = list
	}
}

// shardSeen is called for every new version of a shard record.
func (c *Core) shardSeen(i int, old *shardEntry) {
	c.dirty = true
	delete(c.yielded, i)
	if old != nil {
		c.words.Moved(c.now, &old.rec, &c.shards[i].rec)
	}
	named := c.member.Boot() != 0 && c.shards[i].rec.Holder == c.p.Node && c.shards[i].rec.Boot == c.member.Boot()
	if now := c.shards[i]; old == nil || old.rec.Holder != now.rec.Holder || old.rec.Boot != now.rec.Boot || !slices.Equal(old.rec.Teams, now.rec.Teams) {
		c.vouch.Granted(shardKey(i), now.ver, named)
	}
	if named && c.held[i] && old != nil && duty.Regained(old.rec, c.shards[i].rec) {
		c.leaveShard(i) // another held it, and what it did is not in our mirror yet
	}
	switch {
	case named && !c.held[i]:
		c.pending[i] = true
		c.enterShards()
	case named:
		for _, id := range sortedKeys(c.jobs) { // of a team homed here just now
			if e := c.jobs[id]; e.run == nil && c.shardOf(e.rec.Team) == i {
				c.jobSeen(e)
			}
		}
	default:
		delete(c.pending, i)
		if c.held[i] {
			c.leaveShard(i)
		}
	}
}

// enterShards takes up shards granted to us, each once the mirror has reached
// the granting write. Our own commits enter the mirror ahead of the watch; to
// act on the grant before all that the earlier holder wrote has been seen
// would mean to start what its last writes say it has started.
func (c *Core) enterShards() {
	for _, i := range c.shardIDs() {
		if !c.pending[i] || c.rev < c.shards[i].ver {
			continue
		}
		delete(c.pending, i)
		c.held[i], c.unsettle[i], c.entered[i] = true, true, c.now
		delete(c.prevDead, i)
		for _, id := range c.blockIDs() {
			if b := c.blocks[id]; b.rec.Shard == i {
				c.holdBlock(b, !b.rec.Idle)
			}
		}
		c.recheckWaiting = true
		c.runs.Import(c.biases[biasKey(i)].Classes)
		c.noteShard(trail.ShardHeld, i, wire.TrailEvent{Token: c.shards[i].ver})
		c.log(1, "holding shard", "shard", i, "token", c.shards[i].ver, "teams", len(c.shards[i].rec.Teams))
		for _, id := range sortedKeys(c.jobs) {
			if e := c.jobs[id]; c.shardOf(e.rec.Team) == i {
				c.jobSeen(e)
			}
		}
		c.settle()
	}
}

func (c *Core) leaveShard(i int) {
	delete(c.held, i)
	delete(c.unsettle, i)
	delete(c.tellers, i)
	delete(c.places, i)
	c.weights.Left(i)
	for _, m := range c.heldMachines() {
		if m.shard == i {
			c.dropMachine(m)
		}
	}
	for _, e := range c.jobsByAge() {
		if c.shardOf(e.rec.Team) == i && e.run != nil {
			e.run = nil
			c.touchJob(e)
		}
	}
	to := c.shards[i].rec.Holder
	if y, ok := c.yielded[i]; ok { // its record here is older than what a peer has told
		to = y
	}
	c.noteShard(trail.ShardLost, i, wire.TrailEvent{Node: to, Token: c.shards[i].ver})
	c.log(1, "shard lost", "shard", i, "to", to)
}

// blockSeen is called for every new version of a block, or its removal.
func (c *Core) blockSeen(id string, old *blockEntry) {
	c.dirty = true
	b := c.blocks[id]
	if b != nil && (old == nil || old.rec.Shard != b.rec.Shard) {
		c.vouch.Granted(blockKey(id), b.ver, c.held[b.rec.Shard] || c.pending[b.rec.Shard])
	}
	now := map[string]bool{}
	if b != nil && c.mine(b.rec.Shard) {
		// Gained while holding: rented just now, or promised empty by another
		// shard. Nothing of ours can be on it.
		c.holdBlock(b, false)
		for _, bm := range b.rec.Machines {
			now[bm.Name] = true
		}
	}
	if old == nil {
		return
	}
	if _, sent := c.offered[id]; sent || b != nil && b.rec.Idle != old.rec.Idle {
		delete(c.offered, id)
		c.touchBlock(id)
	}
	for _, bm := range old.rec.Machines {
		if m := c.machines[bm.Name]; m != nil && m.block == id && !now[bm.Name] {
			// The leader takes a name out only once the cloud has deleted it, or
			// the block moved, which only an empty one does.
			if b != nil && b.rec.Shard != m.shard {
				c.passOn(m, b)
			}
			c.noteMachine(trail.MachineGone, m, wire.TrailEvent{Count: len(m.attempts), Why: "left its block"})
			c.machineGone(m, "deleted")
			c.dropMachine(m)
			delete(c.vacating, id)
		}
	}
}

func (c *Core) holdBlock(b *blockEntry, inherited bool) {
	for _, bm := range b.rec.Machines {
		m := c.machines[bm.Name]
		if m == nil {
			m = &machine{name: bm.Name, block: b.id, typ: b.rec.Type, zone: b.rec.Zone, spot: b.rec.Spot,
				shard: b.rec.Shard, since: c.now, takenToken: c.token(b), inherited: inherited && !bm.Empty && (!bm.Fresh || c.everUsed(bm.Name)),
				attempts: map[attemptKey]*attempt{}, images: map[string]bool{},
				idleSince: c.now, lastReport: c.now}
			for _, image := range c.caches.Of(bm.Name) {
				m.images[image] = true
			}
			c.machines[bm.Name] = m
			c.machineList = nil
			if m.inherited {
				c.open[m.shard]++
				c.roll.Add(m, false)
			}
		} else if m.shard != b.rec.Shard && m.inherited && !m.accounted {
			c.open[m.shard]--
			c.open[b.rec.Shard]++
		}
		m.fresh = bm.Fresh && !c.everUsed(bm.Name)
		// A block may move between two shards of one holder: a machine left in
		// its old shard would take that shard's tasks, and lose them from sight
		// with the next change of hands.
		m.shard, m.base, m.drop = b.rec.Shard, b.rec.Base, m.drop || bm.Drop || c.cordons[bm.Name].Drain
		c.touch(m)
	}
}

func sortedAttempts(m *machine) []attemptKey {
	return slices.SortedFunc(maps.Keys(m.attempts), func(a, b attemptKey) int {
		return cmp.Or(cmp.Compare(a.task, b.task), cmp.Compare(a.try, b.try))
	})
}

// attemptGone takes an attempt off its machine; its task is started again
// unless it is done.
func (c *Core) attemptGone(a *attempt, why string) {
	c.expediteEnd(a)
	c.dropAttempt(a)
	c.dirty = true
	e := c.jobs[a.job]
	if e == nil || e.run == nil || e.run.active[a.idx] != a {
		return
	}
	c.endActive(e, a)
	c.noteTask(trail.TaskLost, a, why)
	c.log(2, "task to be started again", "task", a.key.task, "try", a.key.try, "machine", a.m.name, "why", why)
}

// endActive marks that a's task is nowhere now.
func (c *Core) endActive(e *jobEntry, a *attempt) {
	c.touchJob(e)
	delete(e.run.active, a.idx)
	if o := c.elsewhere(a); o != nil {
		// A delayed report named it on one machine while it was on another:
		// only when the last of them is gone may it start again.
		e.run.active[a.idx] = o
		return
	}
	if !e.run.done.Has(a.idx) {
		e.run.retry = append(e.run.retry, a.idx)
		e.run.since = c.now
	}
}

// elsewhere finds another attempt of a's task that may be on a machine.
func (c *Core) elsewhere(a *attempt) *attempt {
	var found *attempt
	for _, o := range c.onTask[a.key.task] {
		if o != a && o.status != wire.TaskEnded && (found == nil || o.m.name < found.m.name || o.m == found.m && o.key.try < found.key.try) {
			found = o
		}
	}
	return found
}

// hold does the holder's duties.
func (c *Core) hold() {
	c.watchMachines()
	c.reclaimBlocks()
	c.processWaitingJobs()
	c.planCrews()
	c.planReservations()
	if c.dirty {
		c.dirty = false
		c.place()
	}
	c.preempt()
	c.flush()
	c.callRoll()
	c.promptWorkers()
	c.tellWants()
}
