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
func (p *Planner) UpdateMachine(now time.Duration, machine Machine, uses []ImageUse) {
	before := p.machineImages[machine.Name]
	if len(before) == 0 && len(uses) == 0 {
		return
	}
	p.storeRate.advance(now, p.storeFetchCount(now))
	inUse := map[string]bool{}
	for _, use := range uses {
		inUse[use.Image] = true
		copied := p.copies[use.Image][machine.Name]
		if copied == nil {
			copied = p.addCopy(now, machine, use.Image, use.GB)
		}
		if use.Present && !copied.present {
			if len(copied.sources) == 0 && len(uses) == 1 {
				p.storeRate.recordFetch(now, copied)
			}
			if len(copied.sources) == 0 {
				p.storeFetches--
			}
			copied.present, copied.sources, copied.depth, copied.since = true, nil, 0, now
		}
		copied.Addr, copied.Shard = machine.Addr, machine.Shard
	}
	for image := range before {
		if !inUse[image] {
			p.removeCopy(machine.Name, image)
		}
	}
	p.machineImages[machine.Name] = inUse
	if len(inUse) == 0 {
		delete(p.machineImages, machine.Name)
	}
}

// Gone forgets a machine. Those that it hands images on to fetch them elsewhere.
func (p *Planner) RemoveMachine(machine string) {
	for image := range p.machineImages[machine] {
		p.removeCopy(machine, image)
	}
	delete(p.machineImages, machine)
}

func (p *Planner) addCopy(now time.Duration, machine Machine, image string, gb float64) *imageCopy {
	copied := &imageCopy{Machine: machine, gb: gb, since: now, fetchSecondsAtStart: p.storeRate.fetchSeconds}
	if p.copies[image] == nil {
		p.copies[image] = map[string]*imageCopy{}
	}
	p.copies[image][machine.Name] = copied
	p.storeFetches++
	if p.machineImages[machine.Name] == nil {
		p.machineImages[machine.Name] = map[string]bool{}
	}
	p.machineImages[machine.Name][image] = true
	return copied
}

func (p *Planner) removeCopy(machine, image string) {
	if copied := p.copies[image][machine]; copied != nil && !copied.present && len(copied.sources) == 0 {
		p.storeFetches--
	}
	delete(p.copies[image], machine)
	if len(p.copies[image]) == 0 {
		delete(p.copies, image)
	}
}

// fetching counts the fetches from the store that are under way, of all shards.
func (p *Planner) storeFetchCount(now time.Duration) (count int) {
	count = p.storeFetches
	for _, plan := range p.shards {
		if !plan.held && now-plan.storedAt < p.limits.PlanTTL {
			count += plan.storeFetches()
		}
	}
	return count
}

// Fetch tells whether a machine may be told now to start a task with an image that it lacks, of a job of so many,
// and names the addresses of machines that hand the image on to it; none: the store does. A fetch waits
// where measurement has shown that more at once bring no more, and as many as that are under way; one that
// others hand on does not. First copies come from the store, one to a zone before any zone has two.
func (p *Planner) PlanFetch(now time.Duration, machine Machine, image string, gb float64, tasks int) (sources []string, ok bool) {
	if p.copies[image][machine.Name] != nil || !p.switches.Enabled() {
		return nil, true
	}
	p.storeRate.advance(now, p.storeFetchCount(now))
	sources = p.assignSources(now, machine, image, gb, tasks)
	if allowed := p.storeRate.maxFetches(now); p.switches.PaceFetches && len(sources) == 0 && allowed > 0 && p.storeFetchCount(now) > allowed {
		p.removeCopy(machine.Name, image)
		delete(p.machineImages[machine.Name], image)
		return nil, false
	}
	return sources, true
}

// sources adds a copy on its way, and names those that hand it on.
func (p *Planner) assignSources(now time.Duration, machine Machine, image string, gb float64, tasks int) (addrs []string) {
	copied := p.addCopy(now, machine, image, gb)
	if !p.switches.PeerTransfer || tasks < p.limits.MinMachines || p.fetchFromStore(now, image, machine.Zone) {
		return nil
	}
	for _, source := range p.availableSources(image, machine) {
		if len(addrs) < p.limits.MaxSources {
			copied.sources, addrs = append(copied.sources, source.Name), append(addrs, source.Addr)
			copied.depth = max(copied.depth, source.depth+1)
		}
	}
	if len(addrs) > 0 {
		p.storeFetches--
	}
	return addrs
}

