package core

import (
	"slices"
	"sort"
	"strconv"
	"strings"

	"github.com/barrowbridge/barrowbridge/internal/boot"
	records "github.com/barrowbridge/barrowbridge/internal/mirror"
	"github.com/barrowbridge/barrowbridge/internal/progress"
	"github.com/barrowbridge/barrowbridge/internal/starts"
	"github.com/barrowbridge/barrowbridge/internal/tiers"
	"github.com/barrowbridge/barrowbridge/internal/trail"
	"github.com/barrowbridge/barrowbridge/internal/tuning"
	"github.com/barrowbridge/barrowbridge/internal/weights"
	"github.com/barrowbridge/barrowbridge/wire"
)

// mirror is this controller's copy of the live keys, in revision order.
type mirror struct {
	imageCaches  *weights.Caches // which images machines have, as holders last wrote
	versions     *records.Versions
	jobs         map[string]*jobEntry
	blocks       map[string]*blockEntry
	shards       map[int]*shardEntry
	nodes        map[string]wire.Node
	demands      map[int]wire.Want
	machineTypes map[string]wire.MachineType
	leaderRecord wire.Leader
	settings     wire.Settings
	cordons      map[string]wire.Cordon
	tierOrder    *tiers.Order
	tierRecord   wire.Ladder // the record that it was read from
	startLog     *starts.Book
	progress     *progress.Book
	provisioning *boot.Book
	biases       map[string]wire.Bias // by key

	// Kept up with the records, so that a report or a poll costs the same
	// however many machines there are; the tests count them afresh.
	blockOfMachine    map[string]string      // machine -> its block
	markedForDeletion map[string]bool        // machines marked to be deleted
	teamShards        map[string]int         // team -> its shard
	sortedShards      []int                  // in order; nil: to be made again
	sortedBlocks      []string               // in order; nil: to be made again
	sortedJobs        []*jobEntry            // by acceptance; nil: to be made again
	sizeGeneration    int                    // counts changes of machine types
	machineCounts     map[int]map[string]int // shard -> machines of each type in its blocks
	blockRevisions    map[int]uint64         // shard -> latest revision of its blocks; absent: to be looked for
}

type shardEntry struct {
	record  wire.Shard
	version uint64
}

type blockEntry struct {
	id      string
	record  wire.Block
	version uint64
}

type jobEntry struct {
	record   wire.Job
	version  uint64
	priority int
	rank     int     // of its rung
	due      float64 // seconds of the day's time by when those that need it need it done; +Inf: none
	run      *jobRun // nil unless this controller holds the job's shard

	dirty bool // see books
}

func newMirror() mirror {
	return mirror{versions: records.New(), jobs: map[string]*jobEntry{},
		blocks: map[string]*blockEntry{}, shards: map[int]*shardEntry{}, nodes: map[string]wire.Node{},
		demands: map[int]wire.Want{}, machineTypes: map[string]wire.MachineType{},
		settings: defaultSettings(), tierOrder: tiers.NewOrder(wire.Ladder{}), cordons: map[string]wire.Cordon{}, biases: map[string]wire.Bias{},
		blockOfMachine: map[string]string{}, markedForDeletion: map[string]bool{}, machineCounts: map[int]map[string]int{}, blockRevisions: map[int]uint64{}, teamShards: map[string]int{}, imageCaches: weights.NewCaches(tuning.CachesEvery)}
}

func shardKey(i int) string  { return wire.PrefixShard + strconv.Itoa(i) }
func demandKey(i int) string { return wire.PrefixWant + strconv.Itoa(i) }

func (m *mirror) shardIDs() []int {
	if m.sortedShards == nil {
		m.sortedShards = sortedIntKeys(m.shards)
	}
	return m.sortedShards
}

func (m *mirror) blockIDs() []string {
	if m.sortedBlocks == nil {
		m.sortedBlocks = sortedKeys(m.blocks)
	}
	return m.sortedBlocks
}

// jobsByAge lists the live jobs in the order they were accepted.
func (m *mirror) jobsByAge() []*jobEntry {
	if m.sortedJobs == nil {
		m.sortedJobs = make([]*jobEntry, 0, len(m.jobs))
		for _, e := range m.jobs {
			m.sortedJobs = append(m.sortedJobs, e)
		}
		sort.Slice(m.sortedJobs, func(i, j int) bool { return isOlderJob(m.sortedJobs[i], m.sortedJobs[j]) })
	}
	return m.sortedJobs
}

