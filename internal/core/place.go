package core

import (
	"fmt"
	"math"
	"slices"
	"sort"
	"time"

	"github.com/barrowbridge/barrowbridge/internal/placement"
	"github.com/barrowbridge/barrowbridge/internal/trail"
	"github.com/barrowbridge/barrowbridge/internal/tuning"
	"github.com/barrowbridge/barrowbridge/wire"
)

// free is what a machine has left, counting every attempt that may be on it.
func (c *Core) free(m *machine) placement.Size { return c.sumOf(m).free }

// sumOf adds up what is on a machine, if that has changed since.
func (c *Core) sumOf(m *machine) *machineSum {
	x := &m.sum
	if x.ok && x.sizes == c.sizes {
		return x
	}
	full, _ := c.sizeOf(m.typ)
	*x = machineSum{ok: true, sizes: c.sizes, free: full, teams: x.teams[:0]}
	for _, k := range sortedAttempts(m) {
		a := m.attempts[k]
		switch {
		case a.status == wire.TaskEnded:
			continue
		case !a.known:
			x.unknown++
			continue
		}
		x.free = x.free.Sub(a.size)
		i := 0
		for i < len(x.teams) && x.teams[i].team != a.team {
			i++
		}
		if i == len(x.teams) {
			x.teams = append(x.teams, teamUse{team: a.team})
		}
		x.teams[i].size = x.teams[i].size.Add(a.size)
	}
	if x.unknown > 0 {
		x.free = placement.Size{} // a stranger of unknown size: leave room for it all
	}
	return x
}

// allows tells whether a job's tasks may run on machines of this type, zone and kind.
func allows(j *wire.Job, m *machine) bool {
	return allowsType(j.Types, m.typ) && (j.Zone == "" || m.zone == j.Zone) && (!m.spot || j.Spot)
}

// exceeds tells whether a use is over the team's limit.
func (t Team) exceeds(use placement.Size) bool {
	return use.CPUs > t.CPUsMax+1e-6 || use.GPUs > t.GPUsMax+1e-6
}

// usable tells whether tasks may be placed on a machine now.
func (c *Core) usable(m *machine) bool {
	b := c.blocks[m.block]
	if _, cordoned := c.cordons[m.name]; cordoned {
		return false
	}
	return m.reported && m.accounted && !m.drop && !m.notice && !m.over && !m.moving && b != nil && !b.rec.Idle && !c.vacating[m.block] &&
		c.now-m.lastReport < 2*c.p.Report+500*time.Millisecond
}

// usage is what each team's tasks may use at this moment, at the most. Each
// team is homed in one shard and runs on that shard's machines only, so that a
// shard can change hands without leaving tasks behind, uncounted.
func (c *Core) usage() map[string]placement.Size {
	u := map[string]placement.Size{}
	strangers := map[int]placement.Size{}
	for _, m := range c.heldMachines() {
		x := c.sumOf(m)
		n := x.unknown
		if m.inherited && !m.accounted {
			n++ // anything may run there, for any team
		}
		if n > 0 {
			full, _ := c.sizeOf(m.typ)
			for range n {
				strangers[m.shard] = strangers[m.shard].Add(full)
			}
		}
		for _, t := range x.teams {
			u[t.team] = u[t.team].Add(t.size)
		}
	}
	if len(strangers) > 0 {
		for team := range c.p.Teams {
			u[team] = u[team].Add(strangers[c.shardOf(team)])
		}
	}
	return u
}

// urgentRank is the lowest priority that is served ahead of room and cost.
var urgentRank = wire.PriorityRank("urgent")

// placing is one job in a placement pass.
type placing struct {
	e       *jobEntry
	within  bool
	due     float64 // seconds of the day's time; +Inf without a deadline
	work    float64 // CPU seconds left
	strict  int
	pending int
	late    bool // cannot be on time without making more jobs late
}

