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
	pollEvery          = time.Second       // interval between polls of a job
	maxSendDelay       = time.Second       // an arrival that is delayed by more than this is not sent
	histMaxMS          = int64(6 * 3600e3) // six hours
	histDigits         = 3
	maxConcurrentPolls = 64 // maximum number of concurrent polls
)

// Latencies holds the latencies of one class, in milliseconds from the intended time of submission.
type Latencies struct {
	Class    string
	Accepted *hdrhistogram.Histogram
	Running  *hdrhistogram.Histogram // until its user received that all its tasks run, or that it is done
	Done     *hdrhistogram.Histogram
}

// Outcome is the result of a load run.
type Outcome struct {
	Planned   int // arrivals
	Sent      int
	NotSent   int                     // in_flight was reached, this program was too late, or a predecessor was not accepted
	LeftOut   int                     // dropped because they exceed most
	Refused   int                     // permanently refused
	Lost      int                     // no controller accepted it within a minute
	Open      int                     // not over at the end
	Due       int                     // jobs with a deadline that are done
	Met       int                     // of these, done by their deadline
	SendDelay *hdrhistogram.Histogram // milliseconds between the intended and the actual time of sending
	Classes   []*Latencies
	Why       map[string]int // refusals by reason
}

func histogram() *hdrhistogram.Histogram { return hdrhistogram.New(1, histMaxMS, histDigits) }

func sortArrivals(list []Arrival) {
	sort.SliceStable(list, func(i, j int) bool { return list[i].At < list[j].At })
}

// activeJob is a job that is accepted and not over.
type activeJob struct {
	a          Arrival
	intendedAt time.Time // intended time of submission
	running    bool
	cancelAt   time.Time
}

// runner executes a plan.
type runner struct {
	plan      *Plan
	users     *Client
	startedAt time.Time

	pipelineJobs map[string]*pipelineJob // jobs of pipelines, by id

	mu     sync.Mutex
	out    *Outcome
	active map[string]*activeJob
	latest map[string]string // class -> its latest accepted job
}

// Run sends a plan's load to the controllers and polls every job until it is over or
// the drain time has passed.
func Run(ctx context.Context, p *Plan, seed, first uint64, users *Client, progress io.Writer) *Outcome {
	arrivals, left := p.Schedule(seed, first)
	r := &runner{plan: p, users: users, startedAt: time.Now(), active: map[string]*activeJob{}, pipelineJobs: newPipelineJobs(arrivals), latest: map[string]string{},
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
	r.out.Open = len(r.active)
	return r.out
}

// offer submits jobs at their intended times, independent of the outcome of earlier submissions,
// except that jobs of pipelines wait for their predecessors.
func (r *runner) offer(ctx context.Context, arrivals []Arrival, progress io.Writer) {
	slots := make(chan struct{}, r.plan.InFlight)
	var wg sync.WaitGroup
	lastProgress := time.Now()
	for i, a := range arrivals {
		intendedAt := r.startedAt.Add(a.At)
		select {
		case <-ctx.Done():
			r.count(func(o *Outcome) { o.NotSent += len(arrivals) - i })
			wg.Wait()
			return
		case <-time.After(time.Until(intendedAt)):
		}
		if progress != nil && time.Since(lastProgress) > 5*time.Second {
			lastProgress = time.Now()
			fmt.Fprintf(progress, "%.0f s: %d of %d offered\n", time.Since(r.startedAt).Seconds(), i, len(arrivals))
		}
		late := time.Since(intendedAt)
		r.count(func(o *Outcome) { _ = o.SendDelay.RecordValue(max(1, late.Milliseconds())) })
		if late > maxSendDelay {
			r.drop(&a)
			continue
		}
		wg.Go(func() {
			if a.pipeline != nil {
				if !r.awaitPredecessors(ctx, &a) {
					r.drop(&a)
					return
				}
				if len(a.needs) > 0 {
					intendedAt = time.Now()
				}
			}
			select {
			case slots <- struct{}{}:
				defer func() { <-slots }()
				r.submit(ctx, a, intendedAt)
			default:
				r.drop(&a)
			}
		})
	}
	wg.Wait()
}

// drop records that a job was not sent.
func (r *runner) drop(a *Arrival) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.out.NotSent++
	r.recordSubmission(a, false)
}

func (r *runner) count(f func(*Outcome)) {
	r.mu.Lock()
	defer r.mu.Unlock()
	f(r.out)
}

func (r *runner) submit(ctx context.Context, a Arrival, intendedAt time.Time) {
	r.count(func(o *Outcome) { o.Sent++ })
	_, err := r.users.Submit(ctx, a.Spec)
	r.mu.Lock()
	defer r.mu.Unlock()
	r.recordSubmission(&a, err == nil)
	switch {
	case err == nil:
		_ = r.out.Classes[a.Class].Accepted.RecordValue(since(intendedAt))
		r.active[*a.Spec.ID] = &activeJob{a: a, intendedAt: intendedAt, cancelAt: time.Now().Add(a.Lasts)}
	case strings.HasPrefix(err.Error(), "refused"):
		r.out.Refused++
		r.out.Why[err.Error()]++
	default:
		r.out.Lost++
	}
}

// since returns the time since the intended submission, in milliseconds.
func since(intendedAt time.Time) int64 {
	return min(histMaxMS, max(1, time.Since(intendedAt).Milliseconds()))
}

// follow polls the accepted jobs until all are over and none is left to submit. If the context
// ends first, it cancels the rest.
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
		r.each(ids, func(id string) { r.pollJob(ctx, id) })
	}
}

func (r *runner) ids() []string {
	r.mu.Lock()
	defer r.mu.Unlock()
	ids := make([]string, 0, len(r.active))
	for id := range r.active {
		ids = append(ids, id)
	}
	sort.Strings(ids)
	return ids
}

// each calls f for every id, for at most maxConcurrentPolls at once.
func (r *runner) each(ids []string, f func(string)) {
	slots := make(chan struct{}, maxConcurrentPolls)
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

// pollJob polls a job once, or cancels it if its time is up.
func (r *runner) pollJob(ctx context.Context, id string) {
	r.mu.Lock()
	j := *r.active[id]
	r.mu.Unlock()
	if j.a.Lasts > 0 && time.Now().After(j.cancelAt) {
		if st, err := r.users.Abort(ctx, id); err == nil {
			r.mu.Lock()
			defer r.mu.Unlock()
			r.recordEnd(&j, st.Status)
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
		r.active[id].running = true
		_ = class.Running.RecordValue(since(j.intendedAt))
	}
	if done || st.Status == wire.JobAborted {
		r.recordEnd(&j, st.Status)
	}
}

// cancelAll cancels the remaining jobs, so that a run leaves no work behind.
func (r *runner) cancelAll() {
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	r.each(r.ids(), func(id string) { _, _ = r.users.Abort(ctx, id) })
}

// Print writes an outcome in readable form.
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

// Each returns a class's histograms with their names.
func (l *Latencies) Each() []Named {
	return []Named{{"accepted", l.Accepted}, {"running", l.Running}, {"done", l.Done}}
}
