// Command repeat runs days of the operators' bench many times, to find rare
// failures. It keeps the report, log and journal entry of every run that broke a
// rule, did not finish, or is an outlier among the runs of its day, and prints for
// each day the distribution of the score and of each objective.
package main

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"os"
	"os/exec"
	"os/signal"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/spf13/cobra"
)

type options struct {
	bench string
	out   string
	days  []string
	runs  int
	jobs  int
	fall  float64
	limit time.Duration
	score bool
	sites []string
}

func main() {
	if err := command().Execute(); err != nil {
		fmt.Fprintln(os.Stderr, "repeat:", err)
		os.Exit(1)
	}
}

func command() *cobra.Command {
	var o options
	cmd := &cobra.Command{
		Use: "repeat SITE...", Short: "Run days many times and keep the files of outliers",
		SilenceUsage: true, SilenceErrors: true, Args: cobra.MinimumNArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			o.sites = args
			if err := o.check(); err != nil {
				return err
			}
			ctx, stop := signal.NotifyContext(cmd.Context(), os.Interrupt, syscall.SIGTERM)
			defer stop()
			return o.runAll(ctx)
		},
	}
	f := cmd.Flags()
	f.StringVar(&o.bench, "bench", "../given/kit/more/fleet/bin/fleetbench", "path of the bench executable")
	f.StringVar(&o.out, "out", "target/repeat", "folder for results; runs recorded there earlier are included")
	f.StringSliceVar(&o.days, "day", []string{"rough", "troubles"}, "days to run for each site")
	f.IntVar(&o.runs, "runs", 10, "number of runs of each day, or of scores with --score")
	f.IntVar(&o.jobs, "jobs", 2, "number of parallel runs")
	f.Float64Var(&o.fall, "fall", 0.15, "keep a run whose score is more than this below the median of its day")
	f.DurationVar(&o.limit, "limit", 20*time.Minute, "maximum duration of one run")
	f.BoolVar(&o.score, "score", false, "run whole quick scores of all sites instead of single days")
	return cmd
}

func (o *options) check() error {
	if o.runs < 1 || o.jobs < 1 || o.jobs > 64 {
		return fmt.Errorf("--runs must be at least 1 and --jobs from 1 to 64")
	}
	for _, p := range append([]*string{&o.bench, &o.out}, pointers(o.sites)...) {
		abs, err := filepath.Abs(*p)
		if err != nil {
			return err
		}
		*p = abs
	}
	for _, p := range append([]string{o.bench}, o.sites...) {
		if _, err := os.Stat(p); err != nil {
			return err
		}
	}
	return os.MkdirAll(filepath.Join(o.out, "runs"), 0o755)
}

func pointers(s []string) (out []*string) {
	for i := range s {
		out = append(out, &s[i])
	}
	return out
}

// task is one invocation of the bench.
type task struct {
	name string
	args []string
}

func (o *options) tasks(from int) (out []task) {
	for i := range o.runs {
		n := from + i
		if o.score {
			args := append([]string{"score"}, o.sites...)
			out = append(out, task{fmt.Sprintf("score-%04d", n), append(args, "--quick", "--why", "repeated to find a rare fall")})
			continue
		}
		for _, s := range o.sites {
			for _, d := range o.days {
				name := strings.TrimSuffix(filepath.Base(s), ".toml") + "-" + d
				out = append(out, task{fmt.Sprintf("%s-%04d", name, n), []string{"run", s, d, "--log", "info"}})
			}
		}
	}
	return out
}

