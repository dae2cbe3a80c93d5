package load

import (
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/barrowbridge/barrowbridge/wire"
)

// Pipeline is a kind of job chains: stages of jobs that need earlier ones. Its user submits each
// job as soon as those that it needs are accepted. The last stage alone has priority and deadline.
type Pipeline struct {
	Name     string  `toml:"name"`
	Rate     float64 `toml:"rate"`     // pipelines a second
	Priority string  `toml:"priority"` // of the last stage; the others have that of their classes
	DueS     float64 `toml:"due_s"`    // of the last stage, seconds from its submission; 0: none
	Late     float64 `toml:"late"`     // share whose last stage is submitted when all before it is over
	LateS    float64 `toml:"late_s"`   // so long after, at most
	Cancel   float64 `toml:"cancel"`   // share of which a job, any, is cancelled
	CancelS  float64 `toml:"cancel_s"` // within so long after its acceptance
	Stages   []Stage `toml:"stage"`
}

// Stage is a number of jobs of one class.
type Stage struct {
	Class string   `toml:"class"`
	Jobs  []int    `toml:"jobs"`  // least and most; one without
	Needs []string `toml:"needs"` // classes of earlier stages, all jobs of which each of these needs
	// Earlier is a class; each job also needs the latest accepted job of it, whoever submitted it.
	Earlier string `toml:"earlier"`
}

// Bounds of pipelines.
const (
	mostStages = 64
	mostJobs   = 300 // of one stage
)

// leastRate is the least rate of a class: 0 if it comes in pipelines.
func (p *Plan) leastRate(class string) float64 {
	for _, l := range p.Pipelines {
		if slices.ContainsFunc(l.Stages, func(s Stage) bool { return s.Class == class }) {
			return 0
		}
	}
	return 0.0001
}

// class is a class's place in the plan; -1: there is none.
func (p *Plan) class(name string) int {
	return slices.IndexFunc(p.Classes, func(c Class) bool { return c.Name == name })
}

func (p *Plan) checkPipeline(k string, l *Pipeline) error {
	if l.Name == "" || len(l.Stages) == 0 || len(l.Stages) > mostStages {
		return fmt.Errorf("%sname: a pipeline needs name and 1 to %d stages", k, mostStages)
	}
	if l.Priority != "" && wire.PriorityRank(l.Priority) < 0 {
		return fmt.Errorf("%spriority: must be production, urgent, normal or idle", k)
	}
	for _, err := range []error{within(k+"rate", l.Rate, 0.0001, 10000), within(k+"due_s", l.DueS, 0, longest), within(k+"late", l.Late, 0, 1),
		within(k+"late_s", l.LateS, 0, longest), within(k+"cancel", l.Cancel, 0, 1), within(k+"cancel_s", l.CancelS, 0, longest)} {
		if err != nil {
			return err
		}
	}
	before := map[string]bool{}
	for i := range l.Stages {
		s, ks := &l.Stages[i], fmt.Sprintf("%sstage[%d].", k, i)
		if s.Jobs == nil {
			s.Jobs = []int{1, 1}
		}
		for _, c := range []struct{ key, name string }{{"class", s.Class}, {"earlier", s.Earlier}} {
			at := p.class(c.name)
			if c.key == "earlier" && c.name == "" {
				continue
			}
			if at < 0 || p.Classes[at].Shape == wire.ShapeService {
				return fmt.Errorf("%s%s: %q is no class of batch jobs", ks, c.key, c.name)
			}
		}
		if len(s.Jobs) != 2 || s.Jobs[0] < 1 || s.Jobs[1] < s.Jobs[0] || s.Jobs[1] > mostJobs {
			return fmt.Errorf("%sjobs: must be [least, most], from 1 to %d", ks, mostJobs)
		}
		for _, n := range s.Needs {
			if !before[n] {
				return fmt.Errorf("%sneeds: %q is no class of an earlier stage", ks, n)
			}
		}
		before[s.Class] = true
	}
	return nil
}

// pipe is one pipeline: the jobs that have a name yet, by their place in it.
type pipe struct{ ids []string }

