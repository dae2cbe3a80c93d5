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
	PeerTransfer bool // workers are told of others that have the image
	PaceFetches  bool // fetches are held back where more at once brings no more
}

// On tells whether anything is.
func (s Switches) Enabled() bool { return s.PeerTransfer || s.PaceFetches }

// Limits are the numbers that a plan is made by.
type Limits struct {
	MinMachines      int           // machines that want an image at a time before others hand it on
	MaxServed        int           // machines that one hands an image on to at a time
	MaxSources       int           // that one machine is named
	MaxZoneRoots     int           // machines of a zone that fetch from the store while its rate is not known
	MinMeasurements  int           // that a measure of the store rests on
	StoreBoundShare  float64       // share of their own rates below which fetches show that the store binds
	StoreFetchFactor float64       // so many times the machines that would use up the store fetch from it
	MinFetchDuration time.Duration // a fetch shorter than this is not measured: reports tell of its end too late
	MeasurementTTL   time.Duration // a measure counts for so long
	PlanTTL          time.Duration // what other holders have written of fetches counts for so long
	IdleFactor       int           // times as long a machine is kept idle that has an image which many use
}

// Machine is one that this controller holds. Rate is what its type fetches, GB/s.
type Machine struct {
	Name, Zone, Addr string
	Shard            int
	FetchGBps        float64
}

// Use is an image that tasks on a machine want: they wait for it, or run with it.
type ImageUse struct {
	Image   string
	GB      float64
	Present bool
}

// copied is an image on a machine, whole or on its way there.
type imageCopy struct {
	Machine
	gb                  float64
	since               time.Duration
	present             bool
	sources             []string // machines that hand it on; none: the store does
	depth               int      // of the longest way from a copy that needs nobody
	fetchSecondsAtStart float64  // the store's fetches so far, in fetch seconds, when it began
}

// Book is what one controller knows of images, and its plans for them.
type Planner struct {
	limits        Limits
	switches      Switches
	copies        map[string]map[string]*imageCopy // image -> machine
	machineImages map[string]map[string]bool       // machine -> images in use
	storeFetches  int                              // fetches from the store that are under way here
	storeRate     storeRateEstimate
	shards        map[int]*shardPlan
	caches        *CacheIndex
}

// NewBook returns a book of no machines. What it has to write includes which images machines have.
func NewPlanner(switches Switches, limits Limits, caches *CacheIndex) *Planner {
	return &Planner{limits: limits, switches: switches, copies: map[string]map[string]*imageCopy{}, machineImages: map[string]map[string]bool{}, storeRate: storeRateEstimate{limits: limits}, shards: map[int]*shardPlan{}, caches: caches}
}

// Seen takes what the tasks on a machine want and have, by its newest report.
func (p *Planner) UpdateMachine(now time.Duration, m Machine, uses []ImageUse) {
	had := p.machineImages[m.Name]
	if len(had) == 0 && len(uses) == 0 {
		return
	}
	p.storeRate.advance(now, p.storeFetchCount(now))
	in := map[string]bool{}
	for _, u := range uses {
		in[u.Image] = true
		c := p.copies[u.Image][m.Name]
		if c == nil {
			c = p.addCopy(now, m, u.Image, u.GB)
		}
		if u.Present && !c.present {
			if len(c.sources) == 0 && len(uses) == 1 {
				p.storeRate.recordFetch(now, c)
			}
			if len(c.sources) == 0 {
				p.storeFetches--
			}
			c.present, c.sources, c.depth, c.since = true, nil, 0, now
		}
		c.Addr, c.Shard = m.Addr, m.Shard
	}
	for image := range had {
		if !in[image] {
			p.removeCopy(m.Name, image)
		}
	}
	p.machineImages[m.Name] = in
	if len(in) == 0 {
		delete(p.machineImages, m.Name)
	}
}

