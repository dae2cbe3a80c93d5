package wire

// Prefixes of the records of crews, by name, and of the bias of estimates, by shard.
const (
	PrefixCrew = "live/crew/"
	PrefixBias = "live/bias/"
)

// Crew is a crew with one or more departures, and the classes of jobs that have to be done before
// each of them.
type Crew struct {
	Name    string   `cbor:"name" json:"name"`
	Team    string   `cbor:"team" json:"team"`
	Zone    string   `cbor:"zone,omitempty" json:"zone,omitempty"` // work that is bound to another zone does not count; "": any zone
	Classes []string `cbor:"classes" json:"classes"`               // of jobs that must be done
	// Leaves is the local time of the first departure, as 2026-12-03T06:30, TimeZone the name of its
	// time zone, and Rule a recurrence (RFC 5545, without RRULE: and DTSTART).
	Leaves   string `cbor:"leaves" json:"leaves"`
	TimeZone string `cbor:"tz" json:"time_zone"`
	Rule     string `cbor:"rule,omitempty" json:"rule,omitempty"`
	// Expect is the work that is expected before a departure, if known; machines are rented for it in
	// advance.
	Expect CrewWork `cbor:"expect,omitzero" json:"expect,omitzero"`

	Booked  []CrewBooking `cbor:"booked,omitempty" json:"booked,omitempty"` // for the next departure
	Past    []CrewOutcome `cbor:"past,omitempty" json:"past,omitempty"`     // the latest last
	History []CrewChange  `cbor:"history,omitempty" json:"history,omitempty"`
}

// CrewWork is expected work: the number of jobs, the number of all their tasks, and the run time in
// seconds, the CPUs and the memory in GB of one task.
type CrewWork struct {
	Jobs     int     `cbor:"jobs,omitempty" json:"jobs,omitempty"`
	Tasks    int     `cbor:"tasks,omitempty" json:"tasks,omitempty"`
	Seconds  float64 `cbor:"s,omitempty" json:"seconds,omitempty"`
	CPUs     float64 `cbor:"cpus,omitempty" json:"cpus,omitempty"`
	MemoryGB float64 `cbor:"mem,omitempty" json:"memory_gb,omitempty"`
	Spot     bool    `cbor:"spot,omitempty" json:"spot,omitempty"`
}

// CrewBooking is a rental in advance of a departure. It is written before it is requested, so that
// every leader requests it under the same name and it is made only once.
type CrewBooking struct {
	LeavesMS int64  `cbor:"at" json:"leaves_ms"`
	Request  string `cbor:"req" json:"request"`
	Type     string `cbor:"type" json:"type"`
	Zone     string `cbor:"zone" json:"zone"`
	Spot     bool   `cbor:"spot,omitempty" json:"spot,omitempty"`
	Count    int    `cbor:"n" json:"count"`
	Done     bool   `cbor:"done,omitempty" json:"done,omitempty"`
}

// CrewOutcome is the outcome of a departure: the number of jobs of its classes, how many of them were
// done in time, and by how many seconds the last was late.
type CrewOutcome struct {
	LeavesMS int64   `cbor:"at" json:"leaves_ms"`
	Jobs     int     `cbor:"jobs" json:"jobs"`
	Met      int     `cbor:"met" json:"met"`
	LateS    float64 `cbor:"late,omitempty" json:"late_s,omitempty"`
	Why      string  `cbor:"why,omitempty" json:"why,omitempty"`
}

// CrewChange is a change by an operator: its time in milliseconds since 1970, the controller that
// made it, and a description.
type CrewChange struct {
	AtMS int64  `cbor:"at" json:"at_ms"`
	Node string `cbor:"node" json:"node"`
	What string `cbor:"what" json:"what"`
}

// CrewPatch adds a crew or replaces the operators' part of its record. Version is the version that was
// read, 0 for a new crew. With DryRun it is only validated.
type CrewPatch struct {
	Version uint64 `cbor:"version"`
	Crew    Crew   `cbor:"crew"`
	DryRun  bool   `cbor:"dry_run,omitempty"`
}

// CrewPlan is the plan for a crew's next departure. Times are in milliseconds since 1970, amounts of
// work in seconds.
type CrewPlan struct {
	Crew     string  `cbor:"crew" json:"crew"`
	Version  uint64  `cbor:"version" json:"version"`
	LeavesMS int64   `cbor:"leaves" json:"leaves_ms"` // 0: no further departure
	Leaves   string  `cbor:"leaves_local" json:"leaves"`
	StartMS  int64   `cbor:"start" json:"latest_start_ms"` // latest start for work to be done in time
	Jobs     int     `cbor:"jobs" json:"jobs"`             // accepted and not done
	Tasks    int     `cbor:"tasks" json:"tasks"`
	CPUs     float64 `cbor:"cpus" json:"cpus_needed"` // needed from now on for the work to be done in time
	Have     float64 `cbor:"have" json:"cpus_there"`
	Pressed  bool    `cbor:"pressed" json:"pressed"` // its work is served ahead of other routine work
	Miss     int     `cbor:"miss" json:"will_miss"`
	MissS    float64 `cbor:"miss_s" json:"miss_by_s"`
	Say      string  `cbor:"say" json:"say"`
	Ahead    int     `cbor:"ahead" json:"machines_ahead"`
}

// CrewView is the answer of the administration API about one crew.
type CrewView struct {
	Version uint64   `cbor:"version" json:"version"`
	Crew    Crew     `cbor:"crew" json:"crew"`
	Plan    CrewPlan `cbor:"plan" json:"plan"`
}

// Bias is what a shard's holder has learned about estimates, by class: the number of tasks, and the
// sum and the sum of squares of the logarithms of run time divided by estimate.
type Bias struct {
	Classes map[string][3]float64 `cbor:"c"`
}
