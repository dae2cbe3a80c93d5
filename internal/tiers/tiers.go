// Package tiers assigns jobs to tiers. Jobs on a higher tier are served before all jobs on the tiers
// below it. A job's tier follows from two records, the tier order's and the job's own, and its
// position within the tier from a number that was written when it was accepted. Controllers that
// have the same records therefore serve jobs in the same order.
//
// The package has no clock and no I/O.
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

// MaxTiers and MaxNames bound a tier order: the number of tiers, and the number of classes and of
// teams named on one tier.
const (
	MaxTiers = 32
	MaxNames = 64
)

// priorityTiers are the tiers that come from job priorities, from the top. They are below the tiers
// that operators have defined. Among urgent and production work, services go first.
var priorityTiers = []wire.Tier{
	{Name: "production services", Priorities: []string{"production"}, Shapes: []string{wire.ShapeService}},
	{Name: "production", Priorities: []string{"production"}},
	{Name: "urgent services", Priorities: []string{"urgent"}, Shapes: []string{wire.ShapeService}},
	{Name: "urgent", Priorities: []string{"urgent"}},
	{Name: "normal", Priorities: []string{"normal"}},
	{Name: "idle", Priorities: []string{"idle"}},
}

// Order is one version of the tier order.
type Order struct {
	tiers           []wire.Tier
	operatorDefined int // number of tiers that operators have defined
}

// NewOrder returns the order that a record describes: its tiers, and below them those that come from
// priorities.
func NewOrder(record wire.TierOrder) *Order {
	return &Order{append(slices.Clone(record.Tiers), priorityTiers...), len(record.Tiers)}
}

// PriorityOnly reports whether operators have defined no tier, so that jobs are ordered by priority
// alone.
func (o *Order) PriorityOnly() bool { return o.operatorDefined == 0 }

// Tiers returns all tiers, from the top.
func (o *Order) Tiers() []wire.Tier { return o.tiers }

// TierIndex returns the index of a job's tier, counted from the top.
func (o *Order) TierIndex(j *wire.Job) int {
	for i := range o.tiers {
		if matches(&o.tiers[i], j) {
			return i
		}
	}
	return len(o.tiers)
}

// Rank returns the rank of a job's tier, counted from the bottom: higher ranks are served first.
func (o *Order) Rank(j *wire.Job) int { return len(o.tiers) - o.TierIndex(j) }

// OperatorDefined reports whether a rank is that of a tier that operators have defined.
func (o *Order) OperatorDefined(rank int) bool { return rank > len(o.tiers)-o.operatorDefined }

// matches reports whether a job has what a tier names. Where the tier names nothing, every job does.
func matches(tier *wire.Tier, j *wire.Job) bool {
	in := func(list []string, s string) bool { return len(list) == 0 || slices.Contains(list, s) }
	return in(tier.Classes, j.Class) &&
		(in(tier.Teams, j.Team) || slices.Contains(tier.Teams, "*")) &&
		in(tier.Priorities, j.Priority) &&
		in(tier.Shapes, j.Shape)
}

// Older reports whether a goes before b on the same tier. Jobs are ordered by the number written
// when they were accepted, or when the last job that they depended on was done. Jobs accepted by
// versions that wrote no number go before all others, by wall-clock time.
func Older(a, b *wire.Job) bool {
	return cmp.Or(cmp.Compare(a.Number, b.Number), cmp.Compare(a.ReadySince(), b.ReadySince()), cmp.Compare(a.ID, b.ID)) < 0
}

