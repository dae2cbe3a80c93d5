package wire

// PrefixTrail is the prefix of the stored part of the controllers' trails. It is outside LivePrefix, so
// that no controller watches it.
const PrefixTrail = "trail/"

// TrailEvent is a decision or an observation that helps to explain a failure. Kind determines which
// fields are set.
type TrailEvent struct {
	Seq     uint64 `cbor:"seq" json:"seq"`                             // counted from 1 in this incarnation of the controller
	Cause   uint64 `cbor:"cause,omitempty" json:"cause,omitempty"`     // Seq of the event that led to it; 0: none known
	AtMS    int64  `cbor:"at" json:"at_ms"`                            // milliseconds since the controller's start, by the monotonic clock
	WallMS  int64  `cbor:"wall" json:"wall_ms"`                        // the controller's wall clock, in milliseconds since 1970
	Kind    string `cbor:"kind" json:"kind"`                           // see package trail
	Machine string `cbor:"machine,omitempty" json:"machine,omitempty"` //
	Job     string `cbor:"job,omitempty" json:"job,omitempty"`         //
	Task    string `cbor:"task,omitempty" json:"task,omitempty"`       //
	Block   string `cbor:"block,omitempty" json:"block,omitempty"`     //
	Node    string `cbor:"node,omitempty" json:"node,omitempty"`       // the other controller that the event is about
	Shard   *int   `cbor:"shard,omitempty" json:"shard,omitempty"`     //
	Token   uint64 `cbor:"token,omitempty" json:"token,omitempty"`     //
	Count   int    `cbor:"n,omitempty" json:"count,omitempty"`         // machines or tasks
	Why     string `cbor:"why,omitempty" json:"why,omitempty"`         //
	Boot    uint64 `cbor:"boot,omitempty" json:"boot,omitempty"`       // incarnation that recorded it, in a stored record
}

// Trail is the answer to GET /admin/v1/trail. Next is the sequence number to pass as after in the next
// request. Missed reports that some events after the requested number are no longer kept.
type Trail struct {
	Node   string       `cbor:"node" json:"node"`
	Boot   uint64       `cbor:"boot" json:"boot"`
	Next   uint64       `cbor:"next" json:"next"`
	Missed bool         `cbor:"missed,omitempty" json:"missed,omitempty"`
	Stored bool         `cbor:"stored,omitempty" json:"stored,omitempty"` // read from the state service, for another controller
	Events []TrailEvent `cbor:"events" json:"events"`
}

// TrailRecord is the part of a controller's trail that it stores in the state service.
type TrailRecord struct {
	Boot   uint64       `cbor:"boot"`
	Events []TrailEvent `cbor:"events"`
}

// MachineDetail is one controller's current view of a machine. Times are in seconds; those that are not
// known yet are null.
type MachineDetail struct {
	Machine    string          `cbor:"machine" json:"machine"`
	Node       string          `cbor:"node" json:"node"`     // the controller that answers
	Holder     string          `cbor:"holder" json:"holder"` // the holder of its block
	Held       bool            `cbor:"held" json:"held"`     // whether Node is the holder; only then the following fields are known
	Block      string          `cbor:"block" json:"block"`
	Shard      int             `cbor:"shard" json:"shard"`
	Token      uint64          `cbor:"token" json:"token"`
	Type       string          `cbor:"type" json:"type"`
	Zone       string          `cbor:"zone" json:"zone"`
	Spot       bool            `cbor:"spot" json:"spot"`
	State      string          `cbor:"state" json:"state"`
	Cordoned   bool            `cbor:"cordoned" json:"cordoned"`
	Session    uint64          `cbor:"session" json:"session"`
	Inherited  bool            `cbor:"inherited" json:"inherited"`
	Accounted  bool            `cbor:"accounted" json:"accounted"`
	ReportedS  *float64        `cbor:"reported_s" json:"reported_s"`     // since its last report
	LeaseLeftS *float64        `cbor:"lease_left_s" json:"lease_left_s"` // until its lease has certainly expired; negative: since then
	FreeCPUs   float64         `cbor:"free_cpus" json:"free_cpus"`
	Errors     int             `cbor:"errors" json:"errors"` // failures in a row
	Images     []string        `cbor:"images" json:"images"`
	Attempts   []AttemptDetail `cbor:"attempts" json:"attempts"`
	Trail      []TrailEvent    `cbor:"trail" json:"trail"`
}

// AttemptDetail is an attempt that is or may be on a machine.
type AttemptDetail struct {
	Task    string  `cbor:"task" json:"task"`
	Attempt uint64  `cbor:"attempt" json:"attempt"`
	Status  string  `cbor:"status" json:"status"` // "reserved" or "sent" until reported
	ForS    float64 `cbor:"for_s" json:"for_s"`   // since it was placed
}
