package wire

// PrefixReach is where each controller keeps its word on what it reaches, attached to its
// grant. It is advice: what it leads to is written by comparison like anything else.
const PrefixReach = "live/reach/"

// Reach is a controller's word, written on change only.
type Reach struct {
	Boot uint64 `cbor:"boot" msgpack:"boot"`
	// Lacks: it reaches no workers, neither as a holder nor when it calls some.
	Lacks bool `cbor:"lacks,omitempty" msgpack:"lacks,omitempty"`
	// Seeks are shards that it holds and whose machines have all fallen silent; who
	// reaches them is to say so.
	Seeks []int `cbor:"seeks,omitempty" msgpack:"seeks,omitempty"`
	// Hears answers others' Seeks.
	Hears []ShardReach `cbor:"hears,omitempty" msgpack:"hears,omitempty"`
	// Misses are shards that it holds and of whose machines many are silent.
	Misses []int `cbor:"misses,omitempty" msgpack:"misses,omitempty"`
	// Apart are controllers that are present and have not answered it for long.
	Apart []string `cbor:"apart,omitempty" msgpack:"apart,omitempty"`
	// NoCloud: its calls of the cloud have failed for long. Cloud answers another's NoCloud.
	NoCloud bool `cbor:"nocloud,omitempty" msgpack:"nocloud,omitempty"`
	Cloud   bool `cbor:"cloud,omitempty" msgpack:"cloud,omitempty"`
}

// ShardReach is how many of a shard's machines were called, and how many answered.
type ShardReach struct {
	Shard int `cbor:"shard" msgpack:"shard" json:"shard"`
	Of    int `cbor:"of" msgpack:"of" json:"of"`
	Heard int `cbor:"heard" msgpack:"heard" json:"heard"`
}

// ReachView answers the administration API: what one controller believes to reach, and
// what the others have told it.
type ReachView struct {
	Node  string      `cbor:"node" json:"node"`
	Links []LinkView  `cbor:"links" json:"links"`
	Words []ReachWord `cbor:"words" json:"words"`
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
func (w Reach) Told(node string) ReachWord {
	return ReachWord{Node: node, Lacks: w.Lacks, Seeks: w.Seeks, Hears: w.Hears, Misses: w.Misses, Apart: w.Apart, NoCloud: w.NoCloud}
}

// ReachWord is another controller's word.
type ReachWord struct {
	Node    string       `cbor:"node" json:"node"`
	Lacks   bool         `cbor:"lacks" json:"lacks_workers"`
	Seeks   []int        `cbor:"seeks" json:"seeks"`
	Hears   []ShardReach `cbor:"hears" json:"hears"`
	Misses  []int        `cbor:"misses" json:"misses"`
	Apart   []string     `cbor:"apart" json:"apart"`
	NoCloud bool         `cbor:"nocloud" json:"lacks_cloud"`
}