// listJob keeps the list of jobs in step with one that came or went.
func (m *mirror) updateSortedJobs(e *jobEntry, in bool) {
	if m.sortedJobs == nil {
		return
	}
	i := sort.Search(len(m.sortedJobs), func(i int) bool { return !isOlderJob(m.sortedJobs[i], e) })
	switch {
	case in:
		m.sortedJobs = slices.Insert(m.sortedJobs, i, e)
	case i < len(m.sortedJobs) && m.sortedJobs[i] == e:
		m.sortedJobs = slices.Delete(m.sortedJobs, i, i+1)
	default:
		m.sortedJobs = nil // its age was changed under it; made again when asked for
	}
}

// indexBlock keeps the machine indexes in step with a block's record.
func (m *mirror) indexBlock(id string, old, now *blockEntry) {
	if (old == nil) != (now == nil) {
		m.sortedBlocks = nil
	}
	m.countBlock(old, -1)
	m.countBlock(now, 1)
	if old != nil {
		for _, bm := range old.record.Machines {
			if m.blockOfMachine[bm.Name] == id {
				delete(m.blockOfMachine, bm.Name)
				delete(m.markedForDeletion, bm.Name)
			}
		}
	}
	if now != nil {
		for _, bm := range now.record.Machines {
			m.blockOfMachine[bm.Name] = id
			if bm.Drop {
				m.markedForDeletion[bm.Name] = true
			}
		}
	}
	if old != nil {
		for _, bm := range old.record.Machines {
			if m.blockOfMachine[bm.Name] == "" {
				m.imageCaches.Gone(bm.Name)
			}
		}
	}
}

// countBlock keeps what each shard has, and the latest revision of its blocks.
func (m *mirror) countBlock(b *blockEntry, n int) {
	if b == nil {
		return
	}
	has := m.machineCounts[b.record.Shard]
	if has == nil {
		has = map[string]int{}
		m.machineCounts[b.record.Shard] = has
	}
	has[b.record.Type] += n * len(b.record.Machines)
	newest, known := m.blockRevisions[b.record.Shard]
	switch {
	case n < 0 && b.version == newest:
		delete(m.blockRevisions, b.record.Shard)
	case n > 0 && known:
		m.blockRevisions[b.record.Shard] = max(newest, b.version)
	}
}

// indexTeams finds each team's shard; the first one that names it counts.
func (m *mirror) indexTeams() {
	m.sortedShards = nil
	clear(m.teamShards)
	for _, i := range m.shardIDs() {
		for _, t := range m.shards[i].record.Teams {
			if _, known := m.teamShards[t]; !known {
				m.teamShards[t] = i
			}
		}
	}
}

// oldestCall is the first call of the state service that is under way.
func (c *Core) oldestCall() uint64 { return c.stateRoutes.OldestID(c.lastID + 1) }

// put applies a write. Older news of the same key changes nothing, whichever
// way it came: watch, list, read or own commit.
func (c *Core) applyPut(key string, raw wire.Raw, ver uint64) {
	if !strings.HasPrefix(key, wire.LivePrefix) || !c.versions.News(key, ver) {
		return
	}
	fail := func(err error) { c.log(0, "stored record not readable", "key", key, "err", err.Error()) }
	read := func(v any) bool {
		err := wire.Unmarshal(raw, v)
		if err != nil {
			fail(err)
		}
		return err == nil
	}
	switch {
	case key == wire.KeyLeader:
		var r wire.Leader
		if read(&r) {
			if r != c.leaderRecord {
				c.log(1, "leader", "node", r.Node, "boot", r.Boot)
			}
			c.leaderRecord = r
		}
	case key == wire.KeySettings:
		r := defaultSettings()
		if read(&r) {
			c.settings = r
		}
	case key == wire.KeyLadder:
		var r wire.Ladder
		if read(&r) {
			c.putTierOrder(r)
		}
	case strings.HasPrefix(key, wire.PrefixCordon):
		var r wire.Cordon
		if read(&r) {
			c.applyCordon(key[len(wire.PrefixCordon):], r)
		}
	case strings.HasPrefix(key, wire.PrefixCrew):
		var r wire.Crew
		if read(&r) {
			c.calendar.Put(key[len(wire.PrefixCrew):], r, ver)
		}
	case strings.HasPrefix(key, wire.PrefixBias):
		var r wire.Bias
		if read(&r) {
			c.biases[key] = r
		}
	case strings.HasPrefix(key, wire.PrefixReach):
		var r wire.Reach
		if read(&r) {
			c.assignments.SetStored(key[len(wire.PrefixReach):], r)
		}
	case strings.HasPrefix(key, wire.PrefixNode):
		var r wire.Node
		if read(&r) {
			c.nodes[key[len(wire.PrefixNode):]] = r
		}
	case strings.HasPrefix(key, wire.PrefixVersion):
		var r wire.Version
		if read(&r) {
			c.rollout.Remember(key[len(wire.PrefixVersion):], r)
		}
	case strings.HasPrefix(key, wire.PrefixType):
		var r wire.MachineType
		if read(&r) {
			c.applyMachineType(r)
		}
	default:
		c.applyWorkPut(key, ver, read, fail)
	}
	c.versions.Put(key, ver)
}

