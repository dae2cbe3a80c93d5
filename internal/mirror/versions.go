// Package mirror decides which updates of the stored keys are newer than what is known. A
// controller learns of a key from its watch, from lists and reads, and from its own writes, in
// any order. An older update of a key must change nothing, and neither may it undo a removal.
//
// The package is a plain data structure: no clock, no I/O, not safe for concurrent use.
package mirror

import "slices"

// Versions holds the versions of the keys that are present, and tombstones of removed keys for as
// long as older updates of them may still arrive.
type Versions struct {
	present    map[string]uint64
	floor      uint64 // all keys have been read at this revision
	tombstones map[string]tombstone
}

// tombstone marks a removed key: the revision at which the removal is known, and the last call
// that had been sent to the state service when it became known.
type tombstone struct{ revision, lastCall uint64 }

// New returns the versions of a state about which nothing is known.
func New() *Versions {
	return &Versions{present: map[string]uint64{}, tombstones: map[string]tombstone{}}
}

// Version returns the version of a key, or 0 if the key is not present.
func (v *Versions) Version(key string) uint64 { return v.present[key] }

// Keys returns the keys that are present, sorted.
func (v *Versions) Keys() []string {
	keys := make([]string, 0, len(v.present))
	for k := range v.present {
		keys = append(keys, k)
	}
	slices.Sort(keys)
	return keys
}

// MarkRead records that all keys have been read as of a revision.
func (v *Versions) MarkRead(rev uint64) { v.floor = rev }

// IsNewer reports whether a write of a key is newer than what is known. A key that existed at the
// revision at which all keys were read, and is not present here, has been removed. Otherwise a
// read that a poll sent before the list, and that was answered after it, made an aborted job live
// again in a controller that had just started.
func (v *Versions) IsNewer(key string, ver uint64) bool {
	known, found := v.present[key]
	return ver > known && ver > v.tombstones[key].revision && (found || ver > v.floor)
}

// Put stores the version of a write that is newer.
func (v *Versions) Put(key string, ver uint64) {
	v.present[key] = ver
	delete(v.tombstones, key)
}

// Remove processes a removal known at a revision, and reports whether the key was present. The
// answer to a call in flight may be older than the removal, so a tombstone is kept with the last
// call sent.
func (v *Versions) Remove(key string, rev, call uint64) bool {
	known, found := v.present[key]
	if found && known > rev {
		return false
	}
	delete(v.present, key)
	if t, ok := v.tombstones[key]; !ok || rev > t.revision {
		v.tombstones[key] = tombstone{rev, call}
	}
	return found
}

// Forget drops the tombstones that the watch has passed, once every call has returned that was in
// flight when the removal became known. oldest returns the first call that has not returned.
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

// TombstoneCount returns the number of tombstones.
func (v *Versions) TombstoneCount() int { return len(v.tombstones) }
