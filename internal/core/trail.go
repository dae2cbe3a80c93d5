package core

import (
	"fmt"
	"time"

	"github.com/barrowbridge/barrowbridge/internal/trail"
	"github.com/barrowbridge/barrowbridge/internal/tuning"
	"github.com/barrowbridge/barrowbridge/wire"
)

// recordEvent adds an event to the trail.
func (c *Core) recordEvent(event wire.TrailEvent) { c.trail.Add(c.now, c.wall, event) }

// recordShardEvent adds an event about a shard to the trail.
func (c *Core) recordShardEvent(kind string, shard int, event wire.TrailEvent) {
	event.Kind, event.Shard = kind, &shard
	c.recordEvent(event)
}

// pendingTransfer is a change of a shard's holder that this controller has sent to the state service.
type pendingTransfer struct {
	record wire.Shard // the record that was sent
	from   string     // the holder before
}

// recordShardTaken adds this controller's change of a shard's holder to the trail as soon as the change is
// known to be stored, whether from the reply to the write or from the watch, so that the events that follow from
// it come after it.
func (c *Core) recordShardTaken(shard int) {
	transfer, ours := c.pendingTransfers[shard]
	if entry := c.shards[shard]; ours && entry.record.Holder == transfer.record.Holder && entry.record.Boot == transfer.record.Boot {
		delete(c.pendingTransfers, shard)
		c.recordShardEvent(trail.ShardTaken, shard, wire.TrailEvent{Node: transfer.from, Token: entry.version, Why: "for " + transfer.record.Holder})
	}
}

// recordMachineEvent adds an event about a held machine to the trail.
func (c *Core) recordMachineEvent(kind string, m *machine, event wire.TrailEvent) {
	event.Machine = m.name
	c.recordShardEvent(kind, m.shard, event)
}

// recordTaskEvent adds an event about an attempt of a task to the trail.
func (c *Core) recordTaskEvent(kind string, a *attempt, reason string) {
	c.recordMachineEvent(kind, a.machine, wire.TrailEvent{Task: a.key.task, Block: a.machine.block, Why: reason})
}

// recordTaskRecovery adds an event to the trail if a lost task has a machine again, or runs again.
func (c *Core) recordTaskRecovery(kind string, a *attempt) {
	if c.trail.WasLost(a.key.task) {
		c.recordTaskEvent(kind, a, "")
	}
}

// recordHeldTasks adds to the trail how many started tasks of a job are not started again until it is known
// whether they run on machines of an earlier holder.
func (c *Core) recordHeldTasks(entry *jobEntry, shard int) {
	if count := entry.run.inheritedBelow - entry.run.done.Count(); entry.run.inheritedBelow > 0 && count > 0 {
		c.recordShardEvent(trail.TaskWithheld, shard, wire.TrailEvent{
			Job:   entry.record.ID,
			Count: count,
			Why:   "may run on machines that are not accounted for",
		})
	}
}

// recordDependentsMoved adds to the trail that jobs no longer wait for others, and counts them. They are
// released because all their predecessors are done or, if cancelledBy is set, cancelled with one of them.
func (c *Core) recordDependentsMoved(ids []string, cancelledBy map[string]string) {
	for _, id := range ids {
		if cancelledBy != nil {
			c.announcedChains.Cancelled++
			c.recordEvent(wire.TrailEvent{Kind: trail.JobCancelled, Job: id, Why: "with " + cancelledBy[id]})
		} else {
			c.announcedChains.Released++
			c.recordEvent(wire.TrailEvent{Kind: trail.JobReleased, Job: id, Why: "all that it awaits is done"})
		}
	}
	c.effects = append(c.effects, c.announcedChains)
}

// detectSilentMachines marks machines whose reports are overdue, long before their lease expires.
func (c *Core) detectSilentMachines() {
	late := time.Duration(tuning.SuspectReportIntervals * float64(c.params.ReportInterval))
	for _, m := range c.heldMachines() {
		if m.reported && !m.silent && !m.leaseOver && c.now-m.lastReport > late && c.holdsShard(m.shard) {
			m.silent = true
			c.markDirty(m) // its worker may be unable to report the ends of its tasks
			c.recordMachineEvent(trail.MachineSilent, m, wire.TrailEvent{
				Count: len(m.attempts),
				Why:   fmt.Sprintf("no report for %.1f s", (c.now - m.lastReport).Seconds()),
			})
		}
	}
}

