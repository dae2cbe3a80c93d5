// Package inventory compares the cloud's list of machines with the blocks that store them. It
// finds machines that are gone or have failed and must be deleted, machines that are in no block
// and must be put into one, and machines that the cloud has deleted and that may leave their
// blocks.
//
// The cloud's lists lag, so neither the presence nor the absence of a machine in one list proves
// anything. The package is a plain data structure: no clock, no I/O, not safe for concurrent use.
// Times are those of the owner's steady clock.
package inventory

import (
	"maps"
	"slices"
	"time"

	"github.com/barrowbridge/barrowbridge/wire"
)

// Limits are the times by which lists are interpreted.
type Limits struct {
	ListLag      time.Duration // usual lag of the lists, at times twice as long
	GoneAfter    time.Duration // a listed machine that is missing from the lists for so long is gone
	AdoptAfter   time.Duration // a machine in no block is put into one after this time
	CallInterval time.Duration // a machine in no block that seems to report is called at most once per interval
}

// Tracker holds what a leader has learned about machines in its term. It starts empty, because
// all of it can be learned again.
type Tracker struct {
	limits          Limits
	listRead        bool                        // a list has been read
	listedAt        map[string]time.Duration    // last time that a machine in a block was listed
	unassigned      map[string]wire.MachineInfo // machines in no block
	unassignedSince map[string]time.Duration
	answered        map[string]bool          // has answered a call of this controller
	calledAt        map[string]time.Duration // last call to a machine in no block because it seemed to report
	failed          map[string]bool          // to be deleted: failed, or no longer listed
	deletedAt       map[string]time.Duration // deleted in the cloud and to be taken out of its block
}

// New returns an empty tracker.
func New(l Limits) *Tracker {
	return &Tracker{
		limits:          l,
		listedAt:        map[string]time.Duration{},
		unassigned:      map[string]wire.MachineInfo{},
		unassignedSince: map[string]time.Duration{},
		answered:        map[string]bool{},
		calledAt:        map[string]time.Duration{},
		failed:          map[string]bool{},
		deletedAt:       map[string]time.Duration{},
	}
}

// ApplyList processes a complete list of the cloud; inBlocks are the machines that are in blocks.
func (t *Tracker) ApplyList(now time.Duration, list map[string]wire.MachineInfo, inBlocks map[string]bool) {
	t.listRead = true
	maps.DeleteFunc(t.calledAt, func(_ string, at time.Duration) bool { return now-at > t.limits.CallInterval })
	for n := range inBlocks {
		m, listed := list[n]
		at, seen := t.listedAt[n]
		switch {
		case listed && m.Status == wire.MachineFailed, !listed && seen && now-at > t.limits.GoneAfter:
			if !t.IsDeleted(n) {
				t.failed[n] = true
			}
		case listed:
			t.listedAt[n] = now
		}
	}
	for n, m := range list {
		if inBlocks[n] || t.IsDeleted(n) {
			continue
		}
		if _, known := t.unassignedSince[n]; !known {
			t.unassignedSince[n] = now
		}
		t.unassigned[n] = m
	}
	for n := range t.unassigned {
		// The machine is in a block by now, or is no longer listed: a machine that an
		// earlier leader deleted stays in lists for a while.
		if _, listed := list[n]; inBlocks[n] || !listed && !t.answered[n] {
			delete(t.unassigned, n)
			delete(t.unassignedSince, n)
			delete(t.answered, n)
		}
	}
}

// IsUnassigned reports whether a machine is known to exist and is in no block.
func (t *Tracker) IsUnassigned(name string) bool { return t.unassignedSince[name] != 0 }

// HasUnassigned reports whether a list has been read and some machines are in no block.
func (t *Tracker) HasUnassigned() bool { return t.listRead && len(t.unassigned) > 0 }

// AllowCall reports whether a machine in no block that seems to have reported is to be called
// now, and if so records the call. The report may be a copy of one that the machine sent before
// it was deleted, and many copies may arrive one after the other: only its own answer to a call
// proves that the machine exists.
func (t *Tracker) AllowCall(now time.Duration, name string) bool {
	if at, ok := t.calledAt[name]; t.IsDeleted(name) || ok && now-at <= t.limits.CallInterval {
		return false
	}
	t.calledAt[name] = now
	return true
}

// MarkAnswered records that a machine in no block has answered a call of this controller.
func (t *Tracker) MarkAnswered(now time.Duration, m wire.MachineInfo) {
	if t.IsDeleted(m.Name) {
		return
	}
	if _, ok := t.unassignedSince[m.Name]; !ok {
		t.unassignedSince[m.Name] = now
	}
	t.answered[m.Name] = true
	t.unassigned[m.Name] = m
}

// PendingDeletions returns up to most machines that the cloud is to delete: those that holders
// have dropped, those in blocks that have failed or are gone, and those in no block that have
// failed.
func (t *Tracker) PendingDeletions(dropped map[string]bool, inBlock func(string) bool, most int) (names []string) {
	add := func(n string, eligible bool) {
		if eligible && !t.IsDeleted(n) && len(names) < most {
			names = append(names, n)
		}
	}
	for _, n := range slices.Sorted(maps.Keys(dropped)) {
		add(n, true)
	}
	for _, n := range slices.Sorted(maps.Keys(t.failed)) {
		add(n, inBlock(n) && !dropped[n])
	}
	for _, n := range slices.Sorted(maps.Keys(t.unassigned)) {
		add(n, t.unassigned[n].Status == wire.MachineFailed)
	}
	return names
}

// MarkDeleted records that the cloud has confirmed that machines and everything on them are gone.
func (t *Tracker) MarkDeleted(now time.Duration, names []string) {
	for _, n := range names {
		t.deletedAt[n] = now
		delete(t.failed, n)
		delete(t.unassigned, n)
	}
}

// IsDeleted reports whether a machine has been deleted and not yet forgotten.
func (t *Tracker) IsDeleted(name string) bool { _, deleted := t.deletedAt[name]; return deleted }

// HasDeleted reports whether there are deleted machines that are not yet forgotten.
func (t *Tracker) HasDeleted() bool { return len(t.deletedAt) > 0 }

// DeletedMachines returns the deleted machines that are not yet forgotten, sorted.
func (t *Tracker) DeletedMachines() []string { return slices.Sorted(maps.Keys(t.deletedAt)) }

// ForgetOld forgets machines that were deleted so long ago that no old list can still name them.
func (t *Tracker) ForgetOld(now time.Duration) {
	for n, at := range t.deletedAt {
		if now-at > 4*t.limits.ListLag {
			delete(t.deletedAt, n)
			delete(t.unassigned, n)
			delete(t.unassignedSince, n)
			delete(t.listedAt, n)
		}
	}
}

// PendingAdoptions returns the machines that are to be put into blocks. first is set when the
// cluster starts for the first time; all machines found then are adopted at once.
func (t *Tracker) PendingAdoptions(now time.Duration, first bool, inBlock func(string) bool) (list []wire.MachineInfo) {
	for _, n := range slices.Sorted(maps.Keys(t.unassigned)) {
		if inBlock(n) {
			delete(t.unassigned, n)
			delete(t.unassignedSince, n)
			continue
		}
		grace := t.limits.AdoptAfter
		if !t.answered[n] {
			grace = max(grace, 2*t.limits.ListLag) // it may be gone and still be listed
		}
		if (first || now-t.unassignedSince[n] > grace) && !t.IsDeleted(n) && t.unassigned[n].Status != wire.MachineFailed {
			list = append(list, t.unassigned[n])
		}
	}
	return list
}
