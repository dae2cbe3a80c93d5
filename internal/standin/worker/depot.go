package worker

import (
	"math"
	"time"

	"github.com/barrowbridge/barrowbridge/wire"
)

// Depot is where workers fetch images from: a store whose rate is shared by all fetches, and other workers
// that serve the part of an image that they have so far to workers that were given them as sources. Each
// source of a fetch serves different parts of the image; a task can use the image once all parts have arrived.
type Depot struct {
	StoreGBps float64                    // shared by all fetches; 0: the store does not limit them
	Reach     func(from, to string) bool // reports whether one machine can reach another; nil: always
	workers   map[string]*Worker         // by address
}

const (
	depotStep          = 250 * time.Millisecond // shortest interval between changes of a fetch rate
	sourceTimeout      = 3 * time.Second        // without an answer from any source for this long, the rest comes from the store
	sourceStallTimeout = 8 * time.Second        // without any data for this long although a source answers, the rest comes from the store
)

// join registers a worker under its address.
func (d *Depot) join(w *Worker) {
	if d.workers == nil {
		d.workers = map[string]*Worker{}
	}
	d.workers[w.Info.Addr] = w
}

// fetching reports whether the worker is fetching an image.
func (w *Worker) fetching(name string, im *image) bool { return im.left > 0 && w.awaited(name) }

// storeFetches returns the number of fetches from the store.
func (d *Depot) storeFetches() (n int) {
	for _, w := range d.workers {
		for name, im := range w.images {
			if len(im.sources) == 0 && !w.Fault.Hung && !w.gone && w.fetching(name, im) {
				n++
			}
		}
	}
	return n
}

// serving returns the number of fetches that have the worker at addr as a source.
func (d *Depot) serving(addr string) (n int) {
	for _, w := range d.workers {
		for name, im := range w.images {
			for _, s := range im.sources {
				if s == addr && !w.gone && w.fetching(name, im) {
					n++
				}
			}
		}
	}
	return n
}

// rate returns the rate in GB/s at which a worker fetches an image now, at most its own rate, and how much of
// the image its sources have, in GB. live reports whether at least one source answers.
func (d *Depot) rate(w *Worker, name string, im *image, own float64) (rate, have float64, live bool) {
	if len(im.sources) == 0 {
		if d.StoreGBps <= 0 {
			return own, im.gb, true
		}
		return min(own, d.StoreGBps/float64(max(1, d.storeFetches()))), im.gb, true
	}
	for _, addr := range im.sources {
		s := d.workers[addr]
		if s == nil || s.gone || s.Fault.Hung || s.images[name] == nil || d.Reach != nil && !d.Reach(s.Info.Name, w.Info.Name) {
			continue
		}
		live = true
		rate += max(s.p.Type.FetchGBps, 1e-3) / float64(max(1, d.serving(addr)))
		have = max(have, im.gb-s.images[name].left)
	}
	return min(own, rate), have, live
}

// fetch advances the fetch of an image by d at a rate of at most own, in GB/s.
func (w *Worker) fetch(name string, im *image, own float64, d time.Duration) {
	rate, have := own, im.gb
	if w.work.Depot != nil {
		var live bool
		rate, have, live = w.work.Depot.rate(w, name, im, own)
		if live {
			im.lastAnswer = w.at + d
		}
	}
	if left := max(0, im.gb-have, im.left-rate*d.Seconds()); left < im.left {
		im.left, im.lastProgress = left, w.at+d
	}
	if im.left < 1e-6 {
		im.left = 0
	}
	if now := w.at + d; len(im.sources) > 0 && im.left > 0 && (now-im.lastAnswer >= sourceTimeout || now-im.lastProgress >= sourceStallTimeout) {
		im.sources = nil
	}
}

// fetched returns when a fetch is expected to complete, or its rate has to be computed again.
func (w *Worker) fetched(im *image, own float64) Time {
	left := time.Duration(im.left/own*float64(time.Second)) + time.Microsecond
	if w.work.Depot != nil {
		left = min(left, depotStep)
	}
	return w.at + left
}

// begin starts fetching the job's image unless the worker already has it or is fetching it.
func (w *Worker) begin(now Time, job *Job, c wire.Command) {
	if w.images[job.Image] == nil {
		w.images[job.Image] = &image{gb: job.ImageGB, left: job.ImageGB, used: now, lastAnswer: now, lastProgress: now}
		if w.work.Depot != nil {
			w.images[job.Image].sources = c.Sources
		}
	}
}

// Fetched returns the share of an image that the worker has, from 0 to 1.
func (w *Worker) Fetched(name string) float64 {
	im := w.images[name]
	if im == nil {
		return 0
	}
	return math.Max(0, 1-im.left/max(im.gb, 1e-9))
}
