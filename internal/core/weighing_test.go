package core

import (
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/barrowbridge/barrowbridge/internal/standin/worker"
	"github.com/barrowbridge/barrowbridge/internal/weights"
	"github.com/barrowbridge/barrowbridge/wire"
)

// newWeightsWorld returns a world in which a service of whole-machine replicas needs one image of 6 GB from a store
// that can serve two machines at their full rate, with the given switches.
func newWeightsWorld(t testing.TB, seed uint64, replicas int, s weights.Switches, opts ...func(*world)) *world {
	w := newWorld(t, seed, 3, append([]func(*world){func(w *world) {
		w.lease, w.reportS, w.capacity = 12*sec, sec, 60
		w.teams = map[string]Team{"red": {CPUs: 200, CPUsMax: 260}, "blue": {CPUs: 40, CPUsMax: 60}}
		w.work.Depot = &worker.Depot{StoreGBps: 2, Reach: func(from, to string) bool {
			a, b := w.machines[from].info.Zone, w.machines[to].info.Zone
			return !w.apart[[2]string{a, b}] && !w.apart[[2]string{b, a}]
		}}
	}}, opts...)...)
	params := w.params
	w.params = func(node string) Params {
		p := params(node)
		p.Weights = s
		return p
	}
	for i := range 3 { // restart, because the first incarnations began without the switches
		w.kill(fmt.Sprintf("c%d", i))
		w.start(fmt.Sprintf("c%d", i))
	}
	for i := range replicas + 4 {
		w.addMachine([]string{"n", "s"}[i%2], false, sec)
	}
	w.run(8 * sec)
	w.model("job-000001", "red", "w-1", replicas)
	return w
}

// model submits a service of whole-machine replicas.
func (w *world) model(id, team, image string, replicas int) {
	s := spec(id, team, wire.ShapeService, replicas)
	s.DueS, s.CPUs, s.Image, s.ImageGB, s.Spot = nil, ptr(4.0), ptr(image), ptr(6.0), ptr(false)
	w.submit(s)
}

// replicas counts the running tasks of a job.
func (w *world) replicas(job string) (n int) {
	for _, k := range w.where(job) {
		n += k
	}
	return n
}

// allUp runs the world until n replicas run, for most at the longest, and returns the time it took.
func (w *world) allUp(job string, n int, most time.Duration) time.Duration {
	began := w.now
	for w.now < began+most && w.replicas(job) < n {
		w.run(100 * time.Millisecond)
	}
	return w.now - began
}

var bothOn = weights.Switches{PeerTransfer: true, PaceFetches: true}

// Twenty machines that each fetch 6 GB from a store with the rate of two machines need a minute. With peer
// transfer, all must have the image in little more than the 6 s that a single machine needs.
func TestWeightsAreHandedOn(t *testing.T) {
	t.Parallel()
	for seed := uint64(2100); seed < 2103; seed++ {
		fromStore := newWeightsWorld(t, seed, 20, weights.Switches{}).allUp("job-000001", 20, 2*time.Minute)
		w := newWeightsWorld(t, seed, 20, bothOn)
		withPeers := w.allUp("job-000001", 20, 2*time.Minute)
		t.Logf("seed %d: all up %v after the submission from the store, %v with peer transfer", seed, fromStore, withPeers)
		if fromStore < 55*sec || withPeers > 16*sec {
			t.Errorf("seed %d: all up after %v from the store, %v with peer transfer", seed, fromStore, withPeers)
		}
		w.run(3 * sec) // until all machines have reported the image
		view := w.weightsOf("w-1")
		if len(view.Holders) != 20 {
			t.Errorf("seed %d: %d machines are listed with the image, want 20", seed, len(view.Holders))
		}
	}
}

