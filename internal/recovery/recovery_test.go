package recovery

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"pgregory.net/rapid"
)

const sec = time.Second

var params = Params{ReportInterval: 2 * sec, WorkerLease: 10 * sec, StateLease: 3 * sec, RenewInterval: sec}

// A machine hangs: every step is found with the time of the last machine or task affected, and
// the least time follows from the remaining lease of its worker.
func TestMachine(t *testing.T) {
	inc := Incident{Kind: "machine_hang", At: 100 * sec, Until: 130 * sec, Silent: true,
		Machines: []Machine{{Name: "a", LeaseLeft: 9 * sec, Reported: sec, Tasks: []string{"job-1/0", "job-1/1"}}}}
	trail := func(at Time, kind, machine string) Observation {
		return Observation{At: at, From: FromTrail, Kind: kind, Machine: machine, Shard: 0, By: "c0"}
	}
	work := func(at Time, kind, machine, task, cause string) Observation {
		return Observation{At: at, From: FromWorker, Kind: kind, Machine: machine, Task: task, Cause: cause, Shard: -1}
	}
	seen := []Observation{
		trail(99*sec, "machine_silent", "a"), // before the fault: an earlier silence
		trail(101*sec, "machine_silent", "b"),
		trail(104*sec, "machine_silent", "a"),
		trail(111*sec, "lease_over", "a"),
		work(112*sec, TaskOrdered, "b", "job-1/0", ""),
		work(113*sec, TaskStarted, "b", "job-1/0", ""),
		work(114*sec, TaskOrdered, "b", "job-1/1", ""),
		work(116*sec, TaskStarted, "b", "job-1/1", ""),
		work(113*sec, TaskStarted, "b", "job-2/0", ""),                            // of another job
		{At: 115 * sec, From: FromUser, Kind: UserSawUp, Job: "job-1", Shard: -1}, // before both tasks run
		{At: 117 * sec, From: FromUser, Kind: UserSawUp, Job: "job-1", Shard: -1},
		work(130*sec, TaskLeft, "a", "job-1/0", ""), // the machine resumes and stops its tasks
	}
	want := []Step{{Noticed, 4000, 500, 1}, {LeasesExpired, 11000, 9000, 1}, {Restarted, 14000, 9000, 2}, {ImageReady, 16000, 9000, 2},
		{Running, 16000, 9000, 2}, {UserInformed, 17000, 9000, 1}}
	if diff := cmp.Diff(want, Analyze(params, inc, seen)); diff != "" {
		t.Error(diff)
	}
	before := Observation{At: 99 * sec, From: FromWorker, Kind: TaskLeft, Machine: "a", Task: "job-3/0", Shard: -1} // not lost to this fault
	if lost, recovered := LostTasks(params, inc, append([]Observation{before}, seen[:7]...)); lost != 2 || recovered != 1 {
		t.Errorf("%d lost, %d recovered, want 2 and 1", lost, recovered)
	}
}

// A controller dies: its shards are followed until they are reconciled, those of others are not.
func TestController(t *testing.T) {
	inc := Incident{Kind: "controller_kill", At: 10 * sec, Controllers: []string{"c1"}, Dead: true}
	at := func(t Time, kind, node string, shard int) Observation {
		return Observation{At: t, From: FromTrail, Kind: kind, Node: node, Shard: shard, By: "c0"}
	}
	seen := []Observation{at(11*sec, "node_gone", "c2", -1), at(13*sec, "node_gone", "c1", -1), at(14*sec, "shard_taken", "c1", 1),
		at(14*sec, "shard_taken", "c2", 2), at(15*sec, "shard_held", "", 1), at(15*sec, "shard_held", "", 2), at(17*sec, "settled", "", 1), at(19*sec, "settled", "", 2)}
	want := []Step{{Noticed, 3000, 2000, 1}, {TakenOver, 4000, 2000, 1}, {TokenRaised, 5000, 2000, 1}, {AccountedFor, 7000, 2000, 1}}
	if diff := cmp.Diff(want, Analyze(params, inc, seen)); diff != "" {
		t.Error(diff)
	}
}

// The controller that takes over a shard may read the write, and reconcile the shard, before the
// writer has the answer. Events of the controller that gave the shard away, long after or right
// before, do not count.
func TestShardTakenAtOnce(t *testing.T) {
	inc := Incident{Kind: "link", At: 10 * sec, Controllers: []string{"c1"}}
	at := func(t Time, kind, node, by string) Observation {
		return Observation{At: t, From: FromTrail, Kind: kind, Node: node, Shard: 1, By: by}
	}
	ms := Time(time.Millisecond)
	seen := []Observation{at(13*sec-20*ms, "settled", "", "c1"), at(13*sec-2*ms, "shard_held", "", "c0"), at(13*sec-ms, "settled", "", "c0"),
		at(13*sec, "shard_taken", "c1", "c1"), at(29*sec, "shard_held", "", "c1"), at(30*sec, "settled", "", "c1")}
	want := []Step{{Noticed, 3000, 0, 1}, {TakenOver, 3000, 0, 1}, {TokenRaised, 3000, 0, 1}, {AccountedFor, 3000, 0, 1}}
	if diff := cmp.Diff(want, Analyze(params, inc, seen)); diff != "" {
		t.Error(diff)
	}
}

// For any observations in any order, the steps are in order, none precedes the fault, and
// shuffling the observations changes nothing.
func TestAnyOrder(t *testing.T) {
	kinds := []string{"machine_silent", "lease_over", "node_gone", "shard_taken", "shard_held", "settled", "unconfirmed", "confirmed"}
	rapid.Check(t, func(t *rapid.T) {
		var seen []Observation
		for i := range rapid.IntRange(0, 30).Draw(t, "n") {
			o := Observation{At: Time(i)*sec + Time(rapid.IntRange(0, 900).Draw(t, "ms"))*time.Millisecond, From: FromTrail, Shard: rapid.IntRange(-1, 2).Draw(t, "shard"),
				Machine: rapid.SampledFrom([]string{"", "a", "b"}).Draw(t, "machine"), Node: rapid.SampledFrom([]string{"", "c0", "c1"}).Draw(t, "node"), By: "c0"}
			if rapid.Bool().Draw(t, "worker") {
				o.From, o.Kind, o.Task = FromWorker, rapid.SampledFrom([]string{TaskOrdered, TaskStarted, TaskLeft}).Draw(t, "kind"), rapid.SampledFrom([]string{"job-1/0", "job-1/1"}).Draw(t, "task")
			} else {
				o.Kind = rapid.SampledFrom(kinds).Draw(t, "kind")
			}
			seen = append(seen, o)
		}
		inc := Incident{At: 5 * sec, Silent: true, Dead: true, Machines: []Machine{{Name: "a", LeaseLeft: 8 * sec, Tasks: []string{"job-1/0"}}}, Controllers: []string{"c1"}}
		steps := Analyze(params, inc, seen)
		last := -1
		for _, s := range steps {
			at := -1
			for i, name := range StepOrder {
				if name == s.Step {
					at = i
				}
			}
			if at <= last || s.AfterMS < 0 || s.LeastMS < 0 || s.Count < 1 {
				t.Fatalf("steps %+v", steps)
			}
			last = at
		}
		if diff := cmp.Diff(steps, Analyze(params, inc, rapid.Permutation(seen).Draw(t, "order"))); diff != "" {
			t.Fatal(diff)
		}
	})
}
