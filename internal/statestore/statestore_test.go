package statestore

import (
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/barrowbridge/barrowbridge/internal/core"
	"github.com/barrowbridge/barrowbridge/wire"
)

// scripted is a server that gives the scripted answers in order. After the last one, and for a nil
// answer, requests get no answer.
type scripted struct {
	mu      sync.Mutex
	answers []func(w http.ResponseWriter, body []byte)
	seen    []string
	stop    chan struct{}
}

func (s *scripted) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	body, _ := io.ReadAll(r.Body)
	s.mu.Lock()
	s.seen = append(s.seen, r.Method+" "+r.URL.RequestURI())
	var f func(http.ResponseWriter, []byte)
	if len(s.answers) > 0 {
		f, s.answers = s.answers[0], s.answers[1:]
	}
	s.mu.Unlock()
	if f == nil {
		<-s.stop
		return
	}
	f(w, body)
}

func say(status int, v any) func(http.ResponseWriter, []byte) {
	return func(w http.ResponseWriter, _ []byte) {
		w.WriteHeader(status)
		b, _ := wire.Marshal(v)
		_, _ = w.Write(b)
	}
}

func client(t *testing.T, answers ...func(http.ResponseWriter, []byte)) (*Client, *scripted) {
	s := &scripted{answers: answers, stop: make(chan struct{})}
	srv := httptest.NewServer(s)
	t.Cleanup(func() { close(s.stop); srv.Close() })
	return New(strings.TrimPrefix(srv.URL, "http://"), 1000, 1000), s
}

func put(lane int) core.StateCall {
	return core.StateCall{Op: core.OpCommit, Lane: lane, Txn: wire.Txn{
		If:   []wire.Condition{{Key: "live/job/a", Version: 4}},
		Then: []wire.Change{{Put: "live/job/a", Value: wire.Final{Status: wire.JobDone}}}}}
}

func TestAnswers(t *testing.T) {
	tooMany := say(429, map[string]any{"error": "too many writes"})
	for _, c := range []struct {
		name    string
		call    core.StateCall
		answers []func(http.ResponseWriter, []byte)
		status  int
		sent    int
		check   func(core.StateReply) bool
	}{
		{"a conflict names the keys", put(core.LaneUser), []func(http.ResponseWriter, []byte){say(409, map[string]any{"failed": []string{"live/job/a"}, "epoch": 9})}, 409, 1,
			func(r core.StateReply) bool {
				return len(r.Txn.Failed) == 1 && r.Txn.Failed[0] == "live/job/a" && r.Txn.Revision == 9
			}},
		{"a user's write over the limit is repeated", put(core.LaneUser), []func(http.ResponseWriter, []byte){tooMany, tooMany, say(200, map[string]any{"epoch": 10})}, 200, 3,
			func(r core.StateReply) bool { return r.Txn.Revision == 10 }},
		{"a user's write is repeated a limited number of times", put(core.LaneUser), []func(http.ResponseWriter, []byte){tooMany, tooMany, tooMany, tooMany, tooMany}, 429, 4, nil},
		{"progress over the limit is not repeated", put(core.LaneDeferred), []func(http.ResponseWriter, []byte){tooMany, tooMany}, 429, 1, nil},
		{"an outage is reported at once", put(core.LaneUser), []func(http.ResponseWriter, []byte){say(503, map[string]any{"error": "trouble"})}, 503, 1,
			func(r core.StateReply) bool { return r.Err == "trouble" }},
		{"a missing key carries the revision", core.StateCall{Op: core.OpGet, Key: "final/job-1"}, []func(http.ResponseWriter, []byte){say(404, map[string]any{"epoch": 431})}, 404, 1,
			func(r core.StateReply) bool { return r.List.Revision == 431 }},
		{"a page reports that there are more", core.StateCall{Op: core.OpList, Key: "live/", After: "live/x"},
			[]func(http.ResponseWriter, []byte){say(200, map[string]any{"items": []any{map[string]any{"path": "live/y", "v": 1, "stamp": 3}}, "more": true, "epoch": 5})}, 200, 1,
			func(r core.StateReply) bool {
				return r.List.More && len(r.List.Items) == 1 && r.List.Items[0].Version == 3
			}},
		{"a watch that is too old", core.StateCall{Op: core.OpWatch, Key: "live/", Revision: 1}, []func(http.ResponseWriter, []byte){say(410, map[string]any{"error": "gone"})}, 410, 1, nil},
		{"an answer that is not CBOR counts as no answer", core.StateCall{Op: core.OpGet, Key: "live/x"},
			[]func(http.ResponseWriter, []byte){func(w http.ResponseWriter, _ []byte) { _, _ = w.Write([]byte("<html>")) }}, 0, 1, nil},
		{"no answer", put(core.LaneUser), nil, 0, 1, nil},
	} {
		t.Run(c.name, func(t *testing.T) {
			cl, s := client(t, c.answers...)
			got := cl.Do(context.Background(), c.call)
			s.mu.Lock()
			defer s.mu.Unlock()
			if got.Status != c.status || len(s.seen) != c.sent || c.check != nil && !c.check(got) {
				t.Errorf("status %d after %d requests (want %d after %d): %+v", got.Status, len(s.seen), c.status, c.sent, got)
			}
		})
	}
}

// Progress gets a small share of the changes, and writes that users wait for do not queue behind it.
// Writes on which the authority to act depends do not wait at all.
func TestLanes(t *testing.T) {
	ok := make([]func(http.ResponseWriter, []byte), 40)
	for i := range ok {
		ok[i] = say(200, map[string]any{"epoch": i + 1})
	}
	cl, _ := client(t, ok...)
	slow := New(strings.TrimPrefix(cl.base, "http://"), 1000, 2) // two changes a second
	if r := slow.Do(context.Background(), put(core.LaneDeferred)); r.Status != 200 {
		t.Fatalf("the first change: %+v", r)
	}
	began := time.Now()
	if r := slow.Do(context.Background(), put(core.LaneDeferred)); r.Status != 429 || r.Err != errOwnLimit.Error() {
		t.Errorf("progress over its share: %+v", r)
	}
	if d := time.Since(began); d > 500*time.Millisecond {
		t.Errorf("refused only after %v", d)
	}
	for range 5 {
		if r := slow.Do(context.Background(), put(core.LaneAuthority)); r.Status != 200 {
			t.Errorf("a write of LaneAuthority: %+v", r)
		}
	}
	if r := slow.Do(context.Background(), put(core.LaneUser)); r.Status != 200 {
		t.Errorf("a user's write: %+v", r)
	}
}

// Deferred writes get a share of the rate that the service currently allows: of a limit that has
// fallen without notice they would otherwise use everything.
func TestDeferredWritesFollowTheLearnedRate(t *testing.T) {
	refuse := say(http.StatusTooManyRequests, wire.Problem{Error: "too many writes"})
	c, _ := client(t, refuse, refuse, refuse, refuse)
	before := c.deferred.Limit()
	for range 4 {
		c.writes.share.Refused(-time.Hour) // as if each refusal came long after the previous one
		if r := c.Do(context.Background(), put(core.LaneDeferred)); r.Status != http.StatusTooManyRequests {
			t.Fatalf("status %d", r.Status)
		}
	}
	if got := c.deferred.Limit(); float64(got) > float64(before)*0.5 {
		t.Errorf("%v changes per second after four refusals, %v before", got, before)
	}
}
