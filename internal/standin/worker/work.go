package worker

import (
	"strings"
	"time"

	"github.com/barrowbridge/barrowbridge/wire"
)

// Job is the description of a job that workers use; users upload it. Run returns the actual run
// time of a task, which may differ from the owner's estimate.
type Job struct {
	Shape           string
	Tasks           int
	CPUs, GPUs      float64
	MemoryGB        float64
	Image           string
	ImageGB         float64
	CheckpointEvery time.Duration
	Save            time.Duration
	Fails           bool // the job itself is faulty: its tasks fail on every machine
	Run             func(index int) time.Duration
}

func (j *Job) run(index int) time.Duration {
	if j.Run == nil {
		return 0
	}
	return j.Run(index)
}

// FromRecord returns the job described by a record; run returns the actual run time of each task.
func FromRecord(r wire.Job, run func(index int) time.Duration) Job {
	seconds := func(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }
	return Job{Shape: r.Shape, Tasks: r.Tasks, CPUs: r.CPUs, GPUs: r.GPUs, MemoryGB: r.MemoryGB, Image: r.Image, ImageGB: r.ImageGB,
		CheckpointEvery: seconds(r.CheckpointEvery), Save: seconds(r.SaveS), Run: run}
}

// Work holds what is stored outside the machines: job descriptions, results and checkpoints. All
// workers of an emulated deployment share it.
type Work struct {
	// Find looks up a job that was not uploaded; nil: there are no such jobs.
	Find func(id string) (Job, bool)
	// Depot is where images come from; nil: a store without a rate limit, and sources are ignored.
	Depot *Depot

	jobs  map[string]Job
	saved map[string]time.Duration
	done  map[string]bool
	on    map[string]map[string]int // job -> task -> number of machines that it is on
}

// NewWork returns an empty Work.
func NewWork() *Work {
	return &Work{jobs: map[string]Job{}, saved: map[string]time.Duration{}, done: map[string]bool{}, on: map[string]map[string]int{}}
}

// Upload stores the description of a job.
func (w *Work) Upload(id string, j Job) { w.jobs[id] = j }

// Job returns the description of a job, and false if there is none.
func (w *Work) Job(id string) (Job, bool) {
	if j, ok := w.jobs[id]; ok {
		return j, true
	}
	if w.Find == nil {
		return Job{}, false
	}
	j, ok := w.Find(id)
	if ok {
		w.jobs[id] = j
	}
	return j, ok
}

// Done returns the number of a job's tasks that have a result.
func (w *Work) Done(id string) int {
	n, j := 0, w.jobs[id]
	for i := range j.Tasks {
		if w.done[wire.TaskName(id, i)] {
			n++
		}
	}
	return n
}

func (w *Work) save(task string, ran time.Duration) {
	if ran > w.saved[task] {
		w.saved[task] = ran
	}
}

func jobOf(task string) string {
	id, _, _ := strings.Cut(task, "/")
	return id
}

func (w *Work) enter(task string) {
	id := jobOf(task)
	if w.on[id] == nil {
		w.on[id] = map[string]int{}
	}
	w.on[id][task]++
}

func (w *Work) exit(task string) {
	id := jobOf(task)
	if w.on[id][task]--; w.on[id][task] <= 0 {
		delete(w.on[id], task)
	}
	if len(w.on[id]) == 0 {
		delete(w.on, id)
	}
}

// together reports whether every task of a gang is on a machine or done.
func (w *Work) together(task string, tasks int) bool {
	id := jobOf(task)
	if n := len(w.on[id]); n >= tasks {
		return true
	}
	return len(w.on[id])+w.Done(id) >= tasks
}
