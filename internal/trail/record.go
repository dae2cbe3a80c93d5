package trail

import (
	"encoding/json"

	"github.com/barrowbridge/barrowbridge/wire"
)

// LoadEarlier takes the record that earlier incarnations of this controller have left, so that
// the next write keeps as much of it as fits. It is called once, before NextRecord.
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

// SetRecordBytes sets the maximum size of the record in bytes.
func (t *Trail) SetRecordBytes(bytes int) {
	t.limits.Bytes = bytes
	t.trim()
}

// NextRecord returns the record to be written now, if a durable event has happened since the last
// write, that write was at least a write interval ago, and the oldest unwritten event at least an
// eighth of it. Several events of one failure come within moments and share a write.
func (t *Trail) NextRecord(now Time, boot uint64) (wire.TrailRecord, bool) {
	if t.pendingSince < 0 || now < t.lastWrite+t.limits.WriteInterval || now < t.pendingSince+t.limits.WriteInterval/8 {
		return wire.TrailRecord{}, false
	}
	t.lastWrite, t.pendingSince = now, -1
	return wire.TrailRecord{Boot: boot, Events: append([]wire.TrailEvent(nil), t.durable...)}, true
}

// StoredTrail returns the events of a controller's record that match a query.
func StoredTrail(node string, r *wire.TrailRecord, q Query) wire.Trail {
	t := wire.Trail{Node: node, Boot: r.Boot, Stored: true, Events: []wire.TrailEvent{}}
	for i := range r.Events {
		if q.Matches(&r.Events[i]) {
			t.Events = append(t.Events, r.Events[i])
		}
	}
	return t
}

// WriteFailed records that the write of a record did not happen. It is retried after a while.
func (t *Trail) WriteFailed(now Time) { t.pendingSince = now }

// trim drops the oldest durable events until the record fits its maximum size, which the state
// service counts in JSON form.
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

// size returns an upper bound of the bytes of a stored event: the size of its JSON form with the
// names that CBOR uses, which are no longer than its own.
func size(e *wire.TrailEvent) int {
	b, err := json.Marshal(e)
	if err != nil {
		return 1 << 20
	}
	return len(b) + 1
}
