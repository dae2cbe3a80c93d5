package core

import (
	"fmt"
	"os"
	"sync"
	"testing"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/barrowbridge/barrowbridge/internal/trail"
	"github.com/barrowbridge/barrowbridge/wire"
)

// effects is a digest of all effects that the cores of a world have returned, in order.
type effects struct {
	sum   *xxhash.Digest
	count int
}

var effectsFile sync.Mutex

// digested enables the digest of a world's effects if the environment variable BARROWBRIDGE_DIGEST
// names a file. When the test ends, a line with the test's name, the number of effects and their
// digest is appended to the file. Two versions behave alike if their sorted files are equal.
func (w *world) digested() {
	path := os.Getenv("BARROWBRIDGE_DIGEST")
	if path == "" {
		return
	}
	w.asked = &effects{sum: xxhash.New()}
	w.t.Cleanup(func() {
		effectsFile.Lock()
		defer effectsFile.Unlock()
		f, err := os.OpenFile(path, os.O_APPEND|os.O_CREATE|os.O_WRONLY, 0o644)
		if err == nil {
			_, err = fmt.Fprintf(f, "%s %d %016x\n", w.t.Name(), w.asked.count, w.asked.sum.Sum64())
		}
		if f != nil {
			_ = f.Close()
		}
		if err != nil {
			w.t.Errorf("digest: %v", err)
		}
	})
}

// digest adds the effects that a core has returned for one input.
func (w *world) digest(node string, out []any) {
	if w.asked == nil {
		return
	}
	for _, e := range out {
		raw, err := wire.Marshal(e)
		if l, is := e.(Log); is {
			raw, err = []byte(fmt.Sprint(l.Level, l.Msg, l.KV)), nil
		}
		if err != nil {
			w.t.Fatalf("digest: %T: %v", e, err)
		}
		w.asked.count++
		_, _ = fmt.Fprintf(w.asked.sum, "%d %s %T ", w.now, node, e)
		_, _ = w.asked.sum.Write(raw)
	}
}

// Operators request all views and change settings during random schedules. Every request must get
// one of the documented status codes, and the digest covers the views.
func TestOperatorsAskForEverything(t *testing.T) {
	t.Parallel()
	for seed := uint64(30000); seed < 30006; seed++ {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			w := newWorld(t, seed, 3, func(w *world) { w.teams["guest"] = Team{CPUsMax: inf, GPUsMax: inf} })
			for i := range 5 {
				w.addMachine([]string{"n", "s"}[i%2], false, sec)
			}
			w.operators() // before the controllers have loaded the state
			w.pollAll()
			w.run(5 * sec)
			id, answered := 0, 0
			for k := range 30 {
				if k%3 == 0 {
					w.newTrouble()
				}
				id = w.mishap(id)
				answered += w.operators()
			}
			if answered < 200 {
				t.Errorf("operators got %d answers, want at least 200", answered)
			}
		})
	}
}

// operators requests all views from each controller and makes a random change at one of them. It
// returns the number of answers that arrived within 3 s.
func (w *world) operators() (answered int) {
	ask := func(node string, in func(q uint64) any) {
		w.ask(node, in, func(a Answer) {
			switch answered++; a.Status {
			case 200, 400, 404, 409, 503:
			default:
				w.t.Errorf("%v: undocumented answer of %s: %d %v", w.now, node, a.Status, a.Body)
			}
		})
	}
	machine, job := "none", fmt.Sprintf("job-%06d", w.rng.IntN(20))
	if len(w.order) > 0 {
		machine = w.order[w.rng.IntN(len(w.order))]
	}
	names := sortedKeys(w.nodes)
	for _, n := range names {
		ask(n, func(q uint64) any { return AdminOverview{Req: q} })
		ask(n, func(q uint64) any { return AdminWhy{Req: q, ID: job} })
		ask(n, func(q uint64) any { return AdminMachine{Req: q, Machine: machine} })
		ask(n, func(q uint64) any { return AdminReach{Req: q} })
		ask(n, func(q uint64) any { return AdminVersion{Req: q} })
		ask(n, func(q uint64) any { return AdminServiceOrder{Req: q} })
		ask(n, func(q uint64) any { return AdminTierOrder{Req: q} })
		ask(n, func(q uint64) any { return AdminCrews{Req: q} })
		ask(n, func(q uint64) any { return AdminSettings{Req: q} })
		ask(n, func(q uint64) any {
			return AdminTrail{Req: q, Node: append(names, "", "nobody")[w.rng.IntN(len(names)+2)], Query: trail.Query{Most: 50}}
		})
	}
	n := names[w.rng.IntN(len(names))]
	switch w.rng.IntN(6) {
	case 0:
		s := []float64{5, 60, -1}[w.rng.IntN(3)]
		ask(n, func(q uint64) any {
			return AdminSettings{Req: q, Patch: &wire.SettingsPatch{Version: w.key(wire.KeySettings).Version, IdleReturnS: &s, Spot: ptr(w.rng.IntN(2) == 0)}}
		})
	case 1:
		cordon := []*wire.Cordon{nil, {}, {Drain: true}}[w.rng.IntN(3)]
		ask(n, func(q uint64) any { return AdminCordon{Req: q, Machine: machine, Cordon: cordon} })
	case 2:
		newTiers := [][]wire.Tier{alarmTiers, nil, {{Name: ""}}, alarmTiers[1:]}[w.rng.IntN(4)]
		ask(n, func(q uint64) any {
			return AdminTierOrder{Req: q, Patch: &wire.TierOrderPatch{Version: w.key(wire.KeyTierOrder).Version, Tiers: newTiers, Check: w.rng.IntN(4) == 0}}
		})
	default:
		name := []string{"early", "late", "Never"}[w.rng.IntN(3)]
		_, ver := w.crewRec(name)
		if w.rng.IntN(5) == 0 {
			ask(n, func(q uint64) any { return AdminCrew{Req: q, Name: name, Ver: ver, DryRun: w.rng.IntN(2) == 0} })
			break
		}
		k := crewOf(w.hourIn([]time.Duration{60 * sec, 10 * sec, -300 * sec}[w.rng.IntN(3)]))
		k.Zone, k.Rule = []string{"", "n", "mars"}[w.rng.IntN(3)], []string{"", "FREQ=MINUTELY;INTERVAL=2"}[w.rng.IntN(2)]
		k.Classes = []string{"any"}
		k.Expect = wire.CrewWork{Tasks: w.rng.IntN(60), Seconds: 4, CPUs: 1, MemoryGB: 1}
		ask(n, func(q uint64) any {
			return AdminCrew{Req: q, Name: name, Patch: &wire.CrewPatch{Version: ver, Crew: k, DryRun: w.rng.IntN(5) == 0}}
		})
	}
	w.run(3 * sec)
	return answered
}
