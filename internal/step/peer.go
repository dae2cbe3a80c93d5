package step

import (
	"time"

	"github.com/barrowbridge/barrowbridge/internal/demand"
	"github.com/barrowbridge/barrowbridge/internal/membership"
	"github.com/barrowbridge/barrowbridge/wire"
)

// PeerMessage is a message between controllers. Its content is advisory: only the state service
// decides. With Reply set it answers the ping with the same Nonce.
type PeerMessage struct {
	From  string `msgpack:"from"`
	Boot  uint64 `msgpack:"boot"`
	Nonce uint64 `msgpack:"nonce"`
	Reply bool   `msgpack:"reply"`
	// Revision is the newest revision of the state that the sender knows of, including those of
	// its own commits. UpMS is the sender's uptime in milliseconds: a restarted controller
	// cannot speak for its earlier incarnation.
	Revision uint64 `msgpack:"revision"`
	// Mirror is, in a ping, the revision that the sender's mirror of the live keys has reached.
	// Statement is, in the answer to a ping, what the receiver states about itself.
	Mirror    uint64                `msgpack:"mirror,omitempty"`
	Statement *membership.Statement `msgpack:"statement,omitempty"`

	UpMS int64      `msgpack:"up_ms"`
	Jobs []JobCount `msgpack:"jobs,omitempty"`
	// HeldShards are the shards that the sender holds, with their tokens.
	HeldShards []HeldShard `msgpack:"holds,omitempty"`
	// Relay passes a worker's report to the holder of its shard; Answer is the holder's answer.
	Relay *RelayReport `msgpack:"relay,omitempty"`
	// RouteHops is one more than the number of controllers between the sender and the state
	// service; 0: the sender has no route there.
	RouteHops int `msgpack:"way,omitempty"`
	// Reachability is, in a ping, the sender's reachability report.
	Reachability *wire.ReachReport `msgpack:"word,omitempty"`
	// WorkerCall asks the receiver to call a worker, WorkerCallDone is the outcome.
	WorkerCall     *WorkerCall     `msgpack:"order,omitempty"`
	WorkerCallDone *WorkerCallDone `msgpack:"ordered,omitempty"`
	// Call asks the receiver to call the state service, Result is the outcome.
	Call   *PeerCall    `msgpack:"call,omitempty"`
	Result *PeerResult  `msgpack:"result,omitempty"`
	Answer *RelayAnswer `msgpack:"answer,omitempty"`
	// WorkerAddrs are, in a ping, the addresses of workers that have recently come up.
	WorkerAddrs []WorkerAddr `msgpack:"addrs,omitempty"`
	// Demand is the unmet demand of shards that the sender holds.
	Demand []demand.Announcement `msgpack:"wants,omitempty"`
}

// WorkerAddr is the address of a machine's worker, as the worker reported it in a session.
type WorkerAddr struct {
	Machine string `msgpack:"m"`
	Addr    string `msgpack:"a"`
	Session uint64 `msgpack:"s"`
}

// HeldShard is a shard and its token, the revision that assigned it to the holder.
type HeldShard struct {
	Shard int    `msgpack:"shard"`
	Token uint64 `msgpack:"token"`
}

// RelayReport is a worker's report that is relayed to the holder of its shard.
type RelayReport struct {
	ID     uint64      `msgpack:"id"`
	Report wire.Report `msgpack:"report"`
}

// RelayAnswer is the holder's answer to a relayed report.
type RelayAnswer struct {
	ID       uint64         `msgpack:"id"`
	Status   int            `msgpack:"status"`
	Token    uint64         `msgpack:"token"`
	Commands []wire.Command `msgpack:"commands"`
}

// JobCount is the progress of a job as its holder knows it, for display.
type JobCount struct {
	ID      string `msgpack:"id"`
	Running int    `msgpack:"running"`
	Done    int    `msgpack:"done"`
}

type (
	// Peer is the input of a message from another controller.
	Peer struct{ Msg PeerMessage }
	// PeerSend is the effect of sending a message to another controller.
	PeerSend struct {
		To  string
		Msg PeerMessage
	}
)

// Controllers make calls of the state service for each other. A peer on the route behaves like a
// slow network: it sends what this controller sent, its answer is the service's answer to a call
// that was made after this controller asked, and a call without an answer may have been executed
// or not, or may be executed late.
type (
	// PeerCall asks a peer to make a call of the state service.
	PeerCall struct {
		ID          uint64           `msgpack:"id"`
		Incarnation uint64           `msgpack:"life"` // of the controller that asks; its next incarnation numbers its calls from the start again
		Hops        int              `msgpack:"hops"` // controllers that it has passed
		Op          int              `msgpack:"op"`
		Lane        int              `msgpack:"lane,omitempty"`
		Key         string           `msgpack:"key,omitempty"`
		After       string           `msgpack:"after,omitempty"`
		Lease       uint64           `msgpack:"lease,omitempty"`
		Revision    uint64           `msgpack:"revision,omitempty"`
		HoldMS      int64            `msgpack:"hold_ms,omitempty"`
		If          []wire.Condition `msgpack:"if,omitempty"`
		Then        []PeerChange     `msgpack:"then,omitempty"`
	}
	// PeerChange is one change of a PeerCall's transaction, with its value encoded.
	PeerChange struct {
		Put    string `msgpack:"put,omitempty"`
		Value  []byte `msgpack:"value,omitempty"`
		Lease  uint64 `msgpack:"lease,omitempty"`
		Delete string `msgpack:"delete,omitempty"`
	}
	// PeerResult is the outcome of a PeerCall.
	PeerResult struct {
		ID          uint64     `msgpack:"id"`
		Incarnation uint64     `msgpack:"life"`
		Reply       StateReply `msgpack:"reply"`
	}
)

// ForPeer returns the message that asks a peer to make the call. It panics if a value cannot be
// encoded.
func (s StateCall) ForPeer(incarnation uint64, hops int) *PeerCall {
	p := &PeerCall{
		ID:          s.ID,
		Incarnation: incarnation,
		Hops:        hops,
		Op:          s.Op,
		Lane:        s.Lane,
		Key:         s.Key,
		After:       s.After,
		Lease:       s.Lease,
		Revision:    s.Revision,
		HoldMS:      s.Hold.Milliseconds(),
		If:          s.Txn.If,
	}
	for _, ch := range s.Txn.Then {
		x := PeerChange{Put: ch.Put, Lease: ch.Lease, Delete: ch.Delete}
		if ch.Put != "" {
			raw, err := wire.Marshal(ch.Value)
			if err != nil {
				panic(err) // the value is one of our own records, whose encoding cannot fail because of its content
			}
			x.Value = raw
		}
		p.Then = append(p.Then, x)
	}
	return p
}

// Call returns the call that a peer asks for.
func (p *PeerCall) Call() StateCall {
	s := StateCall{
		Op:       p.Op,
		Lane:     p.Lane,
		Key:      p.Key,
		After:    p.After,
		Lease:    p.Lease,
		Revision: p.Revision,
		Hold:     time.Duration(p.HoldMS) * time.Millisecond,
		Txn:      wire.Txn{If: p.If},
	}
	for _, ch := range p.Then {
		x := wire.Change{Put: ch.Put, Lease: ch.Lease, Delete: ch.Delete}
		if ch.Put != "" {
			x.Value = wire.Raw(ch.Value)
		}
		s.Txn.Then = append(s.Txn.Then, x)
	}
	return s
}

// Size returns the approximate size of the answer in bytes.
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
