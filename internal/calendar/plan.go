package calendar

import (
	"cmp"
	"fmt"
	"math"
	"slices"
	"time"

	"github.com/barrowbridge/barrowbridge/wire"
)

// Margins keep work from ending in the last moment.
type Margins struct {
	ClockError   time.Duration // bound of the controllers' times of day
	Takeover     time.Duration // one change of hands
	FailureShare float64       // share of the work that is done again
	PressLead    time.Duration // so long before the latest start work goes ahead of other routine work
	Rounds       float64       // of expected tasks on one place, for which machines are rented ahead
}

// Job is one that has to be done before a departure, as records have it.
type Job struct {
	ID           string
	Tasks        int           // not done
	TaskDuration time.Duration // of a task, its estimate corrected for its class
	CPUs         float64       // of a task
	Due          time.Time     // its own; zero: none
}

func (j *Job) cpuSeconds() float64 { return float64(j.Tasks) * j.TaskDuration.Seconds() * j.CPUs }

// Of tells whether a job has to be done before a crew leaves.
func RequiredBefore(c *wire.Crew, j *wire.Job, leaves time.Time) bool {
	return j.Team == c.Team && slices.Contains(c.Classes, j.Class) && (c.Zone == "" || j.Zone == "" || j.Zone == c.Zone) &&
		j.Shape != wire.ShapeService && j.AcceptedMS < leaves.UnixMilli()
}

// Plan plans the departure at leaves, with so many CPUs for the crew's team.
func PlanDeparture(c *wire.Crew, now, leaves time.Time, jobs []Job, have float64, m Margins) wire.CrewPlan {
	p := wire.CrewPlan{Crew: c.Name, LeavesMS: leaves.UnixMilli(), Leaves: leaves.Format("Mon 2006-01-02 15:04 MST"), Jobs: len(jobs), Have: have}
	for _, b := range c.Booked {
		if b.LeavesMS == p.LeavesMS {
			p.Ahead += b.Count
		}
	}
	due := Deadline(leaves, m)
	work, longest := 0.0, time.Duration(0)
	for i := range jobs {
		p.Tasks += jobs[i].Tasks
		work += jobs[i].cpuSeconds()
		longest = max(longest, jobs[i].TaskDuration)
	}
	work *= 1 + m.FailureShare
	takes := max(longest, time.Duration(work/max(have, 1e-9)*float64(time.Second)))
	if len(jobs) == 0 {
		takes = 0
	}
	start := due.Add(-min(takes, 1e6*time.Second))
	p.StartMS = start.UnixMilli()
	if left := due.Sub(now).Seconds(); left > 0 {
		p.CPUs = math.Ceil(work / left)
	} else if work > 0 {
		p.CPUs = math.Ceil(work)
	}
	p.Pressed = len(jobs) > 0 && !now.Before(start.Add(-m.PressLead))
	p.Miss, p.MissS = missedJobs(jobs, now, leaves, have)
	p.Say = summarize(c, &p, leaves)
	return p
}

// Due is by when work should be done so that it surely is before the hour.
func Deadline(leaves time.Time, m Margins) time.Time { return leaves.Add(-m.ClockError - m.Takeover) }

// misses counts the jobs that cannot be done in time if as many as possible are (the least
// work first), and by how many seconds the last of them ends too late.
func missedJobs(jobs []Job, now, leaves time.Time, have float64) (n int, by float64) {
	sorted := slices.Clone(jobs)
	slices.SortFunc(sorted, func(a, b Job) int {
		return cmp.Or(cmp.Compare(a.cpuSeconds(), b.cpuSeconds()), cmp.Compare(a.ID, b.ID))
	})
	left, at := leaves.Sub(now).Seconds(), 0.0
	for i := range sorted {
		at += sorted[i].cpuSeconds() / max(have, 1e-9)
		if end := max(at, sorted[i].TaskDuration.Seconds()); end > left {
			n, by = n+1, max(by, end-left)
		}
	}
	return n, min(by, 1e6)
}

