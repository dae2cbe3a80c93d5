package state

import (
	"net/http"
	"testing"
	"time"
)

// Lower limits apply at once: a stored value that exceeds them stays readable but can't be written again.
func TestLimitsFall(t *testing.T) {
	s := store(Limits{WriteRPS: 40, ValueBytes: 1024, TxnOps: 8})
	id, now := uint64(0), Time(0)
	do := func(c Call) Answer {
		id++
		return s.Do(now, id, c)[0]
	}
	large := raw(make([]int, 300)) // 601 bytes in JSON form
	put := func(n int) Call {
		var then []Change
		for k := range n {
			then = append(then, Change{Put: string(rune('a' + k)), Value: raw(k)})
		}
		return Call{Op: Commit, Txn: Txn{Then: then}}
	}
	if a := do(Call{Op: Commit, Txn: Txn{Then: []Change{{Put: "large", Value: large}}}}); a.Status != http.StatusOK {
		t.Fatal(a)
	}
	now += 2 * time.Second
	s.Limit(now, Limits{WriteRPS: 5, ValueBytes: 512, TxnOps: 4})
	if a := do(Call{Op: Get, Key: "large"}); a.Status != http.StatusOK {
		t.Errorf("read of a value stored before: %v", a)
	}
	for _, c := range []Call{put(5), {Op: Commit, Txn: Txn{Then: []Change{{Put: "large", Value: large}}}}} {
		if a := do(c); a.Status != http.StatusBadRequest {
			t.Errorf("write beyond the new limits: %v", a)
		}
	}
	accepted := 0
	for range 100 {
		now += 100 * time.Millisecond
		if do(put(1)).Status == http.StatusOK {
			accepted++
		}
	}
	if accepted < 50 || accepted > 55 {
		t.Errorf("%d changes in 10 s, want 50 to 55 at 5 per second with a burst of one second", accepted)
	}
	s.Limit(now, Limits{ValueBytes: 1024, TxnOps: 8})
	if a := do(put(8)); a.Status != http.StatusOK {
		t.Errorf("write after the limits were raised: %v", a)
	}
}
