package checker

import (
	"slices"
	"time"

	"github.com/barrowbridge/barrowbridge/wire"
)

// LeftWaiting is not a rule of PROTOCOL: after all faults are over, a job waits for waitLimit
// although a suitable machine has free capacity for one of its tasks and its team is under its limit.
const LeftWaiting = "left_waiting"

const (
	// waitLimit is how long a job may wait although it could start a task.
	waitLimit = 90 * time.Second
	// waitCheckInterval is the least time between two checks of the waiting jobs.
	waitCheckInterval = time.Second
)

// Room is a machine that accepts tasks, with its free capacity according to its worker.
type Room struct {
	Machine           string
	CPUs, GPUs, MemGB float64
	Tasks             []string // unfinished tasks on it, including those whose image is being fetched
}

// checkWaiting records a violation for each job that could have started a task in every check for
// waitLimit, counted from the end of all faults at the earliest.
func (c *Checker) checkWaiting(now Time) {
	if c.params.Rooms == nil || c.faultsOverAt == never || now < c.waitsCheckedAt+waitCheckInterval && c.waitsCheckedAt > 0 {
		return
	}
	c.waitsCheckedAt = now
	rooms := c.params.Rooms(now)
	given, used, zones := map[string]int{}, map[string]Limit{}, map[string]map[string]int{}
	for _, r := range rooms {
		for _, task := range r.Tasks {
			id, _, _ := wire.ParseTask(task)
			j := c.jobs[id]
			if j == nil {
				continue
			}
			if zones[id] == nil {
				zones[id] = map[string]int{}
			}
			zones[id][c.machines[r.Machine].Zone]++
			given[id]++
			u := used[*j.spec.Team]
			used[*j.spec.Team] = Limit{u.CPUs + *j.spec.CPUs, u.GPUs + *j.spec.GPUs}
		}
	}
	for _, id := range sortedKeys(c.jobs) {
		j := c.jobs[id]
		if !c.couldStartTask(id, j, rooms, given[id], used[*j.spec.Team], zones[id]) {
			j.waitingSince = never
			continue
		}
		j.waitingSince = min(j.waitingSince, now)
		if !j.waitReported && now-max(j.waitingSince, c.faultsOverAt) >= waitLimit {
			j.waitReported = true
			c.fail(now, LeftWaiting, "%s of %s has waited for %v, %d of %d tasks done, %d on machines", id, *j.spec.Team, now-j.waitingSince, len(j.doneTasks), *j.spec.Tasks, given[id])
		}
	}
}

// couldStartTask reports whether a job has a task that is on no machine and that could start on one of
// rooms now. It is false for a job that waits for its predecessors, which does not wait for free
// capacity; for a job that is over or being cancelled; for a job with a failed task, since such jobs
// are retried rarely; and for a gang, which needs free capacity for all its tasks at once.
//
// given is the number of the job's tasks on machines, used is what its team uses, and zones counts
// the job's tasks by zone.
func (c *Checker) couldStartTask(id string, j *job, rooms []Room, given int, used Limit, zones map[string]int) bool {
	s := &j.spec
	if c.readyAt(id, j) == never || j.finalStatus != "" || c.cancellable(id, j) || j.failed || *s.Shape == wire.ShapeGang || len(j.doneTasks)+given >= int(*s.Tasks) {
		return false
	}
	if l := c.params.Teams[*s.Team]; used.CPUs+*s.CPUs > l.CPUs+tolerance || used.GPUs+*s.GPUs > l.GPUs+tolerance {
		return false
	}
	return slices.ContainsFunc(rooms, func(r Room) bool {
		m := c.machines[r.Machine]
		switch {
		case r.CPUs+tolerance < *s.CPUs || r.GPUs+tolerance < *s.GPUs || r.MemGB+tolerance < *s.MemoryGB,
			s.Types != nil && !slices.Contains(s.Types, m.Type), s.Zone != nil && *s.Zone != m.Zone, m.Spot && !*s.Spot,
			*s.OneZone && given > 0 && zones[m.Zone] == 0, *s.Spread && zones[m.Zone]+1 > (int(*s.Tasks)+1)/2:
			return false
		}
		return true
	})
}
