package core

import (
	"slices"
	"sort"
	"strconv"
	"strings"

	records "github.com/barrowbridge/barrowbridge/internal/mirror"
	"github.com/barrowbridge/barrowbridge/internal/progress"
	"github.com/barrowbridge/barrowbridge/internal/provisioning"
	"github.com/barrowbridge/barrowbridge/internal/startlog"
	"github.com/barrowbridge/barrowbridge/internal/tiers"
	"github.com/barrowbridge/barrowbridge/internal/trail"
	"github.com/barrowbridge/barrowbridge/internal/tuning"
	"github.com/barrowbridge/barrowbridge/internal/weights"
	"github.com/barrowbridge/barrowbridge/wire"
)

// mirror is this controller's copy of the live keys of the state service. It is what was stored at
// Core.mirrorRevision, with this controller's own later writes. Reads of single keys never enter it
// (docs/design.md, point 23).
type mirror struct {
	imageCaches  *weights.CacheIndex // images that machines have stored, as last written by the holders
	versions     *records.Versions   // version of each key
	jobs         map[string]*jobEntry
	blocks       map[string]*blockEntry
	shards       map[int]*shardEntry
	nodes        map[string]wire.Node        // controllers that are present
	demands      map[int]wire.Demand         // by shard: demand for machines that its holder announced
	machineTypes map[string]wire.MachineType // by name
	leaderRecord wire.Leader
	settings     wire.Settings
	cordons      map[string]wire.Cordon // by machine
	tierOrder    *tiers.Order
	tierRecord   wire.TierOrder        // the stored record that tierOrder was read from
	startLog     *startlog.Log         // recorded starts of tasks
	progress     *progress.Index       // recorded done tasks
	provisioning *provisioning.Tracker // machines that are booting
	biases       map[string]wire.Bias  // by key: how far run-time estimates are off

	// Indexes that are updated with each record, so that the cost of a report or a poll does not depend
	// on the number of machines. The tests compare them with a full recount.
	blockOfMachine    map[string]string      // machine -> ID of its block
	markedForDeletion map[string]bool        // machines whose block record marks them for deletion
	teamShards        map[string]int         // team -> the shard that serves it
	sortedShards      []int                  // in ascending order; nil if it has to be rebuilt
	sortedBlocks      []string               // in ascending order; nil if it has to be rebuilt
	sortedJobs        []*jobEntry            // oldest first; nil if it has to be rebuilt
	sizeGeneration    int                    // incremented with each change of a machine type's capacity
	machineCounts     map[int]map[string]int // shard -> number of machines of each type in its blocks
	blockRevisions    map[int]uint64         // shard -> latest revision of its blocks; absent if it has to be searched
}

// shardEntry is a shard's record and the revision at which it was written.
type shardEntry struct {
	record  wire.Shard
	version uint64
}

// blockEntry is a block's record and the revision at which it was written.
type blockEntry struct {
	id         string
	record     wire.Block
	version    uint64
	assignedAt uint64 // revision of the write that formed the block or moved it to its shard
}

// newBlockEntry returns the entry of a new version of a block. old is the entry before, or nil.
func newBlockEntry(id string, record wire.Block, version uint64, old *blockEntry) *blockEntry {
	entry := &blockEntry{id: id, record: record, version: version, assignedAt: version}
	if old != nil && old.record.Shard == record.Shard {
		entry.assignedAt = old.assignedAt
	}
	return entry
}

// jobEntry is a job's record and what this controller derives from it.
type jobEntry struct {
	record   wire.Job
	version  uint64
	priority int // effective priority: the job's own or that of a job that depends on it
	rank     int // rank of the effective tier
	// inheritedDue is when the job has to be done for the jobs that depend on it to be on time, in seconds
	// since the Unix epoch; +Inf if none of them has a due time.
	inheritedDue float64
	run          *jobRun // nil unless this controller holds the job's shard

	dirty bool // its entries in the indexes have to be refreshed
}

