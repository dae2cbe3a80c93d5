package config

import (
	"os"
	"path/filepath"
	"strings"
	"testing"
)

func TestSwitches(t *testing.T) {
	dir := t.TempDir()
	for _, c := range []struct {
		text, wrong string
		want        Switches
	}{
		{"", "", Switches{}},
		{"[weights]\nhand_on = true\nlater = 3\n[unknown]\nx = 1\n", "", Switches{Weights: WeightsSwitches{HandOn: true}}},
		{"[weights]\npace = \"yes\"\n", "line 2: weights.pace: must be true or false", Switches{}},
		{"[weights\n", "line 1", Switches{}},
	} {
		path := filepath.Join(dir, "switches.toml")
		if err := os.WriteFile(path, []byte(c.text), 0o600); err != nil {
			t.Fatal(err)
		}
		got, err := LoadSwitches(path)
		switch {
		case c.wrong == "" && (err != nil || got != c.want):
			t.Errorf("%q: %+v, %v", c.text, got, err)
		case c.wrong != "" && (err == nil || !strings.Contains(err.Error(), c.wrong) || strings.Contains(err.Error(), "\n")):
			t.Errorf("%q: %v, want %q in one line", c.text, err, c.wrong)
		}
	}
	if s, err := LoadSwitches("../../deploy/weights.toml"); err != nil || !s.Weights.HandOn || !s.Weights.Pace {
		t.Errorf("deploy/weights.toml: %+v, %v", s, err)
	}
	if _, err := LoadSwitches(filepath.Join(dir, "none")); err == nil {
		t.Error("no error for a file that does not exist")
	}
}
