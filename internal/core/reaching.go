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
type reaching struct {
	workers    *reach.Workers
	cloud      *reach.Link
	words      *assignment.Tracker
	writing    bool
	askedCloud bool // the cloud is being asked on behalf of a leader that does not reach it
}

var dutyLimits = assignment.Limits{ReportTTL: tuning.WayKeep, ReachableFor: 3 * tuning.PeerEvery, UnreachableAfter: tuning.ApartAfter, CloudAnswerTTL: 2 * tuning.AskCloud,
	ReturnHomeAfter: tuning.HomeAfter, AllowedMissing: tuning.MissingFew, AllowedMissingShare: tuning.MissingShare}

func newReaching(p Params, present map[string]wire.Node) reaching {
	r := reaching{cloud: reach.NewLink(reach.LinkLimits{LateAfter: time.Minute, DownAfter: tuning.CloudDown, RecoverAfter: tuning.CloudBack, RecoverAfterMax: tuning.CloudBackMax, FlapWindow: tuning.CloudWindow}),
		workers: reach.NewWorkers(reach.WorkerLimits{ProbeInterval: tuning.ProbeEvery, ProbeTimeout: tuning.ProbeWait, SampleSize: tuning.ProbeSample, ResampleAfter: tuning.ProbeAgain, CutOffFor: tuning.DeafFor, CutOffForMax: tuning.DeafMax,
			Group: reach.GroupLimits{ReportInterval: p.Report, MinSilence: tuning.SilenceLeast, DownGaps: tuning.SilenceGaps, DownIntervals: tuning.SuspectReports, ProbeGaps: tuning.AskGaps, ProbeIntervals: tuning.AskReports}})}
	r.words = assignment.NewTracker(p.Node, p.Nodes, present, r.workers, r.cloud, assignment.Rules{MinGain: tuning.MoveGain, SilentAfter: tuning.GiveAfter}, dutyLimits)
	return r
}

func (c *Core) self() assignment.Self {
	return assignment.Self{Boot: c.member.Boot(), Leading: c.leading(), Leader: c.chief.Node}
}

func (c *Core) wordOf(node string) wire.Reach { return c.words.Latest(c.now, node) }

func (c *Core) ownWord() wire.Reach { return c.words.OwnReport(c.now, c.self()) }

// near tells whether a peer has answered us just now.
func (c *Core) near(peer string) bool { return c.words.Reachable(c.now, peer) }

// watchReach judges the workers of what is held, asks where nothing shows whether workers
// are reached, says what has changed, and gives away what others can do and we cannot.
func (c *Core) watchReach() {
	if !c.every("reach", tuning.ReachEvery) {
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
	c.workers.Update(c.now, held)
	c.words.Update(c.now, missed, c.machineCount)
	for _, name := range c.workers.StartProbes(c.now, c.words.SoughtShards(c.now, c.mine), c.pickToProbe) {
		at, _ := c.addrs.Lookup(name)
		c.out = append(c.out, Order{Machine: name, Addr: at.Addr, Look: true})
	}
	c.giveAway(held)
	c.standDown()
	for _, l := range c.words.ChangedLinks(c.now, c.ways.EvaluateLink(c.now).Level) {
		c.out = append(c.out, LinkSeen{To: l.To, Level: l.Level})
	}
	c.tellReach()
}

// pickToProbe names a few machines of a shard, or of all, that may be called.
func (c *Core) pickToProbe(shard, n int) []string {
	var names []string
	for m, id := range c.blockIn {
		if b := c.blocks[id]; b != nil && (shard == reach.AnyShard || b.rec.Shard == shard) && !c.dropping[m] {
			if _, known := c.addrs.Lookup(m); known {
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
func (c *Core) giveAway(held map[int]reach.MachineGroup) {
	for _, i := range sortedIntKeys(held) {
		silent := c.workers.SilentFor(c.now, i)
		if silent == 0 || c.shards[i] == nil {
			continue
		}
		to := c.words.TransferTarget(c.now, c.self(), i, held[i].Expected, silent, c.shards[i].rec.Home, c.shardsHeld())
		if to == "" || c.now < c.retryAt["take:"+shardKey(i)] {
			continue
		}
		c.noteShard(trail.ShardGiven, i, wire.TrailEvent{Node: to, Why: fmt.Sprintf("its machines silent for %.1f s here, heard there", silent.Seconds())})
		c.takeShard(i, to, c.nodes[to].Boot)
	}
}

// shardsHeld counts the shards that each controller holds.
func (c *Core) shardsHeld() map[string]int {
	held := map[string]int{}
	for _, s := range c.shards {
		held[s.rec.Holder]++
	}
	return held
}

// cloudSeen takes note of how a call of the cloud went. That it has no machines to give is
// an answer.
func (c *Core) cloudSeen(call CloudCall, sent Time, r CloudReply) {
	o := reach.Answered
	switch {
	case r.Status == 0:
		o = reach.NoAnswer
	case r.Status == 503 && (call.Op != OpRent || r.Err == "trouble"):
		o = reach.Refused
	}
	c.reaching.cloud.CallDone(c.now, call.ID, sent, o)
}

// standDown gives leadership away for want of the cloud, if another present controller
// has just been answered there.
func (c *Core) standDown() {
	r := &c.reaching
	if !c.leading() {
		if c.wordOf(c.chief.Node).NoCloud && !r.askedCloud && c.every("askCloud", tuning.AskCloud) {
			r.askedCloud = true
			c.cloud(CloudCall{Op: OpTypes}, func(CloudReply) { r.askedCloud = false })
		}
		return
	}
	to := c.words.LeadershipTarget(c.now, c.self())
	if to == "" || !c.term.StartResignation(c.now, tuning.StandDown) {
		return
	}
	c.note(wire.TrailEvent{Kind: trail.LeadGiven, Node: to, Why: "the cloud is not reached here, and is there"})
	c.log(1, "giving leadership away", "to", to, "why", "the cloud is not reached here")
	c.commit(LaneFirst, []wire.Condition{c.leaderCond()}, []wire.Change{{Delete: wire.KeyLeader}}, func(StateReply) {
		c.term.WriteFinished()
		c.changed()
	})
}

// tellReach writes our word where all can read it, unless it stands there. Peers that we
// reach hear it with each ping as well.
func (c *Core) tellReach() {
	r := &c.reaching
	key, w, stands := wire.PrefixReach+c.p.Node, c.ownWord(), c.words.Stored(c.p.Node)
	if stands.Boot != c.member.Boot() {
		stands = wire.Reach{Boot: c.member.Boot()} // an earlier life's, or none: it goes with its grant
	}
	if wire.Same(w, stands) || r.writing || !c.member.Registered() || !c.every("tellReach", tuning.TellReach) {
		return
	}
	if w.Lacks != stands.Lacks {
		c.log(1, "reach of the workers", "lost", w.Lacks)
	}
	r.writing = true
	c.commit(LaneLater, []wire.Condition{{Key: key, Version: c.ver.Of(key)}}, []wire.Change{{Put: key, Value: w, Lease: c.member.StateLease()}}, func(StateReply) { r.writing = false })
}

func (c *Core) onAdminReach(v AdminReach) {
	c.answer(v.Req, 200, c.words.View(c.now, c.ways.EvaluateLink(c.now), c.ways.BestPeer(c.now), sortedIntKeys(c.heldShards)))
}
