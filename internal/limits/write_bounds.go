package limits

import (
	"maps"
	"slices"
	"strings"
	"time"

	"github.com/barrowbridge/barrowbridge/wire"
)

// Bounds are the limits of one write to the state service.
type Bounds struct {
	ValueBytes int // of each value, in JSON form
	Changes    int // puts and deletes; a write may have four times as many conditions
}

// Write describes the size of a write.
type Write struct {
	Kind       string // kind of the first record that it puts, or else deletes
	Bytes      int    // size of its largest value, in JSON form
	Changes    int
	Conditions int
	Subjects   []string // keys of the jobs and blocks in the write
}

// DescribeWrite returns the size of a write.
func DescribeWrite(when []wire.Condition, then []wire.Change) Write {
	w := Write{Changes: len(then), Conditions: len(when)}
	for _, x := range when {
		if strings.HasPrefix(x.Key, wire.PrefixJob) || strings.HasPrefix(x.Key, wire.PrefixBlock) {
			w.Subjects = append(w.Subjects, x.Key)
		}
	}
	for _, ch := range then {
		if ch.Put == "" {
			continue
		}
		if w.Kind == "" {
			w.Kind = KindOf(ch.Put)
		}
		if raw, err := wire.Marshal(ch.Value); err == nil {
			if n, err := wire.JSONSize(raw); err == nil {
				w.Bytes = max(w.Bytes, n)
			}
		}
	}
	if w.Kind == "" && len(then) > 0 {
		w.Kind = KindOf(then[0].Delete)
	}
	return w
}

// KindOf returns the kind of the record under a key.
func KindOf(key string) string {
	kind, _, _ := strings.Cut(strings.TrimPrefix(key, wire.LivePrefix), "/")
	return kind
}

// WriteBoundsParams configures how bounds are learned from refusals.
type WriteBoundsParams struct {
	Floor        Bounds        // bounds are never lowered below these
	Factor       float64       // share of a refused size that is tried next
	SkipFor      time.Duration // how long a subject is skipped whose write is refused at its smallest; doubles each time
	SkipForMax   time.Duration // limit of that time
	SinglyFor    time.Duration // how long subjects are written one by one to find the one that is refused
	StuckAfter   time.Duration // starts that have been refused for so long are stuck
	WarnInterval time.Duration // between warnings of one kind that say nothing new
}

// refusals counts the writes of one kind that were refused as malformed.
type refusals struct {
	count    int
	last     Write
	why      string
	warnedAt time.Duration
}

// WriteBounds learns the real limits of the state service from the writes that it refuses as
// malformed. The settings state its limits, but the real ones may be lower. Without this, the
// same write was sent and refused again and again, and everything else in its record or
// transaction waited with it.
type WriteBounds struct {
	params      WriteBoundsParams
	bounds      Bounds
	kinds       map[string]*refusals
	skipped     map[[2]string]skip // by kind and subject
	singlyUntil time.Duration
	starts      struct { // refused starts since the last successful one
		any         bool
		first, last time.Duration
	}
}

// skip is a subject whose writes are skipped for a time.
type skip struct{ until, duration time.Duration }

// NewWriteBounds returns bounds that begin with those of the settings.
func NewWriteBounds(p WriteBoundsParams, configured Bounds) *WriteBounds {
	return &WriteBounds{params: p, bounds: configured, kinds: map[string]*refusals{}, skipped: map[[2]string]skip{}}
}

// ShortWrite returns the number of changes in a write that leaves gaps for other writes: half of
// the limit, or least if that is more and allowed.
func (b Bounds) ShortWrite(least int) int { return min(b.Changes, max(least, b.Changes/2)) }

// Bounds returns the bounds that writes must respect now.
func (b *WriteBounds) Bounds() Bounds { return b.bounds }

