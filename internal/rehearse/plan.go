package rehearse

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"sort"
	"strings"
	"sync"
	"time"
)

// Plan lists the scenarios and seeds that a rehearsal runs, and how.
type Plan struct {
	Names []string // shipped scenarios or file names
	Seeds []uint64
	Jobs  int // scenarios that run concurrently
	Dir   string
	Out   io.Writer // progress; nil: none
	// Earlier builds the version in production for scenarios that begin with it.
	Earlier func(context.Context) (program string, err error)
	// Sources holds the text of generated scenarios by name.
	Sources map[string]string
}

// tries is the maximum number of runs of a scenario; a run during which this machine stalled is repeated.
const tries = 3

type item struct {
	file   string
	source string
	sc     *Scenario
	seed   uint64
}

func (i item) key() string { return fmt.Sprintf("%s-%d", i.sc.Name, i.seed) }

// Run runs a plan in its folder, which must not contain another rehearsal.
func Run(ctx context.Context, p Plan) ([]Result, error) {
	var items []item
	for _, seed := range p.Seeds {
		for _, n := range p.Names {
			file, b, err := p.source(n)
			if err != nil {
				return nil, err
			}
			sc, err := Parse(file, b)
			if err != nil {
				return nil, err
			}
			items = append(items, item{file, string(b), sc, seed})
		}
	}
	if err := os.MkdirAll(p.Dir, 0o755); err != nil {
		return nil, err
	}
	log, old, err := OpenLog(p.Dir)
	if err != nil {
		return nil, err
	}
	defer log.Close()
	if len(old) > 0 {
		return nil, fmt.Errorf("%s already contains a rehearsal; continue it with resume, or choose another folder", p.Dir)
	}
	for _, i := range items {
		if err := log.Add(Entry{What: "plan", Scenario: i.sc.Name, Seed: i.seed, Source: i.source, File: i.file}); err != nil {
			return nil, err
		}
	}
	return carryOut(ctx, p, log, items, nil)
}

// Resume first ends the processes left by an earlier run in its folder, and no others, then runs
// the missing scenarios. A scenario that was interrupted is run again.
func Resume(ctx context.Context, p Plan) ([]Result, error) {
	if _, err := os.Stat(filepath.Join(p.Dir, logName)); err != nil {
		return nil, fmt.Errorf("%s contains no rehearsal: %w", p.Dir, err)
	}
	log, entries, err := OpenLog(p.Dir)
	if err != nil {
		return nil, err
	}
	defer log.Close()
	for _, proc := range Leftovers(entries) {
		killed, err := proc.End()
		if err != nil {
			return nil, err
		}
		if killed {
			p.say("ended process %d, left over from the earlier run", proc.PID)
		}
		if err := log.Add(Entry{What: "ended", Process: &proc, Detail: fmt.Sprintf("left over, was running: %v", killed)}); err != nil {
			return nil, err
		}
	}
	var items []item
	done, begun := map[string]bool{}, map[string]bool{}
	for _, e := range entries {
		key := fmt.Sprintf("%s-%d", e.Scenario, e.Seed)
		switch e.What {
		case "plan":
			sc, err := Parse(e.File, []byte(e.Source))
			if err != nil {
				return nil, err
			}
			items = append(items, item{e.File, e.Source, sc, e.Seed})
		case "begin":
			begun[key] = true
		case "result":
			done[key] = e.Result != Interrupted
		}
	}
	var results []Result
	var missing []item
	for _, i := range items {
		switch {
		case done[i.key()]:
			r, err := readResult(p.Dir, i.key())
			if err == nil {
				results = append(results, *r)
				continue
			}
			p.say("%s: its result cannot be read; running it again", i.key())
		case begun[i.key()]:
			p.say("%s was interrupted; running it again", i.key())
			if err := log.Add(Entry{What: "interrupted", Scenario: i.sc.Name, Seed: i.seed}); err != nil {
				return nil, err
			}
		}
		missing = append(missing, i)
	}
	if err := log.Add(Entry{What: "resume", Detail: fmt.Sprintf("%d of %d scenarios are missing", len(missing), len(items))}); err != nil {
		return nil, err
	}
	return carryOut(ctx, p, log, missing, results)
}

