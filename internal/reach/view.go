package reach

import (
	"fmt"
	"time"

	"github.com/barrowbridge/barrowbridge/wire"
)

// View is what is believed of a link, as operators are shown it.
func (s LinkStatus) View(now time.Duration, to string) wire.LinkView {
	return wire.LinkView{To: to, Level: s.Level.String(), ForS: (now - s.Since).Seconds(), Why: s.Reason}
}

// Answers is the link to a controller that last answered at a time, if it ever did; near tells
// whether that was just now.
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

// Machines is the link to the machines of a shard; silent is since how long none has been
// heard, 0 if some are.
func ShardLinkView(shard int, silent time.Duration) wire.LinkView {
	view := wire.LinkView{To: fmt.Sprintf("shard %d", shard), Level: Up.String(), Why: "its machines report"}
	if silent > 0 {
		view.Level, view.ForS, view.Why = Down.String(), silent.Seconds(), "all its machines are silent"
	}
	return view
}
