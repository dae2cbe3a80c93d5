// Package rollout decides what may be used while controllers of several versions serve side by
// side. A version that does not know a record ignores it, and one that does not know a field
// drops it when it writes the record again; so whatever only newer versions understand is used
// once every controller is known to understand it.
//
// Known means remembered: a controller that is down may come back as the version that it ran
// before, also one that died before its turn in an upgrade. So each life writes down what it
// understands where it outlasts the life, and a controller of which nothing is written down
// counts as one that understands nothing.
//
// A plain structure: no clock, no I/O, not for concurrent use.
package rollout

import (
	"slices"

	"github.com/barrowbridge/barrowbridge/wire"
)

// Features that not all versions understand. A name is never used again for something else.
const (
	// Chains: jobs that await others.
	Chains = "chains"
	// ProgressRecords: the progress of large jobs in records of its own.
	ProgressRecords = "progress-records"
)

// Features lists what this version understands.
func Features() []string { return []string{Chains, ProgressRecords} }

// Life is this controller's own.
type Incarnation struct {
	Node     string
	Boot     uint64
	Version  string // of the program
	Features []string
}

// Book is what is known of the controllers.
type Tracker struct {
	features   []string // that this version knows of
	configured []string // every controller, sorted
	present    map[string]wire.Node
	recorded   map[string]wire.Version
	announced  map[string]bool // as last told by Turned
}

// New returns a book over the features that are asked for, the controllers of the settings, and
// those present, which the owner keeps.
func New(features, configured []string, present map[string]wire.Node) *Tracker {
	return &Tracker{features: features, configured: configured, present: present,
		recorded: map[string]wire.Version{}, announced: map[string]bool{}}
}

// Remember takes what is written down of a controller; an empty record: nothing.
func (b *Tracker) Remember(node string, v wire.Version) {
	if b.recorded[node] = v; v.Boot == 0 {
		delete(b.recorded, node)
	}
}

// Lack lists the controllers that are not known to understand a feature: those of the settings
// of which that is not written down, and those present that do not say so. One that is present
// and not in the settings counts too: it acts on the same records.
func (b *Tracker) ControllersLacking(feature string) []string {
	var lack []string
	for _, n := range b.configured {
		if !slices.Contains(b.recorded[n].Features, feature) {
			lack = append(lack, n)
		}
	}
	for n, r := range b.present {
		if !slices.Contains(r.Features, feature) && !slices.Contains(lack, n) {
			lack = append(lack, n)
		}
	}
	slices.Sort(lack)
	return lack
}

// On tells whether a feature may be used for something new: none lacks it. It is asked for each task
// of each report, so it makes no list.
func (b *Tracker) Enabled(feature string) bool {
	for _, n := range b.configured {
		if !slices.Contains(b.recorded[n].Features, feature) {
			return false
		}
	}
	for _, r := range b.present {
		if !slices.Contains(r.Features, feature) {
			return false
		}
	}
	return true
}

// Due is what is to be written down next: of which controller, and what. Each life that
// understands something writes its own record, once. One that understands nothing writes none,
// so what an earlier life of the same controller wrote would count again as soon as it is down:
// the first by name of those present that do understand something writes it for that one.
// The write must compare both the presence it is made from and the record that it replaces;
// then a late one of an earlier life fails whatever it finds.
func (b *Tracker) DueRecord(self Incarnation) (node string, rec wire.Version, due bool) {
	if p, up := b.present[self.Node]; !up || p.Boot != self.Boot || len(self.Features) == 0 {
		return "", wire.Version{}, false
	}
	if b.recorded[self.Node].Boot != self.Boot {
		return self.Node, wire.Version{Boot: self.Boot, Features: self.Features, Version: self.Version}, true
	}
	for n, p := range b.present {
		if n < self.Node && len(p.Features) > 0 {
			return "", wire.Version{}, false
		}
	}
	for _, n := range b.configured {
		p, up := b.present[n]
		if r, known := b.recorded[n]; up && len(p.Features) == 0 && known && r.Boot != p.Boot {
			return n, wire.Version{Boot: p.Boot}, true
		}
	}
	return "", wire.Version{}, false
}

// Turned lists the features that have been switched on or off since it was last asked.
func (b *Tracker) ChangedFeatures() []wire.FeatureView {
	var turned []wire.FeatureView
	for _, f := range b.features {
		on := b.Enabled(f)
		if was, told := b.announced[f]; !told || was != on {
			b.announced[f] = on
			turned = append(turned, b.featureView(f))
		}
	}
	return turned
}

func (b *Tracker) featureView(feature string) wire.FeatureView {
	lack := b.ControllersLacking(feature)
	return wire.FeatureView{Feature: feature, On: len(lack) == 0, HeldFor: lack}
}

// View is what operators are told.
func (b *Tracker) View(node string) wire.VersionView {
	names := slices.Clone(b.configured)
	for n := range b.present {
		if !slices.Contains(names, n) {
			names = append(names, n)
		}
	}
	slices.Sort(names)
	view := wire.VersionView{Node: node}
	for _, f := range b.features {
		view.Features = append(view.Features, b.featureView(f))
	}
	for _, n := range names {
		p, up := b.present[n]
		r := b.recorded[n]
		c := wire.ControllerVersion{Node: n, Present: up, Boot: r.Boot, Version: r.Version, Features: r.Features}
		if up && p.Boot != r.Boot { // its record is another life's
			c.Boot, c.Version, c.Features = p.Boot, "", p.Features
		}
		view.Controllers = append(view.Controllers, c)
	}
	return view
}
