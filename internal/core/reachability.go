package core

import (
	"fmt"
	"sort"
	"time"

	"github.com/barrowbridge/barrowbridge/internal/duty"
	"github.com/barrowbridge/barrowbridge/internal/reach"
	"github.com/barrowbridge/barrowbridge/internal/trail"
	"github.com/barrowbridge/barrowbridge/internal/tuning"
	"github.com/barrowbridge/barrowbridge/wire"
)

// reachability tracks which workers and services this controller and the others can reach.
type reachability struct {
	workerReach   *reach.Workers // reachability of the workers from here
	cloudLink     *reach.Link    // reachability of the cloud from here
	assignments   *duty.Book     // reachability reports of all controllers, and who should hold a shard or lead
	writingReport bool           // a write of this controller's reachability report is in flight
	probingCloud  bool           // a probe of the cloud is in flight, because the leader cannot reach the cloud
}

// assignmentLimits are the times and counts by which reachability reports are evaluated.
var assignmentLimits = duty.Limits{
	Keep:  tuning.WayKeep,
	Near:  3 * tuning.PeerEvery,
	Apart: tuning.ApartAfter,
	Cloud: 2 * tuning.AskCloud,
	Home:  tuning.HomeAfter,
	Few:   tuning.MissingFew,
	Share: tuning.MissingShare,
}

func newReachability(params Params, present map[string]wire.Node) reachability {
	state := reachability{
		cloudLink: reach.NewLink(reach.LinkLimits{
			Late:    time.Minute,
			Down:    tuning.CloudDown,
			Back:    tuning.CloudBack,
			BackMax: tuning.CloudBackMax,
			Window:  tuning.CloudWindow,
		}),
		workerReach: reach.NewWorkers(reach.WorkerLimits{
			Probe:   tuning.ProbeEvery,
			Wait:    tuning.ProbeWait,
			Sample:  tuning.ProbeSample,
			Again:   tuning.ProbeAgain,
			Deaf:    tuning.DeafFor,
			DeafMax: tuning.DeafMax,
			Crowd: reach.CrowdLimits{
				Every: params.ReportInterval,
				Least: tuning.SilenceLeast,
				Gaps:  tuning.SilenceGaps,
				Most:  tuning.SuspectReports,
				Ask:   tuning.AskGaps,
				Asked: tuning.AskReports,
			},
		}),
	}
	state.assignments = duty.NewBook(params.Node, params.NodeZones, present, state.workerReach, state.cloudLink,
		duty.Rules{Gain: tuning.MoveGain, After: tuning.GiveAfter}, assignmentLimits)
	return state
}

// self returns this controller's incarnation and the leader, as the tracker of assignments needs them.
func (c *Core) self() duty.Self {
	return duty.Self{Boot: c.presence.Boot(), Leading: c.leading(), Leader: c.leaderRecord.Node}
}

// reachOf returns the latest reachability report of a controller.
func (c *Core) reachOf(node string) wire.Reach { return c.assignments.Of(c.now, node) }

// ownReach returns this controller's own reachability report.
func (c *Core) ownReach() wire.Reach { return c.assignments.Own(c.now, c.self()) }

// peerResponsive reports whether a peer has answered a ping recently.
func (c *Core) peerResponsive(peer string) bool { return c.assignments.Near(c.now, peer) }

// updateReachability evaluates whether the workers of held shards are reachable and probes workers where
// no report shows it. It reports changed links, publishes this controller's reachability report, and hands
// over shards and leadership if another controller can serve them and this one cannot.
func (c *Core) updateReachability() {
	if !c.dueEvery("reach", tuning.ReachEvery) {
		return
	}
	held, missing := map[int]reach.Crowd{}, map[int]int{}
	for shard := range c.held {
		held[shard] = reach.Crowd{}
	}
	for _, m := range c.heldMachines() {
		group, ok := held[m.shard]
		if ok && !m.drop && !m.fresh && (m.over || m.silent || m.inherited && !m.accounted) {
			missing[m.shard]++
		}
		if !ok || m.over || m.fresh || m.drop || !m.reported && !m.inherited {
			continue
		}
		group.Of++
		if m.reported && c.now-m.lastReport < c.freshFor() {
			group.Heard++
		}
		held[m.shard] = group
	}
	c.workerReach.Watch(c.now, held)
	c.assignments.Watch(c.now, missing, c.machinesIn)
	for _, name := range c.workerReach.Probe(c.now, c.assignments.Sought(c.now, c.holdsShard), c.probeCandidates) {
		address, _ := c.workerAddresses.Of(name)
		c.effects = append(c.effects, Order{Machine: name, Addr: address.Addr, Look: true})
	}
	c.transferSilentShards(held)
	c.resignLeadership()
	for _, link := range c.assignments.Turned(c.now, c.stateRoutes.Judge(c.now).Level) {
		c.effects = append(c.effects, LinkSeen{To: link.To, Level: link.Level})
	}
	c.publishReachability()
}

