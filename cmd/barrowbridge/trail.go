package main

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"net/url"
	"os/signal"
	"sort"
	"strconv"
	"strings"
	"syscall"
	"time"

	"github.com/spf13/cobra"

	"github.com/barrowbridge/barrowbridge/wire"
)

// askWait is the timeout of a request to one controller, which may be down.
const askWait = 3 * time.Second

// followEvery is the polling interval of --follow.
const followEvery = time.Second

// trailLine is one event with the controller that recorded it.
type trailLine struct {
	By string `json:"by"`
	wire.TrailEvent
}

// trailQuery holds the filters given as flags.
type trailQuery struct {
	node, machine, job string
	follow             bool
}

func (q trailQuery) path(after uint64) string {
	v := url.Values{"after": {strconv.FormatUint(after, 10)}}
	for k, s := range map[string]string{"node": q.node, "machine": q.machine, "job": q.job} {
		if s != "" {
			v.Set(k, s)
		}
	}
	return "/admin/v1/trail?" + v.Encode()
}

func (c *client) trailCommand() *cobra.Command {
	var q trailQuery
	cmd := &cobra.Command{
		Use: "trail", Short: "Print the events that the controllers recorded, with their causes", Args: cobra.NoArgs,
		Long: "Print the events that the controllers recorded, with their causes.\n\n" +
			"All controllers named with --server are queried and their events are sorted by wall\n" +
			"clock time. --node reads the trail that one controller, which may be down, stored in\n" +
			"the state service.",
		RunE: func(cmd *cobra.Command, _ []string) error {
			ctx, stop := signal.NotifyContext(cmd.Context(), syscall.SIGINT, syscall.SIGTERM)
			defer stop()
			return c.trail(ctx, q)
		},
	}
	f := cmd.Flags()
	f.BoolVar(&q.follow, "follow", false, "keep printing new events")
	f.StringVar(&q.job, "job", "", "only events of this job")
	f.StringVar(&q.machine, "machine", "", "only events of this machine")
	f.StringVar(&q.node, "node", "", "read the stored trail of this controller")
	return cmd
}

// trail queries every server for the events after the last one that it returned, and prints them.
func (c *client) trail(ctx context.Context, q trailQuery) error {
	after, incarnations := map[string]uint64{}, map[string]uint64{}
	for {
		var lines []trailLine
		responses, more, last := 0, false, error(nil)
		for _, s := range c.servers {
			one := &client{servers: []string{s}, timeout: min(askWait, c.timeout)}
			var t wire.Trail
			if last = one.call(http.MethodGet, q.path(after[s]), nil, &t); last != nil {
				if code := exitCode(last); code == exitRefused || code == exitUnknown {
					return last
				}
				continue
			}
			responses++
			if incarnations[s] != 0 && incarnations[s] != t.Boot { // the controller restarted, so its event numbers start over
				after[s], incarnations[s], more = 0, t.Boot, true
				continue
			}
			incarnations[s], more = t.Boot, more || t.Next > after[s] && len(t.Events) > 0 && !t.Stored
			after[s] = t.Next
			for _, e := range t.Events {
				lines = append(lines, trailLine{t.Node, e})
			}
			if t.Stored {
				break
			}
		}
		if responses == 0 {
			return &exitError{exitUnavailable, fmt.Sprint("no controller answered: ", last)}
		}
		if err := c.printTrail(lines); err != nil {
			return err
		}
		if more {
			continue
		}
		if !q.follow {
			return nil
		}
		select {
		case <-ctx.Done():
			return nil
		case <-time.After(followEvery):
		}
	}
}

// printTrail prints one line for each event, ordered by wall clock time: text, or a JSON object with --json.
func (c *client) printTrail(lines []trailLine) error {
	sort.SliceStable(lines, func(i, j int) bool { return lines[i].WallMS < lines[j].WallMS })
	for _, l := range lines {
		s := showEvent(l)
		if c.json {
			b, err := json.Marshal(l)
			if err != nil {
				return err
			}
			s = string(b)
		}
		if _, err := fmt.Fprintln(c.out, s); err != nil {
			return err
		}
	}
	return nil
}

func showEvent(l trailLine) string {
	var b strings.Builder
	fmt.Fprintf(&b, "%s %s #%d", time.UnixMilli(l.WallMS).Format("15:04:05.000"), l.By, l.Seq)
	if l.Cause != 0 {
		fmt.Fprintf(&b, " (after #%d)", l.Cause)
	}
	fmt.Fprintf(&b, " %s", l.Kind)
	for _, f := range []struct{ name, v string }{{"machine", l.Machine}, {"task", l.Task}, {"job", l.Job}, {"block", l.Block}, {"controller", l.TrailEvent.Node}} {
		if f.v != "" {
			fmt.Fprintf(&b, " %s %s", f.name, f.v)
		}
	}
	if l.Shard != nil {
		fmt.Fprintf(&b, " shard %d", *l.Shard)
	}
	if l.Token != 0 {
		fmt.Fprintf(&b, " token %d", l.Token)
	}
	if l.Count != 0 {
		fmt.Fprintf(&b, " (%d)", l.Count)
	}
	if l.Why != "" {
		fmt.Fprintf(&b, ": %s", l.Why)
	}
	return b.String()
}

func (c *client) machineCommand() *cobra.Command {
	return &cobra.Command{
		Use: "machine NAME", Short: "Print a machine's current state as its shard's holder sees it", Args: cobra.ExactArgs(1),
		RunE: func(_ *cobra.Command, args []string) error {
			var best *wire.MachineDetail
			var last error
			for _, s := range c.servers { // prefer the answer of the shard's holder, which knows the most
				one := &client{servers: []string{s}, timeout: min(askWait, c.timeout)}
				var m wire.MachineDetail
				if err := one.call(http.MethodGet, "/admin/v1/machines/"+url.PathEscape(args[0]), nil, &m); err != nil {
					last = err
				} else if best == nil || m.Held {
					best = &m
				}
			}
			if best == nil {
				return last
			}
			return c.print(best, showMachine(best))
		},
	}
}

func showMachine(m *wire.MachineDetail) string {
	var b strings.Builder
	fmt.Fprintf(&b, "%s: %s, %s in %s, block %s, shard %d, holder %s, token %d", m.Machine, m.State, m.Type, m.Zone, m.Block, m.Shard, m.Holder, m.Token)
	if m.Spot {
		b.WriteString(", spot")
	}
	if m.Cordoned {
		b.WriteString(", cordoned")
	}
	if !m.Held {
		fmt.Fprintf(&b, "\n%s does not hold it; ask %s", m.Node, m.Holder)
		return b.String()
	}
	fmt.Fprintf(&b, "\nsession %d, %g cpus free", m.Session, m.FreeCPUs)
	if m.ReportedS != nil {
		fmt.Fprintf(&b, ", reported %.1f s ago, its lease expires in %.1f s at the latest", *m.ReportedS, *m.LeaseLeftS)
	}
	if m.Inherited {
		fmt.Fprintf(&b, ", inherited, accounted for: %v", m.Accounted)
	}
	if m.Errors > 0 {
		fmt.Fprintf(&b, ", %d failures in a row", m.Errors)
	}
	for _, t := range m.Attempts {
		fmt.Fprintf(&b, "\n  %s try %d: %s for %.0f s", t.Task, t.Attempt, t.Status, t.ForS)
	}
	for _, e := range m.Trail {
		fmt.Fprintf(&b, "\n  %s", showEvent(trailLine{m.Node, e}))
	}
	return b.String()
}
