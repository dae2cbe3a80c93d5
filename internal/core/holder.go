package core

import (
	"fmt"
	"slices"
	"sort"
	"strconv"
	"strings"
	"time"

	"github.com/barrowbridge/barrowbridge/internal/ledger"
	"github.com/barrowbridge/barrowbridge/internal/placement"
	"github.com/barrowbridge/barrowbridge/internal/trail"
	"github.com/barrowbridge/barrowbridge/internal/tuning"
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
	wantBusy                         bool
	checking                         bool
	learned                          map[int]bool    // shards whose machines have fetched images since that was written
	cachePart                        map[int]int     // which record of that is to be written next
	used                             map[string]bool // blocks with fresh machines that are up
	entered                          map[int]Time    // when a held shard was taken up
	prevDead                         map[int]Time    // since when the life a shard was taken from is known to be dead
	vacating                         map[string]bool // blocks being emptied for another shard's guarantee
	dire                             map[int]Time    // since when a shard's guaranteed work finds no room
	urgent                           map[int]urgentSize
	came                             map[int][]Time // arrivals of urgent jobs, by shard

	machineList []*machine            // by name; nil: to be made again
	onTask      map[string][]*attempt // task -> its attempts on machines
}

// urgentSize is the largest urgent task a shard has seen lately.
type urgentSize struct {
	size placement.Size
	seen Time
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
	raised                 uint64 // token of our last call that was to make it report
	promptedAt             Time
	moving                 bool // its replicas are being moved off
	over                   bool // its lease is surely over; confirmed by the state
	silent                 bool // its reports stay away
	notice                 bool
	noticeAt               Time
	attempts               map[attemptKey]*attempt
	errs                   int
	badJobs                map[string]bool
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
	done    ranges
	notYet  Time // after failures: nothing is started before this
	fails   int
	zone    string // chosen for a gang that must be in one zone
	since   Time   // known here, or waiting for room again, since
	wrote   Time   // when its progress was last written
	writing bool   // a write of its record is under way

	passedOver Time // since when places without its image have been left to others; 0: not
}

func newHolder() holder {
	return holder{machines: map[string]*machine{}, onTask: map[string][]*attempt{}, held: map[int]bool{}, pending: map[int]bool{}, unsettle: map[int]bool{}, wantSent: map[int]wire.Want{},
		learned: map[int]bool{}, cachePart: map[int]int{}, used: map[string]bool{}, entered: map[int]Time{}, prevDead: map[int]Time{}, vacating: map[string]bool{}, dire: map[int]Time{}, urgent: map[int]urgentSize{}, came: map[int][]Time{}}
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
		e.run = &jobRun{since: c.now, active: map[int]*attempt{}, next: e.rec.Started, done: ranges(e.rec.Done).clone()}
		if e.rec.Started > 0 {
			e.run.held = e.rec.Started
			c.settleJob(e, i, true)
			c.awaitOn(e)
			c.noteHeld(e, i)
		}
	}
	if e.prio >= urgentRank {
		u := c.urgent[i]
		if s := jobSize(&e.rec); s.CPUs >= u.size.CPUs || c.now-u.seen > tuning.UrgentMemory {
			if u.size != s {
				c.touchShard(i) // room is counted in tasks of this size
			}
			u.size = s
		}
		u.seen = c.now
		c.urgent[i] = u
		if fresh && e.rec.Started == 0 {
			c.came[i] = append(c.came[i], c.now)
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
	e.run.done = e.run.done.union(e.rec.Done)
}

// jobGone is called when a job has left the live keys: done or aborted. What
// of it is still on machines is stopped there and counts until it is gone.
func (c *Core) jobGone(e *jobEntry) {
	c.touchJob(e)
	if e.run == nil {
		return
	}
	for _, a := range e.run.active {
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
		c.machineList = make([]*machine, 0, len(c.machines))
		for _, m := range c.machines {
			c.machineList = append(c.machineList, m)
		}
		sort.Slice(c.machineList, func(i, j int) bool { return c.machineList[i].name < c.machineList[j].name })
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
	c.room.Drop(m)
	c.desk.Forget(m)
	c.machineList = nil
}

// addAttempt and dropAttempt are the only ones to change what is on a machine.
func (c *Core) addAttempt(a *attempt) {
	a.m.attempts[a.key] = a
	a.m.sum.ok = false
	c.touch(a.m)
	c.onTask[a.key.task] = append(c.onTask[a.key.task], a)
}

func (c *Core) dropAttempt(a *attempt) {
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
	named := c.boot != 0 && c.shards[i].rec.Holder == c.p.Node && c.shards[i].rec.Boot == c.boot
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
	c.noteShard(trail.ShardLost, i, wire.TrailEvent{Node: c.shards[i].rec.Holder, Token: c.shards[i].ver})
	c.log(1, "shard lost", "shard", i, "to", c.shards[i].rec.Holder)
}

// blockSeen is called for every new version of a block, or its removal.
func (c *Core) blockSeen(id string, old *blockEntry) {
	c.dirty = true
	b := c.blocks[id]
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
	if b != nil && b.rec.Idle != old.rec.Idle {
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
				shard: b.rec.Shard, since: c.now, takenToken: c.token(b), inherited: inherited && !bm.Empty && !bm.Fresh,
				attempts: map[attemptKey]*attempt{}, images: map[string]bool{}, badJobs: map[string]bool{},
				idleSince: c.now, lastReport: c.now}
			for _, image := range c.cached[bm.Name] {
				m.images[image] = true
			}
			c.machines[bm.Name] = m
			c.machineList = nil
			if m.inherited {
				c.open[m.shard]++
			}
		} else if m.shard != b.rec.Shard && m.inherited && !m.accounted {
			c.open[m.shard]--
			c.open[b.rec.Shard]++
		}
		m.fresh = bm.Fresh
		// A block may move between two shards of one holder: a machine left in
		// its old shard would take that shard's tasks, and lose them from sight
		// with the next change of hands.
		m.shard, m.base, m.drop = b.rec.Shard, b.rec.Base, m.drop || bm.Drop || c.cordons[bm.Name].Drain
		c.touch(m)
	}
}

