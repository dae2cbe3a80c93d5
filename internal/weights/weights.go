// Package weights plans how an image that many machines want at once reaches them: how many fetch
// it from the store at a time, and which have it from others that have it or fetch it. To the
// protocol a model's weights are an image, its replicas tasks.
//
// A pure state machine: what workers report goes in, answers come out. Nothing rests on it but
// speed: an image that a source does not hand on is fetched from the store.
package weights

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/barrowbridge/barrowbridge/wire"
)

// Switches are what is switched on.
type Switches struct {
	HandOn bool // workers are told of others that have the image
	Pace   bool // fetches are held back where more at once brings no more
}

// On tells whether anything is.
func (s Switches) On() bool { return s.HandOn || s.Pace }

// Limits are the numbers that a plan is made by.
type Limits struct {
	Many    int           // machines that want an image at a time before others hand it on
	Degree  int           // machines that one hands an image on to at a time
	Sources int           // that one machine is named
	Roots   int           // machines of a zone that fetch from the store while its rate is not known
	Fetches int           // that a measure of the store rests on
	Bound   float64       // share of their own rates below which fetches show that the store binds
	Spare   float64       // so many times the machines that would use up the store fetch from it
	Least   time.Duration // a fetch shorter than this is not measured: reports tell of its end too late
	Memory  time.Duration // a measure counts for so long
	Stale   time.Duration // what other holders have written of fetches counts for so long
	Keep    int           // times as long a machine is kept idle that has an image which many use
}

// Machine is one that this controller holds. Rate is what its type fetches, GB/s.
type Machine struct {
	Name, Zone, Addr string
	Shard            int
	Rate             float64
}

// Use is an image that tasks on a machine want: they wait for it, or run with it.
type Use struct {
	Image string
	GB    float64
	There bool
}

// copied is an image on a machine, whole or on its way there.
type copied struct {
	Machine
	gb      float64
	since   time.Duration
	there   bool
	sources []string // machines that hand it on; none: the store does
	depth   int      // of the longest way from a copy that needs nobody
	began   float64  // the store's fetches so far, in fetch seconds, when it began
}

// Book is what one controller knows of images, and its plans for them.
type Book struct {
	l      Limits
	s      Switches
	copies map[string]map[string]*copied // image -> machine
	on     map[string]map[string]bool    // machine -> images in use
	roots  int                           // fetches from the store that are under way here
	store  store
	shards map[int]*shardPlan
	caches *Caches
}

// NewBook returns a book of no machines. What it has to write includes which images machines have.
func NewBook(s Switches, l Limits, k *Caches) *Book {
	return &Book{l: l, s: s, copies: map[string]map[string]*copied{}, on: map[string]map[string]bool{}, store: store{l: l}, shards: map[int]*shardPlan{}, caches: k}
}

// Seen takes what the tasks on a machine want and have, by its newest report.
func (b *Book) Seen(now time.Duration, m Machine, uses []Use) {
	had := b.on[m.Name]
	if len(had) == 0 && len(uses) == 0 {
		return
	}
	b.store.pass(now, b.fetching(now))
	in := map[string]bool{}
	for _, u := range uses {
		in[u.Image] = true
		c := b.copies[u.Image][m.Name]
		if c == nil {
			c = b.add(now, m, u.Image, u.GB)
		}
		if u.There && !c.there {
			if len(c.sources) == 0 && len(uses) == 1 {
				b.store.fetched(now, c)
			}
			if len(c.sources) == 0 {
				b.roots--
			}
			c.there, c.sources, c.depth, c.since = true, nil, 0, now
		}
		c.Addr, c.Shard = m.Addr, m.Shard
	}
	for image := range had {
		if !in[image] {
			b.drop(m.Name, image)
		}
	}
	b.on[m.Name] = in
	if len(in) == 0 {
		delete(b.on, m.Name)
	}
}

// Gone forgets a machine. Those that it hands images on to fetch them elsewhere.
func (b *Book) Gone(machine string) {
	for image := range b.on[machine] {
		b.drop(machine, image)
	}
	delete(b.on, machine)
}

func (b *Book) add(now time.Duration, m Machine, image string, gb float64) *copied {
	c := &copied{Machine: m, gb: gb, since: now, began: b.store.sum}
	if b.copies[image] == nil {
		b.copies[image] = map[string]*copied{}
	}
	b.copies[image][m.Name] = c
	b.roots++
	if b.on[m.Name] == nil {
		b.on[m.Name] = map[string]bool{}
	}
	b.on[m.Name][image] = true
	return c
}

func (b *Book) drop(machine, image string) {
	if c := b.copies[image][machine]; c != nil && !c.there && len(c.sources) == 0 {
		b.roots--
	}
	delete(b.copies[image], machine)
	if len(b.copies[image]) == 0 {
		delete(b.copies, image)
	}
}

// fetching counts the fetches from the store that are under way, of all shards.
func (b *Book) fetching(now time.Duration) (n int) {
	n = b.roots
	for _, p := range b.shards {
		if !p.own && now-p.at < b.l.Stale {
			n += p.roots()
		}
	}
	return n
}

