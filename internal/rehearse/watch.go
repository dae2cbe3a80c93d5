package rehearse

import (
	"context"
	"fmt"
	"net/http"
	"slices"
	"sort"
	"strings"
	"time"

	"github.com/barrowbridge/barrowbridge/internal/cborhttp"
	"github.com/barrowbridge/barrowbridge/internal/checker"
	"github.com/barrowbridge/barrowbridge/internal/recovery"
	"github.com/barrowbridge/barrowbridge/internal/standin/site"
	"github.com/barrowbridge/barrowbridge/internal/trail"
	"github.com/barrowbridge/barrowbridge/wire"
)

// event records an observation of a worker. It is called with the site's lock held.
func (r *rehearsal) event(e site.Event) {
	r.mu.Lock()
	defer r.mu.Unlock()
	at := e.At - r.zero
	s := at.Seconds()
	switch e.Kind {
	case site.MachineUp:
		r.begin("machine "+e.Machine, &r.line.Machines, Span{Who: e.Machine, What: "up", FromS: s})
	case site.MachineGone:
		r.end("machine "+e.Machine, &r.line.Machines, s, "gone")
	case site.TaskStarted:
		r.begin(e.Machine+" "+e.Task, &r.line.Tasks, Span{Who: e.Machine, What: e.Task, FromS: s})
	case site.TaskLeft:
		cause := e.Cause
		if cause == "" {
			cause = "lost"
		}
		r.end(e.Machine+" "+e.Task, &r.line.Tasks, s, cause)
	}
	if strings.HasPrefix(e.Kind, "task_") && r.over == 0 {
		r.seen = append(r.seen, recovery.Observation{At: at, From: recovery.FromWorker, Kind: e.Kind, Machine: e.Machine, Task: e.Task, Cause: e.Cause, Shard: -1})
	}
}

// begin and end open and close a span of the timeline.
func (r *rehearsal) begin(key string, spans *[]Span, s Span) {
	s.ToS = -1
	r.open[key] = len(*spans)
	*spans = append(*spans, s)
}

func (r *rehearsal) end(key string, spans *[]Span, at float64, how string) {
	if i, ok := r.open[key]; ok {
		(*spans)[i].ToS, (*spans)[i].End = at, how
		delete(r.open, key)
	}
}

// readTrails reads the new trail events of every running controller.
func (r *rehearsal) readTrails(ctx context.Context) {
	for _, n := range r.site.Names() {
		if !r.site.Controller(n).Alive() {
			continue
		}
		ctx, cancel := context.WithTimeout(ctx, trailInterval)
		_, raw, err := cborhttp.RoundTrip(ctx, r.http, http.MethodGet, fmt.Sprintf("http://%s/admin/v1/trail?after=%d", r.site.Direct(n), r.after[n]), nil)
		cancel()
		var t wire.Trail
		if err != nil || wire.Unmarshal(raw, &t) != nil || t.Node != n {
			continue
		}
		if r.boots[n] != 0 && t.Boot != r.boots[n] && t.Boot != 0 { // a new incarnation numbers its events from 1
			if r.after[n] > 0 {
				r.after[n], r.boots[n] = 0, t.Boot
				continue
			}
		}
		if t.Boot != 0 {
			r.boots[n] = t.Boot
		}
		r.after[n] = t.Next
		r.mu.Lock()
		for _, e := range t.Events {
			r.recordTrailEvent(n, e)
		}
		r.mu.Unlock()
	}
}

// recordTrailEvent records one event of a controller's trail.
func (r *rehearsal) recordTrailEvent(node string, e wire.TrailEvent) {
	at := time.Duration(e.WallMS)*time.Millisecond - time.Duration(r.site.Begun().UnixMilli())*time.Millisecond - r.zero
	o := recovery.Observation{At: at, From: recovery.FromTrail, Kind: e.Kind, Machine: e.Machine, Task: e.Task, Job: e.Job, Node: e.Node, By: node, Shard: -1}
	if e.Shard != nil {
		o.Shard = *e.Shard
	}
	r.seen = append(r.seen, o)
	switch e.Kind {
	case trail.Leading:
		r.end("leader", &r.line.Leaders, at.Seconds(), "")
		r.begin("leader", &r.line.Leaders, Span{Who: node, What: "leads", FromS: at.Seconds()})
	case trail.ShardHeld:
		key := fmt.Sprint("shard ", o.Shard)
		r.end(key, &r.line.Shards, at.Seconds(), "")
		r.begin(key, &r.line.Shards, Span{Who: node, What: key, FromS: at.Seconds()})
	case trail.ControllerGone:
		if i, ok := r.open["leader"]; ok && r.line.Leaders[i].Who == e.Node {
			r.end("leader", &r.line.Leaders, at.Seconds(), "gone")
		}
	}
}

