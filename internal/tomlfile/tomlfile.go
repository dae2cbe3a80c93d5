// Package tomlfile decodes operators' TOML files. It rejects unknown keys and describes an error in
// one line.
package tomlfile

import (
	"bytes"
	"errors"
	"fmt"
	"strings"

	"github.com/pelletier/go-toml/v2"
)

// Decode decodes the content of a file into v. An error names the file, the line and the key.
func Decode(file string, b []byte, v any) error {
	err := toml.NewDecoder(bytes.NewReader(b)).DisallowUnknownFields().Decode(v)
	var strict *toml.StrictMissingError
	var bad *toml.DecodeError
	switch {
	case err == nil:
		return nil
	case errors.As(err, &strict) && len(strict.Errors) > 0:
		row, _ := strict.Errors[0].Position()
		return fmt.Errorf("%s:%d: %s: no such key", file, row, strings.Join(strict.Errors[0].Key(), "."))
	case errors.As(err, &bad):
		row, _ := bad.Position()
		return fmt.Errorf("%s:%d: %s: %s", file, row, strings.Join(bad.Key(), "."), strings.TrimPrefix(bad.Error(), "toml: "))
	}
	return fmt.Errorf("%s: %w", file, err)
}
