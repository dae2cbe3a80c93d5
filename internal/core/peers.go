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

// peerState is what this controller knows from the other controllers.
type peerState struct {
	pingNonce      uint64                       // number of the last ping
	confirmation   *membership.PeerConfirmation // confirmation by peers that none of them acted against this controller
	peerJobCounts  map[string]JobCount          // by job: progress as last sent by the job's holder
	yieldedTo      map[int]string               // by shard: the peer that holds it under a token later than the mirror's
	relays         *relay.Tracker               // reports relayed to and by other controllers
	newestRevision uint64                       // newest revision known, which may be ahead of the watch
}

func newPeerState(params Params) peerState {
	var others []string
	for _, node := range sortedKeys(params.NodeZones) {
		if node != params.Node {
			others = append(others, node)
		}
	}
	return peerState{
		confirmation:  membership.NewPeerConfirmation(others, tuning.MaxOpenPings, tuning.MaxPeerUpdates),
		yieldedTo:     map[int]string{},
		peerJobCounts: map[string]JobCount{},
		relays: relay.NewTracker(relay.Limits{
			Lease:            params.WorkerLease,
			RedirectInterval: tuning.RedirectInterval,
			MaxReports:       tuning.MaxRelayedReports,
			AnswerTimeout:    tuning.RelayTimeout,
		}),
	}
}

// noteRevision records a revision of the state service that was seen in a reply.
func (c *Core) noteRevision(revision uint64) { c.newestRevision = max(c.newestRevision, revision) }

// sendToPeer sends a message to a peer, after it has filled in the fields that describe the sender.
func (c *Core) sendToPeer(to string, message PeerMessage) {
	message.From, message.Boot, message.Revision, message.UpMS = c.params.Node, c.presence.Boot(), c.newestRevision, c.now.Milliseconds()
	message.RouteHops = c.stateRoutes.OfferFor(c.now, to)
	c.effects = append(c.effects, PeerSend{To: to, Msg: message})
}

// pingPeers pings every other controller. A ping carries the shards that this controller holds, the progress
// of their jobs, its reachability report and new addresses of workers.
func (c *Core) pingPeers() {
	if c.presence.Boot() == 0 || len(c.params.NodeZones) < 2 || !c.dueEvery("peers", tuning.PeerPingInterval) {
		return
	}
	c.pingNonce = max(c.pingNonce, c.uniqueNumber(0)) + 1
	c.confirmation.PingSent(c.now, c.pingNonce)
	var jobs []JobCount
	for _, id := range sortedKeys(c.jobs) {
		if entry := c.jobs[id]; entry.run != nil && len(jobs) < tuning.MaxPeerJobCounts {
			running, done := entry.run.taskCounts()
			jobs = append(jobs, JobCount{ID: id, Running: running, Done: done})
		}
	}
	var holds []HeldShard
	for _, shard := range sortedIntKeys(c.heldShards) {
		holds = append(holds, HeldShard{Shard: shard, Token: c.shards[shard].version})
	}
	c.relays.Prune(c.now)
	ownReach, addresses := c.ownReach(), c.recentWorkerAddresses()
	for _, node := range sortedKeys(c.params.NodeZones) {
		if node != c.params.Node {
			c.sendToPeer(node, PeerMessage{
				Nonce:        c.pingNonce,
				Mirror:       c.mirrorRevision,
				Jobs:         jobs,
				HeldShards:   holds,
				Reachability: &ownReach,
				WorkerAddrs:  addresses,
			})
		}
	}
}

// recentWorkerAddresses lists the addresses of held workers that have come up recently. Each is repeated in
// several pings.
func (c *Core) recentWorkerAddresses() (recent []WorkerAddr) {
	for _, name := range c.workerAddresses.RecentlyUp(c.now, tuning.WorkerAddrAnnounceTime, tuning.MaxWorkerAddrs) {
		if m := c.machines[name]; m != nil {
			recent = append(recent, WorkerAddr{Machine: m.name, Addr: m.addr, Session: m.session})
		}
	}
	return recent
}

