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
	Most   int           // crews
	Keep   int           // outcomes and changes that a record keeps
	Bytes  int           // of a stored record
	Settle time.Duration // an outcome is written so long after a departure, or once its jobs are over
	Rent   int           // machines in one booking
}

// Entry is a crew's record and its version in the state.
type Entry struct {
	Rec wire.Crew
	Ver uint64
}

// Demand is what departures demand of a job.
type Demand struct {
	Due     float64 // seconds of the day's time
	Pressed bool
}

// Work is what a book asks of its owner: what the live jobs still need, and what there is.
type Work interface {
	// Jobs are the live ones, the oldest first.
	Jobs() iter.Seq[*wire.Job]
	// Left is how many tasks of a live job are not done, and how long each runs.
	Left(job string) (tasks int, each time.Duration)
	// CPUs are those that serve a team, in a zone if one is named, up to the team's limit.
	CPUs(team, zone string) float64
	// Ended tells how a job stands: live, over and how (a state of wire), or "" if that is
	// not known.
	Ended(job string) (live bool, status string)
}

// Event is something to be told of a crew: that jobs will miss a departure or will no more, or
// how a departure went, which is to be written.
type Event struct {
	Crew    *Entry
	Plan    wire.CrewPlan
	Outcome *wire.CrewOutcome // nil: the number of jobs that miss it has become zero or is so no more
	Rec     wire.Crew         // with the outcome
}

// Book is what one controller knows of the crews and plans for those it serves. All but the
// counts of jobs that are done can be made again from records.
type Book struct {
	margins Margins
	limits  Limits
	crews   map[string]*Entry
	demands map[string]Demand // by job
	seen    map[string]*Departure
	renting map[string]bool // bookings whose end is being written
	writing map[string]bool // crews whose record is being written
}

// NewBook returns a book without crews.
func NewBook(m Margins, l Limits) *Book {
	return &Book{margins: m, limits: l, crews: map[string]*Entry{}, demands: map[string]Demand{}, seen: map[string]*Departure{},
		renting: map[string]bool{}, writing: map[string]bool{}}
}

// KeepTo has records that are made from now on keep to so many bytes.
func (b *Book) KeepTo(bytes int) { b.limits.Bytes = bytes }

// Put takes a version of a crew's record.
func (b *Book) Put(name string, rec wire.Crew, ver uint64) { b.crews[name] = &Entry{rec, ver} }

// Remove forgets a crew.
func (b *Book) Remove(name string) { delete(b.crews, name) }

// Of is a crew, nil if there is none of this name.
func (b *Book) Of(name string) *Entry { return b.crews[name] }

// Names lists the crews, sorted.
func (b *Book) Names() []string { return slices.Sorted(maps.Keys(b.crews)) }

// Idle tells that there is nothing to plan and nothing planned.
func (b *Book) Idle() bool { return len(b.crews)+len(b.demands) == 0 }

// Demand is what departures demand of a job; false: nothing.
func (b *Book) Demand(job string) (Demand, bool) { d, ok := b.demands[job]; return d, ok }

// Write notes that a crew's record is being written, Written that this is over. Meanwhile
// nothing else of it is.
func (b *Book) Write(name string)   { b.writing[name] = true }
func (b *Book) Written(name string) { delete(b.writing, name) }

