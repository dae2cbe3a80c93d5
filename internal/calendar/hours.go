// Package calendar plans work that must be finished before crews depart: when a crew departs next,
// when its work has to begin, which machines are rented ahead for it, and what cannot be done in
// time. All of this follows from stored records, so a controller that takes over computes the same
// plans.
//
// The package has no clock and no I/O. Times are wall-clock times, accurate to within the bound of
// the controllers' clocks.
package calendar

import (
	"fmt"
	"regexp"
	"slices"
	"strings"
	"time"
	_ "time/tzdata" // machines may have no time zone database

	"github.com/teambition/rrule-go"

	"github.com/barrowbridge/barrowbridge/wire"
)

// MinuteLayout is the format of a crew's departure, SecondLayout the one for departures that are
// given to the second.
const (
	MinuteLayout = "2006-01-02T15:04"
	SecondLayout = MinuteLayout + ":05"
)

var namePattern = regexp.MustCompile(`^[a-z0-9][a-z0-9-]{0,62}$`)

// firstDeparture returns a crew's first departure. A time that a change to summer time skips is
// taken one hour later. In a recurrence, of a time that occurs twice the second one is taken.
func firstDeparture(crew *wire.Crew) (time.Time, error) {
	location, err := time.LoadLocation(crew.TimeZone)
	if err != nil || crew.TimeZone == "" || crew.TimeZone == "Local" {
		return time.Time{}, fmt.Errorf("time_zone: %q is not known; a name like Europe/Copenhagen", crew.TimeZone)
	}
	t, err := time.ParseInLocation(MinuteLayout, crew.Leaves, location)
	if err != nil {
		t, err = time.ParseInLocation(SecondLayout, crew.Leaves, location)
	}
	if err != nil {
		return time.Time{}, fmt.Errorf("leaves: must be like 2026-12-03T06:30, got %q", crew.Leaves)
	}
	return t, nil
}

// NextDeparture returns a crew's first departure after a time, or false if there is none.
func NextDeparture(crew *wire.Crew, after time.Time) (time.Time, bool) {
	start, err := firstDeparture(crew)
	if err != nil {
		return time.Time{}, false
	}
	if crew.Rule == "" {
		return start, start.After(after)
	}
	r, err := recurrence(crew, start)
	if err != nil {
		return time.Time{}, false
	}
	t := r.After(after, false)
	return t, !t.IsZero()
}

// recurrence returns the recurrence of a crew's departures, which begins at start.
func recurrence(crew *wire.Crew, start time.Time) (*rrule.RRule, error) {
	options, err := rrule.StrToROptionInLocation(crew.Rule, start.Location())
	if err != nil {
		return nil, err
	}
	options.Dtstart = start
	return rrule.NewRRule(*options)
}

// Validate returns an error of one line that names the first invalid field of an operator's
// description of a crew. teamKnown and zoneKnown report whether a team or zone exists.
func Validate(crew *wire.Crew, teamKnown, zoneKnown func(string) bool) error {
	switch {
	case !namePattern.MatchString(crew.Name):
		return fmt.Errorf("name: must be 1 to 63 of a-z, 0-9 and -, got %q", crew.Name)
	case !teamKnown(crew.Team):
		return fmt.Errorf("team: %q is not known", crew.Team)
	case crew.Zone != "" && !zoneKnown(crew.Zone):
		return fmt.Errorf("zone: %q is not known", crew.Zone)
	case len(crew.Classes) == 0 || len(crew.Classes) > 32 || slices.Contains(crew.Classes, ""):
		return fmt.Errorf("classes: 1 to 32 names are needed")
	}
	start, err := firstDeparture(crew)
	if err != nil {
		return err
	}
	if strings.Contains(strings.ToUpper(crew.Rule), "DTSTART") || len(crew.Rule) > 256 {
		return fmt.Errorf("rule: without DTSTART, at most 256 bytes")
	}
	if crew.Rule != "" {
		if recurrence, err := recurrence(crew, start); err != nil {
			return fmt.Errorf("rule: not a recurrence of RFC 5545: %s", strings.ReplaceAll(err.Error(), "\n", " "))
		} else if firstOccurrence := recurrence.After(start.Add(-time.Second), true); !firstOccurrence.IsZero() && recurrence.After(firstOccurrence, false).Sub(firstOccurrence) < time.Minute && !recurrence.After(firstOccurrence, false).IsZero() {
			return fmt.Errorf("rule: departures less than a minute apart")
		}
	}
	expect := crew.Expect
	if expect.Jobs < 0 || expect.Tasks < 0 || expect.Tasks > wire.MaxTasks || !(expect.Seconds >= 0 && expect.Seconds <= 86400) || !(expect.CPUs >= 0 && expect.CPUs <= 1e6) || !(expect.MemoryGB >= 0 && expect.MemoryGB <= 1e6) {
		return fmt.Errorf("expect: jobs, tasks, seconds, cpus and memory_gb must not be negative or beyond reason")
	}
	if (expect.Tasks > 0) != (expect.Seconds > 0 && expect.CPUs > 0) {
		return fmt.Errorf("expect: tasks need seconds and cpus, and these need tasks")
	}
	return nil
}
