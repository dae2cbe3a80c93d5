package forecast

import (
	"testing"
	"time"
)

// A class whose tasks run three times as long as their owners say is forecast so, another is
// not; what surely ends by then bounds nearly all of them.
func TestBiasOfAClass(t *testing.T) {
	b := New(Params{PriorTasks: 4, MaxTasks: 50, PriorSpread: 0.4})
	if got := b.Typical("scan", 10); got != 10*time.Second {
		t.Errorf("unseen: %v", got)
	}
	for i := range 200 {
		b.Record("scan", 10, time.Duration(25+i%11)*time.Second)
	}
	if f := b.Factor("scan"); f < 2.5 || f > 3.2 {
		t.Errorf("factor %.2f, want about 3 less what the prior holds back", f)
	}
	if s := b.UpperBound("scan", 10); s < 33*time.Second || s > 60*time.Second {
		t.Errorf("surely within %v", s)
	}
	if f := b.Factor("other"); f != 1 {
		t.Errorf("another class: %.2f", f)
	}
	b.Record("scan", 0, time.Second) // a service has no estimate
}
