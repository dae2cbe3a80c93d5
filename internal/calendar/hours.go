// Package calendar plans work to be finished before crews leave: when a crew leaves next, by
// when its work has to begin, what is rented ahead for it, and what cannot be done in time.
// All of it follows from records, so whoever takes over plans the same.
//
// Pure. Times are those of the day, to within the bound of the controllers' clocks.
package calendar

import (
	"fmt"
	"regexp"
	"slices"
	"strings"
	"time"
	_ "time/tzdata" // machines may have none

	"github.com/teambition/rrule-go"

	"github.com/barrowbridge/barrowbridge/wire"
)

// Hour is how a crew's departure is written; Second if it is to be told to the second.
const (
	MinuteLayout = "2006-01-02T15:04"
	SecondLayout = MinuteLayout + ":05"
)

var namePattern = regexp.MustCompile(`^[a-z0-9][a-z0-9-]{0,62}$`)

// first is a crew's first departure. An hour that a change of clocks leaves out is taken an
// hour later, one that comes twice is, in a recurrence, the second of the two.
func firstDeparture(c *wire.Crew) (time.Time, error) {
	at, err := time.LoadLocation(c.TimeZone)
	if err != nil || c.TimeZone == "" || c.TimeZone == "Local" {
		return time.Time{}, fmt.Errorf("time_zone: %q is not known; a name like Europe/Copenhagen", c.TimeZone)
	}
	t, err := time.ParseInLocation(MinuteLayout, c.Leaves, at)
	if err != nil {
		t, err = time.ParseInLocation(SecondLayout, c.Leaves, at)
	}
	if err != nil {
		return time.Time{}, fmt.Errorf("leaves: must be like 2026-12-03T06:30, got %q", c.Leaves)
	}
	return t, nil
}

// Next is a crew's first departure after a time; false: it leaves no more.
func NextDeparture(c *wire.Crew, after time.Time) (time.Time, bool) {
	start, err := firstDeparture(c)
	if err != nil {
		return time.Time{}, false
	}
	if c.Rule == "" {
		return start, start.After(after)
	}
	r, err := recurrence(c, start)
	if err != nil {
		return time.Time{}, false
	}
	t := r.After(after, false)
	return t, !t.IsZero()
}

func recurrence(c *wire.Crew, start time.Time) (*rrule.RRule, error) {
	o, err := rrule.StrToROptionInLocation(c.Rule, start.Location())
	if err != nil {
		return nil, err
	}
	o.Dtstart = start
	return rrule.NewRRule(*o)
}

// Check tells in one line what is wrong with what operators say of a crew.
func Validate(c *wire.Crew, team, zone func(string) bool) error {
	switch {
	case !namePattern.MatchString(c.Name):
		return fmt.Errorf("name: must be 1 to 63 of a-z, 0-9 and -, got %q", c.Name)
	case !team(c.Team):
		return fmt.Errorf("team: %q is not known", c.Team)
	case c.Zone != "" && !zone(c.Zone):
		return fmt.Errorf("zone: %q is not known", c.Zone)
	case len(c.Classes) == 0 || len(c.Classes) > 32 || slices.Contains(c.Classes, ""):
		return fmt.Errorf("classes: 1 to 32 names are needed")
	}
	start, err := firstDeparture(c)
	if err != nil {
		return err
	}
	if strings.Contains(strings.ToUpper(c.Rule), "DTSTART") || len(c.Rule) > 256 {
		return fmt.Errorf("rule: without DTSTART, at most 256 bytes")
	}
	if c.Rule != "" {
		if r, err := recurrence(c, start); err != nil {
			return fmt.Errorf("rule: not a recurrence of RFC 5545: %s", strings.ReplaceAll(err.Error(), "\n", " "))
		} else if a := r.After(start.Add(-time.Second), true); !a.IsZero() && r.After(a, false).Sub(a) < time.Minute && !r.After(a, false).IsZero() {
			return fmt.Errorf("rule: departures less than a minute apart")
		}
	}
	e := c.Expect
	if e.Jobs < 0 || e.Tasks < 0 || e.Tasks > wire.MaxTasks || !(e.Seconds >= 0 && e.Seconds <= 86400) || !(e.CPUs >= 0 && e.CPUs <= 1e6) || !(e.MemoryGB >= 0 && e.MemoryGB <= 1e6) {
		return fmt.Errorf("expect: jobs, tasks, seconds, cpus and memory_gb must not be negative or beyond reason")
	}
	if (e.Tasks > 0) != (e.Seconds > 0 && e.CPUs > 0) {
		return fmt.Errorf("expect: tasks need seconds and cpus, and these need tasks")
	}
	return nil
}
