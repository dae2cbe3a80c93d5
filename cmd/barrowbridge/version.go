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
		Use: "version", Short: "Print each controller's version and the features that are held back", Args: cobra.NoArgs,
		Long: "Print each controller's version and the features that are held back.\n\n" +
			"A feature that not all versions support is used for new objects only once every\n" +
			"configured controller is known to support it; until then it is held back. A controller\n" +
			"that is down counts with the version that it last ran. The answer comes from the first\n" +
			"controller named with --server that supports the request; earlier versions do not.",
		RunE: func(*cobra.Command, []string) error {
			var last error
			for _, s := range c.servers { // earlier versions do not support the request
				one := &client{servers: []string{s}, timeout: min(askWait, c.timeout)}
				var v wire.VersionView
				if last = one.call(http.MethodGet, "/admin/v1/version", nil, &v); last == nil {
					return c.print(v, strings.TrimSuffix(showVersions(v), "\n"))
				}
			}
			return fmt.Errorf("no queried controller reports versions; name others with --server: %w", last)
		},
	}
}

// showVersions returns a line for each controller and one for each feature.
func showVersions(v wire.VersionView) string {
	var b strings.Builder
	for _, n := range v.Controllers {
		state, runs := "down", n.Version
		if n.Present {
			state = "present"
		}
		if runs == "" {
			runs = "unknown or not reported"
		}
		fmt.Fprintf(&b, "%-10s %-8s version %s", n.Node, state, runs)
		if n.Boot != 0 {
			fmt.Fprintf(&b, ", boot %d", n.Boot)
		}
		if len(n.Features) > 0 {
			fmt.Fprintf(&b, ", supports %s", strings.Join(n.Features, ", "))
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