// expireRelays answers relayed reports that the holder has not answered in time. An answer of the holder
// that arrives later is dropped, as the worker no longer waits for it.
func (c *Core) expireRelays() {
	for _, request := range c.relays.Expire(c.now) {
		c.answer(request, 503, unavailable("holder does not answer"))
	}
}

// onPeer handles a message from another controller.
func (c *Core) onPeer(message PeerMessage) {
	if _, known := c.params.NodeZones[message.From]; !known || message.From == c.params.Node || message.UpMS < 0 {
		c.log(1, "message from an unknown controller", "from", message.From)
		return
	}
	c.stateRoutes.OfferReceived(c.now, message.From, message.RouteHops)
	switch {
	case message.WorkerCall != nil:
		order := *message.WorkerCall
		order.RequestedBy = message.From
		c.effects = append(c.effects, order)
		return
	case message.WorkerCallDone != nil:
		c.onOrderDone(*message.WorkerCallDone)
		return
	case message.Call != nil:
		c.onPeerCall(message.From, message.Call)
		return
	case message.Result != nil:
		c.onPeerResult(message.From, message.Result)
		return
	case message.Demand != nil:
		for _, announcement := range message.Demand {
			c.peerDemand.Receive(c.now, announcement)
		}
		if c.loaded && c.isLeader() {
			c.runLeader()
		}
		return
	case message.Relay != nil:
		c.lastID++
		request := 1<<63 | c.lastID
		c.relays.ReceivedFrom(request, relay.Origin{From: message.From, ID: message.Relay.ID})
		c.onReport(WorkerReport{Req: request, Report: message.Relay.Report})
		return
	case message.Answer != nil:
		if request, ok := c.relays.AnswerReceived(message.Answer.ID); ok {
			if message.Answer.Status == 200 {
				c.answer(request, 200, wire.ReportReply{Token: message.Answer.Token, Commands: message.Answer.Commands})
			} else {
				c.answer(request, 503, unavailable("holder does not take it"))
			}
		}
		return
	}
	if message.Nonce == 0 {
		return // a message of a kind that this version does not know: pings have a number
	}
	c.yieldShards(message)
	for _, address := range message.WorkerAddrs {
		c.workerAddresses.Learn(address.Machine, address.Addr, address.Session)
	}
	if message.Reachability != nil {
		c.assignments.ReportReceived(c.now, message.From, *message.Reachability)
	}
	if !message.Reply {
		for _, counts := range message.Jobs {
			if entry := c.jobs[counts.ID]; entry != nil && entry.run == nil {
				c.peerJobCounts[counts.ID] = counts
			}
		}
		statement := c.confirmation.StatementFor(message.From, message.Mirror)
		c.sendToPeer(message.From, PeerMessage{Nonce: message.Nonce, Reply: true, Statement: &statement})
		return
	}
	if _, ok := c.confirmation.PingSentAt(message.Nonce); !ok {
		return // not an answer to a ping of this controller, or to one too old to count
	}
	c.assignments.PingAnswered(c.now, message.From)
	uptime := time.Duration(float64(message.UpMS)*(1-tuning.ClockDrift)) * time.Millisecond
	peer := membership.Peer{
		Name:      message.From,
		StartedAt: c.now - uptime,
		Revision:  message.Revision,
		Statement: message.Statement,
	}
	if message.Statement != nil {
		peer.Conflict = c.applyPeerUpdates(message.Statement.Entries)
	}
	c.confirmation.AnswerReceived(message.Nonce, peer, c.mirrorRevision, c.lastConfirmed())
}

