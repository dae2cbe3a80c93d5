package load

import (
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/barrowbridge/barrowbridge/wire"
)

// Pipeline is a kind of job chain: stages of jobs that depend on jobs of earlier stages. Its user
// submits each job as soon as its predecessors are accepted. Priority and DueS apply to the last
// stage only.
type Pipeline struct {
	Name     string  `toml:"name"`
	Rate     float64 `toml:"rate"`     // pipelines a second
	Priority string  `toml:"priority"` // of the last stage; the others have the priority of their class
	DueS     float64 `toml:"due_s"`    // of the last stage, seconds from its submission; 0: none
	Late     float64 `toml:"late"`     // share of pipelines whose last stage is submitted after its predecessors are over
	LateS    float64 `toml:"late_s"`   // maximum delay of that submission, in seconds
	Cancel   float64 `toml:"cancel"`   // share of pipelines of which one random job is cancelled
	CancelS  float64 `toml:"cancel_s"` // maximum time from its acceptance to its cancellation, in seconds
	Stages   []Stage `toml:"stage"`
}

// Stage is a number of jobs of one class.
type Stage struct {
	Class string   `toml:"class"`
	Jobs  []int    `toml:"jobs"`  // minimum and maximum number; default: one
	Needs []string `toml:"needs"` // classes of earlier stages; each job depends on all jobs of these classes in its pipeline
	// Earlier is a class; each job also depends on the latest accepted job of that class, from any
	// pipeline or none.
	Earlier string `toml:"earlier"`
}

// Bounds of pipelines.
const (
	maxStages    = 64
	maxStageJobs = 300 // jobs of one stage
)

// minRate returns the minimum rate of a class, in jobs a second: 0 if a pipeline uses the class.
func (p *Plan) minRate(class string) float64 {
	for _, l := range p.Pipelines {
		if slices.ContainsFunc(l.Stages, func(s Stage) bool { return s.Class == class }) {
			return 0
		}
	}
	return 0.0001
}

// class returns the index of a class in the plan, -1 if there is none.
func (p *Plan) class(name string) int {
	return slices.IndexFunc(p.Classes, func(c Class) bool { return c.Name == name })
}

