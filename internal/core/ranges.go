package core

import (
	"slices"
	"sort"
)

// ranges is a set of task indexes as ordered half-open ranges.
type ranges [][2]int

func countRanges(r [][2]int) int { return ranges(r).count() }

func (r ranges) count() int {
	n := 0
	for _, x := range r {
		n += x[1] - x[0]
	}
	return n
}

func (r ranges) has(i int) bool {
	k := sort.Search(len(r), func(k int) bool { return r[k][1] > i })
	return k < len(r) && r[k][0] <= i
}

// add returns the set with i in it.
func (r ranges) add(i int) ranges {
	k := sort.Search(len(r), func(k int) bool { return r[k][1] >= i })
	if k < len(r) && r[k][0] <= i && i < r[k][1] {
		return r
	}
	if k < len(r) && r[k][1] == i { // grows this one, maybe up to the next
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

func (r ranges) clone() ranges { return append(ranges(nil), r...) }

// union returns the set with all of another, ordered one in it.
func (r ranges) union(o ranges) ranges {
	switch {
	case len(o) == 0 || slices.Equal(r, o):
		return r
	case len(r) == 0:
		return o.clone()
	}
	out := make(ranges, 0, len(r)+len(o))
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

// below counts the indexes of the set under a bound.
func (r ranges) below(bound int) int {
	n := 0
	for _, x := range r {
		if x[0] >= bound {
			break
		}
		n += min(x[1], bound) - x[0]
	}
	return n
}
