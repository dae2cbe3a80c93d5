// Package provisioning estimates whether rented machines that are not up yet will still come up,
// and which machine kinds are worth renting. Without it a booting machine counted as future
// capacity in full until it was given up after four usual boot times, and work waited all that
// time for machines that never came up.
//
// The evidence consists of the boots of the last minutes, by kind, and of the boot times that the
// cloud documents, which count as if they had been observed a few times. The caller feeds in what
// the mirrored state contains, so all controllers reach the same conclusions and a change of
// leader loses nothing.
//
// The package is pure: callers pass the time in. It is not safe for concurrent use.
package provisioning

import (
	"cmp"
	"math"
	"slices"
	"time"
)

// Kind identifies a group of machines whose boots succeed or fail together: one machine type in
// one zone, spot or not.
type Kind struct {
	Type, Zone string
	Spot       bool
}

// Params configures the estimates. Ratios are multiples of the usual boot time.
type Params struct {
	Prior            []Sample      // samples assumed without evidence
	SamplesPerKind   int           // samples kept of each kind
	SampleMaxAge     time.Duration // age from which a sample is ignored
	HorizonRatio     float64       // a machine counts if it is expected within this ratio
	FullCountChance  float64       // chance relative to a new machine's from which a machine counts in full
	GiveUpChance     float64       // chance of ever coming up below which a machine is given back
	TrustChance      float64       // chance that a new machine comes up within the horizon below which its kind is only probed
	MaxDoubtfulShare float64       // largest share of the booting machines that may be doubtful and so be replaced
}

// Sample is one boot or a weight of several: the boot time as a ratio, +Inf if the machine never
// came up.
type Sample struct {
	Ratio, Weight float64
	observedAt    time.Duration
	censored      bool // given back after this ratio; the machine might have come up later
}

// Tracker holds the booting machines and the observed boots.
type Tracker struct {
	params        Params
	booting       map[string]*machine
	samples       map[Kind][]Sample
	bootingByKind map[Kind]int
}

// machine is a rented machine that is not up yet.
type machine struct {
	kind          Kind
	rentedAt      time.Duration
	usualBootTime time.Duration
}

// New returns a tracker without evidence.
func New(p Params) *Tracker {
	return &Tracker{params: p, booting: map[string]*machine{}, samples: map[Kind][]Sample{}, bootingByKind: map[Kind]int{}}
}

// MachineRented records a machine that has been rented and the usual boot time of its type.
func (t *Tracker) MachineRented(now time.Duration, name string, kind Kind, usualBootTime time.Duration) {
	if t.booting[name] == nil && usualBootTime > 0 {
		t.booting[name] = &machine{kind, now, usualBootTime}
		t.bootingByKind[kind]++
	}
}

// MachineUp records that a machine has come up.
func (t *Tracker) MachineUp(now time.Duration, name string) {
	if m := t.remove(name); m != nil {
		t.addSample(now, m.kind, m.bootRatio(now), false)
	}
}

// MachineGone records that a machine no longer exists, whether it had come up or not.
func (t *Tracker) MachineGone(now time.Duration, name string) {
	m := t.remove(name)
	if m == nil {
		return
	}
	// A machine given back before the longest known boot time might still have come up. Counting
	// it as one that never comes up would make the next machine be given back even sooner.
	longest := 0.0
	for _, s := range t.params.Prior {
		if !math.IsInf(s.Ratio, 1) {
			longest = max(longest, s.Ratio)
		}
	}
	if r := m.bootRatio(now); r >= longest {
		t.addSample(now, m.kind, math.Inf(1), false)
	} else {
		t.addSample(now, m.kind, r, true)
	}
}

// Forget drops a machine whose boot is not to be counted.
func (t *Tracker) Forget(name string) { t.remove(name) }

// remove drops a booting machine and returns it, or nil if it is not known.
func (t *Tracker) remove(name string) *machine {
	m := t.booting[name]
	if m != nil {
		delete(t.booting, name)
		t.bootingByKind[m.kind]--
	}
	return m
}

// bootRatio returns the time since the machine was rented, in usual boot times.
func (m *machine) bootRatio(now time.Duration) float64 {
	return float64(now-m.rentedAt) / float64(m.usualBootTime)
}

// addSample records a boot and drops the oldest sample of the kind if there are too many.
func (t *Tracker) addSample(now time.Duration, kind Kind, ratio float64, censored bool) {
	samples := append(t.samples[kind], Sample{ratio, 1, now, censored})
	if len(samples) > t.params.SamplesPerKind {
		samples = samples[len(samples)-t.params.SamplesPerKind:]
	}
	t.samples[kind] = samples
}

