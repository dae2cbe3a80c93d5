package rehearse

import (
	"fmt"
	"os"
	"slices"
	"strings"

	"github.com/prometheus/procfs"
)

// Process identifies a process by more than its PID, which the system reuses: by its
// start time, the boot of the machine that it runs in, and the settings file that was
// passed to this process only.
type Process struct {
	PID      int    `json:"pid"`
	Started  uint64 `json:"started"` // clock ticks since the machine booted
	Boot     string `json:"boot"`    // the machine's boot ID
	Settings string `json:"settings"`
}

func bootID() string {
	b, err := os.ReadFile("/proc/sys/kernel/random/boot_id")
	if err != nil {
		return ""
	}
	return strings.TrimSpace(string(b))
}

// Identify returns the identity of a running process that was started with a settings file.
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

// same reports whether the process that now has this PID is the one described.
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

// End kills the process if it is still running, and no other process. It reports whether the process
// was running.
func (p Process) End() (bool, error) {
	h, err := os.FindProcess(p.PID) // refers to this process even if its PID is reused later
	if err != nil {
		return false, nil
	}
	defer h.Release() //nolint:errcheck // no caller depends on the result
	if !p.same() {
		return false, nil
	}
	if err := h.Kill(); err != nil && err != os.ErrProcessDone {
		return false, fmt.Errorf("process %d: %w", p.PID, err)
	}
	return true, nil
}

// Leftovers returns the processes that a record lists as started but not as ended.
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
