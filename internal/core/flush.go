package core

import (
	"strings"
	"time"

	"github.com/barrowbridge/barrowbridge/internal/limits"
	"github.com/barrowbridge/barrowbridge/internal/tuning"
	"github.com/barrowbridge/barrowbridge/wire"
)

// flush writes what the holder has to make durable, by compare-and-set. It writes what tasks and users
// wait for first and the rest later, so that a low write rate never delays a start behind progress.
func (c *Core) flush() {
	if !c.dueEvery("flush", tuning.TickInterval) {
		return
	}
	c.flushStarts()
	c.flushJobs()
	c.flushLater()
	c.publishImages()
}

// batch collects one write of the holder. Each added change also compares the record of its shard.
type batch struct {
	c              *Core
	conditions     []wire.Condition
	changes        []wire.Change
	jobs           []*jobEntry
	idleBlocks     []string // IDs of the blocks that this write marks idle
	bytes          int
	maxChanges     int
	comparedShards map[int]bool // shards whose record is already among the conditions
}

// newBatch returns an empty batch for a short write, so that writes that users wait for get in between.
// While the state service refuses writes because of their form, a batch takes at most two changes.
func (c *Core) newBatch() *batch {
	b := &batch{
		c:              c,
		maxChanges:     c.writeLimits.Bounds().ShortWrite(tuning.MinShortTxnChanges),
		comparedShards: map[int]bool{},
	}
	if c.writeLimits.WriteSingly(c.now) {
		b.maxChanges = 2
	}
	return b
}

// full reports whether the batch has reached its limit of changes or bytes.
func (b *batch) full() bool { return len(b.changes)+2 > b.maxChanges || b.bytes > tuning.MaxTxnBytes }

// add adds changes of a shard, with an optional further condition.
func (b *batch) add(shard int, cond *wire.Condition, changes ...wire.Change) {
	if !b.comparedShards[shard] {
		b.comparedShards[shard] = true
		b.conditions = append(b.conditions, b.c.shardUnchanged(shard))
	}
	if cond != nil {
		b.conditions = append(b.conditions, *cond)
	}
	b.changes = append(b.changes, changes...)
}

// addJob adds changes of one job and compares the job's record.
func (b *batch) addJob(e *jobEntry, changes ...wire.Change) {
	b.jobs = append(b.jobs, e)
	e.run.writeInFlight = true
	b.add(b.c.shardOfTeam(e.record.Team), &wire.Condition{Key: jobKey(e.record.ID), Version: e.version}, changes...)
}

// addBlock adds a block's new record. It notes a mark as idle that is on its way (see idleMarkPending).
func (b *batch) addBlock(block *blockEntry, rec wire.Block) {
	b.add(rec.Shard, &wire.Condition{Key: blockKey(block.id), Version: block.version}, wire.Change{Put: blockKey(block.id), Value: rec})
	if rec.Idle && !block.record.Idle {
		b.idleBlocks = append(b.idleBlocks, block.id)
		b.c.idleMarkVersions[block.id] = block.version
		b.c.markBlockDirty(block.id)
	}
}

// idleMarkPending reports whether a write that marks a block idle may still be in flight or be executed
// late. Only a newer version of the block's record or a refusal of the write rules that out.
func (c *Core) idleMarkPending(b *blockEntry) bool {
	ver, sent := c.idleMarkVersions[b.id]
	return sent && ver == b.version
}

// clearIdleMarks forgets the pending idle marks of blocks whose write was definitely refused.
func (c *Core) clearIdleMarks(ids []string, status int) {
	if status == 409 || status == 429 || status == 503 || status == 400 {
		for _, id := range ids {
			delete(c.idleMarkVersions, id)
			c.markBlockDirty(id)
		}
	}
}

// send commits the batch unless it is empty. busy is set while the write is in progress. After a
// failure the named duty pauses before its next write; after a success, written is called with the
// revision of the write.
func (b *batch) send(lane int, busy *bool, duty string, written func(rev uint64)) {
	if len(b.changes) == 0 {
		return
	}
	c := b.c
	*busy = true
	c.commit(lane, b.conditions, b.changes, func(r StateReply) {
		*busy = false
		c.clearIdleMarks(b.idleBlocks, r.Status)
		for _, e := range b.jobs {
			if e.run != nil {
				e.run.writeInFlight = false
			}
		}
		if r.Status == 200 {
			written(r.Txn.Revision)
		} else {
			c.notBefore[duty] = c.now + tuning.BackgroundRetryDelay/2
			c.log(2, "batch not written", "changes", len(b.changes), "status", r.Status, "err", r.Err, "failed", strings.Join(r.Txn.Failed, " "))
		}
		c.placementDue = true
		c.runHolder()
	})
}

