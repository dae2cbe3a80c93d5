// Package assignment decides which controller holds a shard. A holder that is cut off from its
// workers transfers the shard to a controller that reaches them, long before a lease ends. Shards
// are not transferred in an outage that affects all controllers, nor because of a flapping link.
//
// The decisions are pure functions of the controllers' reachability reports, which a Tracker keeps.
// No clock, no I/O, not for concurrent use.
package assignment

import (
	"slices"
	"time"

	"github.com/barrowbridge/barrowbridge/wire"
)

// Reach is how many of a shard's machines a controller reaches, out of a sample that stands for all
// of them.
type Reach struct{ Total, Reached int }

// share returns the reached share, 0 for an empty sample.
func (r Reach) share() float64 {
	if r.Total == 0 {
		return 0
	}
	return float64(r.Reached) / float64(r.Total)
}

// Member is a controller that is present in the state service, which means that it reaches the state
// service, directly or through others.
type Member struct {
	Node       string
	Zone       string
	HeldShards int
	// LacksWorkers: it reports that it is cut off from the workers.
	LacksWorkers bool
	// Reach is what it reports about the shard in question; nil without a report.
	Reach *Reach
	// ReachesCloud: the cloud has answered it recently.
	ReachesCloud bool
	// Reachable: it and the holder can exchange messages, so workers' reports reach the holder
	// through it.
	Reachable bool
}

// Rules are the conditions for transferring a shard.
type Rules struct {
	// MinGain is the share of the machines that a new holder must reach beyond the share that
	// the present one reaches. After a transfer every machine has to be accounted for again, and
	// the tasks that wait for that make no progress meanwhile.
	MinGain float64
	// SilentAfter is how long none or few of the machines have reported before the holder
	// transfers the shard.
	SilentAfter time.Duration
}

// TransferTarget returns the member to which a holder transfers a shard whose machines have been
// silent for that long, or "" to keep it. The shard stays if a member that reaches the machines can
// also exchange messages with the holder: it relays their reports, which needs no transfer.
func (r Rules) TransferTarget(own Reach, silent time.Duration, home string, zones map[string]string, others []Member) string {
	if silent < r.SilentAfter {
		return ""
	}
	var candidates []Member
	for _, m := range others {
		if m.LacksWorkers || m.Reach == nil || m.Reach.share() < own.share()+r.MinGain {
			continue
		}
		if m.Reachable {
			return ""
		}
		candidates = append(candidates, m)
	}
	return bestMember(candidates, home, zones)
}

// Successor returns the member that takes over the shard of a holder that is gone, or "" without
// members. Members that reach workers come before all others; among them one with few shards, the
// home and members in the home's zone are preferred, as bestMember weighs them.
func Successor(home string, zones map[string]string, members []Member) string {
	var candidates []Member
	for _, m := range members {
		if !m.LacksWorkers {
			candidates = append(candidates, m)
		}
	}
	if len(candidates) == 0 {
		candidates = members
	}
	return bestMember(candidates, home, zones)
}

// NextLeader returns the controller to which a leader that does not reach the cloud leaves
// leadership, or "" if none reaches the cloud. One that also reaches workers is preferred.
func NextLeader(others []Member) string {
	name, lacksWorkers := "", true
	for _, m := range others {
		if m.ReachesCloud && (name == "" || lacksWorkers && !m.LacksWorkers) {
			name, lacksWorkers = m.Node, m.LacksWorkers
		}
	}
	return name
}

// MayReturnHome reports whether a shard may be returned to its home, which has been present for that
// long. It may not while the home lacks workers or holds another shard, nor while many of the shard's
// machines are missing, because the new holder would have to wait for each of them again.
func (r Rules) MayReturnHome(home Member, manyMissing bool, presentFor, returnAfter time.Duration) bool {
	return !home.LacksWorkers && home.HeldShards == 0 && !manyMissing && presentFor > returnAfter
}

// Reacquired reports whether another controller held a shard between two versions of its record that
// name the same incarnation of the same holder. Each change of holder adds the previous incarnation
// to Past or, if all machines were accounted for, starts that list anew and clears Settled. Once
// there are too many incarnations to list, Past no longer shows a change. Then an unsettled version
// with the same teams does: a holder itself writes only that the shard is settled, and a leader only
// that it has other teams.
func Reacquired(old, now wire.Shard) bool {
	return old.Settled && !now.Settled || !slices.Equal(old.Past, now.Past) || old.Known && !now.Known ||
		!now.Settled && slices.Equal(old.Teams, now.Teams)
}

// bestMember returns the member with the lowest score, or "" without members. A shard held counts 2,
// another zone than the home's 1, being the home -4; the reached share decides between equals, then
// the name.
func bestMember(members []Member, home string, zones map[string]string) string {
	name, bestScore := "", 0.0
	for _, m := range members {
		memberScore := 2 * float64(m.HeldShards)
		if m.Zone != zones[home] {
			memberScore++
		}
		if m.Node == home {
			memberScore -= 4
		}
		if m.Reach != nil {
			memberScore -= m.Reach.share() / 2 // less than any other difference
		}
		if name == "" || memberScore < bestScore || memberScore == bestScore && m.Node < name {
			name, bestScore = m.Node, memberScore
		}
	}
	return name
}
