package calendar

import (
	"fmt"
	"time"

	"github.com/barrowbridge/barrowbridge/wire"
)

// Departure is what has been seen of one: the jobs that had to be done before it.
type Departure struct {
	LeavesMS int64

	jobDone map[string]bool // true: done
	met     int
	lateS   float64
	misses  int
}

// NewDeparture begins to follow the departure at a time of day in milliseconds.
func NewDeparture(leavesMS int64) *Departure {
	return &Departure{LeavesMS: leavesMS, jobDone: map[string]bool{}}
}

// Follow takes the jobs that are open at a time of day, and counts those that are no more: of
// tells of a job whether it is live, and if not, whether it was done. One that is neither was
// cancelled, and counts no more.
func (d *Departure) Update(now, leaves time.Time, openJobs []string, stateOf func(id string) (live, done bool)) {
	for _, id := range openJobs {
		d.jobDone[id] = false
	}
	for id, counted := range d.jobDone {
		live, done := stateOf(id)
		switch {
		case counted || live:
		case !done:
			delete(d.jobDone, id)
		default:
			d.jobDone[id] = true
			if late := now.Sub(leaves).Seconds(); late > 0 {
				d.lateS = max(d.lateS, late)
			} else {
				d.met++
			}
		}
	}
}

// Misses takes how many jobs the plan gives up, and tells whether it is news that there are any.
func (d *Departure) SetMisses(misses int) bool {
	changed := (misses > 0) != (d.misses > 0)
	d.misses = misses
	return changed
}

// Outcome is how it went, once it has left and nothing is open, or was not done for settle; why
// says what kept the rest.
func (d *Departure) Outcome(now, leaves time.Time, open int, delay time.Duration, why string) (outcome wire.CrewOutcome, over bool) {
	outcome = wire.CrewOutcome{LeavesMS: d.LeavesMS, Jobs: len(d.jobDone), Met: d.met, LateS: d.lateS}
	if open > 0 {
		outcome.LateS, outcome.Why = max(outcome.LateS, now.Sub(leaves).Seconds()), why
	}
	return outcome, !now.Before(leaves) && (open == 0 || now.Sub(leaves) >= delay)
}

// Revise makes a crew's new record of the one that stands, nil if there is none, and of what an
// operator wants, changed now at a controller. Of outcomes and changes the last keep stay, and
// bookings for a departure that is no longer meant go. The error names the field that is wrong.
func Revise(previous *wire.Crew, wanted wire.Crew, name string, now time.Time, node string, historyLength int, teamKnown, zoneKnown func(string) bool) (wire.Crew, error) {
	what := "added"
	wanted.Name, wanted.Booked, wanted.Past, wanted.History = name, nil, nil, nil
	if previous != nil {
		what = "changed, was to leave " + previous.Leaves + " " + previous.TimeZone + " " + previous.Rule
		wanted.Booked, wanted.Past, wanted.History = previous.Booked, previous.Past, append([]wire.CrewChange(nil), previous.History...)
	}
	wanted.History = append(wanted.History, wire.CrewChange{AtMS: now.UnixMilli(), Node: node, What: what})
	if err := Validate(&wanted, teamKnown, zoneKnown); err != nil {
		return wanted, err
	}
	leaves, ok := NextDeparture(&wanted, now)
	if !ok {
		return wanted, fmt.Errorf("leaves: it never leaves from now on")
	}
	Prune(&wanted, leaves, historyLength)
	return wanted, nil
}
