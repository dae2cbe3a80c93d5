package wire

// PrefixReach is where each controller keeps its word on what it reaches, attached to its
// grant. It is advice: what it leads to is written by comparison like anything else.
const PrefixReach = "live/reach/"

// Reach is a controller's word, written on change only.
type ReachReport struct {
	Boot uint64 `cbor:"boot" msgpack:"boot"`
	// Lacks: it reaches no workers, neither as a holder nor when it calls some.
	NoWorkers bool `cbor:"lacks,omitempty" msgpack:"lacks,omitempty"`
	// Seeks are shards that it holds and whose machines have all fallen silent; who
	// reaches them is to say so.
	SilentShards []int `cbor:"seeks,omitempty" msgpack:"seeks,omitempty"`
	// Hears answers others' Seeks.
	SampledShards []ShardReach `cbor:"hears,omitempty" msgpack:"hears,omitempty"`
	// Misses are shards that it holds and of whose machines many are silent.
	DegradedShards []int `cbor:"misses,omitempty" msgpack:"misses,omitempty"`
	// Apart are controllers that are present and have not answered it for long.
	UnreachableNodes []string `cbor:"apart,omitempty" msgpack:"apart,omitempty"`
	// NoCloud: its calls of the cloud have failed for long. Cloud answers another's NoCloud.
	NoCloud      bool `cbor:"nocloud,omitempty" msgpack:"nocloud,omitempty"`
	CloudAnswers bool `cbor:"cloud,omitempty" msgpack:"cloud,omitempty"`
}

// ShardReach is how many of a shard's machines were called, and how many answered.
type ShardReach struct {
	Shard    int `cbor:"shard" msgpack:"shard" json:"shard"`
	Called   int `cbor:"of" msgpack:"of" json:"of"`
	Answered int `cbor:"heard" msgpack:"heard" json:"heard"`
}

// ReachView answers the administration API: what one controller believes to reach, and
// what the others have told it.
type ReachView struct {
	Node    string            `cbor:"node" json:"node"`
	Links   []LinkView        `cbor:"links" json:"links"`
	Reports []ReachReportView `cbor:"words" json:"words"`
}

// LinkView is one link as its end believes it to be.
type LinkView struct {
	To      string  `cbor:"to" json:"to"`                               // "state", "cloud", "controller NAME", "shard N"
	Level   string  `cbor:"level" json:"level"`                         // unknown, up, doubt or down
	ForS    float64 `cbor:"for_s" json:"for_s"`                         // seconds
	Why     string  `cbor:"why" json:"why"`                             // evidence
	Through string  `cbor:"through,omitempty" json:"through,omitempty"` // the controller that calls go through
}

// Told is a controller's word as operators are shown it.
func (w ReachReport) View(node string) ReachReportView {
	return ReachReportView{Node: node, NoWorkers: w.NoWorkers, SilentShards: w.SilentShards, SampledShards: w.SampledShards, DegradedShards: w.DegradedShards, UnreachableNodes: w.UnreachableNodes, NoCloud: w.NoCloud}
}

// ReachWord is another controller's word.
type ReachReportView struct {
	Node             string       `cbor:"node" json:"node"`
	NoWorkers        bool         `cbor:"lacks" json:"lacks_workers"`
	SilentShards     []int        `cbor:"seeks" json:"seeks"`
	SampledShards    []ShardReach `cbor:"hears" json:"hears"`
	DegradedShards   []int        `cbor:"misses" json:"misses"`
	UnreachableNodes []string     `cbor:"apart" json:"apart"`
	NoCloud          bool         `cbor:"nocloud" json:"lacks_cloud"`
}
