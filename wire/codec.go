// Package wire holds every message that barrowbridge exchanges with users,
// workers, the cloud and the state service. The unusual field names of the
// platform end here: Go field names use the field's standard terms.
package wire

import (
	"bytes"
	"errors"

	"github.com/fxamacker/cbor/v2"
)

// MaxBody is the largest request or response body, in bytes.
const MaxBody = 64 << 10

var (
	enc cbor.EncMode
	dec cbor.DecMode
)

func init() {
	var err error
	// The same message is the same bytes, whoever writes it.
	if enc, err = (cbor.EncOptions{Sort: cbor.SortBytewiseLexical}).EncMode(); err != nil {
		panic(err)
	}
	// Bounds keep a hostile body from costing more than its own size.
	dec, err = cbor.DecOptions{MaxNestedLevels: 16, MaxArrayElements: 131072, MaxMapPairs: 131072}.DecMode()
	if err != nil {
		panic(err)
	}
}

// Marshal encodes a message as CBOR.
func Marshal(v any) ([]byte, error) { return enc.Marshal(v) }

// Unmarshal decodes one CBOR message. Unknown fields are ignored.
func Unmarshal(b []byte, v any) error {
	if len(b) == 0 {
		return errors.New("empty body")
	}
	return dec.Unmarshal(b, v)
}

// Same tells whether two messages are encoded alike.
func EqualEncoding(a, b any) bool {
	x, errX := Marshal(a)
	y, errY := Marshal(b)
	return errX == nil && errY == nil && bytes.Equal(x, y)
}

// IsMap tells whether an encoded message is a map (CBOR major type 5).
func IsMap(b []byte) bool { return len(b) > 0 && b[0]>>5 == 5 }

// Raw is an encoded value kept as it came.
type Raw = cbor.RawMessage
