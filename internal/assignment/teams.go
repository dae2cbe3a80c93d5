package assignment

import (
	"cmp"
	"maps"
	"slices"
)

// ShareTeams spreads teams over n shards by their guarantees in CPUs: the largest first,
// each to the shard with the least so far.
func AssignTeams(guarantees map[string]float64, shards int) [][]string {
	assigned, load := make([][]string, shards), make([]float64, shards)
	names := slices.Sorted(maps.Keys(guarantees))
	slices.SortStableFunc(names, func(a, b string) int { return cmp.Compare(guarantees[b], guarantees[a]) })
	for _, team := range names {
		least := 0
		for i := range load {
			if load[i] < load[least] {
				least = i
			}
		}
		assigned[least] = append(assigned[least], team)
		load[least] += guarantees[team] + 1
	}
	return assigned
}
