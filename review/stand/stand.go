// Package stand holds what the cases of the review share: the record of what was sent, answered and run, and
// users that tell the checker and the record what they see.
package stand

import (
	"context"
	"fmt"
	"io"
	"os"
	"sync"
	"time"

	"github.com/barrowbridge/barrowbridge/internal/checker"
	"github.com/barrowbridge/barrowbridge/internal/standin/site"
	"github.com/barrowbridge/barrowbridge/wire"
)

// Record writes what was sent, answered and run, with the seconds since it was made.
type Record struct {
	mu    sync.Mutex
	w     io.Writer
	began time.Time
}

// NewRecord returns a record that is written to w.
func NewRecord(w io.Writer) *Record { return &Record{w: w, began: time.Now()} }

// Line writes one line.
func (r *Record) Line(format string, a ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.w, "%8.3f "+format+"\n", append([]any{r.Since().Seconds()}, a...)...)
}

// Since returns the time since the record was made.
func (r *Record) Since() time.Duration { return time.Since(r.began) }

// Machine records an event on a machine.
func (r *Record) Machine(e site.Event) {
	switch e.Kind {
	case site.TaskStarted:
		r.Line("task %s (attempt %d) starts on %s", e.Task, e.Attempt, e.Machine)
	case site.TaskLeft:
		r.Line("task %s (attempt %d) leaves %s: %q", e.Task, e.Attempt, e.Machine, e.Cause)
	case site.MachineUp, site.MachineGone:
		r.Line("%s %s", e.Kind, e.Machine)
	}
}

// Users observes what users send and are answered. It implements load.Observer.
type Users struct {
	Site   *site.Site
	Record *Record
}

// Now returns the time of the site.
func (u Users) Now() time.Duration { return u.Site.Now() }

// Submitting is called before each job's first submission.
func (u Users) Submitting(spec wire.JobSpec) {
	u.Record.Line("user submits %s of %s: %d tasks of %g cpus", *spec.ID, *spec.Team, *spec.Tasks, *spec.CPUs)
}

// Submitted is called with the answer to a submission.
func (u Users) Submitted(sent time.Duration, id string, status int, st wire.JobStatus) {
	u.Record.Line("user is answered %d %s for the submission of %s", status, st.Status, id)
	u.Site.Check(func(now time.Duration, c *checker.Checker) { c.Submitted(now, sent, id, status, st) })
}

// Polled is called with the answer to a poll.
func (u Users) Polled(sent time.Duration, id string, status int, st wire.JobStatus) {
	if status != 200 || st.Status == wire.JobDone {
		u.Record.Line("user is answered %d %s for a poll of %s", status, st.Status, id)
	}
	u.Site.Check(func(now time.Duration, c *checker.Checker) { c.Polled(now, sent, id, status, st) })
}

// Aborting is called before a job is cancelled.
func (u Users) Aborting(string) {}

// Aborted is called with the answer to a cancellation.
func (u Users) Aborted(time.Duration, string, int, wire.JobStatus) {}

// Fail ends the program because the case cannot run.
func Fail(err error) {
	fmt.Fprintln(os.Stderr, "cannot run:", err)
	os.Exit(2)
}

// Ptr returns a pointer to a value.
func Ptr[T any](v T) *T { return &v }

// In returns a predicate that is true for the names.
func In(names ...string) func(string) bool {
	set := map[string]bool{}
	for _, n := range names {
		set[n] = true
	}
	return func(name string) bool { return set[name] }
}

// Sleep waits, or returns when the context ends.
func Sleep(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}