// weightsOf returns what all controllers together report about an image.
func (w *world) weightsOf(image string) (all wire.WeightsImageView) {
	for _, n := range sortedKeys(w.nodes) {
		w.ask(n, func(q uint64) any { return AdminWeights{Req: q, Image: image} }, func(a Answer) {
			for _, x := range a.Body.(wire.WeightsView).Images {
				all.Holders, all.Fetches = append(all.Holders, x.Holders...), append(all.Fetches, x.Fetches...)
			}
		})
	}
	w.run(100 * time.Millisecond)
	return all
}

// If the machines' own rates are the limit and not the store's, no fetch may be delayed and no limit of the
// store may be learned. If the store is the limit, its rate is learned, and then only as many machines fetch
// at once as use it fully: half of them are up in little over half of the time, instead of all at the end.
func TestFetchesAreHeldBackWhereTheStoreBinds(t *testing.T) {
	t.Parallel()
	pace := weights.Switches{PaceFetches: true}
	unlimited := newWeightsWorld(t, 2110, 20, pace, func(w *world) { w.work.Depot.StoreGBps = 0 })
	if took := unlimited.allUp("job-000001", 20, time.Minute); took > 12*sec {
		t.Errorf("the machines' rates are the limit, and all were up after %v", took)
	}
	unlimited.model("job-000002", "red", "w-2", 20)
	if took := unlimited.allUp("job-000002", 20, time.Minute); took > 25*sec { // machines are rented for them
		t.Errorf("the second model was up after %v", took)
	}
	limited := newWeightsWorld(t, 2111, 20, pace)
	limited.allUp("job-000001", 20, 2*time.Minute)
	limited.model("job-000002", "red", "w-2", 20)
	began := limited.now
	half := limited.allUp("job-000002", 10, 3*time.Minute)
	limited.allUp("job-000002", 20, 3*time.Minute)
	if all := limited.now - began; half > all*7/10 || all > 100*sec {
		t.Errorf("the second model: half up after %v, all after %v", half, all)
	}
}

// Controllers, machines, links and services fail while weights are being transferred. No invariant may break,
// no replica may start with a part of the weights, and all must be up within the time of the fault and one
// fetch from the store.
func TestWeightsWithTroubles(t *testing.T) {
	t.Parallel()
	holder := func(w *world) string { return w.shardRec("red").Holder }
	source := func(w *world) *host { // the machine that has fetched most of the image, and so can send the most
		var best *host
		for _, n := range w.order {
			if m := w.machines[n]; !m.gone && m.up && (best == nil || m.Fetched("w-1") > best.Fetched("w-1")) {
				best = m
			}
		}
		return best
	}
	for _, c := range []struct {
		what   string
		within time.Duration
		fault  func(w *world)
	}{
		{"the planner fails in the middle of a transfer tree", 15 * sec, func(w *world) { w.bounce(8*sec, holder(w)) }},
		{"all controllers restart", 15 * sec, func(w *world) { w.bounce(3*sec, sortedKeys(w.nodes)...) }},
		{"the leader restarts", 15 * sec, func(w *world) { w.bounce(8*sec, w.leaderNode()) }},
		{"two models", 15 * sec, func(w *world) { w.model("job-000003", "blue", "w-3", 8) }},
		{"the machine with the only complete copy is lost", 30 * sec, func(w *world) { w.vanish(source(w).info.Name) }},
		{"a source hangs", 30 * sec, func(w *world) {
			m := source(w)
			w.hang(m)
			w.at(30*sec, func() { w.resume(m) })
		}},
		{"a zone is cut off", 15 * sec, func(w *world) {
			w.apart[[2]string{"n", "s"}] = true
			w.at(15*sec, func() { clear(w.apart) })
		}},
		{"the state service is down", 15 * sec, func(w *world) {
			w.store.Trouble.Down = true
			w.at(10*sec, func() { w.store.Trouble.Down = false })
		}},
		{"writes are late", 15 * sec, func(w *world) {
			w.unsure = 20
			w.at(15*sec, func() { w.unsure = 0 })
		}},
		{"a burst of alarms", 15 * sec, func(w *world) {
			for j := range 30 {
				w.at(time.Duration(j)*200*time.Millisecond, func() {
					s := spec(fmt.Sprintf("job-%06d", 500+j), "blue", wire.ShapeBatch, 1)
					s.Priority, s.Image = ptr("urgent"), ptr("alarm")
					w.submit(s)
				})
			}
		}},
		{"copies of old reports reach all controllers", 15 * sec, func(w *world) {
			w.keep = map[string][]wire.Report{}
			w.at(4*sec, func() {
				for _, n := range sortedKeys(w.keep) {
					for _, r := range w.keep[n] {
						for _, c := range sortedKeys(w.nodes) {
							w.ask(c, func(q uint64) any { return WorkerReport{Req: q, Report: r} }, func(Answer) {})
						}
					}
				}
			})
		}},
	} {
		t.Run(strings.ReplaceAll(c.what, " ", "-"), func(t *testing.T) {
			t.Parallel()
			for seed := uint64(2120); seed < 2123; seed++ {
				w := newWeightsWorld(t, seed, 20, bothOn)
				w.run(6 * sec) // the first copies are complete or nearly, the others in transfer
				if n := w.replicas("job-000001"); n == 20 {
					t.Fatalf("seed %d: setup failed: all %d replicas are up", seed, n)
				}
				c.fault(w)
				if took := w.allUp("job-000001", 20, 3*time.Minute); took > c.within {
					t.Errorf("seed %d: all up %v after the fault", seed, took)
				}
				w.run(30 * sec)
			}
		})
	}
}

