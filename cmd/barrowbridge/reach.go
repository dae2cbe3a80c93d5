package main

import (
	"encoding/json"
	"fmt"
	"net/http"
	"strings"

	"github.com/spf13/cobra"

	"github.com/barrowbridge/barrowbridge/wire"
)

func (c *client) reachCommand() *cobra.Command {
	return &cobra.Command{
		Use: "reach", Short: "Print the connectivity that each controller sees", Args: cobra.NoArgs,
		Long: "Print the connectivity that each controller sees.\n\n" +
			"All controllers named with --server are queried; those that do not respond are listed\n" +
			"as not reached from here. The reachability reports of a controller are printed as the\n" +
			"other controllers received them.",
		RunE: func(*cobra.Command, []string) error {
			views, silent, err := askEach[wire.ReachView](c, "/admin/v1/reach")
			if err != nil {
				return err
			}
			if c.json {
				b, err := json.MarshalIndent(views, "", "  ")
				if err != nil {
					return err
				}
				_, err = fmt.Fprintln(c.out, string(b))
				return err
			}
			_, err = fmt.Fprint(c.out, showReach(views, silent))
			return err
		},
	}
}

// askEach queries every controller named with --server. It returns the responses, and a line with the error of
// each controller that failed; it returns an error if all of them failed.
func askEach[T any](c *client, path string) (views []T, silent []string, err error) {
	for _, s := range c.servers {
		one := &client{servers: []string{s}, timeout: min(askWait, c.timeout)}
		var v T
		if err := one.call(http.MethodGet, path, nil, &v); err != nil {
			silent = append(silent, fmt.Sprintf("%s: %v", s, err))
			continue
		}
		views = append(views, v)
	}
	if len(views) == 0 {
		return nil, nil, &exitError{exitUnavailable, "no controller answered: " + strings.Join(silent, "; ")}
	}
	return views, silent, nil
}

// showReach returns a line for each link and one for each reachability report that contains a problem.
func showReach(views []wire.ReachView, silent []string) string {
	var b strings.Builder
	for _, v := range views {
		for _, l := range v.Links {
			fmt.Fprintf(&b, "%-10s %-18s %-8s", v.Node, l.To, l.Level)
			if l.Through != "" {
				fmt.Fprintf(&b, " through %s", l.Through)
			}
			if l.Why != "" {
				fmt.Fprintf(&b, " %s", l.Why)
			}
			if l.ForS > 0 {
				fmt.Fprintf(&b, ", %.1f s ago", l.ForS)
			}
			b.WriteString("\n")
		}
		for _, w := range v.Reports {
			if s := describeReport(w); s != "" {
				fmt.Fprintf(&b, "%-10s received from %s: %s\n", v.Node, w.Node, s)
			}
		}
	}
	for _, s := range silent {
		fmt.Fprintf(&b, "not reached from here: %s\n", s)
	}
	return b.String()
}

func describeReport(w wire.ReachReportView) string {
	var out []string
	if w.NoWorkers {
		out = append(out, "workers do not reach it")
	}
	for _, i := range w.SilentShards {
		out = append(out, fmt.Sprintf("the machines of its shard %d do not report", i))
	}
	for _, h := range w.SampledShards {
		out = append(out, fmt.Sprintf("%d of %d queried machines of shard %d respond to it", h.Answered, h.Called, h.Shard))
	}
	for _, i := range w.DegradedShards {
		out = append(out, fmt.Sprintf("many machines of its shard %d do not report", i))
	}
	for _, n := range w.UnreachableNodes {
		out = append(out, n+" does not respond to it")
	}
	if w.NoCloud {
		out = append(out, "the cloud does not respond to it")
	}
	return strings.Join(out, "; ")
}
