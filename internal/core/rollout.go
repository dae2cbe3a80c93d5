package core

import (
	"github.com/barrowbridge/barrowbridge/internal/rollout"
	"github.com/barrowbridge/barrowbridge/internal/tuning"
	"github.com/barrowbridge/barrowbridge/wire"
)

// understood tells whether a feature may be used for something new: every controller is known
// to understand it.
func (c *Core) understood(feature string) bool { return c.loaded && c.rollout.On(feature) }

func (c *Core) onAdminVersion(v AdminVersion) {
	if !c.loaded {
		c.answer(v.Req, 503, unavailable("state not read yet"))
		return
	}
	c.answer(v.Req, 200, c.rollout.View(c.p.Node))
}

// keepVersions writes down what this life understands, and that another one understands nothing.
func (c *Core) keepVersions() {
	if !c.loaded {
		return
	}
	for _, f := range c.rollout.Turned() {
		c.log(1, "feature", "name", f.Feature, "on", f.On, "held_for", f.HeldFor)
	}
	node, rec, due := c.rollout.Due(rollout.Life{Node: c.p.Node, Boot: c.member.Boot(), Version: c.p.Version, Features: c.p.Features})
	if !due || !c.member.Registered() || !c.every("version", tuning.RetryAfter) {
		return
	}
	from, key := wire.PrefixNode+node, wire.PrefixVersion+node
	c.commit(LaneLater, []wire.Condition{{Key: from, Version: c.ver.Of(from)}, {Key: key, Version: c.ver.Of(key)}}, []wire.Change{{Put: key, Value: rec}}, func(StateReply) {})
}
