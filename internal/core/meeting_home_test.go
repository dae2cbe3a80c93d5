package core

import (
	"fmt"
	"testing"
	"time"

	"github.com/barrowbridge/barrowbridge/wire"
)

// homeByOwnWrite makes a leader take its home shard back from a running controller that starts tasks
// continuously, while the leader's mirror of the state is more than a second old. The leader's own write
// thus informs it of the assignment before it receives the previous holder's last writes. It returns the
// leader's name.
func (w *world) homeByOwnWrite(t *testing.T) (home string) {
	home = "c0"
	shard := func() (s wire.Shard) { _ = wire.Unmarshal(w.key(shardKey(0)).Value, &s); return s }
	w.bounce(7*sec, home)
	w.run(8 * sec)
	for _, n := range sortedKeys(w.nodes) { // a controller without the cloud does not lead
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
		t.Fatalf("%s leads; the shard with home %s is held by %s", w.leaderNode(), s.Home, s.Holder)
	}
	w.watchLag = 1400 * time.Millisecond
	for j := range 160 { // each needs a whole machine, mostly a new one
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
		t.Fatal("the shard did not return to its home controller")
	}
	return home
}

// comesHome runs homeByOwnWrite with jobs that continuously use new machines, which the mirror does not
// show as used yet. It guards against a holder that takes up the shard before its mirror has reached the
// revision of the assignment: it would conclude that the tasks on these machines run nowhere.
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
