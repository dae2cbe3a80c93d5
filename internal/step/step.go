// Package step declares the inputs that the core takes, the effects that it returns and the
// messages that controllers send each other. The packages that carry these out depend on this
// package and not on how the core decides.
package step

import (
	"time"

	"github.com/barrowbridge/barrowbridge/wire"
)

// Inputs of the core.
type (
	// Tick is a tick of the clock.
	Tick struct{}
	// Submit is a user's request to accept a job.
	Submit struct {
		Req  uint64
		Spec wire.JobSpec
	}
	// Poll is a user's request for a job's state.
	Poll struct {
		Req uint64
		ID  string
	}
	// Abort is a user's request to cancel a job.
	Abort struct {
		Req uint64
		ID  string
	}
	// Ready is the load balancer's readiness probe.
	Ready struct{ Req uint64 }
	// WorkerReport is a worker's report.
	WorkerReport struct {
		Req    uint64
		Report wire.Report
	}
	// StateDone is the outcome of a StateCall.
	StateDone struct {
		ID    uint64
		Reply StateReply
	}
	// CloudDone is the outcome of a CloudCall.
	CloudDone struct {
		ID    uint64
		Reply CloudReply
	}
)

// Operations of the state service (OpGet to OpWatch) and of the cloud (OpTypes to OpDelete).
const (
	OpGet = iota
	OpList
	OpCommit
	OpGrant
	OpExtend
	OpWatch
	OpTypes
	OpMachines
	OpRent
	OpDelete
)

// Lanes of writes. They decide which writes wait when the state service's rate limit is reached.
const (
	LaneAuthority = iota // leadership, shards and presence, on which the authority to act depends
	LaneUser             // acceptances, aborts, starts and ends
	LaneDeferred         // progress, blocks and demand: nothing is lost if they wait
)

// Effects of the core.
type (
	// Answer is the response to request Req.
	Answer struct {
		Req        uint64
		Status     int // of HTTP
		Body       any
		RetryAfter int // in seconds; 0: no Retry-After header
	}
	// StateCall is a call of the state service.
	StateCall struct {
		ID       uint64
		Op       int
		Key      string
		After    string
		Txn      wire.Txn
		Lane     int
		Lease    uint64
		Revision uint64
		Hold     time.Duration // longest time that a watch stays open without changes
	}
	// CloudCall is a call of the cloud.
	CloudCall struct {
		ID    uint64
		Op    int
		After string
		Rent  wire.RentRequest
		Names []string
	}
	// Log is one log line for the operator.
	Log struct {
		Level int // 0 error, 1 info, 2 debug, 3 warning
		Msg   string
		KV    []any // names and values of the attributes, alternating
	}
)

// StateReply is the state service's answer to a StateCall; Status 0 means that none came.
type StateReply struct {
	Status   int
	Err      string
	Item     wire.Item
	List     wire.ItemList
	Txn      wire.TxnReply
	Lease    uint64
	Events   wire.Events
	OwnLimit bool `msgpack:"Own"` // refused by this controller's own rate limit, without asking the service
}

// CloudReply is the cloud's answer to a CloudCall; Status 0 means that none came.
type CloudReply struct {
	Status int
	Err    string
	Types  []wire.MachineType
	Names  []string
	List   wire.MachineList
}
