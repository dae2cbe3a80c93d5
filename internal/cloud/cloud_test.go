package cloud

import (
	"context"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/barrowbridge/barrowbridge/internal/core"
	"github.com/barrowbridge/barrowbridge/wire"
)

func TestAnswers(t *testing.T) {
	for _, c := range []struct {
		name   string
		call   core.CloudCall
		path   string
		status int
		body   any
		want   int
		check  func(core.CloudReply) bool
	}{
		{"machines come in pages", core.CloudCall{Op: core.OpMachines, After: "n-000230"}, "GET /hosts?after=n-000230&page=500", 200,
			map[string]any{"hosts": []any{map[string]any{"name_id": "n-000231", "status": "running"}}, "more": true}, 200,
			func(r core.CloudReply) bool { return r.List.More && r.List.Machines[0].Name == "n-000231" }},
		{"a rental may be filled in part", core.CloudCall{Op: core.OpRent, Rent: wire.RentRequest{Request: "r-1", Count: 3}}, "POST /hosts", 200,
			map[string]any{"hosts": []string{"n-000001"}}, 200, func(r core.CloudReply) bool { return len(r.Names) == 1 }},
		{"no capacity", core.CloudCall{Op: core.OpRent}, "POST /hosts", 503, map[string]any{"error": "no capacity"}, 503,
			func(r core.CloudReply) bool { return r.Err == "no capacity" }},
		{"over the limit", core.CloudCall{Op: core.OpDelete, Names: []string{"n-000001"}}, "POST /hosts/delete", 429, map[string]any{}, 429, nil},
		{"an answer that is not CBOR counts as no answer", core.CloudCall{Op: core.OpTypes}, "GET /machine_types", 200, nil, 0, nil},
	} {
		t.Run(c.name, func(t *testing.T) {
			srv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				if got := r.Method + " " + r.URL.RequestURI(); got != c.path {
					t.Errorf("request %s, want %s", got, c.path)
				}
				w.WriteHeader(c.status)
				b := []byte("<html>")
				if c.body != nil {
					b, _ = wire.Marshal(c.body)
				}
				_, _ = w.Write(b)
			}))
			defer srv.Close()
			got := New(strings.TrimPrefix(srv.URL, "http://"), 100).Do(context.Background(), c.call)
			if got.Status != c.want || c.check != nil && !c.check(got) {
				t.Errorf("got %+v", got)
			}
		})
	}
	if r := New("127.0.0.1:1", 100).Do(context.Background(), core.CloudCall{Op: core.OpTypes}); r.Status != 0 || r.Err == "" {
		t.Errorf("call of an address without a server: %+v", r)
	}
}
