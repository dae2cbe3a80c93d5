package core

import (
	"fmt"

	"github.com/barrowbridge/barrowbridge/internal/health"
	"github.com/barrowbridge/barrowbridge/internal/trail"
	"github.com/barrowbridge/barrowbridge/internal/tuning"
	"github.com/barrowbridge/barrowbridge/wire"
)

func newHealth() *health.Book {
	return health.New(health.Params{SoundJob: tuning.BlameSoundJob, NewJob: tuning.BlameNewJob, FailsElsewhere: tuning.BlameElsewhere,
		Suspect: tuning.BlameSuspect, Sick: tuning.BlameSick,
		SoundMachine: tuning.BlameSoundMachine, NewMachine: tuning.BlameNewMachine, TroubledMachine: tuning.BlameTroubled, Mistaken: tuning.BlameMistaken,
		Pause: tuning.ErrorBackoff, PauseMax: tuning.ErrorBackoffMax, MistakenMax: tuning.MistakenMax})
}

// taskFailed weighs who is to blame for a task that failed.
func (c *Core) taskFailed(e *jobEntry, a *attempt) {
	was := c.health.Mistaken(a.job)
	c.sicken(c.health.Failed(c.now, a.job, a.m.name))
	e.run.notYet = max(e.run.notYet, c.health.NotBefore(a.job))
	c.touch(a.m)
	c.touchJob(e)
	if c.health.Mistaken(a.job) && !was {
		machines, times := c.health.Failures(a.job)
		c.recordTaskEvent(trail.JobMistaken, a, fmt.Sprintf("failed %d times on %d machines, completed nowhere", times, machines))
		c.log(1, "job fails everywhere, tried rarely", "job", a.job, "machines", machines, "failures", times)
	}
}

// sicken gives back machines that are to blame.
func (c *Core) sicken(names []string) {
	for _, n := range names {
		m := c.machines[n]
		if m == nil || m.drop {
			continue
		}
		_, failures := c.health.Machine(n)
		c.recordMachineEvent(trail.MachineFaulty, m, wire.TrailEvent{Count: failures, Why: "fails tasks of jobs that complete elsewhere"})
		c.log(1, "machine looks faulty, returning it", "machine", n, "failures", failures)
		m.drop = true
		c.touch(m)
	}
}

// hasProved counts a replica that has run for long as one that completed: a service
// never does, and a faulty machine or a mistake shows sooner.
func (c *Core) hasProved(a *attempt) {
	if a.proved || a.status != wire.TaskRunning || c.now-a.running < tuning.ProvedAfter {
		return
	}
	if e := c.jobs[a.job]; e != nil && e.record.Shape == wire.ShapeService {
		a.proved = true
		trial := c.health.Trial(a.job)
		c.sicken(c.health.Completed(a.job, a.m.name))
		if trial {
			c.touchJob(e)
		}
	}
}

// avoids tells whether a job's tasks keep off a machine: they have failed there, or the
// machine is suspected and they cannot wait.
func (c *Core) avoids(e *jobEntry, m *machine) bool {
	if c.health.Avoids(e.record.ID, m.name) {
		return true
	}
	if c.health.Mistaken(e.record.ID) && !m.images[e.record.Image] && c.now < e.run.notYet+tuning.MistakenFetch {
		return true // for a job that fails everywhere nothing is fetched, unless its image is gone
	}
	if e.priority >= urgentRank {
		v, _ := c.health.Machine(m.name)
		return v != health.Well
	}
	return false
}

// trials is how many of a job's tasks may be started: of one that has failed on several
// machines and completed nowhere, one at a time.
func (c *Core) trials(e *jobEntry) int {
	n := e.run.pending(&e.record)
	if e.record.Shape != wire.ShapeGang && c.health.Trial(e.record.ID) {
		n = min(n, max(0, 1-len(e.run.active)))
	}
	return n
}
