package core

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/barrowbridge/barrowbridge/wire"
)

// A zone with workers and a controller is partitioned for longer than a lease, from the other zone
// only or from the state service too. Meanwhile users cancel and submit, machines hang, and the
// leader may restart. In the end all jobs are finished and all services run.
func TestAZoneCutOffForLongerThanALease(t *testing.T) {
	t.Parallel()
	for _, c := range []struct {
		name  string
		cut   time.Duration
		state bool // also partitioned from the state service
		ends  bool // the leader restarts meanwhile
	}{
		{"15 s", 15 * sec, false, false}, {"45 s", 45 * sec, false, true},
		{"15 s, from the state service too", 15 * sec, true, true}, {"45 s, from the state service too", 45 * sec, true, false}, {"90 s, from the state service too", 90 * sec, true, true},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			for seed := uint64(860); seed < 863; seed++ {
				w := busy(t, seed, c.cut+20*sec)
				w.copies, w.copyLate = 20, 40*sec
				w.run(10 * sec)
				const lone = "c1" // the controller of zone s
				w.apart[[2]string{"n", "s"}] = true
				w.hung[lone] = c.state
				if c.ends {
					w.at(time.Duration(w.rng.IntN(8000))*time.Millisecond, func() { w.bounce(2*sec, w.leaderOr()) })
				}
				w.hangSome(2, 6*sec)
				w.run(c.cut)
				w.apart, w.hung[lone] = map[[2]string]bool{}, false
				w.run(20 * sec)
				w.copies = 0
				w.served(t, seed)
			}
		})
	}
}

// Jobs bound to one zone, a named one or the one in which they start, small or with many tasks, lose
// machines: one after the other, several of a zone at once, or by hanging, while the leader or the
// holder of a shard restarts. No task goes to another zone, and all jobs are done.
func TestJobsOfOneZoneLoseMachines(t *testing.T) {
	t.Parallel()
	for _, ends := range []string{"nobody", "the leader", "the holder"} {
		t.Run(ends, func(t *testing.T) {
			t.Parallel()
			for seed := uint64(870); seed < 873; seed++ {
				w := busy(t, seed, 30*sec, func(w *world) { w.capacity, w.teams["red"] = 6, Team{CPUs: 12, CPUsMax: 300} })
				for i := range 12 {
					s := spec(fmt.Sprintf("job-2%05d", i), []string{"red", "blue", "green"}[i%3], wire.ShapeBatch, []int{2, 4, 14, 30}[i%4])
					if s.DueS, s.ImageGB = nil, ptr(0.01); i%2 == 0 {
						s.Zone = ptr([]string{"n", "s"}[i/2%2])
					} else {
						s.OneZone = ptr(true)
					}
					w.at(time.Duration(i)*2*sec, func() { w.submit(s) })
				}
				big := spec("job-300000", "red", wire.ShapeBatch, 40) // some of its tasks always wait
				big.OneZone, big.CPUs, big.DueS, big.ImageGB = ptr(true), ptr(2.0), nil, ptr(0.01)
				w.submit(big)
				for k := range 5 {
					w.run(time.Duration(4+w.rng.IntN(4)) * sec)
					for _, n := range w.order { // the next holder cannot query the machines of the large job
						for _, a := range w.machines[n].tasks() {
							if m := w.machines[n]; ends == "the holder" && strings.HasPrefix(a.Task, "job-300000/") && !m.Fault.Hung {
								w.hang(m)
								w.at(7*sec, func() { w.resume(m) })
							}
						}
					}
					zone := w.in([]string{"n", "s"}[k%2])
					for i, n := range zone {
						switch {
						case k == 2 && i%2 == 0 && i < 6, k != 2 && i == w.rng.IntN(len(zone)):
							w.vanish(n)
						case w.rng.IntN(4) == 0:
							w.hang(w.machines[n])
							w.at(time.Duration(5+w.rng.IntN(12))*sec, func() { w.resume(w.machines[n]) })
						}
					}
					switch ends {
					case "the leader":
						w.bounce(time.Duration(200+w.rng.IntN(6000))*time.Millisecond, w.leaderOr())
					case "the holder":
						w.bounce(time.Duration(200+w.rng.IntN(6000))*time.Millisecond, w.shardRec("red").Holder)
					}
				}
				w.run(120 * sec)
				w.served(t, seed)
			}
		})
	}
}

