package state

import (
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/anishathalye/porcupine"
	"pgregory.net/rapid"

	"github.com/barrowbridge/barrowbridge/wire"
)

func raw(v any) wire.Raw {
	b, err := wire.Marshal(v)
	if err != nil {
		panic(err)
	}
	return b
}

func store(l Limits) *Store {
	if l.ValueBytes == 0 {
		l.ValueBytes, l.TxnOps = 1024, 8
	}
	return New(l, rand.New(rand.NewPCG(1, 1)))
}

// op is a call of a client: a read or a compare-and-set of a key.
type op struct {
	key  string
	read bool
	old  uint64
	set  int64
}

// result is the answer to an op. Nothing is known of a call whose answer was lost, except that a
// write that was executed shows its version in the store.
type result struct {
	nothing bool
	failed  bool
	value   int64
	version uint64
}

type cell struct {
	value   int64
	version uint64
}

// model is the sequential specification of the service, partitioned by key.
var model = porcupine.Model{
	Partition: func(h []porcupine.Operation) [][]porcupine.Operation {
		by := map[string][]porcupine.Operation{}
		for _, o := range h {
			by[o.Input.(op).key] = append(by[o.Input.(op).key], o)
		}
		return slices.Collect(maps.Values(by))
	},
	Init: func() any { return cell{} },
	Step: func(state, in, out any) (bool, any) {
		s, o, h := state.(cell), in.(op), out.(result)
		switch {
		case h.nothing:
			return true, s
		case o.read:
			return h.value == s.value && h.version == s.version, s
		case h.failed:
			return o.old != s.version, s
		}
		return o.old == s.version && h.version > s.version, cell{o.set, h.version}
	},
}

// Clients read and compare-and-set a few keys at random while answers are lost or late and the
// service is down at times. The history must be linearizable: some sequential order of the calls
// gives the same answers.
func TestLinearizable(t *testing.T) {
	for seed := uint64(1); seed <= 60; seed++ {
		h := history(seed, nil)
		if r := porcupine.CheckOperations(model, h); !r {
			t.Fatalf("seed %d: the history of %d calls is not linearizable", seed, len(h))
		}
	}
}

// Guards against a check that passes everything: it must fail for a service that ignores the
// conditions of its transactions.
func TestALostUpdateIsFound(t *testing.T) {
	for seed := uint64(1); seed <= 20; seed++ {
		forget := func(c *Call) {
			if seed%2 == 0 || len(c.Txn.Then) > 0 {
				c.Txn.If = nil
			}
		}
		if !porcupine.CheckOperations(model, history(seed, forget)) {
			return
		}
	}
	t.Fatal("20 histories of a service that ignores conditions all passed")
}

// history simulates four clients and returns their calls. Each client has one call at a time, which is
// sent, executed and answered at random times, so that calls of different clients overlap. corrupt, if
// not nil, changes each call as a faulty service would.
func history(seed uint64, corrupt func(*Call)) (h []porcupine.Operation) {
	rng := rand.New(rand.NewPCG(seed, 7))
	s := store(Limits{})
	known := map[string]uint64{}
	type flight struct {
		in           op
		sent, at, by int64
		lost         bool
	}
	var flights []flight
	for client := range 4 {
		now := int64(0)
		for range 25 {
			now += rng.Int64N(40)
			f := flight{op{key: fmt.Sprint("k", rng.IntN(3)), read: rng.IntN(2) == 0, set: rng.Int64N(1e6) + 1}, now, now + rng.Int64N(30), int64(client), rng.IntN(10) == 0}
			flights = append(flights, f)
			now = f.at + 20
		}
	}
	slices.SortStableFunc(flights, func(a, b flight) int { return int(a.at - b.at) })
	end := int64(1 << 20)
	for i, f := range flights {
		s.Trouble.Down = rng.IntN(12) == 0
		f.in.old = known[f.in.key]
		c := Call{Op: Get, Key: f.in.key}
		if !f.in.read {
			c = Call{Op: Commit, Txn: Txn{If: []wire.Condition{{Key: f.in.key, Version: f.in.old}}, Then: []Change{{Put: f.in.key, Value: raw(f.in.set)}}}}
		}
		if corrupt != nil {
			corrupt(&c)
		}
		a := s.Do(time.Duration(f.at)*time.Millisecond, uint64(i), c)[0]
		if a.Status == 503 {
			continue // not executed, and the caller knows that
		}
		out := result{failed: a.Status == 409}
		out.nothing = f.lost && (f.in.read || out.failed)
		switch b := a.Body.(type) {
		case wire.Item:
			_ = wire.Unmarshal(b.Value, &out.value)
			out.version = b.Version
		case wire.TxnReply:
			out.version = b.Revision
		}
		ret := f.at + rng.Int64N(15)
		if f.lost { // the call may take effect at any later time
			ret = end + int64(i)
		} else if !out.failed && (f.in.read || rng.IntN(4) > 0) {
			known[f.in.key] = out.version
		}
		h = append(h, porcupine.Operation{ClientId: int(f.by), Input: f.in, Call: f.sent, Output: out, Return: ret})
	}
	return h
}

