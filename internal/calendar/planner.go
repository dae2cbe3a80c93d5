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
	MaxCrews           int           // crews
	HistoryLength      int           // outcomes and changes that a record keeps
	RecordBytes        int           // of a stored record
	OutcomeDelay       time.Duration // an outcome is written so long after a departure, or once its jobs are over
	MaxBookingMachines int           // machines in one booking
}

// Entry is a crew's record and its version in the state.
type Entry struct {
	Record  wire.Crew
	Version uint64
}

// Demand is what departures demand of a job.
type Requirement struct {
	Due     float64 // seconds of the day's time
	Pressed bool
}

// Work is what a book asks of its owner: what the live jobs still need, and what there is.
type WorkSource interface {
	// Jobs are the live ones, the oldest first.
	Jobs() iter.Seq[*wire.Job]
	// Left is how many tasks of a live job are not done, and how long each runs.
	Remaining(job string) (tasks int, each time.Duration)
	// CPUs are those that serve a team, in a zone if one is named, up to the team's limit.
	CPUs(team, zone string) float64
	// Ended tells how a job stands: live, over and how (a state of wire), or "" if that is
	// not known.
	Outcome(job string) (live bool, status string)
}

// Event is something to be told of a crew: that jobs will miss a departure or will no more, or
// how a departure went, which is to be written.
type Event struct {
	Crew    *Entry
	Plan    wire.CrewPlan
	Outcome *wire.CrewOutcome // nil: the number of jobs that miss it has become zero or is so no more
	Record  wire.Crew         // with the outcome
}

// Book is what one controller knows of the crews and plans for those it serves. All but the
// counts of jobs that are done can be made again from records.
type Planner struct {
	margins          Margins
	limits           Limits
	crews            map[string]*Entry
	requirements     map[string]Requirement // by job
	departures       map[string]*Departure
	answeredBookings map[string]bool // bookings whose end is being written
	writing          map[string]bool // crews whose record is being written
}

// NewBook returns a book without crews.
func NewPlanner(margins Margins, limits Limits) *Planner {
	return &Planner{margins: margins, limits: limits, crews: map[string]*Entry{}, requirements: map[string]Requirement{}, departures: map[string]*Departure{},
		answeredBookings: map[string]bool{}, writing: map[string]bool{}}
}

// KeepTo has records that are made from now on keep to so many bytes.
func (p *Planner) SetRecordBytes(bytes int) { p.limits.RecordBytes = bytes }

// Put takes a version of a crew's record.
func (p *Planner) Put(name string, record wire.Crew, version uint64) {
	p.crews[name] = &Entry{record, version}
}

// Remove forgets a crew.
func (p *Planner) Remove(name string) { delete(p.crews, name) }

// Of is a crew, nil if there is none of this name.
func (p *Planner) Crew(name string) *Entry { return p.crews[name] }

// Names lists the crews, sorted.
func (p *Planner) Names() []string { return slices.Sorted(maps.Keys(p.crews)) }

// Idle tells that there is nothing to plan and nothing planned.
func (p *Planner) Empty() bool { return len(p.crews)+len(p.requirements) == 0 }

// Demand is what departures demand of a job; false: nothing.
func (p *Planner) Requirement(job string) (Requirement, bool) {
	requirement, ok := p.requirements[job]
	return requirement, ok
}

// Write notes that a crew's record is being written, Written that this is over. Meanwhile
// nothing else of it is.
func (p *Planner) BeginWrite(name string) { p.writing[name] = true }
func (p *Planner) EndWrite(name string)   { delete(p.writing, name) }

// Plan plans the departures of the crews whose teams are served here. It lists the jobs of which
// something else is demanded than before, and what is to be told.
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

// jobsOf are the live jobs that have to be done before a departure.
func jobsBefore(entry *Entry, leaves time.Time, source WorkSource) iter.Seq[*wire.Job] {
	return func(yield func(*wire.Job) bool) {
		for j := range source.Jobs() {
			if RequiredBefore(&entry.Record, j, leaves) && !yield(j) {
				return
			}
		}
	}
}

