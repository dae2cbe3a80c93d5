package core

import (
	"fmt"
	"sort"
	"time"

	"github.com/barrowbridge/barrowbridge/internal/placement"
	"github.com/barrowbridge/barrowbridge/internal/trail"
	"github.com/barrowbridge/barrowbridge/internal/tuning"
	"github.com/barrowbridge/barrowbridge/wire"
)

// leaderState is what only the leading controller keeps; it starts empty with
// each term, since all of it can be learned again.
type leaderState struct {
	claiming   bool
	since      Time // leading since; 0: not leading
	boot       uint64
	listing    bool
	listedAt   map[string]Time // machine -> last time a list had it
	strangers  map[string]wire.MachineInfo
	strangeAt  map[string]Time
	strangerUp map[string]bool // has reported to us
	firstList  bool
	deleting   bool
	dead       map[string]bool            // to be deleted: failed, or no longer listed
	goneReady  map[string]bool            // deleted in the cloud, to be taken out of its block
	renting    map[int]bool               // shards being served
	booked     map[int][]wire.MachineInfo // rented, not yet in a block
	pause      map[string]Time            // refused type/zone/kind
	writing    bool
	backoff    time.Duration
	cloudAt    Time
	typing     bool
	nodeUp     map[string]Time
	bookings   uint64
	standing   bool // the first machines, found when there was no block at all
	founded    Time // when this term made the shards: the cluster started for the first time; 0: it did not
}

func (l *leaderState) reset() {
	b := l.bookings // request names never repeat
	*l = leaderState{listedAt: map[string]Time{}, strangers: map[string]wire.MachineInfo{}, strangeAt: map[string]Time{}, strangerUp: map[string]bool{},
		dead: map[string]bool{}, goneReady: map[string]bool{}, renting: map[int]bool{}, booked: map[int][]wire.MachineInfo{}, pause: map[string]Time{}, nodeUp: map[string]Time{}, bookings: b}
}

// leading tells whether this life of this controller is the leader.
func (c *Core) leading() bool {
	return c.chief.Node == c.p.Node && c.chief.Boot == c.boot && c.boot != 0
}

// lead claims leadership where it is free, and does the leader's duties.
func (c *Core) lead() {
	l := &c.leader
	if !c.leading() {
		if l.since != 0 {
			c.note(wire.TrailEvent{Kind: trail.NoLongerLeading, Node: c.chief.Node})
			c.log(1, "no longer leading")
			l.reset()
		}
		// Free, or held by this node's earlier life, which is dead.
		if (c.chief.Node == "" || c.chief.Node == c.p.Node) && c.present && !l.claiming && c.every("claim", tuning.RetryAfter) {
			l.claiming = true
			c.commit(LaneFirst, []wire.Condition{{Key: wire.KeyLeader, Version: c.ver[wire.KeyLeader]}},
				[]wire.Change{{Put: wire.KeyLeader, Value: wire.Leader{Node: c.p.Node, Boot: c.boot}, Lease: c.grant}}, func(r StateReply) {
					l.claiming = false
					c.changed()
				})
		}
		return
	}
	if l.since == 0 {
		l.reset()
		l.since = c.now
		c.note(wire.TrailEvent{Kind: trail.Leading, Token: c.ver[wire.KeyLeader]})
		c.log(1, "leading", "revision", c.ver[wire.KeyLeader])
	}
	for n := range c.nodes {
		if _, ok := l.nodeUp[n]; !ok {
			l.nodeUp[n] = c.now
		}
	}
	for n := range l.nodeUp {
		if _, ok := c.nodes[n]; !ok {
			delete(l.nodeUp, n)
		}
	}
	c.homeShards()
	c.writeBooked()
	c.readTypes()
	c.readMachines()
	c.deleteMachines()
	c.adopt()
	c.serveWants()
}

func (c *Core) leaderCond() wire.Condition {
	return wire.Condition{Key: wire.KeyLeader, Version: c.ver[wire.KeyLeader]}
}

