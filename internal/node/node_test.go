package node

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"net/http/httptest"
	"sort"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/barrowbridge/barrowbridge/internal/config"
	"github.com/barrowbridge/barrowbridge/wire"
)

// standIn implements the published protocols of the state service and the cloud, as far as one
// controller without machines needs them.
type standIn struct {
	mu   sync.Mutex
	rev  uint64
	keys map[string]wire.Item
}

func reply(w http.ResponseWriter, status int, v any) {
	b, err := wire.Marshal(v)
	if err != nil {
		panic(err)
	}
	w.WriteHeader(status)
	_, _ = w.Write(b)
}

func (s *standIn) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	body, _ := io.ReadAll(r.Body)
	if r.URL.Path == "/changes" {
		time.Sleep(20 * time.Millisecond)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	switch {
	case r.URL.Path == "/machine_types":
		reply(w, 200, wire.MachineTypes{Types: []wire.MachineType{{Name: "std", CPUs: 4, MemoryGB: 16, Zones: []string{"n"}}}})
	case r.URL.Path == "/hosts" && r.Method == http.MethodGet:
		reply(w, 200, wire.MachineList{})
	case r.URL.Path == "/hosts":
		reply(w, 503, wire.Problem{Error: "no capacity"})
	case r.URL.Path == "/grants":
		reply(w, 200, wire.LeaseReply{Lease: 1})
	case strings.HasPrefix(r.URL.Path, "/grants/"):
		reply(w, 200, struct{}{})
	case r.URL.Path == "/changes":
		var after uint64
		fmt.Sscan(r.URL.Query().Get("after"), &after)
		e := wire.Events{Revision: s.rev}
		for _, it := range s.sorted() {
			if it.Version > after && strings.HasPrefix(it.Key, r.URL.Query().Get("starts")) {
				e.Events = append(e.Events, wire.Event{Put: it.Key, Value: it.Value, Version: it.Version})
			}
		}
		reply(w, 200, e)
	case r.URL.Path == "/store":
		l := wire.ItemList{Revision: s.rev}
		for _, it := range s.sorted() {
			if strings.HasPrefix(it.Key, r.URL.Query().Get("starts")) {
				l.Items = append(l.Items, it)
			}
		}
		reply(w, 200, l)
	case strings.HasPrefix(r.URL.Path, "/store/"):
		if it, ok := s.keys[strings.TrimPrefix(r.URL.Path, "/store/")]; ok {
			reply(w, 200, it)
		} else {
			reply(w, 404, wire.ItemList{Revision: s.rev})
		}
	case r.URL.Path == "/commit":
		var t struct {
			If   []wire.Condition `cbor:"when"`
			Then []struct {
				Put    string   `cbor:"set"`
				Value  wire.Raw `cbor:"v"`
				Delete string   `cbor:"delete"`
			} `cbor:"apply"`
		}
		if err := wire.Unmarshal(body, &t); err != nil {
			reply(w, 400, wire.Problem{Error: err.Error()})
			return
		}
		var failed []string
		for _, c := range t.If {
			if s.keys[c.Key].Version != c.Version {
				failed = append(failed, c.Key)
			}
		}
		if failed != nil {
			reply(w, 409, wire.TxnReply{Revision: s.rev, Failed: failed})
			return
		}
		s.rev++
		for _, c := range t.Then {
			if c.Delete != "" {
				delete(s.keys, c.Delete)
			} else {
				s.keys[c.Put] = wire.Item{Key: c.Put, Value: c.Value, Version: s.rev}
			}
		}
		reply(w, 200, wire.TxnReply{Revision: s.rev})
	default:
		reply(w, 404, wire.Problem{Error: "no such path"})
	}
}

func (s *standIn) sorted() []wire.Item {
	var out []wire.Item
	for _, it := range s.keys {
		out = append(out, it)
	}
	sort.Slice(out, func(i, j int) bool { return out[i].Key < out[j].Key })
	return out
}

func freeAddr(t *testing.T) string {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer ln.Close()
	return ln.Addr().String()
}

