// Package cloud emulates the cloud of PROTOCOL as a state machine: it rents out machines, boots
// them, charges for them, takes spot machines back and lists its machines as they were some
// seconds ago.
package cloud

import (
	"fmt"
	"math"
	"math/rand/v2"
	"net/http"
	"slices"
	"sort"
	"time"

	"golang.org/x/time/rate"

	"github.com/barrowbridge/barrowbridge/wire"
)

// Time is monotonic time since the start of the cloud.
type Time = time.Duration

// Limits that PROTOCOL specifies.
const (
	maxRentCount   = 50
	maxDeleteNames = 100
	maxPageItems   = 500
	minCharge      = time.Minute
	// deadListedTime is how long a machine that died is still listed as running.
	deadListedTime = 30 * time.Second
	// goneRetention is how long deleted machines are kept, because a list may be that old.
	goneRetention = 10 * time.Minute
)

// Place is a machine type in a zone, as spot or regular capacity.
type Place struct {
	Type, Zone string
	Spot       bool
}

// Params describe the cloud.
type Params struct {
	Types       []wire.MachineType
	Capacity    map[Place]int // maximum number of machines at a time; Otherwise applies to places that are missing
	Otherwise   int
	RPS         float64 // 0: no limit
	ListLag     time.Duration
	BootFails   float64                                          // share of rented machines that never boot
	SlowBoots   float64                                          // share of machines that take four times as long to boot
	SpotPerHour float64                                          // mean number of times per hour that a spot machine is taken back
	Notice      time.Duration                                    // nominal notice before a spot machine is taken back
	Silent      float64                                          // share of spot machines taken back without notice
	Boot        func(wire.MachineType, *rand.Rand) time.Duration // returns a boot time; nil: as PROTOCOL specifies
}

// Trouble describes the current faults of the cloud.
type Trouble struct {
	Down   bool            // 503 to every call
	Short  bool            // nothing can be rented
	Unborn int             // this many of the next rented machines never boot
	Ghosts map[string]bool // still listed although they are gone
	Hidden map[string]bool // not listed although they exist
}

// Event reports a change of a machine.
type Event struct {
	Machine string
	Kind    Kind
	Notice  time.Duration // time until the machine is taken back; only for Noticed
}

// Kind is the kind of an Event.
type Kind int

// The kinds of events. Gone means that the machine and everything on it are gone.
const (
	Up Kind = iota
	Noticed
	Gone
)

// Host is a machine that exists or has existed. Times that are not known yet are never.
type Host struct {
	wire.MachineInfo
	Created, UpAt, TakenAt, NoticeAt Time
	DiedAt, GoneAt                   Time
	Standing                         bool // owned by the operator, not rented
	nominal                          float64
	isUp, noticed                    bool
}

// never is the time of an event that is not scheduled.
const never = Time(math.MaxInt64)

// There reports whether the machine exists.
func (h *Host) There(now Time) bool { return h.GoneAt > now && h.DiedAt > now }

// Cloud is the emulated cloud service.
type Cloud struct {
	Trouble Trouble

	p       Params
	rng     *rand.Rand
	hosts   map[string]*Host
	order   []string
	rentals map[string][]string
	calls   *rate.Limiter
	spot    map[string]float64 // current spot prices by type
	spotAt  Time
	charged float64 // for machines that have been removed
	seq     int
}

// New returns a cloud without machines.
func New(p Params, rng *rand.Rand) *Cloud {
	c := &Cloud{p: p, rng: rng, hosts: map[string]*Host{}, rentals: map[string][]string{}, spot: map[string]float64{},
		calls: rate.NewLimiter(rate.Inf, 0)}
	if p.RPS > 0 {
		c.calls = rate.NewLimiter(rate.Limit(p.RPS), max(1, int(2*p.RPS))) // allows a burst of two seconds' calls
	}
	for _, t := range p.Types {
		c.spot[t.Name] = t.SpotPrice
	}
	return c
}

// Reply is the answer to a call.
type Reply struct {
	Status int
	Body   any
}

func problem(status int, why string) Reply { return Reply{status, wire.Problem{Error: why}} }

// admit returns the refusal of a call, and false, if the cloud is down or its call rate is exceeded.
func (c *Cloud) admit(now Time) (Reply, bool) {
	switch {
	case c.Trouble.Down:
		return problem(http.StatusServiceUnavailable, "trouble"), false
	case c.p.RPS > 0 && !c.calls.AllowN(time.Unix(0, 0).Add(now), 1):
		return problem(http.StatusTooManyRequests, "too many requests"), false
	}
	return Reply{}, true
}

// Types answers GET /machine_types.
func (c *Cloud) Types(now Time) Reply {
	if r, ok := c.admit(now); !ok {
		return r
	}
	out := append([]wire.MachineType(nil), c.p.Types...)
	for i := range out {
		out[i].SpotPrice = c.spot[out[i].Name]
	}
	return Reply{http.StatusOK, wire.MachineTypes{Types: out}}
}

