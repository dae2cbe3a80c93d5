package core

import (
	"fmt"
	"testing"
	"time"

	"github.com/barrowbridge/barrowbridge/wire"
)

// largeWorld returns a deployment of n owned machines with work for about all of them, after it
// has reached a steady state.
func largeWorld(t testing.TB, n int) *world {
	cpus := float64(4 * n)
	w := newWorld(t, 7, 3, func(w *world) {
		w.capacity = n / 2
		w.teams = map[string]Team{"red": {CPUs: cpus / 3, CPUsMax: cpus}, "blue": {CPUs: cpus / 3, CPUsMax: cpus}, "green": {CPUs: cpus / 3, CPUsMax: cpus}}
	})
	for i := range n {
		w.addMachine([]string{"n", "s"}[i%2], false, sec)
	}
	w.run(20 * sec)
	for i := range n / 10 {
		team := []string{"red", "blue", "green"}[i%3]
		s := spec(fmt.Sprintf("job-%06d", 2*i), team, wire.ShapeBatch, 60)
		s.DueS = ptr(3000.0)
		w.submit(s)
		v := spec(fmt.Sprintf("job-%06d", 2*i+1), team, wire.ShapeService, 1)
		v.Priority, v.DueS = ptr("urgent"), nil
		w.submit(v)
	}
	w.run(20 * sec)
	return w
}

// busiest returns the controller that holds the most machines.
func (w *world) busiest() *ctrl {
	best := w.nodes["c0"]
	for _, n := range sortedKeys(w.nodes) {
		if c := w.nodes[n]; len(c.core.machines) > len(best.core.machines) {
			best = c
		}
	}
	return best
}

func BenchmarkCore(b *testing.B) {
	for _, n := range []int{100, 1000, 4000} {
		w := largeWorld(b, n)
		c := w.busiest().core
		now, wall := w.now-w.busiest().began, time.UnixMilli(1e12).Add(w.now)
		var held []*host
		for _, name := range w.order {
			if c.machines[name] != nil {
				held = append(held, w.machines[name])
			}
		}
		step := func(in any) {
			now += time.Millisecond
			c.sure(now) // as if the state service had just answered
			c.Step(now, wall, in)
		}
		req := uint64(1 << 40)
		b.Run(fmt.Sprintf("report-%d", n), func(b *testing.B) {
			for i := range b.N {
				m := held[i%len(held)]
				r, _ := m.Inspect(w.now)
				req++
				step(WorkerReport{Req: req, Report: r})
			}
		})
		b.Run(fmt.Sprintf("tick-%d", n), func(b *testing.B) {
			for range b.N {
				now += 49 * time.Millisecond
				step(Tick{})
			}
		})
		b.Run(fmt.Sprintf("place-%d", n), func(b *testing.B) {
			for range b.N {
				c.sure(c.now)
				c.placeTasks()
			}
		})
		b.Run(fmt.Sprintf("needs-%d", n), func(b *testing.B) {
			for range b.N {
				c.unmetNeeds(firstHeldShard(c))
			}
		})
	}
}

func firstHeldShard(c *Core) int { return sortedIntKeys(c.heldShards)[0] }

// fleetWorld returns a deployment of n machines and twelve teams, with services and arrays.
func fleetWorld(t testing.TB, n int) *world {
	cpus := float64(4 * n)
	w := newWorld(t, 7, 3, func(w *world) {
		w.capacity, w.runS, w.limits.PageItems = n/2, 20*sec, 500
		w.teams = map[string]Team{}
		for i := range 12 {
			w.teams[fmt.Sprintf("t%02d", i)] = Team{CPUs: cpus / 12, CPUsMax: cpus / 4}
		}
	})
	for i := range n {
		w.addMachine([]string{"n", "s"}[i%2], false, sec)
	}
	w.run(20 * sec)
	for i := range n * 7 / 10 {
		shape, tasks := wire.ShapeService, 1
		if i%7 == 0 {
			shape, tasks = wire.ShapeBatch, 40
		}
		s := spec(fmt.Sprintf("job-%06d", i), fmt.Sprintf("t%02d", i%12), shape, tasks)
		if shape == wire.ShapeService {
			s.Priority, s.DueS = ptr("urgent"), nil
		}
		w.submit(s)
	}
	w.run(20 * sec)
	return w
}

// BenchmarkTakeover ends the busiest of three controllers and measures over the next ten seconds
// the real time that the two others take for all their inputs, and for the longest one. Run it
// with -benchtime 1x.
func BenchmarkTakeover(b *testing.B) {
	for _, n := range []int{500, 1000, 2000, 4000} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			for range b.N {
				w := fleetWorld(b, n)
				var sum, worst time.Duration
				inputs := 0
				w.spent = func(d time.Duration) { sum, worst, inputs = sum+d, max(worst, d), inputs+1 }
				w.kill(w.busiest().name)
				w.run(10 * sec)
				b.ReportMetric(float64(sum.Milliseconds()), "ms/takeover")
				b.ReportMetric(float64(worst.Microseconds())/1000, "ms/worst")
				b.ReportMetric(float64(sum.Microseconds())/float64(inputs), "us/input")
			}
		})
	}
}

// BenchmarkSmallTasks measures the cost of machines with some 600 tasks each, as many as their CPUs
// hold: a report, a pass, the needs, and all inputs of the ten seconds after the busiest of three
// controllers has ended.
func BenchmarkSmallTasks(b *testing.B) {
	const machines, tasksPerMachine = 12, 600
	begin := func() *world {
		w := newWorld(b, 7, 3, func(w *world) {
			w.capacity, w.runS = 0, time.Hour
			w.teams = map[string]Team{"red": {CPUs: 4 * machines, CPUsMax: 4 * machines}}
		})
		for i := range machines {
			w.addMachine([]string{"n", "s"}[i%2], false, sec)
		}
		w.run(20 * sec)
		s := spec("job-000001", "red", wire.ShapeBatch, machines*tasksPerMachine)
		s.CPUs, s.MemoryGB, s.DueS = ptr(4.0/tasksPerMachine), ptr(0.001), nil
		w.submit(s)
		w.run(40 * sec)
		return w
	}
	w := begin()
	c := w.busiest().core
	now, wall := w.now-w.busiest().began, time.UnixMilli(1e12).Add(w.now)
	held := c.heldMachines()
	b.Logf("%d attempts on a machine", len(held[0].attempts))
	req := uint64(1 << 40)
	b.Run("report", func(b *testing.B) {
		for i := range b.N {
			r, _ := w.machines[held[i%len(held)].name].Inspect(w.now)
			req++
			now += time.Millisecond
			c.sure(now)
			c.Step(now, wall, WorkerReport{Req: req, Report: r})
		}
	})
	b.Run("place", func(b *testing.B) {
		for range b.N {
			c.sure(c.now)
			c.placeTasks()
		}
	})
	b.Run("needs", func(b *testing.B) {
		for range b.N {
			c.unmetNeeds(firstHeldShard(c))
		}
	})
	b.Run("takeover", func(b *testing.B) {
		for range b.N {
			w := begin()
			var sum, worst time.Duration
			w.spent = func(d time.Duration) { sum, worst = sum+d, max(worst, d) }
			w.kill(w.busiest().name)
			w.run(10 * sec)
			b.ReportMetric(float64(sum.Milliseconds()), "ms/takeover")
			b.ReportMetric(float64(worst.Microseconds())/1000, "ms/worst")
		}
	})
}
