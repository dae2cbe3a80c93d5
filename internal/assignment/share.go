package assignment

import (
	"cmp"
	"maps"
	"slices"
)

// ShareTeams spreads teams over n shards by their guarantees in CPUs: the largest first,
// each to the shard with the least so far.
func ShareTeams(guarantees map[string]float64, n int) [][]string {
	out, load := make([][]string, n), make([]float64, n)
	names := slices.Sorted(maps.Keys(guarantees))
	slices.SortStableFunc(names, func(a, b string) int { return cmp.Compare(guarantees[b], guarantees[a]) })
	for _, t := range names {
		k := 0
		for i := range load {
			if load[i] < load[k] {
				k = i
			}
		}
		out[k] = append(out[k], t)
		load[k] += guarantees[t] + 1
	}
	return out
}
