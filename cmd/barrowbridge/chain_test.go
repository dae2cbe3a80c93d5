package main

import (
	"bytes"
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"

	"github.com/barrowbridge/barrowbridge/wire"
)

// answer is the response of the emulated controller to a path.
type answer struct {
	status int
	body   any
}

// command runs the program against an emulated controller with the given responses. It returns the output, the
// job specifications that were submitted, and the error.
func command(t *testing.T, answers map[string]answer, args ...string) (string, []wire.JobSpec, error) {
	t.Helper()
	var got []wire.JobSpec
	srv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		a, ok := answers[r.URL.Path]
		if !ok {
			a = answer{404, wire.Problem{Error: "Not Found"}}
		}
		if r.Method == http.MethodPost {
			var s wire.JobSpec
			raw, err := io.ReadAll(r.Body)
			if err = errors.Join(err, wire.Unmarshal(raw, &s)); err != nil {
				t.Error(err)
			}
			got = append(got, s)
		}
		b, err := wire.Marshal(a.body)
		if err != nil {
			t.Error(err)
		}
		w.WriteHeader(a.status)
		_, _ = w.Write(b)
	}))
	defer srv.Close()
	var out bytes.Buffer
	cmd := root()
	cmd.SetOut(&out)
	cmd.SetArgs(append(args, "--timeout", "2s", "--server", strings.TrimPrefix(srv.URL, "http://")))
	err := cmd.Execute()
	return out.String(), got, err
}

// The predecessors of a submitted job are those of its file followed by those of --awaits; a malformed one is
// rejected with a one-line error and nothing is submitted.
func TestSubmitAwaits(t *testing.T) {
	accepted := map[string]answer{"/v1/jobs": {201, wire.JobStatus{ID: "job-000009", Status: wire.JobQueued}}}
	for _, x := range []struct {
		file, flag string
		want       []string
		err        string
	}{
		{`{"name_id":"job-000009"}`, "", nil, ""},
		{`{"name_id":"job-000009","awaits":["job-1"]}`, "", []string{"job-1"}, ""},
		{`{"name_id":"job-000009"}`, "job-1,job-2", []string{"job-1", "job-2"}, ""},
		{`{"name_id":"job-000009","awaits":["job-3"]}`, "job-1", []string{"job-3", "job-1"}, ""},
		{`{"name_id":"job-000009"}`, "job-1,jib-2", nil, `awaits: must look like job-000412, got "jib-2"`},
		{`{"name_id":"job-000009","awaits":"job-1"}`, "job-2", nil, "awaits: must be a list of jobs"},
	} {
		file := filepath.Join(t.TempDir(), "job.json")
		if err := os.WriteFile(file, []byte(x.file), 0o600); err != nil {
			t.Fatal(err)
		}
		args := []string{"job", "submit", file}
		if x.flag != "" {
			args = append(args, "--awaits", x.flag)
		}
		out, got, err := command(t, accepted, args...)
		if x.err != "" {
			if err == nil || err.Error() != x.err || exitCode(err) != exitRefused || len(got) != 0 {
				t.Errorf("%s %s: %v, %d submitted", x.file, x.flag, err, len(got))
			}
			continue
		}
		if err != nil || len(got) != 1 || out != "job-000009 queued (0 done, 0 running)\n" {
			t.Fatalf("%s %s: %q, %v", x.file, x.flag, out, err)
		}
		if d := cmp.Diff(x.want, got[0].Predecessors); d != "" {
			t.Errorf("%s %s:\n%s", x.file, x.flag, d)
		}
	}
}

const at = int64(1764648000000) // an arbitrary Unix time in milliseconds

