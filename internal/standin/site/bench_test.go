package site

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/barrowbridge/barrowbridge/internal/cborhttp"
	"github.com/barrowbridge/barrowbridge/internal/standin/state"
	"github.com/barrowbridge/barrowbridge/wire"
)

// BenchmarkState measures the emulated state service over loopback: reads and
// commits from parallel clients, and the time from a commit until the last of 1,000
// watches has received it.
func BenchmarkState(b *testing.B) {
	spec := Default()
	spec.State = state.Limits{ValueBytes: 16 << 10, TxnOps: 16}
	s := New(spec, quiet(), nil)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	go s.clock(ctx)
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		b.Fatal(err)
	}
	defer s.serve(ln, s.stateServer("c0")).Close()
	base := "http://" + ln.Addr().String()
	hc := cborhttp.NewClient(time.Second, 2000)
	call := func(method, path string, body any) int {
		status, _, err := cborhttp.RoundTrip(ctx, hc, method, base+path, body)
		if err != nil {
			b.Error(err)
		}
		return status
	}
	commit := func(i int) {
		if code := call(http.MethodPost, "/commit", wire.Txn{Then: []wire.Change{{Put: fmt.Sprint("k/", i%1000), Value: "some value"}}}); code != 200 {
			b.Errorf("commit: %d", code)
		}
	}
	for i := range 1000 {
		commit(i)
	}
	parallel := func(name string, f func(i int)) {
		b.Run(name, func(b *testing.B) {
			b.SetParallelism(1)
			b.RunParallel(func(pb *testing.PB) {
				for i := 0; pb.Next(); i++ {
					f(i)
				}
			})
			b.ReportMetric(float64(b.N)/b.Elapsed().Seconds(), "calls/s")
		})
	}
	parallel("read", func(i int) { call(http.MethodGet, fmt.Sprint("/store/k/", i%1000), nil) })
	parallel("commit", commit)
	b.Run("watch-1000", func(b *testing.B) {
		var last time.Duration
		for n := range b.N {
			_, raw, err := cborhttp.RoundTrip(ctx, hc, http.MethodGet, base+"/store/none", nil)
			var now wire.Absent
			if err != nil || wire.Unmarshal(raw, &now) != nil {
				b.Fatal(err)
			}
			var watches sync.WaitGroup
			for range 1000 {
				watches.Go(func() {
					call(http.MethodGet, fmt.Sprintf("/changes?starts=w/&after=%d&hold_ms=20000", now.Revision), nil)
				})
			}
			for open := 0; open < 1000; time.Sleep(time.Millisecond) {
				s.mu.Lock()
				open = len(s.calls)
				s.mu.Unlock()
			}
			committedAt := time.Now()
			call(http.MethodPost, "/commit", wire.Txn{Then: []wire.Change{{Put: "w/x", Value: n}}})
			watches.Wait()
			last += time.Since(committedAt)
		}
		last /= time.Duration(b.N)
		b.ReportMetric(float64(last.Microseconds())/1000, "ms/last-of-1000")
	})
}