func summarize(c *wire.Crew, p *wire.CrewPlan, leaves time.Time) string {
	hour := leaves.Format("15:04")
	switch {
	case p.Jobs == 0:
		return "nothing is left to do before " + hour
	case p.Miss == 0:
		return fmt.Sprintf("%d jobs will be done before %s", p.Jobs, hour)
	}
	why := fmt.Sprintf("%.0f CPUs are there and %.0f needed", p.Have, p.CPUs)
	if p.Have == 0 {
		if why = "no machines"; c.Zone != "" {
			why += " in " + c.Zone
		}
	}
	return fmt.Sprintf("%d of %d jobs will miss %s by up to %s: %s", p.Miss, p.Jobs, hour, (time.Duration(math.Ceil(p.MissS)) * time.Second).String(), why)
}

// Ahead is how many machines, each of so many CPUs, to rent for expected work of which so
// many tasks have been accepted already, and from when on: as if it came when it may come
// last, boot before that. 0: none is expected.
func MachinesAhead(c *wire.Crew, leaves time.Time, accepted int, limit, machine float64, factor float64, boot time.Duration, m Margins) (machines int, from time.Time) {
	e := c.Expect
	tasks := float64(e.Tasks - accepted)
	if tasks <= 0 || machine <= 0 || limit <= 0 {
		return 0, time.Time{}
	}
	one := e.Seconds * factor
	per := max(1, math.Floor(machine/e.CPUs))
	slots := min(tasks, math.Floor(limit/e.CPUs))
	if slots < 1 {
		return 0, time.Time{}
	}
	slots = math.Ceil(min(slots, max(tasks/m.Rounds, 1)))
	takes := time.Duration(math.Ceil(tasks/slots) * one * (1 + m.FailureShare) * float64(time.Second))
	return int(math.Ceil(slots / per)), Deadline(leaves, m).Add(-takes - boot)
}

// Booking names a rental ahead. ver is the version of the crew's record that the write of the
// name compares, so no two writes make the same one.
func BookingName(c *wire.Crew, ver uint64, n int) string {
	return fmt.Sprintf("crew-%s-%d-%d", c.Name, ver, n)
}

// AddBookings adds bookings for so many machines in all, none of more than most, to the record that
// stands at ver. Their names follow from that, so whoever books them asks for the same.
func AddBookings(c *wire.Crew, ver uint64, all wire.CrewBooking, most int) {
	for k, left := 0, all.Count; left > 0; k++ {
		all.Request, all.Count = BookingName(c, ver, k), min(left, most)
		c.Booked = append(c.Booked, all)
		left -= all.Count
	}
}

// Since is from when on the next departure counts: the latest change by operators, or the
// last departure that has an outcome.
func DeparturesCountFrom(c *wire.Crew) time.Time {
	ms := int64(0)
	if n := len(c.History); n > 0 {
		ms = c.History[n-1].AtMS
	}
	if n := len(c.Past); n > 0 {
		ms = max(ms, c.Past[n-1].LeavesMS)
	}
	return time.UnixMilli(ms)
}

// Shorter leaves the oldest of what is kept of the past out of a record, and tells whether
// there was any.
func DropOldestHistory(c *wire.Crew) bool {
	switch {
	case len(c.Past) > 1 && len(c.Past) >= len(c.History): // the last tells what is over
		c.Past = c.Past[1:]
	case len(c.History) > 0:
		c.History = c.History[1:]
	case len(c.Past) > 1:
		c.Past = c.Past[1:]
	default:
		return false
	}
	return true
}

// Fewer makes a record shorter whose bookings have not been asked for yet, by the past first,
// and tells whether it could: what is not booked ahead is rented once the work is there.
func DropHistoryOrBooking(c *wire.Crew) bool {
	if DropOldestHistory(c) {
		return true
	}
	n := len(c.Booked)
	c.Booked = c.Booked[:max(0, n-1)]
	return n > 1
}

// Clean leaves out of a record what concerns departures that are over.
func Prune(c *wire.Crew, leaves time.Time, keep int) {
	c.Booked = slices.DeleteFunc(slices.Clone(c.Booked), func(b wire.CrewBooking) bool { return b.LeavesMS != leaves.UnixMilli() })
	c.Past = c.Past[max(0, len(c.Past)-keep):]
	c.History = c.History[max(0, len(c.History)-keep):]
}