// A watcher that applies all events in order has the same contents as the store and as a list that
// is read page by page. Keys of a state lease that has ended are gone.
func TestWatchFollowsTheStore(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := store(Limits{PageItems: rapid.IntRange(1, 5).Draw(t, "page")})
		now, id := Time(0), uint64(0)
		do := func(c Call) Answer {
			id++
			for _, a := range s.Do(now, id, c) {
				if a.ID == id {
					return a
				}
			}
			return Answer{}
		}
		mirror, after := map[string]uint64{}, uint64(0)
		var leases []uint64
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			now += time.Duration(rapid.IntRange(0, 400).Draw(t, "ms")) * time.Millisecond
			key := fmt.Sprint(rapid.SampledFrom([]string{"a/", "b/"}).Draw(t, "prefix"), rapid.IntRange(0, 5).Draw(t, "key"))
			switch rapid.IntRange(0, 4).Draw(t, "op") {
			case 0:
				if a := do(Call{Op: Grant, Life: time.Second}); a.Status == 200 {
					leases = append(leases, a.Body.(wire.LeaseReply).Lease)
				}
			case 1:
				do(Call{Op: Commit, Txn: Txn{Then: []Change{{Delete: key}}}})
			case 2:
				ch := Change{Put: key, Value: raw(now.Milliseconds())}
				if len(leases) > 0 {
					ch.Lease = leases[len(leases)-1]
				}
				if a := do(Call{Op: Commit, Txn: Txn{Then: []Change{ch}}}); a.Status != 200 && ch.Lease == 0 {
					t.Fatalf("a put without a lease got status %d", a.Status)
				}
			case 3:
				if len(leases) > 0 {
					do(Call{Op: Extend, Lease: leases[len(leases)-1]})
				}
			default:
				a := do(Call{Op: Watch, Key: "a/", Revision: after})
				if a.Status != 200 {
					t.Fatalf("a watch without a hold got status %d", a.Status)
				}
				ev := a.Body.(wire.Events)
				for _, e := range ev.Events {
					if e.Version <= after {
						t.Fatalf("an event of revision %d after %d", e.Version, after)
					}
					if e.Put != "" {
						mirror[e.Put] = e.Version
					} else {
						delete(mirror, e.Delete)
					}
				}
				after = ev.Revision
				listed := map[string]uint64{}
				for last := ""; ; {
					l := do(Call{Op: List, Key: "a/", After: last}).Body.(wire.ItemList)
					for _, it := range l.Items {
						listed[it.Key], last = it.Version, it.Key
					}
					if !l.More {
						break
					}
				}
				if fmt.Sprint(mirror) != fmt.Sprint(listed) {
					t.Fatalf("the watch has %v, the lists have %v", mirror, listed)
				}
			}
		}
		now += 2 * time.Second // every state lease has ended
		s.Advance(now)
		s.Scan("", func(it wire.Item) {
			if it.Lease != 0 {
				t.Fatalf("%s still exists after its lease has ended", it.Key)
			}
		})
	})
}

