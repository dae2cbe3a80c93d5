package core

import (
	"fmt"
	"strconv"
	"time"

	"github.com/barrowbridge/barrowbridge/internal/calendar"
	"github.com/barrowbridge/barrowbridge/internal/supply"
	"github.com/barrowbridge/barrowbridge/internal/trail"
	"github.com/barrowbridge/barrowbridge/internal/tuning"
	"github.com/barrowbridge/barrowbridge/wire"
)

type crewEntry struct {
	rec wire.Crew
	ver uint64
}

// departing is what a departure demands of a job.
type departing struct {
	due     float64 // seconds of the day's time
	pressed bool
}

// crewing is what this controller plans for the crews of its shards. All but the counts of
// jobs that are done can be made again from records.
type crewing struct {
	departs  map[string]departing // by job
	seen     map[string]*departure
	crewAsks map[string]bool // bookings under way
	crewBusy map[string]bool // crews whose record is being written
}

// departure is what has been seen of one.
type departure struct {
	leavesMS int64
	jobs     map[string]bool // true: done
	met      int
	lateS    float64
	miss     int
}

func newCrewing() crewing {
	return crewing{departs: map[string]departing{}, seen: map[string]*departure{}, crewAsks: map[string]bool{}, crewBusy: map[string]bool{}}
}

func biasKey(shard int) string { return wire.PrefixBias + strconv.Itoa(shard) }

var crewMargins = calendar.Margins{Clock: tuning.CrewClock, Takeover: tuning.CrewTakeover, Failures: tuning.CrewFailures, Press: tuning.CrewPress, Rounds: tuning.CrewRounds}

// crewDue is by when a departure wants a job done.
func (c *Core) crewDue(job string) float64 {
	if d, ok := c.departs[job]; ok {
		return d.due
	}
	return inf
}

// planCrews plans the departures of the crews whose teams are served here.
func (c *Core) planCrews() {
	if len(c.crews)+len(c.departs) == 0 || !c.confirmed() || !c.every("crews", tuning.CrewEvery) {
		return
	}
	departs := map[string]departing{}
	for _, name := range sortedKeys(c.crews) {
		x := c.crews[name]
		i := c.shardOf(x.rec.Team)
		leaves, ok := calendar.Next(&x.rec, calendar.Since(&x.rec))
		if !ok || i < 0 || !c.mine(i) {
			delete(c.seen, name)
			continue
		}
		p := c.planOf(x, leaves)
		if c.wall.Before(leaves) {
			due := float64(calendar.Due(leaves, crewMargins).UnixMilli()) / 1000
			for _, id := range c.crewJobs(x, leaves) {
				d, has := departs[id]
				if !has {
					d.due = due
				}
				departs[id] = departing{min(d.due, due), p.Pressed || d.pressed}
			}
		}
		c.followCrew(x, leaves, i, &p)
	}
	for _, id := range sortedKeys(c.departs) {
		if _, still := departs[id]; !still && c.jobs[id] != nil {
			c.touchJob(c.jobs[id])
		}
	}
	for _, id := range sortedKeys(departs) {
		if c.departs[id] != departs[id] {
			c.touchJob(c.jobs[id])
		}
	}
	c.departs = departs
	c.tellBias()
}

// crewJobs lists the live jobs that have to be done before a departure.
func (c *Core) crewJobs(x *crewEntry, leaves time.Time) (ids []string) {
	for _, e := range c.jobsByAge() {
		if calendar.Of(&x.rec, &e.rec, leaves) {
			ids = append(ids, e.rec.ID)
		}
	}
	return ids
}