// There is more work than capacity, urgent and not, and the links are slow. No team exceeds its
// limit, urgent jobs start within a bound, and all jobs are done in the end.
func TestMoreWorkThanRoomOverSlowLinks(t *testing.T) {
	t.Parallel()
	for _, slow := range []time.Duration{40, 120, 240} {
		t.Run(fmt.Sprint(int64(slow), " ms"), func(t *testing.T) {
			t.Parallel()
			for seed := uint64(880); seed < 882; seed++ {
				w := busy(t, seed, 60*sec, func(w *world) {
					w.capacity = 0
					w.taskRuns = func(i int) time.Duration { return time.Duration(30+i*13%60) * sec }
				})
				w.slowLinks = slow * time.Millisecond
				began, asked := map[string]time.Duration{}, map[string]time.Duration{}
				for i := range 40 {
					s := spec(fmt.Sprintf("job-3%05d", i), []string{"red", "blue", "green"}[i%3], wire.ShapeBatch, 2+i%4)
					if s.DueS, s.ImageGB = nil, ptr(0.01); i%4 == 3 {
						s.Priority, s.Tasks, s.CPUs = ptr("urgent"), ptr(int64(1)), ptr(3.0) // lower priorities have to be preempted
						w.at(time.Duration(i)*sec, func() { asked[*s.ID] = w.now })
					}
					w.at(time.Duration(i)*sec, func() { w.submit(s) })
				}
				w.at(25*sec, func() { w.bounce(4*sec, w.leaderOr()) })
				for range 900 {
					w.run(100 * time.Millisecond)
					for id := range asked {
						if began[id] == 0 && w.begun(id) {
							began[id] = w.now
						}
					}
				}
				for _, id := range sortedKeys(asked) {
					if took := began[id] - asked[id]; began[id] == 0 {
						t.Errorf("seed %d: urgent job %s has not started", seed, id)
					} else if took > 50*sec { // one run took 40 s, at 240 ms
						t.Errorf("seed %d: urgent job %s started after %v, want at most 50 s", seed, id, took)
					}
				}
				w.slowLinks = 0
				w.run(250 * sec)
				w.served(t, seed)
			}
		})
	}
}

// The workers of three machines, of a zone, or all workers cannot open connections to any controller,
// while calls from controllers still reach them, for less than a lease or for several leases. A job
// is cancelled, and the leader or a holder may restart. The cancelled job is stopped by a call
// before its lease would end it, and other tasks continue elsewhere or start again.
func TestWorkersWithoutAVoice(t *testing.T) {
	t.Parallel()
	for _, who := range []string{"three", "a zone", "all"} {
		for _, d := range []time.Duration{6 * sec, 14 * sec, 50 * sec} {
			t.Run(fmt.Sprint(who, " for ", d), func(t *testing.T) {
				t.Parallel()
				for seed := uint64(890); seed < 893; seed++ {
					w := busy(t, seed, d+40*sec)
					off := spec("job-400000", "blue", wire.ShapeService, 2)
					off.Priority, off.DueS, off.ImageGB = ptr("urgent"), nil, ptr(0.01)
					w.submit(off)
					w.run(20 * sec)
					at := w.in("n")
					switch who {
					case "three":
						at = w.order[:3]
					case "all":
						at = w.order
					}
					w.speechless = map[string]bool{}
					for _, n := range at {
						w.speechless[n] = true
					}
					switch seed % 3 {
					case 0:
						w.bounce(sec, w.leaderOr())
					case 1:
						w.bounce(6*sec, w.shardRec("red").Holder)
					}
					w.run(time.Second)
					w.abort(*off.ID)
					w.run(4 * sec)
					if on := w.check.On(*off.ID, w.now); seed%3 == 2 && on != nil {
						t.Errorf("seed %d: 4 s after the cancellation the job still runs on %v", seed, on)
					}
					w.run(d - 5*sec)
					w.speechless = nil
					w.run(40 * sec)
					w.served(t, seed)
				}
			})
		}
	}
}

// The state service is down and the controllers cannot reach each other, so no controller has the
// authority to act, for longer than the time after which a silent machine is returned. They accepted
// no reports in that time, so afterwards no machine may be returned for its missing reports.
func TestMachinesAreNotGivenBackForOurOwnSilence(t *testing.T) {
	t.Parallel()
	w := staffed(t, 896, 4)
	standing := w.order[:6:6]
	for _, n := range sortedKeys(w.nodes) {
		w.silence(n, true)
	}
	w.outage(80 * sec)
	w.run(80 * sec)
	for _, n := range sortedKeys(w.nodes) {
		if w.nodes[n].core.authorized() {
			t.Fatalf("%s has authority to act", n)
		}
		w.silence(n, false)
	}
	w.run(20 * sec)
	for _, n := range standing {
		if w.machines[n].gone {
			t.Errorf("%s was returned to the cloud", n)
		}
	}
	w.backTo(t, 12, 40*sec)
}
