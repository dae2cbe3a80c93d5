package node

import (
	"context"
	"testing"
	"time"

	"github.com/barrowbridge/barrowbridge/internal/core"
	"github.com/barrowbridge/barrowbridge/internal/httpapi"
	"github.com/barrowbridge/barrowbridge/internal/tuning"
)

// A controller that cannot keep up serves workers first, refuses users' requests beyond a short
// queue at once with a Retry-After, and skips requests whose caller no longer waits.
func TestOverload(t *testing.T) {
	n := &node{
		authority: make(chan any, 1),
		inbox:     make(chan any, 1),
		workers:   make(chan request, tuning.InboxSize),
		users:     make(chan request, tuning.UserQueueSize),
		waiting:   map[uint64]chan httpapi.Reply{},
	}
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	poll := func(id uint64) any { return core.Poll{Req: id} }
	gone, leave := context.WithCancel(ctx)
	left := make(chan httpapi.Reply)
	go func() { left <- n.ask(gone, httpapi.User, poll, time.Minute) }()
	for len(n.users) < 1 {
		time.Sleep(time.Millisecond)
	}
	leave()
	if r := <-left; r.Status != 503 {
		t.Errorf("answer to a user that left: %+v", r)
	}
	for range tuning.UserQueueSize - 1 {
		go n.ask(ctx, httpapi.User, poll, time.Minute)
	}
	for len(n.users) < tuning.UserQueueSize {
		time.Sleep(time.Millisecond)
	}
	if r := n.ask(ctx, httpapi.User, poll, time.Minute); r.Status != 503 || r.RetryAfter == 0 {
		t.Errorf("request beyond the full queue: %+v", r)
	}
	go n.ask(ctx, httpapi.Worker, func(id uint64) any { return core.WorkerReport{Req: id} }, time.Minute)
	for len(n.workers) < 1 {
		time.Sleep(time.Millisecond)
	}
	// Renewals of the state lease and ticks are served before everything else.
	n.inbox <- core.StateDone{ID: 1}
	n.authority <- core.StateDone{ID: 2}
	tick := make(chan time.Time, 1)
	tick <- time.Time{}
	for range 2 {
		in, _ := n.next(ctx, tick)
		if d, ok := in.(core.StateDone); ok && d.ID != 2 || isReport(in) {
			t.Errorf("input served before a renewal or a tick: %+v", in)
		}
	}
	<-n.inbox
	if in, _ := n.next(ctx, nil); !isReport(in) {
		t.Errorf("got %T, want a report before users' requests", in)
	}
	for i := range tuning.UserQueueSize - 1 {
		if in, ok := n.next(ctx, nil); !ok || isReport(in) {
			t.Fatalf("request %d: %T", i, in)
		}
	}
	if len(n.users) != 0 || len(n.waiting) != tuning.UserQueueSize {
		t.Errorf("%d requests queued, %d answers pending: the request of the user that left should have been skipped", len(n.users), len(n.waiting))
	}
}

func isReport(in any) bool { _, ok := in.(core.WorkerReport); return ok }
