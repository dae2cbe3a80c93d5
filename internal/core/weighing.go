package core

import (
	"github.com/barrowbridge/barrowbridge/internal/tuning"
	"github.com/barrowbridge/barrowbridge/internal/weights"
	"github.com/barrowbridge/barrowbridge/wire"
)

func newWeights(s weights.Switches, k *weights.Caches) *weights.Book {
	return weights.NewBook(s, weights.Limits{Many: tuning.WeightsMany, Degree: tuning.HandDegree, Sources: tuning.HandSources, Roots: tuning.HandRoots, Fetches: tuning.StoreFetches,
		Bound: tuning.StoreBound, Spare: tuning.StoreSpare, Least: tuning.StoreLeast, Memory: tuning.StoreMemory, Stale: tuning.WeightsStale, Keep: tuning.WeightsKeep}, k)
}

func (c *Core) fetcher(m *machine) weights.Machine {
	return weights.Machine{Name: m.name, Zone: m.zone, Addr: m.addr, Shard: m.shard, Rate: c.machineTypes[m.machineType].FetchGBps}
}

// weigh tells what the tasks on a machine want of images and have, by its newest report.
func (c *Core) weigh(m *machine) {
	var uses []weights.Use
	for _, k := range sortedAttemptKeys(m) {
		a := m.attempts[k]
		if e := c.jobs[a.job]; e != nil && a.startSent && a.status != wire.TaskEnded {
			uses = append(uses, weights.Use{Image: e.record.Image, GB: e.record.ImageGB, There: a.status == wire.TaskRunning || a.status == wire.TaskSaving})
		}
	}
	c.weights.Seen(c.now, c.fetcher(m), uses)
}

// run is the command that starts a reserved attempt, with who hands its image on; false: its fetch waits.
func (c *Core) run(a *attempt) (wire.Command, bool) {
	cmd, e, now := wire.Command{Verb: wire.VerbRun, Task: a.key.task, Attempt: a.key.number}, c.jobs[a.job], true
	if !a.machine.images[e.record.Image] && e.record.Shape != wire.ShapeGang { // a gang begins together
		cmd.Sources, now = c.weights.Fetch(c.now, c.fetcher(a.machine), e.record.Image, e.record.ImageGB, e.record.Tasks)
	}
	return cmd, now
}

// imagesOf lists the images that a shard's machines have.
func (c *Core) imagesOf(shard int) (has []weights.MachineImages) {
	for _, m := range c.heldMachines() {
		if m.shard == shard && !m.returning && len(m.images) > 0 {
			has = append(has, weights.MachineImages{Machine: m.name, Images: sortedKeys(m.images)})
		}
	}
	return has
}

// tellImages writes which images the machines of a shard have, now and then, and what is planned for those
// that many fetch.
func (c *Core) tellImages() {
	if c.writingImages || !c.authorized() || !c.dueEvery("images", tuning.WeightsEvery) {
		return
	}
	if w, due := c.weights.Next(c.now, sortedIntKeys(c.heldShards), c.holdsShard, c.imagesOf, c.params.MaxValueBytes-256); due {
		c.writingImages = true
		c.commit(LaneLater, []wire.Condition{c.shardUnchanged(w.Shard)}, []wire.Change{{Put: w.Key, Value: w.Value}}, func(r StateReply) {
			c.writingImages = false
			w.Done(c.now, r.Status == 200)
		})
	}
}

func (c *Core) onAdminWeights(v AdminWeights) {
	view := c.weights.View(c.now, c.params.Node, v.Image)
	for _, m := range c.heldMachines() {
		view.Cached(c.fetcher(m).Copy(), sortedKeys(m.images), v.Image)
	}
	c.answer(v.Req, 200, view)
}
