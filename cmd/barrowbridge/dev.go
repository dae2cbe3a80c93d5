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
	f.IntVar(&o.Controllers, "controllers", 3, "controllers, each a process of its own")
	f.IntVar(&o.Machines, "machines", 8, "standing machines; more are rented as needed")
	f.IntVar(&o.Zones, "zones", 2, "zones they are spread over")
	f.DurationVar(&o.For, "for", 0, "end after this time (0: when interrupted)")
	f.StringVar(&o.Addresses, "addresses", "", "write the addresses to this file, as JSON, once all is ready")
	f.BoolVar(&o.Demo, "demo", false, "lose a machine and the leading controller under work, tell what happens, and end")
	f.StringVar(&o.Dir, "dir", "", "folder for settings and logs, which is kept (default: a temporary one)")
	f.Float64Var(&o.StoreGBps, "store-gb-per-s", 0, "what all fetches of images share (0: each machine gets its own rate)")
	f.StringVar(&o.Switches, "switches", "", "file that turns on what is off by default, see deploy/weights.toml")
	f.StringVar(&o.LogLevel, "log", "info", "the controllers' log level: error, info or debug")
	return cmd
}
