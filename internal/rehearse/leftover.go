package rehearse

import (
	"fmt"
	"os"
	"slices"
	"strings"

	"github.com/prometheus/procfs"
)

// Process identifies a process beyond its number, which the system gives to
// others in time: by when it started, in which life of the machine, and by the
// settings file that only it was given.
type Process struct {
	PID      int    `json:"pid"`
	Started  uint64 `json:"started"` // clock ticks since the machine's start
	Boot     string `json:"boot"`    // the machine's life
	Settings string `json:"settings"`
}

func bootID() string {
	b, err := os.ReadFile("/proc/sys/kernel/random/boot_id")
	if err != nil {
		return ""
	}
	return strings.TrimSpace(string(b))
}

// Identify describes a running process that was given a settings file.
func Identify(pid int, settings string) (Process, error) {
	p, err := procfs.NewProc(pid)
	if err != nil {
		return Process{}, err
	}
	st, err := p.Stat()
	if err != nil {
		return Process{}, err
	}
	return Process{PID: pid, Started: st.Starttime, Boot: bootID(), Settings: settings}, nil
}

// same tells whether the process under this number is the one described.
func (p Process) same() bool {
	if p.Boot == "" || p.Boot != bootID() {
		return false
	}
	now, err := Identify(p.PID, p.Settings)
	if err != nil || now.Started != p.Started {
		return false
	}
	proc, err := procfs.NewProc(p.PID)
	if err != nil {
		return false
	}
	args, err := proc.CmdLine()
	return err == nil && slices.Contains(args, p.Settings)
}

// End kills the process if it is still there, and it alone. It tells whether it was.
func (p Process) End() (bool, error) {
	h, err := os.FindProcess(p.PID) // holds this very process, whoever gets its number later
	if err != nil {
		return false, nil
	}
	defer h.Release() //nolint:errcheck // nothing depends on it
	if !p.same() {
		return false, nil
	}
	if err := h.Kill(); err != nil && err != os.ErrProcessDone {
		return false, fmt.Errorf("process %d: %w", p.PID, err)
	}
	return true, nil
}

// Leftovers lists the processes that a record says were started and not ended.
func Leftovers(entries []Entry) (out []Process) {
	open := map[Process]bool{}
	for _, e := range entries {
		switch {
		case e.Process == nil:
		case e.What == "process":
			open[*e.Process] = true
			out = append(out, *e.Process)
		case e.What == "ended":
			delete(open, *e.Process)
		}
	}
	return slices.DeleteFunc(out, func(p Process) bool { return !open[p] })
}
