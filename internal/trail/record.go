package trail

import (
	"encoding/json"

	"github.com/barrowbridge/barrowbridge/wire"
)

// Earlier takes the record that this controller's earlier lives left, so that the
// next write keeps what it has room for. It is called once, before Record.
func (t *Trail) LoadEarlier(r wire.TrailRecord, boot uint64) {
	if r.Boot == boot {
		return
	}
	old := make([]wire.TrailEvent, 0, len(r.Events)+len(t.durable))
	for _, e := range r.Events {
		if e.Boot == 0 {
			e.Boot = r.Boot
		}
		old = append(old, e)
	}
	t.durable = append(old, t.durable...)
	t.trim()
}

// KeepTo has the record keep to so many bytes from now on.
func (t *Trail) SetRecordBytes(bytes int) {
	t.limits.Bytes = bytes
	t.trim()
}

// Record is what is to be written now, if it is time: when something lasting has
// happened since the last write, and that was long enough ago. Several events of
// one failure come within moments and share a write.
func (t *Trail) NextRecord(now Time, boot uint64) (wire.TrailRecord, bool) {
	if t.pendingSince < 0 || now < t.lastWrite+t.limits.WriteInterval || now < t.pendingSince+t.limits.WriteInterval/8 {
		return wire.TrailRecord{}, false
	}
	t.lastWrite, t.pendingSince = now, -1
	return wire.TrailRecord{Boot: boot, Events: append([]wire.TrailEvent(nil), t.durable...)}, true
}

// Stored is what a controller's record has of its trail.
func StoredTrail(node string, r *wire.TrailRecord, q Query) wire.Trail {
	t := wire.Trail{Node: node, Boot: r.Boot, Stored: true, Events: []wire.TrailEvent{}}
	for i := range r.Events {
		if q.Matches(&r.Events[i]) {
			t.Events = append(t.Events, r.Events[i])
		}
	}
	return t
}

// Failed tells that the write did not happen: it is tried again after a while.
func (t *Trail) WriteFailed(now Time) { t.pendingSince = now }

// trim drops the oldest lasting events until the record fits its bytes, which the
// state service counts in JSON form.
func (t *Trail) trim() {
	total := 64
	for i := len(t.durable) - 1; i >= 0; i-- {
		total += size(&t.durable[i])
		if total > t.limits.Bytes {
			t.durable = append([]wire.TrailEvent(nil), t.durable[i+1:]...)
			return
		}
	}
}

// size bounds an event's bytes as stored: its JSON form with the names of CBOR, which
// are no longer.
func size(e *wire.TrailEvent) int {
	b, err := json.Marshal(e)
	if err != nil {
		return 1 << 20
	}
	return len(b) + 1
}
