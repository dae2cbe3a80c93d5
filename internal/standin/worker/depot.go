package worker

import (
	"math"
	"time"

	"github.com/barrowbridge/barrowbridge/wire"
)

// Depot is where workers fetch images: a store whose rate all fetches share, and workers that hand on what
// they have, or have so far, to those that are told of them. A source is asked for parts that
// others are not asked for, and an image is there once all of it is.
type Depot struct {
	StoreGBps float64                    // that all fetches share; 0: the store binds nobody
	Reach     func(from, to string) bool // whether one machine reaches another; nil: always
	workers   map[string]*Worker         // by address
}

const (
	depotStep  = 250 * time.Millisecond // rates change so often at most
	sourceDead = 3 * time.Second        // no source answers for so long: the rest comes from the store
	sourceSlow = 8 * time.Second        // nothing has come for so long, though one answers: the same
)

// join makes a worker known.
func (d *Depot) join(w *Worker) {
	if d.workers == nil {
		d.workers = map[string]*Worker{}
	}
	d.workers[w.Info.Addr] = w
}

// fetching tells whether an image is on its way to a worker.
func (w *Worker) fetching(name string, im *image) bool { return im.left > 0 && w.awaited(name) }

// fromStore counts the fetches from the store.
func (d *Depot) fromStore() (n int) {
	for _, w := range d.workers {
		for name, im := range w.images {
			if len(im.sources) == 0 && !w.Fault.Hung && !w.gone && w.fetching(name, im) {
				n++
			}
		}
	}
	return n
}

// serving counts the workers that fetch something from one.
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

// rate is what a worker gets of an image now, GB/s, of a rate of its own, and how much its sources have
// of it, GB; live: a source answers.
func (d *Depot) rate(w *Worker, name string, im *image, own float64) (rate, have float64, live bool) {
	if len(im.sources) == 0 {
		if d.StoreGBps <= 0 {
			return own, im.gb, true
		}
		return min(own, d.StoreGBps/float64(max(1, d.fromStore()))), im.gb, true
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

// fetch moves an image on by so long.
func (w *Worker) fetch(name string, im *image, own float64, d time.Duration) {
	rate, have := own, im.gb
	if w.work.Depot != nil {
		var live bool
		rate, have, live = w.work.Depot.rate(w, name, im, own)
		if live {
			im.heard = w.at + d
		}
	}
	if left := max(0, im.gb-have, im.left-rate*d.Seconds()); left < im.left {
		im.left, im.moved = left, w.at+d
	}
	if im.left < 1e-6 {
		im.left = 0
	}
	if now := w.at + d; len(im.sources) > 0 && im.left > 0 && (now-im.heard >= sourceDead || now-im.moved >= sourceSlow) {
		im.sources = nil
	}
}

// fetched is when an image is expected to be there, or its rate to be looked at again.
func (w *Worker) fetched(im *image, own float64) Time {
	left := time.Duration(im.left/own*float64(time.Second)) + time.Microsecond
	if w.work.Depot != nil {
		left = min(left, depotStep)
	}
	return w.at + left
}

// begin begins a fetch.
func (w *Worker) begin(now Time, job *Job, c wire.Command) {
	if w.images[job.Image] == nil {
		w.images[job.Image] = &image{gb: job.ImageGB, left: job.ImageGB, used: now, heard: now, moved: now}
		if w.work.Depot != nil {
			w.images[job.Image].sources = c.Sources
		}
	}
}

// Fetched tells which part of an image a worker has.
func (w *Worker) Fetched(name string) float64 {
	im := w.images[name]
	if im == nil {
		return 0
	}
	return math.Max(0, 1-im.left/max(im.gb, 1e-9))
}
