package main

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"os"
	"strings"
	"time"

	"github.com/spf13/cobra"

	"github.com/barrowbridge/barrowbridge/internal/cborhttp"
	"github.com/barrowbridge/barrowbridge/wire"
)

// Exit codes of the client commands.
const (
	exitFailed      = 1 // wrong usage, or a response that cannot be decoded
	exitRefused     = 2 // 400, 409 or 422
	exitUnknown     = 3 // 404
	exitUnavailable = 4 // no controller responded in time
)

// exitError carries an exit code with its message.
type exitError struct {
	code int
	msg  string
}

func (e *exitError) Error() string { return e.msg }

// client sends requests to the configured controllers, in order, until one responds.
type client struct {
	servers []string
	timeout time.Duration
	json    bool
	out     io.Writer
}

func (c *client) flags(cmd *cobra.Command) {
	cmd.PersistentPreRun = func(cmd *cobra.Command, _ []string) { c.out = cmd.OutOrStdout() }
	cmd.PersistentFlags().StringSliceVar(&c.servers, "server", []string{"127.0.0.1:8080"}, "controllers to try in this order, as ip:port")
	cmd.PersistentFlags().DurationVar(&c.timeout, "timeout", time.Minute, "how long to retry")
	cmd.PersistentFlags().BoolVar(&c.json, "json", false, "print JSON")
}

// call sends a request to the controllers in turn until one succeeds or rejects it, and decodes a successful
// response into the given value. Other failures are retried every second until the timeout.
func (c *client) call(method, path string, body, into any) error {
	ctx, cancel := context.WithTimeout(context.Background(), c.timeout)
	defer cancel()
	hc := cborhttp.NewClient(2*time.Second, 2)
	last := "no controller answered"
	for {
		for _, s := range c.servers {
			tctx, stop := context.WithTimeout(ctx, 5*time.Second)
			status, raw, err := cborhttp.RoundTrip(tctx, hc, method, "http://"+s+path, body)
			stop()
			var p wire.Problem
			_ = wire.Unmarshal(raw, &p)
			switch {
			case err != nil:
				last = err.Error()
			case status == http.StatusOK || status == http.StatusCreated:
				if err := wire.Unmarshal(raw, into); err != nil {
					return &exitError{exitFailed, "cannot decode the response: " + err.Error()}
				}
				return nil
			case status == http.StatusNotFound:
				return &exitError{exitUnknown, p.Error}
			case status == http.StatusBadRequest, status == http.StatusConflict, status == http.StatusUnprocessableEntity:
				return &exitError{exitRefused, p.Error}
			default:
				last = fmt.Sprintf("%s answers %d: %s", s, status, p.Error)
			}
		}
		select {
		case <-ctx.Done():
			return &exitError{exitUnavailable, last}
		case <-time.After(time.Second):
		}
	}
}

func (c *client) print(v any, human string) error {
	if !c.json {
		_, err := fmt.Fprintln(c.out, human)
		return err
	}
	b, err := json.MarshalIndent(v, "", "  ")
	if err != nil {
		return err
	}
	_, err = fmt.Fprintln(c.out, string(b))
	return err
}

// jobView is the printed form of a job's status. The fields after Running are set only for jobs in a chain.
type jobView struct {
	Job     string `json:"job"`
	Status  string `json:"status"`
	Done    int    `json:"done"`
	Running int    `json:"running"`

	Awaits          []string `json:"awaits,omitempty"` // predecessors that are not done yet
	WaitingSinceMS  int64    `json:"waiting_since_ms,omitempty"`
	ExpectedStartMS int64    `json:"expected_start_ms,omitempty"`
	CancelledBy     string   `json:"cancelled_by,omitempty"`
}

func (c *client) printJob(s wire.JobStatus) error { return c.printView(viewOf(s)) }

func viewOf(s wire.JobStatus) jobView {
	v := jobView{Job: s.ID, Status: s.Status}
	if s.Done != nil {
		v.Done = *s.Done
	}
	if s.Running != nil {
		v.Running = *s.Running
	}
	return v
}

func (c *client) printView(v jobView) error {
	return c.print(v, fmt.Sprintf("%s %s (%d done, %d running)", v.Job, v.Status, v.Done, v.Running)+v.chainLines())
}

