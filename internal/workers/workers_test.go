package workers

import (
	"context"
	"io"
	"log/slog"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/barrowbridge/barrowbridge/internal/tuning"
	"github.com/barrowbridge/barrowbridge/wire"
)

func TestSilentWorkerDoesNotDelayOthers(t *testing.T) {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	got := make(chan wire.Orders, 1)
	srv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		b, _ := io.ReadAll(r.Body)
		var o wire.Orders
		if r.URL.Path == "/orders" && wire.Unmarshal(b, &o) == nil {
			got <- o
			b, _ := wire.Marshal(wire.Report{Machine: "m", Session: 3, Seq: 8, Token: 9})
			w.WriteHeader(409)
			_, _ = w.Write(b)
		}
	}))
	defer srv.Close()
	stall := make(chan struct{})
	silent := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) { <-stall }))
	defer silent.Close()
	defer close(stall)
	ended := make(chan int, 4)
	c := New(ctx, slog.New(slog.DiscardHandler), func(status int, _ time.Duration) { ended <- status })
	type reply struct {
		status int
		r      wire.Report
	}
	answers := make(chan reply, 2)
	answer := func(status int, r wire.Report) { answers <- reply{status, r} }
	if !c.Send(silent.Listener.Addr().String(), wire.Orders{Token: 1, Session: 1}, answer) || !c.Send(srv.Listener.Addr().String(), wire.Orders{Token: 7, Session: 2}, answer) {
		t.Fatal("an empty queue has no space")
	}
	select {
	case o := <-got:
		if o.Token != 7 || o.Session != 2 {
			t.Errorf("orders %+v arrived", o)
		}
	case <-time.After(5 * time.Second):
		t.Fatal("no orders arrived")
	}
	if s := <-ended; s != 409 {
		t.Errorf("status %d", s)
	}
	if x := <-answers; x.status != 409 || x.r.Session != 3 || x.r.Token != 9 {
		t.Errorf("the report of a refusal: %+v", x)
	}
	select {
	case s := <-ended:
		if s != 0 {
			t.Errorf("the silent worker answered %d", s)
		}
	case <-time.After(tuning.WorkerCallTimeout + 5*time.Second):
		t.Fatal("the call to a silent worker never ends")
	}
	if x := <-answers; x.status != 0 {
		t.Errorf("report of the silent worker: %+v", x)
	}
}
