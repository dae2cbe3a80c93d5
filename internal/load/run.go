package load

import (
	"context"
	"fmt"
	"io"
	"sort"
	"strings"
	"sync"
	"text/tabwriter"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/barrowbridge/barrowbridge/wire"
)

const (
	pollEvery   = time.Second       // of a job's user
	lateMost    = time.Second       // an arrival that could not be sent by then is not sent
	histMaxMS   = int64(6 * 3600e3) // six hours
	histDigits  = 3
	pollersMost = 64 // polls under way at once
)

// Latencies of one class, in milliseconds from the intended time of submission.
type Latencies struct {
	Class    string
	Accepted *hdrhistogram.Histogram
	Running  *hdrhistogram.Histogram // until its user was told that all of it runs, or is done
	Done     *hdrhistogram.Histogram
}

// Outcome is what a load run saw.
type Outcome struct {
	Planned   int // arrivals
	Sent      int
	NotSent   int                     // in_flight was reached, or this program came too late
	LeftOut   int                     // beyond most
	Refused   int                     // for good
	Lost      int                     // no controller took it within a minute
	Open      int                     // not over at the end
	Due       int                     // done, of those with a deadline
	Met       int                     // done by it
	SendDelay *hdrhistogram.Histogram // milliseconds between the intended and the true time
	Classes   []*Latencies
	Why       map[string]int // refusals by reason
}

func histogram() *hdrhistogram.Histogram { return hdrhistogram.New(1, histMaxMS, histDigits) }

func sortArrivals(list []Arrival) {
	sort.SliceStable(list, func(i, j int) bool { return list[i].At < list[j].At })
}

// live is a job that is accepted and not over.
type live struct {
	a        Arrival
	due      time.Time // when its user meant to submit it
	running  bool
	cancelAt time.Time
}

// runner carries a plan out.
type runner struct {
	plan  *Plan
	users *Client
	begun time.Time

	fates map[string]*fate // of the jobs of pipelines

	mu     sync.Mutex
	out    *Outcome
	live   map[string]*live
	latest map[string]string // the latest accepted job of each class
}

// Run offers a plan's load to the controllers and follows every job until it is over
// or the time to drain is up. It ends by itself.
func Run(ctx context.Context, p *Plan, seed, first uint64, users *Client, progress io.Writer) *Outcome {
	arrivals, left := p.Schedule(seed, first)
	r := &runner{plan: p, users: users, begun: time.Now(), live: map[string]*live{}, fates: fates(arrivals), latest: map[string]string{},
		out: &Outcome{Planned: len(arrivals), LeftOut: left, SendDelay: histogram(), Why: map[string]int{}}}
	for _, c := range p.Classes {
		r.out.Classes = append(r.out.Classes, &Latencies{Class: c.Name, Accepted: histogram(), Running: histogram(), Done: histogram()})
	}
	ctx, cancel := context.WithTimeout(ctx, time.Duration((p.ForS+p.DrainS)*float64(time.Second)))
	defer cancel()
	followed := make(chan struct{})
	offered := make(chan struct{})
	go func() { defer close(followed); r.follow(ctx, offered) }()
	r.offer(ctx, arrivals, progress)
	close(offered)
	<-followed
	r.mu.Lock()
	defer r.mu.Unlock()
	r.out.Open = len(r.live)
	return r.out
}

// offer submits at the intended times, whatever became of what was sent before.
func (r *runner) offer(ctx context.Context, arrivals []Arrival, progress io.Writer) {
	slots := make(chan struct{}, r.plan.InFlight)
	var wg sync.WaitGroup
	said := time.Now()
	for i, a := range arrivals {
		due := r.begun.Add(a.At)
		select {
		case <-ctx.Done():
			r.count(func(o *Outcome) { o.NotSent += len(arrivals) - i })
			wg.Wait()
			return
		case <-time.After(time.Until(due)):
		}
		if progress != nil && time.Since(said) > 5*time.Second {
			said = time.Now()
			fmt.Fprintf(progress, "%.0f s: %d of %d offered\n", time.Since(r.begun).Seconds(), i, len(arrivals))
		}
		late := time.Since(due)
		r.count(func(o *Outcome) { _ = o.SendDelay.RecordValue(max(1, late.Milliseconds())) })
		if late > lateMost {
			r.drop(&a)
			continue
		}
		wg.Go(func() {
			if a.pipe != nil {
				if !r.ready(ctx, &a) {
					r.drop(&a)
					return
				}
				if len(a.needs) > 0 {
					due = time.Now()
				}
			}
			select {
			case slots <- struct{}{}:
				defer func() { <-slots }()
				r.submit(ctx, a, due)
			default:
				r.drop(&a)
			}
		})
	}
	wg.Wait()
}

// drop does not send a job.
func (r *runner) drop(a *Arrival) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.out.NotSent++
	r.settled(a, false)
}

func (r *runner) count(f func(*Outcome)) {
	r.mu.Lock()
	defer r.mu.Unlock()
	f(r.out)
}

