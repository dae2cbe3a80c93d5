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

// reaching is what this controller and the others say of what they reach.
type reachability struct {
	workerReach   *reach.Workers
	cloudLink     *reach.Link
	assignments   *duty.Book
	writingReport bool
	probingCloud  bool // the cloud is being asked on behalf of a leader that does not reach it
}

var assignmentLimits = duty.Limits{Keep: tuning.WayKeep, Near: 3 * tuning.PeerEvery, Apart: tuning.ApartAfter, Cloud: 2 * tuning.AskCloud,
	Home: tuning.HomeAfter, Few: tuning.MissingFew, Share: tuning.MissingShare}

func newReachability(p Params, present map[string]wire.Node) reachability {
	r := reachability{cloudLink: reach.NewLink(reach.LinkLimits{Late: time.Minute, Down: tuning.CloudDown, Back: tuning.CloudBack, BackMax: tuning.CloudBackMax, Window: tuning.CloudWindow}),
		workerReach: reach.NewWorkers(reach.WorkerLimits{Probe: tuning.ProbeEvery, Wait: tuning.ProbeWait, Sample: tuning.ProbeSample, Again: tuning.ProbeAgain, Deaf: tuning.DeafFor, DeafMax: tuning.DeafMax,
			Crowd: reach.CrowdLimits{Every: p.ReportInterval, Least: tuning.SilenceLeast, Gaps: tuning.SilenceGaps, Most: tuning.SuspectReports, Ask: tuning.AskGaps, Asked: tuning.AskReports}})}
	r.assignments = duty.NewBook(p.Node, p.NodeZones, present, r.workerReach, r.cloudLink, duty.Rules{Gain: tuning.MoveGain, After: tuning.GiveAfter}, assignmentLimits)
	return r
}

func (c *Core) self() duty.Self {
	return duty.Self{Boot: c.presence.Boot(), Leading: c.leading(), Leader: c.leaderRecord.Node}
}

func (c *Core) reachOf(node string) wire.Reach { return c.assignments.Of(c.now, node) }

func (c *Core) ownReach() wire.Reach { return c.assignments.Own(c.now, c.self()) }

// near tells whether a peer has answered us just now.
func (c *Core) peerResponsive(peer string) bool { return c.assignments.Near(c.now, peer) }

// watchReach judges the workers of what is held, asks where nothing shows whether workers
// are reached, says what has changed, and gives away what others can do and we cannot.
func (c *Core) updateReachability() {
	if !c.dueEvery("reach", tuning.ReachEvery) {
		return
	}
	held, missed := map[int]reach.Crowd{}, map[int]int{}
	for i := range c.held {
		held[i] = reach.Crowd{}
	}
	for _, m := range c.heldMachines() {
		x, ok := held[m.shard]
		if ok && !m.drop && !m.fresh && (m.over || m.silent || m.inherited && !m.accounted) {
			missed[m.shard]++
		}
		if !ok || m.over || m.fresh || m.drop || !m.reported && !m.inherited {
			continue
		}
		x.Of++
		if m.reported && c.now-m.lastReport < c.freshFor() {
			x.Heard++
		}
		held[m.shard] = x
	}
	c.workerReach.Watch(c.now, held)
	c.assignments.Watch(c.now, missed, c.machinesIn)
	for _, name := range c.workerReach.Probe(c.now, c.assignments.Sought(c.now, c.holdsShard), c.probeCandidates) {
		at, _ := c.workerAddresses.Of(name)
		c.effects = append(c.effects, Order{Machine: name, Addr: at.Addr, Look: true})
	}
	c.transferSilentShards(held)
	c.transferLeadership()
	for _, l := range c.assignments.Turned(c.now, c.stateRoutes.Judge(c.now).Level) {
		c.effects = append(c.effects, LinkSeen{To: l.To, Level: l.Level})
	}
	c.publishReachability()
}

// pickToProbe names a few machines of a shard, or of all, that may be called.
func (c *Core) probeCandidates(shard, n int) []string {
	var names []string
	for m, id := range c.blockOfMachine {
		if b := c.blocks[id]; b != nil && (shard == reach.Anywhere || b.record.Shard == shard) && !c.markedForDeletion[m] {
			if _, known := c.workerAddresses.Of(m); known {
				names = append(names, m)
			}
		}
	}
	sort.Strings(names)
	return reach.Spread(names, n)
}

// giveAway hands shards whose machines have all fallen silent to a controller that
// reaches them, by a write of our own. Without it they were sent back to us by everybody
// they could reach, until their leases were over.
func (c *Core) transferSilentShards(held map[int]reach.Crowd) {
	for _, i := range sortedInts(held) {
		silent := c.workerReach.Silent(c.now, i)
		if silent == 0 || c.shards[i] == nil {
			continue
		}
		to := c.assignments.GiveTo(c.now, c.self(), i, held[i].Of, silent, c.shards[i].record.Home, c.shardCounts())
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
		o = reach.Silent
	case r.Status == 503 && (call.Op != OpRent || r.Err == "trouble"):
		o = reach.Refused
	}
	c.reachability.cloudLink.Done(c.now, call.ID, sent, o)
}

// standDown gives leadership away for want of the cloud, if another present controller
// has just been answered there.
func (c *Core) transferLeadership() {
	r := &c.reachability
	if !c.leading() {
		if c.reachOf(c.leaderRecord.Node).NoCloud && !r.probingCloud && c.dueEvery("askCloud", tuning.AskCloud) {
			r.probingCloud = true
			c.callCloud(CloudCall{Op: OpTypes}, func(CloudReply) { r.probingCloud = false })
		}
		return
	}
	to := c.assignments.LeadTo(c.now, c.self())
	if to == "" || !c.term.Resigns(c.now, tuning.StandDown) {
		return
	}
	c.recordEvent(wire.TrailEvent{Kind: trail.LeadGiven, Node: to, Why: "the cloud is not reached here, and is there"})
	c.log(1, "giving leadership away", "to", to, "why", "the cloud is not reached here")
	c.commit(LaneFirst, []wire.Condition{c.leaderCond()}, []wire.Change{{Delete: wire.KeyLeader}}, func(StateReply) {
		c.term.Answered()
		c.mirrorChanged()
	})
}

// tellReach writes our word where all can read it, unless it stands there. Peers that we
// reach hear it with each ping as well.
func (c *Core) publishReachability() {
	r := &c.reachability
	key, w, stands := wire.PrefixReach+c.params.Node, c.ownReach(), c.assignments.Written(c.params.Node)
	if stands.Boot != c.presence.Boot() {
		stands = wire.Reach{Boot: c.presence.Boot()} // an earlier life's, or none: it goes with its grant
	}
	if wire.Same(w, stands) || r.writingReport || !c.presence.Here() || !c.dueEvery("tellReach", tuning.TellReach) {
		return
	}
	if w.Lacks != stands.Lacks {
		c.log(1, "reach of the workers", "lost", w.Lacks)
	}
	r.writingReport = true
	c.commit(LaneLater, []wire.Condition{{Key: key, Version: c.versions.Of(key)}}, []wire.Change{{Put: key, Value: w, Lease: c.presence.Grant()}}, func(StateReply) { r.writingReport = false })
}

func (c *Core) onAdminReach(v AdminReach) {
	c.answer(v.Req, 200, c.assignments.View(c.now, c.stateRoutes.Judge(c.now), c.stateRoutes.Around(c.now), sortedInts(c.held)))
}
