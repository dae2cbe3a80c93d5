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

// biasKey returns the key of a shard's record of estimate errors.
func biasKey(shard int) string { return wire.PrefixBias + strconv.Itoa(shard) }

func newCalendar() *calendar.Planner {
	return calendar.NewPlanner(calendar.Margins{
		ClockError:   tuning.CrewClockMargin,
		Takeover:     tuning.CrewTakeoverMargin,
		FailureShare: tuning.CrewFailureShare,
		PressLead:    tuning.CrewUrgentBefore,
		Rounds:       tuning.CrewTaskRounds,
	}, calendar.Limits{
		MaxCrews:           tuning.MaxCrews,
		HistoryLength:      tuning.CrewHistoryEntries,
		OutcomeDelay:       tuning.CrewMissedAfter,
		MaxBookingMachines: tuning.MaxRentMachines,
	})
}

// crewWork gives the calendar the view of the core's jobs and machines that it needs.
type crewWork struct{ c *Core }

// Jobs returns the live jobs in the order in which they were accepted.
func (w crewWork) Jobs() iter.Seq[*wire.Job] {
	return func(yield func(*wire.Job) bool) {
		for _, e := range w.c.jobsByAge() {
			if !yield(&e.record) {
				return
			}
		}
	}
}

// Left returns how many tasks of a live job are not done, and the expected run time of one.
func (w crewWork) Remaining(job string) (int, time.Duration) {
	e := w.c.jobs[job]
	left := e.record.Tasks - w.c.knownDone(e).Count()
	if e.run != nil {
		left = e.record.Tasks - e.run.done.Count()
	}
	return left, w.c.runTimes.Typical(e.record.Class, e.record.EstimateS)
}

// CPUs returns the CPUs that a team may use in a zone, or in all zones if it is empty.
func (w crewWork) CPUs(team, zone string) (cpus float64) {
	i := w.c.shardOfTeam(team)
	for _, id := range w.c.blockIDs() {
		if b := w.c.blocks[id]; b.record.Shard == i && (zone == "" || b.record.Zone == zone) {
			cpus += w.c.blockCPUs(&b.record)
		}
	}
	return min(cpus, w.c.params.Teams[team].CPUsMax)
}

// Ended returns whether a job is live, and its final status if it is known to be over.
func (w crewWork) Outcome(job string) (bool, string) {
	return w.c.jobs[job] != nil, w.c.finalStates[job].Status
}

// crewDue returns the time (Unix seconds) by which a departure needs a job done, or +Inf.
func (c *Core) crewDue(job string) float64 {
	if d, ok := c.calendar.Requirement(job); ok {
		return d.Due
	}
	return inf
}

// crewPressed reports whether a departure leaves a job no slack, so that it goes before other work of its
// tier.
func (c *Core) crewPressed(job string) bool { d, _ := c.calendar.Requirement(job); return d.Pressed }

// planCrews plans the departures of the crews whose teams are in held shards, and writes the outcomes of
// past departures.
func (c *Core) planCrews() {
	if c.calendar.Empty() || !c.authorized() || !c.dueEvery("crews", tuning.CrewPlanInterval) {
		return
	}
	served := func(team string) bool { i := c.shardOfTeam(team); return i >= 0 && c.holdsShard(i) }
	changed, events := c.calendar.Plan(c.wall, served, crewWork{c})
	for _, event := range events {
		name, shard, outcome := event.Crew.Record.Name, c.shardOfTeam(event.Crew.Record.Team), event.Outcome
		if outcome == nil {
			c.recordShardEvent(trail.CrewMiss, shard, wire.TrailEvent{Count: event.Plan.Miss, Why: name + ": " + event.Plan.Say})
			c.log(1, "departure", "crew", name, "plan", event.Plan.Say)
			continue
		}
		c.recordShardEvent(trail.CrewLeft, shard, wire.TrailEvent{
			Count: outcome.Met,
			Why:   fmt.Sprintf("%s: %d of %d jobs done by the hour, the last %.0f s late", name, outcome.Met, outcome.Jobs, outcome.LateS),
		})
		c.putCrew(calendar.Entry{Record: event.Record, Version: event.Crew.Version}, c.shardUnchanged(shard), func(StateReply) {})
	}
	for _, id := range changed {
		if e := c.jobs[id]; e != nil {
			c.markJobDirty(e)
		}
	}
	c.publishBias()
}

// putCrew writes a crew's record if the version that it replaces is unchanged.
func (c *Core) putCrew(entry calendar.Entry, when wire.Condition, f func(StateReply)) {
	key := wire.PrefixCrew + entry.Record.Name
	c.calendar.BeginWrite(entry.Record.Name)
	c.commit(LaneDeferred, []wire.Condition{when, {Key: key, Version: entry.Version}}, []wire.Change{{Put: key, Value: entry.Record}}, func(r StateReply) {
		c.calendar.EndWrite(entry.Record.Name)
		f(r)
	})
}

// rentAhead has the leader rent machines for work that crews expect. The request names are stored in the
// crew's record before any request is sent, so every leader sends the same requests and no more.
func (c *Core) rentAhead() {
	if len(c.calendar.Names()) == 0 || len(c.machineTypes) == 0 || !c.dueEvery("ahead", tuning.CrewPlanInterval) {
		return
	}
	leader := &c.leader
	for _, name := range c.calendar.Names() {
		entry, leaves, booked, ok := c.calendar.ExpectedWork(name, c.wall)
		shard := c.shardOfTeam(entry.Record.Team)
		if !ok || shard < 0 {
			continue
		}
		for _, booking := range booked {
			key := (&supply.Offer{Type: booking.Type, Zone: booking.Zone, Spot: booking.Spot}).Key()
			if c.calendar.NeedsRequest(&booking) && !leader.servingShards[shard] && c.now >= leader.offerRetryAt[key] && c.now >= leader.cloudRetryAt {
				c.log(1, "renting ahead", "crew", name, "type", booking.Type, "zone", booking.Zone, "count", booking.Count, "booking", booking.Request)
				leader.servingShards[shard] = true
				c.sendRental(shard, key, wire.RentRequest{
					Request: booking.Request,
					Type:    booking.Type,
					Zone:    booking.Zone,
					Spot:    booking.Spot,
					Count:   booking.Count,
				}, 0)
			}
		}
		if len(booked) == 0 {
			c.planRentAhead(entry, leaves, shard)
		}
	}
}

