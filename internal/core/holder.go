package core

import (
	"cmp"
	"maps"
	"slices"

	"github.com/barrowbridge/barrowbridge/internal/assignment"
	"github.com/barrowbridge/barrowbridge/internal/delivery"
	"github.com/barrowbridge/barrowbridge/internal/demand"
	"github.com/barrowbridge/barrowbridge/internal/health"
	"github.com/barrowbridge/barrowbridge/internal/ledger"
	"github.com/barrowbridge/barrowbridge/internal/placement"
	"github.com/barrowbridge/barrowbridge/internal/ranges"
	"github.com/barrowbridge/barrowbridge/internal/supply"
	"github.com/barrowbridge/barrowbridge/internal/trail"
	"github.com/barrowbridge/barrowbridge/internal/tuning"
	"github.com/barrowbridge/barrowbridge/wire"
)

// holderState is what this controller knows as the holder of shards: the machines
// of their blocks, and the tasks on them.
type holderState struct {
	machines map[string]*machine

	heldShards         map[int]bool // held by this incarnation, which has taken them up
	grantedShards      map[int]bool // granted, but the mirror has not reached the granting write yet
	unreconciledShards map[int]bool // taken over, and not all machines are accounted for yet

	placementDue                                bool // a placement pass is due
	writingJobs, writingProgress, writingImages bool // a write of that kind is in flight
	lastAttemptNumber                           uint64

	publishedDemand  map[int]wire.Demand       // by held shard: the unmet demand last published
	demandPublishers map[int]*demand.Publisher // by held shard
	peerDemand       *demand.Board             // unmet demand that other holders have published

	verifyingShard   bool         // a commit that verifies that a shard is still held is in flight
	startsInFlight   map[int]bool // shards whose starts are being written
	startsRetryAt    map[int]Time // earliest next write of a shard's starts after a failed one
	startsPacedUntil map[int]Time // earliest next write of a shard's starts if none is urgent

	taskHealth        *health.Tracker
	firstUseUnwritten map[string]bool         // machines that are up, but recorded as never used
	urgentBlocks      map[string]bool         // blocks whose records are written with the urgent writes
	pendingTransfers  map[int]pendingTransfer // by shard: transfers sent to be written, not yet in the mirror

	shardHeldSince          map[int]Time      // when a held shard was taken up
	previousHolderDeadSince map[int]Time      // since when the previous holder's incarnation is known to be dead
	vacating                map[string]bool   // blocks being emptied for another shard's guarantee
	idleMarkVersions        map[string]uint64 // blocks with an idle mark in flight, and the record version it replaces
	starvedSince            map[int]Time      // since when a shard's guaranteed work finds no free capacity
	urgentReserve           *supply.Reserve   // capacity kept free for urgent tasks

	machinesByName []*machine            // sorted by name; nil: must be rebuilt
	attemptsByTask map[string][]*attempt // task -> its attempts on machines
}

// machine is one machine of a block this controller holds.
type machine struct {
	name, block, machineType, zone string
	shard                          int
	spot, base, returning          bool // returning: is being given back to the cloud

	fresh         bool   // recorded as never used: nothing may start here before its first use is recorded
	heldSince     Time   // since when this controller holds it
	takeoverToken uint64 // a report carrying this token or a later one accounts for it
	inherited     bool   // an earlier holder may have started tasks here
	accounted     bool   // the tasks on it are known

	reported             bool   // has ever reported to this controller
	session, seq         uint64 // of its newest report
	lastReport           Time
	lastAnswered         Time // when the last 200 left
	addr                 string
	reportHeader         int    // most that its reports take for all but the attempts known here, in bytes
	reportedToken        uint64 // the highest token that its worker has named
	currentReportsProven bool   // has named a token that only this holder can have given it
	unprovenAnswers      int    // answers given to reports that prove nothing
	unprovenAnsweredAt   Time   // when the last of these was given
	delivery             delivery.Monitor
	raisedToken          uint64 // token of the last call that requested an early report
	earlyCallAt          Time   // when that call was made

	moving            bool // its replicas are being moved elsewhere
	leaseOver         bool // its lease is certainly over; confirmed by the state service
	silentWithMany    bool // it fell silent together with many others
	silent            bool // its reports are overdue
	terminationNotice bool
	terminatesAt      Time

	attempts   map[attemptKey]*attempt
	sortedKeys []attemptKey // of attempts; nil: must be sorted again
	idleSince  Time
	images     map[string]bool
	usage      machineUsage
	dirty      bool // listed in indexes.dirtyMachines
}