// A new version replaces an old one that is cancelled. A late report that still lists the old image must not
// cause further fetches of it.
func TestNewVersionOverAnOldOne(t *testing.T) {
	t.Parallel()
	w := newWeightsWorld(t, 2130, 12, bothOn)
	w.run(9 * sec)
	old := w.order[0]
	late, _ := w.machines[old].Inspect(w.now)
	w.cancelSoon("job-000001", func() {})
	w.run(20 * sec)
	w.model("job-000002", "red", "w-2", 12) // the new version
	w.run(3 * sec)
	for _, n := range sortedKeys(w.nodes) {
		w.ask(n, func(q uint64) any { return WorkerReport{Req: q, Report: late} }, func(Answer) {})
	}
	if took := w.allUp("job-000002", 12, 2*time.Minute); took > 30*sec {
		t.Errorf("the new version was up after %v", took)
	}
	if v := w.weightsOf("w-1"); len(v.Fetches) > 0 {
		t.Errorf("the old version is still being fetched: %+v", v.Fetches)
	}
}

// A transfer plan takes one write per image and stage, whichever controller holds the shard. It names the
// machines that fetch from the store, and is removed when all transfers are done. With peer transfer
// switched off, nothing may be written or published.
func TestPlansAreFewChanges(t *testing.T) {
	t.Parallel()
	for _, on := range []bool{true, false} {
		s := weights.Switches{PeerTransfer: on}
		writes, named := 0, false
		w := newWeightsWorld(t, 2140, 40, s, func(w *world) {
			w.noAnswer = func(_ string, v StateCall) (time.Duration, bool) {
				for _, ch := range v.Txn.Then {
					if strings.HasPrefix(ch.Put, wire.PrefixWeights) {
						writes++
						rec := ch.Value.(wire.Weights)
						named = named || slices.ContainsFunc(rec.Images, func(x wire.WeightsImage) bool { return x.Image == "w-1" && len(x.Roots) > 0 })
					}
				}
				return 0, false
			}
		})
		w.allUp("job-000001", 40, 3*time.Minute)
		w.run(10 * sec)
		if v := w.weightsOf("w-1"); len(v.Holders) != 40 {
			t.Errorf("on %v: %d machines are listed with the image, want 40", on, len(v.Holders))
		}
		if on && (!named || writes < 2 || writes > 6) || !on && writes > 0 {
			t.Errorf("on %v: %d plan writes, roots named %v", on, writes, named)
		}
	}
}
