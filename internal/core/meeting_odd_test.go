package core

import (
	"fmt"
	"testing"
	"time"

	"github.com/barrowbridge/barrowbridge/wire"
)

// Jobs that cannot run or lack a field must be refused by every controller, also when they are submitted
// repeatedly and while controllers restart. They must be unknown afterwards: polls and cancellations get
// 404. The test fails without `impossibleReason` or `Validate` in onSubmit.
func TestOddJobsAreRefused(t *testing.T) {
	t.Parallel()
	for _, how := range []string{"calm", "bounced", "slow"} {
		w := staffed(t, 850, 2)
		got := map[int]int{}
		if how == "slow" {
			w.slowState = 400 * time.Millisecond
		}
		for i := range 20 {
			odd := oddBodies(spec(fmt.Sprintf("job-0009%02d", i), "red", wire.ShapeBatch, 2))
			s := odd[sortedKeys(odd)[i%len(odd)]]
			w.check.Submitting(s)
			w.at(time.Duration(i)*500*time.Millisecond, func() {
				if how == "bounced" && i%5 == 0 {
					w.bounce(100*time.Millisecond, w.anyNode())
				}
				for _, n := range sortedKeys(w.nodes) {
					for k := range 4 {
						w.at(time.Duration(k)*170*time.Millisecond, func() {
							asked := w.now
							w.ask(n, func(q uint64) any { return Submit{Req: q, Spec: s} }, func(a Answer) {
								st, _ := a.Body.(wire.JobStatus)
								w.check.Submitted(w.now, asked, *s.ID, a.Status, st)
								got[a.Status]++
							})
							w.ask(n, func(q uint64) any { return Abort{Req: q, ID: *s.ID} }, func(a Answer) {
								if a.Status != 404 && a.Status != 503 {
									t.Errorf("%s: the cancellation of the refused job %s was answered with %d", how, *s.ID, a.Status)
								}
							})
							w.ask(n, func(q uint64) any { return Poll{Req: q, ID: *s.ID} }, func(a Answer) {
								if a.Status != 404 && a.Status != 503 {
									t.Errorf("%s: the poll of the refused job %s was answered with %d", how, *s.ID, a.Status)
								}
							})
						})
					}
				}
			})
		}
		w.run(20 * sec)
		if got[400] < 50 || got[422] < 50 || got[200]+got[201] > 0 {
			t.Errorf("%s: answers to invalid jobs by status: %v", how, got)
		}
		t.Logf("%s: answers to invalid jobs by status: %v", how, got)
	}
}

// A job that fits only one of many machine types must never be refused by a controller that knows only a
// part of the types, because it is reading the state page by page or because the first leader is still
// writing the types.
func TestNoRefusalByTypesHalfRead(t *testing.T) {
	t.Parallel()
	var many []wire.MachineType
	for i := range 45 { // more than two pages of a state read, and many transactions
		many = append(many, wire.MachineType{Name: fmt.Sprintf("t%02d", i), CPUs: 2, MemoryGB: 8, FetchGBps: 1, Price: 1, SpotPrice: 1, BootS: 5, Zones: []string{"n", "s"}})
	}
	many[44].CPUs, many[44].MemoryGB = 8, 32
	for seed := uint64(860); seed < 864; seed++ {
		w := newWorld(t, seed, 3, func(w *world) { w.moreTypes = many; w.slowState = 60 * time.Millisecond })
		got, id := map[int]int{}, 0
		var asks func()
		asks = func() {
			id++
			s := spec(fmt.Sprintf("job-%06d", id), "red", wire.ShapeBatch, 1)
			s.CPUs, s.Types = ptr(8.0), []string{"t44"}
			n := sortedKeys(w.nodes)[id%3]
			w.ask(n, func(q uint64) any { return Submit{Req: q, Spec: s} }, func(a Answer) {
				if got[a.Status]++; a.Status != 201 && a.Status != 503 && a.Status != 200 {
					t.Errorf("seed %d: %v: %s was answered with %d at %s: %+v", seed, w.now, *s.ID, a.Status, n, a.Body)
				}
			})
			if id < 600 {
				w.at(20*time.Millisecond, asks)
			}
		}
		w.at(500*time.Millisecond, asks)
		for i := range 3 {
			w.at(time.Duration(5+i*2)*sec, func() { w.bounce(50*time.Millisecond, w.anyNode()) })
		}
		w.run(20 * sec)
		if got[201] < 50 {
			t.Errorf("seed %d: answers by status: %v", seed, got)
		}
		t.Logf("seed %d: answers by status: %v", seed, got)
	}
}