// queue lists this controller's jobs with tasks to start, in the order they
// are served: priority, work within its team's guarantee, the strictest
// closeness (Pogonip's order), what can be on time, deadline, age.
func (c *Core) queue() []placing {
	var q []placing
	demand := map[string]placement.Size{}
	jobs := c.jobsByAge()
	byTeam := map[string][]*placing{}
	services := map[string]float64{}
	all := make([]placing, 0, len(jobs))
	waiting := 0
	for _, e := range jobs {
		if e.run == nil {
			continue
		}
		rest := e.rec.Tasks - e.run.done.count()
		team := c.p.Teams[e.rec.Team]
		d := demand[e.rec.Team]
		s := jobSize(&e.rec)
		d = d.Add(placement.Size{CPUs: s.CPUs * float64(rest), GPUs: s.GPUs * float64(rest)})
		demand[e.rec.Team] = d
		p := placing{e: e, pending: len(e.run.retry) + e.rec.Tasks - e.run.next, due: math.Inf(1)}
		p.within = d.CPUs <= team.CPUs+1e-6 && d.GPUs <= team.GPUs+1e-6
		p.work = float64(rest) * e.rec.EstimateS * s.CPUs
		if e.rec.DueS > 0 {
			p.due = float64(e.rec.AcceptedMS)/1000 + e.rec.DueS
		}
		if e.rec.Zone != "" || e.rec.OneZone {
			p.strict = 1
		}
		if e.rec.Shape == wire.ShapeService {
			services[e.rec.Team] += s.CPUs * float64(rest)
		}
		if p.pending > 0 {
			waiting++
		}
		all = append(all, p)
	}
	if waiting == 0 {
		return nil
	}
	for i := range all {
		if p := &all[i]; !math.IsInf(p.due, 1) {
			byTeam[p.e.rec.Team] = append(byTeam[p.e.rec.Team], p)
		}
	}
	have := c.shardCPUs()
	now := float64(c.wall.UnixMilli()) / 1000
	for _, team := range sortedKeys(byTeam) {
		t := c.p.Teams[team]
		markLate(byTeam[team], now, max(1, min(t.CPUsMax, max(have[c.shardOf(team)], t.CPUs))-services[team]))
	}
	for _, p := range all {
		if p.pending > 0 {
			q = append(q, p)
		}
	}
	sort.SliceStable(q, func(i, j int) bool {
		a, b := q[i], q[j]
		switch {
		case a.e.prio != b.e.prio:
			return a.e.prio > b.e.prio
		case a.within != b.within:
			return a.within
		case a.strict != b.strict:
			return a.strict > b.strict
		case a.late != b.late:
			return !a.late
		case a.late && a.work != b.work:
			return a.work < b.work
		case a.due != b.due:
			return a.due < b.due
		}
		return false // by age already
	})
	return q
}

// markLate finds the jobs of one team to give up being on time for, so that as
// many others as possible are (Moore and Hodgson): in order of deadline, and
// whenever one would be late, the largest so far is left out. Plain order of
// deadline lets one hopeless job make all after it late.
func markLate(ps []*placing, now, cpus float64) {
	sort.SliceStable(ps, func(i, j int) bool { return ps[i].due < ps[j].due })
	var kept []*placing
	t := now
	for _, p := range ps {
		if now+p.e.rec.EstimateS > p.due && p.pending > 0 {
			p.late = true
			continue
		}
		kept = append(kept, p)
		t += p.work / cpus
		if t <= p.due {
			continue
		}
		k := 0
		for i, o := range kept {
			if o.work > kept[k].work {
				k = i
			}
		}
		kept[k].late = true
		t -= kept[k].work / cpus
		kept = append(kept[:k], kept[k+1:]...)
	}
}