// planOf plans a departure, as far as records and what this controller knows of tasks tell.
func (c *Core) planOf(x *crewEntry, leaves time.Time) wire.CrewPlan {
	var jobs []calendar.Job
	for _, id := range c.crewJobs(x, leaves) {
		e := c.jobs[id]
		left := e.rec.Tasks - c.known(e).Count()
		if e.run != nil {
			left = e.rec.Tasks - e.run.done.Count()
		}
		if left > 0 {
			jobs = append(jobs, calendar.Job{ID: id, Tasks: left, CPUs: e.rec.CPUs, Seconds: c.runs.Typical(e.rec.Class, e.rec.EstimateS)})
		}
	}
	have, i := 0.0, c.shardOf(x.rec.Team)
	for _, id := range c.blockIDs() {
		if b := c.blocks[id]; b.rec.Shard == i && (x.rec.Zone == "" || b.rec.Zone == x.rec.Zone) {
			have += c.blockCPUs(&b.rec)
		}
	}
	p := calendar.Plan(&x.rec, c.wall, leaves, jobs, min(have, c.p.Teams[x.rec.Team].CPUsMax), crewMargins)
	p.Version = x.ver
	for _, b := range x.rec.Booked {
		if b.LeavesMS == p.LeavesMS {
			p.Ahead += b.Count
		}
	}
	return p
}

// followCrew counts what is done for a departure, says once when some of it will be missed, and
// writes how it went.
func (c *Core) followCrew(x *crewEntry, leaves time.Time, shard int, p *wire.CrewPlan) {
	d := c.seen[x.rec.Name]
	if d == nil || d.leavesMS != p.LeavesMS {
		d = &departure{leavesMS: p.LeavesMS, jobs: map[string]bool{}}
		c.seen[x.rec.Name] = d
	}
	open := 0
	for _, id := range c.crewJobs(x, leaves) {
		d.jobs[id] = false
		open++
	}
	for _, id := range sortedKeys(d.jobs) {
		switch f, over := c.finals[id]; {
		case d.jobs[id] || c.jobs[id] != nil:
		case !over || f.Status != wire.JobDone:
			delete(d.jobs, id) // cancelled: what ends here is written here
		default:
			d.jobs[id] = true
			if late := c.wall.Sub(leaves).Seconds(); late > 0 {
				d.lateS = max(d.lateS, late)
			} else {
				d.met++
			}
		}
	}
	if (p.Miss > 0) != (d.miss > 0) {
		c.noteShard(trail.CrewMiss, shard, wire.TrailEvent{Count: p.Miss, Why: x.rec.Name + ": " + p.Say})
		c.log(1, "departure", "crew", x.rec.Name, "plan", p.Say)
	}
	d.miss = p.Miss
	if c.wall.Before(leaves) || open > 0 && c.wall.Sub(leaves) < tuning.CrewSettle || c.crewBusy[x.rec.Name] {
		return
	}
	o := wire.CrewOutcome{LeavesMS: p.LeavesMS, Jobs: len(d.jobs), Met: d.met, LateS: d.lateS}
	if open > 0 {
		o.LateS, o.Why = max(o.LateS, c.wall.Sub(leaves).Seconds()), p.Say
	}
	rec := x.rec
	rec.Past = append(append([]wire.CrewOutcome(nil), rec.Past...), o)
	calendar.Clean(&rec, time.Time{}, tuning.CrewKeep)
	c.noteShard(trail.CrewLeft, shard, wire.TrailEvent{Count: o.Met, Why: fmt.Sprintf("%s: %d of %d jobs done by the hour, the last %.0f s late", x.rec.Name, o.Met, o.Jobs, o.LateS)})
	c.putCrew(x, rec, []wire.Condition{c.shardCond(shard)}, func(StateReply) {})
}

// putCrew writes a crew's record, compared with the version that is known.
func (c *Core) putCrew(x *crewEntry, rec wire.Crew, when []wire.Condition, f func(StateReply)) {
	key := wire.PrefixCrew + rec.Name
	c.crewBusy[rec.Name] = true
	c.commit(LaneLater, append(when, wire.Condition{Key: key, Version: x.ver}), []wire.Change{{Put: key, Value: rec}}, func(r StateReply) {
		delete(c.crewBusy, rec.Name)
		f(r)
	})
}

