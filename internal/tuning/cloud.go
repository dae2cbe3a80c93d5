package tuning

import "time"

// Calls of the cloud.
const (
	// CloudCallShare (share) is the part of the cloud's rate limit that is used; only the
	// leader calls the cloud.
	CloudCallShare = 0.8
	// CloudCallTimeout (duration) is the timeout of a call of the cloud; some take seconds.
	CloudCallTimeout = 5 * time.Second
	// CloudBackoffMax (duration) is the longest delay after failed calls of the cloud.
	CloudBackoffMax = 4 * time.Second
	// MachineListInterval (duration) is the interval at which the leader reads the list of
	// machines.
	MachineListInterval = 3 * time.Second
	// MachineTypesInterval (duration) is the interval at which machine types and their prices
	// are read again.
	MachineTypesInterval = 60 * time.Second
)

// Rentals, blocks and idle machines.
const (
	// MinBlockMachines (machines) is the smallest size of a block; small blocks can move
	// between shards without a shard keeping machines that it does not need.
	MinBlockMachines = 2
	// MaxBlockMachines (machines) is the largest size of a block. Each block costs writes when
	// it is formed, moved and dissolved.
	MaxBlockMachines = 8
	// BlocksPerBatch (blocks) is into about how many blocks machines of one type, zone and
	// kind are split that are there at the same time.
	BlocksPerBatch = 8
	// MaxRentMachines (machines) is the most in one rental request, set by the cloud.
	MaxRentMachines = 50
	// MaxDeleteMachines (machines) is the most in one deletion request.
	MaxDeleteMachines = 50
	// NoCapacityRetryDelay (duration) is the delay before a type, zone and kind that the cloud
	// had no capacity for is requested again.
	NoCapacityRetryDelay = 8 * time.Second
	// IdleReturnAfter (duration) is how long a rented machine is empty before it is returned to
	// the cloud. It is shorter than a boot, since a machine costs as much while it boots.
	IdleReturnAfter = 20 * time.Second
	// IdleBlockOfferAfter (duration) is how long a block is empty before it is offered to other
	// shards.
	IdleBlockOfferAfter = 3 * time.Second
	// ReplicaMoveAfter (duration) is how long a replica has run before it may be moved to free
	// its machine. A move costs the replica some seconds, a machine costs until it is returned.
	ReplicaMoveAfter = 60 * time.Second
	// ReplicaMoveInterval (duration) is the interval between moves in one shard, so that few
	// replicas are unavailable at a time.
	ReplicaMoveInterval = 12 * time.Second
	// MachinesPerReplicaMove (machines) is the number of a shard's machines for each machine
	// that is emptied at the same time; a move makes a replica unavailable for a second or two.
	MachinesPerReplicaMove = 16
	// ReplicaMoveCandidates (machines) is how many machines one round considers, emptiest first.
	ReplicaMoveCandidates = 128
	// UnassignedMachineGrace (duration) is how long a listed machine that belongs to no block is
	// left alone before it is adopted; the block of a recent rental may not be visible yet.
	UnassignedMachineGrace = 4 * time.Second
	// UnlistedMachineGoneAfter (duration) is how long, in addition to three times the lag of the
	// list, a machine that was listed before has to be missing from the list to count as gone.
	UnlistedMachineGoneAfter = 2 * time.Second
	// UnassignedMachineCallInterval (duration) is the interval between calls to a machine in no
	// block that seems to report; it counts as existing once it answers a call.
	UnassignedMachineCallInterval = 1500 * time.Millisecond
)

// Machines that boot.
const (
	// MaxBootSamples (boots) and BootSampleTTL (duration) bound the boots that are remembered of
	// a type, zone and kind.
	MaxBootSamples = 24
	BootSampleTTL  = 10 * time.Minute
	// BootHorizonFactor (multiple of ready_s) is a time within which nearly all boots end. A
	// booting machine counts as capacity to come by its chance to come within this time from now.
	BootHorizonFactor = 1.6
	// BootChanceSufficient (share of a new machine's chance) is the chance from which a booting
	// machine counts in full.
	BootChanceSufficient = 0.8
	// BootChanceHopeless (probability) is the chance ever to come below which a machine is
	// returned.
	BootChanceHopeless = 0.15
	// BootChanceTrusted (probability) is the chance to come in time below which machines of a
	// type, zone and kind are requested one at a time.
	BootChanceTrusted = 0.5
	// BootReplacementShare (share) is how many of the booting machines may be doubted at a
	// time: rentals that replace late machines are never more than half of what is needed.
	BootReplacementShare = 0.5
	// BootTimeoutFactor (multiple of ready_s) is the time after which a machine that has not
	// reported is replaced; most boots need 0.6 to 1.5 times ready_s.
	BootTimeoutFactor = 4
	// MinBootTimeout (duration) is the least time before such a machine is replaced.
	MinBootTimeout = 60 * time.Second
	// SlowBootFactor (multiple of the usual time) is how long a boot may take by the protocol.
	SlowBootFactor = 1.5
)
