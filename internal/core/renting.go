package core

import (
	"fmt"
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
	blocks := supply.FormBlocks(infos, supply.BlockSizes{Min: tuning.BlockSize, Max: tuning.BlockSizeMax, BlocksPerBatch: tuning.BlocksAtOnce}, base, fresh)
	l.writing = true
	var write func(rest []wire.Block, allOK bool)
	write = func(rest []wire.Block, allOK bool) {
		if len(rest) == 0 || !c.leading() {
			l.writing = false
			if done != nil {
				done(allOK && len(rest) == 0)
			}
			c.mirrorChanged()
			return
		}
		n := min(len(rest), c.writeLimits.Bounds().Short(tuning.ShortOps))
		when := []wire.Condition{c.leaderCond()}
		var then []wire.Change
		for k := range rest[:n] {
			assign(&rest[k])
			id := supply.NewBlockID(rest[k].Machines[0].Name, func(id string) bool { return c.blocks[id] != nil })
			when = append(when, wire.Condition{Key: blockKey(id)})
			then = append(then, wire.Change{Put: blockKey(id), Value: rest[k]})
		}
		c.commit(LaneUser, when, then, func(r StateReply) {
			for _, b := range rest[:n] {
				c.log(1, "block formed", "first", b.Machines[0].Name, "shard", b.Shard, "zone", b.Zone, "machines", len(b.Machines), "spot", b.Spot, "status", r.Status)
			}
			if r.Status == 0 {
				c.term.WriteUncertain()
			}
			write(rest[n:], allOK && r.Status == 200)
		})
	}
	write(blocks, true)
}

// richness is what each shard has for its teams' guarantees, as machines of a zone see it.
func (c *Core) richness(zone string, have map[int]float64) (list []supply.Shard) {
	for _, i := range c.shardIDs() {
		list = append(list, supply.Shard{Index: i, HaveCPUs: have[i], GuaranteedCPUs: c.guarantee(i), SameZone: c.params.NodeZones[c.shards[i].record.Holder] == zone})
	}
	return list
}

// serveWants gives shards the machines they ask for: idle blocks of others
// first, then rented ones.
func (c *Core) serveWants() {
	l := &c.leader
	if l.writing || len(c.machineTypes) == 0 {
		return
	}
	var open []supply.Shortage
	for _, i := range c.shardIDs() {
		w := c.shardDemand(i)
		if len(w.Needs) == 0 || l.renting[i] || w.Seen < c.latestBlockRevision(i) {
			continue // served, or asked before it knew of what it has
		}
		// Rented and not yet in a block: the holder does not know of them. To wait for
		// their blocks before renting more took ten seconds where changes were short.
		open = append(open, supply.Shortages(i, w.Needs, c.booked(i))...)
	}
	supply.SortByTier(open)
	for _, x := range open {
		if c.moveIdle(x.Shard, x.Need) || !x.Need.Booting && c.rent(x.Shard, x.Need) {
			return
		}
	}
}

// booked is the room of a shard's machines that are rented and stand in no block yet.
func (c *Core) booked(shard int) (p supply.Pool) {
	for _, info := range c.leader.booked[shard] {
		if full, ok := c.machineSize(info.Type); ok && c.blockOf(info.Name) == nil {
			p = append(p, supply.Capacity{Type: info.Type, Zone: info.Zone, Spot: info.Spot, Free: full})
		}
	}
	return p
}

// moveIdle moves an idle block, which its holder has promised to keep empty.
func (c *Core) moveIdle(shard int, n wire.Need) bool {
	l := &c.leader
	for _, id := range c.blockIDs() {
		b := c.blocks[id]
		if !b.record.Idle || b.record.Shard == shard || !c.blockServes(b, n) {
			continue
		}
		rec := b.record
		rec.Shard, rec.Idle = shard, false
		from := b.record.Shard
		l.writing = true
		l.renting[shard] = true
		c.commit(LaneUser, []wire.Condition{c.leaderCond(), {Key: blockKey(id), Version: b.version}}, []wire.Change{{Put: blockKey(id), Value: rec}}, func(r StateReply) {
			l.writing = false
			delete(l.renting, shard)
			if r.Status == 200 {
				c.recordShardEvent(trail.BlockMoved, shard, wire.TrailEvent{Block: id, Why: fmt.Sprintf("idle in shard %d", from)})
			}
			c.log(1, "idle block moved", "block", id, "from", from, "to", shard, "status", r.Status)
			c.mirrorChanged()
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
	var offers []supply.Offer
	var asks []boot.Ask
	for _, o := range supply.Offers(c.machineTypes, n, c.params.NodeZones[c.shards[shard].record.Holder], c.settings.Spot) {
		if c.now >= l.pause[o.Key()] {
			offers = append(offers, o)
			asks = append(asks, boot.Ask{Kind: boot.Kind{Type: o.Type, Zone: o.Zone, Spot: o.Spot}, Count: o.MachineCount(n.Tasks, tuning.RentMax)})
		}
	}
	k, count := c.provisioning.Choose(c.now, asks)
	if k < 0 {
		return false
	}
	c.rentOf(shard, &offers[k], count, n)
	return true
}

func (c *Core) rentOf(shard int, o *supply.Offer, count int, n wire.Need) {
	l := &c.leader
	l.bookings++
	req := wire.RentRequest{Request: fmt.Sprintf("%s-%d-%d", c.params.Node, c.presence.Boot(), l.bookings), Type: o.Type, Zone: o.Zone, Spot: o.Spot, Count: count}
	l.renting[shard] = true
	c.recordShardEvent(trail.Rented, shard, wire.TrailEvent{Count: count, Why: fmt.Sprintf("%d tasks of %g cpus find no machine", n.Tasks, n.CPUs)})
	c.log(1, "renting", "shard", shard, "type", o.Type, "zone", o.Zone, "spot", o.Spot, "count", count, "booking", req.Request)
	c.book(shard, o.Key(), req, 0)
}

// book sends a rental until it has a definite answer: the same name yields the
// same machines, so that none is rented twice or lost.
func (c *Core) book(shard int, key string, req wire.RentRequest, tries int) {
	l := &c.leader
	term := c.term.Since()
	c.callCloud(CloudCall{Op: OpRent, Rent: req}, func(r CloudReply) {
		if !c.leading() || c.term.Since() != term {
			return // the next leader finds the machines in the list
		}
		switch {
		case r.Status == 200:
			l.backoff = 0
			if len(r.Names) < req.Count {
				l.pause[key] = c.now + tuning.NoCapacityPause
			}
			infos := supply.RentedMachines(req, r.Names)
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
			c.recordShardEvent(trail.RentRefused, shard, wire.TrailEvent{Why: "no capacity for " + req.Type + " in " + req.Zone})
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
		if len(infos) == 0 || l.writing || !c.dueEvery("booked", 50*time.Millisecond) || !c.fenced() {
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
				c.notBefore["booked"] = c.now + tuning.RetryAfter
			}
		})
	}
}