// homeShards makes the shards, and hands those of dead controllers on whole.
func (c *Core) homeShards() {
	l := &c.leader
	names := sortedKeys(c.p.Nodes)
	if len(c.shards) < len(names) {
		if l.writing || (len(c.nodes) < len(names) && c.now-l.since < tuning.ShardGrace) || !c.every("shards", tuning.RetryAfter) {
			return
		}
		teams := c.shareTeams(len(names))
		var when []wire.Condition
		var then []wire.Change
		when = append(when, c.leaderCond())
		for i, n := range names {
			if c.shards[i] != nil || len(then) >= c.p.TxnOps {
				continue
			}
			holder := n
			if _, up := c.nodes[n]; !up {
				holder = c.p.Node
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
			c.changed()
		})
		return
	}
	held := map[string]int{}
	for _, s := range c.shards {
		held[s.rec.Holder]++
	}
	for _, i := range c.shardIDs() {
		s := c.shards[i]
		n, up := c.nodes[s.rec.Holder]
		to := ""
		switch {
		case !up || (n.Boot != s.rec.Boot && c.now-l.nodeUp[s.rec.Holder] > tuning.GrantTTL):
			// Dead, or back without having retaken it. All of it goes to one successor.
			to = c.successor(s.rec.Home, held)
		case s.rec.Home != s.rec.Holder && held[s.rec.Home] == 0 && s.rec.Settled:
			if at, ok := l.nodeUp[s.rec.Home]; ok && c.now-at > tuning.HomeAfter {
				to = s.rec.Home
			}
		}
		if to != "" && (to != s.rec.Holder || c.nodes[to].Boot != s.rec.Boot) {
			c.takeShard(i, to, c.nodes[to].Boot)
			held[to]++
		}
	}
	c.addTeams()
}

// successor is the live controller with the fewest shards, in the same zone if
// there is one.
func (c *Core) successor(home string, held map[string]int) string {
	best, score := "", 0
	for _, n := range sortedKeys(c.nodes) {
		s := 2 * held[n]
		if c.nodes[n].Zone != c.p.Nodes[home] {
			s++
		}
		if n == home {
			s -= 4
		}
		if best == "" || s < score {
			best, score = n, s
		}
	}
	return best
}

// shareTeams spreads the teams over n shards by their guarantees.
func (c *Core) shareTeams(n int) [][]string {
	out := make([][]string, n)
	load := make([]float64, n)
	names := sortedKeys(c.p.Teams)
	sort.SliceStable(names, func(i, j int) bool { return c.p.Teams[names[i]].CPUs > c.p.Teams[names[j]].CPUs })
	for _, t := range names {
		k := 0
		for i := range load {
			if load[i] < load[k] {
				k = i
			}
		}
		out[k] = append(out[k], t)
		load[k] += c.p.Teams[t].CPUs + 1
	}
	return out
}

// addTeams homes teams that the settings have gained.
func (c *Core) addTeams() {
	for _, t := range sortedKeys(c.p.Teams) {
		if c.shardOf(t) >= 0 {
			continue
		}
		if !c.every("addTeams", tuning.RetryAfter) {
			return
		}
		best := 0
		for _, i := range c.shardIDs() {
			if len(c.shards[i].rec.Teams) < len(c.shards[best].rec.Teams) {
				best = i
			}
		}
		s := c.shards[best]
		rec := s.rec
		rec.Teams = append(append([]string(nil), rec.Teams...), t)
		c.commit(LaneFirst, []wire.Condition{c.leaderCond(), {Key: shardKey(best), Version: s.ver}}, []wire.Change{{Put: shardKey(best), Value: rec}}, func(StateReply) { c.changed() })
		return
	}
}

