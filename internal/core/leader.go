package core

import (
	"fmt"
	"maps"
	"slices"
	"time"

	"github.com/barrowbridge/barrowbridge/internal/assignment"
	"github.com/barrowbridge/barrowbridge/internal/inventory"
	"github.com/barrowbridge/barrowbridge/internal/supply"
	"github.com/barrowbridge/barrowbridge/internal/trail"
	"github.com/barrowbridge/barrowbridge/internal/tuning"
	"github.com/barrowbridge/barrowbridge/wire"
)

// leaderState is the state that only the leading controller keeps. It starts empty with each term,
// because all of it can be learned again from the cloud and the state service.
type leaderState struct {
	listingMachines  bool                       // a read of the cloud's machine list is in progress
	cloudMachines    *inventory.Tracker         // the machines that the cloud lists
	deletingMachines bool                       // a delete call to the cloud is in progress
	servingShards    map[int]bool               // shards with a rental or a block move in progress
	rentedMachines   map[int][]wire.MachineInfo // by shard: rented machines that are in no block yet
	offerRetryAt     map[string]Time            // by type, zone and kind: when a refused offer may be tried again
	writePending     bool                       // a write of blocks or shards is in progress
	cloudBackoff     time.Duration              // current delay after failed cloud calls
	cloudRetryAt     Time                       // no cloud call before this time
	readingTypes     bool                       // a read of the machine types is in progress
	deletingProgress bool                       // a deletion of progress records is in progress
	nodeSince        map[string]Time            // by controller: since when this leader has seen it present
	rentRequests     uint64                     // number of rental requests sent; part of their names
	adoptingBase     bool                       // the first machines were adopted while no block existed
	shardsCreatedAt  Time                       // when this term created the shards, at the first start of the cluster; 0 if it did not
}

func (l *leaderState) reset(listLag time.Duration) {
	requests := l.rentRequests // kept, so that request names never repeat
	*l = leaderState{
		cloudMachines: inventory.New(inventory.Limits{
			ListLag:      listLag,
			GoneAfter:    3*listLag + tuning.UnlistedMachineGoneAfter,
			AdoptAfter:   tuning.UnassignedMachineGrace,
			CallInterval: tuning.UnassignedMachineCallInterval,
		}),
		servingShards:  map[int]bool{},
		rentedMachines: map[int][]wire.MachineInfo{},
		offerRetryAt:   map[string]Time{},
		nodeSince:      map[string]Time{},
		rentRequests:   requests,
	}
}

// isLeader reports whether the current incarnation of this controller is the leader.
func (c *Core) isLeader() bool {
	return c.leaderRecord.Node == c.params.Node && c.leaderRecord.Boot == c.presence.Boot() && c.presence.Boot() != 0
}

// runLeader claims the leadership if it is free and, while this controller leads, performs the
// leader's periodic work.
func (c *Core) runLeader() {
	leader := &c.leader
	began, ended := c.term.ObserveLeader(c.now, c.isLeader(), c.versions.Version(wire.KeyLeader))
	if !c.isLeader() {
		if ended {
			c.recordEvent(wire.TrailEvent{Kind: trail.NoLongerLeading, Node: c.leaderRecord.Node})
			c.log(1, "lost leadership")
			leader.reset(c.params.CloudListLag)
		}
		// The leadership is free, or held by an earlier incarnation of this node, which is dead.
		if c.term.StartClaim(c.now, (c.leaderRecord.Node == "" || c.leaderRecord.Node == c.params.Node) && c.presence.Registered()) {
			c.commit(LaneAuthority,
				[]wire.Condition{{Key: wire.KeyLeader, Version: c.versions.Version(wire.KeyLeader)}},
				[]wire.Change{{
					Put:   wire.KeyLeader,
					Value: wire.Leader{Node: c.params.Node, Boot: c.presence.Boot()},
					Lease: c.presence.StateLease(),
				}},
				func(r StateReply) {
					c.term.WriteFinished()
					c.mirrorChanged()
				})
		}
		return
	}
	if began {
		leader.reset(c.params.CloudListLag)
		c.recordEvent(wire.TrailEvent{Kind: trail.Leading, Token: c.versions.Version(wire.KeyLeader)})
		c.log(1, "leading", "revision", c.versions.Version(wire.KeyLeader))
	}
	for name := range c.nodes {
		if _, ok := leader.nodeSince[name]; !ok {
			leader.nodeSince[name] = c.now
		}
	}
	maps.DeleteFunc(leader.nodeSince, func(name string, _ Time) bool {
		_, up := c.nodes[name]
		return !up
	})
	c.assignShards()
	c.writeRentedBlocks()
	c.readTypes()
	c.readMachines()
	c.deleteMachines()
	c.adoptMachines()
	c.rentAhead()
	c.serveDemand()
	c.deleteStaleProgress()
}

