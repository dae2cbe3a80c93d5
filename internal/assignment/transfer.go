package assignment

import (
	"slices"

	"github.com/barrowbridge/barrowbridge/internal/limits"
	"github.com/barrowbridge/barrowbridge/wire"
)

// NextHolder is a shard's record once it goes to another life. It names at most so many
// earlier lives, and has at most so many bytes in JSON form, if its teams leave room. Two
// crashes in a row used to hide who had held the shard before the last one, and its tasks
// then waited half a minute for machines that never answer.
func WithNewHolder(rec wire.Shard, node string, boot uint64, maxPast, maxBytes int) wire.Shard {
	last := wire.Life{Node: rec.Holder, Boot: rec.Boot}
	if rec.Settled {
		rec.Past, rec.Known = []wire.Life{last}, true
	} else if len(rec.Past) < maxPast {
		rec.Past = append(slices.Clone(rec.Past), last)
	} else {
		rec.Known = false
	}
	rec.Holder, rec.Boot, rec.Settled = node, boot, false
	return limits.Fit(rec, maxBytes, dropPast)
}

// forget leaves out who held a shard before. Not to know is safe: a successor waits for the
// end of leases instead.
func dropPast(shard *wire.Shard) bool {
	if len(shard.Past) == 0 {
		return false
	}
	shard.Past, shard.Known = nil, false
	return true
}
