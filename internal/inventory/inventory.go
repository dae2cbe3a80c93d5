// Package inventory follows the cloud's list of machines against the blocks that they stand in:
// which machines are gone or failed and are to be deleted, which stand in no block and are to be
// put into one, and which the cloud has deleted and may leave their blocks.
//
// Lists lag, so what one says or leaves out proves nothing by itself. A plain structure: no clock,
// no I/O, not for concurrent use. Times are those of the owner's steady clock.
package inventory

import (
	"maps"
	"slices"
	"time"

	"github.com/barrowbridge/barrowbridge/wire"
)

// Limits are the times by which a list is read.
type Limits struct {
	Lag   time.Duration // lists lag by so long, at times by twice as long
	Gone  time.Duration // a machine that was listed and is no more for so long is gone
	Grace time.Duration // a machine that stands in no block is put into one after this
	Again time.Duration // one in no block whose report came is called at most so often
}

// Book is what a leader knows of machines in this term. It starts empty: all of it can be learned
// again.
type Book struct {
	limits     Limits
	read       bool // a list has been
	listedAt   map[string]time.Duration
	strangers  map[string]wire.MachineInfo // in no block
	strangeAt  map[string]time.Duration    // since when
	strangerUp map[string]bool             // has answered a call of ours
	cameAt     map[string]time.Duration    // when one in no block was last called for having reported
	dead       map[string]bool             // to be deleted: failed, or no longer listed
	gone       map[string]time.Duration    // deleted in the cloud, to be taken out of its block, since
}

// New returns an empty book.
func New(l Limits) *Book {
	return &Book{limits: l, listedAt: map[string]time.Duration{}, strangers: map[string]wire.MachineInfo{}, strangeAt: map[string]time.Duration{}, strangerUp: map[string]bool{},
		cameAt: map[string]time.Duration{}, dead: map[string]bool{}, gone: map[string]time.Duration{}}
}

// Read takes a whole list, with the machines that stand in blocks.
func (b *Book) Read(now time.Duration, list map[string]wire.MachineInfo, inBlocks map[string]bool) {
	b.read = true
	maps.DeleteFunc(b.cameAt, func(_ string, at time.Duration) bool { return now-at > b.limits.Again })
	for n := range inBlocks {
		m, listed := list[n]
		at, seen := b.listedAt[n]
		switch {
		case listed && m.Status == wire.MachineFailed, !listed && seen && now-at > b.limits.Gone:
			if !b.Gone(n) {
				b.dead[n] = true
			}
		case listed:
			b.listedAt[n] = now
		}
	}
	for n, m := range list {
		if inBlocks[n] || b.Gone(n) {
			continue
		}
		if _, known := b.strangeAt[n]; !known {
			b.strangeAt[n] = now
		}
		b.strangers[n] = m
	}
	for n := range b.strangers {
		// In a block by now, or no longer listed: a machine that an earlier
		// leader deleted stays in lists for a while.
		if _, listed := list[n]; inBlocks[n] || !listed && !b.strangerUp[n] {
			delete(b.strangers, n)
			delete(b.strangeAt, n)
			delete(b.strangerUp, n)
		}
	}
}

// Stranger tells whether a machine is known that stands in no block.
func (b *Book) Stranger(name string) bool { return b.strangeAt[name] != 0 }

// Strangers tells that a list has been read and machines stand in no block.
func (b *Book) Strangers() bool { return b.read && len(b.strangers) > 0 }

// Came tells whether a machine in no block that seems to have reported is to be called. A report
// may be a copy of one that it made before it was deleted, and many copies come one after the
// other: only its own answer to our call proves that it lives.
func (b *Book) Came(now time.Duration, name string) bool {
	if at, ok := b.cameAt[name]; b.Gone(name) || ok && now-at <= b.limits.Again {
		return false
	}
	b.cameAt[name] = now
	return true
}

// Lives notes that a machine in no block has answered a call of ours.
func (b *Book) Lives(now time.Duration, m wire.MachineInfo) {
	if b.Gone(m.Name) {
		return
	}
	if _, ok := b.strangeAt[m.Name]; !ok {
		b.strangeAt[m.Name] = now
	}
	b.strangerUp[m.Name] = true
	b.strangers[m.Name] = m
}

// ToDelete lists up to most machines that the cloud is to delete: those that holders have dropped,
// those in blocks that are dead, and strangers that have failed.
func (b *Book) ToDelete(dropped map[string]bool, inBlock func(string) bool, most int) (names []string) {
	add := func(n string, also bool) {
		if also && !b.Gone(n) && len(names) < most {
			names = append(names, n)
		}
	}
	for _, n := range slices.Sorted(maps.Keys(dropped)) {
		add(n, true)
	}
	for _, n := range slices.Sorted(maps.Keys(b.dead)) {
		add(n, inBlock(n) && !dropped[n])
	}
	for _, n := range slices.Sorted(maps.Keys(b.strangers)) {
		add(n, b.strangers[n].Status == wire.MachineFailed)
	}
	return names
}

// Deleted notes that the cloud has said that machines and all on them are gone.
func (b *Book) Deleted(now time.Duration, names []string) {
	for _, n := range names {
		b.gone[n] = now
		delete(b.dead, n)
		delete(b.strangers, n)
	}
}

// Gone tells whether a machine has been deleted.
func (b *Book) Gone(name string) bool { _, is := b.gone[name]; return is }

// AnyGone tells whether machines have been deleted and not forgotten.
func (b *Book) AnyGone() bool { return len(b.gone) > 0 }

// AllGone lists the machines that have been deleted and not forgotten, sorted.
func (b *Book) AllGone() []string { return slices.Sorted(maps.Keys(b.gone)) }

// Forget forgets machines that were deleted long ago: until then old lists still name them.
func (b *Book) Forget(now time.Duration) {
	for n, at := range b.gone {
		if now-at > 4*b.limits.Lag {
			delete(b.gone, n)
			delete(b.strangers, n)
			delete(b.strangeAt, n)
			delete(b.listedAt, n)
		}
	}
}

// Adopt lists the machines that are to be put into blocks, those that the cluster finds when it
// starts for the first time at once.
func (b *Book) Adopt(now time.Duration, first bool, inBlock func(string) bool) (list []wire.MachineInfo) {
	for _, n := range slices.Sorted(maps.Keys(b.strangers)) {
		if inBlock(n) {
			delete(b.strangers, n)
			delete(b.strangeAt, n)
			continue
		}
		grace := b.limits.Grace
		if !b.strangerUp[n] {
			grace = max(grace, 2*b.limits.Lag) // it may be gone, and listed still
		}
		if (first || now-b.strangeAt[n] > grace) && !b.Gone(n) && b.strangers[n].Status != wire.MachineFailed {
			list = append(list, b.strangers[n])
		}
	}
	return list
}
