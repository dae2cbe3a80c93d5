package weights

import (
	"maps"
	"slices"
	"strconv"
	"time"

	"github.com/barrowbridge/barrowbridge/wire"
)

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
		if rec != nil && left < maxMachineBytes(m, index) {
			rec = nil
		}
		if rec == nil {
			out = append(out, wire.Cache{Images: []string{}, Sets: map[string][]uint32{}})
			rec, left = &out[len(out)-1], bytes-64
			clear(index)
		}
		c := maxMachineBytes(m, index)
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
func maxMachineBytes(m MachineImages, index map[string]int) int {
	n, images := len(m.Machine)+6, len(index)
	for _, image := range m.Images {
		if _, known := index[image]; !known {
			n += len(image) + 3
			images++
		}
	}
	return n + 11*(images/32+1)
}

// Caches is which images machines have, by what holders write of it now and then: with a holder's memory it
// was lost, and for minutes after a takeover services waited for images that other machines had.
type CacheIndex struct {
	interval  time.Duration
	images    map[string][]string   // machine -> images, as its holder last wrote
	dirty     map[int]bool          // held shards of which there is more to write
	nextPart  map[int]int           // which record of a shard is to be written next
	lastPart  map[int]int           // and which Next named last
	nextWrite map[int]time.Duration // and when
}

// NewCaches returns what is known before anything is; a shard's records are written anew after every at the
// soonest.
func NewCacheIndex(every time.Duration) *CacheIndex {
	return &CacheIndex{interval: every, images: map[string][]string{}, dirty: map[int]bool{}, nextPart: map[int]int{}, lastPart: map[int]int{}, nextWrite: map[int]time.Duration{}}
}

// Read takes what a record says of a machine, Of is that, Gone forgets it.
func (c *CacheIndex) Load(machine string, images []string) { c.images[machine] = images }
func (c *CacheIndex) Images(machine string) []string       { return c.images[machine] }
func (c *CacheIndex) Remove(machine string)                { delete(c.images, machine) }

// Len counts the machines of which something has been read.
func (c *CacheIndex) Len() int { return len(c.images) }

// Learned notes that a machine of a shard has an image that no record tells of.
func (c *CacheIndex) MarkDirty(shard int) { c.dirty[shard] = true }

// Next is the record to write now, and its key: one at a time, in turn; the duty is done when the last is
// written. mine tells whether a shard is held, of what its machines have.
func (c *CacheIndex) NextWrite(now time.Duration, mine func(shard int) bool, of func(shard int) []MachineImages, bytes int) (shard int, key string, rec *wire.Cache) {
	for _, i := range slices.Sorted(maps.Keys(c.dirty)) {
		if !mine(i) {
			delete(c.dirty, i)
			continue
		}
		if now < c.nextWrite[i] {
			continue
		}
		c.nextWrite[i] = now + c.interval
		parts := PackImages(of(i), bytes)
		if len(parts) == 0 {
			delete(c.dirty, i)
			continue
		}
		k := c.nextPart[i] % len(parts)
		key = wire.PrefixCache + strconv.Itoa(i)
		if k > 0 {
			key += "." + strconv.Itoa(k)
		}
		c.nextPart[i], c.lastPart[i] = k+1, k
		if k+1 < len(parts) {
			c.nextWrite[i] = now + c.interval/time.Duration(len(parts))
		} else {
			c.nextPart[i] = 0
			delete(c.dirty, i)
		}
		return i, key, &parts[k]
	}
	return 0, "", nil
}

// Failed notes that the record that Next named last for a shard was not written.
func (c *CacheIndex) WriteFailed(shard int) {
	c.dirty[shard], c.nextPart[shard] = true, c.lastPart[shard]
}
