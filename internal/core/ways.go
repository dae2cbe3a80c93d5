package core

import (
	"net/http"

	"github.com/barrowbridge/barrowbridge/internal/reach"
	"github.com/barrowbridge/barrowbridge/internal/trail"
	"github.com/barrowbridge/barrowbridge/internal/tuning"
	"github.com/barrowbridge/barrowbridge/wire"
)

func newWays() *reach.Ways[StateReply] {
	return reach.NewWays[StateReply](reach.WayLimits{Keep: tuning.WayKeep, Hops: tuning.WayHops, Fresh: tuning.WayFresh, Cut: tuning.CutAfter, Grace: tuning.WayGrace, Timeout: tuning.StateTimeout,
		Link: reach.LinkLimits{Late: tuning.LinkLate, Slowest: tuning.LinkSlowest, Down: tuning.LinkDown, Back: tuning.LinkBack, BackMax: tuning.LinkBackMax, Window: tuning.LinkWindow}})
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
	j := c.ways.Judge(c.now)
	for _, id := range c.ways.Late(c.now) {
		f, why := c.ways.GiveUp(c.now, id)
		f(StateReply{Err: why})
	}
	if via := c.ways.Around(c.now); via != c.ways.Through() {
		if c.ways.Through() == "" {
			for _, id := range c.ways.Hanging(c.now) {
				if f := c.ways.Abandon(id); f != nil {
					f(StateReply{Err: "given up for another way"})
				}
			}
		}
		if c.ways.Turn(via); via != "" {
			c.member.Hurry(c.now) // what a grant hangs on goes first
		}
		c.note(wire.TrailEvent{Kind: trail.WayChanged, Node: via, Why: j.Level.String() + ": " + j.Why})
		c.log(1, "calls of the state service", "through", via, "link", j.Level.String(), "why", j.Why)
	}
	if c.ways.Doubted(j) && !c.probing && c.every("probe", tuning.RetryAfter) {
		c.probeState()
	}
}

// probeState asks for a small key over the link itself, as long as calls go around it.
func (c *Core) probeState() {
	c.probing = true
	c.seq++
	call := StateCall{ID: c.seq, Op: OpGet, Key: wire.KeyLeader}
	c.ways.Try(c.now, call.ID, func(r StateReply) {
		c.probing = false
		c.learn(wire.KeyLeader, r)
	})
	c.out = append(c.out, call)
}

func (c *Core) onStateDone(v StateDone) {
	r := &v.Reply
	c.knows(max(r.Txn.Revision, r.Events.Revision, r.List.Revision, r.Item.Version))
	if f := c.ways.Done(c.now, v.ID, r.Status, r.Own); f != nil {
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
	if p.Op < OpGet || p.Op > OpWatch || c.ways.Offer(c.now, from) == 0 || p.Hops >= tuning.WayHops {
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
		c.ways.Withdrawn(c.now, from) // until its next word
	}
	c.onStateDone(StateDone{ID: p.ID, Reply: p.Reply})
}
