package core

import "github.com/barrowbridge/barrowbridge/internal/step"

// The inputs and effects of the core, as package step declares them.
type (
	Abort             = step.Abort
	AdminChain        = step.AdminChain
	AdminCrew         = step.AdminCrew
	AdminCrews        = step.AdminCrews
	AdminCordon       = step.AdminCordon
	AdminTierOrder    = step.AdminTierOrder
	AdminMachine      = step.AdminMachine
	AdminServiceOrder = step.AdminServiceOrder
	AdminOverview     = step.AdminOverview
	AdminReach        = step.AdminReach
	AdminWeights      = step.AdminWeights
	AdminSettings     = step.AdminSettings
	AdminTrail        = step.AdminTrail
	AdminVersion      = step.AdminVersion
	AdminWhy          = step.AdminWhy
	Answer            = step.Answer
	ChainCounts       = step.ChainCounts
	CloudCall         = step.CloudCall
	CloudDone         = step.CloudDone
	CloudReply        = step.CloudReply
	HeldShard         = step.HeldShard
	JobCount          = step.JobCount
	LinkChanged       = step.LinkChanged
	Log               = step.Log
	WorkerCall        = step.WorkerCall
	WorkerCallDone    = step.WorkerCallDone
	Peer              = step.Peer
	PeerCall          = step.PeerCall
	PeerChange        = step.PeerChange
	PeerMessage       = step.PeerMessage
	PeerResult        = step.PeerResult
	PeerSend          = step.PeerSend
	Poll              = step.Poll
	Ready             = step.Ready
	RelayAnswer       = step.RelayAnswer
	RelayReport       = step.RelayReport
	StateCall         = step.StateCall
	StateDone         = step.StateDone
	StateReply        = step.StateReply
	Submit            = step.Submit
	Tick              = step.Tick
	WorkerAddr        = step.WorkerAddr
	WorkerReport      = step.WorkerReport
	WriteRefused      = step.WriteRefused
)

// Operations of calls to the state service and the cloud, and the lanes of calls by urgency.
const (
	OpGet         = step.OpGet
	OpList        = step.OpList
	OpCommit      = step.OpCommit
	OpGrant       = step.OpGrant
	OpExtend      = step.OpExtend
	OpWatch       = step.OpWatch
	OpTypes       = step.OpTypes
	OpMachines    = step.OpMachines
	OpRent        = step.OpRent
	OpDelete      = step.OpDelete
	LaneAuthority = step.LaneAuthority
	LaneUser      = step.LaneUser
	LaneDeferred  = step.LaneDeferred
)
