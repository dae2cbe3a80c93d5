package wire

// PrefixCrew holds the departures of crews, by name; PrefixBias how far estimates are off.
const (
	PrefixCrew = "live/crew/"
	PrefixBias = "live/bias/"
)

// Crew is a crew that rolls out, once or again and again, and what has to be done before.
type Crew struct {
	Name    string   `cbor:"name" json:"name"`
	Team    string   `cbor:"team" json:"team"`
	Zone    string   `cbor:"zone,omitempty" json:"zone,omitempty"` // work bound to another zone is not its; "": any
	Classes []string `cbor:"classes" json:"classes"`               // that must be finished
	// Leaves is the hour of the first departure where the crew is, as 2026-12-03T06:30, TimeZone
	// the name of that place's time, Rule a recurrence (RFC 5545, without RRULE: and DTSTART).
	Leaves   string `cbor:"leaves" json:"leaves"`
	TimeZone string `cbor:"tz" json:"time_zone"`
	Rule     string `cbor:"rule,omitempty" json:"rule,omitempty"`
	// Expect is the work that comes before a departure, if known: machines are rented ahead.
	Expect CrewWork `cbor:"expect,omitzero" json:"expect,omitzero"`

	Booked  []CrewBooking `cbor:"booked,omitempty" json:"booked,omitempty"` // for the next departure
	Past    []CrewOutcome `cbor:"past,omitempty" json:"past,omitempty"`     // the latest last
	History []CrewChange  `cbor:"history,omitempty" json:"history,omitempty"`
}

// CrewWork is expected work: jobs, tasks in all, seconds and CPUs and GB of memory of a task.
type CrewWork struct {
	Jobs     int     `cbor:"jobs,omitempty" json:"jobs,omitempty"`
	Tasks    int     `cbor:"tasks,omitempty" json:"tasks,omitempty"`
	Seconds  float64 `cbor:"s,omitempty" json:"seconds,omitempty"`
	CPUs     float64 `cbor:"cpus,omitempty" json:"cpus,omitempty"`
	MemoryGB float64 `cbor:"mem,omitempty" json:"memory_gb,omitempty"`
	Spot     bool    `cbor:"spot,omitempty" json:"spot,omitempty"`
}

// CrewBooking is a rental ahead of a departure. It is written before it is asked for, so
// whoever leads asks under the same name, and it is made once.
type CrewBooking struct {
	LeavesMS int64  `cbor:"at" json:"leaves_ms"`
	Request  string `cbor:"req" json:"request"`
	Type     string `cbor:"type" json:"type"`
	Zone     string `cbor:"zone" json:"zone"`
	Spot     bool   `cbor:"spot,omitempty" json:"spot,omitempty"`
	Count    int    `cbor:"n" json:"count"`
	Done     bool   `cbor:"done,omitempty" json:"done,omitempty"`
}

// CrewOutcome is how a departure went: jobs of its classes, those done by the hour, and how
// late the last was, in seconds.
type CrewOutcome struct {
	LeavesMS int64   `cbor:"at" json:"leaves_ms"`
	Jobs     int     `cbor:"jobs" json:"jobs"`
	Met      int     `cbor:"met" json:"met"`
	LateS    float64 `cbor:"late,omitempty" json:"late_s,omitempty"`
	Why      string  `cbor:"why,omitempty" json:"why,omitempty"`
}

// CrewChange is an operators' change: when (milliseconds of the day's time), by which controller, what.
type CrewChange struct {
	AtMS int64  `cbor:"at" json:"at_ms"`
	Node string `cbor:"node" json:"node"`
	What string `cbor:"what" json:"what"`
}

// CrewPatch adds a crew, or replaces what operators say of it; Version is the one that was
// read, 0 for a new one. With DryRun it is only judged.
type CrewPatch struct {
	Version uint64 `cbor:"version"`
	Crew    Crew   `cbor:"crew"`
	DryRun  bool   `cbor:"dry_run,omitempty"`
}

// CrewPlan is what is planned for a crew's next departure. Times are milliseconds of the
// day's time, amounts of work seconds.
type CrewPlan struct {
	Crew     string  `cbor:"crew" json:"crew"`
	Version  uint64  `cbor:"version" json:"version"`
	LeavesMS int64   `cbor:"leaves" json:"leaves_ms"` // 0: it does not leave again
	Leaves   string  `cbor:"leaves_local" json:"leaves"`
	StartMS  int64   `cbor:"start" json:"latest_start_ms"` // work that begins later is late
	Jobs     int     `cbor:"jobs" json:"jobs"`             // accepted and not done
	Tasks    int     `cbor:"tasks" json:"tasks"`
	CPUs     float64 `cbor:"cpus" json:"cpus_needed"` // from now on, to be done in time
	Have     float64 `cbor:"have" json:"cpus_there"`
	Pressed  bool    `cbor:"pressed" json:"pressed"` // its work goes ahead of other routine work
	Miss     int     `cbor:"miss" json:"will_miss"`
	MissS    float64 `cbor:"miss_s" json:"miss_by_s"`
	Say      string  `cbor:"say" json:"say"`
	Ahead    int     `cbor:"ahead" json:"machines_ahead"`
}

// CrewView answers the administration API about one crew.
type CrewView struct {
	Version uint64   `cbor:"version" json:"version"`
	Crew    Crew     `cbor:"crew" json:"crew"`
	Plan    CrewPlan `cbor:"plan" json:"plan"`
}

// Bias is what a shard's holder has learned of estimates, by class: how many tasks, and sum
// and squares of the logarithms of run time by estimate.
type Bias struct {
	Classes map[string][3]float64 `cbor:"c"`
}
