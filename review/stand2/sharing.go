package main

import (
	"fmt"
	"time"

	"github.com/barrowbridge/barrowbridge/internal/standin/cloud"
	"github.com/barrowbridge/barrowbridge/wire"
)

func init() { cases["shared-machines"] = sharedMachines }

const viby = "viby"

// sharedMachines: three machines of 4 CPUs are up in each zone, of five that the cloud has, and each team has one alarm
// relay of 1 CPU. One team submits seven scans of 1 CPU for viby, which together with its relay are its guarantee. The
// trouble takes the cloud's capacity in viby down to 0.6, so that it has no machine left to give there.
func sharedMachines(o options) (verdict, string) {
	spec := aarhus()
	spec.Cloud.Capacity = map[cloud.Place]int{}
	for _, zone := range spec.Zones {
		left := 2
		if zone == viby && o.trouble {
			left = 0
		}
		for _, spot := range []bool{false, true} {
			spec.Cloud.Capacity[cloud.Place{Type: spec.Type.Name, Zone: zone, Spot: spot}] = left
		}
	}
	d, stop, err := start(spec, o.program, o.record)
	if err != nil {
		return notRun, err.Error()
	}
	defer stop()
	var relays []string
	for i := range 12 {
		alarm := relay(fmt.Sprintf("job-%06d", 501+i), fmt.Sprintf("service-crew-%02d", 1+i))
		if err := d.submit(alarm); err != nil {
			return notRun, err.Error()
		}
		relays = append(relays, alarm.id)
	}
	waitingOf := func(jobs []string) (waiting []string) {
		for _, id := range jobs {
			if d.place(id+"/0") == "" {
				waiting = append(waiting, id)
			}
		}
		return waiting
	}
	if !until(15*time.Second, func() bool { return len(waitingOf(relays)) == 0 }) {
		return notRun, "not all alarm relays run"
	}
	var scans []string
	for i := range 7 { // service-crew-01 is guaranteed 8 CPUs and may use 16
		scan := work{id: fmt.Sprintf("job-%06d", 521+i), class: "door-cycle-scan", team: "service-crew-01", shape: wire.ShapeBatch, urgency: "normal",
			zone: viby, tasks: 1, cpus: 1, memoryGB: 3.1, imageGB: 0.2, run: 10 * time.Minute}
		if err := d.submit(scan); err != nil {
			return notRun, err.Error()
		}
		scans = append(scans, scan.id)
	}
	begun, waitingSince := time.Now(), time.Now()
	for try := 0; time.Since(begun) < waitLimit+2*time.Second; try++ {
		waiting, room := waitingOf(scans), map[string]int{} // machine -> tasks of 1 CPU that it has room for
		machines, _ := d.Resolve("machine_hang", "machines:"+viby)
		tasks := d.Machines()
		for _, machine := range machines {
			if free := 4 - len(tasks[machine]); free > 0 {
				room[machine] = free
			}
		}
		if try%20 == 0 {
			d.say("waiting: %v; CPUs that are free in viby, by machine: %v", waiting, room)
			for _, id := range waiting {
				d.poll(try/20, id)
			}
		}
		if len(waiting) == 0 {
			return held, fmt.Sprintf("all scans run after %.1f s", time.Since(begun).Seconds())
		}
		if len(room) == 0 {
			waitingSince = time.Now()
		}
		if waited := time.Since(waitingSince); waited >= waitLimit {
			return broken, fmt.Sprintf("%d of seven scans within the guarantee of service-crew-01 have waited for %.0f s, while machines of viby had CPUs free: %v", len(waiting), waited.Seconds(), room)
		}
		time.Sleep(250 * time.Millisecond)
	}
	return held, "no job was left waiting for as long as the rule forbids"
}