// place is one Pogonip pass over the waiting jobs.
func (c *Core) place() {
	if !c.confirmed() || len(c.machines) == 0 {
		return
	}
	var f field
	for _, m := range c.heldMachines() {
		if c.usable(m) {
			f.usable = append(f.usable, m)
			continue
		}
		for _, k := range sortedAttempts(m) {
			if a := m.attempts[k]; !a.sent && a.status == "" {
				c.attemptGone(a, "its machine is not usable")
			}
		}
	}
	q := c.queue()
	if len(q) == 0 {
		return
	}
	f.used = c.usage()
	f.least = jobSize(&q[0].e.rec)
	for _, p := range q[1:] {
		s := jobSize(&p.e.rec)
		f.least = placement.Size{CPUs: min(f.least.CPUs, s.CPUs), GPUs: min(f.least.GPUs, s.GPUs), MemGB: min(f.least.MemGB, s.MemGB)}
	}
	for _, m := range f.usable {
		if placement.Fits(c.free(m), f.least) {
			f.open = append(f.open, m)
		}
	}
	for _, p := range q {
		c.placeJob(p.e, &f)
	}
}

// field is what one placement pass chooses from. Most machines of a large
// fleet are full at any time: a pass looks only at those that are not.
type field struct {
	usable []*machine
	open   []*machine     // those with room for the least that any waiting task asks
	least  placement.Size // of each resource
	used   map[string]placement.Size
	cs     []placement.Candidate
	cm     []*machine
}

// allowed tells whether a task of the job may be placed on a machine, room apart.
func (c *Core) allowed(e *jobEntry, m *machine, shard int, zones map[string]int) bool {
	j, run := &e.rec, e.run
	switch {
	case m.shard != shard || !allows(j, m):
		return false
	case j.OneZone && len(zones) > 0 && zones[m.zone] == 0:
		return false
	case j.Shape == wire.ShapeGang && j.OneZone && m.zone != run.zone:
		return false
	case j.Spread && zones[m.zone]+1 > (j.Tasks+1)/2:
		return false
	case m.badJobs[j.ID] && run.fails > 0:
		return false
	}
	return true
}

// placeJob starts as many of a job's waiting tasks as fit.
func (c *Core) placeJob(e *jobEntry, f *field) {
	j, run := &e.rec, e.run
	shard := c.shardOf(j.Team)
	if c.now < run.notYet {
		return
	}
	if c.unsettle[shard] && run.held > 0 && j.Tasks > 1 && (j.OneZone || j.Spread || j.Shape == wire.ShapeService) {
		return // where its other tasks are is not known yet
	}
	size, team := jobSize(j), c.p.Teams[j.Team]
	// Tasks of earlier holders that may be anywhere count against the limit.
	maybe := 0
	if run.held > 0 {
		for k := 0; k < run.held; k++ {
			if !run.done.has(k) && run.active[k] == nil {
				maybe++
			}
		}
	}
	zones := map[string]int{}
	for _, a := range run.active {
		zones[a.m.zone]++
	}
	anchor := len(run.active) == 0 && run.done.count() == 0
	gang := j.Shape == wire.ShapeGang
	if gang {
		if len(run.active) > 0 || !c.gangFits(e, shard, f) {
			return
		}
		c.tryNo++ // workers let a gang run when all of it is there under one attempt number
	}
	for len(run.retry) > 0 || run.next < j.Tasks {
		u := f.used[j.Team]
		lim := u.Add(placement.Size{CPUs: size.CPUs * float64(maybe+1), GPUs: size.GPUs * float64(maybe+1)})
		if team.exceeds(lim) {
			return
		}
		cs, cm := f.cs[:0], f.cm[:0]
		for _, m := range f.open {
			free := c.free(m)
			if !placement.Fits(free, size) || !c.allowed(e, m, shard, zones) {
				continue
			}
			cand := placement.Candidate{Free: free, Opens: !m.base && len(m.attempts) == 0}
			if j.Shape == wire.ShapeService {
				cand.Load = zones[m.zone]
			}
			if m.images[j.Image] {
				cand.Better = 1
			}
			cs, cm = append(cs, cand), append(cm, m)
		}
		f.cs, f.cm = cs, cm
		k := placement.Pick(cs, size, anchor)
		if len(run.retry) > 0 && tracked(j) {
			// Back to where it was: its image is there, and that start is written
			// already. After an outage hundreds start again at once.
			for i, m := range cm {
				if m.name == onOf(j, run.retry[0]) {
					k = i
				}
			}
		}
		if k < 0 {
			if e.prio >= urgentRank && c.now-run.since > tuning.PreemptAfter {
				var allowed []*machine
				for _, m := range f.usable {
					if c.allowed(e, m, shard, zones) {
						allowed = append(allowed, m)
					}
				}
				c.preempt(e, allowed)
			}
			return
		}
		m := cm[k]
		idx := run.next
		if len(run.retry) > 0 {
			idx, run.retry = run.retry[0], run.retry[1:]
		} else {
			run.next++
		}
		if !gang {
			c.tryNo++
		}
		a := &attempt{key: attemptKey{wire.TaskName(j.ID, idx), c.boot<<24 | c.tryNo}, job: j.ID, idx: idx, team: j.Team,
			size: size, known: true, m: m, created: c.now, running: c.now}
		c.addAttempt(a)
		run.active[idx] = a
		m.idleSince = c.now
		f.used[j.Team] = u.Add(size)
		zones[m.zone]++
		c.log(2, "task placed", "task", a.key.task, "try", a.key.try, "machine", m.name, "zone", m.zone, "anchor", anchor, "beta", placement.Beta(cs[k].Free, size))
		anchor = false
	}
}

