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

// schedules is how many seeded days TestRandomSchedules plays; the variable
// BARROWBRIDGE_SCHEDULES asks for more.
var schedules = func() uint64 {
	n, err := strconv.ParseUint(os.Getenv("BARROWBRIDGE_SCHEDULES"), 10, 64)
	if err != nil {
		return 20
	}
	return n
}()

// Random days: crashes, hangs, outages, cuts, controllers that stand still, answers
// that are lost, writes that come late, and aborts, at seeded moments. The
// world checks the rules; at the end everything accepted is done.
func TestRandomSchedules(t *testing.T) {
	t.Parallel()
	seeds := []uint64{182, 243, 507, 578} // a block moved between two shards of one holder
	for s := uint64(100); s < 100+schedules; s++ {
		seeds = append(seeds, s, s+10000)
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
			for range 40 {
				if seed >= 10000 && w.rng.IntN(3) == 0 {
					w.newTrouble()
				}
				id = w.mishap(id)
				w.run(time.Duration(w.rng.IntN(6000)) * time.Millisecond)
				w.recount()
			}
			// Services are cancelled while others ask for them, and answers come late.
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
			w.unsure = 0 // all is well again: what was accepted gets done
			w.run(40 * sec)
			w.check.Calm(w.now)
			w.run(200 * sec)
			if b := w.check.FinishDay(w.now); len(b) > 0 {
				t.Fatalf("the day fails: %v", b)
			}
			if u := w.unfinished(); u != nil {
				t.Fatalf("accepted and not done: %v", u)
			}
		})
	}
}

// A seed plays the same day each time, to the last call: only so a fault that is found can
// be looked at.
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
	// Services of several replicas are cancelled: the workers were called in the order of a map.
	cancel := func() string {
		w := staffed(t, 400, 4)
		w.lateWrites(40, map[string]int{}, "machines out of blocks, or a block moved")
		w.eventful(t)
		return fmt.Sprint(w.seq, " ", w.callID)
	}
	first := cancel()
	for range 6 {
		if again := cancel(); again != first {
			t.Fatalf("the same day: %s and %s", first, again)
		}
	}
}

// mishap does one thing of a random day; id is the number of the next job.
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
		// Machines come late, at once or never while the cloud is in trouble, and after.
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
		case id%5 == 3: // a guest's
			s.Priority, s.DueS, s.Team = ptr("idle"), nil, ptr("guest")
			s.Tasks = ptr(int64(1 + id%40))
		}
		w.fails[*s.ID] = id%7 == 4
		w.submit(s)
		id++
	}
	return id
}