// cloudFailed slows the calls down after a failure.
func (c *Core) cloudFailed(what string, r CloudReply) {
	l := &c.leader
	l.backoff = min(max(2*l.backoff, tuning.RetryAfter), tuning.CloudBackoffMax)
	l.cloudAt = c.now + time.Duration(float64(l.backoff)*(1-tuning.Jitter*c.jitter.Float64()))
	c.note(wire.TrailEvent{Kind: trail.CloudFailed, Why: fmt.Sprintf("%s: status %d %s", what, r.Status, r.Err)})
	c.log(1, "cloud call failed", "call", what, "status", r.Status, "err", r.Err, "pause", l.backoff.String())
}

func (c *Core) readTypes() {
	l := &c.leader
	if l.typing || c.now < l.cloudAt || !c.every("types", tuning.TypesEvery) {
		return
	}
	l.typing = true
	c.cloud(CloudCall{Op: OpTypes}, func(r CloudReply) {
		l.typing = false
		if r.Status != 200 {
			c.retryAt["types"] = c.now + tuning.RetryAfter
			c.cloudFailed("machine types", r)
			return
		}
		l.backoff = 0
		if !c.leading() {
			return
		}
		for len(r.Types) > 0 {
			n := min(len(r.Types), c.p.TxnOps)
			var then []wire.Change
			for _, t := range r.Types[:n] {
				then = append(then, wire.Change{Put: wire.PrefixType + t.Name, Value: t})
			}
			r.Types = r.Types[n:]
			c.commit(LaneUser, []wire.Condition{c.leaderCond()}, then, func(r StateReply) {
				if r.Status != 200 {
					c.retryAt["types"] = c.now + tuning.RetryAfter
				}
				c.changed()
			})
		}
	})
}

// blockOf finds a machine's block.
func (c *Core) blockOf(name string) *blockEntry {
	if id, ok := c.blockIn[name]; ok {
		return c.blocks[id]
	}
	return nil
}

// readMachines follows the cloud's list: strangers in it are adopted, machines
// that failed or have left it are cleared away.
func (c *Core) readMachines() {
	l := &c.leader
	if l.listing || c.now < l.cloudAt || !c.every("list", tuning.ListEvery) {
		return
	}
	l.listing = true
	c.listPage("", map[string]wire.MachineInfo{})
}

func (c *Core) listPage(after string, all map[string]wire.MachineInfo) {
	l := &c.leader
	c.cloud(CloudCall{Op: OpMachines, After: after}, func(r CloudReply) {
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
		l.firstList = true
		in := map[string]bool{}
		for _, id := range c.blockIDs() {
			for _, bm := range c.blocks[id].rec.Machines {
				in[bm.Name] = true
				m, listed := all[bm.Name]
				at, seen := l.listedAt[bm.Name]
				switch {
				case listed && m.Status == wire.MachineFailed:
					c.dropNow(bm.Name)
				case listed:
					l.listedAt[bm.Name] = c.now
				case seen && c.now-at > 3*c.p.ListLag+2*time.Second:
					// Listed once and then not for longer than lists lag: gone.
					c.dropNow(bm.Name)
				}
			}
		}
		for _, n := range sortedKeys(all) {
			m := all[n]
			if _, known := l.strangeAt[n]; in[n] || c.leader.goneReady[n] {
				continue
			} else if !known {
				l.strangeAt[n] = c.now
			}
			l.strangers[n] = m
		}
		for n := range l.strangers {
			// In a block by now, or no longer listed: a machine that an earlier
			// leader deleted stays in lists for a while.
			if _, listed := all[n]; in[n] || !listed && !l.strangerUp[n] {
				delete(l.strangers, n)
				delete(l.strangeAt, n)
				delete(l.strangerUp, n)
			}
		}
		c.lead()
	})
}

// dropNow has a machine deleted that is already dead to us.
func (c *Core) dropNow(name string) {
	if !c.leader.goneReady[name] {
		c.leader.dead[name] = true
	}
}

