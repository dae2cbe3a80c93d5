package limits

import (
	"maps"
	"slices"
	"strings"
	"time"

	"github.com/barrowbridge/barrowbridge/wire"
)

// Bounds are what one write of the state service may have.
type Bounds struct {
	ValueBytes int // of each value, in JSON form
	Changes    int // puts and deletes; four times as many conditions
}

// Write is the form of a write.
type Write struct {
	Kind       string // of the first record that it puts, or deletes
	Bytes      int    // of its largest value, in JSON form
	Changes    int
	Conditions int
	Subjects   []string // keys of the jobs and blocks that share it
}

// Describe tells the form of a write.
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

// KindOf names the kind of record that stands under a key.
func KindOf(key string) string {
	kind, _, _ := strings.Cut(strings.TrimPrefix(key, wire.LivePrefix), "/")
	return kind
}

// FormParams bound what is learned of refusals.
type WriteBoundsParams struct {
	Floor        Bounds        // nothing lower is believed
	Factor       float64       // of what was refused, that is tried next
	SkipFor      time.Duration // a subject whose write is refused at its smallest is passed by for so long, twice as long each time
	SkipForMax   time.Duration // and at most
	SinglyFor    time.Duration // subjects are written one by one for so long, to find the one that is refused
	StuckAfter   time.Duration // starts that have been refused for so long are stuck
	WarnInterval time.Duration // between warnings of one kind that tell nothing new
}

// refusals counts the writes of one kind that were refused for their form.
type refusals struct {
	count    int
	last     Write
	why      string
	warnedAt time.Duration
}

// Form learns what the state service takes from what it refuses as malformed. The settings
// tell its limits, but it may have lower ones than told: without this the same write was
// sent and refused again and again, and all that stood behind it in its record or
// transaction waited with it.
type WriteBounds struct {
	params      WriteBoundsParams
	bounds      Bounds
	kinds       map[string]*refusals
	skipped     map[[2]string]skip // by kind and subject
	singlyUntil time.Duration      // until then
	starts      struct {           // refused ones with none written in between
		any         bool
		first, last time.Duration
	}
}

type skip struct{ until, duration time.Duration }

// NewForm begins with what the settings tell.
func NewWriteBounds(p WriteBoundsParams, told Bounds) *WriteBounds {
	return &WriteBounds{params: p, bounds: told, kinds: map[string]*refusals{}, skipped: map[[2]string]skip{}}
}

// Short is how many changes a write has that lets others in between: half of the limit, or
// least if that is more and allowed.
func (b Bounds) ShortWrite(least int) int { return min(b.Changes, max(least, b.Changes/2)) }

// Bounds are what writes are to keep to.
func (f *WriteBounds) Bounds() Bounds { return f.bounds }

// Refused takes note of a write that was refused for its form, with what the service said,
// and tells whether it is worth a warning. What was refused is not sent again alike: the bounds fall below it, or, where it
// is as small as they get, its subjects are written one by one, and the one that is refused
// even so is passed by for a while.
func (f *WriteBounds) RecordRefusal(now time.Duration, w Write, why string) (warn bool) {
	k := f.kinds[w.Kind]
	if k == nil {
		k = &refusals{warnedAt: -f.params.WarnInterval}
		f.kinds[w.Kind] = k
	}
	k.count++
	k.last, k.why = w, why
	was := f.bounds
	f.lower(w, why)
	if s := &f.starts; w.Kind == KindStart {
		if !s.any || now-s.last > f.params.StuckAfter {
			s.any, s.first = true, now
		}
		s.last = now
	}
	if f.bounds == was {
		if len(w.Subjects) > 1 {
			f.singlyUntil = now + f.params.SinglyFor
		} else if len(w.Subjects) == 1 {
			of := [2]string{w.Kind, w.Subjects[0]}
			a := f.skipped[of]
			a.duration = min(max(2*a.duration, f.params.SkipFor), f.params.SkipForMax)
			a.until = now + a.duration
			f.skipped[of], f.singlyUntil = a, now
		}
	}
	if warn = f.bounds != was || now-k.warnedAt >= f.params.WarnInterval; warn {
		k.warnedAt = now
	}
	return warn
}

// Kinds of records whose subjects are passed by.
const (
	KindStart = "start"
	KindJob   = "job"
	KindFinal = "final"
	KindBlock = "block"
)

// lower takes the bounds below what was refused: those that the service names, or both.
func (f *WriteBounds) lower(w Write, why string) {
	value := strings.Contains(why, "value")
	ops := strings.Contains(why, "operation") || strings.Contains(why, "change") || strings.Contains(why, "condition")
	if !value && !ops {
		value, ops = true, true
	}
	if value && w.Bytes > f.params.Floor.ValueBytes {
		f.bounds.ValueBytes = min(f.bounds.ValueBytes, max(f.params.Floor.ValueBytes, int(float64(w.Bytes)*f.params.Factor)))
	}
	if n := max(w.Changes, (w.Conditions+3)/4); ops && n > f.params.Floor.Changes {
		f.bounds.Changes = min(f.bounds.Changes, max(f.params.Floor.Changes, int(float64(n)*f.params.Factor)))
	}
}

// Taken takes note that a write of a kind was taken.
func (f *WriteBounds) RecordSuccess(kind string) {
	if kind == KindStart {
		f.starts.any = false
	}
}

// Alone tells whether subjects are to be written one by one.
func (f *WriteBounds) WriteSingly(now time.Duration) bool { return now < f.singlyUntil }

// Aside tells whether writes of a kind are to pass a subject by: others are not to wait
// behind it. A job whose progress can't be written may well end.
func (f *WriteBounds) ShouldSkip(now time.Duration, kind, subject string) bool {
	a, ok := f.skipped[[2]string{kind, subject}]
	if ok && now > a.until+f.params.SkipForMax {
		delete(f.skipped, [2]string{kind, subject}) // written since, or gone
	}
	return ok && now < a.until
}

// Stuck tells whether no start can be written at present: machines that are rented for
// tasks that can't start are paid for nothing, and given back for nothing. One that is
// passed by is tried too rarely to make it so.
func (f *WriteBounds) StartsStuck(now time.Duration) bool {
	s := &f.starts
	return s.any && s.last-s.first >= f.params.StuckAfter && now-s.last < f.params.StuckAfter
}

// Tell lists what was refused, by kind.
func (f *WriteBounds) RefusedWrites() []wire.RefusedWrites {
	out := []wire.RefusedWrites{}
	for _, kind := range slices.Sorted(maps.Keys(f.kinds)) {
		k := f.kinds[kind]
		out = append(out, wire.RefusedWrites{Kind: kind, Count: k.count, Bytes: k.last.Bytes, Changes: k.last.Changes, Conditions: k.last.Conditions, Why: k.why})
	}
	return out
}

// Fit shortens a record until it has at most so many bytes in JSON form, or shorten finds
// nothing more to leave out.
func Fit[T any](v T, bytes int, shorten func(*T) bool) T {
	for {
		if raw, err := wire.Marshal(v); err != nil || wire.FitsIn(raw, bytes) || !shorten(&v) {
			return v
		}
	}
}
