package metrics

import (
	"net/http/httptest"
	"strings"
	"testing"
)

// Chains takes totals, and the counters have the value of the last total.
func TestChains(t *testing.T) {
	m := New(func() float64 { return 0 })
	m.Chains(3, 0, 0)
	m.Chains(1, 2, 1)
	m.Chains(0, 3, 4)
	w := httptest.NewRecorder()
	m.Handler().ServeHTTP(w, httptest.NewRequest("GET", "/metrics", nil))
	for _, want := range []string{"\nbarrowbridge_jobs_waiting 0\n", "\nbarrowbridge_jobs_released_total 3\n", "\nbarrowbridge_jobs_cancelled_with_total 4\n"} {
		if !strings.Contains(w.Body.String(), want) {
			t.Errorf("%q is missing", want)
		}
	}
}
