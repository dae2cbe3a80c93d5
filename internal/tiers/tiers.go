// Package tiers puts jobs on rungs: what stands on a higher rung is served before all that
// stands beneath. The rung of a job follows from two records, the ladder's and the job's own,
// and its place on the rung from a number that was written with its acceptance, so whoever
// has the same records serves in the same order.
//
// Pure.
package tiers

import (
	"cmp"
	"encoding/hex"
	"fmt"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/barrowbridge/barrowbridge/wire"
)

// MostRungs and MostNames bound a ladder: rungs, and names of a kind on one.
const (
	MaxTiers = 32
	MaxNames = 64
)

// Priorities, from the top; services go first among what cannot wait.
var beneath = []wire.Rung{
	{Name: "production services", Priorities: []string{"production"}, Shapes: []string{wire.ShapeService}},
	{Name: "production", Priorities: []string{"production"}},
	{Name: "urgent services", Priorities: []string{"urgent"}, Shapes: []string{wire.ShapeService}},
	{Name: "urgent", Priorities: []string{"urgent"}},
	{Name: "normal", Priorities: []string{"normal"}},
	{Name: "idle", Priorities: []string{"idle"}},
}

// Ladder is one version of the order.
type Order struct {
	rungs []wire.Rung
	own   int // rungs that operators have named
}

// Of reads a record; beneath its rungs stand those that come from priorities.
func NewOrder(rec wire.Ladder) *Order {
	return &Order{append(slices.Clone(rec.Rungs), beneath...), len(rec.Rungs)}
}

// Plain tells whether nobody has named a rung: all then goes by priority.
func (l *Order) PriorityOnly() bool { return l.own == 0 }

// Rungs lists all rungs, top down.
func (l *Order) Tiers() []wire.Rung { return l.rungs }

// Place is a job's rung, counted from the top.
func (l *Order) TierIndex(j *wire.Job) int {
	for i := range l.rungs {
		if selects(&l.rungs[i], j) {
			return i
		}
	}
	return len(l.rungs)
}

// Rank is the same counted from below: higher is served first.
func (l *Order) Rank(j *wire.Job) int { return len(l.rungs) - l.TierIndex(j) }

// Named tells whether a rank is that of a rung that operators have named.
func (l *Order) OperatorDefined(rank int) bool { return rank > len(l.rungs)-l.own }

func selects(r *wire.Rung, j *wire.Job) bool {
	in := func(list []string, s string) bool { return len(list) == 0 || slices.Contains(list, s) }
	return in(r.Classes, j.Class) && (in(r.Teams, j.Team) || slices.Contains(r.Teams, "*")) && in(r.Priorities, j.Priority) && in(r.Shapes, j.Shape)
}

// Older orders jobs of one rung: by the number written with their acceptance, or as the last job
// that they waited for was done. Jobs accepted by versions that wrote none go by the day's time,
// before all others.
func Older(a, b *wire.Job) bool {
	return cmp.Or(cmp.Compare(a.Number, b.Number), cmp.Compare(a.ReadySince(), b.ReadySince()), cmp.Compare(a.ID, b.ID)) < 0
}

// Order lists jobs in the order of rung and number, with a digest of all of it.
func (l *Order) SortJobs(jobs []*wire.Job) (list []wire.JobPlace, digest string) {
	sorted := slices.Clone(jobs)
	slices.SortFunc(sorted, func(a, b *wire.Job) int {
		if c := cmp.Compare(l.TierIndex(a), l.TierIndex(b)); c != 0 {
			return c
		}
		if Older(a, b) {
			return -1
		}
		return 1
	})
	h := xxhash.New()
	for _, j := range sorted {
		name := "none"
		if i := l.TierIndex(j); i < len(l.rungs) {
			name = l.rungs[i].Name
		}
		list = append(list, wire.JobPlace{Job: j.ID, Rung: name, Number: j.Number})
		_, _ = fmt.Fprintf(h, "%s %s %d\n", j.ID, name, j.Number)
	}
	return list, hex.EncodeToString(h.Sum(nil))
}

// Revise is a ladder's record with other rungs, put there at a controller now; the last keep of
// those that it has had stand in its history. ver is the version of the record it replaces.
func Revise(old wire.Ladder, ver uint64, rungs []wire.Rung, now time.Time, node string, keep int) wire.Ladder {
	rec := wire.Ladder{Rungs: rungs, History: slices.Clone(old.History)}
	if ver > 0 || len(old.Rungs) > 0 {
		was := wire.LadderChange{Version: ver, AtMS: now.UnixMilli(), Node: node, Rungs: []string{}}
		for _, r := range old.Rungs {
			was.Rungs = append(was.Rungs, r.Name)
		}
		rec.History = append(rec.History, was)
	}
	rec.History = rec.History[max(0, len(rec.History)-keep):]
	return rec
}

// Check tells in one line what is wrong with rungs.
func Validate(rungs []wire.Rung, team func(string) bool) error {
	if len(rungs) > MaxTiers {
		return fmt.Errorf("rungs: at most %d, got %d", MaxTiers, len(rungs))
	}
	names, classes := map[string]bool{}, map[string]string{}
	for _, r := range beneath {
		names[r.Name] = true
	}
	for i, r := range rungs {
		at := fmt.Sprintf("rung %d", i+1)
		switch {
		case r.Name == "" || len(r.Name) > 64:
			return fmt.Errorf("%s: name: must have 1 to 64 bytes", at)
		case names[r.Name]:
			return fmt.Errorf("%s: name: %q stands twice, or is one that comes from priorities", at, r.Name)
		case len(r.Classes)+len(r.Teams)+len(r.Priorities)+len(r.Shapes) == 0:
			return fmt.Errorf("%s: %q selects everything", at, r.Name)
		case len(r.Classes) > MaxNames || len(r.Teams) > MaxNames:
			return fmt.Errorf("%s: at most %d classes and teams", at, MaxNames)
		case len(r.Classes) > 0 && len(r.Teams) == 0:
			return fmt.Errorf("%s: classes: name the teams too, or any team climbs by naming the class; \"*\" stands for all", at)
		}
		names[r.Name] = true
		for _, c := range r.Classes {
			if other := classes[c]; other != "" {
				return fmt.Errorf("%s: classes: %q stands on rung %q already", at, c, other)
			}
			classes[c] = r.Name
		}
		for _, t := range r.Teams {
			if t != "*" && !team(t) {
				return fmt.Errorf("%s: teams: %q is not known", at, t)
			}
		}
		for _, p := range r.Priorities {
			if wire.PriorityRank(p) < 0 {
				return fmt.Errorf("%s: priorities: must be production, urgent, normal or idle, got %q", at, p)
			}
		}
		for _, s := range r.Shapes {
			if s != wire.ShapeBatch && s != wire.ShapeService {
				return fmt.Errorf("%s: shapes: must be batch or service, got %q", at, s)
			}
		}
	}
	return nil
}

// Shorter leaves the oldest change out of a record, and tells whether there was one.
func DropOldestChange(l *wire.Ladder) bool {
	if len(l.History) == 0 {
		return false
	}
	l.History = l.History[1:]
	return true
}
