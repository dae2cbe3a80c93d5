package core

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/barrowbridge/barrowbridge/internal/limits"
	"github.com/barrowbridge/barrowbridge/internal/standin/state"
	"github.com/barrowbridge/barrowbridge/wire"
)

// someJobs submits n jobs of three teams, numbered from the given one: every third is a service,
// the others are arrays.
func (w *world) someJobs(from, n int) {
	for k := from; k < from+n; k++ {
		shape, tasks := wire.ShapeBatch, 1+k%9
		if k%3 == 2 {
			shape, tasks = wire.ShapeService, 1+k%4
		}
		s := spec(fmt.Sprintf("job-%06d", k), []string{"red", "blue", "green"}[k%3], shape, tasks)
		if shape == wire.ShapeService {
			s.Priority, s.DueS = ptr("urgent"), nil
		}
		w.submit(s)
	}
}

// roomy raises the limits of the state service, of the cloud and of the teams.
func roomy(w *world) {
	w.limits.ValueBytes, w.limits.TxnOps, w.capacity = 16<<10, 16, 40
	w.teams = map[string]Team{"red": {CPUs: 60, CPUsMax: 200}, "blue": {CPUs: 60, CPUsMax: 200}, "green": {CPUs: 60, CPUsMax: 200}, "guest": {CPUsMax: inf, GPUsMax: inf}}
}

// The limits of the state service fall without the controllers being told. They must learn the
// new limits from refused writes within seconds, and work must continue to start and end.
func TestLimitsFallUntold(t *testing.T) {
	t.Parallel()
	for seed := uint64(700); seed < 704; seed++ {
		w := newWorld(t, seed, 3, roomy)
		for i := range 12 {
			w.addMachine([]string{"n", "s"}[i%2], false, sec)
		}
		w.pollAll()
		w.run(5 * sec)
		w.someJobs(0, 90)
		w.run(20 * sec)
		w.lower(state.Limits{ValueBytes: 1024, TxnOps: 3, WriteRPS: 15}, false)
		w.someJobs(90, 60)
		w.run(30 * sec)
		learned := w.malformed
		if learned == 0 || learned > 60 {
			t.Errorf("seed %d: %d writes were refused as malformed, want 1 to 60", seed, learned)
		}
		w.run(200 * sec)
		if w.malformed > learned {
			t.Errorf("seed %d: %d writes were refused as malformed in the first 30 s, and %d later, want none", seed, learned, w.malformed-learned)
		}
		if u := w.unfinished(); u != nil {
			t.Fatalf("seed %d: accepted jobs that are not done: %v", seed, u)
		}
		overview := wire.Overview{}
		w.ask("c0", func(q uint64) any { return AdminOverview{Req: q} }, func(a Answer) { overview, _ = a.Body.(wire.Overview) })
		w.run(sec)
		if n := len(overview.Limits.Refused); n == 0 && overview.Limits.ValueBytes != 16<<10 {
			t.Errorf("seed %d: the overview shows the limits %+v", seed, overview.Limits)
		}
	}
}

