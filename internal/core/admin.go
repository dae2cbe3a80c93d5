package core

import (
	"fmt"
	"math"

	"github.com/barrowbridge/barrowbridge/internal/placement"
	"github.com/barrowbridge/barrowbridge/internal/queue"
	"github.com/barrowbridge/barrowbridge/internal/tuning"
	"github.com/barrowbridge/barrowbridge/wire"
)

func defaultSettings() wire.Settings {
	return wire.Settings{IdleReturnS: tuning.IdleReturn.Seconds(), SilentDropS: tuning.SilentDrop.Seconds(), Spot: true}
}

func (c *Core) settingsView() wire.SettingsView {
	return wire.SettingsView{Version: c.ver.Of(wire.KeySettings), Settings: c.settings}
}

func (c *Core) onAdminSettings(v AdminSettings) {
	if !c.loaded {
		c.answer(v.Req, 503, unavailable("state not read yet"))
		return
	}
	if v.Patch == nil {
		c.answer(v.Req, 200, c.settingsView())
		return
	}
	s := v.Patch.Apply(c.settings)
	if err := s.Check(); err != nil {
		c.answer(v.Req, 400, wire.Problem{Error: err.Error()})
		return
	}
	if v.Patch.Version != c.ver.Of(wire.KeySettings) {
		c.answer(v.Req, 409, c.settingsView())
		return
	}
	c.commit(LaneUser, []wire.Condition{{Key: wire.KeySettings, Version: v.Patch.Version}}, []wire.Change{{Put: wire.KeySettings, Value: s}}, func(r StateReply) {
		c.adminDone(v.Req, r, func() any { return c.settingsView() })
	})
}

// adminDone answers a change by how its write went.
func (c *Core) adminDone(req uint64, r StateReply, body func() any) {
	switch r.Status {
	case 200:
		c.log(1, "changed by an operator", "revision", r.Txn.Revision)
		c.answer(req, 200, body())
	case 409:
		c.answer(req, 409, wire.Problem{Error: "changed meanwhile, read again"})
	case 400:
		c.answer(req, 422, wire.NotTaken(r.Err))
	default:
		c.answer(req, 503, unavailable("state service not reached"))
	}
	c.changed()
}

func (c *Core) onAdminCordon(v AdminCordon) {
	if !c.loaded {
		c.answer(v.Req, 503, unavailable("state not read yet"))
		return
	}
	if c.blockOf(v.Machine) == nil {
		c.answer(v.Req, 404, wire.Problem{Error: fmt.Sprintf("machine %q is in no block", v.Machine)})
		return
	}
	key := wire.PrefixCordon + v.Machine
	ch := wire.Change{Put: key, Value: wire.Cordon{Lifted: true}}
	if v.Cordon != nil {
		ch.Value = wire.Cordon{Drain: v.Cordon.Drain}
	}
	c.commit(LaneUser, []wire.Condition{{Key: key, Version: c.ver.Of(key)}}, []wire.Change{ch}, func(r StateReply) {
		c.adminDone(v.Req, r, func() any { return v.Cordon })
	})
}

// putCordon takes a machine's cordon, or its end.
func (c *Core) putCordon(machine string, r wire.Cordon) {
	if c.cordons[machine] = r; r.Lifted {
		delete(c.cordons, machine)
	}
	c.cordonSeen(machine)
}

// cordonSeen applies a machine's cordon to what this controller holds.
func (c *Core) cordonSeen(machine string) {
	m, cordon := c.machines[machine], c.cordons[machine]
	if m == nil {
		return
	}
	c.markDirty(m)
	if !cordon.Drain {
		return
	}
	m.returning = true // given back once it is empty
	for _, k := range sortedAttemptKeys(m) {
		if a := m.attempts[k]; a.startSent && a.status != wire.TaskEnded {
			c.stopAttempt(a)
		}
	}
}