// surprise is a report of a machine in no block, told by its worker.
func (c *Core) surprise(r *wire.Report) {
	l := &c.leader
	if !c.leading() || l.goneReady[r.Machine] {
		return
	}
	if _, ok := l.strangeAt[r.Machine]; !ok {
		l.strangeAt[r.Machine] = c.now
	}
	l.strangerUp[r.Machine] = true
	l.strangers[r.Machine] = wire.MachineInfo{Name: r.Machine, Addr: r.Addr, Type: r.Type, Zone: r.Zone, Spot: r.Spot, Status: wire.MachineRunning}
}

// deleteMachines gives back what holders dropped; a name leaves its block only
// after the cloud has said that the machine and all on it are gone.
func (c *Core) deleteMachines() {
	l := &c.leader
	if l.writing {
		return
	}
	if len(l.goneReady) > 0 && c.every("gone", 100*time.Millisecond) {
		when := []wire.Condition{c.leaderCond()}
		var then []wire.Change
		for _, id := range c.blockIDs() {
			b := c.blocks[id]
			rec := b.rec
			rec.Machines = nil
			for _, bm := range b.rec.Machines {
				if !l.goneReady[bm.Name] {
					rec.Machines = append(rec.Machines, bm)
				}
			}
			if len(rec.Machines) == len(b.rec.Machines) || len(then) >= c.p.TxnOps {
				continue
			}
			when = append(when, wire.Condition{Key: blockKey(id), Version: b.ver})
			if len(rec.Machines) == 0 {
				then = append(then, wire.Change{Delete: blockKey(id)})
			} else {
				then = append(then, wire.Change{Put: blockKey(id), Value: rec})
			}
		}
		if len(then) > 0 {
			l.writing = true
			c.commit(LaneLater, when, then, func(r StateReply) { l.writing = false; c.changed() })
			return
		}
		// Kept a while longer: old lists still name them.
		for n := range l.goneReady {
			if at, ok := l.strangeAt["gone:"+n]; ok && c.now-at > 4*c.p.ListLag {
				delete(l.goneReady, n)
				delete(l.strangeAt, "gone:"+n)
				delete(l.strangers, n)
				delete(l.strangeAt, n)
				delete(l.listedAt, n)
			}
		}
	}
	if l.deleting || c.now < l.cloudAt {
		return
	}
	var names []string
	for _, n := range sortedKeys(c.dropping) {
		if !l.goneReady[n] && len(names) < tuning.DeleteMax {
			names = append(names, n)
		}
	}
	for _, n := range sortedKeys(l.dead) {
		if c.blockIn[n] != "" && !c.dropping[n] && !l.goneReady[n] && len(names) < tuning.DeleteMax {
			names = append(names, n)
		}
	}
	for _, n := range sortedKeys(l.strangers) {
		if l.strangers[n].Status == wire.MachineFailed && !l.goneReady[n] && len(names) < tuning.DeleteMax {
			names = append(names, n)
		}
	}
	if len(names) == 0 {
		return
	}
	l.deleting = true
	c.log(1, "deleting machines", "names", fmt.Sprint(names))
	c.cloud(CloudCall{Op: OpDelete, Names: names}, func(r CloudReply) {
		l.deleting = false
		if r.Status != 200 {
			c.cloudFailed("delete", r)
			return
		}
		l.backoff = 0
		for _, n := range names {
			l.goneReady[n] = true
			l.strangeAt["gone:"+n] = c.now
			delete(l.dead, n)
			delete(l.strangers, n)
		}
		c.changed()
	})
}

