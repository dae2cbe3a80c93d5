package checker

import (
	"slices"
	"time"

	"github.com/barrowbridge/barrowbridge/wire"
)

// LeftWaiting is no rule of PROTOCOL's: once all troubles are over, a job waits for so long
// while a machine that fits has room for a task of it and its team is under its limit.
const LeftWaiting = "left_waiting"

// waits is for how long; look is how often that is looked at.
const (
	waits = 90 * time.Second
	look  = time.Second
)

// Room is a machine that takes tasks, and what it has left, by what its worker has.
type Room struct {
	Machine           string
	CPUs, GPUs, MemGB float64
	Tasks             []string // on it, or fetched for: not ended
}

// lookForWaits judges which jobs wait in vain; each look has to find it so.
func (c *Checker) lookForWaits(now Time) {
	if c.p.Rooms == nil || c.calm == never || now < c.looked+look && c.looked > 0 {
		return
	}
	c.looked = now
	rooms := c.p.Rooms(now)
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
	for _, id := range sorted(c.jobs) {
		j := c.jobs[id]
		if !c.waitsInVain(id, j, rooms, given[id], used[*j.spec.Team], zones[id]) {
			j.waitsFrom = never
			continue
		}
		j.waitsFrom = min(j.waitsFrom, now)
		if !j.waitTold && now-max(j.waitsFrom, c.calm) >= waits {
			j.waitTold = true
			c.fail(now, LeftWaiting, "%s of %s has waited for %v, %d of %d tasks done, %d on machines", id, *j.spec.Team, now-j.waitsFrom, len(j.done), *j.spec.Tasks, given[id])
		}
	}
}

// waitsInVain tells whether a task of a job is nowhere that could be on a machine now. One that
// waits for others waits for no room. Jobs that fail are tried rarely, those whose tasks begin together need room for all.
func (c *Checker) waitsInVain(id string, j *job, rooms []Room, given int, used Limit, zones map[string]int) bool {
	s := &j.spec
	if c.ready(id, j) == never || j.final != "" || c.cancellable(id, j) || j.failed || *s.Shape == wire.ShapeGang || len(j.done)+given >= int(*s.Tasks) {
		return false
	}
	if l := c.p.Teams[*s.Team]; used.CPUs+*s.CPUs > l.CPUs+slack || used.GPUs+*s.GPUs > l.GPUs+slack {
		return false
	}
	return slices.ContainsFunc(rooms, func(r Room) bool {
		m := c.machines[r.Machine]
		switch {
		case r.CPUs+slack < *s.CPUs || r.GPUs+slack < *s.GPUs || r.MemGB+slack < *s.MemoryGB,
			s.Types != nil && !slices.Contains(s.Types, m.Type), s.Zone != nil && *s.Zone != m.Zone, m.Spot && !*s.Spot,
			*s.OneZone && given > 0 && zones[m.Zone] == 0, *s.Spread && zones[m.Zone]+1 > (int(*s.Tasks)+1)/2:
			return false
		}
		return true
	})
}
