// Package provisioning judges machines that have been rented and are not up: how likely one that
// has waited so long still comes, and which kinds are worth asking for. A booting machine
// counted as room to come in full until it was given up, four usual boots later, and work
// waited all that while for hands that never came.
//
// Evidence are the boots of the last minutes, by kind, and what the cloud's documentation
// says of boots as if it had been seen a few times. What stands in the mirror is fed in,
// so all controllers judge alike and a change of leader loses nothing.
//
// Pure: time comes in; not for concurrent use.
package provisioning

import (
	"cmp"
	"math"
	"slices"
	"time"
)

// Kind is what the cloud may fail to bring up.
type Kind struct {
	Type, Zone string
	Spot       bool
}

// Params bound the judgement. Ratios are multiples of the usual boot time.
type Params struct {
	Prior   []Seen        // what is taken as seen without evidence
	Keep    int           // boots remembered of a kind
	Memory  time.Duration // and for how long
	Horizon float64       // ratio: a machine counts if it comes within so long
	Enough  float64       // chance, against that of a new one, from which a machine counts in full
	GiveUp  float64       // chance that it ever comes, below which a machine is given back
	Trust   float64       // chance that a new one comes within the horizon, below which a kind is probed
	Ahead   float64       // share of the booting machines that may be doubted, and so be replaced
}

// Seen is one boot, or a weight of them: how long it took as a ratio, +Inf if it never came.
type Seen struct {
	Ratio, Weight float64
	at            time.Duration
	open          bool // given back after so long: it may have come later
}

// Book holds what is known.
type Book struct {
	p       Params
	waiting map[string]*machine
	kinds   map[Kind][]Seen
	count   map[Kind]int // waiting, by kind
}

type machine struct {
	kind  Kind
	since time.Duration
	ready time.Duration
}

// New returns a book without evidence.
func New(p Params) *Book {
	return &Book{p: p, waiting: map[string]*machine{}, kinds: map[Kind][]Seen{}, count: map[Kind]int{}}
}

// Booked notes a machine that has been rented; ready is its usual boot time.
func (b *Book) Booked(now time.Duration, name string, k Kind, ready time.Duration) {
	if b.waiting[name] == nil && ready > 0 {
		b.waiting[name] = &machine{k, now, ready}
		b.count[k]++
	}
}

// Up notes that a machine has come up.
func (b *Book) Up(now time.Duration, name string) {
	if m := b.leave(name); m != nil {
		b.see(now, m.kind, m.ratio(now), false)
	}
}

// Gone notes that a machine is no more, whether it was up or not.
func (b *Book) Gone(now time.Duration, name string) {
	m := b.leave(name)
	if m == nil {
		return
	}
	// What was given back before the longest known time may have been about to come. Taken
	// for one that never comes, it had the next given back sooner still.
	longest := 0.0
	for _, s := range b.p.Prior {
		if !math.IsInf(s.Ratio, 1) {
			longest = max(longest, s.Ratio)
		}
	}
	if r := m.ratio(now); r >= longest {
		b.see(now, m.kind, math.Inf(1), false)
	} else {
		b.see(now, m.kind, r, true)
	}
}

// Forget drops a machine whose boot is not to be judged.
func (b *Book) Forget(name string) { b.leave(name) }

func (b *Book) leave(name string) *machine {
	m := b.waiting[name]
	if m != nil {
		delete(b.waiting, name)
		b.count[m.kind]--
	}
	return m
}

func (m *machine) ratio(now time.Duration) float64 { return float64(now-m.since) / float64(m.ready) }

func (b *Book) see(now time.Duration, k Kind, ratio float64, open bool) {
	seen := append(b.kinds[k], Seen{ratio, 1, now, open})
	if len(seen) > b.p.Keep {
		seen = seen[len(seen)-b.p.Keep:]
	}
	b.kinds[k] = seen
}

