package node

import (
	"runtime/debug"
	"strings"
)

// Release is the version of this source.
const Release = "0.1.0-dev"

// Version returns the release and, if the build recorded it, the commit that the program was built
// from, with "changed" if the source differed from that commit.
func Version() string {
	info, ok := debug.ReadBuildInfo()
	if !ok {
		return Release
	}
	return versionOf(info.Settings)
}

// shownCommit is the number of digits of the commit that are shown.
const shownCommit = 12

func versionOf(settings []debug.BuildSetting) string {
	v := []string{Release}
	for _, s := range settings {
		switch {
		case s.Key == "vcs.revision":
			v = append(v, s.Value[:min(len(s.Value), shownCommit)])
		case s.Key == "vcs.modified" && s.Value == "true":
			v = append(v, "changed")
		}
	}
	return strings.Join(v, " ")
}
