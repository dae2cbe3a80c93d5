package weights

import (
	"encoding/json"
	"fmt"
	"slices"
	"testing"

	"pgregory.net/rapid"
)

// The images of all machines are read back as they were, and no record exceeds its limit.
func TestImagesArePackedWithinTheLimit(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var ms []MachineImages
		want := map[string][]string{}
		for i := range rapid.IntRange(0, 400).Draw(t, "machines") {
			m := MachineImages{Machine: fmt.Sprintf("n-%06d", i)}
			for k := range rapid.IntRange(0, 12).Draw(t, "images") {
				m.Images = append(m.Images, fmt.Sprintf("img-%02d", (i*7+k*k)%60))
			}
			slices.Sort(m.Images)
			m.Images = slices.Compact(m.Images)
			ms, want[m.Machine] = append(ms, m), m.Images
		}
		limit := rapid.IntRange(1024, 16384).Draw(t, "limit")
		got := map[string][]string{}
		for _, rec := range PackImages(ms, limit) {
			raw, err := json.Marshal(map[string]any{"images": rec.Images, "sets": rec.Sets})
			if err != nil || len(raw) > limit {
				t.Fatalf("%d bytes of %d, %v", len(raw), limit, err)
			}
			for _, n := range rec.Names() {
				images, _ := rec.Of(n)
				slices.Sort(images)
				got[n] = images
			}
		}
		for n, images := range want {
			if !slices.Equal(images, got[n]) {
				t.Fatalf("%s: has %v, read back %v", n, images, got[n])
			}
		}
	})
}
