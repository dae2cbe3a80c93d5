package core

import (
	"math"
	"time"

	"github.com/barrowbridge/barrowbridge/internal/provisioning"
	"github.com/barrowbridge/barrowbridge/internal/tuning"
	"github.com/barrowbridge/barrowbridge/wire"
)

// newProvisioning returns a tracker of boots without observations. The prior stands for what the cloud's
// documentation says of boot times, as multiples of the usual one.
func newProvisioning() *provisioning.Tracker {
	return provisioning.New(provisioning.Params{
		Prior: []provisioning.Sample{
			{Ratio: 0.6, Weight: 2},
			{Ratio: 0.9, Weight: 3},
			{Ratio: 1.2, Weight: 3},
			{Ratio: 1.5, Weight: 1.3},
			{Ratio: 2.5, Weight: 0.25},
			{Ratio: tuning.BootTimeoutFactor, Weight: 0.25},
			{Ratio: math.Inf(1), Weight: 0.2},
		},
		SamplesPerKind:   tuning.MaxBootSamples,
		SampleMaxAge:     tuning.BootSampleTTL,
		HorizonRatio:     tuning.BootHorizonFactor,
		FullCountChance:  tuning.BootChanceSufficient,
		GiveUpChance:     tuning.BootChanceHopeless,
		TrustChance:      tuning.BootChanceTrusted,
		MaxDoubtfulShare: tuning.BootReplacementShare,
	})
}

// trackProvisioning updates the tracker of boots after a change of a block's record. All controllers track
// all blocks, so the next leader knows what this one knows.
func (c *Core) trackProvisioning(old, now *blockEntry) {
	// While the state is read, blocks arrive before the machine types and the records of used machines.
	// Blocks are tracked once everything is read.
	if !c.loaded {
		return
	}
	if now != nil {
		kind := provisioning.Kind{Type: now.record.Type, Zone: now.record.Zone, Spot: now.record.Spot}
		for _, blockMachine := range now.record.Machines {
			switch m := c.machines[blockMachine.Name]; {
			case !blockMachine.Fresh: // adopted, so the time of its rental is not known
				c.provisioning.Forget(blockMachine.Name)
			case !c.useRecorded(blockMachine.Name) && (m == nil || !m.reported):
				c.provisioning.MachineRented(c.now, blockMachine.Name, kind, c.bootTime(kind.Type))
			}
		}
	}
	if old != nil {
		for _, blockMachine := range old.record.Machines {
			if c.blockOfMachine[blockMachine.Name] == "" {
				c.provisioning.MachineGone(c.now, blockMachine.Name)
			}
		}
	}
}

// bootTime returns the usual boot time of a machine type.
func (c *Core) bootTime(typ string) time.Duration { return seconds(c.machineTypes[typ].BootS) }

// doubtedMachines returns the booting machines of a shard that are late and do not count as future
// capacity.
func (c *Core) doubtedMachines(shard int) map[string]bool {
	var names []string
	for m := range c.comingMachines {
		if m.shard == shard && !m.reported && !m.inherited {
			names = append(names, m.name)
		}
	}
	if len(names) == 0 {
		return nil
	}
	return c.provisioning.Doubtful(c.now, names)
}

// bootFailure returns why a machine that has not come up is to be returned, or "" if it is not.
func (c *Core) bootFailure(m *machine) string {
	switch {
	case m.reported:
	case c.provisioning.ShouldGiveUp(c.now, m.name), c.now-m.heldSince > max(seconds(c.machineTypes[m.machineType].BootS*tuning.BootTimeoutFactor), tuning.MinBootTimeout):
		return "never came up"
	}
	return ""
}

// noteRented tracks machines that have just been rented and are in no stored block yet.
func (c *Core) noteRented(infos []wire.MachineInfo) {
	for _, info := range infos {
		c.provisioning.MachineRented(c.now, info.Name, provisioning.Kind{Type: info.Type, Zone: info.Zone, Spot: info.Spot}, c.bootTime(info.Type))
	}
}
