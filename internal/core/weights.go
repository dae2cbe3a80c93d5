package core

import (
	"github.com/barrowbridge/barrowbridge/internal/tuning"
	"github.com/barrowbridge/barrowbridge/internal/weights"
	"github.com/barrowbridge/barrowbridge/wire"
)

func newWeights(switches weights.Switches, caches *weights.CacheIndex) *weights.Planner {
	return weights.NewPlanner(switches, weights.Limits{
		MinMachines:      tuning.MinSharedImageMachines,
		MaxServed:        tuning.HandOnDegree,
		MaxSources:       tuning.HandOnSources,
		MaxZoneRoots:     tuning.HandOnRoots,
		MinMeasurements:  tuning.MinStoreSampleFetches,
		StoreBoundShare:  tuning.StoreBoundShare,
		StoreFetchFactor: tuning.StoreFetchFactor,
		MinFetchDuration: tuning.MinStoreSampleDuration,
		MeasurementTTL:   tuning.StoreSampleTTL,
		PlanTTL:          tuning.FetchRecordTTL,
		IdleFactor:       tuning.SharedImageIdleFactor,
	}, caches)
}

// fetchMachine returns a machine as package weights describes it.
func (c *Core) fetchMachine(m *machine) weights.Machine {
	return weights.Machine{
		Name:      m.name,
		Zone:      m.zone,
		Addr:      m.addr,
		Shard:     m.shard,
		FetchGBps: c.machineTypes[m.machineType].FetchGBps,
	}
}

// updateImageUse records which images the tasks on a machine need, and whether each is there already,
// according to the machine's newest report.
func (c *Core) updateImageUse(m *machine) {
	var uses []weights.ImageUse
	for _, k := range sortedAttemptKeys(m) {
		a := m.attempts[k]
		if e := c.jobs[a.job]; e != nil && a.startSent && a.status != wire.TaskEnded {
			uses = append(uses, weights.ImageUse{
				Image:   e.record.Image,
				GB:      e.record.ImageGB,
				Present: a.status == wire.TaskRunning || a.status == wire.TaskSaving,
			})
		}
	}
	c.weights.UpdateMachine(c.now, c.fetchMachine(m), uses)
}

// runCommand returns the command that starts a reserved attempt, with the machines that its image is
// fetched from, or false if the fetch has to wait.
func (c *Core) runCommand(a *attempt) (wire.Command, bool) {
	cmd, e, startNow := wire.Command{Verb: wire.VerbRun, Task: a.key.task, Attempt: a.key.number}, c.jobs[a.job], true
	if !a.machine.images[e.record.Image] && e.record.Shape != wire.ShapeGang { // the tasks of a gang start together, so their fetches do not wait
		cmd.Sources, startNow = c.weights.PlanFetch(c.now, c.fetchMachine(a.machine), e.record.Image, e.record.ImageGB, e.record.Tasks)
	}
	return cmd, startNow
}

// shardImages lists the images that a shard's machines have cached.
func (c *Core) shardImages(shard int) (images []weights.MachineImages) {
	for _, m := range c.heldMachines() {
		if m.shard == shard && !m.returning && len(m.images) > 0 {
			images = append(images, weights.MachineImages{Machine: m.name, Images: sortedKeys(m.images)})
		}
	}
	return images
}

// publishImages periodically writes which images the machines of a held shard have, and the plans for
// images that many machines fetch.
func (c *Core) publishImages() {
	if c.writingImages || !c.authorized() || !c.dueEvery("images", tuning.ImagePlanInterval) {
		return
	}
	if write, due := c.weights.NextWrite(c.now, sortedIntKeys(c.heldShards), c.holdsShard, c.shardImages, c.params.MaxValueBytes-256); due {
		c.writingImages = true
		c.commit(LaneDeferred, []wire.Condition{c.shardUnchanged(write.Shard)}, []wire.Change{{Put: write.Key, Value: write.Value}}, func(r StateReply) {
			c.writingImages = false
			write.Done(c.now, r.Status == 200)
		})
	}
}

// onAdminWeights answers with the fetches of images, and with the machines that have them.
func (c *Core) onAdminWeights(v AdminWeights) {
	view := c.weights.View(c.now, c.params.Node, v.Image)
	for _, m := range c.heldMachines() {
		view.Cached(c.fetchMachine(m).View(), sortedKeys(m.images), v.Image)
	}
	c.answer(v.Req, 200, view)
}