// within is the weight of boots that took more than from and at most to, and more is that
// of all that took longer than from, never included.
func (b *Book) within(now time.Duration, k Kind, from, to float64) (in, more float64) {
	add := func(list []Seen) {
		for _, s := range list {
			if s.open && s.Ratio < to {
				continue // what became of it in that time is not known
			}
			if s.Ratio > from && now-s.at < b.p.Memory {
				more += s.Weight
				if s.Ratio <= to && !s.open {
					in += s.Weight
				}
			}
		}
	}
	for _, s := range b.p.Prior {
		if s.Ratio > from {
			more += s.Weight
			if s.Ratio <= to {
				in += s.Weight
			}
		}
	}
	add(b.kinds[k])
	return in, more
}

// Fresh is how likely a machine of a kind that is rented now comes within the horizon.
// Those that wait for longer than that tell of it as much as those that were given up.
func (b *Book) Fresh(now time.Duration, k Kind) float64 {
	in, more := b.within(now, k, -1, b.p.Horizon)
	for _, m := range b.waiting {
		if m.kind == k && m.ratio(now) > b.p.Horizon && now-m.since < b.p.Memory {
			more++
		}
	}
	return in / more
}

// Hopeless tells whether a machine that waits will hardly ever come.
func (b *Book) Hopeless(now time.Duration, name string) bool {
	m := b.waiting[name]
	if m == nil {
		return false
	}
	in, more := b.within(now, m.kind, m.ratio(now), math.MaxFloat64)
	return more == 0 || in/more < b.p.GiveUp
}

// Doubted lists those of some booting machines that do not count as room to come: as many
// as their chances fall short of a new machine's, those that have waited longest first,
// and never more than a share of all of them, which bounds what is rented in their place.
func (b *Book) Doubted(now time.Duration, names []string) map[string]bool {
	type doubt struct {
		name  string
		since time.Duration
		short float64
	}
	var list []doubt
	sum := 0.0
	fresh := map[Kind]float64{}
	for _, n := range names {
		m := b.waiting[n]
		if m == nil {
			continue
		}
		if _, ok := fresh[m.kind]; !ok {
			fresh[m.kind] = b.Fresh(now, m.kind)
		}
		r := m.ratio(now)
		in, more := b.within(now, m.kind, r, r+b.p.Horizon)
		chance := 0.0
		if more > 0 {
			chance = in / more / math.Max(fresh[m.kind], 0.05)
		}
		if chance < b.p.Enough {
			list = append(list, doubt{n, m.since, 1 - chance})
			sum += 1 - chance
		}
	}
	slices.SortFunc(list, func(x, y doubt) int {
		return cmp.Or(cmp.Compare(x.since, y.since), cmp.Compare(x.name, y.name))
	})
	most := min(int(math.Ceil(sum-0.25)), max(1, int(b.p.Ahead*float64(len(names)))))
	out := map[string]bool{}
	for _, d := range list[:min(most, len(list))] {
		out[d.name] = true
	}
	return out
}

// May tells how many machines of a kind may be rented now, of count wanted: all, if the
// kind can be trusted, and else one at a time.
func (b *Book) May(now time.Duration, k Kind, count int) int {
	switch {
	case b.Fresh(now, k) >= b.p.Trust:
		return count
	case b.pending(now, k):
		return 0
	}
	return min(count, 1)
}

// Ask is a way to rent, and how many machines of it are wanted.
type Ask struct {
	Kind  Kind
	Count int
}

// Choose is the first of some ways to rent of which machines may be rented now, and how many. If
// no kind can be trusted, and one of each is on its way, what is needed is asked for all the same,
// half of it at a time, of the kind that is likeliest to come: it may be late everywhere. -1:
// there is none.
func (b *Book) Choose(now time.Duration, asks []Ask) (k, count int) {
	best, chance := -1, 0.0
	for i, a := range asks {
		if n := b.May(now, a.Kind, a.Count); n > 0 {
			return i, n
		}
		if p := b.Fresh(now, a.Kind); p > chance {
			best, chance = i, p
		}
	}
	if best < 0 {
		return -1, 0
	}
	return best, (asks[best].Count + 1) / 2
}

// pending tells whether a machine of a kind is still within its usual time.
func (b *Book) pending(now time.Duration, k Kind) bool {
	if b.count[k] == 0 {
		return false
	}
	for _, m := range b.waiting {
		if m.kind == k && m.ratio(now) <= b.p.Horizon {
			return true
		}
	}
	return false
}
