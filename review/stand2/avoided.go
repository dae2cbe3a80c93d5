package main

import (
	"time"

	"github.com/barrowbridge/barrowbridge/wire"
)

func init() { cases["avoided-machines"] = avoidedMachines }

// avoidedMachines: each machine that an array may use fails one of its tasks within seconds and is sound
// again. The array has tasks left.
func avoidedMachines(o options) (verdict, string) {
	d, stop, err := start(dakar(), o.program, o.record)
	if err != nil {
		return notRun, err.Error()
	}
	defer stop()
	report := work{id: "job-000101", class: "night-report", team: "rider-app", shape: wire.ShapeBatch, urgency: "normal", zone: plateau,
		tasks: 24, cpus: 4, memoryGB: 11, imageGB: 0.2, run: 3 * time.Second}
	if err := d.submit(report); err != nil {
		return notRun, err.Error()
	}
	if why := d.failOnce(o, report.id); why != "" {
		return notRun, why
	}
	return d.leftWaiting(report)
}
