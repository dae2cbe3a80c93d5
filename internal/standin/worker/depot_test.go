package worker

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/barrowbridge/barrowbridge/wire"
)

// flock is a few workers of one depot, of 1 GB/s each, on a clock of steps.
type flock struct {
	t    *testing.T
	now  Time
	all  []*Worker
	work *Work
}

func newFlock(t *testing.T, n int, storeGBps float64) *flock {
	f := &flock{t: t, work: NewWork()}
	f.work.Depot = &Depot{StoreGBps: storeGBps}
	f.work.Upload("job-000001", Job{Shape: wire.ShapeService, Tasks: n, CPUs: 4, Image: "w", ImageGB: 6})
	f.work.Upload("job-000002", Job{Shape: wire.ShapeService, Tasks: n, CPUs: 1, Image: "other", ImageGB: 30})
	for i := range n {
		name := fmt.Sprintf("m%d", i)
		f.all = append(f.all, New(0, wire.MachineInfo{Name: name, Addr: name + ":1"}, Params{Report: time.Second, Lease: time.Hour, Nodes: []string{"c"},
			Type: wire.MachineType{CPUs: 4, MemoryGB: 16, CacheGB: 30, FetchGBps: 1}}, f.work, rand.New(rand.NewPCG(1, uint64(i)))))
	}
	return f
}

// start starts a task on a worker, with the image from these others.
func (f *flock) start(job string, i int, from ...int) {
	c := wire.Command{Verb: wire.VerbRun, Task: wire.TaskName(job, i), Attempt: 1}
	for _, k := range from {
		c.Sources = append(c.Sources, f.all[k].Info.Addr)
	}
	f.order(i, c)
}

func (f *flock) order(i int, c wire.Command) {
	if status, _, _ := f.all[i].Orders(f.now, wire.Orders{Token: 1, Session: 1, Commands: []wire.Command{c}}); status != 200 {
		f.t.Fatalf("%s: %d", c.Task, status)
	}
}

// run lets time pass, and tells when each worker first had all of the image, from the start on.
func (f *flock) run(d time.Duration, image string) map[int]Time {
	at := map[int]Time{}
	for end := f.now + d; f.now < end; f.now += 50 * time.Millisecond {
		for i, w := range f.all {
			w.Advance(f.now)
			if w.Fetched(image) == 1 && at[i] == 0 {
				at[i] = f.now
			}
			for _, a := range w.Attempts() {
				if a.Status == wire.TaskRunning && !w.gone && w.Fetched(image) < 1 && w.images[image] != nil {
					f.t.Fatalf("%v: %s runs %s with a part of its image", f.now, w.Info.Name, a.Task)
				}
			}
		}
	}
	return at
}

func about(d, want time.Duration) bool {
	return d > want-500*time.Millisecond && d < want+800*time.Millisecond
}

// The store's rate is shared, a source's too; what is handed on while it comes is there as soon.
func TestImagesAreHandedOn(t *testing.T) {
	f := newFlock(t, 4, 1)
	for i := range 4 {
		f.start("job-000001", i)
	}
	if at := f.run(30*time.Second, "w"); !about(at[0], 24*time.Second) || !about(at[3], 24*time.Second) {
		t.Errorf("four at once from a store of 1 GB/s: %v", at)
	}
	f = newFlock(t, 4, 1)
	f.start("job-000001", 0)
	f.start("job-000001", 1, 0)
	f.start("job-000001", 2, 1)
	f.start("job-000001", 3, 2)
	if at := f.run(10*time.Second, "w"); !about(at[0], 6*time.Second) || !about(at[3], 6300*time.Millisecond) {
		t.Errorf("one from the store, the others each from the one before: %v", at)
	}
	f = newFlock(t, 3, 0)
	f.start("job-000001", 0)
	f.run(7*time.Second, "w")
	f.start("job-000001", 1, 0)
	f.start("job-000001", 2, 0)
	if at := f.run(14*time.Second, "w"); !about(at[1]-7*time.Second, 12*time.Second) {
		t.Errorf("two from one that has it: %v", at)
	}
}

// A source that is gone, hangs, is cut off or evicts the image costs its children sourceTimeout and the rest of the
// fetch from the store; one that gets nothing itself costs sourceStallTimeout.
func TestSourcesThatFail(t *testing.T) {
	for _, c := range []struct {
		what string
		fail func(f *flock)
		lost time.Duration
	}{
		{"gone", func(f *flock) { f.all[0].Vanish() }, sourceTimeout},
		{"hangs", func(f *flock) { f.all[0].Fault.Hung = true }, sourceTimeout},
		{"cut off", func(f *flock) { f.work.Depot.Reach = func(from, to string) bool { return from != "m0" } }, sourceTimeout},
		{"gives the fetch up", func(f *flock) {
			f.order(0, wire.Command{Verb: wire.VerbStop, Task: "job-000001/0", Attempt: 1, GraceS: new(float64)})
		}, sourceTimeout},
		{"gets nothing itself", func(f *flock) { f.all[0].images["w"].sources = []string{"m2:1"} }, sourceStallTimeout},
	} {
		f := newFlock(t, 3, 0)
		f.start("job-000002", 2) // m2 fetches something else
		f.start("job-000001", 0)
		f.start("job-000001", 1, 0)
		f.run(3*time.Second, "w")
		c.fail(f)
		if c.lost == sourceStallTimeout {
			f.all[0].images["w"].lastAnswer = f.now + time.Hour // it waits for m2 for ever
			f.all[0].images["w"].lastProgress = f.now + time.Hour
		}
		at := f.run(20*time.Second, "w")
		if got := at[1]; !about(got, 6*time.Second+c.lost+500*time.Millisecond) && !about(got, 6*time.Second+c.lost) {
			t.Errorf("its source %s after 3 s: there after %v", c.what, got)
		}
	}
}

// An image that others are handed on is evicted as any other that no task uses.
func TestSourceEvicts(t *testing.T) {
	f := newFlock(t, 2, 0)
	f.start("job-000001", 0)
	f.run(7*time.Second, "w")
	f.order(0, wire.Command{Verb: wire.VerbStop, Task: "job-000001/0", Attempt: 1, GraceS: new(float64)})
	f.start("job-000001", 1, 0)
	f.run(2*time.Second, "w")
	f.start("job-000002", 0) // 30 GB of 30
	at := f.run(20*time.Second, "w")
	if f.all[0].Fetched("w") != 0 {
		t.Fatal("not the meeting: the source has it still")
	}
	if got := at[1] - 7*time.Second; !about(got, 6*time.Second+sourceTimeout) {
		t.Errorf("there after %v", got)
	}
}
