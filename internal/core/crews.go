package core

import (
	"fmt"
	"iter"
	"slices"
	"strconv"
	"time"

	"github.com/barrowbridge/barrowbridge/internal/calendar"
	"github.com/barrowbridge/barrowbridge/internal/forecast"
	"github.com/barrowbridge/barrowbridge/internal/limits"
	"github.com/barrowbridge/barrowbridge/internal/supply"
	"github.com/barrowbridge/barrowbridge/internal/trail"
	"github.com/barrowbridge/barrowbridge/internal/tuning"
	"github.com/barrowbridge/barrowbridge/wire"
)

func biasKey(shard int) string { return wire.PrefixBias + strconv.Itoa(shard) }

func newCalendar() *calendar.Book {
	return calendar.NewBook(calendar.Margins{Clock: tuning.CrewClock, Takeover: tuning.CrewTakeover, Failures: tuning.CrewFailures, Press: tuning.CrewPress, Rounds: tuning.CrewRounds},
		calendar.Limits{Most: tuning.CrewsMost, Keep: tuning.CrewKeep, Settle: tuning.CrewSettle, Rent: tuning.RentMax})
}

// crewWork is what the calendar asks of a core.
type crewWork struct{ c *Core }

func (w crewWork) Jobs() iter.Seq[*wire.Job] {
	return func(yield func(*wire.Job) bool) {
		for _, e := range w.c.jobsByAge() {
			if !yield(&e.record) {
				return
			}
		}
	}
}

func (w crewWork) Left(job string) (int, time.Duration) {
	e := w.c.jobs[job]
	left := e.record.Tasks - w.c.known(e).Count()
	if e.run != nil {
		left = e.record.Tasks - e.run.done.Count()
	}
	return left, w.c.runTimes.Typical(e.record.Class, e.record.EstimateS)
}

func (w crewWork) CPUs(team, zone string) (have float64) {
	i := w.c.shardOfTeam(team)
	for _, id := range w.c.blockIDs() {
		if b := w.c.blocks[id]; b.record.Shard == i && (zone == "" || b.record.Zone == zone) {
			have += w.c.blockCPUs(&b.record)
		}
	}
	return min(have, w.c.params.Teams[team].CPUsMax)
}

func (w crewWork) Ended(job string) (bool, string) {
	return w.c.jobs[job] != nil, w.c.finalStates[job].Status
}

// crewDue is by when a departure wants a job done.
func (c *Core) crewDue(job string) float64 {
	if d, ok := c.calendar.Demand(job); ok {
		return d.Due
	}
	return inf
}

func (c *Core) crewPressed(job string) bool { d, _ := c.calendar.Demand(job); return d.Pressed }

// planCrews plans the departures of the crews whose teams are served here, and writes how they went.
func (c *Core) planCrews() {
	if c.calendar.Idle() || !c.authorized() || !c.dueEvery("crews", tuning.CrewEvery) {
		return
	}
	served := func(team string) bool { i := c.shardOfTeam(team); return i >= 0 && c.holdsShard(i) }
	changed, events := c.calendar.Plan(c.wall, served, crewWork{c})
	for _, e := range events {
		name, shard, o := e.Crew.Rec.Name, c.shardOfTeam(e.Crew.Rec.Team), e.Outcome
		if o == nil {
			c.recordShardEvent(trail.CrewMiss, shard, wire.TrailEvent{Count: e.Plan.Miss, Why: name + ": " + e.Plan.Say})
			c.log(1, "departure", "crew", name, "plan", e.Plan.Say)
			continue
		}
		c.recordShardEvent(trail.CrewLeft, shard, wire.TrailEvent{Count: o.Met, Why: fmt.Sprintf("%s: %d of %d jobs done by the hour, the last %.0f s late", name, o.Met, o.Jobs, o.LateS)})
		c.putCrew(calendar.Entry{Rec: e.Rec, Ver: e.Crew.Ver}, c.shardUnchanged(shard), func(StateReply) {})
	}
	for _, id := range changed {
		if e := c.jobs[id]; e != nil {
			c.markJobDirty(e)
		}
	}
	c.tellBias()
}

// putCrew writes a crew's record, compared with the version that it replaces.
func (c *Core) putCrew(x calendar.Entry, when wire.Condition, f func(StateReply)) {
	key := wire.PrefixCrew + x.Rec.Name
	c.calendar.Write(x.Rec.Name)
	c.commit(LaneLater, []wire.Condition{when, {Key: key, Version: x.Ver}}, []wire.Change{{Put: key, Value: x.Rec}}, func(r StateReply) {
		c.calendar.Written(x.Rec.Name)
		f(r)
	})
}

// rentAhead has the leader book machines for work that crews expect: the names stand in the
// record before anything is asked, so whoever leads asks for the same and no more.
func (c *Core) rentAhead() {
	if len(c.calendar.Names()) == 0 || len(c.machineTypes) == 0 || !c.dueEvery("ahead", tuning.CrewEvery) {
		return
	}
	l := &c.leader
	for _, name := range c.calendar.Names() {
		x, leaves, booked, ok := c.calendar.Expects(name, c.wall)
		shard := c.shardOfTeam(x.Rec.Team)
		if !ok || shard < 0 {
			continue
		}
		for _, b := range booked {
			key := (&supply.Offer{Type: b.Type, Zone: b.Zone, Spot: b.Spot}).Key()
			if c.calendar.Open(&b) && !l.renting[shard] && c.now >= l.pause[key] && c.now >= l.cloudAt {
				c.log(1, "renting ahead", "crew", name, "type", b.Type, "zone", b.Zone, "count", b.Count, "booking", b.Request)
				l.renting[shard] = true
				c.book(shard, key, wire.RentRequest{Request: b.Request, Type: b.Type, Zone: b.Zone, Spot: b.Spot, Count: b.Count}, 0)
			}
		}
		if len(booked) == 0 {
			c.planAhead(x, leaves, shard)
		}
	}
}

