package dev

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"os"
	"os/exec"
	"os/signal"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/prometheus/procfs"

	"github.com/barrowbridge/barrowbridge/internal/node/nodetest"
)

// TestMain lets the test binary run as a controller, or as a dev cluster that a test stops.
func TestMain(m *testing.M) {
	nodetest.ServeIfAsked()
	if dir := os.Getenv("BARROWBRIDGE_TEST_DEV"); dir != "" {
		ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt)
		defer stop()
		err := Run(ctx, Options{Controllers: 3, Machines: 4, Zones: 2, For: time.Minute, Addresses: filepath.Join(dir, "addresses.json"), Dir: dir, LogLevel: "info"}, io.Discard)
		fmt.Fprintln(os.Stderr, err)
		os.Exit(map[bool]int{true: 0, false: 1}[err == nil])
	}
	os.Exit(m.Run())
}

// controllers returns the ids of the controller processes whose settings file is in dir.
func controllers(t *testing.T, dir string) (out []int) {
	t.Helper()
	all, err := procfs.AllProcs()
	if err != nil {
		t.Skipf("cannot list processes: %v", err)
	}
	for _, p := range all {
		args, err := p.CmdLine()
		if err == nil && len(args) == 3 && args[1] == "--config" && strings.HasPrefix(args[2], dir) {
			out = append(out, p.PID)
		}
	}
	return out
}

// until polls a condition and fails the test if it does not hold within 20 s.
func until(t *testing.T, what string, ok func() bool) {
	t.Helper()
	for end := time.Now().Add(20 * time.Second); !ok(); time.Sleep(20 * time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("timed out after 20 s waiting until %s", what)
		}
	}
}

// The addresses file appears once the cluster is ready, and every address in it responds. The controllers exit
// with the cluster's process, whether that is interrupted or killed.
func TestClusterEndsWithItsProcess(t *testing.T) {
	for _, sig := range []os.Signal{os.Interrupt, syscall.SIGKILL} {
		t.Run(sig.String(), func(t *testing.T) {
			dir := t.TempDir()
			cmd := exec.Command(os.Args[0])
			cmd.Env = append(os.Environ(), "BARROWBRIDGE_TEST_DEV="+dir)
			if err := cmd.Start(); err != nil {
				t.Fatal(err)
			}
			defer func() { _ = cmd.Process.Kill() }()
			var a Addresses
			until(t, "the addresses are written", func() bool {
				b, err := os.ReadFile(filepath.Join(dir, "addresses.json"))
				return err == nil && json.Unmarshal(b, &a) == nil
			})
			if len(a.Controllers) != 3 {
				t.Fatalf("got addresses %+v, want 3 controllers", a)
			}
			for _, url := range []string{"http://" + a.Controllers[0] + "/ready", "http://" + a.Controllers[2] + "/ready", "http://" + a.State + "/store?starts=live/",
				"http://" + a.Cloud + "/machine_types", "http://" + a.Faults + "/faults"} {
				resp, err := http.Get(url)
				if err != nil {
					t.Fatal(err)
				}
				resp.Body.Close()
				if resp.StatusCode != 200 {
					t.Errorf("%s: %d", url, resp.StatusCode)
				}
			}
			if n := len(controllers(t, dir)); n != 3 {
				t.Errorf("%d controllers are running, want 3", n)
			}
			if err := cmd.Process.Signal(sig); err != nil {
				t.Fatal(err)
			}
			err := cmd.Wait()
			if sig == os.Interrupt && err != nil {
				t.Errorf("exit after interrupt: %v", err)
			}
			until(t, "no controller is left", func() bool { return len(controllers(t, dir)) == 0 })
		})
	}
}

// A flag value out of range is rejected with an error that names the flag.
func TestOptions(t *testing.T) {
	good := Options{Controllers: 3, Machines: 8, Zones: 2}
	if err := good.Check(); err != nil {
		t.Fatal(err)
	}
	for want, change := range map[string]func(*Options){
		"--controllers": func(o *Options) { o.Controllers = 0 }, "--machines": func(o *Options) { o.Machines = -1 },
		"--zones": func(o *Options) { o.Zones = 20 }, "--for": func(o *Options) { o.For = -1 }, "--demo": func(o *Options) { o.Demo, o.Controllers = true, 1 },
	} {
		o := good
		change(&o)
		if err := o.Check(); err == nil || !strings.HasPrefix(err.Error(), want) {
			t.Errorf("got error %v, want prefix %s", err, want)
		}
	}
}
