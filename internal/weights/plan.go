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
	First = 1 // copies are on their way from the store, none is there
	Tree  = 2 // copies are there, and are handed on
)

// shardPlan is what is written of a shard's images.
type shardPlan struct {
	own    bool
	stands wire.Weights  // as the state has it
	at     time.Duration // read then
}

// roots counts the fetches from the store that a plan names.
func (p *shardPlan) roots() (n int) {
	for _, x := range p.stands.Images {
		n += len(x.Roots)
	}
	return n
}

// Read takes a shard's plan as the state has it; own: this controller holds the shard. A successor goes
// on with it: fetches that no report has shown yet count as under way.
func (b *Book) Read(now time.Duration, shard int, rec wire.Weights, own bool) {
	b.shards[shard] = &shardPlan{own: own, stands: rec, at: now}
}

// Write is a record to be written by a shard's holder, while it holds it. Done tells how that went.
type Write struct {
	Shard int
	Key   string
	Value any
	Done  func(now time.Duration, ok bool)
}

// Next is what to write now, one record at a time: which images machines have, or what is planned.
func (b *Book) Next(now time.Duration, held []int, mine func(shard int) bool, of func(shard int) []MachineImages, bytes int) (Write, bool) {
	if i, key, rec := b.caches.Next(now, mine, of, bytes); rec != nil {
		return Write{i, key, *rec, func(_ time.Duration, ok bool) {
			if !ok {
				b.caches.Failed(i)
			}
		}}, true
	}
	for _, i := range held {
		if rec, due := b.Due(i, bytes); due {
			return Write{i, wire.PrefixWeights + strconv.Itoa(i), rec, func(now time.Duration, ok bool) {
				if ok {
					b.Read(now, i, rec, true)
				}
			}}, true
		}
	}
	return Write{}, false
}

// Due is the record of a held shard's images if it says something else than the one that stands: an image
// has got to another stage, or others fetch it from the store. Only images on their way to several machines
// are named, the most wanted first, as many as fit into so many bytes.
func (b *Book) Due(shard, bytes int) (wire.Weights, bool) {
	var rec wire.Weights
	if !b.s.On() {
		return rec, false
	}
	p := b.shards[shard]
	if p == nil {
		p = &shardPlan{}
		b.shards[shard] = p
	}
	p.own = true
	for _, image := range slices.Sorted(maps.Keys(b.copies)) {
		if x, ok := b.planned(shard, image); ok {
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
	return rec, !wire.EqualEncoding(rec, p.stands)
}

// planned is what is written of an image on the machines of a shard, if many fetch it. Rates change all
// the time and are not written.
func (b *Book) planned(shard int, image string) (wire.WeightsImage, bool) {
	x, fetches, there := wire.WeightsImage{Image: image, Stage: First}, 0, 0
	for _, n := range slices.Sorted(maps.Keys(b.copies[image])) {
		c := b.copies[image][n]
		switch {
		case c.Shard != shard:
			continue
		case c.there:
			there++
			x.Stage = Tree
		default:
			fetches++
			if len(c.sources) == 0 {
				x.Roots = append(x.Roots, n)
			}
		}
		x.GB = max(x.GB, c.gb)
	}
	return x, fetches > 0 && fetches+there >= b.l.Many
}

// Left notes that a shard is held by another from now on.
func (b *Book) Left(shard int) {
	if p := b.shards[shard]; p != nil {
		p.own = false
	}
}
