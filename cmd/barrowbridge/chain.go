package main

import (
	"cmp"
	"fmt"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/spf13/cobra"

	"github.com/barrowbridge/barrowbridge/wire"
)

// addAwaits appends the predecessors given with --awaits to those in the job specification.
func addAwaits(spec map[string]any, more []string) error {
	if len(more) == 0 {
		return nil
	}
	list, ok := spec["awaits"].([]any)
	if !ok && spec["awaits"] != nil {
		return fmt.Errorf("awaits: must be a list of jobs")
	}
	for _, id := range more {
		if !wire.ValidJobID(id) {
			return fmt.Errorf("awaits: must look like job-000412, got %q", id)
		}
		list = append(list, id)
	}
	spec["awaits"] = list
	return nil
}

// withChain fills in the dependency fields of a queued or aborted job from the chain endpoint. The view
// is returned unchanged if the job has no chain or the controllers do not return it.
func (c *client) withChain(v jobView) jobView {
	if v.Status != wire.JobQueued && v.Status != wire.JobAborted {
		return v
	}
	one := &client{servers: c.servers, timeout: min(askWait, c.timeout)}
	var k wire.Chain
	if one.call(http.MethodGet, "/admin/v1/chain/"+v.Job, nil, &k) != nil {
		return v
	}
	status := map[string]string{}
	for _, j := range k.Jobs {
		status[j.ID] = j.Status
	}
	for _, j := range k.Jobs {
		switch {
		case j.ID != v.Job:
		case v.Status == wire.JobAborted:
			v.CancelledBy = cmp.Or(j.CancelledBy, j.ID)
		case j.WaitingSinceMS > 0:
			v.WaitingSinceMS, v.ExpectedStartMS = j.WaitingSinceMS, j.ExpectedStartMS
			for _, a := range j.Awaits {
				if status[a] != wire.JobDone {
					v.Awaits = append(v.Awaits, a)
				}
			}
		}
	}
	return v
}

// chainLines returns the printed lines about a job's dependencies, or "" if there are none.
func (v jobView) chainLines() string {
	switch {
	case v.CancelledBy == v.Job && v.Job != "":
		return "\n  cancelled by its user"
	case v.CancelledBy != "":
		return fmt.Sprintf("\n  cancelled with %s, which it awaits and whose user cancelled it", v.CancelledBy)
	case v.WaitingSinceMS == 0:
		return ""
	}
	out := "\n  waits for " + strings.Join(v.Awaits, ", ") + " since " + clock(v.WaitingSinceMS)
	if v.ExpectedStartMS > 0 {
		out += ", expected to start at " + clock(v.ExpectedStartMS)
	}
	return out
}

// clock formats a Unix time in milliseconds as a local time of day; 0 gives "-".
func clock(ms int64) string {
	if ms == 0 {
		return "-"
	}
	return time.UnixMilli(ms).Format(time.TimeOnly)
}

func (c *client) chainCommand() *cobra.Command {
	return &cobra.Command{
		Use: "chain JOB", Short: "Print the dependency graph of a job", Args: cobra.ExactArgs(1),
		Long: "Print the jobs that a job awaits and those that await it, directly or indirectly.\n\n" +
			"A job is in the stage after the last of the jobs that it awaits. * marks the critical\n" +
			"path, > the requested job. A due time in parentheses is inherited: the job has to be\n" +
			"done by then so that the jobs that await it can meet their deadlines. Slack is the time\n" +
			"between the expected end and the due time; a negative value means that the job is late.",
		RunE: func(_ *cobra.Command, args []string) error {
			if !wire.ValidJobID(args[0]) {
				return &exitError{exitFailed, fmt.Sprintf("%q: must look like job-000412", args[0])}
			}
			var k wire.Chain
			if err := c.call(http.MethodGet, "/admin/v1/chain/"+args[0], nil, &k); err != nil {
				if exitCode(err) == exitUnknown {
					return &exitError{exitFailed, args[0] + ": " + err.Error()}
				}
				return err
			}
			return c.print(k, showChain(k))
		},
	}
}

