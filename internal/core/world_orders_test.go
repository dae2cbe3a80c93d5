package core

import (
	"time"

	"github.com/barrowbridge/barrowbridge/internal/tuning"
	"github.com/barrowbridge/barrowbridge/wire"
)

// checkOrder verifies a direct call against the current state. A direct call may carry only stop
// commands. Once another holder has been granted the machine, the caller's token must be lower
// than that holder's; only a call without commands may carry a token equal to it.
func (w *world) checkOrder(n *ctrl, v WorkerCall) {
	for _, cmd := range v.Orders.Commands {
		if cmd.Verb != wire.VerbStop {
			w.t.Fatalf("%v: %s sent %s a direct command to %s", w.now, n.name, v.Machine, cmd.Verb)
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
		// The caller still holds the machine. But a token beyond the revision of its mirror could
		// be that of a successor.
		if v.Orders.Token > max(granted, n.core.mirrorRevision) {
			w.t.Fatalf("%v: %s calls %s with token %d, but its mirror is only at revision %d", w.now, n.name, v.Machine, v.Orders.Token, n.core.mirrorRevision)
		}
		return
	}
	if t := v.Orders.Token; t > granted || t == granted && len(v.Orders.Commands) > 0 {
		w.t.Fatalf("%v: %s calls %s with token %d, but it was granted to %s with token %d", w.now, n.name, v.Machine, t, shard.Holder, granted)
	}
}

// deliver delivers direct commands to a worker. Some are lost and some arrive late; a machine
// that hangs reads them when it resumes.
func (w *world) deliver(n *ctrl, v WorkerCall, lag time.Duration) {
	incarnation := n.incarnation
	respond := func(status int, r wire.Report) {
		if (v.ReturnOutcome || v.ProbeOnly) && n.incarnation == incarnation {
			w.step(n, WorkerCallDone{Machine: v.Machine, Token: v.Orders.Token, Session: v.Orders.Session, ProbeOnly: v.ProbeOnly, RequestedBy: v.RequestedBy, Status: status, Report: r})
		}
	}
	if w.outOfReach(n.name, v.Machine) && !w.called || w.oneWay[n.name] == "calls" || w.deaf[v.Machine] {
		w.at(tuning.WorkerCallTimeout, func() { respond(0, wire.Report{}) })
		return
	}
	if w.unsure > 0 && w.rng.IntN(100) < w.unsure {
		if w.rng.IntN(2) == 0 {
			w.at(tuning.WorkerCallTimeout, func() { respond(0, wire.Report{}) })
			return
		}
		lag += time.Duration(w.rng.IntN(8000)) * time.Millisecond
	}
	if w.holdOrders > 0 { // the sender's call times out, but its packets are delivered when the cut ends
		lag += time.Duration(w.rng.Int64N(int64(w.holdOrders)))
		if answered := respond; lag > tuning.WorkerCallTimeout {
			w.at(tuning.WorkerCallTimeout, func() { answered(0, wire.Report{}) })
			respond = func(int, wire.Report) {}
		}
	}
	w.at(lag, func() {
		m := w.machines[v.Machine]
		if m.gone || !m.up {
			w.at(tuning.WorkerCallTimeout, func() { respond(0, wire.Report{}) })
			return
		}
		if m.Fault.Hung {
			w.deliver(n, v, 100*time.Millisecond)
			return
		}
		if v.ProbeOnly {
			r, out := m.Inspect(w.now)
			w.drive(m, out)
			w.at(w.lag(), func() { respond(200, r) })
			return
		}
		status, r, out := m.Orders(w.now, v.Orders)
		w.drive(m, out)
		if status == 200 {
			w.repeat(func() { w.repeatOrders(m, v.Orders) })
		}
		w.at(w.lag(), func() { respond(status, r) })
	})
}

// repeatOrders carries out a direct call once more, of which nobody awaits the answer.
func (w *world) repeatOrders(m *host, orders wire.Orders) {
	if m.gone || !m.up || m.Fault.Hung {
		return
	}
	_, _, out := m.Orders(w.now, orders)
	w.drive(m, out)
}