func (r *runner) submit(ctx context.Context, a Arrival, due time.Time) {
	r.count(func(o *Outcome) { o.Sent++ })
	_, err := r.users.Submit(ctx, a.Spec)
	r.mu.Lock()
	defer r.mu.Unlock()
	r.settled(&a, err == nil)
	switch {
	case err == nil:
		_ = r.out.Classes[a.Class].Accepted.RecordValue(since(due))
		r.live[*a.Spec.ID] = &live{a: a, due: due, cancelAt: time.Now().Add(a.Lasts)}
	case strings.HasPrefix(err.Error(), "refused"):
		r.out.Refused++
		r.out.Why[err.Error()]++
	default:
		r.out.Lost++
	}
}

// since is the time from the intended moment, in milliseconds.
func since(due time.Time) int64 { return min(histMaxMS, max(1, time.Since(due).Milliseconds())) }

// follow polls what is accepted until all is over.
func (r *runner) follow(ctx context.Context, offered <-chan struct{}) {
	t := time.NewTicker(pollEvery)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			r.cancelAll()
			return
		case <-t.C:
		}
		ids := r.ids()
		over := false
		select {
		case <-offered:
			over = len(ids) == 0
		default:
		}
		if over {
			return
		}
		r.each(ids, func(id string) { r.look(ctx, id) })
	}
}

func (r *runner) ids() []string {
	r.mu.Lock()
	defer r.mu.Unlock()
	ids := make([]string, 0, len(r.live))
	for id := range r.live {
		ids = append(ids, id)
	}
	sort.Strings(ids)
	return ids
}

// each does something for every id, a bounded number at once.
func (r *runner) each(ids []string, f func(string)) {
	slots := make(chan struct{}, pollersMost)
	var wg sync.WaitGroup
	for _, id := range ids {
		slots <- struct{}{}
		wg.Go(func() {
			defer func() { <-slots }()
			f(id)
		})
	}
	wg.Wait()
}

// look polls a job once, and cancels one whose time is up.
func (r *runner) look(ctx context.Context, id string) {
	r.mu.Lock()
	j := *r.live[id]
	r.mu.Unlock()
	if j.a.Lasts > 0 && time.Now().After(j.cancelAt) {
		if st, err := r.users.Abort(ctx, id); err == nil {
			r.mu.Lock()
			defer r.mu.Unlock()
			r.over(&j, st.Status)
		}
		return
	}
	status, st := r.users.Poll(ctx, id)
	if status != 200 {
		return
	}
	class := r.out.Classes[j.a.Class]
	r.mu.Lock()
	defer r.mu.Unlock()
	done := st.Status == wire.JobDone
	if !j.running && (done || st.Running != nil && int64(*st.Running) >= *j.a.Spec.Tasks) {
		r.live[id].running = true
		_ = class.Running.RecordValue(since(j.due))
	}
	if done || st.Status == wire.JobAborted {
		r.over(&j, st.Status)
	}
}

// cancelAll cancels what is left, so that a run leaves no work behind.
func (r *runner) cancelAll() {
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	r.each(r.ids(), func(id string) { _, _ = r.users.Abort(ctx, id) })
}

// Print prints an outcome for people.
func (o *Outcome) Print(out io.Writer) error {
	fmt.Fprintf(out, "%d jobs planned: %d sent, %d not sent, %d beyond the most; %d refused, %d lost, %d not over at the end\n",
		o.Planned, o.Sent, o.NotSent, o.LeftOut, o.Refused, o.Lost, o.Open)
	fmt.Fprintf(out, "sent late by: p50 %d ms, p99 %d ms, at most %d ms\n", o.SendDelay.ValueAtQuantile(50), o.SendDelay.ValueAtQuantile(99), o.SendDelay.Max())
	if o.Due > 0 {
		fmt.Fprintf(out, "of %d done that have a deadline %d met it\n", o.Due, o.Met)
	}
	for why, n := range o.Why {
		fmt.Fprintf(out, "  %d times: %s\n", n, why)
	}
	w := tabwriter.NewWriter(out, 0, 4, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(w, "class\tfrom the intended time until\tjobs\tp50 ms\tp90 ms\tp99 ms\tmost ms\t")
	for _, c := range o.Classes {
		for _, h := range c.Each() {
			fmt.Fprintf(w, "%s\t%s\t%d\t%d\t%d\t%d\t%d\t\n", c.Class, h.Name, h.H.TotalCount(), h.H.ValueAtQuantile(50), h.H.ValueAtQuantile(90), h.H.ValueAtQuantile(99), h.H.Max())
		}
	}
	return w.Flush()
}

// Named is a histogram with its name.
type Named struct {
	Name string
	H    *hdrhistogram.Histogram
}

// Each lists a class's histograms.
func (l *Latencies) Each() []Named {
	return []Named{{"accepted", l.Accepted}, {"running", l.Running}, {"done", l.Done}}
}
