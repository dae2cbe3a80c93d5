package core

import (
	"fmt"
	"time"

	"github.com/barrowbridge/barrowbridge/internal/trail"
	"github.com/barrowbridge/barrowbridge/internal/tuning"
	"github.com/barrowbridge/barrowbridge/wire"
)

// note puts an event on the trail.
func (c *Core) note(e wire.TrailEvent) { c.trail.Add(c.now, c.wall, e) }

// noteShard is an event about a shard.
func (c *Core) noteShard(kind string, shard int, e wire.TrailEvent) {
	e.Kind, e.Shard = kind, &shard
	c.note(e)
}

// taking is a change of a shard's hands that we have sent to be written.
type taking struct {
	rec  wire.Shard
	from string
}

// noteTaken notes a change of hands of ours once it stands in the state, whichever way
// that is learned first: what follows from it is linked to it.
func (c *Core) noteTaken(i int) {
	x, ours := c.takeovers[i]
	if s := c.shards[i]; ours && s.rec.Holder == x.rec.Holder && s.rec.Boot == x.rec.Boot {
		delete(c.takeovers, i)
		c.noteShard(trail.ShardTaken, i, wire.TrailEvent{Node: x.from, Token: s.ver, Why: "for " + x.rec.Holder})
	}
}

// noteMachine is an event about a held machine.
func (c *Core) noteMachine(kind string, m *machine, e wire.TrailEvent) {
	e.Machine = m.name
	c.noteShard(kind, m.shard, e)
}

// noteTask is an event about an attempt.
func (c *Core) noteTask(kind string, a *attempt, why string) {
	c.noteMachine(kind, a.machine, wire.TrailEvent{Task: a.key.task, Block: a.machine.block, Why: why})
}

// noteBack tells that a lost task has a machine again, or runs.
func (c *Core) noteBack(kind string, a *attempt) {
	if c.trail.WasLost(a.key.task) {
		c.noteTask(kind, a, "")
	}
}

// noteHeld tells how many started tasks of a job wait until it is known whether
// they run on machines of an earlier holder.
func (c *Core) noteHeld(e *jobEntry, shard int) {
	if n := e.run.inheritedBelow - e.run.done.Count(); e.run.inheritedBelow > 0 && n > 0 {
		c.noteShard(trail.TaskHeld, shard, wire.TrailEvent{Job: e.rec.ID, Count: n, Why: "may run on machines that are not accounted for"})
	}
}

// noteMoved tells that jobs wait no longer, and counts them: all that they await is done, or one of
// these is cancelled.
func (c *Core) noteMoved(ids []string, by map[string]string) {
	for _, id := range ids {
		if by != nil {
			c.told.Cancelled++
			c.note(wire.TrailEvent{Kind: trail.JobCancelled, Job: id, Why: "with " + by[id]})
		} else {
			c.told.Released++
			c.note(wire.TrailEvent{Kind: trail.JobReleased, Job: id, Why: "all that it awaits is done"})
		}
	}
	c.out = append(c.out, c.told)
}

// suspect notices machines whose reports stay away, long before their lease is over.
func (c *Core) suspect() {
	late := time.Duration(tuning.SuspectReports * float64(c.p.Report))
	for _, m := range c.heldMachines() {
		if m.reported && !m.silent && !m.leaseOver && c.now-m.lastReport > late && c.mine(m.shard) {
			m.silent = true
			c.markDirty(m) // its worker may tell its ends no more
			c.noteMachine(trail.MachineSilent, m, wire.TrailEvent{Count: len(m.attempts), Why: fmt.Sprintf("no report for %.1f s", (c.now - m.lastReport).Seconds())})
		}
	}
}

// keepTrail writes what is lasting of the trail, so that it outlives this process. It
// goes with what can wait, and compares nothing: no decision hangs on it.
func (c *Core) keepTrail() {
	key := wire.PrefixTrail + c.p.Node
	switch {
	case c.trailBusy || !c.confirmed() || !c.every("trail", time.Second):
	case !c.trailRead:
		c.trailBusy = true
		c.state(StateCall{Op: OpGet, Key: key}, func(r StateReply) {
			c.trailBusy = false
			var rec wire.TrailRecord
			if r.Status == 200 && wire.Unmarshal(r.Item.Value, &rec) == nil {
				c.trail.Earlier(rec, c.member.Boot())
			}
			c.trailRead = r.Status == 200 || r.Status == 404
		})
	default:
		rec, due := c.trail.Record(c.now, c.member.Boot())
		if !due {
			return
		}
		c.trailBusy = true
		c.commit(LaneLater, nil, []wire.Change{{Put: key, Value: rec}}, func(r StateReply) {
			if c.trailBusy = false; r.Status != 200 {
				c.trail.Failed(c.now)
			}
		})
	}
}

func (c *Core) onAdminTrail(v AdminTrail) {
	v.Query.Most = max(1, min(v.Query.Most, tuning.TrailAnswer))
	if v.Node == "" || v.Node == c.p.Node {
		t := wire.Trail{Node: c.p.Node, Boot: c.member.Boot()}
		t.Events, t.Next, t.Missed = c.trail.Events(v.Query)
		c.answer(v.Req, 200, t)
		return
	}
	if _, known := c.p.Nodes[v.Node]; !known {
		c.answer(v.Req, 404, wire.Problem{Error: fmt.Sprintf("no controller %q", v.Node)})
		return
	}
	c.state(StateCall{Op: OpGet, Key: wire.PrefixTrail + v.Node}, func(r StateReply) {
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
	out := wire.Believed{Machine: v.Machine, Node: c.p.Node, Holder: c.holderName(b.rec.Shard), Block: b.id, Shard: b.rec.Shard, Token: c.token(b),
		Type: b.rec.Type, Zone: b.rec.Zone, Spot: b.rec.Spot, State: "held by " + c.holderName(b.rec.Shard), Cordoned: cordoned,
		Images: []string{}, Attempts: []wire.BelievedTask{}, Trail: c.trail.Last(trail.Query{Machine: v.Machine, Most: tuning.TrailOfMachine})}
	if m := c.machines[v.Machine]; m != nil && c.mine(m.shard) {
		c.believe(&out, m)
	}
	c.answer(v.Req, 200, out)
}

// believe fills in what only the holder knows.
func (c *Core) believe(out *wire.Believed, m *machine) {
	out.Held, out.State, out.Session, out.Inherited, out.Accounted = true, m.state(), m.session, m.inherited, m.accounted
	out.FreeCPUs, out.Images = c.freeCapacity(m).CPUs, sortedKeys(m.images)
	_, out.Errors = c.taskHealth.Machine(m.name)
	if m.reported {
		ago, left := (c.now - m.lastReport).Seconds(), (m.lastAnswered + c.leaseOver() - c.now).Seconds()
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