// runAll runs all tasks, records their outcomes, and prints the summary.
func (o *options) runAll(ctx context.Context) error {
	record := filepath.Join(o.out, "runs.jsonl")
	past, err := readRuns(record)
	if err != nil {
		return err
	}
	f, err := os.OpenFile(record, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
	if err != nil {
		return err
	}
	defer f.Close()
	todo := make(chan task)
	go func() {
		defer close(todo)
		for _, t := range o.tasks(len(past)) {
			select {
			case todo <- t:
			case <-ctx.Done():
				return
			}
		}
	}()
	var mu sync.Mutex
	var wg sync.WaitGroup
	for slot := range o.jobs {
		tree, err := checkout(filepath.Join(o.out, "trees"), slot)
		if err != nil {
			return err
		}
		wg.Go(func() {
			defer os.RemoveAll(tree)
			for t := range todo {
				runs := o.runTask(ctx, tree, t)
				if ctx.Err() != nil {
					return
				}
				mu.Lock()
				for _, r := range runs {
					past = append(past, r)
					b, _ := json.Marshal(r)
					fmt.Fprintln(f, string(b))
					fmt.Printf("%s %s %.3f %s\n", t.name, r.key(), r.Worth, r.Fault)
				}
				mu.Unlock()
			}
		})
	}
	wg.Wait()
	fmt.Print(summary(past, o.fall))
	return keep(o.out, past, o.fall)
}

// checkout clones the current sources for one slot and returns the folder. The bench
// also keeps journal entries beside the repository and copies them into each of its
// worktrees, so only a clone separates the entries of parallel runs from each other
// and from the project's.
func checkout(dir string, slot int) (string, error) {
	tree := filepath.Join(dir, fmt.Sprint(slot))
	if err := os.RemoveAll(tree); err != nil { // left over from an interrupted run
		return "", err
	}
	if out, err := exec.Command("git", "clone", "--quiet", "--shared", ".", tree).CombinedOutput(); err != nil {
		return "", fmt.Errorf("git clone: %w: %s", err, out)
	}
	return tree, nil
}

// runTask runs a task and reads its outcome from the journal entries that it wrote.
func (o *options) runTask(ctx context.Context, tree string, t task) []run {
	base := filepath.Join(o.out, "runs", t.name)
	failed := func(fault string) []run { return []run{{Task: t.name, Day: t.name[:len(t.name)-5], Fault: fault}} }
	log, err := os.Create(base + ".log")
	if err != nil {
		return failed(err.Error())
	}
	defer log.Close()
	args := t.args
	if !o.score {
		args = append(args, "--report", base+".report.json")
	}
	before := entries(tree)
	ctx, cancel := context.WithTimeout(ctx, o.limit)
	defer cancel()
	cmd := exec.CommandContext(ctx, o.bench, args...)
	cmd.Dir, cmd.Stdout, cmd.Stderr = tree, log, log
	runErr := cmd.Run()
	var runs []run
	for name := range entries(tree) { // a score writes one entry for each site
		if before[name] {
			continue
		}
		b, err := os.ReadFile(filepath.Join(tree, "journal", name))
		if err != nil {
			return failed(err.Error())
		}
		if err := os.WriteFile(base+"."+name, b, 0o644); err != nil {
			return failed(err.Error())
		}
		days, err := parseEntry(t.name, b)
		if err != nil {
			return failed(err.Error())
		}
		runs = append(runs, days...)
	}
	if runs != nil {
		return runs
	}
	return failed(fmt.Sprintf("no journal entry: %v", runErr))
}

func entries(tree string) map[string]bool {
	out := map[string]bool{}
	names, _ := filepath.Glob(filepath.Join(tree, "journal", "*.json"))
	for _, n := range names {
		out[filepath.Base(n)] = true
	}
	return out
}

func readRuns(path string) (out []run, err error) {
	f, err := os.Open(path)
	if os.IsNotExist(err) {
		return nil, nil
	}
	if err != nil {
		return nil, err
	}
	defer f.Close()
	sc := bufio.NewScanner(f)
	sc.Buffer(nil, 1<<20)
	for sc.Scan() {
		var r run
		if json.Unmarshal(sc.Bytes(), &r) == nil { // skip a partially written last line
			out = append(out, r)
		}
	}
	return out, sc.Err()
}

// keep moves the files of outliers to kept/ and removes those of the other runs.
func keep(out string, runs []run, fall float64) error {
	if err := os.MkdirAll(filepath.Join(out, "kept"), 0o755); err != nil {
		return err
	}
	fell := map[string]bool{}
	for _, r := range outliers(runs, fall) {
		fell[r.Task] = true
	}
	for _, r := range runs {
		files, _ := filepath.Glob(filepath.Join(out, "runs", r.Task+".*"))
		for _, f := range files {
			if fell[r.Task] {
				if err := os.Rename(f, filepath.Join(out, "kept", filepath.Base(f))); err != nil {
					return err
				}
			} else if err := os.Remove(f); err != nil {
				return err
			}
		}
	}
	return nil
}
