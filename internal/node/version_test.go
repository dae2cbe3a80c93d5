package node

import (
	"runtime/debug"
	"testing"
)

func TestVersionNamesTheCommit(t *testing.T) {
	for _, c := range []struct {
		settings []debug.BuildSetting
		want     string
	}{
		{nil, Release},
		{[]debug.BuildSetting{{Key: "vcs.revision", Value: "d54588da4e9f3c06023687d0f64f0ddcc22b5e3c"}, {Key: "vcs.modified", Value: "false"}}, Release + " d54588da4e9f"},
		{[]debug.BuildSetting{{Key: "vcs.revision", Value: "d545"}, {Key: "vcs.modified", Value: "true"}}, Release + " d545 changed"},
	} {
		if got := versionOf(c.settings); got != c.want {
			t.Errorf("%v: %q, want %q", c.settings, got, c.want)
		}
	}
}
