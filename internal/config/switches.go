package config

import (
	"errors"
	"fmt"
	"os"

	"github.com/pelletier/go-toml/v2"
)

// Switches turn on what is off by default. They are the operators' own, not the platform's, so they stand in a file of
// their own; what it does not name is off, and what is not known is ignored.
type Switches struct {
	Weights WeightsSwitches `toml:"weights"`
}

// WeightsSwitches are for images that many machines want at once.
type WeightsSwitches struct {
	HandOn bool `toml:"hand_on"` // machines are told of others that have an image
	Pace   bool `toml:"pace"`    // fetches are held back where measurement shows that more at once bring no more
}

// LoadSwitches reads a file of switches.
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
