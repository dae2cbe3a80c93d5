package mirror

import (
	"testing"
	"time"
)

// Writes that finish while a read of the changes is in flight need another read, since the one in flight
// may have been answered before them. An unanswered read must not hold up the next one for long.
func TestCatchUp(t *testing.T) {
	u := NewCatchUp(250 * time.Millisecond)
	expect := func(now time.Duration, want bool) {
		t.Helper()
		if got := u.Start(now); got != want {
			t.Errorf("at %v: read sent %v, want %v", now, got, want)
		}
	}
	expect(0, false)
	u.Need()
	u.Need()
	expect(0, true)
	expect(time.Second, false) // both writes are covered
	u.Need()
	expect(100*time.Millisecond, false)
	u.Finished()
	expect(100*time.Millisecond, true)
	u.Need()
	expect(200*time.Millisecond, false)
	expect(350*time.Millisecond, true) // the read at 100 ms has no answer yet
	u.Finished()
	u.Finished()
	expect(time.Second, false)
}
