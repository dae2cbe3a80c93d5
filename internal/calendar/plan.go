package calendar

import (
	"cmp"
	"fmt"
	"math"
	"slices"
	"time"

	"github.com/barrowbridge/barrowbridge/internal/conversion"
	"github.com/barrowbridge/barrowbridge/wire"
)

// minCPUs stands for the CPUs of a team that has none, for which any work takes longer than maxPlanned.
const minCPUs = 1e-9

// maxPlanned is the longest time that work is planned to take.
const maxPlanned = 1e6 * time.Second

// Margins are safety margins, so that work does not end at the last moment.
type Margins struct {
	ClockError   time.Duration // bound of the error of the controllers' clocks
	Takeover     time.Duration // duration of one takeover
	FailureShare float64       // share of the work that is expected to be repeated
	PressLead    time.Duration // work goes ahead of other routine work from this long before its latest start
	Rounds       float64       // expected tasks that run one after the other in one slot of a machine rented ahead
}

// Job is a job that must be done before a departure, as its records describe it.
type Job struct {
	ID           string
	Tasks        int           // tasks that are not done
	TaskDuration time.Duration // estimated run time of a task, corrected for its class
	CPUs         float64       // CPUs of a task
	Due          time.Time     // its own deadline; zero if it has none
}

// cpuSeconds returns the CPU time that the remaining tasks need, in seconds.
func (j *Job) cpuSeconds() float64 { return float64(j.Tasks) * j.TaskDuration.Seconds() * j.CPUs }

// RequiredBefore reports whether a job must be done before a crew departs.
func RequiredBefore(crew *wire.Crew, job *wire.Job, leaves time.Time) bool {
	return job.Team == crew.Team && slices.Contains(crew.Classes, job.Class) && (crew.Zone == "" || job.Zone == "" || job.Zone == crew.Zone) &&
		job.Shape != wire.ShapeService && job.AcceptedMS < leaves.UnixMilli()
}

// PlanDeparture plans the departure at leaves, with the given number of CPUs available to the
// crew's team.
func PlanDeparture(crew *wire.Crew, now, leaves time.Time, jobs []Job, availableCPUs float64, margins Margins) wire.CrewPlan {
	plan := wire.CrewPlan{
		Crew:     crew.Name,
		LeavesMS: leaves.UnixMilli(),
		Leaves:   leaves.Format("Mon 2006-01-02 15:04 MST"),
		Jobs:     len(jobs),
		Have:     availableCPUs,
	}
	for _, b := range crew.Booked {
		if b.LeavesMS == plan.LeavesMS {
			plan.Ahead += b.Count
		}
	}
	deadline := Deadline(leaves, margins)
	work, longest := 0.0, time.Duration(0)
	for i := range jobs {
		plan.Tasks += jobs[i].Tasks
		work += jobs[i].cpuSeconds()
		longest = max(longest, jobs[i].TaskDuration)
	}
	work *= 1 + margins.FailureShare
	duration := max(longest, conversion.Seconds(work/max(availableCPUs, minCPUs)))
	if len(jobs) == 0 {
		duration = 0
	}
	start := deadline.Add(-min(duration, maxPlanned))
	plan.StartMS = start.UnixMilli()
	if left := deadline.Sub(now).Seconds(); left > 0 {
		plan.CPUs = math.Ceil(work / left)
	} else if work > 0 {
		plan.CPUs = math.Ceil(work)
	}
	plan.Pressed = len(jobs) > 0 && !now.Before(start.Add(-margins.PressLead))
	plan.Miss, plan.MissS = missedJobs(jobs, now, leaves, availableCPUs)
	plan.Say = summarize(crew, &plan, leaves)
	return plan
}

// Deadline returns the time by which work should be done so that it is certain to be done before
// the departure.
func Deadline(leaves time.Time, margins Margins) time.Time {
	return leaves.Add(-margins.ClockError - margins.Takeover)
}

// missedJobs returns how many jobs cannot be done in time if as many as possible are, which is the
// case when those with the least work run first, and by how many seconds the last of them ends too
// late.
func missedJobs(jobs []Job, now, leaves time.Time, availableCPUs float64) (count int, lateSeconds float64) {
	sorted := slices.Clone(jobs)
	slices.SortFunc(sorted, func(a, b Job) int {
		return cmp.Or(cmp.Compare(a.cpuSeconds(), b.cpuSeconds()), cmp.Compare(a.ID, b.ID))
	})
	secondsLeft, finished := leaves.Sub(now).Seconds(), 0.0
	for i := range sorted {
		finished += sorted[i].cpuSeconds() / max(availableCPUs, minCPUs)
		if end := max(finished, sorted[i].TaskDuration.Seconds()); end > secondsLeft {
			count, lateSeconds = count+1, max(lateSeconds, end-secondsLeft)
		}
	}
	return count, min(lateSeconds, maxPlanned.Seconds())
}

