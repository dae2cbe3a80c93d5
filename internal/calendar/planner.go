package calendar

import (
	"fmt"
	"iter"
	"maps"
	"slices"
	"time"

	"github.com/barrowbridge/barrowbridge/internal/limits"
	"github.com/barrowbridge/barrowbridge/wire"
)

// Limits bound the records of crews.
type Limits struct {
	MaxCrews           int
	HistoryLength      int           // outcomes and changes that a record keeps
	RecordBytes        int           // size of a stored record
	OutcomeDelay       time.Duration // an outcome is written this long after a departure, or earlier once its jobs are over
	MaxBookingMachines int           // machines in one booking
}

// Entry is a crew's record and its version in the state service.
type Entry struct {
	Record  wire.Crew
	Version uint64
}

// Requirement is what departures require of a job. Pressed means that the job has no slack left and
// goes ahead of other routine work.
type Requirement struct {
	Due     float64 // Unix seconds
	Pressed bool
}

// WorkSource gives a planner the remaining work of the live jobs and the available capacity.
type WorkSource interface {
	// Jobs returns the live jobs, the oldest first.
	Jobs() iter.Seq[*wire.Job]
	// Remaining returns how many tasks of a live job are not done, and the run time of each.
	Remaining(job string) (tasks int, taskDuration time.Duration)
	// CPUs returns the CPUs that a team may use in a zone, or in all zones if it is empty, up to
	// the team's limit.
	CPUs(team, zone string) float64
	// Outcome returns whether a job is live and, if it is over, its final status as in package
	// wire, or "" if that is not known.
	Outcome(job string) (live bool, status string)
}

// Event is a change about a crew to be reported: whether jobs will miss a departure has changed, or
// a departure is over and its outcome is to be written.
type Event struct {
	Crew    *Entry
	Plan    wire.CrewPlan
	Outcome *wire.CrewOutcome // nil if the number of jobs that miss it has become zero or is no longer zero
	Record  wire.Crew         // the crew's record with the outcome
}

// Planner holds what one controller knows of the crews, and plans the departures of those in the
// shards that it holds. Everything but the counts of jobs that are done can be rebuilt from
// records.
type Planner struct {
	margins          Margins
	limits           Limits
	crews            map[string]*Entry
	requirements     map[string]Requirement // by job
	departures       map[string]*Departure  // by crew
	answeredBookings map[string]bool        // answered bookings whose record is being written, by request
	writing          map[string]bool        // crews whose record is being written
}

// NewPlanner returns a planner without crews.
func NewPlanner(margins Margins, limits Limits) *Planner {
	return &Planner{
		margins:          margins,
		limits:           limits,
		crews:            map[string]*Entry{},
		requirements:     map[string]Requirement{},
		departures:       map[string]*Departure{},
		answeredBookings: map[string]bool{},
		writing:          map[string]bool{},
	}
}

// SetRecordBytes sets the largest size of records that are made from now on, in bytes.
func (p *Planner) SetRecordBytes(bytes int) { p.limits.RecordBytes = bytes }

// Put stores a version of a crew's record.
func (p *Planner) Put(name string, record wire.Crew, version uint64) {
	p.crews[name] = &Entry{record, version}
}

// Remove removes a crew.
func (p *Planner) Remove(name string) { delete(p.crews, name) }

// Crew returns a crew, or nil if there is none of this name.
func (p *Planner) Crew(name string) *Entry { return p.crews[name] }

// Names lists the names of the crews, sorted.
func (p *Planner) Names() []string { return slices.Sorted(maps.Keys(p.crews)) }

// Empty reports whether there is neither a crew nor a requirement left from an earlier plan.
func (p *Planner) Empty() bool { return len(p.crews)+len(p.requirements) == 0 }

// Requirement returns what departures require of a job, or false if they require nothing.
func (p *Planner) Requirement(job string) (Requirement, bool) {
	requirement, ok := p.requirements[job]
	return requirement, ok
}

// BeginWrite records that a crew's record is being written. Until EndWrite, no other write of this
// record is made.
func (p *Planner) BeginWrite(name string) { p.writing[name] = true }

// EndWrite records that the write of a crew's record has ended.
func (p *Planner) EndWrite(name string) { delete(p.writing, name) }

