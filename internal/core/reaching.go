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

// reaching is what this controller and the others say of what they reach.
type reachability struct {
	workerReach   *reach.Workers
	cloudLink     *reach.Link
	assignments   *assignment.Tracker
	writingReport bool
	probingCloud  bool // the cloud is being asked on behalf of a leader that does not reach it
}

var assignmentLimits = assignment.Limits{ReportTTL: tuning.WayKeep, ReachableFor: 3 * tuning.PeerEvery, UnreachableAfter: tuning.ApartAfter, CloudAnswerTTL: 2 * tuning.AskCloud,
	ReturnHomeAfter: tuning.HomeAfter, AllowedMissing: tuning.MissingFew, AllowedMissingShare: tuning.MissingShare}

func newReachability(p Params, present map[string]wire.Node) reachability {
	r := reachability{cloudLink: reach.NewLink(reach.LinkLimits{LateAfter: time.Minute, DownAfter: tuning.CloudDown, RecoverAfter: tuning.CloudBack, RecoverAfterMax: tuning.CloudBackMax, FlapWindow: tuning.CloudWindow}),
		workerReach: reach.NewWorkers(reach.WorkerLimits{ProbeInterval: tuning.ProbeEvery, ProbeTimeout: tuning.ProbeWait, SampleSize: tuning.ProbeSample, ResampleAfter: tuning.ProbeAgain, CutOffFor: tuning.DeafFor, CutOffForMax: tuning.DeafMax,
			Group: reach.GroupLimits{ReportInterval: p.Report, MinSilence: tuning.SilenceLeast, DownGaps: tuning.SilenceGaps, DownIntervals: tuning.SuspectReports, ProbeGaps: tuning.AskGaps, ProbeIntervals: tuning.AskReports}})}
	r.assignments = assignment.NewTracker(p.Node, p.Nodes, present, r.workerReach, r.cloudLink, assignment.Rules{MinGain: tuning.MoveGain, SilentAfter: tuning.GiveAfter}, assignmentLimits)
	return r
}

func (c *Core) self() assignment.Self {
	return assignment.Self{Boot: c.presence.Boot(), Leading: c.isLeader(), Leader: c.leaderRecord.Node}
}

func (c *Core) reachOf(node string) wire.Reach { return c.assignments.Latest(c.now, node) }

func (c *Core) ownReach() wire.Reach { return c.assignments.OwnReport(c.now, c.self()) }

// near tells whether a peer has answered us just now.
func (c *Core) peerResponsive(peer string) bool { return c.assignments.Reachable(c.now, peer) }

// watchReach judges the workers of what is held, asks where nothing shows whether workers
// are reached, says what has changed, and gives away what others can do and we cannot.
func (c *Core) updateReachability() {
	if !c.dueEvery("reach", tuning.ReachEvery) {
		return
	}
	held, missed := map[int]reach.MachineGroup{}, map[int]int{}
	for i := range c.heldShards {
		held[i] = reach.MachineGroup{}
	}
	for _, m := range c.heldMachines() {
		x, ok := held[m.shard]
		if ok && !m.returning && !m.fresh && (m.leaseOver || m.silent || m.inherited && !m.accounted) {
			missed[m.shard]++
		}
		if !ok || m.leaseOver || m.fresh || m.returning || !m.reported && !m.inherited {
			continue
		}
		x.Expected++
		if m.reported && c.now-m.lastReport < c.reportMaxAge() {
			x.Reporting++
		}
		held[m.shard] = x
	}
	c.workerReach.Update(c.now, held)
	c.assignments.Update(c.now, missed, c.machineCount)
	for _, name := range c.workerReach.StartProbes(c.now, c.assignments.SoughtShards(c.now, c.holdsShard), c.probeCandidates) {
		at, _ := c.workerAddresses.Lookup(name)
		c.effects = append(c.effects, Order{Machine: name, Addr: at.Addr, Look: true})
	}
	c.transferSilentShards(held)
	c.transferLeadership()
	for _, l := range c.assignments.ChangedLinks(c.now, c.stateRoutes.EvaluateLink(c.now).Level) {
		c.effects = append(c.effects, LinkSeen{To: l.To, Level: l.Level})
	}
	c.publishReachability()
}

