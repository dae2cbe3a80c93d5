package main

import (
	"fmt"
	"net/http"
	"strings"

	"github.com/spf13/cobra"

	"github.com/barrowbridge/barrowbridge/wire"
)

func (c *client) versionCommand() *cobra.Command {
	return &cobra.Command{
		Use: "version", Short: "Print which version each controller runs, and what is held back for whom", Args: cobra.NoArgs,
		Long: "Print which version each controller runs, and what is held back for whom.\n\n" +
			"A feature that not all versions understand is used for new things once every controller\n" +
			"of the settings is known to understand it; until then it is held back. One that is down\n" +
			"counts as the version that it last ran. The first of the controllers named with --server\n" +
			"that knows the question is asked: an earlier version does not.",
		RunE: func(*cobra.Command, []string) error {
			var last error
			for _, s := range c.servers { // an earlier version does not know the question
				one := &client{servers: []string{s}, timeout: min(askWait, c.timeout)}
				var v wire.VersionView
				if last = one.call(http.MethodGet, "/admin/v1/version", nil, &v); last == nil {
					return c.print(v, strings.TrimSuffix(showVersions(v), "\n"))
				}
			}
			return fmt.Errorf("no controller that was asked tells versions, name others with --server: %w", last)
		},
	}
}

// showVersions prints a line a controller, and one a feature.
func showVersions(v wire.VersionView) string {
	var b strings.Builder
	for _, n := range v.Controllers {
		state, runs := "down", n.Version
		if n.Present {
			state = "present"
		}
		if runs == "" {
			runs = "unknown, or one that does not say"
		}
		fmt.Fprintf(&b, "%-10s %-8s version %s", n.Node, state, runs)
		if n.Boot != 0 {
			fmt.Fprintf(&b, ", boot %d", n.Boot)
		}
		if len(n.Features) > 0 {
			fmt.Fprintf(&b, ", understands %s", strings.Join(n.Features, ", "))
		}
		b.WriteString("\n")
	}
	for _, f := range v.Features {
		if f.On {
			fmt.Fprintf(&b, "%s: on\n", f.Feature)
		} else {
			fmt.Fprintf(&b, "%s: held back for %s\n", f.Feature, strings.Join(f.HeldFor, ", "))
		}
	}
	return b.String()
}