// adopt puts machines that stand in no block into one.
func (c *Core) adopt() {
	l := &c.leader
	// Without the machine types all blocks weigh nothing, and all standing machines
	// went to one shard.
	if l.writing || !l.firstList || len(c.types) == 0 || len(c.shards) < len(c.p.Nodes) || len(l.strangers) == 0 || !c.every("adopt", 200*time.Millisecond) {
		return
	}
	// Lists lag by up to twice the usual time.
	first := l.founded > 0 && c.now-l.founded < 2*c.p.ListLag && (len(c.blocks) == 0 || l.standing)
	var names []string
	for _, n := range sortedKeys(l.strangers) {
		if c.blockOf(n) != nil {
			delete(l.strangers, n)
			delete(l.strangeAt, n)
			continue
		}
		grace := tuning.SurpriseGrace
		if !l.strangerUp[n] {
			grace = max(grace, 2*c.p.ListLag) // it may be gone, and listed still
		}
		if (first || c.now-l.strangeAt[n] > grace) && !l.goneReady[n] && l.strangers[n].Status != wire.MachineFailed {
			names = append(names, n)
		}
	}
	l.standing = first && len(names) > 0
	if len(names) == 0 {
		return
	}
	// Machines found when the cluster starts for the first time are the
	// operator's standing ones. A stray one found later, when all others have been
	// returned, is not: it would be paid for ever.
	var infos []wire.MachineInfo
	for _, n := range names {
		infos = append(infos, l.strangers[n])
	}
	have := c.shardCPUs()
	c.writeBlocks(infos, first, false, func(b *wire.Block) {
		b.Shard = c.poorest(b.Zone, have)
		have[b.Shard] += c.blockCPUs(b)
	}, nil)
}

// writeBlocks forms blocks of one type, zone and kind out of machines and
// writes as many as one transaction holds. Fresh machines have just been rented
// and have never been in a block.
func (c *Core) writeBlocks(infos []wire.MachineInfo, base, fresh bool, assign func(*wire.Block), done func(ok bool)) {
	l := &c.leader
	var blocks []wire.Block
	last, size := map[string]int{}, map[string]int{}
	kind := func(m wire.MachineInfo) string { return m.Type + "|" + m.Zone + "|" + fmt.Sprint(m.Spot) }
	for _, m := range infos {
		size[kind(m)]++
	}
	for k, n := range size {
		size[k] = min(max(n/tuning.BlocksAtOnce, tuning.BlockSize), tuning.BlockSizeMax)
	}
	for _, m := range infos {
		k, bm := kind(m), wire.BlockMachine{Name: m.Name, Fresh: fresh}
		if i, ok := last[k]; ok && len(blocks[i].Machines) < size[k] {
			blocks[i].Machines = append(blocks[i].Machines, bm)
			continue
		}
		last[k] = len(blocks)
		blocks = append(blocks, wire.Block{Type: m.Type, Zone: m.Zone, Spot: m.Spot, Base: base, Machines: []wire.BlockMachine{bm}})
	}
	l.writing = true
	var write func(rest []wire.Block, allOK bool)
	write = func(rest []wire.Block, allOK bool) {
		if len(rest) == 0 || !c.leading() {
			l.writing = false
			if done != nil {
				done(allOK && len(rest) == 0)
			}
			c.changed()
			return
		}
		n := min(len(rest), max(1, c.p.TxnOps/2))
		when := []wire.Condition{c.leaderCond()}
		var then []wire.Change
		for k := range rest[:n] {
			assign(&rest[k])
			id := c.newBlockID(rest[k].Machines[0].Name)
			when = append(when, wire.Condition{Key: blockKey(id)})
			then = append(then, wire.Change{Put: blockKey(id), Value: rest[k]})
		}
		c.commit(LaneUser, when, then, func(r StateReply) {
			for _, b := range rest[:n] {
				c.log(1, "block formed", "first", b.Machines[0].Name, "shard", b.Shard, "zone", b.Zone, "machines", len(b.Machines), "spot", b.Spot, "status", r.Status)
			}
			if r.Status == 429 || r.Status == 503 {
				// Not executed: the machines stay strangers until it works.
				allOK = false
			}
			write(rest[n:], allOK && r.Status == 200)
		})
	}
	write(blocks, true)
}

