package calendar

import (
	"iter"
	"strings"
	"testing"
	"time"

	"github.com/barrowbridge/barrowbridge/wire"
)

// day is what a book asks of its owner: jobs of one task each, of which some are over.
type day struct {
	live []*wire.Job
	over map[string]string
}

func (d *day) Jobs() iter.Seq[*wire.Job] {
	return func(yield func(*wire.Job) bool) {
		for _, j := range d.live {
			if !yield(j) {
				return
			}
		}
	}
}
func (d *day) Remaining(string) (int, time.Duration) { return 1, time.Minute }
func (d *day) CPUs(string, string) float64           { return 1 }
func (d *day) Outcome(job string) (bool, string) {
	for _, j := range d.live {
		if j.ID == job {
			return true, ""
		}
	}
	return false, d.over[job]
}

func (d *day) end(status string) {
	d.over[d.live[0].ID] = status
	d.live = d.live[1:]
}

var (
	all   = func(string) bool { return true }
	begin = time.Date(2026, 12, 2, 6, 0, 0, 0, time.UTC)
)

func bookOf(t *testing.T, rule string) (*Planner, *day) {
	b := NewPlanner(Margins{ClockError: time.Second, Takeover: time.Second, PressLead: time.Minute, Rounds: 1}, Limits{MaxCrews: 2, HistoryLength: 3, RecordBytes: 8192, OutcomeDelay: 10 * time.Second, MaxBookingMachines: 4})
	x, err := b.Revise("early", wire.Crew{Team: "red", Classes: []string{"door"}, Leaves: "2026-12-02T06:30", TimeZone: "UTC", Rule: rule}, begin, "c0", all, all)
	if err != nil || x.Version != 0 || len(x.Record.History) != 1 {
		t.Fatalf("%+v, %v", x, err)
	}
	b.Put("early", x.Record, 7)
	d := &day{over: map[string]string{}}
	for _, id := range []string{"a", "b", "c"} {
		d.live = append(d.live, &wire.Job{ID: id, Team: "red", Class: "door", Tasks: 1, CPUs: 1, AcceptedMS: begin.UnixMilli()})
	}
	return b, d
}

// A departure's jobs are counted while they are live and after; what is cancelled counts for
// nothing, and an outcome is written once, when all are over or some time after the hour.
func TestBookFollowsADeparture(t *testing.T) {
	b, d := bookOf(t, "")
	changed, events := b.Plan(begin, all, d)
	if q, ok := b.Requirement("a"); len(changed) != 3 || len(events) != 0 || !ok || q.Pressed || q.Due != float64(begin.Add(30*time.Minute-2*time.Second).Unix()) {
		t.Fatalf("%v %v %+v", changed, events, q)
	}
	if changed, _ = b.Plan(begin, all, d); len(changed) != 0 {
		t.Errorf("nothing is new, and %v", changed)
	}
	// Three minutes of work in two: one job misses it, said once; the jobs press.
	late := begin.Add(28 * time.Minute)
	changed, events = b.Plan(late, all, d)
	if q, _ := b.Requirement("c"); len(changed) != 3 || len(events) != 1 || events[0].Plan.Miss != 1 || events[0].Outcome != nil || !q.Pressed {
		t.Fatalf("%v %+v", changed, events)
	}
	if _, events = b.Plan(late, all, d); len(events) != 0 {
		t.Errorf("said twice: %+v", events)
	}
	d.end(wire.JobDone)
	d.end(wire.JobAborted)
	_, _ = b.Plan(late, all, d)
	hour := begin.Add(30 * time.Minute)
	if changed, events = b.Plan(hour, all, d); len(changed) != 1 || len(events) != 0 && events[len(events)-1].Outcome != nil {
		t.Errorf("at the hour, with a job open: %v %+v", changed, events)
	}
	_, events = b.Plan(hour.Add(10*time.Second), all, d)
	if n := len(events); n == 0 || events[n-1].Outcome == nil || events[n-1].Outcome.Jobs != 2 || events[n-1].Outcome.Met != 1 || events[n-1].Outcome.LateS != 10 {
		t.Fatalf("%+v", events)
	}
	b.BeginWrite("early") // under way: not written again
	if _, events = b.Plan(hour.Add(11*time.Second), all, d); len(events) != 0 {
		t.Errorf("written twice: %+v", events)
	}
	_, _ = b.Plan(begin, func(string) bool { return false }, d)
	if b.Empty() {
		t.Error("a book with a crew is not idle")
	}
	if _, ok := b.Requirement("c"); ok {
		t.Error("who does not serve the team demands nothing")
	}
}

