package callqueue

import (
	"fmt"
	"testing"
	"time"
)

const sec = time.Second

func TestUrgentFirstAndPaced(t *testing.T) {
	d := New[string](Limits{PerSecond: 2, Burst: 2, ScanLimit: 10, MaxAge: 10 * sec})
	d.Request(0, "a", false)
	d.Request(0, "b", false)
	d.Request(0, "c", true)
	d.Request(0, "b", true) // moves up, behind c
	d.Request(0, "b", false)
	all := func(string) Decision { return Call }
	if got := fmt.Sprint(d.Take(0, all)); got != "[c b]" {
		t.Errorf("first %s", got)
	}
	if got := d.Take(100*time.Millisecond, all); got != nil {
		t.Errorf("beyond the pace: %v", got)
	}
	if got := fmt.Sprint(d.Take(sec, all)); got != "[a]" || d.Len() != 0 {
		t.Errorf("then %s, %d left", got, d.Len())
	}
}

func TestOneThatIsNotReadyHoldsUpNobody(t *testing.T) {
	d := New[string](Limits{PerSecond: 100, Burst: 100, ScanLimit: 3, MaxAge: 2 * sec})
	for _, h := range []string{"never", "later", "now", "beyond the look"} {
		d.Request(0, h, false)
	}
	say := map[string]Decision{"never": Forget, "later": Wait, "now": Call, "beyond the look": Call}
	ask := func(h string) Decision { return say[h] }
	if got := fmt.Sprint(d.Take(sec, ask)); got != "[now]" {
		t.Errorf("first turn %s", got)
	}
	say["later"] = Call
	d.Remove("beyond the look")
	if got := fmt.Sprint(d.Take(sec, ask)); got != "[later]" || d.Len() != 0 {
		t.Errorf("second turn %s, %d left", got, d.Len())
	}
	d.Request(sec, "stuck", false)
	say["stuck"] = Wait
	if d.Take(2*sec, ask); d.Len() != 1 {
		t.Error("forgotten too soon")
	}
	if d.Take(4*sec, ask); d.Len() != 0 {
		t.Error("kept for ever")
	}
}