// Rent answers POST /hosts. A request that was already granted gets the same answer again and rents nothing.
func (c *Cloud) Rent(now Time, r wire.RentRequest) Reply {
	if rep, ok := c.admit(now); !ok {
		return rep
	}
	if names, ok := c.rentals[r.Request]; ok {
		return Reply{http.StatusOK, wire.MachineNames{Machines: names}}
	}
	t, ok := c.machineType(r.Type)
	if !ok || r.Request == "" || r.Count < 1 || r.Count > maxRentCount || !slices.Contains(t.Zones, r.Zone) {
		return problem(http.StatusBadRequest, "malformed rental")
	}
	place := Place{r.Type, r.Zone, r.Spot}
	freeCapacity, limited := c.p.Capacity[place]
	if !limited {
		freeCapacity = c.p.Otherwise
	}
	for _, h := range c.hosts {
		if h.There(now) && !h.Standing && (Place{h.Type, h.Zone, h.Spot}) == place {
			freeCapacity--
		}
	}
	if c.Trouble.Short || freeCapacity <= 0 {
		return problem(http.StatusServiceUnavailable, "no capacity")
	}
	var names []string
	for range min(r.Count, freeCapacity) {
		names = append(names, c.add(now, place, t, false).Name)
	}
	c.rentals[r.Request] = names
	return Reply{http.StatusOK, wire.MachineNames{Machines: names}}
}

// Stand adds a machine that the operator owns; it is up after boot.
func (c *Cloud) Stand(now Time, p Place, boot time.Duration) *Host {
	t, _ := c.machineType(p.Type)
	h := c.add(now, p, t, true)
	h.UpAt, h.TakenAt, h.NoticeAt = now+boot, never, never
	return h
}

func (c *Cloud) add(now Time, p Place, t wire.MachineType, standing bool) *Host {
	h := &Host{MachineInfo: wire.MachineInfo{Name: fmt.Sprintf("n-%06d", c.seq), Type: p.Type, Zone: p.Zone, Spot: p.Spot},
		Created: now, TakenAt: never, NoticeAt: never, DiedAt: never, GoneAt: never, Standing: standing, nominal: t.Price}
	c.seq++
	h.UpAt = now + c.boot(t)
	if !standing && (c.Trouble.Unborn > 0 || c.rng.Float64() < c.p.BootFails) {
		c.Trouble.Unborn = max(0, c.Trouble.Unborn-1)
		h.UpAt = never
	}
	if p.Spot && c.p.SpotPerHour > 0 {
		c.take(h, h.Created+time.Duration(c.rng.ExpFloat64()/c.p.SpotPerHour*float64(time.Hour)), c.rng.Float64() >= c.p.Silent)
	}
	c.hosts[h.Name] = h
	c.order = append(c.order, h.Name)
	return h
}

// take schedules when a spot machine is taken back; with notify after a notice of half to one and a
// half times the nominal length.
func (c *Cloud) take(h *Host, at Time, notify bool) {
	if notify {
		notice := time.Duration((0.5 + c.rng.Float64()) * float64(c.p.Notice))
		at = max(at, h.Created+notice) // a machine that was just rented gets its full notice, too
		h.NoticeAt = at - notice
	}
	h.TakenAt = at
}

// Take takes a spot machine back, with notify only after a notice.
func (c *Cloud) Take(now Time, name string, notify bool) {
	h := c.hosts[name]
	if h == nil || !h.There(now) {
		return
	}
	if !notify {
		h.TakenAt = now
		return
	}
	notice := time.Duration((0.5 + c.rng.Float64()) * float64(c.p.Notice))
	h.NoticeAt, h.TakenAt = now, now+notice
}

// Die makes a machine fail. It is listed as running for deadListedTime, then as failed.
func (c *Cloud) Die(now Time, name string) {
	if h := c.hosts[name]; h != nil && h.There(now) {
		h.DiedAt = now
	}
}

func (c *Cloud) boot(t wire.MachineType) time.Duration {
	if c.p.Boot != nil {
		return c.p.Boot(t, c.rng)
	}
	share := 0.6 + 0.9*c.rng.Float64()
	if c.rng.Float64() < c.p.SlowBoots {
		share *= 4
	}
	return time.Duration(share * t.BootS * float64(time.Second))
}

// Delete answers POST /hosts/delete.
func (c *Cloud) Delete(now Time, names []string) (Reply, []Event) {
	if r, ok := c.admit(now); !ok {
		return r, nil
	}
	if len(names) > maxDeleteNames {
		return problem(http.StatusBadRequest, "at most 100 names"), nil
	}
	var out []Event
	for _, n := range names {
		if h := c.hosts[n]; h != nil && h.GoneAt == never {
			h.GoneAt = now
			out = append(out, Event{Machine: n, Kind: Gone})
		}
	}
	return Reply{http.StatusOK, map[string]any{}}, out
}

