// Package wire declares the messages that barrowbridge exchanges with users, workers, the cloud and
// the state service, and the records that it stores. The platform's own field names appear only in
// the tags: the Go names use standard terms.
package wire

import (
	"bytes"
	"errors"

	"github.com/fxamacker/cbor/v2"
)

// MaxBody is the largest request or response body, in bytes.
const MaxBody = 64 << 10

var (
	encodeMode cbor.EncMode
	decodeMode cbor.DecMode
)

func init() {
	var err error
	// The encoding is deterministic: equal messages have equal bytes, whichever controller writes them.
	if encodeMode, err = (cbor.EncOptions{Sort: cbor.SortBytewiseLexical}).EncMode(); err != nil {
		panic(err)
	}
	// The limits keep the memory for a hostile body in proportion to its size.
	decodeMode, err = cbor.DecOptions{MaxNestedLevels: 16, MaxArrayElements: 131072, MaxMapPairs: 131072}.DecMode()
	if err != nil {
		panic(err)
	}
}

// Marshal encodes a message as CBOR.
func Marshal(v any) ([]byte, error) { return encodeMode.Marshal(v) }

// Unmarshal decodes one CBOR message into v. Unknown fields are ignored. An empty body is an error.
func Unmarshal(b []byte, v any) error {
	if len(b) == 0 {
		return errors.New("empty body")
	}
	return decodeMode.Unmarshal(b, v)
}

// EqualEncoding reports whether two messages have the same encoding.
func EqualEncoding(a, b any) bool {
	x, errX := Marshal(a)
	y, errY := Marshal(b)
	return errX == nil && errY == nil && bytes.Equal(x, y)
}

// IsMap reports whether an encoded message is a map (CBOR major type 5).
func IsMap(b []byte) bool { return len(b) > 0 && b[0]>>5 == 5 }

// Raw is an encoded value that is not decoded.
type Raw = cbor.RawMessage
