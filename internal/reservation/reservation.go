// Package reservation keeps places for tasks that fit nowhere. Every freed corner of a machine
// goes to a small task, so no machine ever empties for a large one; a place that is held
// fills up for it instead. A hold takes its size out of what others see free on the machine.
//
// Who waits, in which order, comes from records alone, so a successor holds for the same
// jobs. Holds themselves are not written: they only keep places free.
//
// Plain structures: no clock, no I/O, not for concurrent use. Times are those of the owner's
// steady clock.
package reservation

import (
	"cmp"
	"slices"
	"time"

	"github.com/barrowbridge/barrowbridge/internal/placement"
)

// Limits bound what is held.
type Limits struct {
	MaxShare float64       // of the machines that are up
	Horizon  time.Duration // a machine that is free later than this from now is not held
	MinGain  time.Duration // a hold moves only to a machine that is free so much sooner
}

// Leave is room that comes free.
type Release struct {
	At   time.Duration
	Size placement.Size
}

// Machine is one that a place may be held on.
type Machine[M comparable] struct {
	Handle   M
	Name     string
	Up       bool
	ReadyAt  time.Duration // when it is expected to be up, if it is not
	Free     placement.Size
	Releases []Release // what is expected to leave; work that stays is not among it
}

// Ask is a job whose tasks fit nowhere, in the order of service.
type Request[M comparable] struct {
	Job      string
	Team     string
	TeamFull bool           // its team's limit has no room for one
	Size     placement.Size // of one task
	Tasks    int            // that may be started
	Allows   func(M) bool
}

// Wide leaves the asks for at least so many times what the least of the others does, of any
// resource: those of a like size are served in turn, these are passed by for ever.
func Oversized[M comparable](asks []Request[M], least placement.Size, times float64) (out []Request[M]) {
	for _, a := range asks {
		s := a.Size
		if least.CPUs > 0 && s.CPUs >= times*least.CPUs || least.MemGB > 0 && s.MemGB >= times*least.MemGB || s.GPUs > 0 && s.GPUs >= times*least.GPUs {
			out = append(out, a)
		}
	}
	return out
}

// Kept is what is kept of teams' limits: a task's size for the first of each team that does not
// fit into what is left. Smaller tasks of the same team took up every bit of it for ever.
func TeamReservations[M comparable](asks []Request[M]) map[string]Reservation {
	kept := map[string]Reservation{}
	for _, a := range asks {
		if _, has := kept[a.Team]; a.TeamFull && !has {
			kept[a.Team] = Reservation{Job: a.Job, Size: a.Size}
		}
	}
	return kept
}

// Hold is a place that is kept.
type Reservation struct {
	Job    string
	Size   placement.Size
	FitsAt time.Duration // when the task is expected to fit
}

// Book is what one controller holds in one shard.
type Table[M comparable] struct {
	limits Limits
	holds  map[M]Reservation
	order  []M // of holds: by the place of their ask, then by when it fits
}

// New returns an empty book.
func New[M comparable](l Limits) *Table[M] { return &Table[M]{limits: l, holds: map[M]Reservation{}} }

// Of is what is held on a machine.
func (b *Table[M]) Get(m M) (Reservation, bool) { h, ok := b.holds[m]; return h, ok }

// Held lists the machines that are held, those of the job that is served first in front.
func (b *Table[M]) Machines() []M { return b.order }

// Within counts the places held for a job where a task fits by a time.
func (b *Table[M]) CountUntil(job string, until time.Duration) (n int) {
	for _, h := range b.holds {
		if h.Job == job && h.FitsAt <= until {
			n++
		}
	}
	return n
}

// Len is how many machines are held.
func (b *Table[M]) Len() int { return len(b.holds) }

// Drop ends the hold on a machine.
func (b *Table[M]) Remove(m M) {
	if _, is := b.holds[m]; is {
		delete(b.holds, m)
		b.order = slices.DeleteFunc(slices.Clone(b.order), func(o M) bool { return o == m })
	}
}

// At is when a task of a size is expected to fit on a machine; false: not foreseen.
func (m *Machine[M]) FitTime(now time.Duration, size placement.Size) (time.Duration, bool) {
	at := now
	if !m.Up {
		at = max(now, m.ReadyAt)
	}
	free := m.Free
	if placement.Fits(free, size) {
		return at, true
	}
	for _, l := range m.Releases {
		if free = free.Add(l.Size); placement.Fits(free, size) {
			return max(at, l.At), true
		}
	}
	return 0, false
}

