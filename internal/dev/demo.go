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

// demoTime is the time limit of the demo.
const demoTime = 58 * time.Second

// demo runs the demonstration and prints each step with the time since its start.
type demo struct {
	site  *site.Site
	users *load.Client
	out   io.Writer
	start time.Time
}

func (d *demo) printf(format string, a ...any) {
	fmt.Fprintf(d.out, "%5.1f s  %s\n", time.Since(d.start).Seconds(), fmt.Sprintf(format, a...))
}

// Demo kills a machine and the leading controller while jobs run. It returns an error unless the cluster recovers
// and all jobs complete within demoTime without violating a rule of the checker.
func Demo(ctx context.Context, s *site.Site, out io.Writer) error {
	ctx, cancel := context.WithTimeout(ctx, demoTime)
	defer cancel()
	d := &demo{site: s, users: load.NewClient(s.Public(), load.SiteUsers{Site: s}), out: out, start: time.Now()}
	if err := d.run(ctx); err != nil {
		d.printf("FAILED: %v", err)
		return errors.New("the demonstration failed")
	}
	return nil
}

func ptr[T any](v T) *T { return &v }

// job returns the specification of a job of the demo. runS is the estimated run time of a task, in seconds.
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

// until polls a condition until it holds or the context ends.
func (d *demo) until(ctx context.Context, what string, ok func() bool) error {
	for !ok() {
		select {
		case <-ctx.Done():
			return fmt.Errorf("timed out waiting until %s", what)
		case <-time.After(50 * time.Millisecond):
		}
	}
	return nil
}

const (
	arrayJob, arrayTasks = "job-000001", 30
	serviceJob, replicas = "job-000002", 2
)

// up returns a condition that holds while at least n replicas of the service run.
func (d *demo) up(n int) func() bool {
	return func() bool { return len(d.site.Running(serviceJob)) >= n }
}

func (d *demo) run(ctx context.Context) error {
	if err := d.submit(ctx, job(arrayJob, "red", wire.ShapeBatch, "normal", arrayTasks, 12)); err != nil {
		return fmt.Errorf("submitting the array: %w", err)
	}
	if err := d.submit(ctx, job(serviceJob, "blue", wire.ShapeService, "urgent", replicas, 0)); err != nil {
		return fmt.Errorf("submitting the service: %w", err)
	}
	d.printf("submitted %s, an array of %d tasks, and %s, a service of %d replicas", arrayJob, arrayTasks, serviceJob, replicas)
	if err := d.until(ctx, "the service runs", d.up(replicas)); err != nil {
		return err
	}
	d.printf("the service runs on %v, the array has %d tasks running", d.site.Running(serviceJob), len(d.site.Running(arrayJob)))
	if err := d.loseMachine(ctx); err != nil {
		return err
	}
	if err := d.loseLeader(ctx); err != nil {
		return err
	}
	return d.finish(ctx)
}

func (d *demo) loseMachine(ctx context.Context) error {
	machine := d.site.Running(serviceJob)[0]
	lostAt := time.Now()
	if _, err := d.site.Stage(site.Fault{Kind: "machine_die", Target: machine}); err != nil {
		return err
	}
	d.printf("machine %s, which runs a replica of the service, dies without notice", machine)
	d.printf("its tasks may run elsewhere only after its worker's lease of %v has expired", d.site.Spec.Lease)
	if err := d.until(ctx, "the lost replica runs again", d.up(replicas)); err != nil {
		return err
	}
	d.printf("%d replicas run again, on %v: %.1f s after the loss", replicas, d.site.Running(serviceJob), time.Since(lostAt).Seconds())
	return nil
}

func (d *demo) loseLeader(ctx context.Context) error {
	leader := d.site.Leader()
	lostAt := time.Now()
	killed, err := d.site.Stage(site.Fault{Kind: "controller_kill", Target: leader})
	if err != nil {
		return err
	}
	d.printf("the leading controller, %s, is killed", leader)
	if err := d.until(ctx, "another controller leads", func() bool { l := d.site.Leader(); return l != "" && l != leader }); err != nil {
		return err
	}
	d.printf("%s leads now, %.1f s later; %d replicas never stopped", d.site.Leader(), time.Since(lostAt).Seconds(), len(d.site.Running(serviceJob)))
	d.site.Lift(killed.ID)
	d.printf("%s is restarted", leader)
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
	d.printf("%s is done: all %d tasks completed", arrayJob, arrayTasks)
	if !d.up(replicas)() {
		return fmt.Errorf("%d of %d replicas run", len(d.site.Running(serviceJob)), replicas)
	}
	if _, err := d.users.Abort(ctx, serviceJob); err != nil {
		return err
	}
	if err := d.until(ctx, "the cancelled service is gone", func() bool { return len(d.site.Running(serviceJob)) == 0 }); err != nil {
		return err
	}
	d.printf("%s was cancelled and is gone from every machine", serviceJob)
	var violations []checker.Violation
	started := 0
	d.site.Check(func(now time.Duration, c *checker.Checker) { violations, started = c.Finish(now), c.Started() })
	for _, v := range violations {
		d.printf("rule violated: %s", v)
	}
	if len(violations) > 0 {
		return fmt.Errorf("%d rules violated", len(violations))
	}
	d.printf("%d task starts checked, no rule violated", started)
	return nil
}
