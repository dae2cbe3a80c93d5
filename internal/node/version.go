package node

import (
	"runtime/debug"
	"strings"
)

// Release is the version of this source.
const Release = "0.1.0-dev"

// Version is the release, and the commit that the program was built from, if its build knew it.
func Version() string {
	info, ok := debug.ReadBuildInfo()
	if !ok {
		return Release
	}
	return versionOf(info.Settings)
}

// shownCommit is as much of a commit's name as people read.
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