// pipeline returns a diamond of dependencies: job-2 and job-3 await job-1, and job-4, which has the deadline,
// awaits them.
func pipeline() wire.Chain {
	slack, late := 12.4, -3.0
	return wire.Chain{Job: "job-3", Node: "c0", Jobs: []wire.ChainJob{
		{ID: "job-1", Class: "clean", Team: "red", Status: wire.JobDone, Tasks: 2, Done: 2, Priority: "idle", InheritedPriority: "urgent", Critical: true},
		{ID: "job-2", Class: "join", Team: "blue", Status: wire.JobRunning, Awaits: []string{"job-1"}, Tasks: 8, Done: 3, Running: 5, Priority: "idle",
			InheritedPriority: "urgent", InheritedDueMS: at + 60000, SlackS: &slack},
		{ID: "job-3", Class: "join", Team: "blue", Status: wire.JobQueued, Awaits: []string{"job-1"}, Tasks: 9, Priority: "idle", InheritedPriority: "urgent",
			ExpectedStartMS: at + 5000, InheritedDueMS: at + 50000, SlackS: &late, Critical: true},
		{ID: "job-4", Class: "plan", Team: "red", Status: wire.JobQueued, Awaits: []string{"job-1", "job-2", "job-3"}, Tasks: 1, Priority: "urgent",
			WaitingSinceMS: at, ExpectedStartMS: at + 53000, ExpectedEndMS: at + 63000, DueMS: at + 60000, SlackS: &late, Critical: true},
	}}
}

// A job's status shows what it waits for and since when, its expected start, and the job whose cancellation
// cancelled it. Without an answer about the chain, only the status is printed.
func TestStatusOfAJobInAChain(t *testing.T) {
	k := pipeline()
	gone := wire.Chain{Job: "job-4", Jobs: []wire.ChainJob{{ID: "job-4", Status: wire.JobAborted, CancelledBy: "job-2", WaitingSinceMS: at}}}
	own := wire.Chain{Job: "job-4", Jobs: []wire.ChainJob{{ID: "job-4", Status: wire.JobAborted, CancelledBy: "job-4"}}}
	for name, x := range map[string]struct {
		status string
		chain  answer
		want   string
	}{
		"waits": {wire.JobQueued, answer{200, k}, "job-4 queued (0 done, 0 running)\n  waits for job-2, job-3 since " + clock(at) + ", expected to start at " + clock(at+53000) + "\n"},
		"cancelled with another": {wire.JobAborted, answer{200, gone},
			"job-4 aborted (0 done, 0 running)\n  cancelled with job-2, which it awaits and whose user cancelled it\n"},
		"cancelled itself": {wire.JobAborted, answer{200, own}, "job-4 aborted (0 done, 0 running)\n  cancelled by its user\n"},
		"cancelled itself, old record": {wire.JobAborted, answer{200, wire.Chain{Job: "job-4", Jobs: []wire.ChainJob{{ID: "job-4", Status: wire.JobAborted}}}},
			"job-4 aborted (0 done, 0 running)\n  cancelled by its user\n"},
		"chain unknown":     {wire.JobQueued, answer{404, wire.Problem{Error: "Not Found"}}, "job-4 queued (0 done, 0 running)\n"},
		"chain unavailable": {wire.JobQueued, answer{503, wire.Problem{Error: "not now"}}, "job-4 queued (0 done, 0 running)\n"},
		"runs":              {wire.JobRunning, answer{200, gone}, "job-4 running (0 done, 0 running)\n"},
	} {
		answers := map[string]answer{"/v1/jobs/job-4": {200, wire.JobStatus{ID: "job-4", Status: x.status}}, "/admin/v1/chain/job-4": x.chain}
		for _, verb := range []string{"status", "get"} {
			if out, _, err := command(t, answers, "job", verb, "job-4"); err != nil || out != x.want {
				t.Errorf("%s, %s: %v\n%s", name, verb, err, cmp.Diff(x.want, out))
			}
		}
	}
	out, _, err := command(t, map[string]answer{"/v1/jobs/job-4": {200, wire.JobStatus{ID: "job-4", Status: wire.JobQueued}}, "/admin/v1/chain/job-4": {200, k}},
		"job", "status", "job-4", "--json")
	want := `{"job":"job-4","status":"queued","done":0,"running":0,"awaits":["job-2","job-3"],"waiting_since_ms":1764648000000,"expected_start_ms":1764648053000}`
	var a, b any
	if err := errors.Join(err, json.Unmarshal([]byte(out), &a), json.Unmarshal([]byte(want), &b)); err != nil {
		t.Fatal(err)
	}
	if d := cmp.Diff(b, a); d != "" {
		t.Error(d)
	}
}