// machineUsage is the free capacity of a machine and what each team uses on it. It is
// computed again after the machine's attempts or the machine types have changed.
type machineUsage struct {
	valid           bool
	sizeGeneration  int // version of the machine types it was computed with
	free            placement.Size
	teams           []ledger.TeamUsage
	unknownAttempts int // attempts of unknown size
	// endedReportBytes is what ended attempts take of the report until they are cleared.
	endedReportBytes float64
}

// attemptKey identifies an attempt.
type attemptKey struct {
	task   string
	number uint64
}

// attempt is one attempt to run a task on a machine. It counts as possibly present there
// from its reservation until a newer report, a deletion of the machine or the end of the
// lease says otherwise.
type attempt struct {
	key                     attemptKey
	job                     string
	taskIndex               int
	team                    string
	size                    placement.Size
	sizeKnown               bool // size and team are known
	belowUrgent             bool // preemptible by urgent work
	countedSound            bool // a long-running replica that was counted as a completion
	idlePriority            bool // preemptible by all other work
	machine                 *machine
	status                  string // "" until reported
	cause                   string // of its end, as reported
	startSent               bool
	stopping                bool
	stopGraceS              float64 // grace period of the stop, in seconds
	createdAt, runningSince Time
}

// jobRun is what the holder knows of a job's tasks.
type jobRun struct {
	active            map[int]*attempt // by task index
	retryIndexes      []int            // tasks that were started before, run nowhere now and must start again
	nextIndex         int              // first index never reserved
	inheritedBelow    int              // tasks below this index may run on inherited machines; 0 once reconciled
	done              ranges.Set
	notBefore         Time // backoff after failures: nothing starts before this time
	failures          int
	zone              string // chosen for a gang that must run in one zone
	waitingSince      Time   // when the job became known here, or last had a task to start again
	progressWrittenAt Time
	writeInFlight     bool // a write of its record is in flight

	passedOverSince Time // since when machines without its image have been left to other jobs; 0: not
}

// newHolderState returns the state of a holder of no shards.
func newHolderState() holderState {
	return holderState{
		taskHealth: newHealth(),

		startsInFlight:    map[int]bool{},
		startsRetryAt:     map[int]Time{},
		startsPacedUntil:  map[int]Time{},
		firstUseUnwritten: map[string]bool{},

		pendingTransfers: map[int]pendingTransfer{},
		machines:         map[string]*machine{},
		attemptsByTask:   map[string][]*attempt{},

		heldShards:         map[int]bool{},
		grantedShards:      map[int]bool{},
		unreconciledShards: map[int]bool{},

		publishedDemand:  map[int]wire.Demand{},
		demandPublishers: map[int]*demand.Publisher{},
		peerDemand:       demand.NewBoard(demandPace),

		urgentBlocks:            map[string]bool{},
		shardHeldSince:          map[int]Time{},
		previousHolderDeadSince: map[int]Time{},
		vacating:                map[string]bool{},
		idleMarkVersions:        map[string]uint64{},
		starvedSince:            map[int]Time{},
		urgentReserve: supply.NewReserve(supply.ReserveLimits{
			Retention: tuning.UrgentSizeMemory,
			Window:    tuning.UrgentArrivalWindow,
		}),
	}
}

// jobChanged is called for every new version of a live job.
func (c *Core) jobChanged(e *jobEntry) {
	c.markJobDirty(e)
	shard := c.shardOfTeam(e.record.Team)
	if !c.holdsShard(shard) {
		e.run = nil
		return
	}
	firstSeen := e.run == nil
	if firstSeen {
		e.run = &jobRun{waitingSince: c.now, active: map[int]*attempt{}, nextIndex: e.record.Started, done: c.knownDone(e).Clone()}
		if e.record.Started > 0 {
			e.run.inheritedBelow = e.record.Started
			if starts, _ := c.startLog.Latest(e.record.ID); starts.Bad && len(e.run.done) == 0 {
				// Otherwise all tasks of an array that fails everywhere would be tried again after each takeover.
				c.taskHealth.MarkMistaken(c.now, e.record.ID)
				e.run.notBefore = c.taskHealth.NotBefore(e.record.ID)
			}
			c.reconcileJob(e, shard, true)
			c.awaitMachines(e)
			c.recordHeldTasks(e, shard)
		}
	}
	if e.priority >= urgentRank {
		if c.urgentReserve.Observe(c.now, shard, jobSize(&e.record), e.rank, firstSeen && e.record.Started == 0) {
			c.markShardDirty(shard) // free capacity is counted in tasks of this size
		}
	}
	if e.record.Started > e.run.nextIndex {
		// A late write of the earlier holder, from before the takeover, recorded
		// further starts. Those tasks may have been started.
		e.run.inheritedBelow, e.run.nextIndex = e.record.Started, e.record.Started
		c.reconcileJob(e, shard, c.unreconciledShards[shard])
		c.awaitMachines(e)
		c.recordHeldTasks(e, shard)
	}
	e.run.done = e.run.done.Union(c.knownDone(e))
}

