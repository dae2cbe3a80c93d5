package supply

import (
	"maps"
	"slices"

	"github.com/barrowbridge/barrowbridge/internal/ledger"
	"github.com/barrowbridge/barrowbridge/wire"
)

// AllowsType tells whether a list of machine types, where empty means any, has one.
func AllowsType(types []string, t string) bool { return len(types) == 0 || slices.Contains(types, t) }

// Allows tells whether a job's tasks may run on machines of this type, zone and kind.
func Allows(j *wire.Job, k ledger.Kind) bool {
	return AllowsType(j.Types, k.Type) && (j.Zone == "" || k.Zone == j.Zone) && (!k.Spot || j.Spot)
}

// Kinds tells which kinds of machines a job's next task may be placed on, with so many of its others in
// each zone. chosen is the zone of a gang that has to be in one.
func KindFilter(j *wire.Job, chosen string, zones map[string]int) func(ledger.Kind) bool {
	return func(k ledger.Kind) bool {
		switch {
		case !Allows(j, k):
			return false
		case j.OneZone && len(zones) > 0 && zones[k.Zone] == 0:
			return false
		case j.Shape == wire.ShapeGang && j.OneZone && k.Zone != chosen:
			return false
		case j.Spread && zones[k.Zone]+1 > (j.Tasks+1)/2:
			return false
		}
		return true
	}
}

// GangFits tells whether so many tasks of a gang find room at once, by how many each zone has room for,
// and in which zone if all have to be in one: each is tried alone, for the first task's place binds the rest.
func GangFits(j *wire.Job, waiting int, slots map[string]int) (zone string, ok bool) {
	total := 0
	for _, z := range slices.Sorted(maps.Keys(slots)) {
		switch {
		case j.OneZone:
			if slots[z] >= waiting {
				return z, true
			}
		case j.Spread:
			total += min(slots[z], (j.Tasks+1)/2)
		default:
			total += slots[z]
		}
	}
	return "", total >= waiting
}

// Speeds is how fast a machine of the types that are allowed fetches at best, GB/s, and how long one boots at
// worst, s.
func FetchAndBootBounds(types map[string]wire.MachineType, allowed []string) (fetch, boot float64) {
	for name, t := range types {
		if AllowsType(allowed, name) {
			fetch, boot = max(fetch, t.FetchGBps), max(boot, t.BootS)
		}
	}
	return fetch, boot
}
