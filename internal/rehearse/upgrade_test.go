package rehearse

import (
	"context"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"testing"
)

// The shipped upgrade scenarios, their baselines of one version and each variant with a cut link are
// valid, and a generated text parses to the scenario that it was generated from.
func TestUpgradeScenarios(t *testing.T) {
	if len(UpgradeNames()) == 0 {
		t.Fatal("no upgrade scenario is shipped")
	}
	for _, n := range UpgradeNames() {
		s, err := Load(n)
		if err != nil {
			t.Fatal(err)
		}
		if s.From != FromProduction {
			t.Errorf("%s begins with %q", n, s.From)
		}
		name, source, err := Alike(n)
		if err != nil {
			t.Fatal(err)
		}
		a, err := Parse(name, []byte(source))
		if err != nil {
			t.Fatal(err)
		}
		if a.From != FromThis || len(a.Faults) != len(s.Faults) || len(a.Jobs) != len(s.Jobs) || len(a.Expect) != len(s.Expect) {
			t.Errorf("%s: %+v", name, a)
		}
	}
	seen := map[string]bool{}
	for _, m := range Masks() {
		name, source, err := Masked(m)
		if err != nil {
			t.Fatal(err)
		}
		if _, err := Parse(name, []byte(source)); err != nil || seen[name] {
			t.Errorf("%s: duplicate mask, or error %v", name, err)
		}
		seen[name] = true
	}
	for seed := range uint64(50) {
		name, source, err := Random(seed)
		if err != nil {
			t.Fatal(err)
		}
		if _, again, _ := Random(seed); again != source {
			t.Errorf("%s: two calls with the same seed differ", name)
		}
		if s, err := Parse(name, []byte(source)); err != nil || len(s.Faults) != 11 {
			t.Errorf("%s: %v", name, err)
		}
	}
	if len(seen) != 18 { // six links, each cut in both directions and in either one
		t.Errorf("%d masks", len(seen))
	}
}

// A handover is classified by the versions that ran at its time, also for shards and leadership
// held since before the scenario began.
func TestHandedBetweenVersions(t *testing.T) {
	r := &rehearsal{sc: &Scenario{From: FromProduction}, incarnations: []incarnation{{"c0", 0, true}, {"c1", 0, true}, {"c0", 10, false}, {"c1", 30, false}}}
	r.line.Leaders = []Span{{Who: "c1", What: "leads", FromS: -3}, {Who: "c0", What: "leads", FromS: 12}, {Who: "c1", What: "leads", FromS: 20}, {Who: "c1", What: "leads", FromS: 32}}
	r.line.Shards = []Span{{Who: "c0", What: "shard 0", FromS: -3}, {Who: "c0", What: "shard 0", FromS: 11}}
	if got := r.handed(); got[ToNewer] != 3 || got[ToEarlier] != 1 {
		t.Errorf("%v", got)
	}
}

func git(t *testing.T, dir string, args ...string) string {
	t.Helper()
	cmd := exec.Command("git", args...)
	cmd.Dir = dir
	cmd.Env = append(os.Environ(), "GIT_AUTHOR_NAME=a", "GIT_AUTHOR_EMAIL=a@example.org", "GIT_COMMITTER_NAME=a", "GIT_COMMITTER_EMAIL=a@example.org")
	out, err := cmd.CombinedOutput()
	if err != nil {
		t.Fatalf("git %v: %v: %s", args, err, out)
	}
	return strings.TrimSpace(string(out))
}

// A commit is built from its own source. A shallow clone and an unknown commit give an error of one line.
func TestBuildCommit(t *testing.T) {
	repo, ctx := t.TempDir(), context.Background()
	write := func(file, text string) {
		t.Helper()
		path := filepath.Join(repo, file)
		if err := os.MkdirAll(filepath.Dir(path), 0o755); err != nil {
			t.Fatal(err)
		}
		if err := os.WriteFile(path, []byte(text), 0o644); err != nil {
			t.Fatal(err)
		}
	}
	git(t, repo, "init", "--quiet")
	write("go.mod", "module example.org/old\n\ngo 1.24\n")
	write("cmd/barrowbridge/main.go", "package main\n\nfunc main() { println(\"old\") }\n")
	git(t, repo, "add", "-A")
	git(t, repo, "commit", "--quiet", "-m", "old")
	commit := git(t, repo, "rev-parse", "HEAD")
	write("cmd/barrowbridge/main.go", "package main\n\nfunc main() { println(\"new\") }\n")
	write("deploy/service.toml", "build = \"b\"\nrun = \"r\"\nproduction = \""+commit+"\"\n")
	git(t, repo, "add", "-A")
	git(t, repo, "commit", "--quiet", "-m", "new")

	root, named, err := Production(filepath.Join(repo, "cmd"))
	if err != nil || root != repo || named != commit {
		t.Fatalf("%q %q %v", root, named, err)
	}
	program, err := BuildCommit(ctx, root, named, t.TempDir())
	if err != nil {
		t.Fatal(err)
	}
	if out, err := exec.Command(program).CombinedOutput(); err != nil || string(out) != "old\n" {
		t.Errorf("%s %v", out, err)
	}
	shallow := filepath.Join(t.TempDir(), "shallow")
	git(t, repo, "clone", "--quiet", "--depth", "1", "file://"+repo, shallow)
	for _, c := range []struct{ dir, commit, want string }{
		{shallow, commit, "fetch --unshallow"},
		{repo, strings.Repeat("12", 20), "is not in the history"},
	} {
		_, err := BuildCommit(ctx, c.dir, c.commit, t.TempDir())
		if err == nil || !strings.Contains(err.Error(), c.want) || strings.Contains(err.Error(), "\n") {
			t.Errorf("%v, want one line with %q", err, c.want)
		}
	}
	if _, _, err := Production(t.TempDir()); err == nil || strings.Contains(err.Error(), "\n") {
		t.Errorf("folder outside a checkout: %v", err)
	}
}
