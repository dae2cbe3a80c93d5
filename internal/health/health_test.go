package health

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"pgregory.net/rapid"
)

var params = Params{ProvenJobWeight: 0.9, UnprovenJobWeight: 0.3, FailsElsewhereWeight: 0.05, SuspectCertainty: 0.5, FaultyCertainty: 0.85,
	ProvenMachineWeight: 1, UnprovenMachineWeight: 0.6, TroubledMachineWeight: 0.3, MistakenThreshold: 1.5,
	RetryDelay: time.Second, RetryDelayMax: 30 * time.Second, MistakenRetryDelayMax: 4 * time.Minute}

// play runs jobs of several tasks on machines at random: mistaken jobs fail everywhere, and every
// task fails on a faulty machine. It avoids faulty machines and respects retry delays.
func play(tracker *Tracker, rng *rand.Rand, jobs, machines, steps int, badJob, badMachine func(int) bool) (starts map[string]int) {
	starts = map[string]int{}
	now := time.Duration(0)
	for range steps {
		now += 500 * time.Millisecond
		j, m := rng.IntN(jobs), rng.IntN(machines)
		jn, mn := fmt.Sprint("j", j), fmt.Sprint("m", m)
		if v, _ := tracker.MachineVerdict(mn); v == Faulty || now < tracker.NotBefore(jn) || tracker.Avoids(jn, mn) {
			continue
		}
		starts[jn]++
		if badJob(j) || badMachine(m) {
			tracker.RecordFailure(now, jn, mn)
		} else {
			tracker.RecordCompletion(jn, mn)
		}
	}
	return starts
}

// The tracker blames the right parties in nine of ten random runs with up to three bad ones, and
// nobody if nothing is bad.
func TestBlame(t *testing.T) {
	right, runs := 0, 200
	for seed := range uint64(runs) {
		rng := rand.New(rand.NewPCG(seed, 3))
		bad := rng.IntN(4)
		badJobs := rng.IntN(bad + 1)
		jobs, machines := 8+rng.IntN(20), 6+rng.IntN(30)
		tracker := New(params)
		mistaken, faulty := func(j int) bool { return j < badJobs }, func(m int) bool { return m < bad-badJobs }
		play(tracker, rng, jobs, machines, 1500, mistaken, faulty)
		ok := true
		for j := range jobs {
			ok = ok && tracker.Mistaken(fmt.Sprint("j", j)) == mistaken(j)
		}
		for m := range machines {
			v, _ := tracker.MachineVerdict(fmt.Sprint("m", m))
			ok = ok && (v == Faulty) == faulty(m)
		}
		if ok {
			right++
		} else if bad == 0 {
			t.Fatalf("seed %d: a job or machine is blamed although all are good", seed)
		}
	}
	if right < runs*9/10 {
		t.Errorf("%d of %d runs blamed the right parties", right, runs)
	}
}

// Several mistaken jobs on a few machines never make a healthy machine count as faulty, as long
// as each job fails on at least two machines, and each job is tried rarely: at most 35 times in
// an hour.
func TestMistakenJobsCondemnNoMachine(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		seed := rapid.Uint64().Draw(t, "seed")
		jobs, machines := rapid.IntRange(1, 12).Draw(t, "jobs"), rapid.IntRange(2, 8).Draw(t, "machines")
		tracker := New(params)
		starts := play(tracker, rand.New(rand.NewPCG(seed, 5)), jobs, machines, 7200, func(j int) bool { return j > 0 || jobs == 1 }, func(int) bool { return false })
		for m := range machines {
			if v, n := tracker.MachineVerdict(fmt.Sprint("m", m)); v == Faulty {
				t.Fatalf("m%d counts as faulty after %d failures", m, n)
			}
		}
		for j := range jobs {
			if n := starts[fmt.Sprint("j", j)]; (j > 0 || jobs == 1) && n > 35 {
				t.Fatalf("j%d was started %d times in an hour", j, n)
			}
		}
	})
}

// If half of all machines become faulty, they are detected and no job is blamed.
func TestHalfOfTheMachinesFaulty(t *testing.T) {
	tracker, rng := New(params), rand.New(rand.NewPCG(9, 9))
	play(tracker, rng, 20, 12, 400, func(int) bool { return false }, func(int) bool { return false })
	play(tracker, rng, 20, 12, 1500, func(int) bool { return false }, func(m int) bool { return m%2 == 0 })
	for m := range 12 {
		if v, _ := tracker.MachineVerdict(fmt.Sprint("m", m)); (v == Faulty) != (m%2 == 0) {
			t.Errorf("m%d: verdict %d", m, v)
		}
	}
	for j := range 20 {
		if tracker.OnTrial(fmt.Sprint("j", j)) {
			t.Errorf("j%d is on trial", j)
		}
	}
}

// A completion clears a job at once and makes its earlier failures count against the machines.
func TestACompletionClears(t *testing.T) {
	tracker := New(params)
	tracker.RecordFailure(0, "j", "m1")
	tracker.RecordFailure(time.Second, "j", "m1")
	tracker.RecordFailure(2*time.Second, "j", "m2")
	tracker.RecordFailure(3*time.Second, "j", "m3")
	if !tracker.OnTrial("j") || !tracker.Mistaken("j") {
		t.Fatal("failed on three machines and is not on trial")
	}
	if faulty := tracker.RecordCompletion("j", "m4"); len(faulty) != 1 || faulty[0] != "m1" {
		t.Errorf("faulty: %v, want m1, which failed twice", faulty)
	}
	if tracker.OnTrial("j") || tracker.Mistaken("j") || tracker.NotBefore("j") != 0 {
		t.Error("the job has completed and is still restricted")
	}
	if v, _ := tracker.MachineVerdict("m2"); v != Suspect {
		t.Errorf("m2: verdict %d", v)
	}
}
