package worker

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/barrowbridge/barrowbridge/wire"
)

const sec = time.Second

func ptr[T any](v T) *T { return &v }

// bench drives one worker with one job on a simulated clock.
type bench struct {
	t    *testing.T
	w    *Worker
	work *Work
	now  Time
	last Send
	log  []string

	lease time.Duration
}

func newBench(t *testing.T, j Job) *bench {
	b := &bench{t: t, work: NewWork(), lease: time.Hour}
	b.work.Upload("job-1", j)
	b.add("n-1")
	return b
}

func (b *bench) add(name string) {
	b.w = New(b.now, wire.MachineInfo{Name: name, Addr: "x:1"}, Params{Report: 2 * sec, Lease: b.lease, Nodes: []string{"c0", "c1", "c2"},
		Type: wire.MachineType{CPUs: 4, MemoryGB: 8, FetchGBps: 1, CacheGB: 3}}, b.work, rand.New(rand.NewPCG(1, 1)))
}

func (b *bench) take(list []any) {
	for _, e := range list {
		switch v := e.(type) {
		case Send:
			b.last = v
			b.log = append(b.log, fmt.Sprintf("%v to %s", b.now, v.Node))
		case Started:
			b.log = append(b.log, fmt.Sprintf("%v started %s", b.now, v.Task))
		case Left:
			b.log = append(b.log, fmt.Sprintf("%v left %s %s", b.now, v.Task, v.Cause))
		}
	}
}

// run simulates d, stepping to each time that Next returns.
func (b *bench) run(d time.Duration) {
	for end := b.now + d; b.now < end; {
		at, ok := b.w.Next()
		if !ok || at > end {
			at = end
		}
		b.now = max(at, b.now+time.Millisecond)
		b.take(b.w.Advance(b.now))
	}
}

func (b *bench) answer(status int, holder string, token uint64, cmds ...wire.Command) {
	b.take(b.w.Answered(b.now, b.last.ID, Outcome{status, holder, wire.ReportReply{Token: token, Commands: cmds}}))
}

func (b *bench) orders(token, session uint64, cmds ...wire.Command) int {
	status, _, out := b.w.Orders(b.now, wire.Orders{Token: token, Session: session, Commands: cmds})
	b.take(out)
	return status
}

func (b *bench) state(task string, try uint64) string {
	for _, a := range b.w.Attempts() {
		if a.Task == task && a.Attempt == try {
			return a.Status + a.Cause
		}
	}
	return ""
}

func (b *bench) want(what string, got, want any) {
	b.t.Helper()
	if fmt.Sprint(got) != fmt.Sprint(want) {
		b.t.Errorf("%s: %v, want %v", what, got, want)
	}
}

func runCmd(task string, try uint64) wire.Command {
	return wire.Command{Verb: wire.VerbRun, Task: task, Attempt: try}
}

func batch(tasks int, run time.Duration) Job {
	return Job{Shape: wire.ShapeBatch, Tasks: tasks, CPUs: 1, MemoryGB: 1, Image: "img", ImageGB: 2, Run: func(int) time.Duration { return run }}
}

