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

// leaderState is what only the leading controller keeps; it starts empty with
// each term, since all of it can be learned again.
type leaderState struct {
	listing  bool
	known    *inventory.Book // the cloud's machines
	deleting bool
	renting  map[int]bool               // shards being served
	booked   map[int][]wire.MachineInfo // rented, not yet in a block
	pause    map[string]Time            // refused type/zone/kind
	writing  bool
	backoff  time.Duration
	cloudAt  Time
	typing   bool
	tidying  bool
	nodeUp   map[string]Time
	bookings uint64
	standing bool // the first machines, found when there was no block at all
	founded  Time // when this term made the shards: the cluster started for the first time; 0: it did not
}

func (l *leaderState) reset(listLag time.Duration) {
	b := l.bookings // request names never repeat
	*l = leaderState{known: inventory.New(inventory.Limits{Lag: listLag, Gone: 3*listLag + tuning.GoneAfter, Grace: tuning.SurpriseGrace, Again: tuning.SurpriseAgain}),
		renting: map[int]bool{}, booked: map[int][]wire.MachineInfo{}, pause: map[string]Time{}, nodeUp: map[string]Time{}, bookings: b}
}

// leading tells whether this life of this controller is the leader.
func (c *Core) leading() bool {
	return c.leaderRecord.Node == c.params.Node && c.leaderRecord.Boot == c.presence.Boot() && c.presence.Boot() != 0
}

// lead claims leadership where it is free, and does the leader's duties.
func (c *Core) lead() {
	l := &c.leader
	began, ended := c.term.ObserveLeader(c.now, c.leading(), c.versions.Of(wire.KeyLeader))
	if !c.leading() {
		if ended {
			c.recordEvent(wire.TrailEvent{Kind: trail.NoLongerLeading, Node: c.leaderRecord.Node})
			c.log(1, "no longer leading")
			l.reset(c.params.CloudListLag)
		}
		// Free, or held by this node's earlier life, which is dead.
		if c.term.StartClaim(c.now, (c.leaderRecord.Node == "" || c.leaderRecord.Node == c.params.Node) && c.presence.Registered()) {
			c.commit(LaneFirst, []wire.Condition{{Key: wire.KeyLeader, Version: c.versions.Of(wire.KeyLeader)}},
				[]wire.Change{{Put: wire.KeyLeader, Value: wire.Leader{Node: c.params.Node, Boot: c.presence.Boot()}, Lease: c.presence.StateLease()}}, func(r StateReply) {
					c.term.WriteFinished()
					c.mirrorChanged()
				})
		}
		return
	}
	if began {
		l.reset(c.params.CloudListLag)
		c.recordEvent(wire.TrailEvent{Kind: trail.Leading, Token: c.versions.Of(wire.KeyLeader)})
		c.log(1, "leading", "revision", c.versions.Of(wire.KeyLeader))
	}
	for n := range c.nodes {
		if _, ok := l.nodeUp[n]; !ok {
			l.nodeUp[n] = c.now
		}
	}
	maps.DeleteFunc(l.nodeUp, func(n string, _ Time) bool { _, up := c.nodes[n]; return !up })
	c.homeShards()
	c.writeBooked()
	c.readTypes()
	c.readMachines()
	c.deleteMachines()
	c.adopt()
	c.rentAhead()
	c.serveWants()
	c.tidyDone()
}

func (c *Core) leaderCond() wire.Condition {
	return wire.Condition{Key: wire.KeyLeader, Version: c.versions.Of(wire.KeyLeader)}
}

// fenced tells whether blocks may be formed: no write of ours that forms others can be executed
// any more, and the mirror holds all that were. Such a write compares the leader record and that
// its blocks do not exist; executed late, after its machines had been put into blocks of other
// names, it put them into two blocks, each with a holder. So after one without an answer the
// leader record is written anew, which fails whatever compares the old one.
func (c *Core) fenced() bool {
	ok, renew := c.term.Fenced(c.now, c.mirrorRevision, c.presence.Registered())
	if !renew {
		return ok
	}
	c.log(1, "a write that forms blocks got no answer, the leader record is written anew")
	c.commit(LaneFirst, []wire.Condition{c.leaderCond()}, []wire.Change{{Put: wire.KeyLeader, Value: c.leaderRecord, Lease: c.presence.StateLease()}}, func(r StateReply) {
		c.term.FenceWritten(r.Status == 200, r.Txn.Revision)
		c.mirrorChanged()
	})
	return false
}