// gangFits tells whether all waiting tasks of a gang, none of which is placed,
// find room at once; a part
// of a gang would only wait on its machines. On a yes for a gang bound to one
// zone, the anchor's choice binds the rest, so each zone is tried alone.
func (c *Core) gangFits(e *jobEntry, shard int, f *field) bool {
	j, run := &e.rec, e.run
	size, team := jobSize(j), c.p.Teams[j.Team]
	waiting := len(run.retry) + j.Tasks - run.next
	n := float64(waiting)
	if team.exceeds(f.used[j.Team].Add(placement.Size{CPUs: n * size.CPUs, GPUs: n * size.GPUs})) {
		return false
	}
	room := map[string]int{}
	for _, m := range f.open {
		if free := c.free(m); m.shard == shard && allows(j, m) && placement.Fits(free, size) {
			room[m.zone] += placement.Beta(free, size) + 1
		}
	}
	total := 0
	for _, z := range sortedKeys(room) {
		switch {
		case j.OneZone:
			if room[z] >= waiting {
				run.zone = z
				return true
			}
		case j.Spread:
			total += min(room[z], (j.Tasks+1)/2)
		default:
			total += room[z]
		}
	}
	return total >= waiting
}

// offer tells whether a block should stand as idle: nothing runs on it, this
// shard has no use for it, and another asks. While it stands so, nothing is
// started on it, and the leader may move it.
func (c *Core) offer(b *blockEntry) bool {
	if c.vacating[b.id] {
		return c.empty(b, 0)
	}
	if c.wantedHere(b.rec.Shard) {
		return false
	}
	asked := false
	for i, w := range c.wants {
		if i != b.rec.Shard && len(w.Needs) > 0 {
			for _, n := range w.Needs {
				asked = asked || c.serves(b, n)
			}
		}
	}
	return asked && c.empty(b, tuning.IdleOffer) && c.spareBeyond(b.rec.Shard, b.id)
}

// empty tells whether nothing has been on a block for a while.
func (c *Core) empty(b *blockEntry, since time.Duration) bool {
	for _, bm := range b.rec.Machines {
		m := c.machines[bm.Name]
		if m == nil || m.drop || !m.accounted || len(m.attempts) > 0 || !m.reported || c.now-m.idleSince < since {
			return false
		}
	}
	return len(b.rec.Machines) > 0
}

// spareTarget is for how many urgent tasks a shard keeps room: one, and as many
// as come while a machine boots.
func (c *Core) spareTarget(shard int) int {
	u, ok := c.urgent[shard]
	if !ok || c.now-u.seen > tuning.UrgentMemory {
		return 0
	}
	came := c.came[shard]
	for len(came) > 0 && c.now-came[0] > tuning.ArrivalWindow {
		came = came[1:]
	}
	c.came[shard] = came
	boot := 0.0
	for _, t := range c.types {
		boot = max(boot, t.BootS)
	}
	return 1 + int(math.Ceil(float64(len(came))*boot/tuning.ArrivalWindow.Seconds()))
}

