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
func (p *Planner) Put(name string, rec wire.Crew, ver uint64) { p.crews[name] = &Entry{rec, ver} }

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
	d, ok := p.requirements[job]
	return d, ok
}

// Write notes that a crew's record is being written, Written that this is over. Meanwhile
// nothing else of it is.
func (p *Planner) BeginWrite(name string) { p.writing[name] = true }
func (p *Planner) EndWrite(name string)   { delete(p.writing, name) }

// Plan plans the departures of the crews whose teams are served here. It lists the jobs of which
// something else is demanded than before, and what is to be told.
func (p *Planner) Plan(now time.Time, served func(team string) bool, w WorkSource) (changed []string, events []Event) {
	demands := map[string]Requirement{}
	for _, name := range p.Names() {
		x := p.crews[name]
		leaves, ok := NextDeparture(&x.Record, DeparturesCountFrom(&x.Record))
		if !ok || !served(x.Record.Team) {
			delete(p.departures, name)
			continue
		}
		plan := p.planDeparture(x, now, leaves, w)
		if now.Before(leaves) {
			due := float64(Deadline(leaves, p.margins).UnixMilli()) / 1000
			for j := range jobsOf(x, leaves, w) {
				d, has := demands[j.ID]
				if !has {
					d.Due = due
				}
				demands[j.ID] = Requirement{min(d.Due, due), plan.Pressed || d.Pressed}
			}
		}
		events = append(events, p.trackDeparture(x, now, leaves, &plan, w)...)
	}
	for _, id := range slices.Sorted(maps.Keys(p.requirements)) {
		if _, still := demands[id]; !still {
			changed = append(changed, id)
		}
	}
	for _, id := range slices.Sorted(maps.Keys(demands)) {
		if p.requirements[id] != demands[id] {
			changed = append(changed, id)
		}
	}
	p.requirements = demands
	return changed, events
}

// jobsOf are the live jobs that have to be done before a departure.
func jobsOf(x *Entry, leaves time.Time, w WorkSource) iter.Seq[*wire.Job] {
	return func(yield func(*wire.Job) bool) {
		for j := range w.Jobs() {
			if RequiredBefore(&x.Record, j, leaves) && !yield(j) {
				return
			}
		}
	}
}

// Accepted counts the tasks of live jobs that have to be done before a departure.
func AcceptedTasks(x *Entry, leaves time.Time, w WorkSource) (tasks int) {
	for j := range jobsOf(x, leaves, w) {
		tasks += j.Tasks
	}
	return tasks
}

// plan plans a departure, as far as records and what is known of tasks tell.
func (p *Planner) planDeparture(x *Entry, now, leaves time.Time, w WorkSource) wire.CrewPlan {
	var jobs []Job
	for j := range jobsOf(x, leaves, w) {
		if left, each := w.Remaining(j.ID); left > 0 {
			jobs = append(jobs, Job{ID: j.ID, Tasks: left, CPUs: j.CPUs, TaskDuration: each})
		}
	}
	plan := PlanDeparture(&x.Record, now, leaves, jobs, w.CPUs(x.Record.Team, x.Record.Zone), p.margins)
	plan.Version = x.Version
	return plan
}

// follow counts what is done for a departure, tells once when some of it will be missed, and
// how it went.
func (p *Planner) trackDeparture(x *Entry, now, leaves time.Time, plan *wire.CrewPlan, w WorkSource) (events []Event) {
	d := p.departures[x.Record.Name]
	if d == nil || d.LeavesMS != plan.LeavesMS {
		d = NewDeparture(plan.LeavesMS)
		p.departures[x.Record.Name] = d
	}
	var open []string
	for j := range jobsOf(x, leaves, w) {
		open = append(open, j.ID)
	}
	d.Update(now, leaves, open, func(id string) (live, done bool) {
		live, status := w.Outcome(id)
		return live, status == wire.JobDone // what ends here is written here
	})
	if d.SetMisses(plan.Miss) {
		events = append(events, Event{Crew: x, Plan: *plan})
	}
	o, over := d.Outcome(now, leaves, len(open), p.limits.OutcomeDelay, plan.Say)
	if !over || p.writing[x.Record.Name] {
		return events
	}
	rec := x.Record
	rec.Past = append(append([]wire.CrewOutcome(nil), rec.Past...), o)
	Prune(&rec, time.Time{}, p.limits.HistoryLength)
	return append(events, Event{Crew: x, Plan: *plan, Outcome: &o, Record: p.fit(rec, DropOldestHistory)})
}

// fit makes a record shorter until it has no more bytes than one may, if it can.
func (p *Planner) fit(rec wire.Crew, shorter func(*wire.Crew) bool) wire.Crew {
	return limits.Fit(rec, p.limits.RecordBytes, shorter)
}

