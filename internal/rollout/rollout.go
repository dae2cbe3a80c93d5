// Package rollout decides which features may be used while controllers of several versions run
// side by side. A version that does not know a record ignores it, and a version that does not
// know a field drops it when it writes the record again. So anything that only newer versions
// understand is used only once every controller is known to understand it.
//
// "Known" means recorded: a controller that is down may come back as the version that it ran
// before, even if it died before its turn in an upgrade. Each incarnation therefore records its
// features in the state service, where they outlast it, and a controller without a record counts
// as one that understands nothing.
//
// The package is a plain data structure: no clock, no I/O, not safe for concurrent use.
package rollout

import (
	"slices"

	"github.com/barrowbridge/barrowbridge/wire"
)

// Features that not all versions understand. The name of a feature is never reused for another
// one.
const (
	// Chains allows jobs that await other jobs.
	Chains = "chains"
	// ProgressRecords allows additional records for the progress of large jobs.
	ProgressRecords = "progress-records"
)

// Features returns the features that this version understands.
func Features() []string { return []string{Chains, ProgressRecords} }

// Incarnation describes the running process of this controller.
type Incarnation struct {
	Node     string
	Boot     uint64
	Version  string // of the program
	Features []string
}

// Tracker holds what is known about the features of the controllers.
type Tracker struct {
	features   []string // features known to this version
	configured []string // all controllers in the settings, sorted
	present    map[string]wire.Node
	recorded   map[string]wire.Version
	announced  map[string]bool // state last returned by ChangedFeatures
}

// New returns a tracker for the given features, the controllers in the settings and the present
// controllers. The caller keeps the map of present controllers up to date.
func New(features, configured []string, present map[string]wire.Node) *Tracker {
	return &Tracker{
		features:   features,
		configured: configured,
		present:    present,
		recorded:   map[string]wire.Version{},
		announced:  map[string]bool{},
	}
}

// Remember stores the record of a controller; an empty record means that there is none.
func (t *Tracker) Remember(node string, v wire.Version) {
	if t.recorded[node] = v; v.Boot == 0 {
		delete(t.recorded, node)
	}
}

// ControllersLacking returns the controllers that are not known to understand a feature, sorted:
// configured controllers without a record of it, and present controllers that do not announce it.
// A present controller that is not in the settings counts too, because it acts on the same
// records.
func (t *Tracker) ControllersLacking(feature string) []string {
	var lacking []string
	for _, n := range t.configured {
		if !slices.Contains(t.recorded[n].Features, feature) {
			lacking = append(lacking, n)
		}
	}
	for n, r := range t.present {
		if !slices.Contains(r.Features, feature) && !slices.Contains(lacking, n) {
			lacking = append(lacking, n)
		}
	}
	slices.Sort(lacking)
	return lacking
}

// Enabled reports whether a feature may be used for something new: no controller lacks it. It is
// called for each task of each report, so it does not allocate a list.
func (t *Tracker) Enabled(feature string) bool {
	for _, n := range t.configured {
		if !slices.Contains(t.recorded[n].Features, feature) {
			return false
		}
	}
	for _, r := range t.present {
		if !slices.Contains(r.Features, feature) {
			return false
		}
	}
	return true
}

// DueRecord returns the record that this controller must write next, if any, and the controller
// that it is about. Each incarnation that understands any feature writes its own record once. An
// incarnation that understands none writes none, so a record of an earlier incarnation of the
// same controller would count again as soon as it is down. For such a controller the first
// present controller by name that understands any feature writes a record without features
// instead.
//
// The write must compare both the presence that it is based on and the record that it replaces.
// Then a late write of an earlier incarnation fails, whatever the state is by then.
func (t *Tracker) DueRecord(self Incarnation) (node string, record wire.Version, due bool) {
	if p, up := t.present[self.Node]; !up || p.Boot != self.Boot || len(self.Features) == 0 {
		return "", wire.Version{}, false
	}
	if t.recorded[self.Node].Boot != self.Boot {
		return self.Node, wire.Version{Boot: self.Boot, Features: self.Features, Version: self.Version}, true
	}
	for n, p := range t.present {
		if n < self.Node && len(p.Features) > 0 {
			return "", wire.Version{}, false
		}
	}
	for _, n := range t.configured {
		p, up := t.present[n]
		if r, known := t.recorded[n]; up && len(p.Features) == 0 && known && r.Boot != p.Boot {
			return n, wire.Version{Boot: p.Boot}, true
		}
	}
	return "", wire.Version{}, false
}

// ChangedFeatures returns the features that have been enabled or disabled since the last call;
// the first call returns all.
func (t *Tracker) ChangedFeatures() []wire.FeatureView {
	var changed []wire.FeatureView
	for _, f := range t.features {
		on := t.Enabled(f)
		if was, known := t.announced[f]; !known || was != on {
			t.announced[f] = on
			changed = append(changed, t.featureView(f))
		}
	}
	return changed
}

func (t *Tracker) featureView(feature string) wire.FeatureView {
	lacking := t.ControllersLacking(feature)
	return wire.FeatureView{Feature: feature, On: len(lacking) == 0, HeldFor: lacking}
}

// View returns the versions and features of all controllers, for operators.
func (t *Tracker) View(node string) wire.VersionView {
	names := slices.Clone(t.configured)
	for n := range t.present {
		if !slices.Contains(names, n) {
			names = append(names, n)
		}
	}
	slices.Sort(names)
	view := wire.VersionView{Node: node}
	for _, f := range t.features {
		view.Features = append(view.Features, t.featureView(f))
	}
	for _, n := range names {
		p, up := t.present[n]
		r := t.recorded[n]
		c := wire.ControllerVersion{Node: n, Present: up, Boot: r.Boot, Version: r.Version, Features: r.Features}
		if up && p.Boot != r.Boot { // the record is of another incarnation
			c.Boot, c.Version, c.Features = p.Boot, "", p.Features
		}
		view.Controllers = append(view.Controllers, c)
	}
	return view
}
