package wire

import "slices"

// WeightsView answers the administration API: what one controller knows of images that tasks wait for or
// run with.
type WeightsView struct {
	Node   string `cbor:"node" json:"node"`
	HandOn bool   `cbor:"hand_on" json:"hand_on"` // machines are told of others that have an image
	Pace   bool   `cbor:"pace" json:"pace"`       // fetches are held back where more at once bring no more
	// StoreGBps is what all fetches at once get from the store, as measured, where it binds, and Most how many
	// of them use all of it; 0: a machine's own rate binds, or too little is known.
	StoreGBps float64            `cbor:"store_gbps" json:"store_gbps"`
	Most      int                `cbor:"most" json:"most"`
	Images    []WeightsImageView `cbor:"images" json:"images"`
	Others    []WeightsOther     `cbor:"others,omitempty" json:"others,omitempty"` // plans of other shards
}

// WeightsImageView is one image on the machines that the controller holds.
type WeightsImageView struct {
	Image   string        `cbor:"image" json:"image"`
	GB      float64       `cbor:"gb" json:"gb"`
	Holders []WeightsCopy `cbor:"holders" json:"holders"`
	Fetches []WeightsCopy `cbor:"fetches" json:"fetches"`
}

// WeightsCopy is an image on one machine, or on its way there.
type WeightsCopy struct {
	Machine string   `cbor:"machine" json:"machine"`
	Zone    string   `cbor:"zone" json:"zone"`
	Shard   int      `cbor:"shard" json:"shard"`
	ForS    float64  `cbor:"for_s" json:"for_s"`                         // there, or being fetched, for so long (s)
	LeftS   float64  `cbor:"left_s,omitempty" json:"left_s,omitempty"`   // until it is expected to be there (s)
	Sources []string `cbor:"sources,omitempty" json:"sources,omitempty"` // machines it comes from; none: the store
}

// WeightsOther is what another shard's holder has written of an image.
type WeightsOther struct {
	Shard int `cbor:"shard" json:"shard"`
	WeightsImage
}

// Cached adds a machine that has images which no task on it uses, of one image or of all.
func (v *WeightsView) Cached(m WeightsCopy, images []string, only string) {
	for _, image := range images {
		if only != "" && image != only {
			continue
		}
		i := slices.IndexFunc(v.Images, func(x WeightsImageView) bool { return x.Image == image })
		if i < 0 {
			i = len(v.Images)
			v.Images = append(v.Images, WeightsImageView{Image: image, Holders: []WeightsCopy{}, Fetches: []WeightsCopy{}})
		}
		x := &v.Images[i]
		if !slices.ContainsFunc(x.Holders, func(o WeightsCopy) bool { return o.Machine == m.Machine }) {
			x.Holders = append(x.Holders, m)
		}
	}
}
