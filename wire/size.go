package wire

import (
	"encoding/json"
	"errors"
	"fmt"

	"github.com/fxamacker/cbor/v2"
)

// jsonGrowth bounds how many times as long as its CBOR form a record's JSON form
// is: lists of small numbers grow most, to twice.
const jsonGrowth = 4

var generic = func() cbor.DecMode {
	m, err := cbor.DecOptions{MaxNestedLevels: 16, MaxArrayElements: 131072, MaxMapPairs: 131072, DupMapKey: cbor.DupMapKeyEnforcedAPF}.DecMode()
	if err != nil {
		panic(err)
	}
	return m
}()

// JSONSize is an encoded value's size in bytes in JSON form, in which the protocol
// counts its limits. It fails on what the protocol does not allow: maps keyed by
// anything but text, and binary data.
func JSONSize(raw Raw) (int, error) {
	var v any
	if err := generic.Unmarshal(raw, &v); err != nil {
		return 0, err
	}
	plain, err := textKeys(v)
	if err != nil {
		return 0, err
	}
	b, err := json.Marshal(plain)
	return len(b), err
}

// FitsIn tells whether an encoded value has at most so many bytes in JSON form.
func FitsIn(raw Raw, limit int) bool {
	if len(raw)*jsonGrowth <= limit {
		return true // most are far from it, and need not be counted
	}
	n, err := JSONSize(raw)
	return err == nil && n <= limit
}

func textKeys(v any) (any, error) {
	switch x := v.(type) {
	case map[any]any:
		out := make(map[string]any, len(x))
		for k, e := range x {
			key, ok := k.(string)
			if !ok {
				return nil, errors.New("a map must be keyed by text")
			}
			p, err := textKeys(e)
			if err != nil {
				return nil, err
			}
			out[key] = p
		}
		return out, nil
	case []any:
		for i := range x {
			p, err := textKeys(x[i])
			if err != nil {
				return nil, err
			}
			x[i] = p
		}
		return x, nil
	case nil, bool, string, int64, uint64, float32, float64:
		return x, nil
	}
	return nil, fmt.Errorf("%T is not allowed", v)
}

// NotTaken tells who asked for a record to be written that the state service does not take it.
func RecordRefused(why string) Problem {
	return Problem{Error: "the state service does not take this record: " + why}
}
