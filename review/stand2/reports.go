package main

import (
	"fmt"
	"time"

	"github.com/barrowbridge/barrowbridge/internal/standin/site"
	"github.com/barrowbridge/barrowbridge/wire"
)

func init() { cases["large-reports"] = largeReports }

// largeReports: a user submits an array of 8,000 small tasks of 40 s, which its team may run all at once. The case
// watches for 100 s whether any of them completes.
func largeReports(o options) (verdict, string) {
	d, stop, err := start(aarhus(), o.program, o.record)
	if err != nil {
		return notRun, err.Error()
	}
	defer stop()
	alarm := relay("job-000401", "service-crew-01")
	if err := d.submit(alarm); err != nil {
		return notRun, err.Error()
	}
	if !until(10*time.Second, func() bool { return d.place(alarm.id+"/0") != "" }) {
		return notRun, "the replica does not run"
	}
	array := work{id: "job-000402", class: "sensor-backfill", team: "service-crew-01", shape: wire.ShapeBatch, urgency: "normal",
		tasks: 8000, cpus: 0.0018, memoryGB: 0.0018, imageGB: 0.2, run: 40 * time.Second}
	if !o.trouble {
		array.cpus, array.memoryGB = 1, 3.1
	}
	if err := d.submit(array); err != nil {
		return notRun, err.Error()
	}
	begun := time.Now()
	for try := 0; time.Since(begun) < 100*time.Second; try++ {
		_, started := d.count(array.id, site.TaskStarted, "-")
		_, done := d.count(array.id, site.TaskLeft, wire.CauseDone)
		_, killed := d.count(array.id, site.TaskLeft, "")
		most := 0
		for _, tasks := range d.Machines() {
			most = max(most, len(tasks))
		}
		d.say("%d starts, %d tasks completed, %d killed at the end of a lease; at most %d tasks on one machine", started, done, killed, most)
		d.poll(try, array.id)
		if done > 0 {
			return held, fmt.Sprintf("tasks of %s complete", array.id)
		}
		time.Sleep(2 * time.Second)
	}
	_, started := d.count(array.id, site.TaskStarted, "-")
	_, killed := d.count(array.id, site.TaskLeft, "")
	_, replica := d.count(alarm.id, site.TaskLeft, "")
	return broken, fmt.Sprintf("no task of %s, which needs 40 s, has completed within 100 s; %d starts, %d of them killed at the end of a lease; the replica of %s was killed %d times", array.id, started, killed, alarm.id, replica)
}
