package core

import (
	"fmt"
	"time"

	"github.com/barrowbridge/barrowbridge/internal/trail"
	"github.com/barrowbridge/barrowbridge/internal/tuning"
	"github.com/barrowbridge/barrowbridge/wire"
)

// note puts an event on the trail.
func (c *Core) recordEvent(e wire.TrailEvent) { c.trail.Add(c.now, c.wall, e) }

// noteShard is an event about a shard.
func (c *Core) recordShardEvent(kind string, shard int, e wire.TrailEvent) {
	e.Kind, e.Shard = kind, &shard
	c.recordEvent(e)
}

// taking is a change of a shard's hands that we have sent to be written.
type pendingTransfer struct {
	record wire.Shard
	from   string
}

// noteTaken notes a change of hands of ours once it stands in the state, whichever way
// that is learned first: what follows from it is linked to it.
func (c *Core) recordShardTaken(i int) {
	x, ours := c.takeovers[i]
	if s := c.shards[i]; ours && s.record.Holder == x.record.Holder && s.record.Boot == x.record.Boot {
		delete(c.takeovers, i)
		c.recordShardEvent(trail.ShardTaken, i, wire.TrailEvent{Node: x.from, Token: s.version, Why: "for " + x.record.Holder})
	}
}

// noteMachine is an event about a held machine.
func (c *Core) recordMachineEvent(kind string, m *machine, e wire.TrailEvent) {
	e.Machine = m.name
	c.recordShardEvent(kind, m.shard, e)
}

// noteTask is an event about an attempt.
func (c *Core) recordTaskEvent(kind string, a *attempt, why string) {
	c.recordMachineEvent(kind, a.machine, wire.TrailEvent{Task: a.key.task, Block: a.machine.block, Why: why})
}

// noteBack tells that a lost task has a machine again, or runs.
func (c *Core) recordTaskRecovery(kind string, a *attempt) {
	if c.trail.WasLost(a.key.task) {
		c.recordTaskEvent(kind, a, "")
	}
}

// noteHeld tells how many started tasks of a job wait until it is known whether
// they run on machines of an earlier holder.
func (c *Core) recordHeldTasks(e *jobEntry, shard int) {
	if n := e.run.inheritedBelow - e.run.done.Count(); e.run.inheritedBelow > 0 && n > 0 {
		c.recordShardEvent(trail.TaskHeld, shard, wire.TrailEvent{Job: e.record.ID, Count: n, Why: "may run on machines that are not accounted for"})
	}
}

// noteMoved tells that jobs wait no longer, and counts them: all that they await is done, or one of
// these is cancelled.
func (c *Core) recordDependentsMoved(ids []string, by map[string]string) {
	for _, id := range ids {
		if by != nil {
			c.announcedChains.Cancelled++
			c.recordEvent(wire.TrailEvent{Kind: trail.JobCancelled, Job: id, Why: "with " + by[id]})
		} else {
			c.announcedChains.Released++
			c.recordEvent(wire.TrailEvent{Kind: trail.JobReleased, Job: id, Why: "all that it awaits is done"})
		}
	}
	c.effects = append(c.effects, c.announcedChains)
}

// suspect notices machines whose reports stay away, long before their lease is over.
func (c *Core) detectSilentMachines() {
	late := time.Duration(tuning.SuspectReports * float64(c.params.Report))
	for _, m := range c.heldMachines() {
		if m.reported && !m.silent && !m.leaseOver && c.now-m.lastReport > late && c.holdsShard(m.shard) {
			m.silent = true
			c.markDirty(m) // its worker may tell its ends no more
			c.recordMachineEvent(trail.MachineSilent, m, wire.TrailEvent{Count: len(m.attempts), Why: fmt.Sprintf("no report for %.1f s", (c.now - m.lastReport).Seconds())})
		}
	}
}

