package main

import (
	"encoding/json"
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/spf13/cobra"

	"github.com/barrowbridge/barrowbridge/internal/load"
	"github.com/barrowbridge/barrowbridge/internal/rehearse"
)

func loadCommand() *cobra.Command {
	var servers []string
	var seed, first uint64
	var out string
	var asJSON bool
	cmd := &cobra.Command{
		Use: "load FILE", Short: "Submit jobs at configured rates and measure what users wait for", Args: cobra.ExactArgs(1),
		Long: "Submit jobs at configured rates and measure what users wait for.\n\n" +
			"Jobs are submitted on schedule regardless of response times, and every duration is\n" +
			"measured from the scheduled submission time of a job. Exits with 2 if jobs were lost\n" +
			"or refused, with 3 if interrupted.",
		RunE: func(cmd *cobra.Command, args []string) error {
			b, err := os.ReadFile(args[0])
			if err != nil {
				return err
			}
			p, err := load.ParsePlan(args[0], b)
			if err != nil {
				return err
			}
			if first == 0 { // job ids are never reused; ids derived from the current time are new
				first = uint64(time.Now().Unix()) * 1000000
			}
			ctx, stop := signal.NotifyContext(cmd.Context(), syscall.SIGINT, syscall.SIGTERM)
			defer stop()
			o := load.Run(ctx, p, seed, first, load.NewClient(servers, nil), cmd.ErrOrStderr())
			r := loadResult(p, seed, o)
			if out != "" {
				if err := rehearse.Store(out, r); err != nil {
					return err
				}
			}
			if asJSON {
				e := json.NewEncoder(cmd.OutOrStdout())
				e.SetIndent("", "  ")
				err = e.Encode(r)
			} else {
				err = o.Print(cmd.OutOrStdout())
			}
			switch {
			case err != nil:
				return err
			case ctx.Err() != nil:
				return &exitError{exitInterrupted, "interrupted"}
			case o.Lost+o.Refused > 0:
				return &exitError{exitRehearsalFailed, fmt.Sprintf("%d jobs lost, %d refused", o.Lost, o.Refused)}
			}
			return nil
		},
	}
	f := cmd.Flags()
	f.StringSliceVar(&servers, "server", []string{"127.0.0.1:8080"}, "controllers as ip:port, used in turn")
	f.Uint64Var(&seed, "seed", 1, "seed for arrivals and sizes")
	f.Uint64Var(&first, "first-id", 0, "number of the first job id (default: from the time of day)")
	f.StringVar(&out, "out", "", "folder to store the result in, for rehearse compare")
	f.BoolVar(&asJSON, "json", false, "print JSON")
	return cmd
}

// loadResult converts the outcome of a load run to the format of stored rehearsal results.
func loadResult(p *load.Plan, seed uint64, o *load.Outcome) *rehearse.Result {
	r := &rehearse.Result{Scenario: "load " + p.Name, Seed: seed, Result: rehearse.Passed, Faults: []rehearse.FaultResult{}, Objectives: []rehearse.Objective{},
		Waits: []rehearse.Wait{}, Rules: rehearse.Rules{Broken: []rehearse.Broken{}}}
	if o.Lost+o.Refused > 0 {
		r.Result, r.Why = rehearse.Failed, "jobs were lost or refused"
	}
	add := func(what, unit string, v float64) {
		r.Objectives = append(r.Objectives, rehearse.Objective{What: what, Got: v, Unit: unit, Met: true})
	}
	add("planned", "jobs", float64(o.Planned))
	add("not sent", "jobs", float64(o.NotSent+o.LeftOut))
	add("not over", "jobs", float64(o.Open))
	if o.Due > 0 {
		add("done that have a deadline", "jobs", float64(o.Due))
		add("done by their deadline", "jobs", float64(o.Met))
	}
	for _, c := range o.Classes {
		for _, h := range c.Each() {
			if h.H.TotalCount() == 0 {
				continue
			}
			for _, q := range []float64{50, 90, 99} {
				add(fmt.Sprintf("%s %s p%g", c.Class, h.Name, q), "s", float64(h.H.ValueAtQuantile(q))/1000)
			}
		}
	}
	return r
}