// Gone forgets a machine. Those that it hands images on to fetch them elsewhere.
func (p *Planner) RemoveMachine(machine string) {
	for image := range p.machineImages[machine] {
		p.removeCopy(machine, image)
	}
	delete(p.machineImages, machine)
}

func (p *Planner) addCopy(now time.Duration, m Machine, image string, gb float64) *imageCopy {
	c := &imageCopy{Machine: m, gb: gb, since: now, fetchSecondsAtStart: p.storeRate.fetchSeconds}
	if p.copies[image] == nil {
		p.copies[image] = map[string]*imageCopy{}
	}
	p.copies[image][m.Name] = c
	p.storeFetches++
	if p.machineImages[m.Name] == nil {
		p.machineImages[m.Name] = map[string]bool{}
	}
	p.machineImages[m.Name][image] = true
	return c
}

func (p *Planner) removeCopy(machine, image string) {
	if c := p.copies[image][machine]; c != nil && !c.present && len(c.sources) == 0 {
		p.storeFetches--
	}
	delete(p.copies[image], machine)
	if len(p.copies[image]) == 0 {
		delete(p.copies, image)
	}
}

// fetching counts the fetches from the store that are under way, of all shards.
func (p *Planner) storeFetchCount(now time.Duration) (n int) {
	n = p.storeFetches
	for _, plan := range p.shards {
		if !plan.held && now-plan.storedAt < p.limits.PlanTTL {
			n += plan.storeFetches()
		}
	}
	return n
}

// Fetch tells whether a machine may be told now to start a task with an image that it lacks, of a job of so many,
// and names the addresses of machines that hand the image on to it; none: the store does. A fetch waits
// where measurement has shown that more at once bring no more, and as many as that are under way; one that
// others hand on does not. First copies come from the store, one to a zone before any zone has two.
func (p *Planner) PlanFetch(now time.Duration, m Machine, image string, gb float64, tasks int) (sources []string, ok bool) {
	if p.copies[image][m.Name] != nil || !p.switches.Enabled() {
		return nil, true
	}
	p.storeRate.advance(now, p.storeFetchCount(now))
	sources = p.assignSources(now, m, image, gb, tasks)
	if most := p.storeRate.maxFetches(now); p.switches.PaceFetches && len(sources) == 0 && most > 0 && p.storeFetchCount(now) > most {
		p.removeCopy(m.Name, image)
		delete(p.machineImages[m.Name], image)
		return nil, false
	}
	return sources, true
}

// sources adds a copy on its way, and names those that hand it on.
func (p *Planner) assignSources(now time.Duration, m Machine, image string, gb float64, tasks int) (addrs []string) {
	c := p.addCopy(now, m, image, gb)
	if !p.switches.PeerTransfer || tasks < p.limits.MinMachines || p.fetchFromStore(now, image, m.Zone) {
		return nil
	}
	for _, s := range p.availableSources(image, m) {
		if len(addrs) < p.limits.MaxSources {
			c.sources, addrs = append(c.sources, s.Name), append(addrs, s.Addr)
			c.depth = max(c.depth, s.depth+1)
		}
	}
	if len(addrs) > 0 {
		p.storeFetches--
	}
	return addrs
}

// root tells whether the next copy of an image in a zone is to come from the store.
func (p *Planner) fetchFromStore(now time.Duration, image, zone string) bool {
	here := 0
	for _, c := range p.copies[image] {
		if c.Zone == zone && (c.present || len(c.sources) == 0) {
			here++
		}
	}
	if here <= 1 { // itself: the zone has no copy that needs nobody
		return true
	}
	if most := p.storeRate.maxFetches(now); most > 0 {
		return p.storeFetchCount(now) <= most && here <= p.limits.MaxZoneRoots
	}
	return here <= p.limits.MaxZoneRoots
}

