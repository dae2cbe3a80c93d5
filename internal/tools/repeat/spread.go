package main

import (
	"encoding/json"
	"fmt"
	"slices"
	"sort"
	"strings"
)

// run is the outcome of one day of the bench.
type run struct {
	Task  string             `json:"task"`
	Site  string             `json:"site"`
	Day   string             `json:"day"`
	Worth float64            `json:"worth"`
	Aims  map[string]float64 `json:"aims"`
	Rules map[string]int     `json:"rules"` // broken rule -> number of times
	Fault string             `json:"fault"`
	WallS float64            `json:"wall_s"` // duration of the bench's run, in seconds
}

func (r run) key() string { return r.Site + " " + r.Day }

// broken reports whether a run broke a rule or was not valid.
func (r run) broken() bool { return len(r.Rules) > 0 || r.Fault != "" }

// entry is the part of a bench's journal entry that is read.
type entry struct {
	Site string `json:"site"`
	Days []struct {
		G     float64           `json:"G"`
		Name  string            `json:"name"`
		Site  string            `json:"site"`
		Rules map[string]int    `json:"rules"`
		Fault any               `json:"fault"`
		Aims  []json.RawMessage `json:"aims"`
		WallS float64           `json:"wall_s"`
	} `json:"days"`
}

func parseEntry(task string, b []byte) ([]run, error) {
	var e entry
	if err := json.Unmarshal(b, &e); err != nil {
		return nil, fmt.Errorf("journal entry: %w", err)
	}
	var out []run
	for _, d := range e.Days {
		r := run{Task: task, Site: d.Site, Day: d.Name, Worth: d.G, Aims: map[string]float64{}, Rules: d.Rules, WallS: d.WallS}
		if r.Site == "" {
			r.Site = e.Site
		}
		if d.Fault != nil {
			r.Fault = fmt.Sprint(d.Fault)
		}
		for _, raw := range d.Aims {
			var pair []any
			if json.Unmarshal(raw, &pair) != nil || len(pair) < 2 {
				return nil, fmt.Errorf("journal entry: aim %s", raw)
			}
			text, _ := pair[0].(string)
			worth, _ := pair[1].(float64)
			name, _, _ := strings.Cut(text, ":")
			r.Aims[name] = worth
		}
		out = append(out, r)
	}
	if out == nil {
		return nil, fmt.Errorf("journal entry: no day in it")
	}
	return out, nil
}

func byDay(runs []run) map[string][]run {
	out := map[string][]run{}
	for _, r := range runs {
		out[r.key()] = append(out[r.key()], r)
	}
	return out
}

// median returns the median of the scores of a day. Runs that broke a rule are
// included with their score of 0, so that a day that mostly fails shows it.
func median(v []float64) float64 {
	v = slices.Sorted(slices.Values(v))
	n := len(v)
	if n%2 == 1 {
		return v[n/2]
	}
	return (v[n/2-1] + v[n/2]) / 2
}

// outliers returns the runs that are broken or whose score is more than fall below
// the median of their day, sorted by task.
func outliers(runs []run, fall float64) (out []run) {
	for _, day := range byDay(runs) {
		var v []float64
		for _, r := range day {
			v = append(v, r.Worth)
		}
		m := median(v)
		for _, r := range day {
			if r.broken() || r.Worth < m-fall {
				out = append(out, r)
			}
		}
	}
	sort.Slice(out, func(i, j int) bool { return out[i].Task < out[j].Task })
	return out
}

func summary(runs []run, fall float64) string {
	var b strings.Builder
	days := byDay(runs)
	var keys []string
	for k := range days {
		keys = append(keys, k)
	}
	sort.Strings(keys)
	for _, k := range keys {
		values, took := map[string][]float64{}, []float64{}
		for _, r := range days[k] {
			values["worth"] = append(values["worth"], r.Worth)
			took = append(took, r.WallS)
			for a, v := range r.Aims {
				values[a] = append(values[a], v)
			}
		}
		fmt.Fprintf(&b, "%s: %d runs, %.0f to %.0f s each\n", k, len(days[k]), slices.Min(took), slices.Max(took))
		var names []string
		for a := range values {
			names = append(names, a)
		}
		sort.Strings(names)
		for _, a := range names {
			v := values[a]
			fmt.Fprintf(&b, "  %-40s %.3f %.3f %.3f\n", a, slices.Min(v), median(v), slices.Max(v))
		}
	}
	for _, r := range outliers(runs, fall) {
		fmt.Fprintf(&b, "fell out: %s %s %.3f rules %v %s\n", r.Task, r.key(), r.Worth, r.Rules, r.Fault)
	}
	return b.String()
}