// pickToProbe names a few machines of a shard, or of all, that may be called.
func (c *Core) probeCandidates(shard, n int) []string {
	var names []string
	for m, id := range c.blockOfMachine {
		if b := c.blocks[id]; b != nil && (shard == reach.AnyShard || b.record.Shard == shard) && !c.markedForDeletion[m] {
			if _, known := c.workerAddresses.Lookup(m); known {
				names = append(names, m)
			}
		}
	}
	sort.Strings(names)
	return reach.PickEvenly(names, n)
}

// giveAway hands shards whose machines have all fallen silent to a controller that
// reaches them, by a write of our own. Without it they were sent back to us by everybody
// they could reach, until their leases were over.
func (c *Core) transferSilentShards(held map[int]reach.MachineGroup) {
	for _, i := range sortedIntKeys(held) {
		silent := c.workerReach.SilentFor(c.now, i)
		if silent == 0 || c.shards[i] == nil {
			continue
		}
		to := c.assignments.TransferTarget(c.now, c.self(), i, held[i].Expected, silent, c.shards[i].record.Home, c.shardCounts())
		if to == "" || c.now < c.notBefore["take:"+shardKey(i)] {
			continue
		}
		c.recordShardEvent(trail.ShardGiven, i, wire.TrailEvent{Node: to, Why: fmt.Sprintf("its machines silent for %.1f s here, heard there", silent.Seconds())})
		c.assignShard(i, to, c.nodes[to].Boot)
	}
}

// shardsHeld counts the shards that each controller holds.
func (c *Core) shardCounts() map[string]int {
	held := map[string]int{}
	for _, s := range c.shards {
		held[s.record.Holder]++
	}
	return held
}

// cloudSeen takes note of how a call of the cloud went. That it has no machines to give is
// an answer.
func (c *Core) recordCloudOutcome(call CloudCall, sent Time, r CloudReply) {
	o := reach.Answered
	switch {
	case r.Status == 0:
		o = reach.NoAnswer
	case r.Status == 503 && (call.Op != OpRent || r.Err == "trouble"):
		o = reach.Refused
	}
	c.reachability.cloudLink.CallDone(c.now, call.ID, sent, o)
}

// standDown gives leadership away for want of the cloud, if another present controller
// has just been answered there.
func (c *Core) transferLeadership() {
	r := &c.reachability
	if !c.isLeader() {
		if c.reachOf(c.leaderRecord.Node).NoCloud && !r.probingCloud && c.dueEvery("askCloud", tuning.AskCloud) {
			r.probingCloud = true
			c.callCloud(CloudCall{Op: OpTypes}, func(CloudReply) { r.probingCloud = false })
		}
		return
	}
	to := c.assignments.LeadershipTarget(c.now, c.self())
	if to == "" || !c.term.StartResignation(c.now, tuning.StandDown) {
		return
	}
	c.recordEvent(wire.TrailEvent{Kind: trail.LeadGiven, Node: to, Why: "the cloud is not reached here, and is there"})
	c.log(1, "giving leadership away", "to", to, "why", "the cloud is not reached here")
	c.commit(LaneFirst, []wire.Condition{c.leaderCondition()}, []wire.Change{{Delete: wire.KeyLeader}}, func(StateReply) {
		c.term.WriteFinished()
		c.mirrorChanged()
	})
}

// tellReach writes our word where all can read it, unless it stands there. Peers that we
// reach hear it with each ping as well.
func (c *Core) publishReachability() {
	r := &c.reachability
	key, w, stands := wire.PrefixReach+c.params.Node, c.ownReach(), c.assignments.Stored(c.params.Node)
	if stands.Boot != c.presence.Boot() {
		stands = wire.Reach{Boot: c.presence.Boot()} // an earlier life's, or none: it goes with its grant
	}
	if wire.Same(w, stands) || r.writingReport || !c.presence.Registered() || !c.dueEvery("tellReach", tuning.TellReach) {
		return
	}
	if w.Lacks != stands.Lacks {
		c.log(1, "reach of the workers", "lost", w.Lacks)
	}
	r.writingReport = true
	c.commit(LaneLater, []wire.Condition{{Key: key, Version: c.versions.Of(key)}}, []wire.Change{{Put: key, Value: w, Lease: c.presence.StateLease()}}, func(StateReply) { r.writingReport = false })
}

func (c *Core) onAdminReach(v AdminReach) {
	c.answer(v.Req, 200, c.assignments.View(c.now, c.stateRoutes.EvaluateLink(c.now), c.stateRoutes.BestPeer(c.now), sortedIntKeys(c.heldShards)))
}