// Accepted counts the tasks of live jobs that have to be done before a departure.
func AcceptedTasks(entry *Entry, leaves time.Time, source WorkSource) (tasks int) {
	for j := range jobsBefore(entry, leaves, source) {
		tasks += j.Tasks
	}
	return tasks
}

// plan plans a departure, as far as records and what is known of tasks tell.
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

// follow counts what is done for a departure, tells once when some of it will be missed, and
// how it went.
func (p *Planner) trackDeparture(entry *Entry, now, leaves time.Time, plan *wire.CrewPlan, source WorkSource) (events []Event) {
	departure := p.departures[entry.Record.Name]
	if departure == nil || departure.LeavesMS != plan.LeavesMS {
		departure = NewDeparture(plan.LeavesMS)
		p.departures[entry.Record.Name] = departure
	}
	var open []string
	for j := range jobsBefore(entry, leaves, source) {
		open = append(open, j.ID)
	}
	departure.Update(now, leaves, open, func(id string) (live, done bool) {
		live, status := source.Outcome(id)
		return live, status == wire.JobDone // what ends here is written here
	})
	if departure.SetMisses(plan.Miss) {
		events = append(events, Event{Crew: entry, Plan: *plan})
	}
	outcome, over := departure.Outcome(now, leaves, len(open), p.limits.OutcomeDelay, plan.Say)
	if !over || p.writing[entry.Record.Name] {
		return events
	}
	record := entry.Record
	record.Past = append(append([]wire.CrewOutcome(nil), record.Past...), outcome)
	Prune(&record, time.Time{}, p.limits.HistoryLength)
	return append(events, Event{Crew: entry, Plan: *plan, Outcome: &outcome, Record: p.fit(record, DropOldestHistory)})
}

// fit makes a record shorter until it has no more bytes than one may, if it can.
func (p *Planner) fit(record wire.Crew, shorter func(*wire.Crew) bool) wire.Crew {
	return limits.Fit(record, p.limits.RecordBytes, shorter)
}

// Expects is a crew for whose next departure work is expected, and what is booked for that;
// false: none is, its departure is over, or its record is being written.
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

// Open tells whether a booking is still to be asked for.
func (p *Planner) NeedsRequest(booking *wire.CrewBooking) bool {
	return !booking.Done && !p.answeredBookings[booking.Request]
}

// Ahead is a crew's record with what is to be rented for a departure, each of a machine type with
// so many CPUs that boots so long; factor is by how much estimates are off, limit that of the
// team in CPUs. false: nothing, or it is not time yet.
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

// Answered notes that a booking has been answered, and returns the records that are to say so.
// Until that is known to be written (Rented) it is not asked for again.
func (p *Planner) BookingAnswered(request string) (list []Entry) {
	for _, name := range p.Names() {
		entry := p.crews[name]
		index := slices.IndexFunc(entry.Record.Booked, func(index wire.CrewBooking) bool { return index.Request == request && !index.Done })
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

// Rented notes that the end of a booking has been written, or has failed to be.
func (p *Planner) BookingWritten(request string) { delete(p.answeredBookings, request) }

// Awaits tells whether machines were rented ahead, for a team that is among those served, of a
// departure that is to come.
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

// View is a crew with what is planned for it.
func (p *Planner) View(entry *Entry, now time.Time, source WorkSource) wire.CrewView {
	view := wire.CrewView{Version: entry.Version, Crew: entry.Record}
	if leaves, ok := NextDeparture(&entry.Record, DeparturesCountFrom(&entry.Record)); ok {
		view.Plan = p.planDeparture(entry, now, leaves, source)
	} else {
		view.Plan = wire.CrewPlan{Crew: entry.Record.Name, Version: entry.Version, Say: "it does not leave again"}
	}
	return view
}

// Revise is a crew's record as operators want it, changed at a controller now, and what is wrong
// with that in one line. The version is that of the record it replaces, 0 if there is none.
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
