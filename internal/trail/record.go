package trail

import (
	"encoding/json"

	"github.com/barrowbridge/barrowbridge/wire"
)

// Earlier takes the record that this controller's earlier lives left, so that the
// next write keeps what it has room for. It is called once, before Record.
func (t *Trail) Earlier(r wire.TrailRecord, boot uint64) {
	if r.Boot == boot {
		return
	}
	old := make([]wire.TrailEvent, 0, len(r.Events)+len(t.kept))
	for _, e := range r.Events {
		if e.Boot == 0 {
			e.Boot = r.Boot
		}
		old = append(old, e)
	}
	t.kept = append(old, t.kept...)
	t.trim()
}

// KeepTo has the record keep to so many bytes from now on.
func (t *Trail) KeepTo(bytes int) {
	t.lim.Bytes = bytes
	t.trim()
}

// Record is what is to be written now, if it is time: when something lasting has
// happened since the last write, and that was long enough ago. Several events of
// one failure come within moments and share a write.
func (t *Trail) Record(now Time, boot uint64) (wire.TrailRecord, bool) {
	if t.ripe < 0 || now < t.wroteAt+t.lim.Every || now < t.ripe+t.lim.Every/8 {
		return wire.TrailRecord{}, false
	}
	t.wroteAt, t.ripe = now, -1
	return wire.TrailRecord{Boot: boot, Events: append([]wire.TrailEvent(nil), t.kept...)}, true
}

// Stored is what a controller's record has of its trail.
func Stored(node string, r *wire.TrailRecord, q Query) wire.Trail {
	t := wire.Trail{Node: node, Boot: r.Boot, Stored: true, Events: []wire.TrailEvent{}}
	for i := range r.Events {
		if q.Matches(&r.Events[i]) {
			t.Events = append(t.Events, r.Events[i])
		}
	}
	return t
}

// Failed tells that the write did not happen: it is tried again after a while.
func (t *Trail) Failed(now Time) { t.ripe = now }

// trim drops the oldest lasting events until the record fits its bytes, which the
// state service counts in JSON form.
func (t *Trail) trim() {
	total := 64
	for i := len(t.kept) - 1; i >= 0; i-- {
		total += size(&t.kept[i])
		if total > t.lim.Bytes {
			t.kept = append([]wire.TrailEvent(nil), t.kept[i+1:]...)
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
