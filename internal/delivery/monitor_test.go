package delivery

import (
	"testing"
	"time"

	"github.com/barrowbridge/barrowbridge/wire"
)

// What a report shows of the answer before it, and how many such reports make a worker deaf.
func TestWhatReportsShow(t *testing.T) {
	run := []wire.Command{{Verb: wire.VerbRun, Task: "job-000001/0", Attempt: 1}}
	stop := []wire.Command{{Verb: wire.VerbStop, Task: "job-000001/0", Attempt: 1}}
	clr := []wire.Command{{Verb: wire.VerbClear, Task: "job-000001/0", Attempt: 1}}
	has := func(status string) []wire.TaskReport {
		return []wire.TaskReport{{Task: "job-000001/0", Attempt: 1, Status: status}}
	}
	const hears, misses, nothing = 1, -1, 0
	for name, c := range map[string]struct {
		told   []wire.Command
		token  uint64
		report wire.Report
		via    string
		lapsed bool
		shows  int
	}{
		"nothing was told":                {nil, 5, wire.Report{Seq: 2, Token: 5}, "", false, nothing},
		"a start taken":                   {run, 5, wire.Report{Seq: 2, Token: 5, Attempts: has(wire.TaskPulling)}, "", false, hears},
		"a start not taken":               {run, 5, wire.Report{Seq: 2, Token: 5}, "", false, misses},
		"a stop obeyed":                   {stop, 5, wire.Report{Seq: 2, Token: 5, Attempts: has(wire.TaskEnded)}, "", false, hears},
		"a stop not obeyed":               {stop, 5, wire.Report{Seq: 2, Token: 5, Attempts: has(wire.TaskRunning)}, "", false, misses},
		"cleared":                         {clr, 5, wire.Report{Seq: 2, Token: 5}, "", false, hears},
		"not cleared":                     {clr, 5, wire.Report{Seq: 2, Token: 5, Attempts: has(wire.TaskEnded)}, "", false, misses},
		"a higher token named":            {nil, 7, wire.Report{Seq: 2, Token: 7}, "", false, hears},
		"a higher token not named":        {nil, 7, wire.Report{Seq: 2, Token: 5}, "", false, misses},
		"another way, the next report":    {nil, 5, wire.Report{Seq: 2, Token: 5}, "c1", false, misses},
		"another way, one report lost":    {nil, 5, wire.Report{Seq: 3, Token: 5}, "c1", false, nothing},
		"its lease ended, though in time": {nil, 5, wire.Report{Seq: 3, Session: 2, Token: 5}, "", true, misses},
	} {
		t.Run(name, func(t *testing.T) {
			var e Monitor
			for k := 1; k <= 2; k++ {
				e.Answered(&wire.Report{Seq: 1, Token: 5}, c.token, "", c.told)
				e.ObserveReport(&c.report, c.via, c.lapsed)
				if want := c.shows == misses; e.MissesAnswers() != (want && k == 2) || e.Suspected() != (want && k == 1) {
					t.Fatalf("after %d: deaf %v, missed %v", k, e.MissesAnswers(), e.Suspected())
				}
			}
			e.Answered(&wire.Report{Seq: 1, Token: 5}, 9, "", nil)
			if e.ObserveReport(&wire.Report{Seq: 2, Token: 9}, "", false); e.MissesAnswers() || e.Suspected() {
				t.Error("hears, and still counts as deaf")
			}
		})
	}
	var e Monitor
	if e.CallUnanswered() {
		t.Error("a call alone that is not answered makes nobody deaf")
	}
	e.ObserveReport(&wire.Report{}, "", true)
	if !e.CallUnanswered() || !e.MissesAnswers() {
		t.Error("an answer missed, and a call not answered")
	}
	var f Monitor
	if !f.StartTest(1, true, 5*time.Second) || f.StartTest(2*time.Second, true, 5*time.Second) || !f.StartTest(7*time.Second, true, 5*time.Second) || f.StartTest(20*time.Second, false, 5*time.Second) {
		t.Error("odd reports are put to the test once in a while")
	}
}
