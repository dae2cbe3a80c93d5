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
	caches   *weights.Caches // which images machines have, as holders last wrote
	ver      *records.Versions
	jobs     map[string]*jobEntry
	blocks   map[string]*blockEntry
	shards   map[int]*shardEntry
	nodes    map[string]wire.Node
	wants    map[int]wire.Want
	types    map[string]wire.MachineType
	chief    wire.Leader
	settings wire.Settings
	cordons  map[string]wire.Cordon
	ladder   *tiers.Order
	rungs    wire.Ladder // the record that it was read from
	started  *starts.Book
	progress *progress.Book
	boots    *boot.Book
	biases   map[string]wire.Bias // by key

	// Kept up with the records, so that a report or a poll costs the same
	// however many machines there are; the tests count them afresh.
	blockIn   map[string]string      // machine -> its block
	dropping  map[string]bool        // machines marked to be deleted
	teamHome  map[string]int         // team -> its shard
	shardList []int                  // in order; nil: to be made again
	blockList []string               // in order; nil: to be made again
	jobList   []*jobEntry            // by acceptance; nil: to be made again
	sizes     int                    // counts changes of machine types
	shardHas  map[int]map[string]int // shard -> machines of each type in its blocks
	newest    map[int]uint64         // shard -> latest revision of its blocks; absent: to be looked for
}

type shardEntry struct {
	rec wire.Shard
	ver uint64
}

type blockEntry struct {
	id  string
	rec wire.Block
	ver uint64
}

type jobEntry struct {
	rec  wire.Job
	ver  uint64
	prio int
	rank int     // of its rung
	due  float64 // seconds of the day's time by when those that need it need it done; +Inf: none
	run  *jobRun // nil unless this controller holds the job's shard

	touched bool // see books
}

func newMirror() mirror {
	return mirror{ver: records.New(), jobs: map[string]*jobEntry{},
		blocks: map[string]*blockEntry{}, shards: map[int]*shardEntry{}, nodes: map[string]wire.Node{},
		wants: map[int]wire.Want{}, types: map[string]wire.MachineType{},
		settings: defaultSettings(), ladder: tiers.NewOrder(wire.Ladder{}), cordons: map[string]wire.Cordon{}, biases: map[string]wire.Bias{},
		blockIn: map[string]string{}, dropping: map[string]bool{}, shardHas: map[int]map[string]int{}, newest: map[int]uint64{}, teamHome: map[string]int{}, caches: weights.NewCaches(tuning.CachesEvery)}
}

func shardKey(i int) string { return wire.PrefixShard + strconv.Itoa(i) }
func wantKey(i int) string  { return wire.PrefixWant + strconv.Itoa(i) }

func (m *mirror) shardIDs() []int {
	if m.shardList == nil {
		m.shardList = sortedIntKeys(m.shards)
	}
	return m.shardList
}

func (m *mirror) blockIDs() []string {
	if m.blockList == nil {
		m.blockList = sortedKeys(m.blocks)
	}
	return m.blockList
}

// jobsByAge lists the live jobs in the order they were accepted.
func (m *mirror) jobsByAge() []*jobEntry {
	if m.jobList == nil {
		m.jobList = make([]*jobEntry, 0, len(m.jobs))
		for _, e := range m.jobs {
			m.jobList = append(m.jobList, e)
		}
		sort.Slice(m.jobList, func(i, j int) bool { return isOlderJob(m.jobList[i], m.jobList[j]) })
	}
	return m.jobList
}

// listJob keeps the list of jobs in step with one that came or went.
func (m *mirror) listJob(e *jobEntry, in bool) {
	if m.jobList == nil {
		return
	}
	i := sort.Search(len(m.jobList), func(i int) bool { return !isOlderJob(m.jobList[i], e) })
	switch {
	case in:
		m.jobList = slices.Insert(m.jobList, i, e)
	case i < len(m.jobList) && m.jobList[i] == e:
		m.jobList = slices.Delete(m.jobList, i, i+1)
	default:
		m.jobList = nil // its age was changed under it; made again when asked for
	}
}

// indexBlock keeps the machine indexes in step with a block's record.
func (m *mirror) indexBlock(id string, old, now *blockEntry) {
	if (old == nil) != (now == nil) {
		m.blockList = nil
	}
	m.countBlock(old, -1)
	m.countBlock(now, 1)
	if old != nil {
		for _, bm := range old.rec.Machines {
			if m.blockIn[bm.Name] == id {
				delete(m.blockIn, bm.Name)
				delete(m.dropping, bm.Name)
			}
		}
	}
	if now != nil {
		for _, bm := range now.rec.Machines {
			m.blockIn[bm.Name] = id
			if bm.Drop {
				m.dropping[bm.Name] = true
			}
		}
	}
	if old != nil {
		for _, bm := range old.rec.Machines {
			if m.blockIn[bm.Name] == "" {
				m.caches.Gone(bm.Name)
			}
		}
	}
}