// rentAhead has the leader book machines for work that crews expect: the names stand in the
// record before anything is asked, so whoever leads asks for the same and no more.
func (c *Core) rentAhead() {
	if len(c.crews) == 0 || len(c.types) == 0 || !c.every("ahead", tuning.CrewEvery) {
		return
	}
	l := &c.leader
	for _, name := range sortedKeys(c.crews) {
		x := c.crews[name]
		shard := c.shardOf(x.rec.Team)
		leaves, ok := calendar.Next(&x.rec, calendar.Since(&x.rec))
		if !ok || shard < 0 || x.rec.Expect.Tasks == 0 || c.crewBusy[name] || !c.wall.Before(leaves) {
			continue
		}
		booked := false
		for _, b := range x.rec.Booked {
			if b.LeavesMS != leaves.UnixMilli() {
				continue
			}
			booked = true
			key := offerKey(&supply.Offer{Type: b.Type, Zone: b.Zone, Spot: b.Spot})
			if !b.Done && !c.crewAsks[b.Request] && !l.renting[shard] && c.now >= l.pause[key] && c.now >= l.cloudAt {
				c.log(1, "renting ahead", "crew", name, "type", b.Type, "zone", b.Zone, "count", b.Count, "booking", b.Request)
				l.renting[shard] = true
				c.book(shard, key, wire.RentRequest{Request: b.Request, Type: b.Type, Zone: b.Zone, Spot: b.Spot, Count: b.Count}, 0)
			}
		}
		if !booked {
			c.planAhead(x, leaves, shard)
		}
	}
}

// planAhead writes what is to be rented for a departure, once its time has come.
func (c *Core) planAhead(x *crewEntry, leaves time.Time, shard int) {
	e := x.rec.Expect
	n := wire.Need{Zone: x.rec.Zone, Spot: e.Spot, CPUs: e.CPUs, MemGB: e.MemoryGB, Tasks: e.Tasks}
	offers := supply.Offers(c.types, n, c.p.Nodes[c.shards[shard].rec.Holder], c.settings.Spot)
	if len(offers) == 0 {
		return
	}
	accepted := 0
	for _, id := range c.crewJobs(x, leaves) {
		accepted += c.jobs[id].rec.Tasks
	}
	o := &offers[0]
	factor := 1.0
	for _, class := range x.rec.Classes {
		factor = max(factor, c.runs.Factor(class))
	}
	boot := seconds(c.types[o.Type].BootS * tuning.BootHorizon)
	count, from := calendar.Ahead(&x.rec, leaves, accepted, c.p.Teams[x.rec.Team].CPUsMax, c.types[o.Type].CPUs, factor, boot, crewMargins)
	if count == 0 || c.wall.Before(from) {
		return
	}
	rec := x.rec
	calendar.Clean(&rec, leaves, tuning.CrewKeep)
	for k := 0; count > 0; k++ {
		part := min(count, tuning.RentMax)
		rec.Booked = append(rec.Booked, wire.CrewBooking{LeavesMS: leaves.UnixMilli(), Request: calendar.Booking(&rec, x.ver, k), Type: o.Type, Zone: o.Zone, Spot: o.Spot, Count: part})
		count -= part
	}
	c.putCrew(x, rec, []wire.Condition{c.leaderCond()}, func(StateReply) { c.changed() })
}

// rentedAhead notes that a booking has been answered.
func (c *Core) rentedAhead(request string) {
	for _, name := range sortedKeys(c.crews) {
		x := c.crews[name]
		for k, b := range x.rec.Booked {
			if b.Request == request && !b.Done && !c.crewBusy[name] {
				rec := x.rec
				rec.Booked = append([]wire.CrewBooking(nil), rec.Booked...)
				rec.Booked[k].Done = true
				c.crewAsks[request] = true // until that is known to be written
				c.putCrew(x, rec, []wire.Condition{c.leaderCond()}, func(StateReply) { delete(c.crewAsks, request) })
			}
		}
	}
}

// awaitsCrew tells whether machines of a shard were rented ahead of a departure that is to come.
func (c *Core) awaitsCrew(shard int) bool {
	for _, x := range c.crews {
		for _, b := range x.rec.Booked {
			if c.shardOf(x.rec.Team) == shard && c.wall.UnixMilli() < b.LeavesMS {
				return true
			}
		}
	}
	return false
}

