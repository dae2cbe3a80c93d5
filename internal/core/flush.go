package core

import (
	"strings"
	"time"

	"github.com/barrowbridge/barrowbridge/internal/limits"
	"github.com/barrowbridge/barrowbridge/internal/tuning"
	"github.com/barrowbridge/barrowbridge/wire"
)

// flush writes what the holder has to make durable, by compare-and-set: first
// what tasks and users wait for, then the rest, so that a short write limit
// never keeps a start behind progress.
func (c *Core) flush() {
	if !c.dueEvery("flush", tuning.Tick) {
		return
	}
	c.flushStarts()
	c.flushJobs()
	c.flushLater()
	c.tellImages()
}

// batch is one write of the holder: every part of it compares its shard.
type batch struct {
	c     *Core
	when  []wire.Condition
	then  []wire.Change
	jobs  []*jobEntry
	idle  []string // blocks to be marked idle
	bytes int
	max   int // changes
	shard map[int]bool
}

// newBatch begins a short write: what users wait for gets in between.
func (c *Core) newBatch() *batch {
	b := &batch{c: c, max: c.writeLimits.Bounds().Short(tuning.ShortOps), shard: map[int]bool{}}
	if c.writeLimits.Alone(c.now) {
		b.max = 2
	}
	return b
}

func (b *batch) full() bool { return len(b.then)+2 > b.max || b.bytes > tuning.TxnBytes }

func (b *batch) add(shard int, cond *wire.Condition, changes ...wire.Change) {
	if !b.shard[shard] {
		b.shard[shard] = true
		b.when = append(b.when, b.c.shardUnchanged(shard))
	}
	if cond != nil {
		b.when = append(b.when, *cond)
	}
	b.then = append(b.then, changes...)
}

// addJob adds changes of one job.
func (b *batch) addJob(e *jobEntry, changes ...wire.Change) {
	b.jobs = append(b.jobs, e)
	e.run.writeInFlight = true
	b.add(b.c.shardOfTeam(e.record.Team), &wire.Condition{Key: jobKey(e.record.ID), Version: e.version}, changes...)
}

// addBlock adds a block's new record.
func (b *batch) addBlock(x *blockEntry, rec wire.Block) {
	b.add(rec.Shard, &wire.Condition{Key: blockKey(x.id), Version: x.version}, wire.Change{Put: blockKey(x.id), Value: rec})
	if rec.Idle && !x.record.Idle {
		b.idle = append(b.idle, x.id)
		b.c.idleMarkVersions[x.id] = x.version
		b.c.markBlockDirty(x.id)
	}
}

// offering tells whether a mark that a block is idle may be on its way to the state, or be
// executed late: only a newer version of its record, or a refusal, ends that.
func (c *Core) offering(b *blockEntry) bool {
	ver, sent := c.idleMarkVersions[b.id]
	return sent && ver == b.version
}

// withdraw ends the offer of blocks whose mark was refused.
func (c *Core) withdraw(ids []string, status int) {
	if status == 409 || status == 429 || status == 503 || status == 400 {
		for _, id := range ids {
			delete(c.idleMarkVersions, id)
			c.markBlockDirty(id)
		}
	}
}

// send commits the batch, if there is anything in it. busy is set meanwhile; a
// duty whose write failed pauses; written is called after one that did not, with its revision.
func (b *batch) send(lane int, busy *bool, duty string, written func(rev uint64)) {
	if len(b.then) == 0 {
		return
	}
	c := b.c
	*busy = true
	c.commit(lane, b.when, b.then, func(r StateReply) {
		*busy = false
		c.withdraw(b.idle, r.Status)
		for _, e := range b.jobs {
			if e.run != nil {
				e.run.writeInFlight = false
			}
		}
		if r.Status == 200 {
			written(r.Txn.Revision)
		} else {
			c.notBefore[duty] = c.now + tuning.RetryAfter/2
			c.log(2, "not written", "changes", len(b.then), "status", r.Status, "err", r.Err, "failed", strings.Join(r.Txn.Failed, " "))
		}
		c.placementDue = true
		c.runHolder()
	})
}

