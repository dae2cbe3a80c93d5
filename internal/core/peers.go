package core

import (
	"strconv"
	"strings"
	"time"

	"github.com/barrowbridge/barrowbridge/internal/membership"
	"github.com/barrowbridge/barrowbridge/internal/relay"
	"github.com/barrowbridge/barrowbridge/internal/trail"
	"github.com/barrowbridge/barrowbridge/internal/tuning"
	"github.com/barrowbridge/barrowbridge/wire"
)

// peers is what is known from the other controllers.
type peers struct {
	nonce   uint64
	vouch   *membership.PeerConfirmation
	counts  map[string]JobCount
	yielded map[int]string // shards a peer holds under a later token than we have heard of
	relays  *relay.Tracker // reports passed on, by us and to us
	topRev  uint64         // newest revision known, ahead of the watch or not
}

func newPeers(p Params) peers {
	var others []string
	for _, n := range sortedKeys(p.Nodes) {
		if n != p.Node {
			others = append(others, n)
		}
	}
	return peers{vouch: membership.NewPeerConfirmation(others, tuning.PeerPings, tuning.PeerNews), yielded: map[int]string{}, counts: map[string]JobCount{},
		relays: relay.NewTracker(relay.Limits{Lease: p.Lease, RedirectInterval: tuning.RelayFor, MaxReports: tuning.RelayReports, AnswerTimeout: tuning.RelayWait})}
}

func (c *Core) knows(rev uint64) { c.topRev = max(c.topRev, rev) }

// tell sends a message, with what every message says of its sender.
func (c *Core) tell(to string, m PeerMessage) {
	m.From, m.Boot, m.Revision, m.UpMS = c.p.Node, c.member.Boot(), c.topRev, c.now.Milliseconds()
	m.Way = c.ways.OfferFor(c.now, to)
	c.out = append(c.out, PeerSend{To: to, Msg: m})
}

// tellPeers pings every other controller; holders add their jobs' progress.
func (c *Core) tellPeers() {
	if c.member.Boot() == 0 || len(c.p.Nodes) < 2 || !c.every("peers", tuning.PeerEvery) {
		return
	}
	c.nonce++
	c.vouch.PingSent(c.now, c.nonce)
	var jobs []JobCount
	for _, id := range sortedKeys(c.jobs) {
		if e := c.jobs[id]; e.run != nil && len(jobs) < tuning.PeerJobs {
			running, done := e.run.count()
			jobs = append(jobs, JobCount{ID: id, Running: running, Done: done})
		}
	}
	var holds []HeldShard
	for _, i := range sortedIntKeys(c.heldShards) {
		holds = append(holds, HeldShard{Shard: i, Token: c.shards[i].ver})
	}
	c.relays.Prune(c.now)
	word, addrs := c.ownWord(), c.newAddrs()
	for _, n := range sortedKeys(c.p.Nodes) {
		if n != c.p.Node {
			c.tell(n, PeerMessage{Nonce: c.nonce, Mirror: c.rev, Jobs: jobs, Holds: holds, Word: &word, Addrs: addrs})
		}
	}
}

// newAddrs are the workers that have come up since the last few pings.
func (c *Core) newAddrs() (out []WorkerAddr) {
	for _, name := range c.addrs.RecentlyUp(c.now, tuning.AddrsFor, tuning.AddrsMost) {
		if m := c.machines[name]; m != nil {
			out = append(out, WorkerAddr{Machine: m.name, Addr: m.addr, Session: m.session})
		}
	}
	return out
}

// giveUpRelays answers reports that were passed on to a holder that keeps silent. A late
// answer of the holder is dropped then, as one that the worker did not wait for.
func (c *Core) giveUpRelays() {
	for _, req := range c.relays.Expire(c.now) {
		c.answer(req, 503, unavailable("holder does not answer"))
	}
}

func (c *Core) onPeer(m PeerMessage) {
	if _, known := c.p.Nodes[m.From]; !known || m.From == c.p.Node || m.UpMS < 0 {
		c.log(1, "message from no controller of this deployment", "from", m.From)
		return
	}
	c.ways.OfferReceived(c.now, m.From, m.Way)
	switch {
	case m.Order != nil:
		v := *m.Order
		v.For = m.From
		c.out = append(c.out, v)
		return
	case m.Ordered != nil:
		c.onOrderDone(*m.Ordered)
		return
	case m.Call != nil:
		c.onPeerCall(m.From, m.Call)
		return
	case m.Result != nil:
		c.onPeerResult(m.From, m.Result)
		return
	case m.Wants != nil:
		for _, t := range m.Wants {
			c.peerDemand.Hear(c.now, t)
		}
		if c.loaded && c.leading() {
			c.lead()
		}
		return
	case m.Relay != nil:
		c.seq++
		req := 1<<63 | c.seq
		c.relays.ReceivedFrom(req, relay.Origin{From: m.From, ID: m.Relay.ID})
		c.onReport(WorkerReport{Req: req, Report: m.Relay.Report})
		return
	case m.Answer != nil:
		if req, ok := c.relays.AnswerReceived(m.Answer.ID); ok {
			if m.Answer.Status == 200 {
				c.answer(req, 200, wire.ReportReply{Token: m.Answer.Token, Commands: m.Answer.Commands})
			} else {
				c.answer(req, 503, unavailable("holder does not take it"))
			}
		}
		return
	}
	if m.Nonce == 0 {
		return // of a kind that this version does not know: pings are numbered
	}
	c.yieldTo(m)
	for _, a := range m.Addrs {
		c.addrs.Learn(a.Machine, a.Addr, a.Session)
	}
	if m.Word != nil {
		c.words.ReportReceived(c.now, m.From, *m.Word)
	}
	if !m.Reply {
		for _, j := range m.Jobs {
			if e := c.jobs[j.ID]; e != nil && e.run == nil {
				c.counts[j.ID] = j
			}
		}
		s := c.vouch.StatementFor(m.From, m.Mirror)
		c.tell(m.From, PeerMessage{Nonce: m.Nonce, Reply: true, Statement: &s})
		return
	}
	if _, ok := c.vouch.PingSentAt(m.Nonce); !ok {
		return // not ours, or too old to mean anything
	}
	c.words.PingAnswered(c.now, m.From)
	up := time.Duration(float64(m.UpMS)*(1-tuning.Drift)) * time.Millisecond
	p := membership.Peer{Name: m.From, StartedAt: c.now - up, Revision: m.Revision, Statement: m.Statement}
	if m.Statement != nil {
		p.Conflict = c.takeNews(m.Statement.Entries)
	}
	c.vouch.AnswerReceived(m.Nonce, p, c.rev, c.lastConfirmed())
}

