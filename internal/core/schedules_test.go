package core

import (
	"fmt"
	"os"
	"strconv"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/barrowbridge/barrowbridge/wire"
)

// schedules is the number of seeds that TestRandomSchedules runs in each of its two seed ranges.
// The environment variable BARROWBRIDGE_SCHEDULES overrides the default.
var schedules = countFromEnv("BARROWBRIDGE_SCHEDULES", 20)

// countFromEnv returns the number in an environment variable, or the default if it has none.
func countFromEnv(name string, otherwise uint64) uint64 {
	n, err := strconv.ParseUint(os.Getenv(name), 10, 64)
	if err != nil {
		return otherwise
	}
	return n
}

// repeatSeeds is the first seed with arrays of very small tasks, and with requests that are carried out twice: direct
// calls, transactions, rentals, deletions, messages between controllers, submissions and cancellations.
const repeatSeeds = 30000

// Random schedules of crashes, hangs, outages, network cuts, paused controllers, lost answers,
// late writes and aborts at seeded moments. The world checks the rules, and at the end all
// accepted jobs must be done.
func TestRandomSchedules(t *testing.T) {
	t.Parallel()
	seeds := []uint64{182, 243, 507, 578} // seeds in which a block moves between two shards of one holder
	for s := uint64(100); s < 100+schedules; s++ {
		seeds = append(seeds, s, s+10000)
		if s%2 == 0 {
			seeds = append(seeds, s+repeatSeeds)
		}
	}
	for _, seed := range seeds {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			t.Parallel()
			w := newWorld(t, seed, 3, func(w *world) { w.teams["guest"] = Team{CPUsMax: inf, GPUsMax: inf} })
			for i := range 5 {
				w.addMachine([]string{"n", "s"}[i%2], false, sec)
			}
			w.pollAll()
			w.run(5 * sec)
			id := 0
			if seed >= repeatSeeds {
				w.repeats = 30
			}
			for k := range 40 {
				if seed >= repeatSeeds && k%8 == 3 {
					w.submit(tiny(spec(fmt.Sprintf("job-9%05d", k), []string{"red", "blue"}[k/8%2], wire.ShapeBatch, 1500)))
				}
				if seed >= 10000 && w.rng.IntN(3) == 0 {
					w.newTrouble()
				}
				id = w.mishap(id)
				w.run(time.Duration(w.rng.IntN(6000)) * time.Millisecond)
				w.recount()
			}
			// Cancels the services while others poll them and answers arrive late.
			w.unsure = 30
			for _, id := range sortedKeys(w.jobs) {
				if j := w.jobs[id]; *j.spec.Shape == wire.ShapeService || w.fails[id] {
					for _, n := range sortedKeys(w.nodes) {
						w.poll(n, id)
					}
					w.abort(id)
				}
			}
			w.run(5 * sec)
			w.unsure, w.repeats = 0, 0 // no faults from now on, so all accepted jobs must complete
			w.run(40 * sec)
			w.check.Calm(w.now)
			w.run(200 * sec)
			if b := w.check.FinishDay(w.now); len(b) > 0 {
				t.Fatalf("rules broken at the end of the run: %v", b)
			}
			if u := w.unfinished(); u != nil {
				t.Fatalf("accepted jobs that are not done: %v", u)
			}
		})
	}
}