// putWork applies a write of a job, a shard, or what hangs on one.
func (c *Core) applyWorkPut(key string, ver uint64, read func(any) bool, fail func(error)) {
	switch {
	case strings.HasPrefix(key, wire.PrefixJob):
		var r wire.Job
		if read(&r) {
			c.versions.Put(key, ver)
			c.applyJob(r, ver)
		}
	case strings.HasPrefix(key, wire.PrefixWaiting):
		var r wire.Job
		if read(&r) {
			c.versions.Put(key, ver)
			c.putWaitingJob(r, ver)
		}
	case strings.HasPrefix(key, wire.PrefixShard):
		var r wire.Shard
		i, err := strconv.Atoi(key[len(wire.PrefixShard):])
		if err != nil {
			fail(err)
		} else if read(&r) {
			c.versions.Put(key, ver)
			old := c.shards[i]
			c.shards[i] = &shardEntry{r, ver}
			c.recordShardTaken(i)
			c.indexTeams()
			c.shardChanged(i, old)
		}
	case strings.HasPrefix(key, wire.PrefixStart):
		var r wire.Starts
		if read(&r) {
			c.versions.Put(key, ver)
			if err := c.applyStarts(key, ver, r); err != nil {
				fail(err)
			}
		}
	case strings.HasPrefix(key, wire.PrefixDone):
		var r wire.Done
		if read(&r) {
			if id, err := c.progress.Put(key, ver, r); err != nil {
				fail(err)
			} else if e := c.jobs[id]; e != nil {
				c.jobChanged(e)
			}
		}
	case strings.HasPrefix(key, wire.PrefixWant):
		var r wire.Want
		i, err := strconv.Atoi(key[len(wire.PrefixWant):])
		if err != nil {
			fail(err)
		} else if read(&r) {
			c.demands[i] = r
		}
	case strings.HasPrefix(key, wire.PrefixCache):
		var r wire.Cache
		if read(&r) {
			for _, name := range r.Names() {
				if images, _ := r.Of(name); c.blockOfMachine[name] != "" {
					c.imageCaches.Read(name, images)
				}
			}
		}
	case strings.HasPrefix(key, wire.PrefixWeights):
		var r wire.Weights
		if i, err := strconv.Atoi(key[len(wire.PrefixWeights):]); err != nil {
			fail(err)
		} else if read(&r) {
			c.weights.Read(c.now, i, r, c.heldShards[i])
		}
	case strings.HasPrefix(key, wire.PrefixBlock):
		var r wire.Block
		if read(&r) {
			id := key[len(wire.PrefixBlock):]
			c.versions.Put(key, ver)
			old := c.blocks[id]
			c.blocks[id] = &blockEntry{id, r, ver}
			c.indexBlock(id, old, c.blocks[id])
			c.trackProvisioning(old, c.blocks[id])
			c.blockChanged(id, old)
		}
	}
}

func (c *Core) applyJob(r wire.Job, ver uint64) {
	e := c.jobs[r.ID]
	if e == nil {
		e = &jobEntry{record: r}
		c.jobs[r.ID] = e
		c.updateSortedJobs(e, true)
	} else if e.record.ReadySince() != r.ReadySince() || e.record.Number != r.Number {
		c.sortedJobs = nil
	}
	c.overlayStarts(&r)
	e.record, e.version = r, ver
	c.rankJob(e)
	c.jobChanged(e)
}

func (c *Core) applyMachineType(r wire.MachineType) {
	old, known := c.machineTypes[r.Name]
	c.machineTypes[r.Name] = r
	if !known || old.CPUs != r.CPUs || old.GPUs != r.GPUs || old.MemoryGB != r.MemoryGB {
		c.sizeGeneration++ // prices are read every minute, and weigh nothing here
		c.markShardDirty(-1)
	}
}

