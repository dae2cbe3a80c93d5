package wire

// Records that the controllers keep in the state service. Everything live
// stands under LivePrefix and is watched by every controller; final states
// stand apart, so that starting does not read the whole past.
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
	// PrefixWeights holds, by shard, what is planned for images that many machines fetch.
	PrefixWeights = "live/weights/"
	PrefixDone    = "live/done/"
	PrefixFinal   = "final/"
	// PrefixWaiting holds jobs that wait for others. They move to PrefixJob once all of those
	// are done, or to PrefixFinal.
	PrefixWaiting = "live/wait/"
)

// Job is an accepted job as stored: the user's words plus progress.
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
	// Number orders jobs of a rung: the newest revision of the state that its acceptor knew
	// of. Unlike the day's time it comes from the state's own order.
	Number uint64 `cbor:"no,omitempty"`
	// Started counts the tasks, from index 0, that may ever have been started.
	// It is written before the start, so a task at or above it is nowhere.
	Started int `cbor:"started"`
	// On names, for a job of few tasks, the machine that each task's last start was
	// written for, before it was made: the task may be there and nowhere else.
	On []string `cbor:"on,omitempty"`
	// Done holds half-open ranges [from, to) of completed tasks, in order, as far as there is
	// room; records under PrefixDone say the rest.
	Done [][2]int `cbor:"done,omitempty"`
	// Predecessors are jobs that have to be done before any task of this one starts. A job that
	// waits for them stands under PrefixWaiting; under PrefixJob they all are done.
	Predecessors []string `cbor:"awaits,omitempty"`
	// ReadyMS is when the last predecessor was known to be done (ms, time of day); 0: there are none.
	ReadyMS int64 `cbor:"ready,omitempty"`
}

// ReadySince is when the job could first run: its acceptance, or the end of its last predecessor
// (ms, time of day).
func (j *Job) ReadySince() int64 { return max(j.AcceptedMS, j.ReadyMS) }

// Done says which tasks of a job are done beside those that its own record names: bit k%32 of
// word k/32 stands for task From+k. It stands until the job is over.
type Done struct {
	From int      `cbor:"from"`
	Bits []uint32 `cbor:"bits"`
}

// Starts is what has been written of the starts of many jobs, by job, and of machines that
// are no longer fresh, by "m:" and their name. The entry of a name with the largest N
// counts, in whichever slot it stands; beside it what the job's own record says.
type Starts struct {
	Entries map[string]Start `cbor:"e"`
}

// Start says of a job what Job.Started and Job.On say.
type Start struct {
	N       uint64   `cbor:"n"`
	Started int      `cbor:"s,omitempty"`
	On      []string `cbor:"on,omitempty"`
	// Bad: the job fails on every machine, as far as its holder knows; for successors.
	Bad bool `cbor:"bad,omitempty"`
}

// Final is a job's last word.
type Final struct {
	Status string `cbor:"status"`
	Done   int    `cbor:"done"`
	// By is the job before it whose cancellation ended this one; "": its own, or it is done.
	By string `cbor:"by,omitempty"`
}

// Node is a controller's presence, attached to its grant.
type Node struct {
	Boot uint64 `cbor:"boot"`
	Zone string `cbor:"zone"`
	// Features are those that this life understands. Versions that know of none leave it out.
	Features []string `cbor:"features,omitempty"`
}

// Leader names the leading controller, attached to its grant.
type Leader struct {
	Node string `cbor:"node"`
	Boot uint64 `cbor:"boot"`
}

// Shard binds teams and blocks to one holder. A takeover is one write of it.
type Shard struct {
	Holder string   `cbor:"holder"`
	Boot   uint64   `cbor:"boot"`
	Home   string   `cbor:"home"`
	Teams  []string `cbor:"teams"`
	// Settled: the holder has accounted for every machine it inherited, so that
	// no holder before it can still be answering a worker.
	Settled bool `cbor:"settled,omitempty"`
	// Past names every life that held the shard since all its machines were last
	// accounted for, if Known: once all of them are dead, nobody else can be
	// answering a worker.
	Past  []Incarnation `cbor:"past,omitempty"`
	Known bool          `cbor:"known,omitempty"`
}

// Life is one life of a controller.
type Incarnation struct {
	Node string `cbor:"node"`
	Boot uint64 `cbor:"boot"`
}

// Block is a few machines of one type, zone and kind, leased to a shard.
type Block struct {
	Shard    int            `cbor:"shard"`
	Type     string         `cbor:"type"`
	Zone     string         `cbor:"zone"`
	Spot     bool           `cbor:"spot,omitempty"`
	Base     bool           `cbor:"base,omitempty"`
	Idle     bool           `cbor:"idle,omitempty"`
	Machines []BlockMachine `cbor:"machines"`
}

// BlockMachine is a machine of a block. Drop asks the leader to delete it;
// nothing is started on it any more. Empty says that nothing is on it either,
// so that a later holder need not account for it. Fresh says that nothing has
// ever been started on it; it is taken back in writing before the first start.
type BlockMachine struct {
	Name  string `cbor:"name"`
	Fresh bool   `cbor:"fresh,omitempty"`
	Drop  bool   `cbor:"drop,omitempty"`
	Empty bool   `cbor:"empty,omitempty"`
}

// Cache tells which images a shard's machines have fetched. It is advice: a
// successor that does not know lets tasks wait for fetches that are needless.
type Cache struct {
	Images []string `cbor:"images"`
	// Sets has for each machine bits of the images it has: bit k%32 of word k/32 stands
	// for Images[k]. A shard of many machines has several records.
	Sets map[string][]uint32 `cbor:"sets,omitempty"`
	// Machines is what earlier versions wrote: indexes into Images.
	Machines map[string][]int `cbor:"machines,omitempty"`
}

// Of lists the images of a machine, and whether the record names it.
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

// Names lists the machines that the record names, in no order.
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

// Want is what a shard's holder asks of the leader. Seen is the newest
// revision of the shard's blocks known when it was written, so that the
// leader does not serve the same want twice.
type Demand struct {
	Seen  uint64 `cbor:"seen"`
	Needs []Need `cbor:"needs,omitempty"`
}

// Need asks for Count machines, each to hold at least one task of Size.
type Need struct {
	Types []string `cbor:"types,omitempty"`
	Zone  string   `cbor:"zone,omitempty"`
	Spot  bool     `cbor:"spot,omitempty"`
	CPUs  float64  `cbor:"cpus"`
	GPUs  float64  `cbor:"gpus,omitempty"`
	MemGB float64  `cbor:"mem"`
	Tasks int      `cbor:"tasks"`
	// Dire: the tasks lie within their teams' guarantees and the cloud has
	// given nothing for a while; shards that borrow are to give way.
	Starved bool `cbor:"dire,omitempty" msgpack:"Dire"`
	// Booting: machines for it are on their way; only blocks that are up help.
	Booting bool `cbor:"booting,omitempty"`
	// Rung is the rank of the work that asks; needs of higher rungs are served first, whichever
	// shard they are of.
	Tier int `cbor:"rung,omitempty" msgpack:"Rung"`
}

// Weights is what a shard's holder has planned for images that many of its machines fetch: one change an
// image and stage. Roots fetch it from the store.
type Weights struct {
	Images []WeightsImage `cbor:"images,omitempty" json:"images,omitempty"`
}

// WeightsImage is one of them.
type WeightsImage struct {
	Image string   `cbor:"image" json:"image"`
	GB    float64  `cbor:"gb" json:"gb"`
	Stage int      `cbor:"stage" json:"stage"`
	Roots []string `cbor:"roots,omitempty" json:"roots,omitempty"`
}