// leaderCondition returns the condition that the leader record has not changed.
func (c *Core) leaderCondition() wire.Condition {
	return wire.Condition{Key: wire.KeyLeader, Version: c.versions.Version(wire.KeyLeader)}
}

// canFormBlocks reports whether blocks may be formed: no earlier write of this controller that forms
// blocks can still be executed, and the mirror contains all that were executed. Such a write compares
// the leader record and requires that its blocks do not exist. If it is executed late, after its
// machines were put into blocks with other names, the machines end up in two blocks, each with its own
// holder. Therefore, after such a write got no answer, the leader record is rewritten as a fence, which
// makes every write that compares the old version fail.
func (c *Core) canFormBlocks() bool {
	ok, renew := c.term.Fenced(c.now, c.mirrorRevision, c.presence.Registered())
	if !renew {
		return ok
	}
	c.log(1, "a write that forms blocks got no answer, the leader record is written anew")
	c.commit(LaneAuthority, []wire.Condition{c.leaderCondition()}, []wire.Change{{Put: wire.KeyLeader, Value: c.leaderRecord, Lease: c.presence.StateLease()}}, func(r StateReply) {
		c.term.FenceWritten(r.Status == 200, r.Txn.Revision)
		c.mirrorChanged()
	})
	return false
}

// assignShards creates the shards when there are too few, and moves each shard of a dead controller as a
// whole to one successor.
func (c *Core) assignShards() {
	leader := &c.leader
	names := sortedKeys(c.params.NodeZones)
	if len(c.shards) < len(names) {
		if leader.writePending || (len(c.nodes) < len(names) && c.now-c.term.Since() < tuning.InitialShardGrace) || !c.dueEvery("shards", tuning.BackgroundRetryDelay) {
			return
		}
		guarantees := map[string]float64{}
		for name, team := range c.params.Teams {
			guarantees[name] = team.CPUs
		}
		teams := assignment.AssignTeams(guarantees, len(names))
		var conditions []wire.Condition
		var changes []wire.Change
		conditions = append(conditions, c.leaderCondition())
		for i, name := range names {
			if c.shards[i] != nil || len(changes) >= c.params.MaxTxnOps {
				continue
			}
			holder := name
			if _, up := c.nodes[name]; !up {
				holder = c.params.Node
			}
			conditions = append(conditions, wire.Condition{Key: shardKey(i)})
			changes = append(changes, wire.Change{Put: shardKey(i), Value: wire.Shard{
				Holder: holder,
				Boot:   c.nodes[holder].Boot,
				Home:   name,
				Teams:  teams[i],
				Known:  true,
			}})
		}
		leader.writePending = true
		c.commit(LaneAuthority, conditions, changes, func(r StateReply) {
			leader.writePending = false
			if r.Status == 200 {
				leader.shardsCreatedAt = c.now
			}
			c.mirrorChanged()
		})
		return
	}
	held := c.shardCounts()
	for _, i := range c.shardIDs() {
		shard := c.shards[i]
		node, up := c.nodes[shard.record.Holder]
		newHolder := ""
		switch {
		case !up || (node.Boot != shard.record.Boot && c.now-leader.nodeSince[shard.record.Holder] > tuning.StateLeaseTTL):
			// The holder is dead, or has restarted without retaking the shard.
			newHolder = assignment.Successor(shard.record.Home, c.params.NodeZones, c.assignments.Members(c.now, c.self(), i, held))
		case shard.record.Home != shard.record.Holder:
			if since, here := leader.nodeSince[shard.record.Home]; here && c.assignments.MayReturnHome(c.now, c.self(), i, &shard.record, since, held[shard.record.Home]) {
				newHolder = shard.record.Home
			}
		}
		if newHolder != "" && (newHolder != shard.record.Holder || c.nodes[newHolder].Boot != shard.record.Boot) {
			// A leader that was paused still believes it leads until it receives newer state. Without
			// comparing the leader record, it once took its shard back from its successor for 10 ms.
			c.assignShard(i, newHolder, c.nodes[newHolder].Boot, c.leaderCondition())
			held[newHolder]++
		}
	}
	c.addTeams()
}

