// Package knownred tests .ci/known-red, the script that reads KNOWN-RED.txt.
package knownred

import (
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"testing"
)

const list = `TestOne
TestTwin
ok  	example/a	0.1s
TestTwo
TestThree
TestFour
TestTwin
ok  	example/b	0.1s
?   	example/c	[no test files]
`

// TestKnownRed checks that the script prints the listed tests with their packages and
// refuses any invalid file with a one-line error.
func TestKnownRed(t *testing.T) {
	for _, c := range []struct{ name, file, want, refused string }{
		{"one", "TestOne | a read is late | 33\n", "example/a TestOne\n", ""},
		{"three, the last without an end", "TestOne|a|1\n TestTwo | b, c | 2\nTestThree | d | 3", "example/a TestOne\nexample/b TestTwo\nexample/b TestThree\n", ""},
		{"four", strings.Repeat("TestOne | a | 1\n", 4), "", "more than three"},
		{"no cause", "TestOne | | 33\n", "", "line 1"},
		{"no issue", "TestOne | a\n", "", "line 1"},
		{"an empty line", "TestOne | a | 1\n\n", "", "line 2"},
		{"no such test", "TestOne | a | 1\nTestNone | a | 1\n", "", "line 2: no test is called TestNone"},
		{"a pattern", "Test.* | a | 1\n", "", "no name of a test"},
		{"part of a name", "TestT | a | 1\n", "", "no test is called TestT"},
		{"a package's name", "example/a | a | 1\n", "", "no name of a test"},
		{"in two packages", "TestTwin | a | 1\n", "", "several packages"},
		{"a quote", "Test'One | a | 1\n", "", "no name of a test"},
		{"nothing", "", "", "take the file away"},
	} {
		dir := t.TempDir()
		file, tests := filepath.Join(dir, "KNOWN-RED.txt"), filepath.Join(dir, "list")
		for path, text := range map[string]string{file: c.file, tests: list} {
			if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
				t.Fatal(err)
			}
		}
		var out, errs strings.Builder
		cmd := exec.Command("bash", filepath.Join("..", "..", "..", ".ci", "known-red"), file, tests)
		cmd.Stdout, cmd.Stderr = &out, &errs
		err := cmd.Run()
		switch {
		case c.refused == "" && (err != nil || out.String() != c.want):
			t.Errorf("%s: %v %q %q", c.name, err, out.String(), errs.String())
		case c.refused != "" && (err == nil || !strings.Contains(errs.String(), c.refused) || strings.Count(errs.String(), "\n") != 1):
			t.Errorf("%s: want one line with %q, got %v %q", c.name, c.refused, err, errs.String())
		}
	}
}
