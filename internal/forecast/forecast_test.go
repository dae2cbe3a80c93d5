package forecast

import (
	"testing"
	"time"
)

// The forecast of a class whose tasks run three times as long as estimated is corrected, that of
// another class is not. The upper bound covers nearly all tasks.
func TestBiasOfAClass(t *testing.T) {
	estimator := New(Params{PriorTasks: 4, MaxTasks: 50, PriorSpread: 0.4})
	if got := estimator.Typical("scan", 10); got != 10*time.Second {
		t.Errorf("typical time without observations: %v", got)
	}
	for i := range 200 {
		estimator.Record("scan", 10, time.Duration(25+i%11)*time.Second)
	}
	if f := estimator.Factor("scan"); f < 2.5 || f > 3.2 {
		t.Errorf("factor %.2f, want about 3, reduced by the weight of the prior", f)
	}
	if s := estimator.UpperBound("scan", 10); s < 33*time.Second || s > 60*time.Second {
		t.Errorf("upper bound %v", s)
	}
	if f := estimator.Factor("other"); f != 1 {
		t.Errorf("factor of another class: %.2f", f)
	}
	estimator.Record("scan", 0, time.Second) // services have no estimate
}