// takeNews takes what a peer says that it knows and our mirror may lack, and tells whether
// something that we hold was granted anew.
func (c *Core) takeNews(news []membership.Entry) (against bool) {
	for _, e := range news {
		switch id, isBlock := strings.CutPrefix(e.Key, wire.PrefixBlock); {
		case strings.HasPrefix(e.Key, wire.PrefixJob):
			// Final states are never taken back, so this is news of the job like any, and its
			// tasks end. The watch may tell of it only after an outage.
			if j := c.jobs[strings.TrimPrefix(e.Key, wire.PrefixJob)]; j != nil && j.run != nil {
				c.log(1, "job over, by a peer's word", "job", j.rec.ID, "revision", e.Revision, "mirror", c.rev)
			}
			c.remove(e.Key, e.Revision)
		case e.Revision <= c.rev:
		case isBlock:
			if b := c.blocks[id]; b != nil && b.ver < e.Revision {
				against = against || c.heldShards[b.rec.Shard] || c.grantedShards[b.rec.Shard]
			}
		default:
			i, err := strconv.Atoi(strings.TrimPrefix(e.Key, wire.PrefixShard))
			s := c.shards[i]
			against = against || err != nil || s != nil && s.ver < e.Revision && (c.heldShards[i] || c.grantedShards[i])
		}
	}
	return against
}

// yieldTo stops acting for shards that a peer holds under a later token.
func (c *Core) yieldTo(m PeerMessage) {
	for _, h := range m.Holds {
		// A peer that holds our shard under a later token has read the grant
		// in the state; we cannot, or have not yet. To go on answering would keep
		// the workers from it for as long as we may go unconfirmed.
		if s := c.shards[h.Shard]; s != nil && c.heldShards[h.Shard] && h.Token > s.ver {
			c.yielded[h.Shard] = m.From
			c.noteShard(trail.ShardYielded, h.Shard, wire.TrailEvent{Node: m.From, Token: h.Token})
			c.log(1, "shard yielded to a later token", "shard", h.Shard, "to", m.From, "token", h.Token)
			c.stopHoldingShard(h.Shard)
		}
	}
}

// relay passes a report on to its holder, for a worker that may be cut off from it.
func (c *Core) relay(req uint64, r *wire.Report, holder string, granted uint64) bool {
	if !c.near(holder) || !c.relays.ShouldRelay(c.now, r.Machine, r.Token < granted, c.wordOf(holder).Lacks) {
		return false
	}
	c.seq++
	c.relays.Relayed(c.now, c.seq, req)
	c.tell(holder, PeerMessage{Relay: &RelayReport{ID: c.seq, Report: *r}})
	return true
}

// lastConfirmed is when the state service last confirmed our entitlement.
func (c *Core) lastConfirmed() Time { return c.member.LastConfirmed() }

// confirmedAt is until when we are sure that nobody has acted against us: the
// state service said so, or every peer has vouched for it. An outage that all
// share costs no entitlement; one that only we see does.
func (c *Core) confirmedAt() Time { return max(c.lastConfirmed(), c.vouch.ConfirmedUntil()) }

// unconfirmedMax is how long workers may be answered without confirmation from
// the state service: an abort missed meanwhile still ends within cancel_s,
// since the workers' leases run out in the rest. It had a floor of half a lease:
// with the two times close, tasks outlived cancel_s by that.
func (c *Core) unconfirmedMax() time.Duration {
	return membership.MaxUnconfirmed(c.p.Lease, c.p.Cancel)
}

// leaseOver is how long after a 200 left the worker's lease is surely over.
func (c *Core) leaseOver() time.Duration {
	return membership.LeaseExpiredAfter(c.p.Lease)
}

// confirmed tells whether the entitlement was confirmed recently enough.
func (c *Core) confirmed() bool {
	return c.loaded && c.now-c.confirmedAt() < c.unconfirmedMax()
}

// count gives a job's running and done tasks.
func (r *jobRun) count() (running, done int) {
	for _, a := range r.active {
		if a.status == wire.TaskRunning || a.status == wire.TaskSaving {
			running++
		}
	}
	return running, r.done.Count()
}