// Runs one controller on loopback and sends it valid and invalid requests of users and operators.
func TestOverTheWire(t *testing.T) {
	srv := httptest.NewServer(&standIn{keys: map[string]wire.Item{}})
	defer srv.Close()
	outside := strings.TrimPrefix(srv.URL, "http://")
	cfg := &config.Config{Node: "a", Zone: "n", Listen: freeAddr(t), PeerListen: freeAddr(t),
		Services: config.Services{Cloud: outside, State: outside},
		Params: config.Params{Teams: []config.Team{{Name: "red", CPUs: 4, CPUsMax: 8}},
			Workers: config.Workers{ReportS: 2, LeaseS: 10, CancelS: 40},
			State:   config.State{RPS: 1000, WriteRPS: 1000, ValueKB: 8, TxnOps: 8}, Cloud: config.Cloud{RPS: 100, ListLagS: 1}}}
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	go func() { _ = Run(ctx, cfg, slog.New(slog.NewTextHandler(io.Discard, nil))) }()

	call := func(method, path string, body []byte, into any) int {
		t.Helper()
		req, err := http.NewRequest(method, "http://"+cfg.Listen+path, bytes.NewReader(body))
		if err != nil {
			t.Fatal(err)
		}
		resp, err := http.DefaultClient.Do(req)
		if err != nil {
			return 0
		}
		defer resp.Body.Close()
		raw, _ := io.ReadAll(resp.Body)
		if into != nil {
			if err := wire.Unmarshal(raw, into); err != nil {
				t.Errorf("%s %s: answer not readable: %v", method, path, err)
			}
		}
		return resp.StatusCode
	}
	for i := 0; call("GET", "/ready", nil, nil) != 200; i++ {
		if i > 200 {
			t.Fatal("not ready after 10 s")
		}
		time.Sleep(50 * time.Millisecond)
	}
	enc := func(v any) []byte {
		b, err := wire.Marshal(v)
		if err != nil {
			t.Fatal(err)
		}
		return b
	}
	job := func(change map[string]any) []byte {
		m := map[string]any{"name_id": "job-000001", "jobclass": "any", "owner": "red", "shape": "service", "urgency": "normal", "pieces": 2,
			"cpus": 1.0, "cards": 0.0, "memory_gb": 2.0, "same_place": false, "spread": false, "lendable": false, "bundle": "img",
			"pull_gb": 1.0, "guess_s": 0.0, "snapshot_every_s": 0.0, "snapshot_s": 0.0, "flavours": nil, "yard": nil, "due_s": nil, "later_field": 1}
		for k, v := range change {
			if v == nil {
				delete(m, k)
			} else {
				m[k] = v
			}
		}
		return enc(m)
	}
	id := func(n int) map[string]any { return map[string]any{"name_id": fmt.Sprintf("job-%06d", n)} }
	with := func(n int, k string, v any) []byte { m := id(n); m[k] = v; return job(m) }
	for _, c := range []struct {
		what, method, path string
		body               []byte
		want               int
	}{
		{"not CBOR", "POST", "/v1/jobs", []byte{0xff, 0x00}, 400},
		{"empty", "POST", "/v1/jobs", nil, 400},
		{"not a map", "POST", "/v1/jobs", enc([]int{1}), 400},
		{"too large", "POST", "/v1/jobs", with(9, "bundle", strings.Repeat("x", 70000)), 400},
		{"field missing", "POST", "/v1/jobs", with(9, "pull_gb", nil), 400},
		{"wrong type", "POST", "/v1/jobs", with(9, "cpus", "two"), 400},
		{"negative", "POST", "/v1/jobs", with(9, "memory_gb", -1.0), 400},
		{"too many tasks", "POST", "/v1/jobs", with(9, "pieces", 100001), 400},
		{"id of another form", "POST", "/v1/jobs", job(map[string]any{"name_id": "task-1"}), 400},
		{"unknown team", "POST", "/v1/jobs", with(9, "owner", "mauve"), 422},
		{"good, unknown field ignored", "POST", "/v1/jobs", job(nil), 201},
		{"again", "POST", "/v1/jobs", job(nil), 200},
		{"known", "GET", "/v1/jobs/job-000001", nil, 200},
		{"refused jobs are not kept", "GET", "/v1/jobs/job-000009", nil, 404},
		{"unknown path", "GET", "/v2/jobs", nil, 404},
		{"wrong method", "DELETE", "/v1/jobs", nil, 405},
		{"malformed report", "POST", "/hello", enc(map[string]any{"host": 5}), 400},
		{"report of a machine in no block", "POST", "/hello", enc(wire.Report{Machine: "n-000001", Session: 1, Seq: 1}), 503},
		{"why it waits", "GET", "/admin/v1/jobs/job-000001/why", nil, 200},
		{"reach", "GET", "/admin/v1/reach", nil, 200},
		{"overview", "GET", "/admin/v1/overview", nil, 200},
		{"setting out of range", "PUT", "/admin/v1/settings", enc(map[string]any{"idle_return_s": -3.0}), 400},
		{"setting", "PUT", "/admin/v1/settings", enc(map[string]any{"idle_return_s": 30.0}), 200},
		{"setting from an older version", "PUT", "/admin/v1/settings", enc(map[string]any{"version": 0, "spot": false}), 409},
		{"cordon of an unknown machine", "PUT", "/admin/v1/machines/n-000009/cordon", enc(wire.Cordon{}), 404},
		{"abort", "POST", "/v1/jobs/job-000001/abort", nil, 200},
		{"abort again", "POST", "/v1/jobs/job-000001/abort", nil, 200},
	} {
		if got := call(c.method, c.path, c.body, nil); got != c.want {
			t.Errorf("%s: %d, want %d", c.what, got, c.want)
		}
	}
	var s wire.JobStatus
	if call("GET", "/v1/jobs/job-000001", nil, &s); s.Status != wire.JobAborted {
		t.Errorf("after the abort: %s", s.Status)
	}
	var v wire.SettingsView
	if call("GET", "/admin/v1/settings", nil, &v); v.Settings.IdleReturnS != 30 || !v.Settings.Spot {
		t.Errorf("settings: %+v", v)
	}
}