// remove applies a deletion known at revision rev.
func (c *Core) applyDelete(key string, rev uint64) {
	if !strings.HasPrefix(key, wire.LivePrefix) || !c.versions.Remove(key, rev, c.lastID) {
		return
	}
	switch {
	case key == wire.KeyLeader:
		c.leaderRecord = wire.Leader{}
		c.log(1, "no leader")
	case key == wire.KeySettings:
		c.settings = defaultSettings()
	case key == wire.KeyLadder:
		c.putTierOrder(wire.Ladder{})
	case strings.HasPrefix(key, wire.PrefixCordon):
		c.applyCordon(key[len(wire.PrefixCordon):], wire.Cordon{Lifted: true})
	case strings.HasPrefix(key, wire.PrefixCrew):
		c.calendar.Remove(key[len(wire.PrefixCrew):])
	case strings.HasPrefix(key, wire.PrefixReach):
		c.assignments.RemoveStored(key[len(wire.PrefixReach):])
	case strings.HasPrefix(key, wire.PrefixNode):
		delete(c.nodes, key[len(wire.PrefixNode):])
		c.recordEvent(wire.TrailEvent{Kind: trail.NodeGone, Node: key[len(wire.PrefixNode):]})
		c.log(1, "controller gone", "node", key[len(wire.PrefixNode):])
	case strings.HasPrefix(key, wire.PrefixVersion):
		c.rollout.Remember(key[len(wire.PrefixVersion):], wire.Version{})
	case strings.HasPrefix(key, wire.PrefixType):
		delete(c.machineTypes, key[len(wire.PrefixType):])
		c.sizeGeneration++
		c.markShardDirty(-1)
	case strings.HasPrefix(key, wire.PrefixJob):
		id := key[len(wire.PrefixJob):]
		if e := c.jobs[id]; e != nil {
			delete(c.jobs, id)
			delete(c.peerJobCounts, id)
			c.updateSortedJobs(e, false)
			c.jobRemoved(e)
			c.recheckDependents(id)
		}
	case strings.HasPrefix(key, wire.PrefixWaiting):
		c.removeWaitingJob(key[len(wire.PrefixWaiting):])
	case strings.HasPrefix(key, wire.PrefixDone):
		c.progress.Remove(key)
	case strings.HasPrefix(key, wire.PrefixWant):
		if i, err := strconv.Atoi(key[len(wire.PrefixWant):]); err == nil {
			delete(c.demands, i)
		}
	case strings.HasPrefix(key, wire.PrefixBlock):
		id := key[len(wire.PrefixBlock):]
		old := c.blocks[id]
		delete(c.blocks, id)
		c.indexBlock(id, old, nil)
		c.trackProvisioning(old, nil)
		c.blockChanged(id, old)
	case strings.HasPrefix(key, wire.PrefixShard):
		c.log(0, "a shard record was removed", "key", key)
	}
}

// refresh reads one live key into the mirror.
func (c *Core) rereadKey(key string) {
	if !strings.HasPrefix(key, wire.LivePrefix) {
		return
	}
	c.callState(StateCall{Op: OpGet, Key: key}, func(r StateReply) { c.applyRead(key, r); c.mirrorChanged() })
}

func (c *Core) applyRead(key string, r StateReply) {
	switch r.Status {
	case 200:
		c.applyPut(key, r.Item.Value, r.Item.Version)
	case 404:
		c.applyDelete(key, r.List.Revision)
	}
}

// changed lets the leader and the holder act on a changed mirror.
func (c *Core) mirrorChanged() {
	if c.loaded {
		c.runLeader()
		c.runHolder()
	}
}

// shardOf returns the shard that a team is homed in, or -1.
func (c *Core) shardOfTeam(team string) int {
	if i, ok := c.teamShards[team]; ok {
		return i
	}
	return -1
}

// mine tells whether this life of this controller holds a shard and has taken it up.
func (c *Core) holdsShard(i int) bool {
	return c.heldShards[i]
}

// token of a block: the write that last granted it, be it the shard's takeover
// or the block's own record. Revisions are unique and rise.
func (c *Core) fencingToken(b *blockEntry) uint64 {
	t := b.version
	if s := c.shards[b.record.Shard]; s != nil && s.version > t {
		t = s.version
	}
	return t
}

// shardCond holds as long as a shard has not changed hands, or otherwise.
func (c *Core) shardUnchanged(i int) wire.Condition {
	return wire.Condition{Key: shardKey(i), Version: c.shards[i].version}
}

// newestBlock is the latest revision of a shard's blocks.
func (c *Core) latestBlockRevision(shard int) uint64 {
	newest, known := c.blockRevisions[shard]
	if !known {
		for _, b := range c.blocks {
			if b.record.Shard == shard {
				newest = max(newest, b.version)
			}
		}
		c.blockRevisions[shard] = newest
	}
	return newest
}

func jobKey(id string) string     { return wire.PrefixJob + id }
func finalKey(id string) string   { return wire.PrefixFinal + id }
func waitingKey(id string) string { return wire.PrefixWaiting + id }
func blockKey(id string) string   { return wire.PrefixBlock + id }
