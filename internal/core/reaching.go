package core

import (
	"fmt"
	"slices"
	"sort"
	"time"

	"github.com/barrowbridge/barrowbridge/internal/duty"
	"github.com/barrowbridge/barrowbridge/internal/reach"
	"github.com/barrowbridge/barrowbridge/internal/trail"
	"github.com/barrowbridge/barrowbridge/internal/tuning"
	"github.com/barrowbridge/barrowbridge/wire"
)

// reaching is what this controller and the others say of what they reach.
type reaching struct {
	workers    *reach.Workers
	words      map[string]wire.Reach // by controller, as the state has them
	spoken     map[string]spokenWord // as peers last told us
	misses     []int                 // held shards of whose machines many are silent
	began      Time                  // when this life began to judge
	writing    bool
	shown      map[string]reach.Level // links, as last told to those who scrape
	lacked     map[string]Time        // controller -> when it last lacked workers, as far as we know
	cloud      *reach.Link
	askedCloud bool // the cloud is being asked on behalf of a leader that does not reach it
	stands     Time // until then we do not claim leadership that we gave away
}

type spokenWord struct {
	word wire.Reach
	at   Time
}

func newReaching(p Params) reaching {
	return reaching{shown: map[string]reach.Level{}, cloud: reach.NewLink(reach.LinkLimits{Late: time.Minute, Down: tuning.CloudDown, Back: tuning.CloudBack, BackMax: tuning.CloudBackMax, Window: tuning.CloudWindow}),
		words: map[string]wire.Reach{}, spoken: map[string]spokenWord{}, lacked: map[string]Time{},
		workers: reach.NewWorkers(reach.WorkerLimits{Probe: tuning.ProbeEvery, Wait: tuning.ProbeWait, Sample: tuning.ProbeSample, Again: tuning.ProbeAgain, Deaf: tuning.DeafFor, DeafMax: tuning.DeafMax,
			Crowd: reach.CrowdLimits{Every: p.Report, Least: tuning.SilenceLeast, Gaps: tuning.SilenceGaps, Most: tuning.SuspectReports, Ask: tuning.AskGaps, Asked: tuning.AskReports}})}
}

var rules = duty.Rules{Gain: tuning.MoveGain, After: tuning.GiveAfter}

// wordOf is a controller's newest word that we have.
func (c *Core) wordOf(node string) wire.Reach {
	if s, ok := c.reaching.spoken[node]; ok && c.now-s.at < tuning.WayKeep {
		return s.word
	}
	if w := c.reaching.words[node]; w.Boot == c.nodes[node].Boot {
		return w
	}
	return wire.Reach{}
}

