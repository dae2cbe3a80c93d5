package core

import (
	"fmt"
	"testing"
	"time"

	"github.com/barrowbridge/barrowbridge/wire"
)

// hand gives a report to a controller as if it came just now; nobody hears the answer.
func (w *world) hand(node string, r wire.Report) {
	w.ask(node, func(q uint64) any { return WorkerReport{Req: q, Report: r} }, func(Answer) {})
}

// runsOn names the machine that a task runs on, "" if none.
func (w *world) runsOn(task string) string {
	for _, n := range w.order {
		for _, a := range w.machines[n].tasks() {
			if a.Task == task && a.Status == wire.TaskRunning && !w.machines[n].Fault.Hung {
				return n
			}
		}
	}
	return ""
}

// blockRec is the record of a machine's block.
func (w *world) blockRec(machine string) (id string, rec wire.Block) {
	w.store.Scan(wire.PrefixBlock, func(it wire.Item) {
		var b wire.Block
		_ = wire.Unmarshal(it.Value, &b)
		for _, m := range b.Machines {
			if m.Name == machine {
				id, rec = it.Key, b
			}
		}
	})
	return id, rec
}

// A report is held back until a new holder has acted, and arrives there before any other of its
// machine: it names a task that has gone to another machine since, which nobody can ask now. Its
// own machine has been promised empty, so nothing was asked of it before. That the task is not
// in the machine's next report does not say that it is nowhere.
func TestAReportHeldForTheNextHolder(t *testing.T) {
	for _, tasks := range []int{1, 5} {
		t.Run(fmt.Sprint(tasks, " tasks"), func(t *testing.T) {
			w := newWorld(t, 800, 3, func(w *world) {
				w.capacity, w.lease, w.runS, w.keep = 0, 22*sec, 200*sec, map[string][]wire.Report{}
				for n := range w.teams {
					w.teams[n] = Team{CPUs: 20, CPUsMax: 40}
				}
			})
			for i := range 18 {
				w.addMachine([]string{"n", "s"}[i%2], false, sec)
			}
			w.pollAll()
			w.run(12 * sec)
			put := func(id, team string, tasks int, cpus float64) {
				s := spec(id, team, wire.ShapeBatch, tasks)
				s.CPUs, s.DueS, s.ImageGB = &cpus, nil, ptr(0.01)
				w.submit(s)
			}
			put("job-000001", "red", tasks, 1)
			w.run(10 * sec)
			const task = "job-000001/0"
			x := w.runsOn(task)
			var held wire.Report
			for _, r := range w.keep[x] {
				if len(r.Attempts) > 0 && r.Attempts[0].Status == wire.TaskRunning {
					held = r
				}
			}
			hangBlock := func(of string, hang bool) {
				_, rec := w.blockRec(of)
				for _, m := range rec.Machines {
					if hang {
						w.hang(w.machines[m.Name])
					} else {
						w.resume(w.machines[m.Name])
					}
				}
			}
			hangBlock(x, true)
			w.until(60*sec, func() bool { return w.runsOn(task) != "" })
			y := w.runsOn(task)
			hangBlock(x, false)
			w.run(5 * sec)
			old, next := w.shardRec("red").Holder, ""
			for _, n := range sortedKeys(w.nodes) {
				if n != old && n != w.leaderNode() {
					next = n
				}
			}
			put("job-000002", "blue", 8, 4) // more than its shard has: empty blocks of others are offered
			_, rec := w.blockRec(x)
			for ms := 0; !rec.Idle && ms < 9000; ms++ {
				w.run(time.Millisecond)
				_, rec = w.blockRec(x)
			}
			hangBlock(x, true)
			w.hang(w.machines[y])
			for _, n := range sortedKeys(w.nodes) {
				if n != next {
					w.kill(n)
				}
			}
			c := w.nodes[next].core
			w.until(20*sec, func() bool { return c.machines[x] != nil && c.machines[y] != nil })
			w.run(300 * time.Millisecond)
			if mx, my := c.machines[x], c.machines[y]; !rec.Idle || len(held.Attempts) == 0 || mx == nil || my == nil || mx.inherited || mx.reported || !my.inherited || my.accounted || w.runsOn(task) != "" {
				t.Fatalf("not the meeting: %s is to be empty and unheard %+v, the task is to be on %s, of which nobody knows %+v", x, mx, y, my)
			}
			w.hand(next, held)
			hangBlock(x, false) // its own reports follow
			w.run(9 * sec)
			w.resume(w.machines[y])
			for _, n := range sortedKeys(w.nodes) {
				if n != next {
					w.start(n)
				}
			}
			w.run(5 * sec)
			if on := w.runsOn(task); on != y {
				t.Errorf("the task runs on %q, it was on %s all the time", on, y)
			}
			w.calm(t)
		})
	}
}