// countBlock keeps what each shard has, and the latest revision of its blocks.
func (m *mirror) countBlock(b *blockEntry, n int) {
	if b == nil {
		return
	}
	has := m.shardHas[b.rec.Shard]
	if has == nil {
		has = map[string]int{}
		m.shardHas[b.rec.Shard] = has
	}
	has[b.rec.Type] += n * len(b.rec.Machines)
	newest, known := m.newest[b.rec.Shard]
	switch {
	case n < 0 && b.ver == newest:
		delete(m.newest, b.rec.Shard)
	case n > 0 && known:
		m.newest[b.rec.Shard] = max(newest, b.ver)
	}
}

// indexTeams finds each team's shard; the first one that names it counts.
func (m *mirror) indexTeams() {
	m.shardList = nil
	clear(m.teamHome)
	for _, i := range m.shardIDs() {
		for _, t := range m.shards[i].rec.Teams {
			if _, known := m.teamHome[t]; !known {
				m.teamHome[t] = i
			}
		}
	}
}

// oldestCall is the first call of the state service that is under way.
func (c *Core) oldestCall() uint64 { return c.ways.OldestID(c.seq + 1) }

// put applies a write. Older news of the same key changes nothing, whichever
// way it came: watch, list, read or own commit.
func (c *Core) put(key string, raw wire.Raw, ver uint64) {
	if !strings.HasPrefix(key, wire.LivePrefix) || !c.ver.News(key, ver) {
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
			if r != c.chief {
				c.log(1, "leader", "node", r.Node, "boot", r.Boot)
			}
			c.chief = r
		}
	case key == wire.KeySettings:
		r := defaultSettings()
		if read(&r) {
			c.settings = r
		}
	case key == wire.KeyLadder:
		var r wire.Ladder
		if read(&r) {
			c.putLadder(r)
		}
	case strings.HasPrefix(key, wire.PrefixCordon):
		var r wire.Cordon
		if read(&r) {
			c.putCordon(key[len(wire.PrefixCordon):], r)
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
			c.words.SetStored(key[len(wire.PrefixReach):], r)
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
			c.putType(r)
		}
	default:
		c.putWork(key, ver, read, fail)
	}
	c.ver.Put(key, ver)
}