func jobCommand() *cobra.Command {
	c := &client{}
	cmd := &cobra.Command{Use: "job", Short: "Submit, watch and abort jobs"}
	c.flags(cmd)
	get := func(id string) (wire.JobStatus, error) {
		var s wire.JobStatus
		return s, c.call(http.MethodGet, "/v1/jobs/"+id, nil, &s)
	}
	var awaits []string
	submit := &cobra.Command{
		Use: "submit FILE", Short: "Submit the job described by a JSON file (- for standard input)", Args: cobra.ExactArgs(1),
		RunE: func(_ *cobra.Command, args []string) error {
			spec, err := readSpec(args[0])
			if err != nil {
				return &exitError{exitRefused, err.Error()}
			}
			if err := addAwaits(spec, awaits); err != nil {
				return &exitError{exitRefused, err.Error()}
			}
			var s wire.JobStatus
			if err := c.call(http.MethodPost, "/v1/jobs", spec, &s); err != nil {
				return err
			}
			return c.printJob(s)
		},
	}
	submit.Flags().StringSliceVar(&awaits, "awaits", nil, "jobs that have to be done before any task starts, in addition to those in FILE")
	cmd.AddCommand(submit, &cobra.Command{
		Use: "status JOB", Aliases: []string{"get"}, Args: cobra.ExactArgs(1),
		Short: "Print a job's state, what it waits for, and which job's cancellation cancelled it",
		RunE: func(_ *cobra.Command, args []string) error {
			s, err := get(args[0])
			if err != nil {
				return err
			}
			return c.printView(c.withChain(viewOf(s)))
		},
	}, &cobra.Command{
		Use: "wait JOB", Short: "Wait until a job is done or aborted", Args: cobra.ExactArgs(1),
		RunE: func(_ *cobra.Command, args []string) error {
			end := time.Now().Add(c.timeout)
			for {
				s, err := get(args[0])
				if err != nil {
					return err
				}
				if s.Status == wire.JobDone || s.Status == wire.JobAborted {
					return c.printView(c.withChain(viewOf(s)))
				}
				if time.Now().After(end) {
					return &exitError{exitUnavailable, "still " + s.Status}
				}
				time.Sleep(2 * time.Second)
			}
		},
	}, &cobra.Command{
		Use: "abort JOB", Short: "Cancel a job", Args: cobra.ExactArgs(1),
		RunE: func(_ *cobra.Command, args []string) error {
			var s wire.JobStatus
			if err := c.call(http.MethodPost, "/v1/jobs/"+args[0]+"/abort", nil, &s); err != nil {
				return err
			}
			return c.printJob(s)
		},
	})
	return cmd
}

// readSpec reads a job specification with the field names of the wire protocol from a JSON file, or from
// standard input if path is "-".
func readSpec(path string) (map[string]any, error) {
	var b []byte
	var err error
	if path == "-" {
		b, err = io.ReadAll(io.LimitReader(os.Stdin, wire.MaxBody))
	} else {
		b, err = os.ReadFile(path)
	}
	if err != nil {
		return nil, err
	}
	dec := json.NewDecoder(strings.NewReader(string(b)))
	dec.UseNumber()
	var raw map[string]any
	if err := dec.Decode(&raw); err != nil {
		return nil, fmt.Errorf("%s: %w", path, err)
	}
	for k, v := range raw {
		n, ok := v.(json.Number)
		if !ok {
			continue
		}
		if i, err := n.Int64(); err == nil {
			raw[k] = i
		} else if f, err := n.Float64(); err == nil {
			raw[k] = f
		} else {
			return nil, fmt.Errorf("%s: %s: bad number", path, k)
		}
	}
	return raw, nil
}

