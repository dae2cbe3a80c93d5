package main

import (
	"fmt"
	"net/http"
	"os"
	"strings"
	"time"

	"github.com/spf13/cobra"

	"github.com/barrowbridge/barrowbridge/internal/tomlfile"
	"github.com/barrowbridge/barrowbridge/wire"
)

// ladderCommand returns the commands that print and change the tier order.
func (c *client) ladderCommand() *cobra.Command {
	cmd := &cobra.Command{Use: "ladder", Short: "Print and change the tier order in which work is scheduled"}
	show := func(v wire.TierOrderView) string {
		lines := []string{fmt.Sprintf("version %d", v.Version)}
		for i, r := range v.All {
			from := ""
			if i >= len(v.Order.Tiers) {
				from = ", by priority"
			}
			lines = append(lines, fmt.Sprintf("%d. %s%s%s", i+1, r.Name, selectors(r), from))
		}
		return strings.Join(lines, "\n")
	}
	read := func() (v wire.TierOrderView, err error) {
		err = c.call(http.MethodGet, "/admin/v1/ladder", nil, &v)
		return v, err
	}
	change := func(file string, check bool) error {
		tiers, err := readTiers(file)
		if err != nil {
			return err
		}
		v, err := read()
		if err != nil {
			return err
		}
		if err := c.call(http.MethodPut, "/admin/v1/ladder", wire.TierOrderPatch{Version: v.Version, Tiers: tiers, Check: check}, &v); err != nil {
			return err
		}
		return c.print(v, show(v))
	}
	cmd.AddCommand(&cobra.Command{
		Use: "show", Short: "Print all tiers, highest first", Args: cobra.NoArgs,
		RunE: func(*cobra.Command, []string) error {
			v, err := read()
			if err != nil {
				return err
			}
			return c.print(v, show(v))
		},
	}, &cobra.Command{
		Use: "set FILE", Short: "Replace the tiers with those of a TOML file", Args: cobra.ExactArgs(1),
		RunE: func(_ *cobra.Command, args []string) error { return change(args[0], false) },
	}, &cobra.Command{
		Use: "check FILE", Short: "Validate a file without changing anything", Args: cobra.ExactArgs(1),
		RunE: func(_ *cobra.Command, args []string) error { return change(args[0], true) },
	}, &cobra.Command{
		Use: "order", Short: "Print the live jobs in order, with a digest that all controllers share", Args: cobra.NoArgs,
		RunE: func(*cobra.Command, []string) error {
			var o wire.OrderView
			if err := c.call(http.MethodGet, "/admin/v1/ladder/order", nil, &o); err != nil {
				return err
			}
			lines := []string{fmt.Sprintf("%s at revision %d, tier order version %d: %d jobs, digest %s", o.Node, o.Revision, o.Version, o.Count, o.Digest)}
			for _, j := range o.Jobs {
				lines = append(lines, fmt.Sprintf("%s  %d  %s", j.Job, j.Number, j.Tier))
			}
			return c.print(o, strings.Join(lines, "\n"))
		},
	}, &cobra.Command{
		Use: "history", Short: "Print earlier versions of the tier order", Args: cobra.NoArgs,
		RunE: func(*cobra.Command, []string) error {
			v, err := read()
			if err != nil {
				return err
			}
			var lines []string
			for _, h := range v.Order.History {
				lines = append(lines, fmt.Sprintf("version %d, until %s at %s: %s", h.Version, time.UnixMilli(h.AtMS).UTC().Format(time.RFC3339), h.Node, strings.Join(h.Tiers, ", ")))
			}
			return c.print(v.Order.History, strings.Join(lines, "\n"))
		},
	})
	return cmd
}

// selectors formats the classes, teams, priorities and shapes that a tier selects.
func selectors(r wire.Tier) string {
	var parts []string
	for _, p := range []struct {
		what string
		list []string
	}{{"classes", r.Classes}, {"teams", r.Teams}, {"priorities", r.Priorities}, {"shapes", r.Shapes}} {
		if len(p.list) > 0 {
			parts = append(parts, p.what+" "+strings.Join(p.list, " "))
		}
	}
	return " (" + strings.Join(parts, "; ") + ")"
}

// readTiers reads a tier order file: a [[rung]] table for each tier, highest first.
func readTiers(file string) ([]wire.Tier, error) {
	b, err := os.ReadFile(file)
	if err != nil {
		return nil, err
	}
	var f struct {
		Rung []wire.Tier `toml:"rung"`
	}
	if err := tomlfile.Decode(file, b, &f); err != nil {
		return nil, err
	}
	return f.Rung, nil
}
