package ledger

import "github.com/barrowbridge/barrowbridge/wire"

// MachineImages names the images that a machine has.
type MachineImages struct {
	Machine string
	Images  []string
}

// PackImages writes down which images machines have, in records of at most so many
// bytes each, as the protocol counts them (JSON). A machine costs some 20 bytes: each
// record lists its images once, and a machine has a bit for each. The order of
// machines decides which of them share a record.
func PackImages(machines []MachineImages, bytes int) []wire.Cache {
	var out []wire.Cache
	var rec *wire.Cache
	index, left := map[string]int{}, 0
	for _, m := range machines {
		if rec != nil && left < cost(m, index) {
			rec = nil
		}
		if rec == nil {
			out = append(out, wire.Cache{Images: []string{}, Sets: map[string][]uint32{}})
			rec, left = &out[len(out)-1], bytes-64
			clear(index)
		}
		c := cost(m, index)
		if c > left {
			continue // more images than a record holds: learned again from its tasks
		}
		left -= c
		var words []uint32
		for _, image := range m.Images {
			k, known := index[image]
			if !known {
				k = len(rec.Images)
				index[image] = k
				rec.Images = append(rec.Images, image)
			}
			for len(words) <= k/32 {
				words = append(words, 0)
			}
			words[k/32] |= 1 << (k % 32)
		}
		rec.Sets[m.Machine] = words
	}
	return out
}

// cost is the most that a machine adds to a record, in bytes.
func cost(m MachineImages, index map[string]int) int {
	n, images := len(m.Machine)+6, len(index)
	for _, image := range m.Images {
		if _, known := index[image]; !known {
			n += len(image) + 3
			images++
		}
	}
	return n + 11*(images/32+1)
}
