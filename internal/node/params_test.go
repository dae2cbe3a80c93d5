package node

import (
	"testing"

	"github.com/barrowbridge/barrowbridge/internal/config"
)

// The objectives for start and completion in the settings are passed to the core.
func TestObjectivesReachTheCore(t *testing.T) {
	cfg := &config.Config{}
	cfg.Params.Objectives = []config.Objective{{Kind: "finished", Class: "scan", WithinS: 300}, {Kind: "wait", Class: "stitch", WithinS: 40}, {Kind: "deadline", Class: "plan"}}
	a := Params(cfg).Objectives
	if len(a.CompleteWithinS) != 1 || a.CompleteWithinS["scan"] != 300 || len(a.StartWithinS) != 1 || a.StartWithinS["stitch"] != 40 {
		t.Errorf("%+v", a)
	}
}
