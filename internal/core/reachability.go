package core

import (
	"fmt"
	"sort"
	"time"

	"github.com/barrowbridge/barrowbridge/internal/assignment"
	"github.com/barrowbridge/barrowbridge/internal/reach"
	"github.com/barrowbridge/barrowbridge/internal/trail"
	"github.com/barrowbridge/barrowbridge/internal/tuning"
	"github.com/barrowbridge/barrowbridge/wire"
)

// reachability tracks which workers and services this controller and the others can reach.
type reachability struct {
	workerReach   *reach.Workers      // reachability of the workers from here
	cloudLink     *reach.Link         // reachability of the cloud from here
	assignments   *assignment.Tracker // reachability reports of all controllers, and who should hold a shard or lead
	writingReport bool                // a write of this controller's reachability report is in flight
	probingCloud  bool                // a probe of the cloud is in flight, because the leader cannot reach the cloud
}

// assignmentLimits are the times and counts by which reachability reports are evaluated.
var assignmentLimits = assignment.Limits{
	ReportTTL:           tuning.RouteTTL,
	ReachableFor:        3 * tuning.PeerPingInterval,
	UnreachableAfter:    tuning.PeerUnreachableAfter,
	CloudAnswerTTL:      2 * tuning.CloudQueryInterval,
	ReturnHomeAfter:     tuning.HomeShardReturnAfter,
	AllowedMissing:      tuning.FewMissingMachines,
	AllowedMissingShare: tuning.MissingMachinesDivisor,
}

func newReachability(params Params, present map[string]wire.Node) reachability {
	state := reachability{
		cloudLink: reach.NewLink(reach.LinkLimits{
			LateAfter:       time.Minute,
			DownAfter:       tuning.CloudLinkDownAfter,
			RecoverAfter:    tuning.CloudLinkRecovery,
			RecoverAfterMax: tuning.CloudLinkRecoveryMax,
			FlapWindow:      tuning.CloudLinkFlapWindow,
		}),
		workerReach: reach.NewWorkers(reach.WorkerLimits{
			ProbeInterval: tuning.ProbeInterval,
			ProbeTimeout:  tuning.ProbeTimeout,
			SampleSize:    tuning.ProbeSampleSize,
			ResampleAfter: tuning.ProbeRepeatDelay,
			CutOffFor:     tuning.CutOffPause,
			CutOffForMax:  tuning.CutOffPauseMax,
			Group: reach.GroupLimits{
				ReportInterval: params.ReportInterval,
				MinSilence:     tuning.MinSilence,
				DownGaps:       tuning.SilenceGaps,
				DownIntervals:  tuning.SuspectReportIntervals,
				ProbeGaps:      tuning.ProbeSilenceGaps,
				ProbeIntervals: tuning.ProbeSilenceIntervals,
			},
		}),
	}
	state.assignments = assignment.NewTracker(params.Node, params.NodeZones, present, state.workerReach, state.cloudLink,
		assignment.Rules{MinGain: tuning.ShardTransferGain, SilentAfter: tuning.ShardTransferAfter}, assignmentLimits)
	return state
}

// self returns this controller's incarnation and the leader, as the tracker of assignments needs them.
func (c *Core) self() assignment.Self {
	return assignment.Self{Boot: c.presence.Boot(), Leading: c.isLeader(), Leader: c.leaderRecord.Node}
}

// reachOf returns the latest reachability report of a controller.
func (c *Core) reachOf(node string) wire.ReachReport { return c.assignments.Latest(c.now, node) }

// ownReach returns this controller's own reachability report.
func (c *Core) ownReach() wire.ReachReport { return c.assignments.OwnReport(c.now, c.self()) }

// peerResponsive reports whether a peer has answered a ping recently.
func (c *Core) peerResponsive(peer string) bool { return c.assignments.Reachable(c.now, peer) }

// updateReachability evaluates whether the workers of held shards are reachable and probes workers where
// no report shows it. It reports changed links, publishes this controller's reachability report, and hands
// over shards and leadership if another controller can serve them and this one cannot.
func (c *Core) updateReachability() {
	if !c.dueEvery("reach", tuning.ReachabilityInterval) {
		return
	}
	held, missing := map[int]reach.MachineGroup{}, map[int]int{}
	for shard := range c.heldShards {
		held[shard] = reach.MachineGroup{}
	}
	for _, m := range c.heldMachines() {
		group, ok := held[m.shard]
		if ok && !m.returning && !m.fresh && (m.leaseOver || m.silent || m.inherited && !m.accounted) {
			missing[m.shard]++
		}
		if !ok || m.leaseOver || m.fresh || m.returning || !m.reported && !m.inherited {
			continue
		}
		group.Expected++
		if m.reported && c.now-m.lastReport < c.reportMaxAge() {
			group.Reporting++
		}
		held[m.shard] = group
	}
	c.workerReach.Update(c.now, held)
	c.assignments.Update(c.now, missing, c.machineCount)
	for _, name := range c.workerReach.StartProbes(c.now, c.assignments.SoughtShards(c.now, c.holdsShard), c.probeCandidates) {
		address, _ := c.workerAddresses.Lookup(name)
		c.effects = append(c.effects, WorkerCall{Machine: name, Addr: address.Addr, ProbeOnly: true})
	}
	c.transferSilentShards(held)
	c.resignLeadership()
	for _, link := range c.assignments.ChangedLinks(c.now, c.stateRoutes.EvaluateLink(c.now).Level) {
		c.effects = append(c.effects, LinkChanged{To: link.To, Level: link.Level})
	}
	c.publishReachability()
}

