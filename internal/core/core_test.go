package core

import (
	"fmt"
	"testing"
	"time"

	"github.com/barrowbridge/barrowbridge/wire"
)

const sec = time.Second

// Jobs of three teams run to their end on rented machines, over three
// controllers, and the machines are given back afterwards.
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
		t.Fatalf("not done after 90 s: %v", u)
	}
	w.run(60 * sec)
	for _, n := range w.order {
		if !w.machines[n].gone {
			t.Errorf("%s is idle and still rented", n)
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
	want("known id goes before validation", code, 200)
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
	want("no machine holds a task", code, 422)
	code, _ = status("c2", func(q uint64) any { return Poll{Req: q, ID: "job-000099"} })
	want("never accepted", code, 404)
	code, _ = status("c2", func(q uint64) any { return Abort{Req: q, ID: "job-000099"} })
	want("abort of nothing", code, 404)
	w.check.Aborting("job-000001")
	code, st := status("c1", func(q uint64) any { return Abort{Req: q, ID: "job-000001"} })
	if code != 200 || st != wire.JobAborted {
		t.Errorf("abort: %d %s", code, st)
	}
	code, st = status("c2", sub(spec("job-000001", "red", wire.ShapeBatch, 2)))
	if code != 200 || st != wire.JobAborted {
		t.Errorf("late retry of an aborted job: %d %s", code, st)
	}
	for _, n := range sortedKeys(w.nodes) { // final states survive every controller
		w.kill(n)
		w.at(2*sec, func() { w.start(n) })
	}
	w.run(8 * sec)
	code, st = status("c0", func(q uint64) any { return Poll{Req: q, ID: "job-000001"} })
	if code != 200 || st != wire.JobAborted {
		t.Errorf("after all restarted: %d %s", code, st)
	}
}

// Machines found at the very first start are the operator's and stay; a stray
// one that turns up when nothing is held is returned like any other.
func TestStandingMachinesStayStraysGo(t *testing.T) {
	t.Parallel()
	w := newWorld(t, 11, 1)
	standing := w.addMachine("n", false, sec)
	w.run(60 * sec)
	if w.machines[standing].gone {
		t.Error("the standing machine was returned")
	}
	v := newWorld(t, 12, 1)
	v.run(20 * sec)
	stray := v.addMachine("n", false, sec)
	v.run(20 * sec)
	if v.holderOf(stray) == "" {
		t.Error("the stray machine was not adopted")
	}
	v.run(40 * sec)
	if !v.machines[stray].gone {
		t.Error("the stray machine is paid for ever")
	}
}

// A replica left alone on a rented machine moves to one in use that has its
// image, and the machine goes back; nothing runs twice on the way.
func TestLoneReplicaMovesOff(t *testing.T) {
	t.Parallel()
	w := newWorld(t, 13, 1)
	w.run(4 * sec)
	for i := range 2 {
		s := spec(fmt.Sprintf("job-%06d", i), "red", wire.ShapeService, 1)
		s.CPUs = ptr(3.0) // one a machine
		w.submit(s)
		w.run(8 * sec)
	}
	w.abort("job-000000")
	for i := 2; i < 4; i++ { // fill up beside and instead, then leave one alone
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

// Zone, one-zone, spread, spot and team limits hold for every start; the world
// checks them. Without its guard this fleet breaks each of them.
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
	w.submit(spec("job-000004", "red", wire.ShapeBatch, 30)) // room for 30, a limit of 12
	w.pollAll()
	w.run(60 * sec)
	if u := w.unfinished(); u != nil {
		t.Fatalf("not done: %v", u)
	}
}

// A drained machine is emptied and given back, a cordoned one gets nothing new.
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
		t.Fatalf("cordoned machine has %d tasks, the other %d", len(w.machines[a].tasks()), len(w.machines[b].tasks()))
	}
	set(a, nil)
	set(b, &wire.Cordon{Drain: true})
	w.run(15 * sec)
	if !w.machines[b].gone || len(w.machines[a].tasks()) != 3 {
		t.Errorf("drained machine gone: %v; %d tasks on the other", w.machines[b].gone, len(w.machines[a].tasks()))
	}
}

// A job of the largest size is served like any other: its record stays small and
// passes over it stay cheap enough for a small share of a processor.
func TestLargestJob(t *testing.T) {
	t.Parallel()
	w := newWorld(t, 16, 1)
	w.run(4 * sec)
	w.submit(spec("job-000001", "red", wire.ShapeBatch, wire.MaxTasks))
	w.submit(spec("job-000002", "blue", wire.ShapeBatch, 4))
	w.pollAll()
	w.run(60 * sec)
	if w.check.Final("job-000002") != wire.JobDone {
		t.Error("the small job waits behind the large one")
	}
	if n := w.check.DoneTasks("job-000001"); n < 60 {
		t.Errorf("%d tasks of the large job done in a minute", n)
	}
	if it := w.key(jobKey("job-000001")); len(it.Value) > 2048 {
		t.Errorf("its record has %d bytes", len(it.Value))
	}
	w.kill("c0")
	w.at(4*sec, func() { w.start("c0") })
	before := w.check.DoneTasks("job-000001")
	w.run(40 * sec)
	if n := w.check.DoneTasks("job-000001"); n <= before {
		t.Error("the large job does not go on after a restart")
	}
}

// Found with the emulated state service, which counts a value's bytes as the
// protocol does, in JSON form: records near the limit were counted as encoded, half
// as long, and a job whose progress was scattered could be written no more.
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
	w.run(15 * sec) // the world ends the test when a write is refused as malformed
	if w.key(jobKey("job-000001")).Version == before {
		t.Error("the job's progress was not written")
	}
}

// A watch that is too old is answered 410: the keys are read again, and what
// vanished meanwhile leaves the mirror.
func TestWatchTooOld(t *testing.T) {
	t.Parallel()
	w := newWorld(t, 17, 1)
	w.run(4 * sec)
	c := w.nodes["c0"].core
	raw, err := wire.Marshal(wire.Node{Boot: 99})
	if err != nil {
		t.Fatal(err)
	}
	c.applyPut(wire.PrefixNode+"ghost", raw, 1) // seen once, removed unseen
	w.store.Trouble.TooOld = true
	w.run(6 * sec)
	if _, ok := c.nodes["ghost"]; ok {
		t.Error("a key removed before the mirror was read again is still there")
	}
	w.submit(spec("job-000001", "red", wire.ShapeBatch, 2))
	w.pollAll()
	w.run(40 * sec)
	w.poll("c0", "job-000001") // by chance none of the polls above may have come after its end
	w.run(sec)
	if u := w.unfinished(); u != nil {
		t.Errorf("not done: %v", u)
	}
}

// born gives a core that no world drives its first grant.
func (c *Core) born(boot uint64) {
	c.presence.StartLeaseRequest(0)
	c.presence.LeaseAnswered(0, 0, boot)
}

// sure has the state service confirm a core at a time.
func (c *Core) sure(at Time) {
	if g := c.presence.StateLease(); g != 0 {
		c.presence.RenewNow(at)
		c.presence.StartRenewal(at)
		c.presence.RenewalAnswered(at, at, g, 200)
	}
	c.presence.WatchAnswered(at)
}
