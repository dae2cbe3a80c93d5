package wire

import "slices"

// WeightsView is the answer of the administration API about images: what one controller knows of images
// that tasks wait for or run with.
type WeightsView struct {
	Node   string `cbor:"node" json:"node"`
	HandOn bool   `cbor:"hand_on" json:"hand_on"` // machines are told which other machines have an image
	Pace   bool   `cbor:"pace" json:"pace"`       // fetches are delayed where more of them at a time are no faster
	// StoreGBps is the measured total rate of fetches from the store where the store is the bottleneck, and
	// Most the number of fetches that use all of it; 0: the machines' own rates are the bottleneck, or too
	// little is known.
	StoreGBps float64            `cbor:"store_gbps" json:"store_gbps"`
	Most      int                `cbor:"most" json:"most"`
	Images    []WeightsImageView `cbor:"images" json:"images"`
	Others    []WeightsOther     `cbor:"others,omitempty" json:"others,omitempty"` // the plans of other shards
}

// WeightsImageView is one image with the machines of the controller that have or fetch it.
type WeightsImageView struct {
	Image   string        `cbor:"image" json:"image"`
	GB      float64       `cbor:"gb" json:"gb"`
	Holders []WeightsCopy `cbor:"holders" json:"holders"`
	Fetches []WeightsCopy `cbor:"fetches" json:"fetches"`
}

// WeightsCopy is a copy of an image on one machine, or a fetch of it.
type WeightsCopy struct {
	Machine string   `cbor:"machine" json:"machine"`
	Zone    string   `cbor:"zone" json:"zone"`
	Shard   int      `cbor:"shard" json:"shard"`
	ForS    float64  `cbor:"for_s" json:"for_s"`                         // seconds since it was there, or since the fetch began
	LeftS   float64  `cbor:"left_s,omitempty" json:"left_s,omitempty"`   // seconds until it is expected to be there
	Sources []string `cbor:"sources,omitempty" json:"sources,omitempty"` // machines that it is fetched from; none: the store
}

// WeightsOther is the plan of another shard's holder for an image.
type WeightsOther struct {
	Shard int `cbor:"shard" json:"shard"`
	WeightsImage
}

// Cached adds a machine to the holders of its images, or, if only is set, of that image. It is for
// images that no task on the machine uses.
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
