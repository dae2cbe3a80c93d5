package step

import (
	"time"

	"github.com/barrowbridge/barrowbridge/internal/demand"
	"github.com/barrowbridge/barrowbridge/internal/membership"
	"github.com/barrowbridge/barrowbridge/wire"
)

// PeerMessage is what controllers tell each other. It is advice: the state
// service alone decides. With Reply set it answers the ping with that Nonce.
type PeerMessage struct {
	From  string `msgpack:"from"`
	Boot  uint64 `msgpack:"boot"`
	Nonce uint64 `msgpack:"nonce"`
	Reply bool   `msgpack:"reply"`
	// Revision is the newest revision of the state the sender knows of, its own
	// commits included; UpMS its age. A restarted controller cannot speak for
	// its earlier life.
	Revision uint64 `msgpack:"revision"`
	// Mirror is the revision that the sender's mirror of the live keys has reached, with a
	// ping; Statement is what the receiver of one says of itself, with its answer.
	Mirror    uint64                `msgpack:"mirror,omitempty"`
	Statement *membership.Statement `msgpack:"statement,omitempty"`

	UpMS int64      `msgpack:"up_ms"`
	Jobs []JobCount `msgpack:"jobs,omitempty"`
	// Holds names the shards the sender holds, with their tokens.
	Holds []HeldShard `msgpack:"holds,omitempty"`
	// Relay passes a worker's report to its holder, Answer what it said.
	Relay *RelayReport `msgpack:"relay,omitempty"`
	// Way is one more than the controllers between the sender and the state service; 0:
	// it has no way there. Call asks the receiver to make a call, Result is its outcome.
	Way  int         `msgpack:"way,omitempty"`
	Word *wire.Reach `msgpack:"word,omitempty"` // with a ping: what the sender reaches
	// Order asks the receiver to call a worker, Ordered is what came of it.
	Order   *Order       `msgpack:"order,omitempty"`
	Ordered *OrderDone   `msgpack:"ordered,omitempty"`
	Call    *PeerCall    `msgpack:"call,omitempty"`
	Result  *PeerResult  `msgpack:"result,omitempty"`
	Answer  *RelayAnswer `msgpack:"answer,omitempty"`
	// Addrs are where workers listen that have lately come up, with a ping.
	Addrs []WorkerAddr `msgpack:"addrs,omitempty"`
	// Wants are of shards that the sender holds.
	Wants []demand.Announcement `msgpack:"wants,omitempty"`
}

// WorkerAddr is where a machine's worker listens, as it said in a session.
type WorkerAddr struct {
	Machine string `msgpack:"m"`
	Addr    string `msgpack:"a"`
	Session uint64 `msgpack:"s"`
}

// HeldShard is a shard and the revision that granted it.
type HeldShard struct {
	Shard int    `msgpack:"shard"`
	Token uint64 `msgpack:"token"`
}

// RelayReport is a worker's report on its way to the holder.
type RelayReport struct {
	ID     uint64      `msgpack:"id"`
	Report wire.Report `msgpack:"report"`
}

// RelayAnswer is the holder's answer on its way back.
type RelayAnswer struct {
	ID       uint64         `msgpack:"id"`
	Status   int            `msgpack:"status"`
	Token    uint64         `msgpack:"token"`
	Commands []wire.Command `msgpack:"commands"`
}

// JobCount is the progress of a job its holder sees, for display.
type JobCount struct {
	ID      string `msgpack:"id"`
	Running int    `msgpack:"running"`
	Done    int    `msgpack:"done"`
}

type (
	// Peer is an incoming message.
	Peer struct{ Msg PeerMessage }
	// PeerSend is a message to send to another controller.
	PeerSend struct {
		To  string
		Msg PeerMessage
	}
)

// Controllers speak for each other with the state service. A peer on the way is like a
// slow network: what it sends is what we sent, its answer is the service's answer to a
// call made after we asked, and a call without an answer may be executed, or not, or late.
type (
	// PeerCall is a call of the state service that a peer is asked to make.
	PeerCall struct {
		ID       uint64           `msgpack:"id"`
		Life     uint64           `msgpack:"life"` // of the one who asks: its next one counts anew
		Hops     int              `msgpack:"hops"` // controllers it has passed
		Op       int              `msgpack:"op"`
		Lane     int              `msgpack:"lane,omitempty"`
		Key      string           `msgpack:"key,omitempty"`
		After    string           `msgpack:"after,omitempty"`
		Lease    uint64           `msgpack:"lease,omitempty"`
		Revision uint64           `msgpack:"revision,omitempty"`
		HoldMS   int64            `msgpack:"hold_ms,omitempty"`
		If       []wire.Condition `msgpack:"if,omitempty"`
		Then     []PeerChange     `msgpack:"then,omitempty"`
	}
	// PeerChange is one change of it, its value encoded.
	PeerChange struct {
		Put    string `msgpack:"put,omitempty"`
		Value  []byte `msgpack:"value,omitempty"`
		Lease  uint64 `msgpack:"lease,omitempty"`
		Delete string `msgpack:"delete,omitempty"`
	}
	// PeerResult is its outcome.
	PeerResult struct {
		ID    uint64     `msgpack:"id"`
		Life  uint64     `msgpack:"life"`
		Reply StateReply `msgpack:"reply"`
	}
)

// ForPeer is the call as a peer is asked to make it.
func (s StateCall) ForPeer(life uint64, hops int) *PeerCall {
	p := &PeerCall{ID: s.ID, Life: life, Hops: hops, Op: s.Op, Lane: s.Lane, Key: s.Key, After: s.After, Lease: s.Lease, Revision: s.Revision, HoldMS: s.Hold.Milliseconds(), If: s.Txn.If}
	for _, ch := range s.Txn.Then {
		x := PeerChange{Put: ch.Put, Lease: ch.Lease, Delete: ch.Delete}
		if ch.Put != "" {
			raw, err := wire.Marshal(ch.Value)
			if err != nil {
				panic(err) // our own record: encoding it cannot depend on its content
			}
			x.Value = raw
		}
		p.Then = append(p.Then, x)
	}
	return p
}

// Call is the call that a peer asks for.
func (p *PeerCall) Call() StateCall {
	s := StateCall{Op: p.Op, Lane: p.Lane, Key: p.Key, After: p.After, Lease: p.Lease, Revision: p.Revision, Hold: time.Duration(p.HoldMS) * time.Millisecond, Txn: wire.Txn{If: p.If}}
	for _, ch := range p.Then {
		x := wire.Change{Put: ch.Put, Lease: ch.Lease, Delete: ch.Delete}
		if ch.Put != "" {
			x.Value = wire.Raw(ch.Value)
		}
		s.Txn.Then = append(s.Txn.Then, x)
	}
	return s
}

// Size is about how many bytes an answer takes.
func (r *StateReply) Size() int {
	n := len(r.Item.Value)
	for i := range r.List.Items {
		n += len(r.List.Items[i].Key) + len(r.List.Items[i].Value)
	}
	for i := range r.Events.Events {
		n += len(r.Events.Events[i].Put) + len(r.Events.Events[i].Value) + len(r.Events.Events[i].Delete)
	}
	return n
}
