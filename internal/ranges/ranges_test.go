package ranges

import (
	"testing"

	"github.com/google/go-cmp/cmp"
	"pgregory.net/rapid"
)

func TestRangesAreSets(t *testing.T) {
	draw := func(t *rapid.T, name string) (r Set, set map[int]bool) {
		set = map[int]bool{}
		for _, k := range rapid.SliceOf(rapid.IntRange(0, 30)).Draw(t, name) {
			r, set[k] = r.Add(k), true
		}
		return r, set
	}
	rapid.Check(t, func(t *rapid.T) {
		a, in := draw(t, "a")
		b, more := draw(t, "b")
		for k := range more {
			in[k] = true
		}
		less := a.Minus(b)
		for k := range 32 {
			if less.Contains(k) != (in[k] && !more[k]) {
				t.Fatalf("%v without %v is %v", a, b, less)
			}
		}
		u, bound := a.Union(b), rapid.IntRange(0, 32).Draw(t, "bound")
		n := 0
		for k := range 32 {
			if u.Contains(k) != in[k] {
				t.Fatalf("%v with %v is %v", a, b, u)
			}
			if in[k] && k < bound {
				n++
			}
		}
		if u.Count() != len(in) || u.CountBelow(bound) != n {
			t.Fatalf("%v: %d in all, %d below %d", u, u.Count(), u.CountBelow(bound), bound)
		}
		for i := 1; i < len(u); i++ {
			if u[i][0] <= u[i-1][1] {
				t.Fatalf("%v is not in order, or has adjacent ranges that touch", u)
			}
		}
	})
}

func TestRanges(t *testing.T) {
	var r Set
	for _, i := range []int{5, 3, 4, 9, 0, 4, 8} {
		r = r.Add(i)
	}
	if diff := cmp.Diff(Set{{0, 1}, {3, 6}, {8, 10}}, r); diff != "" {
		t.Fatal(diff)
	}
	if r.Count() != 6 || !r.Contains(4) || r.Contains(6) || r.Contains(2) {
		t.Fatalf("count %d of %v", r.Count(), r)
	}
}
