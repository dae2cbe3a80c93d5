package core

import (
	"cmp"
	"maps"
	"math"
	"slices"
	"time"

	"github.com/barrowbridge/barrowbridge/internal/ledger"
	"github.com/barrowbridge/barrowbridge/internal/placement"
	"github.com/barrowbridge/barrowbridge/internal/queue"
	"github.com/barrowbridge/barrowbridge/internal/supply"
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
	*x = machineSum{ok: true, sizes: c.sizes, free: full}
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
		for i < len(x.teams) && x.teams[i].Team != a.team {
			i++
		}
		if i == len(x.teams) {
			x.teams = append(x.teams, ledger.Use{Team: a.team})
		}
		x.teams[i].Size = x.teams[i].Size.Add(a.size)
	}
	if x.unknown > 0 {
		x.free = placement.Size{} // a stranger of unknown size: leave room for it all
	}
	return x
}

// allows tells whether a job's tasks may run on machines of this type, zone and kind.
func allows(j *wire.Job, m *machine) bool {
	return supply.Allows(j, ledger.Kind{Type: m.typ, Zone: m.zone, Spot: m.spot})
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
	return m.reported && m.accounted && !m.ear.Deaf() && !m.drop && !m.notice && !m.over && !m.moving && b != nil && !b.rec.Idle && !c.idleMarkPending(b) && !c.vacating[m.block] &&
		c.now-m.lastReport < c.freshFor()
}

// freshFor is how long after its last report a machine is given tasks: two reports
// may be late, or one lost.
func (c *Core) freshFor() time.Duration { return 2*c.p.Report + tuning.FreshMargin }

// urgentRank is the lowest priority that is served ahead of room and cost.
var urgentRank = wire.PriorityRank("urgent")

// normalRank is the priority of work that can wait for room, and for nothing else.
var normalRank = wire.PriorityRank("normal")

// idleRank is the priority of work that is run when there is nothing else to do.
var idleRank = wire.PriorityRank("idle")

// inf is the deadline of a job without one.
var inf = math.Inf(1)

// place is one Pogonip pass over the waiting jobs.
func (c *Core) place() {
	if !c.confirmed() || len(c.machines) == 0 {
		return
	}
	c.update()
	if c.order.Len() == 0 {
		return
	}
	c.judge()
	most := map[int]placement.Size{}
	c.order.Walk(func(team string) placement.Size {
		i := c.shardOf(team)
		m, ok := most[i]
		if !ok {
			m = c.room.Most(i)
			most[i] = m
		}
		t, u := c.p.Teams[team], c.room.Used(team, i)
		return placement.Size{CPUs: min(m.CPUs, t.CPUsMax-u.CPUs), GPUs: min(m.GPUs, t.GPUsMax-u.GPUs), MemGB: m.MemGB}
	}, func(p *queue.Place[*jobEntry]) bool {
		if c.placeJob(p) > 0 {
			delete(most, c.shardOf(p.Job.Team))
		}
		return true
	})
	c.placeReserved()
}

// zonesOf counts a job's tasks by zone, where its placement hangs on that.
func zonesOf(e *jobEntry) map[string]int {
	if j := &e.rec; !j.OneZone && !j.Spread && j.Shape != wire.ShapeService {
		return nil
	}
	zones := map[string]int{}
	for _, a := range e.run.active {
		zones[a.m.zone]++
	}
	return zones
}

// kinds tells which kinds of machines a job's next task may be placed on.
func (c *Core) kinds(e *jobEntry, zones map[string]int) func(ledger.Kind) bool {
	return supply.Kinds(&e.rec, e.run.zone, zones)
}

// unseen counts a job's tasks that may run on machines of an earlier holder: they count
// against the team's limit.
func (r *jobRun) unseen() int {
	n := r.held - r.done.Below(r.held)
	for k := range r.active {
		if k < r.held && !r.done.Has(k) {
			n--
		}
	}
	return n
}

// barred tells whether nothing of a job may be placed now: it pauses after failures, or
// where its other tasks are, on which its places hang, is not known yet.
func (c *Core) barred(e *jobEntry, shard int) bool {
	j, run := &e.rec, e.run
	return run == nil || c.now < run.notYet ||
		c.unsettle[shard] && run.held > 0 && j.Tasks > 1 && (j.OneZone || j.Spread || j.Shape == wire.ShapeService)
}

