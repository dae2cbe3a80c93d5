package core

import (
	"fmt"
	"time"

	"github.com/barrowbridge/barrowbridge/internal/provisioning"
	"github.com/barrowbridge/barrowbridge/internal/supply"
	"github.com/barrowbridge/barrowbridge/internal/trail"
	"github.com/barrowbridge/barrowbridge/internal/tuning"
	"github.com/barrowbridge/barrowbridge/wire"
)

// writeBlocks forms blocks, each of one machine type, zone and kind, and writes them in transactions of as
// many as fit. assign sets a block's shard just before it is written; done is called at the end with
// whether all writes succeeded. Fresh machines have just been rented and have never been in a block.
func (c *Core) writeBlocks(infos []wire.MachineInfo, base, fresh bool, assign func(*wire.Block), done func(ok bool)) {
	leader := &c.leader
	blocks := supply.FormBlocks(infos, supply.BlockSizes{
		Min:            tuning.MinBlockMachines,
		Max:            tuning.MaxBlockMachines,
		BlocksPerBatch: tuning.BlocksPerBatch,
	}, base, fresh)
	leader.writePending = true
	var write func(rest []wire.Block, allOK bool)
	write = func(rest []wire.Block, allOK bool) {
		if len(rest) == 0 || !c.isLeader() {
			leader.writePending = false
			if done != nil {
				done(allOK && len(rest) == 0)
			}
			c.mirrorChanged()
			return
		}
		n := min(len(rest), c.writeLimits.Bounds().ShortWrite(tuning.MinShortTxnChanges))
		conditions := []wire.Condition{c.leaderCondition()}
		var changes []wire.Change
		for k := range rest[:n] {
			assign(&rest[k])
			id := supply.NewBlockID(rest[k].Machines[0].Name, func(id string) bool { return c.blocks[id] != nil })
			conditions = append(conditions, wire.Condition{Key: blockKey(id)})
			changes = append(changes, wire.Change{Put: blockKey(id), Value: rest[k]})
		}
		c.commit(LaneUser, conditions, changes, func(r StateReply) {
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

// shardCapacities returns, for each shard, the given CPUs, the guarantee of its teams, and whether its
// holder is in the zone.
func (c *Core) shardCapacities(zone string, cpus map[int]float64) (list []supply.Shard) {
	for _, i := range c.shardIDs() {
		list = append(list, supply.Shard{
			Index:          i,
			HaveCPUs:       cpus[i],
			GuaranteedCPUs: c.guaranteedCPUs(i),
			SameZone:       c.params.NodeZones[c.shards[i].record.Holder] == zone,
		})
	}
	return list
}

// serveDemand gives shards the machines that they request: idle blocks of other shards first, then
// rented machines.
func (c *Core) serveDemand() {
	leader := &c.leader
	if leader.writePending || len(c.machineTypes) == 0 {
		return
	}
	var shortages []supply.Shortage
	for _, i := range c.shardIDs() {
		want := c.shardDemand(i)
		if len(want.Needs) == 0 || leader.servingShards[i] || want.Seen < c.latestBlockRevision(i) {
			continue // no demand, being served, or the demand is older than the shard's newest block
		}
		// Subtract machines that are rented and in no block yet, which the holder does not know of.
		// Waiting for their blocks before renting more took ten seconds when only short writes were
		// possible.
		shortages = append(shortages, supply.Shortages(i, want.Needs, c.rentedCapacity(i))...)
	}
	supply.SortByTier(shortages)
	for _, shortage := range shortages {
		if c.moveIdleBlock(shortage.Shard, shortage.Need) || !shortage.Need.Booting && c.rentForNeed(shortage.Shard, shortage.Need) {
			return
		}
	}
}

// rentedCapacity returns the capacity of a shard's machines that are rented and in no block yet.
func (c *Core) rentedCapacity(shard int) (pool supply.Pool) {
	for _, info := range c.leader.rentedMachines[shard] {
		if size, ok := c.machineSize(info.Type); ok && c.blockOf(info.Name) == nil {
			pool = append(pool, supply.Capacity{Type: info.Type, Zone: info.Zone, Spot: info.Spot, Free: size})
		}
	}
	return pool
}

// moveIdleBlock moves an idle block of another shard, which its holder keeps empty while it is marked
// idle, to a shard with a need. It reports whether there is such a block.
func (c *Core) moveIdleBlock(shard int, need wire.Need) bool {
	leader := &c.leader
	for _, id := range c.blockIDs() {
		block := c.blocks[id]
		if !block.record.Idle || block.record.Shard == shard || !c.blockServes(block, need) {
			continue
		}
		rec := block.record
		rec.Shard, rec.Idle = shard, false
		from := block.record.Shard
		leader.writePending = true
		leader.servingShards[shard] = true
		c.commit(LaneUser, []wire.Condition{c.leaderCondition(), {Key: blockKey(id), Version: block.version}}, []wire.Change{{Put: blockKey(id), Value: rec}}, func(r StateReply) {
			leader.writePending = false
			delete(leader.servingShards, shard)
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

// rentForNeed rents machines for a need, those that are cheapest per task first and those in the zone of
// the shard's holder before others. It reports whether it sent a rental.
func (c *Core) rentForNeed(shard int, need wire.Need) bool {
	leader := &c.leader
	if c.now < leader.cloudRetryAt {
		return false
	}
	var offers []supply.Offer
	var requests []provisioning.Request
	for _, offer := range supply.Offers(c.machineTypes, need, c.params.NodeZones[c.shards[shard].record.Holder], c.settings.Spot) {
		if c.now >= leader.offerRetryAt[offer.Key()] {
			offers = append(offers, offer)
			requests = append(requests, provisioning.Request{
				Kind:  provisioning.Kind{Type: offer.Type, Zone: offer.Zone, Spot: offer.Spot},
				Count: offer.MachineCount(need.Tasks, tuning.MaxRentMachines),
			})
		}
	}
	chosen, count := c.provisioning.Choose(c.now, requests)
	if chosen < 0 {
		return false
	}
	c.rentOffer(shard, &offers[chosen], count, need)
	return true
}

// rentOffer sends a new rental of count machines of an offer.
func (c *Core) rentOffer(shard int, offer *supply.Offer, count int, need wire.Need) {
	leader := &c.leader
	leader.rentRequests++
	req := wire.RentRequest{
		Request: fmt.Sprintf("%s-%d-%d", c.params.Node, c.presence.Boot(), leader.rentRequests),
		Type:    offer.Type,
		Zone:    offer.Zone,
		Spot:    offer.Spot,
		Count:   count,
	}
	leader.servingShards[shard] = true
	c.recordShardEvent(trail.Rented, shard, wire.TrailEvent{Count: count, Why: fmt.Sprintf("%d tasks of %g cpus find no machine", need.Tasks, need.CPUs)})
	c.log(1, "renting", "shard", shard, "type", offer.Type, "zone", offer.Zone, "spot", offer.Spot, "count", count, "booking", req.Request)
	c.sendRental(shard, offer.Key(), req, 0)
}

// sendRental sends a rental and repeats it until it gets a definite answer. A request with the same name
// yields the same machines, so no machine is rented twice or lost.
func (c *Core) sendRental(shard int, key string, req wire.RentRequest, tries int) {
	leader := &c.leader
	term := c.term.Since()
	c.callCloud(CloudCall{Op: OpRent, Rent: req}, func(r CloudReply) {
		if !c.isLeader() || c.term.Since() != term {
			return // the next leader finds the machines in the cloud's list
		}
		switch {
		case r.Status == 200:
			leader.cloudBackoff = 0
			if len(r.Names) < req.Count {
				leader.offerRetryAt[key] = c.now + tuning.NoCapacityRetryDelay
			}
			infos := supply.RentedMachines(req, r.Names)
			if len(infos) == 0 {
				delete(leader.servingShards, shard)
				return
			}
			leader.rentedMachines[shard] = append(leader.rentedMachines[shard], infos...)
			c.noteRentedAhead(req.Request)
			c.noteRented(infos)
			delete(leader.servingShards, shard)
			c.runLeader()
		case r.Status == 503 && r.Err == "no capacity":
			leader.offerRetryAt[key] = c.now + tuning.NoCapacityRetryDelay
			delete(leader.servingShards, shard)
			c.recordShardEvent(trail.RentRefused, shard, wire.TrailEvent{Why: "no capacity for " + req.Type + " in " + req.Zone})
			c.log(1, "no capacity", "type", req.Type, "zone", req.Zone, "spot", req.Spot)
			c.runLeader()
		case r.Status == 400:
			c.log(0, "rental refused as malformed", "booking", req.Request, "err", r.Err)
			leader.offerRetryAt[key] = c.now + tuning.NoCapacityRetryDelay
			delete(leader.servingShards, shard)
		case (r.Status == 429 || r.Status == 503) && tries == 0:
			// The first attempt was refused, so the rental was certainly not executed.
			c.cloudFailed("rent", r)
			delete(leader.servingShards, shard)
		default:
			c.cloudFailed("rent", r)
			if tries < 20 {
				c.sendRental(shard, key, req, tries+1)
			} else {
				delete(leader.servingShards, shard)
			}
		}
	})
}

// writeRentedBlocks forms blocks of the machines that were just rented, shard by shard.
func (c *Core) writeRentedBlocks() {
	leader := &c.leader
	for _, shard := range c.shardIDs() {
		infos := leader.rentedMachines[shard]
		if len(infos) == 0 || leader.writePending || !c.dueEvery("booked", 50*time.Millisecond) || !c.canFormBlocks() {
			continue
		}
		var rest []wire.MachineInfo
		for _, m := range infos {
			if c.blockOf(m.Name) == nil {
				rest = append(rest, m)
			}
		}
		leader.rentedMachines[shard] = rest
		if len(rest) == 0 {
			delete(leader.rentedMachines, shard)
			continue
		}
		to := shard
		c.writeBlocks(rest, false, true, func(b *wire.Block) { b.Shard = to }, func(ok bool) {
			if !ok { // tried again with the machines that are still in no block
				c.notBefore["booked"] = c.now + tuning.BackgroundRetryDelay
			}
		})
	}
}