// keepTrail writes what is lasting of the trail, so that it outlives this process. It
// goes with what can wait, and compares nothing: no decision hangs on it.
func (c *Core) persistTrail() {
	key := wire.PrefixTrail + c.params.Node
	switch {
	case c.trailCallPending || !c.authorized() || !c.dueEvery("trail", time.Second):
	case !c.trailLoaded:
		c.trailCallPending = true
		c.callState(StateCall{Op: OpGet, Key: key}, func(r StateReply) {
			c.trailCallPending = false
			var rec wire.TrailRecord
			if r.Status == 200 && wire.Unmarshal(r.Item.Value, &rec) == nil {
				c.trail.Earlier(rec, c.presence.Boot())
			}
			c.trailLoaded = r.Status == 200 || r.Status == 404
		})
	default:
		rec, due := c.trail.Record(c.now, c.presence.Boot())
		if !due {
			return
		}
		c.trailCallPending = true
		c.commit(LaneLater, nil, []wire.Change{{Put: key, Value: rec}}, func(r StateReply) {
			if c.trailCallPending = false; r.Status != 200 {
				c.trail.Failed(c.now)
			}
		})
	}
}

func (c *Core) onAdminTrail(v AdminTrail) {
	v.Query.Most = max(1, min(v.Query.Most, tuning.TrailAnswer))
	if v.Node == "" || v.Node == c.params.Node {
		t := wire.Trail{Node: c.params.Node, Boot: c.presence.Boot()}
		t.Events, t.Next, t.Missed = c.trail.Events(v.Query)
		c.answer(v.Req, 200, t)
		return
	}
	if _, known := c.params.Nodes[v.Node]; !known {
		c.answer(v.Req, 404, wire.Problem{Error: fmt.Sprintf("no controller %q", v.Node)})
		return
	}
	c.callState(StateCall{Op: OpGet, Key: wire.PrefixTrail + v.Node}, func(r StateReply) {
		var rec wire.TrailRecord
		switch {
		case r.Status == 404:
		case r.Status != 200:
			c.answer(v.Req, 503, unavailable("state service not reached"))
			return
		case wire.Unmarshal(r.Item.Value, &rec) != nil:
			c.answer(v.Req, 500, wire.Problem{Error: "the stored trail is not readable"})
			return
		}
		c.answer(v.Req, 200, trail.Stored(v.Node, &rec, v.Query))
	})
}

func (c *Core) onAdminMachine(v AdminMachine) {
	b := c.blockOf(v.Machine)
	if b == nil {
		c.answer(v.Req, 404, wire.Problem{Error: fmt.Sprintf("machine %q is in no block", v.Machine)})
		return
	}
	_, cordoned := c.cordons[v.Machine]
	out := wire.Believed{Machine: v.Machine, Node: c.params.Node, Holder: c.holderName(b.record.Shard), Block: b.id, Shard: b.record.Shard, Token: c.fencingToken(b),
		Type: b.record.Type, Zone: b.record.Zone, Spot: b.record.Spot, State: "held by " + c.holderName(b.record.Shard), Cordoned: cordoned,
		Images: []string{}, Attempts: []wire.BelievedTask{}, Trail: c.trail.Last(trail.Query{Machine: v.Machine, Most: tuning.TrailOfMachine})}
	if m := c.machines[v.Machine]; m != nil && c.holdsShard(m.shard) {
		c.fillMachineView(&out, m)
	}
	c.answer(v.Req, 200, out)
}

// believe fills in what only the holder knows.
func (c *Core) fillMachineView(out *wire.Believed, m *machine) {
	out.Held, out.State, out.Session, out.Inherited, out.Accounted = true, m.state(), m.session, m.inherited, m.accounted
	out.FreeCPUs, out.Images = c.freeCapacity(m).CPUs, sortedKeys(m.images)
	_, out.Errors = c.taskHealth.Machine(m.name)
	if m.reported {
		ago, left := (c.now - m.lastReport).Seconds(), (m.lastAnswered + c.leaseBound() - c.now).Seconds()
		out.ReportedS, out.LeaseLeftS = &ago, &left
	}
	for _, k := range sortedAttemptKeys(m) {
		a := m.attempts[k]
		t := wire.BelievedTask{Task: k.task, Attempt: k.number, Status: a.status, ForS: (c.now - a.createdAt).Seconds()}
		switch {
		case t.Status == "" && a.startSent:
			t.Status = "sent"
		case t.Status == "":
			t.Status = "reserved"
		}
		out.Attempts = append(out.Attempts, t)
	}
}