// draw appends the jobs of all pipelines of a kind, each after those that it needs.
func (p *Plan) draw(out []Arrival, kind int, src *rand.Rand) []Arrival {
	l := &p.Pipelines[kind]
	for at := src.ExpFloat64() / l.Rate; at < p.ForS; at += src.ExpFloat64() / l.Rate {
		one, of, begin := &pipe{}, map[string][]int{}, len(out)
		late := time.Duration(0)
		if src.Float64() < l.Late {
			late = time.Millisecond + time.Duration(src.Float64()*l.LateS*float64(time.Second))
		}
		for i, s := range l.Stages {
			var needs, mine []int
			for _, n := range s.Needs {
				needs = append(needs, of[n]...)
			}
			for range s.Jobs[0] + src.IntN(s.Jobs[1]-s.Jobs[0]+1) {
				class := p.class(s.Class)
				a := p.Classes[class].arrival(class, at, src)
				a.pipe, a.needs, a.earlier = one, needs, s.Earlier
				if i == len(l.Stages)-1 {
					a.late = late
					if l.DueS > 0 {
						a.Spec.DueS = &l.DueS
					}
					if l.Priority != "" {
						a.Spec.Priority = &l.Priority
					}
				}
				mine, out = append(mine, len(out)-begin), append(out, a)
			}
			of[s.Class] = append(of[s.Class], mine...)
		}
		if src.Float64() < l.Cancel {
			out[begin+src.IntN(len(out)-begin)].Lasts = time.Millisecond + time.Duration(src.Float64()*l.CancelS*float64(time.Second))
		}
	}
	return out
}

// name gives a job of a pipeline its place there, and the names of those that it needs. Jobs are
// named in their order.
func (a *Arrival) name() {
	if a.pipe == nil {
		return
	}
	for _, n := range a.needs {
		a.Spec.Predecessors = append(a.Spec.Predecessors, a.pipe.ids[n])
	}
	a.pipe.ids = append(a.pipe.ids, *a.Spec.ID)
}

// fate is how far a job of a pipeline has come. The channels are closed when that is known.
type fate struct {
	submitted chan struct{}
	over      chan struct{}
	refused   bool // or lost, or never sent; read once submitted is closed
}

// fates makes one for each job that others may wait for.
func fates(arrivals []Arrival) map[string]*fate {
	out := map[string]*fate{}
	for _, a := range arrivals {
		if a.pipe != nil {
			out[*a.Spec.ID] = &fate{submitted: make(chan struct{}), over: make(chan struct{})}
		}
	}
	return out
}

// ready waits until a job of a pipeline is to be submitted and names what it needs of earlier
// classes; false: one that it needs was not accepted.
func (r *runner) ready(ctx context.Context, a *Arrival) bool {
	for _, id := range a.Spec.Predecessors {
		f := r.fates[id]
		until := f.submitted
		if a.late > 0 {
			until = f.over
		}
		select {
		case <-ctx.Done():
			return false
		case <-until:
		}
		if f.refused {
			return false
		}
	}
	if a.late > 0 && len(a.Spec.Predecessors) > 0 {
		select {
		case <-ctx.Done():
			return false
		case <-time.After(a.late):
		}
	}
	if a.earlier != "" {
		r.mu.Lock()
		defer r.mu.Unlock()
		if id := r.latest[a.earlier]; id != "" && !slices.Contains(a.Spec.Predecessors, id) {
			a.Spec.Predecessors = append(a.Spec.Predecessors, id)
		}
	}
	return true
}

// settled tells those who wait for a job's submission how it ended. r.mu is held.
func (r *runner) settled(a *Arrival, accepted bool) {
	if accepted {
		r.latest[*a.Spec.Class] = *a.Spec.ID
	}
	if f := r.fates[*a.Spec.ID]; f != nil {
		f.refused = !accepted
		close(f.submitted)
		if !accepted {
			close(f.over)
		}
	}
}

// over ends the following of a job, tells those who wait for its end, and measures it against its
// deadline. r.mu is held.
func (r *runner) over(j *live, status string) {
	id := *j.a.Spec.ID
	delete(r.live, id)
	if f := r.fates[id]; f != nil {
		close(f.over)
	}
	if status == wire.JobDone { // also the answer to a cancellation that came too late
		_ = r.out.Classes[j.a.Class].Done.RecordValue(since(j.due))
	}
	if due := j.a.Spec.DueS; due != nil && status == wire.JobDone {
		r.out.Due++
		if time.Since(j.due).Seconds() <= *due {
			r.out.Met++
		}
	}
}