// able lists the copies that may be handed on to a machine: in its zone first, then those that need
// the fewest others, then those that serve the fewest.
func (p *Planner) availableSources(image string, m Machine) (list []*imageCopy) {
	serving := map[string]int{}
	for _, c := range p.copies[image] {
		for _, s := range c.sources {
			serving[s]++
		}
	}
	for _, c := range p.copies[image] {
		if c.Name != m.Name && c.Addr != "" && serving[c.Name] < p.limits.MaxServed {
			list = append(list, c)
		}
	}
	far := func(c *imageCopy) int {
		if c.Zone == m.Zone {
			return 0
		}
		return 1
	}
	slices.SortFunc(list, func(x, y *imageCopy) int {
		return cmp.Or(cmp.Compare(far(x), far(y)), cmp.Compare(x.depth, y.depth), cmp.Compare(serving[x.Name], serving[y.Name]), cmp.Compare(x.Name, y.Name))
	})
	return list
}

// Busy tells whether a machine fetches an image that many want, other than this one: a task that waits for its
// own would share the rate.
func (p *Planner) FetchesOtherImage(machine, image string) bool {
	if !p.switches.Enabled() {
		return false
	}
	for other := range p.machineImages[machine] {
		if c := p.copies[other][machine]; other != image && c != nil && !c.present && len(p.copies[other]) >= p.limits.MinMachines {
			return true
		}
	}
	return false
}

// View is what is known of one image, or of all that are in use.
func (p *Planner) View(now time.Duration, node, image string) wire.WeightsView {
	v := wire.WeightsView{Node: node, HandOn: p.switches.PeerTransfer, Pace: p.switches.PaceFetches, StoreGBps: p.storeRate.gbps(now), Most: p.storeRate.maxFetches(now), Images: []wire.WeightsImageView{}}
	for _, name := range slices.Sorted(maps.Keys(p.copies)) {
		if image != "" && name != image {
			continue
		}
		x := wire.WeightsImageView{Image: name, Holders: []wire.WeightsCopy{}, Fetches: []wire.WeightsCopy{}}
		for _, n := range slices.Sorted(maps.Keys(p.copies[name])) {
			c := p.copies[name][n]
			x.GB = max(x.GB, c.gb)
			w := wire.WeightsCopy{Machine: n, Zone: c.Zone, Shard: c.Shard, ForS: (now - c.since).Seconds(), Sources: c.sources}
			if c.present {
				x.Holders = append(x.Holders, w)
				continue
			}
			if c.FetchGBps > 0 {
				w.LeftS = max(0, p.expectedFetchSeconds(now, c)-w.ForS)
			}
			x.Fetches = append(x.Fetches, w)
		}
		v.Images = append(v.Images, x)
	}
	for _, i := range slices.Sorted(maps.Keys(p.shards)) {
		if plan := p.shards[i]; !plan.held {
			for _, x := range plan.stored.Images {
				if image == "" || x.Image == image {
					v.Others = append(v.Others, wire.WeightsOther{Shard: i, WeightsImage: x})
				}
			}
		}
	}
	return v
}

// expected is how long a fetch takes, in seconds: from the store with as many others as now.
func (p *Planner) expectedFetchSeconds(now time.Duration, c *imageCopy) float64 {
	rate := c.FetchGBps
	if s := p.storeRate.gbps(now); s > 0 && len(c.sources) == 0 {
		rate = min(rate, s/float64(max(1, p.storeFetchCount(now))))
	}
	return c.gb / rate
}

// Keep is for how long a machine that runs nothing is kept with these images, which would be for so long
// without them: longer if many machines run with one of them now, for then the next replica does not fetch it.
func (p *Planner) IdleTimeout(images map[string]bool, idle time.Duration) time.Duration {
	if p.switches.Enabled() {
		for image := range images {
			if len(p.copies[image]) >= p.limits.MinMachines {
				return time.Duration(p.limits.IdleFactor) * idle
			}
		}
	}
	return idle
}

// Copy is a machine as operators are shown it.
func (m Machine) View() wire.WeightsCopy {
	return wire.WeightsCopy{Machine: m.Name, Zone: m.Zone, Shard: m.Shard}
}
