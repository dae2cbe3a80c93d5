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
	Prior            []Sample      // what is taken as seen without evidence
	SamplesPerKind   int           // boots remembered of a kind
	SampleMaxAge     time.Duration // and for how long
	HorizonRatio     float64       // ratio: a machine counts if it comes within so long
	FullCountChance  float64       // chance, against that of a new one, from which a machine counts in full
	GiveUpChance     float64       // chance that it ever comes, below which a machine is given back
	TrustChance      float64       // chance that a new one comes within the horizon, below which a kind is probed
	MaxDoubtfulShare float64       // share of the booting machines that may be doubted, and so be replaced
}

// Seen is one boot, or a weight of them: how long it took as a ratio, +Inf if it never came.
type Sample struct {
	Ratio, Weight float64
	observedAt    time.Duration
	censored      bool // given back after so long: it may have come later
}

// Book holds what is known.
type Tracker struct {
	params        Params
	booting       map[string]*machine
	samples       map[Kind][]Sample
	bootingByKind map[Kind]int // waiting, by kind
}

type machine struct {
	kind          Kind
	rentedAt      time.Duration
	usualBootTime time.Duration
}

// New returns a book without evidence.
func New(p Params) *Tracker {
	return &Tracker{params: p, booting: map[string]*machine{}, samples: map[Kind][]Sample{}, bootingByKind: map[Kind]int{}}
}

// Booked notes a machine that has been rented; ready is its usual boot time.
func (b *Tracker) MachineRented(now time.Duration, name string, k Kind, ready time.Duration) {
	if b.booting[name] == nil && ready > 0 {
		b.booting[name] = &machine{k, now, ready}
		b.bootingByKind[k]++
	}
}

// Up notes that a machine has come up.
func (b *Tracker) MachineUp(now time.Duration, name string) {
	if m := b.remove(name); m != nil {
		b.addSample(now, m.kind, m.bootRatio(now), false)
	}
}

// Gone notes that a machine is no more, whether it was up or not.
func (b *Tracker) MachineGone(now time.Duration, name string) {
	m := b.remove(name)
	if m == nil {
		return
	}
	// What was given back before the longest known time may have been about to come. Taken
	// for one that never comes, it had the next given back sooner still.
	longest := 0.0
	for _, s := range b.params.Prior {
		if !math.IsInf(s.Ratio, 1) {
			longest = max(longest, s.Ratio)
		}
	}
	if r := m.bootRatio(now); r >= longest {
		b.addSample(now, m.kind, math.Inf(1), false)
	} else {
		b.addSample(now, m.kind, r, true)
	}
}

// Forget drops a machine whose boot is not to be judged.
func (b *Tracker) Forget(name string) { b.remove(name) }

func (b *Tracker) remove(name string) *machine {
	m := b.booting[name]
	if m != nil {
		delete(b.booting, name)
		b.bootingByKind[m.kind]--
	}
	return m
}

func (m *machine) bootRatio(now time.Duration) float64 {
	return float64(now-m.rentedAt) / float64(m.usualBootTime)
}

func (b *Tracker) addSample(now time.Duration, k Kind, ratio float64, open bool) {
	seen := append(b.samples[k], Sample{ratio, 1, now, open})
	if len(seen) > b.params.SamplesPerKind {
		seen = seen[len(seen)-b.params.SamplesPerKind:]
	}
	b.samples[k] = seen
}

// within is the weight of boots that took more than from and at most to, and more is that
// of all that took longer than from, never included.
func (b *Tracker) sampleWeights(now time.Duration, k Kind, from, to float64) (in, more float64) {
	add := func(list []Sample) {
		for _, s := range list {
			if s.censored && s.Ratio < to {
				continue // what became of it in that time is not known
			}
			if s.Ratio > from && now-s.observedAt < b.params.SampleMaxAge {
				more += s.Weight
				if s.Ratio <= to && !s.censored {
					in += s.Weight
				}
			}
		}
	}
	for _, s := range b.params.Prior {
		if s.Ratio > from {
			more += s.Weight
			if s.Ratio <= to {
				in += s.Weight
			}
		}
	}
	add(b.samples[k])
	return in, more
}

