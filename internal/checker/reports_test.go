package checker

import (
	"math"
	"testing"

	"github.com/barrowbridge/barrowbridge/wire"
)

// Guards against overlooking a report that is too large: with the longest names that is one of 600 attempts.
func TestReportsThatAreTooLarge(t *testing.T) {
	for job, fits := range map[string]int{"job-000402": 700, "job-999999999999999999": 500} {
		for _, attempts := range []int{fits, 2 * fits} {
			c := New(Params{})
			report := wire.Report{Machine: "n-000231"}
			for i := range attempts {
				report.Attempts = append(report.Attempts, wire.TaskReport{Task: wire.TaskName(job, 90000+i), Attempt: math.MaxUint64, Status: wire.TaskRunning})
			}
			c.Reported(0, report.Machine, &report)
			if broken := len(c.Broken()) > 0; broken != (attempts > fits) {
				t.Errorf("%d attempts of %s: rule broken %v", attempts, job, broken)
			}
		}
		c := New(Params{})
		report := wire.Report{Machine: "n-000231"}
		for i := range 800 {
			report.Attempts = append(report.Attempts, wire.TaskReport{Task: wire.TaskName(job, 90000+i), Attempt: math.MaxUint64, Status: wire.TaskEnded, Cause: wire.CauseHalted, Saved: true})
		}
		if c.Reported(0, report.Machine, &report); len(c.Broken()) == 0 {
			t.Errorf("800 ended attempts of %s are not too large", job)
		}
	}
}
