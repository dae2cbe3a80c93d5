package main

import (
	"fmt"
	"net/http"
	"net/url"
	"strings"
	"time"

	"github.com/spf13/cobra"

	"github.com/barrowbridge/barrowbridge/wire"
)

// crewCommand returns the commands that print and change the crew calendar.
func (c *client) crewCommand() *cobra.Command {
	cmd := &cobra.Command{Use: "crew", Short: "Print and change crew departures and the work planned before them"}
	var dry bool
	cmd.PersistentFlags().BoolVar(&dry, "dry-run", false, "validate only, change nothing")
	cmd.AddCommand(c.crewAdd(&dry), c.crewMove(&dry), c.crewCancel(&dry), c.crewWatch(),
		c.crewShow("list", "Print all crews and their next departures", cobra.NoArgs, func(v wire.CrewView) string {
			return fmt.Sprintf("%s  team %s  %s  %s: %s", v.Crew.Name, v.Crew.Team, v.Plan.Leaves, strings.Join(v.Crew.Classes, ","), v.Plan.Say)
		}),
		c.crewShow("show NAME", "Print one crew", cobra.ExactArgs(1), showCrew),
		c.crewShow("plan [NAME]", "Print what is planned", cobra.MaximumNArgs(1), showPlan),
		c.crewShow("history NAME", "Print past departures and changes", cobra.ExactArgs(1), showPast))
	return cmd
}

// crews returns all crews, or only the named one if name is not empty.
func (c *client) crews(name string) ([]wire.CrewView, error) {
	var list []wire.CrewView
	if err := c.call(http.MethodGet, "/admin/v1/crews", nil, &list); err != nil || name == "" {
		return list, err
	}
	for _, v := range list {
		if v.Crew.Name == name {
			return []wire.CrewView{v}, nil
		}
	}
	return nil, &exitError{exitUnknown, fmt.Sprintf("no crew %q", name)}
}

func (c *client) crewShow(use, short string, args cobra.PositionalArgs, line func(wire.CrewView) string) *cobra.Command {
	return &cobra.Command{Use: use, Short: short, Args: args, RunE: func(_ *cobra.Command, a []string) error {
		list, err := c.crews(strings.Join(a, ""))
		if err != nil {
			return err
		}
		var lines []string
		for _, v := range list {
			lines = append(lines, line(v))
		}
		return c.print(list, strings.Join(lines, "\n"))
	}}
}

func showCrew(v wire.CrewView) string {
	k := v.Crew
	s := fmt.Sprintf("%s, version %d: team %s, classes %s, leaves %s %s", k.Name, v.Version, k.Team, strings.Join(k.Classes, " "), k.Leaves, k.TimeZone)
	if k.Zone != "" {
		s += ", zone " + k.Zone
	}
	if k.Rule != "" {
		s += ", " + k.Rule
	}
	if e := k.Expect; e.Tasks > 0 {
		s += fmt.Sprintf("\n  expects %d tasks of %g s, %g cpus, in %d jobs", e.Tasks, e.Seconds, e.CPUs, max(e.Jobs, 1))
	}
	return s + "\n" + showPlan(v)
}

func showPlan(v wire.CrewView) string {
	p := v.Plan
	if p.LeavesMS == 0 {
		return p.Crew + ": " + p.Say
	}
	s := fmt.Sprintf("%s leaves %s: %s", p.Crew, p.Leaves, p.Say)
	if p.Jobs > 0 {
		s += fmt.Sprintf("\n  %d tasks, to be started by %s at the latest, %.0f cpus needed, %.0f available", p.Tasks, time.UnixMilli(p.StartMS).UTC().Format(time.RFC3339), p.CPUs, p.Have)
	}
	if p.Pressed {
		s += ", ahead of other routine work"
	}
	if p.Ahead > 0 {
		s += fmt.Sprintf("\n  %d machines rented ahead", p.Ahead)
	}
	return s
}

func showPast(v wire.CrewView) string {
	var lines []string
	for _, o := range v.Crew.Past {
		s := fmt.Sprintf("left %s: %d of %d jobs done by then", time.UnixMilli(o.LeavesMS).UTC().Format(time.RFC3339), o.Met, o.Jobs)
		if o.LateS > 0 {
			s += fmt.Sprintf(", the last %.0f s late", o.LateS)
		}
		lines = append(lines, strings.TrimSuffix(s+"; "+o.Why, "; "))
	}
	for _, h := range v.Crew.History {
		lines = append(lines, fmt.Sprintf("%s at %s: %s", time.UnixMilli(h.AtMS).UTC().Format(time.RFC3339), h.Node, h.What))
	}
	return strings.Join(lines, "\n")
}

