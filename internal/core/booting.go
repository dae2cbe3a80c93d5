package core

import (
	"math"
	"time"

	"github.com/barrowbridge/barrowbridge/internal/boot"
	"github.com/barrowbridge/barrowbridge/internal/tuning"
	"github.com/barrowbridge/barrowbridge/wire"
)

func newBoots() *boot.Book {
	return boot.New(boot.Params{
		Prior: []boot.Seen{{Ratio: 0.6, Weight: 2}, {Ratio: 0.9, Weight: 3}, {Ratio: 1.2, Weight: 3}, {Ratio: 1.5, Weight: 1.3},
			{Ratio: 2.5, Weight: 0.25}, {Ratio: tuning.BootGiveUp, Weight: 0.25}, {Ratio: math.Inf(1), Weight: 0.2}},
		Keep: tuning.BootKeep, Memory: tuning.BootMemory, Horizon: tuning.BootHorizon, Enough: tuning.BootEnough,
		GiveUp: tuning.BootHopeless, Trust: tuning.BootTrust, Ahead: tuning.BootAhead})
}

// followBoots keeps the judgement of boots in step with a block's record. All controllers
// follow all blocks, so the next leader knows what this one does.
func (c *Core) followBoots(old, now *blockEntry) {
	// While the state is read blocks come before machine types and the notes of what has been
	// used: what boots then is judged once all is read.
	if !c.loaded {
		return
	}
	if now != nil {
		k := boot.Kind{Type: now.record.Type, Zone: now.record.Zone, Spot: now.record.Spot}
		for _, bm := range now.record.Machines {
			switch m := c.machines[bm.Name]; {
			case !bm.Fresh: // adopted: when it was rented is not known
				c.provisioning.Forget(bm.Name)
			case !c.useRecorded(bm.Name) && (m == nil || !m.reported):
				c.provisioning.Booked(c.now, bm.Name, k, c.bootOf(k.Type))
			}
		}
	}
	if old != nil {
		for _, bm := range old.record.Machines {
			if c.blockOfMachine[bm.Name] == "" {
				c.provisioning.Gone(c.now, bm.Name)
			}
		}
	}
}

func (c *Core) bootOf(typ string) time.Duration { return seconds(c.machineTypes[typ].BootS) }

// doubted lists the machines of a shard that boot and do not count as room to come.
func (c *Core) doubted(shard int) map[string]bool {
	var names []string
	for m := range c.comingMachines {
		if m.shard == shard && !m.reported && !m.inherited {
			names = append(names, m.name)
		}
	}
	if len(names) == 0 {
		return nil
	}
	return c.provisioning.Doubted(c.now, names)
}

// neverComes tells why a machine that has not come up is to be given back, or "".
func (c *Core) neverComes(m *machine) string {
	switch {
	case m.reported:
	case c.provisioning.Hopeless(c.now, m.name), c.now-m.heldSince > max(seconds(c.machineTypes[m.machineType].BootS*tuning.BootGiveUp), tuning.BootGiveUpMin):
		return "never came up"
	}
	return ""
}

// bookedOf notes machines that have just been rented; their blocks are yet to be written.
func (c *Core) bookedOf(infos []wire.MachineInfo) {
	for _, m := range infos {
		c.provisioning.Booked(c.now, m.Name, boot.Kind{Type: m.Type, Zone: m.Zone, Spot: m.Spot}, c.bootOf(m.Type))
	}
}
