package step

import (
	"github.com/barrowbridge/barrowbridge/internal/reach"
	"github.com/barrowbridge/barrowbridge/internal/trail"
	"github.com/barrowbridge/barrowbridge/wire"
)

// Inputs of the administration API.
type (
	// AdminSettings reads the operators' settings, or changes them.
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
	// AdminWhy asks why a job waits.
	AdminWhy struct {
		Req uint64
		ID  string
	}
	// AdminChain asks for the jobs that a job awaits and those that await it.
	AdminChain struct {
		Req uint64
		ID  string
	}
)

type (
	// AdminTrail asks for a controller's trail; another one's is read from the state.
	AdminTrail struct {
		Req   uint64
		Node  string // "": this one's
		Query trail.Query
	}
	// AdminMachine asks for a machine as this controller believes it to be.
	AdminMachine struct {
		Req     uint64
		Machine string
	}
)

type (
	// AdminLadder reads the ladder, or replaces or judges its rungs.
	AdminLadder struct {
		Req   uint64
		Patch *wire.LadderPatch
	}
	// AdminOrder asks for the order in which jobs are served.
	AdminOrder struct{ Req uint64 }
)

// AdminReach asks what this controller reaches.
type AdminReach struct{ Req uint64 }

// AdminWeights asks what this controller knows of images in use, or of one.
type AdminWeights struct {
	Req   uint64
	Image string
}

// AdminVersion asks who runs which version, and what is held back for whom.
type AdminVersion struct{ Req uint64 }

// WriteRefused is an effect: the state service has called a write of a kind of record malformed.
type WriteRefused struct{ Kind string }

// ChainsSeen is an effect: how many jobs wait for others, and how many this controller, in this life,
// has let go on because all that they await is done, or ended because one of these is cancelled.
type ChainsSeen struct{ Waiting, Released, Cancelled int }

// LinkSeen is an effect: what is believed of a link has changed.
type LinkSeen struct {
	To    string
	Level reach.Level
}

// Order is a direct call to a worker: stops, or nothing but a higher token, which makes
// it report at once. Starts go in answers to reports only.
type Order struct {
	Machine string
	Addr    string
	Orders  wire.Orders
	Roll    bool   // its outcome is to come back as OrderDone
	Look    bool   // nothing is ordered: only its report is asked for, and comes back so too
	For     string // the controller that asked for the call; "": this one
}

// OrderDone is the outcome of a direct call that was to account for a machine: the report
// that its worker answered with, Status 0 if none came.
type OrderDone struct {
	Machine        string
	Token, Session uint64 // as they were sent
	Look           bool   // nothing was ordered, so the report proves nothing
	For            string // who asked for the call; "": this one
	Through        bool   // it comes from a peer, so says nothing of what we reach
	Status         int
	Report         wire.Report
}

type (
	// AdminCrews asks for all crews and what is planned for them.
	AdminCrews struct{ Req uint64 }
	// AdminCrew adds or changes a crew, or takes it away.
	AdminCrew struct {
		Req    uint64
		Name   string
		Patch  *wire.CrewPatch // nil: cancel
		Ver    uint64          // that was read, for a cancellation
		DryRun bool
	}
)