// SortJobs returns the jobs in the order of tier and number, and a digest of that list.
func (o *Order) SortJobs(jobs []*wire.Job) (places []wire.JobPlace, digest string) {
	sorted := slices.Clone(jobs)
	slices.SortFunc(sorted, func(a, b *wire.Job) int {
		if c := cmp.Compare(o.TierIndex(a), o.TierIndex(b)); c != 0 {
			return c
		}
		if Older(a, b) {
			return -1
		}
		return 1
	})
	hash := xxhash.New()
	for _, j := range sorted {
		name := "none"
		if i := o.TierIndex(j); i < len(o.tiers) {
			name = o.tiers[i].Name
		}
		places = append(places, wire.JobPlace{Job: j.ID, Tier: name, Number: j.Number})
		_, _ = fmt.Fprintf(hash, "%s %s %d\n", j.ID, name, j.Number)
	}
	return places, hex.EncodeToString(hash.Sum(nil))
}

// Revise returns the record of a tier order with new tiers, as changed at a controller now. version
// is the version of the record that it replaces. The history of the new record has at most keep
// changes, the latest ones.
func Revise(old wire.TierOrder, version uint64, tiers []wire.Tier, now time.Time, node string, keep int) wire.TierOrder {
	revised := wire.TierOrder{Tiers: tiers, History: slices.Clone(old.History)}
	if version > 0 || len(old.Tiers) > 0 {
		replaced := wire.TierOrderChange{Version: version, AtMS: now.UnixMilli(), Node: node, Tiers: []string{}}
		for _, tier := range old.Tiers {
			replaced.Tiers = append(replaced.Tiers, tier.Name)
		}
		revised.History = append(revised.History, replaced)
	}
	revised.History = revised.History[max(0, len(revised.History)-keep):]
	return revised
}

// Validate returns an error of one line that names the first fault in tiers, or nil.
func Validate(tiers []wire.Tier, knownTeam func(string) bool) error {
	if len(tiers) > MaxTiers {
		return fmt.Errorf("rungs: at most %d, got %d", MaxTiers, len(tiers))
	}
	names, classes := map[string]bool{}, map[string]string{}
	for _, tier := range priorityTiers {
		names[tier.Name] = true
	}
	for index, tier := range tiers {
		position := fmt.Sprintf("rung %d", index+1)
		switch {
		case tier.Name == "" || len(tier.Name) > 64:
			return fmt.Errorf("%s: name: must have 1 to 64 bytes", position)
		case names[tier.Name]:
			return fmt.Errorf("%s: name: %q stands twice, or is one that comes from priorities", position, tier.Name)
		case len(tier.Classes)+len(tier.Teams)+len(tier.Priorities)+len(tier.Shapes) == 0:
			return fmt.Errorf("%s: %q selects everything", position, tier.Name)
		case len(tier.Classes) > MaxNames || len(tier.Teams) > MaxNames:
			return fmt.Errorf("%s: at most %d classes and teams", position, MaxNames)
		case len(tier.Classes) > 0 && len(tier.Teams) == 0:
			return fmt.Errorf("%s: classes: name the teams too, or any team climbs by naming the class; \"*\" stands for all", position)
		}
		names[tier.Name] = true
		for _, class := range tier.Classes {
			if other := classes[class]; other != "" {
				return fmt.Errorf("%s: classes: %q stands on rung %q already", position, class, other)
			}
			classes[class] = tier.Name
		}
		for _, team := range tier.Teams {
			if team != "*" && !knownTeam(team) {
				return fmt.Errorf("%s: teams: %q is not known", position, team)
			}
		}
		for _, priority := range tier.Priorities {
			if wire.PriorityRank(priority) < 0 {
				return fmt.Errorf("%s: priorities: must be production, urgent, normal or idle, got %q", position, priority)
			}
		}
		for _, shape := range tier.Shapes {
			if shape != wire.ShapeBatch && shape != wire.ShapeService {
				return fmt.Errorf("%s: shapes: must be batch or service, got %q", position, shape)
			}
		}
	}
	return nil
}

// DropOldestChange removes the oldest change from a record's history, and reports whether there was
// one.
func DropOldestChange(record *wire.TierOrder) bool {
	if len(record.History) == 0 {
		return false
	}
	record.History = record.History[1:]
	return true
}
