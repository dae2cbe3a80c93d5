// Package cloud is the cloud of PROTOCOL as a state machine: it rents machines,
// boots them, charges for them, takes spot machines back and lists what it has
// as it was some seconds ago.
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

// Time is steady time since the cloud began.
type Time = time.Duration

// Bounds that PROTOCOL gives.
const (
	rentMost    = 50
	deleteMost  = 100
	pageMost    = 500
	leastCharge = time.Minute
	// deadListed: a machine that died is still listed as running for so long.
	deadListed = 30 * time.Second
	// keepGone: deleted machines are remembered while a list may be as old.
	keepGone = 10 * time.Minute
)

// Place is a kind of machine in a zone.
type Place struct {
	Type, Zone string
	Spot       bool
}

// Params describe the cloud.
type Params struct {
	Types       []wire.MachineType
	Capacity    map[Place]int // most at a time; a missing place has Otherwise
	Otherwise   int
	RPS         float64 // 0: no limit
	ListLag     time.Duration
	BootFails   float64                                          // share of rentals that never come up
	SlowBoots   float64                                          // share that takes several times as long
	SpotPerHour float64                                          // how often a spot machine is taken
	Notice      time.Duration                                    // nominal notice
	Silent      float64                                          // share of spot machines taken without one
	Boot        func(wire.MachineType, *rand.Rand) time.Duration // nil: as PROTOCOL says
}

// Trouble is what is wrong with the cloud at the moment.
type Trouble struct {
	Down   bool            // 503 to everything
	Short  bool            // nothing can be rented
	Unborn int             // so many of the next rentals never come up
	Ghosts map[string]bool // gone, and listed still
	Hidden map[string]bool // there, and not listed
}

// Event tells the world of a machine.
type Event struct {
	Machine string
	Kind    Kind
	Notice  time.Duration // with Noticed
}

// Kind of an event.
type Kind int

// What can happen to a machine. Gone means that it and all on it are gone.
const (
	Up Kind = iota
	Noticed
	Gone
)

// Host is a machine, past or present. Times below 0 have not come.
type Host struct {
	wire.MachineInfo
	Created, UpAt, TakenAt, NoticeAt Time
	DiedAt, GoneAt                   Time
	Standing                         bool // the operator's own, not rented
	nominal                          float64
	isUp, noticed                    bool
}

// never is a time that does not come.
const never = Time(math.MaxInt64)

// There tells whether the machine exists.
func (h *Host) There(now Time) bool { return h.GoneAt > now && h.DiedAt > now }

// Cloud is the service.
type Cloud struct {
	Trouble Trouble

	p        Params
	rng      *rand.Rand
	hosts    map[string]*Host
	order    []string
	bookings map[string][]string
	calls    *rate.Limiter
	spot     map[string]float64 // present spot prices by type
	spotAt   Time
	charged  float64 // for machines already forgotten
	seq      int
}

// New returns a cloud without machines.
func New(p Params, rng *rand.Rand) *Cloud {
	c := &Cloud{p: p, rng: rng, hosts: map[string]*Host{}, bookings: map[string][]string{}, spot: map[string]float64{},
		calls: rate.NewLimiter(rate.Inf, 0)}
	if p.RPS > 0 {
		c.calls = rate.NewLimiter(rate.Limit(p.RPS), max(1, int(2*p.RPS))) // bursts of two seconds' worth
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

// admit refuses what the cloud does not look at.
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

// Rent answers POST /hosts. Booked before: the same answer, and nothing rented.
func (c *Cloud) Rent(now Time, r wire.RentRequest) Reply {
	if rep, ok := c.admit(now); !ok {
		return rep
	}
	if names, ok := c.bookings[r.Request]; ok {
		return Reply{http.StatusOK, wire.MachineNames{Machines: names}}
	}
	t, ok := c.typ(r.Type)
	if !ok || r.Request == "" || r.Count < 1 || r.Count > rentMost || !slices.Contains(t.Zones, r.Zone) {
		return problem(http.StatusBadRequest, "malformed rental")
	}
	place := Place{r.Type, r.Zone, r.Spot}
	room, limited := c.p.Capacity[place]
	if !limited {
		room = c.p.Otherwise
	}
	for _, h := range c.hosts {
		if h.There(now) && !h.Standing && (Place{h.Type, h.Zone, h.Spot}) == place {
			room--
		}
	}
	if c.Trouble.Short || room <= 0 {
		return problem(http.StatusServiceUnavailable, "no capacity")
	}
	var names []string
	for range min(r.Count, room) {
		names = append(names, c.add(now, place, t, false).Name)
	}
	c.bookings[r.Request] = names
	return Reply{http.StatusOK, wire.MachineNames{Machines: names}}
}

// Stand adds one of the operator's own machines, up after boot.
func (c *Cloud) Stand(now Time, p Place, boot time.Duration) *Host {
	t, _ := c.typ(p.Type)
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

// take plans the end of a spot machine, with a notice of half to one and a
// half times the nominal length.
func (c *Cloud) take(h *Host, at Time, tell bool) {
	if tell {
		notice := time.Duration((0.5 + c.rng.Float64()) * float64(c.p.Notice))
		at = max(at, h.Created+notice) // one rented just now is told in time, too
		h.NoticeAt = at - notice
	}
	h.TakenAt = at
}

// Take has a spot machine taken back; with notice, after it.
func (c *Cloud) Take(now Time, name string, tell bool) {
	h := c.hosts[name]
	if h == nil || !h.There(now) {
		return
	}
	if !tell {
		h.TakenAt = now
		return
	}
	notice := time.Duration((0.5 + c.rng.Float64()) * float64(c.p.Notice))
	h.NoticeAt, h.TakenAt = now, now+notice
}

// Die ends a machine by itself: listed as running for a while, then as failed.
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
	if len(names) > deleteMost {
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

// List answers GET /hosts with the machines as they were some time ago.
func (c *Cloud) List(now Time, after string, page int) Reply {
	if r, ok := c.admit(now); !ok {
		return r
	}
	if page < 0 || page > pageMost {
		return problem(http.StatusBadRequest, "page: must be from 1 to 500")
	}
	if page == 0 {
		page = pageMost
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
		case h.DiedAt != never && h.DiedAt+deadListed <= at:
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

// before orders names as they were made, whatever their length.
func before(a, b string) bool {
	if len(a) != len(b) {
		return len(a) < len(b)
	}
	return a < b
}

// Advance lets time pass and tells what befell the machines.
func (c *Cloud) Advance(now Time) (out []Event) {
	if now-c.spotAt >= time.Minute { // prices wander by up to a third around the nominal
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
		if h.GoneAt != never && now-h.GoneAt > keepGone && !c.Trouble.Ghosts[n] {
			c.charged += c.cost(now, h)
			delete(c.hosts, n)
			continue
		}
		keep = append(keep, n)
	}
	c.order = keep
	return out
}

// SetAddr notes where a machine's worker listens.
func (c *Cloud) SetAddr(name, addr string) {
	if h := c.hosts[name]; h != nil {
		h.Addr = addr
	}
}

// Host returns a machine that is or lately was.
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

// Cost is what has been charged so far: by the second from the rental until
// the machine is gone, a minute at least once it is deleted. Spot machines are
// charged the present price.
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
		took = max(took, leastCharge)
	}
	price := h.nominal
	if h.Spot {
		price = c.spot[h.Type]
	}
	return price * took.Hours()
}

func (c *Cloud) typ(name string) (wire.MachineType, bool) {
	for _, t := range c.p.Types {
		if t.Name == name {
			return t, true
		}
	}
	return wire.MachineType{}, false
}
