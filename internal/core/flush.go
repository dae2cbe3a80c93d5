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
	if !c.every("flush", tuning.Tick) {
		return
	}
	c.flushStarts()
	c.flushJobs()
	c.flushLater()
	c.publishImages()
}

// batch is one write of the holder: every part of it compares its shard.
type batch struct {
	c              *Core
	conditions     []wire.Condition
	changes        []wire.Change
	jobs           []*jobEntry
	idleBlocks     []string // blocks to be marked idle
	bytes          int
	maxChanges     int // changes
	comparedShards map[int]bool
}

// newBatch begins a short write: what users wait for gets in between.
func (c *Core) newBatch() *batch {
	b := &batch{c: c, maxChanges: c.form.Bounds().Short(tuning.ShortOps), comparedShards: map[int]bool{}}
	if c.form.Alone(c.now) {
		b.maxChanges = 2
	}
	return b
}

func (b *batch) full() bool { return len(b.changes)+2 > b.maxChanges || b.bytes > tuning.TxnBytes }

func (b *batch) add(shard int, cond *wire.Condition, changes ...wire.Change) {
	if !b.comparedShards[shard] {
		b.comparedShards[shard] = true
		b.conditions = append(b.conditions, b.c.shardCond(shard))
	}
	if cond != nil {
		b.conditions = append(b.conditions, *cond)
	}
	b.changes = append(b.changes, changes...)
}

// addJob adds changes of one job.
func (b *batch) addJob(e *jobEntry, changes ...wire.Change) {
	b.jobs = append(b.jobs, e)
	e.run.writing = true
	b.add(b.c.shardOf(e.rec.Team), &wire.Condition{Key: jobKey(e.rec.ID), Version: e.ver}, changes...)
}

// addBlock adds a block's new record.
func (b *batch) addBlock(x *blockEntry, rec wire.Block) {
	b.add(rec.Shard, &wire.Condition{Key: blockKey(x.id), Version: x.ver}, wire.Change{Put: blockKey(x.id), Value: rec})
	if rec.Idle && !x.rec.Idle {
		b.idleBlocks = append(b.idleBlocks, x.id)
		b.c.offered[x.id] = x.ver
		b.c.touchBlock(x.id)
	}
}

// idleMarkPending tells whether a mark that a block is idle may be on its way to the state, or be
// executed late: only a newer version of its record, or a refusal, ends that.
func (c *Core) idleMarkPending(b *blockEntry) bool {
	ver, sent := c.offered[b.id]
	return sent && ver == b.ver
}

// clearIdleMarks ends the offer of blocks whose mark was refused.
func (c *Core) clearIdleMarks(ids []string, status int) {
	if status == 409 || status == 429 || status == 503 || status == 400 {
		for _, id := range ids {
			delete(c.offered, id)
			c.touchBlock(id)
		}
	}
}

// send commits the batch, if there is anything in it. busy is set meanwhile; a
// duty whose write failed pauses; written is called after one that did not, with its revision.
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
				e.run.writing = false
			}
		}
		if r.Status == 200 {
			written(r.Txn.Revision)
		} else {
			c.retryAt[duty] = c.now + tuning.RetryAfter/2
			c.log(2, "not written", "changes", len(b.changes), "status", r.Status, "err", r.Err, "failed", strings.Join(r.Txn.Failed, " "))
		}
		c.dirty = true
		c.hold()
	})
}

