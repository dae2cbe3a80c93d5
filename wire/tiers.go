package wire

// KeyTierOrder is the key of the operators' tier order; without it the tiers follow from the
// priorities alone.
const KeyTierOrder = "live/ladder"

// TierOrder is the order in which work is served, highest tier first, and its earlier versions.
type TierOrder struct {
	Tiers   []Tier            `cbor:"rungs" json:"rungs"`
	History []TierOrderChange `cbor:"history,omitempty" json:"history,omitempty"` // the latest last
}

// Tier selects the jobs that match all of its fields; an empty field matches any job.
type Tier struct {
	Name       string   `cbor:"name" json:"name" toml:"name"`
	Classes    []string `cbor:"classes,omitempty" json:"classes,omitempty" toml:"classes"`
	Teams      []string `cbor:"teams,omitempty" json:"teams,omitempty" toml:"teams"` // "*": any team
	Priorities []string `cbor:"priorities,omitempty" json:"priorities,omitempty" toml:"priorities"`
	Shapes     []string `cbor:"shapes,omitempty" json:"shapes,omitempty" toml:"shapes"`
}

// TierOrderChange is one earlier version: the revision and the time (in milliseconds since 1970) at
// which it was written, the controller that wrote it, and the names of its tiers.
type TierOrderChange struct {
	Version uint64   `cbor:"version" json:"version"`
	AtMS    int64    `cbor:"at" json:"at_ms"`
	Node    string   `cbor:"node" json:"node"`
	Tiers   []string `cbor:"rungs" json:"rungs"`
}

// TierOrderPatch replaces the tiers. Version is the version that was read, 0 if there was none. With
// Check it is only validated.
type TierOrderPatch struct {
	Version uint64 `cbor:"version"`
	Tiers   []Tier `cbor:"rungs"`
	Check   bool   `cbor:"check,omitempty"`
}

// TierOrderView is the answer of the administration API: the record, and all tiers including those
// that follow from the priorities, which come after the others.
type TierOrderView struct {
	Version uint64    `cbor:"version" json:"version"`
	Order   TierOrder `cbor:"ladder" json:"ladder"`
	All     []Tier    `cbor:"all" json:"all"`
}

// OrderView is the order in which a controller serves the live jobs, as determined by their records
// alone. The digest covers all of them, Jobs holds the first ones.
type OrderView struct {
	Node     string     `cbor:"node" json:"node"`
	Revision uint64     `cbor:"revision" json:"revision"` // of the controller's mirror of the state
	Version  uint64     `cbor:"version" json:"version"`   // of the tier order
	Digest   string     `cbor:"digest" json:"digest"`
	Count    int        `cbor:"count" json:"count"`
	Jobs     []JobPlace `cbor:"jobs" json:"jobs"`
}

// JobPlace is a job's place in the tier order.
type JobPlace struct {
	Job    string `cbor:"job" json:"job"`
	Tier   string `cbor:"rung" json:"rung"`
	Number uint64 `cbor:"number" json:"number"`
}
