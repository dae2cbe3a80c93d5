package reportsize

import (
	"math"
	"testing"

	"pgregory.net/rapid"

	"github.com/barrowbridge/barrowbridge/internal/tuning"
	"github.com/barrowbridge/barrowbridge/wire"
)

// Guards against reports that outgrow their bound as attempts go from state to state.
func TestNoReportOutgrowsItsBound(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		text := rapid.SampledFrom([]string{"n-000231", "", "ö\"\\<", "10.1.0.232:9000", "with\nlines"})
		notice := rapid.Float64Range(-math.MaxFloat64, math.MaxFloat64).Draw(t, "notice")
		report := wire.Report{
			Machine: text.Draw(t, "machine"),
			Addr:    text.Draw(t, "addr"),
			Type:    text.Draw(t, "type"),
			Zone:    text.Draw(t, "zone"),
			Session: rapid.Uint64().Draw(t, "session"),
			Seq:     rapid.Uint64().Draw(t, "seq"),
			Token:   rapid.Uint64().Draw(t, "token"),
			NoticeS: &notice,
		}
		job := wire.Job{ID: rapid.SampledFrom([]string{"job-000412", "job-999999999999999999"}).Draw(t, "job"), Tasks: rapid.IntRange(1, wire.MaxTasks).Draw(t, "tasks")}
		bound := Header(&report)
		for range rapid.IntRange(0, 40).Draw(t, "attempts") {
			entry := wire.TaskReport{
				Task:    wire.TaskName(job.ID, rapid.IntRange(0, job.Tasks-1).Draw(t, "index")),
				Attempt: rapid.Uint64().Draw(t, "attempt"),
				Status:  rapid.SampledFrom([]string{wire.TaskPulling, wire.TaskRunning, wire.TaskSaving, wire.TaskEnded}).Draw(t, "status"),
				Cause:   rapid.SampledFrom([]string{"", wire.CauseDone, wire.CauseHalted, wire.CauseError, wire.CauseFull, wire.CauseInUse, wire.CauseNoSuch}).Draw(t, "cause"),
				Saved:   rapid.Bool().Draw(t, "saved"),
			}
			report.Attempts = append(report.Attempts, entry)
			bound += JobEntry(&job)
		}
		raw, err := wire.Marshal(report)
		if err != nil {
			t.Fatal(err)
		}
		size, err := wire.JSONSize(raw)
		if err != nil || size > Bound(&report) || Bound(&report) > bound || len(raw) > Bound(&report) {
			t.Fatalf("%d bytes as JSON, %d as CBOR; bound %d, by job %d; %v", size, len(raw), Bound(&report), bound, err)
		}
	})
}

// The attempts to stop must be those of the lowest rank, of these the latest, and no more than needed.
func TestExcess(t *testing.T) {
	live := []Live[string]{{"urgent", 3, 100, 9}, {"old", 1, 100, 1}, {"new", 1, 100, 5}, {"middle", 2, 100, 2}}
	for available, want := range map[float64][]string{400: nil, 399: {"new"}, 300: {"new"}, 250: {"new", "old"}, 99: {"new", "old", "middle", "urgent"}} {
		got := Excess(append([]Live[string]{}, live...), available)
		if len(got) != len(want) {
			t.Errorf("%g bytes: stops %v, want %v", available, got, want)
			continue
		}
		for i := range want {
			if got[i] != want[i] {
				t.Errorf("%g bytes: stops %v, want %v", available, got, want)
			}
		}
	}
}

// An answer or a call with as many commands as allowed must fit into a body, whatever their names.
func TestCommandsFitIntoABody(t *testing.T) {
	task, grace := wire.TaskName("job-999999999999999999", wire.MaxTasks-1), longestFloat
	sources := make([]string, tuning.HandOnSources)
	for i := range sources {
		sources[i] = "255.255.255.255:65535"
	}
	for _, command := range []wire.Command{
		{Verb: wire.VerbRun, Task: task, Attempt: math.MaxUint64, Sources: sources},
		{Verb: wire.VerbStop, Task: task, Attempt: math.MaxUint64, GraceS: &grace},
		{Verb: wire.VerbClear, Task: task, Attempt: math.MaxUint64},
	} {
		commands := make([]wire.Command, tuning.MaxReplyCommands)
		for i := range commands {
			commands[i] = command
		}
		for _, message := range []any{wire.ReportReply{Token: math.MaxUint64, Commands: commands}, wire.Orders{Token: math.MaxUint64, Session: math.MaxUint64, Commands: commands}} {
			if size := encodedSize(message); size > wire.MaxBody {
				t.Errorf("%d commands %q take %d bytes", len(commands), command.Verb, size)
			}
		}
	}
}
