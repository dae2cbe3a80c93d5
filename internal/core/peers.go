package core

import (
	"time"

	"github.com/barrowbridge/barrowbridge/internal/tuning"
	"github.com/barrowbridge/barrowbridge/wire"
)

// PeerMessage is what controllers tell each other. It is advice: the state
// service alone decides. With Reply set it answers the ping with that Nonce.
type PeerMessage struct {
	From  string `msgpack:"from"`
	Boot  uint64 `msgpack:"boot"`
	Nonce uint64 `msgpack:"nonce"`
	Reply bool   `msgpack:"reply"`
	// Revision is the newest revision of the state the sender knows of, its own
	// commits included; UpMS its age. A restarted controller cannot speak for
	// its earlier life.
	Revision uint64     `msgpack:"revision"`
	UpMS     int64      `msgpack:"up_ms"`
	Jobs     []JobCount `msgpack:"jobs,omitempty"`
}

// JobCount is the progress of a job its holder sees, for display.
type JobCount struct {
	ID      string `msgpack:"id"`
	Running int    `msgpack:"running"`
	Done    int    `msgpack:"done"`
}

type (
	// Peer is an incoming message.
	Peer struct{ Msg PeerMessage }
	// PeerSend is a message to send to another controller.
	PeerSend struct {
		To  string
		Msg PeerMessage
	}
)

// peers is what is known from the other controllers.
type peers struct {
	nonce   uint64
	pinged  map[uint64]Time // ping -> when it was sent
	covered map[string]Time // peer -> until then it had done nothing we do not know of
	counts  map[string]JobCount
	topRev  uint64 // newest revision known, ahead of the watch or not
}

func newPeers() peers {
	return peers{pinged: map[uint64]Time{}, covered: map[string]Time{}, counts: map[string]JobCount{}}
}

func (c *Core) knows(rev uint64) { c.topRev = max(c.topRev, rev) }

// tellPeers pings every other controller; holders add their jobs' progress.
func (c *Core) tellPeers() {
	if c.boot == 0 || len(c.p.Nodes) < 2 || !c.every("peers", tuning.PeerEvery) {
		return
	}
	c.nonce++
	c.pinged[c.nonce] = c.now
	delete(c.pinged, c.nonce-tuning.PeerPings)
	var jobs []JobCount
	for _, id := range sortedKeys(c.jobs) {
		if e := c.jobs[id]; e.run != nil && len(jobs) < tuning.PeerJobs {
			running, done := e.run.count()
			jobs = append(jobs, JobCount{id, running, done})
		}
	}
	for _, n := range sortedKeys(c.p.Nodes) {
		if n != c.p.Node {
			c.out = append(c.out, PeerSend{n, PeerMessage{From: c.p.Node, Boot: c.boot, Nonce: c.nonce, Revision: c.topRev, UpMS: c.now.Milliseconds(), Jobs: jobs}})
		}
	}
}

func (c *Core) onPeer(m PeerMessage) {
	if _, known := c.p.Nodes[m.From]; !known || m.From == c.p.Node || m.UpMS < 0 {
		c.log(1, "message from no controller of this deployment", "from", m.From)
		return
	}
	if !m.Reply {
		for _, j := range m.Jobs {
			if e := c.jobs[j.ID]; e != nil && e.run == nil {
				c.counts[j.ID] = j
			}
		}
		c.out = append(c.out, PeerSend{m.From, PeerMessage{From: c.p.Node, Boot: c.boot, Nonce: m.Nonce, Reply: true, Revision: c.topRev, UpMS: c.now.Milliseconds()}})
		return
	}
	sent, ok := c.pinged[m.Nonce]
	if !ok {
		return // not ours, or too old to mean anything
	}
	// The peer spoke after our ping left. If it knows of no revision that our
	// mirror lacks, and has lived since our last confirmation, then until the
	// ping it had told no user of an abort, and taken nothing over, unknown to us.
	up := time.Duration(float64(m.UpMS)*(1-tuning.Drift)) * time.Millisecond
	if m.Revision <= c.rev && c.now-up < c.lastConfirmed() && sent > c.covered[m.From] {
		c.covered[m.From] = sent
	}
}

// lastConfirmed is when the state service last confirmed our entitlement.
func (c *Core) lastConfirmed() Time { return min(c.renewOK, c.watchOK) }

// confirmedAt is until when we are sure that nobody has acted against us: the
// state service said so, or every peer is known to have done nothing new. An outage
// that all share costs no entitlement; one that only we see does.
func (c *Core) confirmedAt() Time {
	own := c.lastConfirmed()
	if len(c.p.Nodes) < 2 {
		return own
	}
	all := Time(1<<62 - 1)
	for n := range c.p.Nodes {
		if n != c.p.Node {
			all = min(all, c.covered[n])
		}
	}
	return max(own, all)
}

// count gives a job's running and done tasks.
func (r *jobRun) count() (running, done int) {
	for _, a := range r.active {
		if a.status == wire.TaskRunning || a.status == wire.TaskSaving {
			running++
		}
	}
	return running, r.done.count()
}