// jobRemoved is called when a job has left the live keys because it is done or aborted.
// Its tasks that are still on machines are stopped, and count until they are gone.
func (c *Core) jobRemoved(e *jobEntry) {
	c.markJobDirty(e)
	c.taskHealth.ForgetJob(e.record.ID)
	if e.run == nil {
		return
	}
	for _, k := range sortedIntKeys(e.run.active) { // sorted: workers are called in the order of the requests
		a := e.run.active[k]
		if !a.startSent && a.status == "" {
			c.removeAttempt(a)
		} else {
			c.requestReport(a.machine, false) // its running tasks are stopped and their capacity is free sooner
		}
	}
	e.run = nil
}

// heldMachines returns the machines of the held blocks, sorted by name.
func (c *Core) heldMachines() []*machine {
	if c.machinesByName == nil {
		c.machinesByName = slices.AppendSeq(make([]*machine, 0, len(c.machines)), maps.Values(c.machines))
		slices.SortFunc(c.machinesByName, func(a, b *machine) int { return cmp.Compare(a.name, b.name) })
	}
	return c.machinesByName
}

// forgetMachine removes a machine and the attempts on it from all indexes.
func (c *Core) forgetMachine(m *machine) {
	for _, a := range m.attempts {
		c.removeAttempt(a)
	}
	if m.inherited && !m.accounted {
		c.unaccountedMachines[m.shard]--
	}
	delete(c.machines, m.name)
	delete(c.comingMachines, m)
	if b := c.reservations[m.shard]; b != nil {
		b.Remove(m)
	}
	c.taskHealth.ForgetMachine(m.name)
	c.weights.RemoveMachine(m.name)
	c.capacity.Remove(m)
	c.callQueue.Remove(m)
	c.pendingMachines.Remove(m)
	c.machinesByName = nil
}

// addAttempt records an attempt on its machine. Only addAttempt and removeAttempt change
// the attempts of a machine.
func (c *Core) addAttempt(a *attempt) {
	a.machine.attempts[a.key], a.machine.sortedKeys = a, nil
	if a.idlePriority {
		c.idleAttempts[a.machine]++
	}
	a.machine.usage.valid = false
	c.markDirty(a.machine)
	c.attemptsByTask[a.key.task] = append(c.attemptsByTask[a.key.task], a)
}

