package wire

import (
	"encoding/json"
	"errors"
	"fmt"

	"github.com/fxamacker/cbor/v2"
)

// jsonGrowth is an upper bound of the size of a record in JSON form divided by its size in CBOR form.
// Lists of small numbers grow most, to twice their size.
const jsonGrowth = 4

// genericDecodeMode decodes any value and rejects duplicate keys of maps.
var genericDecodeMode = func() cbor.DecMode {
	m, err := cbor.DecOptions{MaxNestedLevels: 16, MaxArrayElements: 131072, MaxMapPairs: 131072, DupMapKey: cbor.DupMapKeyEnforcedAPF}.DecMode()
	if err != nil {
		panic(err)
	}
	return m
}()

// JSONSize returns the size in bytes of an encoded value in JSON form, to which the protocol's limits
// apply. It returns an error for values that the protocol does not allow: maps with keys that are not
// text, and binary data.
func JSONSize(raw Raw) (int, error) {
	var v any
	if err := genericDecodeMode.Unmarshal(raw, &v); err != nil {
		return 0, err
	}
	plain, err := textKeys(v)
	if err != nil {
		return 0, err
	}
	b, err := json.Marshal(plain)
	return len(b), err
}

// FitsIn reports whether an encoded value has at most limit bytes in JSON form.
func FitsIn(raw Raw, limit int) bool {
	if len(raw)*jsonGrowth <= limit {
		return true // most values are far smaller and need no exact size
	}
	n, err := JSONSize(raw)
	return err == nil && n <= limit
}

// textKeys converts the maps in a decoded value to maps with text keys.
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

// RecordRefused returns the error body for a request whose record the state service refuses to store.
func RecordRefused(why string) Problem {
	return Problem{Error: "the state service does not take this record: " + why}
}
