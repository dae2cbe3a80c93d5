package wire

// KeyLadder holds the operators' ladder; without it rungs come from priorities alone.
const KeyTierOrder = "live/ladder"

// Ladder is the order in which work is served, top down, and what it was before.
type TierOrder struct {
	Tiers   []Tier            `cbor:"rungs" json:"rungs"`
	History []TierOrderChange `cbor:"history,omitempty" json:"history,omitempty"` // the latest last
}

// Rung selects jobs by all that it names; what it leaves empty selects any.
type Tier struct {
	Name       string   `cbor:"name" json:"name" toml:"name"`
	Classes    []string `cbor:"classes,omitempty" json:"classes,omitempty" toml:"classes"`
	Teams      []string `cbor:"teams,omitempty" json:"teams,omitempty" toml:"teams"` // "*": any team
	Priorities []string `cbor:"priorities,omitempty" json:"priorities,omitempty" toml:"priorities"`
	Shapes     []string `cbor:"shapes,omitempty" json:"shapes,omitempty" toml:"shapes"`
}

// LadderChange is one earlier version: the revision it was written at, when (milliseconds of
// the day's time), by which controller, and its rungs by name.
type TierOrderChange struct {
	Version uint64   `cbor:"version" json:"version"`
	AtMS    int64    `cbor:"at" json:"at_ms"`
	Node    string   `cbor:"node" json:"node"`
	Tiers   []string `cbor:"rungs" json:"rungs"`
}

// LadderPatch replaces the rungs; Version is the one that was read, 0 if there was none. With
// Check it is only judged.
type TierOrderPatch struct {
	Version uint64 `cbor:"version"`
	Tiers   []Tier `cbor:"rungs"`
	Check   bool   `cbor:"check,omitempty"`
}

// LadderView answers the administration API: the record, and all rungs with those that come
// from priorities beneath them.
type TierOrderView struct {
	Version uint64    `cbor:"version" json:"version"`
	Order   TierOrder `cbor:"ladder" json:"ladder"`
	All     []Tier    `cbor:"all" json:"all"`
}

// OrderView is the order in which a controller serves the live jobs, by records alone. The
// digest covers all of them, Jobs names the first.
type OrderView struct {
	Node     string     `cbor:"node" json:"node"`
	Revision uint64     `cbor:"revision" json:"revision"` // of its copy of the state
	Version  uint64     `cbor:"version" json:"version"`   // of the ladder
	Digest   string     `cbor:"digest" json:"digest"`
	Count    int        `cbor:"count" json:"count"`
	Jobs     []JobPlace `cbor:"jobs" json:"jobs"`
}

// JobPlace is a job's place on the ladder.
type JobPlace struct {
	Job    string `cbor:"job" json:"job"`
	Tier   string `cbor:"rung" json:"rung"`
	Number uint64 `cbor:"number" json:"number"`
}