// placeJob starts as many of a job's waiting tasks as fit, and says how many.
func (c *Core) placeJob(p *queue.Place[*jobEntry]) (placed int) {
	e := p.Handle
	j, run := &e.rec, e.run
	shard := c.shardOf(j.Team)
	if c.barred(e, shard) {
		return 0
	}
	size, team, zones := jobSize(j), c.effectiveLimit(e), zonesOf(e)
	maybe := float64(run.unseen() + 1)
	anchor := len(run.active) == 0 && run.done.Count() == 0
	gang := j.Shape == wire.ShapeGang
	if gang {
		if len(run.active) > 0 || !c.gangFits(e, shard) {
			return 0
		}
		c.tryNo++ // workers let a gang run when all of it is there under one attempt number
	}
	for c.trials(e) > 0 {
		if p.Overdue && placed > 0 {
			return placed // the others wait for their turn
		}
		if team.exceeds(c.room.Used(j.Team, shard).Add(placement.Size{CPUs: size.CPUs * maybe, GPUs: size.GPUs * maybe})) {
			return placed
		}
		m, beta := c.choose(p, shard, size, anchor, zones)
		if m == nil {
			return placed
		}
		c.placeOn(e, m, !gang)
		if zones != nil {
			zones[m.zone]++
		}
		placed++
		c.log(2, "task placed", "job", j.ID, "machine", m.name, "zone", m.zone, "anchor", anchor, "beta", beta)
		anchor = false
	}
	return placed
}

// placeOn reserves a machine for a job's next task, under a try of its own or, a gang's,
// under that of the others.
func (c *Core) placeOn(e *jobEntry, m *machine, own bool) {
	j, run := &e.rec, e.run
	run.passedOver = 0
	idx := run.next
	if len(run.retry) > 0 {
		idx, run.retry = run.retry[0], run.retry[1:]
	} else {
		run.next++
	}
	if own {
		c.tryNo++
	}
	a := &attempt{key: attemptKey{wire.TaskName(j.ID, idx), c.member.Boot()<<24 | c.tryNo}, job: j.ID, idx: idx, team: j.Team,
		size: jobSize(j), known: true, lesser: e.prio < urgentRank, idle: e.prio <= idleRank, m: m, created: c.now, running: c.now}
	c.addAttempt(a)
	c.touchJob(e)
	run.active[idx] = a
	m.idleSince = c.now
	c.refreshMachine(m)
	c.wantReport(m, e.prio >= urgentRank)
}

// choose picks the machine of a job's next task among those the ledger proposes, nil if
// none has room, and tells its beta.
func (c *Core) choose(p *queue.Place[*jobEntry], shard int, size placement.Size, anchor bool, zones map[string]int) (*machine, int) {
	e := p.Handle
	j, run := &e.rec, e.run
	kinds := c.kinds(e, zones)
	if len(run.retry) > 0 && tracked(j) {
		// Back to where it was: its image is there, and that start is written
		// already. After an outage hundreds start again at once.
		if m := c.machines[onOf(j, run.retry[0])]; m != nil {
			f, ok := c.room.Of(m)
			if ok && f.Usable && f.Shard == shard && kinds(f.Kind) && placement.Fits(f.Free, size) && !c.avoids(e, m) {
				return m, placement.Beta(f.Free, size)
			}
		}
	}
	left := []*machine{}
	for range tuning.LocalTries {
		m, beta := c.pick(e, shard, size, anchor, zones, kinds, left)
		// A gang has been found room for as a whole: it leaves none of it.
		if m == nil || m.images[j.Image] || anchor || e.prio >= urgentRank || j.Shape == wire.ShapeGang || !c.leaveToLocal(p, m) {
			return m, beta
		}
		left = append(left, m)
	}
	return nil, 0
}

