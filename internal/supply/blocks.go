package supply

import "github.com/barrowbridge/barrowbridge/wire"

// BlockSizes bound the machines of a block. BlocksPerBatch is into how many blocks the machines of
// one kind that arrive together are split.
type BlockSizes struct{ Min, Max, BlocksPerBatch int }

// FormBlocks forms blocks of machines of one type, zone and kind, in the order of machines. fresh is
// set for machines that have just been rented and have never been in a block, base for machines that
// are not rented.
func FormBlocks(machines []wire.MachineInfo, sizes BlockSizes, base, fresh bool) (blocks []wire.Block) {
	type kind struct {
		machineType, zone string
		spot              bool
	}
	kindOf := func(machine wire.MachineInfo) kind { return kind{machine.Type, machine.Zone, machine.Spot} }
	lastBlock, size := map[kind]int{}, map[kind]int{}
	for _, machine := range machines {
		size[kindOf(machine)]++
	}
	for machineKind, n := range size {
		size[machineKind] = min(max(n/sizes.BlocksPerBatch, sizes.Min), sizes.Max)
	}
	for _, machine := range machines {
		machineKind, blockMachine := kindOf(machine), wire.BlockMachine{Name: machine.Name, Fresh: fresh}
		if i, ok := lastBlock[machineKind]; ok && len(blocks[i].Machines) < size[machineKind] {
			blocks[i].Machines = append(blocks[i].Machines, blockMachine)
			continue
		}
		lastBlock[machineKind] = len(blocks)
		blocks = append(blocks, wire.Block{
			Type:     machine.Type,
			Zone:     machine.Zone,
			Spot:     machine.Spot,
			Base:     base,
			Machines: []wire.BlockMachine{blockMachine},
		})
	}
	return blocks
}
