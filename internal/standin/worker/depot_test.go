package worker

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/barrowbridge/barrowbridge/wire"
)

// depotBench is a group of workers of one depot that fetch at 1 GB/s each, on a simulated clock.
type depotBench struct {
	t       *testing.T
	now     Time
	workers []*Worker
	work    *Work
}

func newDepotBench(t *testing.T, n int, storeGBps float64) *depotBench {
	f := &depotBench{t: t, work: NewWork()}
	f.work.Depot = &Depot{StoreGBps: storeGBps}
	f.work.Upload("job-000001", Job{Shape: wire.ShapeService, Tasks: n, CPUs: 4, Image: "w", ImageGB: 6})
	f.work.Upload("job-000002", Job{Shape: wire.ShapeService, Tasks: n, CPUs: 1, Image: "other", ImageGB: 30})
	for i := range n {
		name := fmt.Sprintf("m%d", i)
		f.workers = append(f.workers, New(0, wire.MachineInfo{Name: name, Addr: name + ":1"}, Params{Report: time.Second, Lease: time.Hour, Nodes: []string{"c"},
			Type: wire.MachineType{CPUs: 4, MemoryGB: 16, CacheGB: 30, FetchGBps: 1}}, f.work, rand.New(rand.NewPCG(1, uint64(i)))))
	}
	return f
}

// start starts task i of a job on worker i, with the workers from as sources of the image.
func (f *depotBench) start(job string, i int, from ...int) {
	c := wire.Command{Verb: wire.VerbRun, Task: wire.TaskName(job, i), Attempt: 1}
	for _, k := range from {
		c.Sources = append(c.Sources, f.workers[k].Info.Addr)
	}
	f.order(i, c)
}

func (f *depotBench) order(i int, c wire.Command) {
	if status, _, _ := f.workers[i].Orders(f.now, wire.Orders{Token: 1, Session: 1, Commands: []wire.Command{c}}); status != 200 {
		f.t.Fatalf("%s: %d", c.Task, status)
	}
}

// run simulates d in steps and returns when each worker first had the whole image.
func (f *depotBench) run(d time.Duration, image string) map[int]Time {
	at := map[int]Time{}
	for end := f.now + d; f.now < end; f.now += 50 * time.Millisecond {
		for i, w := range f.workers {
			w.Advance(f.now)
			if w.Fetched(image) == 1 && at[i] == 0 {
				at[i] = f.now
			}
			for _, a := range w.Attempts() {
				if a.Status == wire.TaskRunning && !w.gone && w.Fetched(image) < 1 && w.images[image] != nil {
					f.t.Fatalf("%v: %s runs %s with an incomplete image", f.now, w.Info.Name, a.Task)
				}
			}
		}
	}
	return at
}

func about(d, want time.Duration) bool {
	return d > want-500*time.Millisecond && d < want+800*time.Millisecond
}

// Fetches share the rate of the store and that of a source. A worker that is served by one that is
// still fetching has the image almost as soon as its source.
func TestImagesAreHandedOn(t *testing.T) {
	f := newDepotBench(t, 4, 1)
	for i := range 4 {
		f.start("job-000001", i)
	}
	if at := f.run(30*time.Second, "w"); !about(at[0], 24*time.Second) || !about(at[3], 24*time.Second) {
		t.Errorf("four fetches at once from a store of 1 GB/s ended at %v", at)
	}
	f = newDepotBench(t, 4, 1)
	f.start("job-000001", 0)
	f.start("job-000001", 1, 0)
	f.start("job-000001", 2, 1)
	f.start("job-000001", 3, 2)
	if at := f.run(10*time.Second, "w"); !about(at[0], 6*time.Second) || !about(at[3], 6300*time.Millisecond) {
		t.Errorf("one fetch from the store and a chain of three workers: ended at %v", at)
	}
	f = newDepotBench(t, 3, 0)
	f.start("job-000001", 0)
	f.run(7*time.Second, "w")
	f.start("job-000001", 1, 0)
	f.start("job-000001", 2, 0)
	if at := f.run(14*time.Second, "w"); !about(at[1]-7*time.Second, 12*time.Second) {
		t.Errorf("two fetches from one worker with the image: ended at %v", at)
	}
}

// If a source is gone, hangs, is unreachable or evicts the image, the workers that it serves lose sourceTimeout
// and then fetch the rest from the store. If it answers but makes no progress itself, they lose sourceStallTimeout.
func TestSourcesThatFail(t *testing.T) {
	for _, c := range []struct {
		what string
		fail func(f *depotBench)
		lost time.Duration
	}{
		{"gone", func(f *depotBench) { f.workers[0].Vanish() }, sourceTimeout},
		{"hangs", func(f *depotBench) { f.workers[0].Fault.Hung = true }, sourceTimeout},
		{"is unreachable", func(f *depotBench) { f.work.Depot.Reach = func(from, to string) bool { return from != "m0" } }, sourceTimeout},
		{"abandons the fetch", func(f *depotBench) {
			f.order(0, wire.Command{Verb: wire.VerbStop, Task: "job-000001/0", Attempt: 1, GraceS: new(float64)})
		}, sourceTimeout},
		{"makes no progress", func(f *depotBench) { f.workers[0].images["w"].sources = []string{"m2:1"} }, sourceStallTimeout},
	} {
		f := newDepotBench(t, 3, 0)
		f.start("job-000002", 2) // m2 fetches something else
		f.start("job-000001", 0)
		f.start("job-000001", 1, 0)
		f.run(3*time.Second, "w")
		c.fail(f)
		if c.lost == sourceStallTimeout {
			f.workers[0].images["w"].lastAnswer = f.now + time.Hour // keeps waiting for m2
			f.workers[0].images["w"].lastProgress = f.now + time.Hour
		}
		at := f.run(20*time.Second, "w")
		if got := at[1]; !about(got, 6*time.Second+c.lost+500*time.Millisecond) && !about(got, 6*time.Second+c.lost) {
			t.Errorf("its source %s after 3 s: image complete after %v", c.what, got)
		}
	}
}

// An image that a worker serves to others is evicted like any other image that no task on it uses.
func TestSourceEvicts(t *testing.T) {
	f := newDepotBench(t, 2, 0)
	f.start("job-000001", 0)
	f.run(7*time.Second, "w")
	f.order(0, wire.Command{Verb: wire.VerbStop, Task: "job-000001/0", Attempt: 1, GraceS: new(float64)})
	f.start("job-000001", 1, 0)
	f.run(2*time.Second, "w")
	f.start("job-000002", 0) // fills the cache of 30 GB
	at := f.run(20*time.Second, "w")
	if f.workers[0].Fetched("w") != 0 {
		t.Fatal("the scenario did not occur: the source still has the image")
	}
	if got := at[1] - 7*time.Second; !about(got, 6*time.Second+sourceTimeout) {
		t.Errorf("image complete after %v", got)
	}
}