// stages groups jobs by stage: a job is in the stage after the last of the jobs that it awaits.
func stages(jobs []wire.ChainJob) (out [][]wire.ChainJob) {
	at := map[string]int{}
	for _, j := range jobs {
		s := 0
		for _, a := range j.Awaits {
			if n, known := at[a]; known {
				s = max(s, n+1)
			}
		}
		at[j.ID] = s
		for len(out) <= s {
			out = append(out, nil)
		}
		out[s] = append(out[s], j)
	}
	return out
}

func showChain(k wire.Chain) string {
	var b strings.Builder
	fmt.Fprintf(&b, "%s as %s sees it, jobs: %d\n", k.Job, k.Node, len(k.Jobs))
	w := tabwriter.NewWriter(&b, 0, 4, 2, ' ', 0)
	fmt.Fprintln(w, "stage\t  \tjob\tclass\tteam\tpriority\tstate\ttasks\tstarts\tdue\tslack\tawaits")
	for i, list := range stages(k.Jobs) {
		for _, j := range list {
			cells := []string{strconv.Itoa(i + 1), mark(k.Job, j), j.ID, j.Class, j.Team, priority(j), state(j), tasks(j), clock(j.ExpectedStartMS), dueTime(j), slackTime(j), strings.Join(j.Awaits, " ")}
			for n := range cells {
				if cells[n] == "" {
					cells[n] = "-"
				}
			}
			fmt.Fprintln(w, strings.Join(cells, "\t"))
		}
	}
	_ = w.Flush()
	return b.String() + critical(k.Jobs)
}

func mark(asked string, j wire.ChainJob) string {
	m := []byte("  ")
	if j.ID == asked {
		m[0] = '>'
	}
	if j.Critical {
		m[1] = '*'
	}
	return string(m)
}

func tasks(j wire.ChainJob) string {
	if j.Tasks == 0 {
		return "" // the record of a finished job may have been deleted
	}
	return fmt.Sprintf("%d/%d", j.Done, j.Tasks)
}

func priority(j wire.ChainJob) string {
	if j.InheritedPriority != "" {
		return fmt.Sprintf("%s (%s)", j.Priority, j.InheritedPriority)
	}
	return j.Priority
}

func state(j wire.ChainJob) string {
	switch {
	case j.Status == "":
		return "not known"
	case j.CancelledBy != "" && j.CancelledBy != j.ID:
		return j.Status + " with " + j.CancelledBy
	case j.Status == wire.JobAborted:
		return j.Status + " by its user"
	case j.WaitingSinceMS > 0 && j.Status == wire.JobQueued:
		return "waits since " + clock(j.WaitingSinceMS)
	}
	return j.Status
}

func dueTime(j wire.ChainJob) string {
	if j.InheritedDueMS > 0 && (j.DueMS == 0 || j.InheritedDueMS < j.DueMS) {
		return "(" + clock(j.InheritedDueMS) + ")"
	}
	return clock(j.DueMS)
}

func slackTime(j wire.ChainJob) string {
	if j.SlackS == nil {
		return "-"
	}
	return fmt.Sprintf("%.0f s", *j.SlackS)
}

// critical returns the line that describes the critical path.
func critical(jobs []wire.ChainJob) string {
	i := slices.IndexFunc(jobs, func(j wire.ChainJob) bool { return j.Critical })
	if i < 0 {
		return "critical path: not known"
	}
	var path []string
	end := jobs[i]
	for _, j := range jobs {
		if j.Critical {
			path, end = append(path, j.ID), j
		}
	}
	s := "critical path: " + strings.Join(path, " -> ")
	if end.ExpectedEndMS > 0 {
		s += ", expected to end at " + clock(end.ExpectedEndMS)
	}
	if end.DueMS > 0 {
		s += ", due at " + clock(end.DueMS)
	}
	return s
}