// Plan plans the departures of the crews whose teams are served here. It returns the jobs whose
// requirements have changed, and the events to report.
func (p *Planner) Plan(now time.Time, served func(team string) bool, source WorkSource) (changed []string, events []Event) {
	requirements := map[string]Requirement{}
	for _, name := range p.Names() {
		entry := p.crews[name]
		leaves, ok := NextDeparture(&entry.Record, DeparturesCountFrom(&entry.Record))
		if !ok || !served(entry.Record.Team) {
			delete(p.departures, name)
			continue
		}
		plan := p.planDeparture(entry, now, leaves, source)
		if now.Before(leaves) {
			due := float64(Deadline(leaves, p.margins).UnixMilli()) / 1000
			for j := range jobsBefore(entry, leaves, source) {
				requirement, has := requirements[j.ID]
				if !has {
					requirement.Due = due
				}
				requirements[j.ID] = Requirement{min(requirement.Due, due), plan.Pressed || requirement.Pressed}
			}
		}
		events = append(events, p.trackDeparture(entry, now, leaves, &plan, source)...)
	}
	for _, id := range slices.Sorted(maps.Keys(p.requirements)) {
		if _, still := requirements[id]; !still {
			changed = append(changed, id)
		}
	}
	for _, id := range slices.Sorted(maps.Keys(requirements)) {
		if p.requirements[id] != requirements[id] {
			changed = append(changed, id)
		}
	}
	p.requirements = requirements
	return changed, events
}

// jobsBefore returns the live jobs that must be done before a departure.
func jobsBefore(entry *Entry, leaves time.Time, source WorkSource) iter.Seq[*wire.Job] {
	return func(yield func(*wire.Job) bool) {
		for j := range source.Jobs() {
			if RequiredBefore(&entry.Record, j, leaves) && !yield(j) {
				return
			}
		}
	}
}

// AcceptedTasks returns the number of tasks of the live jobs that must be done before a departure.
func AcceptedTasks(entry *Entry, leaves time.Time, source WorkSource) (tasks int) {
	for j := range jobsBefore(entry, leaves, source) {
		tasks += j.Tasks
	}
	return tasks
}

// planDeparture plans a departure from the records and the known progress of tasks.
func (p *Planner) planDeparture(entry *Entry, now, leaves time.Time, source WorkSource) wire.CrewPlan {
	var jobs []Job
	for j := range jobsBefore(entry, leaves, source) {
		if remaining, taskDuration := source.Remaining(j.ID); remaining > 0 {
			jobs = append(jobs, Job{ID: j.ID, Tasks: remaining, CPUs: j.CPUs, TaskDuration: taskDuration})
		}
	}
	plan := PlanDeparture(&entry.Record, now, leaves, jobs, source.CPUs(entry.Record.Team, entry.Record.Zone), p.margins)
	plan.Version = entry.Version
	return plan
}

// trackDeparture counts the jobs done for a departure. It returns an event when jobs will miss the
// departure or no longer will, and one with the outcome when the departure is over.
func (p *Planner) trackDeparture(entry *Entry, now, leaves time.Time, plan *wire.CrewPlan, source WorkSource) (events []Event) {
	departure := p.departures[entry.Record.Name]
	if departure == nil || departure.LeavesMS != plan.LeavesMS {
		departure = NewDeparture(plan.LeavesMS)
		p.departures[entry.Record.Name] = departure
	}
	var openJobs []string
	for j := range jobsBefore(entry, leaves, source) {
		openJobs = append(openJobs, j.ID)
	}
	departure.Update(now, leaves, openJobs, func(id string) (live, done bool) {
		live, status := source.Outcome(id)
		return live, status == wire.JobDone // the end of a job of this shard is written by this controller, so it is known here
	})
	if departure.SetMisses(plan.Miss) {
		events = append(events, Event{Crew: entry, Plan: *plan})
	}
	outcome, over := departure.Outcome(now, leaves, len(openJobs), p.limits.OutcomeDelay, plan.Say)
	if !over || p.writing[entry.Record.Name] {
		return events
	}
	record := entry.Record
	record.Past = append(append([]wire.CrewOutcome(nil), record.Past...), outcome)
	Prune(&record, time.Time{}, p.limits.HistoryLength)
	return append(events, Event{Crew: entry, Plan: *plan, Outcome: &outcome, Record: p.fit(record, DropOldestHistory)})
}

// fit shortens a record until it is no larger than RecordBytes, if it can.
func (p *Planner) fit(record wire.Crew, shorter func(*wire.Crew) bool) wire.Crew {
	return limits.Fit(record, p.limits.RecordBytes, shorter)
}

// ExpectedWork returns a crew for whose next departure work is expected, and the bookings for it.
// It returns false if no work is expected, the departure is over, or the crew's record is being
// written.
func (p *Planner) ExpectedWork(name string, now time.Time) (entry *Entry, leaves time.Time, booked []wire.CrewBooking, ok bool) {
	entry = p.crews[name]
	leaves, ok = NextDeparture(&entry.Record, DeparturesCountFrom(&entry.Record))
	if !ok || entry.Record.Expect.Tasks == 0 || p.writing[name] || !now.Before(leaves) {
		return entry, leaves, nil, false
	}
	for _, booking := range entry.Record.Booked {
		if booking.LeavesMS == leaves.UnixMilli() {
			booked = append(booked, booking)
		}
	}
	return entry, leaves, booked, true
}

