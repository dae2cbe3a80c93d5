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
	"github.com/barrowbridge/barrowbridge/wire"
)

// Any request gets an answer with a status other than 500. The API passes only requests that it has
// checked to the core, which is a real one here.
func FuzzFace(f *testing.F) {
	report, err := wire.Marshal(wire.Report{Machine: "n-1", Session: 1, Seq: 1, Attempts: []wire.TaskReport{{Task: "job-1/0", Attempt: 1, Status: "running"}}})
	if err != nil {
		f.Fatal(err)
	}
	for _, s := range []struct {
		method, path string
		body         []byte
	}{{"POST", "/v1/jobs", []byte{0xa0}}, {"GET", "/v1/jobs/job-1", nil}, {"POST", "/v1/jobs/job-1/abort", nil}, {"POST", "/hello", report},
		{"GET", "/ready", nil}, {"GET", "/admin/v1/overview", nil}, {"PUT", "/admin/v1/settings", []byte{0xa0}}, {"GET", "/admin/v1/trail?after=1&most=2", nil},
		{"GET", "/admin/v1/machines/n-1", nil}, {"PUT", "/admin/v1/machines/n-1/cordon", []byte{0xa0}}, {"GET", "/admin/v1/jobs/job-1/why", nil}} {
		f.Add(s.method, s.path, s.body)
	}
	c := core.New(core.Params{Node: "a", NodeZones: map[string]string{"a": "z"}, Teams: map[string]core.Team{"red": {CPUsMax: 4}},
		WorkerLease: 10 * time.Second, CancelTimeout: 40 * time.Second, ReportInterval: time.Second, MaxTxnOps: 8, MaxValueBytes: 4096})
	req := uint64(0)
	ask := func(_ context.Context, _ Class, in func(uint64) any, _ time.Duration) Reply {
		req++
		for _, e := range c.Step(time.Duration(req)*time.Millisecond, time.Unix(1, 0), in(req)) {
			if a, ok := e.(core.Answer); ok && a.Req == req {
				return Reply{Status: a.Status, Body: a.Body, RetryAfter: a.RetryAfter}
			}
		}
		return Reply{Status: http.StatusServiceUnavailable}
	}
	s := New(ask, metrics.New(func() float64 { return 0 }), slog.New(slog.DiscardHandler))
	f.Fuzz(func(t *testing.T, method, path string, body []byte) {
		r, err := http.NewRequest(method, "http://x"+path, bytes.NewReader(body))
		if err != nil || len(path) == 0 || path[0] != '/' {
			return
		}
		rec := httptest.NewRecorder()
		s.echo.ServeHTTP(rec, r)
		if rec.Code == http.StatusInternalServerError {
			t.Fatalf("%s %q: %d %s", method, path, rec.Code, rec.Body)
		}
	})
}
