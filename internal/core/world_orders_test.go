package core

import (
	"time"

	"github.com/barrowbridge/barrowbridge/internal/tuning"
	"github.com/barrowbridge/barrowbridge/wire"
)

// checkOrder judges a direct call by the state as it stands: nothing may be started by
// it, and once another holder has been granted the machine, no token of ours may reach
// that holder's. Only a call that carries no command may name the other's own token.
func (w *world) checkOrder(n *ctrl, v WorkerCall) {
	for _, cmd := range v.Orders.Commands {
		if cmd.Verb != wire.VerbStop {
			w.t.Fatalf("%v: %s calls %s to %s", w.now, n.name, v.Machine, cmd.Verb)
		}
	}
	if v.ProbeOnly {
		return
	}
	granted, shard := uint64(0), wire.Shard{}
	w.store.Scan(wire.PrefixBlock, func(it wire.Item) {
		var b wire.Block
		_ = wire.Unmarshal(it.Value, &b)
		for _, m := range b.Machines {
			if m.Name == v.Machine {
				s := w.key(shardKey(b.Shard))
				_ = wire.Unmarshal(s.Value, &shard)
				granted = max(it.Version, s.Version)
			}
		}
	})
	if granted == 0 {
		return
	}
	if shard.Holder == n.name && shard.Boot == n.core.presence.Boot() {
		// Ours still; but a token that our mirror has not reached may be a successor's.
		if v.Orders.Token > max(granted, n.core.mirrorRevision) {
			w.t.Fatalf("%v: %s calls %s with token %d, its mirror is at %d", w.now, n.name, v.Machine, v.Orders.Token, n.core.mirrorRevision)
		}
		return
	}
	if t := v.Orders.Token; t > granted || t == granted && len(v.Orders.Commands) > 0 {
		w.t.Fatalf("%v: %s calls %s with token %d, granted to %s at %d", w.now, n.name, v.Machine, t, shard.Holder, granted)
	}
}

// deliver brings direct commands to a worker. Some are lost, some come late; those for a
// machine that hangs are read when it goes on.
func (w *world) deliver(n *ctrl, v WorkerCall, lag time.Duration) {
	life := n.life
	told := func(status int, r wire.Report) {
		if (v.ReturnOutcome || v.ProbeOnly) && n.life == life {
			w.step(n, WorkerCallDone{Machine: v.Machine, Token: v.Orders.Token, Session: v.Orders.Session, ProbeOnly: v.ProbeOnly, RequestedBy: v.RequestedBy, Status: status, Report: r})
		}
	}
	if w.outOfReach(n.name, v.Machine) && !w.called || w.oneWay[n.name] == "calls" || w.deaf[v.Machine] {
		w.at(tuning.WorkerCallTimeout, func() { told(0, wire.Report{}) })
		return
	}
	if w.unsure > 0 && w.rng.IntN(100) < w.unsure {
		if w.rng.IntN(2) == 0 {
			w.at(tuning.WorkerCallTimeout, func() { told(0, wire.Report{}) })
			return
		}
		lag += time.Duration(w.rng.IntN(8000)) * time.Millisecond
	}
	if w.holdOrders > 0 { // the sender gives up, the packets are delivered when the cut ends
		lag += time.Duration(w.rng.Int64N(int64(w.holdOrders)))
		if answered := told; lag > tuning.WorkerCallTimeout {
			w.at(tuning.WorkerCallTimeout, func() { answered(0, wire.Report{}) })
			told = func(int, wire.Report) {}
		}
	}
	w.at(lag, func() {
		m := w.machines[v.Machine]
		if m.gone || !m.up {
			w.at(tuning.WorkerCallTimeout, func() { told(0, wire.Report{}) })
			return
		}
		if m.Fault.Hung {
			w.deliver(n, v, 100*time.Millisecond)
			return
		}
		if v.ProbeOnly {
			r, out := m.Inspect(w.now)
			w.drive(m, out)
			w.at(w.lag(), func() { told(200, r) })
			return
		}
		status, r, out := m.Orders(w.now, v.Orders)
		w.drive(m, out)
		w.at(w.lag(), func() { told(status, r) })
	})
}
