package reach

import (
	"testing"
	"time"

	"github.com/barrowbridge/barrowbridge/wire"
)

func TestViews(t *testing.T) {
	s := time.Second
	for _, c := range []struct{ got, want wire.LinkView }{
		{LinkStatus{Doubt, 4 * s, "refused"}.View(10*s, "state"), wire.LinkView{To: "state", Level: "doubt", ForS: 6, Why: "refused"}},
		{PeerLinkView("c1", 10*s, 0, false, false), wire.LinkView{To: "controller c1", Level: "unknown", Why: "never answered"}},
		{PeerLinkView("c1", 10*s, 9*s, true, true), wire.LinkView{To: "controller c1", Level: "up", ForS: 1, Why: "answered a ping"}},
		{PeerLinkView("c1", 10*s, 3*s, true, false), wire.LinkView{To: "controller c1", Level: "down", ForS: 7, Why: "last answer to a ping"}},
		{ShardLinkView(2, 0), wire.LinkView{To: "shard 2", Level: "up", Why: "its machines report"}},
		{ShardLinkView(2, 5*s), wire.LinkView{To: "shard 2", Level: "down", ForS: 5, Why: "all its machines are silent"}},
	} {
		if c.got != c.want {
			t.Errorf("%+v, want %+v", c.got, c.want)
		}
	}
}
