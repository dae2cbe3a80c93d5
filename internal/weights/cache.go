package weights

import (
	"maps"
	"slices"
	"strconv"
	"time"

	"github.com/barrowbridge/barrowbridge/wire"
)

// MachineImages lists the images that a machine has.
type MachineImages struct {
	Machine string
	Images  []string
}

// PackImages returns records of the images that machines have, each of at most the given number of
// bytes as the protocol counts them (JSON). A machine takes about 20 bytes: each record lists its
// images once, and a machine has a bit for each. The order of the machines determines which of them
// share a record.
func PackImages(machines []MachineImages, bytes int) []wire.Cache {
	var records []wire.Cache
	var record *wire.Cache
	index, bytesLeft := map[string]int{}, 0
	for _, machine := range machines {
		if record != nil && bytesLeft < maxMachineBytes(machine, index) {
			record = nil
		}
		if record == nil {
			records = append(records, wire.Cache{Images: []string{}, Sets: map[string][]uint32{}})
			record, bytesLeft = &records[len(records)-1], bytes-64
			clear(index)
		}
		needed := maxMachineBytes(machine, index)
		if needed > bytesLeft {
			continue // its images exceed a record; they are learned again from its tasks
		}
		bytesLeft -= needed
		var bits []uint32
		for _, image := range machine.Images {
			position, known := index[image]
			if !known {
				position = len(record.Images)
				index[image] = position
				record.Images = append(record.Images, image)
			}
			for len(bits) <= position/32 {
				bits = append(bits, 0)
			}
			bits[position/32] |= 1 << (position % 32)
		}
		record.Sets[machine.Machine] = bits
	}
	return records
}

// maxMachineBytes returns the most bytes that a machine adds to a record.
func maxMachineBytes(machine MachineImages, index map[string]int) int {
	bytes, images := len(machine.Machine)+6, len(index)
	for _, image := range machine.Images {
		if _, known := index[image]; !known {
			bytes += len(image) + 3
			images++
		}
	}
	return bytes + 11*(images/32+1)
}

// CacheIndex holds the images that machines have, as their holders write them from time to time.
// Without these records the information was lost with a holder's memory: for minutes after a
// takeover, services waited for images that other machines had.
type CacheIndex struct {
	interval  time.Duration
	images    map[string][]string   // machine -> images, as last written by its holder
	dirty     map[int]bool          // held shards that have records to write
	nextPart  map[int]int           // shard -> which of its records is written next
	lastPart  map[int]int           // shard -> which of its records NextWrite returned last
	nextWrite map[int]time.Duration // shard -> earliest time of its next write
}

// NewCacheIndex returns an empty index. After its last record, the records of a shard are not
// written again before interval has passed.
func NewCacheIndex(interval time.Duration) *CacheIndex {
	return &CacheIndex{
		interval:  interval,
		images:    map[string][]string{},
		dirty:     map[int]bool{},
		nextPart:  map[int]int{},
		lastPart:  map[int]int{},
		nextWrite: map[int]time.Duration{},
	}
}

// Load stores the images of a machine as read from a record.
func (c *CacheIndex) Load(machine string, images []string) { c.images[machine] = images }

// Images returns the stored images of a machine.
func (c *CacheIndex) Images(machine string) []string { return c.images[machine] }

// Remove removes a machine.
func (c *CacheIndex) Remove(machine string) { delete(c.images, machine) }

// Len returns the number of machines with stored images.
func (c *CacheIndex) Len() int { return len(c.images) }

// MarkDirty records that a machine of a shard has an image that is in no record.
func (c *CacheIndex) MarkDirty(shard int) { c.dirty[shard] = true }

// NextWrite returns the next record to write and its key, or nil if none is due. The records of a
// shard are written one at a time, in turn; the shard is no longer dirty once the last one is
// returned. holdsShard reports whether a shard is held, imagesOf returns the images of its
// machines.
func (c *CacheIndex) NextWrite(now time.Duration, holdsShard func(shard int) bool, imagesOf func(shard int) []MachineImages, bytes int) (shard int, key string, record *wire.Cache) {
	for _, candidate := range slices.Sorted(maps.Keys(c.dirty)) {
		if !holdsShard(candidate) {
			delete(c.dirty, candidate)
			continue
		}
		if now < c.nextWrite[candidate] {
			continue
		}
		c.nextWrite[candidate] = now + c.interval
		parts := PackImages(imagesOf(candidate), bytes)
		if len(parts) == 0 {
			delete(c.dirty, candidate)
			continue
		}
		part := c.nextPart[candidate] % len(parts)
		key = wire.PrefixCache + strconv.Itoa(candidate)
		if part > 0 {
			key += "." + strconv.Itoa(part)
		}
		c.nextPart[candidate], c.lastPart[candidate] = part+1, part
		if part+1 < len(parts) {
			c.nextWrite[candidate] = now + c.interval/time.Duration(len(parts))
		} else {
			c.nextPart[candidate] = 0
			delete(c.dirty, candidate)
		}
		return candidate, key, &parts[part]
	}
	return 0, "", nil
}

// WriteFailed records that the record which NextWrite returned last for a shard was not written.
func (c *CacheIndex) WriteFailed(shard int) {
	c.dirty[shard], c.nextPart[shard] = true, c.lastPart[shard]
}
