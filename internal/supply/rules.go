package supply

import (
	"maps"
	"slices"

	"github.com/barrowbridge/barrowbridge/internal/ledger"
	"github.com/barrowbridge/barrowbridge/wire"
)

// AllowsType reports whether a list of machine types has t. An empty list has any type.
func AllowsType(types []string, machineType string) bool {
	return len(types) == 0 || slices.Contains(types, machineType)
}

// Allows reports whether a job's tasks may run on machines of this type, zone and kind.
func Allows(job *wire.Job, kind ledger.Kind) bool {
	return AllowsType(job.Types, kind.Type) && (job.Zone == "" || kind.Zone == job.Zone) && (!kind.Spot || job.Spot)
}

// KindFilter returns a function that reports whether a job's next task may be placed on a kind of
// machine. zones is the number of the job's other tasks in each zone, and chosen the zone of a gang
// that has to run in a single one.
func KindFilter(job *wire.Job, chosen string, zones map[string]int) func(ledger.Kind) bool {
	return func(kind ledger.Kind) bool {
		switch {
		case !Allows(job, kind):
			return false
		case job.OneZone && len(zones) > 0 && zones[kind.Zone] == 0:
			return false
		case job.Shape == wire.ShapeGang && job.OneZone && kind.Zone != chosen:
			return false
		case job.Spread && zones[kind.Zone]+1 > (job.Tasks+1)/2:
			return false
		}
		return true
	}
}

// GangFits reports whether the waiting tasks of a gang all fit at once, and for a gang that has to
// run in a single zone returns that zone. slots is how many of its tasks fit in each zone. Each zone
// is tried alone in that case, because the place of the first task determines the zone of the
// others.
func GangFits(job *wire.Job, waiting int, slots map[string]int) (zone string, ok bool) {
	total := 0
	for _, candidate := range slices.Sorted(maps.Keys(slots)) {
		switch {
		case job.OneZone:
			if slots[candidate] >= waiting {
				return candidate, true
			}
		case job.Spread:
			total += min(slots[candidate], (job.Tasks+1)/2)
		default:
			total += slots[candidate]
		}
	}
	return "", total >= waiting
}

// FetchAndBootBounds returns the highest fetch rate, in GB/s, and the longest boot, in seconds, of
// the allowed machine types.
func FetchAndBootBounds(types map[string]wire.MachineType, allowed []string) (fetch, boot float64) {
	for name, t := range types {
		if AllowsType(allowed, name) {
			fetch, boot = max(fetch, t.FetchGBps), max(boot, t.BootS)
		}
	}
	return fetch, boot
}
