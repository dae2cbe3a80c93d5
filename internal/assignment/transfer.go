package assignment

import (
	"slices"

	"github.com/barrowbridge/barrowbridge/internal/limits"
	"github.com/barrowbridge/barrowbridge/wire"
)

// WithNewHolder returns a shard's record with another holder. It lists at most maxPast earlier
// incarnations in Past, and drops them all if the record would exceed maxBytes in JSON form. Past
// must list more than one incarnation: otherwise two crashes in a row hid who had held the shard
// before the last one, and its tasks waited half a minute for machines that never answer.
func WithNewHolder(rec wire.Shard, node string, boot uint64, maxPast, maxBytes int) wire.Shard {
	last := wire.Incarnation{Node: rec.Holder, Boot: rec.Boot}
	if rec.Settled {
		rec.Past, rec.Known = []wire.Incarnation{last}, true
	} else if len(rec.Past) < maxPast {
		rec.Past = append(slices.Clone(rec.Past), last)
	} else {
		rec.Known = false
	}
	rec.Holder, rec.Boot, rec.Settled = node, boot, false
	return limits.Fit(rec, maxBytes, dropPast)
}

// dropPast removes the list of earlier holders, and reports whether there was one. This is safe: a
// successor that does not know them waits for the leases to expire instead.
func dropPast(shard *wire.Shard) bool {
	if len(shard.Past) == 0 {
		return false
	}
	shard.Past, shard.Known = nil, false
	return true
}
