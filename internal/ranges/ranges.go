// Package ranges implements sets of task indexes as ordered half-open ranges [from, to), which
// stay short while tasks complete roughly in order.
package ranges

import (
	"slices"
	"sort"
)

// Set is a set of task indexes, as ordered ranges that neither overlap nor touch.
type Set [][2]int

// Count returns the number of indexes in a list of ranges.
func Count(r [][2]int) int { return Set(r).Count() }

// Count returns the number of indexes in the set.
func (r Set) Count() int {
	n := 0
	for _, x := range r {
		n += x[1] - x[0]
	}
	return n
}

// Contains reports whether an index is in the set.
func (r Set) Contains(i int) bool {
	k := sort.Search(len(r), func(k int) bool { return r[k][1] > i })
	return k < len(r) && r[k][0] <= i
}

// Add returns the set with i added. It may change the receiver's ranges.
func (r Set) Add(i int) Set {
	k := sort.Search(len(r), func(k int) bool { return r[k][1] >= i })
	if k < len(r) && r[k][0] <= i && i < r[k][1] {
		return r
	}
	if k < len(r) && r[k][1] == i { // extend this range, possibly up to the next one
		r[k][1]++
		if k+1 < len(r) && r[k+1][0] == i+1 {
			r[k][1] = r[k+1][1]
			r = append(r[:k+1], r[k+2:]...)
		}
		return r
	}
	if k < len(r) && r[k][0] == i+1 {
		r[k][0] = i
		return r
	}
	r = append(r, [2]int{})
	copy(r[k+1:], r[k:])
	r[k] = [2]int{i, i + 1}
	return r
}

// Clone returns a copy that shares no memory with the set.
func (r Set) Clone() Set { return append(Set(nil), r...) }

// Union returns the union of two ordered sets.
func (r Set) Union(o Set) Set {
	switch {
	case len(o) == 0 || slices.Equal(r, o):
		return r
	case len(r) == 0:
		return o.Clone()
	}
	out := make(Set, 0, len(r)+len(o))
	for len(r)+len(o) > 0 {
		var x [2]int
		if len(o) == 0 || len(r) > 0 && r[0][0] <= o[0][0] {
			x, r = r[0], r[1:]
		} else {
			x, o = o[0], o[1:]
		}
		if n := len(out); n > 0 && x[0] <= out[n-1][1] {
			out[n-1][1] = max(out[n-1][1], x[1])
		} else {
			out = append(out, x)
		}
	}
	return out
}

// Minus returns the indexes that are in the set and not in the other.
func (r Set) Minus(o Set) Set {
	if len(o) == 0 {
		return r
	}
	var out Set
	for _, x := range r {
		from := x[0]
		for k := sort.Search(len(o), func(k int) bool { return o[k][1] > from }); k < len(o) && o[k][0] < x[1]; k++ {
			if o[k][0] > from {
				out = append(out, [2]int{from, o[k][0]})
			}
			from = max(from, o[k][1])
		}
		if from < x[1] {
			out = append(out, [2]int{from, x[1]})
		}
	}
	return out
}

// CountBelow returns the number of indexes in the set that are less than bound.
func (r Set) CountBelow(bound int) int {
	n := 0
	for _, x := range r {
		if x[0] >= bound {
			break
		}
		n += min(x[1], bound) - x[0]
	}
	return n
}
