// Package reservation keeps capacity on machines for tasks that fit nowhere. Small tasks take all
// capacity that is released, so without reservations no machine would ever empty far enough for a
// large task. A reservation subtracts its size from the free capacity that other tasks see on the
// machine.
//
// Which jobs wait, and in which order, follows from records alone, so a new holder of a shard makes
// reservations for the same jobs. Reservations themselves are not written: they only keep capacity
// free.
//
// The structures have no clock and no I/O, and are not safe for concurrent use. Times are those of
// the caller's monotonic clock.
package reservation

import (
	"cmp"
	"slices"
	"time"

	"github.com/barrowbridge/barrowbridge/internal/placement"
)

// Limits bound the reservations of a shard.
type Limits struct {
	MaxShare float64       // largest share of the machines that are up
	Horizon  time.Duration // machines where the task fits later than this from now are not reserved
	MinGain  time.Duration // a reservation moves only to a machine where the task fits sooner by more than this
}

// Release is capacity that is expected to become free.
type Release struct {
	At   time.Duration
	Size placement.Size
}

// Machine is a machine that may be reserved.
type Machine[M comparable] struct {
	Handle   M
	Name     string
	Up       bool
	ReadyAt  time.Duration // when it is expected to be up, if it is not
	Free     placement.Size
	Releases []Release // expected ends of its tasks; tasks without a foreseeable end are not among them
}

// Request is a job whose tasks fit nowhere. Requests are listed in the order of service.
type Request[M comparable] struct {
	Job      string
	Team     string
	TeamFull bool           // the team's limit has no capacity left for one task
	Size     placement.Size // of one task
	Tasks    int            // number of tasks that may be started
	Allows   func(M) bool
}

// Oversized returns the requests for at least factor times the smallest amount that other tasks ask
// for, of any resource. Tasks of similar size are served in turn, while these would be passed over
// forever.
func Oversized[M comparable](requests []Request[M], smallest placement.Size, factor float64) (oversized []Request[M]) {
	for _, request := range requests {
		size := request.Size
		if smallest.CPUs > 0 && size.CPUs >= factor*smallest.CPUs ||
			smallest.MemGB > 0 && size.MemGB >= factor*smallest.MemGB ||
			size.GPUs > 0 && size.GPUs >= factor*smallest.GPUs {
			oversized = append(oversized, request)
		}
	}
	return oversized
}

// TeamReservations returns, by team, what is reserved of the team's limit: the size of one task of
// the first job that does not fit into what is left of it. Without this, smaller tasks of the same
// team used up whatever became free, and the large task was never started.
func TeamReservations[M comparable](requests []Request[M]) map[string]Reservation {
	reservations := map[string]Reservation{}
	for _, request := range requests {
		if _, has := reservations[request.Team]; request.TeamFull && !has {
			reservations[request.Team] = Reservation{Job: request.Job, Size: request.Size}
		}
	}
	return reservations
}

// Reservation is capacity for one task that is kept free.
type Reservation struct {
	Job    string
	Size   placement.Size
	FitsAt time.Duration // when the task is expected to fit
}

// Table holds the reservations of one controller in one shard.
type Table[M comparable] struct {
	limits       Limits
	reservations map[M]Reservation
	order        []M // reserved machines, by the order of their requests, then by when the task fits
}

// New returns an empty table.
func New[M comparable](limits Limits) *Table[M] {
	return &Table[M]{limits: limits, reservations: map[M]Reservation{}}
}

// Get returns the reservation on a machine, if there is one.
func (t *Table[M]) Get(m M) (Reservation, bool) {
	reservation, ok := t.reservations[m]
	return reservation, ok
}

// Machines returns the reserved machines, those of the job that is served first in front.
func (t *Table[M]) Machines() []M { return t.order }

// CountUntil returns the number of reservations of a job whose task fits no later than until.
func (t *Table[M]) CountUntil(job string, until time.Duration) (n int) {
	for _, reservation := range t.reservations {
		if reservation.Job == job && reservation.FitsAt <= until {
			n++
		}
	}
	return n
}

// Len returns the number of reserved machines.
func (t *Table[M]) Len() int { return len(t.reservations) }

// Remove ends the reservation on a machine.
func (t *Table[M]) Remove(m M) {
	if _, exists := t.reservations[m]; exists {
		delete(t.reservations, m)
		t.order = slices.DeleteFunc(slices.Clone(t.order), func(other M) bool { return other == m })
	}
}

// FitTime returns when a task of the given size is expected to fit on the machine. It returns false
// if that cannot be foreseen.
func (m *Machine[M]) FitTime(now time.Duration, size placement.Size) (time.Duration, bool) {
	at := now
	if !m.Up {
		at = max(now, m.ReadyAt)
	}
	free := m.Free
	if placement.Fits(free, size) {
		return at, true
	}
	for _, release := range m.Releases {
		if free = free.Add(release.Size); placement.Fits(free, size) {
			return max(at, release.At), true
		}
	}
	return 0, false
}