// Fresh is how likely a machine of a kind that is rented now comes within the horizon.
// Those that wait for longer than that tell of it as much as those that were given up.
func (b *Tracker) NewMachineChance(now time.Duration, k Kind) float64 {
	in, more := b.sampleWeights(now, k, -1, b.params.HorizonRatio)
	for _, m := range b.booting {
		if m.kind == k && m.bootRatio(now) > b.params.HorizonRatio && now-m.rentedAt < b.params.SampleMaxAge {
			more++
		}
	}
	return in / more
}

// Hopeless tells whether a machine that waits will hardly ever come.
func (b *Tracker) ShouldGiveUp(now time.Duration, name string) bool {
	m := b.booting[name]
	if m == nil {
		return false
	}
	in, more := b.sampleWeights(now, m.kind, m.bootRatio(now), math.MaxFloat64)
	return more == 0 || in/more < b.params.GiveUpChance
}

// Doubted lists those of some booting machines that do not count as room to come: as many
// as their chances fall short of a new machine's, those that have waited longest first,
// and never more than a share of all of them, which bounds what is rented in their place.
func (b *Tracker) Doubtful(now time.Duration, names []string) map[string]bool {
	type doubt struct {
		name  string
		since time.Duration
		short float64
	}
	var list []doubt
	sum := 0.0
	fresh := map[Kind]float64{}
	for _, n := range names {
		m := b.booting[n]
		if m == nil {
			continue
		}
		if _, ok := fresh[m.kind]; !ok {
			fresh[m.kind] = b.NewMachineChance(now, m.kind)
		}
		r := m.bootRatio(now)
		in, more := b.sampleWeights(now, m.kind, r, r+b.params.HorizonRatio)
		chance := 0.0
		if more > 0 {
			chance = in / more / math.Max(fresh[m.kind], 0.05)
		}
		if chance < b.params.FullCountChance {
			list = append(list, doubt{n, m.rentedAt, 1 - chance})
			sum += 1 - chance
		}
	}
	slices.SortFunc(list, func(x, y doubt) int {
		return cmp.Or(cmp.Compare(x.since, y.since), cmp.Compare(x.name, y.name))
	})
	most := min(int(math.Ceil(sum-0.25)), max(1, int(b.params.MaxDoubtfulShare*float64(len(names)))))
	out := map[string]bool{}
	for _, d := range list[:min(most, len(list))] {
		out[d.name] = true
	}
	return out
}

// May tells how many machines of a kind may be rented now, of count wanted: all, if the
// kind can be trusted, and else one at a time.
func (b *Tracker) RentLimit(now time.Duration, k Kind, count int) int {
	switch {
	case b.NewMachineChance(now, k) >= b.params.TrustChance:
		return count
	case b.hasPunctualBoot(now, k):
		return 0
	}
	return min(count, 1)
}

// Ask is a way to rent, and how many machines of it are wanted.
type Request struct {
	Kind  Kind
	Count int
}

// Choose is the first of some ways to rent of which machines may be rented now, and how many. If
// no kind can be trusted, and one of each is on its way, what is needed is asked for all the same,
// half of it at a time, of the kind that is likeliest to come: it may be late everywhere. -1:
// there is none.
func (b *Tracker) Choose(now time.Duration, asks []Request) (k, count int) {
	best, chance := -1, 0.0
	for i, a := range asks {
		if n := b.RentLimit(now, a.Kind, a.Count); n > 0 {
			return i, n
		}
		if p := b.NewMachineChance(now, a.Kind); p > chance {
			best, chance = i, p
		}
	}
	if best < 0 {
		return -1, 0
	}
	return best, (asks[best].Count + 1) / 2
}

// pending tells whether a machine of a kind is still within its usual time.
func (b *Tracker) hasPunctualBoot(now time.Duration, k Kind) bool {
	if b.bootingByKind[k] == 0 {
		return false
	}
	for _, m := range b.booting {
		if m.kind == k && m.bootRatio(now) <= b.params.HorizonRatio {
			return true
		}
	}
	return false
}
