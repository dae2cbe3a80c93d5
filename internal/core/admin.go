package core

import (
	"fmt"
	"math"

	"github.com/barrowbridge/barrowbridge/internal/placement"
	"github.com/barrowbridge/barrowbridge/internal/queue"
	"github.com/barrowbridge/barrowbridge/internal/tuning"
	"github.com/barrowbridge/barrowbridge/wire"
)

// defaultSettings returns the settings that apply as long as an operator has not changed them.
func defaultSettings() wire.Settings {
	return wire.Settings{IdleReturnS: tuning.IdleReturnAfter.Seconds(), SilentDropS: tuning.SilentMachineDeleteAfter.Seconds(), Spot: true}
}

// settingsView returns the current settings and the version of their record.
func (c *Core) settingsView() wire.SettingsView {
	return wire.SettingsView{Version: c.versions.Version(wire.KeySettings), Settings: c.settings}
}

// onAdminSettings answers an operator who reads or changes the settings. A change has to name the version that it
// is based on.
func (c *Core) onAdminSettings(query AdminSettings) {
	if !c.loaded {
		c.answer(query.Req, 503, unavailable("state not read yet"))
		return
	}
	if query.Patch == nil {
		c.answer(query.Req, 200, c.settingsView())
		return
	}
	settings := query.Patch.Apply(c.settings)
	if err := settings.Check(); err != nil {
		c.answer(query.Req, 400, wire.Problem{Error: err.Error()})
		return
	}
	if query.Patch.Version != c.versions.Version(wire.KeySettings) {
		c.answer(query.Req, 409, c.settingsView())
		return
	}
	c.commit(LaneUser,
		[]wire.Condition{{Key: wire.KeySettings, Version: query.Patch.Version}},
		[]wire.Change{{Put: wire.KeySettings, Value: settings}},
		func(reply StateReply) {
			c.answerAdminWrite(query.Req, reply, func() any { return c.settingsView() })
		})
}

// answerAdminWrite answers an operator's change with the outcome of its write; body is called if it succeeded.
func (c *Core) answerAdminWrite(request uint64, reply StateReply, body func() any) {
	switch reply.Status {
	case 200:
		c.log(1, "changed by an operator", "revision", reply.Txn.Revision)
		c.answer(request, 200, body())
	case 409:
		c.answer(request, 409, wire.Problem{Error: "changed meanwhile, read again"})
	case 400:
		c.answer(request, 422, wire.RecordRefused(reply.Err))
	default:
		c.answer(request, 503, unavailable("state service not reached"))
	}
	c.mirrorChanged()
}

// onAdminCordon answers an operator who cordons a machine or lifts its cordon.
func (c *Core) onAdminCordon(query AdminCordon) {
	if !c.loaded {
		c.answer(query.Req, 503, unavailable("state not read yet"))
		return
	}
	if c.blockOf(query.Machine) == nil {
		c.answer(query.Req, 404, wire.Problem{Error: fmt.Sprintf("machine %q is in no block", query.Machine)})
		return
	}
	key := wire.PrefixCordon + query.Machine
	change := wire.Change{Put: key, Value: wire.Cordon{Lifted: true}}
	if query.Cordon != nil {
		change.Value = wire.Cordon{Drain: query.Cordon.Drain}
	}
	c.commit(LaneUser, []wire.Condition{{Key: key, Version: c.versions.Version(key)}}, []wire.Change{change}, func(reply StateReply) {
		c.answerAdminWrite(query.Req, reply, func() any { return query.Cordon })
	})
}

// applyCordon applies a write of a machine's cordon, which may be lifted.
func (c *Core) applyCordon(machine string, record wire.Cordon) {
	if c.cordons[machine] = record; record.Lifted {
		delete(c.cordons, machine)
	}
	c.cordonChanged(machine)
}

// cordonChanged applies a changed cordon to a machine that this controller holds. A draining cordon stops the
// machine's tasks.
func (c *Core) cordonChanged(machine string) {
	m, cordon := c.machines[machine], c.cordons[machine]
	if m == nil {
		return
	}
	c.markDirty(m)
	if !cordon.Drain {
		return
	}
	m.returning = true // the machine is returned to the cloud once it is empty
	for _, k := range sortedAttemptKeys(m) {
		if a := m.attempts[k]; a.startSent && a.status != wire.TaskEnded {
			c.stopAttempt(a)
		}
	}
}

