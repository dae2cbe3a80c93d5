package step

import (
	"github.com/barrowbridge/barrowbridge/internal/reach"
	"github.com/barrowbridge/barrowbridge/internal/trail"
	"github.com/barrowbridge/barrowbridge/wire"
)

// Inputs of the administration API.
type (
	// AdminSettings reads the operators' settings, or changes them if Patch is set.
	AdminSettings struct {
		Req   uint64
		Patch *wire.SettingsPatch
	}
	// AdminOverview asks for this controller's view of the cluster.
	AdminOverview struct{ Req uint64 }
	// AdminCordon sets or lifts a cordon.
	AdminCordon struct {
		Req     uint64
		Machine string
		Cordon  *wire.Cordon // nil: lift
	}
	// AdminWhy asks for the reasons why a job waits.
	AdminWhy struct {
		Req uint64
		ID  string
	}
	// AdminChain asks for the jobs that a job depends on and for those that depend on it.
	AdminChain struct {
		Req uint64
		ID  string
	}
)

type (
	// AdminTrail asks for a controller's trail; that of another controller is read from the
	// state service.
	AdminTrail struct {
		Req   uint64
		Node  string // "": this controller
		Query trail.Query
	}
	// AdminMachine asks for this controller's view of a machine.
	AdminMachine struct {
		Req     uint64
		Machine string
	}
)

type (
	// AdminTierOrder reads the tier order, or replaces or validates its tiers if Patch is set.
	AdminTierOrder struct {
		Req   uint64
		Patch *wire.TierOrderPatch
	}
	// AdminServiceOrder asks for the order in which jobs are served.
	AdminServiceOrder struct{ Req uint64 }
)

// AdminReach asks what this controller can reach.
type AdminReach struct{ Req uint64 }

// AdminWeights asks what this controller knows of all images in use, or of one if Image is set.
type AdminWeights struct {
	Req   uint64
	Image string
}

// AdminVersion asks which versions the controllers run, and which features are not used yet
// because some of them do not understand these.
type AdminVersion struct{ Req uint64 }

// WriteRefused is the effect that the state service refused a write of this kind of record as malformed.
type WriteRefused struct{ Kind string }

// ChainCounts is the effect that reports how many jobs wait for others, and how many this controller,
// since it started, has released because all their predecessors are done, or ended because one of
// these was cancelled.
type ChainCounts struct{ Waiting, Released, Cancelled int }

// LinkChanged is the effect that the believed state of a link has changed.
type LinkChanged struct {
	To    string
	Level reach.Level
}

// WorkerCall is an effect: a direct call to a worker. It carries stops, or only a higher token,
// which makes the worker report at once. Starts are sent in answers to reports only.
type WorkerCall struct {
	Machine       string
	Addr          string
	Orders        wire.Orders
	ReturnOutcome bool   `msgpack:"Roll"` // the outcome is to be returned as WorkerCallDone
	ProbeOnly     bool   `msgpack:"Look"` // only the worker's report is requested, without orders; it is returned in the same way
	RequestedBy   string `msgpack:"For"`  // controller that requested the call; "": this one
}

// WorkerCallDone is the outcome of a WorkerCall whose outcome was requested: the report that the
// worker answered with, or Status 0 if none came.
type WorkerCallDone struct {
	Machine        string
	Token, Session uint64 // as sent with the call
	ProbeOnly      bool   `msgpack:"Look"`    // the call had no orders, so the report does not prove that the worker received the token
	RequestedBy    string `msgpack:"For"`     // controller that requested the call; "": this one
	Relayed        bool   `msgpack:"Through"` // the call was made by a peer, so the outcome is no evidence of what this controller reaches
	Status         int
	Report         wire.Report
}

type (
	// AdminCrews asks for all crews and their plans.
	AdminCrews struct{ Req uint64 }
	// AdminCrew adds or changes a crew, or removes it.
	AdminCrew struct {
		Req    uint64
		Name   string
		Patch  *wire.CrewPatch // nil: remove
		Ver    uint64          // version that was read, for a removal
		DryRun bool
	}
)