// putCrew writes a crew; with dry, the controller only validates it.
func (c *client) putCrew(v wire.CrewView, dry bool) error {
	var out wire.CrewView
	if err := c.call(http.MethodPut, "/admin/v1/crews/"+url.PathEscape(v.Crew.Name), wire.CrewPatch{Version: v.Version, Crew: v.Crew, DryRun: dry}, &out); err != nil {
		return err
	}
	return c.print(out, showCrew(out))
}

func (c *client) crewAdd(dry *bool) *cobra.Command {
	var k wire.Crew
	cmd := &cobra.Command{Use: "add NAME", Short: "Add a crew", Args: cobra.ExactArgs(1), RunE: func(_ *cobra.Command, a []string) error {
		k.Name = a[0]
		return c.putCrew(wire.CrewView{Crew: k}, *dry)
	}}
	f := cmd.Flags()
	f.StringVar(&k.Team, "team", "", "team that owns the work")
	f.StringVar(&k.Zone, "zone", "", "zone of the work; any if not given")
	f.StringSliceVar(&k.Classes, "class", nil, "classes of jobs that have to finish before the departure")
	f.StringVar(&k.Leaves, "leaves", "", "local time of the first departure, such as 2026-12-03T06:30")
	f.StringVar(&k.TimeZone, "time-zone", "UTC", "time zone name, such as Europe/Copenhagen")
	f.StringVar(&k.Rule, "rule", "", "RFC 5545 recurrence rule, such as FREQ=WEEKLY;BYDAY=MO,WE")
	f.IntVar(&k.Expect.Tasks, "expect-tasks", 0, "expected tasks before each departure, if known")
	f.IntVar(&k.Expect.Jobs, "expect-jobs", 0, "expected jobs that the tasks belong to")
	f.Float64Var(&k.Expect.Seconds, "expect-seconds", 0, "expected run time of a task, in seconds")
	f.Float64Var(&k.Expect.CPUs, "expect-cpus", 0, "CPUs of a task")
	f.Float64Var(&k.Expect.MemoryGB, "expect-memory-gb", 0, "memory of a task, in GB")
	f.BoolVar(&k.Expect.Spot, "expect-spot", false, "the expected tasks may use spot machines")
	return cmd
}

func (c *client) crewMove(dry *bool) *cobra.Command {
	var zone, rule string
	cmd := &cobra.Command{Use: "move NAME HOUR", Short: "Change when a crew leaves", Args: cobra.ExactArgs(2)}
	cmd.Flags().StringVar(&zone, "time-zone", "", "new time zone name")
	cmd.Flags().StringVar(&rule, "rule", "", "new recurrence rule")
	cmd.RunE = func(cmd *cobra.Command, a []string) error {
		list, err := c.crews(a[0])
		if err != nil {
			return err
		}
		v := list[0]
		v.Crew.Leaves = a[1]
		if cmd.Flags().Changed("time-zone") {
			v.Crew.TimeZone = zone
		}
		if cmd.Flags().Changed("rule") {
			v.Crew.Rule = rule
		}
		return c.putCrew(v, *dry)
	}
	return cmd
}

func (c *client) crewCancel(dry *bool) *cobra.Command {
	return &cobra.Command{Use: "cancel NAME", Short: "Remove a crew from the calendar", Args: cobra.ExactArgs(1), RunE: func(_ *cobra.Command, a []string) error {
		list, err := c.crews(a[0])
		if err != nil {
			return err
		}
		var out wire.CrewView
		path := fmt.Sprintf("/admin/v1/crews/%s?version=%d&dry_run=%v", url.PathEscape(a[0]), list[0].Version, *dry)
		if err := c.call(http.MethodDelete, path, nil, &out); err != nil {
			return err
		}
		return c.print(out, "cancelled "+a[0])
	}}
}

func (c *client) crewWatch() *cobra.Command {
	var most time.Duration
	cmd := &cobra.Command{Use: "watch [NAME]", Short: "Print plans as they change", Args: cobra.MaximumNArgs(1), RunE: func(_ *cobra.Command, a []string) error {
		last := map[string]string{}
		for end := time.Now().Add(most); time.Now().Before(end); time.Sleep(2 * time.Second) {
			list, err := c.crews(strings.Join(a, ""))
			if err != nil {
				return err
			}
			for _, v := range list {
				if s := showPlan(v); last[v.Crew.Name] != s {
					last[v.Crew.Name] = s
					if err := c.print(v.Plan, s); err != nil {
						return err
					}
				}
			}
		}
		return nil
	}}
	cmd.Flags().DurationVar(&most, "for", time.Hour, "how long to watch")
	return cmd
}
