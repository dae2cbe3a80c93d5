package core

import (
	"net/http"

	"github.com/barrowbridge/barrowbridge/internal/reach"
	"github.com/barrowbridge/barrowbridge/internal/trail"
	"github.com/barrowbridge/barrowbridge/internal/tuning"
	"github.com/barrowbridge/barrowbridge/wire"
)

func newStateRouter() *reach.Router[StateReply] {
	return reach.NewRouter[StateReply](reach.RouterLimits{OfferTTL: tuning.WayKeep, MaxHops: tuning.WayHops, OfferFreshFor: tuning.WayFresh, CutOffAfter: tuning.CutAfter, RerouteGrace: tuning.WayGrace, CallTimeout: tuning.StateTimeout,
		Link: reach.LinkLimits{LateAfter: tuning.LinkLate, LateAfterMax: tuning.LinkSlowest, DownAfter: tuning.LinkDown, RecoverAfter: tuning.LinkBack, RecoverAfterMax: tuning.LinkBackMax, FlapWindow: tuning.LinkWindow}})
}

func (c *Core) callState(call StateCall, f func(StateReply)) {
	c.routeStateCall(call, f, 0, "")
}

// stateBy sends a call by the way that is open now. One that came from a peer is not
// sent back to it.
func (c *Core) routeStateCall(call StateCall, f func(StateReply), hops int, from string) {
	c.lastID++
	call.ID = c.lastID
	// A renewal waits for none of our own limits, and its answer for no queue.
	if via := c.stateRoutes.Send(c.now, call.ID, from, hops, call.Hold, call.Op == OpExtend, f); via != "" {
		c.sendToPeer(via, PeerMessage{Call: call.ForPeer(c.incarnation, hops)})
		return
	}
	c.effects = append(c.effects, call)
}

// cutOff tells whether the state service is out of our reach while others may have it.
func (c *Core) stateUnreachable() bool { return c.stateRoutes.CutOff(c.now) && len(c.params.Nodes) > 1 }

// keepWays notices that the link has changed, and gives up what hangs on it.
func (c *Core) maintainStateRoute() {
	j := c.stateRoutes.EvaluateLink(c.now)
	for _, id := range c.stateRoutes.Overdue(c.now) {
		f, why := c.stateRoutes.GiveUp(c.now, id)
		f(StateReply{Err: why})
	}
	if via := c.stateRoutes.BestPeer(c.now); via != c.stateRoutes.CurrentPeer() {
		if c.stateRoutes.CurrentPeer() == "" {
			for _, id := range c.stateRoutes.Stalled(c.now) {
				if f := c.stateRoutes.Abandon(id); f != nil {
					f(StateReply{Err: "given up for another way"})
				}
			}
		}
		if c.stateRoutes.SetCurrentPeer(via); via != "" {
			c.presence.RenewNow(c.now) // what a grant hangs on goes first
		}
		c.recordEvent(wire.TrailEvent{Kind: trail.WayChanged, Node: via, Why: j.Level.String() + ": " + j.Reason})
		c.log(1, "calls of the state service", "through", via, "link", j.Level.String(), "why", j.Reason)
	}
	if c.stateRoutes.ShouldProbe(j) && !c.probingState && c.dueEvery("probe", tuning.RetryAfter) {
		c.probeState()
	}
}

// probeState asks for a small key over the link itself, as long as calls go around it.
func (c *Core) probeState() {
	c.probingState = true
	c.lastID++
	call := StateCall{ID: c.lastID, Op: OpGet, Key: wire.KeyLeader}
	c.stateRoutes.SendDirect(c.now, call.ID, func(r StateReply) {
		c.probingState = false
		c.applyRead(wire.KeyLeader, r)
	})
	c.effects = append(c.effects, call)
}

func (c *Core) onStateDone(v StateDone) {
	r := &v.Reply
	c.noteRevision(max(r.Txn.Revision, r.Events.Revision, r.List.Revision, r.Item.Version))
	if f := c.stateRoutes.CallDone(c.now, v.ID, r.Status, r.Own); f != nil {
		f(*r)
	}
}

// onPeerCall makes a call for a peer, if there is a way.
func (c *Core) onPeerCall(from string, p *PeerCall) {
	reply := func(r StateReply) {
		if r.Size() > tuning.PeerCarry {
			r = StateReply{Err: "too large to pass on"}
		}
		c.sendToPeer(from, PeerMessage{Result: &PeerResult{ID: p.ID, Life: p.Life, Reply: r}})
	}
	if p.Op < OpGet || p.Op > OpWatch || c.stateRoutes.OfferFor(c.now, from) == 0 || p.Hops >= tuning.WayHops {
		reply(StateReply{Status: http.StatusServiceUnavailable, Err: "no way to the state service here"})
		return
	}
	c.routeStateCall(p.Call(), reply, p.Hops+1, from)
}

// onPeerResult is the answer to a call that went through a peer.
func (c *Core) onPeerResult(from string, p *PeerResult) {
	if via, known := c.stateRoutes.Via(p.ID); !known || via != from || p.Life != c.incarnation {
		return
	}
	if s := p.Reply.Status; s == 0 || s == http.StatusServiceUnavailable {
		c.stateRoutes.WithdrawOffer(c.now, from) // until its next word
	}
	c.onStateDone(StateDone{ID: p.ID, Reply: p.Reply})
}
