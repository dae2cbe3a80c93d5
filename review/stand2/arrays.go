package main

import (
	"fmt"
	"time"

	"github.com/barrowbridge/barrowbridge/internal/standin/site"
	"github.com/barrowbridge/barrowbridge/wire"
)

func init() {
	cases["huge-array"] = hugeArray
}

// unansweredLimit is how long no question about an accepted job may be answered once all troubles are over, by
// the page "When troubles meet".
const unansweredLimit = 75 * time.Second

// relay returns a replica that forwards alarms, as the site aarhus-lift-coop has them.
func relay(id, team string) work {
	return work{id: id, class: "alarm-relay", team: team, shape: wire.ShapeService, urgency: "production", tasks: 1, cpus: 1, memoryGB: 2.9, imageGB: 0.2}
}

// hugeArray: a user submits one array of 100,000 small tasks. Another user asks for an accepted job at all
// controllers.
func hugeArray(o options) (verdict, string) {
	d, stop, err := start(aarhus(), o.program, o.record)
	if err != nil {
		return notRun, err.Error()
	}
	defer stop()
	alarm := relay("job-000201", "service-crew-01")
	if err := d.submit(alarm); err != nil {
		return notRun, err.Error()
	}
	if !until(15*time.Second, func() bool { return d.place(alarm.id+"/0") != "" }) {
		return notRun, "the first replica does not run"
	}
	array := work{id: "job-000202", class: "sensor-backfill", team: "service-crew-02", shape: wire.ShapeBatch, urgency: "normal",
		tasks: wire.MaxTasks, cpus: 0.0002, memoryGB: 0.0002, imageGB: 0.2, run: 10 * time.Second}
	if !o.trouble {
		array.cpus, array.memoryGB = 1, 3.1
	}
	if err := d.submit(array); err != nil {
		return notRun, err.Error()
	}
	begun, answered, asked, answers := time.Now(), time.Now(), 0, 0
	for time.Since(begun) < 95*time.Second {
		for node := range 3 {
			asked++
			if status, _ := d.poll(node, alarm.id); status == 200 {
				answered = time.Now()
				answers++
			}
		}
		if silent := time.Since(answered); silent >= unansweredLimit {
			_, killed := d.count(alarm.id, site.TaskLeft, "")
			return broken, fmt.Sprintf("no question about %s has been answered for %.0f s; its replica was killed %d times and runs on %q now", alarm.id, silent.Seconds(), killed, d.place(alarm.id+"/0"))
		}
		time.Sleep(time.Second)
	}
	return held, fmt.Sprintf("%d of %d questions about %s were answered", answers, asked, alarm.id)
}
