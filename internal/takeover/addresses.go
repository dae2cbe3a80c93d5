package takeover

import "time"

// AddressBook keeps the addresses of workers, from any source: the cloud's machine list, or a report,
// whichever controller it was meant for. Addresses are hints only. A call to a wrong address gets no
// useful answer, because what is recorded of a machine goes by the name in its own report.
type AddressBook struct {
	endpoints map[string]Endpoint
	cameUp    []cameUp // in order of time
}

// cameUp is a machine that came up, and when.
type cameUp struct {
	machine string
	at      time.Duration
}

// Endpoint is the address on which a worker listens, and the session in which it was last seen.
type Endpoint struct {
	Addr    string
	Session uint64 // at least 1
}

// NewAddressBook returns an empty address book.
func NewAddressBook() *AddressBook { return &AddressBook{endpoints: map[string]Endpoint{}} }

// Learn records the address of a machine's worker. Session 0 means unknown: a worker starts with 1.
func (b *AddressBook) Learn(machine, addr string, session uint64) {
	if addr == "" {
		return
	}
	b.endpoints[machine] = Endpoint{addr, max(b.endpoints[machine].Session, session, 1)}
}

// Lookup returns the endpoint of a machine's worker, if it is known.
func (b *AddressBook) Lookup(machine string) (Endpoint, bool) {
	e, ok := b.endpoints[machine]
	return e, ok
}

// MachineUp records that a machine held by the owner has come up.
func (b *AddressBook) MachineUp(now time.Duration, machine string) {
	b.cameUp = append(b.cameUp, cameUp{machine, now})
}

// RecentlyUp returns the machines that have come up within the given time, the last ones up to the
// limit, in order to announce them to the other controllers. The cloud's list contains them seconds
// later: without the announcement a holder that was cut off from machines that had just come up kept
// its shard, because no other controller had their addresses.
func (b *AddressBook) RecentlyUp(now, within time.Duration, limit int) (machines []string) {
	for len(b.cameUp) > 0 && now-b.cameUp[0].at > within {
		b.cameUp = b.cameUp[1:]
	}
	for _, x := range b.cameUp[max(0, len(b.cameUp)-limit):] {
		machines = append(machines, x.machine)
	}
	return machines
}

// Len returns the number of known machines.
func (b *AddressBook) Len() int { return len(b.endpoints) }

// Prune removes the machines for which held returns false.
func (b *AddressBook) Prune(held func(machine string) bool) {
	for n := range b.endpoints {
		if !held(n) {
			delete(b.endpoints, n)
		}
	}
}
