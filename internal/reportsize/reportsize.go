// Package reportsize bounds the size of the reports of workers. A report lists all attempts on a
// machine and must not be larger than a request body may be, so the attempts on a machine are limited
// by the entries that they take there, as they are by its CPUs and its memory.
//
// Sizes are bytes of the JSON form, in which the protocol counts its limits. The CBOR form of a report
// is no larger: only its floating-point numbers, of which it has one, may take more bytes.
package reportsize

import (
	"encoding/json"
	"math"
	"slices"

	"github.com/barrowbridge/barrowbridge/internal/placement"
	"github.com/barrowbridge/barrowbridge/wire"
)

const (
	// Limit is the largest report that the protocol allows.
	Limit = wire.MaxBody
	// MaxRead is the largest report that is read. One above Limit is refused by nobody who could
	// bring it below: its worker would lose its lease and all its tasks.
	MaxRead = 8 * wire.MaxBody
	// TypicalHeader stands for the header of a machine that has not reported yet.
	TypicalHeader = 512
)

// longestFloat is a number whose shortest decimal form has the most characters that any has.
var longestFloat = -math.SmallestNonzeroFloat64 * (1<<52 - 1)

// entryOverhead is the size of the longest entry of a report with an empty task name, and a separator.
var entryOverhead = func() int {
	overhead := 0
	for _, status := range []string{wire.TaskPulling, wire.TaskRunning, wire.TaskSaving, wire.TaskEnded} {
		for _, cause := range []string{wire.CauseDone, wire.CauseHalted, wire.CauseError, wire.CauseFull, wire.CauseInUse, wire.CauseNoSuch} {
			entry := wire.TaskReport{Attempt: math.MaxUint64, Status: status, Cause: cause, Saved: true}
			overhead = max(overhead, encodedSize(entry))
		}
	}
	return overhead + len(",") + len("false") - len("true")
}()

// headerOverhead is the size of a report with no attempts, empty names and the longest numbers.
var headerOverhead = encodedSize(wire.Report{Session: math.MaxUint64, Seq: math.MaxUint64, Token: math.MaxUint64, NoticeS: &longestFloat, Attempts: []wire.TaskReport{}})

// ShortestEntry is the least that the longest form of any entry takes.
var ShortestEntry = Entry(wire.TaskName("job-000000", 0))

// LongestEntry is the most that an entry of any job accepted takes.
var LongestEntry = Entry(wire.TaskName("job-000000000000000000", wire.MaxTasks-1))

// encodedSize returns the size of a message.
func encodedSize(message any) int {
	raw, err := wire.Marshal(message)
	if err != nil {
		panic(err) // the messages here are fixed
	}
	size, err := wire.JSONSize(raw)
	if err != nil {
		panic(err)
	}
	return size
}

// textSize returns the size of a text without its quotes.
func textSize(text string) int {
	plain := func(c byte) bool {
		return c >= ' ' && c < 0x7f && c != '"' && c != '\\' && c != '<' && c != '>' && c != '&'
	}
	for i := range len(text) {
		if !plain(text[i]) {
			quoted, _ := json.Marshal(text) // never fails for a string
			return len(quoted) - len(`""`)
		}
	}
	return len(text)
}

// Entry returns the most that an attempt's entry takes, whatever becomes of the attempt.
func Entry(task string) int { return entryOverhead + textSize(task) }

// JobEntry returns the most that an entry of any task of a job takes.
func JobEntry(job *wire.Job) int { return Entry(wire.TaskName(job.ID, max(job.Tasks-1, 0))) }

// Header returns the most that all but the entries of a machine's report takes, with the names that
// the report has.
func Header(report *wire.Report) int {
	return headerOverhead + textSize(report.Machine) + textSize(report.Addr) + textSize(report.Type) + textSize(report.Zone)
}

// Available returns what a machine's report has for entries, given its header.
func Available(header int) float64 { return float64(Limit - header) }

// Bound returns the most that a report may become while its attempts stay the same.
func Bound(report *wire.Report) int {
	size := Header(report)
	for i := range report.Attempts {
		size += Entry(report.Attempts[i].Task)
	}
	return size
}

// Exceeds reports whether a report is larger than the protocol allows.
func Exceeds(report *wire.Report) bool {
	if Bound(report) <= Limit {
		return false // most reports are far smaller and need no exact size
	}
	raw, err := wire.Marshal(report)
	return err == nil && !wire.FitsIn(raw, Limit)
}

// Live is an attempt that has not ended, as a candidate to be stopped.
type Live[T any] struct {
	Handle T
	Rank   int // of the tier it is served in
	Bytes  float64
	Since  int64 // when it began to run, later for less work lost
}

// Excess returns the attempts to stop so that the entries of the others fit into what is available:
// those of the lowest rank first, and of these the ones that have run for the shortest time.
func Excess[T any](live []Live[T], available float64) (stop []T) {
	slices.SortStableFunc(live, func(a, b Live[T]) int {
		if a.Rank != b.Rank {
			return a.Rank - b.Rank
		}
		return int(max(-1, min(1, b.Since-a.Since)))
	})
	for i := range live {
		available -= live[i].Bytes
	}
	for i := 0; i < len(live) && available < 0; i++ {
		available += live[i].Bytes
		stop = append(stop, live[i].Handle)
	}
	return stop
}

// Full reports whether a machine with this much left has no room for any further entry.
func Full(free placement.Size) bool { return free.ReportBytes < float64(ShortestEntry) }
