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
type Reach struct{ Of, Heard int }

// share is the part reached.
func (r Reach) share() float64 {
	if r.Of == 0 {
		return 0
	}
	return float64(r.Heard) / float64(r.Of)
}

// Member is a controller that is present in the state service: it reaches that, by itself
// or through others, or it would not be.
type Member struct {
	Node string
	Zone string
	Held int // shards it holds
	// Lacks: it is cut off from the workers, by its own word.
	Lacks bool
	// Reaches: it reaches these of the shard in question, by its own word; nil: it has
	// said nothing of it.
	Reaches *Reach
	// Cloud: the cloud has just answered it.
	Cloud bool
	// Near: it and the holder can speak, so that reports reach the holder through it.
	Near bool
}

// Rules are what a move is weighed by.
type Rules struct {
	// Gain is by how much more of the machines another must reach: a move has each of them
	// accounted for anew, and the tasks that wait for that stand still meanwhile.
	Gain float64
	// After is how long the holder has not heard its machines before it gives them away.
	After time.Duration
}

// GiveTo is the member to whom a holder gives a shard whose machines it has not heard for
// so long, or "". Who can speak to the holder passes reports on, which costs no move.
func (r Rules) GiveTo(own Reach, silent time.Duration, home string, zones map[string]string, others []Member) string {
	if silent < r.After {
		return ""
	}
	var able []Member
	for _, m := range others {
		if m.Lacks || m.Reaches == nil || m.Reaches.share() < own.share()+r.Gain {
			continue
		}
		if m.Near {
			return ""
		}
		able = append(able, m)
	}
	return best(able, home, zones)
}

// Successor is the member that takes over the shard of a holder that is gone: one that
// reaches workers, if there is any, with the fewest shards, home first, then in the home's
// zone.
func Successor(home string, zones map[string]string, members []Member) string {
	var able []Member
	for _, m := range members {
		if !m.Lacks {
			able = append(able, m)
		}
	}
	if len(able) == 0 {
		able = members
	}
	return best(able, home, zones)
}

// Leader is the controller to whom a leader without the cloud leaves its duty, or "": one
// that the cloud answers, and that reaches workers if there is such a one.
func Leader(others []Member) string {
	name, lacks := "", true
	for _, m := range others {
		if m.Cloud && (name == "" || lacks && !m.Lacks) {
			name, lacks = m.Node, m.Lacks
		}
	}
	return name
}

// GoesHome tells whether a shard may go back to its home, present for so long: not while
// that says it is cut off from the workers, and not while many of the shard's machines are
// missed: each of them would have to be waited for anew.
func (r Rules) GoesHome(home Member, missed bool, up, after time.Duration) bool {
	return !home.Lacks && home.Held == 0 && !missed && up > after
}

// Regained tells whether between two versions of a shard's record that name the same life of the
// same holder another held it: each change of hands names the last life or, if all was
// accounted for, begins that list anew and takes the mark of it back. Past lives too many to be
// named say nothing; but a holder itself writes only that the shard is settled, a leader that it
// has another team.
func Regained(old, now wire.Shard) bool {
	return old.Settled && !now.Settled || !slices.Equal(old.Past, now.Past) || old.Known && !now.Known ||
		!now.Settled && slices.Equal(old.Teams, now.Teams)
}

func best(members []Member, home string, zones map[string]string) string {
	name, score := "", 0.0
	for _, m := range members {
		s := 2 * float64(m.Held)
		if m.Zone != zones[home] {
			s++
		}
		if m.Node == home {
			s -= 4
		}
		if m.Reaches != nil {
			s -= m.Reaches.share() / 2 // among equals
		}
		if name == "" || s < score || s == score && m.Node < name {
			name, score = m.Node, s
		}
	}
	return name
}