func newMirror() mirror {
	return mirror{
		versions:          records.New(),
		jobs:              map[string]*jobEntry{},
		blocks:            map[string]*blockEntry{},
		shards:            map[int]*shardEntry{},
		nodes:             map[string]wire.Node{},
		demands:           map[int]wire.Demand{},
		machineTypes:      map[string]wire.MachineType{},
		settings:          defaultSettings(),
		tierOrder:         tiers.NewOrder(wire.TierOrder{}),
		cordons:           map[string]wire.Cordon{},
		biases:            map[string]wire.Bias{},
		blockOfMachine:    map[string]string{},
		markedForDeletion: map[string]bool{},
		machineCounts:     map[int]map[string]int{},
		blockRevisions:    map[int]uint64{},
		teamShards:        map[string]int{},
		imageCaches:       weights.NewCacheIndex(tuning.CacheRecordInterval),
	}
}

func shardKey(shard int) string  { return wire.PrefixShard + strconv.Itoa(shard) }
func demandKey(shard int) string { return wire.PrefixDemand + strconv.Itoa(shard) }

// shardIDs lists the shards in ascending order.
func (m *mirror) shardIDs() []int {
	if m.sortedShards == nil {
		m.sortedShards = sortedIntKeys(m.shards)
	}
	return m.sortedShards
}

// blockIDs lists the blocks in ascending order.
func (m *mirror) blockIDs() []string {
	if m.sortedBlocks == nil {
		m.sortedBlocks = sortedKeys(m.blocks)
	}
	return m.sortedBlocks
}

// jobsByAge lists the live jobs, oldest first.
func (m *mirror) jobsByAge() []*jobEntry {
	if m.sortedJobs == nil {
		m.sortedJobs = make([]*jobEntry, 0, len(m.jobs))
		for _, entry := range m.jobs {
			m.sortedJobs = append(m.sortedJobs, entry)
		}
		sort.Slice(m.sortedJobs, func(i, j int) bool { return isOlderJob(m.sortedJobs[i], m.sortedJobs[j]) })
	}
	return m.sortedJobs
}

// updateSortedJobs inserts a job into sortedJobs or removes it from there.
func (m *mirror) updateSortedJobs(entry *jobEntry, added bool) {
	if m.sortedJobs == nil {
		return
	}
	i := sort.Search(len(m.sortedJobs), func(i int) bool { return !isOlderJob(m.sortedJobs[i], entry) })
	switch {
	case added:
		m.sortedJobs = slices.Insert(m.sortedJobs, i, entry)
	case i < len(m.sortedJobs) && m.sortedJobs[i] == entry:
		m.sortedJobs = slices.Delete(m.sortedJobs, i, i+1)
	default:
		m.sortedJobs = nil // its age has changed, so it is not where the search expects it; the list is rebuilt on demand
	}
}

// indexBlock updates the indexes for a changed block record. old is nil for a new block, current for a
// removed one.
func (m *mirror) indexBlock(id string, old, current *blockEntry) {
	if (old == nil) != (current == nil) {
		m.sortedBlocks = nil
	}
	m.countBlock(old, -1)
	m.countBlock(current, 1)
	if old != nil {
		for _, blockMachine := range old.record.Machines {
			if m.blockOfMachine[blockMachine.Name] == id {
				delete(m.blockOfMachine, blockMachine.Name)
				delete(m.markedForDeletion, blockMachine.Name)
			}
		}
	}
	if current != nil {
		for _, blockMachine := range current.record.Machines {
			m.blockOfMachine[blockMachine.Name] = id
			if blockMachine.Drop {
				m.markedForDeletion[blockMachine.Name] = true
			}
		}
	}
	if old != nil {
		for _, blockMachine := range old.record.Machines {
			if m.blockOfMachine[blockMachine.Name] == "" {
				m.imageCaches.Remove(blockMachine.Name)
			}
		}
	}
}