// applyPeerUpdates applies what a peer knows and the mirror may not contain yet: assignments of shards and
// blocks, and jobs that are over. It reports whether a shard or block that this controller holds has been
// assigned again; then the peer's answer does not confirm this controller's authority to act.
func (c *Core) applyPeerUpdates(updates []membership.Entry) (conflict bool) {
	for _, update := range updates {
		switch id, isBlock := strings.CutPrefix(update.Key, wire.PrefixBlock); {
		case strings.HasPrefix(update.Key, wire.PrefixJob):
			// Final states never change, so the deletion of the live key can be applied at once, and the
			// job's tasks end. The watch may return it only after an outage.
			if entry := c.jobs[strings.TrimPrefix(update.Key, wire.PrefixJob)]; entry != nil && entry.run != nil {
				c.log(1, "job is over according to a peer", "job", entry.record.ID, "revision", update.Revision, "mirror", c.mirrorRevision)
			}
			c.applyDelete(update.Key, update.Revision)
		case update.Revision <= c.mirrorRevision:
		case isBlock:
			if block := c.blocks[id]; block != nil && block.version < update.Revision {
				conflict = conflict || c.heldShards[block.record.Shard] || c.grantedShards[block.record.Shard]
			}
		default:
			shard, err := strconv.Atoi(strings.TrimPrefix(update.Key, wire.PrefixShard))
			entry := c.shards[shard]
			conflict = conflict || err != nil || entry != nil && entry.version < update.Revision && (c.heldShards[shard] || c.grantedShards[shard])
		}
	}
	return conflict
}

// yieldShards stops serving shards that a peer holds under a later fencing token.
func (c *Core) yieldShards(message PeerMessage) {
	for _, held := range message.HeldShards {
		// A peer that holds a shard of this controller under a later token has read the assignment in the
		// state service, and this controller cannot or has not yet. If it went on answering the workers,
		// they would not switch to the peer for as long as this controller may act unconfirmed.
		if entry := c.shards[held.Shard]; entry != nil && c.heldShards[held.Shard] && held.Token > entry.version {
			c.yieldedTo[held.Shard] = message.From
			c.recordShardEvent(trail.ShardYielded, held.Shard, wire.TrailEvent{Node: message.From, Token: held.Token})
			c.log(1, "shard yielded to a later token", "shard", held.Shard, "to", message.From, "token", held.Token)
			c.stopHoldingShard(held.Shard)
		}
	}
}

// relayReport passes a report on to the holder of its machine, on behalf of a worker that may be unable to
// reach it. It returns false if the report was not relayed. token is the shard's fencing token: a worker
// that reports an earlier one has not been in contact with the holder yet.
func (c *Core) relayReport(request uint64, report *wire.Report, holder string, token uint64) bool {
	if c.presence.Boot() == 0 || !c.peerResponsive(holder) || !c.relays.ShouldRelay(c.now, report.Machine, report.Token < token, c.reachOf(holder).NoWorkers) {
		return false
	}
	c.lastID++
	number := c.uniqueNumber(c.lastID)
	c.relays.Relayed(c.now, number, request)
	c.sendToPeer(holder, PeerMessage{Relay: &RelayReport{ID: number, Report: *report}})
	return true
}

// lastConfirmed returns when the state service last confirmed this controller's authority to act.
func (c *Core) lastConfirmed() Time { return c.presence.LastConfirmed() }

// lastAuthorized returns the latest time until which nobody can have taken anything over from this
// controller: either the state service confirmed it, or every peer did. So an outage of the state service
// for all controllers leaves them their authority to act; one that affects only this controller does not.
func (c *Core) lastAuthorized() Time { return max(c.lastConfirmed(), c.confirmation.ConfirmedUntil()) }

// maxUnconfirmed returns how long workers may be answered without a confirmation. If an abort is missed
// during that time, its tasks still end within cancel_s, since the workers' leases expire in the rest of
// it. There must be no lower bound: with one of half a lease, tasks outlived cancel_s by that time when
// the lease and cancel_s were close to each other.
func (c *Core) maxUnconfirmed() time.Duration {
	return membership.MaxUnconfirmed(c.params.WorkerLease, c.params.CancelTimeout)
}

// leaseBound returns the time after an answer with status 200 has left, after which the worker's lease has
// certainly expired.
func (c *Core) leaseBound() time.Duration {
	return membership.LeaseExpiredAfter(c.params.WorkerLease)
}

// authorized reports whether this controller's authority to act was confirmed recently enough.
func (c *Core) authorized() bool {
	return c.loaded && c.now-c.lastAuthorized() < c.maxUnconfirmed()
}

// taskCounts returns the number of a job's running and of its done tasks.
func (r *jobRun) taskCounts() (running, done int) {
	for _, a := range r.active {
		if a.status == wire.TaskRunning || a.status == wire.TaskSaving {
			running++
		}
	}
	return running, r.done.Count()
}
