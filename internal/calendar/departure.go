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
func (d *Departure) Update(now, leaves time.Time, open []string, of func(id string) (live, done bool)) {
	for _, id := range open {
		d.jobDone[id] = false
	}
	for id, counted := range d.jobDone {
		live, done := of(id)
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
func (d *Departure) SetMisses(n int) bool {
	news := (n > 0) != (d.misses > 0)
	d.misses = n
	return news
}

// Outcome is how it went, once it has left and nothing is open, or was not done for settle; why
// says what kept the rest.
func (d *Departure) Outcome(now, leaves time.Time, open int, settle time.Duration, why string) (o wire.CrewOutcome, over bool) {
	o = wire.CrewOutcome{LeavesMS: d.LeavesMS, Jobs: len(d.jobDone), Met: d.met, LateS: d.lateS}
	if open > 0 {
		o.LateS, o.Why = max(o.LateS, now.Sub(leaves).Seconds()), why
	}
	return o, !now.Before(leaves) && (open == 0 || now.Sub(leaves) >= settle)
}

// Revise makes a crew's new record of the one that stands, nil if there is none, and of what an
// operator wants, changed now at a controller. Of outcomes and changes the last keep stay, and
// bookings for a departure that is no longer meant go. The error names the field that is wrong.
func Revise(was *wire.Crew, want wire.Crew, name string, now time.Time, node string, keep int, team, zone func(string) bool) (wire.Crew, error) {
	what := "added"
	want.Name, want.Booked, want.Past, want.History = name, nil, nil, nil
	if was != nil {
		what = "changed, was to leave " + was.Leaves + " " + was.TimeZone + " " + was.Rule
		want.Booked, want.Past, want.History = was.Booked, was.Past, append([]wire.CrewChange(nil), was.History...)
	}
	want.History = append(want.History, wire.CrewChange{AtMS: now.UnixMilli(), Node: node, What: what})
	if err := Validate(&want, team, zone); err != nil {
		return want, err
	}
	leaves, ok := NextDeparture(&want, now)
	if !ok {
		return want, fmt.Errorf("leaves: it never leaves from now on")
	}
	Prune(&want, leaves, keep)
	return want, nil
}
