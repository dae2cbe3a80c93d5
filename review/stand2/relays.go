package main

import "github.com/barrowbridge/barrowbridge/wire"

// relay returns a replica that forwards alarms, as the site aarhus-lift-coop has them.
func relay(id, team string) work {
	return work{id: id, class: "alarm-relay", team: team, shape: wire.ShapeService, urgency: "production", tasks: 1, cpus: 1, memoryGB: 2.9, imageGB: 0.2}
}
