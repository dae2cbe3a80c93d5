package wire

// Keys of the records that the controllers keep in the state service. All live records are under
// LivePrefix, which every controller watches. Final states are stored elsewhere, so that a
// controller does not read the whole history when it starts.
const (
	LivePrefix   = "live/"
	KeyLeader    = "live/leader"
	PrefixNode   = "live/node/"
	PrefixShard  = "live/shard/"
	PrefixBlock  = "live/block/"
	PrefixDemand = "live/want/"
	PrefixType   = "live/type/"
	PrefixJob    = "live/job/"
	PrefixCache  = "live/cache/"
	PrefixStart  = "live/start/"
	// PrefixWeights holds, by shard, the plans for images that many machines fetch.
	PrefixWeights = "live/weights/"
	PrefixDone    = "live/done/"
	PrefixFinal   = "final/"
	// PrefixWaiting holds jobs that wait for their predecessors. They move to PrefixJob once all
	// predecessors are done, or to PrefixFinal.
	PrefixWaiting = "live/wait/"
)

// Job is the stored record of an accepted job: the user's request and the progress. AcceptedMS is in
// milliseconds since 1970.
type Job struct {
	ID              string   `cbor:"id"`
	Class           string   `cbor:"class"`
	Team            string   `cbor:"team"`
	Shape           string   `cbor:"shape"`
	Priority        string   `cbor:"prio"`
	Tasks           int      `cbor:"tasks"`
	CPUs            float64  `cbor:"cpus"`
	GPUs            float64  `cbor:"gpus,omitempty"`
	MemoryGB        float64  `cbor:"mem"`
	Types           []string `cbor:"types,omitempty"`
	Zone            string   `cbor:"zone,omitempty"`
	OneZone         bool     `cbor:"onezone,omitempty"`
	Spread          bool     `cbor:"spread,omitempty"`
	Spot            bool     `cbor:"spot,omitempty"`
	Image           string   `cbor:"image"`
	ImageGB         float64  `cbor:"imagegb"`
	EstimateS       float64  `cbor:"est,omitempty"`
	CheckpointEvery float64  `cbor:"ckpt,omitempty"`
	SaveS           float64  `cbor:"save,omitempty"`
	DueS            float64  `cbor:"due,omitempty"`
	AcceptedMS      int64    `cbor:"acc"`
	// Number orders the jobs of a tier. It is the newest revision of the state that the accepting
	// controller knew of; unlike the wall clock it follows the order of the state service.
	Number uint64 `cbor:"no,omitempty"`
	// Started is the number of tasks, counted from index 0, that may ever have been started. It is
	// written before the start, so a task with this index or a higher one runs nowhere.
	Started int `cbor:"started"`
	// On holds, for a job of few tasks, the machine of each task's last start. It is written before
	// the start is made: the task may be on that machine and on no other.
	On []string `cbor:"on,omitempty"`
	// Done holds half-open ranges [from, to) of completed tasks in ascending order, as far as they
	// fit; the records under PrefixDone hold the others.
	Done [][2]int `cbor:"done,omitempty"`
	// Predecessors are jobs that have to be done before any task of this one starts. A job that waits
	// for them is stored under PrefixWaiting; the predecessors of a job under PrefixJob are all done.
	Predecessors []string `cbor:"awaits,omitempty"`
	// ReadyMS is when the last predecessor was known to be done, in milliseconds since 1970; 0: there
	// are no predecessors.
	ReadyMS int64 `cbor:"ready,omitempty"`
}

// ReadySince returns when the job could first run, in milliseconds since 1970: the time of its
// acceptance, or of the end of its last predecessor.
func (j *Job) ReadySince() int64 { return max(j.AcceptedMS, j.ReadyMS) }

// Done records which tasks of a job are done in addition to those in the job's own record: bit k%32 of
// word k/32 is set if task From+k is done. It is kept until the job is over.
type Done struct {
	From int      `cbor:"from"`
	Bits []uint32 `cbor:"bits"`
}

// Starts is a record of the starts of many jobs, by job, and of machines that are no longer fresh, by
// "m:" and their name. Of several entries with the same name, in whichever record, the one with the
// largest N counts, together with what the job's own record holds.
type Starts struct {
	Entries map[string]Start `cbor:"e"`
}

// Start has the same content for a job as Job.Started and Job.On.
type Start struct {
	N       uint64   `cbor:"n"`
	Started int      `cbor:"s,omitempty"`
	On      []string `cbor:"on,omitempty"`
	// Bad reports that the job fails on every machine, as far as its holder knows, for later holders.
	Bad bool `cbor:"bad,omitempty"`
}

// Final is the final state of a job.
type Final struct {
	Status string `cbor:"status"`
	Done   int    `cbor:"done"`
	// By is the predecessor whose cancellation ended this job; "": the job itself was cancelled or is
	// done.
	By string `cbor:"by,omitempty"`
}

// Node is the presence record of a controller, attached to its state lease.
type Node struct {
	Boot uint64 `cbor:"boot"`
	Zone string `cbor:"zone"`
	// Features are the features that this incarnation understands. Versions without features omit it.
	Features []string `cbor:"features,omitempty"`
}

