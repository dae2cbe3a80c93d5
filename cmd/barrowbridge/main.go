// Command barrowbridge runs a controller of the cluster scheduler and contains the command-line client.
package main

import (
	"context"
	"fmt"
	"log/slog"
	"os"

	"github.com/spf13/cobra"

	"github.com/barrowbridge/barrowbridge/internal/config"
	"github.com/barrowbridge/barrowbridge/internal/node"
)

func main() {
	if err := root().Execute(); err != nil {
		fmt.Fprintln(os.Stderr, "barrowbridge:", err)
		os.Exit(exitCode(err))
	}
}

func root() *cobra.Command {
	var path, switches string
	cmd := &cobra.Command{
		Use:           "barrowbridge --config FILE",
		Short:         "A fault-tolerant cluster scheduler",
		SilenceUsage:  true,
		SilenceErrors: true,
		Args:          cobra.NoArgs,
		RunE: func(cmd *cobra.Command, args []string) error {
			if path == "" {
				return cmd.Help()
			}
			log, err := logger(os.Getenv("LOG_LEVEL"))
			if err != nil {
				return err
			}
			cfg, err := config.Load(path)
			if err != nil {
				return err
			}
			if switches != "" {
				if cfg.Switches, err = config.LoadSwitches(switches); err != nil {
					return err
				}
			}
			return node.Run(context.Background(), cfg, log)
		},
	}
	cmd.Flags().StringVar(&path, "config", "", "settings file; runs a controller")
	cmd.Flags().StringVar(&switches, "switches", "", "file that enables features that are off by default, see deploy/weights.toml")
	cmd.AddCommand(devCommand(), rehearseCommand(), loadCommand(), jobCommand(), adminCommand(), &cobra.Command{
		Use: "version", Short: "Print the version", Args: cobra.NoArgs,
		Run: func(cmd *cobra.Command, _ []string) { fmt.Fprintln(cmd.OutOrStdout(), "barrowbridge", node.Version()) },
	}, &cobra.Command{
		Use: "check FILE", Short: "Check a settings file", Args: cobra.ExactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			if _, err := config.Load(args[0]); err != nil {
				return err
			}
			fmt.Fprintln(cmd.OutOrStdout(), "ok")
			return nil
		},
	})
	return cmd
}

// logger returns a logger to standard error with the given level: error, info (also for "") or debug.
func logger(level string) (*slog.Logger, error) {
	var l slog.Level
	switch level {
	case "error":
		l = slog.LevelError
	case "info", "":
		l = slog.LevelInfo
	case "debug":
		l = slog.LevelDebug
	default:
		return nil, fmt.Errorf("LOG_LEVEL: must be error, info or debug, got %q", level)
	}
	return slog.New(slog.NewTextHandler(os.Stderr, &slog.HandlerOptions{Level: l})), nil
}