// homeShards makes the shards, and hands those of dead controllers on whole.
func (c *Core) homeShards() {
	l := &c.leader
	names := sortedKeys(c.params.NodeZones)
	if len(c.shards) < len(names) {
		if l.writing || (len(c.nodes) < len(names) && c.now-c.term.Since() < tuning.ShardGrace) || !c.dueEvery("shards", tuning.RetryAfter) {
			return
		}
		guarantees := map[string]float64{}
		for n, t := range c.params.Teams {
			guarantees[n] = t.CPUs
		}
		teams := assignment.AssignTeams(guarantees, len(names))
		var when []wire.Condition
		var then []wire.Change
		when = append(when, c.leaderCond())
		for i, n := range names {
			if c.shards[i] != nil || len(then) >= c.params.MaxTxnOps {
				continue
			}
			holder := n
			if _, up := c.nodes[n]; !up {
				holder = c.params.Node
			}
			when = append(when, wire.Condition{Key: shardKey(i)})
			then = append(then, wire.Change{Put: shardKey(i), Value: wire.Shard{Holder: holder, Boot: c.nodes[holder].Boot, Home: n, Teams: teams[i], Known: true}})
		}
		l.writing = true
		c.commit(LaneFirst, when, then, func(r StateReply) {
			l.writing = false
			if r.Status == 200 {
				l.founded = c.now
			}
			c.mirrorChanged()
		})
		return
	}
	held := c.shardCounts()
	for _, i := range c.shardIDs() {
		s := c.shards[i]
		n, up := c.nodes[s.record.Holder]
		to := ""
		switch {
		case !up || (n.Boot != s.record.Boot && c.now-l.nodeUp[s.record.Holder] > tuning.GrantTTL):
			// Dead, or back without having retaken it. All of it goes to one successor.
			to = assignment.Successor(s.record.Home, c.params.NodeZones, c.assignments.Members(c.now, c.self(), i, held))
		case s.record.Home != s.record.Holder:
			if at, here := l.nodeUp[s.record.Home]; here && c.assignments.MayReturnHome(c.now, c.self(), i, &s.record, at, held[s.record.Home]) {
				to = s.record.Home
			}
		}
		if to != "" && (to != s.record.Holder || c.nodes[to].Boot != s.record.Boot) {
			// A leader that has stood still believes so until it hears otherwise: without the
			// comparison it took its shard back from its successor, for 10 ms.
			c.assignShard(i, to, c.nodes[to].Boot, c.leaderCond())
			held[to]++
		}
	}
	c.addTeams()
}

// addTeams homes teams that the settings have gained.
func (c *Core) addTeams() {
	for _, t := range sortedKeys(c.params.Teams) {
		if c.shardOfTeam(t) >= 0 {
			continue
		}
		if !c.dueEvery("addTeams", tuning.RetryAfter) {
			return
		}
		best := 0
		for _, i := range c.shardIDs() {
			if len(c.shards[i].record.Teams) < len(c.shards[best].record.Teams) {
				best = i
			}
		}
		s := c.shards[best]
		rec := s.record
		rec.Teams = append(append([]string(nil), rec.Teams...), t)
		c.commit(LaneFirst, []wire.Condition{c.leaderCond(), {Key: shardKey(best), Version: s.version}}, []wire.Change{{Put: shardKey(best), Value: rec}}, func(StateReply) { c.mirrorChanged() })
		return
	}
}

// cloudFailed slows the calls down after a failure.
func (c *Core) cloudFailed(what string, r CloudReply) {
	l := &c.leader
	l.backoff = min(max(2*l.backoff, tuning.RetryAfter), tuning.CloudBackoffMax)
	l.cloudAt = c.now + time.Duration(float64(l.backoff)*(1-tuning.Jitter*c.jitter.Float64()))
	c.recordEvent(wire.TrailEvent{Kind: trail.CloudFailed, Why: fmt.Sprintf("%s: status %d %s", what, r.Status, r.Err)})
	c.log(1, "cloud call failed", "call", what, "status", r.Status, "err", r.Err, "pause", l.backoff.String())
}

func (c *Core) readTypes() {
	l := &c.leader
	if l.typing || c.now < l.cloudAt || !c.dueEvery("types", tuning.TypesEvery) {
		return
	}
	l.typing = true
	c.callCloud(CloudCall{Op: OpTypes}, func(r CloudReply) {
		l.typing = false
		if r.Status != 200 {
			c.notBefore["types"] = c.now + tuning.RetryAfter
			c.cloudFailed("machine types", r)
			return
		}
		l.backoff = 0
		if !c.leading() {
			return
		}
		for len(r.Types) > 0 {
			n := min(len(r.Types), c.params.MaxTxnOps)
			var then []wire.Change
			for _, t := range r.Types[:n] {
				then = append(then, wire.Change{Put: wire.PrefixType + t.Name, Value: t})
			}
			r.Types = r.Types[n:]
			c.commit(LaneUser, []wire.Condition{c.leaderCond()}, then, func(r StateReply) {
				if r.Status != 200 {
					c.notBefore["types"] = c.now + tuning.RetryAfter
				}
				c.mirrorChanged()
			})
		}
	})
}

// blockOf finds a machine's block.
func (c *Core) blockOf(name string) *blockEntry {
	if id, ok := c.blockOfMachine[name]; ok {
		return c.blocks[id]
	}
	return nil
}

// readMachines follows the cloud's list: strangers in it are adopted, machines
// that failed or have left it are cleared away.
func (c *Core) readMachines() {
	l := &c.leader
	if l.listing || c.now < l.cloudAt || !c.dueEvery("list", tuning.ListEvery) {
		return
	}
	l.listing = true
	c.listPage("", map[string]wire.MachineInfo{})
}

