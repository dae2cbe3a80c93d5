package supply

import "github.com/barrowbridge/barrowbridge/wire"

// BlockSizes bound blocks, in machines; AtOnce (blocks) is into how many those of one kind
// that come together are split.
type BlockSizes struct{ Min, Max, BlocksPerBatch int }

// Blocks forms blocks of one type, zone and kind out of machines, in their order. Fresh
// machines have just been rented and have never been in a block; base ones stand there.
func FormBlocks(machines []wire.MachineInfo, sizes BlockSizes, base, fresh bool) (blocks []wire.Block) {
	type kind struct {
		typ, zone string
		spot      bool
	}
	of := func(m wire.MachineInfo) kind { return kind{m.Type, m.Zone, m.Spot} }
	last, size := map[kind]int{}, map[kind]int{}
	for _, m := range machines {
		size[of(m)]++
	}
	for k, n := range size {
		size[k] = min(max(n/sizes.BlocksPerBatch, sizes.Min), sizes.Max)
	}
	for _, m := range machines {
		k, bm := of(m), wire.BlockMachine{Name: m.Name, Fresh: fresh}
		if i, ok := last[k]; ok && len(blocks[i].Machines) < size[k] {
			blocks[i].Machines = append(blocks[i].Machines, bm)
			continue
		}
		last[k] = len(blocks)
		blocks = append(blocks, wire.Block{Type: m.Type, Zone: m.Zone, Spot: m.Spot, Base: base, Machines: []wire.BlockMachine{bm}})
	}
	return blocks
}