// summarize returns a sentence about a plan for operators.
func summarize(crew *wire.Crew, plan *wire.CrewPlan, leaves time.Time) string {
	hour := leaves.Format("15:04")
	switch {
	case plan.Jobs == 0:
		return "nothing is left to do before " + hour
	case plan.Miss == 0:
		return fmt.Sprintf("%d jobs will be done before %s", plan.Jobs, hour)
	}
	why := fmt.Sprintf("%.0f CPUs are there and %.0f needed", plan.Have, plan.CPUs)
	if plan.Have == 0 {
		if why = "no machines"; crew.Zone != "" {
			why += " in " + crew.Zone
		}
	}
	return fmt.Sprintf("%d of %d jobs will miss %s by up to %s: %s", plan.Miss, plan.Jobs, hour, conversion.Seconds(math.Ceil(plan.MissS)).String(), why)
}

// MachinesAhead returns how many machines, each with the given number of CPUs, to rent for expected
// work of which some tasks have been accepted already, and from when on. It assumes that the work
// arrives as late as it may, and allows for the machines' boot time before that. The result is 0 if
// no work is expected.
func MachinesAhead(crew *wire.Crew, leaves time.Time, accepted int, maxCPUs, machineCPUs float64, estimateFactor float64, bootTime time.Duration, margins Margins) (machines int, from time.Time) {
	expect := crew.Expect
	tasks := float64(expect.Tasks - accepted)
	if tasks <= 0 || machineCPUs <= 0 || maxCPUs <= 0 {
		return 0, time.Time{}
	}
	taskSeconds := expect.Seconds * estimateFactor
	slotsPerMachine := max(1, math.Floor(machineCPUs/expect.CPUs))
	slots := min(tasks, math.Floor(maxCPUs/expect.CPUs))
	if slots < 1 {
		return 0, time.Time{}
	}
	slots = math.Ceil(min(slots, max(tasks/margins.Rounds, 1)))
	duration := min(conversion.Seconds(math.Ceil(tasks/slots)*taskSeconds*(1+margins.FailureShare)), maxPlanned)
	return conversion.Int(math.Ceil(slots / slotsPerMachine)), Deadline(leaves, margins).Add(-duration - bootTime)
}

// BookingName returns the name of a booking of machines rented ahead. version is the version of the
// crew's record on which the write of the name is conditional, so no two writes create the same
// name.
func BookingName(crew *wire.Crew, version uint64, index int) string {
	return fmt.Sprintf("crew-%s-%d-%d", crew.Name, version, index)
}

// AddBookings adds bookings for a total number of machines to the record that is stored at version,
// none for more than maxMachines. Their names follow from the record and its version, so every
// controller that requests them makes the same requests.
func AddBookings(crew *wire.Crew, version uint64, total wire.CrewBooking, maxMachines int) {
	for index, remaining := 0, total.Count; remaining > 0; index++ {
		total.Request, total.Count = BookingName(crew, version, index), min(remaining, maxMachines)
		crew.Booked = append(crew.Booked, total)
		remaining -= total.Count
	}
}

// DeparturesCountFrom returns the time after which the next departure is searched: that of the
// latest change by operators or of the last departure that has an outcome, whichever is later.
func DeparturesCountFrom(crew *wire.Crew) time.Time {
	unixMS := int64(0)
	if n := len(crew.History); n > 0 {
		unixMS = crew.History[n-1].AtMS
	}
	if n := len(crew.Past); n > 0 {
		unixMS = max(unixMS, crew.Past[n-1].LeavesMS)
	}
	return time.UnixMilli(unixMS)
}

// DropOldestHistory removes the oldest outcome or change from a record, and reports whether there
// was one that could be removed.
func DropOldestHistory(crew *wire.Crew) bool {
	switch {
	case len(crew.Past) > 1 && len(crew.Past) >= len(crew.History): // the last outcome shows which departure is over
		crew.Past = crew.Past[1:]
	case len(crew.History) > 0:
		crew.History = crew.History[1:]
	case len(crew.Past) > 1:
		crew.Past = crew.Past[1:]
	default:
		return false
	}
	return true
}

// DropHistoryOrBooking shortens a record whose bookings have not been requested yet: it removes the
// oldest history first, then the last booking. It reports whether it removed history or a booking
// that was not the only one. Machines that are not booked ahead are rented once the work has
// arrived.
func DropHistoryOrBooking(crew *wire.Crew) bool {
	if DropOldestHistory(crew) {
		return true
	}
	n := len(crew.Booked)
	crew.Booked = crew.Booked[:max(0, n-1)]
	return n > 1
}

// Prune removes from a record the bookings for departures other than the one at leaves, and all but
// the last historyLength outcomes and changes.
func Prune(crew *wire.Crew, leaves time.Time, historyLength int) {
	crew.Booked = slices.DeleteFunc(slices.Clone(crew.Booked), func(b wire.CrewBooking) bool { return b.LeavesMS != leaves.UnixMilli() })
	crew.Past = crew.Past[max(0, len(crew.Past)-historyLength):]
	crew.History = crew.History[max(0, len(crew.History)-historyLength):]
}