func (c *Core) listPage(after string, all map[string]wire.MachineInfo) {
	l := &c.leader
	c.callCloud(CloudCall{Op: OpMachines, After: after}, func(r CloudReply) {
		if r.Status != 200 {
			l.listing = false
			c.cloudFailed("machine list", r)
			return
		}
		l.backoff = 0
		for _, m := range r.List.Machines {
			all[m.Name] = m
			after = m.Name
		}
		if r.List.More && len(r.List.Machines) > 0 {
			c.listPage(after, all)
			return
		}
		l.listing = false
		if !c.leading() {
			return
		}
		c.learnAddresses(all)
		in := map[string]bool{}
		for _, b := range c.blocks {
			for _, bm := range b.record.Machines {
				in[bm.Name] = true
			}
		}
		l.known.Read(c.now, all, in)
		c.lead()
	})
}

// surprise is a report of a machine in no block, told by its worker.
func (c *Core) surprise(r *wire.Report) {
	if c.leading() && r.Addr != "" && c.leader.known.Came(c.now, r.Machine) {
		c.effects = append(c.effects, Order{Machine: r.Machine, Addr: r.Addr, Look: true})
	}
}

// lives takes note that a machine in no block has answered a call of ours.
func (c *Core) lives(r *wire.Report) {
	if c.leading() && c.blockOf(r.Machine) == nil {
		c.leader.known.Lives(c.now, wire.MachineInfo{Name: r.Machine, Addr: r.Addr, Type: r.Type, Zone: r.Zone, Spot: r.Spot, Status: wire.MachineRunning})
	}
}

// takeOutGone takes machines that the cloud has deleted out of their blocks, and tells
// whether there was something to write.
func (c *Core) takeOutGone() bool {
	l := &c.leader
	when := []wire.Condition{c.leaderCond()}
	var then []wire.Change
	done := map[string]bool{}
	for _, n := range l.known.AllGone() {
		id, in := c.blockOfMachine[n]
		if !in || done[id] || len(then) >= c.params.MaxTxnOps {
			continue
		}
		done[id] = true
		b := c.blocks[id]
		rec := b.record
		rec.Machines = slices.DeleteFunc(slices.Clone(rec.Machines), func(bm wire.BlockMachine) bool { return l.known.Gone(bm.Name) })
		when = append(when, wire.Condition{Key: blockKey(id), Version: b.version})
		if len(rec.Machines) == 0 {
			then = append(then, wire.Change{Delete: blockKey(id)})
		} else {
			then = append(then, wire.Change{Put: blockKey(id), Value: rec})
		}
	}
	if len(then) > 0 {
		l.writing = true
		c.commit(LaneLater, when, then, func(r StateReply) { l.writing = false; c.mirrorChanged() })
		return true
	}
	l.known.Forget(c.now)
	return false
}

// deleteMachines gives back what holders dropped; a name leaves its block only
// after the cloud has said that the machine and all on it are gone.
func (c *Core) deleteMachines() {
	l := &c.leader
	if l.writing {
		return
	}
	if l.known.AnyGone() && c.dueEvery("gone", 100*time.Millisecond) && c.takeOutGone() {
		return
	}
	if l.deleting || c.now < l.cloudAt {
		return
	}
	names := l.known.ToDelete(c.markedForDeletion, func(n string) bool { return c.blockOfMachine[n] != "" }, tuning.DeleteMax)
	if len(names) == 0 {
		return
	}
	l.deleting = true
	c.log(1, "deleting machines", "names", fmt.Sprint(names))
	c.callCloud(CloudCall{Op: OpDelete, Names: names}, func(r CloudReply) {
		l.deleting = false
		if r.Status != 200 {
			c.cloudFailed("delete", r)
			return
		}
		l.backoff = 0
		l.known.Deleted(c.now, names)
		c.mirrorChanged()
	})
}

// adopt puts machines that stand in no block into one.
func (c *Core) adopt() {
	l := &c.leader
	// Without the machine types all blocks weigh nothing, and all standing machines
	// went to one shard.
	if l.writing || !l.known.Strangers() || len(c.machineTypes) == 0 || len(c.shards) < len(c.params.NodeZones) || !c.dueEvery("adopt", 200*time.Millisecond) || !c.fenced() {
		return
	}
	// Lists lag by up to twice the usual time.
	first := l.founded > 0 && c.now-l.founded < 2*c.params.CloudListLag && (len(c.blocks) == 0 || l.standing)
	infos := l.known.Adopt(c.now, first, func(n string) bool { return c.blockOf(n) != nil })
	if l.standing = first && len(infos) > 0; len(infos) == 0 {
		return
	}
	// Machines found when the cluster starts for the first time are the
	// operator's standing ones. A stray one found later, when all others have been
	// returned, is not: it would be paid for ever.
	have := c.shardCPUs()
	c.writeBlocks(infos, first, false, func(b *wire.Block) {
		b.Shard = supply.LeastSupplied(c.richness(b.Zone, have))
		have[b.Shard] += c.blockCPUs(b)
	}, nil)
}