// Random schedules in which controllers that know the next limits replace ones that do not, and
// whose records are larger. The limits fall during cuts, takeovers and outages; no write may then
// be refused as malformed, and all accepted jobs must be done. With every third seed the limits
// fall further than announced: some writes are refused, but all accepted jobs must still be done.
func TestLimitsFallAsTold(t *testing.T) {
	t.Parallel()
	for seed := uint64(800); seed < 800+schedules/2; seed++ {
		announced := seed%3 != 2
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			t.Parallel()
			w := newWorld(t, seed, 3, roomy)
			for i := range 12 {
				w.addMachine([]string{"n", "s"}[i%2], false, sec)
			}
			w.pollAll()
			w.run(5 * sec)
			w.someJobs(0, 130)
			w.run(15 * sec)
			largest := 0
			w.store.Scan(wire.PrefixStart, func(it wire.Item) {
				if n, err := wire.JSONSize(it.Value); err == nil {
					largest = max(largest, n)
				}
			})
			if largest < 2048 {
				t.Fatalf("the largest start slot has only %d bytes, so none must be divided", largest)
			}
			next := state.Limits{ValueBytes: 2048, TxnOps: 4 + int(seed%2), WriteRPS: 15}
			w.limits.ValueBytes, w.limits.TxnOps = next.ValueBytes, next.TxnOps // the limits that controllers get when they start from now on
			for _, n := range sortedKeys(w.nodes) {
				w.kill(n)
				w.run(time.Duration(500+w.rng.IntN(4000)) * time.Millisecond)
				w.start(n)
			}
			id := 1000
			if !announced {
				next.ValueBytes, next.TxnOps, next.WriteRPS = 900, 2+int(seed%2), 12
			}
			w.at(time.Duration(w.rng.IntN(60))*sec, func() { w.lower(next, announced) })
			for range 25 {
				if w.rng.IntN(3) == 0 {
					w.newTrouble()
				}
				id = w.mishap(id)
				w.run(time.Duration(w.rng.IntN(5000)) * time.Millisecond)
			}
			w.run(60 * sec)
			w.unsure = 0
			for _, id := range sortedKeys(w.jobs) {
				if j := w.jobs[id]; *j.spec.Shape == wire.ShapeService || w.fails[id] {
					w.abort(id)
				}
			}
			w.run(240 * sec)
			if w.malformed > 150 {
				t.Errorf("%d writes were refused as malformed, want at most 150", w.malformed)
			}
			if u := w.unfinished(); u != nil {
				t.Fatalf("accepted jobs that are not done: %v", u)
			}
			if b := w.check.FinishDay(w.now); len(b) > 0 {
				t.Fatalf("rules broken at the end of the run: %v", b)
			}
		})
	}
}

// A start that the state service refuses in any form must not prevent other starts. Operators must
// see the refusal, and the start must not be retried without limit.
func TestOneStartRefused(t *testing.T) {
	t.Parallel()
	w := newWorld(t, 710, 1, roomy)
	for i := range 12 {
		w.addMachine([]string{"n", "s"}[i%2], false, sec)
	}
	w.pollAll()
	w.run(5 * sec)
	w.limitsUnannounced = true
	tries := 0
	w.refusing = func(c StateCall) string {
		for _, ch := range c.Txn.Then {
			if r, ok := ch.Value.(wire.Starts); ok && strings.HasPrefix(ch.Put, wire.PrefixStart) {
				if _, bad := r.Entries["job-000001"]; bad {
					tries++
					return "the value is not allowed"
				}
			}
		}
		return ""
	}
	w.someJobs(0, 12)
	w.run(40 * sec)
	w.askAll()
	for k := range 12 {
		id := fmt.Sprintf("job-%06d", k)
		if k%3 != 2 && k != 1 && w.check.Final(id) == "" {
			t.Errorf("%s is not done", id)
		}
	}
	if w.check.Final("job-000001") != "" || tries < 2 || tries > 20 {
		t.Errorf("the refused job: status %q after %d tries, want none after 2 to 20", w.check.Final("job-000001"), tries)
	}
	var o wire.Overview
	w.ask("c0", func(q uint64) any { return AdminOverview{Req: q} }, func(a Answer) { o, _ = a.Body.(wire.Overview) })
	if len(o.Limits.Refused) != 1 || o.Limits.Refused[0].Kind != "start" || o.Limits.Refused[0].Count != tries || o.Limits.Stuck {
		t.Errorf("the overview shows the limits %+v after %d tries", o.Limits, tries)
	}
	w.refusing = nil
	w.run(60 * sec)
	w.askAll()
	if w.check.Final("job-000001") == "" {
		t.Error("the job is not done after its start was no longer refused")
	}
}

