package main

import (
	"encoding/json"
	"fmt"
	"net/url"
	"strings"

	"github.com/spf13/cobra"

	"github.com/barrowbridge/barrowbridge/wire"
)

func (c *client) weightsCommand() *cobra.Command {
	return &cobra.Command{
		Use: "weights [IMAGE]", Short: "Print which machines have an image or are fetching it, and from which sources", Args: cobra.MaximumNArgs(1),
		Long: "Print which machines have an image or are fetching it, and from which sources.\n\n" +
			"All controllers named with --server are queried: each knows the machines of the shards it holds.\n" +
			"Without IMAGE, all images on machines are listed, one per line.",
		RunE: func(_ *cobra.Command, args []string) error {
			image := ""
			if len(args) > 0 {
				image = args[0]
			}
			views, silent, err := askEach[wire.WeightsView](c, "/admin/v1/weights?image="+url.QueryEscape(image))
			if err != nil {
				return err
			}
			known := false
			for _, v := range views {
				known = known || len(v.Images) > 0
			}
			if image != "" && !known {
				return &exitError{exitFailed, fmt.Sprintf("image %q is on no machine, and none fetches it", image)}
			}
			if c.json {
				b, err := json.MarshalIndent(views, "", "  ")
				if err != nil {
					return err
				}
				_, err = fmt.Fprintln(c.out, string(b))
				return err
			}
			_, err = fmt.Fprint(c.out, showWeights(views, silent, image != ""))
			return err
		},
	}
}

// showWeights returns a line for each image and controller and, with each, one for each machine that has or
// fetches the image.
func showWeights(views []wire.WeightsView, silent []string, each bool) string {
	var b strings.Builder
	for _, v := range views {
		if v.StoreGBps > 0 {
			fmt.Fprintf(&b, "%-10s measures a total store bandwidth of %.1f GB/s, which %d concurrent fetches saturate\n", v.Node, v.StoreGBps, v.Most)
		}
		for _, x := range v.Images {
			fmt.Fprintf(&b, "%-10s %-20s on %d machines, fetched by %d", v.Node, x.Image, len(x.Holders), len(x.Fetches))
			last := 0.0
			for _, f := range x.Fetches {
				last = max(last, f.LeftS)
			}
			if last > 0 {
				fmt.Fprintf(&b, ", the last expected in %.0f s", last)
			}
			b.WriteString("\n")
			if !each {
				continue
			}
			for _, h := range x.Holders {
				fmt.Fprintf(&b, "  %-12s zone %-6s has it\n", h.Machine, h.Zone)
			}
			for _, f := range x.Fetches {
				from := "the store"
				if len(f.Sources) > 0 {
					from = strings.Join(f.Sources, " and ")
				}
				fmt.Fprintf(&b, "  %-12s zone %-6s has been fetching it from %s for %.0f s, expected in %.0f s\n", f.Machine, f.Zone, from, f.ForS, f.LeftS)
			}
		}
	}
	for _, s := range silent {
		fmt.Fprintf(&b, "not reached from here: %s\n", s)
	}
	return b.String()
}
