// Package startlog keeps the stored records of task starts: which tasks of which jobs may have been
// started, and on which machines. Each start must be written before it is made. With one write to
// the state service per start, deployments were limited by these writes when they began, after an
// outage and after a takeover. A record therefore holds the starts of many jobs, and one write
// covers all starts that are pending.
//
// The records are the slots of a shard. The entry of a job that counts is in the slot where it was
// last written. Older entries of the same job in other slots are superseded, and are removed when
// their slot is next written. Package core explains which conditions each write has
// (docs/design.md).
//
// The package has no clock and no I/O, and is not safe for concurrent use.
package startlog

import (
	"fmt"
	"slices"
	"strconv"
	"strings"

	"github.com/barrowbridge/barrowbridge/wire"
)

// Limits bound one record.
type Limits struct {
	Entries int
	Bytes   int // size in JSON form
}

// Log is a copy of all slots of all shards.
type Log struct {
	limits Limits
	slots  map[string]*slot    // by key
	latest map[string]location // newest entry of each name, and its slot
}

// slot is the stored record of one slot.
type slot struct {
	shard, number int
	version       uint64
	entries       map[string]wire.Start
}

// location is an entry and the key of the slot that contains it.
type location struct {
	key   string
	start wire.Start
}

// New returns an empty log.
func New(limits Limits) *Log {
	return &Log{limits: limits, slots: map[string]*slot{}, latest: map[string]location{}}
}

// SetLimits sets the limits of records that are planned from now on.
func (l *Log) SetLimits(limits Limits) { l.limits = limits }

// Key returns the key of a slot in the state service.
func Key(shard, number int) string {
	return fmt.Sprintf("%s%d.%d", wire.PrefixStart, shard, number)
}

// parseKey returns the shard and number of the slot with a key.
func parseKey(key string) (shard, number int, err error) {
	shardText, numberText, ok := strings.Cut(strings.TrimPrefix(key, wire.PrefixStart), ".")
	shard, err = strconv.Atoi(shardText)
	if err == nil {
		number, err = strconv.Atoi(numberText)
	}
	if !ok || err != nil {
		return 0, 0, fmt.Errorf("not the key of a start log slot: %q", key)
	}
	return shard, number, nil
}

// Put stores a new record of a slot and returns the names whose newest entry has changed, sorted.
func (l *Log) Put(key string, version uint64, record wire.Starts) ([]string, error) {
	shard, number, err := parseKey(key)
	if err != nil {
		return nil, err
	}
	if old := l.slots[key]; old != nil { // entries that the shard's holder has removed no longer count
		for name := range old.entries {
			if _, kept := record.Entries[name]; !kept && l.latest[name].key == key {
				delete(l.latest, name)
			}
		}
	}
	l.slots[key] = &slot{shard, number, version, record.Entries}
	var changed []string
	for name, start := range record.Entries {
		if old, ok := l.latest[name]; !ok || start.N > old.start.N || old.key == key {
			l.latest[name] = location{key, start}
			if !ok || start.N != old.start.N {
				changed = append(changed, name)
			}
		}
	}
	slices.Sort(changed)
	return changed, nil
}

// Latest returns the newest entry of a name.
func (l *Log) Latest(name string) (wire.Start, bool) {
	newest, ok := l.latest[name]
	return newest.start, ok
}

// StoredIn returns the key and the version of the record that contains the newest entry of a name, or
// "" and 0 if there is none.
func (l *Log) StoredIn(name string) (key string, version uint64) {
	newest, ok := l.latest[name]
	if !ok {
		return "", 0
	}
	return newest.key, l.slots[newest.key].version
}

// Entry is a start to be written.
type Entry struct {
	Name  string
	Start wire.Start
}

// Write is the record of one slot with new entries in it. It may be stored only if the slot still
// has the version Version.
type Write struct {
	Key      string
	Version  uint64
	Record   wire.Starts
	Included int // number of the planned entries, counted from the first, that are in the record
}

// Plan chooses the emptiest slot of a shard for new entries and returns its record with as many of
// them as fit, but at least one. Superseded entries and entries of names that are no longer live
// are left out. The number of a name's entry rises by one with each write.
func (l *Log) Plan(shard int, entries []Entry, live func(name string) bool) Write {
	var best *slot
	var kept map[string]wire.Start
	nextNumber, size := 0, 0
	for _, candidate := range l.slots {
		if candidate.shard != shard {
			continue
		}
		nextNumber = max(nextNumber, candidate.number+1)
		entriesKept, bytes := l.liveEntries(candidate, live), 0
		for name, start := range entriesKept {
			bytes += maxEntrySize(name, start)
		}
		// A slot counts as full by its size too. A first entry that made the value too large
		// would be refused and retried forever. A slot that a controller with larger limits
		// has filled is not rewritten until enough of its jobs have ended. New entries of its
		// jobs go to other slots, where they count because of their higher numbers.
		if len(entriesKept)*4 > l.limits.Entries*3 || bytes*4 > l.limits.Bytes*3 || bytes+maxEntrySize(entries[0].Name, entries[0].Start) > l.limits.Bytes {
			continue
		}
		if best == nil || bytes < size || bytes == size && candidate.number < best.number {
			best, kept, size = candidate, entriesKept, bytes
		}
	}
	if best == nil {
		best, kept, size = &slot{shard: shard, number: nextNumber}, map[string]wire.Start{}, 0
	}
	write := Write{Key: Key(shard, best.number), Version: best.version, Record: wire.Starts{Entries: kept}}
	for _, entry := range entries {
		_, again := kept[entry.Name]
		size += maxEntrySize(entry.Name, entry.Start)
		if write.Included > 0 && (size > l.limits.Bytes || len(kept) >= l.limits.Entries && !again) {
			break
		}
		candidate := entry.Start
		candidate.N = l.highestNumber(entry.Name) + 1
		kept[entry.Name] = candidate
		write.Included++
	}
	return write
}

// highestNumber returns the highest number among a name's entries in all slots, superseded entries
// included.
func (l *Log) highestNumber(name string) (highest uint64) {
	for _, s := range l.slots {
		highest = max(highest, s.entries[name].N)
	}
	return highest
}

// liveEntries returns the entries of a slot that are live and not superseded.
func (l *Log) liveEntries(s *slot, live func(string) bool) map[string]wire.Start {
	kept := make(map[string]wire.Start, len(s.entries)+8)
	key := Key(s.shard, s.number)
	for name, start := range s.entries {
		if l.latest[name].key == key && live(name) {
			kept[name] = start
		}
	}
	return kept
}

// maxEntrySize returns an upper bound of an entry's size in JSON form, in bytes.
func maxEntrySize(name string, start wire.Start) int {
	bytes := len(name) + 48
	for _, machine := range start.On {
		bytes += len(machine) + 3
	}
	return bytes
}