// newBlockID names a block after its first machine. A block outlives that machine
// if others are in it, and a late list may bring the machine's name back: with
// the same id twice, the leader once tried for minutes to form a block in vain.
func (c *Core) newBlockID(machine string) string {
	id := machine
	for i := 2; c.blocks[id] != nil; i++ {
		id = fmt.Sprintf("%s.%d", machine, i)
	}
	return id
}

// poorest is the shard with the fewest machines for its teams' guarantees,
// among those held in the zone if any is.
func (c *Core) poorest(zone string, have map[int]float64) int {
	best, score := -1, 0.0
	for _, i := range c.shardIDs() {
		s := (have[i] + 0.001) / (c.guarantee(i) + 0.001)
		if c.p.Nodes[c.shards[i].rec.Holder] == zone {
			s *= 0.7
		}
		if best < 0 || s < score {
			best, score = i, s
		}
	}
	return best
}

// serveWants gives shards the machines they ask for: idle blocks of others
// first, then rented ones.
func (c *Core) serveWants() {
	l := &c.leader
	if l.writing || len(c.types) == 0 {
		return
	}
	for _, i := range c.shardIDs() {
		w, ok := c.wants[i]
		if !ok || len(w.Needs) == 0 || l.renting[i] || c.shards[i] == nil {
			continue
		}
		if w.Seen < c.newestBlock(i) {
			continue // asked before it knew of what it has
		}
		for _, n := range w.Needs {
			if c.moveIdle(i, n) || (!n.Booting && c.rent(i, n)) {
				return
			}
		}
	}
}

// moveIdle moves an idle block, which its holder has promised to keep empty.
func (c *Core) moveIdle(shard int, n wire.Need) bool {
	l := &c.leader
	for _, id := range c.blockIDs() {
		b := c.blocks[id]
		if !b.rec.Idle || b.rec.Shard == shard || !c.serves(b, n) {
			continue
		}
		rec := b.rec
		rec.Shard, rec.Idle = shard, false
		from := b.rec.Shard
		l.writing = true
		l.renting[shard] = true
		c.commit(LaneUser, []wire.Condition{c.leaderCond(), {Key: blockKey(id), Version: b.ver}}, []wire.Change{{Put: blockKey(id), Value: rec}}, func(r StateReply) {
			l.writing = false
			delete(l.renting, shard)
			if r.Status == 200 {
				c.noteShard(trail.BlockMoved, shard, wire.TrailEvent{Block: id, Why: fmt.Sprintf("idle in shard %d", from)})
			}
			c.log(1, "idle block moved", "block", id, "from", from, "to", shard, "status", r.Status)
			c.changed()
		})
		return true
	}
	return false
}

// offering is one way to rent.
type offering struct {
	typ, zone string
	spot      bool
	price     float64
	away      bool
}

// rent books machines for a need, the cheapest per task first, near the
// shard's holder before elsewhere.
func (c *Core) rent(shard int, n wire.Need) bool {
	l := &c.leader
	if c.now < l.cloudAt {
		return false
	}
	zone := c.p.Nodes[c.shards[shard].rec.Holder]
	ask := needSize(n)
	var offers []offering
	for _, name := range sortedKeys(c.types) {
		t := c.types[name]
		full, _ := c.sizeOf(name)
		if !allowsType(n.Types, name) || !placement.Fits(full, ask) {
			continue
		}
		per := float64(placement.Beta(full, ask) + 1)
		for _, z := range t.Zones {
			if n.Zone != "" && z != n.Zone {
				continue
			}
			offers = append(offers, offering{name, z, false, t.Price / per, z != zone})
			if n.Spot && c.settings.Spot && t.SpotPrice > 0 && t.SpotPrice < t.Price {
				offers = append(offers, offering{name, z, true, t.SpotPrice / per, z != zone})
			}
		}
	}
	sort.SliceStable(offers, func(i, j int) bool {
		if offers[i].price != offers[j].price {
			return offers[i].price < offers[j].price
		}
		return !offers[i].away && offers[j].away
	})
	for _, o := range offers {
		key := fmt.Sprintf("%s|%s|%v", o.typ, o.zone, o.spot)
		if c.now < l.pause[key] {
			continue
		}
		full, _ := c.sizeOf(o.typ)
		per := placement.Beta(full, ask) + 1
		count := min((n.Tasks+per-1)/per, tuning.RentMax)
		l.bookings++
		req := wire.RentRequest{Request: fmt.Sprintf("%s-%d-%d", c.p.Node, c.boot, l.bookings), Type: o.typ, Zone: o.zone, Spot: o.spot, Count: count}
		l.renting[shard] = true
		c.noteShard(trail.Rented, shard, wire.TrailEvent{Count: count, Why: fmt.Sprintf("%d tasks of %g cpus find no machine", n.Tasks, n.CPUs)})
		c.log(1, "renting", "shard", shard, "type", o.typ, "zone", o.zone, "spot", o.spot, "count", count, "booking", req.Request)
		c.book(shard, key, req, 0)
		return true
	}
	return false
}

