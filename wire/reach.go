package wire

// PrefixReach is the prefix of the controllers' reachability reports, each attached to its state
// lease. A report is advisory: decisions based on it are written by compare-and-set like all others.
const PrefixReach = "live/reach/"

// ReachReport is a controller's reachability report. It is written only when it changes.
type ReachReport struct {
	Boot uint64 `cbor:"boot" msgpack:"boot"`
	// NoWorkers reports that it reaches no workers, neither as a holder nor by calling some.
	NoWorkers bool `cbor:"lacks,omitempty" msgpack:"lacks,omitempty"`
	// SilentShards are shards that it holds and whose machines are all silent. Controllers that
	// reach these machines answer in SampledShards.
	SilentShards []int `cbor:"seeks,omitempty" msgpack:"seeks,omitempty"`
	// SampledShards answers the SilentShards of other controllers.
	SampledShards []ShardReach `cbor:"hears,omitempty" msgpack:"hears,omitempty"`
	// DegradedShards are shards that it holds and of whose machines many are silent.
	DegradedShards []int `cbor:"misses,omitempty" msgpack:"misses,omitempty"`
	// UnreachableNodes are controllers that are present and have not answered it for a long time.
	UnreachableNodes []string `cbor:"apart,omitempty" msgpack:"apart,omitempty"`
	// NoCloud reports that its calls of the cloud have failed for a long time. CloudAnswers answers
	// another controller's NoCloud.
	NoCloud      bool `cbor:"nocloud,omitempty" msgpack:"nocloud,omitempty"`
	CloudAnswers bool `cbor:"cloud,omitempty" msgpack:"cloud,omitempty"`
}

// ShardReach is how many of a shard's machines were called and how many of them answered.
type ShardReach struct {
	Shard    int `cbor:"shard" msgpack:"shard" json:"shard"`
	Called   int `cbor:"of" msgpack:"of" json:"of"`
	Answered int `cbor:"heard" msgpack:"heard" json:"heard"`
}

// ReachView is the answer of the administration API about reachability: the links of one controller,
// and the reports of the others that it knows.
type ReachView struct {
	Node    string            `cbor:"node" json:"node"`
	Links   []LinkView        `cbor:"links" json:"links"`
	Reports []ReachReportView `cbor:"words" json:"words"`
}

// LinkView is the believed state of one link.
type LinkView struct {
	To      string  `cbor:"to" json:"to"`                               // "state", "cloud", "controller NAME", "shard N"
	Level   string  `cbor:"level" json:"level"`                         // unknown, up, doubt or down
	ForS    float64 `cbor:"for_s" json:"for_s"`                         // seconds
	Why     string  `cbor:"why" json:"why"`                             // the evidence
	Through string  `cbor:"through,omitempty" json:"through,omitempty"` // the controller that calls go through
}

// View returns the report in the form in which it is shown to operators.
func (w ReachReport) View(node string) ReachReportView {
	return ReachReportView{Node: node, NoWorkers: w.NoWorkers, SilentShards: w.SilentShards, SampledShards: w.SampledShards, DegradedShards: w.DegradedShards, UnreachableNodes: w.UnreachableNodes, NoCloud: w.NoCloud}
}

// ReachReportView is another controller's reachability report.
type ReachReportView struct {
	Node             string       `cbor:"node" json:"node"`
	NoWorkers        bool         `cbor:"lacks" json:"lacks_workers"`
	SilentShards     []int        `cbor:"seeks" json:"seeks"`
	SampledShards    []ShardReach `cbor:"hears" json:"hears"`
	DegradedShards   []int        `cbor:"misses" json:"misses"`
	UnreachableNodes []string     `cbor:"apart" json:"apart"`
	NoCloud          bool         `cbor:"nocloud" json:"lacks_cloud"`
}