// roomFor counts the urgent tasks that a machine could take at once, lesser
// work on it giving way.
func (c *Core) roomFor(m *machine, u placement.Size) int {
	f := c.free(m)
	for _, a := range m.attempts {
		if e := c.jobs[a.job]; e != nil && e.prio < urgentRank && a.status != wire.TaskEnded {
			f = f.Add(a.size)
		}
	}
	return placement.Beta(f, u) + 1
}

// spareBeyond tells whether a shard keeps room for urgent tasks without the
// given block (or machine): such work should not wait for a boot.
func (c *Core) spareBeyond(shard int, without string) bool {
	left := c.spareTarget(shard)
	for _, m := range c.heldMachines() {
		if left <= 0 {
			break
		}
		if m.shard == shard && m.block != without && m.name != without && !m.spot && c.usable(m) {
			left -= c.roomFor(m, c.urgent[shard].size)
		}
	}
	return left <= 0
}

// preempt stops lesser work for an urgent task that finds no room, on the
// machine where the least running time is lost.
func (c *Core) preempt(e *jobEntry, fits []*machine) {
	size := jobSize(&e.rec)
	var best []*attempt
	loss := time.Duration(math.MaxInt64)
	for _, m := range fits {
		var victims []*attempt
		f := c.free(m)
		for _, k := range sortedAttempts(m) {
			a := m.attempts[k]
			v := c.jobs[a.job]
			switch {
			case a.status == wire.TaskEnded || !a.sent:
			case a.stop || v == nil:
				f = f.Add(a.size) // already leaving
			case v.prio < e.prio && a.known:
				victims = append(victims, a)
			}
		}
		if placement.Fits(f, size) {
			return
		}
		sort.SliceStable(victims, func(i, j int) bool { return victims[i].running > victims[j].running })
		lost, n := time.Duration(0), 0
		for ; n < len(victims) && !placement.Fits(f, size); n++ {
			f = f.Add(victims[n].size)
			lost += c.now - victims[n].running
		}
		if placement.Fits(f, size) && lost < loss {
			best, loss = victims[:n], lost
		}
	}
	for _, a := range best {
		c.stopAttempt(a)
		c.noteTask(trail.TaskStopped, a, "for "+e.rec.ID+", which is urgent")
		c.log(1, "stopping a task for urgent work", "task", a.key.task, "machine", a.m.name, "for", e.rec.ID)
	}
}

// stopAttempt has a task stopped, with time to save if it can.
func (c *Core) stopAttempt(a *attempt) {
	a.stop = true
	if e := c.jobs[a.job]; e != nil && e.rec.CheckpointEvery > 0 {
		a.graceS = e.rec.SaveS
	}
}

// vacate empties blocks for other shards' guaranteed work that finds no room.
// The shard that is furthest beyond its guarantee gives way, with the block
// where least is lost.
func (c *Core) vacate() {
	if !c.every("vacate", 200*time.Millisecond) || !c.confirmed() {
		return
	}
	dire := false
	for _, i := range sortedInts(c.wants) {
		for _, n := range c.wants[i].Needs {
			if !n.Dire {
				continue
			}
			dire = true
			k := c.borrower(i)
			if k < 0 || !c.mine(k) {
				continue
			}
			c.vacateFor(k, n)
		}
	}
	if !dire && len(c.vacating) > 0 {
		c.vacating = map[string]bool{}
		c.dirty = true
	}
}

// borrower is the shard with the most CPUs beyond its teams' guarantees.
func (c *Core) borrower(except int) int {
	best, most := -1, 0.0
	have := c.shardCPUs()
	for _, i := range c.shardIDs() {
		if over := have[i] - c.guarantee(i); i != except && over > most {
			best, most = i, over
		}
	}
	return best
}