// planRentAhead writes the rentals for a departure into the crew's record once it is time to send them.
func (c *Core) planRentAhead(entry *calendar.Entry, leaves time.Time, shard int) {
	expected := entry.Record.Expect
	need := wire.Need{
		Zone:  entry.Record.Zone,
		Spot:  expected.Spot,
		CPUs:  expected.CPUs,
		MemGB: expected.MemoryGB,
		Tasks: expected.Tasks,
	}
	offers := supply.Offers(c.machineTypes, need, c.params.NodeZones[c.shards[shard].record.Holder], c.settings.Spot)
	if len(offers) == 0 {
		return
	}
	factor := 1.0
	for _, class := range entry.Record.Classes {
		factor = max(factor, c.runTimes.Factor(class))
	}
	offer, machineType := &offers[0], c.machineTypes[offers[0].Type]
	rec, due := c.calendar.BookAhead(entry, c.wall, leaves, calendar.AcceptedTasks(entry, leaves, crewWork{c}), c.params.Teams[entry.Record.Team].CPUsMax,
		wire.CrewBooking{Type: offer.Type, Zone: offer.Zone, Spot: offer.Spot}, machineType.CPUs, factor, seconds(machineType.BootS*tuning.BootHorizonFactor))
	if due {
		c.putCrew(calendar.Entry{Record: rec, Version: entry.Version}, c.leaderCondition(), func(StateReply) { c.mirrorChanged() })
	}
}

// noteRentedAhead records in the crews' records that a rental was answered.
func (c *Core) noteRentedAhead(request string) {
	for _, entry := range c.calendar.BookingAnswered(request) {
		c.putCrew(entry, c.leaderCondition(), func(StateReply) { c.calendar.BookingWritten(request) })
	}
}

// awaitsCrew reports whether machines of a shard were rented ahead of a departure that has not come yet.
func (c *Core) awaitsCrew(shard int) bool {
	return c.calendar.HasUpcomingBooking(c.wall, func(team string) bool { return c.shardOfTeam(team) == shard })
}

// publishBias writes how far run time estimates are off, for the held shards where that has changed.
func (c *Core) publishBias() {
	if !c.dueEvery("bias", tuning.BiasWriteInterval) {
		return
	}
	for _, i := range c.shardIDs() {
		if stored := c.biases[biasKey(i)]; c.holdsShard(i) && c.runTimes.Changed(stored.Classes, tuning.MinBiasTasks, tuning.MinBiasChange) {
			c.commit(LaneDeferred, []wire.Condition{c.shardUnchanged(i)}, []wire.Change{{
				Put:   biasKey(i),
				Value: limits.Fit(wire.Bias{Classes: c.runTimes.Export(tuning.MinBiasTasks)}, c.params.MaxValueBytes, forecast.DropLeastKnownClass),
			}}, func(StateReply) {})
		}
	}
}

// onAdminCrews answers with all crews and their plans.
func (c *Core) onAdminCrews(v AdminCrews) {
	if !c.loaded {
		c.answer(v.Req, 503, unavailable("state not read yet"))
		return
	}
	list := []wire.CrewView{}
	for _, name := range c.calendar.Names() {
		list = append(list, c.calendar.View(c.calendar.Crew(name), c.wall, crewWork{c}))
	}
	c.answer(v.Req, 200, list)
}

// onAdminCrew creates, changes or deletes a crew, or only shows the result if it is a dry run.
func (c *Core) onAdminCrew(v AdminCrew) {
	if !c.loaded {
		c.answer(v.Req, 503, unavailable("state not read yet"))
		return
	}
	view := func(entry *calendar.Entry) any { return c.calendar.View(entry, c.wall, crewWork{c}) }
	entry, key := c.calendar.Crew(v.Name), wire.PrefixCrew+v.Name
	if v.Patch == nil {
		switch {
		case entry == nil:
			c.answer(v.Req, 404, wire.Problem{Error: fmt.Sprintf("no crew %q", v.Name)})
		case v.DryRun:
			c.answer(v.Req, 200, view(entry))
		default:
			c.commit(LaneUser, []wire.Condition{{Key: key, Version: v.Ver}}, []wire.Change{{Delete: key}}, func(r StateReply) {
				c.answerAdminWrite(v.Req, r, func() any { return view(entry) })
			})
		}
		return
	}
	team := func(name string) bool { _, ok := c.params.Teams[name]; return ok }
	zone := func(name string) bool {
		for _, machineType := range c.machineTypes {
			if slices.Contains(machineType.Zones, name) {
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
	case v.Patch.Version != to.Version:
		c.answer(v.Req, 409, wire.Problem{Error: "changed meanwhile, read again"})
	default:
		c.commit(LaneUser, []wire.Condition{{Key: key, Version: to.Version}}, []wire.Change{{Put: key, Value: to.Record}}, func(r StateReply) {
			c.answerAdminWrite(v.Req, r, func() any { return view(&calendar.Entry{Record: to.Record, Version: r.Txn.Revision}) })
		})
	}
}