// planAhead writes what is to be rented for a departure, once its time has come.
func (c *Core) planAhead(x *calendar.Entry, leaves time.Time, shard int) {
	e := x.Rec.Expect
	n := wire.Need{Zone: x.Rec.Zone, Spot: e.Spot, CPUs: e.CPUs, MemGB: e.MemoryGB, Tasks: e.Tasks}
	offers := supply.Offers(c.machineTypes, n, c.params.NodeZones[c.shards[shard].record.Holder], c.settings.Spot)
	if len(offers) == 0 {
		return
	}
	factor := 1.0
	for _, class := range x.Rec.Classes {
		factor = max(factor, c.runTimes.Factor(class))
	}
	o, t := &offers[0], c.machineTypes[offers[0].Type]
	rec, due := c.calendar.Ahead(x, c.wall, leaves, calendar.Accepted(x, leaves, crewWork{c}), c.params.Teams[x.Rec.Team].CPUsMax,
		wire.CrewBooking{Type: o.Type, Zone: o.Zone, Spot: o.Spot}, t.CPUs, factor, seconds(t.BootS*tuning.BootHorizon))
	if due {
		c.putCrew(calendar.Entry{Rec: rec, Ver: x.Ver}, c.leaderCond(), func(StateReply) { c.mirrorChanged() })
	}
}

// rentedAhead notes that a booking has been answered.
func (c *Core) rentedAhead(request string) {
	for _, x := range c.calendar.Answered(request) {
		c.putCrew(x, c.leaderCond(), func(StateReply) { c.calendar.Rented(request) })
	}
}

// awaitsCrew tells whether machines of a shard were rented ahead of a departure that is to come.
func (c *Core) awaitsCrew(shard int) bool {
	return c.calendar.Awaits(c.wall, func(team string) bool { return c.shardOfTeam(team) == shard })
}

// tellBias writes how far estimates are off, when it has changed.
func (c *Core) tellBias() {
	if !c.dueEvery("bias", tuning.BiasEvery) {
		return
	}
	for _, i := range c.shardIDs() {
		if was := c.biases[biasKey(i)]; c.holdsShard(i) && c.runTimes.Changed(was.Classes, tuning.BiasLeast, tuning.BiasMoved) {
			c.commit(LaneLater, []wire.Condition{c.shardUnchanged(i)}, []wire.Change{{Put: biasKey(i), Value: limits.Fit(wire.Bias{Classes: c.runTimes.Export(tuning.BiasLeast)}, c.params.MaxValueBytes, forecast.DropLeastKnownClass)}}, func(StateReply) {})
		}
	}
}

func (c *Core) onAdminCrews(v AdminCrews) {
	if !c.loaded {
		c.answer(v.Req, 503, unavailable("state not read yet"))
		return
	}
	list := []wire.CrewView{}
	for _, name := range c.calendar.Names() {
		list = append(list, c.calendar.View(c.calendar.Of(name), c.wall, crewWork{c}))
	}
	c.answer(v.Req, 200, list)
}

func (c *Core) onAdminCrew(v AdminCrew) {
	if !c.loaded {
		c.answer(v.Req, 503, unavailable("state not read yet"))
		return
	}
	view := func(x *calendar.Entry) any { return c.calendar.View(x, c.wall, crewWork{c}) }
	x, key := c.calendar.Of(v.Name), wire.PrefixCrew+v.Name
	if v.Patch == nil {
		switch {
		case x == nil:
			c.answer(v.Req, 404, wire.Problem{Error: fmt.Sprintf("no crew %q", v.Name)})
		case v.DryRun:
			c.answer(v.Req, 200, view(x))
		default:
			c.commit(LaneUser, []wire.Condition{{Key: key, Version: v.Ver}}, []wire.Change{{Delete: key}}, func(r StateReply) {
				c.answerAdminWrite(v.Req, r, func() any { return view(x) })
			})
		}
		return
	}
	team := func(t string) bool { _, ok := c.params.Teams[t]; return ok }
	zone := func(z string) bool {
		for _, t := range c.machineTypes {
			if slices.Contains(t.Zones, z) {
				return true
			}
		}
		return false
	}
	switch to, err := c.calendar.Revise(v.Name, v.Patch.Crew, c.wall, c.params.Node, team, zone); {
	case err != nil:
		c.answer(v.Req, 400, wire.Problem{Error: err.Error()})
	case v.Patch.DryRun:
		c.answer(v.Req, 200, view(&to))
	case v.Patch.Version != to.Ver:
		c.answer(v.Req, 409, wire.Problem{Error: "changed meanwhile, read again"})
	default:
		c.commit(LaneUser, []wire.Condition{{Key: key, Version: to.Ver}}, []wire.Change{{Put: key, Value: to.Rec}}, func(r StateReply) {
			c.answerAdminWrite(v.Req, r, func() any { return view(&calendar.Entry{Rec: to.Rec, Ver: r.Txn.Revision}) })
		})
	}
}
