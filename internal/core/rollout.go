package core

import (
	"github.com/barrowbridge/barrowbridge/internal/rollout"
	"github.com/barrowbridge/barrowbridge/internal/tuning"
	"github.com/barrowbridge/barrowbridge/wire"
)

// featureEnabled reports whether a feature may be used for new records: every controller is known to support it.
func (c *Core) featureEnabled(feature string) bool { return c.loaded && c.rollout.Enabled(feature) }

// onAdminVersion answers an operator with the versions of the controllers and the features in use.
func (c *Core) onAdminVersion(query AdminVersion) {
	if !c.loaded {
		c.answer(query.Req, 503, unavailable("state not read yet"))
		return
	}
	c.answer(query.Req, 200, c.rollout.View(c.params.Node))
}

// publishVersions writes which features this incarnation supports. For a node whose present incarnation supports
// none, it writes that on its behalf. The write is conditional on both the presence that it is based on and the
// record that it replaces, so that a late write of an earlier incarnation fails.
func (c *Core) publishVersions() {
	if !c.loaded {
		return
	}
	for _, change := range c.rollout.ChangedFeatures() {
		c.log(1, "feature switched", "name", change.Feature, "on", change.On, "held_for", change.HeldFor)
	}
	node, record, due := c.rollout.DueRecord(rollout.Incarnation{
		Node:     c.params.Node,
		Boot:     c.presence.Boot(),
		Version:  c.params.Version,
		Features: c.params.Features,
	})
	if !due || !c.presence.Registered() || !c.dueEvery("version", tuning.BackgroundRetryDelay) {
		return
	}
	nodeKey, versionKey := wire.PrefixNode+node, wire.PrefixVersion+node
	c.commit(LaneDeferred,
		[]wire.Condition{
			{Key: nodeKey, Version: c.versions.Version(nodeKey)},
			{Key: versionKey, Version: c.versions.Version(versionKey)},
		},
		[]wire.Change{{Put: versionKey, Value: record}},
		func(StateReply) {})
}
