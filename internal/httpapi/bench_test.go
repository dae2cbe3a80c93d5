package httpapi

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/barrowbridge/barrowbridge/internal/core"
	"github.com/barrowbridge/barrowbridge/internal/metrics"
	"github.com/barrowbridge/barrowbridge/wire"
)

// BenchmarkReport measures the cost of the HTTP API for one worker's report over loopback, without
// the core. It includes the client's write and read.
func BenchmarkReport(b *testing.B) {
	ask := func(_ context.Context, _ Class, in func(id uint64) any, _ time.Duration) Reply {
		r := in(1).(core.WorkerReport)
		return Reply{Status: 200, Body: wire.ReportReply{Token: r.Report.Token, Commands: []wire.Command{}}}
	}
	s := New(ask, metrics.New(func() float64 { return 0 }), slog.New(slog.NewTextHandler(io.Discard, nil)))
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		b.Fatal(err)
	}
	defer ln.Close()
	go func() { _ = s.Serve(ln, 100) }()
	body, err := wire.Marshal(wire.Report{Machine: "n-000231", Addr: "10.1.0.232:9000", Type: "std", Zone: "n", Session: 1, Seq: 88, Token: 41,
		Attempts: []wire.TaskReport{{Task: "job-000412/3", Attempt: 1 << 30, Status: wire.TaskRunning}, {Task: "job-000412/4", Attempt: 1<<30 + 1, Status: wire.TaskRunning}}})
	if err != nil {
		b.Fatal(err)
	}
	conn, err := net.Dial("tcp", ln.Addr().String())
	if err != nil {
		b.Fatal(err)
	}
	defer conn.Close()
	msg := append([]byte(fmt.Sprintf("POST /hello HTTP/1.1\r\nHost: c\r\nContent-Type: application/cbor\r\nContent-Length: %d\r\n\r\n", len(body))), body...)
	rd := bufio.NewReader(conn)
	b.ReportAllocs()
	for range b.N {
		if _, err := conn.Write(msg); err != nil {
			b.Fatal(err)
		}
		resp, err := http.ReadResponse(rd, nil)
		if err != nil || resp.StatusCode != 200 {
			b.Fatal(err, resp)
		}
		_, _ = io.Copy(io.Discard, resp.Body)
	}
}
