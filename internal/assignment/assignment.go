// Package assignment decides which controller is to hold a shard: one that can do its work. A
// holder that is cut off from its workers while another controller reaches them gives the
// shard away, long before a lease ends; nobody gives anything away in an outage that all
// share, or for a link that comes and goes.
//
// Pure functions over what the controllers say of themselves.
package assignment

import (
	"slices"
	"time"

	"github.com/barrowbridge/barrowbridge/wire"
)

// Reach is how many of a shard's machines a controller reaches, of those it knows to
// speak for the rest.
type Reach struct{ Total, Reached int }

// share is the part reached.
func (r Reach) share() float64 {
	if r.Total == 0 {
		return 0
	}
	return float64(r.Reached) / float64(r.Total)
}

// Member is a controller that is present in the state service: it reaches that, by itself
// or through others, or it would not be.
type Member struct {
	Node       string
	Zone       string
	HeldShards int // shards it holds
	// Lacks: it is cut off from the workers, by its own word.
	LacksWorkers bool
	// Reaches: it reaches these of the shard in question, by its own word; nil: it has
	// said nothing of it.
	Reach *Reach
	// Cloud: the cloud has just answered it.
	ReachesCloud bool
	// Near: it and the holder can speak, so that reports reach the holder through it.
	Reachable bool
}

// Rules are what a move is weighed by.
type Rules struct {
	// Gain is by how much more of the machines another must reach: a move has each of them
	// accounted for anew, and the tasks that wait for that stand still meanwhile.
	MinGain float64
	// After is how long the holder has not heard its machines before it gives them away.
	SilentAfter time.Duration
}

// GiveTo is the member to whom a holder gives a shard whose machines it has not heard for
// so long, or "". Who can speak to the holder passes reports on, which costs no move.
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

// Successor is the member that takes over the shard of a holder that is gone: one that
// reaches workers, if there is any, with the fewest shards, home first, then in the home's
// zone.
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

// Leader is the controller to whom a leader without the cloud leaves its duty, or "": one
// that the cloud answers, and that reaches workers if there is such a one.
func NextLeader(others []Member) string {
	name, lacksWorkers := "", true
	for _, m := range others {
		if m.ReachesCloud && (name == "" || lacksWorkers && !m.LacksWorkers) {
			name, lacksWorkers = m.Node, m.LacksWorkers
		}
	}
	return name
}

// GoesHome tells whether a shard may go back to its home, present for so long: not while
// that says it is cut off from the workers, and not while many of the shard's machines are
// missed: each of them would have to be waited for anew.
func (r Rules) MayReturnHome(home Member, manyMissing bool, presentFor, returnAfter time.Duration) bool {
	return !home.LacksWorkers && home.HeldShards == 0 && !manyMissing && presentFor > returnAfter
}

// Regained tells whether between two versions of a shard's record that name the same life of the
// same holder another held it: each change of hands names the last life or, if all was
// accounted for, begins that list anew and takes the mark of it back. Past lives too many to be
// named say nothing; but a holder itself writes only that the shard is settled, a leader that it
// has another team.
func Reacquired(old, now wire.Shard) bool {
	return old.Settled && !now.Settled || !slices.Equal(old.Past, now.Past) || old.Known && !now.Known ||
		!now.Settled && slices.Equal(old.Teams, now.Teams)
}

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
			memberScore -= m.Reach.share() / 2 // among equals
		}
		if name == "" || memberScore < bestScore || memberScore == bestScore && m.Node < name {
			name, bestScore = m.Node, memberScore
		}
	}
	return name
}
