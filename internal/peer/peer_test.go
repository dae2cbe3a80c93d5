package peer

import (
	"bytes"
	"encoding/binary"
	"testing"

	"github.com/google/go-cmp/cmp"

	"github.com/barrowbridge/barrowbridge/internal/core"
	"github.com/barrowbridge/barrowbridge/internal/tuning"
)

func TestFrames(t *testing.T) {
	in := core.PeerMessage{From: "a", Boot: 7, Nonce: 3, Revision: 1200, UpMS: 5, Jobs: []core.JobCount{{ID: "job-000001", Running: 2, Done: 1}}}
	var b bytes.Buffer
	if err := Write(&b, in); err != nil {
		t.Fatal(err)
	}
	out, err := Read(&b)
	if err != nil {
		t.Fatal(err)
	}
	if diff := cmp.Diff(in, out); diff != "" {
		t.Fatal(diff)
	}
}

// What comes from the wire costs bounded memory and ends in an error.
func TestBadFrames(t *testing.T) {
	huge := binary.BigEndian.AppendUint32(nil, tuning.PeerFrame+1)
	for name, raw := range map[string][]byte{
		"oversized":   huge,
		"cut short":   {0, 0, 0, 9, 1},
		"not msgpack": {0, 0, 0, 2, 0xc1, 0xc1},
		"not a map":   {0, 0, 0, 1, 0x07},
	} {
		if _, err := Read(bytes.NewReader(raw)); err == nil {
			t.Errorf("%s: no error", name)
		}
	}
}
