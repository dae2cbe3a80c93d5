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

// older makes the named controllers' next lives ones of a version that knows of no features.
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

// wantOn compares what all controllers that run believe of chains.
func (w *world) wantOn(when string, on bool) {
	w.t.Helper()
	for _, n := range sortedKeys(w.nodes) {
		if c := w.nodes[n].core; c != nil && c.featureEnabled(rollout.Chains) != on {
			w.t.Fatalf("%s: %s has chains on: %v; lack %v", when, n, !on, c.rollout.ControllersLacking(rollout.Chains))
		}
	}
}

// A roll of three with troubles: one dies before its turn and comes back old, another goes back
// to the old version after all were new. With presence alone it would be on whenever the old
// one is down.
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
	w.wantOn("c2 came back old", false)

	w.params = fresh
	w.kill("c2")
	w.start("c2")
	w.run(15 * time.Second)
	w.wantOn("all new", true)
	w.kill("c1")
	w.run(30 * time.Second)
	w.wantOn("one that understands is down", true)

	w.older("c1")
	w.start("c1")
	w.run(15 * time.Second)
	w.wantOn("c1 came back old", false)
	w.kill("c1")
	w.run(40 * time.Second)
	w.wantOn("c1 down, was old", false)
	w.params = fresh
	w.start("c1")
	w.run(15 * time.Second)
	w.wantOn("all new again", true)
}

// What a life says of itself is executed late, after it died and came back as an older version,
// the others being older again already, so that nobody puts it right: it is not written down,
// for the life that it is about is over.
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
			t.Fatalf("%v: written down of a life that is over: %+v %v", w.now, r, err)
		}
	}
	if !held {
		t.Fatal("no write was held back")
	}
	w.wantOn("all old", false)
}

// What the version in production has written, in the records kept as test data, is taken up.
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
		t.Errorf("of %d records: %d jobs, %d blocks, %d shards, %d wants, %d controllers, %d types, %d crews, images of %d machines", len(records),
			len(c.jobs), len(c.blocks), len(c.shards), len(c.demands), len(c.nodes), len(c.machineTypes), len(c.calendar.Names()), c.imageCaches.Len())
	}
	if got := c.versions.Keys(); len(got) != len(keys) {
		t.Errorf("%d keys are known, of %d", len(got), len(keys))
	}
	if lack := c.rollout.ControllersLacking(rollout.Chains); len(lack) == 0 {
		t.Error("a controller that production wrote of counts as one that understands chains")
	}
}

// A kind of message that a later version sends, and this one does not know, is no ping: it was
// answered as one, and what had been kept for its sender's mirror was taken for unseen.
func TestAnUnknownKindOfMessageIsNoPing(t *testing.T) {
	t.Parallel()
	w := newWorld(t, 393, 3)
	w.run(10 * time.Second)
	c := w.nodes["c0"].core
	for _, e := range c.Step(w.now, time.UnixMilli(1e12).Add(w.now), Peer{Msg: PeerMessage{From: "c1", Boot: 2, Revision: c.mirrorRevision}}) {
		if p, is := e.(PeerSend); is {
			t.Errorf("it is answered: %+v", p)
		}
	}
}