// Plan plans the departures of the crews whose teams are served here. It lists the jobs of which
// something else is demanded than before, and what is to be told.
func (b *Book) Plan(now time.Time, served func(team string) bool, w Work) (changed []string, events []Event) {
	demands := map[string]Demand{}
	for _, name := range b.Names() {
		x := b.crews[name]
		leaves, ok := Next(&x.Rec, Since(&x.Rec))
		if !ok || !served(x.Rec.Team) {
			delete(b.seen, name)
			continue
		}
		p := b.plan(x, now, leaves, w)
		if now.Before(leaves) {
			due := float64(Due(leaves, b.margins).UnixMilli()) / 1000
			for j := range jobsOf(x, leaves, w) {
				d, has := demands[j.ID]
				if !has {
					d.Due = due
				}
				demands[j.ID] = Demand{min(d.Due, due), p.Pressed || d.Pressed}
			}
		}
		events = append(events, b.follow(x, now, leaves, &p, w)...)
	}
	for _, id := range slices.Sorted(maps.Keys(b.demands)) {
		if _, still := demands[id]; !still {
			changed = append(changed, id)
		}
	}
	for _, id := range slices.Sorted(maps.Keys(demands)) {
		if b.demands[id] != demands[id] {
			changed = append(changed, id)
		}
	}
	b.demands = demands
	return changed, events
}

// jobsOf are the live jobs that have to be done before a departure.
func jobsOf(x *Entry, leaves time.Time, w Work) iter.Seq[*wire.Job] {
	return func(yield func(*wire.Job) bool) {
		for j := range w.Jobs() {
			if Of(&x.Rec, j, leaves) && !yield(j) {
				return
			}
		}
	}
}

// Accepted counts the tasks of live jobs that have to be done before a departure.
func Accepted(x *Entry, leaves time.Time, w Work) (tasks int) {
	for j := range jobsOf(x, leaves, w) {
		tasks += j.Tasks
	}
	return tasks
}

// plan plans a departure, as far as records and what is known of tasks tell.
func (b *Book) plan(x *Entry, now, leaves time.Time, w Work) wire.CrewPlan {
	var jobs []Job
	for j := range jobsOf(x, leaves, w) {
		if left, each := w.Left(j.ID); left > 0 {
			jobs = append(jobs, Job{ID: j.ID, Tasks: left, CPUs: j.CPUs, Seconds: each})
		}
	}
	p := Plan(&x.Rec, now, leaves, jobs, w.CPUs(x.Rec.Team, x.Rec.Zone), b.margins)
	p.Version = x.Ver
	return p
}

// follow counts what is done for a departure, tells once when some of it will be missed, and
// how it went.
func (b *Book) follow(x *Entry, now, leaves time.Time, p *wire.CrewPlan, w Work) (events []Event) {
	d := b.seen[x.Rec.Name]
	if d == nil || d.LeavesMS != p.LeavesMS {
		d = NewDeparture(p.LeavesMS)
		b.seen[x.Rec.Name] = d
	}
	var open []string
	for j := range jobsOf(x, leaves, w) {
		open = append(open, j.ID)
	}
	d.Follow(now, leaves, open, func(id string) (live, done bool) {
		live, status := w.Ended(id)
		return live, status == wire.JobDone // what ends here is written here
	})
	if d.Misses(p.Miss) {
		events = append(events, Event{Crew: x, Plan: *p})
	}
	o, over := d.Outcome(now, leaves, len(open), b.limits.Settle, p.Say)
	if !over || b.writing[x.Rec.Name] {
		return events
	}
	rec := x.Rec
	rec.Past = append(append([]wire.CrewOutcome(nil), rec.Past...), o)
	Clean(&rec, time.Time{}, b.limits.Keep)
	return append(events, Event{Crew: x, Plan: *p, Outcome: &o, Rec: b.fit(rec, Shorter)})
}

// fit makes a record shorter until it has no more bytes than one may, if it can.
func (b *Book) fit(rec wire.Crew, shorter func(*wire.Crew) bool) wire.Crew {
	return limits.Fit(rec, b.limits.Bytes, shorter)
}

// Expects is a crew for whose next departure work is expected, and what is booked for that;
// false: none is, its departure is over, or its record is being written.
func (b *Book) Expects(name string, now time.Time) (x *Entry, leaves time.Time, booked []wire.CrewBooking, ok bool) {
	x = b.crews[name]
	leaves, ok = Next(&x.Rec, Since(&x.Rec))
	if !ok || x.Rec.Expect.Tasks == 0 || b.writing[name] || !now.Before(leaves) {
		return x, leaves, nil, false
	}
	for _, k := range x.Rec.Booked {
		if k.LeavesMS == leaves.UnixMilli() {
			booked = append(booked, k)
		}
	}
	return x, leaves, booked, true
}