// flushJobs writes urgent progress, the ends of jobs, urgent ones first, blocks whose record must change
// soon, and that a shard is reconciled after a takeover.
func (c *Core) flushJobs() {
	if c.writingJobs || c.now < c.notBefore["flushJobs"] {
		return
	}
	b := c.newBatch() // short, so that writes of accepted jobs get in between
	finals := map[string]wire.Final{}
	c.refreshIndexes()
	c.addUrgentProgress(b)
	for _, e := range sortedJobs(c.pendingWrites) {
		if b.full() {
			break
		}
		if e.run.writeInFlight || c.writeLimits.ShouldSkip(c.now, limits.KindFinal, jobKey(e.record.ID)) {
			continue
		}
		if _, ended, _ := c.unwrittenStarts(e); !ended {
			continue
		}
		id, f := e.record.ID, wire.Final{Status: wire.JobDone, Done: e.record.Tasks}
		finals[id] = f
		b.addJob(e, wire.Change{Delete: jobKey(id)}, wire.Change{Put: finalKey(id), Value: f})
	}
	for _, id := range sortedKeys(c.urgentBlocks) {
		block := c.blocks[id]
		if block == nil || !c.holdsShard(block.record.Shard) {
			delete(c.urgentBlocks, id)
		} else if !b.full() && !c.writeLimits.ShouldSkip(c.now, limits.KindBlock, blockKey(id)) {
			if rec, change := c.desiredBlock(block); change {
				b.addBlock(block, rec)
			} else {
				delete(c.urgentBlocks, id)
			}
		}
	}
	for _, i := range c.shardIDs() {
		shard := c.shards[i]
		if !c.holdsShard(i) || c.unreconciledShards[i] || shard.record.Settled || b.full() {
			continue
		}
		rec := shard.record
		rec.Settled = true
		b.add(i, nil, wire.Change{Put: shardKey(i), Value: rec})
	}
	b.send(LaneUser, &c.writingJobs, "flushJobs", func(rev uint64) {
		for _, id := range sortedKeys(finals) {
			c.cacheFinal(id, finals[id], rev)
			c.log(1, "job done", "job", id)
		}
	})
}

// desiredBlock returns a block's record as it should be, and whether that requires a write.
func (c *Core) desiredBlock(block *blockEntry) (rec wire.Block, change bool) {
	rec, change = block.record, c.idleMarkPending(block) // a new write makes a late idle mark fail its comparison
	rec.Machines = append([]wire.BlockMachine(nil), block.record.Machines...)
	for k := range rec.Machines {
		held, blockMachine := c.machines[rec.Machines[k].Name], &rec.Machines[k]
		if held == nil {
			continue
		}
		blockMachine.Fresh = held.fresh // also written among the starts, so it is no reason for a write by itself
		if held.returning && !c.keepsUnwrittenEnds(held) {
			if empty := held.accounted && len(held.attempts) == 0; !blockMachine.Drop || empty && !blockMachine.Empty {
				blockMachine.Drop, blockMachine.Empty, change = true, blockMachine.Empty || empty, true
			}
		}
	}
	if idle := c.shouldMarkIdle(block); idle != rec.Idle {
		rec.Idle, change = idle, true
	}
	return rec, change
}

// placementChanged reports whether a tracked job has a task on another machine than the one in its
// stored record.
func (c *Core) placementChanged(e *jobEntry) bool {
	if tracksMachines(&e.record) {
		for k, a := range e.run.active {
			if recordedMachine(&e.record, k) != a.machine.name {
				return true
			}
		}
	}
	return false
}

// flushLater writes changed block records and the progress of jobs, at low priority.
func (c *Core) flushLater() {
	if c.writingProgress || !c.dueEvery("flushLater", tuning.DeferredWriteInterval) {
		return
	}
	b := c.newBatch()
	for _, id := range c.blockIDs() {
		block := c.blocks[id]
		if !c.holdsShard(block.record.Shard) || c.urgentBlocks[id] || b.full() || c.writeLimits.ShouldSkip(c.now, limits.KindBlock, blockKey(id)) {
			continue
		}
		if rec, change := c.desiredBlock(block); change {
			b.addBlock(block, rec)
		}
	}
	c.refreshIndexes()
	// The fewer jobs have progress to write, the sooner each is written: ends that are not stored are lost
	// if this controller stops and the leases of the workers expire.
	pause := min(max(time.Duration(len(c.pendingProgress))*tuning.ProgressWriteInterval, tuning.UrgentProgressInterval), tuning.ProgressMaxDelay)
	for _, e := range sortedJobs(c.pendingProgress) {
		if b.full() {
			break
		}
		// A job whose record is being written is skipped; its progress follows later.
		if e.run.writeInFlight || c.now-e.run.progressWrittenAt < pause || c.writeLimits.ShouldSkip(c.now, limits.KindJob, jobKey(e.record.ID)) {
			continue
		}
		e.run.progressWrittenAt = c.now
		b.addProgress(e)
	}
	b.send(LaneDeferred, &c.writingProgress, "flushLater", func(uint64) {})
}
