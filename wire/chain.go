package wire

// Chain is the answer to GET /admin/v1/chain/{id}: a job, its predecessors and its dependents, direct
// and indirect ones, as one controller knows them.
type Chain struct {
	Job  string     `cbor:"job" json:"job"`   // the requested job
	Node string     `cbor:"node" json:"node"` // the controller that answers
	Jobs []ChainJob `cbor:"jobs" json:"jobs"` // each after its predecessors
}

// ChainJob is one job of a chain. Times are in milliseconds since 1970; 0 means none or unknown.
type ChainJob struct {
	ID      string   `cbor:"id" json:"id"`
	Class   string   `cbor:"class" json:"class"`
	Team    string   `cbor:"team" json:"team"`
	Status  string   `cbor:"status" json:"status"` // as reported to its user; "": unknown to this controller
	Awaits  []string `cbor:"awaits" json:"awaits"` // its direct predecessors
	Tasks   int      `cbor:"tasks" json:"tasks"`
	Done    int      `cbor:"done" json:"done"`       // tasks
	Running int      `cbor:"running" json:"running"` // tasks

	// Priority is the job's own priority. InheritedPriority is the highest priority of its
	// dependents, or "" if that is not higher than its own.
	Priority          string `cbor:"priority" json:"priority"`
	InheritedPriority string `cbor:"inherited_priority,omitempty" json:"inherited_priority,omitempty"`

	WaitingSinceMS  int64 `cbor:"waiting_since,omitempty" json:"waiting_since_ms,omitempty"`   // since when it waits for its predecessors; 0: it does not wait for any
	ReadyMS         int64 `cbor:"ready,omitempty" json:"ready_ms,omitempty"`                   // when the last of them was known to be done
	ExpectedStartMS int64 `cbor:"expected_start,omitempty" json:"expected_start_ms,omitempty"` // of its first task
	ExpectedEndMS   int64 `cbor:"expected_end,omitempty" json:"expected_end_ms,omitempty"`     // of its last task
	DueMS           int64 `cbor:"due,omitempty" json:"due_ms,omitempty"`                       // its own deadline
	// InheritedDueMS is the time by which it has to be done so that its dependents can meet their
	// deadlines.
	InheritedDueMS int64 `cbor:"inherited_due,omitempty" json:"inherited_due_ms,omitempty"`
	// SlackS is the number of seconds from its expected end to the earlier of its due times;
	// negative if it is expected to be late. nil: it has no due time, or no expected end.
	SlackS *float64 `cbor:"slack_s,omitempty" json:"slack_s,omitempty"`
	// Critical reports whether it is on the longest path to the end of the chain.
	Critical bool `cbor:"critical,omitempty" json:"critical,omitempty"`
	// CancelledBy is the job whose cancellation by its user ended this one; its own id or "" if the
	// user cancelled this job itself.
	CancelledBy string `cbor:"cancelled_by,omitempty" json:"cancelled_by,omitempty"`
}
