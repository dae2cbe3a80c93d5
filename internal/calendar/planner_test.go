package calendar

import (
	"iter"
	"strings"
	"testing"
	"time"

	"github.com/barrowbridge/barrowbridge/wire"
)

// fakeWork is a WorkSource with jobs of one task each, some of which are over.
type fakeWork struct {
	live []*wire.Job
	over map[string]string
}

func (d *fakeWork) Jobs() iter.Seq[*wire.Job] {
	return func(yield func(*wire.Job) bool) {
		for _, j := range d.live {
			if !yield(j) {
				return
			}
		}
	}
}
func (d *fakeWork) Remaining(string) (int, time.Duration) { return 1, time.Minute }
func (d *fakeWork) CPUs(string, string) float64           { return 1 }
func (d *fakeWork) Outcome(job string) (bool, string) {
	for _, j := range d.live {
		if j.ID == job {
			return true, ""
		}
	}
	return false, d.over[job]
}

func (d *fakeWork) endFirst(status string) {
	d.over[d.live[0].ID] = status
	d.live = d.live[1:]
}

var (
	anyName = func(string) bool { return true }
	begin   = time.Date(2026, 12, 2, 6, 0, 0, 0, time.UTC)
)

func newTestPlanner(t *testing.T, rule string) (*Planner, *fakeWork) {
	planner := NewPlanner(Margins{ClockError: time.Second, Takeover: time.Second, PressLead: time.Minute, Rounds: 1}, Limits{MaxCrews: 2, HistoryLength: 3, RecordBytes: 8192, OutcomeDelay: 10 * time.Second, MaxBookingMachines: 4})
	x, err := planner.Revise("early", wire.Crew{Team: "red", Classes: []string{"door"}, Leaves: "2026-12-02T06:30", TimeZone: "UTC", Rule: rule}, begin, "c0", anyName, anyName)
	if err != nil || x.Version != 0 || len(x.Record.History) != 1 {
		t.Fatalf("%+v, %v", x, err)
	}
	planner.Put("early", x.Record, 7)
	d := &fakeWork{over: map[string]string{}}
	for _, id := range []string{"a", "b", "c"} {
		d.live = append(d.live, &wire.Job{ID: id, Team: "red", Class: "door", Tasks: 1, CPUs: 1, AcceptedMS: begin.UnixMilli()})
	}
	return planner, d
}

// A departure's jobs are counted while they are live and after they have ended. Cancelled jobs do
// not count. An outcome is returned once, when all jobs are over or some time after the departure.
func TestPlannerTracksDeparture(t *testing.T) {
	planner, d := newTestPlanner(t, "")
	changed, events := planner.Plan(begin, anyName, d)
	if q, ok := planner.Requirement("a"); len(changed) != 3 || len(events) != 0 || !ok || q.Pressed || q.Due != float64(begin.Add(30*time.Minute-2*time.Second).Unix()) {
		t.Fatalf("%v %v %+v", changed, events, q)
	}
	if changed, _ = planner.Plan(begin, anyName, d); len(changed) != 0 {
		t.Errorf("nothing has changed, but Plan returns %v", changed)
	}
	// Three minutes of work in two: one job will miss the departure, which is reported once, and the jobs are pressed.
	late := begin.Add(28 * time.Minute)
	changed, events = planner.Plan(late, anyName, d)
	if q, _ := planner.Requirement("c"); len(changed) != 3 || len(events) != 1 || events[0].Plan.Miss != 1 || events[0].Outcome != nil || !q.Pressed {
		t.Fatalf("%v %+v", changed, events)
	}
	if _, events = planner.Plan(late, anyName, d); len(events) != 0 {
		t.Errorf("reported twice: %+v", events)
	}
	d.endFirst(wire.JobDone)
	d.endFirst(wire.JobAborted)
	_, _ = planner.Plan(late, anyName, d)
	hour := begin.Add(30 * time.Minute)
	if changed, events = planner.Plan(hour, anyName, d); len(changed) != 1 || len(events) != 0 && events[len(events)-1].Outcome != nil {
		t.Errorf("at the departure, with a job open: %v %+v", changed, events)
	}
	_, events = planner.Plan(hour.Add(10*time.Second), anyName, d)
	if n := len(events); n == 0 || events[n-1].Outcome == nil || events[n-1].Outcome.Jobs != 2 || events[n-1].Outcome.Met != 1 || events[n-1].Outcome.LateS != 10 {
		t.Fatalf("%+v", events)
	}
	planner.BeginWrite("early") // a write is in progress, so none is returned
	if _, events = planner.Plan(hour.Add(11*time.Second), anyName, d); len(events) != 0 {
		t.Errorf("written twice: %+v", events)
	}
	_, _ = planner.Plan(begin, func(string) bool { return false }, d)
	if planner.Empty() {
		t.Error("a planner with a crew is not empty")
	}
	if _, ok := planner.Requirement("c"); ok {
		t.Error("a requirement for a team that is not served here")
	}
}