// NeedsRequest reports whether a booking still has to be requested.
func (p *Planner) NeedsRequest(booking *wire.CrewBooking) bool {
	return !booking.Done && !p.answeredBookings[booking.Request]
}

// BookAhead returns a crew's record with bookings of the machines to rent for a departure, or false
// if none are needed or it is too early. accepted is the number of tasks accepted so far, maxCPUs
// the team's limit. Each machine has machineCPUs CPUs and boots within bootTime. estimateFactor is
// the ratio of actual to estimated run times.
func (p *Planner) BookAhead(entry *Entry, now, leaves time.Time, accepted int, maxCPUs float64, booking wire.CrewBooking, machineCPUs, estimateFactor float64, bootTime time.Duration) (wire.Crew, bool) {
	count, from := MachinesAhead(&entry.Record, leaves, accepted, maxCPUs, machineCPUs, estimateFactor, bootTime, p.margins)
	if count == 0 || now.Before(from) {
		return wire.Crew{}, false
	}
	record := entry.Record
	Prune(&record, leaves, p.limits.HistoryLength)
	booking.LeavesMS, booking.Count = leaves.UnixMilli(), count
	AddBookings(&record, entry.Version, booking, p.limits.MaxBookingMachines)
	return p.fit(record, DropHistoryOrBooking), true
}

// BookingAnswered records that the request of a booking has been answered, and returns the records
// to write with the booking marked as done. The booking is not requested again until BookingWritten
// is called.
func (p *Planner) BookingAnswered(request string) (list []Entry) {
	for _, name := range p.Names() {
		entry := p.crews[name]
		index := slices.IndexFunc(entry.Record.Booked, func(booking wire.CrewBooking) bool { return booking.Request == request && !booking.Done })
		if index < 0 || p.writing[name] {
			continue
		}
		record := entry.Record
		record.Booked = slices.Clone(record.Booked)
		record.Booked[index].Done = true
		p.answeredBookings[request] = true
		list = append(list, Entry{p.fit(record, DropOldestHistory), entry.Version})
	}
	return list
}

// BookingWritten records that the write of an answered booking has ended, successfully or not.
func (p *Planner) BookingWritten(request string) { delete(p.answeredBookings, request) }

// HasUpcomingBooking reports whether machines were rented ahead of a coming departure for a team
// that served accepts.
func (p *Planner) HasUpcomingBooking(now time.Time, served func(team string) bool) bool {
	for _, entry := range p.crews {
		for _, booking := range entry.Record.Booked {
			if served(entry.Record.Team) && now.UnixMilli() < booking.LeavesMS {
				return true
			}
		}
	}
	return false
}

// View returns a crew with the plan for its next departure.
func (p *Planner) View(entry *Entry, now time.Time, source WorkSource) wire.CrewView {
	view := wire.CrewView{Version: entry.Version, Crew: entry.Record}
	if leaves, ok := NextDeparture(&entry.Record, DeparturesCountFrom(&entry.Record)); ok {
		view.Plan = p.planDeparture(entry, now, leaves, source)
	} else {
		view.Plan = wire.CrewPlan{Crew: entry.Record.Name, Version: entry.Version, Say: "it does not leave again"}
	}
	return view
}

// Revise returns a crew's record as an operator wants it, changed now at the controller node, or an
// error of one line. The returned version is that of the record to replace, or 0 if there is none.
func (p *Planner) Revise(name string, wanted wire.Crew, now time.Time, node string, teamKnown, zoneKnown func(string) bool) (Entry, error) {
	var previous *wire.Crew
	version, entry := uint64(0), p.crews[name]
	if entry != nil {
		previous, version = &entry.Record, entry.Version
	}
	record, err := Revise(previous, wanted, name, now, node, p.limits.HistoryLength, teamKnown, zoneKnown)
	record = p.fit(record, DropOldestHistory)
	if raw, e := wire.Marshal(record); err == nil && (e != nil || !wire.FitsIn(raw, p.limits.RecordBytes)) {
		err = fmt.Errorf("crew: too large to keep")
	}
	if err == nil && entry == nil && len(p.crews) >= p.limits.MaxCrews {
		err = fmt.Errorf("crew: at most %d", p.limits.MaxCrews)
	}
	return Entry{record, version}, err
}
