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
	ListLag      time.Duration // lists lag by so long, at times by twice as long
	GoneAfter    time.Duration // a machine that was listed and is no more for so long is gone
	AdoptAfter   time.Duration // a machine that stands in no block is put into one after this
	CallInterval time.Duration // one in no block whose report came is called at most so often
}

// Book is what a leader knows of machines in this term. It starts empty: all of it can be learned
// again.
type Tracker struct {
	limits          Limits
	listRead        bool // a list has been
	listedAt        map[string]time.Duration
	unassigned      map[string]wire.MachineInfo // in no block
	unassignedSince map[string]time.Duration    // since when
	answered        map[string]bool             // has answered a call of ours
	calledAt        map[string]time.Duration    // when one in no block was last called for having reported
	failed          map[string]bool             // to be deleted: failed, or no longer listed
	deletedAt       map[string]time.Duration    // deleted in the cloud, to be taken out of its block, since
}

// New returns an empty book.
func New(l Limits) *Tracker {
	return &Tracker{limits: l, listedAt: map[string]time.Duration{}, unassigned: map[string]wire.MachineInfo{}, unassignedSince: map[string]time.Duration{}, answered: map[string]bool{},
		calledAt: map[string]time.Duration{}, failed: map[string]bool{}, deletedAt: map[string]time.Duration{}}
}

// Read takes a whole list, with the machines that stand in blocks.
func (b *Tracker) ApplyList(now time.Duration, list map[string]wire.MachineInfo, inBlocks map[string]bool) {
	b.listRead = true
	maps.DeleteFunc(b.calledAt, func(_ string, at time.Duration) bool { return now-at > b.limits.CallInterval })
	for n := range inBlocks {
		m, listed := list[n]
		at, seen := b.listedAt[n]
		switch {
		case listed && m.Status == wire.MachineFailed, !listed && seen && now-at > b.limits.GoneAfter:
			if !b.IsDeleted(n) {
				b.failed[n] = true
			}
		case listed:
			b.listedAt[n] = now
		}
	}
	for n, m := range list {
		if inBlocks[n] || b.IsDeleted(n) {
			continue
		}
		if _, known := b.unassignedSince[n]; !known {
			b.unassignedSince[n] = now
		}
		b.unassigned[n] = m
	}
	for n := range b.unassigned {
		// In a block by now, or no longer listed: a machine that an earlier
		// leader deleted stays in lists for a while.
		if _, listed := list[n]; inBlocks[n] || !listed && !b.answered[n] {
			delete(b.unassigned, n)
			delete(b.unassignedSince, n)
			delete(b.answered, n)
		}
	}
}

// Stranger tells whether a machine is known that stands in no block.
func (b *Tracker) IsUnassigned(name string) bool { return b.unassignedSince[name] != 0 }

// Strangers tells that a list has been read and machines stand in no block.
func (b *Tracker) HasUnassigned() bool { return b.listRead && len(b.unassigned) > 0 }

// Came tells whether a machine in no block that seems to have reported is to be called. A report
// may be a copy of one that it made before it was deleted, and many copies come one after the
// other: only its own answer to our call proves that it lives.
func (b *Tracker) AllowCall(now time.Duration, name string) bool {
	if at, ok := b.calledAt[name]; b.IsDeleted(name) || ok && now-at <= b.limits.CallInterval {
		return false
	}
	b.calledAt[name] = now
	return true
}

// Lives notes that a machine in no block has answered a call of ours.
func (b *Tracker) MarkAnswered(now time.Duration, m wire.MachineInfo) {
	if b.IsDeleted(m.Name) {
		return
	}
	if _, ok := b.unassignedSince[m.Name]; !ok {
		b.unassignedSince[m.Name] = now
	}
	b.answered[m.Name] = true
	b.unassigned[m.Name] = m
}

// ToDelete lists up to most machines that the cloud is to delete: those that holders have dropped,
// those in blocks that are dead, and strangers that have failed.
func (b *Tracker) PendingDeletions(dropped map[string]bool, inBlock func(string) bool, most int) (names []string) {
	add := func(n string, also bool) {
		if also && !b.IsDeleted(n) && len(names) < most {
			names = append(names, n)
		}
	}
	for _, n := range slices.Sorted(maps.Keys(dropped)) {
		add(n, true)
	}
	for _, n := range slices.Sorted(maps.Keys(b.failed)) {
		add(n, inBlock(n) && !dropped[n])
	}
	for _, n := range slices.Sorted(maps.Keys(b.unassigned)) {
		add(n, b.unassigned[n].Status == wire.MachineFailed)
	}
	return names
}

// Deleted notes that the cloud has said that machines and all on them are gone.
func (b *Tracker) MarkDeleted(now time.Duration, names []string) {
	for _, n := range names {
		b.deletedAt[n] = now
		delete(b.failed, n)
		delete(b.unassigned, n)
	}
}

// Gone tells whether a machine has been deleted.
func (b *Tracker) IsDeleted(name string) bool { _, is := b.deletedAt[name]; return is }

// AnyGone tells whether machines have been deleted and not forgotten.
func (b *Tracker) HasDeleted() bool { return len(b.deletedAt) > 0 }

// AllGone lists the machines that have been deleted and not forgotten, sorted.
func (b *Tracker) DeletedMachines() []string { return slices.Sorted(maps.Keys(b.deletedAt)) }

// Forget forgets machines that were deleted long ago: until then old lists still name them.
func (b *Tracker) ForgetOld(now time.Duration) {
	for n, at := range b.deletedAt {
		if now-at > 4*b.limits.ListLag {
			delete(b.deletedAt, n)
			delete(b.unassigned, n)
			delete(b.unassignedSince, n)
			delete(b.listedAt, n)
		}
	}
}

// Adopt lists the machines that are to be put into blocks, those that the cluster finds when it
// starts for the first time at once.
func (b *Tracker) PendingAdoptions(now time.Duration, first bool, inBlock func(string) bool) (list []wire.MachineInfo) {
	for _, n := range slices.Sorted(maps.Keys(b.unassigned)) {
		if inBlock(n) {
			delete(b.unassigned, n)
			delete(b.unassignedSince, n)
			continue
		}
		grace := b.limits.AdoptAfter
		if !b.answered[n] {
			grace = max(grace, 2*b.limits.ListLag) // it may be gone, and listed still
		}
		if (first || now-b.unassignedSince[n] > grace) && !b.IsDeleted(n) && b.unassigned[n].Status != wire.MachineFailed {
			list = append(list, b.unassigned[n])
		}
	}
	return list
}
