// Package weights plans how an image that many machines need at once is distributed: how many
// machines fetch it from the store at a time, and which fetch it from other machines that have it
// or are fetching it. In terms of the protocol, the weights of a model are an image and its
// replicas are tasks.
//
// The package is a pure state machine: it is given what workers report and returns plans. Only
// speed depends on it: an image that a source does not serve is fetched from the store.
package weights

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/barrowbridge/barrowbridge/wire"
)

// Switches are the features that are enabled.
type Switches struct {
	PeerTransfer bool // workers are given other machines to fetch an image from
	PaceFetches  bool // fetches from the store wait while more of them would not increase the total rate
}

// Enabled reports whether any feature is enabled.
func (s Switches) Enabled() bool { return s.PeerTransfer || s.PaceFetches }

// Limits are the parameters of the plans.
type Limits struct {
	MinMachines      int           // least number of machines using an image at a time for which it is fetched from other machines
	MaxServed        int           // most machines that fetch an image from one machine at a time
	MaxSources       int           // most sources that a machine is given
	MaxZoneRoots     int           // most machines of a zone that fetch an image from the store while the store's rate is unknown
	MinMeasurements  int           // fewest measured fetches on which an estimate of the store's rate is based
	StoreBoundShare  float64       // the store limits fetches that get less than this share of their machines' own rates
	StoreFetchFactor float64       // fetches from the store that are allowed at a time, as a multiple of those that use up its rate
	MinFetchDuration time.Duration // shorter fetches are not measured, because reports show their ends too late
	MeasurementTTL   time.Duration // a measurement counts for this long
	PlanTTL          time.Duration // fetches in the plans of other holders count for this long
	IdleFactor       int           // a machine that has an image which many machines use is kept idle this many times as long
}

// Machine is a machine of a shard that this controller holds. FetchGBps is the fetch rate of its
// type in GB/s.
type Machine struct {
	Name, Zone, Addr string
	Shard            int
	FetchGBps        float64
}

// ImageUse is an image that tasks on a machine wait for or, if it is present, run with.
type ImageUse struct {
	Image   string
	GB      float64
	Present bool
}

// imageCopy is an image on a machine, complete or being fetched.
type imageCopy struct {
	Machine
	gb                  float64
	since               time.Duration // when it became complete, or else when its fetch began
	present             bool
	sources             []string // machines that it is fetched from; if there are none, from the store
	depth               int      // length of the longest path of sources to a copy that depends on no other
	fetchSecondsAtStart float64  // the store's fetchSeconds when the fetch began
}

// Planner holds what one controller knows of the images on machines, and plans their fetches.
type Planner struct {
	limits        Limits
	switches      Switches
	copies        map[string]map[string]*imageCopy // image -> machine
	machineImages map[string]map[string]bool       // machine -> images in use
	storeFetches  int                              // fetches from the store that are in progress in held shards
	storeRate     storeRateEstimate
	shards        map[int]*shardPlan
	caches        *CacheIndex
}

// NewPlanner returns a planner without machines. caches holds the images that machines have; the
// planner writes its records along with the plans.
func NewPlanner(switches Switches, limits Limits, caches *CacheIndex) *Planner {
	return &Planner{
		limits:        limits,
		switches:      switches,
		copies:        map[string]map[string]*imageCopy{},
		machineImages: map[string]map[string]bool{},
		storeRate:     storeRateEstimate{limits: limits},
		shards:        map[int]*shardPlan{},
		caches:        caches,
	}
}

// UpdateMachine records which images the tasks on a machine need and have, according to its newest
// report.
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

// RemoveMachine removes a machine. Machines that it is a source of fetch their images elsewhere.
func (p *Planner) RemoveMachine(machine string) {
	for image := range p.machineImages[machine] {
		p.removeCopy(machine, image)
	}
	delete(p.machineImages, machine)
}

