package calendar

import (
	"fmt"
	"time"

	"github.com/barrowbridge/barrowbridge/wire"
)

// Departure tracks one departure: the jobs that must be done before it, and how they ended.
type Departure struct {
	LeavesMS int64

	jobDone map[string]bool // job -> whether it is done
	met     int             // jobs done in time
	lateS   float64         // seconds by which the latest job that is done was late
	misses  int             // jobs that will miss the departure, according to the last plan
}

// NewDeparture returns a tracker of the departure at a time in Unix milliseconds.
func NewDeparture(leavesMS int64) *Departure {
	return &Departure{LeavesMS: leavesMS, jobDone: map[string]bool{}}
}

// Update adds the jobs that are open now and counts those that have ended. stateOf reports whether
// a job is live and, if it is not, whether it was done. A job that is neither was cancelled and no
// longer counts.
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

// SetMisses stores how many jobs will miss the departure according to the plan, and reports whether
// this number has become zero or is no longer zero.
func (d *Departure) SetMisses(misses int) bool {
	changed := (misses > 0) != (d.misses > 0)
	d.misses = misses
	return changed
}

// Outcome returns the outcome of the departure. It is final (over) once the departure has passed
// and no job is open, or once the departure was delay ago. why is the reason for the jobs that are
// still open.
func (d *Departure) Outcome(now, leaves time.Time, open int, delay time.Duration, why string) (outcome wire.CrewOutcome, over bool) {
	outcome = wire.CrewOutcome{LeavesMS: d.LeavesMS, Jobs: len(d.jobDone), Met: d.met, LateS: d.lateS}
	if open > 0 {
		outcome.LateS, outcome.Why = max(outcome.LateS, now.Sub(leaves).Seconds()), why
	}
	return outcome, !now.Before(leaves) && (open == 0 || now.Sub(leaves) >= delay)
}

// Revise returns a crew's new record, made from the stored one (nil if there is none) and from what
// an operator wants, as changed now at the controller node. The last historyLength outcomes and
// changes are kept, and bookings for other departures than the next are removed. The error names
// the invalid field.
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