// addTeams assigns each team that was added to the settings to the shard with the fewest teams.
func (c *Core) addTeams() {
	for _, team := range sortedKeys(c.params.Teams) {
		if c.shardOfTeam(team) >= 0 {
			continue
		}
		if !c.dueEvery("addTeams", tuning.BackgroundRetryDelay) {
			return
		}
		best := 0
		for _, i := range c.shardIDs() {
			if len(c.shards[i].record.Teams) < len(c.shards[best].record.Teams) {
				best = i
			}
		}
		shard := c.shards[best]
		rec := shard.record
		rec.Teams = append(append([]string(nil), rec.Teams...), team)
		c.commit(LaneAuthority,
			[]wire.Condition{c.leaderCondition(), {Key: shardKey(best), Version: shard.version}},
			[]wire.Change{{Put: shardKey(best), Value: rec}},
			func(StateReply) { c.mirrorChanged() })
		return
	}
}

// cloudFailed records a failed cloud call and delays the next ones by an exponential, jittered backoff.
func (c *Core) cloudFailed(what string, r CloudReply) {
	leader := &c.leader
	leader.cloudBackoff = min(max(2*leader.cloudBackoff, tuning.BackgroundRetryDelay), tuning.CloudBackoffMax)
	leader.cloudRetryAt = c.now + time.Duration(float64(leader.cloudBackoff)*(1-tuning.RetryJitter*c.jitter.Float64()))
	c.recordEvent(wire.TrailEvent{Kind: trail.CloudFailed, Why: fmt.Sprintf("%s: status %d %s", what, r.Status, r.Err)})
	c.log(1, "cloud call failed", "call", what, "status", r.Status, "err", r.Err, "pause", leader.cloudBackoff.String())
}

// readTypes reads the machine types from the cloud and writes them to the state service.
func (c *Core) readTypes() {
	leader := &c.leader
	if leader.readingTypes || c.now < leader.cloudRetryAt || !c.dueEvery("types", tuning.MachineTypesInterval) {
		return
	}
	leader.readingTypes = true
	c.callCloud(CloudCall{Op: OpTypes}, func(r CloudReply) {
		leader.readingTypes = false
		if r.Status != 200 {
			c.notBefore["types"] = c.now + tuning.BackgroundRetryDelay
			c.cloudFailed("machine types", r)
			return
		}
		leader.cloudBackoff = 0
		if !c.isLeader() {
			return
		}
		for len(r.Types) > 0 {
			n := min(len(r.Types), c.params.MaxTxnOps)
			var changes []wire.Change
			for _, t := range r.Types[:n] {
				changes = append(changes, wire.Change{Put: wire.PrefixType + t.Name, Value: t})
			}
			r.Types = r.Types[n:]
			c.commit(LaneUser, []wire.Condition{c.leaderCondition()}, changes, func(r StateReply) {
				if r.Status != 200 {
					c.notBefore["types"] = c.now + tuning.BackgroundRetryDelay
				}
				c.mirrorChanged()
			})
		}
	})
}

// blockOf returns the block that contains a machine, or nil.
func (c *Core) blockOf(name string) *blockEntry {
	if id, ok := c.blockOfMachine[name]; ok {
		return c.blocks[id]
	}
	return nil
}

// readMachines reads the cloud's machine list. Machines in no block are adopted later; machines that
// failed or are no longer listed are deleted.
func (c *Core) readMachines() {
	leader := &c.leader
	if leader.listingMachines || c.now < leader.cloudRetryAt || !c.dueEvery("list", tuning.MachineListInterval) {
		return
	}
	leader.listingMachines = true
	c.listPage("", map[string]wire.MachineInfo{})
}

// listPage reads one page of the machine list into all and continues until the list is complete.
func (c *Core) listPage(after string, all map[string]wire.MachineInfo) {
	leader := &c.leader
	c.callCloud(CloudCall{Op: OpMachines, After: after}, func(r CloudReply) {
		if r.Status != 200 {
			leader.listingMachines = false
			c.cloudFailed("machine list", r)
			return
		}
		leader.cloudBackoff = 0
		for _, m := range r.List.Machines {
			all[m.Name] = m
			after = m.Name
		}
		if r.List.More && len(r.List.Machines) > 0 {
			c.listPage(after, all)
			return
		}
		leader.listingMachines = false
		if !c.isLeader() {
			return
		}
		c.learnAddresses(all)
		inBlocks := map[string]bool{}
		for _, b := range c.blocks {
			for _, bm := range b.record.Machines {
				inBlocks[bm.Name] = true
			}
		}
		leader.cloudMachines.ApplyList(c.now, all, inBlocks)
		c.runLeader()
	})
}

// onUnassignedReport handles a report of a machine that is in no block. The report may be a copy of an
// old one, so the worker is probed before the machine is adopted.
func (c *Core) onUnassignedReport(r *wire.Report) {
	if c.isLeader() && r.Addr != "" && c.leader.cloudMachines.AllowCall(c.now, r.Machine) {
		c.effects = append(c.effects, WorkerCall{Machine: r.Machine, Addr: r.Addr, ProbeOnly: true})
	}
}