// persistTrail writes the lasting part of the trail to the state service, so that it survives this process. The
// write has the lowest priority and no condition, because no decision depends on it.
func (c *Core) persistTrail() {
	key := wire.PrefixTrail + c.params.Node
	switch {
	case c.trailCallPending || !c.authorized() || !c.dueEvery("trail", time.Second):
	case !c.trailLoaded:
		c.trailCallPending = true
		c.callState(StateCall{Op: OpGet, Key: key}, func(reply StateReply) {
			c.trailCallPending = false
			var record wire.TrailRecord
			if reply.Status == 200 && wire.Unmarshal(reply.Item.Value, &record) == nil {
				c.trail.LoadEarlier(record, c.presence.Boot())
			}
			c.trailLoaded = reply.Status == 200 || reply.Status == 404
		})
	default:
		record, due := c.trail.NextRecord(c.now, c.presence.Boot())
		if !due {
			return
		}
		c.trailCallPending = true
		c.commit(LaneDeferred, nil, []wire.Change{{Put: key, Value: record}}, func(reply StateReply) {
			if c.trailCallPending = false; reply.Status != 200 {
				c.trail.WriteFailed(c.now)
			}
		})
	}
}

// onAdminTrail answers an operator with events of the trail: of this controller from memory, of another one
// from its stored trail.
func (c *Core) onAdminTrail(query AdminTrail) {
	query.Query.Most = max(1, min(query.Query.Most, tuning.MaxTrailAnswerEvents))
	if query.Node == "" || query.Node == c.params.Node {
		answer := wire.Trail{Node: c.params.Node, Boot: c.presence.Boot()}
		answer.Events, answer.Next, answer.Missed = c.trail.Events(query.Query)
		c.answer(query.Req, 200, answer)
		return
	}
	if _, known := c.params.NodeZones[query.Node]; !known {
		c.answer(query.Req, 404, wire.Problem{Error: fmt.Sprintf("no controller %q", query.Node)})
		return
	}
	c.callState(StateCall{Op: OpGet, Key: wire.PrefixTrail + query.Node}, func(reply StateReply) {
		var record wire.TrailRecord
		switch {
		case reply.Status == 404:
		case reply.Status != 200:
			c.answer(query.Req, 503, unavailable("state service not reached"))
			return
		case wire.Unmarshal(reply.Item.Value, &record) != nil:
			c.answer(query.Req, 500, wire.Problem{Error: "the stored trail is not readable"})
			return
		}
		c.answer(query.Req, 200, trail.StoredTrail(query.Node, &record, query.Query))
	})
}

// onAdminMachine answers an operator with what this controller knows of a machine.
func (c *Core) onAdminMachine(query AdminMachine) {
	block := c.blockOf(query.Machine)
	if block == nil {
		c.answer(query.Req, 404, wire.Problem{Error: fmt.Sprintf("machine %q is in no block", query.Machine)})
		return
	}
	_, cordoned := c.cordons[query.Machine]
	view := wire.MachineDetail{
		Machine:  query.Machine,
		Node:     c.params.Node,
		Holder:   c.holderName(block.record.Shard),
		Block:    block.id,
		Shard:    block.record.Shard,
		Token:    c.fencingToken(block),
		Type:     block.record.Type,
		Zone:     block.record.Zone,
		Spot:     block.record.Spot,
		State:    "held by " + c.holderName(block.record.Shard),
		Cordoned: cordoned,
		Images:   []string{},
		Attempts: []wire.AttemptDetail{},
		Trail:    c.trail.Last(trail.Query{Machine: query.Machine, Most: tuning.MaxMachineTrailEvents}),
	}
	if m := c.machines[query.Machine]; m != nil && c.holdsShard(m.shard) {
		c.fillMachineView(&view, m)
	}
	c.answer(query.Req, 200, view)
}

// fillMachineView fills in what only the holder of the machine knows.
func (c *Core) fillMachineView(view *wire.MachineDetail, m *machine) {
	view.Held, view.State, view.Session, view.Inherited, view.Accounted = true, m.state(), m.session, m.inherited, m.accounted
	view.FreeCPUs, view.Images = c.freeCapacity(m).CPUs, sortedKeys(m.images)
	_, view.Errors = c.taskHealth.MachineVerdict(m.name)
	if m.reported {
		ago, left := (c.now - m.lastReport).Seconds(), (m.lastAnswered + c.leaseBound() - c.now).Seconds()
		view.ReportedS, view.LeaseLeftS = &ago, &left
	}
	for _, k := range sortedAttemptKeys(m) {
		a := m.attempts[k]
		task := wire.AttemptDetail{Task: k.task, Attempt: k.number, Status: a.status, ForS: (c.now - a.createdAt).Seconds()}
		switch {
		case task.Status == "" && a.startSent:
			task.Status = "sent"
		case task.Status == "":
			task.Status = "reserved"
		}
		view.Attempts = append(view.Attempts, task)
	}
}