// Plan decides anew which places are held, and returns the machines whose hold has changed.
// Asks share what is held: each gets one place before any gets two. What is held already
// stays while its task still waits and its machine still empties; a machine that boots
// counts against no bound, since nobody is kept from it yet.
func (b *Table[M]) Plan(now time.Duration, asks []Request[M], machines []Machine[M]) (changed []M) {
	slices.SortFunc(machines, func(x, y Machine[M]) int { return cmp.Compare(x.Name, y.Name) })
	for k := range machines {
		slices.SortStableFunc(machines[k].Releases, func(x, y Release) int { return cmp.Compare(x.At, y.At) })
	}
	old := b.holds
	b.holds = map[M]Reservation{}
	got := b.keep(now, old, asks, machines)
	up, held := 0, 0
	for k := range machines {
		if machines[k].Up {
			up++
			if _, is := b.holds[machines[k].Handle]; is {
				held++
			}
		}
	}
	most := max(1, int(float64(up)*b.limits.MaxShare))
	// Machines that were held while they booted count once they are up, and others may be gone.
	for k := len(machines) - 1; k >= 0 && held > most; k-- {
		if h, is := b.holds[machines[k].Handle]; is && machines[k].Up {
			delete(b.holds, machines[k].Handle)
			got[slices.IndexFunc(asks, func(a Request[M]) bool { return a.Job == h.Job })]--
			held--
		}
	}
	for round := 1; ; round++ {
		more := false
		for i := range asks {
			a := &asks[i]
			if got[i] >= min(round, a.Tasks) {
				continue
			}
			if k, at := b.soonest(now, a, machines, held < most); k >= 0 {
				b.holds[machines[k].Handle] = Reservation{a.Job, a.Size, at}
				got[i]++
				more = true
				if machines[k].Up {
					held++
				}
			}
		}
		if !more {
			break
		}
	}
	b.sort(asks, machines)
	for k := range machines {
		m := machines[k].Handle
		h, is := b.holds[m]
		o, was := old[m]
		if is != was || h.Job != o.Job || h.Size != o.Size {
			changed = append(changed, m)
		}
		delete(old, m)
	}
	for m := range old { // no longer among the machines; the owner forgets them in no order
		changed = append(changed, m)
	}
	return changed
}

// sort puts what is held in order. Machines come sorted by name.
func (b *Table[M]) sort(asks []Request[M], machines []Machine[M]) {
	rank := map[string]int{}
	for i := range asks {
		rank[asks[i].Job] = i
	}
	b.order = make([]M, 0, len(b.holds))
	for k := range machines {
		if _, is := b.holds[machines[k].Handle]; is {
			b.order = append(b.order, machines[k].Handle)
		}
	}
	slices.SortStableFunc(b.order, func(x, y M) int {
		p, q := b.holds[x], b.holds[y]
		return cmp.Or(cmp.Compare(rank[p.Job], rank[q.Job]), cmp.Compare(p.FitsAt, q.FitsAt))
	})
}

// keep takes over the holds that still serve, and counts them by ask.
func (b *Table[M]) keep(now time.Duration, old map[M]Reservation, asks []Request[M], machines []Machine[M]) []int {
	got, of := make([]int, len(asks)), map[string]int{}
	for i := range asks {
		of[asks[i].Job] = i
	}
	for k := range machines {
		m := &machines[k]
		h, was := old[m.Handle]
		i, waits := of[h.Job]
		if !was || !waits || got[i] >= asks[i].Tasks || asks[i].Size != h.Size || !asks[i].Allows(m.Handle) {
			continue
		}
		at, ok := m.FitTime(now, h.Size)
		if !ok || at > now+b.limits.Horizon {
			continue
		}
		if s, sooner := b.soonest(now, &asks[i], machines, true); s >= 0 && sooner+b.limits.MinGain < at {
			if _, taken := old[machines[s].Handle]; !taken {
				continue
			}
		}
		b.holds[m.Handle] = Reservation{h.Job, h.Size, at}
		got[i]++
	}
	return got
}

// soonest is the machine, not held yet, where a task fits first; up: machines that are up
// may be held too.
func (b *Table[M]) soonest(now time.Duration, a *Request[M], machines []Machine[M], up bool) (best int, at time.Duration) {
	best = -1
	for k := range machines {
		m := &machines[k]
		if _, held := b.holds[m.Handle]; held || m.Up && !up || !a.Allows(m.Handle) {
			continue
		}
		if t, ok := m.FitTime(now, a.Size); ok && t <= now+b.limits.Horizon && (best < 0 || t < at) {
			best, at = k, t
		}
	}
	return best, at
}