func (p Plan) say(format string, a ...any) {
	if p.Out != nil {
		fmt.Fprintf(p.Out, format+"\n", a...)
	}
}

// carryOut runs items, several concurrently, and writes the report at the end.
func carryOut(ctx context.Context, p Plan, log *Log, items []item, results []Result) ([]Result, error) {
	programs, err := p.programs(ctx, items)
	if err != nil {
		return nil, err
	}
	var mu sync.Mutex
	var failed error
	note := func(e Entry) {
		if err := log.Add(e); err != nil {
			mu.Lock()
			failed = errors.Join(failed, err)
			mu.Unlock()
		}
	}
	todo := make(chan item)
	go func() {
		defer close(todo)
		for _, i := range items {
			select {
			case todo <- i:
			case <-ctx.Done():
				return
			}
		}
	}()
	began, ended := time.Now(), len(results)
	total := len(items) + len(results)
	var wg sync.WaitGroup
	for range max(1, p.Jobs) {
		wg.Go(func() {
			for i := range todo {
				r := p.one(ctx, i, programs, note)
				mu.Lock()
				results = append(results, *r)
				ended++
				p.say("[%d of %d, %.0f s] %s seed %d: %s %s", ended, total, time.Since(began).Seconds(), r.Scenario, r.Seed, r.Result, r.Why)
				mu.Unlock()
			}
		})
	}
	wg.Wait()
	sort.Slice(results, func(a, b int) bool {
		return results[a].Scenario < results[b].Scenario || results[a].Scenario == results[b].Scenario && results[a].Seed < results[b].Seed
	})
	if failed == nil {
		failed = WriteReport(p.Dir, results)
	}
	return results, failed
}

// one runs an item until a run was undisturbed, at most tries times, and stores its result.
func (p Plan) one(ctx context.Context, i item, programs programs, note func(Entry)) (r *Result) {
	dir := filepath.Join(p.Dir, i.key())
	for n := range tries {
		note(Entry{What: "begin", Scenario: i.sc.Name, Seed: i.seed})
		r = play(ctx, i.sc, i.seed, dir, programs, note)
		if r.Result != Interrupted || ctx.Err() != nil || n == tries-1 {
			break
		}
		p.say("%s seed %d: %s; running it again", r.Scenario, r.Seed, r.Why)
	}
	if err := writeResult(p.Dir, i.key(), r); err != nil {
		r.Result, r.Why = Failed, err.Error()
	}
	note(Entry{What: "result", Scenario: i.sc.Name, Seed: i.seed, Result: r.Result, Detail: r.Why})
	return r
}

// Store writes a result that was produced in another way, for use by Compare.
func Store(dir string, r *Result) error {
	if err := os.MkdirAll(dir, 0o755); err != nil {
		return err
	}
	return writeResult(dir, strings.ReplaceAll(fmt.Sprintf("%s-%d", r.Scenario, r.Seed), " ", "-"), r)
}

const resultEnd = ".result.json"

// writeResult writes a result atomically.
func writeResult(dir, key string, r *Result) error {
	b, err := json.Marshal(r)
	if err != nil {
		return err
	}
	path := filepath.Join(dir, key+resultEnd)
	if err := os.WriteFile(path+".new", b, 0o644); err != nil {
		return err
	}
	return os.Rename(path+".new", path)
}

func readResult(dir, key string) (*Result, error) {
	b, err := os.ReadFile(filepath.Join(dir, key+resultEnd))
	if err != nil {
		return nil, err
	}
	var r Result
	return &r, json.Unmarshal(b, &r)
}

// ReadResults returns all results of a folder, in order.
func ReadResults(dir string) ([]Result, error) {
	names, err := filepath.Glob(filepath.Join(dir, "*"+resultEnd))
	if err != nil {
		return nil, err
	}
	if len(names) == 0 {
		return nil, fmt.Errorf("%s contains no results of a rehearsal", dir)
	}
	var out []Result
	for _, n := range names {
		r, err := readResult(dir, strings.TrimSuffix(filepath.Base(n), resultEnd))
		if err != nil {
			return nil, fmt.Errorf("%s: %w", n, err)
		}
		out = append(out, *r)
	}
	return out, nil
}