// removeAttempt removes an attempt from its machine.
func (c *Core) removeAttempt(a *attempt) {
	if a.machine.attempts[a.key] == a && a.idlePriority {
		if c.idleAttempts[a.machine]--; c.idleAttempts[a.machine] == 0 {
			delete(c.idleAttempts, a.machine)
		}
	}
	delete(a.machine.attempts, a.key)
	a.machine.sortedKeys = nil
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

// shardChanged is called for every new version of a shard record.
func (c *Core) shardChanged(shard int, old *shardEntry) {
	c.placementDue = true
	delete(c.yieldedTo, shard)
	if old != nil {
		c.assignments.HolderChanged(c.now, &old.record, &c.shards[shard].record)
	}
	namesUs := c.presence.Boot() != 0 && c.shards[shard].record.Holder == c.params.Node && c.shards[shard].record.Boot == c.presence.Boot()
	if current := c.shards[shard]; old == nil || old.record.Holder != current.record.Holder ||
		old.record.Boot != current.record.Boot || !slices.Equal(old.record.Teams, current.record.Teams) {
		c.confirmation.HolderAssigned(shardKey(shard), current.version, namesUs)
	}
	if namesUs && c.heldShards[shard] && old != nil && assignment.Reacquired(old.record, c.shards[shard].record) {
		c.stopHoldingShard(shard) // another controller held it meanwhile, and its writes are not in the mirror yet
	}
	switch {
	case namesUs && !c.heldShards[shard]:
		c.grantedShards[shard] = true
		c.startHoldingShards()
	case namesUs:
		for _, id := range sortedKeys(c.jobs) { // of a team that was just assigned to this shard
			if e := c.jobs[id]; e.run == nil && c.shardOfTeam(e.record.Team) == shard {
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

// startHoldingShards takes up shards granted to this controller, each once the mirror has
// reached the granting write. Its own commits enter the mirror ahead of the watch; acting
// on the grant before all writes of the earlier holder have arrived would start tasks
// again that its last writes record as started.
func (c *Core) startHoldingShards() {
	for _, shard := range c.shardIDs() {
		if !c.grantedShards[shard] || c.mirrorRevision < c.shards[shard].version {
			continue
		}
		delete(c.grantedShards, shard)
		c.heldShards[shard], c.unreconciledShards[shard], c.shardHeldSince[shard] = true, true, c.now
		delete(c.previousHolderDeadSince, shard)
		for _, id := range c.blockIDs() {
			if b := c.blocks[id]; b.record.Shard == shard {
				c.holdMachines(b, !b.record.Idle)
			}
		}
		c.recheckWaiting = true
		c.runTimes.Import(c.biases[biasKey(shard)].Classes)
		c.recordShardEvent(trail.ShardHeld, shard, wire.TrailEvent{Token: c.shards[shard].version})
		c.log(1, "holding shard", "shard", shard, "token", c.shards[shard].version, "teams", len(c.shards[shard].record.Teams))
		for _, id := range sortedKeys(c.jobs) {
			if e := c.jobs[id]; c.shardOfTeam(e.record.Team) == shard {
				c.jobChanged(e)
			}
		}
		c.reconcileShards()
	}
}

// stopHoldingShard forgets the machines and jobs of a shard that was lost.
func (c *Core) stopHoldingShard(shard int) {
	delete(c.heldShards, shard)
	delete(c.unreconciledShards, shard)
	delete(c.demandPublishers, shard)
	delete(c.reservations, shard)
	c.weights.ReleaseShard(shard)
	for _, m := range c.heldMachines() {
		if m.shard == shard {
			c.forgetMachine(m)
		}
	}
	for _, e := range c.jobsByAge() {
		if c.shardOfTeam(e.record.Team) == shard && e.run != nil {
			e.run = nil
			c.markJobDirty(e)
		}
	}
	newHolder := c.shards[shard].record.Holder
	if yieldedTo, ok := c.yieldedTo[shard]; ok { // a peer has announced the change, and the record here is older
		newHolder = yieldedTo
	}
	c.recordShardEvent(trail.ShardLost, shard, wire.TrailEvent{Node: newHolder, Token: c.shards[shard].version})
	c.log(1, "shard lost", "shard", shard, "to", newHolder)
}

// blockChanged is called for every new version of a block, and for its removal.
func (c *Core) blockChanged(id string, old *blockEntry) {
	c.placementDue = true
	b := c.blocks[id]
	if b != nil && (old == nil || old.record.Shard != b.record.Shard) {
		c.confirmation.HolderAssigned(blockKey(id), b.version, c.heldShards[b.record.Shard] || c.grantedShards[b.record.Shard])
	}
	listed := map[string]bool{}
	if b != nil && c.holdsShard(b.record.Shard) {
		// A block gained while the shard is held was just rented, or is guaranteed
		// to be empty by the shard that gave it: no task of this shard can be on it.
		c.holdMachines(b, false)
		for _, bm := range b.record.Machines {
			listed[bm.Name] = true
		}
	}
	if old == nil {
		return
	}
	if _, sent := c.idleMarkVersions[id]; sent || b != nil && b.record.Idle != old.record.Idle {
		delete(c.idleMarkVersions, id)
		c.markBlockDirty(id)
	}
	for _, bm := range old.record.Machines {
		if m := c.machines[bm.Name]; m != nil && m.block == id && !listed[bm.Name] {
			// The leader removes a machine from a block's record only once the cloud
			// has deleted it; otherwise the block has moved, which only an empty one does.
			if b != nil && b.record.Shard != m.shard {
				c.sendToNextHolder(m, b)
			}
			c.recordMachineEvent(trail.MachineGone, m, wire.TrailEvent{Count: len(m.attempts), Why: "left its block"})
			c.machineGone(m, "deleted")
			c.forgetMachine(m)
			delete(c.vacating, id)
		}
	}
}

// holdMachines adds the machines of a block to those held here, or moves them to the block's
// shard. inherited: an earlier holder may have started tasks on them.
func (c *Core) holdMachines(b *blockEntry, inherited bool) {
	for _, blockMachine := range b.record.Machines {
		m := c.machines[blockMachine.Name]
		if m == nil {
			m = &machine{
				name: blockMachine.Name, block: b.id, machineType: b.record.Type, zone: b.record.Zone, spot: b.record.Spot,
				shard: b.record.Shard, heldSince: c.now, takeoverToken: c.fencingToken(b),
				inherited: inherited && !blockMachine.Empty && (!blockMachine.Fresh || c.useRecorded(blockMachine.Name)),
				attempts:  map[attemptKey]*attempt{}, images: map[string]bool{},
				idleSince: c.now, lastReport: c.now,
			}
			for _, image := range c.imageCaches.Images(blockMachine.Name) {
				m.images[image] = true
			}
			c.machines[blockMachine.Name] = m
			c.machinesByName = nil
			if m.inherited {
				c.unaccountedMachines[m.shard]++
				c.pendingMachines.Add(m, false)
			}
		} else if m.shard != b.record.Shard && m.inherited && !m.accounted {
			c.unaccountedMachines[m.shard]--
			c.unaccountedMachines[b.record.Shard]++
		}
		m.fresh = blockMachine.Fresh && !c.useRecorded(blockMachine.Name)
		// A block may move between two shards of one holder. A machine left in its
		// old shard would be given tasks of that shard, and they would be lost from
		// view with the next change of the holder.
		m.shard, m.base, m.returning = b.record.Shard, b.record.Base, m.returning || blockMachine.Drop || c.cordons[blockMachine.Name].Drain
		c.markDirty(m)
	}
}

// sortedAttemptKeys returns the keys of a machine's attempts, by task and attempt number. The slice is
// not to be changed; it stays as it is when attempts come or go.
func sortedAttemptKeys(m *machine) []attemptKey {
	if m.sortedKeys == nil {
		m.sortedKeys = slices.SortedFunc(maps.Keys(m.attempts), func(a, b attemptKey) int {
			return cmp.Or(cmp.Compare(a.task, b.task), cmp.Compare(a.number, b.number))
		})
	}
	return m.sortedKeys
}

// attemptLost removes an attempt from its machine. Its task is started again
// unless it is done.
func (c *Core) attemptLost(a *attempt, reason string) {
	c.expediteEnd(a)
	c.removeAttempt(a)
	c.placementDue = true
	e := c.jobs[a.job]
	if e == nil || e.run == nil || e.run.active[a.taskIndex] != a {
		return
	}
	c.deactivateAttempt(e, a)
	c.recordTaskEvent(trail.TaskLost, a, reason)
	c.log(2, "task to be started again", "task", a.key.task, "try", a.key.number, "machine", a.machine.name, "why", reason)
}

// deactivateAttempt records that the attempt no longer runs its task. Unless another
// attempt of the task may be on a machine, the task is queued to start again.
func (c *Core) deactivateAttempt(e *jobEntry, a *attempt) {
	c.markJobDirty(e)
	delete(e.run.active, a.taskIndex)
	if other := c.otherAttempt(a); other != nil {
		// A delayed report listed the task on one machine while it was on another:
		// it may start again only when the last of these attempts is gone.
		e.run.active[a.taskIndex] = other
		return
	}
	if !e.run.done.Contains(a.taskIndex) {
		e.run.retryIndexes = append(e.run.retryIndexes, a.taskIndex)
		e.run.waitingSince = c.now
	}
}

// otherAttempt returns another attempt of the same task that may be on a machine, or nil.
func (c *Core) otherAttempt(a *attempt) *attempt {
	var found *attempt
	for _, other := range c.attemptsByTask[a.key.task] {
		if other != a && other.status != wire.TaskEnded && (found == nil || other.machine.name < found.machine.name ||
			other.machine == found.machine && other.key.number < found.key.number) {
			found = other
		}
	}
	return found
}

// runHolder performs the periodic work of the holder.
func (c *Core) runHolder() {
	c.checkLeases()
	c.reclaimBlocks()
	c.processWaitingJobs()
	c.planCrews()
	c.planReservations()
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
