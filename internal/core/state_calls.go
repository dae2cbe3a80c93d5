package core

import (
	"net/http"

	"github.com/barrowbridge/barrowbridge/internal/reach"
	"github.com/barrowbridge/barrowbridge/internal/trail"
	"github.com/barrowbridge/barrowbridge/internal/tuning"
	"github.com/barrowbridge/barrowbridge/wire"
)

func newStateRouter() *reach.Router[StateReply] {
	return reach.NewRouter[StateReply](reach.RouterLimits{
		OfferTTL:      tuning.RouteTTL,
		MaxHops:       tuning.MaxRouteHops,
		OfferFreshFor: tuning.RouteFreshness,
		CutOffAfter:   tuning.NoRouteGrace,
		RerouteGrace:  tuning.RouteLossGrace,
		CallTimeout:   tuning.StateCallTimeout,
		Link: reach.LinkLimits{
			LateAfter:       tuning.LinkLateAfter,
			LateAfterMax:    tuning.LinkLateMax,
			DownAfter:       tuning.LinkDownAfter,
			RecoverAfter:    tuning.LinkRecovery,
			RecoverAfterMax: tuning.LinkRecoveryMax,
			FlapWindow:      tuning.LinkFlapWindow,
		},
	})
}

// callState sends a call to the state service; done is called with its reply.
func (c *Core) callState(call StateCall, done func(StateReply)) {
	c.routeStateCall(call, done, 0, "")
}

// routeStateCall sends a call to the state service by the current route: over the direct link or through a
// peer. A call that was received from a peer, the caller, is not sent back to it. hops is the number of
// controllers that the call has passed.
func (c *Core) routeStateCall(call StateCall, done func(StateReply), hops int, caller string) {
	c.lastID++
	call.ID = c.lastID
	// An overdue answer casts doubt on the link only if the call renews a state lease: renewals are not delayed
	// by this controller's own call limits, nor their answers by a queue.
	if peer := c.stateRoutes.Send(c.now, call.ID, caller, hops, call.Hold, call.Op == OpExtend, done); peer != "" {
		c.sendToPeer(peer, PeerMessage{Call: call.ForPeer(c.incarnation, hops)})
		return
	}
	c.effects = append(c.effects, call)
}

// stateUnreachable reports whether this controller cannot reach the state service while other controllers may.
func (c *Core) stateUnreachable() bool {
	return c.stateRoutes.CutOff(c.now) && len(c.params.NodeZones) > 1
}

// maintainStateRoute gives up calls through peers that are overdue, and switches between the direct link and
// peers when the state of the link has changed.
func (c *Core) maintainStateRoute() {
	judgement := c.stateRoutes.EvaluateLink(c.now)
	for _, id := range c.stateRoutes.Overdue(c.now) {
		done, reason := c.stateRoutes.GiveUp(c.now, id)
		done(StateReply{Err: reason})
	}
	if peer := c.stateRoutes.BestPeer(c.now); peer != c.stateRoutes.CurrentPeer() {
		if c.stateRoutes.CurrentPeer() == "" {
			for _, id := range c.stateRoutes.Stalled(c.now) {
				if done := c.stateRoutes.Abandon(id); done != nil {
					done(StateReply{Err: "given up for another way"})
				}
			}
		}
		if c.stateRoutes.SetCurrentPeer(peer); peer != "" {
			c.presence.RenewNow(c.now) // the renewal of the state lease is sent first
		}
		c.recordEvent(wire.TrailEvent{Kind: trail.RouteChanged, Node: peer, Why: judgement.Level.String() + ": " + judgement.Reason})
		c.log(1, "route to the state service changed", "through", peer, "link", judgement.Level.String(), "why", judgement.Reason)
	}
	if c.stateRoutes.ShouldProbe(judgement) && !c.probingState && c.dueEvery("probe", tuning.BackgroundRetryDelay) {
		c.probeState()
	}
}

// probeState reads a small key over the direct link, while the other calls go through a peer.
func (c *Core) probeState() {
	c.probingState = true
	c.lastID++
	call := StateCall{ID: c.lastID, Op: OpGet, Key: wire.KeyLeader}
	c.stateRoutes.SendDirect(c.now, call.ID, func(StateReply) { c.probingState = false })
	c.effects = append(c.effects, call)
}

// onStateDone handles the reply to a call to the state service.
func (c *Core) onStateDone(result StateDone) {
	reply := &result.Reply
	c.noteRevision(max(reply.Txn.Revision, reply.Events.Revision, reply.List.Revision, reply.Item.Version))
	if done := c.stateRoutes.CallDone(c.now, result.ID, reply.Status, reply.OwnLimit); done != nil {
		done(*reply)
	}
}

// onPeerCall makes a call to the state service on behalf of a peer, if there is a route.
func (c *Core) onPeerCall(peer string, call *PeerCall) {
	respond := func(reply StateReply) {
		if reply.Size() > tuning.MaxRelayedReplyBytes {
			reply = StateReply{Err: "too large to pass on"}
		}
		c.sendToPeer(peer, PeerMessage{Result: &PeerResult{ID: call.ID, Incarnation: call.Incarnation, Reply: reply}})
	}
	if call.Op < OpGet || call.Op > OpWatch || c.stateRoutes.OfferFor(c.now, peer) == 0 || call.Hops >= tuning.MaxRouteHops {
		respond(StateReply{Status: http.StatusServiceUnavailable, Err: "no way to the state service here"})
		return
	}
	c.routeStateCall(call.Call(), respond, call.Hops+1, peer)
}

// onPeerResult handles the result of a call that was sent through a peer. A result for an earlier incarnation
// of this controller is ignored, as its call IDs were other ones.
func (c *Core) onPeerResult(peer string, result *PeerResult) {
	if via, known := c.stateRoutes.Via(result.ID); !known || via != peer || result.Incarnation != c.incarnation {
		return
	}
	if status := result.Reply.Status; status == 0 || status == http.StatusServiceUnavailable {
		c.stateRoutes.WithdrawOffer(c.now, peer) // until the peer offers its route again
	}
	c.onStateDone(StateDone{ID: result.ID, Reply: result.Reply})
}
