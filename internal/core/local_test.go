package core

import (
	"testing"

	"github.com/barrowbridge/barrowbridge/wire"
)

// A place on a machine goes to the job whose image is there, though another is served
// before it; for a while only.
func TestPlaceGoesToTheJobWhoseImageIsThere(t *testing.T) {
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
		t.Fatalf("%d attempts fill the machine", len(m.attempts))
	}
	for _, id := range []string{"job-000001", "job-000002"} {
		// Neither places its anchor, which goes by other rules.
		run := c.jobs[id].run
		run.done, run.next = run.done.add(0), 1
		c.touchJob(c.jobs[id])
	}
	m.images = map[string]bool{"img-b": true}
	free := func() string {
		for _, k := range sortedAttempts(m) {
			if a := m.attempts[k]; a.job == "job-000000" {
				c.dropAttempt(a)
				break
			}
		}
		c.place()
		newest := attemptKey{}
		for k := range m.attempts {
			if k.try > newest.try {
				newest = k
			}
		}
		return m.attempts[newest].job
	}
	if got := free(); got != "job-000002" {
		t.Errorf("the place went to %s", got)
	}
	c.jobs["job-000001"].run.passedOver = c.now - 10*sec
	if got := free(); got != "job-000001" {
		t.Errorf("passed over for long, and the place went to %s", got)
	}
}
