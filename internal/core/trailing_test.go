package core

import (
	"testing"

	"github.com/barrowbridge/barrowbridge/internal/trail"
	"github.com/barrowbridge/barrowbridge/wire"
)

// chain returns the kinds of the events from the last matching one of the given kind back along
// their causes.
func chain(events []wire.TrailEvent, kind string, match func(wire.TrailEvent) bool) (kinds []string) {
	bySeq := map[uint64]wire.TrailEvent{}
	var at wire.TrailEvent
	for _, e := range events {
		bySeq[e.Seq] = e
		if e.Kind == kind && match(e) {
			at = e
		}
	}
	for at.Seq != 0 {
		kinds = append(kinds, at.Kind)
		at = bySeq[at.Cause]
	}
	return kinds
}

// trailOf requests the trail of the controller of, or its own if of is empty, from a node.
func (w *world) trailOf(node, of string) (t wire.Trail) {
	w.ask(node, func(q uint64) any { return AdminTrail{Req: q, Node: of, Query: trail.Query{Most: 1000}} }, func(a Answer) { t, _ = a.Body.(wire.Trail) })
	w.run(sec)
	return t
}

func same(a, b []string) bool {
	if len(a) != len(b) {
		return false
	}
	for i := range a {
		if a[i] != b[i] {
			return false
		}
	}
	return true
}

// After a machine hangs and after its holder ends, the trail must lead from each effect back to its
// cause, and must still be readable when the holder has ended.
func TestTrailOfARecovery(t *testing.T) {
	t.Parallel()
	w := newWorld(t, 41, 3)
	w.run(4 * sec)
	w.submit(spec("job-000001", "red", wire.ShapeService, 3))
	w.run(20 * sec)
	var hung *host
	for _, n := range w.order {
		if m := w.machines[n]; len(m.tasks()) > 0 {
			hung = m
		}
	}
	holder := w.holderOf(hung.info.Name)
	w.hang(hung)
	w.run(7 * sec)
	var b wire.MachineDetail
	w.ask(holder, func(q uint64) any { return AdminMachine{Req: q, Machine: hung.info.Name} }, func(a Answer) { b, _ = a.Body.(wire.MachineDetail) })
	if !b.Held || len(b.Attempts) == 0 || b.ReportedS == nil || *b.ReportedS < 3 || len(b.Trail) == 0 {
		t.Errorf("view of the machine that hangs: %+v", b)
	}
	w.run(30 * sec)
	got := chain(w.trailOf(holder, "").Events, trail.TaskRunning, func(wire.TrailEvent) bool { return true })
	if want := []string{trail.TaskRunning, trail.TaskRestarted, trail.TaskLost, trail.LeaseExpired, trail.MachineSilent}; !same(got, want) {
		t.Errorf("causes after a hang: %v, want %v", got, want)
	}
	w.kill(holder)
	w.run(20 * sec)
	next := w.shardRec("red").Holder
	var leader wire.Leader
	_ = wire.Unmarshal(w.key(wire.KeyLeader).Value, &leader)
	taken := chain(w.trailOf(leader.Node, "").Events, trail.ShardTaken, func(e wire.TrailEvent) bool { return e.Node == holder })
	if !same(taken, []string{trail.ShardTaken, trail.ControllerGone}) {
		t.Errorf("causes of the takeover: %v", taken)
	}
	if next == leader.Node {
		if got := chain(w.trailOf(next, "").Events, trail.Reconciled, func(e wire.TrailEvent) bool { return e.Shard != nil }); len(got) < 3 {
			t.Errorf("the reconciliation is not traced back to the takeover: %v", got)
		}
	}
	stored := w.trailOf(next, holder)
	if !stored.Stored || len(chain(stored.Events, trail.LeaseExpired, func(e wire.TrailEvent) bool { return e.Machine == hung.info.Name })) == 0 {
		t.Errorf("stored trail of the ended holder: %+v", stored.Events)
	}
}
