package wire

// PrefixVersion is where it is remembered what each controller's last life understands. The
// records hang on no grant: what a controller that is down will understand when it comes back
// is only known from them.
const PrefixVersion = "live/version/"

// Version is what one life of a controller understands, written once its presence stands.
type Version struct {
	Boot     uint64   `cbor:"boot"`
	Features []string `cbor:"features,omitempty"`
	Version  string   `cbor:"version,omitempty"` // of the program; unset: one that does not say it
}

// VersionView answers the administration API: who runs what, and what is held back for whom.
type VersionView struct {
	Node        string              `cbor:"node" json:"node"` // that answers
	Controllers []ControllerVersion `cbor:"controllers" json:"controllers"`
	Features    []FeatureView       `cbor:"features" json:"features"`
}

// ControllerVersion is one controller's version as it was last known.
type ControllerVersion struct {
	Node     string   `cbor:"node" json:"node"`
	Present  bool     `cbor:"present" json:"present"`
	Boot     uint64   `cbor:"boot" json:"boot"`       // of the life meant; 0: none is known
	Version  string   `cbor:"version" json:"version"` // "": one that does not say it
	Features []string `cbor:"features" json:"features"`
}

// FeatureView tells whether a feature is used for new things, and if not, for whom it waits.
type FeatureView struct {
	Feature string   `cbor:"feature" json:"feature"`
	On      bool     `cbor:"on" json:"on"`
	HeldFor []string `cbor:"held_for" json:"held_for"` // controllers not known to understand it
}
