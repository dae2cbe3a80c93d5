package core

import (
	"fmt"
	"testing"
	"time"

	"github.com/barrowbridge/barrowbridge/wire"
)

// homeByOwnWrite brings about that a leader takes its own shard home from a controller that lives
// and starts tasks all the time, while what the leader sees of the state is over a second old: its own
// write tells it of the grant before the other's last writes reach it. It tells who that is.
func (w *world) homeByOwnWrite(t *testing.T) (home string) {
	home = "c0"
	shard := func() (s wire.Shard) { _ = wire.Unmarshal(w.key(shardKey(0)).Value, &s); return s }
	w.bounce(7*sec, home)
	w.run(8 * sec)
	for _, n := range sortedKeys(w.nodes) { // who has no cloud is not to lead
		w.noCloud[n] = n != home
	}
	for range 4 {
		l := w.leaderNode()
		if l != "" && l != home && l != shard().Holder {
			w.bounce(20*sec, l)
		}
		w.until(14*sec, func() bool { n := w.leaderNode(); return n != l && n != "" })
		if w.leaderNode() == home {
			break
		}
	}
	clear(w.noCloud)
	if s := shard(); w.leaderNode() != home || s.Home != home || s.Holder == home {
		t.Fatalf("%s leads; the shard of %s is with %s", w.leaderNode(), s.Home, s.Holder)
	}
	w.watchLag = 1400 * time.Millisecond
	for j := range 160 { // each takes a machine of its own, most of them fresh
		w.at(time.Duration(j)*250*time.Millisecond, func() {
			if shard().Holder != home {
				s := spec(fmt.Sprintf("job-%06d", 1300+j), shard().Teams[0], wire.ShapeBatch, 1)
				s.DueS, s.CPUs = nil, ptr(4.0)
				w.submit(s)
			}
		})
	}
	w.until(40*sec, func() bool { return shard().Holder == home })
	if shard().Holder != home {
		t.Fatal("the shard has not come home")
	}
	return home
}

// comesHome plays that with work that takes fresh machines all the time: what the mirror does not show
// yet is that these have been used. Taken up before the mirror has reached the grant, the shard's
// tasks there are believed to be nowhere.
func comesHome(t *testing.T) {
	t.Parallel()
	for seed := uint64(920); seed < 928; seed++ {
		w := staffed(t, seed, 2, func(w *world) {
			w.runS, w.bootS, w.capacity = 9*sec, sec, 40
			w.teams = map[string]Team{}
			for _, n := range []string{"red", "blue", "green"} {
				w.teams[n] = Team{CPUs: 80, CPUsMax: 160}
			}
		})
		w.homeByOwnWrite(t)
		w.run(12 * sec)
		w.watchLag = 0
		w.until(60*sec, func() bool { return len(w.unfinished()) == 0 })
		w.backTo(t, 6, 45*sec)
	}
}