// A seed must produce exactly the same run each time, down to the last call. Otherwise a fault
// that a random schedule finds could not be reproduced.
func TestASeedRepeats(t *testing.T) {
	t.Parallel()
	play := func(seed uint64) string {
		w := newWorld(t, seed, 3)
		for i := range 5 {
			w.addMachine([]string{"n", "s"}[i%2], false, sec)
		}
		w.pollAll()
		log, id := "", 0
		for range 30 {
			w.newTrouble()
			id = w.mishap(id)
			w.run(time.Duration(w.rng.IntN(6000)) * time.Millisecond)
			log += fmt.Sprint(w.now, " ", w.seq, " ", w.callID, "\n")
		}
		w.store.Scan(wire.LivePrefix, func(it wire.Item) { log += fmt.Sprintf("%s %d %x\n", it.Key, it.Version, it.Value) })
		return log
	}
	for seed := uint64(20000); seed < 20004; seed++ {
		if diff := cmp.Diff(play(seed), play(seed)); diff != "" {
			t.Fatalf("seed %d:\n%s", seed, diff)
		}
	}
	// Cancels services of several replicas, because the workers were once called in the random
	// order of a map.
	cancel := func() string {
		w := staffed(t, 400, 4)
		w.lateWrites(40, map[string]int{}, "machines out of blocks, or a block moved")
		w.eventful(t)
		return fmt.Sprint(w.seq, " ", w.callID)
	}
	first := cancel()
	for range 6 {
		if again := cancel(); again != first {
			t.Fatalf("repeated runs differ: %s and %s", first, again)
		}
	}
}

// mishap injects one random fault or submits or cancels jobs. id is the number of the next job;
// mishap returns the one after that.
func (w *world) mishap(id int) int {
	switch w.rng.IntN(13) {
	case 12:
		id, _ = w.newPipeline(id)
	case 10:
		w.stand(fmt.Sprintf("c%d", w.rng.IntN(3)), time.Duration(500+w.rng.IntN(14000))*time.Millisecond)
	case 11:
		w.unsure = 1 + w.rng.IntN(30)
		w.at(time.Duration(1+w.rng.IntN(15))*sec, func() { w.unsure = 0 })
	case 0:
		n := fmt.Sprintf("c%d", w.rng.IntN(3))
		if w.nodes[n].core != nil {
			w.kill(n)
			w.at(time.Duration(1+w.rng.IntN(12))*sec, func() { w.start(n) })
		}
	case 1:
		if len(w.order) > 0 {
			m := w.machines[w.order[w.rng.IntN(len(w.order))]]
			w.hang(m)
			w.at(time.Duration(1+w.rng.IntN(25))*sec, func() { w.resume(m) })
		}
	case 2:
		if w.stateUp() && w.rng.IntN(2) == 0 {
			w.outage(time.Duration(1+w.rng.IntN(15)) * sec)
		}
	case 3:
		n := fmt.Sprintf("c%d", w.rng.IntN(3))
		w.cutFrom[n] = true
		w.silence(n, w.rng.IntN(2) == 0)
		w.at(time.Duration(1+w.rng.IntN(30))*sec, func() { delete(w.cutFrom, n); w.silence(n, false) })
	case 4:
		w.apart[[2]string{"n", "s"}] = true
		w.at(time.Duration(1+w.rng.IntN(25))*sec, func() { w.apart = map[[2]string]bool{} })
	case 5:
		if id > 0 {
			w.abort(fmt.Sprintf("job-%06d", w.rng.IntN(id)))
		}
	case 6:
		// The cloud is down for a while. Meanwhile and afterwards machines boot slowly, at once or
		// never.
		w.bootS, w.absent = []time.Duration{200 * time.Millisecond, 3 * sec, 25 * sec}[id%3], []int{0, 30, 90}[id/3%3]
		w.at(40*sec, func() { w.bootS, w.absent = 3*sec, 0 })
		w.cloud.Trouble.Down = true
		w.at(time.Duration(1+w.rng.IntN(15))*sec, func() { w.cloud.Trouble.Down = false })
	default:
		shape := wire.ShapeBatch
		if w.rng.IntN(4) == 0 {
			shape = wire.ShapeService
		}
		s := spec(fmt.Sprintf("job-%06d", id), []string{"red", "blue", "green"}[w.rng.IntN(3)], shape, 1+w.rng.IntN(10))
		s.Spot = ptr(w.rng.IntN(2) == 0)
		switch {
		case shape == wire.ShapeService:
			s.Priority = ptr("urgent")
			s.DueS = nil
		case id%5 == 3: // a job of the guest team
			s.Priority, s.DueS, s.Team = ptr("idle"), nil, ptr("guest")
			s.Tasks = ptr(int64(1 + id%40))
		}
		w.fails[*s.ID] = id%7 == 4
		w.submit(s)
		id++
	}
	return id
}
