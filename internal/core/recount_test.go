package core

import (
	"github.com/google/go-cmp/cmp"
	"github.com/google/go-cmp/cmp/cmpopts"

	"github.com/barrowbridge/barrowbridge/internal/placement"
	"github.com/barrowbridge/barrowbridge/wire"
)

// recount counts afresh, the plain way, what the cores keep up as they go: the
// fast way must never choose otherwise than the plain one would.
func (w *world) recount() {
	for _, name := range sortedKeys(w.nodes) {
		c := w.nodes[name].core
		if c == nil {
			continue
		}
		in, dropping, home := map[string]string{}, map[string]bool{}, map[string]int{}
		for _, id := range sortedKeys(c.blocks) {
			for _, bm := range c.blocks[id].rec.Machines {
				in[bm.Name] = id
				if bm.Drop {
					dropping[bm.Name] = true
				}
			}
		}
		for i := len(c.shards) - 1; i >= 0; i-- {
			for _, t := range c.shards[i].rec.Teams {
				home[t] = i
			}
		}
		use, onTask := map[string]placement.Size{}, map[string]int{}
		for _, mn := range sortedKeys(c.machines) {
			m := c.machines[mn]
			free, _ := c.sizeOf(m.typ)
			unknown := m.inherited && !m.accounted
			for _, k := range sortedAttempts(m) {
				a := m.attempts[k]
				onTask[k.task]++
				if a.status == wire.TaskEnded {
					continue
				}
				if !a.known {
					free, unknown = placement.Size{CPUs: -100}, true
					continue
				}
				free = free.Sub(a.size)
				use[a.team] = use[a.team].Add(a.size)
			}
			if free.CPUs < -50 {
				free = placement.Size{}
			}
			w.same(name+" free "+mn, free, c.free(m), cmpopts.EquateApprox(0, 1e-9))
			if unknown {
				use = nil // counted as all of the machine; see usage
				break
			}
		}
		if use != nil {
			got := c.usage()
			for t := range w.teams {
				w.same(name+" usage of "+t, use[t], got[t], cmpopts.EquateApprox(0, 1e-9))
			}
			tasks := map[string]int{}
			for t, list := range c.onTask {
				tasks[t] = len(list)
			}
			w.same(name+" attempts by task", onTask, tasks)
		}
		w.same(name+" blocks of machines", in, c.blockIn)
		w.same(name+" machines to delete", dropping, c.dropping)
		w.same(name+" shards of teams", home, c.teamHome)
		w.same(name+" blocks", sortedKeys(c.blocks), c.blockIDs(), cmpopts.EquateEmpty())
		w.same(name+" jobs", len(c.jobs), len(c.jobsByAge()))
		w.same(name+" machines", len(c.machines), len(c.heldMachines()))
	}
}

func (w *world) same(what string, want, got any, opts ...cmp.Option) {
	if diff := cmp.Diff(want, got, opts...); diff != "" {
		w.t.Fatalf("%v: %s: counted afresh (-), kept up (+):\n%s", w.now, what, diff)
	}
}