func (p *Plan) checkPipeline(k string, l *Pipeline) error {
	if l.Name == "" || len(l.Stages) == 0 || len(l.Stages) > maxStages {
		return fmt.Errorf("%sname: a pipeline needs name and 1 to %d stages", k, maxStages)
	}
	if l.Priority != "" && wire.PriorityRank(l.Priority) < 0 {
		return fmt.Errorf("%spriority: must be production, urgent, normal or idle", k)
	}
	for _, err := range []error{within(k+"rate", l.Rate, 0.0001, 10000), within(k+"due_s", l.DueS, 0, maxSeconds), within(k+"late", l.Late, 0, 1),
		within(k+"late_s", l.LateS, 0, maxSeconds), within(k+"cancel", l.Cancel, 0, 1), within(k+"cancel_s", l.CancelS, 0, maxSeconds)} {
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
		if len(s.Jobs) != 2 || s.Jobs[0] < 1 || s.Jobs[1] < s.Jobs[0] || s.Jobs[1] > maxStageJobs {
			return fmt.Errorf("%sjobs: must be [least, most], from 1 to %d", ks, maxStageJobs)
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

// pipelineRun is one instance of a pipeline. ids holds the ids given to its jobs so far, in order.
type pipelineRun struct{ ids []string }

// draw appends the jobs of all instances of a pipeline, each job after its predecessors.
func (p *Plan) draw(out []Arrival, kind int, src *rand.Rand) []Arrival {
	l := &p.Pipelines[kind]
	for at := src.ExpFloat64() / l.Rate; at < p.ForS; at += src.ExpFloat64() / l.Rate {
		one, jobsOf, begin := &pipelineRun{}, map[string][]int{}, len(out)
		late := time.Duration(0)
		if src.Float64() < l.Late {
			late = time.Millisecond + time.Duration(src.Float64()*l.LateS*float64(time.Second))
		}
		for i, s := range l.Stages {
			var needs, stageJobs []int
			for _, n := range s.Needs {
				needs = append(needs, jobsOf[n]...)
			}
			for range s.Jobs[0] + src.IntN(s.Jobs[1]-s.Jobs[0]+1) {
				class := p.class(s.Class)
				a := p.Classes[class].arrival(class, at, src)
				a.pipeline, a.needs, a.earlier = one, needs, s.Earlier
				if i == len(l.Stages)-1 {
					a.late = late
					if l.DueS > 0 {
						a.Spec.DueS = &l.DueS
					}
					if l.Priority != "" {
						a.Spec.Priority = &l.Priority
					}
				}
				stageJobs, out = append(stageJobs, len(out)-begin), append(out, a)
			}
			jobsOf[s.Class] = append(jobsOf[s.Class], stageJobs...)
		}
		if src.Float64() < l.Cancel {
			out[begin+src.IntN(len(out)-begin)].Lasts = time.Millisecond + time.Duration(src.Float64()*l.CancelS*float64(time.Second))
		}
	}
	return out
}

// addToPipeline records the id of a job in its pipeline and sets the ids of its predecessors. It
// must be called in the order of the jobs.
func (a *Arrival) addToPipeline() {
	if a.pipeline == nil {
		return
	}
	for _, n := range a.needs {
		a.Spec.Predecessors = append(a.Spec.Predecessors, a.pipeline.ids[n])
	}
	a.pipeline.ids = append(a.pipeline.ids, *a.Spec.ID)
}

// pipelineJob is the progress of a job of a pipeline. Each channel is closed when its event has
// happened.
type pipelineJob struct {
	submitted chan struct{}
	over      chan struct{}
	refused   bool // refused, lost or never sent; read only after submitted is closed
}

// newPipelineJobs returns a pipelineJob for each job that others may wait for, by id.
func newPipelineJobs(arrivals []Arrival) map[string]*pipelineJob {
	out := map[string]*pipelineJob{}
	for _, a := range arrivals {
		if a.pipeline != nil {
			out[*a.Spec.ID] = &pipelineJob{submitted: make(chan struct{}), over: make(chan struct{})}
		}
	}
	return out
}

// awaitPredecessors waits until a job of a pipeline is to be submitted and adds its predecessor of
// the class Earlier. It returns false if a predecessor was not accepted or the context ended.
func (r *runner) awaitPredecessors(ctx context.Context, a *Arrival) bool {
	for _, id := range a.Spec.Predecessors {
		f := r.pipelineJobs[id]
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

// recordSubmission records the outcome of a job's submission and notifies the jobs that wait for
// it. The caller holds r.mu.
func (r *runner) recordSubmission(a *Arrival, accepted bool) {
	if accepted {
		r.latest[*a.Spec.Class] = *a.Spec.ID
	}
	if f := r.pipelineJobs[*a.Spec.ID]; f != nil {
		f.refused = !accepted
		close(f.submitted)
		if !accepted {
			close(f.over)
		}
	}
}

// recordEnd stops polling a job, notifies the jobs that wait for its end, and records its latency
// and whether it met its deadline. The caller holds r.mu.
func (r *runner) recordEnd(j *activeJob, status string) {
	id := *j.a.Spec.ID
	delete(r.active, id)
	if f := r.pipelineJobs[id]; f != nil {
		close(f.over)
	}
	if status == wire.JobDone { // also the answer to a cancellation that came too late
		_ = r.out.Classes[j.a.Class].Done.RecordValue(since(j.intendedAt))
	}
	if deadlineS := j.a.Spec.DueS; deadlineS != nil && status == wire.JobDone {
		r.out.Due++
		if time.Since(j.intendedAt).Seconds() <= *deadlineS {
			r.out.Met++
		}
	}
}