// The worker reports to the node that PROTOCOL specifies after each kind of answer, executes only
// commands with a valid token and session, and kills all tasks when its lease runs out.
func TestReportsTokensAndLease(t *testing.T) {
	b := newBench(t, batch(4, 100*sec))
	b.lease = 10 * sec
	b.add("n-1")
	b.run(10 * time.Millisecond)
	b.want("first node", b.last.Node, "c0")
	b.answer(421, "c2", 0)
	b.run(400 * time.Millisecond)
	b.want("sent to c2", b.last.Node, "c2")
	b.answer(421, "c2", 0) // redirects to the node that answered
	b.run(990 * time.Millisecond)
	b.want("no report before 1 s", b.last.Node, "c2")
	b.run(20 * time.Millisecond)
	b.want("next node", b.last.Node, "c0")
	b.run(4100 * time.Millisecond) // no answer within 4 s
	b.run(1000 * time.Millisecond)
	b.want("next node after a timeout", b.last.Node, "c1")
	b.answer(200, "", 7, runCmd("job-1/0", 1))
	b.run(2100 * time.Millisecond) // 2 GB at 1 GB/s
	b.want("runs", b.state("job-1/0", 1), "running")
	b.want("token in report", b.last.Report.Token, uint64(7))
	b.answer(200, "", 6, runCmd("job-1/1", 2))
	b.want("a lower token executes nothing", b.state("job-1/1", 2), "")
	b.want("direct command with a lower token", b.orders(6, 1, runCmd("job-1/1", 2)), 409)
	b.want("direct command with another session", b.orders(7, 2, runCmd("job-1/1", 2)), 409)
	b.want("direct", b.orders(7, 1, runCmd("job-1/1", 2)), 200)
	b.run(30 * sec) // direct commands do not renew the lease
	b.want("attempts after the lease ran out", len(b.w.Attempts()), 0)
	r, _ := b.w.Inspect(b.now)
	if r.Session < 2 || r.Token != 7 {
		t.Errorf("after the lease ran out: session %d, token %d, want at least 2 and 7", r.Session, r.Token)
	}
}

// Start commands are refused as PROTOCOL specifies, a known attempt is not started again until it
// is cleared, and the result of a task survives.
func TestCommands(t *testing.T) {
	b := newBench(t, batch(9, 5*sec))
	do := func(c ...wire.Command) { b.orders(1, 1, c...) }
	do(runCmd("job-1/0", 1), runCmd("job-1/0", 2), runCmd("job-1/9", 1), runCmd("job-2/0", 1), runCmd("nonsense", 1))
	b.want("fetching", b.state("job-1/0", 1), "pulling")
	b.want("another attempt of a task on the machine", b.state("job-1/0", 2), "endedin_use")
	b.want("no such task", b.state("job-1/9", 1), "endedno_such")
	b.want("no such job", b.state("job-2/0", 1), "endedno_such")
	b.want("malformed task name", b.state("nonsense", 1), "endedno_such")
	do(runCmd("job-1/1", 1), runCmd("job-1/2", 1), runCmd("job-1/3", 1), runCmd("job-1/4", 1))
	b.want("fetching tasks count as used capacity", b.state("job-1/4", 1), "endedfull")
	do(wire.Command{Verb: wire.VerbStop, Task: "job-1/3", Attempt: 1, GraceS: ptr(10.0)})
	b.want("stopped before it ran", b.state("job-1/3", 1), "endedhalted")
	b.run(7500 * time.Millisecond)
	b.want("complete", b.state("job-1/0", 1), "endeddone")
	do(runCmd("job-1/0", 1))
	b.want("start of a known attempt has no effect", b.state("job-1/0", 1), "endeddone")
	do(wire.Command{Verb: wire.VerbClear, Task: "job-1/0", Attempt: 1}, runCmd("job-1/0", 1))
	b.want("started again after clear, with its result kept", b.state("job-1/0", 1), "endeddone")
	b.want("done tasks", b.work.Done("job-1"), 3)
}

