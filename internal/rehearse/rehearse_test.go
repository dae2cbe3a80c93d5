package rehearse

import (
	"bytes"
	"context"
	"fmt"
	"math/rand/v2"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/barrowbridge/barrowbridge/internal/node/nodetest"
	"github.com/barrowbridge/barrowbridge/internal/recovery"
)

// TestMain lets the test binary run as a controller, or as a rehearsal that a test kills.
func TestMain(m *testing.M) {
	nodetest.ServeIfAsked()
	if dir := os.Getenv("BARROWBRIDGE_TEST_REHEARSE"); dir != "" {
		p := Plan{Dir: dir, Jobs: 2, Names: []string{filepath.Join(dir, "one.toml"), filepath.Join(dir, "two.toml")}, Seeds: []uint64{1}}
		run := Run
		if _, err := os.Stat(filepath.Join(dir, logName)); err == nil {
			run = Resume
		}
		_, err := run(context.Background(), p)
		fmt.Fprintln(os.Stderr, err)
		os.Exit(0)
	}
	os.Exit(m.Run())
}

const quick = `name = "%s"
most_s = 30
[fleet]
controllers = 2
machines = 2
report_s = 0.5
lease_s = 3
cancel_s = 15
[[jobs]]
id = "job-000001"
team = "red"
tasks = 4
run_s = 1
[[faults]]
kind = "controller_kill"
target = "c1"
for_s = 1
when = "done job-000001 1"
[[expect]]
kind = "done"
job = "job-000001"
within_s = 25
`

// An error in a scenario is one line with the file, line, key and what is allowed.
func TestScenarioErrors(t *testing.T) {
	good := fmt.Sprintf(quick, "good")
	if _, err := Parse("f.toml", []byte(good)); err != nil {
		t.Fatal(err)
	}
	for _, x := range []struct{ from, to, want string }{
		{`team = "red"`, `team = "mauve"`, `f.toml:11: jobs[0].team: "mauve" is no team of the scenario`},
		{`target = "c1"`, `tarket = "c1"`, "f.toml:16: faults.tarket: no such key"},
		{`lease_s = 3`, `lease_s = 0.1`, "f.toml:7: fleet.lease_s: must be from 1.5 to 600, got 0.1"},
		{`lease_s = 3`, `lease_s = "3"`, "f.toml:7: fleet.lease_s: "},
		{`kind = "controller_kill"`, `kind = "controler_kill"`, "f.toml:15: faults[0].kind: "},
		{`for_s = 1`, `for_s = -1`, "f.toml:17: faults[0].for_s: must be from 0"},
		{`when = "done job-000001 1"`, `when = "done job-000009 1"`, "f.toml:18: faults[0].when: must be"},
		{`id = "job-000001"`, `id = "000001"`, "f.toml:10: jobs[0].id: must look like"},
		{`within_s = 25`, `within_s = 3000`, "f.toml:22: expect[0].within_s: must be from"},
		{`kind = "done"`, `kind = "finished"`, "f.toml:20: expect[0].kind: must be one of"},
		{`most_s = 30`, `most_s = nan`, "f.toml:2: most_s: must be from"},
		{`[[jobs]]`, `[[jobs`, "f.toml:9: "},
		{`run_s = 1`, `awaits = ["job-000009"]`, `f.toml:13: jobs[0].awaits: "job-000009" is no job of the scenario that is listed before`},
		{"tasks = 4\nrun_s = 1", "shape = \"service\"\n[[jobs]]\nid = \"job-000002\"\nteam = \"red\"\nawaits = [\"job-000001\"]", "f.toml:16: jobs[1].awaits: job-000001 is a service"},
	} {
		_, err := Parse("f.toml", []byte(strings.Replace(good, x.from, x.to, 1)))
		if err == nil || !strings.HasPrefix(err.Error(), x.want) || strings.Contains(err.Error(), "\n") {
			t.Errorf("%s: %v, want %s", x.to, err, x.want)
		}
	}
	if n := len(Names()); n < 14 {
		t.Errorf("%d scenarios are shipped", n)
	}
	for _, n := range Names() {
		if s, err := Load(n); err != nil || s.Name != n || s.About == "" {
			t.Errorf("%s: %v", n, err)
		}
	}
}

// A cancelled job is over, and the time until its user received the report counts from its submission.
func TestCancelledIsTold(t *testing.T) {
	r := &rehearsal{jobs: map[string]*job{"job-000001": {begun: 2 * time.Second}}}
	j := r.jobs["job-000001"]
	if got := r.measure("cancelled", j); got != -1 || (facts{r}).JobOver("job-000001") {
		t.Errorf("before the cancellation is reported: measured %v s, want -1, and the job not over", got)
	}
	j.cancelled = 9 * time.Second
	if got := r.measure("cancelled", j); got != 7 || !(facts{r}).JobOver("job-000001") {
		t.Errorf("cancellation reported after 7 s: measured %v s, want 7, and the job over", got)
	}
}