// probeCandidates names up to count machines that may be called, of a shard or of all shards.
func (c *Core) probeCandidates(shard, count int) []string {
	var names []string
	for machine, id := range c.blockOfMachine {
		if block := c.blocks[id]; block != nil && (shard == reach.Anywhere || block.record.Shard == shard) && !c.markedForDeletion[machine] {
			if _, known := c.workerAddresses.Of(machine); known {
				names = append(names, machine)
			}
		}
	}
	sort.Strings(names)
	return reach.Spread(names, count)
}

// transferSilentShards assigns shards whose machines have all stopped reporting here to a controller that
// reaches them. Without the transfer, every controller that the workers could reach redirected them back to
// this one, until their leases expired.
func (c *Core) transferSilentShards(groups map[int]reach.Crowd) {
	for _, shard := range sortedInts(groups) {
		silent := c.workerReach.Silent(c.now, shard)
		if silent == 0 || c.shards[shard] == nil {
			continue
		}
		successor := c.assignments.GiveTo(c.now, c.self(), shard, groups[shard].Of, silent, c.shards[shard].record.Home, c.shardCounts())
		if successor == "" || c.now < c.notBefore["take:"+shardKey(shard)] {
			continue
		}
		c.recordShardEvent(trail.ShardGiven, shard, wire.TrailEvent{Node: successor, Why: fmt.Sprintf("its machines silent for %.1f s here, heard there", silent.Seconds())})
		c.assignShard(shard, successor, c.nodes[successor].Boot)
	}
}

// shardCounts returns the number of shards that each controller holds.
func (c *Core) shardCounts() map[string]int {
	counts := map[string]int{}
	for _, entry := range c.shards {
		counts[entry.record.Holder]++
	}
	return counts
}

// recordCloudOutcome records the outcome of a call to the cloud for the state of its link. The reply that no
// machines are available counts as an answer.
func (c *Core) recordCloudOutcome(call CloudCall, sent Time, reply CloudReply) {
	outcome := reach.Answered
	switch {
	case reply.Status == 0:
		outcome = reach.Silent
	case reply.Status == 503 && (call.Op != OpRent || reply.Err == "trouble"):
		outcome = reach.Refused
	}
	c.reachability.cloudLink.Done(c.now, call.ID, sent, outcome)
}

// resignLeadership gives up leadership if this controller cannot reach the cloud, and another controller that is
// present has just received an answer from it. On other controllers, it probes the cloud while the leader
// cannot reach it.
func (c *Core) resignLeadership() {
	r := &c.reachability
	if !c.leading() {
		if c.reachOf(c.leaderRecord.Node).NoCloud && !r.probingCloud && c.dueEvery("askCloud", tuning.AskCloud) {
			r.probingCloud = true
			c.callCloud(CloudCall{Op: OpTypes}, func(CloudReply) { r.probingCloud = false })
		}
		return
	}
	successor := c.assignments.LeadTo(c.now, c.self())
	if successor == "" || !c.term.Resigns(c.now, tuning.StandDown) {
		return
	}
	c.recordEvent(wire.TrailEvent{Kind: trail.LeadGiven, Node: successor, Why: "the cloud is not reached here, and is there"})
	c.log(1, "resigning leadership", "to", successor, "why", "the cloud is not reached here")
	c.commit(LaneFirst, []wire.Condition{c.leaderCond()}, []wire.Change{{Delete: wire.KeyLeader}}, func(StateReply) {
		c.term.Answered()
		c.mirrorChanged()
	})
}

// publishReachability writes this controller's reachability report to the state service if it differs from the
// stored one. Peers that this controller can reach also receive it with each ping.
func (c *Core) publishReachability() {
	r := &c.reachability
	key, current, stored := wire.PrefixReach+c.params.Node, c.ownReach(), c.assignments.Written(c.params.Node)
	if stored.Boot != c.presence.Boot() {
		stored = wire.Reach{Boot: c.presence.Boot()} // it is absent or an earlier incarnation's, which is deleted when that one's state lease expires
	}
	if wire.Same(current, stored) || r.writingReport || !c.presence.Here() || !c.dueEvery("tellReach", tuning.TellReach) {
		return
	}
	if current.Lacks != stored.Lacks {
		c.log(1, "reachability of the workers changed", "lost", current.Lacks)
	}
	r.writingReport = true
	c.commit(LaneLater,
		[]wire.Condition{{Key: key, Version: c.versions.Of(key)}},
		[]wire.Change{{Put: key, Value: current, Lease: c.presence.Grant()}},
		func(StateReply) { r.writingReport = false })
}

// onAdminReach answers an operator with the reachability of all controllers, as far as it is known here.
func (c *Core) onAdminReach(query AdminReach) {
	c.answer(query.Req, 200, c.assignments.View(c.now, c.stateRoutes.Judge(c.now), c.stateRoutes.Around(c.now), sortedInts(c.held)))
}