// A booking is requested until it is answered, a crew's record is not written twice at a time, and
// no booking outlives its departure.
func TestBookings(t *testing.T) {
	planner, _ := newTestPlanner(t, "")
	x := planner.Crew("early")
	x.Record.Expect = wire.CrewWork{Tasks: 9, Seconds: 60, CPUs: 1}
	_, leaves, booked, ok := planner.ExpectedWork("early", begin)
	if !ok || len(booked) != 0 {
		t.Fatalf("%v %v", booked, ok)
	}
	if _, due := planner.BookAhead(x, begin, leaves, 0, 9, wire.CrewBooking{Type: "std"}, 1, 1, time.Minute); due {
		t.Error("rented half an hour early")
	}
	soon := leaves.Add(-2 * time.Minute)
	rec, due := planner.BookAhead(x, soon, leaves, 0, 9, wire.CrewBooking{Type: "std"}, 1, 1, time.Minute)
	if !due || len(rec.Booked) != 3 || rec.Booked[0].Count != 4 || rec.Booked[2].Count != 1 || rec.Booked[0].Request == rec.Booked[1].Request {
		t.Fatalf("%v %+v", due, rec.Booked)
	}
	planner.Put("early", rec, 8)
	if _, _, booked, _ = planner.ExpectedWork("early", soon); len(booked) != 3 || !planner.NeedsRequest(&booked[0]) || !planner.HasUpcomingBooking(soon, anyName) || planner.HasUpcomingBooking(leaves, anyName) {
		t.Errorf("%+v", booked)
	}
	planner.BeginWrite("early")
	if list := planner.BookingAnswered(booked[0].Request); list != nil {
		t.Errorf("two writes at a time: %+v", list)
	}
	planner.EndWrite("early")
	list := planner.BookingAnswered(booked[0].Request)
	if len(list) != 1 || !list[0].Record.Booked[0].Done || list[0].Version != 8 || planner.Crew("early").Record.Booked[0].Done || planner.NeedsRequest(&booked[0]) || !planner.NeedsRequest(&booked[1]) {
		t.Errorf("%+v", list)
	}
	planner.BookingWritten(booked[0].Request)
	if !planner.NeedsRequest(&booked[0]) {
		t.Error("a booking whose end was not written is not requested again")
	}
	if _, _, _, ok = planner.ExpectedWork("early", leaves); ok {
		t.Error("the departure is over")
	}
}

func TestReviseErrors(t *testing.T) {
	planner, _ := newTestPlanner(t, "")
	good := planner.Crew("early").Record
	good.Leaves = "2026-12-03T06:30"
	if x, err := planner.Revise("early", good, begin, "c1", anyName, anyName); err != nil || x.Version != 7 || len(x.Record.History) != 2 || x.Record.History[1].Node != "c1" {
		t.Errorf("%+v %v", x, err)
	}
	over := good
	over.Leaves = "2026-12-01T06:30"
	if _, err := planner.Revise("early", over, begin, "c1", anyName, anyName); err == nil {
		t.Error("a departure in the past is accepted")
	}
	planner.Put("late", good, 9)
	if _, err := planner.Revise("third", good, begin, "c1", anyName, anyName); err == nil {
		t.Error("a crew beyond the limit is accepted")
	}
}

// Records written after their size limit was lowered fit into it: history is removed first, then
// bookings, and what is still too large is refused.
func TestRecordsFitLoweredLimit(t *testing.T) {
	planner, d := newTestPlanner(t, "")
	x := planner.Crew("early")
	x.Record.Expect = wire.CrewWork{Tasks: 200, Seconds: 60, CPUs: 1}
	for range 3 {
		x.Record.Past = append(x.Record.Past, wire.CrewOutcome{LeavesMS: 1, Jobs: 9, Why: strings.Repeat("late ", 30)})
		x.Record.History = append(x.Record.History, wire.CrewChange{AtMS: 1, Node: "c0", What: strings.Repeat("changed ", 20)})
	}
	size := func(rec wire.Crew) int {
		for n := 1; ; n++ {
			if raw, err := wire.Marshal(rec); err != nil || wire.FitsIn(raw, n) {
				return n
			}
		}
	}
	leaves := begin.Add(30 * time.Minute)
	soon := leaves.Add(-2 * time.Minute)
	ahead := func() wire.Crew {
		rec, _ := planner.BookAhead(x, soon, leaves, 0, 200, wire.CrewBooking{Type: "std"}, 1, 1, time.Minute)
		return rec
	}
	want := x.Record
	want.Leaves = "2026-12-03T06:30"
	full, revised := ahead(), 0
	if to, err := planner.Revise("early", want, begin, "c1", anyName, anyName); err != nil || len(to.Record.Past) != 3 || len(full.Booked) != 50 {
		t.Fatalf("%d bookings, %+v, %v", len(full.Booked), to, err)
	}
	x.Record.Booked = full.Booked[:1]
	const bytes = 1024
	planner.SetRecordBytes(bytes)
	to, err := planner.Revise("early", want, begin, "c1", anyName, anyName)
	if revised = size(to.Record); err != nil || revised > bytes || len(to.Record.Past) == 0 {
		t.Errorf("revised: %d bytes, %+v, %v", revised, to.Record, err)
	}
	if list := planner.BookingAnswered(x.Record.Booked[0].Request); len(list) != 1 || size(list[0].Record) > bytes || !list[0].Record.Booked[0].Done {
		t.Errorf("answered: %+v", list)
	}
	x.Record.Booked = nil
	if rec := ahead(); size(rec) > bytes || len(rec.Booked) == 0 || len(rec.Booked) >= 50 {
		t.Errorf("ahead: %d bytes, %d bookings", size(rec), len(rec.Booked))
	}
	_, _ = planner.Plan(begin, anyName, d)
	_, events := planner.Plan(leaves.Add(10*time.Second), anyName, d)
	if n := len(events); n == 0 || events[n-1].Outcome == nil || size(events[n-1].Record) > bytes {
		t.Errorf("outcome: %+v", events)
	}
	planner.SetRecordBytes(64)
	if _, err := planner.Revise("early", want, begin, "c1", anyName, anyName); err == nil {
		t.Error("a record that is too large is accepted")
	}
}