// Fetch tells whether a machine may be told now to start a task with an image that it lacks, of a job of so many,
// and names the addresses of machines that hand the image on to it; none: the store does. A fetch waits
// where measurement has shown that more at once bring no more, and as many as that are under way; one that
// others hand on does not. First copies come from the store, one to a zone before any zone has two.
func (b *Book) Fetch(now time.Duration, m Machine, image string, gb float64, tasks int) (sources []string, ok bool) {
	if b.copies[image][m.Name] != nil || !b.s.On() {
		return nil, true
	}
	b.store.pass(now, b.fetching(now))
	sources = b.sources(now, m, image, gb, tasks)
	if most := b.store.most(now); b.s.Pace && len(sources) == 0 && most > 0 && b.fetching(now) > most {
		b.drop(m.Name, image)
		delete(b.on[m.Name], image)
		return nil, false
	}
	return sources, true
}

// sources adds a copy on its way, and names those that hand it on.
func (b *Book) sources(now time.Duration, m Machine, image string, gb float64, tasks int) (addrs []string) {
	c := b.add(now, m, image, gb)
	if !b.s.HandOn || tasks < b.l.Many || b.root(now, image, m.Zone) {
		return nil
	}
	for _, s := range b.able(image, m) {
		if len(addrs) < b.l.Sources {
			c.sources, addrs = append(c.sources, s.Name), append(addrs, s.Addr)
			c.depth = max(c.depth, s.depth+1)
		}
	}
	if len(addrs) > 0 {
		b.roots--
	}
	return addrs
}

// root tells whether the next copy of an image in a zone is to come from the store.
func (b *Book) root(now time.Duration, image, zone string) bool {
	here := 0
	for _, c := range b.copies[image] {
		if c.Zone == zone && (c.there || len(c.sources) == 0) {
			here++
		}
	}
	if here <= 1 { // itself: the zone has no copy that needs nobody
		return true
	}
	if most := b.store.most(now); most > 0 {
		return b.fetching(now) <= most && here <= b.l.Roots
	}
	return here <= b.l.Roots
}

// able lists the copies that may be handed on to a machine: in its zone first, then those that need
// the fewest others, then those that serve the fewest.
func (b *Book) able(image string, m Machine) (list []*copied) {
	serving := map[string]int{}
	for _, c := range b.copies[image] {
		for _, s := range c.sources {
			serving[s]++
		}
	}
	for _, c := range b.copies[image] {
		if c.Name != m.Name && c.Addr != "" && serving[c.Name] < b.l.Degree {
			list = append(list, c)
		}
	}
	far := func(c *copied) int {
		if c.Zone == m.Zone {
			return 0
		}
		return 1
	}
	slices.SortFunc(list, func(x, y *copied) int {
		return cmp.Or(cmp.Compare(far(x), far(y)), cmp.Compare(x.depth, y.depth), cmp.Compare(serving[x.Name], serving[y.Name]), cmp.Compare(x.Name, y.Name))
	})
	return list
}

// Busy tells whether a machine fetches an image that many want, other than this one: a task that waits for its
// own would share the rate.
func (b *Book) Busy(machine, image string) bool {
	if !b.s.On() {
		return false
	}
	for other := range b.on[machine] {
		if c := b.copies[other][machine]; other != image && c != nil && !c.there && len(b.copies[other]) >= b.l.Many {
			return true
		}
	}
	return false
}

// View is what is known of one image, or of all that are in use.
func (b *Book) View(now time.Duration, node, image string) wire.WeightsView {
	v := wire.WeightsView{Node: node, HandOn: b.s.HandOn, Pace: b.s.Pace, StoreGBps: b.store.rate(now), Most: b.store.most(now), Images: []wire.WeightsImageView{}}
	for _, name := range slices.Sorted(maps.Keys(b.copies)) {
		if image != "" && name != image {
			continue
		}
		x := wire.WeightsImageView{Image: name, Holders: []wire.WeightsCopy{}, Fetches: []wire.WeightsCopy{}}
		for _, n := range slices.Sorted(maps.Keys(b.copies[name])) {
			c := b.copies[name][n]
			x.GB = max(x.GB, c.gb)
			w := wire.WeightsCopy{Machine: n, Zone: c.Zone, Shard: c.Shard, ForS: (now - c.since).Seconds(), Sources: c.sources}
			if c.there {
				x.Holders = append(x.Holders, w)
				continue
			}
			if c.Rate > 0 {
				w.LeftS = max(0, b.expected(now, c)-w.ForS)
			}
			x.Fetches = append(x.Fetches, w)
		}
		v.Images = append(v.Images, x)
	}
	for _, i := range slices.Sorted(maps.Keys(b.shards)) {
		if p := b.shards[i]; !p.own {
			for _, x := range p.stands.Images {
				if image == "" || x.Image == image {
					v.Others = append(v.Others, wire.WeightsOther{Shard: i, WeightsImage: x})
				}
			}
		}
	}
	return v
}

// expected is how long a fetch takes, in seconds: from the store with as many others as now.
func (b *Book) expected(now time.Duration, c *copied) float64 {
	rate := c.Rate
	if s := b.store.rate(now); s > 0 && len(c.sources) == 0 {
		rate = min(rate, s/float64(max(1, b.fetching(now))))
	}
	return c.gb / rate
}

// Keep is for how long a machine that runs nothing is kept with these images, which would be for so long
// without them: longer if many machines run with one of them now, for then the next replica does not fetch it.
func (b *Book) Keep(images map[string]bool, idle time.Duration) time.Duration {
	if b.s.On() {
		for image := range images {
			if len(b.copies[image]) >= b.l.Many {
				return time.Duration(b.l.Keep) * idle
			}
		}
	}
	return idle
}

// Copy is a machine as operators are shown it.
func (m Machine) Copy() wire.WeightsCopy {
	return wire.WeightsCopy{Machine: m.Name, Zone: m.Zone, Shard: m.Shard}
}
