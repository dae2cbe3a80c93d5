package main

import (
	"os/signal"
	"syscall"

	"github.com/spf13/cobra"

	"github.com/barrowbridge/barrowbridge/internal/dev"
)

func devCommand() *cobra.Command {
	var o dev.Options
	cmd := &cobra.Command{
		Use: "dev", Short: "Run a whole cluster on this machine: controllers, state service, cloud and workers", Args: cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			ctx, stop := signal.NotifyContext(cmd.Context(), syscall.SIGINT, syscall.SIGTERM, syscall.SIGHUP)
			defer stop()
			return dev.Run(ctx, o, cmd.OutOrStdout())
		},
	}
	f := cmd.Flags()
	f.IntVar(&o.Controllers, "controllers", 3, "number of controllers, each in its own process")
	f.IntVar(&o.Machines, "machines", 8, "standing machines; more are rented as needed")
	f.IntVar(&o.Zones, "zones", 2, "zones that the machines are spread over")
	f.DurationVar(&o.For, "for", 0, "stop after this time (0: run until interrupted)")
	f.StringVar(&o.Addresses, "addresses", "", "write the addresses to this file as JSON once the cluster is ready")
	f.BoolVar(&o.Demo, "demo", false, "run jobs, kill a machine and the leader, print the recovery, and exit")
	f.StringVar(&o.Dir, "dir", "", "folder for settings and logs, kept after exit (default: a temporary folder)")
	f.Float64Var(&o.StoreGBps, "store-gb-per-s", 0, "total bandwidth of the image store in GB/s (0: only each machine's own rate applies)")
	f.StringVar(&o.Switches, "switches", "", "file that enables features that are off by default, see deploy/weights.toml")
	f.StringVar(&o.LogLevel, "log", "info", "the controllers' log level: error, info or debug")
	return cmd
}
