package takeover

import "time"

// Book has the addresses of workers, from whoever told them: the cloud's list, or a
// report, whoever it was meant for. It is advice: a call to a wrong address brings no
// answer, and what is believed of a machine goes by the name in its own report.
type Book struct {
	of map[string]Entry
	up []cameUp // the latest last
}

type cameUp struct {
	machine string
	at      time.Duration
}

// Entry is where a worker listens, and the session it was last seen in.
type Entry struct {
	Addr    string
	Session uint64 // at least 1
}

// NewBook returns an empty book.
func NewBook() *Book { return &Book{of: map[string]Entry{}} }

// Learn notes an address. Session 0 tells nothing of it: a worker begins with 1.
func (b *Book) Learn(machine, addr string, session uint64) {
	if addr == "" {
		return
	}
	b.of[machine] = Entry{addr, max(b.of[machine].Session, session, 1)}
}

// Of finds a machine.
func (b *Book) Of(machine string) (Entry, bool) { e, ok := b.of[machine]; return e, ok }

// CameUp notes that a machine of the owner's has come up.
func (b *Book) CameUp(now time.Duration, machine string) { b.up = append(b.up, cameUp{machine, now}) }

// News are the machines that have come up for so long, the last few of them, for others to be
// told of. The cloud's list tells them seconds later: a holder cut off from machines that had just
// come up kept its shard, since nobody else knew how to call them.
func (b *Book) News(now, since time.Duration, most int) (machines []string) {
	for len(b.up) > 0 && now-b.up[0].at > since {
		b.up = b.up[1:]
	}
	for _, x := range b.up[max(0, len(b.up)-most):] {
		machines = append(machines, x.machine)
	}
	return machines
}

// Len is how many machines are known.
func (b *Book) Len() int { return len(b.of) }

// Prune forgets machines that nobody holds any more.
func (b *Book) Prune(held func(machine string) bool) {
	for n := range b.of {
		if !held(n) {
			delete(b.of, n)
		}
	}
}
