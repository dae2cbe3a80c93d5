package main

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"os"
	"os/signal"
	"path/filepath"
	"runtime"
	"syscall"
	"time"

	"github.com/spf13/cobra"

	"github.com/barrowbridge/barrowbridge/internal/rehearse"
)

// Exit codes of rehearse and load, in addition to exitFailed for wrong usage.
const (
	exitRehearsalFailed = 2
	exitInterrupted     = 3
)

type rehearseFlags struct {
	all   bool
	seed  uint64
	seeds int
	out   string
	json  bool
	jobs  int

	repo, commit string // of the version to upgrade from; "": this repository, and the commit in deploy/service.toml
	build        string // temporary folder that it is built in
}

func rehearseCommand() *cobra.Command {
	cmd := &cobra.Command{Use: "rehearse", Short: "Inject failures into a local cluster and verify that it recovers"}
	cmd.AddCommand(&cobra.Command{
		Use: "list", Short: "List the shipped scenarios", Args: cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			for _, n := range rehearse.Names() {
				s, err := rehearse.Load(n)
				if err != nil {
					return err
				}
				fmt.Fprintf(cmd.OutOrStdout(), "%-22s %s\n", n, s.About)
			}
			return nil
		},
	}, &cobra.Command{
		Use: "show NAME", Short: "Print a scenario, as a template for new ones", Args: cobra.ExactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			_, b, err := rehearse.Source(args[0])
			if err != nil {
				return err
			}
			_, err = cmd.OutOrStdout().Write(b)
			return err
		},
	}, &cobra.Command{
		Use: "check FILE...", Short: "Validate scenario files", Args: cobra.MinimumNArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			for _, a := range args {
				if _, err := rehearse.Load(a); err != nil {
					return err
				}
			}
			fmt.Fprintln(cmd.OutOrStdout(), "ok")
			return nil
		},
	}, rehearseRun(), rehearseUpgrade(), rehearseResume(), &cobra.Command{
		Use: "report DIR", Short: "Regenerate the report of a results folder", Args: cobra.ExactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			results, err := rehearse.ReadResults(args[0])
			if err != nil {
				return err
			}
			if err := rehearse.WriteReport(args[0], results); err != nil {
				return err
			}
			for i := range results {
				fmt.Fprint(cmd.OutOrStdout(), results[i].Table())
			}
			fmt.Fprintln(cmd.OutOrStdout(), "report:", filepath.Join(args[0], "index.html"))
			return nil
		},
	}, rehearseCompare())
	return cmd
}

func (f *rehearseFlags) common(cmd *cobra.Command) {
	cmd.Flags().BoolVar(&f.json, "json", false, "print the results as JSON")
	cmd.Flags().IntVar(&f.jobs, "jobs", max(1, min(4, runtime.NumCPU()/2)), "number of scenarios to run in parallel")
}

func rehearseRun() *cobra.Command {
	var f rehearseFlags
	cmd := &cobra.Command{
		Use: "run NAME|FILE...", Short: "Run scenarios",
		RunE: func(cmd *cobra.Command, args []string) error {
			switch {
			case f.all && len(args) > 0, !f.all && len(args) == 0:
				return fmt.Errorf("name scenarios, or give --all")
			case f.all:
				args = rehearse.Names()
			}
			if f.seeds < 1 || f.seeds > 1000 || f.jobs < 1 || f.jobs > 64 {
				return fmt.Errorf("--seeds must be from 1 to 1000 and --jobs from 1 to 64")
			}
			if f.out == "" {
				f.out = filepath.Join(os.TempDir(), "barrowbridge-rehearsal-"+time.Now().Format("20060102-150405"))
			}
			p := f.plan(cmd)
			p.Names = args
			for i := range f.seeds {
				p.Seeds = append(p.Seeds, f.seed+uint64(i))
			}
			return f.execute(cmd, p, rehearse.Run)
		},
	}
	f.common(cmd)
	cmd.Flags().BoolVar(&f.all, "all", false, "run every shipped scenario")
	cmd.Flags().Uint64Var(&f.seed, "seed", 1, "first random seed, for the times of tasks, boots and reports")
	cmd.Flags().IntVar(&f.seeds, "seeds", 1, "number of seeds")
	cmd.Flags().StringVar(&f.out, "out", "", "folder for the results (default: a new temporary folder)")
	return cmd
}

func rehearseResume() *cobra.Command {
	var f rehearseFlags
	cmd := &cobra.Command{
		Use: "resume DIR", Short: "Clean up after an interrupted run and run the missing scenarios", Args: cobra.ExactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			f.out = args[0]
			return f.execute(cmd, f.plan(cmd), rehearse.Resume)
		},
	}
	f.common(cmd)
	return cmd
}

func (f *rehearseFlags) plan(cmd *cobra.Command) rehearse.Plan {
	return rehearse.Plan{Jobs: f.jobs, Dir: f.out, Out: cmd.ErrOrStderr(), Earlier: f.earlier}
}

// execute runs a plan, prints the results and returns an error with the matching exit code.
func (f *rehearseFlags) execute(cmd *cobra.Command, p rehearse.Plan, run func(context.Context, rehearse.Plan) ([]rehearse.Result, error)) error {
	ctx, stop := signal.NotifyContext(cmd.Context(), syscall.SIGINT, syscall.SIGTERM, syscall.SIGHUP)
	defer stop()
	defer func() { _ = os.RemoveAll(f.build) }()
	results, err := run(ctx, p)
	if err != nil {
		return err
	}
	if err := f.print(cmd.OutOrStdout(), results); err != nil {
		return err
	}
	code, n := 0, map[string]int{}
	for _, r := range results {
		n[r.Result]++
	}
	switch {
	case ctx.Err() != nil || n[rehearse.Interrupted] > 0:
		code = exitInterrupted
	case n[rehearse.Failed] > 0:
		code = exitRehearsalFailed
	}
	summary := fmt.Sprintf("%d passed, %d failed, %d interrupted; report: %s", n[rehearse.Passed], n[rehearse.Failed], n[rehearse.Interrupted], filepath.Join(p.Dir, "index.html"))
	if code == 0 {
		fmt.Fprintln(cmd.ErrOrStderr(), summary)
		return nil
	}
	if code == exitInterrupted {
		summary += "; go on with: rehearse resume " + p.Dir
	}
	return &exitError{code, summary}
}

func (f *rehearseFlags) print(out io.Writer, results []rehearse.Result) error {
	if !f.json {
		for i := range results {
			fmt.Fprint(out, results[i].Table())
		}
		return nil
	}
	for i := range results {
		results[i].Timeline = nil // the timeline is stored in the results folder
	}
	e := json.NewEncoder(out)
	e.SetIndent("", "  ")
	return e.Encode(results)
}

func rehearseCompare() *cobra.Command {
	var asJSON bool
	cmd := &cobra.Command{
		Use: "compare DIR DIR", Short: "Compare the results of two folders across their seeds", Args: cobra.ExactArgs(2),
		RunE: func(cmd *cobra.Command, args []string) error {
			rows, err := rehearse.Compare(args[0], args[1])
			if err != nil {
				return err
			}
			if asJSON {
				e := json.NewEncoder(cmd.OutOrStdout())
				e.SetIndent("", "  ")
				return e.Encode(rows)
			}
			return rehearse.PrintComparison(cmd.OutOrStdout(), rows)
		},
	}
	cmd.Flags().BoolVar(&asJSON, "json", false, "print JSON")
	return cmd
}
