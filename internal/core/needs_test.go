package core

import (
	"testing"
	"time"

	"github.com/barrowbridge/barrowbridge/wire"
)

// The unmet demand of one shard for a high tier is served before that of another shard for routine
// work, whatever the numbers of the shards.
func TestNeedsOfUpperRungsAreServedFirst(t *testing.T) {
	t.Parallel()
	for upper := range 3 {
		c := New(Params{Node: "a", NodeZones: map[string]string{"a": "n"}, Teams: map[string]Team{"red": {CPUsMax: 9}}, WorkerLease: 10 * sec, CancelTimeout: 40 * sec, ReportInterval: 2 * sec, MaxTxnOps: 8, MaxValueBytes: 8192})
		c.born(7)
		c.loaded, c.mirrorRevision, c.now, c.wall = true, 90, 60*sec, time.UnixMilli(1e12)
		put := func(key string, v any, ver uint64) {
			raw, err := wire.Marshal(v)
			if err != nil {
				t.Fatal(err)
			}
			c.applyPut(key, raw, ver)
		}
		put(wire.KeyLeader, wire.Leader{Node: "a", Boot: 7}, 10)
		put(wire.PrefixType+"std", wire.MachineType{Name: "std", CPUs: 4, MemoryGB: 16, Price: 1, BootS: 5, Zones: []string{"n"}}, 11)
		for i := range 3 {
			put(shardKey(i), wire.Shard{Holder: "b", Boot: 5}, uint64(20+i))
			n := wire.Need{CPUs: 1, MemGB: 1, Tasks: 2}
			if i == upper {
				n.Tier = 3
			}
			put(demandKey(i), wire.Demand{Needs: []wire.Need{n}, Seen: 80}, uint64(30+i))
		}
		c.effects = nil
		c.serveDemand()
		if len(c.leader.servingShards) != 1 || !c.leader.servingShards[upper] {
			t.Errorf("shard %d has demand for the high tier, but the served shards are %v", upper, c.leader.servingShards)
		}
	}
}
