package core

import (
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
		if c := w.nodes[n].core; c != nil && c.understood(rollout.Chains) != on {
			w.t.Fatalf("%s: %s has chains on: %v; lack %v", when, n, !on, c.rollout.Lack(rollout.Chains))
		}
	}
}

// A roll of three with troubles: one dies before its turn and comes back old, another goes back
// to the old version after all were new. With presence alone it would be on whenever the old
// one is down.
func TestFeatureWaitsForOneThatIsDown(t *testing.T) {
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
	w := newWorld(t, 392, 3)
	w.run(15 * time.Second)
	w.wantOn("all new", true)
	held, was := false, uint64(0)
	w.noAnswer = func(node string, v StateCall) (time.Duration, bool) {
		if hit := kindOfWrite(v) == "version" && node == "c1" && !held; !hit {
			return 0, false
		}
		held, was = true, w.nodes["c1"].core.boot
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
