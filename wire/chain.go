package wire

// Chain answers GET /admin/v1/chain/{id}: a job, all that it awaits and all that awaits it,
// directly or through others, as one controller sees them.
type Chain struct {
	Job  string     `cbor:"job" json:"job"`   // that was asked for
	Node string     `cbor:"node" json:"node"` // who tells
	Jobs []ChainJob `cbor:"jobs" json:"jobs"` // each after those that it awaits
}

// ChainJob is one job of a chain. Times of day are in milliseconds since 1970; 0: none, or not known.
type ChainJob struct {
	ID      string   `cbor:"id" json:"id"`
	Class   string   `cbor:"class" json:"class"`
	Team    string   `cbor:"team" json:"team"`
	Status  string   `cbor:"status" json:"status"` // as its user is told; "": not known to this controller
	Awaits  []string `cbor:"awaits" json:"awaits"` // its direct predecessors
	Tasks   int      `cbor:"tasks" json:"tasks"`
	Done    int      `cbor:"done" json:"done"`       // tasks
	Running int      `cbor:"running" json:"running"` // tasks

	// Priority is its own, InheritedPriority the highest of its dependents; "": not higher than its own.
	Priority          string `cbor:"priority" json:"priority"`
	InheritedPriority string `cbor:"inherited_priority,omitempty" json:"inherited_priority,omitempty"`

	WaitingSinceMS  int64 `cbor:"waiting_since,omitempty" json:"waiting_since_ms,omitempty"`   // for its predecessors; 0: it does not wait for any
	ReadyMS         int64 `cbor:"ready,omitempty" json:"ready_ms,omitempty"`                   // when the last of them was known done
	ExpectedStartMS int64 `cbor:"expected_start,omitempty" json:"expected_start_ms,omitempty"` // of its first task
	ExpectedEndMS   int64 `cbor:"expected_end,omitempty" json:"expected_end_ms,omitempty"`     // of its last task
	DueMS           int64 `cbor:"due,omitempty" json:"due_ms,omitempty"`                       // its own deadline
	// InheritedDueMS is by when it has to be done so that its dependents can meet their deadlines.
	InheritedDueMS int64 `cbor:"inherited_due,omitempty" json:"inherited_due_ms,omitempty"`
	// SlackS is by how many seconds its expected end lies before the earlier of its due times;
	// negative: it comes late by so much. nil: it has no due time, or its end is not foreseen.
	SlackS *float64 `cbor:"slack_s,omitempty" json:"slack_s,omitempty"`
	// Critical: it lies on the longest path to the end of the chain.
	Critical bool `cbor:"critical,omitempty" json:"critical,omitempty"`
	// CancelledBy is the job whose cancellation by its user ended this one; its own id or "" if it was itself.
	CancelledBy string `cbor:"cancelled_by,omitempty" json:"cancelled_by,omitempty"`
}