// A booking is asked for until it is answered, the crew's record is not written twice at a time,
// and none of it outlives the departure.
func TestBookings(t *testing.T) {
	b, _ := bookOf(t, "")
	x := b.Crew("early")
	x.Record.Expect = wire.CrewWork{Tasks: 9, Seconds: 60, CPUs: 1}
	_, leaves, booked, ok := b.ExpectedWork("early", begin)
	if !ok || len(booked) != 0 {
		t.Fatalf("%v %v", booked, ok)
	}
	if _, due := b.BookAhead(x, begin, leaves, 0, 9, wire.CrewBooking{Type: "std"}, 1, 1, time.Minute); due {
		t.Error("rented half an hour early")
	}
	soon := leaves.Add(-2 * time.Minute)
	rec, due := b.BookAhead(x, soon, leaves, 0, 9, wire.CrewBooking{Type: "std"}, 1, 1, time.Minute)
	if !due || len(rec.Booked) != 3 || rec.Booked[0].Count != 4 || rec.Booked[2].Count != 1 || rec.Booked[0].Request == rec.Booked[1].Request {
		t.Fatalf("%v %+v", due, rec.Booked)
	}
	b.Put("early", rec, 8)
	if _, _, booked, _ = b.ExpectedWork("early", soon); len(booked) != 3 || !b.NeedsRequest(&booked[0]) || !b.HasUpcomingBooking(soon, all) || b.HasUpcomingBooking(leaves, all) {
		t.Errorf("%+v", booked)
	}
	b.BeginWrite("early")
	if list := b.BookingAnswered(booked[0].Request); list != nil {
		t.Errorf("two writes at a time: %+v", list)
	}
	b.EndWrite("early")
	list := b.BookingAnswered(booked[0].Request)
	if len(list) != 1 || !list[0].Record.Booked[0].Done || list[0].Version != 8 || b.Crew("early").Record.Booked[0].Done || b.NeedsRequest(&booked[0]) || !b.NeedsRequest(&booked[1]) {
		t.Errorf("%+v", list)
	}
	b.BookingWritten(booked[0].Request)
	if !b.NeedsRequest(&booked[0]) {
		t.Error("its end was not written: it is asked for again")
	}
	if _, _, _, ok = b.ExpectedWork("early", leaves); ok {
		t.Error("the departure is over")
	}
}

func TestReviseSaysWhatIsWrong(t *testing.T) {
	b, _ := bookOf(t, "")
	good := b.Crew("early").Record
	good.Leaves = "2026-12-03T06:30"
	if x, err := b.Revise("early", good, begin, "c1", all, all); err != nil || x.Version != 7 || len(x.Record.History) != 2 || x.Record.History[1].Node != "c1" {
		t.Errorf("%+v %v", x, err)
	}
	over := good
	over.Leaves = "2026-12-01T06:30"
	if _, err := b.Revise("early", over, begin, "c1", all, all); err == nil {
		t.Error("it never leaves")
	}
	b.Put("late", good, 9)
	if _, err := b.Revise("third", good, begin, "c1", all, all); err == nil {
		t.Error("one too many")
	}
}

// What is written from now on keeps to a limit that has fallen: the past goes first, then
// bookings, and what is still too large is refused.
func TestRecordsKeepToALimitThatFalls(t *testing.T) {
	b, d := bookOf(t, "")
	x := b.Crew("early")
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
		rec, _ := b.BookAhead(x, soon, leaves, 0, 200, wire.CrewBooking{Type: "std"}, 1, 1, time.Minute)
		return rec
	}
	want := x.Record
	want.Leaves = "2026-12-03T06:30"
	full, revised := ahead(), 0
	if to, err := b.Revise("early", want, begin, "c1", all, all); err != nil || len(to.Record.Past) != 3 || len(full.Booked) != 50 {
		t.Fatalf("%d bookings, %+v, %v", len(full.Booked), to, err)
	}
	x.Record.Booked = full.Booked[:1]
	const bytes = 1024
	b.SetRecordBytes(bytes)
	to, err := b.Revise("early", want, begin, "c1", all, all)
	if revised = size(to.Record); err != nil || revised > bytes || len(to.Record.Past) == 0 {
		t.Errorf("revised: %d bytes, %+v, %v", revised, to.Record, err)
	}
	if list := b.BookingAnswered(x.Record.Booked[0].Request); len(list) != 1 || size(list[0].Record) > bytes || !list[0].Record.Booked[0].Done {
		t.Errorf("answered: %+v", list)
	}
	x.Record.Booked = nil
	if rec := ahead(); size(rec) > bytes || len(rec.Booked) == 0 || len(rec.Booked) >= 50 {
		t.Errorf("ahead: %d bytes, %d bookings", size(rec), len(rec.Booked))
	}
	_, _ = b.Plan(begin, all, d)
	_, events := b.Plan(leaves.Add(10*time.Second), all, d)
	if n := len(events); n == 0 || events[n-1].Outcome == nil || size(events[n-1].Record) > bytes {
		t.Errorf("outcome: %+v", events)
	}
	b.SetRecordBytes(64)
	if _, err := b.Revise("early", want, begin, "c1", all, all); err == nil {
		t.Error("too large, and taken")
	}
}