// The printed graph shows stages, times, slack and the critical path. An unknown job gives a one-line error and
// exit code 1.
func TestAdminChain(t *testing.T) {
	answers := map[string]answer{"/admin/v1/chain/job-3": {200, pipeline()}, "/admin/v1/chain/job-9": {404, wire.Problem{Error: "no such job"}}}
	out, _, err := command(t, answers, "admin", "chain", "job-3")
	if err != nil {
		t.Fatal(err)
	}
	want := `job-3 as c0 sees it, jobs: 4
stage      job    class  team  priority       state                 tasks  starts    due         slack  awaits
1       *  job-1  clean  red   idle (urgent)  done                  2/2    -         -           -      -
2          job-2  join   blue  idle (urgent)  running               3/8    -         (at 060)  12 s   job-1
2      >*  job-3  join   blue  idle (urgent)  queued                0/9    at 005  (at 050)  -3 s   job-1
3       *  job-4  plan   red   urgent         waits since at 000  0/1    at 053  at 060    -3 s   job-1 job-2 job-3
critical path: job-1 -> job-3 -> job-4, expected to end at at 063, due at at 060
`
	for _, s := range []string{"000", "005", "050", "053", "060", "063"} {
		n := int64(s[1]-'0')*10 + int64(s[2]-'0')
		want = strings.ReplaceAll(want, "at "+s, clock(at+n*1000))
	}
	if d := cmp.Diff(want, out); d != "" {
		t.Error(d)
	}
	over := wire.Chain{Job: "job-8", Node: "c0", Jobs: []wire.ChainJob{{ID: "job-8", Status: wire.JobAborted, CancelledBy: "job-5"}}}
	out, _, err = command(t, map[string]answer{"/admin/v1/chain/job-8": {200, over}}, "admin", "chain", "job-8")
	want = `job-8 as c0 sees it, jobs: 1
stage      job    class  team  priority  state               tasks  starts  due  slack  awaits
1      >   job-8  -      -     -         aborted with job-5  -      -       -    -      -
critical path: not known
`
	if d := cmp.Diff(want, out); d != "" || err != nil {
		t.Error(err, d)
	}
	out, _, err = command(t, answers, "admin", "chain", "job-3", "--json")
	var back wire.Chain
	if err := errors.Join(err, json.Unmarshal([]byte(out), &back)); err != nil {
		t.Fatal(err)
	}
	if d := cmp.Diff(pipeline(), back); d != "" {
		t.Error(d)
	}
	for _, x := range [][2]string{{"job-9", "job-9: no such job"}, {"jib-9", `"jib-9": must look like job-000412`}} {
		out, _, err := command(t, answers, "admin", "chain", x[0])
		if err == nil || err.Error() != x[1] || exitCode(err) != 1 || out != "" {
			t.Errorf("%s: %q, %v", x[0], out, err)
		}
	}
}

// The example jobs are valid, and each job of the example chain awaits only jobs that are submitted before it.
func TestExampleJobs(t *testing.T) {
	files, _ := filepath.Glob("../../examples/*.json")
	before := map[string]bool{}
	for _, f := range append([]string{"clean", "stitch", "plan"}, files...) {
		if !strings.HasSuffix(f, ".json") {
			f = "../../examples/chain-" + f + ".json"
		}
		raw, err := readSpec(f)
		if err != nil {
			t.Fatal(err)
		}
		b, err := wire.Marshal(raw)
		var s wire.JobSpec
		if err = errors.Join(err, wire.Unmarshal(b, &s)); err != nil {
			t.Fatalf("%s: %v", f, err)
		}
		if _, err := s.Validate(); err != nil {
			t.Errorf("%s: %v", f, err)
		}
		for _, p := range s.Predecessors {
			if !before[p] {
				t.Errorf("%s awaits %s, which is submitted later or not at all", f, p)
			}
		}
		before[*s.ID] = true
	}
}
