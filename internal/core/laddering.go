package core

import (
	"github.com/barrowbridge/barrowbridge/internal/limits"
	"github.com/barrowbridge/barrowbridge/internal/tiers"
	"github.com/barrowbridge/barrowbridge/internal/tuning"
	"github.com/barrowbridge/barrowbridge/wire"
)

// putLadder takes a new ladder: every job has its rung by it from now on.
func (c *Core) putLadder(r wire.Ladder) {
	c.tierRecord, c.tierOrder = r, tiers.NewOrder(r)
	for _, e := range c.jobsByAge() {
		c.rankJob(e)
		c.markJobDirty(e)
	}
	c.rankWaiting()
}

func (c *Core) ladderView() wire.LadderView {
	return wire.LadderView{Version: c.versions.Of(wire.KeyLadder), Ladder: c.tierRecord, All: c.tierOrder.Tiers()}
}

func (c *Core) onAdminLadder(v AdminLadder) {
	if !c.loaded {
		c.answer(v.Req, 503, unavailable("state not read yet"))
		return
	}
	if v.Patch == nil {
		c.answer(v.Req, 200, c.ladderView())
		return
	}
	known := func(team string) bool { _, ok := c.params.Teams[team]; return ok }
	if err := tiers.Validate(v.Patch.Rungs, known); err != nil {
		c.answer(v.Req, 400, wire.Problem{Error: err.Error()})
		return
	}
	ver := c.versions.Of(wire.KeyLadder)
	rec := limits.Fit(tiers.Revise(c.tierRecord, ver, v.Patch.Rungs, c.wall, c.params.Node, tuning.LadderHistory), c.params.MaxValueBytes, tiers.DropOldestChange)
	if raw, err := wire.Marshal(rec); err != nil || !wire.FitsIn(raw, c.params.MaxValueBytes) {
		c.answer(v.Req, 400, wire.Problem{Error: "rungs: too large to keep"})
		return
	}
	switch {
	case v.Patch.Check:
		c.answer(v.Req, 200, wire.LadderView{Version: ver, Ladder: rec, All: tiers.NewOrder(rec).Tiers()})
	case v.Patch.Version != ver:
		c.answer(v.Req, 409, c.ladderView())
	default:
		c.commit(LaneUser, []wire.Condition{{Key: wire.KeyLadder, Version: ver}}, []wire.Change{{Put: wire.KeyLadder, Value: rec}}, func(r StateReply) {
			c.answerAdminWrite(v.Req, r, func() any { return c.ladderView() })
		})
	}
}

func (c *Core) onAdminOrder(v AdminOrder) {
	if !c.loaded {
		c.answer(v.Req, 503, unavailable("state not read yet"))
		return
	}
	jobs := make([]*wire.Job, 0, len(c.jobs))
	for _, e := range c.jobsByAge() {
		jobs = append(jobs, &e.record)
	}
	list, digest := c.tierOrder.SortJobs(jobs)
	c.answer(v.Req, 200, wire.OrderView{Node: c.params.Node, Revision: c.mirrorRevision, Version: c.versions.Of(wire.KeyLadder), Digest: digest, Count: len(list),
		Jobs: list[:min(len(list), tuning.OrderAnswer)]})
}