// The store follows PROTOCOL in limits, conditions, state leases, outages and watches.
func TestProtocol(t *testing.T) {
	s := store(Limits{RPS: 10, WriteRPS: 4, ValueBytes: 100, TxnOps: 2})
	now, id := Time(0), uint64(0)
	do := func(c Call) Answer {
		id++
		for _, a := range s.Do(now, id, c) {
			if a.ID == id {
				return a
			}
		}
		return Answer{Status: -1} // the watch waits
	}
	want := func(what string, c Call, status int) Answer {
		t.Helper()
		now += 300 * time.Millisecond
		a := do(c)
		if a.Status != status {
			t.Errorf("%s: %d %v, want %d", what, a.Status, a.Body, status)
		}
		return a
	}
	put := func(key string, v any) Change { return Change{Put: key, Value: raw(v)} }
	commit := func(when []wire.Condition, then ...Change) Call {
		return Call{Op: Commit, Txn: Txn{If: when, Then: then}}
	}
	want("absent", Call{Op: Get, Key: "x"}, 404)
	want("a key with a space", Call{Op: Get, Key: "x y"}, 400)
	want("put", commit([]wire.Condition{{Key: "x"}}, put("x", "v")), 200)
	a := want("put again", commit([]wire.Condition{{Key: "x"}}, put("x", "w")), 409)
	if r := a.Body.(wire.TxnReply); len(r.Failed) != 1 || r.Failed[0] != "x" {
		t.Errorf("failed: %v", r.Failed)
	}
	want("three changes", commit(nil, put("a", 1), put("b", 1), put("c", 1)), 400)
	want("nine conditions", commit(make([]wire.Condition, 9)), 400)
	want("two changes of the same key", commit(nil, put("a", 1), Change{Delete: "a"}), 400)
	want("a value too large in JSON form", commit(nil, put("a", make([]int, 60))), 400)
	want("binary", commit(nil, put("a", []byte{1})), 400)
	want("a map keyed by numbers", commit(nil, put("a", map[int]int{1: 1})), 400)
	want("no such lease", commit([]wire.Condition{{Key: "nope", Version: 9}}, Change{Put: "a", Value: raw(1), Lease: 99}), 400)
	want("lease duration too short", Call{Op: Grant, Life: time.Millisecond}, 400)
	g := want("grant", Call{Op: Grant, Life: 5 * time.Second}, 200).Body.(wire.LeaseReply).Lease
	want("put with a lease", commit(nil, Change{Put: "g", Value: raw(1), Lease: g}), 200)
	s.Trouble.Down = true
	want("down", Call{Op: Get, Key: "x"}, 503)
	now += time.Minute
	s.Advance(now)
	s.Trouble.Down = false
	want("lease has its full duration after the outage", Call{Op: Extend, Lease: g}, 200)
	s.Trouble.Refused = map[string]bool{"c0": true}
	want("call of the refused client", Call{Client: "c0", Op: Get, Key: "x"}, 503)
	want("call of another client", Call{Client: "c1", Op: Get, Key: "x"}, 200)
	w := want("a watch waits", Call{Op: Watch, Key: "g", Revision: s.rev, Hold: 20 * time.Second}, -1)
	_ = w
	now += 6 * time.Second
	if out := s.Advance(now); len(out) != 1 || out[0].Body.(wire.Events).Events[0].Delete != "g" {
		t.Errorf("the end of a lease completed the watches %v, want the delete of g", out)
	}
	want("hold too long", Call{Op: Watch, Hold: 2 * time.Minute}, 400)
	s.dropped = 1
	want("too old", Call{Op: Watch, Revision: 0}, 410)
	for range 4 {
		do(commit(nil, put("x", 1)))
	}
	if a := do(commit([]wire.Condition{{Key: "x"}}, put("x", 1))); a.Status != 429 {
		t.Errorf("fifth change at once: status %d, want 429", a.Status)
	}
	for range 10 {
		do(Call{Op: Get, Key: "x"})
	}
	if a := do(Call{Op: Get, Key: "x"}); a.Status != 429 {
		t.Errorf("eleventh call at once: status %d, want 429", a.Status)
	}
}
