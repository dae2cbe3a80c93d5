package reach

import (
	"fmt"
	"time"

	"github.com/barrowbridge/barrowbridge/wire"
)

// View returns the status of a link for operators.
func (s LinkStatus) View(now time.Duration, to string) wire.LinkView {
	return wire.LinkView{To: to, Level: s.Level.String(), ForS: (now - s.Since).Seconds(), Why: s.Reason}
}

// PeerLinkView returns the status of the link to a controller, which last answered a ping at the given
// time if it ever has; reachable: it has answered recently.
func PeerLinkView(controller string, now, answeredAt time.Duration, ever, reachable bool) wire.LinkView {
	view := wire.LinkView{To: "controller " + controller, Level: Unknown.String(), Why: "never answered"}
	switch {
	case !ever:
	case reachable:
		view.Level, view.ForS, view.Why = Up.String(), (now - answeredAt).Seconds(), "answered a ping"
	default:
		view.Level, view.ForS, view.Why = Down.String(), (now - answeredAt).Seconds(), "last answer to a ping"
	}
	return view
}

// ShardLinkView returns the status of the link to the machines of a shard; silent is how long they have
// been silent, 0 if they report.
func ShardLinkView(shard int, silent time.Duration) wire.LinkView {
	view := wire.LinkView{To: fmt.Sprintf("shard %d", shard), Level: Up.String(), Why: "its machines report"}
	if silent > 0 {
		view.Level, view.ForS, view.Why = Down.String(), silent.Seconds(), "all its machines are silent"
	}
	return view
}