// countBlock adds a block to the counts of its shard (sign 1) or subtracts it (sign -1), and updates the
// latest revision of the shard's blocks.
func (m *mirror) countBlock(block *blockEntry, sign int) {
	if block == nil {
		return
	}
	counts := m.machineCounts[block.record.Shard]
	if counts == nil {
		counts = map[string]int{}
		m.machineCounts[block.record.Shard] = counts
	}
	counts[block.record.Type] += sign * len(block.record.Machines)
	newest, known := m.blockRevisions[block.record.Shard]
	switch {
	case sign < 0 && block.version == newest:
		delete(m.blockRevisions, block.record.Shard)
	case sign > 0 && known:
		m.blockRevisions[block.record.Shard] = max(newest, block.version)
	}
}

// indexTeams rebuilds the index of teams. If several shards name a team, the lowest one counts.
func (m *mirror) indexTeams() {
	m.sortedShards = nil
	clear(m.teamShards)
	for _, shard := range m.shardIDs() {
		for _, team := range m.shards[shard].record.Teams {
			if _, known := m.teamShards[team]; !known {
				m.teamShards[team] = shard
			}
		}
	}
}

// oldestCall returns the ID of the oldest call to the state service that is in flight, or the next ID if
// there is none.
func (c *Core) oldestCall() uint64 { return c.stateRoutes.OldestID(c.lastID + 1) }

// applyPut applies a write to the mirror. An older version of the key changes nothing, whether it comes
// from the watch, a list, a read or a commit of this controller.
func (c *Core) applyPut(key string, value wire.Raw, version uint64) {
	if !strings.HasPrefix(key, wire.LivePrefix) || !c.versions.IsNewer(key, version) {
		return
	}
	fail := func(err error) { c.log(0, "cannot decode a stored record", "key", key, "err", err.Error()) }
	read := func(v any) bool {
		err := wire.Unmarshal(value, v)
		if err != nil {
			fail(err)
		}
		return err == nil
	}
	switch {
	case key == wire.KeyLeader:
		var record wire.Leader
		if read(&record) {
			if record != c.leaderRecord {
				c.log(1, "leader changed", "node", record.Node, "boot", record.Boot)
			}
			c.leaderRecord = record
		}
	case key == wire.KeySettings:
		record := defaultSettings()
		if read(&record) {
			c.settings = record
		}
	case key == wire.KeyTierOrder:
		var record wire.TierOrder
		if read(&record) {
			c.putTierOrder(record)
		}
	case strings.HasPrefix(key, wire.PrefixCordon):
		var record wire.Cordon
		if read(&record) {
			c.applyCordon(key[len(wire.PrefixCordon):], record)
		}
	case strings.HasPrefix(key, wire.PrefixCrew):
		var record wire.Crew
		if read(&record) {
			c.calendar.Put(key[len(wire.PrefixCrew):], record, version)
		}
	case strings.HasPrefix(key, wire.PrefixBias):
		var record wire.Bias
		if read(&record) {
			c.biases[key] = record
		}
	case strings.HasPrefix(key, wire.PrefixReach):
		var record wire.ReachReport
		if read(&record) {
			c.assignments.SetStored(key[len(wire.PrefixReach):], record)
		}
	case strings.HasPrefix(key, wire.PrefixNode):
		var record wire.Node
		if read(&record) {
			c.nodes[key[len(wire.PrefixNode):]] = record
		}
	case strings.HasPrefix(key, wire.PrefixVersion):
		var record wire.Version
		if read(&record) {
			c.rollout.Remember(key[len(wire.PrefixVersion):], record)
		}
	case strings.HasPrefix(key, wire.PrefixType):
		var record wire.MachineType
		if read(&record) {
			c.applyMachineType(record)
		}
	default:
		c.applyWorkPut(key, version, read, fail)
	}
	c.versions.Put(key, version)
}

