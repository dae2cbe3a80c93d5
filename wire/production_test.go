package wire

import (
	"bytes"
	"encoding/json"
	"os"
	"testing"
)

// Reads records of the version in production (deploy/service.toml), as its own code encoded them in
// scripted tests with network cuts, late writes and takeovers. A record that is decoded and encoded
// again has the same bytes, so no part of it was dropped or misread.
func TestRecordsOfProductionAreRead(t *testing.T) {
	b, err := os.ReadFile("testdata/production/records.json")
	if err != nil {
		t.Fatal(err)
	}
	var records []struct {
		Kind, Key string
		Value     []byte
	}
	if err := json.Unmarshal(b, &records); err != nil {
		t.Fatal(err)
	}
	of := map[string]func() any{
		KeyLeader: func() any { return &Leader{} }, KeySettings: func() any { return &Settings{} }, KeyTierOrder: func() any { return &TierOrder{} },
		PrefixCordon: func() any { return &Cordon{} }, PrefixCrew: func() any { return &Crew{} }, PrefixBias: func() any { return &Bias{} },
		PrefixReach: func() any { return &ReachReport{} }, PrefixNode: func() any { return &Node{} }, PrefixType: func() any { return &MachineType{} },
		PrefixJob: func() any { return &Job{} }, PrefixShard: func() any { return &Shard{} }, PrefixStart: func() any { return &Starts{} },
		PrefixDemand: func() any { return &Demand{} }, PrefixCache: func() any { return &Cache{} }, PrefixBlock: func() any { return &Block{} },
		PrefixFinal: func() any { return &Final{} }, PrefixTrail: func() any { return &TrailRecord{} },
	}
	seen := map[string]int{}
	for _, r := range records {
		if of[r.Kind] == nil {
			t.Fatalf("%s: unknown kind of record", r.Kind)
		}
		seen[r.Kind]++
		v := of[r.Kind]()
		if err := Unmarshal(r.Value, v); err != nil {
			t.Errorf("%s: %v", r.Key, err)
			continue
		}
		if again, err := Marshal(v); err != nil || !bytes.Equal(again, r.Value) {
			t.Errorf("%s: decoded as %+v, its new encoding differs: %v", r.Key, v, err)
		}
	}
	for kind := range of {
		if seen[kind] == 0 {
			t.Errorf("no record of the kind %s", kind)
		}
	}
}