// Leader is the record of the leading controller, attached to its state lease.
type Leader struct {
	Node string `cbor:"node"`
	Boot uint64 `cbor:"boot"`
}

// Shard assigns teams and blocks to one holder. A takeover is a single write of this record.
type Shard struct {
	Holder string   `cbor:"holder"`
	Boot   uint64   `cbor:"boot"`
	Home   string   `cbor:"home"`
	Teams  []string `cbor:"teams"`
	// Settled reports that the holder has accounted for every machine that it inherited, so that no
	// earlier holder can still be answering a worker.
	Settled bool `cbor:"settled,omitempty"`
	// Past holds, if Known is set, every incarnation that has held the shard since all its machines
	// were last accounted for: once all of these are dead, no other controller can be answering a
	// worker.
	Past  []Incarnation `cbor:"past,omitempty"`
	Known bool          `cbor:"known,omitempty"`
}

// Incarnation is one incarnation of a controller process.
type Incarnation struct {
	Node string `cbor:"node"`
	Boot uint64 `cbor:"boot"`
}

// Block is a small group of machines of one type, zone and kind that is assigned to a shard.
type Block struct {
	Shard    int            `cbor:"shard"`
	Type     string         `cbor:"type"`
	Zone     string         `cbor:"zone"`
	Spot     bool           `cbor:"spot,omitempty"`
	Base     bool           `cbor:"base,omitempty"`
	Idle     bool           `cbor:"idle,omitempty"`
	Machines []BlockMachine `cbor:"machines"`
}

// BlockMachine is a machine of a block. Drop asks the leader to delete it; no task is started on it any
// more. Empty states that no task is on it either, so that a later holder need not account for it.
// Fresh states that no task has ever been started on it; it is cleared by a write before the first
// start.
type BlockMachine struct {
	Name  string `cbor:"name"`
	Fresh bool   `cbor:"fresh,omitempty"`
	Drop  bool   `cbor:"drop,omitempty"`
	Empty bool   `cbor:"empty,omitempty"`
}

// Cache records which images a shard's machines have fetched. It is advisory: without it a new holder
// lets tasks wait for fetches that are not needed.
type Cache struct {
	Images []string `cbor:"images"`
	// Sets is, by machine, a bit set of its images: bit k%32 of word k/32 is set if it has Images[k].
	// A shard of many machines has several records.
	Sets map[string][]uint32 `cbor:"sets,omitempty"`
	// Machines is the form that earlier versions wrote: indexes into Images.
	Machines map[string][]int `cbor:"machines,omitempty"`
}

// Of returns the images of a machine, and whether the record contains the machine.
func (c *Cache) Of(machine string) (images []string, named bool) {
	words, named := c.Sets[machine]
	for k, image := range c.Images {
		if k/32 < len(words) && words[k/32]>>(k%32)&1 == 1 {
			images = append(images, image)
		}
	}
	old, was := c.Machines[machine]
	for _, k := range old {
		if k >= 0 && k < len(c.Images) {
			images = append(images, c.Images[k])
		}
	}
	return images, named || was
}

// Names returns the machines in the record, in no particular order.
func (c *Cache) Names() []string {
	names := make([]string, 0, len(c.Sets)+len(c.Machines))
	for n := range c.Sets {
		names = append(names, n)
	}
	for n := range c.Machines {
		names = append(names, n)
	}
	return names
}

// Demand is a shard's unmet demand, which its holder sends to the leader. Seen is the newest revision
// of the shard's blocks that was known when it was written, so that the leader does not serve the
// same demand twice.
type Demand struct {
	Seen  uint64 `cbor:"seen"`
	Needs []Need `cbor:"needs,omitempty"`
}

// Need is the demand for machines that can run Tasks tasks of this size.
type Need struct {
	Types []string `cbor:"types,omitempty"`
	Zone  string   `cbor:"zone,omitempty"`
	Spot  bool     `cbor:"spot,omitempty"`
	CPUs  float64  `cbor:"cpus"`
	GPUs  float64  `cbor:"gpus,omitempty"`
	MemGB float64  `cbor:"mem"`
	Tasks int      `cbor:"tasks"`
	// Starved reports that the tasks are within their teams' guarantees and that the cloud has
	// provided nothing for some time; shards that borrow capacity have to release it.
	Starved bool `cbor:"dire,omitempty" msgpack:"Dire"`
	// Booting reports that machines for it are booting; only blocks that are up can help.
	Booting bool `cbor:"booting,omitempty"`
	// Tier is the rank of the waiting work's tier; the needs of higher tiers are served first,
	// regardless of their shard.
	Tier int `cbor:"rung,omitempty" msgpack:"Rung"`
}

// Weights is the plan of a shard's holder for images that many of its machines fetch. It changes once
// for each image and stage.
type Weights struct {
	Images []WeightsImage `cbor:"images,omitempty" json:"images,omitempty"`
}

// WeightsImage is the plan for one image. Roots are the machines that fetch it from the store.
type WeightsImage struct {
	Image string   `cbor:"image" json:"image"`
	GB    float64  `cbor:"gb" json:"gb"`
	Stage int      `cbor:"stage" json:"stage"`
	Roots []string `cbor:"roots,omitempty" json:"roots,omitempty"`
}