// addCopy adds a copy that is being fetched from the store.
func (p *Planner) addCopy(now time.Duration, machine Machine, image string, gb float64) *imageCopy {
	copied := &imageCopy{
		Machine:             machine,
		gb:                  gb,
		since:               now,
		fetchSecondsAtStart: p.storeRate.fetchSeconds,
	}
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

// removeCopy removes the copy of an image on a machine.
func (p *Planner) removeCopy(machine, image string) {
	if copied := p.copies[image][machine]; copied != nil && !copied.present && len(copied.sources) == 0 {
		p.storeFetches--
	}
	delete(p.copies[image], machine)
	if len(p.copies[image]) == 0 {
		delete(p.copies, image)
	}
}

// storeFetchCount returns how many fetches from the store are in progress in all shards.
func (p *Planner) storeFetchCount(now time.Duration) (count int) {
	count = p.storeFetches
	for _, plan := range p.shards {
		if !plan.held && now-plan.storedAt < p.limits.PlanTTL {
			count += plan.storeFetches()
		}
	}
	return count
}

// PlanFetch reports whether a machine may now be given a task whose image it lacks, and returns the
// addresses of the machines to fetch the image from. If there are none, it is fetched from the
// store. tasks is the number of tasks of the job.
//
// A fetch from the store waits if measurements have shown that more concurrent fetches do not
// increase the total rate and that many are in progress. A fetch from other machines does not wait.
// The first copies come from the store, one in each zone before any zone has two.
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

// assignSources adds a copy that is being fetched and returns the addresses of its sources.
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

// fetchFromStore reports whether the newest copy of an image in a zone, which has no sources yet,
// is to be fetched from the store.
func (p *Planner) fetchFromStore(now time.Duration, image, zone string) bool {
	independent := 0
	for _, copied := range p.copies[image] {
		if copied.Zone == zone && (copied.present || len(copied.sources) == 0) {
			independent++
		}
	}
	if independent <= 1 { // only the new copy itself: the zone has no other copy that is complete or comes from the store
		return true
	}
	if allowed := p.storeRate.maxFetches(now); allowed > 0 {
		return p.storeFetchCount(now) <= allowed && independent <= p.limits.MaxZoneRoots
	}
	return independent <= p.limits.MaxZoneRoots
}

// availableSources lists the copies that a machine may fetch an image from: those in its zone
// first, then those that depend on the fewest others, then those that serve the fewest machines.
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

// FetchesOtherImage reports whether a machine is fetching an image that many machines need, other
// than this one. A task that waits for this image would share the fetch rate.
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

// View returns what is known of one image, or of all images in use if image is empty.
func (p *Planner) View(now time.Duration, node, image string) wire.WeightsView {
	view := wire.WeightsView{
		Node:      node,
		HandOn:    p.switches.PeerTransfer,
		Pace:      p.switches.PaceFetches,
		StoreGBps: p.storeRate.gbps(now),
		Most:      p.storeRate.maxFetches(now),
		Images:    []wire.WeightsImageView{},
	}
	for _, name := range slices.Sorted(maps.Keys(p.copies)) {
		if image != "" && name != image {
			continue
		}
		imageView := wire.WeightsImageView{Image: name, Holders: []wire.WeightsCopy{}, Fetches: []wire.WeightsCopy{}}
		for _, machine := range slices.Sorted(maps.Keys(p.copies[name])) {
			copied := p.copies[name][machine]
			imageView.GB = max(imageView.GB, copied.gb)
			copyView := wire.WeightsCopy{
				Machine: machine,
				Zone:    copied.Zone,
				Shard:   copied.Shard,
				ForS:    (now - copied.since).Seconds(),
				Sources: copied.sources,
			}
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

// expectedFetchSeconds returns how long a whole fetch takes in seconds. A fetch from the store is
// assumed to share its rate with the fetches that are in progress now.
func (p *Planner) expectedFetchSeconds(now time.Duration, copied *imageCopy) float64 {
	rate := copied.FetchGBps
	if storeGBps := p.storeRate.gbps(now); storeGBps > 0 && len(copied.sources) == 0 {
		rate = min(rate, storeGBps/float64(max(1, p.storeFetchCount(now))))
	}
	return copied.gb / rate
}

// IdleTimeout returns how long a machine with these images is kept while it runs nothing. It is the
// given time, or IdleFactor times that if many machines use one of the images now, so that the next
// replica need not fetch it.
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

// View returns a machine as it is shown to operators.
func (m Machine) View() wire.WeightsCopy {
	return wire.WeightsCopy{Machine: m.Name, Zone: m.Zone, Shard: m.Shard}
}
