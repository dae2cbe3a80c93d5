package core

import (
	"encoding/json"
	"os"
	"strings"
	"testing"
	"time"

	"github.com/barrowbridge/barrowbridge/internal/rollout"
	"github.com/barrowbridge/barrowbridge/wire"
)

// older makes the named controllers start next time with a version that has no features.
func (w *world) older(names ...string) {
	params, old := w.params, map[string]bool{}
	for _, n := range names {
		old[n] = true
	}
	w.params = func(node string) Params {
		p := params(node)
		if old[node] {
			p.Version, p.Features = "", nil
		}
		return p
	}
}

// wantOn checks at all running controllers whether the chains feature is enabled.
func (w *world) wantOn(when string, on bool) {
	w.t.Helper()
	for _, n := range sortedKeys(w.nodes) {
		if c := w.nodes[n].core; c != nil && c.featureEnabled(rollout.Chains) != on {
			w.t.Fatalf("%s: chains enabled at %s: %v; controllers that lack the feature: %v", when, n, !on, c.rollout.ControllersLacking(rollout.Chains))
		}
	}
}

// A rolling upgrade of three controllers with faults: one controller ends before it is upgraded and
// restarts with the old version, and another returns to the old version after all were upgraded.
// If only present controllers counted, the feature would be enabled whenever the old one is down.
func TestFeatureWaitsForOneThatIsDown(t *testing.T) {
	t.Parallel()
	w := newWorld(t, 391, 3)
	fresh := w.params
	w.older("c0", "c1", "c2")
	for _, n := range sortedKeys(w.nodes) {
		w.kill(n)
		w.start(n)
	}
	w.run(20 * time.Second)
	w.wantOn("all old", false)

	w.params = fresh
	w.older("c2")
	for _, n := range []string{"c0", "c1"} {
		w.kill(n)
		w.run(time.Second)
		w.start(n)
		w.run(15 * time.Second)
		w.wantOn(n+" is new", false)
	}
	w.kill("c2")
	w.run(40 * time.Second)
	w.wantOn("c2 down before its turn", false)
	w.start("c2")
	w.run(15 * time.Second)
	w.wantOn("c2 restarted with the old version", false)

	w.params = fresh
	w.kill("c2")
	w.start("c2")
	w.run(15 * time.Second)
	w.wantOn("all new", true)
	w.kill("c1")
	w.run(30 * time.Second)
	w.wantOn("an upgraded controller is down", true)

	w.older("c1")
	w.start("c1")
	w.run(15 * time.Second)
	w.wantOn("c1 restarted with the old version", false)
	w.kill("c1")
	w.run(40 * time.Second)
	w.wantOn("c1 down, was old", false)
	w.params = fresh
	w.start("c1")
	w.run(15 * time.Second)
	w.wantOn("all new again", true)
}

// An incarnation's write of its own version record is executed late, after the controller has
// restarted with an older version. The other controllers have the older version again too, so none
// would correct the record. The write must fail, because the incarnation that it describes has
// ended.
func TestVersionOfAnEarlierLifeExecutedLate(t *testing.T) {
	t.Parallel()
	w := newWorld(t, 392, 3)
	w.run(15 * time.Second)
	w.wantOn("all new", true)
	held, was := false, uint64(0)
	w.noAnswer = func(node string, v StateCall) (time.Duration, bool) {
		if hit := kindOfWrite(v) == "version" && node == "c1" && !held; !hit {
			return 0, false
		}
		held, was = true, w.nodes["c1"].core.presence.Boot()
		w.older("c1")
		w.at(0, func() { w.kill("c1"); w.start("c1") })
		return 6 * time.Second, true
	}
	w.older("c0", "c2")
	for _, n := range sortedKeys(w.nodes) {
		w.kill(n)
		w.start(n)
	}
	for range 400 {
		w.run(50 * time.Millisecond)
		var r wire.Version
		if err := wire.Unmarshal(w.key(wire.PrefixVersion+"c1").Value, &r); err != nil || held && r.Boot == was {
			t.Fatalf("%v: version record of an ended incarnation was written: %+v %v", w.now, r, err)
		}
	}
	if !held {
		t.Fatal("no write was delayed")
	}
	w.wantOn("all old", false)
}

// Records that the version in production has written, which are kept as test data, must be loaded.
func TestRecordsOfProductionAreTakenUp(t *testing.T) {
	t.Parallel()
	b, err := os.ReadFile("../../wire/testdata/production/records.json")
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
	c := New(Params{Node: "c0", Zone: "n", NodeZones: map[string]string{"c0": "n"}, MaxTxnOps: 8, MaxValueBytes: 8192})
	keys := map[string]bool{}
	for i, r := range records {
		c.applyPut(r.Key, r.Value, uint64(i)+1)
		if strings.HasPrefix(r.Key, wire.LivePrefix) {
			keys[r.Key] = true
		}
	}
	for _, e := range c.effects {
		if l, is := e.(Log); is && l.Level == 0 {
			t.Errorf("%s %v", l.Msg, l.KV)
		}
	}
	if len(c.jobs) == 0 || len(c.blocks) == 0 || len(c.shards) == 0 || len(c.demands) == 0 || len(c.nodes) == 0 || len(c.machineTypes) == 0 || len(c.calendar.Names()) == 0 || c.imageCaches.Len() == 0 {
		t.Errorf("of %d records: %d jobs, %d blocks, %d shards, %d wants, %d controllers, %d types, %d crews, images of %d machines were loaded", len(records),
			len(c.jobs), len(c.blocks), len(c.shards), len(c.demands), len(c.nodes), len(c.machineTypes), len(c.calendar.Names()), c.imageCaches.Len())
	}
	if got := c.versions.Keys(); len(got) != len(keys) {
		t.Errorf("%d of %d keys are known", len(got), len(keys))
	}
	if lack := c.rollout.ControllersLacking(rollout.Chains); len(lack) == 0 {
		t.Error("a controller of the production version counts as one that supports chains")
	}
}

// A message of a kind that only a later version knows must not be treated as a ping. Once it was
// answered like one, and what had been kept for its sender's mirror was taken as not yet received.
func TestAnUnknownKindOfMessageIsNoPing(t *testing.T) {
	t.Parallel()
	w := newWorld(t, 393, 3)
	w.run(10 * time.Second)
	c := w.nodes["c0"].core
	for _, e := range c.Step(w.now, time.UnixMilli(1e12).Add(w.now), Peer{Msg: PeerMessage{From: "c1", Boot: 2, Revision: c.mirrorRevision}}) {
		if p, is := e.(PeerSend); is {
			t.Errorf("the unknown message was answered: %+v", p)
		}
	}
}
