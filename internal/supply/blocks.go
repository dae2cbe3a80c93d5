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
	kindOf := func(machine wire.MachineInfo) kind { return kind{machine.Type, machine.Zone, machine.Spot} }
	lastBlock, size := map[kind]int{}, map[kind]int{}
	for _, machine := range machines {
		size[kindOf(machine)]++
	}
	for kindOfMachine, n := range size {
		size[kindOfMachine] = min(max(n/sizes.BlocksPerBatch, sizes.Min), sizes.Max)
	}
	for _, machine := range machines {
		kindOfMachine, blockMachine := kindOf(machine), wire.BlockMachine{Name: machine.Name, Fresh: fresh}
		if i, ok := lastBlock[kindOfMachine]; ok && len(blocks[i].Machines) < size[kindOfMachine] {
			blocks[i].Machines = append(blocks[i].Machines, blockMachine)
			continue
		}
		lastBlock[kindOfMachine] = len(blocks)
		blocks = append(blocks, wire.Block{Type: machine.Type, Zone: machine.Zone, Spot: machine.Spot, Base: base, Machines: []wire.BlockMachine{blockMachine}})
	}
	return blocks
}
