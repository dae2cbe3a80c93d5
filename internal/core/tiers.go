package core

import (
	"github.com/barrowbridge/barrowbridge/internal/limits"
	"github.com/barrowbridge/barrowbridge/internal/tiers"
	"github.com/barrowbridge/barrowbridge/internal/tuning"
	"github.com/barrowbridge/barrowbridge/wire"
)

// putTierOrder applies a new tier order and ranks all jobs by it.
func (c *Core) putTierOrder(r wire.TierOrder) {
	c.tierRecord, c.tierOrder = r, tiers.NewOrder(r)
	for _, e := range c.jobsByAge() {
		c.rankJob(e)
		c.markJobDirty(e)
	}
	c.rankWaitingJobs()
}

// tierOrderView returns the tier order that is in force, for the admin interface.
func (c *Core) tierOrderView() wire.TierOrderView {
	return wire.TierOrderView{Version: c.versions.Version(wire.KeyTierOrder), Order: c.tierRecord, All: c.tierOrder.Tiers()}
}

// onAdminTiers answers with the tier order, or checks and writes a new one.
func (c *Core) onAdminTiers(v AdminTierOrder) {
	if !c.loaded {
		c.answer(v.Req, 503, unavailable("state not read yet"))
		return
	}
	if v.Patch == nil {
		c.answer(v.Req, 200, c.tierOrderView())
		return
	}
	known := func(team string) bool { _, ok := c.params.Teams[team]; return ok }
	if err := tiers.Validate(v.Patch.Tiers, known); err != nil {
		c.answer(v.Req, 400, wire.Problem{Error: err.Error()})
		return
	}
	version := c.versions.Version(wire.KeyTierOrder)
	rec := limits.Fit(tiers.Revise(c.tierRecord, version, v.Patch.Tiers, c.wall, c.params.Node, tuning.TierHistoryChanges), c.params.MaxValueBytes, tiers.DropOldestChange)
	if raw, err := wire.Marshal(rec); err != nil || !wire.FitsIn(raw, c.params.MaxValueBytes) {
		c.answer(v.Req, 400, wire.Problem{Error: "rungs: too large to keep"})
		return
	}
	switch {
	case v.Patch.Check:
		c.answer(v.Req, 200, wire.TierOrderView{Version: version, Order: rec, All: tiers.NewOrder(rec).Tiers()})
	case v.Patch.Version != version:
		c.answer(v.Req, 409, c.tierOrderView())
	default:
		c.commit(LaneUser, []wire.Condition{{Key: wire.KeyTierOrder, Version: version}}, []wire.Change{{Put: wire.KeyTierOrder, Value: rec}}, func(r StateReply) {
			c.answerAdminWrite(v.Req, r, func() any { return c.tierOrderView() })
		})
	}
}

// onAdminJobOrder answers with the first live jobs in the order of the tiers, and a digest of the whole order.
func (c *Core) onAdminJobOrder(v AdminServiceOrder) {
	if !c.loaded {
		c.answer(v.Req, 503, unavailable("state not read yet"))
		return
	}
	jobs := make([]*wire.Job, 0, len(c.jobs))
	for _, e := range c.jobsByAge() {
		jobs = append(jobs, &e.record)
	}
	ordered, digest := c.tierOrder.SortJobs(jobs)
	c.answer(v.Req, 200, wire.OrderView{
		Node:     c.params.Node,
		Revision: c.mirrorRevision,
		Version:  c.versions.Version(wire.KeyTierOrder),
		Digest:   digest,
		Count:    len(ordered),
		Jobs:     ordered[:min(len(ordered), tuning.MaxOrderAnswerJobs)],
	})
}