// onAdminOverview answers an operator with all shards, blocks, machines and teams. Only the holder of a shard
// knows the states and tasks of its machines.
func (c *Core) onAdminOverview(query AdminOverview) {
	overview := wire.Overview{Node: c.params.Node, Leader: c.leaderRecord.Node, Nodes: sortedKeys(c.nodes)}
	for _, shard := range c.shardIDs() {
		entry := c.shards[shard]
		overview.Shards = append(overview.Shards, wire.ShardView{
			Shard:   shard,
			Holder:  entry.record.Holder,
			Home:    entry.record.Home,
			Token:   entry.version,
			Settled: entry.record.Settled,
			Teams:   entry.record.Teams,
		})
	}
	for _, id := range c.blockIDs() {
		block := c.blocks[id].record
		blockView := wire.BlockView{Block: id, Shard: block.Shard, Type: block.Type, Zone: block.Zone, Spot: block.Spot, Idle: block.Idle}
		for _, blockMachine := range block.Machines {
			_, cordoned := c.cordons[blockMachine.Name]
			machineView := wire.MachineView{Name: blockMachine.Name, State: "held by " + c.holderName(block.Shard), Cordoned: cordoned}
			if m := c.machines[blockMachine.Name]; m != nil {
				machineView.State = m.state()
				for _, k := range sortedAttemptKeys(m) {
					machineView.Tasks = append(machineView.Tasks, k.task)
				}
			}
			blockView.Machines = append(blockView.Machines, machineView)
		}
		overview.Blocks = append(overview.Blocks, blockView)
	}
	c.refreshIndexes()
	waiting := map[string]int{}
	c.jobQueue.Walk(unlimitedCapacity, func(p *queue.Entry[*jobEntry]) bool {
		waiting[p.Job.Team] += p.Job.Pending
		return true
	})
	for _, team := range sortedKeys(c.params.Teams) {
		shard := c.shardOfTeam(team)
		view := wire.TeamView{
			Team:    team,
			Shard:   shard,
			Known:   c.holdsShard(shard),
			UsedCPU: c.capacity.Used(team, shard).CPUs,
			CPUs:    c.params.Teams[team].CPUs,
			Waiting: waiting[team],
		}
		if most := c.params.Teams[team].CPUsMax; !math.IsInf(most, 1) {
			view.CPUsMax = most
		}
		overview.Teams = append(overview.Teams, view)
	}
	overview.Limits = wire.LimitsView{
		ValueBytes: c.params.MaxValueBytes,
		TxnOps:     c.params.MaxTxnOps,
		Stuck:      c.writeLimits.StartsStuck(c.now),
		Refused:    c.writeLimits.RefusedWrites(),
	}
	c.answer(query.Req, 200, overview)
}

// holderName returns the name of the controller that holds a shard, "" if there is none.
func (c *Core) holderName(shard int) string {
	if entry := c.shards[shard]; entry != nil {
		return entry.record.Holder
	}
	return ""
}

// state returns the state of a held machine as operators see it.
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

// onAdminWhy answers an operator with the reasons for which a job does not run. Only the holder of the job's
// shard knows them.
func (c *Core) onAdminWhy(query AdminWhy) {
	entry := c.jobs[query.ID]
	if dependent := c.waitingJobs[query.ID]; dependent != nil {
		c.answer(query.Req, 200, wire.Why{
			Job:    query.ID,
			Holder: c.holderName(c.shardOfTeam(dependent.record.Team)),
			Why:    c.waitReason(query.ID),
		})
		return
	}
	if entry == nil {
		c.answer(query.Req, 404, wire.Problem{Error: "no such unfinished job"})
		return
	}
	shard := c.shardOfTeam(entry.record.Team)
	answer := wire.Why{Job: query.ID, Holder: c.holderName(shard)}
	if entry.run == nil {
		answer.Why = []string{"its holder knows; ask " + answer.Holder}
		c.answer(query.Req, 200, answer)
		return
	}
	answer.Why = c.waitReasons(entry, shard)
	c.answer(query.Req, 200, answer)
}

// waitReasons lists what keeps a job's waiting tasks from starting.
func (c *Core) waitReasons(entry *jobEntry, shard int) []string {
	job := &entry.record
	pending := len(entry.run.retryIndexes) + job.Tasks - entry.run.nextIndex
	if pending == 0 && entry.run.inheritedBelow == 0 {
		return []string{"no task waits"}
	}
	var reasons []string
	if !c.authorized() {
		reasons = append(reasons, "the state service has not confirmed this controller lately")
	}
	if c.unreconciledShards[shard] && entry.run.inheritedBelow > 0 {
		unaccounted := 0
		for _, m := range c.machines {
			if m.shard == shard && m.inherited && !m.accounted {
				unaccounted++
			}
		}
		reasons = append(reasons, fmt.Sprintf("%d machines of an earlier holder are not accounted for", unaccounted))
	}
	if c.now < entry.run.notBefore {
		reasons = append(reasons, fmt.Sprintf("its tasks failed; next try in %s", entry.run.notBefore-c.now))
	}
	team, size := c.params.Teams[job.Team], jobSize(job)
	c.refreshIndexes()
	if used := c.capacity.Used(job.Team, shard); team.exceededBy(used.Add(size)) {
		reasons = append(reasons, fmt.Sprintf("team %s uses %g of at most %g cpus", job.Team, used.CPUs, team.CPUsMax))
	}
	usable, fitting := 0, 0
	for _, m := range c.machines {
		if m.shard == shard && c.usable(m) && allowsMachine(job, m) {
			usable++
			if placement.Fits(c.freeCapacity(m), size) {
				fitting++
			}
		}
	}
	if fitting == 0 {
		reasons = append(reasons, fmt.Sprintf("none of %d machines it may use has room", usable))
	}
	ahead := 0
	c.jobQueue.Walk(unlimitedCapacity, func(p *queue.Entry[*jobEntry]) bool {
		if p.Handle != entry {
			ahead++
		}
		return p.Handle != entry
	})
	return append(reasons, fmt.Sprintf("%d jobs are served before it", ahead))
}
