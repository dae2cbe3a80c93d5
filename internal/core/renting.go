package core

import (
	"cmp"
	"fmt"
	"slices"
	"time"

	"github.com/barrowbridge/barrowbridge/internal/boot"
	"github.com/barrowbridge/barrowbridge/internal/supply"
	"github.com/barrowbridge/barrowbridge/internal/trail"
	"github.com/barrowbridge/barrowbridge/internal/tuning"
	"github.com/barrowbridge/barrowbridge/wire"
)

// writeBlocks forms blocks of one type, zone and kind out of machines and
// writes as many as one transaction holds. Fresh machines have just been rented
// and have never been in a block.
func (c *Core) writeBlocks(infos []wire.MachineInfo, base, fresh bool, assign func(*wire.Block), done func(ok bool)) {
	l := &c.leader
	blocks := supply.Blocks(infos, supply.BlockSizes{Least: tuning.BlockSize, Most: tuning.BlockSizeMax, AtOnce: tuning.BlocksAtOnce}, base, fresh)
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
		n := min(len(rest), c.form.Bounds().Short(tuning.ShortOps))
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
			l.unsure = l.unsure || r.Status == 0
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
	type need struct {
		shard int
		n     wire.Need
	}
	var open []need
	for _, i := range c.shardIDs() {
		w := c.wantOf(i)
		if len(w.Needs) == 0 || l.renting[i] {
			continue
		}
		if w.Seen < c.newestBlock(i) {
			continue // asked before it knew of what it has
		}
		// Rented and not yet in a block: the holder does not know of them. To wait for
		// their blocks before renting more took ten seconds where changes were short.
		coming := c.booked(i)
		for _, n := range w.Needs {
			if !n.Booting {
				n.Tasks -= coming.Take(supply.AskOf(n), n.Tasks)
			}
			if n.Tasks > 0 {
				open = append(open, need{i, n})
			}
		}
	}
	// What one shard lacks for an upper rung goes before what another lacks for routine work.
	slices.SortStableFunc(open, func(a, b need) int { return cmp.Compare(b.n.Rung, a.n.Rung) })
	for _, x := range open {
		if c.moveIdle(x.shard, x.n) || !x.n.Booting && c.rent(x.shard, x.n) {
			return
		}
	}
}

// booked is the room of a shard's machines that are rented and stand in no block yet.
func (c *Core) booked(shard int) (p supply.Pool) {
	for _, info := range c.leader.booked[shard] {
		if full, ok := c.sizeOf(info.Type); ok && c.blockOf(info.Name) == nil {
			p = append(p, supply.Room{Type: info.Type, Zone: info.Zone, Spot: info.Spot, Free: full})
		}
	}
	return p
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

// rent books machines for a need, the cheapest per task first, near the
// shard's holder before elsewhere.
func (c *Core) rent(shard int, n wire.Need) bool {
	l := &c.leader
	if c.now < l.cloudAt {
		return false
	}
	offers := supply.Offers(c.types, n, c.p.Nodes[c.shards[shard].rec.Holder], c.settings.Spot)
	var best *supply.Offer
	chance := 0.0
	for k := range offers {
		o := &offers[k]
		if c.now < l.pause[offerKey(o)] {
			continue
		}
		if count := c.boots.Ask(c.now, kindOf(o), o.Machines(n.Tasks, tuning.RentMax)); count > 0 {
			c.rentOf(shard, o, count, n)
			return true
		}
		if p := c.boots.Fresh(c.now, kindOf(o)); p > chance {
			best, chance = o, p
		}
	}
	if best == nil {
		return false
	}
	// No kind can be trusted, and one of each is on its way: what is needed is asked for
	// all the same, half of it at a time. It may be late everywhere.
	c.rentOf(shard, best, (best.Machines(n.Tasks, tuning.RentMax)+1)/2, n)
	return true
}

func kindOf(o *supply.Offer) boot.Kind { return boot.Kind{Type: o.Type, Zone: o.Zone, Spot: o.Spot} }

func offerKey(o *supply.Offer) string { return fmt.Sprintf("%s|%s|%v", o.Type, o.Zone, o.Spot) }

func (c *Core) rentOf(shard int, o *supply.Offer, count int, n wire.Need) {
	l := &c.leader
	l.bookings++
	req := wire.RentRequest{Request: fmt.Sprintf("%s-%d-%d", c.p.Node, c.boot, l.bookings), Type: o.Type, Zone: o.Zone, Spot: o.Spot, Count: count}
	l.renting[shard] = true
	c.noteShard(trail.Rented, shard, wire.TrailEvent{Count: count, Why: fmt.Sprintf("%d tasks of %g cpus find no machine", n.Tasks, n.CPUs)})
	c.log(1, "renting", "shard", shard, "type", o.Type, "zone", o.Zone, "spot", o.Spot, "count", count, "booking", req.Request)
	c.book(shard, offerKey(o), req, 0)
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
			l.booked[shard] = append(l.booked[shard], infos...)
			c.rentedAhead(req.Request)
			c.bookedOf(infos)
			delete(l.renting, shard)
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
		if len(infos) == 0 || l.writing || !c.every("booked", 50*time.Millisecond) || !c.fenced() {
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