// leaveToLocal tells whether a machine without a job's image is better left to a job
// that is served as early and has its image there: the fetch takes as long as many a
// task, and where tasks end all the time a place with the image comes soon. For a while
// only: a job that has been passed over for long takes what there is.
func (c *Core) leaveToLocal(p *queue.Place[*jobEntry], m *machine) bool {
	run, looked, found := p.Handle.run, 0, false
	if run.passedOver > 0 && c.now-run.passedOver > tuning.LocalWait {
		return false
	}
	free := c.free(m)
	c.order.Walk(func(team string) placement.Size {
		if c.shardOf(team) != m.shard {
			return placement.Size{CPUs: -1}
		}
		t, u := c.p.Teams[team], c.room.Used(team, m.shard)
		return placement.Size{CPUs: min(free.CPUs, t.CPUsMax-u.CPUs), GPUs: min(free.GPUs, t.GPUsMax-u.GPUs), MemGB: free.MemGB}
	}, func(o *queue.Place[*jobEntry]) bool {
		e := o.Handle
		if looked++; looked > tuning.LocalLook || e.rank < p.Handle.rank {
			return false
		}
		found = o != p && e.rank == p.Handle.rank && o.Within == p.Within && o.Late == p.Late && o.Overdue == p.Overdue && !c.barred(e, m.shard) && e.rec.Shape != wire.ShapeGang &&
			e.run.pending(&e.rec) > 0 && m.images[e.rec.Image] && c.canPlace(e, m, m.shard) && zonesOf(e) == nil
		return !found
	})
	if found && run.passedOver == 0 {
		run.passedOver = c.now
	}
	return found
}

// pick is the heuristic's choice among the machines that the ledger proposes, some apart.
func (c *Core) pick(e *jobEntry, shard int, size placement.Size, anchor bool, zones map[string]int, kinds func(ledger.Kind) bool, apart []*machine) (*machine, int) {
	j := &e.rec
	c.found = c.room.Find(shard, size, anchor, tuning.LookAt, kinds, func(m *machine) bool { return !c.avoids(e, m) && !slices.Contains(apart, m) },
		func(m *machine) bool { return m.images[j.Image] }, c.found[:0])
	c.cands = c.cands[:0]
	for _, f := range c.found {
		cand := placement.Candidate{Free: f.Free, Opens: f.Kind.Opens}
		if j.Shape == wire.ShapeService {
			cand.Load = zones[f.Kind.Zone]
		}
		if f.Handle.images[j.Image] {
			cand.Better = 1
		} else if e.prio >= urgentRank && c.weights.Busy(f.Handle.name, j.Image) {
			cand.Better = -1 // they would share its rate
		}
		c.cands = append(c.cands, cand)
	}
	k := placement.Pick(c.cands, size, anchor)
	if k < 0 {
		return nil, 0
	}
	return c.found[k].Handle, placement.Beta(c.cands[k].Free, size)
}

// gangFits tells whether all waiting tasks of a gang, none of which is placed,
// find room at once; a part
// of a gang would only wait on its machines. On a yes for a gang bound to one
// zone, the anchor's choice binds the rest, so each zone is tried alone.
func (c *Core) gangFits(e *jobEntry, shard int) bool {
	j, run := &e.rec, e.run
	size, team := jobSize(j), c.p.Teams[j.Team]
	waiting := len(run.retry) + j.Tasks - run.next
	n := float64(waiting)
	if team.exceeds(c.room.Used(j.Team, shard).Add(placement.Size{CPUs: n * size.CPUs, GPUs: n * size.GPUs})) {
		return false
	}
	room := map[string]int{}
	c.room.Each(shard, size, func(k ledger.Kind) bool { return supply.Allows(j, k) }, func(_ *machine, k ledger.Kind, free placement.Size) { room[k.Zone] += placement.Beta(free, size) + 1 })
	zone, fits := supply.GangFits(j, waiting, room)
	run.zone = cmp.Or(zone, run.zone)
	return fits
}

func sortedInts[V any](m map[int]V) []int {
	return slices.Sorted(maps.Keys(m))
}

// serves tells whether a block's machines could hold a task of a need.
func (c *Core) serves(b *blockEntry, n wire.Need) bool {
	full, ok := c.sizeOf(b.rec.Type)
	return ok && supply.AllowsType(n.Types, b.rec.Type) && (n.Zone == "" || n.Zone == b.rec.Zone) && (!b.rec.Spot || n.Spot) &&
		placement.Fits(full, needSize(n))
}

func (c *Core) wantedHere(shard int) bool {
	return len(c.wantSent[shard].Needs) > 0
}

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }
