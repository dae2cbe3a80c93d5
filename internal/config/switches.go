package config

import (
	"errors"
	"fmt"
	"os"

	"github.com/pelletier/go-toml/v2"
)

// Switches enable features that are off by default. They are set by the operators and not by the
// platform, and therefore in a separate file. Switches that the file does not name are off, and
// unknown keys are ignored.
type Switches struct {
	Weights WeightsSwitches `toml:"weights"`
}

// WeightsSwitches control the distribution of images that many machines need at the same time.
type WeightsSwitches struct {
	HandOn bool `toml:"hand_on"` // machines are told which other machines have an image, and fetch it from these
	Pace   bool `toml:"pace"`    // fetches are delayed where measurements show that more of them at a time are no faster
}

// LoadSwitches reads a file of switches. An error names the file, the line and the key.
func LoadSwitches(path string) (s Switches, err error) {
	b, err := os.ReadFile(path)
	if err != nil {
		return s, err
	}
	if err := toml.Unmarshal(b, &s); err != nil {
		var de *toml.DecodeError
		if errors.As(err, &de) {
			row, _ := de.Position()
			return s, fmt.Errorf("%s: line %d: %s: must be true or false", path, row, joinKey(de.Key()))
		}
		return s, fmt.Errorf("%s: %w", path, err)
	}
	return s, nil
}