// While no start can be written, no machine may be rented for waiting tasks or returned.
func TestNothingIsRentedForWhatCannotStart(t *testing.T) {
	t.Parallel()
	w := newWorld(t, 711, 1, roomy)
	w.addMachine("n", false, sec)
	w.pollAll()
	w.run(5 * sec)
	w.limitsUnannounced = true
	w.refusing = func(c StateCall) string {
		if len(c.Txn.Then) > 0 && strings.HasPrefix(c.Txn.Then[0].Put, wire.PrefixStart) {
			return "the value is not allowed"
		}
		return ""
	}
	w.someJobs(0, 6)
	w.run(20 * sec)
	had := len(w.order)
	w.someJobs(6, 30)
	w.run(400 * sec)
	if n := len(w.order); n > had {
		t.Errorf("%d machines while no start could be written, %d before", n, had)
	}
	w.refusing = nil
	w.run(400 * sec)
	if u := w.unfinished(); u != nil {
		t.Fatalf("accepted jobs that are not done: %v", u)
	}
}

// 700 machines under the next, lower limits. No write may be refused as malformed, from the first
// start on: neither for arrays of 250 and 400 small tasks, nor for services, a takeover or the ends
// of tasks. 15 changes per second must be enough.
func TestLargeFleetWithinNextLimits(t *testing.T) {
	t.Parallel()
	const machines, services = 700, 150
	w := newWorld(t, 720, 3, func(w *world) {
		w.limits.WriteRPS, w.limits.ValueBytes, w.limits.TxnOps, w.limits.PageItems = 15, 2048, 4, 500
		w.capacity, w.runS = machines/4, 30*sec
		w.teams = map[string]Team{"red": {CPUs: 900, CPUsMax: 1500}, "blue": {CPUs: 900, CPUsMax: 1500}, "green": {CPUs: 900, CPUsMax: 1500}}
	})
	for i := range machines {
		w.addMachine([]string{"n", "s"}[i%2], false, sec)
	}
	w.run(30 * sec)
	held := 0
	for _, n := range sortedKeys(w.nodes) {
		held += len(w.nodes[n].core.machines)
	}
	if held != machines {
		t.Fatalf("%d of %d machines are held after 30 s", held, machines)
	}
	w.pollAll()
	for i := range services {
		s := spec(fmt.Sprintf("job-%06d", i), []string{"red", "blue", "green"}[i%3], wire.ShapeService, 1)
		s.Priority, s.DueS = ptr("urgent"), nil
		w.submit(s)
	}
	for i := range 12 {
		s := spec(fmt.Sprintf("job-%06d", 1000+i), []string{"red", "blue", "green"}[i%3], wire.ShapeBatch, 250+i%2*150)
		s.CPUs, s.EstimateS, s.DueS = ptr(0.5), ptr(30.0), ptr(3000.0)
		w.submit(s)
	}
	w.run(40 * sec)
	if n := w.runningTasks() + len(w.completed); n < services+3500 { // of the 3,900 batch tasks, which run for 30 to 34 s
		t.Errorf("%d tasks have started 40 s after all were submitted at once", n)
	}
	w.kill("c0")
	w.run(20 * sec)
	w.start("c0")
	w.run(120 * sec)
	if u := w.unfinished(); u != nil {
		t.Errorf("accepted jobs that are not done: %v", u)
	}
	if n := w.runningTasks(); n < services {
		t.Errorf("%d of %d services run", n, services)
	}
}

// A lowered limit must reach the packages that build records.
func TestALimitThatFallsReachesTheCalendar(t *testing.T) {
	t.Parallel()
	c := New(Params{Node: "c0", NodeZones: map[string]string{"c0": "n"}, MaxTxnOps: 8, MaxValueBytes: 8192})
	yes := func(string) bool { return true }
	crew := wire.Crew{Team: "red", Classes: []string{strings.Repeat("c", 700)}, Leaves: "2026-12-03T06:30", TimeZone: "UTC"}
	now := time.Date(2026, 12, 2, 6, 0, 0, 0, time.UTC)
	if _, err := c.calendar.Revise("early", crew, now, "c0", yes, yes); err != nil {
		t.Fatal(err)
	}
	c.applyWriteLimits(limits.Bounds{ValueBytes: 600, Changes: 8})
	if _, err := c.calendar.Revise("early", crew, now, "c0", yes, yes); err == nil {
		t.Error("the calendar still uses the initial limit")
	}
}
