package core

import "sort"

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