// shardCPUs sums up the machines of each shard's blocks.
func (c *Core) shardCPUs() map[int]float64 {
	have := map[int]float64{}
	for _, id := range c.blockIDs() {
		b := &c.blocks[id].rec
		have[b.Shard] += c.blockCPUs(b)
	}
	return have
}

func (c *Core) blockCPUs(b *wire.Block) float64 {
	full, _ := c.sizeOf(b.Type)
	return full.CPUs * float64(len(b.Machines))
}

// guarantee sums up the guarantees of a shard's teams.
func (c *Core) guarantee(shard int) float64 {
	g := 0.0
	for _, t := range c.shards[shard].rec.Teams {
		g += c.p.Teams[t].CPUs
	}
	return g
}

func (c *Core) vacateFor(shard int, n wire.Need) {
	want := n.Tasks
	ask := needSize(n)
	best, loss := "", time.Duration(0)
	for _, id := range c.blockIDs() {
		b := c.blocks[id]
		if b.rec.Shard != shard || !c.serves(b, n) {
			continue
		}
		full, _ := c.sizeOf(b.rec.Type)
		if c.vacating[id] || b.rec.Idle {
			want -= len(b.rec.Machines) * (placement.Beta(full, ask) + 1)
			continue
		}
		lost, ok := time.Duration(0), true
		for _, bm := range b.rec.Machines {
			m := c.machines[bm.Name]
			if m == nil || !c.usable(m) {
				ok = false
				break
			}
			for _, a := range m.attempts {
				if e := c.jobs[a.job]; e != nil && e.prio >= urgentRank {
					ok = false
				}
				if a.status != wire.TaskEnded {
					lost += c.now - a.running + time.Second
				}
			}
		}
		if ok && (best == "" || lost < loss) {
			best, loss = id, lost
		}
	}
	if want <= 0 || best == "" {
		return
	}
	c.vacating[best] = true
	c.dirty = true
	c.noteShard(trail.BlockEmptied, shard, wire.TrailEvent{Block: best, Why: "another team's guarantee"})
	c.log(1, "emptying a block for another team's guarantee", "block", best, "shard", shard, "lost", loss.String())
	for _, bm := range c.blocks[best].rec.Machines {
		m := c.machines[bm.Name]
		for _, k := range sortedAttempts(m) {
			a := m.attempts[k]
			if a.sent && a.status != wire.TaskEnded {
				c.stopAttempt(a)
				c.noteTask(trail.TaskStopped, a, "its block is emptied")
			}
		}
	}
}

func sortedInts[V any](m map[int]V) []int {
	ks := make([]int, 0, len(m))
	for k := range m {
		ks = append(ks, k)
	}
	sort.Ints(ks)
	return ks
}

func needSize(n wire.Need) placement.Size {
	return placement.Size{CPUs: n.CPUs, GPUs: n.GPUs, MemGB: n.MemGB}
}

// serves tells whether a block's machines could hold a task of a need.
func (c *Core) serves(b *blockEntry, n wire.Need) bool {
	full, ok := c.sizeOf(b.rec.Type)
	return ok && allowsType(n.Types, b.rec.Type) && (n.Zone == "" || n.Zone == b.rec.Zone) && (!b.rec.Spot || n.Spot) &&
		placement.Fits(full, needSize(n))
}

func (c *Core) wantedHere(shard int) bool {
	return len(c.wantSent[shard].Needs) > 0
}

