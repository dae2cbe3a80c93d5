package site

import (
	"bytes"
	"log/slog"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/labstack/echo/v4"

	"github.com/barrowbridge/barrowbridge/internal/standin/state"
	"github.com/barrowbridge/barrowbridge/wire"
)

func quiet() *slog.Logger { return slog.New(slog.DiscardHandler) }

// FuzzServers checks that any request to the emulated services gets an answer that
// the protocol allows, and that the state service still works afterwards.
func FuzzServers(f *testing.F) {
	txn, err := wire.Marshal(wire.Txn{If: []wire.Condition{{Key: "a"}}, Then: []wire.Change{{Put: "a", Value: 1}}})
	if err != nil {
		f.Fatal(err)
	}
	rent, err := wire.Marshal(wire.RentRequest{Request: "r", Type: "std", Zone: "a", Count: 3})
	if err != nil {
		f.Fatal(err)
	}
	for _, s := range []struct {
		method, path string
		body         []byte
	}{{"GET", "/store/a/b", nil}, {"GET", "/store?starts=a&after=b&page=3", nil}, {"POST", "/commit", txn}, {"POST", "/grants", []byte{0xa0}},
		{"POST", "/grants/1/extend", nil}, {"DELETE", "/grants/1", nil}, {"GET", "/changes?starts=&after=0&hold_ms=0", nil},
		{"GET", "/machine_types", nil}, {"POST", "/hosts", rent}, {"GET", "/hosts?after=n-1&page=501", nil}, {"POST", "/hosts/delete", []byte{0xa0}}} {
		f.Add(s.method, s.path, s.body)
	}
	spec := Default()
	spec.State = state.Limits{ValueBytes: 1024, TxnOps: 4}
	spec.Cloud.RPS = 0
	s := New(spec, quiet(), nil)
	servers := []*echo.Echo{s.stateServer("c0"), s.cloudServer("c0")}
	f.Fuzz(func(t *testing.T, method, path string, body []byte) {
		for _, e := range servers {
			req, err := http.NewRequest(method, "http://x"+path, bytes.NewReader(body))
			if err != nil || len(path) == 0 || path[0] != '/' {
				return
			}
			if ms := req.URL.Query().Get("hold_ms"); len(ms) > 2 {
				return // skip watches that ask to be held for long
			}
			rec := httptest.NewRecorder()
			e.ServeHTTP(rec, req)
			if rec.Code >= 500 && rec.Code != http.StatusServiceUnavailable && rec.Code != http.StatusNotImplemented {
				t.Fatalf("%s %s: %d %s", method, path, rec.Code, rec.Body)
			}
		}
		s.mu.Lock()
		defer s.mu.Unlock()
		if a := s.store.Do(time.Second, 1<<60, state.Call{Op: state.Get, Key: "none"}); len(a) == 0 || a[len(a)-1].Status != 404 {
			t.Fatalf("the store answers %v after the request, want status 404", a)
		}
	})
}
