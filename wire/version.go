package wire

// PrefixVersion is the prefix of the records of the features that each controller's last incarnation
// understands. They are not attached to a state lease: only these records show which features a
// controller that is down will understand when it returns.
const PrefixVersion = "live/version/"

// Version records the features that one incarnation of a controller understands. It is written once
// its presence record exists.
type Version struct {
	Boot     uint64   `cbor:"boot"`
	Features []string `cbor:"features,omitempty"`
	Version  string   `cbor:"version,omitempty"` // of the program; unset for programs that do not record it
}

// VersionView is the answer of the administration API about versions: which version each controller
// runs, and which features are not used yet because of which controllers.
type VersionView struct {
	Node        string              `cbor:"node" json:"node"` // the controller that answers
	Controllers []ControllerVersion `cbor:"controllers" json:"controllers"`
	Features    []FeatureView       `cbor:"features" json:"features"`
}

// ControllerVersion is the last known version of one controller.
type ControllerVersion struct {
	Node     string   `cbor:"node" json:"node"`
	Present  bool     `cbor:"present" json:"present"`
	Boot     uint64   `cbor:"boot" json:"boot"`       // of the incarnation; 0: none is known
	Version  string   `cbor:"version" json:"version"` // "" for programs that do not record it
	Features []string `cbor:"features" json:"features"`
}

// FeatureView reports whether a feature is in use, and if not, which controllers prevent it.
type FeatureView struct {
	Feature string   `cbor:"feature" json:"feature"`
	On      bool     `cbor:"on" json:"on"`
	HeldFor []string `cbor:"held_for" json:"held_for"` // controllers not known to understand it
}