// Expects is a crew for whose next departure work is expected, and what is booked for that;
// false: none is, its departure is over, or its record is being written.
func (p *Planner) ExpectedWork(name string, now time.Time) (x *Entry, leaves time.Time, booked []wire.CrewBooking, ok bool) {
	x = p.crews[name]
	leaves, ok = NextDeparture(&x.Record, DeparturesCountFrom(&x.Record))
	if !ok || x.Record.Expect.Tasks == 0 || p.writing[name] || !now.Before(leaves) {
		return x, leaves, nil, false
	}
	for _, k := range x.Record.Booked {
		if k.LeavesMS == leaves.UnixMilli() {
			booked = append(booked, k)
		}
	}
	return x, leaves, booked, true
}

// Open tells whether a booking is still to be asked for.
func (p *Planner) NeedsRequest(k *wire.CrewBooking) bool {
	return !k.Done && !p.answeredBookings[k.Request]
}

// Ahead is a crew's record with what is to be rented for a departure, each of a machine type with
// so many CPUs that boots so long; factor is by how much estimates are off, limit that of the
// team in CPUs. false: nothing, or it is not time yet.
func (p *Planner) BookAhead(x *Entry, now, leaves time.Time, accepted int, limit float64, of wire.CrewBooking, cpus, factor float64, boot time.Duration) (wire.Crew, bool) {
	count, from := MachinesAhead(&x.Record, leaves, accepted, limit, cpus, factor, boot, p.margins)
	if count == 0 || now.Before(from) {
		return wire.Crew{}, false
	}
	rec := x.Record
	Prune(&rec, leaves, p.limits.HistoryLength)
	of.LeavesMS, of.Count = leaves.UnixMilli(), count
	AddBookings(&rec, x.Version, of, p.limits.MaxBookingMachines)
	return p.fit(rec, DropHistoryOrBooking), true
}

// Answered notes that a booking has been answered, and returns the records that are to say so.
// Until that is known to be written (Rented) it is not asked for again.
func (p *Planner) BookingAnswered(request string) (list []Entry) {
	for _, name := range p.Names() {
		x := p.crews[name]
		k := slices.IndexFunc(x.Record.Booked, func(k wire.CrewBooking) bool { return k.Request == request && !k.Done })
		if k < 0 || p.writing[name] {
			continue
		}
		rec := x.Record
		rec.Booked = slices.Clone(rec.Booked)
		rec.Booked[k].Done = true
		p.answeredBookings[request] = true
		list = append(list, Entry{p.fit(rec, DropOldestHistory), x.Version})
	}
	return list
}

// Rented notes that the end of a booking has been written, or has failed to be.
func (p *Planner) BookingWritten(request string) { delete(p.answeredBookings, request) }

// Awaits tells whether machines were rented ahead, for a team that is among those served, of a
// departure that is to come.
func (p *Planner) HasUpcomingBooking(now time.Time, served func(team string) bool) bool {
	for _, x := range p.crews {
		for _, k := range x.Record.Booked {
			if served(x.Record.Team) && now.UnixMilli() < k.LeavesMS {
				return true
			}
		}
	}
	return false
}

// View is a crew with what is planned for it.
func (p *Planner) View(x *Entry, now time.Time, w WorkSource) wire.CrewView {
	v := wire.CrewView{Version: x.Version, Crew: x.Record}
	if leaves, ok := NextDeparture(&x.Record, DeparturesCountFrom(&x.Record)); ok {
		v.Plan = p.planDeparture(x, now, leaves, w)
	} else {
		v.Plan = wire.CrewPlan{Crew: x.Record.Name, Version: x.Version, Say: "it does not leave again"}
	}
	return v
}

// Revise is a crew's record as operators want it, changed at a controller now, and what is wrong
// with that in one line. The version is that of the record it replaces, 0 if there is none.
func (p *Planner) Revise(name string, to wire.Crew, now time.Time, node string, team, zone func(string) bool) (Entry, error) {
	var was *wire.Crew
	ver, x := uint64(0), p.crews[name]
	if x != nil {
		was, ver = &x.Record, x.Version
	}
	rec, err := Revise(was, to, name, now, node, p.limits.HistoryLength, team, zone)
	rec = p.fit(rec, DropOldestHistory)
	if raw, e := wire.Marshal(rec); err == nil && (e != nil || !wire.FitsIn(raw, p.limits.RecordBytes)) {
		err = fmt.Errorf("crew: too large to keep")
	}
	if err == nil && x == nil && len(p.crews) >= p.limits.MaxCrews {
		err = fmt.Errorf("crew: at most %d", p.limits.MaxCrews)
	}
	return Entry{rec, ver}, err
}