// tellBias writes how far estimates are off, when it has changed.
func (c *Core) tellBias() {
	if !c.every("bias", tuning.BiasEvery) {
		return
	}
	for _, i := range c.shardIDs() {
		if was := c.biases[biasKey(i)]; c.mine(i) && c.runs.Moved(was.Classes, tuning.BiasLeast, tuning.BiasMoved) {
			c.commit(LaneLater, []wire.Condition{c.shardCond(i)}, []wire.Change{{Put: biasKey(i), Value: wire.Bias{Classes: c.runs.Export(tuning.BiasLeast)}}}, func(StateReply) {})
		}
	}
}

func (c *Core) crewView(x *crewEntry) wire.CrewView {
	v := wire.CrewView{Version: x.ver, Crew: x.rec}
	if leaves, ok := calendar.Next(&x.rec, calendar.Since(&x.rec)); ok {
		v.Plan = c.planOf(x, leaves)
	} else {
		v.Plan = wire.CrewPlan{Crew: x.rec.Name, Version: x.ver, Say: "it does not leave again"}
	}
	return v
}

func (c *Core) onAdminCrews(v AdminCrews) {
	if !c.loaded {
		c.answer(v.Req, 503, unavailable("state not read yet"))
		return
	}
	list := []wire.CrewView{}
	for _, name := range sortedKeys(c.crews) {
		list = append(list, c.crewView(c.crews[name]))
	}
	c.answer(v.Req, 200, list)
}

func (c *Core) onAdminCrew(v AdminCrew) {
	if !c.loaded {
		c.answer(v.Req, 503, unavailable("state not read yet"))
		return
	}
	x, key := c.crews[v.Name], wire.PrefixCrew+v.Name
	if v.Patch == nil {
		switch {
		case x == nil:
			c.answer(v.Req, 404, wire.Problem{Error: fmt.Sprintf("no crew %q", v.Name)})
		case v.DryRun:
			c.answer(v.Req, 200, c.crewView(x))
		default:
			c.commit(LaneUser, []wire.Condition{{Key: key, Version: v.Ver}}, []wire.Change{{Delete: key}}, func(r StateReply) {
				c.adminDone(v.Req, r, func() any { return c.crewView(x) })
			})
		}
		return
	}
	rec, ver, what := v.Patch.Crew, uint64(0), "added"
	rec.Name, rec.Booked, rec.Past, rec.History = v.Name, nil, nil, nil
	if x != nil {
		ver, what = x.ver, "changed, was to leave "+x.rec.Leaves+" "+x.rec.TimeZone+" "+x.rec.Rule
		rec.Booked, rec.Past, rec.History = x.rec.Booked, x.rec.Past, append([]wire.CrewChange(nil), x.rec.History...)
	}
	team := func(t string) bool { _, ok := c.p.Teams[t]; return ok }
	zone := func(z string) bool {
		for _, t := range c.types {
			if contains(t.Zones, z) {
				return true
			}
		}
		return false
	}
	err := calendar.Check(&rec, team, zone)
	rec.History = append(rec.History, wire.CrewChange{AtMS: c.wall.UnixMilli(), Node: c.p.Node, What: what})
	if leaves, ok := calendar.Next(&rec, c.wall); err == nil && ok {
		calendar.Clean(&rec, leaves, tuning.CrewKeep)
	} else if err == nil {
		err = fmt.Errorf("leaves: it never leaves from now on")
	}
	if raw, e := wire.Marshal(rec); err == nil && (e != nil || !wire.FitsIn(raw, c.p.ValueBytes)) {
		err = fmt.Errorf("crew: too large to keep")
	}
	if err == nil && x == nil && len(c.crews) >= tuning.CrewsMost {
		err = fmt.Errorf("crew: at most %d", tuning.CrewsMost)
	}
	switch {
	case err != nil:
		c.answer(v.Req, 400, wire.Problem{Error: err.Error()})
	case v.Patch.DryRun:
		c.answer(v.Req, 200, c.crewView(&crewEntry{rec, ver}))
	case v.Patch.Version != ver:
		c.answer(v.Req, 409, wire.Problem{Error: "changed meanwhile, read again"})
	default:
		c.commit(LaneUser, []wire.Condition{{Key: key, Version: ver}}, []wire.Change{{Put: key, Value: rec}}, func(r StateReply) {
			c.adminDone(v.Req, r, func() any { return c.crewView(&crewEntry{rec, r.Txn.Revision}) })
		})
	}
}
