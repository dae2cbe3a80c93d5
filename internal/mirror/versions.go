// Package mirror decides which news of the stored keys count. A controller hears of a key from
// its watch, from lists and reads, and from its own writes, in any order; older news of a key
// must change nothing, a removal included.
//
// A plain structure: no clock, no I/O, not for concurrent use.
package mirror

import "slices"

// Versions are those of the keys that are present, and of those removed while older news of
// them may still come.
type Versions struct {
	present    map[string]uint64
	floor      uint64 // all that stood at this revision has been read
	tombstones map[string]tombstone
}

// tomb is a removed key: at which revision, and the last call that had been sent to
// the state service when that became known.
type tombstone struct{ revision, lastCall uint64 }

// New returns the versions of a state of which nothing is known.
func New() *Versions {
	return &Versions{present: map[string]uint64{}, tombstones: map[string]tombstone{}}
}

// Of is the version of a key, 0 if it is not present.
func (v *Versions) Version(key string) uint64 { return v.present[key] }

// Keys lists the keys that are present, sorted.
func (v *Versions) Keys() []string {
	keys := make([]string, 0, len(v.present))
	for k := range v.present {
		keys = append(keys, k)
	}
	slices.Sort(keys)
	return keys
}

// Read notes that all keys have been read as they stood at a revision.
func (v *Versions) MarkRead(rev uint64) { v.floor = rev }

// News tells whether a write of a key is newer than what is known. What stood there when all
// was read, and is not here, had been removed: a poll's read that was sent before the list,
// and answered after it, made an aborted job live again in a controller that had just started.
func (v *Versions) IsNewer(key string, ver uint64) bool {
	known, here := v.present[key]
	return ver > known && ver > v.tombstones[key].revision && (here || ver > v.floor)
}

// Put takes a write that is news.
func (v *Versions) Put(key string, ver uint64) {
	v.present[key] = ver
	delete(v.tombstones, key)
}

// Remove takes a removal known at a revision, and tells whether the key was there. An answer
// to a call that is under way may be older, so it is remembered, with the last call sent.
func (v *Versions) Remove(key string, rev, call uint64) bool {
	known, here := v.present[key]
	if here && known > rev {
		return false
	}
	delete(v.present, key)
	if t, ok := v.tombstones[key]; !ok || rev > t.revision {
		v.tombstones[key] = tombstone{rev, call}
	}
	return here
}

// Forget drops removals that the watch has passed, once every call has returned that was under
// way when they became known: oldest is the first that has not.
func (v *Versions) Forget(rev uint64, oldest func() uint64) {
	if len(v.tombstones) == 0 {
		return
	}
	first := oldest()
	for k, t := range v.tombstones {
		if t.revision <= rev && t.lastCall < first {
			delete(v.tombstones, k)
		}
	}
}

// Remembered counts the removals that are kept.
func (v *Versions) TombstoneCount() int { return len(v.tombstones) }
