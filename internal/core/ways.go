package core

import (
	"net/http"
	"slices"

	"github.com/barrowbridge/barrowbridge/internal/reach"
	"github.com/barrowbridge/barrowbridge/internal/trail"
	"github.com/barrowbridge/barrowbridge/internal/tuning"
	"github.com/barrowbridge/barrowbridge/wire"
)

// ways is what is believed of the link to the state service, and the ways around it.
type ways struct {
	link    *reach.Link
	routes  *reach.Routes
	told    reach.Level // what the log was last told
	probing bool
	wayless map[string]Time // peers heard without a way of their own, and when
	through string          // the peer that calls go through
}

func newWays() ways {
	return ways{wayless: map[string]Time{}, routes: reach.NewRoutes(tuning.WayKeep, tuning.WayHops),
		link: reach.NewLink(reach.LinkLimits{Late: tuning.LinkLate, Slowest: tuning.LinkSlowest, Down: tuning.LinkDown, Back: tuning.LinkBack, BackMax: tuning.LinkBackMax, Window: tuning.LinkWindow})}
}

// waiting is a call of the state service whose answer has not come.
type waiting struct {
	f     func(StateReply) // nil: given up, its answer changes nothing any more
	op    int
	sent  Time
	via   string // the peer it went through
	until Time   // of those: given up then
}

func (c *Core) state(call StateCall, f func(StateReply)) {
	c.stateBy(call, f, 0, "")
}

// stateBy sends a call by the way that is open now. One that came from a peer is not
// sent back to it.
func (c *Core) stateBy(call StateCall, f func(StateReply), hops int, from string) {
	c.seq++
	call.ID = c.seq
	w := &waiting{f: f, op: call.Op, sent: c.now}
	c.stateWait[call.ID] = w
	if via := c.wayAround(); via != "" && via != from && hops < tuning.WayHops {
		w.via, w.until = via, c.now+tuning.StateTimeout+call.Hold
		c.tell(via, PeerMessage{Call: call.ForPeer(c.life, hops)})
		return
	}
	c.sendDirect(call)
}

func (c *Core) sendDirect(call StateCall) {
	if call.Op == OpExtend { // waits for none of our own limits, and its answer for no queue
		c.ways.link.Sent(c.now, call.ID)
	}
	c.out = append(c.out, call)
}

// wayAround is the peer through whom calls go at present, or "".
func (c *Core) wayAround() string {
	if l := c.ways.link.Judge(c.now).Level; l == reach.Up || l == reach.Unknown {
		return ""
	}
	peer, _ := c.ways.routes.Best(c.now)
	return peer
}

// wayFor is what we offer to a peer: one more than the controllers between us and the
// state service, 0 if there is no way that does not lead through the peer itself.
func (c *Core) wayFor(to string) int {
	if j := c.ways.link.Judge(c.now); j.Level == reach.Up && c.now-c.ways.link.LastOK() < tuning.WayFresh {
		return 1
	}
	if peer, hops := c.ways.routes.Best(c.now); peer != "" && peer != to && c.ways.through != "" {
		return hops + 1
	}
	return 0
}

// cutOff tells whether the state service is out of our reach while others may have it: a
// peer says so, or no peer can be heard either. In an outage that all share it is false.
func (c *Core) cutOff() bool {
	j := c.ways.link.Judge(c.now)
	if j.Level == reach.Up || j.Level == reach.Unknown || c.wayAround() != "" || c.now-j.Since < tuning.CutAfter {
		return false
	}
	for _, at := range c.ways.wayless {
		if c.now-at < tuning.WayKeep {
			return false
		}
	}
	return len(c.p.Nodes) > 1
}

// keepWays notices that the link has changed, and gives up what hangs on it.
func (c *Core) keepWays() {
	j := c.ways.link.Judge(c.now)
	var late []uint64
	via := c.wayAround()
	for id, w := range c.stateWait {
		// A way that is one no more, by its peer's silence or word, is not waited for.
		if w.via != "" && (c.now > w.until || w.via != via && c.now-w.sent > tuning.WayGrace) {
			late = append(late, id)
		}
	}
	slices.Sort(late)
	for _, id := range late {
		w := c.stateWait[id]
		delete(c.stateWait, id)
		c.ways.routes.Offer(c.now, w.via, -1)
		w.f(StateReply{Err: "no answer through " + w.via})
	}
	if via = c.wayAround(); via != c.ways.through {
		if c.ways.through == "" {
			c.giveUpDirect()
		}
		if c.ways.through = via; via != "" {
			c.extendAt = min(c.extendAt, c.now) // what a grant hangs on goes first
		}
		c.note(wire.TrailEvent{Kind: trail.WayChanged, Node: via, Why: j.Level.String() + ": " + j.Why})
		c.log(1, "calls of the state service", "through", via, "link", j.Level.String(), "why", j.Why)
	}
	if j.Level == reach.Doubt || j.Level == reach.Down {
		c.probeState()
	}
}

// giveUpDirect ends the waiting for calls that hang in the cut. Each may still be executed,
// like any call without an answer; its answer, should it come, changes nothing.
func (c *Core) giveUpDirect() {
	var ids []uint64
	for id, w := range c.stateWait {
		if w.via == "" && w.f != nil && w.sent < c.now-tuning.LinkLate/2 {
			ids = append(ids, id)
		}
	}
	slices.Sort(ids)
	for _, id := range ids {
		if w := c.stateWait[id]; w != nil && w.f != nil {
			f := w.f
			w.f = nil
			f(StateReply{Err: "given up for another way"})
		}
	}
}

// probeState asks for a small key over the link itself, as long as calls go around it.
func (c *Core) probeState() {
	if c.ways.probing || c.ways.through == "" || !c.every("probe", tuning.RetryAfter) {
		return
	}
	c.ways.probing = true
	c.seq++
	call := StateCall{ID: c.seq, Op: OpGet, Key: wire.KeyLeader}
	c.stateWait[call.ID] = &waiting{op: OpGet, sent: c.now, f: func(r StateReply) {
		c.ways.probing = false
		c.learn(wire.KeyLeader, r)
	}}
	c.out = append(c.out, call)
}

func (c *Core) onStateDone(v StateDone) {
	r := &v.Reply
	c.knows(max(r.Txn.Revision, r.Events.Revision, r.List.Revision, r.Item.Version))
	w := c.stateWait[v.ID]
	if w == nil {
		return
	}
	delete(c.stateWait, v.ID)
	if w.via == "" && !r.Own {
		o := reach.Answered
		switch r.Status {
		case 0:
			o = reach.Silent
		case http.StatusServiceUnavailable:
			o = reach.Refused
		}
		c.ways.link.Done(c.now, v.ID, w.sent, o)
	}
	if w.f != nil {
		w.f(*r)
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
	if p.Op < OpGet || p.Op > OpWatch || c.wayFor(from) == 0 || p.Hops >= tuning.WayHops {
		reply(StateReply{Status: http.StatusServiceUnavailable, Err: "no way to the state service here"})
		return
	}
	c.stateBy(p.Call(), reply, p.Hops+1, from)
}

// onPeerResult is the answer to a call that went through a peer.
func (c *Core) onPeerResult(from string, p *PeerResult) {
	w := c.stateWait[p.ID]
	if w == nil || w.via != from || p.Life != c.life {
		return
	}
	if s := p.Reply.Status; s == 0 || s == http.StatusServiceUnavailable {
		c.ways.routes.Offer(c.now, from, -1) // until its next word
	}
	c.onStateDone(StateDone{ID: p.ID, Reply: p.Reply})
}