// Open tells whether a booking is still to be asked for.
func (b *Book) Open(k *wire.CrewBooking) bool { return !k.Done && !b.renting[k.Request] }

// Ahead is a crew's record with what is to be rented for a departure, each of a machine type with
// so many CPUs that boots so long; factor is by how much estimates are off, limit that of the
// team in CPUs. false: nothing, or it is not time yet.
func (b *Book) Ahead(x *Entry, now, leaves time.Time, accepted int, limit float64, of wire.CrewBooking, cpus, factor float64, boot time.Duration) (wire.Crew, bool) {
	count, from := Ahead(&x.Rec, leaves, accepted, limit, cpus, factor, boot, b.margins)
	if count == 0 || now.Before(from) {
		return wire.Crew{}, false
	}
	rec := x.Rec
	Clean(&rec, leaves, b.limits.Keep)
	of.LeavesMS, of.Count = leaves.UnixMilli(), count
	AddBookings(&rec, x.Ver, of, b.limits.Rent)
	return b.fit(rec, Fewer), true
}

// Answered notes that a booking has been answered, and returns the records that are to say so.
// Until that is known to be written (Rented) it is not asked for again.
func (b *Book) Answered(request string) (list []Entry) {
	for _, name := range b.Names() {
		x := b.crews[name]
		k := slices.IndexFunc(x.Rec.Booked, func(k wire.CrewBooking) bool { return k.Request == request && !k.Done })
		if k < 0 || b.writing[name] {
			continue
		}
		rec := x.Rec
		rec.Booked = slices.Clone(rec.Booked)
		rec.Booked[k].Done = true
		b.renting[request] = true
		list = append(list, Entry{b.fit(rec, Shorter), x.Ver})
	}
	return list
}

// Rented notes that the end of a booking has been written, or has failed to be.
func (b *Book) Rented(request string) { delete(b.renting, request) }

// Awaits tells whether machines were rented ahead, for a team that is among those served, of a
// departure that is to come.
func (b *Book) Awaits(now time.Time, served func(team string) bool) bool {
	for _, x := range b.crews {
		for _, k := range x.Rec.Booked {
			if served(x.Rec.Team) && now.UnixMilli() < k.LeavesMS {
				return true
			}
		}
	}
	return false
}

// View is a crew with what is planned for it.
func (b *Book) View(x *Entry, now time.Time, w Work) wire.CrewView {
	v := wire.CrewView{Version: x.Ver, Crew: x.Rec}
	if leaves, ok := Next(&x.Rec, Since(&x.Rec)); ok {
		v.Plan = b.plan(x, now, leaves, w)
	} else {
		v.Plan = wire.CrewPlan{Crew: x.Rec.Name, Version: x.Ver, Say: "it does not leave again"}
	}
	return v
}

// Revise is a crew's record as operators want it, changed at a controller now, and what is wrong
// with that in one line. The version is that of the record it replaces, 0 if there is none.
func (b *Book) Revise(name string, to wire.Crew, now time.Time, node string, team, zone func(string) bool) (Entry, error) {
	var was *wire.Crew
	ver, x := uint64(0), b.crews[name]
	if x != nil {
		was, ver = &x.Rec, x.Ver
	}
	rec, err := Revise(was, to, name, now, node, b.limits.Keep, team, zone)
	rec = b.fit(rec, Shorter)
	if raw, e := wire.Marshal(rec); err == nil && (e != nil || !wire.FitsIn(raw, b.limits.Bytes)) {
		err = fmt.Errorf("crew: too large to keep")
	}
	if err == nil && x == nil && len(b.crews) >= b.limits.Most {
		err = fmt.Errorf("crew: at most %d", b.limits.Most)
	}
	return Entry{rec, ver}, err
}