// needs lists the tasks of a shard that no held machine has room for, those
// still booting included: Pogonip's overflow.
func (c *Core) needs(shard int) []wire.Need {
	free := map[*machine]placement.Size{}
	var ms []*machine
	for _, m := range c.heldMachines() {
		if m.shard != shard || m.drop || m.notice || m.over {
			continue
		}
		// What is on a machine not accounted for is not known: it may be empty, so
		// only what finds no room even then is asked for.
		if full, ok := c.sizeOf(m.typ); ok && (!m.reported || !m.accounted) {
			ms, free[m] = append(ms, m), full
		} else if c.usable(m) {
			ms, free[m] = append(ms, m), c.free(m)
		}
	}
	used := c.usage()
	var out []wire.Need
	starved := false
	if left := c.spareTarget(shard); left > 0 {
		// Room for the next urgent tasks, so that they do not wait for a boot.
		u := c.urgent[shard].size
		for _, m := range ms {
			if m.spot {
				continue
			}
			if m.reported {
				left -= c.roomFor(m, u)
			} else {
				left -= placement.Beta(free[m], u) + 1
			}
		}
		if left > 0 {
			out = addNeed(out, wire.Need{CPUs: u.CPUs, GPUs: u.GPUs, MemGB: u.MemGB, Tasks: left})
		}
	}
	for _, p := range c.queue() {
		j := &p.e.rec
		if c.shardOf(j.Team) != shard {
			continue
		}
		size, team := jobSize(j), c.p.Teams[j.Team]
		zone := j.Zone
		if j.OneZone {
			for _, a := range p.e.run.active {
				zone = a.m.zone
			}
		}
		waits := p.within && p.e.prio >= urgentRank && c.now-p.e.run.since > tuning.DireAfter
		left, at := 0, 0 // machines before at have no room for this job's tasks
		for k := 0; k < p.pending; k++ {
			lim := used[j.Team].Add(size)
			if team.exceeds(lim) {
				break
			}
			used[j.Team] = lim
			for at < len(ms) && !(allows(j, ms[at]) && (zone == "" || ms[at].zone == zone) && placement.Fits(free[ms[at]], size)) {
				at++
			}
			if at < len(ms) {
				free[ms[at]] = free[ms[at]].Sub(size)
			} else {
				left++
			}
		}
		if left == 0 && !waits {
			continue
		}
		n := wire.Need{Types: j.Types, Zone: zone, Spot: j.Spot, CPUs: size.CPUs, GPUs: size.GPUs, MemGB: size.MemGB, Tasks: left}
		if waits {
			// A boot is on its way at best; a borrowed machine is there now.
			n.Dire, n.Booting, n.Tasks = true, left == 0, max(left, p.pending)
		}
		if p.within && left > 0 {
			starved = true
			if at, ok := c.dire[shard]; ok && c.now-at > tuning.DireAfter {
				n.Dire = true
			}
		}
		out = addNeed(out, n)
	}
	if _, was := c.dire[shard]; !starved {
		delete(c.dire, shard)
	} else if !was {
		c.dire[shard] = c.now
	}
	return out
}

// addNeed joins needs of the same kind. Many jobs of one task each used to be as
// many needs, and got a machine each, one after the other, where one rental or
// a few of another shard's blocks would have held them all.
func addNeed(out []wire.Need, n wire.Need) []wire.Need {
	for i := range out {
		if sameKind(out[i], n) {
			out[i].Tasks += n.Tasks
			return out
		}
	}
	if len(out) < tuning.NeedsMax {
		out = append(out, n)
	}
	return out
}

// tellWants writes what each held shard lacks, for the leader to read.
func (c *Core) tellWants() {
	if c.wantBusy || !c.confirmed() || !c.every("want", 300*time.Millisecond) {
		return
	}
	for _, i := range c.shardIDs() {
		if !c.mine(i) {
			continue
		}
		w := wire.Want{Needs: c.needs(i), Seen: c.newestBlock(i)}
		c.retire(i, len(w.Needs) > 0)
		if len(w.Needs) == 0 {
			c.moveOff(i)
		}
		old := c.wants[i]
		if sameNeeds(old.Needs, w.Needs) && (len(w.Needs) == 0 || old.Seen == w.Seen) {
			c.wantSent[i] = old
			continue
		}
		c.wantBusy = true
		c.wantSent[i] = w
		c.log(2, "asking the leader for machines", "shard", i, "needs", len(w.Needs))
		c.commit(LaneLater, []wire.Condition{c.shardCond(i)}, []wire.Change{{Put: wantKey(i), Value: w}}, func(r StateReply) {
			c.wantBusy = false
			c.retryAt["want"] = c.now + 300*time.Millisecond
			c.changed()
		})
		return
	}
}