// watchReach judges the workers of what is held, asks where nothing shows whether workers
// are reached, says what has changed, and gives away what others can do and we cannot.
func (c *Core) watchReach() {
	if !c.every("reach", tuning.ReachEvery) {
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
	r := &c.reaching
	if r.began == 0 {
		r.began = c.now
	}
	r.workers.Watch(c.now, held)
	r.misses = nil
	for _, i := range sortedInts(missed) {
		if missed[i] > max(tuning.MissingFew, c.machinesIn(i)/tuning.MissingShare) {
			r.misses = append(r.misses, i)
		}
	}
	if c.workers.Lacks(c.now) {
		r.lacked[c.p.Node] = c.now
	}
	sought := map[int]bool{}
	for n := range c.nodes {
		w := c.wordOf(n)
		if n == c.p.Node {
			continue
		}
		if w.Lacks {
			r.lacked[n] = c.now
		}
		for _, i := range w.Seeks {
			if !c.mine(i) {
				sought[i] = true
			}
		}
	}
	for _, name := range r.workers.Probe(c.now, sought, c.pickToProbe) {
		at, _ := c.addrs.Of(name)
		c.out = append(c.out, Order{Machine: name, Addr: at.Addr, Look: true})
	}
	c.giveAway(held)
	c.standDown()
	c.showLinks()
	c.tellReach()
}

// pickToProbe names a few machines of a shard, or of all, that may be called.
func (c *Core) pickToProbe(shard, n int) []string {
	var names []string
	for m, id := range c.blockIn {
		if b := c.blocks[id]; b != nil && (shard == reach.Anywhere || b.rec.Shard == shard) && !c.dropping[m] {
			if _, known := c.addrs.Of(m); known {
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
func (c *Core) giveAway(held map[int]reach.Crowd) {
	for _, i := range sortedInts(held) {
		silent := c.reaching.workers.Silent(c.now, i)
		if silent == 0 || c.shards[i] == nil {
			continue
		}
		var others []duty.Member
		for _, m := range c.members(i) {
			if m.Node != c.p.Node {
				others = append(others, m)
			}
		}
		to := rules.GiveTo(duty.Reach{Of: held[i].Of}, silent, c.shards[i].rec.Home, c.p.Nodes, others)
		if to == "" || c.now < c.retryAt["take:"+shardKey(i)] {
			continue
		}
		c.noteShard(trail.ShardGiven, i, wire.TrailEvent{Node: to, Why: fmt.Sprintf("its machines silent for %.1f s here, heard there", silent.Seconds())})
		c.takeShard(i, to, c.nodes[to].Boot)
	}
}

// cloudSeen takes note of how a call of the cloud went. That it has no machines to give is
// an answer.
func (c *Core) cloudSeen(call CloudCall, sent Time, r CloudReply) {
	o := reach.Answered
	switch {
	case r.Status == 0:
		o = reach.Silent
	case r.Status == 503 && (call.Op != OpRent || r.Err == "trouble"):
		o = reach.Refused
	}
	c.reaching.cloud.Done(c.now, call.ID, sent, o)
}

// standDown gives leadership away for want of the cloud, if another present controller
// has just been answered there. In an outage of the cloud that all share nobody has.
func (c *Core) standDown() {
	r := &c.reaching
	if !c.leading() {
		if c.wordOf(c.chief.Node).NoCloud && !r.askedCloud && c.every("askCloud", tuning.AskCloud) {
			r.askedCloud = true
			c.cloud(CloudCall{Op: OpTypes}, func(CloudReply) { r.askedCloud = false })
		}
		return
	}
	if !c.ownWord().NoCloud || c.leader.claiming {
		return
	}
	var others []duty.Member
	for _, n := range sortedKeys(c.nodes) {
		if n != c.p.Node {
			others = append(others, duty.Member{Node: n, Cloud: c.wordOf(n).Cloud, Lacks: c.wordOf(n).Lacks})
		}
	}
	to := duty.Leader(others)
	if to == "" {
		return
	}
	r.stands, c.leader.claiming = c.now+tuning.StandDown, true
	c.note(wire.TrailEvent{Kind: trail.LeadGiven, Node: to, Why: "the cloud is not reached here, and is there"})
	c.log(1, "giving leadership away", "to", to, "why", "the cloud is not reached here")
	c.commit(LaneFirst, []wire.Condition{c.leaderCond()}, []wire.Change{{Delete: wire.KeyLeader}}, func(StateReply) {
		c.leader.claiming = false
		c.changed()
	})
}

// members are the controllers that are present, with their words on a shard.
func (c *Core) members(shard int) []duty.Member {
	held := map[string]int{}
	for _, s := range c.shards {
		held[s.rec.Holder]++
	}
	var out []duty.Member
	for _, n := range sortedKeys(c.nodes) {
		w := c.wordOf(n)
		if n == c.p.Node {
			w = c.ownWord()
		}
		m := duty.Member{Node: n, Zone: c.nodes[n].Zone, Held: held[n], Lacks: w.Lacks, Near: c.near(n)}
		for _, h := range w.Hears {
			if h.Shard == shard {
				m.Reaches = &duty.Reach{Of: h.Of, Heard: h.Heard}
			}
		}
		out = append(out, m)
	}
	return out
}

// near tells whether a peer has answered us just now.
func (c *Core) near(peer string) bool {
	at, ok := c.heard[peer]
	return ok && c.now-at <= 3*tuning.PeerEvery
}

func (c *Core) ownWord() wire.Reach {
	w := c.reaching.workers.Word(c.now)
	w.Boot, w.Misses = c.boot, c.reaching.misses
	j := c.reaching.cloud.Judge(c.now)
	w.NoCloud = c.leading() && j.Level == reach.Down
	w.Cloud = !c.leading() && j.Level == reach.Up && c.now-c.reaching.cloud.LastOK() < 2*tuning.AskCloud && c.wordOf(c.chief.Node).NoCloud
	for _, n := range sortedKeys(c.nodes) {
		if n != c.p.Node && c.now-max(c.heard[n], c.reaching.began) > tuning.ApartAfter {
			w.Apart = append(w.Apart, n)
		}
	}
	return w
}

// tellReach writes our word where all can read it, unless it stands there. Peers that we
// reach hear it with each ping as well.
func (c *Core) tellReach() {
	r := &c.reaching
	key, w, stands := wire.PrefixReach+c.p.Node, c.ownWord(), r.words[c.p.Node]
	if stands.Boot != c.boot {
		stands = wire.Reach{Boot: c.boot} // an earlier life's, or none: it goes with its grant
	}
	if wire.Same(w, stands) || r.writing || !c.present || !c.every("tellReach", tuning.TellReach) {
		return
	}
	if w.Lacks != stands.Lacks {
		c.log(1, "reach of the workers", "lost", w.Lacks)
	}
	r.writing = true
	c.commit(LaneLater, []wire.Condition{{Key: key, Version: c.ver.Of(key)}}, []wire.Change{{Put: key, Value: w, Lease: c.grant}}, func(StateReply) { r.writing = false })
}

// mayGoHome tells whether a shard may go back to the controller it is homed at.
func (c *Core) mayGoHome(shard int, held map[string]int) bool {
	s := c.shards[shard]
	at, ok := c.leader.nodeUp[s.rec.Home]
	if !ok || !s.rec.Settled {
		return false
	}
	holder := c.wordOf(s.rec.Holder)
	if s.rec.Holder == c.p.Node {
		holder = c.ownWord()
	}
	up := c.now - at
	if lacked, ever := c.reaching.lacked[s.rec.Home]; ever {
		up = min(up, c.now-lacked)
	}
	w := c.wordOf(s.rec.Home)
	if s.rec.Home == c.p.Node {
		w = c.ownWord()
	}
	return rules.GoesHome(duty.Member{Node: s.rec.Home, Held: held[s.rec.Home], Lacks: w.Lacks}, slices.Contains(holder.Misses, shard), up, tuning.HomeAfter)
}

// showLinks says what has changed, for those who scrape.
func (c *Core) showLinks() {
	workers := reach.Up
	if c.workers.Lacks(c.now) {
		workers = reach.Down
	}
	for _, l := range []LinkSeen{{To: "state", Level: c.ways.link.Judge(c.now).Level}, {To: "cloud", Level: c.reaching.cloud.Judge(c.now).Level}, {To: "workers", Level: workers}} {
		if old, shown := c.shown[l.To]; !shown || old != l.Level {
			c.shown[l.To] = l.Level
			c.out = append(c.out, l)
		}
	}
}

func (c *Core) onAdminReach(v AdminReach) {
	state := c.ways.link.Judge(c.now).View(c.now, "state")
	state.Through = c.wayAround()
	view := wire.ReachView{Node: c.p.Node, Words: []wire.ReachWord{}, Links: []wire.LinkView{state, c.reaching.cloud.Judge(c.now).View(c.now, "cloud")}}
	for _, n := range sortedKeys(c.p.Nodes) {
		if n != c.p.Node {
			at, ever := c.heard[n]
			view.Links = append(view.Links, reach.Answers(n, c.now, at, ever, c.near(n)))
		}
	}
	for _, i := range sortedInts(c.held) {
		view.Links = append(view.Links, reach.Machines(i, c.reaching.workers.Silent(c.now, i)))
	}
	if c.reaching.workers.Lacks(c.now) {
		view.Links = append(view.Links, wire.LinkView{To: "workers", Level: reach.Down.String(), Why: "none reports, none that was called answers"})
	}
	for _, n := range sortedKeys(c.nodes) {
		if n != c.p.Node {
			view.Words = append(view.Words, c.wordOf(n).Told(n))
		}
	}
	c.answer(v.Req, 200, view)
}
