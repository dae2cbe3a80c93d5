package core

import (
	"fmt"
	"testing"
	"time"

	"github.com/barrowbridge/barrowbridge/wire"
)

const sec = time.Second

// Jobs of three teams complete on rented machines with three controllers, and the machines are
// returned to the cloud afterwards.
func TestQuietDay(t *testing.T) {
	t.Parallel()
	w := newWorld(t, 1, 3)
	w.run(5 * sec)
	for i := range 6 {
		w.submit(spec(fmt.Sprintf("job-%06d", i), []string{"red", "blue", "green"}[i%3], wire.ShapeBatch, 5+i))
	}
	w.pollAll()
	w.run(90 * sec)
	if u := w.unfinished(); u != nil {
		t.Fatalf("unfinished jobs after 90 s: %v", u)
	}
	w.run(60 * sec)
	for _, n := range w.order {
		if !w.machines[n].gone {
			t.Errorf("%s is idle, but was not returned to the cloud", n)
		}
	}
}

func TestUserAnswers(t *testing.T) {
	t.Parallel()
	w := newWorld(t, 2, 3)
	status := func(node string, in func(uint64) any) (int, string) {
		got, st := 0, ""
		w.ask(node, in, func(a Answer) {
			got = a.Status
			if s, ok := a.Body.(wire.JobStatus); ok {
				st = s.Status
			}
		})
		w.run(sec)
		return got, st
	}
	sub := func(s wire.JobSpec) func(uint64) any { return func(q uint64) any { return Submit{Req: q, Spec: s} } }
	want := func(what string, got, code int) {
		t.Helper()
		if got != code {
			t.Errorf("%s: %d, want %d", what, got, code)
		}
	}
	w.cloud.Trouble.Down = true
	w.run(4 * sec)
	code, _ := status("c0", sub(spec("job-000001", "red", wire.ShapeBatch, 2)))
	want("types unknown", code, 503)
	w.cloud.Trouble.Down = false
	w.run(6 * sec)
	w.upload(spec("job-000001", "red", wire.ShapeService, 2))
	code, _ = status("c0", sub(w.jobs["job-000001"].spec))
	want("new", code, 201)
	broken := spec("job-000001", "red", "heap", 0)
	code, _ = status("c1", sub(broken))
	want("known ID is answered before validation", code, 200)
	broken.ID = ptr("job-000002")
	code, _ = status("c1", sub(broken))
	want("invalid", code, 400)
	nan := spec("job-000002", "red", wire.ShapeBatch, 1)
	zero := 0.0
	nan.CPUs = ptr(zero / zero)
	code, _ = status("c1", sub(nan))
	want("NaN", code, 400)
	code, _ = status("c1", sub(spec("job-000002", "mauve", wire.ShapeBatch, 1)))
	want("unknown team", code, 422)
	code, _ = status("c1", sub(spec("job-000002", "red", wire.ShapeService, 13)))
	want("service over its team's limit", code, 422)
	big := spec("job-000002", "red", wire.ShapeBatch, 1)
	big.MemoryGB = ptr(17.0)
	code, _ = status("c1", sub(big))
	want("task larger than any machine", code, 422)
	code, _ = status("c2", func(q uint64) any { return Poll{Req: q, ID: "job-000099"} })
	want("never accepted", code, 404)
	code, _ = status("c2", func(q uint64) any { return Abort{Req: q, ID: "job-000099"} })
	want("abort of an unknown job", code, 404)
	w.check.Aborting("job-000001")
	code, st := status("c1", func(q uint64) any { return Abort{Req: q, ID: "job-000001"} })
	if code != 200 || st != wire.JobAborted {
		t.Errorf("abort: %d %s", code, st)
	}
	code, st = status("c2", sub(spec("job-000001", "red", wire.ShapeBatch, 2)))
	if code != 200 || st != wire.JobAborted {
		t.Errorf("late retry of an aborted job: %d %s", code, st)
	}
	for _, n := range sortedKeys(w.nodes) { // final states must survive the restart of all controllers
		w.kill(n)
		w.at(2*sec, func() { w.start(n) })
	}
	w.run(8 * sec)
	code, st = status("c0", func(q uint64) any { return Poll{Req: q, ID: "job-000001"} })
	if code != 200 || st != wire.JobAborted {
		t.Errorf("after all restarted: %d %s", code, st)
	}
}

