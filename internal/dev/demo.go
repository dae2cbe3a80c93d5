package dev

import (
	"context"
	"errors"
	"fmt"
	"io"
	"time"

	"github.com/barrowbridge/barrowbridge/internal/checker"
	"github.com/barrowbridge/barrowbridge/internal/load"
	"github.com/barrowbridge/barrowbridge/internal/standin/site"
	"github.com/barrowbridge/barrowbridge/internal/standin/worker"
	"github.com/barrowbridge/barrowbridge/wire"
)

// demoTime is the most that a demonstration takes.
const demoTime = 58 * time.Second

// demo tells what it does as it goes.
type demo struct {
	site  *site.Site
	users *load.Client
	out   io.Writer
	begun time.Time
}

func (d *demo) say(format string, a ...any) {
	fmt.Fprintf(d.out, "%5.1f s  %s\n", time.Since(d.begun).Seconds(), fmt.Sprintf(format, a...))
}

// Demo loses a machine and the leading controller under work, and is satisfied
// only if all of it comes back and no rule breaks.
func Demo(ctx context.Context, s *site.Site, out io.Writer) error {
	ctx, cancel := context.WithTimeout(ctx, demoTime)
	defer cancel()
	d := &demo{site: s, users: load.NewClient(s.Public(), load.SiteUsers{Site: s}), out: out, begun: time.Now()}
	if err := d.play(ctx); err != nil {
		d.say("FAILED: %v", err)
		return errors.New("the demonstration failed")
	}
	return nil
}

func ptr[T any](v T) *T { return &v }

// job describes a job of the demonstration.
func job(id, team, shape, priority string, tasks int64, runS float64) wire.JobSpec {
	return wire.JobSpec{ID: &id, Class: ptr("demo"), Team: &team, Shape: &shape, Priority: &priority, Tasks: &tasks,
		CPUs: ptr(1.0), GPUs: ptr(0.0), MemoryGB: ptr(2.0), OneZone: ptr(false), Spread: ptr(shape == wire.ShapeService), Spot: ptr(false),
		Image: ptr("demo-image"), ImageGB: ptr(0.5), EstimateS: &runS, CheckpointEvery: ptr(0.0), SaveS: ptr(0.0)}
}

func (d *demo) submit(ctx context.Context, spec wire.JobSpec) error {
	rec, err := spec.Validate()
	if err != nil {
		return err
	}
	d.site.Upload(spec, worker.FromRecord(rec, func(i int) time.Duration {
		return time.Duration((0.7 + 0.1*float64(i%7)) * rec.EstimateS * float64(time.Second))
	}))
	_, err = d.users.Submit(ctx, spec)
	return err
}

// until waits for a condition.
func (d *demo) until(ctx context.Context, what string, ok func() bool) error {
	for !ok() {
		select {
		case <-ctx.Done():
			return fmt.Errorf("waited in vain until %s", what)
		case <-time.After(50 * time.Millisecond):
		}
	}
	return nil
}

const (
	arrayJob, arrayTasks = "job-000001", 30
	serviceJob, replicas = "job-000002", 2
)

func (d *demo) up(n int) func() bool {
	return func() bool { return len(d.site.Running(serviceJob)) >= n }
}

func (d *demo) play(ctx context.Context) error {
	if err := d.submit(ctx, job(arrayJob, "red", wire.ShapeBatch, "normal", arrayTasks, 12)); err != nil {
		return fmt.Errorf("submitting the array: %w", err)
	}
	if err := d.submit(ctx, job(serviceJob, "blue", wire.ShapeService, "urgent", replicas, 0)); err != nil {
		return fmt.Errorf("submitting the service: %w", err)
	}
	d.say("submitted %s, an array of %d tasks, and %s, a service of %d replicas", arrayJob, arrayTasks, serviceJob, replicas)
	if err := d.until(ctx, "the service runs", d.up(replicas)); err != nil {
		return err
	}
	d.say("the service runs on %v, the array has %d tasks running", d.site.Running(serviceJob), len(d.site.Running(arrayJob)))
	if err := d.loseMachine(ctx); err != nil {
		return err
	}
	if err := d.loseLeader(ctx); err != nil {
		return err
	}
	return d.finish(ctx)
}

func (d *demo) loseMachine(ctx context.Context) error {
	victim := d.site.Running(serviceJob)[0]
	lost := time.Now()
	if _, err := d.site.Stage(site.Fault{Kind: "machine_die", Target: victim}); err != nil {
		return err
	}
	d.say("machine %s stops for good, with a replica of the service on it; nobody is told", victim)
	d.say("its worker's lease of %v must run out before its tasks may run elsewhere", d.site.Spec.Lease)
	if err := d.until(ctx, "the lost replica runs again", d.up(replicas)); err != nil {
		return err
	}
	d.say("%d replicas run again, on %v: %.1f s after the loss", replicas, d.site.Running(serviceJob), time.Since(lost).Seconds())
	return nil
}

func (d *demo) loseLeader(ctx context.Context) error {
	leader := d.site.Leader()
	lost := time.Now()
	killed, err := d.site.Stage(site.Fault{Kind: "controller_kill", Target: leader})
	if err != nil {
		return err
	}
	d.say("controller %s, which leads, is killed", leader)
	if err := d.until(ctx, "another controller leads", func() bool { l := d.site.Leader(); return l != "" && l != leader }); err != nil {
		return err
	}
	d.say("%s leads now, %.1f s later; %d replicas never stopped", d.site.Leader(), time.Since(lost).Seconds(), len(d.site.Running(serviceJob)))
	d.site.Lift(killed.ID)
	d.say("%s is started again", leader)
	return nil
}

func (d *demo) finish(ctx context.Context) error {
	st, err := d.users.Wait(ctx, arrayJob, 300*time.Millisecond)
	if err != nil {
		return err
	}
	if st.Status != wire.JobDone {
		return fmt.Errorf("%s is %s", arrayJob, st.Status)
	}
	d.say("%s is done: all %d tasks completed", arrayJob, arrayTasks)
	if !d.up(replicas)() {
		return fmt.Errorf("%d of %d replicas run", len(d.site.Running(serviceJob)), replicas)
	}
	if _, err := d.users.Abort(ctx, serviceJob); err != nil {
		return err
	}
	if err := d.until(ctx, "the cancelled service is gone", func() bool { return len(d.site.Running(serviceJob)) == 0 }); err != nil {
		return err
	}
	d.say("%s was cancelled and is gone from every machine", serviceJob)
	var broken []checker.Violation
	started := 0
	d.site.Check(func(now time.Duration, c *checker.Checker) { broken, started = c.Finish(now), c.Started() })
	for _, v := range broken {
		d.say("rule broken: %s", v)
	}
	if len(broken) > 0 {
		return fmt.Errorf("%d rules broken", len(broken))
	}
	d.say("%d task starts watched, no rule broken", started)
	return nil
}
