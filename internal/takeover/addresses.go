package takeover

import "time"

// Book has the addresses of workers, from whoever told them: the cloud's list, or a
// report, whoever it was meant for. It is advice: a call to a wrong address brings no
// answer, and what is believed of a machine goes by the name in its own report.
type AddressBook struct {
	endpoints map[string]Endpoint
	cameUp    []cameUp // the latest last
}

type cameUp struct {
	machine string
	at      time.Duration
}

// Entry is where a worker listens, and the session it was last seen in.
type Endpoint struct {
	Addr    string
	Session uint64 // at least 1
}

// NewBook returns an empty book.
func NewAddressBook() *AddressBook { return &AddressBook{endpoints: map[string]Endpoint{}} }

// Learn notes an address. Session 0 tells nothing of it: a worker begins with 1.
func (b *AddressBook) Learn(machine, addr string, session uint64) {
	if addr == "" {
		return
	}
	b.endpoints[machine] = Endpoint{addr, max(b.endpoints[machine].Session, session, 1)}
}

// Of finds a machine.
func (b *AddressBook) Lookup(machine string) (Endpoint, bool) {
	e, ok := b.endpoints[machine]
	return e, ok
}

// CameUp notes that a machine of the owner's has come up.
func (b *AddressBook) MachineUp(now time.Duration, machine string) {
	b.cameUp = append(b.cameUp, cameUp{machine, now})
}

// News are the machines that have come up for so long, the last few of them, for others to be
// told of. The cloud's list tells them seconds later: a holder cut off from machines that had just
// come up kept its shard, since nobody else knew how to call them.
func (b *AddressBook) RecentlyUp(now, within time.Duration, limit int) (machines []string) {
	for len(b.cameUp) > 0 && now-b.cameUp[0].at > within {
		b.cameUp = b.cameUp[1:]
	}
	for _, x := range b.cameUp[max(0, len(b.cameUp)-limit):] {
		machines = append(machines, x.machine)
	}
	return machines
}

// Len is how many machines are known.
func (b *AddressBook) Len() int { return len(b.endpoints) }

// Prune forgets machines that nobody holds any more.
func (b *AddressBook) Prune(held func(machine string) bool) {
	for n := range b.endpoints {
		if !held(n) {
			delete(b.endpoints, n)
		}
	}
}