// running returns the number of a job's tasks on machines with a valid lease, and the number of
// its completed tasks.
func (r *rehearsal) running(id string) (on, done int) {
	r.site.Check(func(now time.Duration, c *checker.Checker) {
		tasks := map[string]bool{}
		for _, s := range c.On(id, now) {
			t, _, _ := strings.Cut(s, " ")
			tasks[t] = true
		}
		on, done = len(tasks), c.DoneTasks(id)
	})
	return on, done
}

// watch records which jobs run in full, since when and for how long.
func (r *rehearsal) watch(now, passed time.Duration) {
	for _, id := range r.jobIDs() {
		on, done := r.running(id)
		r.mu.Lock()
		j := r.jobs[id]
		full := on+done >= int(*j.spec.Tasks)
		if full && j.running == 0 {
			j.running = now
		}
		if j.running > 0 && j.done == 0 {
			j.watched += passed
			if full {
				j.up += passed
			}
			if j.plan.Shape == wire.ShapeService {
				r.cost.ReplicaLostS += max(0, float64(int(*j.spec.Tasks)-on)) * passed.Seconds()
			}
		}
		if up := r.line.Up[id]; len(up) == 0 || j.last != on {
			r.line.Up[id] = append(up, Seen{now.Seconds(), on})
			j.last = on
		}
		r.mu.Unlock()
	}
	lifted := map[uint64]bool{}
	for _, a := range r.site.Faults() {
		lifted[a.ID] = true
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, s := range r.staged {
		if s.inc.Until == 0 && !lifted[s.id] {
			s.inc.Until, s.f.LiftedS = now, now.Seconds()
		}
	}
}

func (r *rehearsal) jobIDs() []string {
	r.mu.Lock()
	defer r.mu.Unlock()
	return sortedJobs(r.jobs)
}

// facts implements Facts for the director.
type facts struct{ r *rehearsal }

func (f facts) AllRunning(id string) bool {
	on, done := f.r.running(id)
	f.r.mu.Lock()
	defer f.r.mu.Unlock()
	j := f.r.jobs[id]
	return j != nil && on+done >= int(*j.spec.Tasks)
}

func (f facts) Understood(feature string) bool { return f.r.understood(feature) }

func (f facts) DoneTasks(id string) int { _, done := f.r.running(id); return done }

func (f facts) JobOver(id string) bool {
	f.r.mu.Lock()
	defer f.r.mu.Unlock()
	j := f.r.jobs[id]
	return j != nil && (j.done > 0 || j.cancelled > 0 || j.refused != nil)
}

func (f facts) Lifted(n int) bool {
	f.r.mu.Lock()
	defer f.r.mu.Unlock()
	return n <= len(f.r.staged) && f.r.staged[n-1].inc.Until > 0
}

func (f facts) StepDone(n int, step string) bool {
	f.r.mu.Lock()
	defer f.r.mu.Unlock()
	return n <= len(f.r.staged) && slices.ContainsFunc(f.r.steps(n), func(s recovery.Step) bool { return s.Step == step })
}

// steps returns the steps of a fault's recovery so far. The caller holds the lock.
func (r *rehearsal) steps(n int) []recovery.Step {
	return recovery.Analyze(r.params(), r.staged[n-1].inc, r.seen)
}

func (f facts) Judged(now time.Duration) (all, met bool) {
	_, starts := f.r.rules()
	f.r.mu.Lock()
	defer f.r.mu.Unlock()
	all, met = true, true
	for _, e := range f.r.sc.Expect {
		for _, o := range f.r.judge(e, starts) {
			decided := o.Got >= 0 || now-f.r.since(e) > seconds(e.WithinS)
			all, met = all && decided, met && o.Met
		}
	}
	return all, met
}

// since returns the time from which an expectation is measured.
func (r *rehearsal) since(e Expect) time.Duration {
	if e.Kind == "recovered" {
		if e.Fault > len(r.staged) {
			return r.now()
		}
		return r.staged[e.Fault-1].inc.At
	}
	if j := r.jobs[e.Job]; j != nil {
		return j.begun
	}
	return 0
}

// rules returns the violations so far and the number of checked task starts.
func (r *rehearsal) rules() (broken []Broken, starts int) {
	broken = []Broken{}
	r.site.Check(func(_ time.Duration, c *checker.Checker) {
		for _, v := range c.Broken() {
			broken = append(broken, Broken{v.Rule, (v.At - r.zero).Seconds(), v.What})
		}
		starts = c.Started()
	})
	return broken, starts
}

// judge evaluates one expectation, with one result per job; Got is -1 if nothing was observed yet.
func (r *rehearsal) judge(e Expect, starts int) (out []Objective) {
	switch e.Kind {
	case "starts":
		return []Objective{{What: "task starts", Want: float64(e.Most), Got: float64(starts), Unit: "starts", Met: starts <= e.Most}}
	case "recovered":
		return []Objective{r.recovered(e)}
	case "handed":
		return []Objective{r.judgeHanded(e)}
	}
	ids := make([]string, 0, len(r.jobs))
	for id, j := range r.jobs {
		if id == e.Job || e.Class != "" && j.plan.Class == e.Class {
			ids = append(ids, id)
		}
	}
	sort.Strings(ids)
	worst := Objective{What: e.Kind + " " + e.Job + e.Class, Want: e.WithinS, Got: -1, Unit: "s"}
	if e.Kind == "up" {
		worst.Want, worst.Unit = e.Share, "of the time"
	}
	for i, id := range ids {
		got := r.measure(e.Kind, r.jobs[id])
		switch {
		case got < 0:
			worst.Got = -1
			return []Objective{worst}
		case i == 0, e.Kind == "up" && got < worst.Got, e.Kind != "up" && got > worst.Got:
			worst.Got = got
		}
	}
	if e.Kind == "up" {
		worst.Met = worst.Got >= e.Share
	} else {
		worst.Met = worst.Got >= 0 && worst.Got <= e.WithinS
	}
	return []Objective{worst}
}

// measure returns the value that one job's user observed; -1: none yet.
func (r *rehearsal) measure(kind string, j *job) float64 {
	at := time.Duration(0)
	switch kind {
	case "up":
		if j.watched == 0 {
			return -1
		}
		return j.up.Seconds() / j.watched.Seconds()
	case "accepted":
		at = j.accepted
	case "running":
		at = j.running
	case "done":
		at = j.done
	case "cancelled":
		at = j.cancelled
	}
	if at == 0 {
		return -1
	}
	return (at - j.begun).Seconds()
}

// recovered evaluates a step of a recovery. From the restart on, a step counts only once all lost tasks run again.
func (r *rehearsal) recovered(e Expect) Objective {
	o := Objective{What: fmt.Sprintf("fault %d: %s", e.Fault, e.Step), Want: e.WithinS, Got: -1, Unit: "s"}
	if e.Fault > len(r.staged) {
		return o
	}
	inc := r.staged[e.Fault-1].inc
	if i := slices.Index(recovery.StepOrder, e.Step); i >= slices.Index(recovery.StepOrder, recovery.Restarted) && e.Step != recovery.Confirmed {
		if lost, back := recovery.LostTasks(r.params(), inc, r.seen); back < lost {
			return o
		}
	}
	for _, s := range r.steps(e.Fault) {
		if s.Step == e.Step {
			o.Got = float64(s.AfterMS) / 1000
			o.Met = o.Got <= e.WithinS
		}
	}
	return o
}

// minWaveReplicas is the minimum number of replicas for which a wave is reported.
const minWaveReplicas = 20

// waves returns how the services of many replicas came up. The caller holds the lock.
func (r *rehearsal) waves() (list []Wave) {
	for _, id := range sortedJobs(r.jobs) {
		j := r.jobs[id]
		if j.plan.Shape != wire.ShapeService || j.plan.Tasks < minWaveReplicas {
			continue
		}
		since := func(n int) float64 {
			for _, s := range r.line.Up[id] {
				if s.N >= n {
					return s.AtS - j.begun.Seconds()
				}
			}
			return -1
		}
		list = append(list, Wave{Job: id, Tasks: j.plan.Tasks, FirstS: since(1), HalfS: since((j.plan.Tasks + 1) / 2), AllS: since(j.plan.Tasks), LeastS: j.plan.ImageGB / r.sc.Fleet.FetchGBps})
	}
	return list
}

// fill stores all observations in the result.
func (r *rehearsal) fill(res *Result) {
	broken, starts := r.rules()
	r.mu.Lock()
	defer r.mu.Unlock()
	r.cost.Handed = r.handed()
	broken = append(broken, r.early()...)
	res.Cost = r.cost
	res.Rules, res.Served = Rules{Broken: broken, Starts: starts}, r.served
	for i, s := range r.staged {
		s.f.Steps = append(s.f.Steps, r.steps(i+1)...)
		s.f.Lost, s.f.Back = recovery.LostTasks(r.params(), s.inc, r.seen)
		res.Faults = append(res.Faults, s.f)
	}
	for _, e := range r.sc.Expect {
		res.Objectives = append(res.Objectives, r.judge(e, starts)...)
	}
	for _, id := range sortedJobs(r.jobs) {
		j := r.jobs[id]
		res.Waits = append(res.Waits, Wait{Job: id, Class: j.plan.Class, AcceptedS: r.measure("accepted", j), RunningS: r.measure("running", j), DoneS: r.measure("done", j)})
	}
	res.Waves = r.waves()
	r.line.EndS = r.now().Seconds()
	for _, spans := range []*[]Span{&r.line.Lives, &r.line.Tasks, &r.line.Machines, &r.line.Shards, &r.line.Leaders} {
		for i := range *spans {
			if (*spans)[i].ToS < 0 {
				(*spans)[i].ToS = r.line.EndS
			}
		}
	}
	line := r.line
	res.Timeline = &line
}

func sortedJobs(m map[string]*job) []string {
	out := make([]string, 0, len(m))
	for id := range m {
		out = append(out, id)
	}
	sort.Strings(out)
	return out
}
