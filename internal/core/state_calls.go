package core

import (
	"net/http"

	"github.com/barrowbridge/barrowbridge/internal/reach"
	"github.com/barrowbridge/barrowbridge/internal/trail"
	"github.com/barrowbridge/barrowbridge/internal/tuning"
	"github.com/barrowbridge/barrowbridge/wire"
)

func newStateRouter() *reach.Ways[StateReply] {
	return reach.NewWays[StateReply](reach.WayLimits{Keep: tuning.WayKeep, Hops: tuning.WayHops, Fresh: tuning.WayFresh, Cut: tuning.CutAfter, Grace: tuning.WayGrace, Timeout: tuning.StateTimeout,
		Link: reach.LinkLimits{Late: tuning.LinkLate, Slowest: tuning.LinkSlowest, Down: tuning.LinkDown, Back: tuning.LinkBack, BackMax: tuning.LinkBackMax, Window: tuning.LinkWindow}})
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
func (c *Core) stateUnreachable() bool {
	return c.stateRoutes.CutOff(c.now) && len(c.params.NodeZones) > 1
}

// keepWays notices that the link has changed, and gives up what hangs on it.
func (c *Core) maintainStateRoute() {
	j := c.stateRoutes.Judge(c.now)
	for _, id := range c.stateRoutes.Late(c.now) {
		f, why := c.stateRoutes.GiveUp(c.now, id)
		f(StateReply{Err: why})
	}
	if via := c.stateRoutes.Around(c.now); via != c.stateRoutes.Through() {
		if c.stateRoutes.Through() == "" {
			for _, id := range c.stateRoutes.Hanging(c.now) {
				if f := c.stateRoutes.Abandon(id); f != nil {
					f(StateReply{Err: "given up for another way"})
				}
			}
		}
		if c.stateRoutes.Turn(via); via != "" {
			c.presence.Hurry(c.now) // what a grant hangs on goes first
		}
		c.recordEvent(wire.TrailEvent{Kind: trail.WayChanged, Node: via, Why: j.Level.String() + ": " + j.Why})
		c.log(1, "calls of the state service", "through", via, "link", j.Level.String(), "why", j.Why)
	}
	if c.stateRoutes.Doubted(j) && !c.probingState && c.dueEvery("probe", tuning.RetryAfter) {
		c.probeState()
	}
}

// probeState asks for a small key over the link itself, as long as calls go around it.
func (c *Core) probeState() {
	c.probingState = true
	c.lastID++
	call := StateCall{ID: c.lastID, Op: OpGet, Key: wire.KeyLeader}
	c.stateRoutes.Try(c.now, call.ID, func(r StateReply) {
		c.probingState = false
		c.applyRead(wire.KeyLeader, r)
	})
	c.effects = append(c.effects, call)
}

func (c *Core) onStateDone(v StateDone) {
	r := &v.Reply
	c.noteRevision(max(r.Txn.Revision, r.Events.Revision, r.List.Revision, r.Item.Version))
	if f := c.stateRoutes.Done(c.now, v.ID, r.Status, r.Own); f != nil {
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
	if p.Op < OpGet || p.Op > OpWatch || c.stateRoutes.Offer(c.now, from) == 0 || p.Hops >= tuning.WayHops {
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
		c.stateRoutes.Withdrawn(c.now, from) // until its next word
	}
	c.onStateDone(StateDone{ID: p.ID, Reply: p.Reply})
}
