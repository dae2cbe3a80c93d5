package weights

import (
	"maps"
	"slices"
	"strconv"
	"time"

	"github.com/barrowbridge/barrowbridge/internal/limits"
	"github.com/barrowbridge/barrowbridge/wire"
)

// Stages of the distribution of an image to the machines of a shard.
const (
	StageFirst = 1 // copies are being fetched from the store, none is complete
	StageTree  = 2 // some copies are complete and serve as sources
)

// shardPlan is the plan for the images of one shard.
type shardPlan struct {
	held     bool          // this controller holds the shard
	stored   wire.Weights  // as stored in the state service
	storedAt time.Duration // when it was read or written
}

// storeFetches returns the number of fetches from the store in the stored plan.
func (p *shardPlan) storeFetches() (count int) {
	for _, planned := range p.stored.Images {
		count += len(planned.Roots)
	}
	return count
}

// LoadPlan stores a shard's plan as it is in the state service; held reports whether this
// controller holds the shard. A new holder continues with the plan: fetches that no report has
// shown yet count as in progress.
func (p *Planner) LoadPlan(now time.Duration, shard int, record wire.Weights, held bool) {
	p.shards[shard] = &shardPlan{held: held, stored: record, storedAt: now}
}

// Write is a record that the holder of a shard writes on the condition that it still holds the
// shard. Done must be called with the result.
type Write struct {
	Shard int
	Key   string
	Value any
	Done  func(now time.Duration, ok bool)
}

// NextWrite returns the next record to write, if any: the images that machines have, or the plan of
// a shard. Only one record is written at a time.
func (p *Planner) NextWrite(now time.Duration, held []int, holdsShard func(shard int) bool, imagesOf func(shard int) []MachineImages, bytes int) (Write, bool) {
	if shard, key, record := p.caches.NextWrite(now, holdsShard, imagesOf, bytes); record != nil {
		return Write{shard, key, *record, func(_ time.Duration, ok bool) {
			if !ok {
				p.caches.WriteFailed(shard)
			}
		}}, true
	}
	for _, shard := range held {
		if record, due := p.NextPlan(shard, bytes); due {
			return Write{shard, wire.PrefixWeights + strconv.Itoa(shard), record, func(now time.Duration, ok bool) {
				if ok {
					p.LoadPlan(now, shard, record, true)
				}
			}}, true
		}
	}
	return Write{}, false
}

// NextPlan returns the plan of a held shard, and whether it differs from the stored one: an image
// has reached another stage, or other machines fetch it from the store. The plan names only images
// that are being fetched by several machines, those with the most fetches from the store first, as
// many as fit into the given number of bytes.
func (p *Planner) NextPlan(shard, bytes int) (wire.Weights, bool) {
	var record wire.Weights
	if !p.switches.Enabled() {
		return record, false
	}
	plan := p.shards[shard]
	if plan == nil {
		plan = &shardPlan{}
		p.shards[shard] = plan
	}
	plan.held = true
	for _, image := range slices.Sorted(maps.Keys(p.copies)) {
		if planned, ok := p.plannedImage(shard, image); ok {
			record.Images = append(record.Images, planned)
		}
	}
	slices.SortStableFunc(record.Images, func(x, y wire.WeightsImage) int { return len(y.Roots) - len(x.Roots) })
	record = limits.Fit(record, bytes, func(r *wire.Weights) bool {
		if len(r.Images) == 0 {
			return false
		}
		last := &r.Images[len(r.Images)-1]
		if last.Roots = last.Roots[:len(last.Roots)/2]; len(last.Roots) == 0 {
			r.Images = r.Images[:len(r.Images)-1]
		}
		return true
	})
	return record, !wire.EqualEncoding(record, plan.stored)
}

// plannedImage returns the plan for an image on the machines of a shard, and whether enough
// machines need it. Rates change constantly and are not written.
func (p *Planner) plannedImage(shard int, image string) (wire.WeightsImage, bool) {
	planned, fetches, present := wire.WeightsImage{Image: image, Stage: StageFirst}, 0, 0
	for _, machine := range slices.Sorted(maps.Keys(p.copies[image])) {
		copied := p.copies[image][machine]
		switch {
		case copied.Shard != shard:
			continue
		case copied.present:
			present++
			planned.Stage = StageTree
		default:
			fetches++
			if len(copied.sources) == 0 {
				planned.Roots = append(planned.Roots, machine)
			}
		}
		planned.GB = max(planned.GB, copied.gb)
	}
	return planned, fetches > 0 && fetches+present >= p.limits.MinMachines
}

// ReleaseShard records that this controller no longer holds a shard.
func (p *Planner) ReleaseShard(shard int) {
	if plan := p.shards[shard]; plan != nil {
		plan.held = false
	}
}