// A task with checkpoints saves when it is stopped with a long enough grace period, and resumes from
// the checkpoint on another machine. A second stop without a grace period ends the save. A task that
// exits at once keeps its last periodic checkpoint.
func TestCheckpoints(t *testing.T) {
	j := batch(2, 20*sec)
	j.CheckpointEvery, j.Save, j.ImageGB = 3*sec, 2*sec, 0
	b := newBench(t, j)
	b.orders(1, 1, runCmd("job-1/0", 1), runCmd("job-1/1", 1))
	b.run(8 * sec)
	stop := func(task string, grace float64) {
		b.orders(1, 1, wire.Command{Verb: wire.VerbStop, Task: task, Attempt: 1, GraceS: &grace})
	}
	stop("job-1/0", 5)
	stop("job-1/1", 1) // too short to save
	b.want("saves", b.state("job-1/0", 1), "saving")
	b.want("exits at once", b.state("job-1/1", 1), "endedhalted")
	b.run(2100 * time.Millisecond)
	b.want("saved", b.state("job-1/0", 1), "endedhalted")
	b.want("progress of the saved task", b.work.saved["job-1/0"].Round(100*time.Millisecond), 8*sec)
	b.want("periodic checkpoint of the other task", b.work.saved["job-1/1"], 6*sec)
	b.add("n-2")
	b.orders(1, 1, runCmd("job-1/0", 2))
	b.run(13 * sec / 2)
	stop2 := 9.0
	b.orders(1, 1, wire.Command{Verb: wire.VerbStop, Task: "job-1/0", Attempt: 2, GraceS: &stop2})
	zero := 0.0
	b.orders(1, 1, wire.Command{Verb: wire.VerbStop, Task: "job-1/0", Attempt: 2, GraceS: &zero})
	b.want("save ended by a second stop", b.state("job-1/0", 2), "endedhalted")
}

// An image is fetched once for all tasks, concurrent fetches share the rate, the least recently used
// images are evicted, and a fetch that no task waits for is abandoned.
func TestImages(t *testing.T) {
	b := newBench(t, batch(4, 1*sec))
	for i, id := range []string{"job-2", "job-3"} {
		j := batch(4, 100*sec)
		j.Image = fmt.Sprint("img", i)
		b.work.Upload(id, j)
	}
	b.orders(1, 1, runCmd("job-1/0", 1), runCmd("job-1/1", 1), runCmd("job-2/0", 1))
	b.run(3900 * time.Millisecond)
	b.want("two images share the rate", b.state("job-1/0", 1), "pulling")
	b.run(200 * time.Millisecond)
	b.want("one fetch for both", b.state("job-1/0", 1)+b.state("job-1/1", 1), "runningrunning")
	b.run(2 * sec)
	b.want("an unused image of 2 GB is evicted from a full cache of 3 GB", b.w.images["img"] == nil, true)
	b.orders(1, 1, runCmd("job-3/0", 1), wire.Command{Verb: wire.VerbStop, Task: "job-3/0", Attempt: 1})
	b.want("a fetch without a task is abandoned", b.w.images["img1"] == nil, true)
}

// A gang makes progress only while all its tasks are on machines. A sick machine fails its tasks, one
// that is sick under load only while it is loaded. A machine that hangs makes no progress.
func TestGangSickAndHung(t *testing.T) {
	g := batch(2, 4*sec)
	g.Shape, g.ImageGB = wire.ShapeGang, 0
	b := newBench(t, g)
	b.orders(1, 1, runCmd("job-1/0", 1))
	b.run(6 * sec)
	b.want("waits for its gang", b.state("job-1/0", 1), "running")
	b.orders(1, 1, runCmd("job-1/1", 1))
	b.run(4100 * time.Millisecond)
	b.want("together", b.state("job-1/0", 1)+b.state("job-1/1", 1), "endeddoneendeddone")

	s := batch(4, 8*sec)
	s.ImageGB = 0
	b = newBench(t, s)
	b.w.Fault = Fault{Sick: true, SickAbove: 1.5}
	b.orders(1, 1, runCmd("job-1/0", 1))
	b.run(3 * sec)
	b.want("healthy under low load", b.state("job-1/0", 1), "running")
	b.orders(1, 1, runCmd("job-1/1", 1))
	b.run(1100 * time.Millisecond)
	if got := b.state("job-1/0", 1) + b.state("job-1/1", 1); got != "endederrorrunning" && got != "endederrorendederror" {
		t.Errorf("under load: %s", got)
	}

	b = newBench(t, s)
	b.orders(1, 1, runCmd("job-1/0", 1))
	b.run(2 * sec)
	b.w.Fault.Hung = true
	b.run(5 * sec)
	b.take(b.w.Resume(b.now))
	b.run(2500 * time.Millisecond) // 4.5 s of run time of 8 s; the lease has not run out
	b.want("made no progress while it hung", b.state("job-1/0", 1), "running")
}