// RecordRefusal records a write that was refused as malformed, with the message of the service,
// and reports whether to log a warning. The same write is not sent again: either the bounds fall
// below its size or, if it is already as small as possible, its subjects are written one by one,
// and a subject that is refused even so is skipped for a while.
func (b *WriteBounds) RecordRefusal(now time.Duration, w Write, why string) (warn bool) {
	refused := b.kinds[w.Kind]
	if refused == nil {
		refused = &refusals{warnedAt: -b.params.WarnInterval}
		b.kinds[w.Kind] = refused
	}
	refused.count++
	refused.last, refused.why = w, why
	previous := b.bounds
	b.lower(w, why)
	if s := &b.starts; w.Kind == KindStart {
		if !s.any || now-s.last > b.params.StuckAfter {
			s.any, s.first = true, now
		}
		s.last = now
	}
	if b.bounds == previous {
		if len(w.Subjects) > 1 {
			b.singlyUntil = now + b.params.SinglyFor
		} else if len(w.Subjects) == 1 {
			key := [2]string{w.Kind, w.Subjects[0]}
			entry := b.skipped[key]
			entry.duration = min(max(2*entry.duration, b.params.SkipFor), b.params.SkipForMax)
			entry.until = now + entry.duration
			b.skipped[key], b.singlyUntil = entry, now
		}
	}
	if warn = b.bounds != previous || now-refused.warnedAt >= b.params.WarnInterval; warn {
		refused.warnedAt = now
	}
	return warn
}

// Kinds of records whose subjects can be skipped.
const (
	KindStart = "start"
	KindJob   = "job"
	KindFinal = "final"
	KindBlock = "block"
)

// lower reduces the bounds below the size of a refused write: the bound that the message of the
// service names, or both.
func (b *WriteBounds) lower(w Write, why string) {
	value := strings.Contains(why, "value")
	ops := strings.Contains(why, "operation") || strings.Contains(why, "change") || strings.Contains(why, "condition")
	if !value && !ops {
		value, ops = true, true
	}
	if value && w.Bytes > b.params.Floor.ValueBytes {
		b.bounds.ValueBytes = min(b.bounds.ValueBytes, max(b.params.Floor.ValueBytes, int(float64(w.Bytes)*b.params.Factor)))
	}
	if n := max(w.Changes, (w.Conditions+3)/4); ops && n > b.params.Floor.Changes {
		b.bounds.Changes = min(b.bounds.Changes, max(b.params.Floor.Changes, int(float64(n)*b.params.Factor)))
	}
}

// RecordSuccess records that a write of a kind succeeded.
func (b *WriteBounds) RecordSuccess(kind string) {
	if kind == KindStart {
		b.starts.any = false
	}
}

// WriteSingly reports whether subjects are to be written one by one.
func (b *WriteBounds) WriteSingly(now time.Duration) bool { return now < b.singlyUntil }

// ShouldSkip reports whether writes of a kind must skip a subject so that others do not wait for
// it. The kinds are separate because a job whose progress cannot be written may still end.
func (b *WriteBounds) ShouldSkip(now time.Duration, kind, subject string) bool {
	entry, found := b.skipped[[2]string{kind, subject}]
	if found && now > entry.until+b.params.SkipForMax {
		delete(b.skipped, [2]string{kind, subject}) // written since then, or removed
	}
	return found && now < entry.until
}

// StartsStuck reports whether no task start can be written at present. Machines rented for tasks
// that cannot start would be paid for and given back unused. A single skipped subject is tried
// too rarely to cause this.
func (b *WriteBounds) StartsStuck(now time.Duration) bool {
	s := &b.starts
	return s.any && s.last-s.first >= b.params.StuckAfter && now-s.last < b.params.StuckAfter
}

// RefusedWrites returns the refused writes by kind, sorted.
func (b *WriteBounds) RefusedWrites() []wire.RefusedWrites {
	out := []wire.RefusedWrites{}
	for _, kind := range slices.Sorted(maps.Keys(b.kinds)) {
		k := b.kinds[kind]
		out = append(out, wire.RefusedWrites{Kind: kind, Count: k.count, Bytes: k.last.Bytes, Changes: k.last.Changes, Conditions: k.last.Conditions, Why: k.why})
	}
	return out
}

// Fit shortens a value until its JSON form has at most the given number of bytes, or until
// shorten reports that nothing more can be removed.
func Fit[T any](v T, bytes int, shorten func(*T) bool) T {
	for {
		if raw, err := wire.Marshal(v); err != nil || wire.FitsIn(raw, bytes) || !shorten(&v) {
			return v
		}
	}
}