// moveOff frees one rented machine that runs nothing but a few replicas, if all
// of them find room, and their image, on machines in use. Anchors spread by
// design; once the batches around them have ended, each holds a machine alone.
func (c *Core) moveOff(shard int) {
	if c.unsettle[shard] || !c.every(fmt.Sprintf("move%d", shard), tuning.MoveEvery) {
		return
	}
	var in []*machine
	for _, m := range c.heldMachines() {
		if m.shard == shard {
			if m.moving {
				return // one at a time
			}
			if c.usable(m) && len(m.attempts) > 0 {
				in = append(in, m)
			}
		}
	}
	sort.SliceStable(in, func(i, j int) bool { return c.free(in[i]).CPUs > c.free(in[j]).CPUs })
	for _, m := range in {
		if !m.base && c.movable(m, in) {
			m.moving = true
			for _, k := range sortedAttempts(m) {
				c.stopAttempt(m.attempts[k])
			}
			c.log(1, "moving replicas off a machine", "machine", m.name, "replicas", len(m.attempts))
			return
		}
	}
}

// movable tells whether everything on a machine could be moved to the others.
func (c *Core) movable(m *machine, in []*machine) bool {
	free := map[*machine]placement.Size{}
	for _, o := range in {
		free[o] = c.free(o)
	}
	for _, k := range sortedAttempts(m) {
		a := m.attempts[k]
		e := c.jobs[a.job]
		if e == nil || e.run == nil || e.rec.Shape != wire.ShapeService || e.rec.OneZone || e.rec.Spread || a.stop ||
			a.status != wire.TaskRunning || c.now-a.running < tuning.MoveAfter {
			return false
		}
		found := false
		for _, o := range in {
			if o != m && allows(&e.rec, o) && o.images[e.rec.Image] && placement.Fits(free[o], a.size) {
				free[o] = free[o].Sub(a.size)
				found = true
				break
			}
		}
		if !found {
			return false
		}
	}
	return true
}

// retire marks machines to be given back: idle, silent, never up, or taken.
func (c *Core) retire(shard int, busy bool) {
	for _, m := range c.heldMachines() {
		if m.shard != shard || m.drop {
			continue
		}
		boot := max(seconds(c.types[m.typ].BootS*tuning.BootGiveUp), tuning.BootGiveUpMin)
		why := ""
		switch {
		case !m.reported && c.now-m.since > boot:
			why = "never came up"
		case m.over && !m.base, m.reported && c.now-m.lastReport > seconds(c.settings.SilentDropS):
			// A rented machine that was lost costs as much as another; one that
			// stands here anyway may come back.
			why = "silent"
		case m.notice && c.now > m.noticeAt+2*time.Second && c.now-m.lastReport > 4*c.p.Report:
			why = "taken"
		case m.moving && len(m.attempts) == 0:
			why = "moved off"
		case !m.base && !busy && m.reported && m.accounted && len(m.attempts) == 0 && c.now-m.idleSince > seconds(c.settings.IdleReturnS) &&
			(m.spot || c.spareBeyond(shard, m.name)):
			why = "idle"
		}
		if why != "" {
			m.drop = true
			c.noteMachine(trail.MachineReturned, m, wire.TrailEvent{Why: why})
			c.log(1, "giving a machine back", "machine", m.name, "why", why)
		}
	}
}

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }

// sameKind tells whether two needs differ by the number of tasks at most.
func sameKind(x, y wire.Need) bool {
	return x.Zone == y.Zone && x.Spot == y.Spot && needSize(x) == needSize(y) && x.Dire == y.Dire && x.Booting == y.Booting && slices.Equal(x.Types, y.Types)
}

func sameNeeds(a, b []wire.Need) bool {
	return slices.EqualFunc(a, b, func(x, y wire.Need) bool { return x.Tasks == y.Tasks && sameKind(x, y) })
}
