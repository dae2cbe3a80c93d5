package delivery

import (
	"testing"
	"time"

	"github.com/barrowbridge/barrowbridge/wire"
)

// Two reports in a row that prove a missed answer make a worker count as not receiving answers; one
// that proves a received answer ends that.
func TestObserveReport(t *testing.T) {
	run := []wire.Command{{Verb: wire.VerbRun, Task: "job-000001/0", Attempt: 1}}
	stop := []wire.Command{{Verb: wire.VerbStop, Task: "job-000001/0", Attempt: 1}}
	cleared := []wire.Command{{Verb: wire.VerbClear, Task: "job-000001/0", Attempt: 1}}
	has := func(status string) []wire.TaskReport {
		return []wire.TaskReport{{Task: "job-000001/0", Attempt: 1, Status: status}}
	}
	const received, missed, inconclusive = 1, -1, 0
	for name, c := range map[string]struct {
		commands []wire.Command
		token    uint64
		report   wire.Report
		via      string
		lapsed   bool
		want     int
	}{
		"no commands":                           {nil, 5, wire.Report{Seq: 2, Token: 5}, "", false, inconclusive},
		"start executed":                        {run, 5, wire.Report{Seq: 2, Token: 5, Attempts: has(wire.TaskPulling)}, "", false, received},
		"start not executed":                    {run, 5, wire.Report{Seq: 2, Token: 5}, "", false, missed},
		"stop executed":                         {stop, 5, wire.Report{Seq: 2, Token: 5, Attempts: has(wire.TaskEnded)}, "", false, received},
		"stop not executed":                     {stop, 5, wire.Report{Seq: 2, Token: 5, Attempts: has(wire.TaskRunning)}, "", false, missed},
		"cleared":                               {cleared, 5, wire.Report{Seq: 2, Token: 5}, "", false, received},
		"not cleared":                           {cleared, 5, wire.Report{Seq: 2, Token: 5, Attempts: has(wire.TaskEnded)}, "", false, missed},
		"a higher token named":                  {nil, 7, wire.Report{Seq: 2, Token: 7}, "", false, received},
		"a higher token not named":              {nil, 7, wire.Report{Seq: 2, Token: 5}, "", false, missed},
		"another route, the next report":        {nil, 5, wire.Report{Seq: 2, Token: 5}, "c1", false, missed},
		"another route, one report lost":        {nil, 5, wire.Report{Seq: 3, Token: 5}, "c1", false, inconclusive},
		"lease expired though answered in time": {nil, 5, wire.Report{Seq: 3, Session: 2, Token: 5}, "", true, missed},
	} {
		t.Run(name, func(t *testing.T) {
			var monitor Monitor
			for round := 1; round <= 2; round++ {
				monitor.Answered(&wire.Report{Seq: 1, Token: 5}, c.token, "", c.commands)
				monitor.ObserveReport(&c.report, c.via, c.lapsed)
				if wantMissed := c.want == missed; monitor.MissesAnswers() != (wantMissed && round == 2) || monitor.Suspected() != (wantMissed && round == 1) {
					t.Fatalf("after %d: misses answers %v, suspected %v", round, monitor.MissesAnswers(), monitor.Suspected())
				}
			}
			monitor.Answered(&wire.Report{Seq: 1, Token: 5}, 9, "", nil)
			if monitor.ObserveReport(&wire.Report{Seq: 2, Token: 9}, "", false); monitor.MissesAnswers() || monitor.Suspected() {
				t.Error("received an answer, and still counts as missing them")
			}
		})
	}
	var monitor Monitor
	if monitor.CallUnanswered() {
		t.Error("an unanswered call alone must not count as a missed answer")
	}
	monitor.ObserveReport(&wire.Report{}, "", true)
	if !monitor.CallUnanswered() || !monitor.MissesAnswers() {
		t.Error("a missed answer and an unanswered call must count as two missed answers")
	}
	var tested Monitor
	if !tested.StartTest(1, true, 5*time.Second) || tested.StartTest(2*time.Second, true, 5*time.Second) || !tested.StartTest(7*time.Second, true, 5*time.Second) || tested.StartTest(20*time.Second, false, 5*time.Second) {
		t.Error("suspicious reports must be tested once per interval")
	}
}
