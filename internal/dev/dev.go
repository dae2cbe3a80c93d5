// Package dev implements the dev command, which runs a whole cluster on one machine.
package dev

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"os"
	"path/filepath"
	"strings"
	"time"

	"github.com/barrowbridge/barrowbridge/internal/config"
	"github.com/barrowbridge/barrowbridge/internal/standin/site"
)

// Options holds the flags of the dev command.
type Options struct {
	Controllers int
	Machines    int
	Zones       int
	For         time.Duration // 0: run until interrupted
	Addresses   string        // file to write the addresses to; "": none
	Demo        bool
	Dir         string // folder for logs and settings; "": a temporary folder
	LogLevel    string
	StoreGBps   float64 // total bandwidth of the image store, shared by all fetches; 0: unlimited
	Switches    string  // file that enables features that are off by default; "": none
}

// Check returns a one-line error that names the first flag whose value is out of range, or nil.
func (o Options) Check() error {
	switch {
	case o.Controllers < 1 || o.Controllers > 9:
		return fmt.Errorf("--controllers: must be from 1 to 9, got %d", o.Controllers)
	case o.Machines < 0 || o.Machines > 2000:
		return fmt.Errorf("--machines: must be from 0 to 2000, got %d", o.Machines)
	case o.Zones < 1 || o.Zones > 9:
		return fmt.Errorf("--zones: must be from 1 to 9, got %d", o.Zones)
	case o.For < 0:
		return errors.New("--for: must not be negative")
	case !(o.StoreGBps >= 0 && o.StoreGBps <= 1e6):
		return fmt.Errorf("--store-gb-per-s: must be from 0 to 1e6, got %g", o.StoreGBps)
	case o.Demo && o.Controllers < 2:
		return errors.New("--demo: kills the leading controller and needs another, --controllers must be at least 2")
	}
	return nil
}

// Addresses is the content of the file that --addresses names.
type Addresses struct {
	Controllers []string `json:"controllers"`
	State       string   `json:"state"`
	Cloud       string   `json:"cloud"`
	Faults      string   `json:"faults"`
	Logs        string   `json:"logs"`
}

// readyWithin is the time limit for the cluster to become ready.
const readyWithin = 30 * time.Second

// Run starts a cluster and serves until the context ends or Options.For has passed; with Options.Demo, it runs
// the demo instead. The cluster is stopped before Run returns.
func Run(ctx context.Context, o Options, out io.Writer) error {
	if err := o.Check(); err != nil {
		return err
	}
	dir, err := workDir(&o)
	if err != nil {
		return err
	}
	if o.Dir == "" {
		defer os.RemoveAll(dir)
	}
	spec := site.Default()
	spec.Controllers, spec.Machines, spec.Dir, spec.LogLevel = o.Controllers, o.Machines, dir, o.LogLevel
	spec.StoreGBps = o.StoreGBps
	if o.Switches != "" {
		if spec.Switches, err = config.LoadSwitches(o.Switches); err != nil {
			return err
		}
	}
	spec.Zones = nil
	for i := range o.Zones {
		spec.Zones = append(spec.Zones, string(rune('a'+i)))
	}
	scale(&spec)
	if spec.Program, err = os.Executable(); err != nil {
		return err
	}
	start := time.Now()
	s := site.New(spec, slog.New(slog.NewTextHandler(out, &slog.HandlerOptions{Level: slog.LevelError})), nil)
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	defer s.Stop()
	if err := s.Start(ctx); err != nil {
		return err
	}
	faults, stop, err := s.ServeFaults()
	if err != nil {
		return err
	}
	defer stop()
	wait, done := context.WithTimeout(ctx, readyWithin)
	defer done()
	if err := s.WaitReady(wait); err != nil {
		return interrupted(ctx, err)
	}
	a := Addresses{Controllers: s.Public(), Faults: faults, Logs: dir}
	a.State, a.Cloud = s.Services()
	if err := writeAddresses(o.Addresses, a); err != nil {
		return err
	}
	fmt.Fprintf(out, "ready after %.1f s: %d controllers, %d machines in %d zones\n", time.Since(start).Seconds(), o.Controllers, o.Machines, o.Zones)
	if o.Demo {
		return Demo(ctx, s, out)
	}
	hints(out, a, o)
	if o.For > 0 {
		select {
		case <-ctx.Done():
		case <-time.After(o.For):
		}
	} else {
		<-ctx.Done()
	}
	fmt.Fprintln(out, "stopping the cluster")
	return nil
}

// interrupted returns nil if the context has ended, and err otherwise.
func interrupted(ctx context.Context, err error) error {
	if ctx.Err() != nil {
		return nil // interrupted before the cluster was ready
	}
	return err
}

// workDir creates the folder for logs and settings and returns its absolute path.
func workDir(o *Options) (string, error) {
	if o.Dir == "" {
		return os.MkdirTemp("", "barrowbridge-dev-")
	}
	abs, err := filepath.Abs(o.Dir)
	if err != nil {
		return "", err
	}
	return abs, os.MkdirAll(abs, 0o755)
}

// scale adjusts the quotas of teams, the number of rentable machines and the write rate of the state service to
// the number of machines, since the platform of a larger fleet accepts more.
func scale(s *site.Spec) {
	k := max(1, float64(s.Machines)/8)
	for n, t := range s.Teams {
		s.Teams[n] = site.Team{CPUs: t.CPUs * k, CPUsMax: t.CPUsMax * k}
	}
	s.Rentable = max(s.Rentable, s.Machines/4)
	if s.Machines > 50 {
		s.State.WriteRPS = 100
	}
}

// writeAddresses writes the addresses atomically, so that readers never see a partial file.
func writeAddresses(path string, a Addresses) error {
	if path == "" {
		return nil
	}
	b, err := json.MarshalIndent(a, "", "  ")
	if err != nil {
		return err
	}
	tmp := path + ".new"
	if err := os.WriteFile(tmp, append(b, '\n'), 0o644); err != nil {
		return fmt.Errorf("--addresses: %w", err)
	}
	return os.Rename(tmp, path)
}

// self returns the command that starts this program, for the printed examples.
func self() string {
	path, err := os.Executable()
	if err != nil || strings.Contains(path, "go-build") {
		return "go run ./cmd/barrowbridge"
	}
	return path
}

// hints prints the addresses of the cluster and commands to try.
func hints(out io.Writer, a Addresses, o Options) {
	servers := strings.Join(a.Controllers, ",")
	fmt.Fprintf(out, `
controllers  %[1]s
state        %[2]s
cloud        %[3]s
faults       http://%[4]s/kinds
logs         %[5]s

Try, in another terminal:
  %[6]s admin overview --server %[1]s
  %[6]s job submit examples/array.json --server %[1]s
  %[6]s job wait job-000001 --server %[1]s
  curl -d '{"kind":"controller_kill","target":"leader","for_s":20}' -H 'Content-Type: application/json' http://%[4]s/faults
`, servers, a.State, a.Cloud, a.Faults, a.Logs, self())
	if o.For > 0 {
		fmt.Fprintf(out, "\nStops after %v, or with Ctrl-C.\n", o.For)
	} else {
		fmt.Fprint(out, "\nCtrl-C stops the cluster.\n")
	}
}