// applyWorkPut applies a write of a job, a shard or a block, or of a record that belongs to one of them.
func (c *Core) applyWorkPut(key string, version uint64, read func(any) bool, fail func(error)) {
	switch {
	case strings.HasPrefix(key, wire.PrefixJob):
		var record wire.Job
		if read(&record) {
			c.versions.Put(key, version)
			c.applyJob(record, version)
		}
	case strings.HasPrefix(key, wire.PrefixWaiting):
		var record wire.Job
		if read(&record) {
			c.versions.Put(key, version)
			c.putWaitingJob(record, version)
		}
	case strings.HasPrefix(key, wire.PrefixShard):
		var record wire.Shard
		shard, err := strconv.Atoi(key[len(wire.PrefixShard):])
		if err != nil {
			fail(err)
		} else if read(&record) {
			c.versions.Put(key, version)
			old := c.shards[shard]
			c.shards[shard] = &shardEntry{record, version}
			c.recordShardTaken(shard)
			c.indexTeams()
			c.shardChanged(shard, old)
		}
	case strings.HasPrefix(key, wire.PrefixStart):
		var record wire.Starts
		if read(&record) {
			c.versions.Put(key, version)
			if err := c.applyStarts(key, version, record); err != nil {
				fail(err)
			}
		}
	case strings.HasPrefix(key, wire.PrefixDone):
		var record wire.Done
		if read(&record) {
			if id, err := c.progress.Put(key, version, record); err != nil {
				fail(err)
			} else if entry := c.jobs[id]; entry != nil {
				c.jobChanged(entry)
			}
		}
	case strings.HasPrefix(key, wire.PrefixDemand):
		var record wire.Demand
		shard, err := strconv.Atoi(key[len(wire.PrefixDemand):])
		if err != nil {
			fail(err)
		} else if read(&record) {
			c.demands[shard] = record
		}
	case strings.HasPrefix(key, wire.PrefixCache):
		var record wire.Cache
		if read(&record) {
			for _, name := range record.Names() {
				if images, _ := record.Of(name); c.blockOfMachine[name] != "" {
					c.imageCaches.Load(name, images)
				}
			}
		}
	case strings.HasPrefix(key, wire.PrefixWeights):
		var record wire.Weights
		if shard, err := strconv.Atoi(key[len(wire.PrefixWeights):]); err != nil {
			fail(err)
		} else if read(&record) {
			c.weights.LoadPlan(c.now, shard, record, c.heldShards[shard])
		}
	case strings.HasPrefix(key, wire.PrefixBlock):
		var record wire.Block
		if read(&record) {
			id := key[len(wire.PrefixBlock):]
			c.versions.Put(key, version)
			old := c.blocks[id]
			c.blocks[id] = newBlockEntry(id, record, version, old)
			c.indexBlock(id, old, c.blocks[id])
			c.trackProvisioning(old, c.blocks[id])
			c.blockChanged(id, old)
		}
	}
}

// applyJob applies a write of a live job.
func (c *Core) applyJob(record wire.Job, version uint64) {
	entry := c.jobs[record.ID]
	if entry == nil {
		entry = &jobEntry{record: record}
		c.jobs[record.ID] = entry
		c.updateSortedJobs(entry, true)
	} else if entry.record.ReadySince() != record.ReadySince() || entry.record.Number != record.Number {
		c.sortedJobs = nil
	}
	c.overlayStarts(&record)
	entry.record, entry.version = record, version
	c.rankJob(entry)
	c.jobChanged(entry)
}

// applyMachineType applies a write of a machine type. A changed capacity marks all machines dirty.
func (c *Core) applyMachineType(record wire.MachineType) {
	old, known := c.machineTypes[record.Name]
	c.machineTypes[record.Name] = record
	if !known || old.CPUs != record.CPUs || old.GPUs != record.GPUs || old.MemoryGB != record.MemoryGB {
		c.sizeGeneration++ // prices are written every minute and do not affect the capacity
		c.markShardDirty(-1)
	}
}

