package core

import (
	"net/http"

	"github.com/barrowbridge/barrowbridge/internal/reach"
	"github.com/barrowbridge/barrowbridge/internal/trail"
	"github.com/barrowbridge/barrowbridge/internal/tuning"
	"github.com/barrowbridge/barrowbridge/wire"
)

func newWays() *reach.Router[StateReply] {
	return reach.NewRouter[StateReply](reach.RouterLimits{OfferTTL: tuning.WayKeep, MaxHops: tuning.WayHops, OfferFreshFor: tuning.WayFresh, CutOffAfter: tuning.CutAfter, RerouteGrace: tuning.WayGrace, CallTimeout: tuning.StateTimeout,
		Link: reach.LinkLimits{LateAfter: tuning.LinkLate, LateAfterMax: tuning.LinkSlowest, DownAfter: tuning.LinkDown, RecoverAfter: tuning.LinkBack, RecoverAfterMax: tuning.LinkBackMax, FlapWindow: tuning.LinkWindow}})
}

func (c *Core) state(call StateCall, f func(StateReply)) {
	c.stateBy(call, f, 0, "")
}

// stateBy sends a call by the way that is open now. One that came from a peer is not
// sent back to it.
func (c *Core) stateBy(call StateCall, f func(StateReply), hops int, from string) {
	c.seq++
	call.ID = c.seq
	// A renewal waits for none of our own limits, and its answer for no queue.
	if via := c.ways.Send(c.now, call.ID, from, hops, call.Hold, call.Op == OpExtend, f); via != "" {
		c.tell(via, PeerMessage{Call: call.ForPeer(c.life, hops)})
		return
	}
	c.out = append(c.out, call)
}

// cutOff tells whether the state service is out of our reach while others may have it.
func (c *Core) cutOff() bool { return c.ways.CutOff(c.now) && len(c.p.Nodes) > 1 }

// keepWays notices that the link has changed, and gives up what hangs on it.
func (c *Core) keepWays() {
	j := c.ways.EvaluateLink(c.now)
	for _, id := range c.ways.Overdue(c.now) {
		f, why := c.ways.GiveUp(c.now, id)
		f(StateReply{Err: why})
	}
	if via := c.ways.BestPeer(c.now); via != c.ways.CurrentPeer() {
		if c.ways.CurrentPeer() == "" {
			for _, id := range c.ways.Stalled(c.now) {
				if f := c.ways.Abandon(id); f != nil {
					f(StateReply{Err: "given up for another way"})
				}
			}
		}
		if c.ways.SetCurrentPeer(via); via != "" {
			c.member.RenewNow(c.now) // what a grant hangs on goes first
		}
		c.note(wire.TrailEvent{Kind: trail.WayChanged, Node: via, Why: j.Level.String() + ": " + j.Reason})
		c.log(1, "calls of the state service", "through", via, "link", j.Level.String(), "why", j.Reason)
	}
	if c.ways.ShouldProbe(j) && !c.probing && c.every("probe", tuning.RetryAfter) {
		c.probeState()
	}
}

// probeState asks for a small key over the link itself, as long as calls go around it.
func (c *Core) probeState() {
	c.probing = true
	c.seq++
	call := StateCall{ID: c.seq, Op: OpGet, Key: wire.KeyLeader}
	c.ways.SendDirect(c.now, call.ID, func(r StateReply) {
		c.probing = false
		c.learn(wire.KeyLeader, r)
	})
	c.out = append(c.out, call)
}

func (c *Core) onStateDone(v StateDone) {
	r := &v.Reply
	c.knows(max(r.Txn.Revision, r.Events.Revision, r.List.Revision, r.Item.Version))
	if f := c.ways.CallDone(c.now, v.ID, r.Status, r.Own); f != nil {
		f(*r)
	}
}

// onPeerCall makes a call for a peer, if there is a way.
func (c *Core) onPeerCall(from string, p *PeerCall) {
	reply := func(r StateReply) {
		if r.Size() > tuning.PeerCarry {
			r = StateReply{Err: "too large to pass on"}
		}
		c.tell(from, PeerMessage{Result: &PeerResult{ID: p.ID, Life: p.Life, Reply: r}})
	}
	if p.Op < OpGet || p.Op > OpWatch || c.ways.OfferFor(c.now, from) == 0 || p.Hops >= tuning.WayHops {
		reply(StateReply{Status: http.StatusServiceUnavailable, Err: "no way to the state service here"})
		return
	}
	c.stateBy(p.Call(), reply, p.Hops+1, from)
}

// onPeerResult is the answer to a call that went through a peer.
func (c *Core) onPeerResult(from string, p *PeerResult) {
	if via, known := c.ways.Via(p.ID); !known || via != from || p.Life != c.life {
		return
	}
	if s := p.Reply.Status; s == 0 || s == http.StatusServiceUnavailable {
		c.ways.WithdrawOffer(c.now, from) // until its next word
	}
	c.onStateDone(StateDone{ID: p.ID, Reply: p.Reply})
}
