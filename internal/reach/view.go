package reach

import (
	"fmt"
	"time"

	"github.com/barrowbridge/barrowbridge/wire"
)

// View is what is believed of a link, as operators are shown it.
func (j Judgement) View(now time.Duration, to string) wire.LinkView {
	return wire.LinkView{To: to, Level: j.Level.String(), ForS: (now - j.Since).Seconds(), Why: j.Why}
}

// Answers is the link to a controller that last answered at a time, if it ever did; near tells
// whether that was just now.
func Answers(controller string, now, at time.Duration, ever, near bool) wire.LinkView {
	l := wire.LinkView{To: "controller " + controller, Level: Unknown.String(), Why: "never answered"}
	switch {
	case !ever:
	case near:
		l.Level, l.ForS, l.Why = Up.String(), (now - at).Seconds(), "answered a ping"
	default:
		l.Level, l.ForS, l.Why = Down.String(), (now - at).Seconds(), "last answer to a ping"
	}
	return l
}

// Machines is the link to the machines of a shard; silent is since how long none has been
// heard, 0 if some are.
func Machines(shard int, silent time.Duration) wire.LinkView {
	l := wire.LinkView{To: fmt.Sprintf("shard %d", shard), Level: Up.String(), Why: "its machines report"}
	if silent > 0 {
		l.Level, l.ForS, l.Why = Down.String(), silent.Seconds(), "all its machines are silent"
	}
	return l
}
