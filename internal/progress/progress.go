// Package progress stores which tasks of a job are done in as many records as that takes. The
// job's own record holds what fits, as ranges. If tasks end far out of order, the ranges become
// too many for one value; the rest goes into additional records beside it, each with one bit for
// each of a fixed number of tasks. Nothing that has been written is ever taken back, because a
// controller that takes over a job restarts every task that is not recorded as done.
//
// The package is pure: no clock, no I/O. It is not safe for concurrent use.
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

// Index is a copy of all additional records, each of which covers span tasks.
type Index struct {
	span int
	jobs map[string]*job
}

type job struct {
	parts map[int]part
	done  ranges.Set // union of all parts
}

// part is one additional record.
type part struct {
	version uint64
	done    ranges.Set
}

// New returns an empty index. span is the number of tasks per record, a multiple of 32.
func New(span int) *Index { return &Index{span, map[string]*job{}} }

// Key returns the key of an additional record of a job; the first has number 0.
func Key(id string, number int) string {
	return wire.PrefixDone + id + "/" + strconv.Itoa(number)
}

// parseKey returns the job and the number of an additional record.
func parseKey(key string) (id string, number int, err error) {
	id, n, ok := strings.Cut(strings.TrimPrefix(key, wire.PrefixDone), "/")
	if number, err = strconv.Atoi(n); !ok || err != nil {
		return "", 0, fmt.Errorf("no record of done tasks: %q", key)
	}
	return id, number, nil
}

// Put stores a record as read from the state service and returns the ID of its job.
func (index *Index) Put(key string, ver uint64, r wire.Done) (id string, err error) {
	id, n, err := parseKey(key)
	if err != nil {
		return "", err
	}
	j := index.jobs[id]
	if j == nil {
		j = &job{parts: map[int]part{}}
		index.jobs[id] = j
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

// Remove drops a record. A record is removed only after its job has ended.
func (index *Index) Remove(key string) {
	id, n, err := parseKey(key)
	if j := index.jobs[id]; err == nil && j != nil {
		if delete(j.parts, n); len(j.parts) == 0 {
			delete(index.jobs, id)
		}
	}
}

// Done returns the tasks of a job that its additional records list as done. The caller must not
// change the result.
func (index *Index) Done(id string) ranges.Set {
	if j := index.jobs[id]; j != nil {
		return j.done
	}
	return nil
}

// Obsolete returns one job that is not live and at most most keys of its records, sorted; id is
// "" if there is none.
func (index *Index) Obsolete(live func(id string) bool, most int) (id string, keys []string) {
	for job := range index.jobs {
		if !live(job) && (id == "" || job < id) {
			id = job
		}
	}
	if id != "" {
		for n := range index.jobs[id].parts {
			keys = append(keys, Key(id, n))
		}
		slices.Sort(keys)
		keys = keys[:min(len(keys), most)]
	}
	return id, keys
}

// Part is an additional record that is to be written if its key still has this version.
type Part struct {
	Key     string
	Version uint64
	Record  wire.Done
}

// Plan lists the records of a job's progress that are to be written.
type Plan struct {
	Record    ranges.Set // content of the job's own record, which fits into it
	PutRecord bool       // whether the job's own record has gained tasks
	Parts     []Part
}

// Plan determines what to write for a job whose own record lists the tasks written as done; done
// is the set of all tasks known to be done and includes written. fits reports whether the job's
// own record can hold a set. At most most records are planned. Tasks that do not fit into any
// record yet are left out, and their workers keep reporting them; what is already written stays.
func (index *Index) Plan(id string, written, done ranges.Set, fits func(ranges.Set) bool, most int) Plan {
	p := Plan{Record: done}
	if !fits(done) {
		p.Record = fillRecord(written, done, fits)
	}
	p.PutRecord = p.Record.Count() > written.Count()
	if p.PutRecord {
		most--
	}
	last := -1
	for _, r := range done.Minus(p.Record).Minus(index.Done(id)) {
		for n := max(last+1, r[0]/index.span); n <= (r[1]-1)/index.span && len(p.Parts) < most; n++ {
			added := Part{
				Key:    Key(id, n),
				Record: wire.Done{From: n * index.span, Bits: bitWords(done, n*index.span, index.span)},
			}
			if j := index.jobs[id]; j != nil {
				added.Version = j.parts[n].version
			}
			p.Parts, last = append(p.Parts, added), n
		}
	}
	return p
}

// fillRecord returns written plus as much of done as fits: first the tasks that only extend
// existing ranges, then the other ranges in order.
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

// bitWords returns the bits of the tasks [from, from+span), without trailing zero words.
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
