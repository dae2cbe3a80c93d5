package core

import (
	"math"
	"sort"
	"time"

	"github.com/barrowbridge/barrowbridge/internal/ledger"
	"github.com/barrowbridge/barrowbridge/internal/placement"
	"github.com/barrowbridge/barrowbridge/internal/queue"
	"github.com/barrowbridge/barrowbridge/internal/trail"
	"github.com/barrowbridge/barrowbridge/internal/tuning"
	"github.com/barrowbridge/barrowbridge/wire"
)

// clearing is a machine that could take an urgent task once lesser work on it has
// been stopped: what is free or leaving already, and the tasks that would give way,
// those that have run the least first.
type clearing struct {
	m       *machine
	free    placement.Size
	victims []*attempt
}

// preempt stops lesser work for urgent tasks that find no room, and work that is run when
// there is nothing else to do for all that lies within a guarantee. All that wait are
// served together, each on a machine of its own choice where the least running time is
// lost: served one by one, each waited until the one before had its machine.
func (c *Core) preempt() {
	if !c.confirmed() || !c.every("preempt", tuning.PreemptEvery) {
		return
	}
	var list []*jobEntry
	c.order.Walk(anyRoom, func(p *queue.Place[*jobEntry]) bool {
		e := p.Handle
		if e.prio <= idleRank || e.prio < urgentRank && len(c.idlers) == 0 {
			return false // nothing gives way to it; the order begins with urgent jobs
		}
		if e.prio < urgentRank && !p.Within || c.health.Trial(e.rec.ID) {
			return true
		}
		// For a part of a gang no work is stopped: the rest may find no room.
		if !c.barred(e, c.shardOf(e.rec.Team)) && e.rec.Shape != wire.ShapeGang && c.now-e.run.since > tuning.PreemptAfter && len(list) < tuning.PreemptJobs {
			list = append(list, e)
		}
		return true
	})
	if len(list) == 0 {
		return
	}
	by := map[int][]*clearing{}
	for _, m := range c.heldMachines() {
		if c.usable(m) {
			by[m.shard] = append(by[m.shard], c.clearingOf(m))
		}
	}
	for _, e := range list {
		i := c.shardOf(e.rec.Team)
		used := c.room.Used(e.rec.Team, i)
		for n := e.run.pending(&e.rec); n > 0; n-- {
			if used = used.Add(jobSize(&e.rec)); c.p.Teams[e.rec.Team].exceeds(used) || !c.preemptFor(e, by[i]) {
				break
			}
		}
	}
}

func (c *Core) clearingOf(m *machine) *clearing {
	x := &clearing{m: m, free: c.free(m)}
	for _, k := range sortedAttempts(m) {
		a := m.attempts[k]
		v := c.jobs[a.job]
		switch {
		case a.status == wire.TaskEnded || !a.sent:
		case a.stop || v == nil:
			x.free = x.free.Add(a.size) // already leaving
		case a.known && a.lesser:
			x.victims = append(x.victims, a)
		}
	}
	sort.SliceStable(x.victims, func(i, j int) bool {
		if a, b := x.victims[i], x.victims[j]; a.idle != b.idle {
			return a.idle
		}
		return x.victims[i].running > x.victims[j].running
	})
	return x
}

// preemptFor makes room for one task of an urgent job, unless some is being made, and
// takes that room out of the clearing. It tells whether there will be room.
func (c *Core) preemptFor(e *jobEntry, in []*clearing) bool {
	size, kinds := jobSize(&e.rec), c.kinds(e, zonesOf(e))
	var best *clearing
	n, loss := 0, time.Duration(math.MaxInt64)
	for _, x := range in {
		if !kinds(ledger.Kind{Shard: x.m.shard, Type: x.m.typ, Zone: x.m.zone, Spot: x.m.spot}) || c.avoids(e, x.m) {
			continue
		}
		f, lost, k := x.free, time.Duration(0), 0
		for ; k < len(x.victims) && !placement.Fits(f, size) && lost < loss && (e.prio >= urgentRank || x.victims[k].idle); k++ {
			f = f.Add(x.victims[k].size)
			lost += c.now - x.victims[k].running
		}
		if placement.Fits(f, size) && lost < loss {
			best, n, loss = x, k, lost
		}
		if loss == 0 {
			break // room that is free or being made
		}
	}
	if best == nil {
		return false
	}
	for _, a := range best.victims[:n] {
		best.free = best.free.Add(a.size)
		c.stopAttempt(a)
		c.noteTask(trail.TaskStopped, a, "for "+e.rec.ID+", which goes before it")
		c.log(1, "stopping a task for work that goes before it", "task", a.key.task, "machine", a.m.name, "for", e.rec.ID)
	}
	best.victims = best.victims[n:]
	best.free = best.free.Sub(size)
	return true
}

