// Package nodetest lets a test binary run as a controller, for tests that start real controllers.
package nodetest

import (
	"context"
	"fmt"
	"log/slog"
	"os"

	"github.com/barrowbridge/barrowbridge/internal/config"
	"github.com/barrowbridge/barrowbridge/internal/node"
)

// ServeIfAsked runs a controller and does not return if the binary was started like the program,
// with --config and a file. TestMain calls it first.
func ServeIfAsked() {
	if len(os.Args) != 3 || os.Args[1] != "--config" {
		return
	}
	cfg, err := config.Load(os.Args[2])
	if err == nil {
		err = node.Run(context.Background(), cfg, slog.New(slog.NewTextHandler(os.Stderr, nil)))
	}
	fmt.Fprintln(os.Stderr, err)
	os.Exit(1)
}