func FuzzScenario(f *testing.F) {
	f.Add([]byte(fmt.Sprintf(quick, "seed")))
	for _, n := range Names() {
		_, b, err := Source(n)
		if err != nil {
			f.Fatal(err)
		}
		f.Add(b)
	}
	f.Fuzz(func(t *testing.T, b []byte) {
		s, err := Parse("f", b)
		if err != nil {
			if strings.Count(err.Error(), "\n") > 0 {
				t.Fatalf("more than one line: %q", err)
			}
			return
		}
		NewDirector(s).Step(time.Second, fakeFacts{}) // the director accepts every valid scenario
	})
}

type fakeFacts map[string]bool

func (f fakeFacts) AllRunning(j string) bool             { return f["running "+j] }
func (f fakeFacts) DoneTasks(j string) int               { return map[bool]int{true: 100}[f["done "+j]] }
func (f fakeFacts) StepDone(n int, s string) bool        { return f[fmt.Sprint("step ", n, " ", s)] }
func (f fakeFacts) Lifted(n int) bool                    { return f[fmt.Sprint("lifted ", n)] }
func (f fakeFacts) Understood(feature string) bool       { return f["understood "+feature] }
func (f fakeFacts) JobOver(j string) bool                { return f["over "+j] }
func (f fakeFacts) Judged(time.Duration) (all, met bool) { return f["judged"], true }

// Jobs and faults are due once each, at their time or after their condition. The scenario ends
// when everything has been well for a while, or at its time limit.
func TestDirector(t *testing.T) {
	s, err := Parse("f", []byte(strings.Replace(fmt.Sprintf(quick, "d"), `when = "done`, "after_s = 0.5\nwhen = \"done", 1)))
	if err != nil {
		t.Fatal(err)
	}
	d, f := NewDirector(s), fakeFacts{}
	var log []string
	for now := time.Duration(0); now < 40*time.Second; now += 100 * time.Millisecond {
		switch now {
		case 5 * time.Second:
			f["done job-000001"] = true
		case 7 * time.Second:
			f["over job-000001"], f["judged"] = true, true
		case 9 * time.Second:
			f["lifted 1"] = true
		}
		actions, over := d.Step(now, f)
		for _, a := range actions {
			log = append(log, fmt.Sprint(now, " ", a.Submit, a.Stage))
		}
		if over {
			log = append(log, fmt.Sprint(now, " over"))
			break
		}
	}
	if got, want := strings.Join(log, ", "), "0s job-0000010, 5.5s 1, 10.5s over"; got != want {
		t.Errorf("%s, want %s", got, want)
	}
	d = NewDirector(s)
	if _, over := d.Step(30*time.Second, fakeFacts{}); !over {
		t.Error("the scenario continues after its time limit")
	}
}

// A record truncated at any byte opens with all its complete entries. A corrupt byte in the
// middle is an error, and the file is left unchanged.
func TestRecordSurvivesATornLine(t *testing.T) {
	dir := t.TempDir()
	l, _, err := OpenLog(dir)
	if err != nil {
		t.Fatal(err)
	}
	for i := range 4 {
		if err := l.Add(Entry{What: "begin", Scenario: fmt.Sprint("s", i)}); err != nil {
			t.Fatal(err)
		}
	}
	l.Close()
	path := filepath.Join(dir, logName)
	whole, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	for cut := range len(whole) {
		if err := os.WriteFile(path, whole[:cut], 0o644); err != nil {
			t.Fatal(err)
		}
		l, got, err := OpenLog(dir)
		if err != nil {
			t.Fatalf("cut at %d: %v", cut, err)
		}
		if want := bytes.Count(whole[:cut], []byte("\n")); len(got) != want {
			t.Fatalf("cut at %d: %d entries, want %d", cut, len(got), want)
		}
		if err := l.Add(Entry{What: "resume"}); err != nil {
			t.Fatal(err)
		}
		l.Close()
		if l, got, err = OpenLog(dir); err != nil || got[len(got)-1].What != "resume" {
			t.Fatalf("record cut at %d, then appended to: %v", cut, err)
		}
		l.Close()
	}
	for _, at := range []int{3, 40, len(whole) / 2} {
		bad := bytes.Clone(whole)
		bad[at] ^= 1
		if err := os.WriteFile(path, bad, 0o644); err != nil {
			t.Fatal(err)
		}
		if _, _, err := OpenLog(dir); err == nil {
			t.Errorf("a corrupt byte at %d is not detected", at)
		}
		if now, _ := os.ReadFile(path); !bytes.Equal(now, bad) {
			t.Errorf("the record with a corrupt byte at %d was changed", at)
		}
	}
}

