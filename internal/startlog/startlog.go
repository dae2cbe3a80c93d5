// Package startlog keeps what is written of starts: which tasks of which jobs may have been
// started, and where. Each start has to be written before it is made, and one change of
// the state service for each was what a deployment waited for when it began, after an
// outage and after a takeover. A record here holds the starts of many jobs, so one change
// writes all that have come together.
//
// Records are slots of a shard. An entry stands in the slot where it was last written;
// older ones of the same job elsewhere are superseded, and go when their slot is next
// written. Package core argues what is compared with each write (docs/design.md).
//
// Pure: no clock, no I/O; not for concurrent use.
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
	Bytes   int // in JSON form
}

// Book is a copy of all slots of all shards.
type Log struct {
	limits Limits
	slots  map[string]*slot    // by key
	latest map[string]location // entry -> its newest place
}

type slot struct {
	shard, number int
	version       uint64
	entries       map[string]wire.Start
}

type location struct {
	key   string
	start wire.Start
}

// New returns an empty book.
func New(limits Limits) *Log {
	return &Log{limits: limits, slots: map[string]*slot{}, latest: map[string]location{}}
}

// KeepTo has records that are planned from now on keep to other limits.
func (l *Log) SetLimits(limits Limits) { l.limits = limits }

// Key is where a slot stands in the state service.
func Key(shard, number int) string {
	return fmt.Sprintf("%s%d.%d", wire.PrefixStart, shard, number)
}

func parseKey(key string) (shard, number int, err error) {
	a, b, ok := strings.Cut(strings.TrimPrefix(key, wire.PrefixStart), ".")
	shard, err = strconv.Atoi(a)
	if err == nil {
		number, err = strconv.Atoi(b)
	}
	if !ok || err != nil {
		return 0, 0, fmt.Errorf("no slot of starts: %q", key)
	}
	return shard, number, nil
}

// Put takes a slot's new record, and returns the names whose entry has changed, in order.
func (l *Log) Put(key string, ver uint64, r wire.Starts) ([]string, error) {
	shard, number, err := parseKey(key)
	if err != nil {
		return nil, err
	}
	if old := l.slots[key]; old != nil { // what its holder has left out counts for nobody
		for name := range old.entries {
			if _, kept := r.Entries[name]; !kept && l.latest[name].key == key {
				delete(l.latest, name)
			}
		}
	}
	l.slots[key] = &slot{shard, number, ver, r.Entries}
	var changed []string
	for name, s := range r.Entries {
		if old, ok := l.latest[name]; !ok || s.N > old.start.N || old.key == key {
			l.latest[name] = location{key, s}
			if !ok || s.N != old.start.N {
				changed = append(changed, name)
			}
		}
	}
	slices.Sort(changed)
	return changed, nil
}

// Of is the newest entry of a name.
func (l *Log) Latest(name string) (wire.Start, bool) {
	w, ok := l.latest[name]
	return w.start, ok
}

// Entry is a start to be written.
type Entry struct {
	Name  string
	Start wire.Start
}

// Write is one slot's record with new entries in it, to be put if the slot still has the
// version Ver.
type Write struct {
	Key      string
	Version  uint64
	Record   wire.Starts
	Included int // of the entries, from the first
}

// Plan finds the slot of a shard for new entries, the emptiest, and its record with as
// many of them as it holds, at least one. Entries of names that are no longer live, and
// those superseded, are left out. Numbers of entries rise by one with each write of a name.
func (l *Log) Plan(shard int, entries []Entry, live func(name string) bool) Write {
	var best *slot
	var kept map[string]wire.Start
	next, size := 0, 0
	for _, s := range l.slots {
		if s.shard != shard {
			continue
		}
		next = max(next, s.number+1)
		k, n := l.liveEntries(s, live), 0
		for name, x := range k {
			n += maxEntrySize(name, x)
		}
		// Full by its bytes as well: a first entry that made the value too large would be
		// refused, and tried again, for ever. One that a controller with larger limits has
		// filled is left as it is until enough in it has ended: what is new of its jobs goes
		// to other slots, where it counts by its number.
		if len(k)*4 > l.limits.Entries*3 || n*4 > l.limits.Bytes*3 || n+maxEntrySize(entries[0].Name, entries[0].Start) > l.limits.Bytes {
			continue
		}
		if best == nil || n < size || n == size && s.number < best.number {
			best, kept, size = s, k, n
		}
	}
	if best == nil {
		best, kept, size = &slot{shard: shard, number: next}, map[string]wire.Start{}, 0
	}
	w := Write{Key: Key(shard, best.number), Version: best.version, Record: wire.Starts{Entries: kept}}
	for _, e := range entries {
		_, again := kept[e.Name]
		size += maxEntrySize(e.Name, e.Start)
		if w.Included > 0 && (size > l.limits.Bytes || len(kept) >= l.limits.Entries && !again) {
			break
		}
		s := e.Start
		s.N = l.highestNumber(e.Name) + 1
		kept[e.Name] = s
		w.Included++
	}
	return w
}

// highest is the largest number of a name's entries, in whichever slot.
func (l *Log) highestNumber(name string) (n uint64) {
	for _, s := range l.slots {
		n = max(n, s.entries[name].N)
	}
	return n
}

// keep is what of a slot still counts.
func (l *Log) liveEntries(s *slot, live func(string) bool) map[string]wire.Start {
	kept := make(map[string]wire.Start, len(s.entries)+8)
	key := Key(s.shard, s.number)
	for name, x := range s.entries {
		if l.latest[name].key == key && live(name) {
			kept[name] = x
		}
	}
	return kept
}

// sizeOf bounds an entry in JSON form.
func maxEntrySize(name string, s wire.Start) int {
	n := len(name) + 48
	for _, m := range s.On {
		n += len(m) + 3
	}
	return n
}
