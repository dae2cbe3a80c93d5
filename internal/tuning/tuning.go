// Package tuning holds the constants that set the timing, the limits and the
// thresholds of barrowbridge, each with its unit. None is specific to one deployment.
//
// The constants are grouped by subject: statestore.go (the state service and writes to it),
// cloud.go (the cloud, rentals and booting), workers.go (machines, their workers and their
// leases), peers.go (the other controllers, links and reachability), scheduling.go (jobs,
// demand, preemption and reservations), crews.go (departures of crews), images.go (image
// distribution) and api.go (requests, queues and the trail).
package tuning
