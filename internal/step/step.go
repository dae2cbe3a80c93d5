// Package step holds the inputs that the core takes, the effects that it returns and what
// controllers tell each other, so that the edges need not know how it decides.
package step

import (
	"time"

	"github.com/barrowbridge/barrowbridge/wire"
)

// Inputs.
type (
	// Tick is the clock pulse.
	Tick struct{}
	// Submit is a user's job. Problem tells why the body could not be read.
	Submit struct {
		Req  uint64
		Spec wire.JobSpec
	}
	// Poll asks for a job's state.
	Poll struct {
		Req uint64
		ID  string
	}
	// Abort cancels a job.
	Abort struct {
		Req uint64
		ID  string
	}
	// Ready is the load balancer's probe.
	Ready struct{ Req uint64 }
	// WorkerReport is a worker's report.
	WorkerReport struct {
		Req    uint64
		Report wire.Report
	}
	// StateDone and CloudDone return a call's outcome.
	StateDone struct {
		ID    uint64
		Reply StateReply
	}
	CloudDone struct {
		ID    uint64
		Reply CloudReply
	}
)

// State service calls.
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

// Lanes of writes, by what may not wait when the state service's limit is short.
const (
	LaneFirst = iota // entitlement: leadership, shards, presence
	LaneUser         // acceptances, aborts, starts and ends
	LaneLater        // progress, blocks, wants: nothing is lost if they wait
)

// Effects.
type (
	// Answer replies to request Req. Holder is set on a 421.
	Answer struct {
		Req        uint64
		Status     int
		Body       any
		RetryAfter int
	}
	// StateCall asks the state service.
	StateCall struct {
		ID       uint64
		Op       int
		Key      string
		After    string
		Txn      wire.Txn
		Lane     int
		Lease    uint64
		Revision uint64
		Hold     time.Duration
	}
	// CloudCall asks the cloud.
	CloudCall struct {
		ID    uint64
		Op    int
		After string
		Rent  wire.RentRequest
		Names []string
	}
	// Log is one line for the operator. Level: 0 error, 1 info, 2 debug, 3 warning.
	Log struct {
		Level int
		Msg   string
		KV    []any
	}
)

// StateReply is the state service's answer; Status 0: none came.
type StateReply struct {
	Status int
	Err    string
	Item   wire.Item
	List   wire.ItemList
	Txn    wire.TxnReply
	Lease  uint64
	Events wire.Events
	Own    bool // our own limit refused it: the service was not asked
}

// CloudReply is the cloud's answer; Status 0: none came.
type CloudReply struct {
	Status int
	Err    string
	Types  []wire.MachineType
	Names  []string
	List   wire.MachineList
}
