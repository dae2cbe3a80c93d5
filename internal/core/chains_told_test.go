package core

import (
	"fmt"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/barrowbridge/barrowbridge/internal/trail"
	"github.com/barrowbridge/barrowbridge/wire"
)

// The release or cancellation of a waiting job must be counted once, and recorded once in the trail
// of the controller that wrote it.
func TestChainsAreToldOf(t *testing.T) {
	t.Parallel()
	w := staffed(t, 900, 4)
	w.until(60*sec, func() bool { return w.leaderNode() != "" })
	w.run(10 * sec)
	for i := range 4 { // job-000010 completes, and job-000012 is cancelled
		s := spec(fmt.Sprintf("job-%06d", 10+i), "red", wire.ShapeBatch, 1)
		if i%2 == 1 {
			s = after(s, fmt.Sprintf("job-%06d", 9+i))
		}
		if i == 2 {
			s.EstimateS, w.fails[*s.ID] = ptr(900.0), true
		}
		w.submitAfter(s, false)
		w.run(sec / 2)
	}
	w.run(sec)
	for n, c := range w.nodes {
		if c.core.announcedChains.Waiting == 0 {
			t.Errorf("%s reports no waiting job", n)
		}
	}
	why := wire.Why{}
	w.ask("c0", func(q uint64) any { return AdminWhy{Req: q, ID: "job-000013"} }, func(a Answer) { why, _ = a.Body.(wire.Why) })
	if d := cmp.Diff([]string{"waits until these are done: job-000012"}, why.Why); d != "" {
		t.Error(d)
	}
	w.abort("job-000012")
	w.run(60 * sec)
	got, published := map[string][]string{}, ChainCounts{}
	for _, n := range sortedKeys(w.nodes) {
		c := w.nodes[n].core.announcedChains
		published = ChainCounts{Waiting: published.Waiting + c.Waiting, Released: published.Released + c.Released, Cancelled: published.Cancelled + c.Cancelled}
		for _, e := range w.trailOf(n, "").Events {
			if e.Kind == trail.JobReleased || e.Kind == trail.JobCancelled {
				got[e.Kind] = append(got[e.Kind], e.Job+" "+e.Why)
			}
		}
	}
	want := map[string][]string{trail.JobReleased: {"job-000011 all that it awaits is done"}, trail.JobCancelled: {"job-000013 with job-000012"}}
	if d := cmp.Diff(want, got); d != "" {
		t.Error(d)
	}
	if published != (ChainCounts{Released: 1, Cancelled: 1}) {
		t.Errorf("published counts: %+v", published)
	}
}

// A controller whose watch is late is polled for a dependent job, or receives its submission again,
// just after another controller has reported that a predecessor is cancelled. It must read the
// current revision of the state before it answers.
func TestDependentAskedWhereTheWatchIsLate(t *testing.T) {
	t.Parallel()
	for seed := uint64(960); seed < 964; seed++ {
		w := staffed(t, seed, 1)
		w.runS = 30 * sec
		ids := w.chain()
		w.watchLag = 1500 * time.Millisecond
		for _, n := range sortedKeys(w.nodes) {
			w.silence(n, true) // so it cannot learn of the cancellation from a peer either
		}
		w.run(3 * sec) // until the answers in transit, without the delay, have arrived
		by, answers := sortedKeys(w.nodes)[seed%3], 0
		w.cancelAt(by, ids[0], func() {
			for _, n := range sortedKeys(w.nodes) {
				if n == by {
					continue
				}
				w.ask(n, func(q uint64) any {
					if seed%2 == 0 {
						return Poll{Req: q, ID: ids[4]}
					}
					return Submit{Req: q, Spec: w.jobs[ids[4]].spec}
				}, func(a Answer) {
					answers++
					if st, _ := a.Body.(wire.JobStatus); a.Status != 503 && (a.Status != 200 || st.Status != wire.JobAborted) {
						t.Errorf("seed %d: %s answers %d %s for %s, whose predecessor %s has reported as cancelled", seed, n, a.Status, st.Status, ids[4], by)
					}
				})
			}
		})
		w.run(6 * sec)
		if answers != 2 {
			t.Errorf("seed %d: got %d answers, want 2", seed, answers)
		}
	}
}
