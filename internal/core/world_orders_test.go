package core

import (
	"time"

	"github.com/barrowbridge/barrowbridge/wire"
)

// checkOrder judges a direct call by the state as it stands: nothing may be started by
// it, and once another holder has been granted the machine, no token of ours may reach
// that holder's. Only a call that carries no command may name the other's own token.
func (w *world) checkOrder(n *ctrl, v Order) {
	for _, cmd := range v.Orders.Commands {
		if cmd.Verb != wire.VerbStop {
			w.t.Fatalf("%v: %s calls %s to %s", w.now, n.name, v.Machine, cmd.Verb)
		}
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
	if shard.Holder == n.name && shard.Boot == n.core.boot {
		// Ours still; but a token that our mirror has not reached may be a successor's.
		if v.Orders.Token > max(granted, n.core.rev) {
			w.t.Fatalf("%v: %s calls %s with token %d, its mirror is at %d", w.now, n.name, v.Machine, v.Orders.Token, n.core.rev)
		}
		return
	}
	if t := v.Orders.Token; t > granted || t == granted && len(v.Orders.Commands) > 0 {
		w.t.Fatalf("%v: %s calls %s with token %d, granted to %s at %d", w.now, n.name, v.Machine, t, shard.Holder, granted)
	}
}

// deliver brings direct commands to a worker. Some are lost, some come late; those for a
// machine that hangs are read when it goes on.
func (w *world) deliver(v Order, lag time.Duration) {
	if w.unsure > 0 && w.rng.IntN(100) < w.unsure {
		if w.rng.IntN(2) == 0 {
			return
		}
		lag += time.Duration(w.rng.IntN(8000)) * time.Millisecond
	}
	w.at(lag, func() {
		m := w.machines[v.Machine]
		if m.gone || !m.up {
			return
		}
		if m.Fault.Hung {
			w.deliver(v, 100*time.Millisecond)
			return
		}
		_, _, out := m.Orders(w.now, v.Orders)
		w.drive(m, out)
	})
}