// flushJobs writes ends of jobs, urgent ones first, and blocks that cannot wait.
func (c *Core) flushJobs() {
	if c.writingJobs || c.now < c.notBefore["flushJobs"] {
		return
	}
	b := c.newBatch() // short, so that acceptances get in between
	finals := map[string]wire.Final{}
	c.refreshIndexes()
	c.addHasty(b)
	for _, e := range sortedJobs(c.pendingWrites) {
		if b.full() {
			break
		}
		if e.run.writeInFlight || c.writeLimits.Aside(c.now, limits.Final, jobKey(e.record.ID)) {
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
		x := c.blocks[id]
		if x == nil || !c.holdsShard(x.record.Shard) {
			delete(c.urgentBlocks, id)
		} else if !b.full() && !c.writeLimits.Aside(c.now, limits.Block, blockKey(id)) {
			if rec, change := c.markBlock(x); change {
				b.addBlock(x, rec)
			} else {
				delete(c.urgentBlocks, id)
			}
		}
	}
	for _, i := range c.shardIDs() {
		s := c.shards[i]
		if !c.holdsShard(i) || c.unreconciledShards[i] || s.record.Settled || b.full() {
			continue
		}
		rec := s.record
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

// markBlock is a block's record as it should stand.
func (c *Core) markBlock(x *blockEntry) (rec wire.Block, change bool) {
	rec, change = x.record, c.offering(x) // its mark may come late: a write of ours forestalls it
	rec.Machines = append([]wire.BlockMachine(nil), x.record.Machines...)
	for k := range rec.Machines {
		m, bm := c.machines[rec.Machines[k].Name], &rec.Machines[k]
		if m == nil {
			continue
		}
		bm.Fresh = m.fresh // written among the starts; no change by itself
		if m.returning && !c.keepsEnds(m) {
			if empty := m.accounted && len(m.attempts) == 0; !bm.Drop || empty && !bm.Empty {
				bm.Drop, bm.Empty, change = true, bm.Empty || empty, true
			}
		}
	}
	if idle := c.offer(x); idle != rec.Idle {
		rec.Idle, change = idle, true
	}
	return rec, change
}

// movedOn tells whether a tracked job has a task on another machine than written.
func (c *Core) movedOn(e *jobEntry) bool {
	if tracksMachines(&e.record) {
		for k, a := range e.run.active {
			if recordedMachine(&e.record, k) != a.machine.name {
				return true
			}
		}
	}
	return false
}

// flushLater writes marks on blocks and the progress of jobs.
func (c *Core) flushLater() {
	if c.writingProgress || !c.dueEvery("flushLater", tuning.LaterEvery) {
		return
	}
	b := c.newBatch()
	for _, id := range c.blockIDs() {
		x := c.blocks[id]
		if !c.holdsShard(x.record.Shard) || c.urgentBlocks[id] || b.full() || c.writeLimits.Aside(c.now, limits.Block, blockKey(id)) {
			continue
		}
		if rec, change := c.markBlock(x); change {
			b.addBlock(x, rec)
		}
	}
	c.refreshIndexes()
	// The fewer jobs have something to write, the sooner each may: ends that are not written are lost if
	// we end and their workers' leases run out.
	pause := min(max(time.Duration(len(c.pendingProgress))*tuning.ProgressEach, tuning.HastyFlush), tuning.LazyFlush)
	for _, e := range sortedJobs(c.pendingProgress) {
		if b.full() {
			break
		}
		// Progress of a job that still has starts to write goes with them.
		if e.run.writeInFlight || c.now-e.run.progressWrittenAt < pause || c.writeLimits.Aside(c.now, limits.Job, jobKey(e.record.ID)) {
			continue
		}
		e.run.progressWrittenAt = c.now
		b.addProgress(e)
	}
	b.send(LaneLater, &c.writingProgress, "flushLater", func(uint64) {})
}