// probeCandidates names up to count machines that may be called, of a shard or of all shards.
func (c *Core) probeCandidates(shard, count int) []string {
	var names []string
	for machine, id := range c.blockOfMachine {
		if block := c.blocks[id]; block != nil && (shard == reach.AnyShard || block.record.Shard == shard) && !c.markedForDeletion[machine] {
			if _, known := c.workerAddresses.Lookup(machine); known {
				names = append(names, machine)
			}
		}
	}
	sort.Strings(names)
	return reach.PickEvenly(names, count)
}

// transferSilentShards assigns shards whose machines have all stopped reporting here to a controller that
// reaches them. Without the transfer, every controller that the workers could reach redirected them back to
// this one, until their leases expired.
func (c *Core) transferSilentShards(groups map[int]reach.MachineGroup) {
	for _, shard := range sortedIntKeys(groups) {
		silent := c.workerReach.SilentFor(c.now, shard)
		if silent == 0 || c.shards[shard] == nil {
			continue
		}
		successor := c.assignments.TransferTarget(c.now, c.self(), shard, groups[shard].Expected, silent, c.shards[shard].record.Home, c.shardCounts())
		if successor == "" || c.now < c.notBefore["take:"+shardKey(shard)] {
			continue
		}
		c.recordShardEvent(trail.ShardHandedOver, shard, wire.TrailEvent{
			Node: successor,
			Why:  fmt.Sprintf("its machines silent for %.1f s here, heard there", silent.Seconds()),
		})
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
		outcome = reach.NoAnswer
	case reply.Status == 503 && (call.Op != OpRent || reply.Err == "trouble"):
		outcome = reach.Refused
	}
	c.reachability.cloudLink.CallDone(c.now, call.ID, sent, outcome)
}

// resignLeadership gives up leadership if this controller cannot reach the cloud, and another controller that is
// present has just received an answer from it. On other controllers, it probes the cloud while the leader
// cannot reach it.
func (c *Core) resignLeadership() {
	r := &c.reachability
	if !c.isLeader() {
		if c.reachOf(c.leaderRecord.Node).NoCloud && !r.probingCloud && c.dueEvery("askCloud", tuning.CloudQueryInterval) {
			r.probingCloud = true
			c.callCloud(CloudCall{Op: OpTypes}, func(CloudReply) { r.probingCloud = false })
		}
		return
	}
	successor := c.assignments.LeadershipTarget(c.now, c.self())
	if successor == "" || !c.term.StartResignation(c.now, tuning.LeadershipPause) {
		return
	}
	c.recordEvent(wire.TrailEvent{Kind: trail.LeadershipHandedOver, Node: successor, Why: "the cloud is not reached here, and is there"})
	c.log(1, "resigning leadership", "to", successor, "why", "the cloud is not reached here")
	c.commit(LaneAuthority, []wire.Condition{c.leaderCondition()}, []wire.Change{{Delete: wire.KeyLeader}}, func(StateReply) {
		c.term.WriteFinished()
		c.mirrorChanged()
	})
}

// publishReachability writes this controller's reachability report to the state service if it differs from the
// stored one. Peers that this controller can reach also receive it with each ping.
func (c *Core) publishReachability() {
	r := &c.reachability
	key, current, stored := wire.PrefixReach+c.params.Node, c.ownReach(), c.assignments.Stored(c.params.Node)
	if stored.Boot != c.presence.Boot() {
		stored = wire.ReachReport{Boot: c.presence.Boot()} // it is absent or an earlier incarnation's, which is deleted when that one's state lease expires
	}
	if wire.EqualEncoding(current, stored) || r.writingReport || !c.presence.Registered() || !c.dueEvery("tellReach", tuning.ReachabilityWriteInterval) {
		return
	}
	if current.NoWorkers != stored.NoWorkers {
		c.log(1, "reachability of the workers changed", "lost", current.NoWorkers)
	}
	r.writingReport = true
	c.commit(LaneDeferred,
		[]wire.Condition{{Key: key, Version: c.versions.Version(key)}},
		[]wire.Change{{Put: key, Value: current, Lease: c.presence.StateLease()}},
		func(StateReply) { r.writingReport = false })
}

// onAdminReach answers an operator with the reachability of all controllers, as far as it is known here.
func (c *Core) onAdminReach(query AdminReach) {
	c.answer(query.Req, 200, c.assignments.View(c.now, c.stateRoutes.EvaluateLink(c.now), c.stateRoutes.BestPeer(c.now), sortedIntKeys(c.heldShards)))
}