// Machines found at the very first start belong to the operator and are kept. An unknown
// machine that appears when the controllers hold none is adopted, and returned to the cloud
// when idle like any other.
func TestStandingMachinesStayStraysGo(t *testing.T) {
	t.Parallel()
	w := newWorld(t, 11, 1)
	standing := w.addMachine("n", false, sec)
	w.run(60 * sec)
	if w.machines[standing].gone {
		t.Error("the operator's machine was returned to the cloud")
	}
	v := newWorld(t, 12, 1)
	v.run(20 * sec)
	stray := v.addMachine("n", false, sec)
	v.run(20 * sec)
	if v.holderOf(stray) == "" {
		t.Error("the unknown machine was not adopted")
	}
	v.run(40 * sec)
	if !v.machines[stray].gone {
		t.Error("the unknown machine is idle, but was not returned to the cloud")
	}
}

// A replica that is left alone on a rented machine moves to a machine in use that has its
// image, and the emptied machine is returned. Nothing may run twice meanwhile.
func TestLoneReplicaMovesOff(t *testing.T) {
	t.Parallel()
	w := newWorld(t, 13, 1)
	w.run(4 * sec)
	for i := range 2 {
		s := spec(fmt.Sprintf("job-%06d", i), "red", wire.ShapeService, 1)
		s.CPUs = ptr(3.0) // one per machine
		w.submit(s)
		w.run(8 * sec)
	}
	w.abort("job-000000")
	for i := 2; i < 4; i++ { // fills the free capacity, so that one replica is left alone on its machine
		w.submit(spec(fmt.Sprintf("job-%06d", i), "red", wire.ShapeService, 1))
		w.run(8 * sec)
	}
	w.run(200 * sec)
	held, replicas := 0, 0
	for _, n := range w.order {
		if m := w.machines[n]; !m.gone {
			held++
			replicas += len(m.tasks())
		}
	}
	if replicas != 3 || held > 2 {
		t.Fatalf("%d replicas on %d machines, want 3 on at most 2", replicas, held)
	}
}

// Every start must satisfy the zone, one-zone, spread, spot and team limits, which the world
// checks. Without the check of a constraint in the code, this fleet violates it.
func TestPlacesAllowed(t *testing.T) {
	t.Parallel()
	w := newWorld(t, 14, 1)
	for i := range 12 {
		w.addMachine([]string{"n", "s"}[i%2], i < 2, sec)
	}
	w.run(6 * sec)
	zone, one, spread := spec("job-000001", "red", wire.ShapeBatch, 4), spec("job-000002", "blue", wire.ShapeBatch, 6), spec("job-000003", "green", wire.ShapeBatch, 5)
	zone.Zone, zone.Spot = ptr("s"), ptr(false)
	one.OneZone = ptr(true)
	spread.Spread, spread.Spot = ptr(true), ptr(false)
	for _, s := range []wire.JobSpec{zone, one, spread} {
		w.submit(s)
	}
	w.run(20 * sec)
	w.submit(spec("job-000004", "red", wire.ShapeBatch, 30)) // capacity for 30 tasks, but a team limit of 12
	w.pollAll()
	w.run(60 * sec)
	if u := w.unfinished(); u != nil {
		t.Fatalf("unfinished jobs: %v", u)
	}
}

// A drained machine is emptied and returned to the cloud; a cordoned machine gets no new tasks.
func TestCordonAndDrain(t *testing.T) {
	t.Parallel()
	w := newWorld(t, 15, 1)
	a, b := w.addMachine("n", false, sec), w.addMachine("n", false, sec)
	w.run(6 * sec)
	set := func(machine string, c *wire.Cordon) {
		w.ask("c0", func(q uint64) any { return AdminCordon{Req: q, Machine: machine, Cordon: c} }, func(Answer) {})
		w.run(sec)
	}
	set(a, &wire.Cordon{})
	w.submit(spec("job-000001", "red", wire.ShapeService, 3))
	w.run(10 * sec)
	if len(w.machines[a].tasks()) != 0 || len(w.machines[b].tasks()) != 3 {
		t.Fatalf("the cordoned machine has %d tasks, want 0; the other %d, want 3", len(w.machines[a].tasks()), len(w.machines[b].tasks()))
	}
	set(a, nil)
	set(b, &wire.Cordon{Drain: true})
	w.run(15 * sec)
	if !w.machines[b].gone || len(w.machines[a].tasks()) != 3 {
		t.Errorf("drained machine gone: %v, want true; %d tasks on the other, want 3", w.machines[b].gone, len(w.machines[a].tasks()))
	}
}