func adminCommand() *cobra.Command {
	c := &client{}
	cmd := &cobra.Command{Use: "admin", Short: "Inspect and control a running cluster"}
	c.flags(cmd)
	overview := &cobra.Command{
		Use: "overview", Short: "Print leader, shards, blocks, machines and teams as one controller sees them", Args: cobra.NoArgs,
		RunE: func(*cobra.Command, []string) error {
			var o wire.Overview
			if err := c.call(http.MethodGet, "/admin/v1/overview", nil, &o); err != nil {
				return err
			}
			return c.print(o, showOverview(o))
		},
	}
	why := &cobra.Command{
		Use: "why JOB", Short: "Print why a job waits", Args: cobra.ExactArgs(1),
		RunE: func(_ *cobra.Command, args []string) error {
			var w wire.Why
			if err := c.call(http.MethodGet, "/admin/v1/jobs/"+args[0]+"/why", nil, &w); err != nil {
				return err
			}
			return c.print(w, w.Job+" (held by "+w.Holder+"):\n  "+strings.Join(w.Why, "\n  "))
		},
	}
	var patch wire.SettingsPatch
	var idle, silent float64
	var spot bool
	settings := &cobra.Command{
		Use: "settings", Short: "Print the operators' settings, or change those given as flags", Args: cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			var v wire.SettingsView
			if err := c.call(http.MethodGet, "/admin/v1/settings", nil, &v); err != nil {
				return err
			}
			change := false
			for name, set := range map[string]func(){
				"idle-return-s": func() { patch.IdleReturnS = &idle },
				"silent-drop-s": func() { patch.SilentDropS = &silent },
				"spot":          func() { patch.Spot = &spot },
			} {
				if cmd.Flags().Changed(name) {
					set()
					change = true
				}
			}
			if change {
				patch.Version = v.Version
				if err := c.call(http.MethodPut, "/admin/v1/settings", patch, &v); err != nil {
					return err
				}
			}
			s := v.Settings
			return c.print(v, fmt.Sprintf("version %d\nidle_return_s %g\nsilent_drop_s %g\nspot %v", v.Version, s.IdleReturnS, s.SilentDropS, s.Spot))
		},
	}
	settings.Flags().Float64Var(&idle, "idle-return-s", 0, "seconds after which an empty rented machine is returned")
	settings.Flags().Float64Var(&silent, "silent-drop-s", 0, "seconds after which a standing machine that does not report is given up")
	settings.Flags().BoolVar(&spot, "spot", true, "whether spot machines may be rented")
	cordon := func(use, short string, v *wire.Cordon) *cobra.Command {
		return &cobra.Command{Use: use + " MACHINE", Short: short, Args: cobra.ExactArgs(1),
			RunE: func(_ *cobra.Command, args []string) error {
				var back any
				path := "/admin/v1/machines/" + args[0] + "/cordon"
				var err error
				if v == nil {
					err = c.call(http.MethodDelete, path, nil, &back)
				} else {
					err = c.call(http.MethodPut, path, v, &back)
				}
				if err != nil {
					return err
				}
				return c.print(map[string]string{"machine": args[0], "did": use}, use+" "+args[0])
			}}
	}
	cmd.AddCommand(overview, why, c.chainCommand(), settings, c.trailCommand(), c.machineCommand(), c.reachCommand(), c.weightsCommand(), c.versionCommand(), c.ladderCommand(), c.crewCommand(),
		cordon("cordon", "Start no more tasks on a machine", &wire.Cordon{}),
		cordon("drain", "Stop the tasks on a machine and return it to the cloud", &wire.Cordon{Drain: true}),
		cordon("uncordon", "Allow tasks to start on a cordoned machine again", nil))
	return cmd
}

func showOverview(o wire.Overview) string {
	var b strings.Builder
	fmt.Fprintf(&b, "%s sees leader %s, controllers %s\n", o.Node, o.Leader, strings.Join(o.Nodes, " "))
	for _, s := range o.Shards {
		fmt.Fprintf(&b, "shard %d: holder %s (home %s), token %d, settled %v, teams %s\n", s.Shard, s.Holder, s.Home, s.Token, s.Settled, strings.Join(s.Teams, " "))
	}
	if o.Limits.Stuck {
		b.WriteString("no task start can be written: the state service rejects the writes\n")
	}
	for _, r := range o.Limits.Refused {
		fmt.Fprintf(&b, "rejected as malformed: %s, %d times, most recently with %d bytes and %d changes: %s (writes are now limited to %d bytes and %d changes)\n",
			r.Kind, r.Count, r.Bytes, r.Changes, r.Why, o.Limits.ValueBytes, o.Limits.TxnOps)
	}
	for _, t := range o.Teams {
		if t.Known {
			most := "no limit"
			if t.CPUsMax > 0 {
				most = fmt.Sprintf("%g at most", t.CPUsMax)
			}
			fmt.Fprintf(&b, "team %s: %g cpus used, %g guaranteed, %s, %d tasks wait\n", t.Team, t.UsedCPU, t.CPUs, most, t.Waiting)
		}
	}
	for _, k := range o.Blocks {
		fmt.Fprintf(&b, "block %s: shard %d, %s in %s", k.Block, k.Shard, k.Type, k.Zone)
		if k.Spot {
			b.WriteString(", spot")
		}
		b.WriteString("\n")
		for _, m := range k.Machines {
			fmt.Fprintf(&b, "  %s: %s", m.Name, m.State)
			if m.Cordoned {
				b.WriteString(", cordoned")
			}
			if len(m.Tasks) > 0 {
				b.WriteString(", " + strings.Join(m.Tasks, " "))
			}
			b.WriteString("\n")
		}
	}
	return strings.TrimRight(b.String(), "\n")
}

// exitCode returns the process's exit code for an error.
func exitCode(err error) int {
	var e *exitError
	if errors.As(err, &e) {
		return e.code
	}
	return exitFailed
}