// root tells whether the next copy of an image in a zone is to come from the store.
func (p *Planner) fetchFromStore(now time.Duration, image, zone string) bool {
	independent := 0
	for _, copied := range p.copies[image] {
		if copied.Zone == zone && (copied.present || len(copied.sources) == 0) {
			independent++
		}
	}
	if independent <= 1 { // itself: the zone has no copy that needs nobody
		return true
	}
	if allowed := p.storeRate.maxFetches(now); allowed > 0 {
		return p.storeFetchCount(now) <= allowed && independent <= p.limits.MaxZoneRoots
	}
	return independent <= p.limits.MaxZoneRoots
}

// able lists the copies that may be handed on to a machine: in its zone first, then those that need
// the fewest others, then those that serve the fewest.
func (p *Planner) availableSources(image string, machine Machine) (list []*imageCopy) {
	serving := map[string]int{}
	for _, c := range p.copies[image] {
		for _, s := range c.sources {
			serving[s]++
		}
	}
	for _, c := range p.copies[image] {
		if c.Name != machine.Name && c.Addr != "" && serving[c.Name] < p.limits.MaxServed {
			list = append(list, c)
		}
	}
	distance := func(c *imageCopy) int {
		if c.Zone == machine.Zone {
			return 0
		}
		return 1
	}
	slices.SortFunc(list, func(x, y *imageCopy) int {
		return cmp.Or(cmp.Compare(distance(x), distance(y)), cmp.Compare(x.depth, y.depth), cmp.Compare(serving[x.Name], serving[y.Name]), cmp.Compare(x.Name, y.Name))
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
		if copied := p.copies[other][machine]; other != image && copied != nil && !copied.present && len(p.copies[other]) >= p.limits.MinMachines {
			return true
		}
	}
	return false
}

// View is what is known of one image, or of all that are in use.
func (p *Planner) View(now time.Duration, node, image string) wire.WeightsView {
	view := wire.WeightsView{Node: node, HandOn: p.switches.PeerTransfer, Pace: p.switches.PaceFetches, StoreGBps: p.storeRate.gbps(now), Most: p.storeRate.maxFetches(now), Images: []wire.WeightsImageView{}}
	for _, name := range slices.Sorted(maps.Keys(p.copies)) {
		if image != "" && name != image {
			continue
		}
		imageView := wire.WeightsImageView{Image: name, Holders: []wire.WeightsCopy{}, Fetches: []wire.WeightsCopy{}}
		for _, machine := range slices.Sorted(maps.Keys(p.copies[name])) {
			copied := p.copies[name][machine]
			imageView.GB = max(imageView.GB, copied.gb)
			copyView := wire.WeightsCopy{Machine: machine, Zone: copied.Zone, Shard: copied.Shard, ForS: (now - copied.since).Seconds(), Sources: copied.sources}
			if copied.present {
				imageView.Holders = append(imageView.Holders, copyView)
				continue
			}
			if copied.FetchGBps > 0 {
				copyView.LeftS = max(0, p.expectedFetchSeconds(now, copied)-copyView.ForS)
			}
			imageView.Fetches = append(imageView.Fetches, copyView)
		}
		view.Images = append(view.Images, imageView)
	}
	for _, shard := range slices.Sorted(maps.Keys(p.shards)) {
		if plan := p.shards[shard]; !plan.held {
			for _, imageView := range plan.stored.Images {
				if image == "" || imageView.Image == image {
					view.Others = append(view.Others, wire.WeightsOther{Shard: shard, WeightsImage: imageView})
				}
			}
		}
	}
	return view
}

// expected is how long a fetch takes, in seconds: from the store with as many others as now.
func (p *Planner) expectedFetchSeconds(now time.Duration, copied *imageCopy) float64 {
	rate := copied.FetchGBps
	if storeGBps := p.storeRate.gbps(now); storeGBps > 0 && len(copied.sources) == 0 {
		rate = min(rate, storeGBps/float64(max(1, p.storeFetchCount(now))))
	}
	return copied.gb / rate
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
