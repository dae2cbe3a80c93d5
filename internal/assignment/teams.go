package assignment

import (
	"cmp"
	"maps"
	"slices"
)

// AssignTeams distributes teams over a number of shards by their guarantees in CPUs: in descending
// order, each to the shard with the lowest sum so far. It returns the teams of each shard.
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