// stopAttempt has a task stopped, with time to save if it can.
func (c *Core) stopAttempt(a *attempt) {
	a.stop = true
	c.wantReport(a.m, true)
	if e := c.jobs[a.job]; e != nil && e.rec.CheckpointEvery > 0 {
		a.graceS = e.rec.SaveS
	}
}

// vacate empties blocks for other shards' guaranteed work that finds no room.
// The shard that is furthest beyond its guarantee gives way, with the block
// where least is lost.
func (c *Core) vacate() {
	if !c.every("vacate", 200*time.Millisecond) || !c.confirmed() {
		return
	}
	dire := false
	for _, i := range c.shardIDs() {
		for _, n := range c.wantOf(i).Needs {
			if !n.Dire {
				continue
			}
			dire = true
			k := c.borrower(i)
			if k < 0 || !c.mine(k) {
				continue
			}
			c.vacateFor(k, n)
		}
	}
	if !dire && len(c.vacating) > 0 {
		for id := range c.vacating {
			c.touchBlock(id)
		}
		c.vacating = map[string]bool{}
	}
}

// borrower is the shard with the most CPUs beyond its teams' guarantees.
func (c *Core) borrower(except int) int {
	best, most := -1, 0.0
	have := c.shardCPUs()
	for _, i := range c.shardIDs() {
		if over := have[i] - c.guarantee(i); i != except && over > most {
			best, most = i, over
		}
	}
	return best
}

// shardCPUs sums up the machines of each shard's blocks.
func (c *Core) shardCPUs() map[int]float64 {
	have := map[int]float64{}
	for i, types := range c.shardHas {
		for _, t := range sortedKeys(types) {
			full, _ := c.sizeOf(t)
			have[i] += full.CPUs * float64(types[t])
		}
	}
	return have
}

func (c *Core) blockCPUs(b *wire.Block) float64 {
	full, _ := c.sizeOf(b.Type)
	return full.CPUs * float64(len(b.Machines))
}

// guarantee sums up the guarantees of a shard's teams.
func (c *Core) guarantee(shard int) float64 {
	g := 0.0
	for _, t := range c.shards[shard].rec.Teams {
		g += c.p.Teams[t].CPUs
	}
	return g
}

func (c *Core) vacateFor(shard int, n wire.Need) {
	want := n.Tasks
	ask := needSize(n)
	best, loss := "", time.Duration(0)
	for _, id := range c.blockIDs() {
		b := c.blocks[id]
		if b.rec.Shard != shard || !c.serves(b, n) {
			continue
		}
		full, _ := c.sizeOf(b.rec.Type)
		if c.vacating[id] || b.rec.Idle {
			want -= len(b.rec.Machines) * (placement.Beta(full, ask) + 1)
			continue
		}
		lost, ok := time.Duration(0), true
		for _, bm := range b.rec.Machines {
			m := c.machines[bm.Name]
			if m == nil || !c.usable(m) {
				ok = false
				break
			}
			for _, a := range m.attempts {
				if e := c.jobs[a.job]; e != nil && e.prio >= urgentRank {
					ok = false
				}
				if a.status != wire.TaskEnded {
					lost += c.now - a.running + time.Second
				}
			}
		}
		if ok && (best == "" || lost < loss) {
			best, loss = id, lost
		}
	}
	if want <= 0 || best == "" {
		return
	}
	c.vacating[best] = true
	c.touchBlock(best)
	c.noteShard(trail.BlockEmptied, shard, wire.TrailEvent{Block: best, Why: "another team's guarantee"})
	c.log(1, "emptying a block for another team's guarantee", "block", best, "shard", shard, "lost", loss.String())
	for _, bm := range c.blocks[best].rec.Machines {
		m := c.machines[bm.Name]
		for _, k := range sortedAttempts(m) {
			a := m.attempts[k]
			if a.sent && a.status != wire.TaskEnded {
				c.stopAttempt(a)
				c.noteTask(trail.TaskStopped, a, "its block is emptied")
			}
		}
	}
}
