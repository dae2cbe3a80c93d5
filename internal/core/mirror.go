package core

import (
	"sort"
	"strconv"
	"strings"

	"github.com/barrowbridge/barrowbridge/wire"
)

// mirror is this controller's copy of the live keys, in revision order.
type mirror struct {
	ver      map[string]uint64 // version of each key present
	tombs    map[string]uint64 // keys removed ahead of the watch
	jobs     map[string]*jobEntry
	blocks   map[string]*blockEntry
	shards   map[int]*shardEntry
	nodes    map[string]wire.Node
	wants    map[int]wire.Want
	types    map[string]wire.MachineType
	chief    wire.Leader
	settings wire.Settings
	cordons  map[string]wire.Cordon
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
	run  *jobRun // nil unless this controller holds the job's shard
}

func newMirror() mirror {
	return mirror{ver: map[string]uint64{}, tombs: map[string]uint64{}, jobs: map[string]*jobEntry{},
		blocks: map[string]*blockEntry{}, shards: map[int]*shardEntry{}, nodes: map[string]wire.Node{},
		wants: map[int]wire.Want{}, types: map[string]wire.MachineType{},
		settings: defaultSettings(), cordons: map[string]wire.Cordon{}}
}

func shardKey(i int) string { return wire.PrefixShard + strconv.Itoa(i) }
func wantKey(i int) string  { return wire.PrefixWant + strconv.Itoa(i) }

func (m *mirror) keys() []string { return sortedKeys(m.ver) }

func (m *mirror) shardIDs() []int {
	ids := make([]int, 0, len(m.shards))
	for i := range m.shards {
		ids = append(ids, i)
	}
	sort.Ints(ids)
	return ids
}

func (m *mirror) blockIDs() []string { return sortedKeys(m.blocks) }

func (m *mirror) dropTombs(rev uint64) {
	for k, v := range m.tombs {
		if v <= rev {
			delete(m.tombs, k)
		}
	}
}

// put applies a write. Older news of the same key changes nothing, whichever
// way it came: watch, list, read or own commit.
func (c *Core) put(key string, raw wire.Raw, ver uint64) {
	if !strings.HasPrefix(key, wire.LivePrefix) || ver <= c.ver[key] || ver <= c.tombs[key] {
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
	case strings.HasPrefix(key, wire.PrefixCordon):
		var r wire.Cordon
		if read(&r) {
			c.cordons[key[len(wire.PrefixCordon):]] = r
			c.cordonSeen(key[len(wire.PrefixCordon):])
		}
	case strings.HasPrefix(key, wire.PrefixNode):
		var r wire.Node
		if read(&r) {
			c.nodes[key[len(wire.PrefixNode):]] = r
		}
	case strings.HasPrefix(key, wire.PrefixType):
		var r wire.MachineType
		if read(&r) {
			c.types[r.Name] = r
		}
	case strings.HasPrefix(key, wire.PrefixJob):
		var r wire.Job
		if read(&r) {
			e := c.jobs[r.ID]
			if e == nil {
				e = &jobEntry{}
				c.jobs[r.ID] = e
			}
			e.rec, e.ver, e.prio = r, ver, wire.PriorityRank(r.Priority)
			c.ver[key] = ver
			c.jobSeen(e)
		}
	case strings.HasPrefix(key, wire.PrefixShard):
		var r wire.Shard
		i, err := strconv.Atoi(key[len(wire.PrefixShard):])
		if err != nil {
			fail(err)
		} else if read(&r) {
			c.ver[key] = ver
			old := c.shards[i]
			c.shards[i] = &shardEntry{r, ver}
			c.shardSeen(i, old)
		}
	case strings.HasPrefix(key, wire.PrefixWant):
		var r wire.Want
		i, err := strconv.Atoi(key[len(wire.PrefixWant):])
		if err != nil {
			fail(err)
		} else if read(&r) {
			c.wants[i] = r
		}
	case strings.HasPrefix(key, wire.PrefixBlock):
		var r wire.Block
		if read(&r) {
			id := key[len(wire.PrefixBlock):]
			c.ver[key] = ver
			old := c.blocks[id]
			c.blocks[id] = &blockEntry{id, r, ver}
			c.blockSeen(id, old)
		}
	}
	c.ver[key] = ver
	delete(c.tombs, key)
}

// remove applies a deletion known at revision rev.
func (c *Core) remove(key string, rev uint64) {
	if !strings.HasPrefix(key, wire.LivePrefix) || c.ver[key] > rev {
		return
	}
	if _, ok := c.ver[key]; !ok {
		if rev > c.tombs[key] {
			c.tombs[key] = rev
		}
		return
	}
	delete(c.ver, key)
	c.tombs[key] = rev
	switch {
	case key == wire.KeyLeader:
		c.chief = wire.Leader{}
		c.log(1, "no leader")
	case key == wire.KeySettings:
		c.settings = defaultSettings()
	case strings.HasPrefix(key, wire.PrefixCordon):
		delete(c.cordons, key[len(wire.PrefixCordon):])
		c.dirty = true
	case strings.HasPrefix(key, wire.PrefixNode):
		delete(c.nodes, key[len(wire.PrefixNode):])
		c.log(1, "controller gone", "node", key[len(wire.PrefixNode):])
	case strings.HasPrefix(key, wire.PrefixType):
		delete(c.types, key[len(wire.PrefixType):])
	case strings.HasPrefix(key, wire.PrefixJob):
		id := key[len(wire.PrefixJob):]
		if e := c.jobs[id]; e != nil {
			delete(c.jobs, id)
			delete(c.counts, id)
			c.jobGone(e)
		}
	case strings.HasPrefix(key, wire.PrefixWant):
		if i, err := strconv.Atoi(key[len(wire.PrefixWant):]); err == nil {
			delete(c.wants, i)
		}
	case strings.HasPrefix(key, wire.PrefixBlock):
		id := key[len(wire.PrefixBlock):]
		old := c.blocks[id]
		delete(c.blocks, id)
		c.blockSeen(id, old)
	case strings.HasPrefix(key, wire.PrefixShard):
		c.log(0, "a shard record was removed", "key", key)
	}
}

// changed lets the leader and the holder act on a changed mirror.
func (c *Core) changed() {
	if c.loaded {
		c.lead()
		c.hold()
	}
}

// shardOf returns the shard that a team is homed in, or -1.
func (c *Core) shardOf(team string) int {
	for _, i := range c.shardIDs() {
		for _, t := range c.shards[i].rec.Teams {
			if t == team {
				return i
			}
		}
	}
	return -1
}

// mine tells whether this life of this controller holds a shard and has taken it up.
func (c *Core) mine(i int) bool {
	return c.held[i]
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

func jobKey(id string) string   { return wire.PrefixJob + id }
func finalKey(id string) string { return wire.PrefixFinal + id }
func blockKey(id string) string { return wire.PrefixBlock + id }
