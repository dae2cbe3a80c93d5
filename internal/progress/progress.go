// Package progress keeps which tasks of a job are done in as many records as they need. What
// fits stands in the job's own record, as ranges. Tasks that end far out of order make ranges
// too many for one value; the rest stands in further records beside it, each of which has one
// bit for each of a fixed number of tasks. Nothing that has been written is ever taken back:
// whoever takes a job over starts again what is not written as done.
//
// Pure: no clock, no I/O; not for concurrent use.
package progress

import (
	"fmt"
	"slices"
	"strconv"
	"strings"

	"github.com/barrowbridge/barrowbridge/internal/ranges"
	"github.com/barrowbridge/barrowbridge/wire"
)

const wordBits = 32

// Book is a copy of all further records, each of which tells of span tasks.
type Index struct {
	span int
	jobs map[string]*job
}

type job struct {
	parts map[int]part
	done  ranges.Set // of all parts
}

type part struct {
	version uint64
	done    ranges.Set
}

// New returns an empty book; span is in tasks, a multiple of 32.
func New(span int) *Index { return &Index{span, map[string]*job{}} }

// Key is where a further record of a job stands, the first of which has number 0.
func Key(id string, number int) string {
	return wire.PrefixDone + id + "/" + strconv.Itoa(number)
}

func parseKey(key string) (id string, number int, err error) {
	id, n, ok := strings.Cut(strings.TrimPrefix(key, wire.PrefixDone), "/")
	if number, err = strconv.Atoi(n); !ok || err != nil {
		return "", 0, fmt.Errorf("no record of done tasks: %q", key)
	}
	return id, number, nil
}

// Put takes a record as it stands, and returns its job.
func (b *Index) Put(key string, ver uint64, r wire.Done) (id string, err error) {
	id, n, err := parseKey(key)
	if err != nil {
		return "", err
	}
	j := b.jobs[id]
	if j == nil {
		j = &job{parts: map[int]part{}}
		b.jobs[id] = j
	}
	p := part{version: ver}
	for k, word := range r.Bits {
		for i := range wordBits {
			if word>>i&1 == 1 {
				p.done = p.done.Add(r.From + k*wordBits + i)
			}
		}
	}
	j.parts[n] = p
	j.done = nil
	for _, x := range j.parts {
		j.done = j.done.Union(x.done)
	}
	return id, nil
}

// Remove forgets a record, which is removed only after its job is over.
func (b *Index) Remove(key string) {
	id, n, err := parseKey(key)
	if j := b.jobs[id]; err == nil && j != nil {
		if delete(j.parts, n); len(j.parts) == 0 {
			delete(b.jobs, id)
		}
	}
}

// Of is which tasks of a job its further records call done. It is not to be changed.
func (b *Index) Done(id string) ranges.Set {
	if j := b.jobs[id]; j != nil {
		return j.done
	}
	return nil
}

// Over lists the keys, most at the most, of one job that is not live; "" if there is none.
func (b *Index) Obsolete(live func(id string) bool, most int) (id string, keys []string) {
	for x := range b.jobs {
		if !live(x) && (id == "" || x < id) {
			id = x
		}
	}
	if id != "" {
		for n := range b.jobs[id].parts {
			keys = append(keys, Key(id, n))
		}
		slices.Sort(keys)
		keys = keys[:min(len(keys), most)]
	}
	return id, keys
}

// Part is a further record to be put if its key still has the version Ver.
type Part struct {
	Key     string
	Version uint64
	Record  wire.Done
}

// Plan is what is to be written of a job's progress.
type Plan struct {
	Record    ranges.Set // of its own record, which has room for it
	PutRecord bool       // its own record says more than before
	Parts     []Part
}

// Plan finds what is to be written of a job whose own record calls written done, and of which
// done is known, all of written in it. fits tells whether the own record has room for a set;
// as many further records are planned as most says. What no record has room for yet is left
// out, and its workers keep it; what is written stays.
func (b *Index) Plan(id string, written, done ranges.Set, fits func(ranges.Set) bool, most int) Plan {
	p := Plan{Record: done}
	if !fits(done) {
		p.Record = fillRecord(written, done, fits)
	}
	p.PutRecord = p.Record.Count() > written.Count()
	if p.PutRecord {
		most--
	}
	last := -1
	for _, r := range done.Minus(p.Record).Minus(b.Done(id)) {
		for n := max(last+1, r[0]/b.span); n <= (r[1]-1)/b.span && len(p.Parts) < most; n++ {
			x := Part{Key: Key(id, n), Record: wire.Done{From: n * b.span, Bits: bitWords(done, n*b.span, b.span)}}
			if j := b.jobs[id]; j != nil {
				x.Version = j.parts[n].version
			}
			p.Parts, last = append(p.Parts, x), n
		}
	}
	return p
}

// fill is written with as much more of done as fits: first what makes its ranges longer and
// not more, then the others from the first on.
func fillRecord(written, done ranges.Set, fits func(ranges.Set) bool) ranges.Set {
	var longer ranges.Set
	for _, r := range done {
		if written.CountBelow(r[1]) > written.CountBelow(r[0]) {
			longer = append(longer, r)
		}
	}
	best := written
	if fits(longer) {
		best = longer
	}
	base := best
	for low, high := 0, len(done); low < high; {
		mid := (low + high + 1) / 2
		if s := base.Union(done[:mid]); fits(s) {
			best, low = s, mid
		} else {
			high = mid - 1
		}
	}
	return best
}

// words has the bits of a record's tasks.
func bitWords(done ranges.Set, from, span int) []uint32 {
	bits := make([]uint32, span/wordBits)
	used := 0
	for _, r := range done {
		for i := max(r[0], from); i < min(r[1], from+span); i++ {
			bits[(i-from)/wordBits] |= 1 << ((i - from) % wordBits)
			used = (i-from)/wordBits + 1
		}
	}
	return bits[:used]
}