// sampleWeights returns the weight of the boots that took more than from and at most to (in), and
// of all that took more than from, including those that never came up (more). Both bounds are
// ratios.
func (t *Tracker) sampleWeights(now time.Duration, kind Kind, from, to float64) (in, more float64) {
	add := func(list []Sample) {
		for _, s := range list {
			if s.censored && s.Ratio < to {
				continue // the outcome within that time is unknown
			}
			if s.Ratio > from && now-s.observedAt < t.params.SampleMaxAge {
				more += s.Weight
				if s.Ratio <= to && !s.censored {
					in += s.Weight
				}
			}
		}
	}
	for _, s := range t.params.Prior {
		if s.Ratio > from {
			more += s.Weight
			if s.Ratio <= to {
				in += s.Weight
			}
		}
	}
	add(t.samples[kind])
	return in, more
}

// NewMachineChance returns the probability that a machine of a kind that is rented now comes up
// within the horizon. Machines that have been booting for longer than the horizon count against
// it as much as those that were given up.
func (t *Tracker) NewMachineChance(now time.Duration, kind Kind) float64 {
	in, more := t.sampleWeights(now, kind, -1, t.params.HorizonRatio)
	for _, m := range t.booting {
		if m.kind == kind && m.bootRatio(now) > t.params.HorizonRatio && now-m.rentedAt < t.params.SampleMaxAge {
			more++
		}
	}
	return in / more
}

// ShouldGiveUp reports whether a booting machine is too unlikely ever to come up.
func (t *Tracker) ShouldGiveUp(now time.Duration, name string) bool {
	m := t.booting[name]
	if m == nil {
		return false
	}
	in, more := t.sampleWeights(now, m.kind, m.bootRatio(now), math.MaxFloat64)
	return more == 0 || in/more < t.params.GiveUpChance
}

// Doubtful returns those of the named booting machines that do not count as future capacity.
// Their number is the sum by which the machines' chances fall short of a new machine's; those
// that have been booting longest are chosen first. It never exceeds a share of all named
// machines, which bounds how many are rented in their place.
func (t *Tracker) Doubtful(now time.Duration, names []string) map[string]bool {
	type doubt struct {
		name  string
		since time.Duration
		short float64
	}
	var list []doubt
	sum := 0.0
	fresh := map[Kind]float64{}
	for _, n := range names {
		m := t.booting[n]
		if m == nil {
			continue
		}
		if _, ok := fresh[m.kind]; !ok {
			fresh[m.kind] = t.NewMachineChance(now, m.kind)
		}
		r := m.bootRatio(now)
		in, more := t.sampleWeights(now, m.kind, r, r+t.params.HorizonRatio)
		chance := 0.0
		if more > 0 {
			chance = in / more / math.Max(fresh[m.kind], 0.05)
		}
		if chance < t.params.FullCountChance {
			list = append(list, doubt{n, m.rentedAt, 1 - chance})
			sum += 1 - chance
		}
	}
	slices.SortFunc(list, func(x, y doubt) int {
		return cmp.Or(cmp.Compare(x.since, y.since), cmp.Compare(x.name, y.name))
	})
	most := min(int(math.Ceil(sum-0.25)), max(1, int(t.params.MaxDoubtfulShare*float64(len(names)))))
	out := map[string]bool{}
	for _, d := range list[:min(most, len(list))] {
		out[d.name] = true
	}
	return out
}

// RentLimit returns how many of count machines of a kind may be rented now: all of them if the
// kind is trusted, otherwise one at a time.
func (t *Tracker) RentLimit(now time.Duration, kind Kind, count int) int {
	switch {
	case t.NewMachineChance(now, kind) >= t.params.TrustChance:
		return count
	case t.hasPunctualBoot(now, kind):
		return 0
	}
	return min(count, 1)
}

// Request is a kind that can be rented and the number of machines wanted of it.
type Request struct {
	Kind  Kind
	Count int
}

// Choose returns the index of the first request of which machines may be rented now, and how
// many. If no kind is trusted and one machine of each is already booting, it returns half of the
// count, rounded up, of the kind that is most likely to come up, because boots may be slow
// everywhere. The index is -1 if there is nothing to rent.
func (t *Tracker) Choose(now time.Duration, requests []Request) (index, count int) {
	best, chance := -1, 0.0
	for i, a := range requests {
		if n := t.RentLimit(now, a.Kind, a.Count); n > 0 {
			return i, n
		}
		if p := t.NewMachineChance(now, a.Kind); p > chance {
			best, chance = i, p
		}
	}
	if best < 0 {
		return -1, 0
	}
	return best, (requests[best].Count + 1) / 2
}

// hasPunctualBoot reports whether a machine of a kind is booting and still within the horizon.
func (t *Tracker) hasPunctualBoot(now time.Duration, kind Kind) bool {
	if t.bootingByKind[kind] == 0 {
		return false
	}
	for _, m := range t.booting {
		if m.kind == kind && m.bootRatio(now) <= t.params.HorizonRatio {
			return true
		}
	}
	return false
}
