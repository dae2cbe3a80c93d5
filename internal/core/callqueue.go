package core

import (
	"github.com/barrowbridge/barrowbridge/internal/callqueue"
	"github.com/barrowbridge/barrowbridge/internal/tuning"
	"github.com/barrowbridge/barrowbridge/wire"
)

// callWorker calls a worker, through a peer if this controller reaches no worker and the peer does.
// Relaying through a peer is no different from a slow network: the worker checks the token and the
// session of the call.
func (c *Core) callWorker(order WorkerCall) {
	if peer := c.assignments.WorkerProxy(c.now); peer != "" {
		order.RequestedBy = c.params.Node
		c.sendToPeer(peer, PeerMessage{WorkerCall: &order})
		return
	}
	c.effects = append(c.effects, order)
}

// newCallQueue returns an empty queue of workers to be called.
func newCallQueue(p Params) *callqueue.Queue[*machine] {
	return callqueue.New[*machine](callqueue.Limits{
		PerSecond: tuning.WorkerCallRate,
		Burst:     tuning.WorkerCallRate / 2,
		ScanLimit: tuning.WorkerCallCandidates,
		MaxAge:    2 * p.ReportInterval,
	})
}

// answerToken returns the token of answers to a machine: that of its block, or a later revision
// at which the mirror still showed that this controller holds the block. The next holder is
// granted the block by a later write, so its token is higher.
func (c *Core) answerToken(m *machine, b *blockEntry) uint64 {
	return max(c.fencingToken(b), m.raisedToken)
}

// requestReport queues a call that makes a worker report early.
func (c *Core) requestReport(m *machine, urgent bool) { c.callQueue.Request(c.now, m, urgent) }

// callQueuedWorkers calls the queued workers for which a start or a stop is ready.
func (c *Core) callQueuedWorkers() {
	if c.callQueue.Len() == 0 || !c.authorized() {
		return
	}
	for _, m := range c.callQueue.Take(c.now, c.callVerdict) {
		b := c.blocks[m.block]
		if b == nil {
			continue
		}
		stops := c.stopCommands(m)
		if len(stops) == 0 {
			m.raisedToken, m.earlyCallAt = max(m.raisedToken, c.mirrorRevision), c.now
		}
		c.callWorker(WorkerCall{Machine: m.name, Addr: m.addr, Orders: wire.Orders{Token: c.answerToken(m, b), Session: m.session, Commands: stops}})
	}
}

// callVerdict decides whether a queued machine is called now, later or not at all.
func (c *Core) callVerdict(m *machine) callqueue.Decision {
	switch {
	case c.machines[m.name] != m || m.addr == "" || m.leaseOver || m.silent ||
		m.delivery.MissesAnswers() || !m.reported || !m.accounted || !c.holdsShard(m.shard):
		return callqueue.Forget
	case c.now-m.lastAnswered < tuning.WorkerCallDelay:
		return callqueue.Wait // the call must not overtake the last answer
	case len(c.stopCommands(m)) > 0:
		return callqueue.Call
	}
	unsent := false
	for _, a := range m.attempts {
		if a.status != "" || a.startSent {
			continue
		}
		unsent = true
		// A worker counts a higher token as a change once per half of its lease.
		if c.startable(a) && c.mirrorRevision > max(m.reportedToken, m.raisedToken) && (m.earlyCallAt == 0 || c.now-m.earlyCallAt > c.params.WorkerLease/2) {
			return callqueue.Call
		}
	}
	if unsent {
		return callqueue.Wait
	}
	return callqueue.Forget
}

// sendToNextHolder makes the worker of a machine whose block has left this controller's shards
// report at once. The worker is then redirected to the block's next holder, which has no address
// to call it at. The call carries the token that the next holder was granted, so that calls and
// answers with this controller's tokens are no longer valid.
func (c *Core) sendToNextHolder(m *machine, b *blockEntry) {
	if b != nil && m.addr != "" && m.session > 0 && !m.leaseOver && c.authorized() {
		c.callWorker(WorkerCall{Machine: m.name, Addr: m.addr, Orders: wire.Orders{Token: c.fencingToken(b), Session: m.session, Commands: []wire.Command{}}})
	}
}