// List answers GET /hosts with the machines as they were some time ago, at most twice ListLag.
func (c *Cloud) List(now Time, after string, page int) Reply {
	if r, ok := c.admit(now); !ok {
		return r
	}
	if page < 0 || page > maxPageItems {
		return problem(http.StatusBadRequest, "page: must be from 1 to 500")
	}
	if page == 0 {
		page = maxPageItems
	}
	lag := time.Duration((0.5 + c.rng.Float64()) * float64(c.p.ListLag))
	if c.rng.IntN(8) == 0 {
		lag = 2 * c.p.ListLag
	}
	at := max(0, now-lag)
	l := wire.MachineList{Machines: []wire.MachineInfo{}}
	from := sort.Search(len(c.order), func(i int) bool { return before(after, c.order[i]) })
	for _, n := range c.order[from:] {
		h := c.hosts[n]
		listed := h.Created <= at && (h.GoneAt > at || c.Trouble.Ghosts[n]) && !c.Trouble.Hidden[n]
		if !listed {
			continue
		}
		if len(l.Machines) == page {
			l.More = true
			break
		}
		i := h.MachineInfo
		i.AgeS = (at - h.Created).Seconds()
		switch {
		case h.DiedAt != never && h.DiedAt+deadListedTime <= at:
			i.Status = wire.MachineFailed
		case h.UpAt <= at:
			i.Status = wire.MachineRunning
		default:
			i.Status = wire.MachineStarting
		}
		l.Machines = append(l.Machines, i)
	}
	return Reply{http.StatusOK, l}
}

// before reports whether machine a was created before machine b: shorter names have lower numbers.
func before(a, b string) bool {
	if len(a) != len(b) {
		return len(a) < len(b)
	}
	return a < b
}

// Advance simulates the time up to now and returns what happened to the machines.
func (c *Cloud) Advance(now Time) (out []Event) {
	if now-c.spotAt >= time.Minute { // spot prices vary by up to a third around the nominal price
		c.spotAt = now
		for _, t := range c.p.Types {
			c.spot[t.Name] = t.SpotPrice * (1 + (c.rng.Float64()*2-1)/3)
		}
	}
	keep := c.order[:0]
	for _, n := range c.order {
		h := c.hosts[n]
		if h.TakenAt <= now && h.GoneAt == never {
			h.GoneAt = h.TakenAt
			out = append(out, Event{Machine: n, Kind: Gone})
		}
		if h.UpAt <= now && !h.isUp && h.There(now) {
			h.isUp = true
			out = append(out, Event{Machine: n, Kind: Up})
		}
		if h.NoticeAt <= now && !h.noticed && h.There(now) {
			h.noticed = true
			out = append(out, Event{Machine: n, Kind: Noticed, Notice: h.TakenAt - now})
		}
		if h.GoneAt != never && now-h.GoneAt > goneRetention && !c.Trouble.Ghosts[n] {
			c.charged += c.cost(now, h)
			delete(c.hosts, n)
			continue
		}
		keep = append(keep, n)
	}
	c.order = keep
	return out
}

// SetAddr sets the address on which a machine's worker listens.
func (c *Cloud) SetAddr(name, addr string) {
	if h := c.hosts[name]; h != nil {
		h.Addr = addr
	}
}

// Host returns a machine that exists, was removed at most goneRetention ago or is still listed as a ghost, else nil.
func (c *Cloud) Host(name string) *Host { return c.hosts[name] }

// Hosts lists the machines that exist, oldest first.
func (c *Cloud) Hosts(now Time) (out []*Host) {
	for _, n := range c.order {
		if h := c.hosts[n]; h.There(now) {
			out = append(out, h)
		}
	}
	return out
}

// Cost returns the total charge so far. Machines are charged by the second from the rental until
// they are gone, deleted ones for at least a minute. Spot machines are charged the current price.
func (c *Cloud) Cost(now Time) float64 {
	sum := c.charged
	for _, n := range c.order {
		sum += c.cost(now, c.hosts[n])
	}
	return sum
}

func (c *Cloud) cost(now Time, h *Host) float64 {
	if h.Standing {
		return 0
	}
	end := min(now, h.DiedAt, h.GoneAt)
	took := end - h.Created
	if h.GoneAt != never {
		took = max(took, minCharge)
	}
	price := h.nominal
	if h.Spot {
		price = c.spot[h.Type]
	}
	return price * took.Hours()
}

func (c *Cloud) machineType(name string) (wire.MachineType, bool) {
	for _, t := range c.p.Types {
		if t.Name == name {
			return t, true
		}
	}
	return wire.MachineType{}, false
}