// A leftover process is killed only if its whole identity matches: not a process that reuses
// its PID, nor one with other settings.
func TestOnlyOwnProcessesAreEnded(t *testing.T) {
	settings := filepath.Join(t.TempDir(), "none.toml")
	cmd := exec.Command("sleep", "60")
	cmd.Args = []string{"sleep", "60", settings}[:2]
	if err := cmd.Start(); err != nil {
		t.Skipf("no sleep here: %v", err)
	}
	defer func() { _ = cmd.Process.Kill(); _ = cmd.Wait() }()
	p, err := Identify(cmd.Process.Pid, "60")
	if err != nil {
		t.Fatal(err)
	}
	for what, other := range map[string]Process{
		"another start":    {p.PID, p.Started + 1, p.Boot, p.Settings},
		"another machine":  {p.PID, p.Started, "other", p.Settings},
		"another settings": {p.PID, p.Started, p.Boot, settings},
	} {
		if killed, err := other.End(); killed || err != nil {
			t.Errorf("%s: ended %v, %v", what, killed, err)
		}
	}
	if killed, err := p.End(); !killed || err != nil {
		t.Errorf("the identified process: ended %v, %v", killed, err)
	}
}

// A rehearsal is killed at random times, also during its cleanup, and resumed. In the end every
// scenario has run to its end, and no process of the rehearsal is left.
func TestKilledRehearsalsAreResumed(t *testing.T) {
	dir := t.TempDir()
	for _, n := range []string{"one", "two"} {
		if err := os.WriteFile(filepath.Join(dir, n+".toml"), []byte(fmt.Sprintf(quick, n)), 0o644); err != nil {
			t.Fatal(err)
		}
	}
	seed := rand.Uint64()
	t.Logf("seed %d", seed)
	rng := rand.New(rand.NewPCG(seed, 0))
	for range 3 {
		cmd := exec.Command(os.Args[0])
		cmd.Env = append(os.Environ(), "BARROWBRIDGE_TEST_REHEARSE="+dir)
		if err := cmd.Start(); err != nil {
			t.Fatal(err)
		}
		time.Sleep(time.Duration(200+rng.IntN(5000)) * time.Millisecond)
		_ = cmd.Process.Kill()
		_ = cmd.Wait()
	}
	if _, err := os.Stat(filepath.Join(dir, logName)); err != nil {
		t.Skip("killed before it had begun, three times")
	}
	ctx, cancel := context.WithTimeout(context.Background(), 90*time.Second)
	defer cancel()
	results, err := Resume(ctx, Plan{Dir: dir, Jobs: 2})
	if err != nil {
		t.Fatal(err)
	}
	for _, r := range results {
		if r.Result != Passed {
			t.Errorf("%s", r.Table())
		}
	}
	if len(results) != 2 {
		t.Errorf("%d results, want 2", len(results))
	}
	_, entries, err := OpenLog(dir)
	if err != nil {
		t.Fatal(err)
	}
	for _, p := range Leftovers(entries) {
		if p.same() {
			t.Errorf("process %d is still running", p.PID)
		}
	}
	if _, err := Run(ctx, Plan{Dir: dir, Names: []string{filepath.Join(dir, "one.toml")}, Seeds: []uint64{1}}); err == nil {
		t.Error("a folder that contains a rehearsal was accepted for another")
	}
	if _, err := os.Stat(filepath.Join(dir, "index.html")); err != nil {
		t.Error(err)
	}
}

// Differences are taken seed by seed if both sides have the same seeds, and are marked as sure
// only if the confidence interval excludes 0.
func TestCompare(t *testing.T) {
	write := func(dir string, seeds []uint64, at func(i int) int64) string {
		if err := os.MkdirAll(dir, 0o755); err != nil {
			t.Fatal(err)
		}
		for i, s := range seeds {
			r := Result{Scenario: "x", Seed: s, Result: Passed, Faults: []FaultResult{{Kind: "k", Steps: []recovery.Step{{Step: recovery.Running, AfterMS: at(i)}}}}}
			if err := writeResult(dir, fmt.Sprint("x-", s), &r); err != nil {
				t.Fatal(err)
			}
		}
		return dir
	}
	base := t.TempDir()
	seeds := []uint64{1, 2, 3, 4, 5}
	a := write(filepath.Join(base, "a"), seeds, func(i int) int64 { return int64(1000 + 3000*i) })
	b := write(filepath.Join(base, "b"), seeds, func(i int) int64 { return int64(1500 + 3000*i + 10*i%3) })
	c := write(filepath.Join(base, "c"), []uint64{7, 8, 9}, func(i int) int64 { return int64(1500 + 3000*i) })
	find := func(x, y string) Row {
		rows, err := Compare(x, y)
		if err != nil {
			t.Fatal(err)
		}
		for _, r := range rows {
			if strings.Contains(r.Figure, "running") {
				return r
			}
		}
		t.Fatal("no row for the step")
		return Row{}
	}
	if r := find(a, b); !r.Paired || !r.Sure || r.Diff < 0.49 || r.Diff > 0.52 || r.Low < 0.4 || r.High > 0.6 {
		t.Errorf("difference of half a second with every seed: %+v", r)
	}
	if r := find(a, c); r.Paired || r.Sure {
		t.Errorf("different seeds with a large variance: %+v", r)
	}
	if _, err := Compare(a, base); err == nil {
		t.Error("a folder without results was accepted")
	}
}