// noteAnswered records that a machine in no block has answered a call from this controller.
func (c *Core) noteAnswered(r *wire.Report) {
	if c.isLeader() && c.blockOf(r.Machine) == nil {
		c.leader.cloudMachines.MarkAnswered(c.now, wire.MachineInfo{
			Name:   r.Machine,
			Addr:   r.Addr,
			Type:   r.Type,
			Zone:   r.Zone,
			Spot:   r.Spot,
			Status: wire.MachineRunning,
		})
	}
}

// removeDeletedMachines removes machines that the cloud has deleted from their blocks. It reports
// whether there was anything to write.
func (c *Core) removeDeletedMachines() bool {
	leader := &c.leader
	conditions := []wire.Condition{c.leaderCondition()}
	var changes []wire.Change
	done := map[string]bool{}
	for _, name := range leader.cloudMachines.DeletedMachines() {
		id, inBlock := c.blockOfMachine[name]
		if !inBlock || done[id] || len(changes) >= c.params.MaxTxnOps {
			continue
		}
		done[id] = true
		block := c.blocks[id]
		rec := block.record
		rec.Machines = slices.DeleteFunc(slices.Clone(rec.Machines), func(bm wire.BlockMachine) bool { return leader.cloudMachines.IsDeleted(bm.Name) })
		conditions = append(conditions, wire.Condition{Key: blockKey(id), Version: block.version})
		if len(rec.Machines) == 0 {
			changes = append(changes, wire.Change{Delete: blockKey(id)})
		} else {
			changes = append(changes, wire.Change{Put: blockKey(id), Value: rec})
		}
	}
	if len(changes) > 0 {
		leader.writePending = true
		c.commit(LaneDeferred, conditions, changes, func(r StateReply) {
			leader.writePending = false
			c.mirrorChanged()
		})
		return true
	}
	leader.cloudMachines.ForgetOld(c.now)
	return false
}

// deleteMachines has the cloud delete the machines that holders dropped. A machine is removed from its
// block only after the cloud has confirmed that the machine and everything on it are gone.
func (c *Core) deleteMachines() {
	leader := &c.leader
	if leader.writePending {
		return
	}
	if leader.cloudMachines.HasDeleted() && c.dueEvery("gone", 100*time.Millisecond) && c.removeDeletedMachines() {
		return
	}
	if leader.deletingMachines || c.now < leader.cloudRetryAt {
		return
	}
	names := leader.cloudMachines.PendingDeletions(c.markedForDeletion, func(n string) bool { return c.blockOfMachine[n] != "" }, tuning.MaxDeleteMachines)
	if len(names) == 0 {
		return
	}
	leader.deletingMachines = true
	c.log(1, "deleting machines", "names", fmt.Sprint(names))
	c.callCloud(CloudCall{Op: OpDelete, Names: names}, func(r CloudReply) {
		leader.deletingMachines = false
		if r.Status != 200 {
			c.cloudFailed("delete", r)
			return
		}
		leader.cloudBackoff = 0
		leader.cloudMachines.MarkDeleted(c.now, names)
		c.mirrorChanged()
	})
}

// adoptMachines forms blocks of machines that are in no block.
func (c *Core) adoptMachines() {
	leader := &c.leader
	// Without the machine types every block counts as having no CPUs, and all base machines once
	// went to the same shard.
	if leader.writePending || !leader.cloudMachines.HasUnassigned() ||
		len(c.machineTypes) == 0 || len(c.shards) < len(c.params.NodeZones) ||
		!c.dueEvery("adopt", 200*time.Millisecond) || !c.canFormBlocks() {
		return
	}
	// The machine list may lag by up to twice the usual time.
	first := leader.shardsCreatedAt > 0 && c.now-leader.shardsCreatedAt < 2*c.params.CloudListLag && (len(c.blocks) == 0 || leader.adoptingBase)
	infos := leader.cloudMachines.PendingAdoptions(c.now, first, func(n string) bool { return c.blockOf(n) != nil })
	if leader.adoptingBase = first && len(infos) > 0; len(infos) == 0 {
		return
	}
	// Only machines found at the first start of the cluster are the operator's base machines. A stray
	// machine found later, after all others were returned, is not marked as base, because it would
	// never be returned and be paid for indefinitely.
	have := c.shardCPUs()
	c.writeBlocks(infos, first, false, func(b *wire.Block) {
		b.Shard = supply.LeastSupplied(c.shardCapacities(b.Zone, have))
		have[b.Shard] += c.blockCPUs(b)
	}, nil)
}
