package weights

import (
	"maps"
	"slices"
	"strconv"
	"time"

	"github.com/barrowbridge/barrowbridge/internal/limits"
	"github.com/barrowbridge/barrowbridge/wire"
)

// Stages of an image's way to the machines of a shard.
const (
	StageFirst = 1 // copies are on their way from the store, none is there
	StageTree  = 2 // copies are there, and are handed on
)

// shardPlan is what is written of a shard's images.
type shardPlan struct {
	held     bool
	stored   wire.Weights  // as the state has it
	storedAt time.Duration // read then
}

// roots counts the fetches from the store that a plan names.
func (p *shardPlan) storeFetches() (n int) {
	for _, x := range p.stored.Images {
		n += len(x.Roots)
	}
	return n
}

// Read takes a shard's plan as the state has it; own: this controller holds the shard. A successor goes
// on with it: fetches that no report has shown yet count as under way.
func (p *Planner) LoadPlan(now time.Duration, shard int, rec wire.Weights, own bool) {
	p.shards[shard] = &shardPlan{held: own, stored: rec, storedAt: now}
}

// Write is a record to be written by a shard's holder, while it holds it. Done tells how that went.
type Write struct {
	Shard int
	Key   string
	Value any
	Done  func(now time.Duration, ok bool)
}

// Next is what to write now, one record at a time: which images machines have, or what is planned.
func (p *Planner) NextWrite(now time.Duration, held []int, mine func(shard int) bool, of func(shard int) []MachineImages, bytes int) (Write, bool) {
	if i, key, rec := p.caches.NextWrite(now, mine, of, bytes); rec != nil {
		return Write{i, key, *rec, func(_ time.Duration, ok bool) {
			if !ok {
				p.caches.WriteFailed(i)
			}
		}}, true
	}
	for _, i := range held {
		if rec, due := p.NextPlan(i, bytes); due {
			return Write{i, wire.PrefixWeights + strconv.Itoa(i), rec, func(now time.Duration, ok bool) {
				if ok {
					p.LoadPlan(now, i, rec, true)
				}
			}}, true
		}
	}
	return Write{}, false
}

// Due is the record of a held shard's images if it says something else than the one that stands: an image
// has got to another stage, or others fetch it from the store. Only images on their way to several machines
// are named, the most wanted first, as many as fit into so many bytes.
func (p *Planner) NextPlan(shard, bytes int) (wire.Weights, bool) {
	var rec wire.Weights
	if !p.switches.Enabled() {
		return rec, false
	}
	plan := p.shards[shard]
	if plan == nil {
		plan = &shardPlan{}
		p.shards[shard] = plan
	}
	plan.held = true
	for _, image := range slices.Sorted(maps.Keys(p.copies)) {
		if x, ok := p.plannedImage(shard, image); ok {
			rec.Images = append(rec.Images, x)
		}
	}
	slices.SortStableFunc(rec.Images, func(x, y wire.WeightsImage) int { return len(y.Roots) - len(x.Roots) })
	rec = limits.Fit(rec, bytes, func(r *wire.Weights) bool {
		if len(r.Images) == 0 {
			return false
		}
		last := &r.Images[len(r.Images)-1]
		if last.Roots = last.Roots[:len(last.Roots)/2]; len(last.Roots) == 0 {
			r.Images = r.Images[:len(r.Images)-1]
		}
		return true
	})
	return rec, !wire.EqualEncoding(rec, plan.stored)
}

// planned is what is written of an image on the machines of a shard, if many fetch it. Rates change all
// the time and are not written.
func (p *Planner) plannedImage(shard int, image string) (wire.WeightsImage, bool) {
	x, fetches, there := wire.WeightsImage{Image: image, Stage: StageFirst}, 0, 0
	for _, n := range slices.Sorted(maps.Keys(p.copies[image])) {
		c := p.copies[image][n]
		switch {
		case c.Shard != shard:
			continue
		case c.present:
			there++
			x.Stage = StageTree
		default:
			fetches++
			if len(c.sources) == 0 {
				x.Roots = append(x.Roots, n)
			}
		}
		x.GB = max(x.GB, c.gb)
	}
	return x, fetches > 0 && fetches+there >= p.limits.MinMachines
}

// Left notes that a shard is held by another from now on.
func (p *Planner) ReleaseShard(shard int) {
	if plan := p.shards[shard]; plan != nil {
		plan.held = false
	}
}
