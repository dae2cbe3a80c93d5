package wire

import (
	"fmt"
	"strconv"
	"strings"
)

// States of a task on a machine, and the causes of its end.
const (
	TaskPulling = "pulling"
	TaskRunning = "running"
	TaskSaving  = "saving"
	TaskEnded   = "ended"

	CauseDone   = "done"
	CauseHalted = "halted"
	CauseError  = "error"
	CauseFull   = "full"
	CauseInUse  = "in_use"
	CauseNoSuch = "no_such"
)

// Verbs of a command.
const (
	VerbRun   = "run"
	VerbStop  = "stop"
	VerbClear = "clear"
)

// Report is a worker's report of its state and its tasks.
type Report struct {
	Machine  string       `cbor:"host"`
	Addr     string       `cbor:"endpoint"`
	Type     string       `cbor:"flavour"`
	Zone     string       `cbor:"yard"`
	Spot     bool         `cbor:"lendable"`
	Session  uint64       `cbor:"tenure"`
	Seq      uint64       `cbor:"serial"`
	Token    uint64       `cbor:"baton"`
	NoticeS  *float64     `cbor:"warning_s"`
	Attempts []TaskReport `cbor:"pieces"`
}

// TaskReport is the state of one attempt on a machine.
type TaskReport struct {
	Task    string `cbor:"piece"`
	Attempt uint64 `cbor:"try"`
	Status  string `cbor:"status"`
	Cause   string `cbor:"cause,omitempty"`
	Saved   bool   `cbor:"kept,omitempty"`
}

// Command is one command to a worker.
type Command struct {
	Verb    string   `cbor:"verb"`
	Task    string   `cbor:"piece"`
	Attempt uint64   `cbor:"try"`
	GraceS  *float64 `cbor:"wind_down_s,omitempty"`
	// Sources are the addresses of workers that have or fetch the task's image and hand it on; without any
	// it is fetched from the store. A worker that does not know the field fetches it from the store.
	Sources []string `cbor:"sources,omitempty" msgpack:",omitempty"`
}

// ReportReply is the answer to a report.
type ReportReply struct {
	Token    uint64    `cbor:"baton"`
	Commands []Command `cbor:"orders"`
}

// Redirect is the body of a 421 answer: the controller to report to.
type Redirect struct {
	Holder string `cbor:"foreman,omitempty"`
}

// Orders is the body of POST /orders, a direct call to a worker.
type Orders struct {
	Token    uint64    `cbor:"baton"`
	Session  uint64    `cbor:"tenure"`
	Commands []Command `cbor:"orders"`
}

// TaskName returns the name of a job's task.
func TaskName(job string, index int) string { return job + "/" + strconv.Itoa(index) }

// ParseTask returns the job id and the index of a task's name.
func ParseTask(s string) (job string, index int, err error) {
	job, n, ok := strings.Cut(s, "/")
	if !ok || !ValidJobID(job) {
		return "", 0, fmt.Errorf("task %q: not a task name", s)
	}
	index, err = strconv.Atoi(n)
	if err != nil || index < 0 || index >= MaxTasks {
		return "", 0, fmt.Errorf("task %q: bad index", s)
	}
	return job, index, nil
}