// applyDelete applies the deletion of a key that is known at the given revision.
func (c *Core) applyDelete(key string, revision uint64) {
	if !strings.HasPrefix(key, wire.LivePrefix) || !c.versions.Remove(key, revision, c.lastID) {
		return
	}
	switch {
	case key == wire.KeyLeader:
		c.leaderRecord = wire.Leader{}
		c.log(1, "leader record deleted")
	case key == wire.KeySettings:
		c.settings = defaultSettings()
	case key == wire.KeyTierOrder:
		c.putTierOrder(wire.TierOrder{})
	case strings.HasPrefix(key, wire.PrefixCordon):
		c.applyCordon(key[len(wire.PrefixCordon):], wire.Cordon{Lifted: true})
	case strings.HasPrefix(key, wire.PrefixCrew):
		c.calendar.Remove(key[len(wire.PrefixCrew):])
	case strings.HasPrefix(key, wire.PrefixReach):
		c.assignments.RemoveStored(key[len(wire.PrefixReach):])
	case strings.HasPrefix(key, wire.PrefixNode):
		delete(c.nodes, key[len(wire.PrefixNode):])
		c.recordEvent(wire.TrailEvent{Kind: trail.ControllerGone, Node: key[len(wire.PrefixNode):]})
		c.log(1, "controller is no longer present", "node", key[len(wire.PrefixNode):])
	case strings.HasPrefix(key, wire.PrefixVersion):
		c.rollout.Remember(key[len(wire.PrefixVersion):], wire.Version{})
	case strings.HasPrefix(key, wire.PrefixType):
		delete(c.machineTypes, key[len(wire.PrefixType):])
		c.sizeGeneration++
		c.markShardDirty(-1)
	case strings.HasPrefix(key, wire.PrefixJob):
		id := key[len(wire.PrefixJob):]
		if entry := c.jobs[id]; entry != nil {
			delete(c.jobs, id)
			delete(c.peerJobCounts, id)
			c.updateSortedJobs(entry, false)
			c.jobRemoved(entry)
			c.recheckDependents(id)
		}
	case strings.HasPrefix(key, wire.PrefixWaiting):
		c.removeWaitingJob(key[len(wire.PrefixWaiting):])
	case strings.HasPrefix(key, wire.PrefixDone):
		c.progress.Remove(key)
	case strings.HasPrefix(key, wire.PrefixDemand):
		if shard, err := strconv.Atoi(key[len(wire.PrefixDemand):]); err == nil {
			delete(c.demands, shard)
		}
	case strings.HasPrefix(key, wire.PrefixBlock):
		id := key[len(wire.PrefixBlock):]
		old := c.blocks[id]
		delete(c.blocks, id)
		c.indexBlock(id, old, nil)
		c.trackProvisioning(old, nil)
		c.blockChanged(id, old)
	case strings.HasPrefix(key, wire.PrefixShard):
		c.log(0, "a shard record was deleted", "key", key)
	}
}

// mirrorChanged runs the leader's and the holder's work after a change of the mirror.
func (c *Core) mirrorChanged() {
	if c.loaded {
		c.runLeader()
		c.runHolder()
	}
}

// shardOfTeam returns the shard that serves a team, or -1 if there is none.
func (c *Core) shardOfTeam(team string) int {
	if shard, ok := c.teamShards[team]; ok {
		return shard
	}
	return -1
}

// holdsShard reports whether this incarnation of the controller holds a shard and has started to serve it.
func (c *Core) holdsShard(shard int) bool {
	return c.heldShards[shard]
}

// fencingToken returns the fencing token of a block: the revision of the write that last assigned it,
// either the takeover of its shard or the write of its own record. Revisions are unique and increase.
func (c *Core) fencingToken(block *blockEntry) uint64 {
	token := block.version
	if shard := c.shards[block.record.Shard]; shard != nil && shard.version > token {
		token = shard.version
	}
	return token
}

// shardUnchanged returns a condition that holds as long as the shard's record is not written again, by a
// takeover or any other change.
func (c *Core) shardUnchanged(shard int) wire.Condition {
	return wire.Condition{Key: shardKey(shard), Version: c.shards[shard].version}
}

// latestBlockRevision returns the latest revision of a shard's blocks.
func (c *Core) latestBlockRevision(shard int) uint64 {
	newest, known := c.blockRevisions[shard]
	if !known {
		for _, block := range c.blocks {
			if block.record.Shard == shard {
				newest = max(newest, block.version)
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