func (c *Core) onAdminOverview(v AdminOverview) {
	o := wire.Overview{Node: c.p.Node, Leader: c.chief.Node, Nodes: sortedKeys(c.nodes)}
	for _, i := range c.shardIDs() {
		s := c.shards[i]
		o.Shards = append(o.Shards, wire.ShardView{Shard: i, Holder: s.rec.Holder, Home: s.rec.Home, Token: s.ver, Settled: s.rec.Settled, Teams: s.rec.Teams})
	}
	for _, id := range c.blockIDs() {
		b := c.blocks[id].rec
		bv := wire.BlockView{Block: id, Shard: b.Shard, Type: b.Type, Zone: b.Zone, Spot: b.Spot, Idle: b.Idle}
		for _, bm := range b.Machines {
			_, cordoned := c.cordons[bm.Name]
			mv := wire.MachineView{Name: bm.Name, State: "held by " + c.holderName(b.Shard), Cordoned: cordoned}
			if m := c.machines[bm.Name]; m != nil {
				mv.State = m.state()
				for _, k := range sortedAttemptKeys(m) {
					mv.Tasks = append(mv.Tasks, k.task)
				}
			}
			bv.Machines = append(bv.Machines, mv)
		}
		o.Blocks = append(o.Blocks, bv)
	}
	c.refreshIndexes()
	waiting := map[string]int{}
	c.jobQueue.Walk(unlimitedCapacity, func(p *queue.Entry[*jobEntry]) bool { waiting[p.Job.Team] += p.Job.Pending; return true })
	for _, t := range sortedKeys(c.p.Teams) {
		i := c.shardOf(t)
		v := wire.TeamView{Team: t, Shard: i, Known: c.mine(i), UsedCPU: c.capacity.Used(t, i).CPUs, CPUs: c.p.Teams[t].CPUs, Waiting: waiting[t]}
		if most := c.p.Teams[t].CPUsMax; !math.IsInf(most, 1) {
			v.CPUsMax = most
		}
		o.Teams = append(o.Teams, v)
	}
	o.Limits = wire.LimitsView{ValueBytes: c.p.ValueBytes, TxnOps: c.p.TxnOps, Stuck: c.form.Stuck(c.now), Refused: c.form.Tell()}
	c.answer(v.Req, 200, o)
}

func (c *Core) holderName(shard int) string {
	if s := c.shards[shard]; s != nil {
		return s.rec.Holder
	}
	return ""
}

// state describes a held machine in a word.
func (m *machine) state() string {
	switch {
	case m.returning:
		return "leaving"
	case m.leaseOver:
		return "silent"
	case !m.reported:
		return "starting"
	case !m.accounted:
		return "not accounted for"
	case m.terminationNotice:
		return "taken soon"
	}
	return "up"
}

func (c *Core) onAdminWhy(v AdminWhy) {
	e := c.jobs[v.ID]
	if w := c.waitingAt[v.ID]; w != nil {
		c.answer(v.Req, 200, wire.Why{Job: v.ID, Holder: c.holderName(c.shardOf(w.rec.Team)), Why: c.whyWaits(v.ID)})
		return
	}
	if e == nil {
		c.answer(v.Req, 404, wire.Problem{Error: "no such unfinished job"})
		return
	}
	shard := c.shardOf(e.rec.Team)
	w := wire.Why{Job: v.ID, Holder: c.holderName(shard)}
	if e.run == nil {
		w.Why = []string{"its holder knows; ask " + w.Holder}
		c.answer(v.Req, 200, w)
		return
	}
	w.Why = c.why(e, shard)
	c.answer(v.Req, 200, w)
}

// why lists what keeps a job's waiting tasks from starting.
func (c *Core) why(e *jobEntry, shard int) []string {
	j := &e.rec
	pending := len(e.run.retryIndexes) + j.Tasks - e.run.nextIndex
	if pending == 0 && e.run.inheritedBelow == 0 {
		return []string{"no task waits"}
	}
	var out []string
	if !c.confirmed() {
		out = append(out, "the state service has not confirmed this controller lately")
	}
	if c.unreconciledShards[shard] && e.run.inheritedBelow > 0 {
		n := 0
		for _, m := range c.machines {
			if m.shard == shard && m.inherited && !m.accounted {
				n++
			}
		}
		out = append(out, fmt.Sprintf("%d machines of an earlier holder are not accounted for", n))
	}
	if c.now < e.run.notBefore {
		out = append(out, fmt.Sprintf("its tasks failed; next try in %s", e.run.notBefore-c.now))
	}
	t, size := c.p.Teams[j.Team], jobSize(j)
	c.refreshIndexes()
	if u := c.capacity.Used(j.Team, shard); t.exceededBy(u.Add(size)) {
		out = append(out, fmt.Sprintf("team %s uses %g of at most %g cpus", j.Team, u.CPUs, t.CPUsMax))
	}
	place, room := 0, 0
	for _, m := range c.machines {
		if m.shard == shard && c.usable(m) && allowsMachine(j, m) {
			place++
			if placement.Fits(c.freeCapacity(m), size) {
				room++
			}
		}
	}
	if room == 0 {
		out = append(out, fmt.Sprintf("none of %d machines it may use has room", place))
	}
	ahead := 0
	c.jobQueue.Walk(unlimitedCapacity, func(p *queue.Entry[*jobEntry]) bool {
		if p.Handle != e {
			ahead++
		}
		return p.Handle != e
	})
	return append(out, fmt.Sprintf("%d jobs are served before it", ahead))
}