// flushJobs writes ends of jobs, urgent ones first, and blocks that cannot wait.
func (c *Core) flushJobs() {
	if c.flushing || c.now < c.retryAt["flushJobs"] {
		return
	}
	b := c.newBatch() // short, so that acceptances get in between
	finals := map[string]wire.Final{}
	c.update()
	c.addUrgentProgress(b)
	for _, e := range sortedJobs(c.owed) {
		if b.full() {
			break
		}
		if e.run.writing || c.form.Aside(c.now, limits.Final, jobKey(e.rec.ID)) {
			continue
		}
		if _, ended, _ := c.owes(e); !ended {
			continue
		}
		id, f := e.rec.ID, wire.Final{Status: wire.JobDone, Done: e.rec.Tasks}
		finals[id] = f
		b.addJob(e, wire.Change{Delete: jobKey(id)}, wire.Change{Put: finalKey(id), Value: f})
	}
	for _, id := range sortedKeys(c.used) {
		x := c.blocks[id]
		if x == nil || !c.mine(x.rec.Shard) {
			delete(c.used, id)
		} else if !b.full() && !c.form.Aside(c.now, limits.Block, blockKey(id)) {
			if rec, change := c.desiredBlock(x); change {
				b.addBlock(x, rec)
			} else {
				delete(c.used, id)
			}
		}
	}
	for _, i := range c.shardIDs() {
		s := c.shards[i]
		if !c.mine(i) || c.unsettle[i] || s.rec.Settled || b.full() {
			continue
		}
		rec := s.rec
		rec.Settled = true
		b.add(i, nil, wire.Change{Put: shardKey(i), Value: rec})
	}
	b.send(LaneUser, &c.flushing, "flushJobs", func(rev uint64) {
		for _, id := range sortedKeys(finals) {
			c.keepFinal(id, finals[id], rev)
			c.log(1, "job done", "job", id)
		}
	})
}

// desiredBlock is a block's record as it should stand.
func (c *Core) desiredBlock(x *blockEntry) (rec wire.Block, change bool) {
	rec, change = x.rec, c.idleMarkPending(x) // its mark may come late: a write of ours forestalls it
	rec.Machines = append([]wire.BlockMachine(nil), x.rec.Machines...)
	for k := range rec.Machines {
		m, bm := c.machines[rec.Machines[k].Name], &rec.Machines[k]
		if m == nil {
			continue
		}
		bm.Fresh = m.fresh // written among the starts; no change by itself
		if m.drop && !c.keepsUnwrittenEnds(m) {
			if empty := m.accounted && len(m.attempts) == 0; !bm.Drop || empty && !bm.Empty {
				bm.Drop, bm.Empty, change = true, bm.Empty || empty, true
			}
		}
	}
	if idle := c.shouldMarkIdle(x); idle != rec.Idle {
		rec.Idle, change = idle, true
	}
	return rec, change
}

// placementChanged tells whether a tracked job has a task on another machine than written.
func (c *Core) placementChanged(e *jobEntry) bool {
	if tracked(&e.rec) {
		for k, a := range e.run.active {
			if onOf(&e.rec, k) != a.m.name {
				return true
			}
		}
	}
	return false
}

// flushLater writes marks on blocks and the progress of jobs.
func (c *Core) flushLater() {
	if c.flushingLater || !c.every("flushLater", tuning.LaterEvery) {
		return
	}
	b := c.newBatch()
	for _, id := range c.blockIDs() {
		x := c.blocks[id]
		if !c.mine(x.rec.Shard) || c.used[id] || b.full() || c.form.Aside(c.now, limits.Block, blockKey(id)) {
			continue
		}
		if rec, change := c.desiredBlock(x); change {
			b.addBlock(x, rec)
		}
	}
	c.update()
	// The fewer jobs have something to write, the sooner each may: ends that are not written are lost if
	// we end and their workers' leases run out.
	pause := min(max(time.Duration(len(c.behind))*tuning.ProgressEach, tuning.HastyFlush), tuning.LazyFlush)
	for _, e := range sortedJobs(c.behind) {
		if b.full() {
			break
		}
		// Progress of a job that still has starts to write goes with them.
		if e.run.writing || c.now-e.run.wrote < pause || c.form.Aside(c.now, limits.Job, jobKey(e.rec.ID)) {
			continue
		}
		e.run.wrote = c.now
		b.addProgress(e)
	}
	b.send(LaneLater, &c.flushingLater, "flushLater", func(uint64) {})
}
