package main

import (
	"fmt"
	"slices"
	"time"

	"github.com/barrowbridge/barrowbridge/internal/standin/site"
	"github.com/barrowbridge/barrowbridge/wire"
)

func init() {
	cases["suspect-machines"] = suspectMachines
}

// waitLimit is how long a job may be left waiting, by the page "When troubles meet", while a machine that
// fits has room and its team is under its limit.
const waitLimit = 90 * time.Second

const plateau = "plateau"

// suspectMachines: each machine of a zone fails one task of an array within seconds and is sound again. A
// production service for that zone is submitted afterwards.
func suspectMachines(o options) (verdict, string) {
	d, stop, err := start(dakar(), o.program, o.record)
	if err != nil {
		return notRun, err.Error()
	}
	defer stop()
	report := work{id: "job-000101", class: "night-report", team: "rider-app", shape: wire.ShapeBatch, urgency: "normal", zone: plateau,
		tasks: 200, cpus: 4, memoryGB: 11, imageGB: 0.2, run: 3 * time.Second}
	gateway := work{id: "job-000102", class: "ride-gateway", team: "rider-app", shape: wire.ShapeService, urgency: "production", zone: plateau,
		tasks: 1, cpus: 4, memoryGB: 11, imageGB: 0.2}
	if err := d.submit(report); err != nil {
		return notRun, err.Error()
	}
	if why := d.failOnce(o, report.id); why != "" {
		return notRun, why
	}
	if err := d.submit(gateway); err != nil {
		return notRun, err.Error()
	}
	return d.leftWaiting(gateway)
}

// failOnce waits until tasks of an array have completed on each machine of plateau, and then has one of these machines
// after the other fail its tasks until it has failed one. Without the trouble it only waits.
func (d *deployment) failOnce(o options, array string) (why string) {
	machines, err := d.Resolve("machine_sick", "machines:"+plateau)
	if err != nil || len(machines) != 4 {
		return fmt.Sprintf("machines of plateau: %v %v", machines, err)
	}
	if !until(15*time.Second, func() bool {
		on, _ := d.count(array, site.TaskLeft, wire.CauseDone)
		return !slices.ContainsFunc(machines, func(m string) bool { return on[m] == 0 })
	}) {
		return "the array has not completed a task on each machine of plateau"
	}
	if !o.trouble {
		return ""
	}
	for _, machine := range machines { // one machine at a time
		fault, err := d.stage(site.Fault{Kind: "machine_sick", Target: machine})
		if err != nil {
			return err.Error()
		}
		failed := until(5*time.Second, func() bool {
			on, _ := d.count(array, site.TaskLeft, wire.CauseError)
			return on[machine] > 0
		})
		d.Lift(fault.ID)
		if !failed {
			return "no task has failed on " + machine
		}
	}
	on, _ := d.count(array, site.TaskLeft, wire.CauseError)
	d.say("trouble over: the machines run their tasks again; failed tasks of %s by machine: %v", array, on)
	return ""
}

// leftWaiting watches a job until a service runs or an array is done, or no task of it has been on a machine for
// longer than allowed.
func (d *deployment) leftWaiting(w work) (verdict, string) {
	begun, waitingSince := time.Now(), time.Now()
	for try := 0; time.Since(begun) < waitLimit+3*time.Second; try++ {
		empty := d.idle(plateau)
		_, started := d.count(w.id, site.TaskStarted, "-")
		_, left := d.count(w.id, site.TaskLeft, "-")
		if try%20 == 0 {
			d.say("%s: %d tasks on machines; machines of plateau without a task: %v", w.id, started-left, empty)
			if status, st := d.poll(try/20, w.id); status == 200 && st.Status == wire.JobDone {
				return held, w.id + " is done"
			}
		}
		if started > left && w.shape == wire.ShapeService {
			return held, fmt.Sprintf("%s runs %.1f s later", w.id, time.Since(begun).Seconds())
		}
		if started > left || len(empty) == 0 {
			waitingSince = time.Now()
		}
		if waited := time.Since(waitingSince); waited >= waitLimit {
			return broken, fmt.Sprintf("%s has waited for %.0f s without a task on any machine, while %d machines that fit were empty", w.id, waited.Seconds(), len(empty))
		}
		time.Sleep(250 * time.Millisecond)
	}
	return held, w.id + " was not left waiting for as long as the rule forbids"
}
