package callqueue

import (
	"fmt"
	"testing"
	"time"
)

const sec = time.Second

func TestUrgentFirstWithinRateLimit(t *testing.T) {
	queue := New[string](Limits{PerSecond: 2, Burst: 2, ScanLimit: 10, MaxAge: 10 * sec})
	queue.Request(0, "a", false)
	queue.Request(0, "b", false)
	queue.Request(0, "c", true)
	queue.Request(0, "b", true) // moves up, behind c
	queue.Request(0, "b", false)
	all := func(string) Decision { return Call }
	if got := fmt.Sprint(queue.Take(0, all)); got != "[c b]" {
		t.Errorf("first %s", got)
	}
	if got := queue.Take(100*time.Millisecond, all); got != nil {
		t.Errorf("beyond the rate limit: %v", got)
	}
	if got := fmt.Sprint(queue.Take(sec, all)); got != "[a]" || queue.Len() != 0 {
		t.Errorf("then %s, %d left", got, queue.Len())
	}
}

func TestWaitingMachineDoesNotBlockOthers(t *testing.T) {
	queue := New[string](Limits{PerSecond: 100, Burst: 100, ScanLimit: 3, MaxAge: 2 * sec})
	for _, h := range []string{"never", "later", "now", "beyond the scan limit"} {
		queue.Request(0, h, false)
	}
	decisions := map[string]Decision{"never": Forget, "later": Wait, "now": Call, "beyond the scan limit": Call}
	decide := func(h string) Decision { return decisions[h] }
	if got := fmt.Sprint(queue.Take(sec, decide)); got != "[now]" {
		t.Errorf("first turn %s", got)
	}
	decisions["later"] = Call
	queue.Remove("beyond the scan limit")
	if got := fmt.Sprint(queue.Take(sec, decide)); got != "[later]" || queue.Len() != 0 {
		t.Errorf("second turn %s, %d left", got, queue.Len())
	}
	queue.Request(sec, "stuck", false)
	decisions["stuck"] = Wait
	if queue.Take(2*sec, decide); queue.Len() != 1 {
		t.Error("forgotten too soon")
	}
	if queue.Take(4*sec, decide); queue.Len() != 0 {
		t.Error("never forgotten")
	}
}