// Plan recomputes the reservations, and returns the machines whose reservation has changed. Requests
// share the reservations: each gets one before any gets two. An existing reservation stays while its
// task still waits and its machine is still expected to become free. Machines that boot do not count
// against the limit, since no other task could use them yet.
func (t *Table[M]) Plan(now time.Duration, requests []Request[M], machines []Machine[M]) (changed []M) {
	slices.SortFunc(machines, func(x, y Machine[M]) int { return cmp.Compare(x.Name, y.Name) })
	for k := range machines {
		slices.SortStableFunc(machines[k].Releases, func(x, y Release) int { return cmp.Compare(x.At, y.At) })
	}
	old := t.reservations
	t.reservations = map[M]Reservation{}
	granted := t.carryOver(now, old, requests, machines)
	up, reserved := 0, 0
	for k := range machines {
		if machines[k].Up {
			up++
			if _, exists := t.reservations[machines[k].Handle]; exists {
				reserved++
			}
		}
	}
	maxReserved := max(1, int(float64(up)*t.limits.MaxShare))
	// Machines that were reserved while they booted count once they are up, and other machines may
	// be gone, so more may be reserved than the limit allows.
	for k := len(machines) - 1; k >= 0 && reserved > maxReserved; k-- {
		if reservation, exists := t.reservations[machines[k].Handle]; exists && machines[k].Up {
			delete(t.reservations, machines[k].Handle)
			granted[slices.IndexFunc(requests, func(a Request[M]) bool { return a.Job == reservation.Job })]--
			reserved--
		}
	}
	for round := 1; ; round++ {
		progress := false
		for i := range requests {
			request := &requests[i]
			if granted[i] >= min(round, request.Tasks) {
				continue
			}
			if k, at := t.earliest(now, request, machines, reserved < maxReserved); k >= 0 {
				t.reservations[machines[k].Handle] = Reservation{request.Job, request.Size, at}
				granted[i]++
				progress = true
				if machines[k].Up {
					reserved++
				}
			}
		}
		if !progress {
			break
		}
	}
	t.sortMachines(requests, machines)
	for k := range machines {
		m := machines[k].Handle
		reservation, exists := t.reservations[m]
		before, existed := old[m]
		if exists != existed || reservation.Job != before.Job || reservation.Size != before.Size {
			changed = append(changed, m)
		}
		delete(old, m)
	}
	// These are no longer among the machines. The caller drops its state of them in any order.
	for m := range old {
		changed = append(changed, m)
	}
	return changed
}

// sortMachines lists the reserved machines in the order of service. machines are sorted by name.
func (t *Table[M]) sortMachines(requests []Request[M], machines []Machine[M]) {
	rank := map[string]int{}
	for i := range requests {
		rank[requests[i].Job] = i
	}
	t.order = make([]M, 0, len(t.reservations))
	for k := range machines {
		if _, exists := t.reservations[machines[k].Handle]; exists {
			t.order = append(t.order, machines[k].Handle)
		}
	}
	slices.SortStableFunc(t.order, func(x, y M) int {
		first, second := t.reservations[x], t.reservations[y]
		return cmp.Or(cmp.Compare(rank[first.Job], rank[second.Job]), cmp.Compare(first.FitsAt, second.FitsAt))
	})
}

// carryOver takes over the old reservations that still apply, and returns their number by request.
func (t *Table[M]) carryOver(now time.Duration, old map[M]Reservation, requests []Request[M], machines []Machine[M]) []int {
	granted, byJob := make([]int, len(requests)), map[string]int{}
	for i := range requests {
		byJob[requests[i].Job] = i
	}
	for k := range machines {
		machine := &machines[k]
		reservation, existed := old[machine.Handle]
		i, waits := byJob[reservation.Job]
		if !existed || !waits || granted[i] >= requests[i].Tasks ||
			requests[i].Size != reservation.Size || !requests[i].Allows(machine.Handle) {
			continue
		}
		at, ok := machine.FitTime(now, reservation.Size)
		if !ok || at > now+t.limits.Horizon {
			continue
		}
		if better, betterAt := t.earliest(now, &requests[i], machines, true); better >= 0 && betterAt+t.limits.MinGain < at {
			if _, taken := old[machines[better].Handle]; !taken {
				continue
			}
		}
		t.reservations[machine.Handle] = Reservation{reservation.Job, reservation.Size, at}
		granted[i]++
	}
	return granted
}

// earliest returns the index of the machine without a reservation where a task of the request fits
// first, and when; -1 if there is none. allowUp is whether machines that are up may be reserved too.
func (t *Table[M]) earliest(now time.Duration, request *Request[M], machines []Machine[M], allowUp bool) (best int, at time.Duration) {
	best = -1
	for k := range machines {
		machine := &machines[k]
		if _, reserved := t.reservations[machine.Handle]; reserved ||
			machine.Up && !allowUp || !request.Allows(machine.Handle) {
			continue
		}
		if fitsAt, ok := machine.FitTime(now, request.Size); ok &&
			fitsAt <= now+t.limits.Horizon && (best < 0 || fitsAt < at) {
			best, at = k, fitsAt
		}
	}
	return best, at
}
