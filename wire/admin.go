package wire

import (
	"fmt"
	"math"
)

// Keys of the settings that operators change.
const (
	KeySettings  = "live/settings"
	PrefixCordon = "live/cordon/"
)

// Settings are the settings that operators change through the administration API.
type Settings struct {
	IdleReturnS float64 `cbor:"idle_return_s" json:"idle_return_s"`
	SilentDropS float64 `cbor:"silent_drop_s" json:"silent_drop_s"`
	Spot        bool    `cbor:"spot" json:"spot"`
}

// Check returns an error that names the first field that is out of range.
func (s Settings) Check() error {
	for _, f := range []struct {
		name     string
		v        float64
		min, max float64
	}{{"idle_return_s", s.IdleReturnS, 1, 86400}, {"silent_drop_s", s.SilentDropS, 5, 86400}} {
		if math.IsNaN(f.v) || f.v < f.min || f.v > f.max {
			return fmt.Errorf("%s: must be from %g to %g", f.name, f.min, f.max)
		}
	}
	return nil
}

// SettingsPatch changes the settings that it sets. Version is the version that was read, 0 if none
// had been written.
type SettingsPatch struct {
	Version     uint64   `cbor:"version"`
	IdleReturnS *float64 `cbor:"idle_return_s,omitempty"`
	SilentDropS *float64 `cbor:"silent_drop_s,omitempty"`
	Spot        *bool    `cbor:"spot,omitempty"`
}

// Apply returns the settings with the changes of the patch, without checking them.
func (p *SettingsPatch) Apply(s Settings) Settings {
	if p.IdleReturnS != nil {
		s.IdleReturnS = *p.IdleReturnS
	}
	if p.SilentDropS != nil {
		s.SilentDropS = *p.SilentDropS
	}
	if p.Spot != nil {
		s.Spot = *p.Spot
	}
	return s
}

// SettingsView is the answer of the administration API about the settings.
type SettingsView struct {
	Version  uint64   `cbor:"version" json:"version"`
	Settings Settings `cbor:"settings" json:"settings"`
}

// Cordon keeps new tasks off a machine. With Drain its tasks are stopped as well, and the machine is
// returned to the cloud.
type Cordon struct {
	Drain bool `cbor:"drain" json:"drain"`
	// Lifted reports that the cordon has been lifted. The record is kept: after a removal, a late
	// write on the condition that no record exists would still be executed.
	Lifted bool `cbor:"lifted,omitempty" json:"-"`
}

// Overview is one controller's view of the cluster.
type Overview struct {
	Node   string      `cbor:"node" json:"node"`
	Leader string      `cbor:"leader" json:"leader"`
	Nodes  []string    `cbor:"nodes" json:"nodes"`
	Shards []ShardView `cbor:"shards" json:"shards"`
	Blocks []BlockView `cbor:"blocks" json:"blocks"`
	Teams  []TeamView  `cbor:"teams" json:"teams"`
	// Limits are the limits that this controller's writes to the state service keep to, and the
	// writes that were refused as malformed since it started.
	Limits LimitsView `cbor:"limits" json:"limits"`
}

// LimitsView is the limits of writes: the size of a value in bytes, and the changes of a transaction.
type LimitsView struct {
	ValueBytes int             `cbor:"value_bytes" json:"value_bytes"`
	TxnOps     int             `cbor:"txn_ops" json:"txn_ops"`
	Stuck      bool            `cbor:"stuck" json:"starts_stuck"` // no start can be written
	Refused    []RefusedWrites `cbor:"refused" json:"refused"`
}

// RefusedWrites counts the writes of one kind of record that the state service refused as malformed,
// with the size of the last one and the reason that the service gave.
type RefusedWrites struct {
	Kind       string `cbor:"kind" json:"kind"`
	Count      int    `cbor:"count" json:"count"`
	Bytes      int    `cbor:"bytes" json:"bytes"`
	Changes    int    `cbor:"changes" json:"changes"`
	Conditions int    `cbor:"conditions" json:"conditions"`
	Why        string `cbor:"why" json:"why"`
}

// ShardView is a shard with its holder.
type ShardView struct {
	Shard   int      `cbor:"shard" json:"shard"`
	Holder  string   `cbor:"holder" json:"holder"`
	Home    string   `cbor:"home" json:"home"`
	Token   uint64   `cbor:"token" json:"token"`
	Settled bool     `cbor:"settled" json:"settled"`
	Teams   []string `cbor:"teams" json:"teams"`
}

// BlockView is a block of machines; only its holder knows the tasks.
type BlockView struct {
	Block    string        `cbor:"block" json:"block"`
	Shard    int           `cbor:"shard" json:"shard"`
	Type     string        `cbor:"type" json:"type"`
	Zone     string        `cbor:"zone" json:"zone"`
	Spot     bool          `cbor:"spot" json:"spot"`
	Idle     bool          `cbor:"idle" json:"idle"`
	Machines []MachineView `cbor:"machines" json:"machines"`
}

// MachineView is a machine of a block.
type MachineView struct {
	Name     string   `cbor:"name" json:"name"`
	State    string   `cbor:"state" json:"state"`
	Cordoned bool     `cbor:"cordoned" json:"cordoned"`
	Tasks    []string `cbor:"tasks,omitempty" json:"tasks,omitempty"`
}

// TeamView is a team's usage, guarantee and limit in CPUs; a CPUsMax of 0 means no limit. Known is
// false on controllers that do not hold the team's shard.
type TeamView struct {
	Team    string  `cbor:"team" json:"team"`
	Shard   int     `cbor:"shard" json:"shard"`
	Known   bool    `cbor:"known" json:"known"`
	UsedCPU float64 `cbor:"used_cpus" json:"used_cpus"`
	CPUs    float64 `cbor:"cpus" json:"cpus"`
	CPUsMax float64 `cbor:"cpus_max" json:"cpus_max"`
	Waiting int     `cbor:"waiting_tasks" json:"waiting_tasks"`
}

// Why holds the reasons why a job waits.
type Why struct {
	Job    string   `cbor:"job" json:"job"`
	Holder string   `cbor:"holder" json:"holder"`
	Why    []string `cbor:"why" json:"why"`
}