// book sends a rental until it has a definite answer: the same name yields the
// same machines, so that none is rented twice or lost.
func (c *Core) book(shard int, key string, req wire.RentRequest, tries int) {
	l := &c.leader
	term := l.since
	c.cloud(CloudCall{Op: OpRent, Rent: req}, func(r CloudReply) {
		if !c.leading() || l.since != term {
			return // the next leader finds the machines in the list
		}
		switch {
		case r.Status == 200:
			l.backoff = 0
			if len(r.Names) < req.Count {
				l.pause[key] = c.now + tuning.NoCapacityPause
			}
			var infos []wire.MachineInfo
			for _, n := range r.Names {
				infos = append(infos, wire.MachineInfo{Name: n, Type: req.Type, Zone: req.Zone, Spot: req.Spot})
			}
			if len(infos) == 0 {
				delete(l.renting, shard)
				return
			}
			l.booked[shard] = infos
			c.lead()
		case r.Status == 503 && r.Err == "no capacity":
			l.pause[key] = c.now + tuning.NoCapacityPause
			delete(l.renting, shard)
			c.noteShard(trail.RentRefused, shard, wire.TrailEvent{Why: "no capacity for " + req.Type + " in " + req.Zone})
			c.log(1, "no capacity", "type", req.Type, "zone", req.Zone, "spot", req.Spot)
			c.lead()
		case r.Status == 400:
			c.log(0, "rental refused as malformed", "booking", req.Request, "err", r.Err)
			l.pause[key] = c.now + tuning.NoCapacityPause
			delete(l.renting, shard)
		case (r.Status == 429 || r.Status == 503) && tries == 0:
			// Surely not executed.
			c.cloudFailed("rent", r)
			delete(l.renting, shard)
		default:
			c.cloudFailed("rent", r)
			if tries < 20 {
				c.book(shard, key, req, tries+1)
			} else {
				delete(l.renting, shard)
			}
		}
	})
}

// writeBooked forms blocks of the machines just rented, shard by shard.
func (c *Core) writeBooked() {
	l := &c.leader
	for _, shard := range c.shardIDs() {
		infos := l.booked[shard]
		if len(infos) == 0 || l.writing || !c.every("booked", 50*time.Millisecond) {
			continue
		}
		var rest []wire.MachineInfo
		for _, m := range infos {
			if c.blockOf(m.Name) == nil {
				rest = append(rest, m)
			}
		}
		l.booked[shard] = rest
		if len(rest) == 0 {
			delete(l.booked, shard)
			delete(l.renting, shard)
			continue
		}
		to := shard
		c.writeBlocks(rest, false, true, func(b *wire.Block) { b.Shard = to }, func(ok bool) {
			if !ok { // tried again with what still stands in no block
				c.retryAt["booked"] = c.now + tuning.RetryAfter
			}
		})
	}
}
