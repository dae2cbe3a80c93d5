package main

import (
	"fmt"
	"time"

	"github.com/barrowbridge/barrowbridge/internal/standin/site"
	"github.com/barrowbridge/barrowbridge/wire"
)

func init() {
	cases["lent-machines"] = lentMachines
}

// lentMachines: a service of one team is bound to a zone that has no room for its last replica. The other team
// has ten jobs that together are its guarantee and may run in any zone. Machines of other zones are empty.
func lentMachines(o options) (verdict, string) {
	spec := dakar()
	clear(spec.Cloud.Capacity) // the cloud has nothing to give
	d, stop, err := start(spec, o.program, o.record)
	if err != nil {
		return notRun, err.Error()
	}
	defer stop()
	bound := work{id: "job-000301", class: "ride-gateway", team: "rider-app", shape: wire.ShapeService, urgency: "urgent", zone: plateau,
		tasks: 4, cpus: 4, memoryGB: 11, imageGB: 0.2}
	if o.trouble {
		bound.tasks = 5
	}
	if err := d.submit(bound); err != nil {
		return notRun, err.Error()
	}
	if !until(20*time.Second, func() bool {
		_, running := d.count(bound.id, site.TaskStarted, "-")
		return running >= 4
	}) {
		return notRun, "four replicas do not run in " + plateau
	}
	var jobs []string
	for i := range 10 { // 10 jobs of 4 CPUs: fleet-ops is guaranteed 40
		sweep := work{id: fmt.Sprintf("job-%06d", 310+i), class: "battery-sweep", team: "fleet-ops", shape: wire.ShapeBatch, urgency: "normal",
			tasks: 1, cpus: 4, memoryGB: 11, imageGB: 0.2, run: 10 * time.Minute}
		if err := d.submit(sweep); err != nil {
			return notRun, err.Error()
		}
		jobs = append(jobs, sweep.id)
	}
	begun, waitingSince := time.Now(), time.Now()
	for try := 0; time.Since(begun) < waitLimit+2*time.Second; try++ {
		var waiting []string
		for _, id := range jobs {
			if d.place(id+"/0") == "" {
				waiting = append(waiting, id)
			}
		}
		empty := d.idle("")
		if try%20 == 0 {
			d.say("waiting: %v; machines without a task: %v", waiting, empty)
			for _, id := range waiting {
				d.poll(try/20, id)
			}
		}
		if len(waiting) == 0 {
			return held, fmt.Sprintf("all ten jobs run after %.1f s", time.Since(begun).Seconds())
		}
		if len(empty) == 0 {
			waitingSince = time.Now()
		}
		if waited := time.Since(waitingSince); waited >= waitLimit {
			return broken, fmt.Sprintf("%d of the ten jobs within the guarantee of fleet-ops have waited for %.0f s, while %d machines that fit were empty", len(waiting), waited.Seconds(), len(empty))
		}
		time.Sleep(250 * time.Millisecond)
	}
	return held, "no job was left waiting for as long as the rule forbids"
}
