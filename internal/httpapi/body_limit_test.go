package httpapi

import (
	"bytes"
	"context"
	"log/slog"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/barrowbridge/barrowbridge/internal/core"
	"github.com/barrowbridge/barrowbridge/internal/metrics"
	"github.com/barrowbridge/barrowbridge/internal/reportsize"
	"github.com/barrowbridge/barrowbridge/wire"
)

// Guards against refusing a worker's report for its size, which cost the lease and all tasks of a machine that an
// earlier version had given too many. Users' bodies keep the protocol's limit.
func TestALargeReportIsReadAndALargeJobIsNot(t *testing.T) {
	attempts := 0
	ask := func(_ context.Context, _ Class, in func(id uint64) any, _ time.Duration) Reply {
		if report, ok := in(1).(core.WorkerReport); ok {
			attempts = len(report.Report.Attempts)
		}
		return Reply{Status: 200, Body: wire.ReportReply{Commands: []wire.Command{}}}
	}
	server := New(ask, metrics.New(func() float64 { return 0 }), slog.New(slog.DiscardHandler))
	post := func(path string, message any) int {
		body, err := wire.Marshal(message)
		if err != nil {
			t.Fatal(err)
		}
		request := httptest.NewRequest(http.MethodPost, path, bytes.NewReader(body))
		recorder := httptest.NewRecorder()
		server.echo.ServeHTTP(recorder, request)
		return recorder.Code
	}
	report := wire.Report{Machine: "n-000231", Session: 1}
	for i := range 1600 {
		report.Attempts = append(report.Attempts, wire.TaskReport{Task: wire.TaskName("job-000402", i), Attempt: 1<<24 + uint64(i), Status: wire.TaskRunning})
	}
	if !reportsize.Exceeds(&report) {
		t.Fatal("the report should be larger than the protocol allows")
	}
	if status := post("/hello", report); status != 200 || attempts != 1600 {
		t.Errorf("a report of 1600 attempts: status %d, %d attempts read", status, attempts)
	}
	name := string(bytes.Repeat([]byte("x"), wire.MaxBody))
	if status := post("/v1/jobs", wire.JobSpec{ID: &name}); status != 400 {
		t.Errorf("a job of more than 64 KiB: status %d", status)
	}
	report.Addr = string(bytes.Repeat([]byte("x"), reportsize.MaxRead))
	if status := post("/hello", report); status != 400 {
		t.Errorf("a report beyond what is read: status %d", status)
	}
}