// machineGone frees everything that was on a machine that is surely gone, or
// whose lease is surely over.
func (c *Core) machineGone(m *machine, why string) {
	c.dirty = true
	for _, k := range sortedAttempts(m) {
		c.attemptGone(m.attempts[k], why)
	}
	c.account(m, why)
}

// account takes note that what is on a machine is known from now on.
func (c *Core) account(m *machine, why string) {
	if m.inherited && !m.accounted {
		c.noteMachine(trail.Accounted, m, wire.TrailEvent{Count: len(m.attempts), Why: why})
		c.open[m.shard]--
	}
	m.accounted = true
	c.touch(m)
	c.settleOn(m)
	c.settle()
}

func sortedAttempts(m *machine) []attemptKey {
	ks := make([]attemptKey, 0, len(m.attempts))
	for k := range m.attempts {
		ks = append(ks, k)
	}
	sort.Slice(ks, func(i, j int) bool {
		if ks[i].task != ks[j].task {
			return ks[i].task < ks[j].task
		}
		return ks[i].try < ks[j].try
	})
	return ks
}

// attemptGone takes an attempt off its machine; its task is started again
// unless it is done.
func (c *Core) attemptGone(a *attempt, why string) {
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
	if !e.run.done.has(a.idx) {
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

// settle lets started tasks go again once every machine inherited with a shard
// is accounted for.
func (c *Core) settle() {
	for _, i := range sortedInts(c.unsettle) {
		if c.open[i] > 0 {
			continue
		}
		delete(c.unsettle, i)
		c.dirty = true
		if len(c.unsettle) == 0 {
			clear(c.waitsOn)
		}
		c.noteShard(trail.Settled, i, wire.TrailEvent{Why: fmt.Sprintf("after %.1f s", (c.now - c.entered[i]).Seconds())})
		c.log(1, "all inherited machines accounted for", "shard", i, "after", (c.now - c.entered[i]).String())
		for _, e := range c.jobsByAge() {
			if e.run != nil && c.shardOf(e.rec.Team) == i {
				c.settleJob(e, i, true)
			}
		}
	}
}

// settleOn does the same for jobs of few tasks once a machine is accounted for
// that one of them was started on: which machine that is stands in the record.
func (c *Core) settleOn(m *machine) {
	if !c.unsettle[m.shard] {
		return
	}
	for _, e := range c.waitsOn[m.name] {
		if c.jobs[e.rec.ID] == e && e.run != nil && e.run.held > 0 && contains(e.rec.On, m.name) {
			c.settleJob(e, m.shard, true)
		}
	}
	delete(c.waitsOn, m.name)
}

// awaitOn notes which machines a job of few tasks waits for after a takeover.
func (c *Core) awaitOn(e *jobEntry) {
	if e.run.held > 0 {
		for _, name := range e.rec.On {
			if name != "" && !slices.Contains(c.waitsOn[name], e) {
				c.waitsOn[name] = append(c.waitsOn[name], e)
			}
		}
	}
}

// tracked tells whether a job's starts are written down machine by machine.
func tracked(j *wire.Job) bool { return j.Tasks <= tuning.TrackTasks }

// onOf is the machine a tracked job's task was last started on, "" if not known.
func onOf(j *wire.Job, idx int) string {
	if idx < len(j.On) {
		return j.On[idx]
	}
	return ""
}

// mayBeOn tells whether a started task may be on a machine of an earlier holder
// that is not accounted for. A machine that has left the shard was deleted, or
// promised empty.
func (c *Core) mayBeOn(e *jobEntry, idx, shard int) bool {
	if !c.unsettle[shard] {
		return false
	}
	on := onOf(&e.rec, idx)
	if on == "" {
		return true
	}
	m := c.machines[on]
	return m != nil && m.shard == shard && m.inherited && !m.accounted
}

// settleJob lets the tasks go again that may have been started and are nowhere. They
// were lost if an earlier holder had them; those we wrote ahead ourselves were not.
func (c *Core) settleJob(e *jobEntry, shard int, lost bool) {
	if e.run.held == 0 || c.unsettle[shard] && !tracked(&e.rec) {
		return
	}
	c.touchJob(e)
	queued := map[int]bool{}
	for _, k := range e.run.retry {
		queued[k] = true
	}
	open := false
	for k := 0; k < e.run.held; k++ {
		if e.run.done.has(k) || e.run.active[k] != nil || queued[k] {
			continue
		}
		if c.mayBeOn(e, k, shard) {
			open = true
			continue
		}
		e.run.retry = append(e.run.retry, k)
		if lost {
			c.noteShard(trail.TaskLost, shard, wire.TrailEvent{Task: wire.TaskName(e.rec.ID, k), Machine: onOf(&e.rec, k), Why: "on no machine after a change of hands"})
		}
		c.dirty = true
	}
	if !open {
		e.run.held = 0
	}
}

// onReport answers a worker. Only the holder of its block says 200.
func (c *Core) onReport(v WorkerReport) {
	r := &v.Report
	m := c.machines[r.Machine]
	if m == nil {
		c.redirect(v.Req, r)
		return
	}
	b := c.blocks[m.block]
	if b == nil || !c.mine(m.shard) || !c.confirmed() {
		// Not sure to be entitled: the worker may find one who is.
		c.answer(v.Req, 503, unavailable("entitlement not confirmed"))
		return
	}
	token := c.tokenOf(m, b)
	if r.Token > token || r.Session < m.session || (r.Session == m.session && r.Seq <= m.seq) {
		// A higher token: someone else is entitled and we have not heard yet.
		// An older report: delayed on its way, its list is history.
		c.answer(v.Req, 503, unavailable("report out of date"))
		return
	}
	if m.silent {
		m.silent = false
		c.noteMachine(trail.MachineBack, m, wire.TrailEvent{Count: len(r.Attempts), Why: fmt.Sprintf("silent for %.1f s", (c.now - m.lastReport).Seconds())})
	}
	if m.over {
		c.touch(m)
	}
	m.session, m.seq, m.lastReport, m.over = r.Session, r.Seq, c.now, false
	m.addr, m.seenToken = r.Addr, r.Token
	if c.room.Heard(m, m.name, c.now) {
		c.touch(m)
	}
	if !m.reported {
		m.reported = true
		if m.fresh {
			c.used[m.block] = true
		}
		m.idleSince = c.now
		c.touch(m)
		c.log(2, "machine reports", "machine", m.name, "block", m.block)
	}
	if r.NoticeS != nil && !m.notice {
		m.notice, m.noticeAt = true, c.now+seconds(*r.NoticeS)
		c.touch(m)
		c.noteMachine(trail.MachineNotice, m, wire.TrailEvent{Count: len(m.attempts), Why: fmt.Sprintf("in %.1f s", *r.NoticeS)})
		c.log(1, "machine will be taken", "machine", m.name, "in_s", *r.NoticeS)
	}
	c.takeStock(m, r)
	if c.cordons[m.name].Drain {
		c.cordonSeen(m.name)
	}
	if !m.accounted && r.Token >= m.takenToken {
		c.account(m, "report")
	}
	if c.dirty { // a slot that this report frees is refilled in its answer
		c.dirty = false
		c.place()
	}
	reply := wire.ReportReply{Token: token, Commands: c.commands(m)}
	m.lastOK = c.now
	c.answer(v.Req, 200, reply)
	c.desk.Forget(m)
	for _, a := range m.attempts {
		if !a.sent && a.status == "" {
			c.wantReport(m, !a.lesser) // its start is still being written
			break
		}
	}
	c.flush()
}

// redirect answers a worker of a block this controller does not hold.
func (c *Core) redirect(req uint64, r *wire.Report) {
	if c.loaded {
		if b := c.blockOf(r.Machine); b != nil && c.shards[b.rec.Shard] != nil {
			s := c.shards[b.rec.Shard]
			holder := s.rec.Holder
			if n, up := c.nodes[holder]; !up || n.Boot != s.rec.Boot {
				holder = ""
			}
			if to, ok := c.yielded[b.rec.Shard]; ok {
				holder = to
			}
			if _, ours := c.relayed[req]; holder != "" && holder != c.p.Node && !ours {
				if !c.relay(req, r, holder, s.ver) {
					c.answer(req, 421, wire.Redirect{Holder: holder})
				}
				return
			}
			c.answer(req, 503, unavailable("holder not known"))
			return
		}
		c.surprise(r)
		if c.chief.Node != "" && c.chief.Node != c.p.Node {
			c.answer(req, 421, wire.Redirect{Holder: c.chief.Node})
			return
		}
	}
	c.answer(req, 503, unavailable("machine not known"))
}

// takeStock brings the attempts of a machine in line with its newest report.
func (c *Core) takeStock(m *machine, r *wire.Report) {
	present := map[attemptKey]bool{}
	for _, t := range r.Attempts {
		k := attemptKey{t.Task, t.Attempt}
		present[k] = true
		a := m.attempts[k]
		if a == nil {
			job, idx, err := wire.ParseTask(t.Task)
			if err != nil {
				c.log(0, "report names no task", "machine", m.name, "task", t.Task)
				continue
			}
			a = &attempt{key: k, job: job, idx: idx, m: m, sent: true, created: c.now, running: c.now}
			if e := c.jobs[job]; e != nil {
				a.size, a.team, a.known, a.lesser = jobSize(&e.rec), e.rec.Team, true, e.prio < urgentRank
				c.touchJob(e)
				if e.run != nil && t.Status != wire.TaskEnded {
					if o := e.run.active[idx]; o != nil {
						// One of the two is history, told by a delayed report; the
						// next reports settle which.
						c.log(0, "task named on two machines", "task", t.Task, "on", o.m.name, "and", m.name)
						a.stop = o.m.accounted && m.accounted && o.m != m
					} else {
						e.run.active[idx] = a
						dropInt(&e.run.retry, idx)
					}
				}
			}
			c.addAttempt(a)
		}
		if a.status == t.Status {
			continue
		}
		was := a.status
		a.status, a.cause = t.Status, t.Cause
		if t.Status == wire.TaskRunning || t.Status == wire.TaskSaving || t.Status == wire.TaskEnded && t.Cause == wire.CauseDone {
			// After a takeover, what ended meanwhile tells it too: without that, tasks
			// went where their image was not, and fetched it again.
			c.hasImage(m, a.job)
		}
		switch t.Status {
		case wire.TaskRunning:
			a.running = c.now
			c.noteBack(trail.TaskRuns, a)
			c.log(2, "task runs", "task", a.key.task, "machine", m.name, "after", (c.now - a.created).String())
		case wire.TaskEnded:
			m.sum.ok = false
			c.touch(m)
			c.attemptEnded(a, was)
		}
	}
	for _, k := range sortedAttempts(m) {
		a := m.attempts[k]
		if present[k] || (!a.sent && a.status == "") {
			continue
		}
		// A newer report without it: the answer that carried the start was
		// dropped, the session is over, or it was cleared.
		c.attemptGone(a, "not on its machine")
	}
	if len(m.attempts) > 0 {
		m.idleSince = c.now
	}
}

// hasImage notes that a machine has the image of a job whose task ran there.
func (c *Core) hasImage(m *machine, job string) {
	if e := c.jobs[job]; e != nil && !m.images[e.rec.Image] {
		m.images[e.rec.Image] = true
		c.learned[m.shard] = true
	}
}

func dropInt(list *[]int, v int) {
	for i, x := range *list {
		if x == v {
			*list = append((*list)[:i], (*list)[i+1:]...)
			return
		}
	}
}

// attemptEnded handles an attempt's end as its worker reports it.
func (c *Core) attemptEnded(a *attempt, was string) {
	e := c.jobs[a.job]
	if e == nil || e.run == nil {
		return
	}
	c.touchJob(e)
	if a.cause == wire.CauseDone {
		e.run.done = e.run.done.add(a.idx)
		e.run.fails = 0
		a.m.errs, a.m.badJobs = 0, map[string]bool{}
		if o := e.run.active[a.idx]; o == a {
			delete(e.run.active, a.idx)
		}
		dropInt(&e.run.retry, a.idx)
		c.log(2, "task done", "task", a.key.task, "machine", a.m.name)
		return
	}
	if e.run.active[a.idx] == a {
		c.endActive(e, a)
		if a.cause == wire.CauseHalted {
			c.noteTask(trail.TaskLost, a, "stopped")
		}
	}
	if a.cause == wire.CauseHalted {
		return
	}
	c.noteTask(trail.TaskFailed, a, a.cause)
	c.log(1, "task ended", "task", a.key.task, "machine", a.m.name, "cause", a.cause, "was", was)
	e.run.fails++
	pause := min(tuning.ErrorBackoff<<min(e.run.fails-1, 10), tuning.ErrorBackoffMax)
	if a.cause == wire.CauseError {
		// A faulty machine fails whatever it starts; a faulty job fails
		// wherever it starts. A machine is suspect when tasks of two jobs failed
		// there in a row, or of one job that completes elsewhere.
		a.m.errs++
		a.m.badJobs[a.job] = true
		if len(a.m.badJobs) >= 2 || e.run.done.count() > 0 && a.m.errs >= tuning.SickErrors {
			if a.m.errs >= tuning.SickErrors {
				c.noteMachine(trail.MachineFaulty, a.m, wire.TrailEvent{Count: a.m.errs, Why: "tasks failed there in a row"})
				c.log(1, "machine looks faulty, returning it", "machine", a.m.name, "errors", a.m.errs)
				a.m.drop = true
				c.touch(a.m)
			}
			pause = tuning.ErrorBackoff / 2
		}
	}
	e.run.notYet = c.now + pause
}

// commands for a machine, in answer to its report.
func (c *Core) commands(m *machine) []wire.Command { return c.commandsFor(m, false) }

// startable tells whether a reserved attempt's start is written, so that it may be made.
func (c *Core) startable(a *attempt) bool {
	e := c.jobs[a.job]
	return e != nil && e.run != nil && !a.stop && !a.m.fresh && e.rec.Started > a.idx && (!tracked(&e.rec) || onOf(&e.rec, a.idx) == a.m.name)
}

// commandsFor lists commands for a machine; a look changes nothing.
func (c *Core) commandsFor(m *machine, look bool) []wire.Command {
	cmds := []wire.Command{}
	if !m.accounted {
		return cmds
	}
	for _, k := range sortedAttempts(m) {
		if len(cmds) >= 200 {
			break // the rest comes with the next report; a reply has its limit
		}
		a := m.attempts[k]
		e := c.jobs[a.job]
		live := e != nil && e.run != nil
		switch {
		case a.status == wire.TaskEnded:
			// Cleared only once the outcome is written, or has no bearing.
			if !live || a.cause != wire.CauseDone || ranges(e.rec.Done).has(a.idx) {
				cmds = append(cmds, wire.Command{Verb: wire.VerbClear, Task: k.task, Attempt: k.try})
			}
		case !live || a.stop:
			if a.sent {
				g := a.graceS
				if !live {
					g = 0
				}
				cmds = append(cmds, wire.Command{Verb: wire.VerbStop, Task: k.task, Attempt: k.try, GraceS: &g})
			}
		case a.status == "" && c.startable(a) && !look:
			a.sent = true
			c.noteBack(trail.TaskAgain, a)
			cmds = append(cmds, wire.Command{Verb: wire.VerbRun, Task: k.task, Attempt: k.try})
		}
	}
	return cmds
}

// hold does the holder's duties.
func (c *Core) hold() {
	c.watchMachines()
	c.vacate()
	if c.dirty {
		c.dirty = false
		c.place()
	}
	c.preempt()
	c.flush()
	c.promptWorkers()
	c.tellWants()
}

// watchMachines notices machines that have gone silent.
func (c *Core) watchMachines() {
	for _, i := range sortedInts(c.unsettle) {
		if _, known := c.prevDead[i]; !known && c.shards[i] != nil {
			if r := c.shards[i].rec; r.Known && c.allDead(r.Past) {
				c.prevDead[i] = c.now
			}
		}
	}
	if c.checking || !c.every("watchMachines", 200*time.Millisecond) {
		return
	}
	c.suspect()
	c.missing()
	byShard := map[int][]*machine{}
	for _, m := range c.heldMachines() {
		if m.over || !c.mine(m.shard) {
			continue
		}
		var since Time
		if m.accounted || !m.inherited {
			since = m.lastOK
			if !m.reported {
				if !m.accounted && !m.inherited {
					m.accounted = true
					c.touch(m)
				}
				continue // never had a 200 from us, and was empty
			}
		} else {
			// Inherited: the earlier holder may have answered it for as long as
			// it could go unconfirmed, even after we took over; but not beyond
			// its death, which its next life proves.
			since = m.since + c.unconfirmedMax()
			if at, dead := c.prevDead[m.shard]; dead {
				since = min(since, max(m.since, at))
			}
			since = max(m.lastOK, since)
		}
		if c.now > since+c.leaseOver() {
			byShard[m.shard] = append(byShard[m.shard], m)
		}
	}
	for _, i := range sortedInts(byShard) {
		// The lease is over by our count. That nobody else answered meanwhile is
		// proven by still holding the shard now, in the state itself.
		c.checking = true
		names := byShard[i]
		c.state(StateCall{Op: OpCommit, Txn: wire.Txn{If: []wire.Condition{c.shardCond(i)}}}, func(r StateReply) {
			c.checking = false
			if r.Status == 409 {
				c.refresh(shardKey(i))
			}
			if r.Status != 200 {
				return
			}
			for _, m := range names {
				if c.machines[m.name] == m && c.now > m.lastOK+c.leaseOver() {
					m.over = true
					c.touch(m)
					if m.session > 0 {
						// Its worker kills all and goes on with the next session. A
						// report of this one that a cut has held back would bring
						// tasks that run elsewhere by now back to the machine.
						m.session, m.seq = m.session+1, 0
					}
					c.noteMachine(trail.LeaseOver, m, wire.TrailEvent{Count: len(m.attempts)})
					c.log(1, "machine silent, its lease is over", "machine", m.name, "tasks", len(m.attempts))
					c.machineGone(m, "lease over")
				}
			}
			c.hold()
		})
		return // one at a time
	}
}

// missing gives back the few rented machines that alone keep a shard from being settled,
// once all others have reported. Their deletion proves at once what else only the end of
// a lease would: of some hundred spot machines one is taken every few seconds, so nearly
// each change of hands had started tasks of every array wait for half a minute. Many
// missing at a time are a cut or an outage, and are waited for.
func (c *Core) missing() {
	for _, i := range sortedInts(c.unsettle) {
		if n := c.open[i]; n == 0 || c.now-c.entered[i] < max(tuning.MissingAfter, c.p.Report*3/2) {
			continue
		} else if total := c.machinesIn(i); n > max(tuning.MissingFew, total/tuning.MissingShare) {
			continue
		}
		for _, m := range c.heldMachines() {
			if m.shard == i && m.inherited && !m.accounted && !m.reported && !m.base && !m.drop {
				m.drop = true
				c.touch(m)
				c.used[m.block] = true // written with what users wait for
				c.noteMachine(trail.MachineReturned, m, wire.TrailEvent{Why: "missing after a change of hands"})
				c.log(1, "giving a machine back", "machine", m.name, "why", "missing after a change of hands")
			}
		}
	}
}

// machinesIn counts a shard's machines.
func (c *Core) machinesIn(shard int) (n int) {
	for _, m := range c.machines {
		if m.shard == shard {
			n++
		}
	}
	return n
}

// allDead tells whether none of these lives can be answering a worker now: a
// later life of the same node proves it, and this node answers as itself only.
func (c *Core) allDead(lives []wire.Life) bool {
	for _, l := range lives {
		if n, up := c.nodes[l.Node]; l.Node != c.p.Node && (!up || n.Boot == l.Boot) {
			return false
		}
	}
	return true
}

// flush writes what the holder has to make durable, by compare-and-set: first
// what tasks and users wait for, then the rest, so that a short write limit
// never keeps a start behind progress.
func (c *Core) flush() {
	if !c.every("flush", tuning.Tick) {
		return
	}
	c.flushJobs()
	c.flushLater()
	c.tellCaches()
}

// batch is one write of the holder: every part of it compares its shard.
type batch struct {
	c     *Core
	when  []wire.Condition
	then  []wire.Change
	jobs  []*jobEntry
	bytes int
	max   int // changes
	shard map[int]bool
}

func (c *Core) newBatch(most int) *batch {
	return &batch{c: c, max: max(2, min(most, c.p.TxnOps)), shard: map[int]bool{}}
}

func (b *batch) full() bool { return len(b.then)+2 > b.max || b.bytes > tuning.TxnBytes }

func (b *batch) add(shard int, cond *wire.Condition, changes ...wire.Change) {
	if !b.shard[shard] {
		b.shard[shard] = true
		b.when = append(b.when, b.c.shardCond(shard))
	}
	if cond != nil {
		b.when = append(b.when, *cond)
	}
	b.then = append(b.then, changes...)
}

// addJob adds changes of one job.
func (b *batch) addJob(e *jobEntry, changes ...wire.Change) {
	b.jobs = append(b.jobs, e)
	e.run.writing = true
	b.add(b.c.shardOf(e.rec.Team), &wire.Condition{Key: jobKey(e.rec.ID), Version: e.ver}, changes...)
}

// addBlock adds a block's new record.
func (b *batch) addBlock(x *blockEntry, rec wire.Block) {
	b.add(rec.Shard, &wire.Condition{Key: blockKey(x.id), Version: x.ver}, wire.Change{Put: blockKey(x.id), Value: rec})
}

// addProgress adds a job's starts and progress as they stand now.
func (b *batch) addProgress(e *jobEntry, started int) {
	rec := e.rec
	rec.Started, rec.Done = started, e.run.done.clone()
	if tracked(&rec) {
		rec.On = make([]string, rec.Tasks)
		copy(rec.On, e.rec.On)
		for k, a := range e.run.active {
			rec.On[k] = a.m.name
		}
	}
	raw, err := wire.Marshal(rec)
	for err == nil && len(rec.Done) > 0 && !wire.FitsIn(raw, b.c.p.ValueBytes) {
		// Too scattered to keep: what is left out would only run again.
		rec.Done = rec.Done[:len(rec.Done)*3/4]
		raw, err = wire.Marshal(rec)
	}
	b.bytes += len(raw)
	b.addJob(e, wire.Change{Put: jobKey(rec.ID), Value: rec})
}

// send commits the batch, if there is anything in it. busy is set meanwhile; a
// duty whose write failed pauses; written is called after one that did not.
func (b *batch) send(lane int, busy *bool, duty string, written func()) {
	if len(b.then) == 0 {
		return
	}
	c := b.c
	*busy = true
	c.commit(lane, b.when, b.then, func(r StateReply) {
		*busy = false
		for _, e := range b.jobs {
			if e.run != nil {
				e.run.writing = false
			}
		}
		if r.Status == 200 {
			written()
		} else {
			c.retryAt[duty] = c.now + tuning.RetryAfter/2
			c.log(2, "not written", "changes", len(b.then), "status", r.Status, "err", r.Err, "failed", strings.Join(r.Txn.Failed, " "))
		}
		c.dirty = true
		c.hold()
	})
}

// flushJobs writes starts, before they are made, and ends of jobs, urgent ones first.
func (c *Core) flushJobs() {
	if c.flushing || c.now < c.retryAt["flushJobs"] {
		return
	}
	b := c.newBatch(c.p.TxnOps / 2) // short, so that acceptances get in between
	finals := map[string]wire.Final{}
	c.update()
	for _, e := range sortedJobs(c.owed) {
		if b.full() {
			break
		}
		if e.run.writing {
			continue
		}
		started, ended, _ := c.owes(e)
		if !ended {
			b.addProgress(e, started)
			continue
		}
		id, f := e.rec.ID, wire.Final{Status: wire.JobDone, Done: e.rec.Tasks}
		finals[id] = f
		b.addJob(e, wire.Change{Delete: jobKey(id)}, wire.Change{Put: finalKey(id), Value: f})
	}
	for _, id := range sortedKeys(c.used) {
		x := c.blocks[id]
		if x == nil || !c.mine(x.rec.Shard) {
			delete(c.used, id)
		} else if !b.full() {
			if rec, change := c.markBlock(x); change {
				b.addBlock(x, rec)
			} else {
				delete(c.used, id)
			}
		}
	}
	for _, i := range c.shardIDs() {
		s := c.shards[i]
		if !c.mine(i) || c.unsettle[i] || s.rec.Settled || b.full() {
			continue
		}
		rec := s.rec
		rec.Settled = true
		b.add(i, nil, wire.Change{Put: shardKey(i), Value: rec})
	}
	b.send(LaneUser, &c.flushing, "flushJobs", func() {
		for _, id := range sortedKeys(finals) {
			c.keepFinal(id, finals[id])
			c.log(1, "job done", "job", id)
		}
	})
}

// markBlock is a block's record as it should stand.
func (c *Core) markBlock(x *blockEntry) (rec wire.Block, change bool) {
	rec = x.rec
	rec.Machines = append([]wire.BlockMachine(nil), x.rec.Machines...)
	for k := range rec.Machines {
		m, bm := c.machines[rec.Machines[k].Name], &rec.Machines[k]
		if m == nil {
			continue
		}
		if bm.Fresh && m.reported {
			bm.Fresh, change = false, true
		}
		if m.drop {
			if empty := m.accounted && len(m.attempts) == 0; !bm.Drop || empty && !bm.Empty {
				bm.Drop, bm.Empty, change = true, bm.Empty || empty, true
			}
		}
	}
	if idle := c.offer(x); idle != rec.Idle {
		rec.Idle, change = idle, true
	}
	return rec, change
}

// tellCaches writes which images the machines of a shard have, now and then:
// with the holder's memory that was lost, and for minutes after a takeover
// services waited for images that other machines had.
func (c *Core) tellCaches() {
	if c.telling || !c.confirmed() || !c.every("caches", tuning.CachesEvery/10) {
		return
	}
	for _, i := range sortedInts(c.learned) {
		if !c.mine(i) {
			delete(c.learned, i)
			continue
		}
		if !c.every("caches"+strconv.Itoa(i), tuning.CachesEvery) {
			continue
		}
		var has []ledger.MachineImages
		for _, m := range c.heldMachines() {
			if m.shard == i && !m.drop && len(m.images) > 0 {
				has = append(has, ledger.MachineImages{Machine: m.name, Images: sortedKeys(m.images)})
			}
		}
		parts := ledger.PackImages(has, c.p.ValueBytes-256)
		if len(parts) == 0 {
			delete(c.learned, i)
			continue
		}
		// One record at a time, in turn; the duty is done when the last is written.
		k := c.cachePart[i] % len(parts)
		key := wire.PrefixCache + strconv.Itoa(i)
		if k > 0 {
			key += "." + strconv.Itoa(k)
		}
		c.cachePart[i] = k + 1
		if k+1 < len(parts) {
			c.retryAt["caches"+strconv.Itoa(i)] = c.now + tuning.CachesEvery/time.Duration(len(parts))
		} else {
			c.cachePart[i] = 0
			delete(c.learned, i)
		}
		c.telling = true
		c.commit(LaneLater, []wire.Condition{c.shardCond(i)}, []wire.Change{{Put: key, Value: parts[k]}}, func(r StateReply) {
			c.telling = false
			if r.Status != 200 {
				c.learned[i], c.cachePart[i] = true, k
			}
		})
		return
	}
}

// movedOn tells whether a tracked job has a task on another machine than written.
func (c *Core) movedOn(e *jobEntry) bool {
	if tracked(&e.rec) {
		for k, a := range e.run.active {
			if onOf(&e.rec, k) != a.m.name {
				return true
			}
		}
	}
	return false
}

// flushLater writes marks on blocks and the progress of jobs.
func (c *Core) flushLater() {
	if c.flushingLater || !c.every("flushLater", tuning.LaterEvery) {
		return
	}
	b := c.newBatch(c.p.TxnOps / 2)
	for _, id := range c.blockIDs() {
		x := c.blocks[id]
		if !c.mine(x.rec.Shard) || c.used[id] || b.full() {
			continue
		}
		if rec, change := c.markBlock(x); change {
			b.addBlock(x, rec)
		}
	}
	c.update()
	for _, e := range sortedJobs(c.behind) {
		if b.full() {
			break
		}
		// Progress of a job that still has starts to write goes with them.
		if e.run.writing || c.now-e.run.wrote < tuning.LazyFlush {
			continue
		}
		e.run.wrote = c.now
		b.addProgress(e, max(e.rec.Started, e.run.next))
	}
	b.send(LaneLater, &c.flushingLater, "flushLater", func() {})
}