// A job of the largest allowed size is scheduled like any other. Its record must stay small, and
// it must not delay other jobs.
func TestLargestJob(t *testing.T) {
	t.Parallel()
	w := newWorld(t, 16, 1)
	w.run(4 * sec)
	w.submit(spec("job-000001", "red", wire.ShapeBatch, wire.MaxTasks))
	w.submit(spec("job-000002", "blue", wire.ShapeBatch, 4))
	w.pollAll()
	w.run(60 * sec)
	if w.check.Final("job-000002") != wire.JobDone {
		t.Error("the small job waits for the large one")
	}
	if n := w.check.DoneTasks("job-000001"); n < 60 {
		t.Errorf("%d tasks of the large job are done after a minute, want at least 60", n)
	}
	if it := w.key(jobKey("job-000001")); len(it.Value) > 2048 {
		t.Errorf("the record of the large job has %d bytes, want at most 2048", len(it.Value))
	}
	w.kill("c0")
	w.at(4*sec, func() { w.start("c0") })
	before := w.check.DoneTasks("job-000001")
	w.run(40 * sec)
	if n := w.check.DoneTasks("job-000001"); n <= before {
		t.Error("the large job makes no progress after a restart")
	}
}

// The state service limits the size of a value in its JSON form. When the controller compared
// the encoded form, which is half as long, the record of a job with scattered progress exceeded
// the limit and could no longer be written.
func TestScatteredProgressStaysWithinTheLimit(t *testing.T) {
	t.Parallel()
	w := newWorld(t, 18, 1, func(w *world) { w.limits.ValueBytes = 4096 })
	w.run(4 * sec)
	w.submit(spec("job-000001", "red", wire.ShapeBatch, 3000))
	w.run(8 * sec)
	e := w.nodes["c0"].core.jobs["job-000001"]
	before := w.key(jobKey("job-000001")).Version
	for i := 1000; i < 2000; i += 2 {
		e.run.done = e.run.done.Add(i)
	}
	w.run(15 * sec) // the world fails the test when a write is refused as malformed
	if w.key(jobKey("job-000001")).Version == before {
		t.Error("the job's progress was not written")
	}
}

// A watch whose revision is too old is answered with 410. The controller then lists the keys
// again, and must remove keys from its mirror that were deleted meanwhile.
func TestWatchTooOld(t *testing.T) {
	t.Parallel()
	w := newWorld(t, 17, 1)
	w.run(4 * sec)
	c := w.nodes["c0"].core
	raw, err := wire.Marshal(wire.Node{Boot: 99})
	if err != nil {
		t.Fatal(err)
	}
	c.applyPut(wire.PrefixNode+"ghost", raw, 1) // the mirror has seen this key, but not its removal
	w.store.Trouble.TooOld = true
	w.run(6 * sec)
	if _, ok := c.nodes["ghost"]; ok {
		t.Error("a key removed before the keys were listed again is still in the mirror")
	}
	w.submit(spec("job-000001", "red", wire.ShapeBatch, 2))
	w.pollAll()
	w.run(40 * sec)
	w.poll("c0", "job-000001") // the random polls above may all have come before its end
	w.run(sec)
	if u := w.unfinished(); u != nil {
		t.Errorf("unfinished jobs: %v", u)
	}
}

// born gives a core that is not driven by a world its first state lease.
func (c *Core) born(boot uint64) {
	c.presence.StartLeaseRequest(0)
	c.presence.LeaseAnswered(0, 0, boot)
}

// sure has the state service confirm the core's state lease and watch at a given time.
func (c *Core) sure(at Time) {
	if g := c.presence.StateLease(); g != 0 {
		c.presence.RenewNow(at)
		c.presence.StartRenewal(at)
		c.presence.RenewalAnswered(at, at, g, 200)
	}
	c.presence.WatchAnswered(at)
}
