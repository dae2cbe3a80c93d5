package core

import (
	"testing"

	"github.com/barrowbridge/barrowbridge/wire"
)

// Free capacity on a machine goes to a job whose image the machine has, although another job is
// earlier in the order of service. That job may be passed over for a limited time only.
func TestPlaceGoesToTheJobWhoseImageIsThere(t *testing.T) {
	t.Parallel()
	w := newWorld(t, 12, 1, func(w *world) { w.runS, w.capacity = 1000*sec, 0 })
	name := w.addMachine("n", false, sec)
	w.run(20 * sec)
	for i, image := range []string{"img-x", "img-a", "img-b"} {
		s := spec([]string{"job-000000", "job-000001", "job-000002"}[i], "red", wire.ShapeBatch, []int{4, 8, 8}[i])
		s.Image, s.DueS = &image, ptr(4000.0+float64(i))
		w.submit(s)
		w.run(2 * sec)
	}
	c := w.nodes["c0"].core
	m := c.machines[name]
	if len(m.attempts) != 4 {
		t.Fatalf("the machine has %d attempts, want 4", len(m.attempts))
	}
	for _, id := range []string{"job-000001", "job-000002"} {
		// Marks the first task as done, because the placement of a job's anchor follows other rules.
		run := c.jobs[id].run
		run.done, run.nextIndex = run.done.Add(0), 1
		c.markJobDirty(c.jobs[id])
	}
	m.images = map[string]bool{"img-b": true}
	free := func() string {
		for _, k := range sortedAttemptKeys(m) {
			if a := m.attempts[k]; a.job == "job-000000" {
				c.removeAttempt(a)
				break
			}
		}
		c.placeTasks()
		newest := attemptKey{}
		for k := range m.attempts {
			if k.number > newest.number {
				newest = k
			}
		}
		return m.attempts[newest].job
	}
	if got := free(); got != "job-000002" {
		t.Errorf("the capacity went to %s, want the job whose image is present", got)
	}
	c.jobs["job-000001"].run.passedOverSince = c.now - 10*sec
	if got := free(); got != "job-000001" {
		t.Errorf("the capacity went to %s, want the job that was passed over for long", got)
	}
}

// A gang must not be passed over in part: the rest of it would have to wait on its machines.
func TestGangIsPlacedWhole(t *testing.T) {
	t.Parallel()
	w := newWorld(t, 13, 1, func(w *world) {
		w.runS, w.capacity, w.teams = 1000*sec, 0, map[string]Team{"red": {CPUs: 100, CPUsMax: 100}}
	})
	name := w.addMachine("n", false, sec)
	w.run(20 * sec)
	for i, image := range []string{"img-x", "img-a", "img-b"} {
		s := spec([]string{"job-000000", "job-000001", "job-000002"}[i], "red", []string{wire.ShapeBatch, wire.ShapeGang, wire.ShapeBatch}[i], []int{4, 4, 8}[i])
		s.Image, s.DueS = &image, ptr(4000.0+float64(i))
		w.submit(s)
		w.run(2 * sec)
	}
	c := w.nodes["c0"].core
	m := c.machines[name]
	run := c.jobs["job-000002"].run
	run.done, run.nextIndex = run.done.Add(0), 1
	c.markJobDirty(c.jobs["job-000002"])
	m.images = map[string]bool{"img-b": true}
	for _, k := range sortedAttemptKeys(m) {
		c.removeAttempt(m.attempts[k])
	}
	c.placeTasks()
	if n := len(c.jobs["job-000001"].run.active); n != 4 {
		t.Errorf("%d of 4 tasks of the gang are placed", n)
	}
}
