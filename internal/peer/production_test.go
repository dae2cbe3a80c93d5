package peer

import (
	"bytes"
	"encoding/binary"
	"encoding/json"
	"os"
	"reflect"
	"strings"
	"testing"

	"github.com/vmihailenco/msgpack/v5"
)

// Reads messages of the version in production (deploy/service.toml), as its own code encoded them
// in scripted tests. A message that is read and written again has the same content and no
// additional field.
func TestMessagesOfProductionAreRead(t *testing.T) {
	b, err := os.ReadFile("testdata/production/messages.json")
	if err != nil {
		t.Fatal(err)
	}
	var messages []struct {
		Kind  string
		Value []byte
	}
	if err := json.Unmarshal(b, &messages); err != nil {
		t.Fatal(err)
	}
	seen := map[string]bool{}
	for _, m := range messages {
		for _, part := range strings.Fields(m.Kind) {
			seen[part] = true
		}
		read, err := Read(bytes.NewReader(append(binary.BigEndian.AppendUint32(nil, uint32(len(m.Value))), m.Value...)))
		if err != nil {
			t.Errorf("%s: %v", m.Kind, err)
			continue
		}
		var again bytes.Buffer
		if err := Write(&again, read); err != nil {
			t.Fatal(err)
		}
		var was, is map[string]any
		if err := msgpack.Unmarshal(m.Value, &was); err != nil {
			t.Fatal(err)
		}
		if err := msgpack.Unmarshal(again.Bytes()[4:], &is); err != nil {
			t.Fatal(err)
		}
		if !reflect.DeepEqual(was, is) {
			t.Errorf("%s: message\n%v\nis read as\n%v", m.Kind, was, is)
		}
	}
	for _, part := range []string{"reply", "Statement", "Jobs", "Holds", "Relay", "Answer", "Word", "Order", "Ordered", "Call", "Result", "Addrs", "Wants"} {
		if !seen[part] {
			t.Errorf("no message with %s", part)
		}
	}
}