// putWork applies a write of a job, a shard, or what hangs on one.
func (c *Core) putWork(key string, ver uint64, read func(any) bool, fail func(error)) {
	switch {
	case strings.HasPrefix(key, wire.PrefixJob):
		var r wire.Job
		if read(&r) {
			c.ver.Put(key, ver)
			c.putJob(r, ver)
		}
	case strings.HasPrefix(key, wire.PrefixWaiting):
		var r wire.Job
		if read(&r) {
			c.ver.Put(key, ver)
			c.putWaiting(r, ver)
		}
	case strings.HasPrefix(key, wire.PrefixShard):
		var r wire.Shard
		i, err := strconv.Atoi(key[len(wire.PrefixShard):])
		if err != nil {
			fail(err)
		} else if read(&r) {
			c.ver.Put(key, ver)
			old := c.shards[i]
			c.shards[i] = &shardEntry{r, ver}
			c.noteTaken(i)
			c.indexTeams()
			c.shardChanged(i, old)
		}
	case strings.HasPrefix(key, wire.PrefixStart):
		var r wire.Starts
		if read(&r) {
			c.ver.Put(key, ver)
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
			c.wants[i] = r
		}
	case strings.HasPrefix(key, wire.PrefixCache):
		var r wire.Cache
		if read(&r) {
			for _, name := range r.Names() {
				if images, _ := r.Of(name); c.blockIn[name] != "" {
					c.caches.Read(name, images)
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
			c.ver.Put(key, ver)
			old := c.blocks[id]
			c.blocks[id] = &blockEntry{id, r, ver}
			c.indexBlock(id, old, c.blocks[id])
			c.followBoots(old, c.blocks[id])
			c.blockChanged(id, old)
		}
	}
}

func (c *Core) putJob(r wire.Job, ver uint64) {
	e := c.jobs[r.ID]
	if e == nil {
		e = &jobEntry{rec: r}
		c.jobs[r.ID] = e
		c.listJob(e, true)
	} else if e.rec.ReadySince() != r.ReadySince() || e.rec.Number != r.Number {
		c.jobList = nil
	}
	c.overlayStarts(&r)
	e.rec, e.ver = r, ver
	c.rankJob(e)
	c.jobChanged(e)
}

func (c *Core) putType(r wire.MachineType) {
	old, known := c.types[r.Name]
	c.types[r.Name] = r
	if !known || old.CPUs != r.CPUs || old.GPUs != r.GPUs || old.MemoryGB != r.MemoryGB {
		c.sizes++ // prices are read every minute, and weigh nothing here
		c.markShardDirty(-1)
	}
}

// remove applies a deletion known at revision rev.
func (c *Core) remove(key string, rev uint64) {
	if !strings.HasPrefix(key, wire.LivePrefix) || !c.ver.Remove(key, rev, c.seq) {
		return
	}
	switch {
	case key == wire.KeyLeader:
		c.chief = wire.Leader{}
		c.log(1, "no leader")
	case key == wire.KeySettings:
		c.settings = defaultSettings()
	case key == wire.KeyLadder:
		c.putLadder(wire.Ladder{})
	case strings.HasPrefix(key, wire.PrefixCordon):
		c.putCordon(key[len(wire.PrefixCordon):], wire.Cordon{Lifted: true})
	case strings.HasPrefix(key, wire.PrefixCrew):
		c.calendar.Remove(key[len(wire.PrefixCrew):])
	case strings.HasPrefix(key, wire.PrefixReach):
		c.words.RemoveStored(key[len(wire.PrefixReach):])
	case strings.HasPrefix(key, wire.PrefixNode):
		delete(c.nodes, key[len(wire.PrefixNode):])
		c.note(wire.TrailEvent{Kind: trail.NodeGone, Node: key[len(wire.PrefixNode):]})
		c.log(1, "controller gone", "node", key[len(wire.PrefixNode):])
	case strings.HasPrefix(key, wire.PrefixVersion):
		c.rollout.Remember(key[len(wire.PrefixVersion):], wire.Version{})
	case strings.HasPrefix(key, wire.PrefixType):
		delete(c.types, key[len(wire.PrefixType):])
		c.sizes++
		c.markShardDirty(-1)
	case strings.HasPrefix(key, wire.PrefixJob):
		id := key[len(wire.PrefixJob):]
		if e := c.jobs[id]; e != nil {
			delete(c.jobs, id)
			delete(c.counts, id)
			c.listJob(e, false)
			c.jobRemoved(e)
			c.lookOver(id)
		}
	case strings.HasPrefix(key, wire.PrefixWaiting):
		c.waitingGone(key[len(wire.PrefixWaiting):])
	case strings.HasPrefix(key, wire.PrefixDone):
		c.progress.Remove(key)
	case strings.HasPrefix(key, wire.PrefixWant):
		if i, err := strconv.Atoi(key[len(wire.PrefixWant):]); err == nil {
			delete(c.wants, i)
		}
	case strings.HasPrefix(key, wire.PrefixBlock):
		id := key[len(wire.PrefixBlock):]
		old := c.blocks[id]
		delete(c.blocks, id)
		c.indexBlock(id, old, nil)
		c.followBoots(old, nil)
		c.blockChanged(id, old)
	case strings.HasPrefix(key, wire.PrefixShard):
		c.log(0, "a shard record was removed", "key", key)
	}
}

// refresh reads one live key into the mirror.
func (c *Core) refresh(key string) {
	if !strings.HasPrefix(key, wire.LivePrefix) {
		return
	}
	c.state(StateCall{Op: OpGet, Key: key}, func(r StateReply) { c.learn(key, r); c.changed() })
}

func (c *Core) learn(key string, r StateReply) {
	switch r.Status {
	case 200:
		c.put(key, r.Item.Value, r.Item.Version)
	case 404:
		c.remove(key, r.List.Revision)
	}
}

// changed lets the leader and the holder act on a changed mirror.
func (c *Core) changed() {
	if c.loaded {
		c.lead()
		c.runHolder()
	}
}

// shardOf returns the shard that a team is homed in, or -1.
func (c *Core) shardOf(team string) int {
	if i, ok := c.teamHome[team]; ok {
		return i
	}
	return -1
}

// mine tells whether this life of this controller holds a shard and has taken it up.
func (c *Core) mine(i int) bool {
	return c.heldShards[i]
}

// token of a block: the write that last granted it, be it the shard's takeover
// or the block's own record. Revisions are unique and rise.
func (c *Core) token(b *blockEntry) uint64 {
	t := b.ver
	if s := c.shards[b.rec.Shard]; s != nil && s.ver > t {
		t = s.ver
	}
	return t
}

// shardCond holds as long as a shard has not changed hands, or otherwise.
func (c *Core) shardCond(i int) wire.Condition {
	return wire.Condition{Key: shardKey(i), Version: c.shards[i].ver}
}

// newestBlock is the latest revision of a shard's blocks.
func (c *Core) newestBlock(shard int) uint64 {
	newest, known := c.newest[shard]
	if !known {
		for _, b := range c.blocks {
			if b.rec.Shard == shard {
				newest = max(newest, b.ver)
			}
		}
		c.newest[shard] = newest
	}
	return newest
}

func jobKey(id string) string     { return wire.PrefixJob + id }
func finalKey(id string) string   { return wire.PrefixFinal + id }
func waitingKey(id string) string { return wire.PrefixWaiting + id }
func blockKey(id string) string   { return wire.PrefixBlock + id }
